"""Map from client address blocks to sites, by longest prefix.

The map is divided into buckets by the leading bits of an address. Changing a
document only marks its buckets as stale, and the next lookup in a stale bucket
rebuilds that bucket. So neither a change nor a lookup rebuilds the whole map.

Example:
    >>> blocks = BlockMap()
    >>> blocks.set_document('br', [('203.0.113.0/24', 'sul-a')])
    >>> blocks.find('203.0.113.9')
    'sul-a'

Source: docs/design.md, section 3 (``blocks``).
"""

import array
import bisect
import ipaddress

# IPv4 buckets use the first 13 bits: with 16 bits the overhead per bucket took
# 40 MB at 520,000 blocks. Only the first 64 bits of an IPv6 address are used;
# its bucket is the first 32 bits, the usual registry allocation to a network.
V4_BITS = 32
V4_BUCKET_BITS = 13
V6_BITS = 64
V6_BUCKET_BITS = 32
# Site index of an address that no block covers.
NO_SITE = 0xFFFF
MAX_SITES = 0xFFFF
_OCTETS = {str(value): value for value in range(256)}


class _Document:
    """Blocks of one document, sorted by address and prefix length."""

    __slots__ = ('starts', 'lengths', 'sites')

    def __init__(self, entries, typecode):
        entries.sort()
        self.starts = array.array(typecode, (e[0] for e in entries))
        self.lengths = array.array('B', (e[1] for e in entries))
        self.sites = array.array('H', (e[2] for e in entries))

    def between(self, low, high):
        """Return the entries whose start lies in ``[low, high)``."""
        begin = bisect.bisect_left(self.starts, low)
        end = bisect.bisect_left(self.starts, high, begin)
        return [
            (self.starts[i], self.lengths[i], self.sites[i])
            for i in range(begin, end)
        ]


class _AddressFamily:
    """Blocks of one address family."""

    def __init__(self, bits, bucket_bits, typecode):
        self.bits = bits
        self.shift = bits - bucket_bits
        self.bucket_bits = bucket_bits
        self.typecode = typecode
        self.documents = {}
        self.by_bucket = {}
        self.buckets = {}
        self.stale = set()
        self.wide_blocks = {}

    def set_document(self, name, entries):
        """Replace a document's entries and mark their buckets as stale."""
        self.stale |= self._remove(name)
        if entries:
            narrow = [e for e in entries if e[1] >= self.bucket_bits]
            wide = [e for e in entries if e[1] < self.bucket_bits]
            if wide:
                self.wide_blocks[name] = sorted(wide, key=lambda e: -e[1])
            self.documents[name] = _Document(narrow, self.typecode)
            for bucket in {e[0] >> self.shift for e in narrow}:
                self.by_bucket.setdefault(bucket, set()).add(name)
                self.stale.add(bucket)

    def _remove(self, name):
        document = self.documents.pop(name, None)
        self.wide_blocks.pop(name, None)
        if document is None:
            return set()
        touched = {start >> self.shift for start in document.starts}
        for bucket in touched:
            names = self.by_bucket[bucket]
            names.discard(name)
            if not names:
                del self.by_bucket[bucket]
        return touched

    def _rebuild(self, bucket):
        low = bucket << self.shift
        high = low + (1 << self.shift)
        entries = []
        for name in sorted(self.by_bucket.get(bucket, ())):
            entries.extend(self.documents[name].between(low, high))
        if not entries:
            self.buckets.pop(bucket, None)
            return
        self.buckets[bucket] = _flatten(
            entries, self.bits, high, self.typecode
        )

    def find(self, number):
        """Return the site index of an address, or ``NO_SITE``."""
        key = number >> self.shift
        if key in self.stale:
            self.stale.discard(key)
            self._rebuild(key)
        bucket = self.buckets.get(key)
        if bucket is not None:
            starts, sites = bucket
            index = bisect.bisect_right(starts, number) - 1
            if index >= 0 and sites[index] != NO_SITE:
                return sites[index]
        if self.wide_blocks:
            return self._find_wide(number)
        return NO_SITE

    def _find_wide(self, number):
        best_length, best = -1, NO_SITE
        for name in sorted(self.wide_blocks):
            for start, length, site in self.wide_blocks[name]:
                if length < best_length:
                    break
                if number >> (self.bits - length) == start >> (
                    self.bits - length
                ):
                    best_length, best = length, site
                    break
        return best


