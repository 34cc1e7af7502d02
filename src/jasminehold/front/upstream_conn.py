"""Pool of keep-alive HTTP/1.1 connections to upstreams."""

import collections
import math
import re

import h11

from jasminehold.decisions import send_end
from jasminehold import errors
from jasminehold import loop as loop_module
from jasminehold.platform import wire

End = send_end.End

CONNECT_TIMEOUT_S = 1.0
# Idle connections are kept for this fraction of the upstream's ``Keep-Alive``
# timeout, or for the default when it states none.
IDLE_TIMEOUT_FRACTION = 0.6
IDLE_TIMEOUT_DEFAULT_S = 5.0
IDLE_TIMEOUT_MAX_S = 30.0
# An upstream may drop an idle connection silently. A request that is not
# idempotent could not be retried then, so it uses recently used ones only.
FRESH_IDLE_MAX_S = 2.0
# Keepalive probes detect a broken path to an upstream and end its request; a
# busy upstream answers them, however long its work takes.
KEEPALIVE = loop_module.KeepAlive(
    idle_s=2, interval_s=1, probes=2, user_timeout_ms=4000
)
# Time for which the closing of a connection is remembered.
CLOSED_KEEP_S = 1.0
HEAD_MAX_BYTES = 64 * 1024
RESPONSE_MAX_BYTES = 16 * 1024 * 1024
# Limit on the bodies of all responses that are being received, so that
# upstreams that send without end do not use up the memory of the process.
RECEIVING_MAX_BYTES = 18 * 1024 * 1024
# Limits on what is not a part of the expected response.
INTERIM_RESPONSES_MAX = 16
FOREIGN_RESPONSES_MAX = 4
FOREIGN_BODY_MAX_BYTES = 64 * 1024
# Limit on the bytes that frame a body, such as chunk extensions, beyond the
# size of the body itself.
FRAMING_MAX_BYTES = 128 * 1024
# Answered requests that a connection remembers, so that the log tells which of
# them an unexpected response repeats.
ANSWERED_REMEMBERED = 4
ID_LOGGED_MAX_BYTES = 64
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout\s*=\s*(\d+)')


class ResponseError(errors.JasmineholdError):
    """Raised when an upstream's response is incomplete or invalid.

    Attributes:
        end: the :class:`~decisions.send_end.End` of the send.
        cut: whether the connection failed rather than what came over it.
    """

    kind = errors.Kind.UPSTREAM_FAILED
    end = End.BROKEN_HEAD
    cut = False


class Disconnected(ResponseError):
    """Raised when an upstream closes the connection without a response."""

    end = End.DISCONNECTED
    cut = True


class BrokenBody(ResponseError):
    """Raised when a response breaks off after its head."""

    end = End.BROKEN_BODY


class TimedOut(ResponseError):
    """Raised when the upstream's host acknowledges nothing any more."""

    end = End.TIMED_OUT
    cut = True


class LimitReached(ConnectionError):
    """Raised when this instance may open no more connections."""


class EndlessResponse(ResponseError):
    """Raised when an upstream sends more than a response can have."""

    end = End.ENDLESS


class Response:
    """A complete response of an upstream.

    Attributes:
        status: HTTP status.
        headers: list of ``(lower-case name, value)``, bytes.
        body: bytes.
    """

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def get(self, name):
        """Return the first value of a header, or None."""
        return _first_value(self.headers, name)


def _first_value(headers, name):
    for key, value in headers:
        if key == name:
            return value
    return None


