"""Local copy of the store, updated by reads and by peers' messages."""

import json
import time

from jasminehold.decisions import read_schedule
from jasminehold.decisions import store_replica
from jasminehold.decisions import upstream_view
from jasminehold import errors
from jasminehold.platform import wire

# Entries whose lease expired in a store outage are registered again within
# two seconds of the store's return.
REREGISTER_S = 2.2
# Longer than any rank's read threshold: the store is down or unreachable.
STORE_LOST_S = 2.4
TICK_S = 0.1
# Growth of the boot clock's lead over the monotonic clock that indicates a
# suspension.
SUSPENSION_MIN_S = 0.5
# The store returns about 500 changes at most; a response with this many is
# treated as incomplete.
PARTIAL_READ_EVENTS = 400
# Time that a read waits at the store for a change.
WATCH_WAIT_S = 0.05


class StoreReader:
    """Reads the store when the copy is too old, and informs the peers.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        store: the :class:`~jasminehold.platform.kv.Store`.
        rank: ``() -> int``, this instance's rank as a reader.
        on_change: called with the set of changed keys.
        on_read: called with ``(events, before, revision)`` after a read
            of the store, to inform the peers.
        rng: random source.
        log: structured log.

    Attributes:
        replica: the :class:`store_replica.StoreReplica`.
    """

    def __init__(self, loop, store, rank, on_change, on_read, rng, log):
        self.replica = store_replica.StoreReplica(
            wire.LEASED_PREFIXES, REREGISTER_S, STORE_LOST_S
        )
        self._loop = loop
        self._store = store
        self._rank = rank
        self._on_change = on_change
        self._on_read = on_read
        self._rng = rng
        self._log = log
        self._reading = False
        self._retry_at = 0.0
        self._lost = False
        self._boot_clock_lead_s = (
            time.clock_gettime(time.CLOCK_BOOTTIME) - loop.now()
        )

    def start(self):
        """Start reading."""
        self._tick()

    def _tick(self):
        self._loop.call_later(TICK_S, self._tick)
        now = self._loop.now()
        self._check_suspension(now)
        gone = self.replica.drop_lapsed(now)
        if gone:
            self._log('lapsed keys dropped', keys=sorted(gone)[:8])
            self._on_change(gone)
        age = self.replica.age(now)
        if age > STORE_LOST_S and not self._lost and self.replica.revision:
            self._lost = True
            self._log('store lost', level='warning', age_s=round(age, 2))
        due = age >= read_schedule.threshold_s(self._rank()) - TICK_S / 2
        if due and not self._reading and now >= self._retry_at:
            self._reading = True
            # After an outage the missed changes would take many responses;
            # the current state takes one or two.
            if self.replica.revision and age < STORE_LOST_S:
                self._read_changes(now)
            else:
                self._read_all(now)

    def _check_suspension(self, now):
        # The monotonic clock stops while the machine is suspended, so the
        # copy would look fresh afterwards.
        lead = time.clock_gettime(time.CLOCK_BOOTTIME) - now
        if lead - self._boot_clock_lead_s > SUSPENSION_MIN_S:
            self._log(
                'machine was suspended',
                for_s=round(lead - self._boot_clock_lead_s, 1),
            )
            self.replica.as_of = None
        self._boot_clock_lead_s = lead

    def _read_all(self, sent_at):
        def done(result, exc):
            if exc is not None:
                self._on_failed(exc)
                return
            self._finish_read()
            items = [
                item
                for item in result.items
                if item.key.startswith(wire.COPIED_PREFIXES)
            ]
            changed = self.replica.replace(
                items, result.revision, sent_at, self._loop.now()
            )
            self._on_read(None, 0, self.replica.revision)
            self._notify(changed)

        self._store.range('', done)

    def _read_changes(self, sent_at):
        before = self.replica.revision

        def done(result, exc):
            if isinstance(exc, errors.Compacted):
                self._log('store forgot its history', revision=before)
                self._read_all(self._loop.now())
                return
            if exc is not None:
                self._on_failed(exc)
                return
            if len(result.items) >= PARTIAL_READ_EVENTS:
                # Incomplete: the copy is not yet current at the read's time.
                as_of = self.replica.as_of
                self.apply_own_changes(
                    result.items, before, result.revision, as_of
                )
                self._read_changes(self._loop.now())
                return
            self._finish_read()
            self.apply_own_changes(
                result.items, before, result.revision, sent_at
            )

        self._store.watch('', before, WATCH_WAIT_S, done)

    def apply_own_changes(self, items, before, revision, as_of):
        """Apply changes that this instance read from the store."""
        events = [
            item for item in items if item.key.startswith(wire.COPIED_PREFIXES)
        ]
        news = [item for item in events if self._must_relay(item)]
        changed = self.replica.apply(
            events, before, revision, as_of, self._loop.now()
        )
        self._on_read(news, before, self.replica.revision)
        self._notify(changed or set())

    def apply_peer_changes(self, items, before, revision, as_of, steady_since):
        """Apply changes that a peer read; returns False if some are missing.

        Args:
            items, before, revision: as for :meth:`StoreReplica.apply`.
            as_of: monotonic seconds at which the peer sent its read.
            steady_since: monotonic seconds from which on the peer's copy has
                been fresh.
        """
        changed = self.replica.apply(
            items, before, revision, as_of, self._loop.now()
        )
        if changed is None:
            return False
        self.replica.on_fresh_peer(steady_since)
        self._on_store_contact()
        self._notify(changed)
        return True

    def apply_peer_snapshot(self, items, revision, as_of, steady_since):
        """Replace the copy by a peer's; see :meth:`apply_peer_changes`."""
        if as_of < (self.replica.as_of or as_of):
            return
        changed = self.replica.replace(
            items, revision, as_of, self._loop.now()
        )
        self.replica.on_fresh_peer(steady_since)
        self._on_store_contact()
        self._notify(changed)

    def _must_relay(self, item):
        # Upstream reports that change nothing but their time are not sent to
        # the peers.
        if not item.key.startswith(wire.UPSTREAM_PREFIX):
            return True
        known = self.replica.items.get(item.key)
        if item.value is None or known is None:
            return True
        try:
            return not upstream_view.equal_except_time(
                wire.decode_upstream(item), wire.decode_upstream(known)
            )
        except wire.MalformedBody:
            return True

    def _notify(self, changed):
        if changed:
            self._on_change(changed)

    def _finish_read(self):
        self._reading = False
        self._on_store_contact()

    def _on_store_contact(self):
        if self._lost:
            self._lost = False
            self._log('store regained', revision=self.replica.revision)

    def _on_failed(self, exc):
        self._reading = False
        sent = not isinstance(exc, errors.NotConnected)
        pause = read_schedule.retry_s(self._rank(), sent, self._rng)
        self._retry_at = self._loop.now() + pause
        if sent:
            self._log('store read failed', level='warning', error=exc)


