"""The limits that the declared resources set, by home region.

Source: docs/design.md, section 3 (``limits``).
"""

import math
import typing

from jasminehold.decisions import limiters


def region_rate(region):
    """Return the id of a region's limit."""
    return 'rate:region/' + region


def place_rate(place):
    """Return the id of a place's limit."""
    return 'rate:place/' + place


def link_rate(from_place, to_place):
    """Return the id of a link's limit."""
    return 'link:%s/%s' % (from_place, to_place)


def movement_rate(name):
    """Return the id of a movement's limit."""
    return 'move:' + name


def upstream_slots(name):
    """Return the id of an upstream's limit on concurrent requests."""
    return 'slots:' + name


def upstream_connections(name):
    """Return the id of an upstream's limit on connections."""
    return 'conns:' + name


class Drains(typing.NamedTuple):
    """Targets that take no new work, as :func:`drain.targets` gives them."""

    upstreams: frozenset
    places: frozenset


def region_limits(region, config, drained, legacy_load):
    """Return the limits whose home is a region.

    Args:
        region: the region.
        config: object with ``all(kind)``, which gives documents.
        drained: a :class:`Drains`.
        legacy_load: ``{region: requests a second}`` of the older system.

    Returns:
        List of :class:`limiters.Limit`.
    """
    places = {
        doc['metadata']['name']
        for doc in config.all('place')
        if doc['spec']['region'] == region
    }
    load = math.ceil(legacy_load.get(region, 0.0))
    found = []
    for doc in config.all('region'):
        if doc['metadata']['name'] == region:
            amount = int(doc['spec']['capacity_rps'])
            found.append(
                limiters.Limit(
                    region_rate(region), amount, region, legacy_load=load
                )
            )
    for doc in config.all('place'):
        name = doc['metadata']['name']
        if name in places:
            # The older system's load on a place is not declared, so it is
            # spread over the region's places.
            found.append(
                limiters.Limit(
                    place_rate(name),
                    int(doc['spec']['capacity_rps']),
                    region,
                    legacy_load=math.ceil(load / len(places)),
                    drained=name in drained.places,
                )
            )
    found += _upstream_limits(region, config, places, drained)
    found += _path_limits(region, config, places, drained)
    return found


def _upstream_limits(region, config, places, drained):
    found = []
    for doc in config.all('upstream'):
        name, spec = doc['metadata']['name'], doc['spec']
        if spec['place'] not in places:
            continue
        out = name in drained.upstreams or spec['place'] in drained.places
        for limit_id, amount in (
            (upstream_slots(name), spec['slots']),
            (upstream_connections(name), spec['connections']),
        ):
            found.append(
                limiters.Limit(
                    limit_id,
                    amount,
                    region,
                    place=spec['place'],
                    group=spec['service'],
                    drained=out,
                )
            )
    return found


def _path_limits(region, config, places, drained):
    found = []
    for doc in config.all('link'):
        spec = doc['spec']
        if spec['from_place'] in places:
            found.append(
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
            found.append(
                limiters.Limit(
                    movement_rate(doc['metadata']['name']),
                    int(spec['cap_rps']),
                    region,
                    drained=spec['to_place'] in drained.places,
                )
            )
    return found
