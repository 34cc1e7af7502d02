"""Estimate of the number of instances that share a fleet-wide budget."""

# Minimum size assumed until the members have been known for one window: others
# that started at the same time may not be listed yet, and an earlier process
# of this instance may have used its share. Overestimating the size is safe.
INITIAL_SIZE = 32
# Time in which instances that start together discover each other, seconds: an
# entry is written at the start, and the last instance of the read schedule
# reads it within 1.45 s.
DISCOVERY_S = 2.0


class FleetSize:
    """Number of instances that may have used a window's budget.

    Args:
        window_s: length of the budget window, seconds.
        initial_size: minimum size assumed for the first window.
    """

    def __init__(self, window_s, initial_size=INITIAL_SIZE):
        self._window_s = window_s
        self._initial_size = initial_size
        self._first_members_at = None
        self._members = frozenset()
        # Departed members and the time at which their departure was seen.
        self._departed_at = {}

    def on_members(self, ids, now):
        """Set the ids of the live instances; ``now`` in monotonic seconds."""
        if self._first_members_at is None:
            self._first_members_at = now
        members = frozenset(ids)
        for name in self._members - members:
            self._departed_at[name] = now
        for name in members:
            self._departed_at.pop(name, None)
        self._members = members

    def estimate(self, now):
        """Return the number of instances to divide by, at least 1."""
        if self._first_members_at is None:
            return INITIAL_SIZE
        window_start = now - self._window_s
        for name in [
            n for n, at in self._departed_at.items() if at <= window_start
        ]:
            del self._departed_at[name]
        known = max(len(self._members) + len(self._departed_at), 1)
        return (
            max(known, self._initial_size)
            if self._first_members_at > window_start
            else known
        )

    def startup_peers_known(self, now):
        """Return whether members that started with this one are known."""
        return (
            self._first_members_at is not None
            and now - self._first_members_at >= DISCOVERY_S
        )

    def instance_share(self, own, age_s, now):
        """Return an instance's share of the budget, 0 to 1.

        The share is 0 if the other instances may have divided the whole
        budget among themselves, because this instance is not listed or its
        member list is older than a window. A new instance has one window to
        become listed.

        Args:
            own: id of the instance.
            age_s: age of the member list, seconds.
            now: monotonic seconds.
        """
        if self._first_members_at is None or age_s > self._window_s:
            return 0.0
        size = self.estimate(now)
        if own in self._members or own in self._departed_at:
            return 1.0 / size
        new = now - self._first_members_at <= self._window_s
        return 1.0 / (size + 1) if new else 0.0
