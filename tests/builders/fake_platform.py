"""In-memory platform client with faults, for tests of its users."""

import typing

from jasminehold import errors


class Item(typing.NamedTuple):
    """A value with its version; also one change in a watch."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


class Page(typing.NamedTuple):
    """One page of a list, or the answer to a watch as ``events``."""

    items: list
    revision: int
    more: bool = False
    events = property(lambda self: self.items)


class FakePlatform:
    """Key-value service with compare-and-swap.

    Attributes:
        faults: what the next puts of resources meet: ``'lost'`` (applied,
            reply lost), ``'late'`` (applied by ``release``, reply lost) or
            ``'down'``; then they succeed.
        down: every call fails as not applied.
        audit_down: puts of audit entries fail.
    """

    def __init__(self, later):
        self.data = {}
        self.events = []
        self.revision = 0
        self.faults = []
        self.down = self.audit_down = False
        self._late = []
        self._waiting = []
        self._later = later

    def get(self, key, done):
        """Read a key."""
        missing = None if key in self.data else errors.KeyNotFound()
        self._end(done, self.data.get(key), missing)

    def put(self, key, value, if_version, done, lease=None):
        """Store by compare-and-swap."""
        state = key.startswith('state/')
        fault = self.faults.pop(0) if state and self.faults else None
        refused = self.audit_down and not state
        if self.down or fault == 'down' or refused:
            self._end(done, None, errors.PlatformUnavailable())
        elif fault == 'late':
            self._late.append((key, value, if_version))
            self._end(done, None, errors.OutcomeUnknown())
        else:
            result, exc = self._swap(key, value, if_version)
            if fault == 'lost':
                result, exc = None, errors.OutcomeUnknown()
            self._end(done, result, exc)

    def delete(self, key, if_version, done):
        """Delete by compare-and-swap."""
        if key not in self.data or self.data[key].version != if_version:
            self._end(done, None, errors.VersionMismatch())
            return
        del self.data[key]
        self.revision += 1
        self._end(done, self.revision, None)

    def list(self, prefix, after, done):
        """Read the keys beyond ``after``."""
        keys = sorted(k for k in self.data if k.startswith(prefix))
        items = [self.data[k] for k in keys if k > (after or '')]
        self._end(done, Page(items, self.revision), None)

    def watch(self, prefix, from_revision, wait, done):
        """Wait for the next change of a prefix."""
        events = [e for e in self.events if e.version > from_revision]
        events = [e for e in events if e.key.startswith(prefix)]
        if events:
            self._end(done, Page(events, self.revision), None)
        else:
            self._waiting.append((prefix, from_revision, wait, done))

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
        self.events.append(self.data[key])
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self.watch(*call)
        return self.revision, None

    def _end(self, done, result, exc):
        if self.down:
            result, exc = None, errors.PlatformUnavailable()
        self._later(0.0, lambda: done(result, exc))
