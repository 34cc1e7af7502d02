"""Finds out whether this instance has a path to the upstreams."""

from jasminehold.decisions import path_monitor
from jasminehold.front import upstream_conn

State = path_monitor.State

TICK_S = 0.1


class PathCheck:
    """Feeds a :class:`~decisions.path_monitor.PathMonitor` and makes checks.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        pool: the :class:`~jasminehold.front.upstream_conn.UpstreamPool`.
        view: the :class:`~decisions.upstream_view.UpstreamView`.
        rng: random source.
        metrics: counters.
        log: structured log.

    Attributes:
        on_lost: called with the monotonic seconds from which on there may
            have been no path.
        on_still_lost: called after each round that found no path.
        on_regained: called without arguments.
    """

    def __init__(self, loop, pool, view, rng, metrics, log):
        self.on_lost = lambda since: None
        self.on_still_lost = lambda: None
        self.on_regained = lambda: None
        self._monitor = path_monitor.PathMonitor()
        self._loop = loop
        self._pool = pool
        self._view = view
        self._rng = rng
        self._metrics = metrics
        self._log = log
        self._ticking = False
        self._lost_at = 0.0

    @property
    def lost(self):
        """Whether this instance has no path."""
        return self._monitor.state is State.LOST

    def lost_s(self):
        """Return for how long this instance has known that it has no path."""
        return self._loop.now() - self._lost_at

    def is_silent(self, began_at):
        """See :meth:`PathMonitor.is_silent`."""
        return self._monitor.is_silent(began_at, self._loop.now())

    # What the exchanges see.

    def begin(self, key, upstream, sent):
        """Note an attempt; see :meth:`PathMonitor.begin`."""
        self._monitor.begin(key, upstream, sent, self._loop.now())
        if not self._ticking:
            self._ticking = True
            self._loop.call_later(TICK_S, self._tick)

    def end(self, key):
        """Note that an attempt has ended."""
        self._monitor.end(key)

    def on_answer(self):
        """Note that an upstream has answered a request."""
        self._monitor.on_answer(self._loop.now())

    def on_opened(self):
        """Note that a connection to an upstream was opened."""
        self._monitor.on_opened(self._loop.now())

    def on_failed(self, upstream, opening):
        """Note a failed attempt; see :meth:`PathMonitor.on_failed`."""
        self._monitor.on_failed(upstream, opening, self._loop.now())
        self._look()

    def is_proven_since(self, at):
        """See :meth:`PathMonitor.is_proven_since`."""
        return self._monitor.is_proven_since(at)

    def request(self):
        """Check the path now, as a loss may be due to it."""
        if self._monitor.suspect(self._loop.now()):
            self._check('loss')

    def _tick(self):
        self._ticking = self._monitor.waiting
        if self._ticking:
            self._loop.call_later(TICK_S, self._tick)
            self._look()

    def _look(self):
        reason = self._monitor.suspicion(self._loop.now(), self._known())
        if reason is not None:
            self._check(reason)

    def _check(self, reason):
        failing = sorted(self._monitor.failing)
        self._log(
            'upstream path suspect',
            reason=reason,
            upstreams=failing[:8],
            since=round(self._monitor.since, 3),
        )
        self._probe(path_monitor.CHECK_UPSTREAMS)

    # Checks.

    def _known(self):
        return len(self._view.upstreams)

    def _probe(self, count):
        started_at = self._loop.now()
        upstreams = self._view.upstreams
        asked = path_monitor.targets(
            [(name, item.entry.place) for name, item in upstreams.items()],
            self._monitor.failing,
            count,
            self._rng,
        )
        left = set(asked)
        opened, errors = set(), {}

        def end(name, exc):
            left.discard(name)
            if exc is None:
                opened.add(name)
            elif not isinstance(exc, upstream_conn.LimitReached):
                errors[name] = str(exc)
            if not left:
                self._on_checked(opened, errors, started_at)

        def try_one(name):
            entry = upstreams[name].entry

            def ready(conn, reused):
                self._loop.call_later(path_monitor.SETTLE_S, settled, conn)

            def settled(conn):
                if conn.closed:
                    end(name, ConnectionError('closed at once'))
                    return
                self._pool.put_back(conn)
                end(name, None)

            self._pool.open(
                (entry.host, entry.port),
                ready,
                lambda exc: end(name, exc),
                path_monitor.OPEN_TIMEOUT_S,
            )

        for name in asked:
            try_one(name)
        if not asked:
            self._loop.call_soon(self._on_checked, opened, errors, started_at)

    def _on_checked(self, opened, errors, started_at):
        now = self._loop.now()
        monitor = self._monitor
        asked = len(opened) + len(errors)
        before = monitor.on_checked(
            opened, asked, self._known(), started_at, now
        )
        outcome = 'open' if opened else 'closed'
        self._metrics.inc('upstream_path_checks_total', outcome=outcome)
        if monitor.state is State.LOST:
            pause_s = path_monitor.probe_interval_s(self._rng)
            self._loop.call_later(
                pause_s, self._probe, path_monitor.PROBE_UPSTREAMS
            )
            if before is not State.LOST:
                self._on_lost(errors, now)
            else:
                self.on_still_lost()
        elif before is State.LOST:
            self._log(
                'upstream path regained',
                upstreams=sorted(opened),
                lost_s=round(now - self._lost_at, 2),
            )
            self.on_regained()
        else:
            self._log(
                'upstream path found',
                upstreams=sorted(opened),
                failed=errors,
                seconds=round(now - started_at, 3),
            )

    def _on_lost(self, errors, now):
        self._lost_at = now
        since = self._monitor.since
        self._log(
            'upstream path lost',
            level='warning',
            tried=errors,
            no_news_s=round(now - since, 2),
        )
        self.on_lost(since)
