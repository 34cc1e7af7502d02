"""Outlier ejection and slow start of upstreams.

Only the results of requests eject an upstream. Reports from health and load
endpoints may be late or wrong, so they only lower its weight.

Source: docs/design.md, section 3 (``health``).
"""

import typing


class HealthConfig(typing.NamedTuple):
    """Settings of :class:`Health`.

    Attributes:
        consecutive_failures: failures in a row that eject an upstream.
        min_rate_samples: results needed before the failure rate is used.
        max_failure_rate: failure rate, 0 to 1, that ejects an upstream.
        eject_s: seconds of the first ejection; each further one doubles.
        max_eject_s: longest ejection in seconds.
        max_ejected_fraction: largest fraction of a service's upstreams that
            may be ejected at the same time.
        slow_start_s: seconds until an upstream has its full weight again.
        slow_start_floor: weight right after an ejection ends, 0 to 1.
        max_report_age_s: age in seconds after which a report is ignored.
        quiet_s: seconds without failures after which the next ejection is half
            as long.
    """

    consecutive_failures: int = 3
    min_rate_samples: int = 10
    max_failure_rate: float = 0.5
    eject_s: float = 5.0
    max_eject_s: float = 60.0
    max_ejected_fraction: float = 1 / 3
    slow_start_s: float = 10.0
    slow_start_floor: float = 0.1
    max_report_age_s: float = 5.0
    quiet_s: float = 60.0


class _UpstreamState:
    def __init__(self):
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.samples = 0
        self.ejected_at = None
        self.ejected_until = None
        self.ejections = 0
        self.last_failure = None
        self.returned_at = None
        self.report = None


class Health:
    """Health of one service's upstreams, as observed by one instance."""

    def __init__(self, cfg=HealthConfig()):
        self._cfg = cfg
        self._states = {}

    def set_upstreams(self, names, now):
        """Set the upstreams of the service; added ones get a slow start.

        Args:
            names: names of all upstreams.
            now: seconds, monotonic.
        """
        first = not self._states
        for name in names:
            if name not in self._states:
                state = self._states[name] = _UpstreamState()
                state.returned_at = None if first else now
        for name in set(self._states) - set(names):
            del self._states[name]

    def record_result(self, name, succeeded, now):
        """Record the result of one request.

        Refusals by a busy or draining upstream are not failures; callers must
        not report them here.

        Args:
            name: the upstream.
            succeeded: whether a complete answer arrived in time.
            now: seconds, monotonic.

        Returns:
            Whether this result ejected the upstream.
        """
        state = self._states.get(name)
        if state is None:
            return False
        state.samples = min(state.samples + 1, 1000)
        weight = max(1 / state.samples, 1 / 20)
        state.failure_rate += weight * ((not succeeded) - state.failure_rate)
        if succeeded:
            state.consecutive_failures = 0
            return False
        state.consecutive_failures += 1
        last, state.last_failure = state.last_failure, now
        if last is not None and now - last > self._cfg.quiet_s:
            state.ejections //= 2
        if not self._is_outlier(state):
            return False
        return self._eject(name, state, now)

    def record_refused_connection(self, name, now):
        """Record a refused connection to an upstream.

        It shows that the upstream is down, so a single one is enough.

        Returns:
            Whether this ejected the upstream.
        """
        state = self._states.get(name)
        if state is None:
            return False
        state.last_failure = now
        return self._eject(name, state, now)

    def forgive(self, since):
        """Take back the failures from a time on.

        Args:
            since: seconds, monotonic.
        """
        for state in self._states.values():
            if state.last_failure is None or state.last_failure < since:
                continue
            state.consecutive_failures = state.samples = 0
            state.failure_rate = 0.0
            if state.ejected_until is not None and state.ejected_at >= since:
                state.ejected_until = None
                state.ejections -= 1

    def report(self, name, load, healthy, now):
        """Record the report of a health or load endpoint.

        Args:
            name: the upstream.
            load: fraction of the upstream's slots in use, 0 to 1.
            healthy: result of the health endpoint.
            now: seconds, monotonic.
        """
        state = self._states.get(name)
        if state is not None:
            state.report = (now, load, healthy)

    def weight(self, name, now):
        """Return an upstream's weight, 0 (ejected) to 1.

        Args:
            name: the upstream.
            now: seconds, monotonic.
        """
        state = self._states.get(name)
        if state is None:
            return 0.0
        if state.ejected_until is not None:
            if now < state.ejected_until:
                return 0.0
            self._end_ejection(state, now)
        weight = 1.0
        if state.returned_at is not None:
            age = now - state.returned_at
            if age >= self._cfg.slow_start_s:
                state.returned_at = None
            else:
                floor = self._cfg.slow_start_floor
                share = age / self._cfg.slow_start_s
                weight = floor + (1 - floor) * share
        if state.report is not None:
            weight *= self._report_factor(state.report, now)
        return weight

    def ejected(self, now):
        """Return the names of the ejected upstreams."""
        return [
            name
            for name, state in self._states.items()
            if state.ejected_until is not None and now < state.ejected_until
        ]

    def _report_factor(self, report, now):
        at, load, healthy = report
        if now - at > self._cfg.max_report_age_s:
            return 1.0
        if not healthy:
            return 0.5
        return 1.0 if load < 1.0 else 0.75

    def _is_outlier(self, state):
        if state.consecutive_failures >= self._cfg.consecutive_failures:
            return True
        enough_samples = state.samples >= self._cfg.min_rate_samples
        return (
            enough_samples and state.failure_rate >= self._cfg.max_failure_rate
        )

    def _eject(self, name, state, now):
        if state.ejected_until is not None and now < state.ejected_until:
            return False
        if len(self.ejected(now)) >= self._max_ejected():
            return False
        ejection_s = self._cfg.eject_s * 2**state.ejections
        state.ejected_at = now
        state.ejected_until = now + min(ejection_s, self._cfg.max_eject_s)
        state.ejections += 1
        state.consecutive_failures = 0
        return True

    def _max_ejected(self):
        count = len(self._states)
        return min(
            max(int(count * self._cfg.max_ejected_fraction), 1), count - 1
        )

    def _end_ejection(self, state, now):
        state.returned_at = state.ejected_until
        state.ejected_until = None
        state.failure_rate = 0.0
        state.samples = 0