class Decoder:
    """Decodes the items of the copy; upstream entries are cached.

    Args:
        metrics: counters.
        log: structured log.
    """

    def __init__(self, metrics, log):
        self._metrics = metrics
        self._log = log
        self._entries = {}

    def upstreams(self, items):
        """Return the valid upstream entries of ``{key: Item}``."""
        kept = {}
        for key, item in items.items():
            known = self._entries.get(key)
            if known is None or known[0] != item.value:
                known = (item.value, self._upstream(item))
            kept[key] = known
        self._entries = kept
        return [entry for _, entry in kept.values() if entry is not None]

    def _upstream(self, item):
        try:
            return wire.decode_upstream(item)
        except wire.MalformedBody as exc:
            self._metrics.inc('upstream_entries_malformed_total')
            self._log('entry skipped', level='warning', error=exc)
            return None

    def operator(self, items):
        """Return ``(RouteTable or None, set of evacuated places)``."""
        table = None
        places = set()
        for key, item in items.items():
            place = wire.evacuated_place(key)
            if place is not None:
                places.add(place)
            elif key == wire.CONFIG_KEY:
                table = self._config(item)
        return table, frozenset(places)

    def _config(self, item):
        try:
            return wire.decode_config(item.value)
        except wire.MalformedBody as exc:
            self._log(
                'configuration skipped',
                level='error',
                revision=item.revision,
                error=exc,
            )
            return None

    def members(self, items):
        """Return ``{id: member document}``, without invalid ones."""
        members = {}
        for key, item in items.items():
            try:
                doc = json.loads(item.value)
                members[key[len(wire.MEMBER_PREFIX) :]] = {
                    name: str(doc[name])
                    for name in ('callers', 'place', 'region', 'peers')
                }
            except errors.MALFORMED_MESSAGE_ERRORS as exc:
                self._log(
                    'member skipped', level='warning', key=key, error=exc
                )
        return members
