"""Steps for the operators' API."""

import concurrent.futures
import socket
import time
import types

import behave
import circuits

from builders import api_server
from builders import documents

AUTH = 'Host: a\r\nAuthorization: Bearer %s\r\n' % api_server.TOKENS['ana']
REGION = '/v1/resources/region/sul'
POOL = concurrent.futures.ThreadPoolExecutor(8)


@behave.given("an operators' API")
def given_api(context):
    context.api = api_server.ApiServer(
        api_read_timeout=1.0,
        idle_timeout=1.0,
        api_max_connections=8,
        watch_history=6,
    )
    context.add_cleanup(context.api.stop)


def _connect(context):
    sock = socket.create_connection(('127.0.0.1', context.api.port), 5)
    context.add_cleanup(sock.close)
    return sock


def _read_all(sock):
    # Reads to the end of the connection, but after a whole answer waits only
    # a little for anything that should not follow.
    data = part = b''
    while part or not data:
        try:
            part = sock.recv(65536)
        except (ConnectionResetError, TimeoutError):
            break
        if not part:
            break
        data += part
        if data.endswith(b'}'):
            sock.settimeout(0.1)
    return data


@behave.when('the raw request "{request}" is sent')
def when_raw(context, request):
    text = request.replace('\\r\\n', '\r\n').replace('{}', AUTH, 1)
    text = text.replace('HEADER', 'h' * 20000).replace('BODY', 'b' * 600000)
    text = text.replace('NESTED', '[' * 400000)
    sock = _connect(context)
    sock.sendall(text.encode())
    context.data = _read_all(sock)


@behave.then('it is refused with {status:d} as {kind} and counted')
def then_refused(context, status, kind):
    head = context.data.decode()
    assert head.startswith('HTTP/1.1 %d ' % status), head[:300]
    assert 'Jasminehold-Error: %s\r\n' % kind in head, head
    assert head.count('HTTP/1.1') == 1
    assert context.api.metrics.value('api_refused_total', kind=kind) == 1


@behave.then('the connection ends without an answer and counted as timeout')
def then_timeout(context):
    assert context.data == b''
    value = context.api.metrics.value('api_refused_total', kind='timeout')
    assert value == 1


@behave.then('one answer with 200 arrives')
def then_one_answer(context):
    assert context.data.startswith(b'HTTP/1.1 200 ')
    assert context.data.count(b'HTTP/1.1') == 1


@behave.when('8 connections stay open and one more comes')
def when_many(context):
    for _ in range(8):
        _connect(context)
    context.data = _read_all(_connect(context))


@behave.then('an upstream with unknown references answers 400 and their paths')
def then_names(context):
    spec = documents.SPECS['upstream']
    status, _, body = context.api.put('upstream', 'u-1', spec)
    paths = [fault['path'] for fault in body['error']['details']]
    assert (status, paths) == (400, ['spec.service', 'spec.place']), body


def _region(context, capacity, version, name='sul'):
    spec = {'capacity_rps': capacity}
    return context.api.put('region', name, spec, version)


def _declare(context, name='sul'):
    status, _, body = _region(context, 400, 0, name)
    assert status == 201, body
    return body['metadata']['resource_version']


@behave.then('of 8 clients that update one version one wins, 7 get 409')
def then_race(context):
    version = _declare(context)
    work = [POOL.submit(_region, context, n, version) for n in range(1, 9)]
    answers = [future.result() for future in work]
    statuses = sorted(status for status, _, _ in answers)
    assert statuses == [200] + [409] * 7, statuses
    (winner,) = [body for status, _, body in answers if status == 200]
    assert context.api.call('GET', REGION)[2] == winner


@behave.then(
    'a document read, changed and put back has generation 2 and is '
    'pushed to the other instances'
)
def then_edit(context):
    _declare(context)
    doc = context.api.call('GET', REGION)[2]
    doc['spec']['capacity_rps'] = 500
    status, _, body = context.api.call('PUT', REGION, doc)
    assert status == 200 and body['metadata']['generation'] == 2, body
    version = context.api.pushed[-1]['version']
    assert version == body['metadata']['resource_version']


