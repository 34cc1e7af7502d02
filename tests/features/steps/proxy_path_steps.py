"""Steps for the request path over real sockets."""

import json
import threading
import time

import behave
import h11

from builders import proxy_rig
from jasminehold import errors
from jasminehold.proxy import hooks
from jasminehold.proxy import server as server_module
from jasminehold.standin import caller
from jasminehold.standin import upstream as standin

SMALL = server_module.Limits(
    head_bytes=4096, body_bytes=60_000, head_s=0.4, body_s=0.4, idle_s=0.4
)
HOST = b'Host: loja.example\r\n'
POST = b'POST / HTTP/1.1\r\n' + HOST
GET = b'GET / HTTP/1.1\r\n' + HOST
CHUNKED = b'Transfer-Encoding: chunked\r\n'
RAW = {
    'both lengths': POST + CHUNKED + b'Content-Length: 3\r\n\r\nabc',
    'two lengths': POST
    + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
    'not http': b'\x16\x03\x01 hello\r\n\r\n',
    'old version': b'GET / HTTP/1.0\r\n' + HOST + b'\r\n',
    'bad chunk': POST + CHUNKED + b'\r\nzz\r\nabc\r\n',
    'bad deadline': GET + b'Jasminehold-Deadline: -5\r\n\r\n',
    'large head': GET + b'X: ' + b'x' * 5000 + b'\r\n\r\n',
    'endless head': GET + b'X: ' + b'x' * 90000,
    'many headers': GET + b'X: y\r\n' * 120 + b'\r\n',
    'large body': POST + b'Content-Length: 60001\r\n\r\n',
    'large chunked body': POST
    + CHUNKED
    + b'\r\n'
    + (b'8000\r\n' + b'x' * 0x8000 + b'\r\n') * 4,
    'connect': b'CONNECT h:1 HTTP/1.1\r\n' + HOST + b'\r\n',
    'bad service': b'GET / HTTP/1.1\r\nHost: _.example\r\n\r\n',
    'deadline passed': GET + b'Jasminehold-Deadline: 0\r\n\r\n',
    'slow head': GET + b'X: ',
    'slow body': POST + b'Content-Length: 30\r\n\r\nabc',
}


def _start(context, **kwargs):
    context.rig = proxy_rig.Rig(**kwargs)
    context.add_cleanup(context.rig.stop)


def _client(context):
    client = caller.Client(context.rig.ports[0])
    context.add_cleanup(client.close)
    return client


def _until(check, seconds=3.0):
    end = time.monotonic() + seconds
    while not check() and time.monotonic() < end:
        time.sleep(0.01)
    return check()


def _correct(reply, method, path, body=b'', key=b'', size=64):
    args = (method.encode(), path.encode(), body, key, size)
    return reply.whole and reply.body == standin.answer_body(*args)


def _threads(count, func):
    threads = [
        threading.Thread(target=func, args=(index,)) for index in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)


@behave.given('proxies')
def given_proxies(context):
    _start(context, timeout_s=0.8)


@behave.given('proxies with small limits')
def given_small(context):
    _start(context, limits=SMALL)


@behave.given('proxies with one slot')
def given_one_slot(context):
    _start(context, options=standin.Options(slots=1))


@behave.given('proxies with one slot and no queue')
def given_no_queue(context):
    _start(context, options=standin.Options(slots=1, queue=0))


@behave.given('proxies with a body limit above what is read before sending')
def given_body_limit(context):
    _start(context, limits=server_module.Limits(body_bytes=100_000))


@behave.then('the answer has kind "{kind}" and says "{run}"')
def then_kind_run(context, kind, run):
    assert (context.reply.kind, context.reply.run) == (kind, run)
    assert _until(lambda: context.rig.taken == context.rig.released == 1)


@behave.given('proxies with one upstream')
def given_one_upstream(context):
    _start(context, names=('a',))


@behave.when('a caller sends the raw input "{name}"')
def when_raw(context, name):
    client = _client(context)
    client.sock.sendall(RAW[name])
    client.http.send(
        h11.Request(method='GET', target='/', headers=[('Host', 'h')])
    )
    context.reply = client.read()


@behave.then(
    'the answer has status {status:d} and kind "{kind}" and says "{run}"'
)
def then_answer(context, status, kind, run):
    reply = context.reply
    assert (reply.status, reply.kind, reply.run) == (status, kind, run), reply
    count = context.rig.metrics.value('refused_total', kind=kind)
    assert count == 1, count


@behave.then('nothing ran')
def then_nothing(context):
    assert not sum(i.counts['executions'] for i in context.rig.all)
    assert context.rig.taken == context.rig.released


