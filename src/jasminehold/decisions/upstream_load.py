"""How busy an upstream is and when it would finish one more request."""

import math

# Time in which a reported load loses its weight: queues build up and drain
# within seconds.
REPORT_MEMORY_S = 2.0
# Weight of the newest sample in the moving averages.
SMOOTHING = 0.2
# First pause after a failure, and the longest one.
EJECT_FIRST_S = 0.5
EJECT_MAX_S = 8.0
# Load assumed after rejections in a row that told none, in multiples of the
# slots. A single one may be by chance: 2.5 is where queues count as full, so
# that the upstream has room again before a rejected caller returns (0.3 s).
FULL_FACTORS = (2.5, 3.0, 3.5)
# Failures in a row after which an upstream is left out; connection failures
# count at once.
FAILURES_MAX = 3


class UpstreamLoad:
    """What one instance knows of one upstream's load.

    Attributes:
        in_flight: requests of this instance at the upstream.
        service_s: moving average of the time one request takes in a slot,
            seconds.
    """

    def __init__(self, slots, service_s):
        self.slots = max(slots, 1)
        self.in_flight = 0
        self.service_s = service_s
        self.ejected_until = 0.0
        self._failures = 0
        self._ejections = 0
        self._rejections = 0
        self._others = 0.0
        self._told_at = 0.0

    def on_sent(self):
        """Count a request sent."""
        self.in_flight += 1

    def on_end(self):
        """Count a request ended."""
        self.in_flight -= 1

    def on_report(self, running, waiting, now):
        """Take the load that an answer carried, before ``on_end``."""
        # The report was made while this instance's own requests were there.
        others = running + waiting - (self.in_flight - 1)
        self._others = max(others, 0)
        self._told_at = now

    def on_full(self, now):
        """Take a rejection for lack of room that carried no load."""
        factor = FULL_FACTORS[min(self._rejections, len(FULL_FACTORS) - 1)]
        self._rejections += 1
        self._others = max(factor * self.slots - self.in_flight, 0)
        self._told_at = now

    def on_success(self, seconds, ahead):
        """Take a good answer.

        Args:
            seconds: time from send to answer.
            ahead: requests that were taken to wait in front of it.
        """
        self._failures = 0
        self._ejections = 0
        self._rejections = 0
        sample = seconds / (1.0 + ahead / self.slots)
        self.service_s += SMOOTHING * (sample - self.service_s)

    def on_failure(self, now, at_once=False):
        """Count a failure; returns whether the upstream is now left out."""
        self._failures += 1
        if not at_once and self._failures < FAILURES_MAX:
            return False
        pause = min(EJECT_FIRST_S * 2**self._ejections, EJECT_MAX_S)
        self._ejections += 1
        self._failures = 0
        self.ejected_until = now + pause
        return True

    def load(self, now):
        """Return the estimated number of requests at the upstream."""
        age = now - self._told_at
        return self.in_flight + self._others * math.exp(-age / REPORT_MEMORY_S)

    def ahead(self, now):
        """Return how many requests one more would wait for, and itself."""
        return max(self.load(now) + 1 - self.slots, 0.0)

    def wait_s(self, now):
        """Return the estimated seconds until a slot is free."""
        return self.ahead(now) / self.slots * self.service_s
