"""Share of client blocks that the legacy steering system keeps.

Source: docs/design.md, section 3 (``legacy``).
"""

import typing

from jasminehold.decisions import hashing


class LegacyState(typing.NamedTuple):
    """State of the share, kept in the region plan.

    Attributes:
        share: present share of blocks steered by the legacy system, 0 to 1.
        stepped_at: time of the last step, seconds, monotonic.
    """

    share: float = 1.0
    stepped_at: float = float('-inf')


def is_legacy_block(service, block, share):
    """Return whether a block is steered by the legacy system.

    The legacy blocks at a lower share are a subset of those at a higher
    share, so a step moves only the difference.

    Args:
        service: the service.
        block: the client block.
        share: share of the legacy system, 0 to 1.
    """
    return hashing.point('legacy', service, block) < share


def advance(target, step_share, step_s, state, in_force, now):
    """Return the next state, one step towards the declared share if due.

    Args:
        target: declared share, 0 to 1.
        step_share: maximum change in one step.
        step_s: seconds between steps.
        state: the present :class:`LegacyState`.
        in_force: whether the present share is in force at all instances.
        now: seconds, monotonic.
    """
    if state.share == target or not in_force:
        return state
    if now - state.stepped_at < step_s:
        return state
    change = min(max(target - state.share, -step_share), step_share)
    return LegacyState(state.share + change, now)


class PeakShares:
    """Maximum of each share over a recent period, to estimate load.

    Callers cache lookup results, so a lowered share is counted with its
    previous value until these have expired.

    Args:
        hold_s: seconds for which the previous value counts.
    """

    def __init__(self, hold_s=5.0):
        self._hold_s = hold_s
        self._recent = {}

    def update(self, shares, now):
        """Record the present shares and return those to count as load.

        Args:
            shares: ``{service: share}``.
            now: seconds, monotonic.
        """
        counted = {}
        for service, share in shares.items():
            recent = [
                (at, value)
                for at, value in self._recent.get(service, [])
                if now - at < self._hold_s
            ]
            counted[service] = max([share] + [value for _, value in recent])
            self._recent[service] = recent + [(now, share)]
        for service in set(self._recent) - set(shares):
            del self._recent[service]
        return counted


def region_loads(specs, counted):
    """Return the legacy system's load by region, requests per second.

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