@behave.when('a caller connects and sends nothing')
def when_idle(context):
    context.client = _client(context)


@behave.then('its connection is closed')
def then_closed(context):
    assert context.client.sock.recv(1) == b''


@behave.when('a caller sends {method} with the fault "{fault}" at "{where}"')
def when_fault(context, method, fault, where):
    context.method = method
    context.client = _client(context)
    headers = {'X-Fault': fault, 'X-Request-Id': 'r', 'X-Size': 100_000}
    if where != 'all':
        headers['X-Fault-At'] = where
    context.reply = context.client.ask(method, '/f', headers)


@behave.then('the outcome is "{outcome}" with {runs} executions')
def then_outcome(context, outcome, runs):
    reply = context.reply
    if outcome == 'answer':
        assert _correct(reply, context.method, '/f', size=100_000), reply
    elif outcome == 'cut':
        assert reply.status == 200 and not reply.whole
    else:
        assert (reply.kind, reply.run) == (outcome, 'unknown'), reply
    count = context.rig.executions('by_id')['r']
    assert runs == 'any' or count == int(runs), count
    assert _until(lambda: context.rig.taken == context.rig.released)


@behave.then('the next request of the caller is answered correctly')
def then_next(context):
    client = context.client if context.reply.whole else _client(context)
    for _ in range(3):
        assert _correct(client.ask('GET', '/next'), 'GET', '/next')


@behave.when('{count:d} callers send slow POST requests at once')
def when_many(context, count):
    context.replies = {}

    def send(index):
        headers = {'X-Service-Ms': 400, 'X-Request-Id': index}
        context.replies[index] = _client(context).ask('POST', '/', headers)

    _threads(count, send)


@behave.then(
    '{count:d} are answered and the others end as "{kind}" without executions'
)
def then_shed(context, count, kind):
    runs = context.rig.executions('by_id')
    kinds = [reply.kind for reply in context.replies.values()]
    assert kinds.count('') == count, kinds
    for index, reply in context.replies.items():
        if reply.kind:
            assert (reply.kind, reply.run) == (kind, 'not-run'), reply
            assert 'retry-after' in reply.headers
        assert runs.get(str(index), 0) == (0 if reply.kind else 1)


@behave.when('upstream "{name}" drains over its control port')
def when_drain_upstream(context, name):
    client = caller.Client(context.rig.current[name].port)
    assert client.ask('POST', '/control/drain').status == 200
    health = json.loads(client.ask('GET', '/health').body)
    assert health['leaving'] is True
    assert client.ask('GET', '/load').status == 200
    client.close()


@behave.then('{count:d} requests are all answered by "{name}"')
def then_all_by(context, count, name):
    client = _client(context)
    for _ in range(count):
        reply = client.ask('POST', '/')
        assert reply.headers['x-upstream'] == name, reply


@behave.then('a request ends as "{kind}" without executions')
def then_kind(context, kind):
    before = sum(i.counts['executions'] for i in context.rig.all)
    reply = _client(context).ask('POST', '/')
    assert (reply.kind, reply.run) == (kind, 'not-run'), reply
    assert before == sum(i.counts['executions'] for i in context.rig.all)


@behave.when(
    '2 slow requests hold the slots and one with a short deadline waits'
)
def when_deadline(context):
    def send(index):
        if index == 2:
            time.sleep(0.2)
            headers = {'Jasminehold-Deadline': 300, 'X-Request-Id': 'short'}
            context.reply = _client(context).ask('GET', '/', headers)
        else:
            headers = {'X-Service-Ms': 1000}
            assert _client(context).ask('GET', '/', headers).status == 200

    _threads(3, send)


@behave.then('the waiting one ends without executions')
def then_not_started(context):
    assert context.reply.kind == 'deadline_unknown', context.reply
    assert 'short' not in context.rig.executions('by_id')


@behave.when('a caller sends a slow "{method}" and leaves')
def when_leave(context, method):
    client = _client(context)
    headers = {'X-Service-Ms': 500}
    if method == 'POST':
        headers['Idempotency-Key'] = 'k1'
    client.send(method, '/order', headers, b'x' if method == 'POST' else b'')
    assert _until(lambda: sum(i.in_flight for i in context.rig.all) == 1)
    client.close()


@behave.then('the work is cancelled, the slot is free and the target released')
def then_cancelled(context):
    rig = context.rig
    assert _until(lambda: sum(i.in_flight for i in rig.all) == 0, 0.3)
    assert sum(item.counts['cancelled'] for item in rig.all) == 1
    assert _until(lambda: rig.taken == rig.released == 1)


