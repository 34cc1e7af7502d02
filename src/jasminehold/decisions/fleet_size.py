"""How many instances share what is counted over the whole fleet."""

# Size assumed before members are known, and at least for one window after: not
# all that started together are listed yet, and an earlier process of this
# instance may have used its part. Too large only means caution.
UNKNOWN = 32
# Time in which instances that start together learn of each other, seconds: an
# entry is written at the start and read within 1.45 s by the last rank.
DISCOVERY_S = 2.0


class FleetSize:
    """Number of instances that may have used a window's budget.

    Args:
        window_s: length of the window in which uses are counted, seconds.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._since = None
        self._members = frozenset()
        # When those that left were last known.
        self._left = {}

    def on_members(self, ids, now):
        """Take the ids of the live instances, at monotonic seconds ``now``."""
        if self._since is None:
            self._since = now
        members = frozenset(ids)
        for name in self._members - members:
            self._left[name] = now
        for name in members:
            self._left.pop(name, None)
        self._members = members

    def estimate(self, now):
        """Return the size to divide by, at least 1."""
        if self._since is None:
            return UNKNOWN
        begin = now - self._window_s
        for name in [n for n, at in self._left.items() if at <= begin]:
            del self._left[name]
        known = max(len(self._members) + len(self._left), 1)
        return max(known, UNKNOWN) if self._since > begin else known

    def startup_peers_known(self, now):
        """Return whether members that started with this one are known."""
        return self._since is not None and now - self._since >= DISCOVERY_S

    def instance_share(self, own, age_s, now):
        """Return an instance's part of the sum, share 0 to 1.

        It has none when the others may have divided its part among them: not
        listed, or without news of the list for a window. A new one has a
        window to be listed.

        Args:
            own: id of the instance.
            age_s: age of what it knows of the members, seconds.
            now: monotonic seconds.
        """
        if self._since is None or age_s > self._window_s:
            return 0.0
        size = self.estimate(now)
        if own in self._members or own in self._left:
            return 1.0 / size
        new = now - self._since <= self._window_s
        return 1.0 / (size + 1) if new else 0.0
