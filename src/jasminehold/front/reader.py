"""Reads configuration, evacuations, upstreams and members from the store."""

import json

from jasminehold import errors
from jasminehold.platform import kv
from jasminehold.platform import wire

# An upstream must get nothing more 2.5 s after its leaving was accepted.
UPSTREAMS_EVERY_S = 1.0
# After a failed call, with jitter from 0.5 to 1.
RETRY_S = 0.4


class PrefixReader:
    """Keeps a copy of the keys under a prefix, by a list and watches.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        store: the :class:`~jasminehold.platform.kv.Store`.
        prefix: prefix of the keys.
        on_change: called with ``{key: Item}`` after each change.
        rng: random source.
        log: structured log.
    """

    def __init__(self, loop, store, prefix, on_change, rng, log):
        self.items = {}
        self.revision = 0
        self._loop = loop
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._rng = rng
        self._log = log
        self._up = True

    def start(self):
        """Begin to read."""
        self._store.range(self._prefix, self._on_range)

    def _again(self, exc):
        if self._up and not isinstance(exc, errors.Compacted):
            self._up = False
            self._log(
                'store lost', level='warning', prefix=self._prefix, error=exc
            )
        delay = RETRY_S * (0.5 + 0.5 * self._rng.random())
        self._loop.call_later(delay, self.start)

    def _on_range(self, result, exc):
        if exc is not None:
            self._again(exc)
            return
        if not self._up:
            self._up = True
            self._log('store regained', prefix=self._prefix)
        self.items = {item.key: item for item in result.items}
        self.revision = result.revision
        self._on_change(self.items)
        self._watch()

    def _watch(self):
        self._store.watch(
            self._prefix, self.revision, kv.WATCH_WAIT_S, self._on_events
        )

    def _on_events(self, result, exc):
        if exc is not None:
            if isinstance(exc, errors.Compacted):
                self.start()
            else:
                self._again(exc)
            return
        for item in result.items:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
        self.revision = max(self.revision, result.revision)
        if result.items:
            self._on_change(self.items)
        self._watch()


class UpstreamReader:
    """Reads the list of upstreams at a fixed period.

    Args:
        loop, store, rng, log: as for :class:`PrefixReader`.
        steering: the :class:`~jasminehold.front.steering.Steering`.
        metrics: counters.
    """

    def __init__(self, loop, store, steering, rng, log, metrics):
        self._loop = loop
        self._store = store
        self._steering = steering
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._up = True
        self._bad = {}

    def start(self):
        """Begin to read."""
        self._store.range(wire.UPSTREAM_PREFIX, self._on_range)

    def _on_range(self, result, exc):
        if exc is not None:
            if self._up:
                self._log('store lost', level='warning', error=exc)
            self._up = False
            self._steering.view.on_read_failed()
            delay = RETRY_S * (0.5 + 0.5 * self._rng.random())
            self._loop.call_later(delay, self.start)
            return
        if not self._up:
            self._log('store regained', revision=result.revision)
        self._up = True
        entries = []
        for item in result.items:
            entry = self._decode(item)
            if entry is not None:
                entries.append(entry)
        now = self._loop.now()
        self._steering.on_entries(entries, now)
        settles_in = self._steering.view.settles_in(now)
        delay = UPSTREAMS_EVERY_S
        if settles_in is not None:
            delay = min(delay, settles_in)
        self._loop.call_later(delay, self.start)

    def _decode(self, item):
        try:
            return wire.decode_upstream(item)
        except wire.BadBody as exc:
            self._metrics.inc('upstream_entries_malformed_total')
            if self._bad.get(item.key) != item.value:
                self._bad[item.key] = item.value
                self._log('entry skipped', level='warning', error=exc)
            return None


def decode_operator(items, log):
    """Return ``(RouteTable or None, evacuated places)`` of the items."""
    table = None
    places = set()
    for key, item in items.items():
        place = wire.evacuated_place(key)
        if place is not None:
            places.add(place)
        elif key == wire.CONFIG_KEY:
            try:
                table = wire.decode_config(item.value)
            except wire.BadBody as exc:
                log(
                    'configuration skipped',
                    level='error',
                    revision=item.revision,
                    error=exc,
                )
    return table, frozenset(places)


def decode_members(items, log):
    """Return ``{id: member document}`` of the items under the prefix."""
    members = {}
    for key, item in items.items():
        try:
            doc = json.loads(item.value)
            members[key[len(wire.MEMBER_PREFIX) :]] = {
                name: str(doc[name])
                for name in ('callers', 'place', 'region', 'peers')
            }
        except (LookupError, TypeError, ValueError) as exc:
            log('member skipped', level='warning', key=key, error=repr(exc))
    return members
