"""Sockets and timers on circuits' epoll poller.

One :class:`Loop` component serves all TCP connections and timers of a
process through plain callbacks. Compared with one ``circuits.net`` component
per connection it costs one event per readiness notification, opens outgoing
connections without polling for completion, and lets the owner of a connection
see and bound its write buffer.

Example:
    >>> app = circuits.Component()
    >>> loop = Loop().register(app)
    >>> loop.call_later(1.0, app.stop)  # doctest: +SKIP
"""

import errno
import heapq
import itertools
import os
import select
import socket
import struct
import time
import typing

import circuits
from circuits.core import events as circuits_events
from circuits.core import pollers

READ_SIZE_BYTES = 64 * 1024
# A turn accepts a bounded number of connections so that one listener cannot
# starve the established ones.
ACCEPTS_PER_TURN = 64
BACKLOG = 1024
IDLE_WAIT_S = 0.5

_WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


class KeepAlive(typing.NamedTuple):
    """How soon a silent connection is given up.

    Attributes:
        idle_s: whole seconds without traffic until the first probe.
        interval_s: whole seconds between probes.
        probes: probes without reply that end the connection.
        user_timeout_ms: time for which sent bytes may stay unacknowledged.
    """

    idle_s: int
    interval_s: int
    probes: int
    user_timeout_ms: int


class EPoll(pollers.EPoll):
    """Epoll poller with constant-time registration changes.

    The stock poller keeps descriptors in lists, so each change costs time
    in proportion to the number of open connections. It also lets a signal
    that arrives during the wait end the loop.
    """

    channel = 'epoll'

    def __init__(self):
        super().__init__()
        self._masks = {}
        self._owners = {}

    def watch(self, fileno, owner, mask):
        """Set the events reported for a descriptor to ``owner(events)``.

        Args:
            fileno: descriptor number.
            owner: callback that takes the epoll event mask.
            mask: ``select.EPOLL*`` bits, 0 for errors only.
        """
        if fileno in self._masks:
            if self._masks[fileno] != mask:
                self._poller.modify(fileno, mask)
        else:
            self._poller.register(fileno, mask)
        self._masks[fileno] = mask
        self._owners[fileno] = owner

    def unwatch(self, fileno):
        """Stop reporting events for a descriptor."""
        self._owners.pop(fileno, None)
        if self._masks.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def _process(self, fileno, event):
        owner = self._owners.get(fileno)
        if owner is None:
            super()._process(fileno, event)
            return
        try:
            owner(event)
        except Exception as exc:
            # A fault in one connection's code must not end the turn of the
            # others, which would wait for the next poll.
            self.fire(circuits_events.exception(*_exc_info(exc)), '*')


class Timer(typing.NamedTuple):
    """Handle of a scheduled call."""

    cell: list

    def cancel(self):
        """Prevent the call; harmless when it has already happened."""
        self.cell[0] = None


