"""HTTP/1.1 server connections for callers.

Pipelined requests are processed concurrently and answered in order. Each
request has its own h11 connection object, which also frames the response;
bytes after a request are passed to the next request's parser.
"""

import math

import h11

from jasminehold.decisions import planned_stop
from jasminehold import errors
from jasminehold import logs
from jasminehold.proxy import server as proxy_server

Kind = errors.Kind

# Pipelined requests of one connection that are processed concurrently.
PIPELINE_MAX = 32
# Request bodies are buffered, so that a request that was not executed can be
# sent to another upstream.
BODY_MAX_BYTES = 16 * 1024 * 1024
# Limits on input that is read and discarded after a rejected request.
LINGER_S = proxy_server.LINGER_S
# The same for callers that take a response slowly, or send slowly.
SLOW_LINGER_S = 3.0
LINGER_MAX_BYTES = proxy_server.LINGER_MAX_BYTES

# Interval at which all callers' bytes are read anew while they are too many.
HELD_READ_EVERY_S = 0.1

# Errors that depend on the limits of the configuration.
_LIMIT_KINDS = (Kind.HEADERS_TOO_LARGE, Kind.BODY_TOO_LARGE)
_KIND_BY_STATUS_HINT = {431: Kind.HEADERS_TOO_LARGE}

_log = logs.get('callers')


class CallerRequest:
    """A caller's request and its response.

    Attributes:
        method: method, bytes.
        target: path and query, bytes.
        headers: list of ``(lower-case name, value)``, bytes.
        body: complete body, bytes.
        peer: the caller's IP address.
        arrived_at: monotonic seconds at which the request was complete.
        on_disconnect: called when the caller disconnects before the
            response was sent.
        on_taken: called when the caller has taken the whole response.
    """

    def __init__(self, conn, http, event, now):
        self.peer = conn.peer
        self.method = bytes(event.method)
        self.target = bytes(event.target)
        self.headers = list(event.headers)
        self.body = b''
        self.arrived_at = now
        self.on_disconnect = None
        self.on_taken = None
        self.answered = False
        self._conn = conn
        self._http = http
        self._chunks = []
        self._size = 0
        self.pending_response = None

    @property
    def body_bytes(self):
        """Size of its body, as far as it came."""
        return self._size

    @property
    def response_bytes(self):
        """Size of the body of its response, if it has one yet."""
        return len(self.pending_response[2]) if self.pending_response else 0

    def add(self, data):
        """Append body bytes; returns False when the body is too large."""
        self._size += len(data)
        self._chunks.append(data)
        return self._size <= self._conn.body_max_bytes

    def complete(self, now):
        """Assemble the body after its last chunk."""
        self.body = b''.join(self._chunks)
        self._chunks = []
        self.arrived_at = now

    def answer(self, status, headers, body, close=False):
        """Set the response; it is sent after those of earlier requests.

        Args:
            status: HTTP status.
            headers: list of ``(name, value)``, bytes, without
                ``Content-Length`` and ``Connection``.
            body: bytes.
            close: whether to close the connection after the response.
        """
        if self.answered:
            return
        self.answered = True
        self.on_disconnect = None
        self.pending_response = (status, headers, body, close)
        self._conn.flush()

    def fail(self, kind, retry_after_s=None, close=False, headers=()):
        """Answer with one of the error kinds of :class:`~errors.Kind`.

        Args:
            kind: the :class:`~errors.Kind`.
            retry_after_s: seconds for kinds with a time to return.
            close: whether to close the connection after the response.
            headers: further ``(name, value)`` pairs, bytes.
        """
        answer = errors.answer_for(kind)
        headers = [
            (b'content-type', b'application/json'),
            (b'jasminehold-error', kind.value.encode()),
            *headers,
        ]
        if answer.retry_after:
            headers.append((b'retry-after', b'%.2f' % (retry_after_s or 1.0)))
        body = proxy_server.error_body(kind)
        self.answer(answer.status, headers, body, close)

    def serialize(self, closes):
        """Return ``(bytes, whether the connection closes behind them)``.

        Args:
            closes: whether it is to close.
        """
        status, headers, body, close = self.pending_response
        headers = list(headers)
        bodiless = status in (204, 304) or status < 200
        if not bodiless:
            headers.append((b'content-length', b'%d' % len(body)))
        if close or closes:
            headers.append((b'connection', b'close'))
        http = self._http
        out = http.send(
            h11.Response(status_code=status, headers=headers, reason=b'')
        )
        if body and not bodiless and self.method != b'HEAD':
            out += http.send(h11.Data(data=body))
        out += http.send(h11.EndOfMessage())
        return out, http.our_state is not h11.DONE