class UpstreamConn:
    """One connection to one upstream.

    Args:
        pool: the :class:`UpstreamPool`.
        key: ``(host, port)``.
        conn: the :class:`~jasminehold.loop.Conn`.
    """

    def __init__(self, pool, key, conn):
        self.key = key
        self.opened_at = pool.loop.now()
        # When the last request was sent, and the last one that was answered.
        self.sent_at = -math.inf
        self.answered_sent_at = -math.inf
        self.idle_since = 0.0
        self.idle_timeout_s = IDLE_TIMEOUT_DEFAULT_S
        self._pool = pool
        self._conn = conn
        self._http = self._parser()
        self._request = None
        self._request_id = None
        self._names_requests = True
        self._done = None
        self._head = None
        self._is_foreign = False
        self._body = bytearray()
        self._foreign_bytes = 0
        self._wire_bytes = 0
        self._interim_responses = 0
        self._foreign_responses = 0
        self._response_begun = False
        self._ended = False
        # Ids and statuses of the last answered requests.
        self._answered = collections.deque(maxlen=ANSWERED_REMEMBERED)
        conn.on_data = self._on_data
        conn.on_close = self._on_close
        conn.on_eof = self._on_eof
        conn.on_drain = self._note_held

    @staticmethod
    def _parser():
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_MAX_BYTES
        )

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self._conn.closed

    def send(self, request, body, request_id, done, names_requests=True):
        """Send a complete request.

        Args:
            request: ``h11.Request``.
            body: bytes.
            request_id: id of the request, or None.
            done: ``done(Response or None, exc)``, called once.
            names_requests: whether the other side names the request in each
                response; a response without an id is skipped then, like one
                with another id.
        """
        self.sent_at = self._pool.loop.now()
        self._request = request
        self._request_id = request_id
        self._names_requests = names_requests
        self._done = done
        self._response_begun = False
        self._head = None
        self._wire_bytes = 0
        self._interim_responses = 0
        self._foreign_responses = 0
        self._foreign_bytes = 0
        out = self._http.send(request)
        if body:
            out += self._http.send(h11.Data(data=body))
        out += self._http.send(h11.EndOfMessage())
        self._conn.write(out)
        self._note_held()

    def _note_held(self):
        # A request that its upstream has not taken yet.
        pool = self._pool
        pool.held.update(self, self._conn.held, pool.loop.now())

    @property
    def received_bytes(self):
        """Size of the body that was received so far."""
        return len(self._body)

    def abort(self):
        """Close the connection, so that the upstream cancels the request."""
        self._done = None
        self._drop_body()
        self._conn.abort()

    def fail_endless(self):
        """End the request, as its response takes too much memory."""
        self._drop_body()
        exc = EndlessResponse('responses being received are too large')
        self._pool.loop.call_soon(self._fail, exc)

    def _drop_body(self):
        self._pool.on_received(self, -len(self._body))
        self._body = bytearray()

    def _on_data(self, data):
        if self._done is None:
            self._pool.metrics.inc('upstream_stray_bytes_total')
            self._report_unexpected(_parse_head(data), 'idle')
            self._conn.abort()
            return
        self._response_begun = True
        self._wire_bytes += len(data)
        try:
            self._http.receive_data(data)
            self._process_events()
        except (h11.RemoteProtocolError, ResponseError) as exc:
            self._fail(exc)

    def _on_eof(self):
        self._ended = True
        self._pool.record_closed(self)
        if self._done is not None:
            try:
                self._http.receive_data(b'')
                self._process_events()
            except (h11.RemoteProtocolError, ResponseError) as exc:
                self._fail(exc)
                return
        self._conn.abort()

    def _on_close(self, exc):
        self._note_held()
        self._pool.forget(self)
        if isinstance(exc, ConnectionError):
            self._pool.record_closed(self)
        if self._done is not None:
            self._fail(exc or ConnectionError('closed by the upstream'))

    def _fail(self, exc):
        done, self._done = self._done, None
        self._drop_body()
        self._conn.abort()
        if done is None:
            return
        done(None, self._error(exc))

    def _error(self, exc):
        if isinstance(exc, EndlessResponse):
            return exc
        # A path that was cut ends with a time-out.
        if isinstance(exc, TimeoutError):
            return TimedOut(str(exc))
        if not self._response_begun:
            return Disconnected(str(exc))
        error = ResponseError if self._head is None else BrokenBody
        found = error(str(exc))
        found.cut = isinstance(exc, OSError)
        return found

    def _process_events(self):
        while self._done is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.InformationalResponse):
                self._interim_responses += 1
                if self._interim_responses > INTERIM_RESPONSES_MAX:
                    raise EndlessResponse('too many interim responses')
            elif isinstance(event, h11.Response):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                self._on_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._on_answer()
            elif isinstance(event, h11.ConnectionClosed):
                raise ResponseError('connection closed before the response')

    def _on_head(self, head):
        self._head = head
        answered_id = _first_value(head.headers, wire.REQUEST_ID)
        self._is_foreign = answered_id != self._request_id
        if answered_id is None and not self._names_requests:
            self._is_foreign = False

    def _on_body(self, data):
        if self._is_foreign:
            self._foreign_bytes += len(data)
            if self._foreign_bytes > FOREIGN_BODY_MAX_BYTES:
                raise EndlessResponse('response to another request too large')
            return
        self._body += data
        self._pool.on_received(self, len(data))
        size = len(self._body)
        if size > RESPONSE_MAX_BYTES:
            raise EndlessResponse('response body too large')
        framing = self._wire_bytes - size - self._foreign_bytes
        if framing > FRAMING_MAX_BYTES + size:
            raise EndlessResponse('response framing too large')

    def _on_answer(self):
        if self._is_foreign:
            self._skip_foreign_response()
            return
        head = self._head
        self.answered_sent_at = self.sent_at
        self._answered.append((self._request_id, head.status_code))
        answer = Response(
            head.status_code, list(head.headers), bytes(self._body)
        )
        self._drop_body()
        done, self._done = self._done, None
        http = self._http
        reusable = (
            http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
            and not self._ended
            and not self._conn.buffered
        )
        if reusable:
            http.start_next_cycle()
            self._keep_alive(answer)
        else:
            self._conn.abort()
        done(answer, None)

    def _skip_foreign_response(self):
        # It is a duplicate, or names no request; the expected one follows it.
        self._pool.metrics.inc('upstream_foreign_answers_total')
        self._report_unexpected(self._head, 'busy')
        self._foreign_responses += 1
        if self._foreign_responses > FOREIGN_RESPONSES_MAX:
            raise EndlessResponse('too many responses to other requests')
        if self._http.their_state is not h11.DONE:
            raise ResponseError('response to another request')
        rest = bytes(self._http.trailing_data[0])
        self._head = None
        self._http = self._parser()
        self._http.send(
            h11.Request(
                method=self._request.method,
                target=self._request.target,
                headers=[(b'host', b'-')],
            )
        )
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    def _report_unexpected(self, head, state):
        if head is None:
            return
        request_id = _first_value(head.headers, wire.REQUEST_ID)
        self._pool.log(
            'unexpected response',
            upstream='%s:%d' % self.key,
            id=(request_id or b'')[:ID_LOGGED_MAX_BYTES].decode('latin-1'),
            status=head.status_code,
            rejection=wire.is_rejection(head.status_code, head.headers),
            state=state,
            expected=(self._request_id or b'').decode('latin-1'),
            answered_before=dict(self._answered).get(request_id),
        )

    def _keep_alive(self, answer):
        stated = answer.get(b'keep-alive')
        match = _KEEP_ALIVE_TIMEOUT.search(stated) if stated else None
        if match:
            self.idle_timeout_s = min(
                int(match.group(1)) * IDLE_TIMEOUT_FRACTION, IDLE_TIMEOUT_MAX_S
            )
        self._pool.put_back(self)


