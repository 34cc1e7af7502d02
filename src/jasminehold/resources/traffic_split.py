"""The kind ``traffic_split``: shares of traffic of a service by place."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds


class TrafficSplitSpec(typing.TypedDict):
    """Spec of a split; a ``client_region`` of ``*`` matches any region."""

    service: str
    client_region: str
    shares: dict[str, float]


def _check(spec, faults):
    fields.shares_sum_to_one(spec['shares'], 'spec.shares', faults)


def _references(spec):
    yield 'spec.service', 'service', spec['service']
    if spec['client_region'] != '*':
        yield 'spec.client_region', 'region', spec['client_region']
    for place in spec['shares']:
        yield 'spec.shares.' + place, 'place', place


KIND = kinds.ResourceKind(
    'traffic_split',
    {
        'service': fields.required(fields.name),
        'client_region': fields.required(fields.name_or_any),
        'shares': fields.required(fields.map_of(fields.number(0, 1), 1000, 1)),
    },
    _check,
    _references,
)
