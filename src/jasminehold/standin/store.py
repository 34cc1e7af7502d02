"""State of the fake key-value store: keys, leases and events."""

import bisect
import collections
import itertools
import typing

MAX_EVENTS = 10_000
# Keeps responses near 1 MB, as base64 adds a third to each value.
MAX_PAGE_BYTES = 700_000


class Item(typing.NamedTuple):
    """A stored value."""

    value: bytes
    version: int
    lease: str


class Event(typing.NamedTuple):
    """A change of a key; the value of a deletion is empty."""

    key: str
    value: bytes
    version: int
    deleted: bool


class Mismatch(Exception):
    """Raised if the version of a key is not the expected one."""

    def __init__(self, version):
        super().__init__(version)
        self.version = version


class Missing(Exception):
    """Raised if a key or a lease does not exist."""


class Store:
    """Keys with a global revision, leases and a bounded event log.

    Attributes:
        revision: of the last change.
        watch_bytes_max: size of the changes that one response tells.
    """

    def __init__(self, max_events=MAX_EVENTS):
        self.revision = 0
        self.watch_bytes_max = MAX_PAGE_BYTES
        self.events = collections.deque(maxlen=max_events)
        self._items = {}
        self._keys = []
        self._leases = {}
        self._ids = itertools.count(1)

    def get(self, key):
        """Return the :class:`Item` of a key, or None."""
        return self._items.get(key)

    def put(self, key, value, if_version, lease=''):
        """Store a value by compare-and-swap and return its version."""
        self._check_version(key, if_version)
        if lease and lease not in self._leases:
            raise Missing()
        old = self._items.get(key)
        if old is None:
            bisect.insort(self._keys, key)
        elif old.lease in self._leases:
            self._leases[old.lease][2].discard(key)
        if lease:
            self._leases[lease][2].add(key)
        self.revision += 1
        self._items[key] = Item(value, self.revision, lease)
        self.events.append(Event(key, value, self.revision, False))
        return self.revision

    def delete(self, key, if_version):
        """Delete a key by compare-and-swap and return the revision."""
        self._check_version(key, if_version)
        if key not in self._items:
            raise Missing()
        self._remove(key)
        return self.revision

    def list(self, prefix, after):
        """Return ``(items, more)`` of the keys sorted after ``after``."""
        index = bisect.bisect_left(self._keys, prefix)
        if after:
            index = max(index, bisect.bisect_right(self._keys, after))
        found, size = [], 0
        for key in itertools.islice(self._keys, index, None):
            if not key.startswith(prefix):
                break
            item = self._items[key]
            size += len(item.value) + len(key) + 64
            if found and size > MAX_PAGE_BYTES:
                return found, True
            found.append((key, item))
        return found, False

    def since(self, prefix, revision):
        """Return ``(events, last revision)``, or None if compacted.

        None is also returned for a revision that the store does not have.
        """
        if revision > self.revision:
            return None
        if revision < self.revision and (
            not self.events or self.events[0].version > revision + 1
        ):
            return None
        found, size = [], 0
        # Event versions are consecutive, so the start is an index.
        start = len(self.events) - (self.revision - revision)
        for event in itertools.islice(self.events, max(start, 0), None):
            if not event.key.startswith(prefix):
                continue
            size += len(event.value) + len(event.key) + 64
            if found and size > self.watch_bytes_max:
                return found, found[-1].version
            found.append(event)
        return found, self.revision

    def grant(self, ttl, now):
        """Create a lease of ``ttl`` seconds and return its id."""
        lease = 'lease-%d' % next(self._ids)
        self._leases[lease] = [now + ttl, ttl, set()]
        return lease

    def renew(self, lease, now):
        """Extend a lease and return its time to live."""
        if lease not in self._leases:
            raise Missing()
        entry = self._leases[lease]
        entry[0] = now + entry[1]
        return entry[1]

    def revoke(self, lease):
        """Revoke a lease and delete its keys."""
        if lease not in self._leases:
            raise Missing()
        for key in sorted(self._leases.pop(lease)[2]):
            self._remove(key)

    def is_active(self, lease):
        """Return whether a lease exists and has not expired."""
        return lease in self._leases

    def extend_all(self, seconds):
        """Extend all leases by the given seconds."""
        for entry in self._leases.values():
            entry[0] += seconds

    def expire(self, now):
        """Revoke the expired leases."""
        for lease in [
            key for key, entry in self._leases.items() if entry[0] <= now
        ]:
            self.revoke(lease)

    def _check_version(self, key, if_version):
        item = self._items.get(key)
        found = item.version if item else 0
        if found != if_version:
            raise Mismatch(found)

    def _remove(self, key):
        item = self._items.pop(key)
        if item.lease in self._leases:
            self._leases[item.lease][2].discard(key)
        self._keys.pop(bisect.bisect_left(self._keys, key))
        self.revision += 1
        self.events.append(Event(key, b'', self.revision, True))
