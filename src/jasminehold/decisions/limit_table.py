"""Limits of a region, derived from the declared resources.

Source: docs/design.md, section 3 (``limits``).
"""

import math
import typing

from jasminehold.decisions import limiters


def region_rate(region):
    """Return the id of a region's request rate limit."""
    return 'rate:region/' + region


def place_rate(place):
    """Return the id of a place's request rate limit."""
    return 'rate:place/' + place


def link_rate(from_place, to_place):
    """Return the id of a link's request rate limit."""
    return 'link:%s/%s' % (from_place, to_place)


def movement_rate(name):
    """Return the id of a movement's request rate limit."""
    return 'move:' + name


def upstream_slots(name):
    """Return the id of an upstream's limit on concurrent requests."""
    return 'slots:' + name


def upstream_connections(name):
    """Return the id of an upstream's limit on connections."""
    return 'conns:' + name


class Drains(typing.NamedTuple):
    """Drained upstreams and places, as returned by :func:`drain.targets`."""

    upstreams: frozenset
    places: frozenset


def region_limits(region, config, drained, legacy_load):
    """Return the limits that the plan of a region splits into shares.

    Args:
        region: name of the region.
        config: object with ``all(kind)``, which returns resource documents.
        drained: a :class:`Drains`.
        legacy_load: ``{region: requests per second}`` of the legacy
            steering system.

    Returns:
        List of :class:`limiters.Limit`.
    """
    places = {
        doc['metadata']['name']
        for doc in config.all('place')
        if doc['spec']['region'] == region
    }
    legacy_rps = math.ceil(legacy_load.get(region, 0.0))
    result = []
    for doc in config.all('region'):
        if doc['metadata']['name'] == region:
            amount = int(doc['spec']['capacity_rps'])
            result.append(
                limiters.Limit(
                    region_rate(region), amount, region, legacy_load=legacy_rps
                )
            )
    for doc in config.all('place'):
        name = doc['metadata']['name']
        if name in places:
            # The load of the legacy system is declared per region only, so it
            # is divided evenly among the region's places.
            result.append(
                limiters.Limit(
                    place_rate(name),
                    int(doc['spec']['capacity_rps']),
                    region,
                    legacy_load=math.ceil(legacy_rps / len(places)),
                    drained=name in drained.places,
                )
            )
    result += _upstream_limits(region, config, places, drained)
    result += _path_limits(region, config, places, drained)
    return result


def _upstream_limits(region, config, places, drained):
    result = []
    for doc in config.all('upstream'):
        name, spec = doc['metadata']['name'], doc['spec']
        if spec['place'] not in places:
            continue
        is_drained = (
            name in drained.upstreams or spec['place'] in drained.places
        )
        for limit_id, amount in (
            (upstream_slots(name), spec['slots']),
            (upstream_connections(name), spec['connections']),
        ):
            result.append(
                limiters.Limit(
                    limit_id,
                    amount,
                    region,
                    place=spec['place'],
                    group=spec['service'],
                    drained=is_drained,
                )
            )
    return result


def _path_limits(region, config, places, drained):
    result = []
    for doc in config.all('link'):
        spec = doc['spec']
        if spec['from_place'] in places:
            result.append(
                limiters.Limit(
                    link_rate(spec['from_place'], spec['to_place']),
                    int(spec['cap_rps']),
                    region,
                    place=spec['from_place'],
                )
            )
    for doc in config.all('movement'):
        spec = doc['spec']
        if spec['to_place'] in places:
            result.append(
                limiters.Limit(
                    movement_rate(doc['metadata']['name']),
                    int(spec['cap_rps']),
                    region,
                    drained=spec['to_place'] in drained.places,
                )
            )
    return result
