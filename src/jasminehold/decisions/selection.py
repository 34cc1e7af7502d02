"""Selection of the upstream with the lowest estimated completion cost."""

import typing

# Cost of the extra work at an upstream that does not have the object cached,
# relative to time until completion: it uses slot time that other requests
# could use.
SPILL_WEIGHT = 3.0


class Candidate(typing.NamedTuple):
    """An upstream that may get the request.

    Attributes:
        id: id of the upstream.
        wait_s: estimated seconds until one of its slots is free.
        run_s: estimated run time of the request, seconds.
        network_s: network round trip time in seconds.
        extra_s: additional run time because the object is not cached, seconds.
        spill_weight: cost of the extra work relative to time, None for
            :data:`SPILL_WEIGHT`.
        chance: chance that the answer comes in time.
        doubt_s: by how much the wait may be wrong, as beliefs of it are old,
            seconds.
        keeping_s: cost of the object staying cached there, seconds.
    """

    id: str
    wait_s: float
    run_s: float
    network_s: float
    extra_s: float
    spill_weight: float = None
    chance: float = 1.0
    doubt_s: float = 0.0
    keeping_s: float = 0.0

    @property
    def finish_s(self):
        """Estimated seconds from now to the answer."""
        return self.wait_s + self.run_s + self.network_s


def choose(candidates, rng):
    """Return the :class:`Candidate` with the lowest cost, or None.

    Args:
        candidates: sequence in order of ownership of the object; the first
            one wins a tie.
        rng: random source: instances with the same old beliefs do not all
            choose the same upstream.
    """
    if not candidates:
        return None

    def cost(item):
        weight = item.spill_weight
        if weight is None:
            weight = SPILL_WEIGHT
        doubt_s = 0.0
        if item.doubt_s:
            doubt_s = item.doubt_s * (2.0 * rng.random() - 1.0)
        own_s = item.finish_s + weight * item.extra_s
        return own_s + item.keeping_s + doubt_s

    return min(candidates, key=cost)


def retry_after_s(candidates, pause_s, rng):
    """Return the seconds after which to retry a rejected request.

    Args:
        candidates: sequence of :class:`Candidate`, may be empty.
        pause_s: minimum delay in seconds.
        rng: random source for jitter, which spreads the retries.
    """
    wait = min((item.wait_s for item in candidates), default=pause_s)
    return max(wait, pause_s) * (0.75 + 0.5 * rng.random())
