"""Leases of duties: order of candidates, validity and fencing tokens.

An instance holds one lease at the platform and attaches the keys
``duty/<name>`` of all its duties to it, so renewal costs one call a second
per instance, not per duty. The version of the key is the fencing token.

Example:
    >>> lease = Lease(LeaseConfig())
    >>> lease.start('lease-1', sent_at=0.0)
    >>> lease.valid(3.0), lease.valid(3.2)
    (True, False)
"""

import hashlib
import typing

PREFIX = 'duty/'
# The first candidates check a duty without a holder at the shortest interval
# (design, 4).
FAST_CHECK_CANDIDATES = 3


class LeaseConfig(typing.NamedTuple):
    """Times of a lease, in seconds.

    Attributes:
        ttl: time to live at the platform.
        renew_interval_s: interval between renewals.
        check_interval_s: interval between reads of the duties' keys.
        margin_fraction: share of ``ttl`` kept as a margin for clock drift.
        margin_fixed_s: fixed part of the margin.
    """

    ttl: float = 4.0
    renew_interval_s: float = 1.0
    check_interval_s: float = 1.0
    margin_fraction: float = 0.1
    margin_fixed_s: float = 0.5

    @property
    def valid_for_s(self):
        """Seconds for which a grant or renewal is valid after its request."""
        return self.ttl * (1 - self.margin_fraction) - self.margin_fixed_s


def hash_name(text):
    """Return the stable hash of a candidate's id or a duty's name."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def rank(name, candidate_id, hashes):
    """Return the position of a candidate for a duty, 0 for the first.

    Candidates are ordered by their hash XOR the duty's hash. The order is the
    same at all instances and differs between duties, and a membership change
    moves few duties. Each candidate is hashed once for all duties, which
    keeps the cost low with thousands of candidates.

    Args:
        name: name of the duty.
        candidate_id: id of the candidate, a key of ``hashes``.
        hashes: :func:`hash_name` by candidate id.
    """
    duty_hash = hash_name(name)
    own_distance = hashes[candidate_id] ^ duty_hash
    return sum(
        1 for other in hashes.values() if other ^ duty_hash < own_distance
    )


def check_delay(position, cfg, rng):
    """Return the seconds until a candidate next reads a duty's key.

    The delay grows in proportion to the rank, so the call rate of n
    candidates is a harmonic series and grows with log(n).

    Args:
        position: :func:`rank` of the candidate.
        cfg: :class:`LeaseConfig`.
        rng: ``random.Random``.
    """
    jitter = 0.75 + 0.5 * rng.random()
    if position < FAST_CHECK_CANDIDATES:
        return cfg.check_interval_s * jitter
    return cfg.ttl * (position - FAST_CHECK_CANDIDATES + 2) * jitter


class Lease:
    """Lease of one instance and the duties attached to it.

    Validity counts from the time at which the request was sent, so network
    delay, a slow platform or a pause can only shorten it. An expired lease
    never becomes valid again, even if a late reply confirms it, because its
    duties were already reported as lost.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.lease_id = None
        self.tokens = {}
        self._valid_until = 0.0

    def start(self, lease_id, sent_at):
        """Record a lease granted to a request sent at ``sent_at``."""
        self.lease_id = lease_id
        self.tokens = {}
        self._valid_until = sent_at + self.cfg.valid_for_s

    def renewed(self, lease_id, sent_at, now):
        """Record a renewal; return whether the lease is still valid."""
        if lease_id != self.lease_id or not self.valid(now):
            return False
        self._valid_until = max(
            self._valid_until, sent_at + self.cfg.valid_for_s
        )
        return True

    def valid(self, now):
        """Return whether the lease is valid."""
        return self.lease_id is not None and now < self._valid_until

    def acquired(self, name, lease_id, token, now):
        """Record that a duty's key is attached to a lease.

        Returns:
            Whether the duty is held; False when the lease has expired.
        """
        if lease_id != self.lease_id or not self.valid(now):
            return False
        self.tokens[name] = token
        return True

    def drop_duty(self, name):
        """Record the loss of a duty's key; return whether it was held."""
        return self.tokens.pop(name, None) is not None

    def clear(self):
        """Discard the lease and return the names of the duties lost."""
        names = sorted(self.tokens)
        self.lease_id = None
        self.tokens = {}
        return names

    def token(self, name, now):
        """Return the fencing token of a duty, or None when not held."""
        if not self.valid(now):
            return None
        return self.tokens.get(name)
