"""Client accounts of a configuration, and who sent a request.

A table keeps digests of the accounts' keys, never the keys.
"""

import collections
import enum
import hashlib
import typing

# Fraction of the time in which a withdrawn key has to be out of use, up to
# which a copy of the configuration shows that a key is still valid.
KEY_CERTAIN_FRACTION = 0.8
# Unknown and withdrawn keys that are remembered at once.
UNKNOWN_KEYS_MAX = 1024
WITHDRAWN_KEYS_MAX = 100_000
# No instance has this region: the homes of an account and of a route that
# have none in common.
NO_REGION = ''
_DIGEST_BYTES = 16
_DIGEST_DOMAIN = b'jasminehold key'


class Account(typing.NamedTuple):
    """A client account.

    Attributes:
        name: name of the account, as upstreams get it.
        priority: 0 is the highest; None for the route's.
        rate_per_s: requests per second that it may send to the fleet, 0 for
            no limit.
        burst: requests that it may send on top of that.
        home_regions: regions that may serve it; empty means all.
    """

    name: str
    priority: typing.Optional[int] = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset = frozenset()


class Verdict(enum.Enum):
    """Why a request was not admitted."""

    # The request names no key, or none that could be valid.
    REFUSED = 'refused'
    # The copy of the configuration is too old to tell.
    UNCERTAIN = 'uncertain'


def digest(key):
    """Return the digest under which a key is stored.

    Args:
        key: bytes.
    """
    return hashlib.blake2b(
        key, digest_size=_DIGEST_BYTES, person=_DIGEST_DOMAIN
    ).digest()


class AccountTable:
    """The accounts of one configuration version.

    Looking a key up compares digests, so its duration tells nothing of the
    keys in the table.

    Args:
        accounts: list of ``(Account, list of keys as bytes)``. Of two
            accounts with one key, the first holds it.
    """

    def __init__(self, accounts):
        self.by_name = {account.name: account for account, _ in accounts}
        self._by_digest = {}
        for account, keys in accounts:
            for key in keys:
                self._by_digest.setdefault(digest(key), account)

    def holder(self, key_digest):
        """Return the :class:`Account` that holds a key, or None."""
        return self._by_digest.get(key_digest)

    def key_counts(self):
        """Return ``{account name: number of keys}``."""
        counts = dict.fromkeys(self.by_name, 0)
        for account in self._by_digest.values():
            counts[account.name] += 1
        return counts

    def digests(self):
        """Return the set of the digests of all keys."""
        return self._by_digest.keys()


class KeyRecords:
    """Keys that were withdrawn or are unknown.

    A key that a former version held and a later one does not is withdrawn for
    sure. Of a key that was never seen, a newer version may tell, until a copy
    was read after it was first presented.
    """

    def __init__(self):
        self._withdrawn = collections.OrderedDict()
        self._presented_at = collections.OrderedDict()

    def on_config(self, former, table):
        """Compare two :class:`AccountTable` values; either may be None."""
        before = former.digests() if former else set()
        after = table.digests() if table else set()
        for key_digest in before - after:
            self._withdrawn[key_digest] = True
        for key_digest in self._withdrawn.keys() & after:
            del self._withdrawn[key_digest]
        while len(self._withdrawn) > WITHDRAWN_KEYS_MAX:
            self._withdrawn.popitem(last=False)

    def is_unknown(self, key_digest, copy_read_at, now):
        """Return whether a key that the table lacks is certainly invalid.

        Args:
            key_digest: digest of the key.
            copy_read_at: monotonic seconds at which the copy was current.
            now: monotonic seconds.
        """
        if key_digest in self._withdrawn:
            return True
        first = self._presented_at.setdefault(key_digest, now)
        if len(self._presented_at) > UNKNOWN_KEYS_MAX:
            self._presented_at.popitem(last=False)
        return copy_read_at >= first


def binding_homes(first, second):
    """Return the regions that both of two sets of homes allow.

    Args:
        first, second: sets of regions; an empty one allows all.

    Returns:
        A frozenset in the same form.
    """
    if not first or not second:
        return first or second
    return (first & second) or frozenset({NO_REGION})


def bind(route, account):
    """Return the route with the account's homes and priority applied.

    Args:
        route: a :class:`~decisions.route_table.Route`.
        account: an :class:`Account`, or None.
    """
    if account is None:
        return route
    priority = account.priority
    if not account.home_regions and priority in (None, route.priority):
        return route
    return route._replace(
        home_regions=binding_homes(route.home_regions, account.home_regions),
        priority=route.priority if priority is None else priority,
    )


def may_use_keys(age_s, revoke_s):
    """Return whether a copy of the configuration proves that a key is valid.

    Args:
        age_s: proven age of the copy in seconds.
        revoke_s: seconds in which a withdrawn key has to be out of use at
            every instance, None if no such bound holds.
    """
    if revoke_s is None:
        return True
    return age_s <= KEY_CERTAIN_FRACTION * revoke_s