class CallerConn:
    """One caller's connection.

    Args:
        port: the :class:`CallerPort`.
        conn: the :class:`~jasminehold.loop.Conn`.

    Attributes:
        peer: the caller's IP address.
    """

    def __init__(self, port, conn):
        self.peer = conn.peer[0]
        self._port = port
        self._conn = conn
        self._queue = []
        self._current = None
        self._closing = False
        self._receiving = False
        self._discarded = 0
        # ``on_taken`` of the responses that wait in the write buffer.
        self._untaken = []
        self._linger_s = LINGER_S
        self._reading = True
        self._parsing = False
        self._http = self._parser()
        self.body_max_bytes = BODY_MAX_BYTES
        self.timeout_at = port.loop.now() + port.limits().head_s
        conn.on_data = self._on_data
        conn.on_close = self._on_close
        conn.on_drain = self._on_drain

    @property
    def idle(self):
        """Whether no request is being received or answered."""
        return not self._queue and not self._receiving

    @property
    def _unanswered(self):
        # Requests that were read whole; the last one may still be received.
        return len(self._queue) - (self._current in self._queue)

    def add_owed(self, owed):
        """Return the sum with what is owed to this caller.

        Args:
            owed: the :class:`~decisions.planned_stop.Owed` to others.
        """
        # A closing connection ends when the caller has taken all.
        if self.idle and not self._conn.buffered and not self._closing:
            return owed
        return owed.plus(len(self._queue), self._conn.buffered)

    def _parser(self):
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._port.limits().head_bytes,
        )

    def _on_data(self, data):
        if self._closing:
            self._discard(len(data))
            return
        if not self._receiving:
            self._receiving = True
            self.timeout_at = (
                self._port.loop.now() + self._port.limits().head_s
            )
        try:
            self._http.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as exc:
            self._malformed(exc)

    def _parse(self):
        if self._parsing:
            return
        self._parsing = True
        try:
            while not self._closing and not self._conn.closed:
                if not self._takes_more():
                    self._set_reading(False)
                    return
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self._on_request(event)
                elif isinstance(event, h11.Data):
                    if not self._current.add(bytes(event.data)):
                        self._reject(Kind.BODY_TOO_LARGE)
                    elif not self._port.has_room(self):
                        self._reject(Kind.OVERLOADED)
                elif isinstance(event, h11.EndOfMessage):
                    self._on_request_end()
        finally:
            self._parsing = False

    def _on_request(self, event):
        inbound = CallerRequest(self, self._http, event, self._port.loop.now())
        self._current = inbound
        self._queue.append(inbound)
        limits = self._port.limits()
        self.body_max_bytes = min(limits.body_bytes, BODY_MAX_BYTES)
        lengths = [
            value
            for name, value in event.headers
            if name in (b'content-length', b'transfer-encoding')
        ]
        size = sum(len(n) + len(v) + 4 for n, v in event.headers)
        if size + len(event.target) > limits.head_bytes:
            self._reject(Kind.HEADERS_TOO_LARGE)
        elif len(lengths) > 1 or event.http_version != b'1.1':
            # Conflicting lengths allow request smuggling: two parsers could
            # disagree about where the request ends.
            self._reject(Kind.BAD_REQUEST)
        elif lengths and lengths[0].isdigit():
            if int(lengths[0]) > self.body_max_bytes:
                self._reject(Kind.BODY_TOO_LARGE)
        if self._http.they_are_waiting_for_100_continue:
            if not self._closing and len(self._queue) == 1:
                self._conn.write(
                    self._http.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                )

    def _on_request_end(self):
        inbound, self._current = self._current, None
        inbound.complete(self._port.loop.now())
        self._receiving = False
        self.timeout_at = math.inf
        last = self._http.their_state is h11.MUST_CLOSE
        rest = bytes(self._http.trailing_data[0])
        has_room = self._port.has_room(self)
        if self._conn.closed:
            # It was cut off itself to make room.
            return
        if has_room:
            self._port.on_request(inbound)
        else:
            inbound.fail(Kind.OVERLOADED)
        if last or self._conn.closed or self._closing:
            return
        self._http = self._parser()
        if rest:
            self._receiving = True
            self.timeout_at = (
                self._port.loop.now() + self._port.limits().head_s
            )
            self._http.receive_data(rest)

    def _reject(self, kind, retry_after_s=None):
        self._closing = True
        if kind in _LIMIT_KINDS and not self._port.may_deny():
            kind = Kind.UNAVAILABLE
        self._current.fail(kind, retry_after_s, close=True)

    def _malformed(self, exc):
        kind = _KIND_BY_STATUS_HINT.get(
            exc.error_status_hint, Kind.BAD_REQUEST
        )
        self._port.metrics.inc('callers_malformed_total')
        if self._current is None:
            self._closing = True
            if self._queue:
                # Earlier requests are answered before the connection closes.
                return
            http = h11.Connection(h11.SERVER)
            event = h11.Request(
                method='GET', target='/', headers=[('Host', '-')]
            )
            http.receive_data(b'GET / HTTP/1.1\r\nhost: -\r\n\r\n')
            http.next_event()
            http.next_event()
            now = self._port.loop.now()
            self._current = CallerRequest(self, http, event, now)
            self._queue.append(self._current)
        self._reject(kind)

    def flush(self):
        """Send completed responses in the order of their requests."""
        while self._queue and self._queue[0].answered:
            inbound = self._queue.pop(0)
            if self._conn.closed:
                continue
            # Requests already read after this one are answered before the
            # connection closes.
            closes = planned_stop.closes_connection(
                self._port.leaving, self._unanswered
            )
            data, last = inbound.serialize(closes)
            self._conn.write(data)
            if inbound.on_taken is not None:
                self._untaken.append(inbound.on_taken)
            if not self._conn.buffered:
                self._note_taken()
            if last:
                self._end()
                self._port.note_held(self)
                return
        self._port.note_held(self)
        if self._conn.closed:
            return
        if not self._queue and self._closing:
            self._end()
            return
        if not self._queue and not self._receiving and self._reading:
            self.timeout_at = (
                self._port.loop.now() + self._port.limits().idle_s
            )
        self._read_on()

    def _read_on(self):
        if self._takes_more() and not self._reading and not self._closing:
            self._set_reading(True)
            try:
                self._parse()
            except h11.RemoteProtocolError as exc:
                self._malformed(exc)

    def _takes_more(self):
        if not planned_stop.may_read(self._port.leaving, self._unanswered):
            return False
        # One that does not take its responses gets no further ones.
        unread = self.unread_bytes
        return len(self._queue) < PIPELINE_MAX and (
            not unread or unread < self._port.held.conn_limit
        )

    @property
    def unread_bytes(self):
        """Bytes of responses that the caller has not taken."""
        waiting = sum(item.response_bytes for item in self._queue)
        return self._conn.held + waiting

    @property
    def held_bytes(self):
        """Bytes of responses and of requests that are held."""
        return self.unread_bytes + sum(item.body_bytes for item in self._queue)

    def _note_taken(self):
        found, self._untaken = self._untaken, []
        for func in found:
            func()

    def _on_drain(self):
        self._note_taken()
        self._port.note_held(self)
        if self._closing and not self._queue:
            self._linger()
        self._read_on()

    def _end(self):
        # Pipelined requests after the last response are treated as not
        # received; none of them may be executed from here on.
        self._closing = True
        for inbound in self._queue:
            if inbound.on_disconnect is not None:
                inbound.on_disconnect()
        self._queue = []
        if self._receiving or not self._reading or self._port.leaving:
            # Closing with unread input sends a TCP reset, which can discard
            # the response before the caller reads it. So does input that
            # comes after the close.
            self._reading = True
            self._conn.resume()
            self._linger()
        else:
            self._conn.close()

    def _linger(self):
        # A slow caller also takes a while for what the kernel holds.
        if self._conn.buffered:
            self._linger_s = SLOW_LINGER_S
            self.timeout_at = math.inf
        else:
            self.timeout_at = self._port.loop.now() + self._linger_s

    def _discard(self, size):
        self._discarded += size
        if self._discarded <= LINGER_MAX_BYTES:
            return
        if self._conn.buffered:
            self._conn.pause()
        else:
            self._conn.abort()

    def _set_reading(self, reading):
        self._reading = reading
        limits = self._port.limits()
        if self._closing:
            pass
        elif not reading:
            # Its time does not run while nothing is read from it.
            self.timeout_at = math.inf
        elif self._receiving:
            self.timeout_at = self._port.loop.now() + limits.head_s
        elif not self._queue:
            self.timeout_at = self._port.loop.now() + limits.idle_s
        (self._conn.resume if reading else self._conn.pause)()

    def expire(self):
        """Handle the timeout for receiving a request or for being idle."""
        self.timeout_at = math.inf
        if self._closing and self._queue:
            # Requests before what is no request have times of their own.
            return
        if self._closing or not self._receiving:
            self._conn.close()
            return
        self._port.metrics.inc('callers_slow_total')
        if self._current is not None:
            self._reject(Kind.BAD_REQUEST)
        elif self._queue:
            # Earlier requests are answered before the connection closes.
            self._closing = True
        else:
            self._conn.close()

    def close_idle(self):
        """Close the connection if it is idle."""
        if self.idle and not self._closing:
            self._conn.close()

    def refuse_unfinished(self, ends_in_time):
        """Refuse the request that is being received, if it comes too late.

        Args:
            ends_in_time: ``CallerRequest -> bool``, judged by its head.
        """
        if self._current is None or self._closing:
            return
        if not ends_in_time(self._current):
            # It may go on sending, and read the response only afterwards.
            self._linger_s = SLOW_LINGER_S
            self._reject(Kind.LEAVING, planned_stop.RETRY_AFTER_S)

    def abort(self):
        """Close the connection immediately."""
        self._conn.abort()

    def _on_close(self, exc):
        self._port.forget(self)
        queue, self._queue = self._queue, []
        self._port.note_held(self)
        for inbound in queue:
            inbound.answered = True
            if inbound.on_disconnect is not None:
                inbound.on_disconnect()


