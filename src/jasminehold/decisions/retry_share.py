"""An instance's share of the fleet's budget for repeated sends."""

import collections
import typing


class Use(typing.NamedTuple):
    """What an instance counts of one service in the window.

    Attributes:
        requests: callers' requests.
        repeats: repeats that were taken.
        allowed: repeats that it may take, not a whole number.
        instances: size of the fleet that the burst is divided by.
    """

    requests: int
    repeats: int
    allowed: float
    instances: int


class RetryShare:
    """Counts requests and repeats of one service in a sliding window.

    The fleet may repeat ``ratio`` of the requests plus ``burst`` in any
    window. Each instance repeats that ratio of its own requests plus an
    equal part of the burst, so the parts add up to the whole.

    Args:
        ratio: share of the requests that may be repeated.
        burst: repeats on top, of the whole fleet.
        window_s: length of the window, seconds.
    """

    # Part of the budget that is used; the rest covers views of the fleet's
    # size that differ for a moment.
    USED = 0.9
    # Part that only urgent requests may use.
    RESERVED = 0.3

    def __init__(self, ratio, burst, window_s):
        self._ratio = ratio
        self._burst = burst
        self._window_s = window_s
        self._requests = collections.deque()
        self._repeats = collections.deque()

    def on_request(self, now):
        """Count a caller's request."""
        self._requests.append(now)
        self._trim(self._requests, now)

    def take(self, instances, now, urgent=True):
        """Return whether one repeat may be sent, and count it.

        Args:
            instances: size of the fleet.
            now: monotonic seconds.
            urgent: whether the reserved part may be used.
        """
        use = self.use(instances, now)
        allowed = use.allowed
        if not urgent:
            allowed *= 1.0 - self.RESERVED
        if use.repeats + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def use(self, instances, now):
        """Return the :class:`Use`; arguments as for :meth:`take`."""
        self._trim(self._requests, now)
        self._trim(self._repeats, now)
        requests = len(self._requests)
        burst = self._burst / max(instances, 1)
        allowed = self.USED * (self._ratio * requests + burst)
        return Use(requests, len(self._repeats), allowed, instances)

    def _trim(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
