"""Steps for instances that lose their path to the upstreams."""

import random
import time

import behave

from bench import roles
from builders import documents
from builders import proxy_rig
from jasminehold import app as app_module
from jasminehold.decisions import instance_path
from jasminehold.standin import caller


def _client(context, index):
    client = caller.Client(context.rig.ports[index])
    context.add_cleanup(client.close)
    return client


def _ident(context, method):
    context.sent += 1
    ident = 'r%d' % context.sent
    if method == 'POST':
        context.unsafe.append(ident)
    return ident


def _send(context, method, service_ms=0):
    """Send a request to the first instance; return its client and id."""
    client = _client(context, 0)
    ident = _ident(context, method)
    headers = {'X-Request-Id': ident, 'X-Service-Ms': service_ms}
    client.send(method, '/' + ident, headers)
    return client, ident


def _request(context, index, method='GET'):
    """Return ``(reply, seconds)`` of a request with a number of its own."""
    client = _client(context, index)
    ident = _ident(context, method)
    begin = time.monotonic()
    headers = {'X-Request-Id': ident, 'Jasminehold-Deadline': 5000}
    reply = client.request(method, '/' + ident, headers)
    took = time.monotonic() - begin
    if reply.run == 'not-run':
        context.not_run.append(ident)
    return reply, took


@behave.given('two instances and four upstreams with held connections')
def given_instances(context):
    context.rig = proxy_rig.Rig('abcd', proxies=2, cuttable=True)
    context.add_cleanup(context.rig.stop)
    context.sent, context.not_run, context.unsafe = 0, [], []
    for index in (0, 1) * 4:
        assert _request(context, index)[0].status == 200


@behave.when('new connections of the first instance {kind}')
def when_cut(context, kind):
    rig = context.rig
    # Their losses look like crashes.
    context.early = [_send(context, 'GET', 300) for _ in range(4)]
    end = time.monotonic() + 2.0
    while sum(item.in_flight for item in rig.all) < len(context.early):
        assert time.monotonic() < end
        time.sleep(0.01)
    rig.call(rig.loops[0].cut, kind)
    context.cut_at = time.monotonic()


def _round(context, index):
    return [_request(context, index, method) for method in ('GET', 'POST')]


@behave.then('after {wait:g} s each of its requests is rejected within 0.2 s')
def then_rejected(context, wait):
    # More requests than there are held connections, as those may live on.
    for method in ('GET', 'POST') * 4:
        context.early.append(_send(context, method))
    time.sleep(max(context.cut_at + wait - time.monotonic(), 0.0))
    for _ in range(4):
        for reply, took in _round(context, 0):
            assert (reply.status, reply.kind) == (503, 'unavailable'), reply
            assert reply.run == 'not-run', reply
            assert int(reply.headers['retry-after']) >= 1, reply
            assert took < 0.2, took
        time.sleep(0.2)


@behave.then('nothing that was rejected as not run has run')
def then_not_run(context):
    for client, ident in context.early:
        if client.read().run == 'not-run':
            context.not_run.append(ident)
    ran = context.rig.executions('by_id')
    assert not set(context.not_run) & set(ran), ran


@behave.then('it blames no upstream and no request for a crash')
def then_blames(context):
    rig = context.rig
    blamed = rig.call(rig.health.ejected, rig.loop.now())
    assert not blamed, blamed
    assert not rig.crashes, rig.crashes


@behave.then('the other instance serves all')
def then_other(context):
    for _ in range(4):
        assert [item[0].status for item in _round(context, 1)] == [200, 200]


@behave.then('the first instance serves all')
def then_first(context):
    for _ in range(8):
        assert [item[0].status for item in _round(context, 0)] == [200, 200]


@behave.when('the path of the first instance heals')
def when_heals(context):
    context.rig.call(context.rig.loops[0].heal)
    context.healed_at = time.monotonic()


@behave.then('it serves all within {seconds:g} s')
def then_serves(context, seconds):
    while _request(context, 0)[0].status != 200:
        assert time.monotonic() < context.healed_at + seconds
        time.sleep(0.05)
    then_first(context)


@behave.then('no unsafe request ran twice')
def then_once(context):
    counts = context.rig.executions('by_id')
    twice = [name for name in context.unsafe if counts.get(name, 0) > 1]
    assert not twice, twice


@behave.when('one upstream stops')
def when_stops(context):
    rig = context.rig
    rig.call(rig.current['a'].stop)


@behave.then('a look-up sent then is answered within {seconds:g} s')
def then_answered(context, seconds):
    reply, took = _request(context, 0)
    assert reply.status in (502, 503), reply
    assert took < seconds, took


@behave.when('it has learned the configuration and {count:d} more instances')
def when_learned(context, count):
    app = context.app
    for item in documents.base_entries():
        app.on_document(item['key'], item['value'], item['version'])
    app._rebuild()
    rng = random.Random(1)
    for number in range(count):
        member = roles._member(number, rng)
        app.agent.state.members.merge(list(member), app.loop.now())
    app._update_view()
    context.ids = set(app._view[1])
    assert len(context.ids) == count + 1


def _tell(context, ident, lost, seconds_left=instance_path.NOTICE_TTL_S):
    key = instance_path.NOTICE_PREFIX + ident
    context.app.on_notice(key, {'lost': lost}, seconds_left)
    context.app.loop.call_later(
        app_module.REBUILD_DELAY_S + 0.05, context.app.stop
    )
    context.app.run()


def _named(context):
    found = context.app.proxy.answer('loja', '10.1.0.1')
    return {item['id'] for item in found['instances']}


@behave.when('an instance tells that it lost its path')
def when_tells(context):
    context.ident = sorted(context.ids - {'own'})[0]
    _tell(context, context.ident, True)


@behave.then('look-ups name the others only')
def then_others(context):
    assert _named(context) == context.ids - {context.ident}


@behave.when('all instances tell that they lost their path')
def when_all(context):
    for ident in context.ids:
        _tell(context, ident, True)


@behave.then('look-ups name all')
def then_all(context):
    assert _named(context) == context.ids


@behave.when('an instance tells that its path is back')
def when_back(context):
    _tell(context, context.ident, False)


@behave.then('look-ups name that instance only')
def then_only(context):
    assert _named(context) == {context.ident}


@behave.then('a word that is not renewed for 5 s no longer counts')
def then_expires(context):
    assert instance_path.NOTICE_TTL_S <= 5.0
    for ident in context.ids:
        _tell(context, ident, True, 0.01)
    assert _named(context) == context.ids
    _tell(context, context.ident, True)
    assert _named(context) == context.ids - {context.ident}
