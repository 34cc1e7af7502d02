"""Steps for crashing requests through front instances."""

import time
from unittest import mock

import behave

from jasminehold.decisions import quarantine
from jasminehold.decisions import store_replica
from jasminehold.platform import wire
from tests.builders import crashing_requests
from tests.builders import front_rig

# A rejection that needs no upstream arrives within this many seconds.
AT_ONCE_S = 0.25


@behave.given('four instances in front of six upstreams')
def given_fleet(context):
    context.rig = front_rig.FrontRig(crashing_requests.UPSTREAMS, 0.05)
    context.add_cleanup(context.rig.stop)
    context.names = context.rig.start_fleet()


@behave.when(
    'a {method} that crashes upstreams is sent again for {seconds:g} s'
    ' among others'
)
def when_sent_among_others(context, method, seconds):
    context.method = method
    others = crashing_requests.OrdinaryCallers(context.rig, context.names)
    with others:
        context.copies = crashing_requests.send_copies(
            context.rig, context.names, method, seconds
        )
    context.ordinary = others.replies


@behave.then(
    'it crashes at most {most:d} upstreams once instances had time to stop it'
)
def then_stopped(context, most):
    times = crashing_requests.crash_times(context.rig)
    late = crashing_requests.late_crashes(context.rig)
    assert late <= most, '%d of %d crashes were late' % (late, len(times))


@behave.then('the last copies are rejected at once as not run')
def then_rejected(context):
    for _, reply in context.copies[-len(context.names) :]:
        assert reply.status == 503, reply
        assert float(reply.headers['retry-after']) > 0
    begin = time.monotonic()
    crashing_requests.send_copies(
        context.rig, context.names, context.method, 0.01
    )
    seconds = time.monotonic() - begin - crashing_requests.PAUSE_S
    assert seconds < AT_ONCE_S, seconds


@behave.then('ordinary requests are answered once it is stopped')
def then_ordinary(context):
    stopped_at = crashing_requests.crash_times(context.rig)[-1]
    later = [
        reply
        for at, reply in context.ordinary
        if at > stopped_at + crashing_requests.STABILITY_S
    ]
    assert len(later) > 20, len(later)
    failed = [reply for reply in later if reply.status != 200]
    assert not failed, failed


@behave.given('a POST that crashes upstreams was stopped')
def given_stopped(context):
    context.method = 'POST'
    context.copies = crashing_requests.send_copies(
        context.rig, context.names, 'POST', 3.0
    )
    then_rejected(context)


@behave.when('all instances start again')
def when_all_restart(context):
    rig = context.rig
    rig.wait(lambda: _stored_quarantines(rig), 'a stored quarantine')
    for name in context.names:
        rig.stop_instance(name)
    context.names = rig.start_fleet()


def _stored_quarantines(rig):
    app = next(iter(rig.apps.values()))
    return app._reader.replica.with_prefix(wire.QUARANTINE_PREFIX)


@behave.when('one instance starts again while the store is down')
def when_one_restarts(context):
    rig = context.rig
    rig.call(rig.store.set_faults, mode='refuse')
    name = context.names[0]
    rig.stop_instance(name)
    seeds = [rig.apps[other].cfg.peer_listen for other in context.names[1:]]
    rig.start(name, 'sul-a', seeds)
    rig.wait_ready(name)
    context.names = [name]


@behave.then('no copy of it reaches an upstream')
def then_none_arrives(context):
    before = len(crashing_requests.crash_times(context.rig))
    copies = crashing_requests.send_copies(
        context.rig, context.names, context.method, 1.5
    )
    assert all(reply.status == 503 for _, reply in copies), copies
    assert len(crashing_requests.crash_times(context.rig)) == before


@behave.when(
    "one caller's copies of a popular request crash upstreams for {seconds:g}"
    ' s'
)
def when_popular(context, seconds):
    others = crashing_requests.OrdinaryCallers(
        context.rig, context.names, path='/browse/broken'
    )
    with others:
        context.copies = crashing_requests.send_copies(
            context.rig, context.names, 'GET', seconds, '127.0.0.2', b''
        )
    context.ordinary = others.replies


@behave.then('its copies are stopped')
def then_copies_stopped(context):
    last = [reply.status for _, reply in context.copies[-4:]]
    assert last == [503] * 4, last
    assert not crashing_requests.late_crashes(context.rig)


@behave.then('the other callers are answered once they are')
def then_others(context):
    stopped_at = crashing_requests.crash_times(context.rig)[-1]
    later = [reply for at, reply in context.ordinary if at > stopped_at + 1.0]
    assert len(later) > 20, len(later)
    assert all(reply.status == 200 for reply in later), later


