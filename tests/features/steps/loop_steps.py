"""Steps for the event loop."""

import time

import behave
import circuits

from jasminehold import loop as loop_module

CRASH = b'crash'


class _Quiet(circuits.Component):
    def init(self):
        self.seen = []

    @circuits.handler('exception', channel='*')
    def _on_exception(self, *args, **kwargs):
        self.seen.append(args[:2])


@behave.given('a loop with an echo server')
def given_echo(context):
    context.root = circuits.Component()
    context.quiet = _Quiet().register(context.root)
    context.loop = loop_module.Loop().register(context.root)

    def on_accept(conn):
        def on_data(data):
            if data == CRASH:
                raise RuntimeError('deliberate fault')
            conn.write(data)

        conn.on_data = on_data

    context.listener = context.loop.listen('127.0.0.1', 0, on_accept)
    context.sent = b''
    context.received = bytearray()
    context.errors = []


def _echo_once(context, size):
    context.sent = bytes(range(256)) * (size // 256 + 1)
    context.sent = context.sent[:size]

    def on_open(conn):
        def on_data(data):
            context.received.extend(data)
            if len(context.received) >= size:
                context.root.stop()

        conn.on_data = on_data
        conn.write(context.sent)

    context.loop.connect(
        '127.0.0.1', context.listener.port, on_open, context.errors.append
    )


def _run(context):
    context.loop.call_later(20, context.root.stop)
    context.root.run()


@behave.when('a client sends {size:d} bytes and reads them back')
def when_echo(context, size):
    _echo_once(context, size)
    _run(context)


@behave.when(
    'one client makes the server raise and another sends {size:d} bytes'
)
def when_crash(context, size):
    def on_open(conn):
        conn.on_close = lambda exc: _echo_once(context, size)
        conn.write(CRASH)

    context.loop.connect(
        '127.0.0.1', context.listener.port, on_open, context.errors.append
    )
    _run(context)
    kinds = [kind for kind, _ in context.quiet.seen]
    assert kinds == [RuntimeError], context.quiet.seen


@behave.when('a client connects to a port that nobody listens on')
def when_refused(context):
    context.listener.close()
    _connect(context, '127.0.0.1')


@behave.when('a client connects to a host that is no address')
def when_no_address(context):
    _connect(context, 'no address')


def _connect(context, host):
    port = context.listener.port

    def on_error(exc):
        context.errors.append(exc)
        context.loop.call_later(0.2, context.root.stop)

    context.loop.connect(host, port, lambda conn: None, on_error)
    _run(context)


@behave.when('a timer stops the loop while nothing else is due for 20 s')
def when_stopped(context):
    def stop():
        context.stopped_at = time.monotonic()
        context.root.stop()

    context.loop.call_later(0.2, stop)
    _run(context)
    context.ended_at = time.monotonic()


@behave.then('the loop ends within {seconds:g} s')
def then_ended(context, seconds):
    took_s = context.ended_at - context.stopped_at
    assert took_s <= seconds, took_s


@behave.then('the client received exactly what it sent')
def then_same(context):
    assert bytes(context.received) == context.sent, len(context.received)
    assert not context.errors


@behave.then('the error callback was called once')
def then_error(context):
    assert len(context.errors) == 1, context.errors
