"""Stable hashes: the same on every instance and after restarts."""

import hashlib

_HASH_RANGE = float(1 << 64)


def point(*parts):
    """Return a number in [0, 1) that depends only on the arguments.

    Args:
        *parts: strings.
    """
    return number(*parts) / _HASH_RANGE


def number(*parts):
    """Return a 64-bit number that depends only on the arguments."""
    data = '\x00'.join(parts).encode()
    raw = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(raw, 'big')
