"""Estimates of the load and queue wait of an upstream."""

import math

# Time constant with which a reported load decays: queues build up and drain
# within seconds.
REPORT_DECAY_S = 2.0
# Time constant of the usual load of an upstream, which a reported one fades
# to, and with which that decays: the objects of an upstream change slowly.
USUAL_DECAY_S = 10.0
# Maximum load that a report counts for, in multiples of the slots.
MAX_LOAD_FACTOR = 6.0
# Typical duration of a slowdown of a machine, with which one that is reported
# fades.
SLOWDOWN_FADE_S = 0.6
# Time constant with which an upstream's own speed is forgotten.
SPEED_FADE_S = 10.0
# Bounds of a run time that counts for an upstream's own speed, in multiples of
# its estimate: beyond them it tells of the request.
SPEED_RANGE = (0.5, 2.5)
# Weight of the newest sample of an upstream's own speed.
SPEED_SMOOTHING = 0.1
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


class Run:
    """A request that is to run at an upstream.

    Attributes:
        run_s: estimated run time, seconds.
        wait_s: estimated wait for a slot, seconds.
        sent_at: monotonic seconds, None before it is sent.
    """

    __slots__ = ('run_s', 'wait_s', 'sent_at')

    def __init__(self, run_s, wait_s):
        self.run_s = run_s
        self.wait_s = wait_s
        self.sent_at = None

    def ran_s(self, now):
        """Return for how many seconds it has probably run."""
        return max(now - self.sent_at - self.wait_s, 0.0)


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
        self._usual_load = 0.0
        self._reported_at = 0.0
        self._slowdown = 1.0
        self._speed = 1.0
        self._speed_at = 0.0
        self._waiting = 0
        self._runs = set()

    def on_sent(self, run=None, now=0.0):
        """Count a sent request.

        Args:
            run: its :class:`Run`, None if nothing is estimated.
            now: monotonic seconds.
        """
        self.in_flight += 1
        if run is not None:
            run.sent_at = now
            self._runs.add(run)

    def on_end(self, run=None):
        """Count an ended request."""
        self.in_flight -= 1
        self._runs.discard(run)

    def on_report(self, report, now):
        """Record the load reported by an answer; call before ``on_end``.

        Args:
            report: the :class:`~platform.wire.LoadReport`.
            now: monotonic seconds.
        """
        # The reported load includes this instance's own requests in flight.
        others = report.running + report.waiting - (self.in_flight - 1)
        others = max(others, 0)
        bounded = min(others, MAX_LOAD_FACTOR * self.slots)
        kept = math.exp(-(now - self._reported_at) / USUAL_DECAY_S)
        self._usual_load = kept * self._usual_load + (1 - kept) * bounded
        self._others_load = others
        self._reported_at = now
        self._slowdown = report.slowdown
        self._waiting = report.waiting

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

    def on_speed(self, ratio, now):
        """Record a run time, which says how fast the upstream itself is.

        Args:
            ratio: the run time over its estimate.
            now: monotonic seconds.
        """
        ratio = min(max(ratio, SPEED_RANGE[0]), SPEED_RANGE[1])
        speed = self.speed(now)
        self._speed = speed + SPEED_SMOOTHING * (ratio - speed)
        self._speed_at = now

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

    @property
    def had_queue(self):
        """Whether requests waited there by the newest report."""
        return self._waiting > 0

    def speed(self, now):
        """Return the factor on run times of the upstream itself."""
        kept = math.exp(-(now - self._speed_at) / SPEED_FADE_S)
        return 1.0 + (self._speed - 1.0) * kept

    def slowed_s(self, run_s, now):
        """Return the seconds that a slowdown of the machine adds to a run.

        A report of a machine that is faster than usual counts as usual.

        Args:
            run_s: estimated run time without it, seconds.
            now: monotonic seconds.
        """
        kept = math.exp(-(now - self._reported_at) / SLOWDOWN_FADE_S)
        longest_s = min(run_s, SLOWDOWN_FADE_S)
        return max(self._slowdown - 1.0, 0.0) * kept * longest_s

    def report_age_s(self, now):
        """Return the age of the newest report in seconds."""
        return now - self._reported_at

    def backlog(self, ratios, now):
        """Return what is believed of the requests at the upstream.

        Args:
            ratios: the :class:`~decisions.run_times.RunRatios` of the service.
            now: monotonic seconds.

        Returns:
            The number of requests, and the seconds of its slots that they
            still take.
        """
        kept = math.exp(-(now - self._reported_at) / REPORT_DECAY_S)
        usual = self._usual_load * math.exp(
            -(now - self._reported_at) / USUAL_DECAY_S
        )
        bounded = min(self._others_load, MAX_LOAD_FACTOR * self.slots)
        others = usual + (bounded - usual) * kept
        own_s = sum(
            run.run_s * ratios.remaining(run.ran_s(now) / run.run_s)
            for run in self._runs
        )
        return self.in_flight + others, own_s + others * self.service_s

    def backlog_wait_s(self, work_s):
        """Return the estimated wait for a slot behind a backlog, seconds.

        Args:
            work_s: seconds of the slots that the backlog takes.
        """
        free_s = (self.slots - 1) * self.service_s
        return max(work_s - free_s, 0.0) / self.slots

    def ahead(self, now):
        """Return the queue length including one more request."""
        return max(self.load(now) + 1 - self.slots, 0.0)

    def wait_s(self, now):
        """Return the estimated wait for a free slot in seconds."""
        return self.ahead(now) / self.slots * self.service_s
