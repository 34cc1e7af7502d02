"""Two-level plans: a region's shares per place, then per instance.

The members of the region's plan are places. :func:`plan.next_plan` builds the
plan of each place from the place's shares in the region's plan. A place
acknowledges the region's plan in the same way as an instance.
"""

from jasminehold.decisions import plan


def limits_of_place(parent, place, declared):
    """Return the limits that apply to a place's plan.

    Args:
        parent: plan of the region, with places as members.
        place: name of the availability zone.
        declared: the region's limits, list of :class:`limiters.Limit`.
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
    """Return the acknowledgement of the region's plan by a place.

    Args:
        parent: newest plan of the region known to the place.
        place: name of the availability zone.
        before: last acknowledgement of the place, ``(version, lagging)``.
        stored: newest stored plan of the place.
        inputs: :class:`plan.Inputs` of the place's planner.

    Returns:
        ``(version, {limit id: older version})``. A limit stays at an older
        version while the largest possible use under the place's plan exceeds
        the place's new share.
    """
    if parent['version'] <= before[0]:
        lagging = dict(before[1])
    else:
        lagging = {
            limit_id: before[1].get(limit_id, before[0])
            for limit_id in parent['shares'].keys() | stored['held'].keys()
        }
    for limit_id in list(lagging):
        histories = plan.outstanding_shares(stored, inputs, limit_id).values()
        max_use = sum(history[0][1] for history in histories)
        share = parent['shares'].get(limit_id, {}).get(place, 0)
        if max_use <= share:
            del lagging[limit_id]
    return max(parent['version'], before[0]), lagging
