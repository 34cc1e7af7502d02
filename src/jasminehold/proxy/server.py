"""HTTP/1.1 server for callers.

Example:
    >>> server = ProxyServer(loop, hooks, metrics)  # doctest: +SKIP
    >>> server.listen('127.0.0.1', 8080)  # doctest: +SKIP
"""

import json
import math
import random
import re
import typing

import h11

from jasminehold.decisions import answer_times
from jasminehold.decisions import planned_stop
from jasminehold import errors
from jasminehold import lookup_handler
from jasminehold.proxy import exchange as exchange_module
from jasminehold.proxy import path_check
from jasminehold.proxy import upstream

Kind = errors.Kind

# How long unread input is discarded after a response. Closing with unread
# input resets the connection, and the caller can lose the response.
LINGER_S = 1.0
LINGER_MAX_BYTES = 256 * 1024
PIPELINE_MAX_BYTES = 64 * 1024
HEADERS_MAX = 100
_SERVICE_NAME = re.compile(rb'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z')


class Limits(typing.NamedTuple):
    """Limits on connections and requests of callers.

    Attributes:
        callers: number of open connections.
        head_bytes: size of request line and headers.
        body_bytes: size of a request body.
        head_s: seconds from the first byte of a request to the end of its
            headers.
        body_s: seconds without progress while receiving a body.
        idle_s: seconds between requests.
        drain_s: seconds that idle connections stay open during a drain, so
            that a request already in transit gets ``leaving``.
    """

    callers: int = 10_000
    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_s: float = 10.0
    body_s: float = 10.0
    idle_s: float = 60.0
    drain_s: float = 1.0


def error_body(kind):
    """Return the JSON body of an error response."""
    text = errors.answer_for(kind).text
    return json.dumps({'error': kind.value, 'text': text}).encode() + b'\n'


class _DiscardHandler:
    """Handler that discards a request body."""

    def on_body(self, data):
        """Ignore the data."""

    def on_body_end(self):
        """Ignore the end of the body."""

    def on_bad_input(self, kind):
        """Ignore the error; the connection is being closed already."""

    def on_caller_disconnect(self):
        """Ignore the loss of the connection."""

    def on_caller_drain(self):
        """Ignore that the send buffer drained."""


_DISCARD_HANDLER = _DiscardHandler()


