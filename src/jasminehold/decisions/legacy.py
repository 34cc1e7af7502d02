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


def is_legacy_block(service, block, share):
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


class PeakShares:
    """Shares to count as load while callers may still use older answers.

    A lowered share counts with its former value until callers have dropped
    the look-up answers that they keep.

    Args:
        hold_s: seconds for which the former value counts.
    """

    def __init__(self, hold_s=5.0):
        self._hold = hold_s
        self._known = {}

    def update(self, shares, now):
        """Take the present shares and return those to count.

        Args:
            shares: ``{service: share}``.
            now: seconds, monotonic.
        """
        counted = {}
        for service, share in shares.items():
            peaks = [
                (at, value)
                for at, value in self._known.get(service, [])
                if now - at < self._hold
            ]
            counted[service] = max([share] + [value for _, value in peaks])
            self._known[service] = peaks + [(now, share)]
        for service in set(self._known) - set(shares):
            del self._known[service]
        return counted


def region_loads(specs, counted):
    """Return the older system's load by region, requests a second.

    Args:
        specs: specs of the kind ``legacy_share``; ``load_rps`` is the load
            at a share of 1.
        counted: ``{service: share}`` to count.
    """
    loads = {}
    for spec in specs:
        share = counted.get(spec['service'], spec['share'])
        for region, load in spec.get('load_rps', {}).items():
            loads[region] = loads.get(region, 0.0) + load * share
    return loads
