"""Steps for the request path over real sockets."""

import json
import socket
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
LARGE = 3_000_000
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
    return reply.complete and reply.body == standin.response_body(*args)


def _busy(rig):
    return sum(item.in_flight for item in rig.all)


def _runs(rig):
    return sum(item.counts['executions'] for item in rig.all)


def _expect(reply, kind, run):
    assert (reply.kind, reply.run) == (kind, run), reply


def _settled(rig, count=None):
    """Wait until all targets were released; the count is optional."""
    assert _until(lambda: rig.taken == rig.released), rig.released
    assert count is None or rig.released == count, rig.released


def _slow(context, method='POST', path='/slow', key=None, body=b''):
    """Send a slow request and return its client when it holds a slot."""
    client = _client(context)
    headers = {'X-Service-Ms': 500} | ({'Idempotency-Key': key} if key else {})
    client.send(method, path, headers, body)
    assert _until(lambda: _busy(context.rig) == 1)
    return client


GIVEN = {
    'proxies': {'timeout_s': 0.8},
    'proxies with small limits': {'limits': SMALL},
    'proxies with one slot': {'options': standin.Options(slots=1)},
    'proxies with one slot and no queue': {
        'options': standin.Options(slots=1, queue=0)
    },
    'proxies with a body limit above what is read before sending': {
        'limits': server_module.Limits(body_bytes=100_000)
    },
    'proxies with one upstream': {'names': ('a',)},
    'proxies with one connection to each upstream': {'connections': 1},
    'proxies that accept no caller': {
        'limits': server_module.Limits(callers=0)
    },
}


@behave.given('the rig "{what}"')
def given(context, what):
    context.rig = proxy_rig.Rig(**GIVEN[what])
    context.add_cleanup(context.rig.stop)


@behave.when('a caller sends the raw input "{name}"')
def when_raw(context, name):
    client = _client(context)
    client.sock.sendall(RAW[name])
    client.http.send(
        h11.Request(method='GET', target='/', headers=[('Host', 'h')])
    )
    context.reply = client.read()


@behave.then('the answer is {status:d} "{kind}" and says "{run}"')
def then_answer(context, status, kind, run):
    _expect(context.reply, kind, run)
    assert context.reply.status == status
    assert context.rig.metrics.value('refused_total', kind=kind) == 1
    _settled(context.rig)


@behave.then('no request ran')
def then_nothing(context):
    assert not _runs(context.rig)


@behave.then('the connection of a caller that sends nothing is closed')
def then_closed(context):
    assert _client(context).sock.recv(1) == b''


@behave.when('a caller sends {method} with the fault "{fault}" at "{where}"')
def when_fault(context, method, fault, where):
    context.method = method
    context.client = _client(context)
    headers = {'X-Fault': fault, 'X-Request-Id': 'r', 'X-Size': 100_000}
    if where != 'all':
        headers['X-Fault-At'] = where
    context.reply = context.client.request(method, '/f', headers)


@behave.then('the outcome is "{outcome}" with {runs} executions')
def then_outcome(context, outcome, runs):
    reply = context.reply
    if outcome == 'answer':
        assert _correct(reply, context.method, '/f', size=100_000), reply
    elif outcome == 'cut':
        assert reply.status == 200 and not reply.complete
    else:
        _expect(reply, outcome, 'unknown')
    count = context.rig.executions('by_id')['r']
    assert runs == 'any' or count == int(runs), count
    _settled(context.rig)


@behave.then('the next request of the caller is answered correctly')
def then_next(context):
    client = context.client if context.reply.complete else _client(context)
    for _ in range(3):
        assert _correct(client.request('GET', '/next'), 'GET', '/next')


@behave.then('of {count:d} slow requests at once 2 run, others get "{kind}"')
def then_shed(context, count, kind):
    clients = [_client(context) for _ in range(count)]
    for index, client in enumerate(clients):
        client.send('POST', '/', {'X-Service-Ms': 400, 'X-Request-Id': index})
    replies = [client.read() for client in clients]
    runs = context.rig.executions('by_id')
    assert [reply.kind for reply in replies].count('') == 2, replies
    for index, reply in enumerate(replies):
        if reply.kind:
            _expect(reply, kind, 'not-run')
            assert 'retry-after' in reply.headers
        assert runs.get(str(index), 0) == (0 if reply.kind else 1)


