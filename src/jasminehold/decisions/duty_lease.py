"""Rules of duties: who tries, when a lease is renewed, when it is lost.

An instance holds one lease at the platform and attaches the keys
``duty/<name>`` of all its duties to it, so renewing costs one call a second
per holder, not per duty. The version of the key is the fencing token.

Example:
    >>> lease = Lease(LeaseConfig())
    >>> lease.start('lease-1', asked_at=0.0)
    >>> lease.valid(3.0), lease.valid(3.2)
    (True, False)
"""

import hashlib
import typing

PREFIX = 'duty/'
# The best candidates try at once when a duty has no holder (design, 4).
PROMPT_CANDIDATES = 3


class LeaseConfig(typing.NamedTuple):
    """Times of a lease, in seconds.

    Attributes:
        ttl: time to live at the platform.
        renew_interval_s: time between renewals.
        check_interval_s: time between looks at the duties' keys.
        margin_fraction: share of the ttl kept as margin for clock rates.
        margin_fixed: fixed part of the margin.
    """

    ttl: float = 4.0
    renew_interval_s: float = 1.0
    check_interval_s: float = 1.0
    margin_fraction: float = 0.1
    margin_fixed: float = 0.5

    @property
    def valid_for(self):
        """Seconds for which an answer is trusted after its question."""
        return self.ttl * (1 - self.margin_fraction) - self.margin_fixed


def hash_name(text):
    """Return the stable hash of a candidate's id or a duty's name."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def rank(name, ident, weights):
    """Return the position of a candidate for a duty, 0 for the first.

    Candidates are ordered by their hash exclusive-or the duty's hash. The
    order is the same everywhere, differs from duty to duty, and a membership
    change moves few duties. One hash for each candidate serves all duties,
    which keeps thousands of candidates cheap.

    Args:
        name: duty.
        ident: candidate; it has to be one of ``weights``.
        weights: :func:`hash_name` by candidate id.
    """
    base = hash_name(name)
    own = weights[ident] ^ base
    return sum(1 for other in weights.values() if other ^ base < own)


def check_delay(position, cfg, rng):
    """Return seconds until a candidate next looks at a duty's key.

    The delay of a later candidate grows in proportion to its rank, so the
    calls of n candidates sum to a harmonic series and grow with log(n).

    Args:
        position: :func:`rank` of the candidate.
        cfg: :class:`LeaseConfig`.
        rng: ``random.Random``.
    """
    jitter = 0.75 + 0.5 * rng.random()
    if position < PROMPT_CANDIDATES:
        return cfg.check_interval_s * jitter
    return cfg.ttl * (position - PROMPT_CANDIDATES + 2) * jitter


class Lease:
    """Lease of one instance and the duties attached to it.

    Validity counts from the time a question was sent, so network delay, a
    slow platform or a pause can only shorten it. A lease that lapsed is never
    valid again, even if a late answer confirms it, because duties were
    already reported as lost.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.lease_id = None
        self.tokens = {}
        self._valid_until = 0.0

    def start(self, ident, asked_at):
        """Record a lease granted in answer to a question of ``asked_at``."""
        self.lease_id = ident
        self.tokens = {}
        self._valid_until = asked_at + self.cfg.valid_for

    def renewed(self, ident, asked_at, now):
        """Record a renewal; return whether the lease is still the one held."""
        if ident != self.lease_id or not self.valid(now):
            return False
        self._valid_until = max(
            self._valid_until, asked_at + self.cfg.valid_for
        )
        return True

    def valid(self, now):
        """Return whether the lease may be relied on."""
        return self.lease_id is not None and now < self._valid_until

    def acquired(self, name, ident, token, now):
        """Record a duty's key stored or found under a lease.

        Returns:
            Whether the duty is held; not when the lease lapsed meanwhile.
        """
        if ident != self.lease_id or not self.valid(now):
            return False
        self.tokens[name] = token
        return True

    def drop_duty(self, name):
        """Record that a duty's key is gone; return whether it was held."""
        return self.tokens.pop(name, None) is not None

    def clear(self):
        """Forget the lease; return the names of the duties lost."""
        names = sorted(self.tokens)
        self.lease_id = None
        self.tokens = {}
        return names

    def token(self, name, now):
        """Return the fencing token of a duty, or None when not held."""
        if not self.valid(now):
            return None
        return self.tokens.get(name)
