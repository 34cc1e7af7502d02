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
    """Progress of one drain as the region's planner sees it.

    Attributes:
        requested_at: when the drain was first seen, seconds, monotonic.
        phase: a :class:`Phase`.
        in_flight: requests still running, summed over the instances heard.
        drain_s: seconds from the request until it was empty, or None.
    """

    requested_at: float
    phase: Phase = Phase.REQUESTED
    in_flight: int = 0
    drain_s: float | None = None


def advance(state, in_force, in_flight, missing, deadline_s, now):
    """Return the next state of a drain.

    Silence is not emptiness: while an instance has not reported, the drain is
    not empty.

    Args:
        state: the present :class:`DrainState`.
        in_force: whether all instances that reported apply the drain.
        in_flight: requests in flight that the reports show.
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
    """Targets that take no new work.

    Attributes:
        upstreams: names of upstreams.
        places: names of places, those of drained regions included.
    """

    upstreams: frozenset
    places: frozenset


def targets(drains, places_of, upstream_reports=()):
    """Return what takes no new work.

    Args:
        drains: ``(kind, name)`` pairs with the kinds of the resource.
        places_of: function from a region to its places.
        upstream_reports: upstreams that said themselves that they leave.

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
