"""Length-prefixed msgpack frames with a sequence number and an HMAC.

A frame is ``length (4) | sequence (8) | mac (16) | payload``. The length is
the number of bytes that follow it. The MAC is HMAC-SHA256 over sequence and
payload, truncated to 16 bytes. Each direction of a stream has its own key,
which prevents reflection. The sequence number must increase by one, which
prevents replay and reordering.
"""

import hashlib
import hmac
import struct

import msgpack

from jasminehold import errors

MAC_BYTES = 16
MAX_PAYLOAD_BYTES = 1024 * 1024 + 64 * 1024
# Limit before authentication; handshake messages contain an instance id, a
# nonce and key ids.
MAX_HANDSHAKE_BYTES = 1024
MAX_DEPTH = 32
# An empty list takes one byte on the wire and 56 bytes in memory; this limits
# a frame of empty lists to 6 MB of memory.
MAX_CONTAINERS = 100_000

_HEADER = struct.Struct('>IQ')
_OVERHEAD_BYTES = 8 + MAC_BYTES


def pack(value):
    """Encode a value with msgpack.

    Raises:
        PeerError: if the value cannot be encoded.
    """
    try:
        return msgpack.packb(value)
    except (TypeError, ValueError, OverflowError, RecursionError) as exc:
        raise errors.PeerError('cannot encode message: %s' % exc) from exc


def unpack(data):
    """Decode msgpack bytes, with limits on nesting and containers.

    Raises:
        PeerError: if the bytes are malformed or exceed a limit.
    """
    containers_left = [MAX_CONTAINERS]

    def count_container(value):
        containers_left[0] -= 1
        if containers_left[0] < 0:
            raise ValueError('too many containers')
        return value

    try:
        value = msgpack.unpackb(
            data, list_hook=count_container, object_hook=count_container
        )
    except Exception as exc:
        # For malformed input msgpack raises ValueError, its own exceptions,
        # TypeError or RecursionError.
        raise errors.PeerError('malformed payload: %r' % exc) from exc
    level = [value] if isinstance(value, (dict, list)) else []
    for _ in range(MAX_DEPTH + 1):
        if not level:
            return value
        level = [
            child
            for item in level
            for child in (item.values() if isinstance(item, dict) else item)
            if isinstance(child, (dict, list))
        ]
    raise errors.PeerError('payload is nested too deeply')


class Writer:
    """Encodes the frames of one direction of a stream."""

    def __init__(self, key):
        self._key = key
        self._sequence = 0

    def encode(self, payload):
        """Return the frame of a payload.

        Raises:
            PeerError: if the payload is too large.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise errors.PeerError(
                'message of %d bytes is too large' % len(payload)
            )
        header = _HEADER.pack(len(payload) + _OVERHEAD_BYTES, self._sequence)
        self._sequence += 1
        return header + _mac(self._key, header[4:], payload) + payload


class Reader:
    """Decodes and verifies the frames of one direction of a stream.

    Args:
        key: MAC key.
        max_payload: maximum payload size in bytes.
    """

    def __init__(self, key, max_payload=MAX_PAYLOAD_BYTES):
        self._key = key
        self._max_payload = max_payload
        self._sequence = 0
        self._buffer = bytearray()

    def feed(self, data):
        """Add received bytes."""
        self._buffer += data

    def rekey(self, key):
        """Switch to the session key and size limit; reset the sequence."""
        self._key = key
        self._max_payload = MAX_PAYLOAD_BYTES
        self._sequence = 0

    def next(self):
        """Return the next payload, or None if more bytes are needed.

        Raises:
            PeerError: if a frame is too large, too short, out of sequence or
                not authentic. The caller must close the stream.
        """
        buffer = self._buffer
        if len(buffer) < 4:
            return None
        size = int.from_bytes(buffer[:4], 'big')
        if (
            size < _OVERHEAD_BYTES
            or size - _OVERHEAD_BYTES > self._max_payload
        ):
            raise errors.PeerError('frame of %d bytes' % size)
        if len(buffer) < 4 + size:
            return None
        sequence = bytes(buffer[4:12])
        mac = bytes(buffer[12 : 12 + MAC_BYTES])
        payload = bytes(buffer[12 + MAC_BYTES : 4 + size])
        if not hmac.compare_digest(mac, _mac(self._key, sequence, payload)):
            raise errors.PeerError('frame is not authentic')
        if int.from_bytes(sequence, 'big') != self._sequence:
            raise errors.PeerError('frame is out of sequence')
        self._sequence += 1
        del buffer[: 4 + size]
        return payload


def _mac(key, sequence, payload):
    return hmac.digest(key, sequence + payload, hashlib.sha256)[:MAC_BYTES]
