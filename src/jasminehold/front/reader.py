"""Keeps the copy of the store fresh, by own reads and by peers' news."""

import json
import time

from jasminehold.decisions import read_schedule
from jasminehold.decisions import store_replica
from jasminehold.decisions import upstream_view
from jasminehold import errors
from jasminehold.platform import wire

# Entries that lapsed in an outage of the store come back within two seconds
# of its return (the users' letter).
REREGISTER_S = 2.2
# Later than any rank reads: the store, or the way to it, is lost.
STORE_LOST_S = 2.4
TICK_S = 0.1
# Lead of the boot clock over the steady one that shows a suspension.
SUSPENSION_MIN_S = 0.5
# The store answers with about 500 changes at the most; an answer of this many
# is taken for a part.
PARTIAL_READ_EVENTS = 400
# An idle store keeps a read waiting this long for a change.
WATCH_WAIT_S = 0.05


class StoreReader:
    """Reads the store when the copy is due, and tells the peers.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        store: the :class:`~jasminehold.platform.kv.Store`.
        rank: ``() -> int``, this instance's rank as a reader.
        on_change: called with the set of changed keys.
        on_read: called with ``(events, before, revision)`` after an own
            read, for the peers.
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
        """Begin to read."""
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
            # After an outage the history to catch up with would take many
            # answers; the present state takes one or two.
            if self.replica.revision and age < STORE_LOST_S:
                self._read_changes(now)
            else:
                self._read_all(now)

    def _check_suspension(self, now):
        # The steady clock stands still while the machine is suspended; the
        # copy would look fresh after it.
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
                # Part of the changes; what it leads to is older than now.
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
        """Take changes that this instance read."""
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
        """Take changes that a peer read; returns False when some are missing.

        Args:
            items, before, revision: as for :meth:`StoreReplica.apply`.
            as_of: monotonic seconds at which the peer asked the store.
            steady_since: monotonic seconds since when the peer's copy has
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
        """Take a peer's whole copy; arguments as for :meth:`apply_peer_changes`."""
        if as_of < (self.replica.as_of or as_of):
            return
        changed = self.replica.replace(
            items, revision, as_of, self._loop.now()
        )
        self.replica.on_fresh_peer(steady_since)
        self._on_store_contact()
        self._notify(changed)

    def _must_relay(self, item):
        # A report that tells nothing but that its upstream lives is not
        # passed on.
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
    """Decodes the items of the copy, each value once.

    Args:
        metrics: counters.
        log: structured log.
    """

    def __init__(self, metrics, log):
        self._metrics = metrics
        self._log = log
        self._entries = {}

    def upstreams(self, items):
        """Return the entries of ``{key: Item}``; bad ones are skipped."""
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
        """Return ``(RouteTable or None, evacuated places)``."""
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
        """Return ``{id: member document}``."""
        members = {}
        for key, item in items.items():
            try:
                doc = json.loads(item.value)
                members[key[len(wire.MEMBER_PREFIX) :]] = {
                    name: str(doc[name])
                    for name in ('callers', 'place', 'region', 'peers')
                }
            except errors.MALFORMED as exc:
                self._log(
                    'member skipped', level='warning', key=key, error=exc
                )
        return members
