"""Fleet-wide limits, and the limiters that enforce an instance's shares.

Example:
    >>> limiter = RateLimiter(2)
    >>> [limiter.admit(now) for now in (0.0, 0.1, 0.2, 1.2)]
    [True, True, False, True]
"""

import typing

# Largest relative difference between the clock rates of two machines.
CLOCK_DRIFT = 0.01
# Requests are counted in slots of 1/20 s, lengthened by the drift of both
# clocks. At most 1/21 of a share is lost to the partially elapsed slot.
RATE_SLOTS = 20
RATE_SLOT_S = (1 + 2 * CLOCK_DRIFT) / RATE_SLOTS
RATE_WINDOW_S = (RATE_SLOTS + 1) * RATE_SLOT_S

RATE_KINDS = ('rate', 'link', 'move')


class Limit(typing.NamedTuple):
    """A limit on the total use by all instances.

    Attributes:
        id: ``<kind>:<name>``; kinds are ``slots`` and ``conns`` (concurrent)
            and ``rate``, ``link`` and ``move`` (requests per second).
        amount: largest total use, an integer.
        region: region whose plan splits the limit into shares.
        place: availability zone of the upstream, or ``''``.
        group: service of the upstream, or ``''``.
        legacy_load: load from the legacy steering system, which is subtracted
            from the amount.
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
        """Part of the id before the colon, such as ``slots``."""
        return self.id.partition(':')[0]

    @property
    def usable(self):
        """Amount available for shares."""
        return 0 if self.drained else max(0, self.amount - self.legacy_load)


def is_rate(limit_id):
    """Return whether a limit applies to requests per second."""
    return limit_id.partition(':')[0] in RATE_KINDS


def safety_margin(seconds):
    """Return the safety margin to add to a wait, both in seconds."""
    return 0.1 * seconds + 0.5


class RateLimiter:
    """Admits at most its share in any window of one second.

    It counts admissions in short time slots. A token bucket with a burst of a
    tenth of the share would admit nothing below 11 requests per second, and
    could not tell when the use fits a lowered share.
    """

    def __init__(self, share=0):
        self.share = share
        self.lent = 0
        self._counts = [0] * (RATE_SLOTS + 1)
        self._newest_slot = None
        self._total = 0

    def _advance(self, now):
        slot = int(now // RATE_SLOT_S)
        if self._newest_slot is None:
            self._newest_slot = slot
        slot_count = len(self._counts)
        elapsed = min(slot - self._newest_slot, slot_count)
        for step in range(1, elapsed + 1):
            index = (self._newest_slot + step) % slot_count
            self._total -= self._counts[index]
            self._counts[index] = 0
        if elapsed > 0:
            self._newest_slot = slot

    def used(self, now):
        """Return the admissions of the last second, or slightly longer."""
        self._advance(now)
        return self._total

    def free(self, now):
        """Return the number of requests that may be admitted now."""
        return max(0, self.share - self.lent - self.used(now))

    def admit(self, now):
        """Admit one request if the share allows it; return whether it does."""
        if not self.free(now):
            return False
        self._counts[self._newest_slot % len(self._counts)] += 1
        self._total += 1
        return True

    def fits(self, now):
        """Return whether the use and the lent amount fit the share."""
        return self.used(now) + self.lent <= self.share


class ConcurrencyLimiter:
    """Limits the number of concurrent requests to a share."""

    def __init__(self, share=0):
        self.share = share
        self.lent = 0
        self.in_use = 0

    def used(self, now):
        """Return the number of requests in flight that count on the share."""
        return self.in_use

    def free(self, now):
        """Return the number of requests that may start now."""
        return max(0, self.share - self.lent - self.in_use)

    def admit(self, now):
        """Take a slot if one is free and return whether it was."""
        if not self.free(now):
            return False
        self.in_use += 1
        return True

    def release(self):
        """Release one slot."""
        self.in_use -= 1

    def fits(self, now):
        """Return whether the use and the lent amount fit the share."""
        return self.in_use + self.lent <= self.share


def limiter_for(limit_id):
    """Return a new limiter of the type that a limit needs, with no share."""
    return RateLimiter() if is_rate(limit_id) else ConcurrencyLimiter()
