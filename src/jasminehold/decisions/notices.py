"""Small notices that expire: crash fingerprints, drains, leaving upstreams.

A notice is ``[id, version, seconds left, value]``. Clocks differ, so the time
left is carried and the receiver counts from its own clock; each hop adds at
most the network delay. A higher version renews a notice.
"""

import typing

from jasminehold.decisions import digest

# Notices kept; beyond it the one that ends first is dropped.
MAX_NOTICES = 1000
# Notices of one message; the rest follows in the next ones.
MAX_SENT = 100
MAX_TTL_S = 3600.0
# An expired notice is remembered so that a late copy does not revive it.
REMEMBER_S = 60.0


class _Notice(typing.NamedTuple):
    version: int
    until: float
    value: typing.Any
    expired: bool = False


class Notices:
    """Notices known to one instance."""

    def __init__(self):
        self._notices = {}
        self._fresh = {}
        self.total = 0

    def publish(self, key, value, ttl, now):
        """Add or renew a notice and return its version."""
        known = self._notices.get(key)
        version = known.version + 1 if known else 1
        self._put(key, version, now + min(ttl, MAX_TTL_S), value)
        return version

    def merge(self, entries, now):
        """Take received notices.

        Returns:
            The new or renewed ones as ``[(key, value, seconds left)]``.

        Raises:
            ValueError: when a notice is malformed.
        """
        if len(entries) > MAX_NOTICES:
            raise ValueError('%d notices' % len(entries))
        fresh = []
        for key, version, left, value in entries:
            if not isinstance(key, str) or not isinstance(version, int):
                raise ValueError('malformed notice')
            known = self._notices.get(key)
            left = min(float(left), MAX_TTL_S)
            if (known and known.version >= version) or not left > 0:
                continue
            self._put(key, version, now + left, value)
            fresh.append((key, value, left))
        return fresh

    def active(self, now):
        """Return ``{key: value}`` of the notices that have not expired."""
        return {
            key: item.value
            for key, item in self._notices.items()
            if item.until > now
        }

    def take_fresh(self, now):
        """Return the entries to push: those new since the last call."""
        keys = list(self._fresh)[:MAX_SENT]
        for key in keys:
            del self._fresh[key]
        return self._entries(keys, now)

    def has_fresh(self):
        """Return whether notices wait to be pushed."""
        return bool(self._fresh)

    def some(self, rng, now):
        """Return entries for a peer whose digest differs."""
        keys = [k for k, item in self._notices.items() if item.until > now]
        if len(keys) > MAX_SENT:
            keys = rng.sample(keys, MAX_SENT)
        return self._entries(keys, now)

    def tick(self, now):
        """Drop expired notices."""
        for key, item in list(self._notices.items()):
            if item.until <= now and not item.expired:
                self.total ^= digest.stable_hash(key, item.version)
                self._notices[key] = item._replace(expired=True)
            if item.until + REMEMBER_S <= now:
                del self._notices[key]
                self._fresh.pop(key, None)

    def _entries(self, keys, now):
        result = []
        for key in keys:
            item = self._notices[key]
            if item.until > now:
                left = item.until - now
                result.append([key, item.version, left, item.value])
        return result

    def _put(self, key, version, until, value):
        self._remove(key)
        if len(self._notices) >= MAX_NOTICES:
            self._remove(
                min(self._notices, key=lambda k: self._notices[k].until)
            )
        self._notices[key] = _Notice(version, until, value)
        self.total ^= digest.stable_hash(key, version)
        self._fresh[key] = True

    def _remove(self, key):
        item = self._notices.pop(key, None)
        self._fresh.pop(key, None)
        if item is not None and not item.expired:
            self.total ^= digest.stable_hash(key, item.version)
