"""Order of the instances in a look-up answer.

Source: docs/design.md, section 3.4.
"""

import typing

from jasminehold.decisions import hashing

DEFAULT_INSTANCE_COUNT = 4


class Candidate(typing.NamedTuple):
    """An instance that may be listed in a look-up answer.

    Attributes:
        ident: id of the instance.
        place: its availability zone.
        region: its region.
        suspect: whether its peers have stopped hearing from it.
        cut_off: whether it has told that it has no path to the upstreams.
    """

    ident: str
    place: str
    region: str
    suspect: bool = False
    cut_off: bool = False


def order(
    entries, service, block, region, latencies, count=DEFAULT_INSTANCE_COUNT
):
    """Return instances for a caller, best first.

    Instances of the caller's region come first; a stable hash spreads callers
    over them. Where possible, the second instance is in another place and the
    last one in another region, so that callers have an alternative when a
    place or region fails. Suspect instances come last, because the instances
    of a failed region become suspect after 5 s but stay listed for 15 s.
    Instances without a path to the upstreams are left out while others remain.

    Args:
        entries: live instances as :class:`Candidate`, without those that are
            leaving.
        service: name of the service.
        block: the caller's address block.
        region: the caller's region, or None when unknown.
        latencies: ``{(from region, to region): seconds}``.
        count: maximum number of instances to return.

    Returns:
        Tuple of :class:`Candidate`.
    """

    def rank(entry):
        latency_s = 0.0
        if region is not None and entry.region != region:
            latency_s = latencies.get((region, entry.region), float('inf'))
        hash_value = hashing.number(service, block, entry.ident)
        return (entry.suspect, entry.cut_off, latency_s, hash_value)

    if any(not (entry.suspect or entry.cut_off) for entry in entries):
        entries = [entry for entry in entries if not entry.cut_off]
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
