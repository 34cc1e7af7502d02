"""Decoding of untrusted JSON at bounded cost."""

import json
import re

from jasminehold import errors

# Documents of the known kinds are at most 5 levels deep.
MAX_DEPTH = 12

# An unterminated string matches up to the end of the body, which keeps the
# scan linear.
_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"?', re.DOTALL)
_BRACKET = re.compile(rb'[\[\]{}]')


def decode(body):
    """Parse a JSON body.

    The nesting depth is checked before parsing, without recursion, so a
    deeply nested body cannot exhaust the stack.

    Args:
        body: bytes in UTF-8.

    Returns:
        The parsed value.

    Raises:
        RequestError: of kind ``BAD_REQUEST`` if the body is not valid JSON,
            is nested too deeply, repeats a key or has a number that JSON
            does not define, such as ``NaN``.
    """
    if _nesting_depth(body) > MAX_DEPTH:
        raise errors.RequestError(
            errors.Kind.BAD_REQUEST,
            'The body is nested deeper than %d levels.' % MAX_DEPTH,
        )
    try:
        return json.loads(
            body.decode('utf-8'),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as exc:
        raise errors.RequestError(
            errors.Kind.BAD_REQUEST, 'The body is not valid JSON: %s' % exc
        ) from exc


def _nesting_depth(body):
    depth = max_depth = 0
    for match in _BRACKET.finditer(_STRING.sub(b'', body)):
        if match.group() in b'[{':
            depth += 1
            if depth > MAX_DEPTH:
                return depth
            max_depth = max(max_depth, depth)
        else:
            depth -= 1
    return max_depth


def _reject_duplicate_keys(pairs):
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError('an object has a key twice')
    return result


def _reject_constant(text):
    raise ValueError('%s is not allowed' % text)
