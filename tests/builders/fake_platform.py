"""In-memory platform client with faults, for tests of its users."""

import typing

from jasminehold import errors


class Item(typing.NamedTuple):
    """A value with its version."""

    key: str
    value: bytes
    version: int


class Page(typing.NamedTuple):
    """One page of a list."""

    items: list
    revision: int
    more: bool


class Event(typing.NamedTuple):
    """One change."""

    key: str
    value: bytes
    version: int
    deleted: bool


class Changes(typing.NamedTuple):
    """Answer to a watch."""

    events: list
    revision: int


class FakePlatform:
    """Key-value service with compare-and-swap.

    Attributes:
        faults: one of ``'lost'`` (applied, reply lost), ``'late'`` (applied
            by ``release``, reply lost), ``'down'`` or None for each
            following put of a resource; then calls succeed.
        down: every call fails as not applied.
        audit_down: puts of audit entries fail.
    """

    def __init__(self, later=None):
        self.data = {}
        self.events = []
        self.revision = 0
        self.faults = []
        self.down = False
        self.audit_down = False
        self._late = []
        self._waiting = []
        self._later = later or (lambda delay, func: func())

    def get(self, key, done):
        """Read a key."""
        if self.down:
            return self._end(done, None, errors.PlatformUnavailable())
        if key not in self.data:
            return self._end(done, None, errors.KeyNotFound())
        return self._end(done, self.data[key], None)

    def put(self, key, value, if_version, done, lease=None):
        """Store by compare-and-swap."""
        state = key.startswith('state/')
        fault = self.faults.pop(0) if state and self.faults else None
        if self.down or fault == 'down' or (self.audit_down and not state):
            return self._end(done, None, errors.PlatformUnavailable())
        if fault == 'late':
            self._late.append((key, value, if_version))
            return self._end(done, None, errors.OutcomeUnknown())
        result = self._swap(key, value, if_version)
        if fault == 'lost':
            result = (None, errors.OutcomeUnknown())
        return self._end(done, *result)

    def delete(self, key, if_version, done):
        """Delete by compare-and-swap."""
        found = self.data.get(key)
        if found is None or found.version != if_version:
            return self._end(done, None, errors.VersionMismatch())
        del self.data[key]
        self.revision += 1
        return self._end(done, self.revision, None)

    def list(self, prefix, after, done):
        """Read the keys beyond ``after``."""
        if self.down:
            return self._end(done, None, errors.PlatformUnavailable())
        keys = sorted(k for k in self.data if k.startswith(prefix))
        items = [self.data[k] for k in keys if k > (after or '')]
        return self._end(done, Page(items, self.revision, False), None)

    def watch(self, prefix, from_revision, wait, done):
        """Wait for the next change of a prefix."""
        events = [
            event
            for event in self.events
            if event.version > from_revision and event.key.startswith(prefix)
        ]
        if events:
            return self._end(done, Changes(events, self.revision), None)
        return self._waiting.append((prefix, from_revision, done))

    def release(self):
        """Apply the writes that were late."""
        late, self._late = self._late, []
        return [self._swap(*call) for call in late]

    def _swap(self, key, value, if_version):
        found = self.data[key].version if key in self.data else 0
        if found != if_version:
            return None, errors.VersionMismatch(version=found)
        self.revision += 1
        self.data[key] = Item(key, value, self.revision)
        self.events.append(Event(key, value, self.revision, False))
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self.watch(call[0], call[1], 0, call[2])
        return self.revision, None

    def _end(self, done, result, exc):
        self._later(0.0, lambda: done(result, exc))
