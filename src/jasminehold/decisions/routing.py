"""Selection of the place and upstream for a request.

A service's traffic from a client region is split over places. Each place owns
a segment of [0, 1), and the stable hash of a client block falls into one
segment. A movement takes the end of its source's segment, so increasing the
moved share only re-maps blocks of that segment; all others keep their place.

Source: docs/design.md, section 3 (``routing``).
"""

import typing

from jasminehold.decisions import hashing

# Maximum number of places tried for one request: the chosen place, the source
# of a movement and two fallbacks.
MAX_OPTIONS = 4
# Relative latency gain that a place needs to replace the current choice, so
# that measurement noise does not cause flapping.
HYSTERESIS_FRACTION = 0.2


class Move(typing.NamedTuple):
    """A movement of traffic in progress.

    Attributes:
        name: the movement's name.
        from_place: place that loses traffic.
        to_place: place that gains traffic.
        share: moved share of all traffic of the client region, 0 to 1.
    """

    name: str
    from_place: str
    to_place: str
    share: float


class Routes(typing.NamedTuple):
    """Routes of one service for one client region.

    Attributes:
        service: the service.
        segments: ``(end, place)`` in ascending order, the last end is 1.0.
        moves: movements by source place, as ``{place: (Move, ...)}``.
        starts: ``{place: (start, length)}`` of the segments.
        fallbacks: other places in order of latency, as
            ``{place: (place, ...)}``.
    """

    service: str
    segments: tuple
    moves: dict
    starts: dict
    fallbacks: dict


class Option(typing.NamedTuple):
    """A place to try for a request.

    Attributes:
        place: the place.
        limits: ids of the rate limits that apply to the request.
        move: name of the movement that selected the place, or None.
    """

    place: str
    limits: tuple
    move: str | None


class Candidate(typing.NamedTuple):
    """An upstream that may get a request.

    Attributes:
        name: the upstream.
        free: slots that the instance can still use at the upstream.
        share: slots that the instance may use at the upstream in total.
        weight: health weight, 0 to 1.
        idle: whether an idle open connection exists.
        reported: share of slots in use by its report, 0 to 1, or None.
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
        shares: ``{place: share}``, scaled to a sum of 1.
        moves: sequence of :class:`Move`.
        latencies: ``{(place, place): seconds}``; missing pairs sort last.

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
    # A place without a share gets only the traffic of movements; it is not a
    # fallback of other places unless it is declared.
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
    """Return ``(place, move)`` of a point; move is None if not moved.

    Args:
        routes: a :class:`Routes`.
        point: number in [0, 1).
    """
    place = next(
        (name for end, name in routes.segments if point < end),
        routes.segments[-1][1],
    )
    start, length = routes.starts[place]
    # Movements take consecutive parts from the end of the segment.
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
        limits_of: function that returns the rate limit ids of a place.
        drained: places that get no new requests.

    Returns:
        Tuple of up to ``MAX_OPTIONS`` :class:`Option`.
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


def choose_upstream(candidates, rng, isolate=False, has_no_suspect=None):
    """Choose an upstream of one place by the power of two choices.

    Draws two candidates by weight and returns the one with the lower
    utilization. On a tie an idle open connection wins, because a new
    connection costs about a millisecond.

    Args:
        candidates: sequence of :class:`Candidate`.
        rng: a ``random.Random``.
        isolate: whether the request must not share an upstream with suspects.
        has_no_suspect: function from an upstream's name to whether it has no
            suspect in flight; only used with ``isolate``.

    Returns:
        A :class:`Candidate`, or None if none has a free slot.
    """
    usable = [c for c in candidates if c.free > 0 and c.weight > 0]
    if isolate:
        usable = [c for c in usable if has_no_suspect(c.name)]
    if not usable:
        return None
    weights = [c.weight * c.free for c in usable]
    first, second = rng.choices(usable, weights, k=2)
    return min(first, second, key=_utilization_key)


def _utilization_key(candidate):
    # The share can be smaller than the free slots while lent slots exceed a
    # share that was reduced after the loan.
    used = 1 - candidate.free / max(candidate.share, candidate.free)
    reported = candidate.reported or 0.0
    # A report can only raise the utilization, and less so as it ages.
    reported /= 1 + candidate.report_age_s
    return (round(max(used, reported), 1), not candidate.idle, candidate.name)


class PlaceChoice:
    """Order of places by latency, with hysteresis.

    Attributes:
        order: current order of places.
    """

    def __init__(self):
        self.order = ()

    def update(self, latencies):
        """Update the order from new measurements and return it.

        A place overtakes another one only if its latency is lower by more
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
    """A load measurement.

    Attributes:
        value: requests per second.
        at: when it was measured, seconds, monotonic.
    """

    value: float
    at: float


def assumed_load(measurement, peak, now, stale_after_s=5.0):
    """Return the load to assume for a place, requests per second.

    A missing or stale measurement must not indicate spare capacity, so the
    highest recent value is used instead.

    Args:
        measurement: a :class:`Measurement` or None.
        peak: highest value of the last period in requests per second, or
            None.
        now: seconds, monotonic.
        stale_after_s: age in seconds above which a measurement is stale.
    """
    if measurement is None:
        return float('inf') if peak is None else peak
    if now - measurement.at <= stale_after_s:
        return measurement.value
    return max(measurement.value, peak or 0.0)
