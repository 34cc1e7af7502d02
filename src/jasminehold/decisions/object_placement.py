"""Assignment of objects to upstreams.

An upstream is faster for objects that it handled recently, so the requests
for an object go to a few owners. Owners are chosen by weighted rendezvous
hashing: when an upstream joins or leaves, only its own objects move.
"""

import math

from jasminehold.decisions import hashing


def region_shares(demand, capacity):
    """Return how each region's demand is distributed over the regions.

    Each region serves its own demand up to its capacity. The excess goes to
    the other regions in proportion to their spare capacity, or to their total
    capacity if no region has any to spare.

    Args:
        demand: ``{region: amount}``.
        capacity: ``{region: amount}`` in the same unit.

    Returns:
        ``{region: {region: share}}``; the shares of a region sum to 1.
    """
    spare = {
        region: max(amount - demand.get(region, 0.0), 0.0)
        for region, amount in capacity.items()
    }
    total_spare = sum(spare.values())
    total = sum(capacity.values())
    result = {}
    for region, amount in demand.items():
        served_locally = min(amount, capacity.get(region, 0.0))
        local_share = served_locally / amount if amount else 1.0
        if not amount and not capacity.get(region):
            local_share = 0.0
        row = {}
        for other, region_capacity in capacity.items():
            fraction = 0.0
            if total_spare:
                fraction = spare[other] / total_spare
            elif total:
                fraction = region_capacity / total
            row[other] = (1.0 - local_share) * fraction
        if local_share:
            row[region] = row.get(region, 0.0) + local_share
        result[region] = row
    return result


def owners(key, weights):
    """Return upstream ids in order of ownership of an object.

    Args:
        key: the object's key.
        weights: ``{upstream id: weight}``; a weight of 0 sorts last.

    Returns:
        List of ids.
    """
    return sorted(weights, key=lambda name: _score(key, name, weights[name]))


def _score(key, name, weight):
    if weight <= 0:
        return math.inf
    point = hashing.point('owner', key, name)
    return -math.log(max(point, 1e-18)) / weight
