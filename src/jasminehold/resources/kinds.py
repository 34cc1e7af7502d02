"""The type that describes one resource kind."""

import typing


def _no_check(spec, faults):
    pass


def _no_references(spec):
    return ()


class ResourceKind(typing.NamedTuple):
    """A resource kind.

    Attributes:
        name: the kind's name in paths and keys.
        fields: map from the name of each ``spec`` field to its
            :class:`fields.Field`.
        check: ``check(spec, faults)`` for rules between fields; ``spec``
            passed the checks of its fields.
        references: ``references(spec)`` yields ``(path, kind, name)`` for
            each resource that the spec names.
    """

    name: str
    fields: dict
    check: typing.Callable = _no_check
    references: typing.Callable = _no_references
