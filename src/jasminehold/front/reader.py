"""Local copy of the store, updated by reads and by peers' messages."""

import math

from jasminehold.decisions import read_schedule
from jasminehold.decisions import store_replica
from jasminehold.decisions import upstream_view
from jasminehold import errors
from jasminehold.front import member_entry
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
# Growth that a busy process may show when it reads both clocks.
CLOCK_NOISE_S = 0.05
# Age told of a read that proves none.
UNPROVEN_AGE_S = 3600.0
# Proven age at which an instance reads for itself if it has to prove that
# keys are valid: news do not reach it, or do not prove when they were read.
PROOF_READ_AGE_S = 2.0
# The store returns about 500 changes or 1 MB at most; a response with this
# many, or with values of so many bytes, is treated as incomplete.
PARTIAL_READ_EVENTS = 400
PARTIAL_READ_BYTES = 300_000
# Time that a read waits at the store for a change.
WATCH_WAIT_S = 0.05
# Instances that lack changes read them within this time, not all at once.
CATCH_UP_SPREAD_S = 0.3


class StoreReader:
    """Reads the store when the copy is too old, and informs the peers.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        store: the :class:`~jasminehold.platform.kv.Store`.
        rank: ``() -> int``, this instance's rank as a reader.
        on_change: called with the set of changed keys.
        on_read: called with ``(events, before, revision, as_of)`` after a
            read of the store, to inform the peers.
        on_list: called with ``(differences, former, as_of)`` after a read of
            all items: the differences to the copy before, and the ``(era,
            revision)`` of that.
        rng: random source.
        log: structured log.

    Attributes:
        replica: the :class:`store_replica.StoreReplica`.
        failing: whether the last read failed.
        needs_proof: ``() -> bool``, whether decisions need a proven age.
    """

    def __init__(
        self, loop, store, rank, on_change, on_read, on_list, rng, log
    ):
        self.replica = store_replica.StoreReplica(
            wire.LEASED_PREFIXES,
            REREGISTER_S,
            STORE_LOST_S,
            wire.REWRITTEN_PREFIXES,
            wire.SETTLED_KEY,
        )
        self._loop = loop
        self._store = store
        self._rank = rank
        self._on_change = on_change
        self._on_read = on_read
        self._on_list = on_list
        self._rng = rng
        self._log = log
        self._reading = False
        self._retry_at = 0.0
        self.failing = False
        self.needs_proof = lambda: False
        self._sent_at = -math.inf
        self._catch_up_at = None
        # When a read last ended, or a peer's was taken over.
        self._contact_at = -math.inf
        # When the read was sent that a peer told of last.
        self._heard_at = -math.inf
        self._lost = False
        self._boot_clock_lead_s = self._boot_clock_lead()

    def start(self):
        """Start reading."""
        self._tick()

    def _tick(self):
        self._loop.call_later(TICK_S, self._tick)
        now = self._loop.now()
        self._check_suspension()
        gone = self.replica.drop_lapsed(now)
        if gone:
            self._log('lapsed keys dropped', keys=sorted(gone)[:8])
            self._on_change(gone)
        self._notify(self.replica.accept_leased(now))
        age = self.replica.age(now)
        if age > STORE_LOST_S and not self._lost and self.replica.revision:
            self._lost = True
            self._log('store lost', level='warning', age_s=round(age, 2))
        due = age >= read_schedule.threshold_s(self._rank()) - TICK_S / 2
        if self._catch_up_at is not None and now >= self._catch_up_at:
            self._catch_up_at = None
            due = True
        due = due or self._lacks_proof(now)
        if due and not self._reading and now >= self._retry_at:
            self._reading = True
            self._sent_at = now
            # After an outage the missed changes would take many responses;
            # the current state takes one or two.
            # Not the copy's age, which a read that takes long adds to.
            silent_s = now - self._contact_at
            if self.replica.revision and silent_s < STORE_LOST_S:
                self._read_changes(now)
            else:
                self._read_all(now)

    def _lacks_proof(self, now):
        return (
            now - self._sent_at >= PROOF_READ_AGE_S
            and self.needs_proof()
            and self.replica.proven_age(now) >= PROOF_READ_AGE_S
            and self.replica.would_prove(now)
        )

    def _boot_clock_lead(self):
        # If the process is stopped in between, the lead comes out too small,
        # and the next one looks like a suspension.
        boot = self._loop.boot_now()
        return boot - self._loop.now()

    def _check_suspension(self):
        # The monotonic clock stops while the machine is suspended, so the
        # copy would look fresh afterwards.
        lead = self._boot_clock_lead()
        growth = lead - self._boot_clock_lead_s
        if growth > SUSPENSION_MIN_S:
            self._log('machine was suspended', for_s=round(growth, 1))
            self.replica.forget_age()
            self._contact_at = -math.inf
        elif growth > CLOCK_NOISE_S:
            self.replica.add_age(growth)
        elif growth > 0:
            # Short suspensions add up.
            return
        self._boot_clock_lead_s = lead

    def proven_age(self, now):
        """Return the proven age of the copy, see :class:`StoreReplica`.

        It is right also just after a suspension.
        """
        self._check_suspension()
        return self.replica.proven_age(now)

    def sent_stamp(self, sent_at):
        """Return a function that returns when a message was sent.

        Suspensions since then count, which the monotonic clock leaves out.

        Args:
            sent_at: monotonic seconds; now.
        """
        lead = self._boot_clock_lead()

        def as_of():
            now = self._loop.now()
            return sent_at - max(self._loop.boot_now() - now - lead, 0.0)

        return as_of

    def _read_all(self, sent_at):
        stamp = self.sent_stamp(sent_at)

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
            replica = self.replica
            before = (replica.era, replica.revision)
            if (result.era, result.revision) < before:
                return
            differences = self._differences(items, result.revision)
            as_of = stamp()
            changed = replica.replace(
                items, result.revision, as_of, self._loop.now(), result.era
            )
            # Peers do not wait for the first read of an instance that starts.
            if before[1]:
                self._log_era(before)
                if result.era != before[0] or self._tells():
                    self._on_list(differences, before, as_of)
            self._notify(changed)

        self._store.range('', done)

    def _differences(self, items, revision):
        # What turns this copy into the items, for peers with the same copy.
        known = {item.key: item for item in self.replica.without_lapsed()}
        changed = []
        for item in items:
            former = known.pop(item.key, None)
            if former is None or (
                former.value != item.value and not _is_same(item, former)
            ):
                changed.append(item)
        return changed + [
            store_replica.Item(key, None, revision) for key in known
        ]

    def _log_era(self, before):
        if self.replica.era == before[0]:
            return
        self._log(
            'store went back',
            level='warning',
            era=self.replica.era,
            revision=self.replica.revision,
            former=before,
        )

    def _read_changes(self, sent_at):
        before = self.replica.revision
        stamp = self.sent_stamp(sent_at)

        def done(result, exc):
            if isinstance(exc, errors.Compacted):
                self._log('store forgot its history', revision=before)
                self._read_all(self._loop.now())
                return
            if exc is not None:
                self._on_failed(exc)
                return
            if result.era > self.replica.era:
                self._read_all(self._loop.now())
                return
            if _is_partial(result.items):
                # Incomplete: the copy is not yet current at the read's time.
                as_of = self.replica.proven_as_of
                if as_of is None:
                    as_of = self._loop.now() - UNPROVEN_AGE_S
                self._apply_read(result, before, as_of)
                self._read_changes(self._loop.now())
                return
            self._finish_read()
            self._apply_read(result, before, stamp())

        self._store.watch('', before, WATCH_WAIT_S, done)

    def _apply_read(self, result, before, as_of):
        if result.era < self.replica.era:
            return
        events = [
            item
            for item in result.items
            if item.key.startswith(wire.COPIED_PREFIXES)
        ]
        news = self.replica.news(events, before, _is_same)
        changed = self.replica.apply(
            events,
            before,
            result.revision,
            as_of,
            self._loop.now(),
            result.era,
        )
        if self._tells():
            # Not the replica's revision: peers may have told later changes
            # while the read was under way.
            self._on_read(news, before, result.revision, as_of)
        self._notify(changed or set())

    def _tells(self):
        heard_s = self._loop.now() - self._heard_at
        return read_schedule.tells(self._rank(), heard_s)

    def apply_peer_changes(
        self,
        items,
        before,
        revision,
        as_of,
        steady_since,
        era=0,
        proven=None,
    ):
        """Apply changes that a peer read; returns False if some are missing.

        Args:
            items, before, revision, era: as for :meth:`StoreReplica.apply`.
            as_of: monotonic seconds at which the peer sent its read.
            steady_since: monotonic seconds from which on the peer's copy has
                been fresh.
            proven: monotonic seconds before which the peer certainly did not
                send its read, None for ``as_of``.
        """
        if era < self.replica.era:
            return True
        self._heard_at = max(self._heard_at, as_of)
        changed = self.replica.apply(
            items, before, revision, as_of, self._loop.now(), era, proven
        )
        return self._on_peer_copy(changed, steady_since)

    def apply_peer_list(
        self, items, before, start, as_of, steady_since, proven=None
    ):
        """Apply the differences that a peer found in a complete list.

        Args:
            items, before, start: as for
                :meth:`StoreReplica.apply_differences`.
            as_of, steady_since, proven: as for
                :meth:`apply_peer_changes`.

        Returns:
            False if this copy differed from the peer's.
        """
        former = (self.replica.era, self.replica.revision)
        if start < former:
            return True
        self._heard_at = max(self._heard_at, as_of)
        changed = self.replica.apply_differences(
            before, items, start, as_of, self._loop.now(), proven
        )
        if changed is not None:
            self._log_era(former)
        return self._on_peer_copy(changed, steady_since)

    def catch_up(self, era):
        """Read missing changes from the store soon, if it is of use.

        A read costs one call; a list from a peer many times the bytes.

        Args:
            era: era of the store in which changes are missing.

        Returns:
            False if the changes have to come from a peer.
        """
        if (
            not self.replica.revision
            or era != self.replica.era
            or self.failing
        ):
            return False
        self.read_soon(CATCH_UP_SPREAD_S)
        return True

    def read_soon(self, spread_s=0.0):
        """Read the store at a random time within ``spread_s`` seconds."""
        if self._catch_up_at is None:
            self._catch_up_at = (
                self._loop.now() + spread_s * self._rng.random()
            )

    def _on_peer_copy(self, changed, steady_since):
        if changed is None:
            return False
        self._store.note_era(self.replica.era)
        self.replica.on_fresh_peer(steady_since)
        self._on_store_contact()
        self._notify(changed)
        return True

    def apply_peer_snapshot(
        self, items, revision, as_of, steady_since, era=0, proven=None
    ):
        """Replace the copy by a peer's; see :meth:`apply_peer_changes`."""
        replica = self.replica
        former = (replica.era, replica.revision)
        if (era, revision) < former:
            return
        if era == replica.era and as_of < (replica.as_of or as_of):
            return
        changed = replica.replace(
            items, revision, as_of, self._loop.now(), era, proven
        )
        if former[1]:
            self._log_era(former)
        self._on_peer_copy(changed, steady_since)

    def _notify(self, changed):
        if changed:
            self._on_change(changed)

    def _finish_read(self):
        self._reading = False
        self.failing = False
        self._on_store_contact()

    def _on_store_contact(self):
        self._contact_at = self._loop.now()
        if self._lost:
            self._lost = False
            self._log('store regained', revision=self.replica.revision)

    def _on_failed(self, exc):
        self._reading = False
        self.failing = True
        sent = not isinstance(exc, errors.NotConnected)
        pause = read_schedule.retry_s(self._rank(), sent, self._rng)
        self._retry_at = self._loop.now() + pause
        if sent:
            self._log('store read failed', level='warning', error=exc)


