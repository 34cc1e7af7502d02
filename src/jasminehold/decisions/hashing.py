"""Stable hashes, equal on every instance and across restarts."""

import hashlib

_SCALE = float(1 << 64)


def point(*parts):
    """Return a number in [0, 1) that depends only on the arguments.

    Args:
        *parts: strings.
    """
    return number(*parts) / _SCALE


def number(*parts):
    """Return a 64-bit number that depends only on the arguments."""
    data = '\x00'.join(parts).encode()
    raw = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(raw, 'big')
