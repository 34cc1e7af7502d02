"""Steps for what callers may send to a front instance."""

import json
import socket
import time

import behave

from tests.builders import front_rig

_HEAD = (
    b'POST /order/a HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Request-Id: raw\r\nX-Timeout-Ms: 2000\r\n'
)
_INPUTS = {
    'a header of 20000 bytes': _HEAD + b'X-Long: %s\r\n\r\n' % (b'x' * 20000),
    'a body announced with 2000000 b': _HEAD
    + b'Content-Length: 2000000\r\n\r\n',
    'two different lengths': _HEAD
    + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc',
    'a length and a chunked body': _HEAD
    + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'no HTTP at all': b'\x16\x03\x01 hello\r\n\r\n',
}


def _exchange(context, data):
    # Returns all bytes until the instance closes or says nothing more.
    port = context.rig.apps['i1'].cfg.caller_listen.port
    with socket.create_connection(('127.0.0.1', port), 3) as sock:
        sock.sendall(data)
        sock.settimeout(1.5)
        found = b''
        try:
            while True:
                chunk = sock.recv(65536)
                if not chunk:
                    return found, True
                found += chunk
        except socket.timeout:
            return found, False


@behave.when(
    'a caller sends a chunked order of {count:d} chunks of {size:d} bytes'
)
def when_chunked(context, count, size):
    chunk = b'%x\r\n%s\r\n' % (size, b'z' * size)
    data = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + chunk * count
    context.data, _ = _exchange(context, data + b'0\r\n\r\n')


@behave.then('the answer tells a body of {size:d} bytes')
def then_size(context, size):
    body = context.data.partition(b'\r\n\r\n')[2]
    assert json.loads(body)['length'] == size, context.data


@behave.when('a caller asks with "Connection: close"')
def when_close(context):
    data = _HEAD.replace(b'POST /order', b'GET /browse')
    context.data, context.ended = _exchange(
        context, data + b'Connection: close\r\n\r\n'
    )


@behave.then('it is answered and the connection ends')
def then_ended(context):
    assert context.data.startswith(b'HTTP/1.1 200'), context.data
    assert context.ended


@behave.when('a caller gives {what}')
def when_sends(context, what):
    context.data, context.ended = _exchange(context, _INPUTS[what])


@behave.then('the status line says {status:d} and nothing ran')
def then_refused(context, status):
    assert context.data.startswith(b'HTTP/1.1 %d' % status), context.data
    assert context.ended
    assert not any(item.runs for item in context.rig.upstreams.values())


@behave.given('a route "{name}" with home region "{region}"')
def given_homely(context, name, region):
    rig = context.rig
    rule = front_rig.route(name, '/%s/' % name, 'loja', HomeRegions=[region])
    rules = list(front_rig.RULES) + [rule]
    rig.put('op/config', front_rig.configuration(2, rules))
    rig.wait(lambda: rig.apps['i1'].steering.table.version == 2, 'version 2')


@behave.when('{count:d} callers ask for objects of "{name}"')
def when_homely(context, count, name):
    rig = context.rig
    rig.wait(
        lambda: 'n1' in rig.apps['i1'].steering.view.upstreams, 'upstream n1'
    )
    context.replies = [
        rig.ask('/%s/a' % name, Cookie='X-Affinity-Key=%d' % number)
        for number in range(count)
    ]


@behave.then('all of them were served by "{name}"')
def then_all_at(context, name):
    assert {reply.status for reply in context.replies} == {200}
    runs = context.rig.upstreams[name].runs
    assert sum(runs.values()) == len(context.replies)


@behave.given(
    'an upstream "{name}" that is cold for {cold:g} s with 2 requests a second'
)
def given_cold(context, name, cold):
    rig = context.rig
    changes = {'ColdLeftMs': int(cold * 1000)}
    rig.call(rig.add_upstream, name, 'loja', 'sul-a', **changes)
    rig.wait(
        lambda: name in rig.apps['i1'].steering.view.upstreams, 'upstream'
    )
    context.begin = time.monotonic()


@behave.when('callers ask for {count:d} objects within 1 s')
def when_objects(context, count):
    client = context.rig.client()
    for number in range(count):
        headers = front_rig.request_headers(
            {'Cookie': 'X-Affinity-Key=%d' % number}
        )
        client.request('GET', '/browse/a', headers)
        if time.monotonic() - context.begin > 1.0:
            break
    client.close()


@behave.then('"{name}" got at most {most:d} requests')
def then_few(context, name, most):
    arrivals = context.rig.upstreams[name].arrivals
    assert 0 < arrivals <= most, arrivals
