"""How long an instance has lately taken to answer requests.

The time of a request begins when it has arrived and ends when the caller has
taken the whole answer, so retries, queues and slow callers are in it.
"""

import itertools
import typing

# Times count for this long at least, and for twice as long at most.
WINDOW_S = 30.0
# Without any answer, the time is expected to be at most this many latency
# targets.
TARGETS = 3.0
# A request under way that has taken longer than all before it is expected to
# take up to this many times its age.
AGE_FACTOR = 1.2
# The same while no request has been answered.
UNANSWERED_AGE_FACTOR = 2.0
# Answers at which the longest time seen is allowed to double.
FEW_ANSWERS = 1.0
# Allowance beyond the longest time, as a part of its distance from the mean.
SPREAD_PART = 0.5


class _Window:
    """Times that ended within one window."""

    def __init__(self):
        self.count = 0
        self.total_s = 0.0
        self.longest_s = 0.0

    def add(self, seconds):
        self.count += 1
        self.total_s += seconds
        self.longest_s = max(self.longest_s, seconds)


class _Times:
    """Times of one name."""

    def __init__(self, now):
        self.since = now
        self.former, self.newest = _Window(), _Window()
        # Begin of each request under way, the oldest one first.
        self.under_way = {}

    def turn(self, now):
        windows = int((now - self.since) / WINDOW_S)
        if windows:
            self.former = self.newest if windows == 1 else _Window()
            self.newest = _Window()
            self.since += windows * WINDOW_S


class Timing(typing.NamedTuple):
    """A request whose time is being taken.

    Attributes:
        name: what its time depends on.
        number: its own among all.
        begin_at: monotonic seconds of its arrival.
    """

    name: str
    number: int
    begin_at: float


class AnswerTimes:
    """Times from the arrival of requests to the end of their answers."""

    def __init__(self):
        self._times = {}
        self._numbers = itertools.count()

    def begin(self, name, now):
        """Note that a request has arrived.

        Args:
            name: what its time depends on, such as its route.
            now: monotonic seconds.

        Returns:
            The :class:`Timing`.
        """
        number = next(self._numbers)
        self._of(name, now).under_way[number] = now
        return Timing(name, number, now)

    def answered(self, timing):
        """Note that a request has an answer, which may be a refusal.

        Args:
            timing: its :class:`Timing`.
        """
        self._times[timing.name].under_way.pop(timing.number, None)

    def end(self, timing, now):
        """Record the time of a request: its caller has the whole answer.

        A request whose time ran out counts too.

        Args:
            timing: its :class:`Timing`.
            now: monotonic seconds.
        """
        self.answered(timing)
        self._of(timing.name, now).newest.add(now - timing.begin_at)

    def expected_s(self, name, target_s, now):
        """Return the time that a request takes at most, as expected.

        Args:
            name: what its time depends on.
            target_s: its latency target, for a first estimate, seconds.
            now: monotonic seconds.
        """
        times = self._of(name, now)
        windows = (times.former, times.newest)
        count = sum(item.count for item in windows)
        oldest_s = now - next(iter(times.under_way.values()), now)
        if not count:
            return max(TARGETS * target_s, UNANSWERED_AGE_FACTOR * oldest_s)
        longest_s = max(item.longest_s for item in windows)
        mean_s = sum(item.total_s for item in windows) / count
        expected_s = longest_s * (1.0 + FEW_ANSWERS / count)
        expected_s += SPREAD_PART * (longest_s - mean_s)
        if oldest_s > longest_s:
            expected_s = max(expected_s, AGE_FACTOR * oldest_s)
        return expected_s

    def _of(self, name, now):
        times = self._times.get(name)
        if times is None:
            times = self._times[name] = _Times(now)
        times.turn(now)
        return times
