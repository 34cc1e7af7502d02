"""The kind ``place``: an availability zone."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds


class PlaceSpec(typing.TypedDict, total=False):
    """Spec of a place; ``latency_ms`` is in milliseconds by place."""

    region: str
    capacity_rps: float
    latency_ms: dict[str, float]


def _references(spec):
    yield 'spec.region', 'region', spec['region']


KIND = kinds.ResourceKind(
    'place',
    {
        'region': fields.required(fields.name),
        'capacity_rps': fields.required(fields.number(0, 1e9)),
        # Not checked as references: these places may be declared later.
        'latency_ms': fields.Field(
            fields.map_of(fields.number(0, 60000), 1000), {}
        ),
    },
    references=_references,
)
