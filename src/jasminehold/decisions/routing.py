"""Choice of places and upstreams for a request.

A service's traffic from a client region is split over places. The stable hash
of a client block falls into one place's segment. A movement takes the end of
its source's segment, so a larger moved share re-maps only blocks of that
segment, and each block keeps its place while nothing changes.

Source: docs/design.md, section 3 (``routing``).
"""

import typing

from jasminehold.decisions import hashing

# At most this many places are tried for one request: the chosen one, the
# source of a movement and two more.
MAX_OPTIONS = 4
# A place whose measured latency is at most this much better does not replace
# the present choice, so that noise does not make it flap.
HYSTERESIS_FRACTION = 0.2


class Move(typing.NamedTuple):
    """A movement in progress.

    Attributes:
        name: the movement's name.
        from_place: place that loses traffic.
        to_place: place that gains traffic.
        share: moved part of the client region's whole traffic, 0 to 1.
    """

    name: str
    from_place: str
    to_place: str
    share: float


class Routes(typing.NamedTuple):
    """Routes of one service for one client region.

    Attributes:
        service: the service.
        segments: ``(end, place)`` with rising ends, the last one 1.0.
        moves: movements by source place, as ``{place: (Move, ...)}``.
        starts: start and length of each place's segment.
        fallbacks: places by latency from each place, as
            ``{place: (place, ...)}``.
    """

    service: str
    segments: tuple
    moves: dict
    starts: dict
    fallbacks: dict


class Option(typing.NamedTuple):
    """One place to try.

    Attributes:
        place: the place.
        limits: ids of the rate limits that the request has to pass.
        move: name of the movement that brings it here, or None.
    """

    place: str
    limits: tuple
    move: str | None


class Candidate(typing.NamedTuple):
    """An upstream that could take a request.

    Attributes:
        name: the upstream.
        free: slots that the instance may still use there.
        share: slots that the instance may use there in all.
        weight: health, 0 to 1.
        idle: whether an open connection is idle.
        reported: reported share of slots in use, 0 to 1, or None.
        report_age_s: age of the report in seconds.
    """

    name: str
    free: int
    share: int
    weight: float
    idle: bool
    reported: float | None
    report_age_s: float


def build(service, shares, moves, latencies):
    """Build the routes of one service and client region.

    Args:
        service: the service.
        shares: ``{place: share}``; they are scaled to a sum of 1.
        moves: sequence of :class:`Move`.
        latencies: ``{(place, place): seconds}``; missing pairs come last.

    Returns:
        A :class:`Routes`.
    """
    total = sum(shares.values())
    segments, starts, end = [], {}, 0.0
    for place in sorted(shares):
        length = shares[place] / total if total else 1 / len(shares)
        starts[place] = (end, length)
        end += length
        segments.append((end, place))
    if segments:
        segments[-1] = (1.0, segments[-1][1])
    by_source = {}
    for move in sorted(moves):
        by_source.setdefault(move.from_place, []).append(move)
    # A place without a share of its own serves what movements bring, and is
    # never the target of overflow unless it is declared.
    fallbacks = {
        place: tuple(
            sorted(
                (other for other in shares if other != place),
                key=lambda other: (
                    latencies.get((place, other), float('inf')),
                    other,
                ),
            )
        )
        for place in set(shares) | {move.to_place for move in moves}
    }
    return Routes(
        service,
        tuple(segments),
        {place: tuple(group) for place, group in by_source.items()},
        starts,
        fallbacks,
    )


def block_point(service, block):
    """Return the stable point in [0, 1) of a client block for a service."""
    return hashing.point('route', service, block)


def home(routes, point):
    """Return ``(place, move)`` for a point, move None when not moved.

    Args:
        routes: a :class:`Routes`.
        point: number in [0, 1).
    """
    place = next(
        (name for end, name in routes.segments if point < end),
        routes.segments[-1][1],
    )
    start, length = routes.starts[place]
    # Movements take the segment from its end, one after the other.
    end = start + length
    for move in routes.moves.get(place, ()):
        begin = end - min(move.share, end - start)
        if begin <= point < end:
            return place, move
        end = begin
    return place, None


