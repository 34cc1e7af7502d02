"""Finds out whether this instance has a path to the upstreams."""

from jasminehold.decisions import path_monitor
from jasminehold.front import upstream_conn

State = path_monitor.State

TICK_S = 0.1


class _Round:
    """Connections that are opened together to find out about the path.

    Attributes:
        left: ids of the upstreams that have not told yet.
        opened: those whose connections stayed open.
        errors: ``{id: text}`` of the others.
        accepted: whether any connection was open at the first look.
        has_trial: whether a request was tried, as some was accepted.
        is_trial_lost: whether that was lost.
    """

    def __init__(self, names, started_at):
        self.left = set(names)
        self.opened = set()
        self.errors = {}
        self.accepted = False
        self.has_trial = False
        self.is_trial_lost = False
        self.started_at = started_at


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
        # The :class:`_Round` in progress, or None.
        self._round = None
        self._resets = path_monitor.LateResets()

    @property
    def lost(self):
        """Whether this instance has no path."""
        return self._monitor.state is State.LOST

    @property
    def suspected(self):
        """Whether a check is in progress."""
        return self._monitor.state is State.SUSPECTED

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
        upstreams = self._view.upstreams
        asked = path_monitor.targets(
            [(name, item.entry.place) for name, item in upstreams.items()],
            self._monitor.failing,
            count,
            self._rng,
        )
        check = self._round = _Round(asked, self._loop.now())
        for name in asked:
            self._open(check, name, upstreams[name].entry)
        if not asked:
            self._loop.call_soon(self._on_checked, check)

    def _open(self, check, name, entry):
        def ready(conn, reused):
            self._resets.on_accepted(name, self._loop.now())
            self._look_later(check, name, conn, 1)

        self._pool.open(
            (entry.host, entry.port),
            ready,
            lambda exc: self._end_one(check, name, exc),
            path_monitor.OPEN_TIMEOUT_S,
        )

    def _look_later(self, *args):
        self._loop.call_later(path_monitor.SETTLE_S, self._settle, *args)

    def _settle(self, check, name, conn, looks):
        now = self._loop.now()
        is_settled = name not in check.left
        if conn.closed:
            self._resets.on_closed(name, now)
            if not is_settled:
                exc = ConnectionError('closed by the upstream')
                self._end_one(check, name, exc)
            return
        if not is_settled:
            check.accepted = True
            self._monitor.on_accepted(now)
            if (
                looks >= self._resets.looks(now)
                or check.is_trial_lost
                or self._monitor.is_answered_since(check.started_at)
            ):
                self._pool.put_back(conn)
                self._end_one(check, name, None)
        if looks < path_monitor.SETTLE_LOOKS:
            self._look_later(check, name, conn, looks + 1)

    def _end_one(self, check, name, exc):
        check.left.discard(name)
        if exc is None:
            check.opened.add(name)
        elif not isinstance(exc, upstream_conn.LimitReached):
            check.errors[name] = str(exc)
        if not check.left and check is self._round:
            self._on_checked(check)

    def _on_checked(self, check):
        now = self._loop.now()
        monitor = self._monitor
        asked = len(check.opened) + len(check.errors)
        errors = check.errors
        opened = set() if check.is_trial_lost else check.opened
        self._round = None
        before = monitor.on_checked(
            opened, asked, self._known(), check.started_at, now
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
            self._on_regained(opened)
        else:
            self._log(
                'upstream path found',
                upstreams=sorted(opened),
                failed=errors,
                seconds=round(now - check.started_at, 3),
            )

    def _on_regained(self, opened):
        self._log(
            'upstream path regained',
            upstreams=sorted(opened),
            lost_s=round(self._loop.now() - self._lost_at, 2),
        )
        self.on_regained()

    # Requests that are tried while the path is lost.

    @property
    def may_try(self):
        """Whether a request may be sent although the path is lost.

        Where upstreams accept connections again, one request a round may go:
        its answer shows that the path is back, its loss that they are reset
        later.
        """
        check = self._round
        return (
            self.lost
            and check is not None
            and check.accepted
            and not check.has_trial
        )

    def begin_trial(self):
        """Note that a request is sent; :meth:`end_trial` has to follow."""
        self._round.has_trial = True

    def end_trial(self, answered):
        """Note whether a request that was tried was answered, or lost."""
        if not self.lost:
            return
        if not answered:
            if self._round is not None:
                self._round.is_trial_lost = True
            return
        if self._round is None:
            # The next round begins by itself, and tells.
            return
        opened, self._round = set(self._round.opened), None
        self._monitor.on_trial_answered(self._loop.now())
        self._on_regained(opened)

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
