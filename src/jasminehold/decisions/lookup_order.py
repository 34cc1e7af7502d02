"""Which instances a caller should use, in order.

Source: docs/design.md, section 3.4.
"""

import typing

from jasminehold.decisions import hashing

DEFAULT_COUNT = 4


class Entry(typing.NamedTuple):
    """An instance that callers may be given.

    Attributes:
        ident: the instance.
        place: its place.
        region: its region.
    """

    ident: str
    place: str
    region: str


def order(entries, service, block, region, latencies, count=DEFAULT_COUNT):
    """Return instances for a caller, best first.

    Instances of the caller's region come first, spread over callers by a
    stable hash. The second one is in another place where there is one, so
    that a failed place leaves the caller an alternative.

    Args:
        entries: live instances as :class:`Entry`; leaving ones are left out.
        service: the service.
        block: the caller's block.
        region: the caller's region, or None when unknown.
        latencies: ``{(region, region): seconds}``.
        count: most instances in the answer.

    Returns:
        Tuple of :class:`Entry`.
    """

    def rank(entry):
        distance = 0.0
        if region is not None and entry.region != region:
            distance = latencies.get((region, entry.region), float('inf'))
        return (distance, hashing.number(service, block, entry.ident))

    ranked = sorted(entries, key=rank)
    if len(ranked) > 2:
        first = ranked[0]
        for index, entry in enumerate(ranked[1:], 1):
            if entry.place != first.place:
                ranked.insert(1, ranked.pop(index))
                break
    return tuple(ranked[:count])
