"""Steps for the operators' API."""

import concurrent.futures
import socket
import threading
import time

import behave

from builders import api_server
from builders import documents

AUTH = 'Host: a\r\nAuthorization: Bearer %s\r\n' % api_server.TOKEN
REGION = '/v1/resources/region/sul'


@behave.given("an operators' API")
def given_api(context):
    context.api = api_server.ApiServer(
        api_read_timeout=1.0, api_max_connections=8, watch_history=6
    )
    context.add_cleanup(context.api.stop)


def _read_all(sock):
    # Reads to the end of the connection, but after a whole answer waits only
    # a little for anything that should not follow.
    data = b''
    while True:
        try:
            part = sock.recv(65536)
        except (ConnectionResetError, TimeoutError):
            return data
        if not part:
            return data
        data += part
        if data.endswith(b'}'):
            sock.settimeout(0.1)


def _connect(context):
    sock = socket.create_connection(('127.0.0.1', context.api.port), 5)
    context.add_cleanup(sock.close)
    return sock


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


@behave.when('an upstream with unknown references is put')
def when_unknown(context):
    spec = documents.SPECS['upstream']
    context.answer = context.api.put('upstream', 'u-1', spec)


@behave.then('the answer is 400 and names spec.service and spec.place')
def then_names(context):
    status, _, body = context.answer
    paths = [fault['path'] for fault in body['error']['details']]
    assert (status, paths) == (400, ['spec.service', 'spec.place']), body


def _declare(context, capacity=400, name='sul'):
    status, _, body = context.api.put(
        'region', name, {'capacity_rps': capacity}
    )
    assert status == 201, body
    return body['metadata']['resource_version']


@behave.when('8 clients update one resource from the same version')
def when_race(context):
    version = _declare(context)
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        context.answers = list(
            pool.map(
                lambda n: context.api.put(
                    'region', 'sul', {'capacity_rps': n}, version
                ),
                range(1, 9),
            )
        )


@behave.then("one got 200, the others 409 and the winner's spec is in force")
def then_race(context):
    statuses = sorted(answer[0] for answer in context.answers)
    assert statuses == [200] + [409] * 7, statuses
    winner = next(body for status, _, body in context.answers if status == 200)
    assert context.api.call('GET', REGION)[2] == winner


@behave.when('a resource is read, its spec changed and the whole document put')
def when_edit(context):
    _declare(context)
    doc = context.api.call('GET', REGION)[2]
    doc['spec']['capacity_rps'] = 500
    context.answer = context.api.call('PUT', REGION, doc)


@behave.then('its generation is 2 and it was pushed to the other instances')
def then_edit(context):
    status, _, body = context.answer
    assert status == 200 and body['metadata']['generation'] == 2, body
    pushed = [entry['version'] for entry in context.api.pushed]
    assert pushed[-1] == body['metadata']['resource_version']


@behave.then(
    "a put with a lost reply answers 200 and one with lasting doubt "
    "answers 502 as outcome_unknown with the write's id"
)
def then_lost(context):
    version = _declare(context)
    context.api.platform.faults = ['lost']
    spec = {'capacity_rps': 1}
    status, _, body = context.api.put('region', 'sul', spec, version)
    assert status == 200, body
    version = body['metadata']['resource_version']
    context.api.platform.faults = ['late'] + ['down'] * 9
    status, _, body = context.api.put('region', 'sul', spec, version)
    assert status == 502, body
    assert body['error']['kind'] == 'outcome_unknown'
    assert body['error']['details']['id'] == 'w2', body


@behave.then('reads answer 200, puts and audit answer 503 with Retry-After')
def then_down(context):
    version = _declare(context)
    context.api.platform.down = True
    assert context.api.call('GET', REGION)[0] == 200
    answers = [
        context.api.put('region', 'sul', {'capacity_rps': 1}, version),
        context.api.call('DELETE', REGION),
        context.api.call('GET', '/v1/audit?after=0&wait=1'),
    ]
    for status, headers, body in answers:
        assert status == 503 and headers['Retry-After'] == '1', body
    assert context.api.call('GET', REGION)[2]['spec']['capacity_rps'] == 400