@behave.then('a lost reply answers 200 and lasting doubt 502 with the id')
def then_lost(context):
    version = _declare(context)
    context.api.platform.faults = ['lost']
    status, _, body = _region(context, 1, version)
    assert status == 200, body
    context.api.platform.faults = ['late'] + ['down'] * 9
    version = body['metadata']['resource_version']
    status, _, body = _region(context, 2, version)
    assert status == 502, body
    assert body['error']['kind'] == 'outcome_unknown'
    assert body['error']['details']['id'] == 'w2', body


@behave.then('reads answer 200, puts and audit answer 503 with Retry-After')
def then_down(context):
    version = _declare(context)
    context.api.platform.down = True
    for status, headers, body in (
        _region(context, 1, version),
        context.api.call('DELETE', REGION),
        context.api.call('GET', '/v1/audit?after=0&wait=1'),
    ):
        assert status == 503 and headers['Retry-After'] == '1', body
    status, _, body = context.api.call('GET', REGION)
    assert (status, body['spec']['capacity_rps']) == (200, 400), body


def _position(context):
    return context.api.call('GET', '/v1/watch')[2]['revision']


def _watch(context, position, more=''):
    path = '/v1/watch?from=%d&wait=5%s' % (position, more)
    return context.api.call('GET', path)


def _follow(context, position, count):
    seen = []
    while len(seen) < count:
        status, _, body = _watch(context, position)
        assert status == 200, body
        position = body['revision']
        for event in body['events']:
            name = event['resource']['metadata']['name']
            seen.append((event['type'], name))
    return seen


@behave.then(
    'a watch that resumes while resources change tells each change '
    'once and its first position expires'
)
def then_watch(context):
    first = _position(context)
    following = POOL.submit(_follow, context, first, 5)
    for name in 'abcd':
        _declare(context, name)
        time.sleep(0.05)
    context.api.call('DELETE', '/v1/resources/region/b')
    seen = following.result(10)
    assert seen == [('put', n) for n in 'abcd'] + [('delete', 'b')], seen
    assert _watch(context, first)[0] == 200
    for name in 'ef':
        _declare(context, name)
    assert _watch(context, first)[0] == 410


def _waiting(func, *args):
    future = POOL.submit(func, *args)
    time.sleep(0.2)
    return future


@behave.then(
    "a watch of regions that waits past services' changes tells only "
    "the region"
)
def then_kind(context):
    args = (context, _position(context), '&kind=region')
    waiting = _waiting(_watch, *args)
    for number in range(8):
        context.api.put('service', 's-%d' % number, {})
    _declare(context)
    status, _, body = waiting.result(10)
    names = [e['resource']['metadata']['name'] for e in body['events']]
    assert (status, names) == (200, ['sul']), body


@behave.then(
    'audit entries after a version arrive, a waiting reader gets the '
    'next one, and the actors are those of the tokens'
)
def then_audit(context):
    path = '/v1/audit?after=%d' % _declare(context)
    context.api.put('region', 'norte', {'capacity_rps': 1}, token='b')
    body = context.api.call('GET', path)[2]
    (entry,) = body['entries']
    assert (entry['name'], entry['change']['actor']) == ('norte', 'bo'), entry
    path = '/v1/audit?after=%d&wait=5' % body['after']
    waiting = _waiting(context.api.call, 'GET', path)
    context.api.call('DELETE', REGION)
    (entry,) = waiting.result(10)[2]['entries']
    assert entry['change']['verb'] == 'delete', entry
    assert entry['change']['actor'] == 'ana', entry


@behave.given('4 resources of 400 KB are listed on two pages')
def then_pages(context):
    context.api.config.apply(documents.base_entries())
    for name in 'abcd':
        spec = documents.blocks(9000)
        assert context.api.put('client_blocks', name, spec)[0] == 201
    pages, after = [], ''
    while not pages or pages[-1]['more']:
        path = '/v1/resources/client_blocks?after=' + after
        pages.append(context.api.call('GET', path)[2])
        after = pages[-1]['items'][-1]['metadata']['name']
    names = [i['metadata']['name'] for page in pages for i in page['items']]
    assert (names, len(pages)) == (list('abcd'), 2), (names, len(pages))


