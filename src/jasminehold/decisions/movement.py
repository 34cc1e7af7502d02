"""Stepwise movement of traffic between places.

The planner of the target's region advances each movement. It takes a step only
when the previous one is in force at all instances and the target is healthy.
The first steps are small because cold caches make the target slow at first.

Source: docs/design.md, section 3 (``movement``).
"""

import enum
import typing

# Above either limit the target counts as overloaded. The slowdown is relative
# to its latency before the movement.
MAX_SHED_SHARE = 0.01
MAX_SLOWDOWN_FACTOR = 1.5
# Share of the remaining capacity that a step leaves free.
RESERVE_FRACTION = 0.1
# Sizes of the first steps, while caches are cold, relative to a full step.
WARM_UP_FACTORS = (0.25, 0.5)
# After this many step periods of overload one step is undone.
STEP_BACK_AFTER_PERIODS = 2.0


class HoldReason(enum.Enum):
    """Why a movement does not advance."""

    NONE = ''
    PAUSED = 'paused'
    DONE = 'done'
    NOT_IN_FORCE = 'previous step is not in force everywhere'
    NO_MEASUREMENT = 'no recent measurement of the target'
    SHEDDING = 'target sheds load'
    SLOW = 'target is slow'
    NO_CAPACITY = 'target has too little capacity left'
    LINK_FULL = 'link has too little capacity left'
    NO_SPLIT = 'no traffic split declares the share of the source'
    CAP = 'the cap of the movement is reached'
    WAITING = 'waiting for the next step'


class MovementSpec(typing.NamedTuple):
    """Movement as declared by the operator.

    Attributes:
        name: the movement.
        target_share: share to move, 0 to 1.
        step_share: largest change of the share in one step.
        step_s: seconds between steps.
        cap_rps: maximum traffic to move, requests a second.
        paused: whether the share stays as it is.
    """

    name: str
    target_share: float
    step_share: float
    step_s: float
    cap_rps: float
    paused: bool


class TargetSignals(typing.NamedTuple):
    """Measurements of the movement's target.

    Attributes:
        in_force: whether the present share is in force at all instances.
        age_s: age of the measurements in seconds, None when there are none.
        shed_share: share of requests shed by the target, 0 to 1.
        latency_s: present latency of the target in seconds.
        total_rps: traffic of the client region for this service.
        capacity_left_rps: unused capacity of the target.
        link_left_rps: unused capacity of the link, infinite without a link.
    """

    in_force: bool
    age_s: float | None
    shed_share: float
    latency_s: float
    total_rps: float
    capacity_left_rps: float
    link_left_rps: float


class MovementState(typing.NamedTuple):
    """State of a movement, kept in the region plan.

    Attributes:
        share: share moved now, 0 to 1.
        steps: number of steps taken so far.
        stepped_at: time of the last step, seconds, monotonic.
        base_latency_s: latency of the target before the movement.
        degraded_since: time since which the target is overloaded, or None.
        hold: a :class:`HoldReason`.
    """

    share: float = 0.0
    steps: int = 0
    stepped_at: float = float('-inf')
    base_latency_s: float = 0.0
    degraded_since: float | None = None
    hold: HoldReason = HoldReason.NONE


def advance(spec, state, signals, now, stale_after_s=5.0):
    """Return the next state of a movement.

    Args:
        spec: a :class:`MovementSpec`.
        state: the present :class:`MovementState`.
        signals: a :class:`TargetSignals`.
        now: seconds, monotonic.
        stale_after_s: age in seconds above which measurements are ignored.
    """
    if state.steps == 0 and signals.age_s is not None:
        state = state._replace(base_latency_s=signals.latency_s)
    if spec.paused:
        return state._replace(hold=HoldReason.PAUSED)
    if state.share > spec.target_share:
        return _step_back(spec, state, signals, now)
    degradation = _degradation(state, signals, stale_after_s)
    if degradation is not HoldReason.NONE:
        return _hold_or_step_back(spec, state, degradation, now)
    state = state._replace(degraded_since=None)
    if state.share >= spec.target_share:
        return state._replace(hold=HoldReason.DONE)
    if not signals.in_force:
        return state._replace(hold=HoldReason.NOT_IN_FORCE)
    if now - state.stepped_at < spec.step_s:
        return state._replace(hold=HoldReason.WAITING)
    share, hold = _next_share(spec, state, signals)
    if share <= state.share:
        return state._replace(hold=hold)
    return state._replace(
        share=share,
        steps=state.steps + 1,
        stepped_at=now,
        hold=HoldReason.NONE,
    )


def _degradation(state, signals, stale_after_s):
    if signals.age_s is None or signals.age_s > stale_after_s:
        return HoldReason.NO_MEASUREMENT
    if signals.shed_share > MAX_SHED_SHARE:
        return HoldReason.SHEDDING
    slow = state.base_latency_s * MAX_SLOWDOWN_FACTOR
    if state.base_latency_s and signals.latency_s > slow:
        return HoldReason.SLOW
    return HoldReason.NONE


def _hold_or_step_back(spec, state, hold, now):
    if hold is HoldReason.NO_MEASUREMENT:
        return state._replace(hold=hold)
    if state.degraded_since is None:
        return state._replace(degraded_since=now, hold=hold)
    if now - state.degraded_since < STEP_BACK_AFTER_PERIODS * spec.step_s:
        return state._replace(hold=hold)
    return state._replace(
        share=max(state.share - spec.step_share, 0.0),
        stepped_at=now,
        degraded_since=now,
        hold=hold,
    )


def _step_back(spec, state, signals, now):
    """Lower the share towards a lower target share, also in steps.

    The caches of the source are cold by then, so moving traffic back is
    limited in the same way.
    """
    if not signals.in_force:
        return state._replace(hold=HoldReason.NOT_IN_FORCE)
    if now - state.stepped_at < spec.step_s:
        return state._replace(hold=HoldReason.WAITING)
    share = max(state.share - spec.step_share, spec.target_share)
    return state._replace(
        share=share,
        steps=state.steps + 1,
        stepped_at=now,
        hold=HoldReason.NONE,
    )


def _next_share(spec, state, signals):
    factor = 1.0
    if state.steps < len(WARM_UP_FACTORS):
        factor = WARM_UP_FACTORS[state.steps]
    wanted = min(state.share + spec.step_share * factor, spec.target_share)
    if signals.total_rps <= 0:
        return wanted, HoldReason.NONE
    bounds = (
        (spec.cap_rps / signals.total_rps, HoldReason.CAP),
        (
            _share_that_fits(state, signals.capacity_left_rps, signals),
            HoldReason.NO_CAPACITY,
        ),
        (
            _share_that_fits(state, signals.link_left_rps, signals),
            HoldReason.LINK_FULL,
        ),
    )
    bound, hold = min(bounds, key=lambda pair: pair[0])
    if bound < wanted:
        return bound, hold
    return wanted, HoldReason.NONE


def _share_that_fits(state, left_rps, signals):
    usable = max(left_rps * (1 - RESERVE_FRACTION), 0.0)
    return state.share + usable / signals.total_rps