def _watch(context, position, more=''):
    path = '/v1/watch?from=%d&wait=5%s' % (position, more)
    return context.api.call('GET', path)


@behave.when('a watch waits while resources change')
def when_watch(context):
    context.first = context.api.call('GET', '/v1/watch')[2]['revision']
    context.seen = []

    def follow():
        position = context.first
        while len(context.seen) < 5:
            status, _, body = _watch(context, position)
            assert status == 200, body
            position = body['revision']
            for event in body['events']:
                metadata = event['resource']['metadata']
                context.seen.append((event['type'], metadata['name']))

    thread = threading.Thread(target=follow)
    thread.start()
    for name in ('a', 'b', 'c', 'd'):
        _declare(context, name=name)
        time.sleep(0.05)
    context.api.call('DELETE', '/v1/resources/region/b')
    thread.join(10)


@behave.then(
    'resuming from each answer yields each change once and the first '
    'position expires'
)
def then_watch(context):
    expected = [('put', name) for name in 'abcd'] + [('delete', 'b')]
    assert context.seen == expected, context.seen
    assert _watch(context, context.first)[0] == 200
    for name in ('e', 'f'):
        _declare(context, name=name)
    assert _watch(context, context.first)[0] == 410


@behave.then(
    "a watch of regions that waits past a service's change tells "
    "only the region"
)
def then_kind(context):
    first = context.api.call('GET', '/v1/watch')[2]['revision']
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(_watch, context, first, '&kind=region')
        time.sleep(0.2)
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
    first = _declare(context)
    context.api.put('region', 'norte', {'capacity_rps': 1}, token='b')
    body = context.api.call('GET', '/v1/audit?after=%d' % first)[2]
    assert [e['name'] for e in body['entries']] == ['norte'], body
    assert body['entries'][0]['change']['actor'] == 'bo'
    path = '/v1/audit?after=%d&wait=5' % body['after']
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(context.api.call, 'GET', path)
        time.sleep(0.2)
        context.api.call('DELETE', REGION)
        entries = waiting.result(10)[2]['entries']
    assert [e['change']['verb'] for e in entries] == ['delete'], entries
    assert entries[0]['change']['actor'] == 'ana'


@behave.when('4 resources of 400 KB are put')
def when_large(context):
    for name in ('sul-1', 'sul-2'):
        context.api.config.apply(documents.base_entries())
    blocks = [
        {'cidr': '10.%d.%d.0/24' % divmod(i, 256), 'site': 'sul-1'}
        for i in range(9000)
    ]
    spec = {'region': 'sul', 'blocks': blocks}
    for name in 'abcd':
        status, _, body = context.api.put('client_blocks', name, spec)
        assert status == 201, body


@behave.then('two pages list them all')
def then_pages(context):
    path = '/v1/resources/client_blocks'
    names, more = [], True
    while more:
        after = '?after=' + names[-1] if names else ''
        body = context.api.call('GET', path + after)[2]
        more = body['more']
        names += [item['metadata']['name'] for item in body['items']]
        context.pages = getattr(context, 'pages', 0) + 1
    assert (names, context.pages) == (list('abcd'), 2), (names, context.pages)


@behave.then(
    'healthz is 200, readyz follows the reasons, and a stop ends '
    'waiting watches and refuses new connections'
)
def then_health(context):
    def open_call(path):
        return context.api.call('GET', path, token=None)

    assert open_call('/healthz')[0] == 200
    assert open_call('/readyz')[0] == 200
    assert b'jasminehold_api_requests_total' in open_call('/metrics')[2]
    context.api.reasons.append('no configuration yet')
    status, _, body = open_call('/readyz')
    assert (status, body['reasons']) == (503, ['no configuration yet'])
    first = context.api.call('GET', '/v1/watch')[2]['revision']
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(_watch, context, first)
        time.sleep(0.2)
        context.api.loop.call_soon(context.api.api.stop_accepting)
        assert waiting.result(4)[2]['events'] == []
    try:
        open_call('/healthz')
    except ConnectionRefusedError:
        return
    raise AssertionError('accepted a connection after the stop')
