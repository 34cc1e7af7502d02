"""Connections to upstreams, kept for reuse within a bound.

A connection goes back to the pool only after one whole answer with nothing
behind it. Any other end closes it.
"""

import h11

from jasminehold import errors

CONNECT_TIMEOUT_S = 2.0
IDLE_S = 30.0
# An upstream may close an idle connection at any moment, and a request lost
# in that race cannot be repeated when it is not idempotent. Such requests use
# only connections idle for less than this.
FRESH_S = 1.0
HEAD_MAX_BYTES = 64 * 1024
PROBE_DELAY_S = 0.02
# A probe that gets no reply says nothing soon; the loss is passed on then.
PROBE_WAIT_S = 0.25
# Time for the notice of a crash to reach the other instances.
CRASH_SPREAD_S = 0.1


class AnswerError(errors.JasmineholdError):
    """Raised when an upstream's answer is malformed or not delimited."""

    kind = errors.Kind.UPSTREAM_FAILED


class UpstreamConn:
    """One connection, serving one exchange at a time.

    The user sets ``user``, an object with ``on_head(event)``,
    ``on_answer_body(data)``, ``on_answer_end()``, ``on_loss(exc)`` and
    ``on_upstream_drain()``.

    Attributes:
        echoes: whether an answer on this connection named its request, so
            that each later one has to.
    """

    def __init__(self, pool, entry, conn):
        self.user = None
        self.idle_since = 0.0
        self.echoes = False
        self._pool = pool
        self._entry = entry
        self._conn = conn
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_MAX_BYTES
        )
        self._paused = False
        self._ended = False
        conn.on_data = self._on_data
        conn.on_close = self._on_close
        conn.on_eof = self._on_eof
        conn.on_drain = self._on_drain

    @property
    def buffered(self):
        """Bytes waiting to be sent."""
        return self._conn.buffered

    def send(self, event):
        """Send one h11 event."""
        if not self._conn.closed:
            self._conn.write(self._http.send(event))

    def pause(self):
        """Stop reading the answer."""
        self._paused = True
        self._conn.pause()

    def resume(self):
        """Read the answer again."""
        if self._paused:
            self._paused = False
            self._conn.resume()
            self._pump()

    def park(self):
        """Return a connection on which nothing was sent to the pool."""
        if not self._conn.closed:
            self._pool.give_back(self._entry, self)

    def abort(self):
        """Close at once, so that the upstream stops the work."""
        self.user = None
        self._conn.abort()

    def _on_drain(self):
        if self.user is not None:
            self.user.on_upstream_drain()

    def _on_data(self, data):
        if self.user is None:
            self._pool.metrics.inc('upstream_stray_bytes_total')
            self._conn.abort()
            return
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._lose(exc)
            return
        self._pump()

    def _on_eof(self):
        self._ended = True
        if self.user is not None:
            try:
                self._http.receive_data(b'')
            except h11.RemoteProtocolError as exc:
                self._lose(exc)
                return
            self._pump()
        if not self._paused:
            self._conn.abort()

    def _on_close(self, exc):
        self._pool.closed(self._entry, self)
        if self.user is not None:
            self._lose(exc or ConnectionError('closed by the upstream'))

    def _lose(self, exc):
        user, self.user = self.user, None
        self._conn.abort()
        if user is not None:
            user.on_loss(exc)

    def _pump(self):
        try:
            while self.user is not None and not self._paused:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    self.user.on_head(event)
                elif isinstance(event, h11.Data):
                    self.user.on_answer_body(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._end()
                elif isinstance(event, h11.ConnectionClosed):
                    raise AnswerError('closed before the answer')
        except (h11.RemoteProtocolError, AnswerError) as exc:
            self._lose(exc)

    def _end(self):
        user, self.user = self.user, None
        http = self._http
        if http.trailing_data[0]:
            self._pool.metrics.inc('upstream_stray_bytes_total')
        elif (
            http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not self._ended
        ):
            http.start_next_cycle()
            self._pool.give_back(self._entry, self)
            user.on_answer_end()
            return
        self._conn.abort()
        user.on_answer_end()


class _Entry:
    def __init__(self, upstream):
        self.upstream = upstream
        self.open = 0
        self.idle = []
        self.probing = False
        self.suspects = []
        self.waiting = []
        self.in_flight = {}


class Pool:
    """Connections by upstream.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        metrics: counters.
        record_crash: ``(upstream, fingerprints)``.
    """

    def __init__(self, loop, metrics, record_crash):
        self.metrics = metrics
        self._loop = loop
        self._record_crash = record_crash
        self._entries = {}

    def _entry(self, target):
        key = (target.upstream, target.host, target.port)
        if key not in self._entries:
            self._entries[key] = _Entry(target.upstream)
        return self._entries[key]

    def open_count(self, upstream):
        """Return the number of open connections to an upstream."""
        return sum(
            entry.open
            for key, entry in self._entries.items()
            if key[0] == upstream
        )

    def has_idle(self, upstream, host, port):
        """Return whether an open connection to an upstream is idle."""
        entry = self._entries.get((upstream, host, port))
        return entry is not None and bool(entry.idle)

    def acquire(self, target, fresh, on_ready, on_error):
        """Get a connection.

        Args:
            target: the :class:`~jasminehold.proxy.hooks.Target`.
            fresh: whether a connection idle for long is unsuitable.
            on_ready: called with the :class:`UpstreamConn`.
            on_error: called with the exception; nothing was sent.
        """
        entry = self._entry(target)
        now = self._loop.now()
        while entry.idle:
            conn = entry.idle.pop()
            if now - conn.idle_since < (FRESH_S if fresh else IDLE_S):
                on_ready(conn)
                return
            conn.abort()
        if entry.open >= target.connections:
            self.metrics.inc('upstream_connections_refused_total')
            on_error(ConnectionError('connection bound reached'))
            return
        entry.open += 1
        self.metrics.inc('upstream_connections_total')

        def opened(conn):
            on_ready(UpstreamConn(self, entry, conn))

        def failed(exc):
            entry.open -= 1
            on_error(exc)

        self._loop.connect(
            target.host, target.port, opened, failed, CONNECT_TIMEOUT_S
        )

    def give_back(self, entry, conn):
        """Keep a clean connection for reuse."""
        conn.idle_since = self._loop.now()
        entry.idle.append(conn)

    def closed(self, entry, conn):
        """Forget a closed connection."""
        entry.open -= 1
        if conn in entry.idle:
            entry.idle.remove(conn)

    def reap(self, now):
        """Close connections that have been idle for too long."""
        for entry in self._entries.values():
            # The most recently used ones are at the end.
            while entry.idle and now - entry.idle[0].idle_since > IDLE_S:
                entry.idle[0].abort()

    def close_idle(self):
        """Close all idle connections."""
        for entry in self._entries.values():
            for conn in list(entry.idle):
                conn.abort()

    def begin(self, target, exchange, fingerprint):
        """Record a request in flight at an upstream."""
        self._entry(target).in_flight[exchange] = fingerprint

    def end(self, target, exchange):
        """Record that a request is no longer in flight."""
        self._entry(target).in_flight.pop(exchange, None)

    def check_for_crash(self, target, exchange, done):
        """Check whether a lost connection was a crash of the upstream.

        All requests in flight at the loss are suspects. The crash is reported
        when the upstream's port then refuses a connection.

        Args:
            target: the target whose connection was lost.
            exchange: the exchange that lost it.
            done: called once with whether the upstream crashed: when it is
                known to live, when the notice of its crash has had time to
                spread, or when the probe takes too long.
        """
        entry = self._entry(target)
        for item in entry.in_flight.values():
            if item not in entry.suspects:
                entry.suspects.append(item)
        entry.waiting.append(done)
        if entry.probing:
            return
        entry.probing = True

        def pass_on(crashed=False):
            waiting, entry.waiting = entry.waiting, []
            delay = CRASH_SPREAD_S if crashed else 0.0
            for item in waiting:
                self._loop.call_later(delay, item, crashed)

        overdue = self._loop.call_later(PROBE_WAIT_S, pass_on)

        def finish(crashed):
            suspects, entry.suspects = entry.suspects, []
            entry.probing = False
            overdue.cancel()
            if crashed:
                self.metrics.inc('upstream_crashes_total')
                self._record_crash(entry.upstream, suspects)
            pass_on(crashed)

        def opened(conn):
            conn.abort()
            finish(False)

        def probe():
            self._loop.connect(
                target.host,
                target.port,
                opened,
                lambda exc: finish(isinstance(exc, ConnectionRefusedError)),
                CONNECT_TIMEOUT_S,
            )

        self._loop.call_later(PROBE_DELAY_S, probe)
