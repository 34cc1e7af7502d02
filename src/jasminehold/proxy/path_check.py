"""Finds out whether this instance has a path to the upstreams at all."""

from jasminehold.decisions import path_monitor
from jasminehold import logs

State = path_monitor.State

TICK_S = 0.1
# Looks at which a connection of a check has to be open, as it may be accepted
# and reset later.
SETTLE_LOOKS = 10

_log = logs.get('path')


class PathCheck:
    """Feeds a :class:`~decisions.path_monitor.PathMonitor` and makes checks.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        upstreams: ``() -> [(id, place, host, port)]``.
        metrics: counters.
        rng: random source.
        on_news: ``on_news(lost)``, called when the path is lost, after each
            check that finds it still lost, and when it is there again.
    """

    def __init__(self, loop, upstreams, metrics, rng, on_news):
        self._loop = loop
        self._upstreams = upstreams
        self._metrics = metrics
        self._rng = rng
        self._on_news = on_news
        self._monitor = path_monitor.PathMonitor()
        self._ticking = False
        self._stopped = False

    @property
    def lost(self):
        """Whether this instance has no path."""
        return self._monitor.state is State.LOST

    @property
    def since(self):
        """Monotonic seconds from which on there may have been no path."""
        return self._monitor.since

    def stop(self):
        """End the checks."""
        self._stopped = True

    def is_silent(self, began_at):
        """Return whether no upstream said anything while a request waited."""
        return self._monitor.is_silent(began_at, self._loop.now())

    # What the exchanges and the pool see.

    def begin(self, key, upstream, sent):
        """Note that a connection is being opened, or a request was sent."""
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
        """Note a failed attempt; see ``PathMonitor.on_failed``."""
        self._monitor.on_failed(upstream, opening, self._loop.now())
        self._look()

    def _tick(self):
        self._ticking = self._monitor.waiting and not self._stopped
        if self._ticking:
            self._loop.call_later(TICK_S, self._tick)
            self._look()

    # Checks.

    def _look(self):
        known = len(self._upstreams())
        reason = self._monitor.suspicion(self._loop.now(), known)
        if reason is not None and not self._stopped:
            self._metrics.inc('upstream_path_suspected_total', reason=reason)
            self._check(path_monitor.CHECK_UPSTREAMS)

    def _check(self, count):
        if self._stopped:
            return
        started_at = self._loop.now()
        known = {item[0]: item for item in self._upstreams()}
        asked = path_monitor.targets(
            [item[:2] for item in known.values()],
            self._monitor.failing,
            count,
            self._rng,
        )
        left, opened = set(asked), set()

        def end(name, has_opened):
            left.discard(name)
            if has_opened:
                opened.add(name)
            if not left:
                self._on_checked(opened, len(asked), len(known), started_at)

        def connect(name):
            def settle(conn, looks):
                if conn.closed or looks == SETTLE_LOOKS:
                    end(name, not conn.closed)
                    conn.abort()
                else:
                    look_later(conn, looks + 1)

            def look_later(conn, looks):
                self._loop.call_later(
                    path_monitor.SETTLE_S, settle, conn, looks
                )

            def ready(conn):
                conn.on_data = conn.on_close = lambda arg: None
                look_later(conn, 1)

            self._loop.connect(
                *known[name][2:],
                ready,
                lambda exc: end(name, False),
                path_monitor.OPEN_TIMEOUT_S,
            )

        for name in asked:
            connect(name)
        if not asked:
            self._loop.call_soon(
                self._on_checked, opened, 0, len(known), started_at
            )

    def _on_checked(self, opened, asked, known, started_at):
        now = self._loop.now()
        before = self._monitor.on_checked(
            opened, asked, known, started_at, now
        )
        if self.lost:
            self._loop.call_later(
                path_monitor.probe_interval_s(self._rng),
                self._check,
                path_monitor.PROBE_UPSTREAMS,
            )
        if self.lost is not (before is State.LOST):
            _log(
                'path to the upstreams changed',
                level='warning',
                lost=self.lost,
                asked=asked,
                opened=sorted(opened),
                silent_s=round(now - self._monitor.since, 2),
            )
        if self.lost or before is State.LOST:
            self._on_news(self.lost)
