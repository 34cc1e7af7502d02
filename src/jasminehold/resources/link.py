"""The kind ``link``: a rate-limited path between two places."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds


class LinkSpec(typing.TypedDict):
    """Spec of a link; ``cap_rps`` is in requests per second."""

    from_place: str
    to_place: str
    cap_rps: float


def _check(spec, faults):
    fields.check_different(spec, 'from_place', 'to_place', faults)


def _references(spec):
    yield 'spec.from_place', 'place', spec['from_place']
    yield 'spec.to_place', 'place', spec['to_place']


KIND = kinds.ResourceKind(
    'link',
    {
        'from_place': fields.required(fields.name),
        'to_place': fields.required(fields.name),
        'cap_rps': fields.required(fields.number(0, 1e9)),
    },
    _check,
    _references,
)