@behave.when('upstream "{name}" drains over its control port')
def when_drain_upstream(context, name):
    client = caller.Client(context.rig.current[name].port)
    assert client.request('POST', '/control/drain').status == 200
    health = json.loads(client.request('GET', '/health').body)
    assert health['leaving'] is True
    assert client.request('GET', '/load').status == 200
    client.close()


@behave.then('{count:d} requests are all answered by "{name}"')
def then_all_by(context, count, name):
    client = _client(context)
    for _ in range(count):
        reply = client.request('POST', '/')
        assert reply.headers['x-upstream'] == name, reply


@behave.then('a request ends as "{kind}" without executions')
def then_kind(context, kind):
    before = _runs(context.rig)
    _expect(_client(context).request('POST', '/'), kind, 'not-run')
    assert before == _runs(context.rig)


@behave.then('a request that waits for a slot past its deadline does not run')
def then_not_started(context):
    slow = [_client(context), _client(context)]
    for client in slow:
        client.send('GET', '/', {'X-Service-Ms': 1000})
    assert _until(lambda: _busy(context.rig) == 2)
    headers = {'Jasminehold-Deadline': 300, 'X-Request-Id': 'short'}
    reply = _client(context).request('GET', '/', headers)
    _expect(reply, 'deadline_unknown', 'unknown')
    assert all(client.read().status == 200 for client in slow)
    assert 'short' not in context.rig.executions('by_id')


@behave.then('work is cancelled and its slot released when its caller leaves')
def then_cancelled(context):
    rig = context.rig
    _slow(context, 'GET').close()
    assert _until(lambda: _busy(rig) == 0, 0.3)
    assert sum(item.counts['cancelled'] for item in rig.all) == 1
    _settled(rig, 1)


@behave.when('the caller of an order leaves and another sends it again')
def when_resend(context):
    _slow(context, 'POST', '/order', 'k1', b'x').close()
    headers = {'Idempotency-Key': 'k1', 'X-Service-Ms': 500}
    client, kinds = _client(context), []
    for _ in range(50):
        reply = client.request('POST', '/order', headers, b'x')
        kinds.append(reply.kind)
        if not reply.kind:
            break
        time.sleep(0.05)
    assert kinds[0] == 'in_progress' and set(kinds[:-1]) == {'in_progress'}
    assert _correct(reply, 'POST', '/order', b'x', b'k1'), kinds


@behave.then('the order ran once and its key is refused for another body')
def then_once(context):
    headers = {'Idempotency-Key': 'k1'}
    reply = _client(context).request('POST', '/order', headers, b'other')
    _expect(reply, 'key_reused', 'not-run')
    assert context.rig.executions('by_key') == {'k1': 1}


@behave.then('a claimed order is completed after its caller stopped reading')
def then_completed(context):
    client = _client(context)
    headers = {'Idempotency-Key': 'k2', 'X-Size': 20_000_000}
    client.send('POST', '/order', headers)
    time.sleep(0.2)
    client.close()
    value = context.rig.metrics.value
    assert _until(lambda: value('attempts_total', result='ok') == 1, 0.5)
    _settled(context.rig, 1)


