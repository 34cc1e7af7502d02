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


class RunTimes:
    """Run times of one service by route, and objects cached by upstreams.

    An upstream that recently handled an object has it cached and is faster.
    """

    def __init__(self):
        self._times = {}
        self._last_runs = collections.OrderedDict()

    def estimate(self, route, cached):
        """Return the estimated run time of a request in seconds."""
        times = self._times.get(route.name)
        if times is not None:
            return times[cached]
        ratio = CACHED_TARGET_RATIO if cached else UNCACHED_TARGET_RATIO
        return ratio * route.latency_target_s

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
