"""Entries of instances in the store."""

import math

from jasminehold import documents
from jasminehold import errors
from jasminehold.platform import wire

# Requests per second that an instance carries whose entry does not tell.
DEFAULT_ROOM = 100.0
_NAMES = ('callers', 'place', 'region', 'peers')
_NAME_MAX_CHARS = 1024


def decode(value):
    """Return the document of an instance.

    Args:
        value: bytes.

    Returns:
        A dictionary with the addresses ``callers`` and ``peers``, ``place``,
        ``region`` and ``room`` in requests per second.

    Raises:
        UnreadableDocument: if the value names no instance.
    """
    raw = documents.decode(value)
    documents.check(raw, dict.fromkeys(_NAMES, str))
    doc = {name: raw[name] for name in _NAMES}
    # Instances of an older version do not tell theirs.
    room = raw.get('room', DEFAULT_ROOM)
    try:
        wire.decode_address(doc['callers'])
        wire.decode_address(doc['peers'])
        doc['room'] = float(room)
    except (TypeError, ValueError, OverflowError) as exc:
        raise errors.UnreadableDocument(str(exc)[:200]) from exc
    if not math.isfinite(doc['room']) or doc['room'] < 0:
        raise errors.UnreadableDocument('room out of range')
    if max(len(doc[name]) for name in _NAMES) > _NAME_MAX_CHARS:
        raise errors.UnreadableDocument('a name is too long')
    return doc
