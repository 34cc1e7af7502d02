"""Steps for bytes without end."""

import random
import socket
import threading
import time

import behave
import circuits

from jasminehold import errors
from jasminehold import loop as loop_module
from jasminehold import metrics
from jasminehold.platform import kv
from jasminehold.standin import sealed
from tests.builders import endless_responses


def _owner(context, route='browse'):
    steering = context.rig.apps['i1'].steering
    return steering.placement.ranked('loja', '%s/7' % route, {'u1', 'u2'})[0]


@behave.then("the upstream's connection is closed")
def then_closed(context):
    item = context.rig.upstreams[_owner(context)]
    context.rig.wait(lambda: not item.conns, 'the end of the connection')


@behave.then('that upstream is left out')
def then_left_out(context):
    app = context.rig.apps['i1']
    load = app.steering._loads[_owner(context)]
    assert load.ejected_until > app.loop.now()


@behave.when('a caller asks for an honest {framing} answer of {size:d} bytes')
def when_large(context, framing, size):
    context.size = size
    context.reply = context.rig.ask(
        '/browse/a', X_Fault='large-' + framing, X_Size='%d' % size
    )


@behave.then('it gets all of them')
def then_all(context):
    assert context.reply.status == 200, context.reply.status
    assert context.reply.body == sealed.large_body(context.size)


@behave.given(
    'a pool of connections with {count:d} {framing} bodies without end under'
    ' way'
)
def given_pool(context, count, framing):
    context.endless = endless_responses.EndlessResponses(framing, count)


@behave.when('each has sent {megabytes:d} MB')
def when_sent(context, megabytes):
    context.peak_mb = context.endless.receive(megabytes)


@behave.then('the pool holds at most {most:d} MB of them')
def then_memory(context, most):
    assert context.peak_mb <= most, context.peak_mb


@behave.then('a small response on another connection is complete')
def then_small(context):
    answer, exc = context.endless.answer_small()
    assert exc is None and answer.body == b'small', (answer, exc)


@behave.then('all of them were given up')
def then_ended(context):
    endless = context.endless
    assert endless.ended == len(endless._conns), endless.ended


@behave.given('a client of a store that sends interim responses without end')
def given_store(context):
    server = socket.create_server(('127.0.0.1', 0))
    context.closed = threading.Event()

    def serve():
        conn, _ = server.accept()
        with conn:
            try:
                while True:
                    conn.sendall(b'HTTP/1.1 102 Processing\r\n\r\n' * 100)
            except OSError:
                context.closed.set()

    threading.Thread(target=serve, daemon=True).start()
    context.add_cleanup(server.close)
    root = circuits.Component()
    context.loop = loop_module.Loop().register(root)
    context.store = kv.connect(
        context.loop,
        *server.getsockname(),
        random.Random(1),
        metrics.Metrics(),
    )
    thread = threading.Thread(target=root.run, daemon=True)
    thread.start()
    context.add_cleanup(thread.join, 5)
    context.add_cleanup(root.stop)


@behave.then('a call fails within {seconds:g} s and its connection is closed')
def then_fails(context, seconds):
    results = []
    begin = time.monotonic()
    context.loop.call_soon(
        context.store.get, 'k', lambda *args: results.append(args)
    )
    while not results and time.monotonic() < begin + seconds:
        time.sleep(0.01)
    assert results, 'no result'
    assert isinstance(results[0][1], errors.PlatformUnavailable), results
    assert context.closed.wait(2), 'the connection is open'