def _parse(text):
    """Return ``(number, bits)``; only the first 64 bits of IPv6 are kept."""
    if ':' in text:
        return int(ipaddress.IPv6Address(text)) >> V6_BITS, V6_BITS
    # Four times as fast as ``ipaddress``, which handles unusual forms.
    try:
        a, b, c, d = map(_OCTETS.__getitem__, text.split('.'))
    except (KeyError, ValueError):
        return int(ipaddress.IPv4Address(text)), V4_BITS
    return a << 24 | b << 16 | c << 8 | d, V4_BITS


def _flatten(entries, bits, high, typecode):
    """Convert nested blocks into disjoint ranges.

    Args:
        entries: ``(start, length, site)``, possibly nested.
        bits: number of bits of an address.
        high: first address after the bucket.
        typecode: array type of the starts.

    Returns:
        ``(starts, sites)``: arrays of equal length; a range ends at the next
        start, and ``NO_SITE`` marks a range that no block covers.
    """
    starts = array.array(typecode)
    sites = array.array('H')

    def emit(start, site):
        if starts and starts[-1] == start:
            sites[-1] = site
        elif not sites or sites[-1] != site:
            starts.append(start)
            sites.append(site)

    stack = []
    for start, length, site in sorted(entries, key=lambda e: (e[0], e[1])):
        while stack and stack[-1][0] <= start:
            end = stack.pop()[0]
            emit(end, stack[-1][1] if stack else NO_SITE)
        end = start + (1 << (bits - length))
        emit(start, site)
        stack.append((end, site))
    while stack:
        end = stack.pop()[0]
        if end < high:
            emit(end, stack[-1][1] if stack else NO_SITE)
    return starts, sites


class BlockMap:
    """Longest-prefix map from client blocks to site names."""

    def __init__(self):
        self._v4 = _AddressFamily(V4_BITS, V4_BUCKET_BITS, 'I')
        self._v6 = _AddressFamily(V6_BITS, V6_BUCKET_BITS, 'Q')
        self._sites = []
        self._indexes = {}

    def set_document(self, name, blocks):
        """Replace the blocks of one document.

        If several documents contain a block, the last one by name wins.

        Args:
            name: the document's name.
            blocks: ``(block, site)`` pairs, the block in CIDR notation, at
                most /64 for IPv6.

        Raises:
            ValueError: if a block is malformed or there are too many sites.
        """
        v4, v6 = [], []
        for text, site in blocks:
            address, _, length = text.partition('/')
            start, bits = _parse(address)
            length = int(length) if length else bits
            if not 0 <= length <= bits:
                raise ValueError('invalid prefix length in %s' % text)
            if start & ((1 << (bits - length)) - 1):
                raise ValueError('host bits set in %s' % text)
            entry = (start, length, self._index(site))
            (v4 if bits == V4_BITS else v6).append(entry)
        self._v4.set_document(name, v4)
        self._v6.set_document(name, v6)

    def remove_document(self, name):
        """Remove the blocks of one document."""
        self._v4.set_document(name, [])
        self._v6.set_document(name, [])

    def find(self, address):
        """Return the site of an address or block, or None if unknown.

        Args:
            address: IPv4 or IPv6 address; a prefix length is ignored, so a
                block is looked up by its first address.

        Raises:
            ValueError: if the address is malformed.
        """
        number, bits = _parse(address.partition('/')[0])
        family = self._v4 if bits == V4_BITS else self._v6
        index = family.find(number)
        return None if index == NO_SITE else self._sites[index]

    def _index(self, site):
        index = self._indexes.get(site)
        if index is None:
            if len(self._sites) >= MAX_SITES:
                raise ValueError('more than %d sites' % MAX_SITES)
            index = self._indexes[site] = len(self._sites)
            self._sites.append(site)
        return index
