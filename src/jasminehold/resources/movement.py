"""The kind ``movement``: a gradual shift of traffic between places."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds


class MovementSpec(typing.TypedDict, total=False):
    """Spec of a movement.

    ``target_share`` is the final share of ``from_place``'s traffic that goes
    to ``to_place``. The shifted traffic never exceeds ``cap_rps``.
    """

    service: str
    client_region: str
    from_place: str
    to_place: str
    target_share: float
    cap_rps: float
    step_share: float
    step_seconds: float
    paused: bool


def _check(spec, faults):
    fields.check_different(spec, 'from_place', 'to_place', faults)


def _references(spec):
    yield 'spec.service', 'service', spec['service']
    if spec.get('client_region', '*') != '*':
        yield 'spec.client_region', 'region', spec['client_region']
    yield 'spec.from_place', 'place', spec['from_place']
    yield 'spec.to_place', 'place', spec['to_place']


KIND = kinds.ResourceKind(
    'movement',
    {
        'service': fields.required(fields.name),
        'client_region': fields.Field(fields.name_or_any, '*'),
        'from_place': fields.required(fields.name),
        'to_place': fields.required(fields.name),
        'target_share': fields.required(fields.number(0, 1)),
        'cap_rps': fields.required(fields.number(0, 1e9)),
        'step_share': fields.Field(fields.number(0.001, 1), 0.05),
        'step_seconds': fields.Field(fields.number(0.1, 86400), 30),
        'paused': fields.Field(fields.boolean, False),
    },
    _check,
    _references,
)
