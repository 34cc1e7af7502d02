"""Answers to callers' look-ups."""

import functools

from jasminehold.decisions import legacy
from jasminehold.decisions import lookup_order
from jasminehold import errors

# Answers of one membership and configuration are equal for equal questions.
CACHE_SIZE = 20000


def make_lookup(tables, entries, ttl):
    """Return the function that answers look-ups.

    Args:
        tables: the :class:`tables.Tables`.
        entries: function that returns ``(version, instances)``: the live
            instances as ``{id: (lookup_order.Candidate, host, port)}`` and a
            number that changes with them or with the tables.
        ttl: seconds for which a caller may keep an answer.

    Returns:
        ``answer(service, block) -> dict``; it raises ``RequestError`` for an
        unknown service or a malformed block.
    """

    @functools.lru_cache(CACHE_SIZE)
    def cached(service, block, version):
        return _answer(tables, entries()[1], ttl, service, block)

    def answer(service, block):
        return cached(service, block, entries()[0])

    return answer


def _answer(tables, instances, ttl, service, block):
    declared = tables.services.get(service)
    if declared is None:
        raise errors.RequestError(errors.Kind.UNKNOWN_SERVICE)
    try:
        region, _ = tables.locate(block)
    except ValueError as exc:
        raise errors.RequestError(
            errors.Kind.BAD_REQUEST, 'The block is not an IP address.'
        ) from exc
    result = {'service': service, 'block': block, 'ttl': ttl}
    if declared.legacy is not None:
        share, host, port = declared.legacy
        if legacy.is_legacy_block(service, block, share):
            older = {'id': 'older', 'host': host, 'port': port, 'place': ''}
            result.update(system='older', instances=[older])
            return result
    ordered = lookup_order.order(
        [item[0] for item in instances.values()],
        service,
        block,
        region,
        tables.region_latencies,
    )
    result['system'] = 'jasminehold'
    result['instances'] = [
        {
            'id': entry.ident,
            'host': instances[entry.ident][1],
            'port': instances[entry.ident][2],
            'place': entry.place,
        }
        for entry in ordered
    ]
    return result
