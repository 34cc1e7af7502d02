"""Bucketed digest of a table, updated in constant time per change.

Each entry has a 64-bit fingerprint. The sum of a bucket is the XOR of the
fingerprints of its entries, so the order of additions and removals does not
matter. Tables with equal sums are treated as equal; the probability that
different tables have equal sums is about 2**-64.
"""

import hashlib

# 64 sums take about 600 bytes on the wire; with 5,800 members a bucket holds
# about 90 entries.
BUCKET_COUNT = 64


def stable_hash(*values):
    """Return a 64-bit hash that is the same in every process."""
    text = '\0'.join(map(str, values)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), 'big')


def bucket_of(key):
    """Return the bucket of a key."""
    return stable_hash(key) % BUCKET_COUNT


class Digest:
    """Digest of one table.

    Attributes:
        sums: one sum per bucket.
        total: XOR of all sums.
    """

    def __init__(self):
        self.sums = [0] * BUCKET_COUNT
        self.total = 0

    def toggle(self, bucket, fingerprint):
        """Add an entry, or remove one that is present."""
        self.sums[bucket] ^= fingerprint
        self.total ^= fingerprint

    def differing(self, sums):
        """Return the buckets whose sums differ from another table's."""
        if len(sums) != BUCKET_COUNT:
            raise ValueError('digest has %d sums' % len(sums))
        return [
            bucket
            for bucket in range(BUCKET_COUNT)
            if sums[bucket] != self.sums[bucket]
        ]

    def follow_up(self, sums, buckets, limit, render, rng):
        """Return the follow-up message for the peer's sums.

        Args:
            sums: the other table's sums.
            buckets: keys of this table by bucket.
            limit: maximum entries in the message; a single larger bucket is
                sent whole.
            render: function that returns the content to send for a list of
                keys.
            rng: ``random.Random``; randomizes which buckets are sent first
                when not all of them fit.

        Returns:
            ``{"sum", "parts"}``, or None when nothing differs.
        """
        differing = self.differing(sums)
        if not differing:
            return None
        rng.shuffle(differing)
        found, left = {}, limit
        for index in differing:
            keys = buckets[index]
            if found and len(keys) > left:
                break
            left -= len(keys)
            found[str(index)] = render(keys)
        return {'sum': self.total, 'parts': found}
