"""Connection pool for upstreams.

A connection is reused only after a complete response with no bytes after it.
In any other case it is closed.
"""

import math

import h11

from jasminehold.decisions import crash_doubts
from jasminehold import errors

CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
# An upstream can close an idle connection while a request is being sent, and
# a request that is not idempotent cannot be retried then. Such requests use
# only connections that were idle for less than this.
FRESH_IDLE_MAX_S = 1.0
HEAD_MAX_BYTES = 64 * 1024
# Interim responses to one request that are read before its connection is
# closed.
INTERIM_RESPONSES_MAX = 16
PROBE_DELAY_S = 0.02
# If the probe has no result by then, the loss is reported without a crash and
# the probe continues.
PROBE_WAIT_S = 0.25
# Time for which a request that has left its upstream may still crash it, and
# how many such requests are remembered.
DOUBT_S = 2.0
MAX_DOUBTS = 2000
# Retries after a crash wait this long, so that the other instances receive
# the crash notice first.
CRASH_NOTICE_DELAY_S = 0.1
# A response may have been under way for this long when its upstream crashed,
# and instances differ as much on the time of a crash.
CRASH_MARGIN_S = 0.15


class ResponseError(errors.JasmineholdError):
    """Raised if an upstream closes the connection instead of responding."""

    kind = errors.Kind.UPSTREAM_FAILED