@behave.then('{sent:d} bytes up and {size:d} down use less than {bound:d}')
def then_bounded(context, sent, size, bound):
    body = bytes(range(256)) * (sent // 256)
    client = _client(context)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    most = [0]

    def watch():
        total = sum(conn.buffered for conn in list(context.rig.loop.conns))
        most[0] = max(most[0], total)
        context.rig.loop.call_later(0.0005, watch)

    context.rig.loop.call_soon(watch)
    client.send('POST', '/big', {'X-Size': size}, body)
    time.sleep(0.2)
    assert _correct(client.read(), 'POST', '/big', body, size=size)
    assert 0 < most[0] < bound, most


@behave.then('the upstream sees no headers of one hop and a bounded deadline')
def then_hop(context):
    client = _client(context)
    headers = {'Connection': 'X-Own, keep-alive', 'X-Own': '1', 'TE': 'gzip'}
    headers |= {'Keep-Alive': '5', 'Upgrade': 'h2c', 'Proxy-Connection': 'x'}
    headers['Jasminehold-Deadline'] = 500
    reply = client.request('GET', '/', headers)
    own = ['jasminehold-deadline', 'jasminehold-request']
    assert sorted(reply.headers['x-seen'].split()) == ['host'] + own, reply
    assert 'keep-alive' not in reply.headers
    assert 0 < int(reply.headers['x-deadline']) <= 500
    reply = client.request('GET', '/', {'Jasminehold-Deadline': 90000})
    assert 0 < int(reply.headers['x-deadline']) <= 800, reply


@behave.then('a target that comes after its caller left is released')
def then_late_target(context):
    rig, waiting = context.rig, []
    pick = rig.hooks.pick
    rig.proxies[0].hooks = rig.hooks._replace(
        pick=lambda *args: hooks.Refusal(errors.Kind.OVERLOADED),
        wait_for_target=lambda req, tried, deadline, done: waiting.append(
            done
        ),
    )
    client = _client(context)
    client.send('POST', '/')
    assert _until(lambda: waiting)
    client.close()
    assert _until(lambda: not rig.proxies[0].exchanges)
    rig.call(lambda: waiting[0](pick(None, (), 0)))
    _settled(rig, 1)


@behave.then('a caller that does not read {size:d} bytes is cut off in time')
def then_unread(context, size):
    rig = context.rig
    _client(context).send('GET', '/', {'X-Size': size})
    assert _until(lambda: rig.proxies[0].exchanges)
    assert _until(lambda: not rig.proxies[0].exchanges)
    count = rig.metrics.value('answers_cut_total', kind='deadline_unknown')
    assert count == 1
    _settled(rig, 1)


@behave.then('{count:d} requests in one write are answered in order')
def then_order(context, count):
    client = _client(context)
    raw = [b'GET /%d HTTP/1.1\r\n%s\r\n' % (n, HOST) for n in range(count)]
    client.sock.sendall(b''.join(raw))
    for number in range(count):
        client.http.send(
            h11.Request(method='GET', target='/', headers=[('Host', 'h')])
        )
        client.http.send(h11.EndOfMessage())
        assert _correct(client.read(), 'GET', '/%d' % number), number


@behave.then('a caller that waits for 100 Continue gets it and its answer')
def then_continued(context):
    client = _client(context)
    headers = [('Host', 'loja.example'), ('Expect', '100-continue')]
    headers.append(('Content-Length', '3'))
    head = h11.Request(method='POST', target='/e', headers=headers)
    client.sock.sendall(client.http.send(head))
    first = client.sock.recv(1000)
    assert first.startswith(b'HTTP/1.1 100'), first
    client.http.receive_data(first)
    data = client.http.send(h11.Data(data=b'abc'))
    client.sock.sendall(data + client.http.send(h11.EndOfMessage()))
    assert _correct(client.read(), 'POST', '/e', b'abc')
    assert client.received_continue


@behave.then('{count:d} requests in turn use one upstream connection')
def then_one_connection(context, count):
    client = _client(context)
    for index in range(count):
        method = 'POST' if index % 2 else 'GET'
        assert _correct(client.request(method, '/t'), method, '/t')
    assert context.rig.all[0].counts['connections'] == 1
    assert context.rig.metrics.value('upstream_connections_total') == 1


@behave.then('a request that crashes its upstream is reported with the crash')
def then_crash(context):
    reply = _client(context).request('POST', '/c', {'X-Crash': 1})
    _expect(reply, 'outcome_unknown', 'unknown')
    assert _until(lambda: context.rig.crashes)
    name, prints = context.rig.crashes[0]
    assert name in ('a', 'b') and len(prints) == 1


@behave.when('the proxy drains while a slow request is in flight')
def when_drain(context):
    context.kept = _client(context)
    assert context.kept.request('GET', '/').status == 200
    context.client = _slow(context)
    context.ended = []
    drain = context.rig.proxies[0].drain
    context.rig.call(drain, lambda: context.ended.append(1))


@behave.then('it is answered, new ones get "leaving", and the drain ends')
def then_drained(context):
    _expect(context.kept.request('GET', '/'), 'leaving', 'not-run')
    reply = context.client.read()
    assert _correct(reply, 'POST', '/slow')
    assert reply.headers['connection'] == 'close'
    assert _until(lambda: context.ended)
    try:
        _client(context)
    except ConnectionRefusedError:
        return
    raise AssertionError('still accepts')


@behave.when(
    'the proxy drains while a caller takes 1 s to read and goes on sending'
)
def when_sending(context):
    client = caller.Client(context.rig.ports[0], window=4096)
    context.add_cleanup(client.close)
    client.send('GET', '/large', {'X-Size': LARGE})
    time.sleep(0.1)
    context.rig.call(context.rig.proxies[0].drain, lambda: None)

    def send():
        try:
            for _ in range(30):
                client.sock.sendall(
                    b'GET /more HTTP/1.1\r\nhost: loja.example\r\n\r\n'
                )
                time.sleep(0.05)
        except OSError:
            # The proxy has closed the connection.
            pass

    threading.Thread(target=send, daemon=True).start()
    context.reply = client.read(LARGE)


@behave.then('it gets its whole answer')
def then_whole_answer(context):
    reply = context.reply
    assert reply.complete and len(reply.body) == LARGE, len(reply.body)


@behave.when('the body of a slow request ends 0.4 s before the proxy stops')
def when_late_body(context):
    # The proxy knows then how long a slow request takes.
    for _ in range(4):
        assert _correct(_slow(context).read(), 'POST', '/slow')
    context.client = client = _client(context)
    head = h11.Request(
        method='POST',
        target='/slow',
        headers={
            'Host': 'loja.example',
            'X-Service-Ms': '500',
            'Content-Length': '4',
        }.items(),
    )
    client.sock.sendall(client.http.send(head))
    proxy = context.rig.proxies[0]
    # A drain closes connections that have not been accepted.
    assert _until(
        lambda: any(not item._body_complete for item in list(proxy.exchanges))
    )
    proxy.stops_at = proxy.loop.now() + 0.4
    context.rig.call(proxy.drain, lambda: None)
    context.runs = _runs(context.rig)
    context.begin = time.monotonic()
    body = client.http.send(h11.Data(data=b'late'))
    client.sock.sendall(body + client.http.send(h11.EndOfMessage()))


@behave.then('it ends as "leaving" at once, and no upstream runs it')
def then_leaving(context):
    reply = context.client.read()
    seconds = time.monotonic() - context.begin
    _expect(reply, 'leaving', 'not-run')
    assert seconds < 0.3, seconds
    assert _runs(context.rig) == context.runs


class _SlowCaller:
    # A connection whose last answer is still in its write buffer.
    idle = True
    buffered = 5
    timeout_at = float('inf')

    def close(self):
        """Close, if it has been asked to, when all has been taken."""


@behave.when('the proxy drains while a caller has not taken its answer')
def when_drain_slow(context):
    proxy = context.rig.proxies[0]
    context.slow, context.ended = _SlowCaller(), []
    context.rig.call(proxy.callers.add, context.slow)
    context.rig.call(proxy.drain, lambda: context.ended.append(1))


@behave.then('the drain ends when it has, and not before')
def then_waits(context):
    time.sleep(context.rig.proxies[0].limits.drain_s + 0.3)
    assert not context.ended
    context.slow.buffered = 0
    assert _until(lambda: context.ended)


@behave.then('a slow request ends as "{kind}" when the proxy stops')
def then_ends(context, kind):
    client = _slow(context)
    context.rig.call(context.rig.proxies[0].stop)
    _expect(client.read(), kind, 'unknown')


@behave.then('look-ups by GET and POST are answered')
def then_lookups(context):
    client = _client(context)
    reply = client.request('GET', '/v1/lookup?service=s&block=10.0.0.0/24')
    assert json.loads(reply.body) == {'answers': [{'service': 's'}]}
    queries = [{'service': str(n), 'block': 'b'} for n in range(1000)]
    body = json.dumps({'queries': queries}).encode()
    reply = client.request('POST', '/v1/lookup', body=body)
    assert len(json.loads(reply.body)['answers']) == 1000


@behave.then('1001 queries, bad JSON and a missing block are refused')
def then_lookups_refused(context):
    queries = [{'service': 's', 'block': 'b'}] * 1001
    many = json.dumps({'queries': queries}).encode()
    client = _client(context)
    for body in (many, b'{', b'[]', b'{"queries": [{"service": "s"}]}'):
        reply = client.request('POST', '/v1/lookup', body=body)
        assert reply.kind == 'bad_request', (body[:20], reply)
