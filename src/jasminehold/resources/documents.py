"""Types of resource documents."""

import typing


class Metadata(typing.TypedDict, total=False):
    """Name and versions of a resource.

    ``resource_version`` is the version that the platform assigns; it is
    returned by reads but not stored in the document. ``generation``
    increases when ``spec`` changes.
    """

    name: str
    resource_version: int
    generation: int


class Change(typing.TypedDict):
    """The last change of a document, stored in the document."""

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
    """Status of a resource; computed by instances, never stored."""

    observed_generation: int
    conditions: list[Condition]


class Document(typing.TypedDict):
    """A resource, as in the platform's store and in the config."""

    kind: str
    metadata: Metadata
    spec: dict
    change: Change
    deleted: bool


class AuditEntry(typing.TypedDict):
    """An entry of the audit log, keyed by the version of the change."""

    version: int
    kind: str
    name: str
    change: Change
