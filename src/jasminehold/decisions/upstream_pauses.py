"""Times until which upstreams want no requests from this instance.

An upstream that rejects a request may state for how long it wants nothing
more from the instance. That holds for its incarnation, whether its entry
stays in the store or not.
"""

# Records above which those whose time has passed are dropped.
MAX_RECORDS = 1000


class UpstreamPauses:
    """Pauses that upstreams asked this instance for."""

    def __init__(self):
        self._until = {}
        self._last_end = 0.0

    def pause(self, incarnation, seconds, now):
        """Record a pause; one that ends later stays in force.

        Args:
            incarnation: :class:`~decisions.upstream_view.Incarnation`.
            seconds: length of the pause.
            now: monotonic seconds.
        """
        if len(self._until) >= MAX_RECORDS:
            self._until = {
                key: until for key, until in self._until.items() if until > now
            }
        known = self._until.get(incarnation, now)
        self._until[incarnation] = max(known, now + seconds)
        self._last_end = max(self._last_end, now + seconds)

    def any_in_force(self, now):
        """Return whether any upstream pauses."""
        return now < self._last_end

    def seconds_left(self, incarnation, now):
        """Return for how long an upstream wants nothing more, else 0."""
        return max(self._until.get(incarnation, now) - now, 0.0)

    def count(self, now):
        """Return the number of pauses in force."""
        return sum(until > now for until in self._until.values())