class Conn:
    """One TCP connection.

    Attributes:
        on_data: called with received bytes.
        on_close: called once with None or the exception that ended it.
        on_drain: called when the write buffer becomes empty.
        on_eof: called when the other side stops sending; when it is None
            the connection is closed instead.
        peer: ``(host, port)`` of the other side.
    """

    def __init__(self, loop, sock, peer):
        self.on_data = None
        self.on_close = None
        self.on_drain = None
        self.on_eof = None
        self.peer = peer
        self.closed = False
        self._loop = loop
        self._sock = sock
        self._fileno = sock.fileno()
        self._out = []
        self._out_size = 0
        self._reading = True
        self._closing = False
        self._mask = None
        self._update()

    @property
    def buffered(self):
        """Bytes waiting to be sent."""
        return self._out_size

    def write(self, data):
        """Send bytes, buffering what the socket does not take at once."""
        if self.closed or self._closing or not data:
            return
        if not self._out:
            try:
                sent = self._sock.send(data)
            except OSError as exc:
                if exc.errno not in _WOULD_BLOCK:
                    self._loop.call_soon(self._finish, exc)
                    return
                sent = 0
            if sent == len(data):
                return
            data = memoryview(data)[sent:]
        self._out.append(data)
        self._out_size += len(data)
        self._update()

    def pause(self):
        """Stop reading, so that the sender is slowed by flow control."""
        self._reading = False
        self._update()

    def resume(self):
        """Read again after :meth:`pause`."""
        self._reading = True
        self._update()

    def close(self):
        """Close after the write buffer has been sent."""
        if self._out:
            self._closing = True
            self._update()
        else:
            self._finish(None)

    def abort(self):
        """Close at once and drop what was not sent."""
        self._finish(None)

    def reset(self):
        """Close at once with a reset instead of an orderly end."""
        if not self.closed:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        self._finish(None)

    def _update(self):
        if self.closed:
            return
        mask = 0
        if self._reading:
            mask |= select.EPOLLIN
        if self._out:
            mask |= select.EPOLLOUT
        if mask != self._mask:
            self._mask = mask
            self._loop.poller.watch(self._fileno, self._on_events, mask)

    def _on_events(self, events):
        try:
            self._handle(events)
        except Exception:
            self._finish(OSError(errno.ECONNABORTED, 'callback failed'))
            raise

    def _handle(self, events):
        if events & (select.EPOLLERR | select.EPOLLHUP):
            if not events & select.EPOLLIN or not self._reading:
                code = self._sock.getsockopt(
                    socket.SOL_SOCKET, socket.SO_ERROR
                )
                self._finish(OSError(code, os.strerror(code)))
                return
        if events & select.EPOLLIN and self._reading:
            self._read()
        if events & select.EPOLLOUT and not self.closed:
            self._flush()

    def _read(self):
        try:
            data = self._sock.recv(READ_SIZE_BYTES)
        except OSError as exc:
            if exc.errno not in _WOULD_BLOCK:
                self._finish(exc)
            return
        if data:
            if self.on_data is not None and not self._closing:
                self.on_data(data)
            return
        if self.on_eof is None:
            self._finish(None)
            return
        self.pause()
        self.on_eof()

    def _flush(self):
        while self._out:
            chunk = self._out[0]
            try:
                sent = self._sock.send(chunk)
            except OSError as exc:
                if exc.errno not in _WOULD_BLOCK:
                    self._finish(exc)
                return
            self._out_size -= sent
            if sent < len(chunk):
                self._out[0] = memoryview(chunk)[sent:]
                return
            self._out.pop(0)
        if self._closing:
            self._finish(None)
            return
        self._update()
        if self.on_drain is not None:
            self.on_drain()

    def _finish(self, exc):
        if self.closed:
            return
        self.closed = True
        self._loop.poller.unwatch(self._fileno)
        self._loop.conns.discard(self)
        self._sock.close()
        self._out.clear()
        self._out_size = 0
        if self.on_close is not None:
            self.on_close(exc)
        self.on_data = self.on_close = self.on_drain = self.on_eof = None


class Listener:
    """A listening socket.

    Attributes:
        host: address bound to.
        port: port bound to, chosen by the system when 0 was asked for.
    """

    def __init__(self, loop, sock, on_accept):
        self.host, self.port = sock.getsockname()[:2]
        self.closed = False
        self._loop = loop
        self._sock = sock
        self._on_accept = on_accept
        loop.poller.watch(sock.fileno(), self._on_events, select.EPOLLIN)

    def close(self):
        """Stop accepting connections."""
        if self.closed:
            return
        self.closed = True
        self._loop.poller.unwatch(self._sock.fileno())
        self._sock.close()

    def _on_events(self, events):
        for _ in range(ACCEPTS_PER_TURN):
            if self.closed:
                return
            try:
                sock, peer = self._sock.accept()
            except OSError:
                return
            _prepare(sock)
            conn = Conn(self._loop, sock, peer[:2])
            self._loop.conns.add(conn)
            self._on_accept(conn)


