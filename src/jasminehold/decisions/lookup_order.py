"""Which instances a caller should use, in order.

Source: docs/design.md, section 3.4.
"""

import typing

from jasminehold.decisions import hashing

DEFAULT_COUNT = 4


class Candidate(typing.NamedTuple):
    """An instance that callers may be given.

    Attributes:
        ident: the instance.
        place: its place.
        region: its region.
        suspect: whether its peers have not heard from it lately.
    """

    ident: str
    place: str
    region: str
    suspect: bool = False


def order(entries, service, block, region, latencies, count=DEFAULT_COUNT):
    """Return instances for a caller, best first.

    Instances of the caller's region come first, spread over callers by a
    stable hash. The second one is in another place and the last one in
    another region where there is one, so that a failed place or region leaves
    the caller an alternative. Suspect instances come last: a whole region
    that failed is suspect 5 s after its end but listed for 15 s.

    Args:
        entries: live instances as :class:`Candidate`; leaving ones are left out.
        service: the service.
        block: the caller's block.
        region: the caller's region, or None when unknown.
        latencies: ``{(region, region): seconds}``.
        count: most instances in the answer.

    Returns:
        Tuple of :class:`Candidate`.
    """

    def rank(entry):
        distance = 0.0
        if region is not None and entry.region != region:
            distance = latencies.get((region, entry.region), float('inf'))
        point = hashing.number(service, block, entry.ident)
        return (entry.suspect, distance, point)

    ranked = sorted(entries, key=rank)
    if len(ranked) > 2:
        first = ranked[0]
        for index, entry in enumerate(ranked[1:], 1):
            if entry.place != first.place and not entry.suspect:
                ranked.insert(1, ranked.pop(index))
                break
    chosen = ranked[:count]
    if len({entry.region for entry in chosen}) == 1 and count > 2:
        for entry in ranked[count:]:
            if entry.region != chosen[0].region:
                chosen[-1] = entry
                break
    return tuple(chosen)
