"""The kind ``region``: a group of places that share a capacity."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds


class RegionSpec(typing.TypedDict):
    """Spec of a region; ``capacity_rps`` is in requests per second."""

    capacity_rps: float


KIND = kinds.ResourceKind(
    'region', {'capacity_rps': fields.required(fields.number(0, 1e9))}
)
