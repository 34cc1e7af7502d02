"""Small expiring notices: crash fingerprints, drains, leaving upstreams.

A notice is sent as ``[id, version, origin, seconds left, value]``. It carries
the remaining time because clocks differ between instances; each hop extends
it by at most the network delay. A higher version renews a notice. When two
instances publish the same version, the higher origin id wins.
"""

import typing

from jasminehold.decisions import digest

# Beyond this number, the notice that expires first is dropped.
MAX_NOTICES = 1000
# Further notices are sent in the next messages.
MAX_MESSAGE_NOTICES = 100
MAX_TTL_S = 3600.0
# Expired notices are kept so that a delayed copy does not restore them.
EXPIRED_RETENTION_S = 60.0
MAX_VERSION = 2**53
# A renewal that lost a tie is published again when it expires later than the
# winner by more than this.
TIE_MARGIN_S = 1.0


class _Notice(typing.NamedTuple):
    version: int
    origin: str
    expires_at: float
    value: typing.Any
    expired: bool = False


class Notices:
    """Notices known to one instance.

    Args:
        own_id: this instance's id, the origin of the notices it publishes.
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._notices = {}
        self._unsent = {}
        self.total = 0

    def publish(self, key, value, ttl, now):
        """Add or renew a notice and return its version."""
        known = self._notices.get(key)
        version = known.version + 1 if known else 1
        expires_at = now + min(ttl, MAX_TTL_S)
        self._put(key, _Notice(version, self._own_id, expires_at, value))
        return version

    def merge(self, entries, now):
        """Merge received notices.

        Returns:
            The new or renewed ones as ``[(key, value, seconds left)]``.

        Raises:
            ValueError: when a notice is malformed.
        """
        if len(entries) > MAX_NOTICES:
            raise ValueError('%d notices' % len(entries))
        changed = []
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
                self._raise_version(known, key, version, now)
                continue
            if known and known[:2] >= item[:2]:
                continue
            self._put(key, item)
            changed.append((key, value, left))
            if (
                known
                and known.origin == self._own_id
                and known.version == version
                and known.expires_at > item.expires_at + TIE_MARGIN_S
            ):
                self.publish(key, known.value, known.expires_at - now, now)
        return changed

    def active(self, now):
        """Return ``{key: value}`` of the notices that have not expired."""
        return {
            key: item.value
            for key, item in self._notices.items()
            if item.expires_at > now
        }

    def take_unsent(self, now):
        """Return entries to push, new or renewed since the last call."""
        keys = list(self._unsent)[:MAX_MESSAGE_NOTICES]
        for key in keys:
            del self._unsent[key]
        return self._entries(keys, now)

    def has_unsent(self):
        """Return whether there are notices to push."""
        return bool(self._unsent)

    def sample(self, rng, now):
        """Return a random sample of entries for a peer whose digest differs.

        Expired notices are included with no time left, so that an instance
        that did not have them can publish under a higher version.
        """
        keys = list(self._notices)
        if len(keys) > MAX_MESSAGE_NOTICES:
            keys = rng.sample(keys, MAX_MESSAGE_NOTICES)
        return self._entries(keys, now)

    def tick(self, now):
        """Mark expired notices and drop them after their retention."""
        for key, item in list(self._notices.items()):
            if item.expires_at <= now and not item.expired:
                self.total ^= _fingerprint(key, item)
                self._notices[key] = item._replace(expired=True)
            if item.expires_at + EXPIRED_RETENTION_S <= now:
                del self._notices[key]
                self._unsent.pop(key, None)

    def _entries(self, keys, now):
        result = []
        for key in keys:
            item = self._notices[key]
            left = max(item.expires_at - now, 0.0)
            value = item.value if left else None
            result.append([key, item.version, item.origin, left, value])
        return result

    def _raise_version(self, known, key, version, now):
        # Other instances reject this instance's notice because they still
        # have an expired one, published before this instance started, whose
        # version is not lower.
        if (
            known
            and known.origin == self._own_id
            and known.expires_at > now
            and known.version <= version < MAX_VERSION
        ):
            item = known._replace(version=version + 1)
            self._put(key, item)

    def _put(self, key, item):
        self._remove(key)
        if len(self._notices) >= MAX_NOTICES:
            self._remove(
                min(self._notices, key=lambda k: self._notices[k].expires_at)
            )
        self._notices[key] = item
        self.total ^= _fingerprint(key, item)
        self._unsent[key] = True

    def _remove(self, key):
        item = self._notices.pop(key, None)
        self._unsent.pop(key, None)
        if item is not None and not item.expired:
            self.total ^= _fingerprint(key, item)


def _fingerprint(key, item):
    return digest.stable_hash(key, item.version, item.origin)
