"""Compressed values within the messages between instances.

Example:
    >>> unpack(pack([['key', b'value', 7]]))
    [['key', b'value', 7]]
"""

import zlib

from jasminehold import errors
from jasminehold.peers import frames

# The links also carry the requests of callers; the fastest level is enough.
LEVEL = 1
UNPACKED_MAX_BYTES = 16 * 1024 * 1024


def pack(value):
    """Return the compressed bytes of a value.

    Raises:
        PeerError: if the value cannot be encoded.
    """
    return zlib.compress(frames.pack(value), LEVEL)


def unpack(data):
    """Return the value of compressed bytes.

    Raises:
        PeerError: if the bytes are malformed, or the value is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(data, UNPACKED_MAX_BYTES)
    except (zlib.error, TypeError) as exc:
        raise errors.PeerError('packed value: %s' % exc) from exc
    if not decompressor.eof:
        raise errors.PeerError('packed value is cut off or too large')
    return frames.unpack(found)
