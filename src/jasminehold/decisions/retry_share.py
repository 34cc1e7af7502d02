"""An instance's share of the fleet's budget for repeated sends."""

import collections


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
        self._trim(self._requests, now)
        self._trim(self._repeats, now)
        allowed = self.USED * (
            self._ratio * len(self._requests) + self._burst / max(instances, 1)
        )
        if not urgent:
            allowed *= 1.0 - self.RESERVED
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _trim(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
