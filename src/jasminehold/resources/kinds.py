"""Definition of a resource kind."""

import typing


def _no_check(spec, faults):
    pass


def _no_references(spec):
    return ()


class ResourceKind(typing.NamedTuple):
    """A resource kind.

    Attributes:
        name: name of the kind in URL paths and store keys.
        fields: :class:`fields.Field` by name of the ``spec`` field.
        check: ``check(spec, faults)`` for rules across fields; called after
            the checks of single fields passed.
        references: ``references(spec)`` yields ``(path, kind, name)`` for
            each resource that the spec refers to.
    """

    name: str
    fields: dict
    check: typing.Callable = _no_check
    references: typing.Callable = _no_references
