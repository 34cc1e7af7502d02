"""Validators of single fields, combined into schemas of resource kinds.

A check is a function ``check(value, path, faults)`` that appends
``{'path', 'error'}`` to ``faults`` for each fault, so that all faults are
reported at once.
"""

import ipaddress
import math
import re
import typing

NAME = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')
NAME_RULE = 'must be 1 to 63 lower-case letters, digits and inner hyphens'
# A longer list would not help an operator and would cost memory.
MAX_FAULTS = 100


class Faults(list):
    """A list of at most :data:`MAX_FAULTS` faults."""

    def add(self, path, error):
        """Append one fault, unless the list is full."""
        if len(self) < MAX_FAULTS:
            self.append({'path': path, 'error': error})


class Field(typing.NamedTuple):
    """A field of an object.

    Attributes:
        check: check of the value.
        default: value of an absent field; :data:`REQUIRED` if the field must
            be present, None if absence has a meaning of its own.
    """

    check: typing.Callable
    default: object = None


REQUIRED = object()


def required(check):
    """Return a field that must be present."""
    return Field(check, REQUIRED)


def is_name(value):
    """Return whether a value is a valid resource name."""
    return isinstance(value, str) and NAME.fullmatch(value) is not None


def name(value, path, faults):
    """Check a resource name."""
    if not is_name(value):
        faults.add(path, NAME_RULE)


def name_or_any(value, path, faults):
    """Check a resource name or ``*``."""
    if value != '*' and not is_name(value):
        faults.add(path, NAME_RULE + ' or "*"')


def integer(low, high):
    """Return a check for an integer in a range."""

    def check(value, path, faults):
        if type(value) is not int or not low <= value <= high:
            faults.add(path, 'must be an integer from %d to %d' % (low, high))

    return check


def number(low, high):
    """Return a check for a finite number in a range."""

    def check(value, path, faults):
        if (
            type(value) not in (int, float)
            or not math.isfinite(value)
            or not low <= value <= high
        ):
            faults.add(path, 'must be a number from %g to %g' % (low, high))

    return check


def boolean(value, path, faults):
    """Check a boolean."""
    if not isinstance(value, bool):
        faults.add(path, 'must be true or false')


def choice(*values):
    """Return a check for one of the given strings."""

    def check(value, path, faults):
        if not isinstance(value, str) or value not in values:
            faults.add(path, 'must be one of ' + ', '.join(values))

    return check


def ip(value, path, faults):
    """Check an IP address."""
    try:
        if not isinstance(value, str):
            raise ValueError
        ipaddress.ip_address(value)
    except ValueError:
        faults.add(path, 'must be an IP address')


def cidr(value, path, faults):
    """Check an address block without host bits."""
    try:
        if not isinstance(value, str) or '/' not in value:
            raise ValueError
        ipaddress.ip_network(value)
    except ValueError:
        faults.add(path, 'must be an address block such as 10.1.0.0/16')


def url_prefix(value, path, faults):
    """Check a URL path prefix."""
    if not isinstance(value, str) or not re.fullmatch(r'/[!-~]{0,255}', value):
        faults.add(path, 'must begin with / and have at most 256 characters')


def list_of(check_item, max_items, min_items=0):
    """Return a check for a list."""

    def check(value, path, faults):
        if (
            not isinstance(value, list)
            or not min_items <= len(value) <= max_items
        ):
            faults.add(
                path,
                'must be a list of %d to %d items' % (min_items, max_items),
            )
            return
        for index, item in enumerate(value):
            check_item(item, '%s[%d]' % (path, index), faults)

    return check


def map_of(check_item, max_items, min_items=0):
    """Return a check for an object whose keys are resource names."""

    def check(value, path, faults):
        if (
            not isinstance(value, dict)
            or not min_items <= len(value) <= max_items
        ):
            faults.add(
                path,
                'must be an object of %d to %d entries'
                % (min_items, max_items),
            )
            return
        for key, item in value.items():
            name(key, '%s.%s' % (path, shorten(key)), faults)
            check_item(item, '%s.%s' % (path, shorten(key)), faults)

    return check


def struct(fields):
    """Return a check for an object with the given fields.

    Args:
        fields: :class:`Field` by name.
    """

    def check(value, path, faults):
        if not isinstance(value, dict):
            faults.add(path, 'must be an object')
            return
        for key in value:
            if key not in fields:
                faults.add(
                    '%s.%s' % (path, shorten(key)),
                    'unknown field; known: ' + ', '.join(sorted(fields)),
                )
        for key, field in fields.items():
            if key in value:
                field.check(value[key], '%s.%s' % (path, key), faults)
            elif field.default is REQUIRED:
                faults.add('%s.%s' % (path, key), 'is required')

    return check


def shorten(key):
    """Return an object key, shortened to 64 characters for messages."""
    text = str(key)
    return text if len(text) <= 64 else text[:61] + '...'


def shares_sum_to_one(shares, path, faults):
    """Check that shares sum to 1, within 1e-6."""
    values = [v for v in shares.values() if type(v) in (int, float)]
    if len(values) == len(shares) and abs(sum(values) - 1.0) > 1e-6:
        faults.add(path, 'must sum to 1, not %g' % sum(values))


def check_different(spec, first, second, faults):
    """Check that two fields of a spec differ."""
    if first in spec and spec[first] == spec.get(second):
        faults.add('spec.' + second, 'must differ from ' + first)