@behave.when('the order is sent again until it is answered')
def when_resend(context):
    headers = {'Idempotency-Key': 'k1', 'X-Service-Ms': 500}
    client = _client(context)
    kinds = []
    for _ in range(50):
        reply = client.ask('POST', '/order', headers, b'x')
        kinds.append(reply.kind)
        if not reply.kind:
            break
        time.sleep(0.05)
    assert kinds[0] == 'in_progress' and set(kinds[:-1]) == {'in_progress'}
    assert _correct(reply, 'POST', '/order', b'x', b'k1'), kinds


@behave.then('the order ran once')
def then_once(context):
    assert context.rig.executions('by_key') == {'k1': 1}


@behave.then('the same key with another body is refused as "{kind}"')
def then_reused(context, kind):
    headers = {'Idempotency-Key': 'k1'}
    reply = _client(context).ask('POST', '/order', headers, b'other')
    assert (reply.kind, reply.run) == (kind, 'not-run'), reply
    then_once(context)


@behave.when(
    'a caller sends {sent:d} bytes, asks for {size:d} and reads slowly'
)
def when_large(context, sent, size):
    body = bytes(range(256)) * (sent // 256)
    client = _client(context)
    client.sock.setsockopt(1, 8, 65536)
    context.most = 0

    def watch():
        total = sum(conn.buffered for conn in list(context.rig.loop.conns))
        context.most = max(context.most, total)
        context.rig.loop.call_later(0.0005, watch)

    context.rig.loop.call_soon(watch)
    client.send('POST', '/big', {'X-Size': size}, body)
    time.sleep(0.2)
    context.reply = client.read()
    assert _correct(context.reply, 'POST', '/big', body, size=size)


@behave.then(
    'it gets its whole answer and buffers stayed under {bound:d} bytes'
)
def then_bounded(context, bound):
    assert 0 < context.most < bound, context.most


@behave.when('a caller sends a request with headers of one hop and a deadline')
def when_hop(context):
    context.client = _client(context)
    headers = {'Connection': 'X-Own, keep-alive', 'X-Own': '1', 'TE': 'gzip'}
    headers |= {'Keep-Alive': '5', 'Upgrade': 'h2c', 'Proxy-Connection': 'x'}
    headers['Jasminehold-Deadline'] = 500
    context.reply = context.client.ask('GET', '/', headers)


@behave.then(
    'the upstream saw none of these headers and less time than allowed'
)
def then_hop(context):
    seen = context.reply.headers['x-seen'].split()
    own = ['jasminehold-deadline', 'jasminehold-request']
    assert sorted(seen) == ['host'] + own, seen
    assert 'keep-alive' not in context.reply.headers
    assert 0 < int(context.reply.headers['x-deadline']) <= 500
    reply = context.client.ask('GET', '/', {'Jasminehold-Deadline': 90000})
    assert 0 < int(reply.headers['x-deadline']) <= 800, reply


@behave.when('a caller leaves while its request waits for a target')
def when_wait(context):
    rig, waiting = context.rig, []
    pick = rig.hooks.pick
    rig.proxies[0].hooks = rig.hooks._replace(
        pick=lambda *args: hooks.Refusal(errors.Kind.OVERLOADED),
        wait_for_target=lambda req, deadline, done: waiting.append(done),
    )
    client = _client(context)
    client.send('POST', '/')
    assert _until(lambda: waiting)
    client.close()
    assert _until(lambda: not rig.proxies[0].exchanges)
    rig.call(lambda: waiting[0](pick(None, (), 0)))


@behave.then('the late target is released and nothing ran')
def then_late_target(context):
    assert context.rig.released == 1
    then_nothing(context)


@behave.when('a caller asks for {size:d} bytes and does not read')
def when_unread(context, size):
    _client(context).send('GET', '/', {'X-Size': size})
    assert _until(lambda: context.rig.proxies[0].exchanges)


@behave.then('its request ends and the work is cancelled')
def then_unread(context):
    rig = context.rig
    assert _until(lambda: not rig.proxies[0].exchanges)
    name = 'answers_cut_total'
    assert rig.metrics.value(name, kind='deadline_unknown') == 1
    assert rig.taken == rig.released == 1


@behave.when('a caller sends {count:d} requests in one write')
def when_pipelined(context, count):
    client = _client(context)
    client.sock.sendall(
        b''.join(
            b'GET /%d HTTP/1.1\r\n%s\r\n' % (index, HOST)
            for index in range(count)
        )
    )
    context.replies = []
    for _ in range(count):
        client.http.send(
            h11.Request(method='GET', target='/', headers=[('Host', 'h')])
        )
        client.http.send(h11.EndOfMessage())
        context.replies.append(client.read())


@behave.then('the {count:d} answers come in order')
def then_order(context, count):
    for index, reply in enumerate(context.replies):
        assert _correct(reply, 'GET', '/%d' % index), (index, reply)


@behave.when('a caller sends a head with Expect and waits')
def when_expect(context):
    client = context.client = _client(context)
    headers = [
        ('Host', 'loja.example'),
        ('Expect', '100-continue'),
        ('Content-Length', '3'),
    ]
    head = h11.Request(method='POST', target='/e', headers=headers)
    client.sock.sendall(client.http.send(head))
    first = client.sock.recv(1000)
    assert first.startswith(b'HTTP/1.1 100'), first
    client.http.receive_data(first)
    data = client.http.send(h11.Data(data=b'abc'))
    client.sock.sendall(data + client.http.send(h11.EndOfMessage()))
    context.reply = client.read()


@behave.then('it is asked to continue and answered')
def then_continued(context):
    assert context.client.continued
    assert _correct(context.reply, 'POST', '/e', b'abc'), context.reply


@behave.when('a caller sends {count:d} requests in turn')
def when_turn(context, count):
    client = _client(context)
    for index in range(count):
        method = 'POST' if index % 2 else 'GET'
        assert _correct(client.ask(method, '/t'), method, '/t')


@behave.then('one upstream connection was opened')
def then_one_connection(context):
    assert context.rig.all[0].counts['connections'] == 1
    assert context.rig.metrics.value('upstream_connections_total') == 1


@behave.when('a caller sends a request that crashes its upstream')
def when_crash(context):
    context.reply = _client(context).ask('POST', '/c', {'X-Crash': 1})


@behave.then('the crash is reported with that request')
def then_crash(context):
    assert context.reply.kind == 'outcome_unknown', context.reply
    assert _until(lambda: context.rig.crashes)
    name, prints = context.rig.crashes[0]
    assert name in ('a', 'b') and len(prints) == 1


def _slow_in_flight(context):
    client = _client(context)
    client.send('POST', '/slow', {'X-Service-Ms': 500})
    assert _until(lambda: sum(i.in_flight for i in context.rig.all) == 1)
    return client


@behave.when('the proxy drains while a slow request is in flight')
def when_drain(context):
    context.kept = _client(context)
    assert context.kept.ask('GET', '/').status == 200
    context.client = _slow_in_flight(context)
    context.ended = []
    drain = context.rig.proxies[0].drain
    context.rig.call(drain, lambda: context.ended.append(1))


@behave.then(
    'that request is answered, a new one gets "leaving", and drain ends'
)
def then_drained(context):
    reply = context.kept.ask('GET', '/')
    assert (reply.kind, reply.run) == ('leaving', 'not-run'), reply
    reply = context.client.read()
    assert _correct(reply, 'POST', '/slow')
    assert reply.headers['connection'] == 'close'
    assert _until(lambda: context.ended)
    try:
        _client(context)
    except ConnectionRefusedError:
        return
    raise AssertionError('still accepts')


@behave.when('the proxy stops while a slow request is in flight')
def when_stop(context):
    context.client = _slow_in_flight(context)
    context.rig.call(context.rig.proxies[0].stop)


@behave.then('that request ends as "{kind}"')
def then_ends(context, kind):
    reply = context.client.read()
    assert (reply.kind, reply.run) == (kind, 'unknown'), reply


@behave.then('look-ups by GET and POST are answered')
def then_lookups(context):
    client = _client(context)
    reply = client.ask('GET', '/v1/lookup?service=s&block=10.0.0.0/24')
    assert json.loads(reply.body) == {'answers': [{'service': 's'}]}
    queries = [{'service': str(n), 'block': 'b'} for n in range(1000)]
    body = json.dumps({'queries': queries}).encode()
    reply = client.ask('POST', '/v1/lookup', body=body)
    assert len(json.loads(reply.body)['answers']) == 1000


@behave.then('1001 queries, bad JSON and a missing block are refused')
def then_lookups_refused(context):
    queries = [{'service': 's', 'block': 'b'}] * 1001
    many = json.dumps({'queries': queries}).encode()
    client = _client(context)
    for body in (many, b'{', b'[]', b'{"queries": [{"service": "s"}]}'):
        reply = client.ask('POST', '/v1/lookup', body=body)
        assert reply.kind == 'bad_request', (body[:20], reply)