class CallerConn:
    """Connection of one caller; processes its requests one at a time."""

    def __init__(self, server, conn):
        self.peer = conn.peer[0]
        self.timeout_at = 0.0
        self._server = server
        self._conn = conn
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.head_bytes
        )
        self._handler = None
        self._processing_events = False
        self._body_paused = False
        self._reading = True
        self._body_done = False
        self._answered = False
        self._head_sent = False
        self._lingering_bytes = None
        self._discarded_bytes = 0
        self._is_head_request = False
        self._input_unusable = False
        self._receiving = False
        conn.on_data = self._on_data
        conn.on_close = self._on_close
        conn.on_drain = self._on_drain
        self._set_timeout(server.limits.head_s)

    @property
    def idle(self):
        """Whether no request is received or processed, nor input discarded."""
        is_open = self._lingering_bytes is None
        return self._handler is None and not self._receiving and is_open

    @property
    def buffered(self):
        """Number of bytes in the send buffer."""
        return self._conn.buffered

    def _set_timeout(self, seconds):
        self.timeout_at = self._server.loop.now() + seconds

    def expire(self):
        """Process a timeout while waiting for the caller's input."""
        if self._lingering_bytes is not None and self._server.draining:
            if self._conn.buffered:
                # It reads slowly; the drain ends in any case.
                self._set_timeout(LINGER_S)
                return
        self.timeout_at = math.inf
        self._input_unusable = True
        metrics = self._server.metrics
        discarding = self._lingering_bytes is not None or self._answered
        if discarding or self._conn.buffered:
            self._conn.abort()
        elif self._handler is not None:
            metrics.inc('callers_slow_total', part='body')
            self._handler.on_bad_input(Kind.BAD_REQUEST)
        elif self._receiving:
            metrics.inc('callers_slow_total', part='head')
            self.fail(Kind.BAD_REQUEST, close=True)
        else:
            self._conn.close()

    def _on_data(self, data):
        if self._lingering_bytes is not None:
            self._lingering_bytes += len(data)
            if self._lingering_bytes > LINGER_MAX_BYTES:
                self._conn.abort()
            return
        if self._handler is None:
            if not self._receiving:
                self._receiving = True
                self._set_timeout(self._server.limits.head_s)
        elif not self._body_done:
            self._set_timeout(self._server.limits.body_s)
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._on_malformed(exc)
            return
        if self._body_done:
            # Pipelined requests stay in the parser's buffer until the current
            # request ends.
            if len(self._http.trailing_data[0]) > PIPELINE_MAX_BYTES:
                self._set_reading(False)
            return
        self._process_events()

    def _on_close(self, exc):
        self._server.callers.discard(self)
        handler, self._handler = self._handler, None
        if handler is not None and not self._answered:
            handler.on_caller_disconnect()

    def _on_drain(self):
        if self._handler is not None:
            self._handler.on_caller_drain()

    def _set_reading(self, reading):
        if reading is not self._reading and not self._conn.closed:
            self._reading = reading
            (self._conn.resume if reading else self._conn.pause)()

    def _process_events(self):
        # A response sent inside the loop below starts the next request, which
        # the same loop processes instead of a nested call.
        if self._processing_events:
            return
        self._processing_events = True
        try:
            while not (
                self._conn.closed
                or self._body_paused
                or self._body_done
                or self._lingering_bytes is not None
            ):
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self._on_request(event)
                elif isinstance(event, h11.Data):
                    self._on_body(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._body_done = True
                    self.timeout_at = math.inf
                    if self._answered:
                        self._next_request()
                    else:
                        self._handler.on_body_end()
        except h11.RemoteProtocolError as exc:
            self._on_malformed(exc)
        finally:
            self._processing_events = False

    def _on_body(self, data):
        if not self._answered:
            self._handler.on_body(data)
            return
        self._discarded_bytes += len(data)
        if self._discarded_bytes > LINGER_MAX_BYTES:
            self._conn.abort()

    def _on_malformed(self, exc):
        self._input_unusable = True
        kind = Kind.BAD_REQUEST
        if exc.error_status_hint == 431:
            kind = Kind.HEADERS_TOO_LARGE
        if self._handler is None:
            self.fail(kind, close=True)
        else:
            self._handler.on_bad_input(kind)
            if not self._answered:
                self._conn.abort()

    def _on_request(self, event):
        self._receiving = False
        self._is_head_request = event.method == b'HEAD'
        self._handler = _DISCARD_HANDLER
        self._set_timeout(self._server.limits.body_s)
        headers = event.headers
        kind = self._check_head(event)
        if kind is not None:
            self.fail(kind, close=True)
            return
        values = dict(headers)
        length = values.get(b'content-length')
        chunked = b'transfer-encoding' in values
        length = int(length) if length is not None else None
        if (length or 0) > self._server.limits.body_bytes:
            self.fail(Kind.BODY_TOO_LARGE, close=True)
            return
        if self._server.draining:
            self.fail(Kind.LEAVING, 1.0, close=True)
            return
        if lookup_handler.is_lookup(event.target):
            self._handler = lookup_handler.LookupHandler(
                self, self._server.answer, event
            )
            self.send_continue()
            return
        service = values.get(b'jasminehold-service')
        if service is None:
            service = values.get(b'host', b'').partition(b'.')[0]
        if not _SERVICE_NAME.match(service):
            self.fail(Kind.UNKNOWN_SERVICE)
            return
        self._handler = exchange_module.Exchange(
            self._server,
            self,
            event,
            service.decode(),
            chunked or length is not None,
            length,
        )
        self._handler.start()

    def _check_head(self, event):
        size = len(event.target)
        length_headers = 0
        for name, value in event.headers:
            size += len(name) + len(value) + 4
            if name in (b'content-length', b'transfer-encoding'):
                length_headers += 1
        limits = self._server.limits
        if size > limits.head_bytes or len(event.headers) > HEADERS_MAX:
            return Kind.HEADERS_TOO_LARGE
        # With two lengths, two parsers can disagree about where a request
        # ends.
        if length_headers > 1 or event.http_version != b'1.1':
            # An HTTP/1.0 response has no framing that reveals truncation.
            return Kind.BAD_REQUEST
        if event.method == b'CONNECT':
            return Kind.METHOD_NOT_ALLOWED
        return None

    # Methods called by handlers

    def send_continue(self):
        """Send ``100 Continue`` if the caller waits for it."""
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def pause_body(self):
        """Stop reading the request body."""
        if not self._body_done:
            self._body_paused = True
            self.timeout_at = math.inf
            self._set_reading(False)

    def resume_body(self):
        """Resume reading the request body."""
        if self._body_paused:
            self._body_paused = False
            self._set_timeout(self._server.limits.body_s)
            self._set_reading(True)
            self._process_events()

    def start_response(self, status, headers):
        """Send the status line and headers of a response."""
        self._head_sent = True
        headers = list(headers)
        if self._server.draining:
            headers.append((b'connection', b'close'))
        self._write(h11.Response(status_code=status, headers=headers))

    def send_body(self, data):
        """Send a chunk of the response body."""
        if not self._is_head_request:
            self._write(h11.Data(data=data))

    def end_response(self):
        """Finish the response and process the next request."""
        self._write(h11.EndOfMessage())
        self._answered = True
        http = self._http
        if (
            self._body_done
            or http.our_state is not h11.DONE
            or http.their_state is not h11.SEND_BODY
        ):
            self._next_request()
            return
        # The rest of the request body precedes the next request; discard it.
        self._handler = _DISCARD_HANDLER
        self._discarded_bytes = 0
        self._set_timeout(LINGER_S)
        if self._body_paused:
            self._body_paused = False
            self._set_reading(True)
            self._process_events()

    def send_json(self, document):
        """Send a complete JSON response with status 200."""
        body = json.dumps(document, separators=(',', ':')).encode()
        self.start_response(
            200,
            [
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(body)),
            ],
        )
        self.send_body(body)
        self.end_response()

    def fail(self, kind, retry_after=None, close=False):
        """Send an error response, or close if a response has started.

        Args:
            kind: the :class:`~jasminehold.errors.Kind`.
            retry_after: seconds, rounded up to whole seconds.
            close: whether the connection must close because its further
                input cannot be parsed.
        """
        if self._conn.closed or self._answered:
            return
        answer = errors.answer_for(kind)
        self._server.metrics.inc('refused_total', kind=kind.value)
        if self._head_sent:
            self._conn.abort()
            return
        body = error_body(kind)
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
            (b'jasminehold-error', kind.value.encode()),
            (b'jasminehold-run', answer.run.value.encode()),
        ]
        if answer.retry_after:
            seconds = max(1, math.ceil(retry_after or 1.0))
            headers.append((b'retry-after', b'%d' % seconds))
        # A caller that got no ``100 Continue`` may send its body or not, so
        # the start of the next request is unknown.
        awaiting_continue = self._http.they_are_waiting_for_100_continue
        if close or awaiting_continue or self._input_unusable:
            headers.append((b'connection', b'close'))
        self.start_response(answer.status, headers)
        self.send_body(body)
        self.end_response()

    def abort(self):
        """Reset the connection, so that the caller detects the truncation."""
        self._answered = True
        self._conn.abort()

    def _write(self, event):
        if self._conn.closed:
            return
        data = self._http.send(event)
        if data:
            self._conn.write(data)

    def _next_request(self):
        http = self._http
        self._handler = None
        if self._conn.closed:
            return
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            self._body_done = self._answered = self._head_sent = False
            self._receiving = bool(http.trailing_data[0])
            limits = self._server.limits
            self._set_timeout(
                limits.head_s if self._receiving else limits.idle_s
            )
            self._set_reading(True)
            self._process_events()
        elif self._server.draining:
            # The caller may send further requests before it has the response.
            self._linger()
        elif http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            self._conn.close()
            self._set_timeout(self._server.limits.idle_s)
        else:
            self._linger()

    def _linger(self):
        # Closing with unread input sends a TCP reset, which can discard the
        # response before the caller reads it. So does input that comes after
        # the close.
        self._lingering_bytes = 0
        self._body_paused = False
        self._set_reading(True)
        self._set_timeout(LINGER_S)

    def close(self):
        """Close an idle connection."""
        self._conn.close()


