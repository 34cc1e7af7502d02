"""Documents by key and version, and which of them to ask for or send.

A document's value is opaque bytes. A higher version replaces a lower one and
never the reverse. A deleted document is one whose value is a tombstone; this
module treats it like any other. New documents are pushed at once: small ones
whole, larger ones as ``{key: version}`` so that each instance fetches them
once. Comparing digests in parts each period repairs what a push missed.
"""

from jasminehold.decisions import digest

MAX_DOCUMENT_BYTES = 512 * 1024
# One message carries up to this much, or a single larger document.
MAX_MESSAGE_BYTES = 256 * 1024
# Up to this size the duplicates of a push cost less than announce and fetch.
PUSH_BYTES = 1024
MAX_KEYS = 500
MAX_KEY_LENGTH = 512
FETCH_TIMEOUT_S = 2.0
MAX_WANTED = 20_000
# Offers remembered per wanted document.
MAX_SOURCES = 4


class _Wanted:
    __slots__ = ('version', 'sources', 'until')

    def __init__(self):
        self.version = 0
        self.sources = {}
        self.until = None


class GossipDocuments:
    """Documents known to one instance.

    Args:
        rng: ``random.Random``.
    """

    def __init__(self, rng):
        self._rng = rng
        self._docs = {}
        self._digest = digest.Digest()
        self._parts = [{} for _ in range(digest.PARTS)]
        self._wanted = {}

    @property
    def total(self):
        """Digest of all documents."""
        return self._digest.total

    def version(self, key):
        """Return a document's version, 0 when it is unknown."""
        doc = self._docs.get(key)
        return doc[0] if doc else 0

    def get(self, key):
        """Return ``(version, value)``, or None."""
        return self._docs.get(key)

    def keys(self):
        """Return all keys."""
        return list(self._docs)

    def put(self, key, version, value):
        """Store a document.

        Args:
            key: its key.
            version: the platform's version of it, 1 or higher.
            value: bytes.

        Returns:
            True when it was newer than the one known.

        Raises:
            ValueError: when it is malformed or too large.
        """
        _check_key(key, version)
        if not isinstance(value, bytes) or len(value) > MAX_DOCUMENT_BYTES:
            raise ValueError('document %s is malformed or too large' % key)
        old = self.version(key)
        wanted = self._wanted.get(key)
        if wanted is not None and version >= wanted.version:
            del self._wanted[key]
        if version <= old:
            return False
        part = digest.part_of(key)
        if old:
            self._digest.toggle(part, digest.stable_hash(key, old))
        self._digest.toggle(part, digest.stable_hash(key, version))
        self._docs[key] = (version, value)
        self._parts[part][key] = True
        return True

    def offer(self, peer, have):
        """Note that a peer has documents, as ``{key: version}``."""
        if len(have) > 4 * MAX_KEYS:
            raise ValueError('%d document versions' % len(have))
        for key, version in have.items():
            _check_key(key, version)
            if version <= self.version(key):
                continue
            wanted = self._wanted.get(key)
            if wanted is None:
                if len(self._wanted) >= MAX_WANTED:
                    return
                wanted = self._wanted[key] = _Wanted()
            if version > wanted.version:
                # Older offers cannot serve this version.
                wanted.version = version
                wanted.sources = {}
                wanted.until = None
            if len(wanted.sources) < MAX_SOURCES:
                wanted.sources[peer] = True

    def take_fetches(self, now):
        """Return what to fetch now, as ``{peer: [keys]}``.

        A document is asked from one peer at a time; after
        ``FETCH_TIMEOUT_S`` the next one that offered it is asked. A document
        without remaining sources is dropped until it is offered again.
        """
        result = {}
        for key, wanted in list(self._wanted.items()):
            if wanted.until is not None and wanted.until > now:
                continue
            if not wanted.sources:
                del self._wanted[key]
                continue
            peer = next(iter(wanted.sources))
            keys = result.setdefault(peer, [])
            if len(keys) < MAX_KEYS:
                del wanted.sources[peer]
                wanted.until = now + FETCH_TIMEOUT_S
                keys.append(key)
        return result

    def on_fetched(self, peer, keys, answered):
        """Note the end of a fetch.

        Args:
            peer: whom it was asked from.
            keys: what was asked.
            answered: whether documents came; the rest did not fit into the
                message and is asked from the same peer again.
        """
        for key in keys:
            wanted = self._wanted.get(key)
            if wanted is not None and wanted.until is not None:
                wanted.until = None
                if answered:
                    wanted.sources[peer] = True

    def wanted_count(self):
        """Return the number of documents known to be missing."""
        return len(self._wanted)

    def read_documents(self, keys):
        """Return ``[[key, version, value]]`` for one message.

        The message holds up to ``MAX_MESSAGE_BYTES``, or one larger
        document; keys that do not fit or are unknown are left out.
        """
        result, size = [], 0
        for key in keys[:MAX_KEYS]:
            doc = self._docs.get(key)
            if doc is None:
                continue
            size += len(key) + len(doc[1]) + 16
            if result and size > MAX_MESSAGE_BYTES:
                break
            result.append([key, doc[0], doc[1]])
        return result

    def push(self, keys):
        """Return ``(keys to send whole, {key: version} to announce)``."""
        whole, announce = [], {}
        for key in keys:
            version, value = self._docs[key]
            if len(value) <= PUSH_BYTES:
                whole.append(key)
            else:
                announce[key] = version
        return whole, announce

    def exchange(self):
        """Return the documents part of an exchange."""
        return {'sum': self._digest.total}

    def on_exchange(self, peer, part):
        """Handle the documents part of an exchange and return the reply."""
        reply = {}
        self.offer(peer, part.get('have', {}))
        if 'parts' in part:
            have = {}
            for index, versions in part['parts'].items():
                newer, older = self._compare(int(index), versions)
                have.update(newer)
                self.offer(peer, {key: versions[key] for key in older})
            reply['have'] = dict(list(have.items())[:MAX_KEYS])
        if part.get('sum') != self._digest.total:
            reply['sums'] = list(self._digest.sums)
        return reply

    def on_reply(self, peer, part):
        """Handle a reply.

        Returns:
            The part of a follow-up exchange, or None when nothing differs.
        """
        self.offer(peer, part.get('have', {}))
        if 'sums' not in part:
            return None
        return self._digest.follow_up(
            part['sums'],
            self._parts,
            MAX_KEYS,
            lambda keys: {key: self._docs[key][0] for key in keys},
            self._rng,
        )

    def _compare(self, index, versions):
        if len(versions) > 8 * MAX_KEYS:
            raise ValueError('%d document versions' % len(versions))
        newer, older = {}, []
        for key in self._parts[index]:
            version = self._docs[key][0]
            if version > versions.get(key, 0):
                newer[key] = version
        for key, version in versions.items():
            _check_key(key, version)
            if version > self.version(key):
                older.append(key)
        return newer, older


def _check_key(key, version):
    if not isinstance(key, str) or not 0 < len(key) <= MAX_KEY_LENGTH:
        raise ValueError('malformed document key')
    if not isinstance(version, int) or not 0 < version < 2**63:
        raise ValueError('malformed document version')
