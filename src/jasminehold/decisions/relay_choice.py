"""Which instance a request goes through when its own has no path."""

import enum
import typing

from jasminehold import errors

# Instances that a request is sent through, one after the other.
RELAYS_MAX = 2
# Requests in flight through one helping instance, as a fraction of the
# requests that it can carry in a second, and at least.
IN_FLIGHT_FRACTION = 0.25
IN_FLIGHT_MIN = 8
# Time for which an instance that could not be reached is left out.
UNREACHED_PAUSE_S = 1.0
# Silence on the stream to an instance from which on it is left out; an idle
# one is asked for a sign of life every 2 s.
HELPER_SILENCE_S = 3.5
# Failed connections with nothing sent after which a request goes through
# another instance although this one has a path.
CONNECT_FAILURES = 2


class Helper(typing.NamedTuple):
    """An instance that may send requests for this one.

    Attributes:
        id: id of the instance.
        address: ``IP:port`` for callers.
        place: availability zone.
        region: region of the zone.
        room: requests a second that it can carry.
        in_flight: requests of this instance in flight through it.
    """

    id: str
    address: str
    place: str
    region: str
    room: float
    in_flight: int


class Step(enum.Enum):
    """What follows when a helping instance answers with an error.

    ``ANSWER``: the caller gets the error.
    ``OTHER``: another instance may try, as nothing was sent.
    ``RETRY``: another instance may try, as a retry.
    """

    ANSWER = 'answer'
    OTHER = 'other'
    RETRY = 'retry'


def in_flight_max(room):
    """Return the most requests in flight through an instance.

    Args:
        room: requests a second that it can carry.
    """
    return max(int(IN_FLIGHT_FRACTION * room), IN_FLIGHT_MIN)


def choose(helpers, place, region, homes, rng):
    """Choose the instance that sends a request, the nearest with room.

    Args:
        helpers: list of :class:`Helper`, without those that have no path.
        place: availability zone of this instance.
        region: its region.
        homes: the route's home regions; none means all. An instance
            elsewhere must not get the body.
        rng: a ``random.Random``.

    Returns:
        A :class:`Helper`, or None. Among the nearest ones the choice is
        random in proportion to their room.
    """
    tiers = ([], [], [])
    for item in helpers:
        if homes and item.region not in homes:
            continue
        if item.in_flight >= in_flight_max(item.room):
            continue
        near = 0 if item.place == place else 1 if item.region == region else 2
        tiers[near].append(item)
    for tier in tiers:
        if tier:
            return rng.choices(tier, [max(i.room, 1e-9) for i in tier])[0]
    return None


def after_error(kind):
    """Return what follows an error of a helping instance.

    Args:
        kind: its :class:`~errors.Kind`.

    Returns:
        ``(Step, kind for the caller)``. An instance with other routes or
        limits denies nothing for this one.
    """
    if errors.answer_for(kind).run is not errors.Run.NOT_RUN:
        return Step.ANSWER, kind
    if kind in (
        errors.Kind.OVERLOADED,
        errors.Kind.OVER_QUOTA,
        errors.Kind.QUARANTINED,
    ):
        return Step.ANSWER, kind
    if kind is errors.Kind.NOT_RUN:
        # Upstreams may have rejected it.
        return Step.RETRY, kind
    return Step.OTHER, errors.Kind.NOT_RUN
