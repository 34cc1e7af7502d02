"""Decoding of untrusted JSON at a bounded cost."""

import json
import re

from jasminehold import errors

# The deepest field of any kind is at level 5 of a document.
MAX_DEPTH = 12

# An open string runs to the end, so that each byte is looked at once.
_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"?', re.DOTALL)
_BRACKET = re.compile(rb'[\[\]{}]')


def decode(body):
    """Parse a JSON body.

    The nesting is measured before parsing, without recursion, so a deep body
    cannot exhaust the stack.

    Args:
        body: bytes in UTF-8.

    Returns:
        The parsed value.

    Raises:
        RequestError: of kind ``BAD_REQUEST`` when it is no JSON, nested too
            deeply, has a key twice or a number that JSON does not know.
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