class UpstreamConn:
    """Connection to an upstream; carries one exchange at a time.

    The exchange that uses the connection sets ``handler``, an object with
    ``on_response_head(event)``, ``on_response_body(data)``,
    ``on_response_end()``, ``on_connection_lost(exc)`` and
    ``on_upstream_drain()``.

    Attributes:
        echoes_request_id: whether a response on this connection carried
            its request's id; every later one must then carry it too.
        is_reused: whether it has carried a response before.
    """

    def __init__(self, pool, entry, conn):
        self.handler = None
        self.idle_since = 0.0
        self.echoes_request_id = False
        self.is_reused = False
        self._pool = pool
        self._entry = entry
        self._opened_at = pool.now()
        self._conn = conn
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_MAX_BYTES
        )
        self._aborted = False
        self._paused = False
        self._eof_received = False
        self._interim_responses = 0
        conn.on_data = self._on_data
        conn.on_close = self._on_close
        conn.on_eof = self._on_eof
        conn.on_drain = self._on_drain

    @property
    def buffered(self):
        """Number of bytes in the send buffer."""
        return self._conn.buffered

    def send(self, event):
        """Send an h11 event."""
        if not self._conn.closed:
            self._conn.write(self._http.send(event))

    def pause(self):
        """Stop reading the response."""
        self._paused = True
        self._conn.pause()

    def resume(self):
        """Resume reading the response."""
        if self._paused:
            self._paused = False
            self._conn.resume()
            self._process_events()

    def return_to_pool(self):
        """Return a connection that was not used."""
        if not self._conn.closed:
            self._pool.put_back(self._entry, self)

    def abort(self):
        """Close immediately, so that the upstream cancels the request."""
        self.handler = None
        self._aborted = True
        self._conn.abort()

    def _on_drain(self):
        if self.handler is not None:
            self.handler.on_upstream_drain()

    def _on_data(self, data):
        if self.handler is None:
            self._pool.metrics.inc('upstream_stray_bytes_total')
            self._conn.abort()
            return
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._fail(exc)
            return
        self._process_events()

    def _on_eof(self):
        self._eof_received = True
        if self.handler is not None:
            try:
                self._http.receive_data(b'')
            except h11.RemoteProtocolError as exc:
                self._fail(exc)
                return
            self._process_events()
        if not self._paused:
            self._conn.abort()

    def _on_close(self, exc):
        self._pool.forget(self._entry, self)
        if self.handler is not None:
            self._fail(exc or ConnectionError('closed by the upstream'))
        if not self._aborted:
            self._pool.on_closed(self._entry)

    def _fail(self, exc):
        handler, self.handler = self.handler, None
        self._conn.abort()
        if handler is not None:
            handler.on_connection_lost(exc)

    def _process_events(self):
        try:
            while self.handler is not None and not self._paused:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.InformationalResponse):
                    self._interim_responses += 1
                    if self._interim_responses > INTERIM_RESPONSES_MAX:
                        raise ResponseError('too many interim responses')
                elif isinstance(event, h11.Response):
                    self.handler.on_response_head(event)
                elif isinstance(event, h11.Data):
                    self.handler.on_response_body(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._on_response_complete()
                elif isinstance(event, h11.ConnectionClosed):
                    raise ResponseError(
                        'connection closed before the response'
                    )
        except (h11.RemoteProtocolError, ResponseError) as exc:
            self._fail(exc)

    def _on_response_complete(self):
        handler, self.handler = self.handler, None
        self.is_reused = True
        self._pool.note_answer(self._entry, self._opened_at)
        self._interim_responses = 0
        http = self._http
        if http.trailing_data[0]:
            self._pool.metrics.inc('upstream_stray_bytes_total')
        elif (
            http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not self._eof_received
        ):
            http.start_next_cycle()
            self._pool.put_back(self._entry, self)
            handler.on_response_end()
            return
        self._conn.abort()
        handler.on_response_end()


class _PoolEntry:
    def __init__(self, upstream, host, port):
        self.upstream = upstream
        self.host = host
        self.port = port
        self.open_connections = 0
        self.idle = []
        self.probing = False
        self.suspects = []
        self.callbacks = []
        self.in_flight = {}
        # Time in which one process has certainly served it.
        self.lived = (math.inf, -math.inf)


class Pool:
    """Connections to all upstreams, and their requests in flight.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        metrics: the :class:`~jasminehold.metrics.Metrics`.
        record_crash: ``(upstream, fingerprints)``, called after a crash with
            the digests of the requests in flight at it.
        path: the :class:`~jasminehold.proxy.path_check.PathCheck`.
    """

    def __init__(self, loop, metrics, record_crash, path):
        self.metrics = metrics
        self._loop = loop
        self._record_crash = record_crash
        self._path = path
        self._entries = {}
        # Digests of requests that were withdrawn, by entry.
        self._doubts = crash_doubts.Doubts(DOUBT_S, MAX_DOUBTS)

    def _entry(self, target):
        key = (target.upstream, target.host, target.port)
        if key not in self._entries:
            self._entries[key] = _PoolEntry(*key)
        return self._entries[key]

    def open_count(self, upstream):
        """Return the number of open connections to an upstream."""
        return sum(
            entry.open_connections
            for key, entry in self._entries.items()
            if key[0] == upstream
        )

    def now(self):
        """Return the loop's time, seconds, monotonic."""
        return self._loop.now()

    def note_answer(self, entry, opened_at):
        """Note a complete response on a connection to an upstream."""
        since, until = entry.lived
        # One that was opened before the last response is to the same process.
        since = min(since, opened_at) if opened_at <= until else opened_at
        entry.lived = (since, self._loop.now())

    def lived_through(self, upstream, at):
        """Return whether an upstream has certainly lived through a time.

        Args:
            upstream: its name.
            at: when it seemed to crash, seconds, monotonic.
        """
        return any(
            entry.lived[0] < at - CRASH_MARGIN_S
            and entry.lived[1] > at + CRASH_MARGIN_S
            for key, entry in self._entries.items()
            if key[0] == upstream
        )

    def has_idle(self, upstream, host, port):
        """Return whether the pool has an idle connection to an upstream."""
        entry = self._entries.get((upstream, host, port))
        return entry is not None and bool(entry.idle)

    def acquire(self, target, fresh, on_ready, on_error):
        """Reuse an idle connection or open a new one.

        Args:
            target: the :class:`~jasminehold.proxy.hooks.Target`.
            fresh: whether to reuse only connections idle for less than
                ``FRESH_IDLE_MAX_S``.
            on_ready: called with the :class:`UpstreamConn`.
            on_error: called with the exception if none can be opened.
        """
        entry = self._entry(target)
        now = self._loop.now()
        while entry.idle:
            conn = entry.idle.pop()
            if now - conn.idle_since < (
                FRESH_IDLE_MAX_S if fresh else IDLE_TIMEOUT_S
            ):
                on_ready(conn)
                return
            conn.abort()
        if entry.open_connections >= target.connections:
            self.metrics.inc('upstream_connections_refused_total')
            on_error(ConnectionError('connection limit reached'))
            return
        entry.open_connections += 1
        self.metrics.inc('upstream_connections_total')

        def opened(conn):
            self._path.on_opened()
            on_ready(UpstreamConn(self, entry, conn))

        def failed(exc):
            entry.open_connections -= 1
            self._path.on_failed(target.upstream, True)
            on_error(exc)

        self._loop.connect(
            target.host, target.port, opened, failed, CONNECT_TIMEOUT_S
        )

    def put_back(self, entry, conn):
        """Return a connection to the pool for reuse."""
        conn.idle_since = self._loop.now()
        entry.idle.append(conn)

    def forget(self, entry, conn):
        """Remove a closed connection."""
        entry.open_connections -= 1
        if conn in entry.idle:
            entry.idle.remove(conn)

    def close_expired(self, now):
        """Close connections idle for more than ``IDLE_TIMEOUT_S``."""
        for entry in self._entries.values():
            # The list is ordered by last use, oldest first.
            while (
                entry.idle and now - entry.idle[0].idle_since > IDLE_TIMEOUT_S
            ):
                entry.idle[0].abort()

    def close_idle(self):
        """Close all idle connections."""
        for entry in self._entries.values():
            for conn in list(entry.idle):
                conn.abort()

    def add_in_flight(self, target, exchange, fingerprint):
        """Add a request to those in flight at an upstream."""
        self._entry(target).in_flight[exchange] = fingerprint

    def remove_in_flight(self, target, exchange):
        """Remove a request from those in flight at an upstream."""
        self._entry(target).in_flight.pop(exchange, None)

    def withdraw(self, target, exchange):
        """Note that a request leaves its upstream without its response.

        The upstream may go on with it. If it crashes in the next ``DOUBT_S``,
        the request is one of the suspects.
        """
        entry = self._entry(target)
        digest = entry.in_flight.get(exchange)
        if digest is None or self._path.lost:
            return
        self._doubts.add(entry, digest, self._loop.now())
        # The request's own connection is about to be closed.
        self._loop.call_soon(self._add_witness, entry)

    def _add_witness(self, entry):
        # A connection whose end shows that the upstream crashed.
        if entry.open_connections or entry.probing:
            return
        entry.open_connections += 1

        def opened(conn):
            self.put_back(entry, UpstreamConn(self, entry, conn))

        def failed(exc):
            entry.open_connections -= 1
            self.on_closed(entry)

        self._loop.connect(
            entry.host, entry.port, opened, failed, CONNECT_TIMEOUT_S
        )

    def on_closed(self, entry):
        """Check for a crash if an upstream that is in doubt closes."""
        if entry in self._doubts:
            self._check(entry)

    def check_for_crash(self, target, exchange, done):
        """Check whether the upstream of a lost connection crashed.

        Connects to the upstream again; if its port refuses the connection,
        it crashed, and all requests in flight at the loss are reported as
        suspects.

        Args:
            target: the target whose connection was lost.
            exchange: the exchange that used the connection.
            done: called once with whether the upstream crashed. After a
                crash it is called ``CRASH_NOTICE_DELAY_S`` later; if the
                probe takes longer than ``PROBE_WAIT_S``, with False.
        """
        entry = self._entry(target)
        entry.callbacks.append(done)
        self._check(entry)

    def _check(self, entry):
        for item in entry.in_flight.values():
            if item not in entry.suspects:
                entry.suspects.append(item)
        if entry.probing:
            return
        entry.probing = True

        def notify(crashed=False):
            callbacks, entry.callbacks = entry.callbacks, []
            delay = CRASH_NOTICE_DELAY_S if crashed else 0.0
            for item in callbacks:
                self._loop.call_later(delay, item, crashed)

        notify_timer = self._loop.call_later(PROBE_WAIT_S, notify)

        def finish(crashed):
            # Without a path, any upstream seems to refuse connections.
            crashed = crashed and not self._path.lost
            suspects, entry.suspects = entry.suspects, []
            entry.probing = False
            notify_timer.cancel()
            if crashed:
                for item in self._doubts.take(entry, self._loop.now()):
                    if item not in suspects:
                        suspects.append(item)
                self.metrics.inc('upstream_crashes_total')
                self._record_crash(entry.upstream, suspects)
            notify(crashed)

        def opened(conn):
            conn.abort()
            finish(False)

        def probe():
            self._loop.connect(
                entry.host,
                entry.port,
                opened,
                lambda exc: finish(isinstance(exc, ConnectionRefusedError)),
                CONNECT_TIMEOUT_S,
            )

        self._loop.call_later(PROBE_DELAY_S, probe)