class Loop(circuits.BaseComponent):
    """Component that owns the process's sockets and timers.

    It registers its own poller, so it has to be registered before any other
    component that looks for one (``circuits.web`` servers do).
    """

    channel = 'loop'

    def __init__(self):
        super().__init__(channel=self.channel)
        self.poller = EPoll().register(self)
        self.conns = set()
        self._heap = []
        self._order = itertools.count()

    @staticmethod
    def now():
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def call_later(self, delay, func, *args):
        """Call ``func(*args)`` after a delay.

        Args:
            delay: seconds.
            func: the function.
            *args: its arguments.

        Returns:
            A :class:`Timer`.
        """
        cell = [func, args]
        due = time.monotonic() + delay
        heapq.heappush(self._heap, (due, next(self._order), cell))
        return Timer(cell)

    def call_soon(self, func, *args):
        """Call ``func(*args)`` in the next turn of the loop."""
        return self.call_later(0.0, func, *args)

    def listen(self, host, port, on_accept):
        """Listen on a TCP address.

        Args:
            host: IP address.
            port: port, 0 to let the system choose.
            on_accept: called with each :class:`Conn`.

        Returns:
            A :class:`Listener`.

        Raises:
            OSError: when the address cannot be bound.
        """
        sock = socket.socket(_family(host), socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(BACKLOG)
        return Listener(self, sock, on_accept)

    def connect(
        self, host, port, on_open, on_error, timeout=5.0, keepalive=None
    ):
        """Open a TCP connection.

        Exactly one of the callbacks is called, never before this returns.

        Args:
            host: IP address.
            port: port.
            on_open: called with the :class:`Conn`.
            on_error: called with the ``OSError``.
            timeout: seconds.
            keepalive: :class:`KeepAlive`, None for the system's defaults.
        """
        sock = socket.socket(_family(host), socket.SOCK_STREAM)
        _prepare(sock)
        if keepalive is not None:
            _keep_alive(sock, keepalive)
        fileno = sock.fileno()

        def fail(exc):
            timer.cancel()
            self.poller.unwatch(fileno)
            sock.close()
            on_error(exc)

        def on_events(events):
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                fail(OSError(code, os.strerror(code)))
                return
            timer.cancel()
            self.poller.unwatch(fileno)
            conn = Conn(self, sock, (host, port))
            self.conns.add(conn)
            on_open(conn)

        timer = self.call_later(
            timeout, lambda: fail(OSError(errno.ETIMEDOUT, 'timed out'))
        )
        code = sock.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            exc = OSError(code, os.strerror(code))
            self.call_soon(fail, exc)
            return
        self.poller.watch(fileno, on_events, select.EPOLLOUT)

    @circuits.handler('generate_events', priority=1.0)
    def _on_generate_events(self, event):
        wait = self._run_due()
        event.reduce_time_left(wait)

    def _run_due(self):
        heap = self._heap
        now = time.monotonic()
        # Calls scheduled by the calls below wait for the next turn, so that
        # a function that reschedules itself cannot block the sockets.
        mark = next(self._order)
        while heap and heap[0][0] <= now and heap[0][1] < mark:
            func, args = heapq.heappop(heap)[2]
            if func is None:
                continue
            try:
                func(*args)
            except Exception as exc:
                self.fire(circuits_events.exception(*_exc_info(exc)), '*')
        if not heap:
            return IDLE_WAIT_S
        return min(max(heap[0][0] - time.monotonic(), 0.0), IDLE_WAIT_S)


def _exc_info(exc):
    return type(exc), exc, exc.__traceback__


def _family(host):
    return socket.AF_INET6 if ':' in host else socket.AF_INET


def _prepare(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _keep_alive(sock, keepalive):
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, keepalive.idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, keepalive.interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, keepalive.probes)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, keepalive.user_timeout_ms)
