"""Estimates of the load and queue wait of an upstream."""

import math

# Time constant with which a reported load decays: queues build up and drain
# within seconds.
REPORT_DECAY_S = 2.0
# Weight of the newest sample in the moving averages.
SMOOTHING = 0.2
# Durations of the first and of the longest ejection after failures.
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# Load assumed after the first, second and further consecutive rejections that
# reported no load, in multiples of the slots. A single rejection may be due to
# chance. Queues count as full at 2.5, so with the first factor the upstream
# has room again before a rejected caller retries (0.3 s).
REJECTION_LOAD_FACTORS = (2.5, 3.0, 3.5)
# Consecutive failures that eject an upstream; a failed connection ejects it
# at once.
MAX_CONSECUTIVE_FAILURES = 3


class UpstreamLoad:
    """One instance's estimate of an upstream's load.

    Attributes:
        in_flight: requests of this instance in flight at the upstream.
        service_s: moving average of the time that a request occupies a slot,
            seconds.
    """

    def __init__(self, slots, service_s):
        self.slots = max(slots, 1)
        self.in_flight = 0
        self.service_s = service_s
        self.ejected_until = 0.0
        self._failed_at = 0.0
        self._failures = 0
        self._ejections = 0
        self._rejections = 0
        self._others_load = 0.0
        self._reported_at = 0.0

    def on_sent(self):
        """Count a sent request."""
        self.in_flight += 1

    def on_end(self):
        """Count an ended request."""
        self.in_flight -= 1

    def on_report(self, report, now):
        """Record the load reported by an answer; call before ``on_end``.

        Args:
            report: the :class:`~platform.wire.LoadReport`.
            now: monotonic seconds.
        """
        # The reported load includes this instance's own requests in flight.
        others = report.running + report.waiting - (self.in_flight - 1)
        self._others_load = max(others, 0)
        self._reported_at = now

    def on_full(self, now):
        """Record a rejection by a full upstream that reported no load."""
        factor = REJECTION_LOAD_FACTORS[
            min(self._rejections, len(REJECTION_LOAD_FACTORS) - 1)
        ]
        self._rejections += 1
        self._others_load = max(factor * self.slots - self.in_flight, 0)
        self._reported_at = now

    def on_success(self, seconds, ahead):
        """Record a successful answer.

        Args:
            seconds: time from sending the request to its answer.
            ahead: estimated number of requests queued ahead of it.
        """
        self._failures = 0
        self._ejections = 0
        self._rejections = 0
        sample = seconds / (1.0 + ahead / self.slots)
        self.service_s += SMOOTHING * (sample - self.service_s)

    def on_failure(self, now, at_once=False):
        """Record a failure; return whether it ejects the upstream."""
        self._failed_at = now
        self._failures += 1
        if not at_once and self._failures < MAX_CONSECUTIVE_FAILURES:
            return False
        ejection_s = min(
            INITIAL_EJECTION_S * 2**self._ejections, MAX_EJECTION_S
        )
        self._ejections += 1
        self._failures = 0
        self.ejected_until = now + ejection_s
        return True

    def forget_failures(self, since):
        """Take back an ejection and the failures of a time without a path.

        Args:
            since: monotonic seconds; an upstream that failed last before then
                is judged as before.
        """
        if self._failed_at >= since:
            self._failures = 0
            self._ejections = 0
            self.ejected_until = 0.0

    def load(self, now):
        """Return the estimated number of requests at the upstream."""
        age = now - self._reported_at
        return self.in_flight + self._others_load * math.exp(
            -age / REPORT_DECAY_S
        )

    def ahead(self, now):
        """Return the queue length including one more request."""
        return max(self.load(now) + 1 - self.slots, 0.0)

    def wait_s(self, now):
        """Return the estimated wait for a free slot in seconds."""
        return self.ahead(now) / self.slots * self.service_s
