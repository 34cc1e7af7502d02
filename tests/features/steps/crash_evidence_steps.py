"""Steps for what the end of a send says of its upstream."""

import contextlib
import json
import time

import behave

from builders import proxy_rig
from jasminehold.decisions import quarantine
from jasminehold.decisions import send_end
from jasminehold.decisions import store_replica
from jasminehold.platform import wire
from jasminehold.standin import caller
from tests.builders import crashing_requests

End = send_end.End
# Time in which the crash of an upstream is noticed, whoever has left.
NOTICED_S = 1.5


@behave.when(
    'a {method} that crashes upstreams and {end} is sent again for'
    ' {seconds:g} s'
)
def when_sent_again(context, method, end, seconds):
    context.method = method
    others = crashing_requests.OrdinaryCallers(context.rig, context.names)
    with others:
        context.copies = crashing_requests.send_copies(
            context.rig,
            context.names,
            method,
            seconds,
            end=crashing_requests.ENDS[end],
        )
    context.ordinary = others.replies


@behave.when('{count:d} copies of a request get answers that {end}, {company}')
def when_spoilt(context, count, end, company):
    context.path = '/browse/same'
    how = crashing_requests.SPOILT_ENDS[end]
    others = contextlib.nullcontext()
    if company == 'among others':
        # Callers of few objects keep connections of each instance to the
        # owners.
        others = crashing_requests.OrdinaryCallers(
            context.rig, context.names, count=8, objects=2
        )
    with others:
        time.sleep(1.0)
        for turn in range(count):
            name = context.names[turn % len(context.names)]
            reply = crashing_requests.ask_patiently(
                context.rig, name, 'GET', context.path, how
            )
            assert reply.status != 200, reply
            time.sleep(crashing_requests.PAUSE_S)


@behave.given('a proxy in front of two upstreams')
def given_proxy(context):
    context.rig = proxy_rig.Rig()
    context.add_cleanup(context.rig.stop)
    context.method = 'GET'


@behave.when(
    'a {method} crashes its upstream after {after_ms:d} ms having sent {sent}'
)
def when_crashes(context, method, after_ms, sent):
    context.method = method
    context.headers = {
        'X-Crash': 1,
        'X-Crash-After-Ms': after_ms,
        'X-Crash-Sends': sent.removeprefix('nothing').removeprefix('its '),
    }


@behave.when(
    'an upstream takes {work_ms:d} ms for a GET and its answer has the fault'
    ' {fault}'
)
def when_goes_on(context, work_ms, fault):
    context.headers = {'X-Service-Ms': work_ms, 'X-Fault': fault}


@behave.when(
    'its caller waits {wait_ms:d} ms, its deadline being {deadline_ms:d} ms'
)
def when_waits(context, wait_ms, deadline_ms):
    client = caller.Client(context.rig.ports[0])
    client.sock.settimeout(wait_ms / 1000)
    headers = {**context.headers, 'Jasminehold-Deadline': deadline_ms}
    with contextlib.suppress(TimeoutError):
        client.request(context.method, '/c', headers)
    client.close()


@behave.then('the crash is reported with its digest')
def then_reported(context):
    end = time.monotonic() + NOTICED_S
    while not context.rig.crashes and time.monotonic() < end:
        time.sleep(0.01)
    assert context.rig.crashes, 'no crash was reported'
    name, digests = context.rig.crashes[0]
    assert name in ('a', 'b') and len(digests) == 1, context.rig.crashes


@behave.then('no crash is reported')
def then_not_reported(context):
    time.sleep(NOTICED_S)
    assert sum(item.counts['executions'] for item in context.rig.all)
    assert not context.rig.crashes, context.rig.crashes


@behave.given('a quarantine among {most:d} requests at most')
def given_small(context, most):
    context.known = quarantine.Quarantine(600.0, most)
    context.known.raise_to(b'd', quarantine.State.QUARANTINED, 600.0, 0.0)


@behave.when('{count:d} other requests are watched')
def when_watched(context, count):
    for number in range(count):
        context.known.watch(b'%d' % number, 0.5)
    assert len(context.known) == 10, len(context.known)


@behave.given('an arbiter that has told of {crashes:d} crashes of a request')
def given_arbiter(context, crashes):
    context.lone = crashing_requests.LoneGuard()
    context.lone.guard.on_members(['i1', 'i2'])
    for number in range(crashes):
        context.lone.report_crash(b'12345678', 'u%d' % number)


@behave.when('{name} reports one more')
def when_one_more(context, name):
    context.lone.sent.clear()
    context.lone.report_crash(b'12345678', 'u9', name)


@behave.then('{name} is told that the request is {state}')
def then_told(context, name, state):
    told = [
        message['verdicts'][0][:2]
        for receiver, message in context.lone.sent
        if receiver == name
    ]
    assert told == [[b'12345678', state]], context.lone.sent


@behave.given('a quarantine of {seconds:d} s that is stored as {fields}')
def given_stored_as(context, seconds, fields):
    digest = b'12345678'
    doc = {'left_s': seconds, 'until': time.time() + seconds}
    value = json.dumps({name: doc[name] for name in fields.split(',')})
    key = wire.QUARANTINE_PREFIX + digest.hex()
    reader = crashing_requests.LoneGuard().guard
    reader.on_stored({key: store_replica.Item(key, value.encode(), 1)})
    context.left_s = reader.quarantine_s([digest])


@behave.then('each stored one has the fields {fields}')
def then_has_fields(context, fields):
    docs = [json.loads(item.value) for item in context.stored.values()]
    assert docs
    for doc in docs:
        assert sorted(doc) == fields.split(','), doc


@behave.given('a guard whose new connections to upstreams {become}')
def given_guard(context, become):
    context.lone = crashing_requests.LoneGuard()
    context.lone.connections = become


@behave.when(
    'a request is lost at {name} for {times:d} times, {gap:g} s apart,'
    ' {between}'
)
def when_lost_again(context, name, times, gap, between):
    lone = context.lone
    lone.guard.on_members(['i1'])
    for _ in range(times):
        lone.end_send(b'12345678', name, End.DISCONNECTED)
        lone.now += gap
        if 'answer' in between:
            lone.end_send(b'87654321', name, End.ANSWERED)
        elif 'rejection' in between:
            lone.end_send(b'87654321', name, End.REJECTED)


@behave.then('{count:d} crashes are counted')
def then_counted(context, count):
    lone = context.lone
    found = lone.guard._crashes.crashes(b'12345678', lone.now)
    assert len(found) == count, found


MEANINGS = {
    'clears': send_end.Meaning.CLEARS,
    'loses': send_end.Meaning.LOST,
    'doubts': send_end.Meaning.DOUBTED,
    'says nothing of': send_end.Meaning.NOTHING,
}


@behave.when('a send ends {end}')
def when_ends(context, end):
    context.meaning = send_end.MEANINGS[End(end)]


@behave.then('that {meaning} the request')
def then_means(context, meaning):
    assert context.meaning is MEANINGS[meaning], context.meaning


@behave.then('the table of ends is complete')
def then_complete(context):
    assert set(send_end.MEANINGS) == set(End)
