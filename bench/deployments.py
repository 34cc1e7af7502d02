"""The two deployments of today, as declared limits."""

import typing

from jasminehold.decisions import limiters


class Deployment(typing.NamedTuple):
    """Regions with their places, services and latencies in seconds."""

    name: str
    places: dict
    services: dict
    near_s: float
    far_s: float


FERROMODELOS = Deployment(
    'ferromodelos',
    {
        'sul': ['sul-a', 'sul-b'],
        'sudeste': ['sudeste-a', 'sudeste-b'],
        'europa': ['europa-a', 'europa-b'],
    },
    {'loja': (16, 3, 330), 'oficina': (12, 3, 330)},
    0.0005,
    0.020,
)
KEDJEVERK = Deployment(
    'kedjeverk',
    {
        'se-mid': ['mid-a', 'mid-b'],
        'se-nord': ['nord-a', 'nord-b'],
        'se-syd': ['syd-a', 'syd-b'],
    },
    {'verkstad-app': (22, 7, 390), 'lager-app': (14, 8, 390)},
    0.0015,
    0.035,
)
BY_NAME = {one.name: one for one in (FERROMODELOS, KEDJEVERK)}


def region_of(deployment, place):
    """Return the region of a place."""
    for region, places in deployment.places.items():
        if place in places:
            return region
    raise KeyError(place)


def all_places(deployment):
    """Return all places, region by region."""
    return [name for names in deployment.places.values() for name in names]


def declared_limits(deployment, rate=60):
    """Return the limits of a deployment.

    Args:
        deployment: a :class:`Deployment`.
        rate: requests a second of one region.
    """
    result = []
    places = all_places(deployment)
    for service, (count, slots, conns) in deployment.services.items():
        for index in range(count):
            place = places[index % len(places)]
            region = region_of(deployment, place)
            name = '%s-%d' % (service, index)
            for kind, amount in (('slots', slots), ('conns', conns)):
                result.append(
                    limiters.Limit(
                        '%s:%s' % (kind, name), amount, region, place, service
                    )
                )
    for region, names in deployment.places.items():
        result.append(limiters.Limit('rate:' + region, rate, region))
        for place in names:
            result.append(
                limiters.Limit('rate:' + place, rate * 2 // 3, region, place)
            )
        result.append(
            limiters.Limit('link:%s-out' % region, rate // 2, region)
        )
        result.append(limiters.Limit('move:from-' + region, 24, region))
    return result