def options(routes, point, limits_of, drained):
    """Return the places to try for a request, best first.

    Args:
        routes: a :class:`Routes`.
        point: the client block's point.
        limits_of: function from a place to the ids of its rate limits.
        drained: places that take no new work.

    Returns:
        Tuple of at most ``MAX_OPTIONS`` :class:`Option`.
    """
    if not routes.segments:
        return ()
    place, move = home(routes, point)
    found = []
    if move is not None and move.to_place not in drained:
        limits = ('move:' + move.name,) + limits_of(move.to_place)
        found.append(Option(move.to_place, limits, move.name))
    order = (place,) + routes.fallbacks[place]
    for other in order:
        if other in drained or len(found) >= MAX_OPTIONS:
            continue
        if any(option.place == other for option in found):
            continue
        found.append(Option(other, limits_of(other), None))
    return tuple(found)


def choose_upstream(candidates, rng, isolate=False, shared=None):
    """Choose an upstream out of those of one place.

    Two are drawn by weight and the less used one is taken; among equally
    used ones an open idle connection wins, because a new one costs about a
    millisecond.

    Args:
        candidates: sequence of :class:`Candidate`.
        rng: a ``random.Random``.
        isolate: whether the request has to be kept from other suspects.
        shared: function that tells whether an upstream has no suspect; only
            used with ``isolate``.

    Returns:
        A :class:`Candidate` or None when none can take the request.
    """
    usable = [c for c in candidates if c.free > 0 and c.weight > 0]
    if isolate:
        usable = [c for c in usable if shared(c.name)]
    if not usable:
        return None
    weights = [c.weight * c.free for c in usable]
    first, second = rng.choices(usable, weights, k=2)
    return min(first, second, key=_usage)


def _usage(candidate):
    # The whole amount is less than the free one while loans given out exceed a
    # share that was cut since.
    used = 1 - candidate.free / max(candidate.share, candidate.free)
    reported = candidate.reported or 0.0
    # A report can only count against an upstream, and less as it ages.
    reported /= 1 + candidate.report_age_s
    return (round(max(used, reported), 1), not candidate.idle, candidate.name)


class PlaceChoice:
    """Order of places by latency that does not flap.

    Attributes:
        order: the present order of places.
    """

    def __init__(self):
        self.order = ()

    def update(self, latencies):
        """Take new measurements and return the order.

        A place moves ahead of another one only when it is better by more
        than ``HYSTERESIS_FRACTION``.

        Args:
            latencies: ``{place: seconds}``.
        """
        known = [place for place in self.order if place in latencies]
        for place in sorted(set(latencies) - set(known)):
            index = len(known)
            while index and latencies[place] < latencies[known[index - 1]]:
                index -= 1
            known.insert(index, place)
        changed = True
        while changed:
            changed = False
            for i in range(len(known) - 1):
                ahead, behind = known[i], known[i + 1]
                bound = latencies[ahead] * (1 - HYSTERESIS_FRACTION)
                if latencies[behind] < bound:
                    known[i], known[i + 1] = behind, ahead
                    changed = True
        self.order = tuple(known)
        return self.order


class Measurement(typing.NamedTuple):
    """A measured load.

    Attributes:
        value: requests a second.
        at: when it was measured, seconds, monotonic.
    """

    value: float
    at: float


def assumed_load(measurement, peak, now, stale_after_s=5.0):
    """Return the load to assume for a place, requests a second.

    A measurement that is missing or old never shows spare capacity: the
    highest recent value is assumed instead.

    Args:
        measurement: a :class:`Measurement` or None.
        peak: the highest value of the last period, requests a second.
        now: seconds, monotonic.
        stale_after_s: age in seconds from which it counts as old.
    """
    if measurement is None:
        return float('inf') if peak is None else peak
    if now - measurement.at <= stale_after_s:
        return measurement.value
    return max(measurement.value, peak or 0.0)
