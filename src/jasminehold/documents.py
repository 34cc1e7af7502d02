"""Documents in the platform's key-value service.

Any writer may have left what stands under a key, so a document that cannot be
used is an error of its own, and never one that ends its reader.

Example:
    >>> decode(b'{"id": "sul-a-1"}')
    {'id': 'sul-a-1'}
"""

import json

from jasminehold import errors

_REASON_MAX_CHARS = 200


def decode(value):
    """Return the document of a stored value, a dictionary.

    Args:
        value: bytes.

    Raises:
        UnreadableDocument: if the value is no JSON object.
    """
    try:
        doc = json.loads(value)
    except (ValueError, RecursionError) as exc:
        reason = repr(exc)[:_REASON_MAX_CHARS]
        raise errors.UnreadableDocument('not JSON: %s' % reason) from exc
    if not isinstance(doc, dict):
        raise errors.UnreadableDocument('not a JSON object')
    return doc


def read(value, *names):
    """Return some fields of a stored value, whatever their types.

    Args:
        value: bytes.
        names: names of the fields.

    Raises:
        UnreadableDocument: if it is no JSON object, or lacks one of them.
    """
    doc = decode(value)
    check(doc, dict.fromkeys(names, object))
    return [doc[name] for name in names]


def check(doc, kinds):
    """Check that a document has some fields.

    Args:
        doc: the document.
        kinds: ``{name: type}`` of the fields.

    Raises:
        UnreadableDocument: if one is missing, of another type, or text that
            no message between instances can carry.
    """
    for name, kind in kinds.items():
        value = doc.get(name)
        if name not in doc or not isinstance(value, kind):
            raise errors.UnreadableDocument('no valid field %s' % name)
        if isinstance(value, bool) and kind is int:
            raise errors.UnreadableDocument('no valid field %s' % name)
        if isinstance(value, str) and not _is_text(value):
            raise errors.UnreadableDocument('%s is no text' % name)


def _is_text(value):
    # Halves of surrogate pairs are none.
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
