"""Share of client blocks that stays with the older steering system.

Source: docs/design.md, section 3 (``legacy``).
"""

import typing

from jasminehold.decisions import hashing


class LegacyState(typing.NamedTuple):
    """State of the share, kept in the region plan.

    Attributes:
        share: share of blocks that the older system steers now, 0 to 1.
        stepped_at: when the last step was made, seconds, monotonic.
    """

    share: float = 1.0
    stepped_at: float = float('-inf')


def stays(service, block, share):
    """Return whether a block is steered by the older system.

    The blocks that stay at a lower share are a subset of those that stay at
    a higher one, so a step moves only the difference.

    Args:
        service: the service.
        block: the client block.
        share: share of the older system, 0 to 1.
    """
    return hashing.point('legacy', service, block) < share


def advance(target, step_share, step_s, state, in_force, now):
    """Return the next state on the way to the declared share.

    Args:
        target: declared share, 0 to 1.
        step_share: largest change in one step.
        step_s: seconds between steps.
        state: the present :class:`LegacyState`.
        in_force: whether the present share is in force everywhere.
        now: seconds, monotonic.
    """
    if state.share == target or not in_force:
        return state
    if now - state.stepped_at < step_s:
        return state
    change = min(max(target - state.share, -step_share), step_share)
    return LegacyState(state.share + change, now)


def load_left(load_rps, declared, share):
    """Return the load of the older system to count, requests a second.

    Callers keep an answer for a while, so the load of a share that is being
    lowered counts with the higher of the two values until the step after.

    Args:
        load_rps: load that the operator declared for ``declared``.
        declared: share at which the load was declared, 0 to 1.
        share: the share in force, 0 to 1.
    """
    if declared <= 0:
        return load_rps if share > 0 else 0.0
    return load_rps * min(max(share / declared, 0.0), 1.0)
