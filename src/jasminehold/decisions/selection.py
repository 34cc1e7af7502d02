"""Which upstream gets a request: the one that should finish it first."""

import typing

# A run at an upstream without the object in memory uses slot time that others
# could use: its extra work counts this many times. Compared on the heaviest
# days in docs/MEASUREMENTS.md.
SPILL_WEIGHT = 3.0


class Candidate(typing.NamedTuple):
    """One upstream that may take the request.

    Attributes:
        id: id of the upstream.
        wait_s: estimated seconds until one of its slots is free.
        run_s: estimated seconds of work there.
        travel_s: seconds on the way there and back.
        extra_s: work beyond that of an upstream that knows the object.
    """

    id: str
    wait_s: float
    run_s: float
    travel_s: float
    extra_s: float

    @property
    def finish_s(self):
        """Estimated seconds from now to the answer."""
        return self.wait_s + self.run_s + self.travel_s


def choose(candidates):
    """Return the :class:`Candidate` of least cost, or None.

    Args:
        candidates: sequence, the best owner of the object first; it wins
            ties.
    """
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda item: item.finish_s + SPILL_WEIGHT * item.extra_s,
    )


def retry_after_s(candidates, pause_s, rng):
    """Return the seconds after which a rejected request can be served.

    Args:
        candidates: sequence of :class:`Candidate`, maybe empty.
        pause_s: least pause, seconds.
        rng: random source; spreads the callers that return.
    """
    wait = min((item.wait_s for item in candidates), default=pause_s)
    return max(wait, pause_s) * (0.75 + 0.5 * rng.random())
