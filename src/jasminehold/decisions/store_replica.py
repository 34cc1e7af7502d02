"""A copy of the store's keys, by revision, with the age of what it says.

The copy is fed by this instance's own reads and by what peers read. It never
goes back: a key's value is replaced by a higher revision only.
"""

import typing


class Item(typing.NamedTuple):
    """A key and its value; ``value`` is None when the key was deleted."""

    key: str
    value: bytes
    revision: int


class StoreReplica:
    """The copy.

    Entries under a lease can lapse in an outage of the store although their
    owners live. Such keys, found missing after an outage, are kept for a
    while in which their owners can write them again.

    Args:
        leased: tuple of prefixes of keys that are written under a lease.
        return_s: seconds after an outage in which lapsed keys return.
        outage_s: age in seconds from which on the store counts as lost.

    Attributes:
        items: ``{key: Item}`` of the keys that exist.
        revision: revision of the store that the copy has reached.
        as_of: monotonic seconds at which the copy was true, None before the
            first read.
        steady_since: monotonic seconds since when the copy has been fresh.
    """

    def __init__(self, leased, return_s, outage_s):
        self.items = {}
        self.revision = 0
        self.as_of = None
        self.steady_since = 0.0
        self._leased = leased
        self._return_s = return_s
        self._outage_s = outage_s
        self._settled_at = None
        self._lapsed = set()

    def age(self, now):
        """Return the age of the copy in seconds, infinite before a read."""
        return float('inf') if self.as_of is None else now - self.as_of

    def settles_in(self, now):
        """Return the seconds until lapsed keys are dropped, or None."""
        if self._settled_at is None:
            return None
        return max(self._settled_at - now, 0.0)

    def replace(self, items, revision, as_of, now):
        """Take a whole list of the store's items.

        Args:
            items: list of :class:`Item`.
            revision: the store's revision before the list was read.
            as_of: monotonic seconds at which the read was sent.
            now: monotonic seconds.

        Returns:
            Set of the keys that changed.
        """
        if revision < self.revision:
            return set()
        self._refresh(as_of, now)
        changed = set()
        seen = set()
        reached = self.revision
        for item in items:
            seen.add(item.key)
            # An older item that this copy lacks was deleted since.
            if item.key in self.items or item.revision > reached:
                changed |= self._put(item)
        for key in [key for key in self.items if key not in seen]:
            if self.items[key].revision <= revision:
                changed |= self._drop(key, now)
        self.revision = revision
        return changed

    def apply(self, events, before, revision, as_of, now):
        """Take changes.

        Args:
            events: list of :class:`Item`, oldest first.
            before: revision after which the changes begin.
            revision: revision that they lead to.
            as_of: monotonic seconds at which the store said so.
            now: monotonic seconds.

        Returns:
            Set of the keys that changed, or None when changes between the
            copy and ``before`` are missing.
        """
        if before > self.revision:
            return None
        self._refresh(as_of, now)
        changed = set()
        reached = self.revision
        for item in events:
            # The copy holds all changes up to its revision. One of them, told
            # late, could bring back a key that was deleted since.
            if item.revision <= reached:
                continue
            if item.value is not None:
                changed |= self._put(item)
            elif item.key in self.items:
                changed |= self._drop(item.key, now)
        self.revision = max(reached, revision)
        return changed

    def on_fresh_peer(self, since):
        """Note that a peer's copy has been fresh since a time.

        The store has been there since then, so that what lapsed in its
        absence had its time to return from then on.
        """
        if self._settled_at is not None:
            self._settled_at = min(self._settled_at, since + self._return_s)

    def drop_lapsed(self, now):
        """Drop lapsed keys that did not return; returns those keys."""
        if self._settled_at is None or now < self._settled_at:
            return set()
        self._settled_at = None
        gone, self._lapsed = self._lapsed, set()
        for key in gone:
            self.items.pop(key, None)
        return gone

    def without_lapsed(self):
        """Return the items that the store still has, without lapsed ones."""
        return [
            item for key, item in self.items.items() if key not in self._lapsed
        ]

    def with_prefix(self, prefix):
        """Return ``{key: Item}`` of the keys under a prefix."""
        return {
            key: item
            for key, item in self.items.items()
            if key.startswith(prefix)
        }

    def _refresh(self, as_of, now):
        lost = self.as_of is not None and now - self.as_of > self._outage_s
        if lost and as_of > self.as_of:
            self._settled_at = now + self._return_s
        if lost or self.as_of is None:
            self.steady_since = as_of
        if self.as_of is None or as_of > self.as_of:
            self.as_of = as_of

    def _put(self, item):
        known = self.items.get(item.key)
        self._lapsed.discard(item.key)
        if known is not None and known.revision >= item.revision:
            return set()
        self.items[item.key] = item
        if known is not None and known.value == item.value:
            return set()
        return {item.key}

    def _drop(self, key, now):
        waits = self._settled_at is not None and now < self._settled_at
        if waits and key.startswith(self._leased):
            self._lapsed.add(key)
            return set()
        self._lapsed.discard(key)
        del self.items[key]
        return {key}
