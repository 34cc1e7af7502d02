"""Limits that hold over the whole fleet, and the limiters that enforce shares.

Example:
    >>> limiter = RateLimiter(2)
    >>> [limiter.admit(now) for now in (0.0, 0.1, 0.2, 1.2)]
    [True, True, False, True]
"""

import typing

# Clocks of two machines may differ in rate by this much.
CLOCK_DRIFT = 0.01
# A window is counted in slots of a twentieth of a second, lengthened by the
# drift of both clocks; at most 1/21 of a share is lost to the partial slot.
RATE_SLOTS = 20
RATE_SLOT_S = (1 + 2 * CLOCK_DRIFT) / RATE_SLOTS
RATE_WINDOW_S = (RATE_SLOTS + 1) * RATE_SLOT_S

RATE_KINDS = ('rate', 'link', 'move')


class Limit(typing.NamedTuple):
    """A limit on use by the whole fleet.

    Attributes:
        id: ``<kind>:<name>``; kinds are ``slots`` and ``conns`` (concurrent)
            and ``rate``, ``link`` and ``move`` (requests a second).
        amount: whole number.
        region: home region, whose plan shares the limit out.
        place: place of the upstream, or ``''``.
        group: service of the upstream, or ``''``.
        legacy_load: load of the older steering system, subtracted from the amount.
        drained: whether the target is drained, so that all shares are 0.
    """

    id: str
    amount: int
    region: str
    place: str = ''
    group: str = ''
    legacy_load: int = 0
    drained: bool = False

    @property
    def kind(self):
        """Part of the id before the colon."""
        return self.id.partition(':')[0]

    @property
    def usable(self):
        """Amount that may be shared out."""
        return 0 if self.drained else max(0, self.amount - self.legacy_load)


def is_rate(limit_id):
    """Return whether a limit counts requests a second."""
    return limit_id.partition(':')[0] in RATE_KINDS


def safety_margin(seconds):
    """Return the safety margin of a waiting time, in seconds."""
    return 0.1 * seconds + 0.5


class RateLimiter:
    """Admits at most its share in any window of one second.

    Admissions are counted in short slots instead of a token bucket: a bucket
    with a burst of a tenth of the share admits nothing below 11 requests a
    second and cannot tell when the use fits a lowered share.
    """

    def __init__(self, share=0):
        self.share = share
        self.lent = 0
        self._counts = [0] * (RATE_SLOTS + 1)
        self._slot = None
        self._total = 0

    def _advance(self, now):
        slot = int(now // RATE_SLOT_S)
        if self._slot is None:
            self._slot = slot
        size = len(self._counts)
        steps = min(slot - self._slot, size)
        for step in range(1, steps + 1):
            index = (self._slot + step) % size
            self._total -= self._counts[index]
            self._counts[index] = 0
        if steps > 0:
            self._slot = slot

    def used(self, now):
        """Return the admissions of the last second, rounded up in time."""
        self._advance(now)
        return self._total

    def free(self, now):
        """Return how many more requests may be admitted now."""
        return max(0, self.share - self.lent - self.used(now))

    def admit(self, now):
        """Count one request and return True, or return False."""
        if not self.free(now):
            return False
        self._counts[self._slot % len(self._counts)] += 1
        self._total += 1
        return True

    def fits(self, now):
        """Return whether use and lent amount are within the share."""
        return self.used(now) + self.lent <= self.share


class ConcurrencyLimiter:
    """Counts concurrent use of a share."""

    def __init__(self, share=0):
        self.share = share
        self.lent = 0
        self.in_use = 0

    def used(self, now):
        """Return the number of requests in flight on the own share."""
        return self.in_use

    def free(self, now):
        """Return how many more requests may start now."""
        return max(0, self.share - self.lent - self.in_use)

    def admit(self, now):
        """Take one slot and return True, or return False."""
        if not self.free(now):
            return False
        self.in_use += 1
        return True

    def release(self):
        """Give back one slot."""
        self.in_use -= 1

    def fits(self, now):
        """Return whether use and lent amount are within the share."""
        return self.in_use + self.lent <= self.share


def limiter_for(limit_id):
    """Return an empty limiter of the kind that a limit needs."""
    return RateLimiter() if is_rate(limit_id) else ConcurrencyLimiter()
