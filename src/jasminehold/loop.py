"""Sockets and timers on circuits' epoll poller.

One :class:`Loop` component serves all TCP connections and timers of a
process through plain callbacks. Compared with one ``circuits.net`` component
per connection it needs only one event per readiness notification, opens
outgoing connections without polling for completion, and lets the code that
uses a connection read and limit the size of its write buffer.

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
# Limits the connections accepted per loop iteration, so that a listener cannot
# starve established connections.
MAX_ACCEPTS_PER_ITERATION = 64
LISTEN_BACKLOG = 1024
MAX_POLL_WAIT_S = 0.5

_WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


class KeepAlive(typing.NamedTuple):
    """TCP keepalive settings, which detect a dead connection.

    Attributes:
        idle_s: idle time before the first probe, in whole seconds.
        interval_s: time between probes, in whole seconds.
        probes: unanswered probes after which the connection is closed.
        user_timeout_ms: longest time that sent bytes may stay unacknowledged,
            or wait for a peer that answers but reads nothing. On Linux it
            also ends an idle connection, whatever the number of probes: at
            the first probe after that time without an answer.
    """

    idle_s: int
    interval_s: int
    probes: int
    user_timeout_ms: int


class EPoll(pollers.EPoll):
    """Epoll poller with constant-time registration changes.

    The poller of circuits keeps descriptors in lists, so each change takes
    time proportional to the number of open connections. It also ends the loop
    when a signal arrives during the wait.
    """

    channel = 'epoll'

    def __init__(self):
        super().__init__()
        self._masks = {}
        self._callbacks = {}

    def watch(self, fileno, callback, mask):
        """Report events of a descriptor to ``callback(events)``.

        Args:
            fileno: descriptor number.
            callback: function that takes the epoll event mask.
            mask: ``select.EPOLL*`` bits, 0 for errors only.
        """
        if fileno in self._masks:
            if self._masks[fileno] != mask:
                self._poller.modify(fileno, mask)
        else:
            self._poller.register(fileno, mask)
        self._masks[fileno] = mask
        self._callbacks[fileno] = callback

    def unwatch(self, fileno):
        """Stop reporting events for a descriptor."""
        self._callbacks.pop(fileno, None)
        if self._masks.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def _process(self, fileno, event):
        callback = self._callbacks.get(fileno)
        if callback is None:
            super()._process(fileno, event)
            return
        try:
            callback(event)
        except Exception as exc:
            # An exception in one connection's callback must not delay the
            # events of the other connections until the next poll.
            self.fire(circuits_events.exception(*_exc_info(exc)), '*')


class Timer(typing.NamedTuple):
    """Handle of a scheduled call, stored as ``[func, args]``."""

    scheduled: list

    def cancel(self):
        """Cancel the call; no effect if it has already been made."""
        self.scheduled[0] = None


class Conn:
    """One TCP connection.

    Attributes:
        on_data: called with received bytes.
        on_close: called once, with None or the exception that closed the
            connection.
        on_drain: called when the write buffer becomes empty.
        on_eof: called when the remote side has finished sending; if None,
            the connection is closed instead.
        peer: ``(host, port)`` of the remote side.
        closed: whether the socket is closed.
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
        self._write_buffer = []
        self._write_buffer_bytes = 0
        self._reading = True
        self._closing = False
        self._mask = None
        self._update_event_mask()

    @property
    def buffered(self):
        """Bytes waiting to be sent."""
        return self._write_buffer_bytes

    @property
    def held(self):
        """Bytes of memory that the write buffer takes."""
        if not self._write_buffer:
            return 0
        first = self._write_buffer[0]
        whole = getattr(first, 'obj', first)
        return self._write_buffer_bytes + len(whole) - len(first)

    def write(self, data):
        """Send bytes and buffer those that the socket does not accept yet."""
        if self.closed or self._closing or not data:
            return
        if not self._write_buffer:
            try:
                sent = self._sock.send(data)
            except OSError as exc:
                if exc.errno not in _WOULD_BLOCK:
                    self._loop.call_soon(self._close_socket, exc)
                    return
                sent = 0
            if sent == len(data):
                return
            data = memoryview(data)[sent:]
        self._write_buffer.append(data)
        self._write_buffer_bytes += len(data)
        self._update_event_mask()

    def pause(self):
        """Stop reading, so that TCP flow control slows the sender."""
        self._reading = False
        self._update_event_mask()

    def resume(self):
        """Resume reading after :meth:`pause`."""
        self._reading = True
        self._update_event_mask()

    def close(self):
        """Close once the write buffer has been sent."""
        if self._write_buffer:
            self._closing = True
            self._update_event_mask()
        else:
            self._close_socket(None)

    def abort(self):
        """Close immediately and discard the write buffer."""
        self._close_socket(None)

    def reset(self):
        """Close immediately with a TCP reset."""
        if not self.closed:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        self._close_socket(None)

    def _update_event_mask(self):
        if self.closed:
            return
        mask = 0
        if self._reading:
            mask |= select.EPOLLIN
        if self._write_buffer:
            mask |= select.EPOLLOUT
        if mask != self._mask:
            self._mask = mask
            self._loop.poller.watch(self._fileno, self._on_events, mask)

    def _on_events(self, events):
        try:
            self._handle_events(events)
        except Exception:
            self._close_socket(OSError(errno.ECONNABORTED, 'callback failed'))
            raise

    def _handle_events(self, events):
        if events & (select.EPOLLERR | select.EPOLLHUP):
            if not events & select.EPOLLIN or not self._reading:
                code = self._sock.getsockopt(
                    socket.SOL_SOCKET, socket.SO_ERROR
                )
                self._close_socket(OSError(code, os.strerror(code)))
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
                self._close_socket(exc)
            return
        if data:
            if self.on_data is not None and not self._closing:
                self.on_data(data)
            return
        if self.on_eof is None:
            self._close_socket(None)
            return
        self.pause()
        self.on_eof()

    def _flush(self):
        while self._write_buffer:
            chunk = self._write_buffer[0]
            try:
                sent = self._sock.send(chunk)
            except OSError as exc:
                if exc.errno not in _WOULD_BLOCK:
                    self._close_socket(exc)
                return
            self._write_buffer_bytes -= sent
            if sent < len(chunk):
                self._write_buffer[0] = _without_sent(chunk, sent)
                return
            self._write_buffer.pop(0)
        if self._closing:
            self._close_socket(None)
            return
        self._update_event_mask()
        if self.on_drain is not None:
            self.on_drain()

    def _close_socket(self, exc):
        if self.closed:
            return
        self.closed = True
        self._loop.poller.unwatch(self._fileno)
        self._loop.conns.discard(self)
        self._sock.close()
        self._write_buffer.clear()
        self._write_buffer_bytes = 0
        if self.on_close is not None:
            self.on_close(exc)
        self.on_data = self.on_close = self.on_drain = self.on_eof = None


