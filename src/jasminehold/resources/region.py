"""The kind ``region``: a group of places with a common capacity."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds


class RegionSpec(typing.TypedDict):
    """Spec of a region: capacity in requests a second."""

    capacity_rps: float


KIND = kinds.ResourceKind(
    'region', {'capacity_rps': fields.required(fields.number(0, 1e9))}
)
