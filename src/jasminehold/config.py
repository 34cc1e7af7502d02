"""Set of the resources in force at an instance, with their versions.

Documents arrive from the platform, from peers and from accepted writes, in
any order and more than once. Only a higher version replaces a document, so a
late copy cannot restore an older configuration (invariant I8). Tombstones are
kept for the same reason.

Example:
    >>> config = ConfigSet()
    >>> changed = config.apply([], 7)
    >>> config.revision
    7
"""

import hashlib
import typing

from jasminehold import documents
from jasminehold import errors

PREFIX = 'state/config/'


class Entry(typing.TypedDict):
    """A document with its key and its version at the platform."""

    key: str
    value: dict
    version: int


def key_of(kind, name):
    """Return the platform key of a resource."""
    return '%s%s/%s' % (PREFIX, kind, name)


def split_key(key):
    """Return ``(kind, name)`` of a resource key, or None for other keys."""
    if not key.startswith(PREFIX):
        return None
    kind, _, name = key[len(PREFIX) :].partition('/')
    return (kind, name) if name else None


def check(key, doc):
    """Check that a document is a resource, or its tombstone.

    Its spec is not checked: newer versions may have added fields.

    Args:
        key: platform key.
        doc: the stored document, a dictionary.

    Raises:
        UnreadableDocument: if it is neither.
    """
    kind, name = split_key(key)
    documents.check(doc, {'kind': str, 'metadata': dict})
    if doc['kind'] != kind or doc['metadata'].get('name') != name:
        raise errors.UnreadableDocument('stored under the key of another one')
    if not doc.get('deleted'):
        documents.check(doc, {'spec': dict})


class ConfigSet:
    """Resources by kind and name, with their versions.

    Attributes:
        revision: highest platform revision whose changes are all known to be
            applied.
    """

    def __init__(self):
        self.revision = 0
        self._entries = {}
        self._by_kind = {}
        self._listeners = []
        # XOR of the hashes of all entries, so that the cost of an update does
        # not depend on the size of the set.
        self._digest = 0

    def add_listener(self, func):
        """Call ``func(changed entries)`` after each change."""
        self._listeners.append(func)

    def apply(self, docs, revision=0):
        """Apply the documents whose versions are higher than the stored ones.

        Args:
            docs: list of :class:`Entry`; keys that are not resources are
                ignored.
            revision: platform revision up to which this set is complete with
                the documents, 0 if unknown.

        Returns:
            The list of entries that were applied.
        """
        changed = []
        for entry in docs:
            parts = split_key(entry['key'])
            if parts is None:
                continue
            old = self._entries.get(entry['key'])
            if old is not None and old['version'] >= entry['version']:
                continue
            if old is not None:
                self._digest ^= _hash_entry(old)
            self._digest ^= _hash_entry(entry)
            self._entries[entry['key']] = entry
            kind, name = parts
            live = self._by_kind.setdefault(kind, {})
            if entry['value'].get('deleted'):
                live.pop(name, None)
            else:
                live[name] = entry
            changed.append(entry)
        self.revision = max(self.revision, revision)
        if changed:
            for func in list(self._listeners):
                func(changed)
        return changed

    def get(self, kind, name):
        """Return the document of a resource, or None."""
        entry = self._by_kind.get(kind, {}).get(name)
        return None if entry is None else entry['value']

    def entry(self, kind, name):
        """Return the :class:`Entry` of a resource or a tombstone, or None."""
        return self._entries.get(key_of(kind, name))

    def all(self, kind):
        """Return the documents of a kind, sorted by name."""
        return [entry['value'] for entry in self.entries(kind)]

    def entries(self, kind):
        """Return the live entries of a kind, sorted by name."""
        live = self._by_kind.get(kind, {})
        return [live[name] for name in sorted(live)]

    def version(self, key):
        """Return the stored version of a key, 0 if it is unknown."""
        entry = self._entries.get(key)
        return 0 if entry is None else entry['version']

    def version_of(self, kind, name):
        """Return the version of a resource, 0 if it is unknown."""
        return self.version(key_of(kind, name))

    def versions(self):
        """Return the version of each key, tombstones included."""
        return {key: entry['version'] for key, entry in self._entries.items()}

    def snapshot(self):
        """Return all entries, tombstones included, sorted by key."""
        return [self._entries[key] for key in sorted(self._entries)]

    def digest(self):
        """Return a hash of the live keys and versions, as 16 hex digits.

        Tombstones are excluded: the platform removes old ones, so a set that
        is read from it later lacks some that other instances still have.
        """
        return '%016x' % self._digest


def _hash_entry(entry):
    if entry['value'].get('deleted'):
        return 0
    text = '%s\0%d' % (entry['key'], entry['version'])
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')