@behave.when('a request is answered between {count:d} rounds of lost answers')
def when_lost_between(context, count):
    rig, context.path = context.rig, '/browse/same'
    for turn in range(count):
        name = context.names[turn % len(context.names)]
        lost = rig.ask(context.path, name=name, X_Fault='lost')
        assert lost.status == 502, lost
        time.sleep(crashing_requests.PAUSE_S)
        answered = rig.ask(context.path, name=context.names[0])
        assert answered.status == 200, answered
        time.sleep(crashing_requests.PAUSE_S)


@behave.then('it is answered at each instance')
def then_each_instance(context):
    method = 'POST' if context.path.startswith('/order/') else 'GET'
    for name in context.names:
        reply = context.rig.ask(context.path, method, name)
        assert reply.status == 200, reply


@behave.when(
    'the answers to {count:d} copies of a request are lost among others'
)
def when_lost_among_others(context, count):
    rig, context.path = context.rig, '/browse/same'
    # Callers of few objects keep connections of each instance to the owners.
    others = crashing_requests.OrdinaryCallers(
        rig, context.names, count=8, objects=2
    )
    with others:
        time.sleep(1.0)
        for turn in range(count):
            name = context.names[turn % len(context.names)]
            lost = rig.ask(
                context.path,
                name=name,
                X_Fault='lost',
                Cookie='X-Affinity-Key=0',
            )
            assert lost.status == 502, lost
            time.sleep(crashing_requests.PAUSE_S)


@behave.given(
    '{closed:d} connections that an upstream closed and {still_open:d} still'
    ' open'
)
def given_connections(context, closed, still_open):
    context.crashed = quarantine.is_crash(closed, still_open)


@behave.then('it crashed')
def then_crashed(context):
    assert context.crashed


@behave.then('it went on')
def then_went_on(context):
    assert not context.crashed


@behave.given('a request that is quarantined')
def given_quarantined(context):
    context.known = quarantine.Quarantine(600.0, 10)
    context.known.raise_to(b'd', quarantine.State.QUARANTINED, 600.0, 0.0)


@behave.when('it is told as suspect')
def when_told_suspect(context):
    context.known.raise_to(b'd', quarantine.State.SUSPECT, 600.0, 1.0)


@behave.then('it is still quarantined')
def then_still(context):
    assert context.known.seconds_left([b'd'], 1.0) > 0


@behave.when('it is released')
def when_released(context):
    context.known.release(b'd')


@behave.then('it is quarantined no more')
def then_no_more(context):
    assert not context.known.seconds_left([b'd'], 1.0)


@behave.when(
    'an order is lost, answered at another instance and lost twice more'
)
def when_lost_and_answered(context):
    context.path = '/order/same'
    for name, fault in (
        ('i0', 'lost'),
        ('i1', ''),
        ('i1', 'lost'),
        ('i2', 'lost'),
    ):
        reply = context.rig.ask(context.path, 'POST', name, X_Fault=fault)
        assert reply.status == (502 if fault else 200), reply
        time.sleep(2 * crashing_requests.PAUSE_S)


@behave.given('a quarantine that an instance stored')
def given_stored(context):
    context.digest = b'12345678'
    writer = crashing_requests.LoneGuard()
    writer.guard.on_members(['i1'])
    for number in range(4):
        writer.report_crash(context.digest, 'u%d' % number)
    context.stored = writer.written


@behave.when('an instance whose time of day is {step:d} s ahead reads it')
def when_read(context, step):
    assert context.stored, 'nothing was stored'
    reader = crashing_requests.LoneGuard()
    now = time.time()
    with mock.patch('time.time', lambda: now + step):
        reader.guard.on_stored(context.stored)
    context.left_s = reader.guard.quarantine_s([context.digest])


@behave.then('the request is quarantined there for {low:d} to {high:d} s')
def then_left(context, low, high):
    assert low <= context.left_s <= high, context.left_s


def _read_quarantine(context, seconds, revision):
    key = wire.QUARANTINE_PREFIX + context.digest.hex()
    value = b'{"left_s": %d}' % seconds
    item = store_replica.Item(key, value, revision)
    context.lone.guard.on_stored({key: item})


@behave.given(
    'a quarantine of {seconds:d} s that was read at revision {revision:d}'
)
def given_read(context, seconds, revision):
    context.digest = b'12345678'
    context.lone = crashing_requests.LoneGuard()
    _read_quarantine(context, seconds, revision)
    assert context.lone.guard.quarantine_s([context.digest])


@behave.when(
    'it is over and one of {seconds:d} s is read at revision {revision:d}'
)
def when_read_again(context, seconds, revision):
    context.lone.now += 30.0
    assert not context.lone.guard.quarantine_s([context.digest])
    _read_quarantine(context, seconds, revision)
    context.left_s = context.lone.guard.quarantine_s([context.digest])
