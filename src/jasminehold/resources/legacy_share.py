"""The kind ``legacy_share``: traffic that stays on the legacy system."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds


class LegacyShareSpec(typing.TypedDict, total=False):
    """Spec of a legacy share.

    ``host`` and ``port`` are the address of the legacy system; ``load_rps``
    is its declared load by region, in requests per second.
    """

    service: str
    share: float
    step_share: float
    step_seconds: float
    host: str
    port: int
    load_rps: dict[str, float]


def _references(spec):
    yield 'spec.service', 'service', spec['service']
    for region in spec.get('load_rps', {}):
        yield 'spec.load_rps.' + region, 'region', region


KIND = kinds.ResourceKind(
    'legacy_share',
    {
        'service': fields.required(fields.name),
        'share': fields.required(fields.number(0, 1)),
        'step_share': fields.Field(fields.number(0.001, 1), 0.05),
        'step_seconds': fields.Field(fields.number(0.1, 86400), 30),
        'host': fields.required(fields.ip),
        'port': fields.required(fields.integer(1, 65535)),
        'load_rps': fields.Field(
            fields.map_of(fields.number(0, 1e9), 1000), {}
        ),
    },
    references=_references,
)
