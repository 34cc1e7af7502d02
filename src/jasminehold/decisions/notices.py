"""Small notices that expire: crash fingerprints, drains, leaving upstreams.

A notice is ``[id, version, origin, seconds left, value]``. Clocks differ, so
the time left is carried and the receiver counts from its own clock; each hop
adds at most the network delay. A higher version renews a notice. Two instances
may renew the same version at once, so the origin's id breaks the tie.
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
MAX_VERSION = 2**53
# A renewal that lost a tie is repeated when it lasts longer by this much.
TIE_MARGIN_S = 1.0


class _Notice(typing.NamedTuple):
    version: int
    origin: str
    until: float
    value: typing.Any
    expired: bool = False


class Notices:
    """Notices known to one instance.

    Args:
        own_id: this instance's id, the origin of what it publishes.
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._notices = {}
        self._fresh = {}
        self.total = 0

    def publish(self, key, value, ttl, now):
        """Add or renew a notice and return its version."""
        known = self._notices.get(key)
        version = known.version + 1 if known else 1
        until = now + min(ttl, MAX_TTL_S)
        self._put(key, _Notice(version, self._own_id, until, value))
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
        for key, version, origin, left, value in entries:
            if (
                not isinstance(key, str)
                or not isinstance(origin, str)
                or not isinstance(version, int)
            ):
                raise ValueError('malformed notice')
            known = self._notices.get(key)
            left = min(float(left), MAX_TTL_S)
            item = _Notice(version, origin, now + left, value)
            if not left > 0:
                self._pass_expired(known, key, version, now)
                continue
            if known and known[:2] >= item[:2]:
                continue
            self._put(key, item)
            fresh.append((key, value, left))
            if (
                known
                and known.origin == self._own_id
                and known.version == version
                and known.until > item.until + TIE_MARGIN_S
            ):
                self.publish(key, known.value, known.until - now, now)
        return fresh

    def active(self, now):
        """Return ``{key: value}`` of the notices that have not expired."""
        return {
            key: item.value
            for key, item in self._notices.items()
            if item.until > now
        }

    def take_unsent(self, now):
        """Return the entries to push: those new since the last call."""
        keys = list(self._fresh)[:MAX_SENT]
        for key in keys:
            del self._fresh[key]
        return self._entries(keys, now)

    def has_fresh(self):
        """Return whether notices wait to be pushed."""
        return bool(self._fresh)

    def sample(self, rng, now):
        """Return entries for a peer whose digest differs.

        Expired ones are among them, with no time left, so that an instance
        that knew nothing of them can publish under a higher version.
        """
        keys = list(self._notices)
        if len(keys) > MAX_SENT:
            keys = rng.sample(keys, MAX_SENT)
        return self._entries(keys, now)

    def tick(self, now):
        """Drop expired notices."""
        for key, item in list(self._notices.items()):
            if item.until <= now and not item.expired:
                self.total ^= _fingerprint(key, item)
                self._notices[key] = item._replace(expired=True)
            if item.until + REMEMBER_S <= now:
                del self._notices[key]
                self._fresh.pop(key, None)

    def _entries(self, keys, now):
        result = []
        for key in keys:
            item = self._notices[key]
            left = max(item.until - now, 0.0)
            value = item.value if left else None
            result.append([key, item.version, item.origin, left, value])
        return result

    def _pass_expired(self, known, key, version, now):
        # Others refuse this instance's notice as older than one that expired
        # before this instance started.
        if (
            known
            and known.origin == self._own_id
            and known.until > now
            and known.version <= version < MAX_VERSION
        ):
            item = known._replace(version=version + 1)
            self._put(key, item)

    def _put(self, key, item):
        self._remove(key)
        if len(self._notices) >= MAX_NOTICES:
            self._remove(
                min(self._notices, key=lambda k: self._notices[k].until)
            )
        self._notices[key] = item
        self.total ^= _fingerprint(key, item)
        self._fresh[key] = True

    def _remove(self, key):
        item = self._notices.pop(key, None)
        self._fresh.pop(key, None)
        if item is not None and not item.expired:
            self.total ^= _fingerprint(key, item)


def _fingerprint(key, item):
    return digest.stable_hash(key, item.version, item.origin)
