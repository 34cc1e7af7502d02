"""Answers to lookups of callers."""

import functools

from jasminehold.decisions import legacy
from jasminehold.decisions import lookup_order
from jasminehold import errors

# Equal lookups get the same answer until the view's version changes.
MAX_CACHED_ANSWERS = 20000


def make_lookup(tables, view, ttl, may_deny):
    """Return the function that answers lookups.

    Args:
        tables: the :class:`tables.Tables`.
        view: function that returns ``(version, instances)``. ``instances``
            are the live instances as ``{id: (lookup_order.Candidate, host,
            port)}``; ``version`` is a number that changes with them or with
            the tables.
        ttl: seconds for which a caller may cache an answer.
        may_deny: function that returns whether a service that is not in the
            tables is certainly not declared.

    Returns:
        ``answer(service, block) -> dict``, which raises ``RequestError`` for
        an unknown service or a malformed block.
    """

    @functools.lru_cache(MAX_CACHED_ANSWERS)
    def cached_answer(service, block, version):
        return _answer(tables, view()[1], ttl, service, block)

    def answer(service, block):
        if service not in tables.services:
            kind = errors.Kind.UNAVAILABLE
            if may_deny():
                kind = errors.Kind.UNKNOWN_SERVICE
            raise errors.RequestError(kind)
        return cached_answer(service, block, view()[0])

    return answer


def _answer(tables, instances, ttl, service, block):
    declared = tables.services[service]
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
            legacy_instance = {
                'id': 'older',
                'host': host,
                'port': port,
                'place': '',
            }
            result.update(system='older', instances=[legacy_instance])
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