class CallerPort:
    """Accepts callers' connections.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        metrics: counters.
        limits: ``() -> CallerLimits``, the limits currently in force.
        may_deny: ``() -> bool``, whether a request beyond them is denied for
            good; else another instance may have newer ones.
        on_request: called with each complete :class:`CallerRequest`.
        max_conns: maximum number of open connections.
        held: the :class:`~decisions.held_bytes.HeldBytes`.

    Attributes:
        leaving: whether responses carry ``Connection: close``.
    """

    SWEEP_S = 0.25

    def __init__(
        self, loop, metrics, limits, may_deny, on_request, max_conns, held
    ):
        self.loop = loop
        self.held = held
        self.metrics = metrics
        self.limits = limits
        self.may_deny = may_deny
        self.on_request = on_request
        self.leaving = False
        self._max_conns = max_conns
        self._conns = set()
        self._listener = None
        self._held_read_at = -math.inf

    def listen(self, host, port):
        """Start accepting connections."""
        self._listener = self.loop.listen(host, port, self._on_accept)
        self.loop.call_later(self.SWEEP_S, self._sweep)

    def _on_accept(self, conn):
        if len(self._conns) >= self._max_conns:
            self.metrics.inc('callers_refused_total')
            conn.abort()
            return
        self._conns.add(CallerConn(self, conn))

    def _sweep(self):
        now = self.loop.now()
        for caller in [item for item in self._conns if item.timeout_at <= now]:
            caller.expire()
        self.loop.call_later(self.SWEEP_S, self._sweep)

    def note_held(self, caller):
        """Record what is held for a caller; cut off some if it is too much.

        Args:
            caller: a :class:`CallerConn` of this port.
        """
        now = self.loop.now()
        self._update_held(caller, now)
        if (
            self.held.is_full()
            and now - self._held_read_at >= HELD_READ_EVERY_S
        ):
            # Callers that read steadily hold less than they did.
            self._held_read_at = now
            for other in self._conns:
                self._update_held(other, now)
        for cut in self.held.take_cuts(now):
            self.metrics.inc('responses_cut_off_total', reason='memory')
            _log(
                'response cut off',
                level='warning',
                reason='memory',
                peer=cut.holder.peer,
                bytes=cut.size,
                held_s=round(cut.held_s, 1),
                held_by_all=self.held.total,
            )
            cut.holder.abort()

    def _update_held(self, caller, now):
        may_cut = caller.unread_bytes > 0
        self.held.update(caller, caller.held_bytes, now, may_cut)

    def has_room(self, caller):
        """Return whether a request may be held, and count it if not."""
        self.note_held(caller)
        if self.held.is_full():
            self.metrics.inc('requests_refused_memory_total')
            return False
        return True

    def forget(self, caller):
        """Remove a closed connection."""
        self._conns.discard(caller)

    def stop_accepting(self):
        """Close the listener."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self):
        """Close the idle connections."""
        for caller in list(self._conns):
            caller.close_idle()

    def refuse_unfinished(self, ends_in_time):
        """Refuse requests that are being received and come too late.

        Args:
            ends_in_time: ``CallerRequest -> bool``, judged by its head.
        """
        for caller in list(self._conns):
            caller.refuse_unfinished(ends_in_time)

    def owed(self):
        """Return the :class:`~decisions.planned_stop.Owed` to all callers."""
        owed = planned_stop.Owed()
        for caller in self._conns:
            owed = caller.add_owed(owed)
        return owed
