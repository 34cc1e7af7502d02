"""The kind ``service``: request handling options of a service."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds

# The functional syntax is needed because ``class`` is a keyword.
PriorityPath = typing.TypedDict('PriorityPath', {'path': str, 'class': str})


class LegacyAddress(typing.TypedDict):
    """Address of the legacy system for this service."""

    host: str
    port: int


class ServiceSpec(typing.TypedDict, total=False):
    """Spec of a service.

    ``retry_budget`` is the maximum ratio of retries to requests.
    ``probe_path`` is the path of the load and health endpoint of the
    upstreams.
    """

    idempotent_methods: list[str]
    idempotent_paths: list[str]
    request_timeout_ms: int
    priority_paths: list[PriorityPath]
    retry_budget: float
    legacy: LegacyAddress
    probe_path: str


_PRIORITY_PATH = fields.struct(
    {
        'path': fields.required(fields.url_prefix),
        'class': fields.required(fields.choice('order', 'normal')),
    }
)
_METHOD = fields.choice(
    'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'
)
ADDRESS = fields.struct(
    {
        'host': fields.required(fields.ip),
        'port': fields.required(fields.integer(1, 65535)),
    }
)

KIND = kinds.ResourceKind(
    'service',
    {
        'idempotent_methods': fields.Field(
            fields.list_of(_METHOD, 7), ['GET', 'HEAD', 'OPTIONS']
        ),
        'idempotent_paths': fields.Field(
            fields.list_of(fields.url_prefix, 100), []
        ),
        # The time after which the slots of an instance that is out of
        # contact are given to others assumes request deadlines of at most
        # 30 s.
        'request_timeout_ms': fields.Field(fields.integer(10, 30000), 10000),
        'priority_paths': fields.Field(
            fields.list_of(_PRIORITY_PATH, 100), []
        ),
        'retry_budget': fields.Field(fields.number(0, 1), 0.1),
        'legacy': fields.Field(ADDRESS),
        'probe_path': fields.Field(fields.url_prefix),
    },
)
