"""Digest of a table in parts, updated in constant time per change.

Each entry has a 64-bit fingerprint. A part's sum is the exclusive or of the
fingerprints of its entries, so entries can be added and removed in any order.
Two tables with equal sums are taken as equal; two different tables collide
with a chance of about 2**-64.
"""

import hashlib

# 64 sums take about 600 bytes on the wire, and a part of a table of 5,800
# members holds about 90 entries.
PARTS = 64


def stable_hash(*values):
    """Return a 64-bit hash that is the same in every process."""
    text = '\0'.join(map(str, values)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), 'big')


def part_of(key):
    """Return the part that a key belongs to."""
    return stable_hash(key) % PARTS


class Digest:
    """Sums of one table.

    Attributes:
        sums: one sum per part.
        total: exclusive or of all sums.
    """

    def __init__(self):
        self.sums = [0] * PARTS
        self.total = 0

    def toggle(self, part, fingerprint):
        """Add an entry, or remove it when it was added before."""
        self.sums[part] ^= fingerprint
        self.total ^= fingerprint

    def differing(self, sums):
        """Return the parts whose sums differ from another table's."""
        if len(sums) != PARTS:
            raise ValueError('digest has %d parts' % len(sums))
        return [part for part in range(PARTS) if sums[part] != self.sums[part]]

    def follow_up(self, sums, parts, limit, render, rng):
        """Return the next part of an exchange after the other side's sums.

        Args:
            sums: the other table's sums.
            parts: keys of this table by part.
            limit: entries of one message, exceeded only by a single part.
            render: function from a part's keys to what is sent of them.
            rng: ``random.Random``; a table with many differences is not
                always compared from the same end.

        Returns:
            ``{"sum", "parts"}``, or None when nothing differs.
        """
        differing = self.differing(sums)
        if not differing:
            return None
        rng.shuffle(differing)
        found, left = {}, limit
        for index in differing:
            keys = parts[index]
            if found and len(keys) > left:
                break
            left -= len(keys)
            found[str(index)] = render(keys)
        return {'sum': self.total, 'parts': found}