def _is_partial(items):
    size = sum(len(item.value or b'') for item in items)
    return len(items) >= PARTIAL_READ_EVENTS or size >= PARTIAL_READ_BYTES


def _is_same(item, known):
    # Reports of an upstream that change nothing but their time.
    if not item.key.startswith(wire.UPSTREAM_PREFIX):
        return False
    try:
        return upstream_view.equal_except_time(
            wire.decode_upstream(item), wire.decode_upstream(known)
        )
    except wire.MalformedBody:
        return False


class Decoder:
    """Decodes the items of the copy; entries and members are cached.

    Args:
        metrics: counters.
        log: structured log.
    """

    def __init__(self, metrics, log):
        self._metrics = metrics
        self._log = log
        self._entries = {}
        self._members = {}

    def upstreams(self, items):
        """Return the valid upstream entries of ``{key: Item}``."""
        kept = {}
        for key, item in items.items():
            known = self._entries.get(key)
            if known is None or known[0] != item.value:
                was_skipped = known is not None and known[1] is None
                known = (item.value, self._upstream(item, was_skipped))
            kept[key] = known
        self._entries = kept
        return [entry for _, entry in kept.values() if entry is not None]

    def _upstream(self, item, was_skipped):
        try:
            return wire.decode_upstream(item)
        except wire.MalformedBody as exc:
            self._metrics.inc('upstream_entries_malformed_total')
            # Its writer may go on for ever.
            if not was_skipped:
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
                table = self.config(item)
        return table, frozenset(places)

    def config(self, item):
        """Return the ``RouteTable`` of an item, or None."""
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
        kept = {}
        for key, item in items.items():
            known = self._members.get(key)
            if known is None or known[0] != item.value:
                known = (item.value, self._member(item))
            kept[key] = known
        self._members = kept
        return {
            key[len(wire.MEMBER_PREFIX) :]: doc
            for key, (_, doc) in kept.items()
            if doc is not None
        }

    def _member(self, item):
        try:
            return member_entry.decode(item.value)
        except errors.UnreadableDocument as exc:
            self._log(
                'member skipped', level='warning', key=item.key, error=exc
            )
            return None