def _parse_head(data):
    # Returns the ``h11.Response`` that bytes begin with, or None.
    http = UpstreamConn._parser()
    http.send(h11.Request(method='GET', target='/', headers=[('host', '-')]))
    http.send(h11.EndOfMessage())
    try:
        http.receive_data(data)
        event = http.next_event()
    except h11.RemoteProtocolError:
        return None
    return event if isinstance(event, h11.Response) else None


def _received_bytes(conn):
    return conn.received_bytes


class UpstreamPool:
    """Pool of upstream connections, by address.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        metrics: counters.
        max_conns: maximum of open connections to all upstreams.
        held: the :class:`~decisions.held_bytes.HeldBytes`.

    Attributes:
        on_closed: called with the address of an upstream that has closed a
            connection.
        on_refused: called with an address that has refused one.
        log: structured log.
    """

    SWEEP_S = 0.5

    def __init__(self, loop, metrics, max_conns, held):
        self.loop = loop
        self.held = held
        self.metrics = metrics
        self.on_closed = lambda address: None
        self.on_refused = lambda address: None
        self.log = lambda event, **fields: None
        self._max_conns = max_conns
        self._idle = {}
        self._open = 0
        self._receiving = set()
        self._receiving_bytes = 0
        # Open connections by address, and when upstreams closed others.
        self._conns = {}
        self._closed_at = {}
        loop.call_later(self.SWEEP_S, self._sweep)

    def acquire(
        self,
        key,
        fresh,
        on_ready,
        on_error,
        timeout_s=CONNECT_TIMEOUT_S,
        avoid=(),
    ):
        """Get an idle connection or open a new one.

        Args:
            key: ``(host, port)``.
            fresh: whether to use only recently used connections.
            on_ready: called with the :class:`UpstreamConn` and whether it
                is reused.
            on_error: called with the exception; nothing was sent.
            timeout_s: seconds for opening a connection.
            avoid: connections that must not be used.
        """
        now = self.loop.now()
        idle = self._idle.get(key, [])
        # The most recently used connection is the last one.
        for conn in reversed(idle):
            limit = (
                min(conn.idle_timeout_s, FRESH_IDLE_MAX_S)
                if fresh
                else conn.idle_timeout_s
            )
            if now - conn.idle_since >= limit:
                break
            if not conn.closed and conn not in avoid:
                idle.remove(conn)
                on_ready(conn, True)
                return
        self.open(key, on_ready, on_error, timeout_s)

    def open(self, key, on_ready, on_error, timeout_s=CONNECT_TIMEOUT_S):
        """Open a new connection; see :meth:`acquire`."""
        if self._open >= self._max_conns:
            self._close_longest_idle()
        if self._open >= self._max_conns:
            self.metrics.inc('upstream_connections_refused_total')
            exc = LimitReached('upstream connection limit reached')
            self.loop.call_soon(on_error, exc)
            return
        self._open += 1
        self.metrics.inc('upstream_connections_total')

        def opened(sock):
            conn = UpstreamConn(self, key, sock)
            self._conns.setdefault(key, set()).add(conn)
            on_ready(conn, False)

        def failed(exc):
            self._open -= 1
            if isinstance(exc, ConnectionRefusedError):
                self.on_refused(key)
            on_error(exc)

        self.loop.connect(*key, opened, failed, timeout_s, KEEPALIVE)

    def put_back(self, conn):
        """Return an idle connection to the pool."""
        conn.idle_since = self.loop.now()
        self._idle.setdefault(conn.key, []).append(conn)

    def on_received(self, conn, size):
        """Account for bytes of a body that is being received.

        Beyond :data:`RECEIVING_MAX_BYTES` the largest ones are ended.

        Args:
            conn: the :class:`UpstreamConn`.
            size: bytes that it received, negative for bytes that it dropped.
        """
        self._receiving_bytes += size
        if size < 0:
            self._receiving.discard(conn)
        elif size:
            self._receiving.add(conn)
        while self._receiving_bytes > RECEIVING_MAX_BYTES:
            largest = max(self._receiving, key=_received_bytes)
            self.metrics.inc('upstream_responses_too_large_total')
            largest.fail_endless()

    def forget(self, conn):
        """Remove a closed connection from the pool."""
        self._open -= 1
        idle = self._idle.get(conn.key, [])
        if conn in idle:
            idle.remove(conn)
        conns = self._conns.get(conn.key, set())
        conns.discard(conn)
        if not conns:
            self._conns.pop(conn.key, None)

    def record_closed(self, conn):
        """Record that the upstream closed a connection."""
        now = self.loop.now()
        times = self._closed_at.setdefault(conn.key, [])
        times[:] = [at for at in times if now - at <= CLOSED_KEEP_S]
        times.append(now)
        self.on_closed(conn.key)

    def open_count(self, key):
        """Return the number of open connections to an address."""
        return len(self._conns.get(key, ()))

    def closed_around(self, key, at, margin_s):
        """Return what became of an address's connections at a time.

        Args:
            key: ``(host, port)``.
            at: monotonic seconds.
            margin_s: seconds before and after it.

        Returns:
            ``(closed by the upstream, opened before and still open)``.
        """
        times = self._closed_at.get(key, ())
        closed = sum(abs(time - at) <= margin_s for time in times)
        conns = self._conns.get(key, ())
        return closed, sum(conn.opened_at < at for conn in conns)

    def answered_across(self, key, at, margin_s):
        """Return whether connections to an address went on at a time.

        Args:
            key: ``(host, port)``.
            at: monotonic seconds.
            margin_s: seconds before it at which a connection must be open.

        Returns:
            Whether a request that was sent later has been answered over a
            connection from before.
        """
        return any(
            conn.opened_at < at - margin_s and conn.answered_sent_at > at
            for conn in self._conns.get(key, ())
        )

    def close_address(self, key):
        """Close the idle connections to an address."""
        for conn in self._idle.pop(key, []):
            conn.abort()

    def _close_longest_idle(self):
        oldest = [conns[0] for conns in self._idle.values() if conns]
        if oldest:
            min(oldest, key=lambda conn: conn.idle_since).abort()

    def _sweep(self):
        now = self.loop.now()
        for key, times in list(self._closed_at.items()):
            if now - times[-1] > CLOSED_KEEP_S:
                del self._closed_at[key]
        for conns in list(self._idle.values()):
            while (
                conns and now - conns[0].idle_since >= conns[0].idle_timeout_s
            ):
                conns[0].abort()
        self.loop.call_later(self.SWEEP_S, self._sweep)
