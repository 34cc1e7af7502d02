"""Estimates of request run times, from the run times of past requests."""

import collections

# Initial estimates of the run time, as fractions of the latency target, of a
# request whose object the upstream has not cached or has cached.
UNCACHED_TARGET_RATIO = 1.4
CACHED_TARGET_RATIO = 0.42
# Weight of the newest sample in the moving averages.
SMOOTHING = 0.1
# Maximum number of objects tracked for each service.
MAX_TRACKED_OBJECTS = 4096
# Time for which an upstream is assumed to keep an object cached, seconds.
OBJECT_CACHED_S = 12.0
# Bounds of the bins of run times, in multiples of their estimates.
RATIO_BOUNDS = (0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0)
# Assumed samples in each bin before anything is learnt: around the estimate,
# and few far above it.
_PRIOR_COUNTS = (1.0, 2.0, 4.0, 4.0, 2.0, 1.0, 0.5, 0.2, 0.2, 0.1, 0.0, 0.0)
# The bins forget: their sum of samples stays below this.
MAX_SAMPLES = 2000.0


class RunTimes:
    """Run times of one service by route, and objects cached by upstreams.

    An upstream that recently handled an object has it cached and is faster.

    Attributes:
        ratios: the :class:`RunRatios` of the service.
    """

    def __init__(self):
        self.ratios = RunRatios()
        self._times = {}
        self._assumed = {}
        self._last_runs = collections.OrderedDict()

    def estimate(self, route, cached):
        """Return the estimated run time of a request in seconds."""
        times = self._times.get(route.name)
        if times is not None:
            return times[cached]
        ratio = CACHED_TARGET_RATIO if cached else UNCACHED_TARGET_RATIO
        return ratio * route.latency_target_s

    def assumed(self, route):
        """Return the run time where others may have had an object cached.

        It is that of requests for objects at their first owner that this
        instance did not see run there lately.
        """
        first = UNCACHED_TARGET_RATIO * route.latency_target_s
        return self._assumed.get(route.name, first)

    def on_assumed(self, route, seconds):
        """Record a run time for :meth:`assumed`."""
        before = self.assumed(route)
        self._assumed[route.name] = before + SMOOTHING * (seconds - before)

    def has_cached(self, key, upstream_id, now):
        """Return whether an upstream should have the object cached."""
        ran_at = self._last_runs.get(key, {}).get(upstream_id)
        return ran_at is not None and now - ran_at < OBJECT_CACHED_S

    def on_run(self, route, key, upstream_id, seconds, cached, now):
        """Record a finished run.

        Args:
            route: the request's route.
            key: key of the object, '' if there is none.
            upstream_id: id of the upstream that ran the request.
            seconds: run time, None if it includes time in a queue.
            cached: whether the object was assumed to be cached.
            now: monotonic seconds.
        """
        if key:
            self._last_runs.setdefault(key, {})[upstream_id] = now
            self._last_runs.move_to_end(key)
            if len(self._last_runs) > MAX_TRACKED_OBJECTS:
                self._last_runs.popitem(last=False)
        if seconds is None:
            return
        times = self._times.setdefault(
            route.name,
            {
                True: CACHED_TARGET_RATIO * route.latency_target_s,
                False: UNCACHED_TARGET_RATIO * route.latency_target_s,
            },
        )
        times[cached] += SMOOTHING * (seconds - times[cached])

    def remove_upstream(self, upstream_id):
        """Drop the cached objects of an upstream that left or restarted."""
        for ran in self._last_runs.values():
            ran.pop(upstream_id, None)


class RunRatios:
    """How far run times of one service are from their estimates.

    Run times are counted in bins of multiples of their estimates. A heavy tail
    shows as samples in the upper bins.
    """

    def __init__(self):
        self._counts = list(_PRIOR_COUNTS)
        self._sums = [
            count * middle for count, middle in zip(_PRIOR_COUNTS, _middles())
        ]

    def on_run(self, ratio):
        """Record a run time, or how long a run lasted that was given up.

        Args:
            ratio: the run time over its estimate.
        """
        index = sum(ratio > bound for bound in RATIO_BOUNDS)
        self._counts[index] += 1.0
        self._sums[index] += ratio
        if sum(self._counts) > MAX_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._sums = [total / 2 for total in self._sums]

    def chance_within(self, ratio):
        """Return the part of the run times below a multiple of the estimate.

        Args:
            ratio: the multiple.
        """
        if ratio <= 0:
            return 0.0
        total = below = low = 0.0
        for count, high in zip(self._counts, RATIO_BOUNDS + (2 * ratio,)):
            total += count
            if ratio >= high:
                below += count
            elif ratio > low:
                below += count * (ratio - low) / (high - low)
            low = high
        return below / total

    def remaining(self, ratio):
        """Return the expected rest of a run, in multiples of its estimate.

        Args:
            ratio: how long it has run, over its estimate. The rest grows once
                only the long runs are left.
        """
        count = total = 0.0
        for index, bound in enumerate(RATIO_BOUNDS):
            if bound > ratio:
                count += self._counts[index]
                total += self._sums[index]
        count += self._counts[-1]
        total += self._sums[-1]
        if count < 0.1:
            return ratio
        return max(total / count - ratio, 0.0)


def _middles():
    bounds = (0.0,) + RATIO_BOUNDS
    return [
        (low + high) / 2 for low, high in zip(bounds, RATIO_BOUNDS + (16.0,))
    ]
