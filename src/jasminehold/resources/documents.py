"""Types of resource documents."""

import typing


class Metadata(typing.TypedDict, total=False):
    """Name and versions of a resource.

    ``resource_version`` is the platform's version; it is shown, and not
    stored in the document. ``generation`` rises when ``spec`` changes.
    """

    name: str
    resource_version: int
    generation: int


class Change(typing.TypedDict):
    """The last change of a document, stored within it."""

    id: str
    actor: str
    time: float
    verb: str
    from_version: int
    generation: int


class Condition(typing.TypedDict, total=False):
    """One condition of a status."""

    type: str
    status: str
    reason: str
    message: str


class Status(typing.TypedDict, total=False):
    """Status of a resource, computed by instances and never stored."""

    observed_generation: int
    conditions: list[Condition]


class Document(typing.TypedDict):
    """A resource as stored at the platform and held in the config."""

    kind: str
    metadata: Metadata
    spec: dict
    change: Change
    deleted: bool


class AuditEntry(typing.TypedDict):
    """One entry of the audit trail, stored under the change's version."""

    version: int
    kind: str
    name: str
    change: Change
