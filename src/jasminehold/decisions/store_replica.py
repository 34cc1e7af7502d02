"""Local copy of the store's keys, with its revision and age.

The copy is updated from this instance's reads and from those of its peers. A
value is replaced only by one of a higher revision.
"""

import typing


class Item(typing.NamedTuple):
    """A key and its value; ``value`` is None when the key was deleted."""

    key: str
    value: bytes
    revision: int


class StoreReplica:
    """Local copy of the store's keys.

    Leases can lapse during an outage of the store although the owners of
    their keys are alive. Leased keys that are missing after an outage are
    kept for a grace period in which the owners can write them again.

    Args:
        leased: tuple of prefixes of the keys that are attached to leases.
        return_s: grace period for lapsed keys after an outage, in seconds.
        outage_s: age of the copy, in seconds, that counts as an outage.

    Attributes:
        items: ``{key: Item}`` of the keys that exist.
        revision: revision of the store that the copy corresponds to.
        as_of: monotonic seconds at which the copy was current, None before
            the first read.
        steady_since: monotonic seconds since which there was no outage.
    """

    def __init__(self, leased, return_s, outage_s):
        self.items = {}
        self.revision = 0
        self.as_of = None
        self.steady_since = 0.0
        self._leased_prefixes = leased
        self._return_s = return_s
        self._outage_s = outage_s
        self._lapsed_drop_at = None
        self._lapsed = set()

    def age(self, now):
        """Return the age of the copy in seconds, infinite before a read."""
        return float('inf') if self.as_of is None else now - self.as_of

    def lapsed_drop_in_s(self, now):
        """Return the seconds until lapsed keys are dropped, or None."""
        if self._lapsed_drop_at is None:
            return None
        return max(self._lapsed_drop_at - now, 0.0)

    def replace(self, items, revision, as_of, now):
        """Replace the copy by a complete list of the store's items.

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
            # An older item that is not in the copy was deleted since.
            if item.key in self.items or item.revision > reached:
                changed |= self._put(item)
        for key in [key for key in self.items if key not in seen]:
            if self.items[key].revision <= revision:
                changed |= self._drop(key, now)
        self.revision = revision
        return changed

    def apply(self, events, before, revision, as_of, now):
        """Apply a sequence of changes.

        Args:
            events: list of :class:`Item`, oldest first.
            before: revision after which the changes begin.
            revision: revision after the changes.
            as_of: monotonic seconds at which the store reported them.
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
            # The copy has all changes up to its revision. Applying one of
            # them again could restore a key that was deleted since.
            if item.revision <= reached:
                continue
            if item.value is not None:
                changed |= self._put(item)
            elif item.key in self.items:
                changed |= self._drop(item.key, now)
        self.revision = max(reached, revision)
        return changed

    def on_fresh_peer(self, since):
        """Record the time since which a peer's copy had no outage.

        The store has been available since then, so the grace period for
        lapsed keys started at that time.
        """
        if self._lapsed_drop_at is not None:
            self._lapsed_drop_at = min(
                self._lapsed_drop_at, since + self._return_s
            )

    def drop_lapsed(self, now):
        """Drop lapsed keys that were not written again, and return them."""
        if self._lapsed_drop_at is None or now < self._lapsed_drop_at:
            return set()
        self._lapsed_drop_at = None
        gone, self._lapsed = self._lapsed, set()
        for key in gone:
            self.items.pop(key, None)
        return gone

    def without_lapsed(self):
        """Return the items that are in the store, without lapsed ones."""
        return [
            item for key, item in self.items.items() if key not in self._lapsed
        ]

    def with_prefix(self, prefix):
        """Return ``{key: Item}`` of the keys with a prefix."""
        return {
            key: item
            for key, item in self.items.items()
            if key.startswith(prefix)
        }

    def _refresh(self, as_of, now):
        lost = self.as_of is not None and now - self.as_of > self._outage_s
        if lost and as_of > self.as_of:
            self._lapsed_drop_at = now + self._return_s
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
        in_grace = (
            self._lapsed_drop_at is not None and now < self._lapsed_drop_at
        )
        if in_grace and key.startswith(self._leased_prefixes):
            self._lapsed.add(key)
            return set()
        self._lapsed.discard(key)
        del self.items[key]
        return {key}
