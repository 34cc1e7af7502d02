"""Whether an instance has a path to the upstreams at all.

An upstream that fails is no sign of a lost path, and slow work is none
either: only an attempt to open connections to several upstreams tells. It is
made when there is a suspicion, so an instance without requests makes none.

Example:
    >>> monitor = PathMonitor()
    >>> monitor.on_failed('u1', True, 1.0)
    >>> monitor.on_failed('u2', True, 1.1)
    >>> monitor.suspicion(1.1, 8)
    'failures'
"""

import enum
import math

# Upstreams that a suspicion is checked with, and those that are tried in each
# round while the path is lost.
CHECK_UPSTREAMS = 3
PROBE_UPSTREAMS = 2
# Successive rounds in which one upstream alone shows that the path is back:
# the others may be down.
OPEN_ROUNDS = 3
# Time for an upstream to accept the connection of a check. Round trips
# between regions take a tenth of a second at most.
OPEN_TIMEOUT_S = 0.35
# Interval at which it is looked at, and the number of looks: it may be
# accepted and then reset, late where the accepting side is busy. Once that is
# known, a connection has to be open at all of them, or an upstream to answer;
# before, it has to be open at the first.
SETTLE_S = 0.05
SETTLE_LOOKS = 40
# An upstream that accepts a connection again within this time after it closed
# one has not crashed; resets are then expected for a while.
ACCEPTED_AGAIN_S = 1.0
RESETS_KEPT_S = 10.0
# Mean time between the rounds while the path is lost, and its jitter.
PROBE_INTERVAL_S = 0.3
PROBE_JITTER_FRACTION = 0.3
# Time without any news after which a connection that is being opened, and a
# send at a single upstream, make the path suspect. Opening takes a round trip.
OPENING_PATIENCE_S = 0.3
SEND_PATIENCE_S = 1.0
# The same for sends at several upstreams, in usual gaps between answers, with
# its bounds in seconds: work takes seconds, and answers come at random.
SENDS_PATIENCE_GAPS = 6.0
SENDS_PATIENCE_MIN_S = 0.5
SENDS_PATIENCE_MAX_S = 2.0
# Weight of the newest gap in their moving average.
GAP_SMOOTHING = 0.1
# Different upstreams with failures that make the path suspect.
FAILED_UPSTREAMS = 2
FAILURE_KEPT_S = 5.0
# After a check that found a path, time until the next one for silence and for
# failures.
SILENCE_PAUSE_S = 1.5
FAILURE_PAUSE_S = 0.5
# A process that did not run for this long has heard nothing in that time.
STALL_S = 0.5


class State(enum.Enum):
    """What an instance believes of its path to the upstreams."""

    CLEAR = 'clear'
    SUSPECTED = 'suspected'
    LOST = 'lost'


