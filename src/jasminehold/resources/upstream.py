"""The kind ``upstream``: a backend server of a service."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds


class UpstreamSpec(typing.TypedDict):
    """Spec of an upstream.

    ``slots`` and ``connections`` are the numbers of concurrent requests and
    of open connections that it accepts.
    """

    service: str
    place: str
    host: str
    port: int
    slots: int
    connections: int


def _references(spec):
    yield 'spec.service', 'service', spec['service']
    yield 'spec.place', 'place', spec['place']


KIND = kinds.ResourceKind(
    'upstream',
    {
        'service': fields.required(fields.name),
        'place': fields.required(fields.name),
        'host': fields.required(fields.ip),
        'port': fields.required(fields.integer(1, 65535)),
        'slots': fields.required(fields.integer(1, 10000)),
        'connections': fields.required(fields.integer(1, 1000000)),
    },
    references=_references,
)
