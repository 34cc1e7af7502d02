"""How long upstreams work on a request, learnt from answers."""

import collections

# First guesses as parts of the time within which an answer should come.
UNKNOWN_PART = 1.4
CACHED_TARGET_RATIO = 0.42
SMOOTHING = 0.1
# Objects that are remembered for each service.
OBJECTS_MAX = 4096
# An upstream that ran an object within this time should still know it.
KNOWN_FOR_S = 12.0


class RunTimes:
    """Run times of one service's requests, by route and by object.

    A run is *known* when the upstream handled the same object lately.
    """

    def __init__(self):
        self._times = {}
        self._known = collections.OrderedDict()

    def estimate(self, route, known):
        """Return the seconds of work for a request of a route."""
        times = self._times.get(route.name)
        if times is not None:
            return times[known]
        part = CACHED_TARGET_RATIO if known else UNKNOWN_PART
        return part * route.latency_target_s

    def has_cached(self, key, upstream_id, now):
        """Return whether an upstream ran this object lately."""
        ran_at = self._known.get(key, {}).get(upstream_id)
        return ran_at is not None and now - ran_at < KNOWN_FOR_S

    def on_run(self, route, key, upstream_id, seconds, known, now):
        """Take a finished run.

        Args:
            route: the request's route.
            key: the object's key, '' for none.
            upstream_id: where it ran.
            seconds: time of the run without waiting, None when it waited.
            known: whether the upstream was taken to know the object.
            now: monotonic seconds.
        """
        if key:
            self._known.setdefault(key, {})[upstream_id] = now
            self._known.move_to_end(key)
            if len(self._known) > OBJECTS_MAX:
                self._known.popitem(last=False)
        if seconds is None:
            return
        times = self._times.setdefault(
            route.name,
            {
                True: CACHED_TARGET_RATIO * route.latency_target_s,
                False: UNKNOWN_PART * route.latency_target_s,
            },
        )
        times[known] += SMOOTHING * (seconds - times[known])

    def remove_upstream(self, upstream_id):
        """Forget what an upstream knew, after it has left or restarted."""
        for ran in self._known.values():
            ran.pop(upstream_id, None)
