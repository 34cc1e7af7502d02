"""Instances that lose the path to all upstreams, and callers that notice."""

import errno
import json
import os
import time
import typing

from jasminehold.standin import caller
from tests.builders import caller_threads
from tests.builders import front_rig
from tests.soak import relay

SERVICES = {'loja': ('u1', 'u2', 'u3', 'u4'), 'oficina': ('w2', 'w3', 'w4')}
# What becomes of held connections; new ones hang, are accepted and reset, or
# are refused.
RELAY_MODES = {
    'hang': 'held',
    'reset': 'reset',
    'refuse': 'closed',
    'live on': '',
}
REFUSING = ('refuse', 'live on')
# The system ends a connection whose probes are not answered.
CHECK_EVERY_S = 0.1
# Time of a caller for one request.
CALLER_S = 2.0
ORDER_EVERY = 4
# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def start_fleet(rig):
    """Start four instances and eight upstreams; returns :class:`Paths`."""
    for name in SERVICES['oficina']:
        rig.call(rig.add_upstream, name, 'oficina')
    rig.start_fleet()
    upstreams = set(rig.upstreams)
    for app in rig.apps.values():
        view = app.steering.view
        rig.wait(lambda: set(view.upstreams) == upstreams, 'upstreams')
    return Paths(rig)


class Paths:
    """The paths of each instance to the upstreams.

    Args:
        rig: the :class:`~front_rig.FrontRig`, whose instances have opened no
            connection to an upstream yet.

    Attributes:
        sends: ``{instance: number of writes to upstreams}``.
        gone: names of upstreams that refuse all connections.
    """

    def __init__(self, rig):
        self.sends = {name: 0 for name in rig.apps}
        self.gone = set()
        self._rig = rig
        self._kinds = {}
        self._cut_at = 0.0
        self._relays = {name: {} for name in rig.apps}
        for name, app in rig.apps.items():
            for upstream in rig.upstreams.values():
                target = ('127.0.0.1', upstream.port)
                self._relays[name][upstream.port] = rig.call(
                    relay.Relay, rig.loop, target
                )
            rig.on_loop(app.loop, self._wrap, name, app.loop)

    def _wrap(self, name, loop):
        connect = loop.connect

        def wrapped(
            host, port, on_open, on_error, timeout=5.0, keepalive=None
        ):
            args = (on_open, on_error, timeout, keepalive)
            path = self._relays[name].get(port)
            if path is None:
                connect(host, port, *args)
                return
            kind = self._kinds.get(name)
            if kind in REFUSING or self._is_gone(port):
                loop.call_soon(on_error, _error(errno.ECONNREFUSED))
                return
            if kind == 'hang':
                loop.call_later(timeout, on_error, _error(errno.ETIMEDOUT))
                return

            def opened(conn):
                self._observe(name, loop, conn, keepalive)
                on_open(conn)

            connect(host, path.port, opened, *args[1:])

        loop.connect = wrapped

    def _is_gone(self, port):
        return any(
            self._rig.upstreams[name].port == port for name in self.gone
        )

    def _observe(self, name, loop, conn, keepalive):
        write = conn.write
        written_at = [0.0]

        def observed(data):
            self.sends[name] += 1
            if written_at[0] < self._cut_at:
                written_at[0] = time.monotonic()
            write(data)

        def check():
            # What the system does on a path that swallows everything.
            if conn.closed:
                return
            now = time.monotonic()
            if self._kinds.get(name) == 'hang' and keepalive is not None:
                limit = keepalive.idle_s + keepalive.probes
                begin = self._cut_at
                if written_at[0] >= begin:
                    begin = written_at[0]
                    limit = keepalive.user_timeout_ms / 1000
                if now - begin >= limit:
                    conn._close_socket(_error(errno.ETIMEDOUT))
            loop.call_later(CHECK_EVERY_S, check)

        conn.write = observed
        loop.call_later(CHECK_EVERY_S, check)

    def cut(self, names, kind):
        """Cut instances off from all upstreams."""
        self._cut_at = time.monotonic()
        for name in names:
            self._kinds[name] = kind
            for path in self._relays[name].values():
                self._rig.call(path.set_mode, RELAY_MODES[kind])

    def heal(self):
        """End the cut."""
        for name in list(self._kinds):
            del self._kinds[name]
            for path in self._relays[name].values():
                self._rig.call(path.set_mode, '')


