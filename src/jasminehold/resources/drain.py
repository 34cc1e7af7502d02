"""The kind ``drain``: no new requests to an upstream, place or region."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds


class DrainSpec(typing.TypedDict, total=False):
    """Spec of a drain: its target and the deadline in seconds."""

    target_kind: str
    target_name: str
    deadline_s: float


def _references(spec):
    yield 'spec.target_name', spec['target_kind'], spec['target_name']


KIND = kinds.ResourceKind(
    'drain',
    {
        'target_kind': fields.required(
            fields.choice('upstream', 'place', 'region')
        ),
        'target_name': fields.required(fields.name),
        'deadline_s': fields.Field(fields.number(0, 86400), 300),
    },
    references=_references,
)
