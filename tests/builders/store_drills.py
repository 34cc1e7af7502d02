"""Stores that go back to an older copy, and the copies of instances."""

import random

from jasminehold.decisions import store_replica

KEYS = ('op/config', 'op/evacuate/a', 'servers/a', 'servers/b', 'members/a')
LEASED = ('servers/', 'members/')


def replica():
    """Return an instance's empty copy."""
    return store_replica.StoreReplica(
        LEASED, 2.2, 2.4, ('quarantine/',), 'jasminehold/settled-era'
    )


def item(key, revision, value=b'x'):
    """Return a :class:`store_replica.Item`."""
    return store_replica.Item(key, value, revision)


class DrilledStore:
    """A store with eras, and the writers that write theirs again.

    Args:
        seed: of the order of events.
        count: number of copies.

    Attributes:
        copies: list of :class:`store_replica.StoreReplica`.
    """

    def __init__(self, seed, count=3):
        self.rng = random.Random(seed)
        self.copies = [replica() for _ in range(count)]
        self.now = 0.0
        self._era = 1
        self._revision = 10
        self._events = []
        self._items = {}
        # What the writers wrote last, None for a deletion.
        self._wanted = {}
        self._messages = []
        self._kept = self._state()

    def _state(self):
        return self._revision, list(self._events), dict(self._items)

    def step(self):
        """Carry out a random event."""
        self.now += self.rng.random() * 0.5
        for one in self.copies:
            one.drop_lapsed(self.now)
            one.accept_leased(self.now)
        kind = self.rng.choice(
            (self._write, self._write, self._read, self._read)
            + (self._tell, self._tell, self._keep, self._drill)
            + (self._restart,)
        )
        kind()

    def _write(self, key=None, value=b''):
        key = key or self.rng.choice(KEYS)
        if value == b'':
            value = None
            if self.rng.random() < 0.7:
                value = b'%d' % self.rng.randrange(10**6)
        if value is None and key not in self._items:
            return
        self._revision += 1
        self._events.append(item(key, self._revision, value))
        self._items[key] = self._events[-1]
        if value is None:
            del self._items[key]
        self._wanted[key] = value

    def _keep(self):
        self._kept = self._state()

    def _drill(self):
        self._revision, events, items = self._kept
        self._events, self._items = list(events), dict(items)
        self._era += 1
        self.now += self.rng.choice((0.3, 3.0))

    def _read(self, one=None):
        one = one or self.rng.choice(self.copies)
        before = (one.era, one.revision)
        if one.era == self._era and one.revision and self.rng.random() < 0.7:
            events = [e for e in self._events if e.revision > before[1]]
            one.apply(
                events,
                before[1],
                self._revision,
                self.now,
                self.now,
                self._era,
            )
            message = ('news', events, before[1], one.era, one.revision)
        else:
            listed = list(self._items.values())
            known = {entry.key: entry for entry in one.without_lapsed()}
            one.replace(listed, self._revision, self.now, self.now, self._era)
            differences = [
                entry
                for entry in listed
                if entry.key not in known
                or known[entry.key].value != entry.value
            ]
            differences += [
                item(key, self._revision, None)
                for key in known
                if key not in self._items
            ]
            message = ('era', differences, before, one.era, one.revision)
            if before[0] == self._era or not before[1]:
                message = ('list', listed, 0, one.era, one.revision)
        self._messages.append((message, self.now))

    def _restart(self):
        # A copy starts anew, and learns from another one of its era.
        number = self.rng.randrange(len(self.copies))
        self.copies[number] = one = replica()
        self._read(one)
        for other in self.copies:
            if other.era == one.era and other is not one:
                one.merge_kept(other.kept(self.now), self.now)

    def _tell(self):
        if not self._messages:
            return
        message, as_of = self.rng.choice(self._messages[-12:])
        kind, entries, before, era, revision = message
        one = self.rng.choice(self.copies)
        if kind == 'news':
            one.apply(entries, before, revision, as_of, self.now, era)
        elif kind == 'era':
            one.apply_differences(
                before, entries, (era, revision), as_of, self.now
            )
        else:
            one.replace(entries, revision, as_of, self.now, era)

    def settle(self):
        """Write everything again, and let all copies hear of it."""
        for one in self.copies:
            self._read(one)
        for key, value in sorted(self._wanted.items()):
            self._write(key, value)
        for _ in range(2):
            for one in self.copies:
                self._read(one)
            self.now += 11.0
            for one in self.copies:
                one.drop_lapsed(self.now)
                one.accept_leased(self.now)

    def truth(self):
        """Return the ``{key: value}`` of the store."""
        return {key: entry.value for key, entry in self._items.items()}