class Listener:
    """A listening socket.

    Attributes:
        host: IP address that the socket is bound to.
        port: port that the socket is bound to, chosen by the system if 0 was
            requested.
        closed: whether the socket is closed.
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
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if self.closed:
                return
            try:
                sock, peer = self._sock.accept()
            except OSError:
                return
            _configure_socket(sock)
            conn = Conn(self._loop, sock, peer[:2])
            self._loop.conns.add(conn)
            self._on_accept(conn)


class Loop(circuits.BaseComponent):
    """Component that manages the sockets and timers of a process.

    It registers its own poller, so it must be registered before any component
    that searches for one, such as a ``circuits.web`` server.
    """

    channel = 'loop'

    def __init__(self):
        super().__init__(channel=self.channel)
        self.poller = EPoll().register(self)
        self.conns = set()
        self._timer_heap = []
        self._sequence = itertools.count()

    @staticmethod
    def now():
        """Return the monotonic time in seconds."""
        return time.monotonic()

    @staticmethod
    def boot_now():
        """Return seconds that also count suspensions of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_later(self, delay, func, *args):
        """Call ``func(*args)`` after a delay.

        Args:
            delay: delay in seconds.
            func: the function.
            *args: arguments of the function.

        Returns:
            A :class:`Timer`, which can cancel the call.
        """
        scheduled = [func, args]
        due = time.monotonic() + delay
        heapq.heappush(
            self._timer_heap, (due, next(self._sequence), scheduled)
        )
        return Timer(scheduled)

    def call_soon(self, func, *args):
        """Call ``func(*args)`` in the next loop iteration."""
        return self.call_later(0.0, func, *args)

    def listen(self, host, port, on_accept):
        """Listen on a TCP address.

        Args:
            host: IP address.
            port: port, or 0 to let the system choose one.
            on_accept: called with each :class:`Conn`.

        Returns:
            A :class:`Listener`.

        Raises:
            OSError: when the address cannot be bound.
        """
        sock = socket.socket(_address_family(host), socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
        return Listener(self, sock, on_accept)

    def connect(
        self, host, port, on_open, on_error, timeout=5.0, keepalive=None
    ):
        """Open a TCP connection.

        Exactly one of the callbacks is called, always after this method has
        returned.

        Args:
            host: IP address.
            port: TCP port.
            on_open: called with the :class:`Conn`.
            on_error: called with the ``OSError``.
            timeout: time to establish the connection, in seconds.
            keepalive: :class:`KeepAlive`, or None for the system defaults.
        """
        try:
            sock = socket.socket(_address_family(host), socket.SOCK_STREAM)
        except OSError as exc:
            self.call_soon(on_error, exc)
            return
        _configure_socket(sock)
        if keepalive is not None:
            _configure_keepalive(sock, keepalive)
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
        try:
            code = sock.connect_ex((host, port))
        except OSError as exc:
            # The host is no address.
            self.call_soon(fail, exc)
            return
        if code not in (0, errno.EINPROGRESS):
            exc = OSError(code, os.strerror(code))
            self.call_soon(fail, exc)
            return
        self.poller.watch(fileno, on_events, select.EPOLLOUT)

    @circuits.handler('generate_events', priority=1.0)
    def _on_generate_events(self, event):
        wait = self._run_due_timers()
        # The poll below would delay the end of a loop that a timer stopped.
        event.reduce_time_left(wait if self.root.running else 0.0)

    def _run_due_timers(self):
        heap = self._timer_heap
        now = time.monotonic()
        # Calls that are scheduled below run in the next iteration, so that a
        # function that reschedules itself cannot block the sockets.
        first_new = next(self._sequence)
        while heap and heap[0][0] <= now and heap[0][1] < first_new:
            func, args = heapq.heappop(heap)[2]
            if func is None:
                continue
            try:
                func(*args)
            except Exception as exc:
                self.fire(circuits_events.exception(*_exc_info(exc)), '*')
        if not heap:
            return MAX_POLL_WAIT_S
        return min(max(heap[0][0] - time.monotonic(), 0.0), MAX_POLL_WAIT_S)


def _exc_info(exc):
    return type(exc), exc, exc.__traceback__


def _address_family(host):
    return socket.AF_INET6 if ':' in host else socket.AF_INET


def _without_sent(chunk, sent):
    # A view keeps the whole object in memory.
    rest = memoryview(chunk)[sent:]
    return rest if 2 * len(rest) > len(rest.obj) else bytes(rest)


def _configure_socket(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _configure_keepalive(sock, keepalive):
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, keepalive.idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, keepalive.interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, keepalive.probes)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, keepalive.user_timeout_ms)