@behave.then(
    'healthz is 200, readyz follows the reasons, and a stop ends '
    'waiting watches and refuses new connections'
)
def then_health(context):
    def open_call(path):
        return context.api.call('GET', path, token=None)

    assert open_call('/healthz')[0] == open_call('/readyz')[0] == 200
    assert b'jasminehold_api_requests_total' in open_call('/metrics')[2]
    context.api.reasons.append('no configuration yet')
    status, _, body = open_call('/readyz')
    assert (status, body['reasons']) == (503, ['no configuration yet'])
    waiting = _waiting(_watch, context, _position(context))
    context.api.loop.call_soon(context.api.api.stop_accepting)
    assert waiting.result(4)[2]['events'] == []
    try:
        open_call('/healthz')
    except ConnectionRefusedError:
        return
    raise AssertionError('accepted a connection after the stop')


@behave.then(
    'a client that does not read such a page is closed within 3 s and '
    'counted'
)
def then_unread(context):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(('127.0.0.1', context.api.port))
        request = 'GET /v1/resources/client_blocks HTTP/1.1\r\n%s\r\n' % AUTH
        sock.sendall(request.encode())
        time.sleep(3)
        assert len(_read_all(sock)) < 1000000
    value = context.api.metrics.value('api_refused_total', kind='timeout')
    assert value == 1, value


class _Exceptions(circuits.Component):
    seen = 0

    @circuits.handler('exception', channel='*')
    def _on_exception(self, *args, **kwargs):
        self.seen += 1


@behave.then(
    'after {count:d} clients that left at once no state and no '
    'exception remains'
)
def then_left(context, count):
    api = context.api.api
    exceptions = _Exceptions().register(context.api.root)
    targets = ('watch?wait=30', 'resources/region', 'audit?wait=30')
    for number in range(count):
        request = 'GET /v1/%s HTTP/1.1\r\n%s' % (targets[number % 3], AUTH)
        with socket.create_connection(('127.0.0.1', context.api.port)) as sock:
            sock.sendall(request.encode() + b'\r\n' * (number % 4 > 0))
        time.sleep(0.004 * (number % 2))
    time.sleep(1)
    held = (
        api._pending,
        api._long_polls,
        api._guard._connections,
        api._http._buffers,
    )
    held += (api._http._clients, api._server._buffers, api._server._clients)
    assert [len(each) for each in held] == [0] * 7, held
    assert exceptions.seen == 0


@behave.then('a watch that begins on a closed connection leaves no state')
def then_closed(context):
    api = context.api.api
    with socket.socket() as sock:
        req = types.SimpleNamespace(sock=sock)
    api._add_long_poll(req, None, 30.0, lambda allow_empty: False)
    assert not api._long_polls, api._long_polls


@behave.then(
    'a temporary drain starts, shows, ends and expires without the platform'
)
def then_temporary_drain(context):
    context.api.platform.fault = 'down'
    call, drains = context.api.call, context.api.drains
    status, _, page = call('PUT', '/v1/drains/upstream/u1?seconds=60')
    assert status == 200 and drains.targets() == [('upstream', 'u1')], page
    assert page['drains'][0]['actor'] == 'ana', page
    assert call('DELETE', '/v1/drains/upstream/u1')[0] == 200
    assert drains.targets() == []
    assert call('DELETE', '/v1/drains/upstream/u1')[0] == 404
    assert call('PUT', '/v1/drains/upstream/u2?seconds=1')[0] == 200
    assert call('GET', '/v1/drains')[2]['drains'][0]['target_name'] == 'u2'
    time.sleep(1.2)
    assert call('GET', '/v1/drains')[2]['drains'] == []
    for path in ('service/u1', 'upstream/u1?seconds=4000', 'upstream/U1'):
        assert call('PUT', '/v1/drains/' + path)[0] == 400, path
    assert call('PUT', '/v1/drains/upstream/u1', token='no')[0] == 401