def _error(code):
    return OSError(code, os.strerror(code))


class Try(typing.NamedTuple):
    """One request of a caller.

    Attributes:
        instance: that it was sent to.
        id: of the request.
        unsafe: whether it may run at most once.
        at: monotonic seconds at which it was sent.
        seconds: until the final answer.
        reply: the :class:`~caller.Reply`.
    """

    instance: str
    id: str
    unsafe: bool
    at: float
    seconds: float
    reply: caller.Reply

    @property
    def served(self):
        """Whether the answer is the whole one of an upstream."""
        return (
            self.reply.status == 200
            and self.reply.complete
            and self.reply.headers.get('x-server-seal') == 'seal-' + self.id
        )


def ask(rig, instance, request_id, path='/browse/a', body=b'', **headers):
    """Send one request and return its :class:`Try`."""
    unsafe = path.startswith('/order/')
    begin = time.monotonic()
    try:
        reply = rig.ask(
            path,
            'POST' if unsafe else 'GET',
            name=instance,
            body=body,
            X_Request_Id=request_id,
            **headers,
        )
    except OSError:
        reply = caller.NO_REPLY
    seconds = time.monotonic() - begin
    return Try(instance, request_id, unsafe, begin, seconds, reply)


def is_own(found):
    """Return whether a served request has the body that belongs to it."""
    doc = json.loads(found.reply.body)
    return doc['id'] == found.id and found.reply.headers['x-request-id'] == (
        found.id
    )


class FirstTries(caller_threads.CallerThreads):
    """Callers of each instance that never ask a second time.

    Args:
        rig: the :class:`~front_rig.FrontRig`.
        names: the instances.
        count: callers of each.
        headers: further headers of all requests.

    Attributes:
        tries: list of :class:`Try`.
    """

    def __init__(self, rig, names, count=4, **headers):
        super().__init__(len(names) * count, 0.1)
        self.tries = []
        self._rig = rig
        self._names = names
        self._headers = headers

    def call(self, number, turn):
        """Send one request and keep its outcome."""
        found = ask(
            self._rig,
            self._names[number % len(self._names)],
            'first-%d-%d' % (number, turn),
            '/browse/a' if turn % ORDER_EVERY else '/order/a',
            Cookie='X-Affinity-Key=%d' % ((number + turn) % 40),
            **self._headers,
        )
        self.tries.append(found)

    def between(self, begin, end):
        """Return the tries that were sent in a span of time."""
        return [found for found in self.tries if begin <= found.at < end]


def broken_promises(rig, tries):
    """Return the tries that ran although they must not have.

    Args:
        rig: the :class:`~front_rig.FrontRig`.
        tries: list of :class:`Try`.
    """
    found = []
    for item in tries:
        runs = rig.call(rig.runs, item.id)
        refused = item.reply.status in NOT_RUN_STATUSES
        if item.unsafe and runs > (0 if refused else 1):
            found.append((item, runs))
    return found


def listed(rig, instance):
    """Return the ids of the instances that an instance's directory names."""
    port = rig.apps[instance].cfg.directory_listen.port
    found = set()
    for region in sorted(set(front_rig.PLACES.values())):
        client = caller.Client(port)
        path = '/api/resolve?Name=shop.example&Region=%s&Zone=x' % region
        reply = client.request('GET', path)
        client.close()
        found.update(json.loads(reply.body)['Addrs'])
    return {
        name
        for name, app in rig.apps.items()
        if '%s:%d' % app.cfg.caller_listen in found
    }


def block(rig, instance, seconds):
    """Let an instance's process stand still for a while."""
    rig.apps[instance].loop.call_soon(time.sleep, seconds)


def reset_all(rig, instance):
    """Reset all connections of an instance, as if it crashed."""
    loop = rig.apps[instance].loop

    def reset():
        for conn in list(loop.conns):
            conn.reset()

    rig.on_loop(loop, reset)
