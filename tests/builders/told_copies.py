"""Copies of a store that tell each other what they read."""

import random
import types

from jasminehold.decisions import store_replica
from jasminehold.front import reader
from jasminehold.platform import kv

KEYS = ('op/a', 'servers/a', 'servers/b', 'servers/c')


def is_same(item, known):
    """Return whether an item says nothing new, as a heartbeat does.

    Values are ``b'STATE:SEQUENCE NUMBER'``.
    """
    return item.value.partition(b':')[0] == known.value.partition(b':')[0]


class ToldCopies:
    """A store, copies that read it, and what they tell each other.

    Reads take time, messages come in any order and may be lost.

    Args:
        seed: of the order of events.
        count: number of copies.
    """

    def __init__(self, seed, count=3):
        self._rng = random.Random(seed)
        self._revision = 1
        self._events = []
        self.copies = [
            store_replica.StoreReplica(('none/',), 1.0, 1e9)
            for _ in range(count)
        ]
        for copy in self.copies:
            copy.replace([], 1, 0.0, 0.0)
        self._reads = []
        self._messages = []

    def step(self):
        """Carry out a random event."""
        kind = self._rng.choice(
            (self._write, self._write, self._send, self._receive, self._tell)
            + (self._tell, self._list)
        )
        kind()

    def _write(self):
        self._revision += 1
        value = b'%d:%d' % (self._rng.randrange(3), self._revision)
        if self._rng.random() < 0.3:
            value = None
        key = self._rng.choice(KEYS)
        self._events.append(store_replica.Item(key, value, self._revision))

    def _send(self):
        copy = self._rng.choice(self.copies)
        before = copy.revision
        events = [item for item in self._events if item.revision > before]
        self._reads.append((copy, events, before, self._revision))

    def _receive(self):
        if not self._reads:
            return
        number = self._rng.randrange(len(self._reads))
        copy, events, before, revision = self._reads.pop(number)
        news = copy.news(events, before, is_same)
        copy.apply(events, before, revision, 0.0, 0.0)
        self._messages.append(
            lambda copy: copy.apply(news, before, revision, 0.0, 0.0)
        )

    def _list(self):
        # A read of all items, as after an outage.
        copy = self._rng.choice(self.copies)
        before, start = (0, copy.revision), (0, self._revision)
        found = self._items(self._revision)
        known = dict(copy.items)
        differences = [
            item
            for key, item in found.items()
            if key not in known or not is_same(item, known[key])
        ]
        differences += [
            store_replica.Item(key, None, self._revision)
            for key in known
            if key not in found
        ]
        copy.replace(list(found.values()), self._revision, 0.0, 0.0)
        self._messages.append(
            lambda other: other.apply_differences(
                before, differences, start, 0.0, 0.0
            )
        )

    def _tell(self):
        if self._messages:
            message = self._rng.choice(self._messages[-6:])
            message(self._rng.choice(self.copies))

    def truth(self, revision):
        """Return the ``{key: state}`` of the store at a revision."""
        return states(self._items(revision))

    def _items(self, revision):
        found = {}
        for item in self._events:
            if item.revision > revision:
                break
            found[item.key] = item
            if item.value is None:
                del found[item.key]
        return found


def states(items):
    """Return ``{key: state}`` of items, without their sequence numbers."""
    return {key: item.value.partition(b':')[0] for key, item in items.items()}


class LoneReader:
    """A reader whose calls to the store the test answers.

    Attributes:
        reader: the :class:`reader.StoreReader`.
        now: monotonic seconds.
        suspended_s: seconds for which the machine was suspended so far.
        told: arguments of its news, ``(events, before, revision, as_of)``.
        calls: callbacks of the calls that are not answered yet.
    """

    def __init__(self):
        self.now = 100.0
        self.suspended_s = 0.0
        self.told = []
        self.calls = []
        loop = types.SimpleNamespace(
            now=lambda: self.now,
            boot_now=lambda: self.now + self.suspended_s,
            call_later=lambda *args: None,
        )
        store = types.SimpleNamespace(
            range=lambda prefix, done: self.calls.append(done),
            watch=lambda prefix, after, wait_s, done: self.calls.append(done),
            note_era=lambda era: None,
        )
        self.reader = reader.StoreReader(
            loop,
            store,
            lambda: 0,
            lambda keys: None,
            lambda *args: self.told.append(args),
            lambda *args: None,
            random.Random(1),
            lambda *args, **kwargs: None,
        )
        self.reader.start()
        self.answer([], 50)

    def answer(self, items, revision):
        """Answer the oldest call."""
        self.calls.pop(0)(kv.Range(items, revision), None)

    def send_read(self, now):
        """Let the reader send a read at a time."""
        self.now = now
        self.reader._tick()
        assert self.calls, 'no read was sent'
