"""Which upstreams own an object.

An upstream works faster on objects that it handled lately, so the requests
for one object go to few upstreams. Owners come from weighted rendezvous
hashing: when an upstream joins or leaves, only its own objects move.
"""

import math

from jasminehold.decisions import hashing


def region_shares(demand, capacity):
    """Return how each region's demand is spread over the regions.

    Each region serves its own demand up to its capacity. What is over goes
    to the others in proportion to the capacity that they have left, or to
    all capacity when none is left.

    Args:
        demand: ``{region: amount}``.
        capacity: ``{region: amount}`` in the same unit.

    Returns:
        ``{region: {region: share}}``; the shares of a region add up to 1.
    """
    spare = {
        region: max(amount - demand.get(region, 0.0), 0.0)
        for region, amount in capacity.items()
    }
    total_spare = sum(spare.values())
    total = sum(capacity.values())
    result = {}
    for region, amount in demand.items():
        kept = min(amount, capacity.get(region, 0.0))
        home = kept / amount if amount else 1.0
        if not amount and not capacity.get(region):
            home = 0.0
        row = {}
        for other, room in capacity.items():
            part = 0.0
            if total_spare:
                part = spare[other] / total_spare
            elif total:
                part = room / total
            row[other] = (1.0 - home) * part
        if home:
            row[region] = row.get(region, 0.0) + home
        result[region] = row
    return result


def owners(key, weights):
    """Return upstream ids, the best owner of an object first.

    Args:
        key: the object's key.
        weights: ``{upstream id: weight}``; a weight of 0 comes last.

    Returns:
        List of ids.
    """
    return sorted(weights, key=lambda name: _score(key, name, weights[name]))


def _score(key, name, weight):
    if weight <= 0:
        return math.inf
    point = hashing.point('owner', key, name)
    return -math.log(max(point, 1e-18)) / weight
