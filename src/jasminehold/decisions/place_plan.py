"""Hierarchical plans: shares per place, then per instance.

The region's plan has places as members. Each place's plan is built by the
same :func:`plan.next_plan` from the limits that the place was given, and the
place acknowledges the region's plan as an instance would.
"""

from jasminehold.decisions import plan


def limits_of_place(parent, place, declared):
    """Return the limits of a place's plan.

    Args:
        parent: plan of the region, with places as members.
        place: name of the place.
        declared: the region's limits.
    """
    return [
        limit._replace(
            amount=parent['shares'].get(limit.id, {}).get(place, 0),
            legacy_load=0,
            drained=False,
        )
        for limit in declared
    ]


def acked_by_place(parent, place, before, stored, inputs):
    """Return what a place acknowledges of the region's plan.

    Args:
        parent: newest plan of the region that the place knows.
        place: name of the place.
        before: what the place acknowledged last, ``(version, lagging)``.
        stored: newest plan of the place.
        inputs: :class:`plan.Inputs` of the place's planner.

    Returns:
        ``(version, {limit: older version})``; a limit lags while the worst
        case of the place's plan exceeds the new share of the place.
    """
    if parent['version'] <= before[0]:
        lagging = dict(before[1])
    else:
        lagging = {
            limit_id: before[1].get(limit_id, before[0])
            for limit_id in parent['shares'].keys() | stored['held'].keys()
        }
    for limit_id in list(lagging):
        histories = plan.pending(stored, inputs, limit_id).values()
        worst = sum(history[0][1] for history in histories)
        share = parent['shares'].get(limit_id, {}).get(place, 0)
        if worst <= share:
            del lagging[limit_id]
    return max(parent['version'], before[0]), lagging