class PathMonitor:
    """State machine of the path to the upstreams.

    Attributes:
        state: the :class:`State`.
        since: monotonic seconds from which on there may have been no path;
            meaningless while the state is ``CLEAR``.
    """

    def __init__(self):
        self.state = State.CLEAR
        self.since = 0.0
        # ``{key: (upstream, whether the request was sent, since when)}``
        self._pending = {}
        # ``{upstream: (whether a connection could not be opened, when)}``
        self._failed = {}
        self._news_at = -math.inf
        self._opened_at = -math.inf
        self._answered_at = -math.inf
        self._gap_s = SENDS_PATIENCE_MIN_S / SENDS_PATIENCE_GAPS
        self._cleared_at = -math.inf
        self._proven_at = -math.inf
        self._looked_at = -math.inf
        self._regained = set()
        self._open_rounds = 0

    @property
    def waiting(self):
        """Whether any connection or request is pending."""
        return bool(self._pending)

    @property
    def failing(self):
        """Ids of the upstreams with failures or pending attempts."""
        return set(self._failed) | {item[0] for item in self._pending.values()}

    # Attempts.

    def begin(self, key, upstream, sent, now):
        """Note that a connection is being opened, or a request was sent.

        Args:
            key: identifies the attempt.
            upstream: id of its upstream.
            sent: whether the request was sent.
            now: monotonic seconds.
        """
        if not self._pending:
            self._looked_at = now
        self._pending[key] = (upstream, sent, now)

    def end(self, key):
        """Note that an attempt has ended, however it did."""
        self._pending.pop(key, None)

    def on_answer(self, now):
        """Note that an upstream has answered a request."""
        if self._answered_at > -math.inf:
            gap_s = min(now - self._answered_at, SENDS_PATIENCE_MAX_S)
            self._gap_s += GAP_SMOOTHING * (gap_s - self._gap_s)
        self._news_at = self._answered_at = now
        # Connections that are open may outlive the path for new ones.
        self._forget(opening=False)

    def on_opened(self, now):
        """Note that a connection to an upstream was opened."""
        self._news_at = self._opened_at = now
        # It may be reset at once.
        self._forget(opening=True)

    def _forget(self, opening):
        self._failed = {
            name: item
            for name, item in self._failed.items()
            if item[0] != opening
        }

    def on_failed(self, upstream, opening, now):
        """Note a failed attempt.

        Args:
            upstream: id of the upstream.
            opening: whether the connection could not be opened; else it was
                lost with the request.
            now: monotonic seconds.
        """
        self._failed[upstream] = (opening, now)

    def is_silent(self, began_at, now):
        """Return whether a request was sent and no upstream has said anything.

        Args:
            began_at: monotonic seconds at which it was sent.
            now: monotonic seconds.
        """
        silent_s = now - max(began_at, self._news_at)
        return silent_s >= self._patience_s()

    def _patience_s(self):
        usual_s = SENDS_PATIENCE_GAPS * self._gap_s
        return min(max(usual_s, SENDS_PATIENCE_MIN_S), SENDS_PATIENCE_MAX_S)

    def is_answered_since(self, at):
        """Return whether an upstream has answered a request since a time."""
        return self._answered_at > at

    def is_proven_since(self, at):
        """Return whether there has been a path since a time, for certain."""
        return max(self._answered_at, self._proven_at) > at

    # Checks.

    def suspect(self, now):
        """Make the path suspect whatever was seen.

        Returns:
            Whether a check has to begin.
        """
        if self.state is not State.CLEAR:
            return False
        self.state = State.SUSPECTED
        self.since = max(self._news_at, now - FAILURE_KEPT_S)
        return True

    def suspicion(self, now, known):
        """Return why the path is suspect, or None.

        Args:
            now: monotonic seconds.
            known: number of known upstreams.
        """
        if now - self._looked_at > STALL_S and self._pending:
            self._news_at = self._opened_at = now
        self._looked_at = now
        if self.state is not State.CLEAR:
            return None
        reason = self._failures(now, known) or self._silence(now)
        if reason:
            self.suspect(now)
        return reason

    def _failures(self, now, known):
        for name, (_, at) in list(self._failed.items()):
            if now - at > FAILURE_KEPT_S:
                del self._failed[name]
        if now - self._cleared_at < FAILURE_PAUSE_S:
            return None
        enough = 0 < min(FAILED_UPSTREAMS, known) <= len(self._failed)
        return 'failures' if enough else None

    def _silence(self, now):
        if now - self._cleared_at < SILENCE_PAUSE_S:
            return None
        quiet = set()
        for upstream, sent, began_at in self._pending.values():
            # The last check answers for the attempts before it.
            if began_at <= self._cleared_at:
                continue
            if not sent:
                if now - max(began_at, self._opened_at) >= OPENING_PATIENCE_S:
                    return 'opening'
                continue
            if not self.is_silent(began_at, now):
                continue
            if now - max(began_at, self._news_at) >= SEND_PATIENCE_S:
                return 'silence'
            quiet.add(upstream)
        return 'silence' if len(quiet) >= FAILED_UPSTREAMS else None

    def on_accepted(self, now):
        """Note that a connection of a check was open at the first look."""
        if self.state is State.SUSPECTED:
            self._proven_at = now

    def on_trial_answered(self, now):
        """Note that a request which was tried on a lost path was answered."""
        self._proven_at = now
        self._clear(now)

    def on_checked(self, opened, asked, known, started_at, now):
        """Take the result of a check, or of a round while the path is lost.

        Args:
            opened: ids of the upstreams that accepted a connection, which
                stayed open.
            asked: number of upstreams that were tried.
            known: number of known upstreams.
            started_at: monotonic seconds at which it began.
            now: monotonic seconds.

        Returns:
            The :class:`State` before it.
        """
        before = self.state
        stalled = now - started_at > OPEN_TIMEOUT_S + STALL_S
        if opened:
            self._proven_at = now
            self.on_opened(now)
        if before is State.LOST:
            self._regained = self._regained | set(opened) if opened else set()
            self._open_rounds = self._open_rounds + 1 if opened else 0
            if (
                len(self._regained) >= min(PROBE_UPSTREAMS, known)
                or self._open_rounds >= OPEN_ROUNDS
            ):
                self._clear(now)
        elif opened or stalled or not asked or self._answered_at > started_at:
            # Upstreams that are full reset new connections as well.
            self._clear(now)
        else:
            self.state = State.LOST
            self._regained = set()
            self._open_rounds = 0
            # The next rounds try all upstreams alike.
            self._failed.clear()
        return before

    def _clear(self, now):
        self.state = State.CLEAR
        self._cleared_at = now
        self._failed.clear()


class LateResets:
    """Whether connections are accepted and reset only later.

    Example:
        >>> resets = LateResets()
        >>> resets.on_closed('u1', 1.0)
        >>> resets.on_accepted('u1', 1.4)
        >>> resets.looks(1.4)
        40
    """

    def __init__(self):
        self._closed_at = {}
        self._expected_until = -math.inf

    def on_closed(self, upstream, now):
        """Note that an upstream closed a connection of a check."""
        self._closed_at[upstream] = now

    def on_accepted(self, upstream, now):
        """Note that an upstream accepted a connection of a check."""
        closed_at = self._closed_at.pop(upstream, -math.inf)
        if now - closed_at < ACCEPTED_AGAIN_S:
            self._expected_until = now + RESETS_KEPT_S

    def looks(self, now):
        """Return at how many looks a connection has to be open."""
        return SETTLE_LOOKS if now < self._expected_until else 1


def probe_interval_s(rng):
    """Return the time until the next round while the path is lost, seconds."""
    return PROBE_INTERVAL_S * (
        1.0 + PROBE_JITTER_FRACTION * (2.0 * rng.random() - 1.0)
    )


def targets(upstreams, avoid, count, rng):
    """Choose the upstreams of a check.

    Those of different availability zones say most, and those that failed
    least.

    Args:
        upstreams: list of ``(id, place)``.
        avoid: ids that are taken last.
        count: number of upstreams.
        rng: a ``random.Random``.

    Returns:
        A list of at most ``count`` ids.
    """
    order = list(upstreams)
    rng.shuffle(order)
    order.sort(key=lambda item: item[0] in avoid)
    used, first, rest = set(), [], []
    for name, place in order:
        (rest if place in used else first).append(name)
        used.add(place)
    return (first + rest)[:count]
