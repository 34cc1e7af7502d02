"""Digest that identifies requests with the same content."""

import hashlib

SIZE_BYTES = 8


def of_request(fields, body=()):
    """Return the digest of a request, :data:`SIZE_BYTES` bytes.

    Args:
        fields: what identifies the request besides its body, each bytes:
            method and target, for example.
        body: chunks of the body.
    """
    digest = hashlib.blake2b(digest_size=SIZE_BYTES)
    for field in fields:
        digest.update(b'%d:' % len(field) + field)
    for chunk in body:
        digest.update(chunk)
    return digest.digest()