class ProxyServer:
    """Serves callers' requests and lookups.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        hooks: the :class:`~jasminehold.proxy.hooks.Hooks`.
        metrics: the :class:`~jasminehold.metrics.Metrics`.
        answer: ``(service, block) -> dict`` that answers lookups.
        limits: the :class:`Limits`.
        instance_id: prefix that makes request ids unique across instances.

    Attributes:
        exchanges: set of exchanges in flight.
        callers: set of open connections.
        draining: whether new requests are refused with ``leaving``.
        answer_times: the :class:`~decisions.answer_times.AnswerTimes` by
            service.
        stops_at: monotonic seconds at which this instance stops at the
            latest, infinite until it is told to.
        path: the :class:`~jasminehold.proxy.path_check.PathCheck`.
    """

    def __init__(
        self,
        loop,
        hooks,
        metrics,
        answer=None,
        limits=None,
        instance_id='instance',
    ):
        self.loop = loop
        self.hooks = hooks
        self.metrics = metrics
        self.answer = answer
        self.limits = limits or Limits()
        self.body_max_bytes = self.limits.body_bytes
        self.instance_id = instance_id.encode()
        self.path = path_check.PathCheck(
            loop,
            hooks.upstreams,
            metrics,
            random.Random(instance_id),
            self._on_path_checked,
        )
        self.pool = upstream.Pool(loop, metrics, hooks.record_crash, self.path)
        self.exchanges = set()
        self.callers = set()
        self.draining = False
        self.answer_times = answer_times.AnswerTimes()
        self.stops_at = math.inf
        self._listeners = []
        self._on_drained = None
        shortest = min(
            self.limits.head_s, self.limits.body_s, self.limits.idle_s
        )
        self._sweep_interval_s = min(max(shortest / 4, 0.05), 1.0)
        self._stopped = False
        loop.call_later(self._sweep_interval_s, self._sweep)

    def listen(self, host, port):
        """Accept callers on an address.

        Returns:
            The :class:`~jasminehold.loop.Listener`.
        """
        listener = self.loop.listen(host, port, self._on_accept)
        self._listeners.append(listener)
        return listener

    def _on_accept(self, conn):
        if len(self.callers) >= self.limits.callers:
            self.metrics.inc('callers_refused_total')
            conn.abort()
            return
        self.callers.add(CallerConn(self, conn))

    def _sweep(self):
        if self._stopped:
            return
        now = self.loop.now()
        self.pool.close_expired(now)
        for caller in [
            item for item in self.callers if item.timeout_at <= now
        ]:
            caller.expire()
        self.loop.call_later(self._sweep_interval_s, self._sweep)

    def _on_path_checked(self, lost):
        if lost:
            self.pool.close_idle()
            for exchange in list(self.exchanges):
                exchange.on_path_lost()
        self.hooks.path_checked(lost, self.path.since)

    def ends_in_time(self, service, timeout_s, left_s, now):
        """Return whether a request is over before this instance stops.

        Args:
            service: its service.
            timeout_s: its time-out.
            left_s: seconds until its deadline.
            now: monotonic seconds.
        """
        if self.stops_at == math.inf:
            return True
        # Without any answer it may take all of its time.
        expected_s = self.answer_times.expected_s(service, timeout_s, now)
        return planned_stop.ends_in_time(
            expected_s, left_s, self.stops_at - now
        )

    def exchange_ended(self, exchange):
        """Remove an exchange that has ended."""
        self.exchanges.discard(exchange)

    def drain(self, done):
        """Shut down gracefully.

        Closes the listeners, refuses new requests with ``leaving`` and waits
        for the requests in flight.

        Args:
            done: called without arguments after the last request ended.
        """
        self.draining = True
        for listener in self._listeners:
            listener.close()
        self._on_drained = done
        self.loop.call_later(self.limits.drain_s, self._check_drained)

    def _check_drained(self):
        busy = [
            item for item in self.callers if not item.idle or item.buffered
        ]
        for caller in self.callers - set(busy):
            caller.close()
        if self.exchanges or busy:
            self.loop.call_later(0.05, self._check_drained)
            return
        done, self._on_drained = self._on_drained, None
        self.stop()
        done()

    def stop(self):
        """Stop immediately.

        Requests in flight fail with the error kind that states whether they
        may have run.
        """
        self._stopped = True
        self.path.stop()
        self.draining = True
        for listener in self._listeners:
            listener.close()
        for exchange in list(self.exchanges):
            exchange.stop()
        for caller in list(self.callers):
            caller.close()
        self.pool.close_idle()
