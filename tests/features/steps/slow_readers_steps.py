"""Steps for callers and upstreams that read slowly."""

import json
import pathlib
import re
import socket
import subprocess
import sys
import threading
import time

import behave

from jasminehold.decisions import held_bytes
from tests.builders import front_rig

SIZE = 540_000
MB = 1_000_000
REQUESTS = 400


@behave.given('{holders} hold responses of a process with {memory:g} MB')
def given_holders(context, holders, memory):
    context.held = held_bytes.HeldBytes(lambda: memory)
    for text in holders.split(', '):
        name, size, _, seconds, _ = text.split()
        may_cut = name != 'request'
        context.held.update(
            name, int(float(size) * MB), 100.0 - float(seconds), may_cut
        )


@behave.when('{size:g} MB more are held')
def when_more(context, size):
    context.held.update('new', int(size * MB), 100.0, False)
    context.cuts = context.held.take_cuts(100.0)


@behave.then('these are cut off: {names}')
def then_cut(context, names):
    names = [] if names == 'nothing' else names.split(', ')
    assert [cut.holder for cut in context.cuts] == names, context.cuts


@behave.then('at most {size:g} MB were held at any time')
def then_held(context, size):
    assert context.held.total <= 0.9 * size * MB, context.held.total
    assert context.held.peak <= size * MB, context.held.peak


@behave.given('an instance of {memory:g} MB')
def given_instance(context, memory):
    context.rig = front_rig.FrontRig(('u1', 'u2', 'u3', 'u4'))
    context.add_cleanup(context.rig.stop)
    app = context.app = context.rig.start()
    app.cfg = app.cfg._replace(memory_mb=memory)
    context.rig.wait_ready()
    # Small windows: else the system takes the responses for the callers.
    app.callers._listener._sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384
    )


def _p99(context):
    client = context.rig.client()
    seconds = []
    for number in range(REQUESTS):
        headers = front_rig.request_headers({})
        begun = time.monotonic()
        reply = client.request('GET', '/browse/%d' % number, headers)
        seconds.append(time.monotonic() - begun)
        assert reply.status == 200, reply
    client.close()
    return sorted(seconds)[int(REQUESTS * 0.99)]


@behave.given('the p99 of callers that read at once')
def given_p99(context):
    _p99(context)
    context.p99 = min(_p99(context) for _ in range(2))


@behave.when('{count:d} callers that read 2 kB/s ask for 540 kB each')
def when_slow(context, count):
    port = context.app.cfg.caller_listen.port
    command = [sys.executable, '-m', 'tests.builders.slow_callers']
    context.slow = subprocess.Popen(
        command + [str(port), str(count), str(SIZE)],
        cwd=pathlib.Path(__file__).resolve().parents[3],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.slow.kill)
    assert context.slow.stdout.readline() == 'asked\n'
    time.sleep(1.0)


@behave.then(
    'the p99 of others beside is within {factor:g} times of that without'
)
def then_p99(context, factor):
    found = min(_p99(context) for _ in range(2))
    print('p99 s without, with:', context.p99, found)
    assert found <= factor * context.p99, (found, context.p99)


@behave.then('at most {share:g}% of its memory was held at any time')
def then_share(context, share):
    held = context.app.held
    allowed = context.app.cfg.memory_mb * MB * share / 100
    print('peak', held.peak, 'allowed', allowed)
    assert 0 < held.peak <= allowed, (held.peak, allowed)


@behave.then(
    'each response is whole, still coming, or broken off before its end'
)
def then_broken(context):
    metrics = context.app.metrics
    cut = metrics.value('responses_cut_off_total', reason='memory')
    out, _ = context.slow.communicate('')
    found = json.loads(out)
    ended = [row for row in found if row[1]]
    print('cut off', cut, 'seen to end', len(ended), 'of', len(found))
    assert cut
    for size, _, states in ended:
        assert size < SIZE and states, (size, states)


@behave.when(
    'a caller asks {count:d} times for 1 MB on one connection and takes'
    ' nothing'
)
def when_pipelined(context, count):
    context.client = context.rig.client()
    context.ids = []
    data = b''
    for number in range(count):
        headers = front_rig.request_headers(
            {'X_Fault': 'large-framed', 'X_Size': str(MB)}
        )
        headers['X-Timeout-Ms'] = '20000'
        context.ids.append(headers['X-Request-Id'])
        lines = ['GET /browse/%d HTTP/1.1' % number]
        lines += ['%s: %s' % item for item in headers.items()]
        data += ('\r\n'.join(lines) + '\r\n\r\n').encode()
    # One after the other, as they would all be under way at once.
    for part in data.split(b'GET ')[1:]:
        context.client.sock.sendall(b'GET ' + part)
        time.sleep(0.05)


@behave.then('at most {count:d} of these run')
def then_run(context, count):
    time.sleep(0.5)
    ran = sum(context.rig.runs(item) for item in context.ids)
    assert 0 < ran <= count, ran


@behave.when('it takes them')
def when_takes(context):
    sock = context.client.sock
    data = bytearray()
    end = time.monotonic() + 20.0
    while data.count(b'HTTP/1.1 ') < 14 or len(data) < 14 * MB:
        found = re.findall(rb'HTTP/1.1 [^{]*', bytes(data[-400:]))
        assert time.monotonic() < end, (len(data), found)
        part = sock.recv(1 << 20)
        assert part, (len(data), found)
        data += part
    context.data = data


@behave.then('all {count:d} responses are whole')
def then_whole(context, count):
    assert context.data.count(b'HTTP/1.1 200') == count
    for item in context.ids:
        assert context.rig.runs(item) == 1


@behave.given(
    'an instance of {memory:g} MB with an upstream that takes nothing'
)
def given_stuck(context, memory):
    given_instance(context, memory)
    rig = context.rig
    listener = rig.call(
        rig.loop.listen, '127.0.0.1', 0, lambda conn: conn.pause()
    )
    entry = rig.upstreams['w1'].entry('oficina', 'sul-a', Slots=60)
    entry['Addr'] = '127.0.0.1:%d' % listener.port
    rig.put('servers/w1', entry)
    app = context.app
    rig.wait(lambda: app.steering.view.upstreams['w1'].entry.slots == 60, 'it')


@behave.when('{count:d} callers send 1 MB each')
def when_send(context, count):
    context.replies = []
    body = b'x' * MB

    def ask(number):
        reply = context.rig.ask(
            '/browse/special/%d' % number, 'POST', body=body
        )
        context.replies.append((time.monotonic() - begun, reply))

    begun = time.monotonic()
    threads = [
        threading.Thread(target=ask, args=(number,)) for number in range(count)
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    for thread in threads:
        thread.join(20)


@behave.then('some are refused at once and did not run')
def then_refused(context):
    found = [
        (seconds, reply)
        for seconds, reply in context.replies
        if reply.status == 503 and reply.kind == 'overloaded'
    ]
    print(json.dumps([(s, r.status, r.kind) for s, r in context.replies]))
    assert found, context.replies
    assert min(seconds for seconds, _ in found) < 1.5
    metrics = context.app.metrics
    assert metrics.value('requests_refused_memory_total')


@behave.when('the callers have left')
def when_left(context):
    assert len(context.replies) == 30


@behave.then('nothing is held within {seconds:g} s')
def then_nothing(context, seconds):
    held = context.app.held
    context.rig.wait(lambda: held.total == 0, 'nothing held', seconds)
