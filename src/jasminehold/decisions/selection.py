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
    """

    id: str
    wait_s: float
    run_s: float
    network_s: float
    extra_s: float

    @property
    def finish_s(self):
        """Estimated seconds from now to the answer."""
        return self.wait_s + self.run_s + self.network_s


def choose(candidates):
    """Return the :class:`Candidate` with the lowest cost, or None.

    Args:
        candidates: sequence in order of ownership of the object; the first
            one wins a tie.
    """
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda item: item.finish_s + SPILL_WEIGHT * item.extra_s,
    )


def retry_after_s(candidates, pause_s, rng):
    """Return the seconds after which to retry a rejected request.

    Args:
        candidates: sequence of :class:`Candidate`, may be empty.
        pause_s: minimum delay in seconds.
        rng: random source for jitter, which spreads the retries.
    """
    wait = min((item.wait_s for item in candidates), default=pause_s)
    return max(wait, pause_s) * (0.75 + 0.5 * rng.random())
