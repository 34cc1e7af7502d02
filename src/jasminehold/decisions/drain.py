"""Drain of an upstream, a place or a region.

Source: docs/design.md, section 3 (``drain``).
"""

import enum
import typing


class Phase(enum.Enum):
    """Phase of a drain."""

    REQUESTED = 'requested'
    NO_NEW_WORK = 'no new work'
    EMPTY = 'empty'
    OVERDUE = 'overdue'


class DrainState(typing.NamedTuple):
    """State of one drain at the region's planner.

    Attributes:
        requested_at: when the planner first saw the drain, seconds,
            monotonic.
        phase: a :class:`Phase`.
        in_flight: requests in flight, summed over the instances that
            reported.
        drain_s: seconds from the request to an empty target, or None.
    """

    requested_at: float
    phase: Phase = Phase.REQUESTED
    in_flight: int = 0
    drain_s: float | None = None


def advance(state, in_force, in_flight, missing, deadline_s, now):
    """Return the next state of a drain.

    A drain is not empty until all live instances have reported, since a
    missing report does not mean that there are no requests.

    Args:
        state: the present :class:`DrainState`.
        in_force: whether all instances that reported apply the drain.
        in_flight: requests in flight according to the reports.
        missing: number of live instances without a recent report.
        deadline_s: seconds after which a drain is overdue, None for never.
        now: seconds, monotonic.
    """
    if state.phase is Phase.EMPTY:
        return state
    state = state._replace(in_flight=in_flight)
    if in_force and not missing:
        if in_flight == 0:
            return state._replace(
                phase=Phase.EMPTY, drain_s=now - state.requested_at
            )
        state = state._replace(phase=Phase.NO_NEW_WORK)
    if deadline_s is not None and now - state.requested_at > deadline_s:
        return state._replace(phase=Phase.OVERDUE)
    return state


class DrainTargets(typing.NamedTuple):
    """Targets that receive no new requests.

    Attributes:
        upstreams: names of upstreams.
        places: names of places, including those of drained regions.
    """

    upstreams: frozenset
    places: frozenset


def targets(drains, places_of, upstream_reports=()):
    """Return the targets that receive no new requests.

    Args:
        drains: ``(kind, name)`` pairs; kinds as in the ``drain`` resource.
        places_of: function from a region to its places.
        upstream_reports: names of upstreams that reported that they leave.

    Returns:
        A :class:`DrainTargets`.
    """
    upstreams, places = set(upstream_reports), set()
    for kind, name in drains:
        if kind == 'upstream':
            upstreams.add(name)
        elif kind == 'place':
            places.add(name)
        else:
            places.update(places_of(name))
    return DrainTargets(frozenset(upstreams), frozenset(places))
