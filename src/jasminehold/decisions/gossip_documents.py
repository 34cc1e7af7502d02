"""Versioned documents replicated between instances by gossip.

The value of a document is opaque bytes. A higher version replaces a lower
one. A deleted document is stored with a tombstone as its value, which this
module treats like any other value. New documents are pushed immediately:
small ones in full, larger ones as ``{key: version}`` so that each instance
fetches them once. A periodic comparison of digests repairs missed pushes.
"""

from jasminehold.decisions import digest

MAX_DOCUMENT_BYTES = 512 * 1024
# A single larger document is sent in a message of its own.
MAX_MESSAGE_BYTES = 256 * 1024
# Below this size, duplicate pushes cost less than an announcement and a fetch.
MAX_PUSH_BYTES = 1024
MAX_MESSAGE_KEYS = 500
MAX_KEY_LENGTH = 512
FETCH_TIMEOUT_S = 2.0
MAX_WANTED_DOCUMENTS = 20_000
MAX_SOURCES_PER_DOCUMENT = 4


class _Wanted:
    __slots__ = ('version', 'sources', 'retry_at')

    def __init__(self):
        self.version = 0
        self.sources = {}
        self.retry_at = None


class GossipDocuments:
    """Documents known to one instance.

    Args:
        rng: ``random.Random``.
    """

    def __init__(self, rng):
        self._rng = rng
        self._docs = {}
        self._digest = digest.Digest()
        self._buckets = [{} for _ in range(digest.BUCKET_COUNT)]
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
            key: key of the document.
            version: its version at the platform, 1 or higher.
            value: bytes.

        Returns:
            True when it is newer than the stored document.

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
        bucket = digest.bucket_of(key)
        if old:
            self._digest.toggle(bucket, digest.stable_hash(key, old))
        self._digest.toggle(bucket, digest.stable_hash(key, version))
        self._docs[key] = (version, value)
        self._buckets[bucket][key] = True
        return True

    def record_offer(self, peer, have):
        """Record the documents that a peer has, as ``{key: version}``."""
        if len(have) > 4 * MAX_MESSAGE_KEYS:
            raise ValueError('%d document versions' % len(have))
        for key, version in have.items():
            _check_key(key, version)
            if version <= self.version(key):
                continue
            wanted = self._wanted.get(key)
            if wanted is None:
                if len(self._wanted) >= MAX_WANTED_DOCUMENTS:
                    return
                wanted = self._wanted[key] = _Wanted()
            if version > wanted.version:
                # The earlier sources only have older versions.
                wanted.version = version
                wanted.sources = {}
                wanted.retry_at = None
            if len(wanted.sources) < MAX_SOURCES_PER_DOCUMENT:
                wanted.sources[peer] = True

    def take_fetches(self, now):
        """Start the fetches that are due and return ``{peer: [keys]}``.

        A document is fetched from one peer at a time; after
        ``FETCH_TIMEOUT_S`` the next peer that offered it is tried. A document
        without remaining sources is skipped until it is offered again.
        """
        result = {}
        for key, wanted in list(self._wanted.items()):
            if wanted.retry_at is not None and wanted.retry_at > now:
                continue
            if not wanted.sources:
                del self._wanted[key]
                continue
            peer = next(iter(wanted.sources))
            keys = result.setdefault(peer, [])
            if len(keys) < MAX_MESSAGE_KEYS:
                del wanted.sources[peer]
                wanted.retry_at = now + FETCH_TIMEOUT_S
                keys.append(key)
        return result

    def on_fetched(self, peer, keys, answered):
        """Record the end of a fetch.

        Args:
            peer: peer that the documents were fetched from.
            keys: requested keys.
            answered: whether documents were received. Those still missing
                did not fit into the message and are fetched from the same
                peer again.
        """
        for key in keys:
            wanted = self._wanted.get(key)
            if wanted is not None and wanted.retry_at is not None:
                wanted.retry_at = None
                if answered:
                    wanted.sources[peer] = True

    def wanted_count(self):
        """Return the number of documents known to be missing."""
        return len(self._wanted)

    def read_documents(self, keys):
        """Return ``[[key, version, value]]`` for one message.

        The message has up to ``MAX_MESSAGE_BYTES``, or one larger document.
        Keys that do not fit or are unknown are omitted.
        """
        result, size = [], 0
        for key in keys[:MAX_MESSAGE_KEYS]:
            doc = self._docs.get(key)
            if doc is None:
                continue
            size += len(key) + len(doc[1]) + 16
            if result and size > MAX_MESSAGE_BYTES:
                break
            result.append([key, doc[0], doc[1]])
        return result

    def split_push(self, keys):
        """Return ``(keys to send in full, {key: version} to announce)``."""
        whole, announce = [], {}
        for key in keys:
            version, value = self._docs[key]
            if len(value) <= MAX_PUSH_BYTES:
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
        self.record_offer(peer, part.get('have', {}))
        if 'parts' in part:
            have = {}
            for index, versions in part['parts'].items():
                newer, older = self._compare_versions(int(index), versions)
                have.update(newer)
                self.record_offer(peer, {key: versions[key] for key in older})
            reply['have'] = dict(list(have.items())[:MAX_MESSAGE_KEYS])
        if part.get('sum') != self._digest.total:
            reply['sums'] = list(self._digest.sums)
        return reply

    def on_reply(self, peer, part):
        """Handle a reply.

        Returns:
            The part of a follow-up exchange, or None when nothing differs.
        """
        self.record_offer(peer, part.get('have', {}))
        if 'sums' not in part:
            return None
        return self._digest.follow_up(
            part['sums'],
            self._buckets,
            MAX_MESSAGE_KEYS,
            lambda keys: {key: self._docs[key][0] for key in keys},
            self._rng,
        )

    def _compare_versions(self, index, versions):
        if len(versions) > 8 * MAX_MESSAGE_KEYS:
            raise ValueError('%d document versions' % len(versions))
        newer, older = {}, []
        for key in self._buckets[index]:
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
