"""State of one claim shard: entries, batches, and what an answer means.

The log names the next call to the platform (:meth:`ClaimLog.next_action`) and
is told its outcome (:meth:`ClaimLog.finish`); one call is outstanding at a
time. Operations form batches: a batch is the whole new head value, stored by
compare-and-swap on the version of the head that it was made from. A claim is
granted only after its head is known to be stored.

Operations are replayed in order: those of the segments that the head names,
then those of the head. A new owner loads them and then stores a head with the
same operations and a batch id of its own (the fence). From then on no write
of an earlier owner can succeed, because versions are never reused.

Times ``now`` are monotonic seconds; ``wall`` is the time of day in seconds,
which successive owners compare when entries expire.
"""

import collections
import enum
import math
import struct
import typing

import msgpack


class Config(typing.NamedTuple):
    """Sizes and times of a shard (section 3.5 of the design).

    Attributes:
        keep_s: seconds for which a claim is kept.
        head_bytes: largest head.
        segment_bytes: largest segment.
        write_interval_s: least seconds between two writes.
        retry_interval_s: seconds before a call that failed is tried again.
        resolve_timeout_s: seconds after which a claim whose outcome is not
            settled is answered ``unknown``, and one that was not sent
            ``unavailable``.
        max_claims: claims kept by one instance; a new one beyond them is
            answered
            ``unavailable``. None is forgotten before its time, because its
            key could then be claimed again.
        orphan_scan_interval_s: seconds between two searches for segments that a former
            owner's late write left behind.
    """

    keep_s: float = 3600.0
    head_bytes: int = 16 * 1024
    segment_bytes: int = 64 * 1024
    write_interval_s: float = 1 / 30
    retry_interval_s: float = 0.2
    resolve_timeout_s: float = 2.0
    max_claims: int = 340000
    orphan_scan_interval_s: float = 3600.0


class Status(enum.Enum):
    """Outcome of a claim or a release."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    KEY_REUSED = 'key_reused'
    RELEASED = 'released'
    NOT_HELD = 'not_held'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


class Result(typing.NamedTuple):
    """Outcome of one operation; ``instance`` is the one that has the key."""

    status: Status
    instance: str = ''


class Outcome(enum.Enum):
    """Outcome of a call to the platform."""

    OK = 'ok'
    ABSENT = 'absent'
    MISMATCH = 'mismatch'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


class Action(typing.NamedTuple):
    """A call to the platform: ``get``, ``put``, ``delete`` or ``list``.

    For ``list``, ``key`` is the prefix and ``after`` the last key known.
    """

    verb: str
    key: str
    value: bytes = b''
    if_version: int = 0
    after: str = ''


class Entry(typing.NamedTuple):
    """A claim in force."""

    request: bytes
    instance: str
    time: float


class _Item(typing.NamedTuple):
    ticket: object
    verb: str
    key: bytes
    request: bytes
    instance: str
    since: float


class _Batch(typing.NamedTuple):
    ident: bytes
    base: int
    value: bytes
    head_ops: list
    new_ops: list
    segments: list
    results: list
    since: float


class _Segment(typing.NamedTuple):
    number: int
    newest: int


class _Phase(enum.Enum):
    IDLE = 'idle'
    HEAD = 'head'
    SEGMENTS = 'segments'
    FENCE = 'fence'
    READY = 'ready'


# Room for the batch id and the list's framing in a head.
_FRAME_BYTES = 64
_SEGMENT_NAME_BYTES = 16
_HOUSEKEEPING_S = 30.0


class ClaimLog:
    """One shard's claims at its owner.

    Args:
        shard: shard number.
        cfg: :class:`Config`.
        rng: random source of batch ids and segment numbers.

    Attributes:
        max_entries: claims that this shard may keep, less than ``max_claims`` while
            the instance owns other shards.
    """

    def __init__(self, shard, cfg, rng):
        self.cfg = cfg
        self.max_entries = cfg.max_claims
        self._head_key = 'claims/%d/head' % shard
        self._segment_prefix = 'claims/%d/seg/' % shard
        self._rng = rng
        self._done = []
        self._queue = collections.deque()
        self._reset(_Phase.IDLE)

    def _reset(self, phase):
        self._phase = phase
        self._current = None
        self._not_before = 0.0
        self._retry_at = 0.0
        self._pending = None
        self._doubt = False
        self._must_read = False
        self._answered = False
        self._version = 0
        self._batch_id = b''
        self._entries = {}
        self._head_ops = []
        self._segments = []
        self._after = ''
        self._loaded = {}
        self._orphans = []
        self._tail_ops = []
        self._spill = None
        self._spilled = None
        self._garbage = []
        self._next_sweep = 0.0
        self._next_clean = None

    @property
    def ready(self):
        """Whether the shard's claims are loaded and fenced."""
        return self._phase is _Phase.READY

    @property
    def size(self):
        """Number of claims kept."""
        return len(self._entries)

    def entries(self):
        """Yield ``(key, Entry)`` of the claims kept."""
        for key, packed in self._entries.items():
            yield key, _unpack(packed)

    def activate(self):
        """Start to own the shard: load it before anything is granted."""
        if self._phase is _Phase.IDLE:
            self._reset(_Phase.HEAD)

    def deactivate(self):
        """Stop owning the shard and answer everything that waits."""
        pending = self._pending
        sent = self._doubt or (
            self._current is not None and self._current.verb == 'put'
        )
        if pending is not None and not self._answered:
            self._answer_pending(
                Status.UNKNOWN if sent else Status.UNAVAILABLE
            )
        while self._queue:
            self._refuse(self._queue.popleft())
        self._reset(_Phase.IDLE)

    def claim(self, ticket, key, request, instance, now, wall):
        """Ask for a key.

        Args:
            ticket: returned with the result by :meth:`take_results`.
            key: digest of the idempotency key.
            request: digest of method, path and body.
            instance: holder of the claim; only a release by the same one
                frees the key.
            now: monotonic seconds.
            wall: time of day in seconds.
        """
        item = _Item(ticket, 'claim', key, request, instance, now)
        if self._phase is _Phase.READY:
            entry = self._lookup(key, wall)
            if entry is not None and not self._busy(key):
                self._done.append((ticket, _judge(entry, request)))
                return
        self._enqueue(item)

    def release(self, ticket, key, instance, now):
        """Give back a claim whose request certainly did not run."""
        self._enqueue(_Item(ticket, 'release', key, b'', instance, now))

    def take_results(self):
        """Return and forget the list of ``(ticket, Result)``."""
        done, self._done = self._done, []
        return done

    def wake_at(self, now):
        """Return when :meth:`next_action` may have something to do."""
        if self._phase is _Phase.IDLE or self._current is not None:
            return now + self.cfg.resolve_timeout_s / 4
        if self._phase is not _Phase.READY:
            return max(self._not_before, self._retry_at, now)
        busy = self._queue or self._pending or self._garbage or self._spill
        if not busy and not self._orphans:
            clean = now if self._next_clean is None else self._next_clean
            return max(min(self._next_sweep, clean), now)
        if self._garbage and self._pending is None:
            return max(self._retry_at, now)
        return max(self._not_before, self._retry_at, now)

    def next_action(self, now, wall):
        """Return the next call to the platform, or None for now."""
        self._expire_waiting(now)
        if (
            self._phase is _Phase.IDLE
            or self._current is not None
            or now < self._retry_at
        ):
            return None
        if now < self._not_before:
            # Between two writes there is time to delete dropped segments.
            self._current = self._choose_deletion()
        else:
            self._current = self._choose(now, wall)
        return self._current

    def _choose(self, now, wall):
        if self._pending is not None:
            if self._must_read:
                return Action('get', self._head_key)
            return self._put_pending()
        if self._phase is _Phase.HEAD:
            return Action('get', self._head_key)
        if self._phase is _Phase.SEGMENTS:
            prefix = self._segment_prefix
            return Action('list', prefix, after=self._after)
        if self._phase is _Phase.FENCE:
            self._begin([], [], self._segments, self._head_ops, now)
            return self._put_pending()
        if self._spill is not None:
            return self._put_spill()
        if self._queue:
            action = self._next_batch(now, wall)
            if action is not None:
                return action
        if now >= self._next_sweep and self._spilled is None:
            self._next_sweep = now + _HOUSEKEEPING_S
            self._forget_expired(wall)
            if self._kept_segments(wall) != self._segments:
                kept = self._kept_segments(wall)
                self._begin([], [], kept, self._head_ops, now)
                return self._put_pending()
        return self._choose_deletion() or self._choose_cleaning(now)

    def _choose_cleaning(self, now):
        if self._next_clean is None:
            self._next_clean = now + self.cfg.orphan_scan_interval_s
        if self._spilled is not None:
            return None
        if self._orphans:
            # A head stored after the list proves that no later owner had
            # written a segment when the list was made, see _on_leftovers.
            self._begin([], [], self._segments, self._head_ops, now)
            return self._put_pending()
        if now >= self._next_clean:
            return Action('list', self._segment_prefix, after=self._after)
        return None

    def _choose_deletion(self):
        if not self._garbage or self._pending is not None or self._spill:
            return None
        key, version = self._garbage[0]
        if version is None:
            return Action('get', key)
        return Action('delete', key, b'', version)

    def finish(self, action, outcome, value, version, now):
        """Record the outcome of a call.

        Args:
            action: the :class:`Action` given out; any other is ignored, it
                belongs to an earlier ownership.
            outcome: :class:`Outcome`.
            value: bytes read, for ``get``; ``(key, value, version)`` of one
                page, for ``list``.
            version: version read or written; whether pages follow, for
                ``list``.
            now: monotonic seconds.
        """
        if action is not self._current:
            return
        self._current = None
        if outcome in (Outcome.UNAVAILABLE, Outcome.UNKNOWN):
            self._retry_at = now + self.cfg.retry_interval_s
        elif action.verb == 'put':
            self._not_before = now + self.cfg.write_interval_s
        if self._pending is not None:
            if action.verb == 'put':
                self._on_put(outcome, version)
            else:
                self._on_read_back(outcome, value, version)
        elif self._phase is _Phase.HEAD:
            self._on_head(outcome, value, version)
        elif self._phase is _Phase.SEGMENTS:
            self._on_segments(outcome, value, version)
        elif action.verb == 'put':
            self._on_spill(outcome)
        elif action.verb == 'list':
            self._on_leftovers(outcome, value, version, now)
        else:
            self._on_garbage(action, outcome, version)

    # Loading

    def _on_head(self, outcome, value, version):
        if outcome is Outcome.ABSENT:
            self._version = 0
            self._phase = _Phase.FENCE
        elif outcome is Outcome.OK:
            doc = msgpack.unpackb(value)
            self._version = version
            self._batch_id = doc['batch']
            self._head_ops = doc['ops']
            self._segments = [_Segment(*cell) for cell in doc['segs']]
            self._phase = _Phase.SEGMENTS

    def _on_segments(self, outcome, items, more):
        if outcome is not Outcome.OK:
            return
        named = {self._segment_key(cell): cell for cell in self._segments}
        for key, value, version in items:
            if key in named:
                self._loaded[named[key].number] = msgpack.unpackb(value)
            else:
                self._orphans.append((key, version))
        if more:
            self._after = items[-1][0]
        elif len(self._loaded) < len(named):
            # The previous owner dropped one after this head was read.
            self._reset(_Phase.HEAD)
        else:
            self._replay()

    def _replay(self):
        self._entries = {}
        for segment in self._segments:
            self._tail_ops = self._loaded[segment.number]
            for op in self._tail_ops:
                self._apply(op)
        for op in self._head_ops:
            self._apply(op)
        self._loaded = {}
        self._phase = _Phase.FENCE

    # Batches

    def _next_batch(self, now, wall):
        head_ops, segments = self._head_ops, self._segments
        if self._spilled is not None:
            # The stored segment is named in place of its operations.
            head_ops, segments = [], self._spilled
        room = self._room(head_ops)
        overlay = {}
        free = self.max_entries - len(self._entries)
        ops, results = [], []
        while self._queue:
            item = self._queue[0]
            if item.key in overlay:
                entry = overlay[item.key]
            else:
                entry = self._lookup(item.key, wall)
            op, result, after = _decide(item, entry, wall)
            if after is not None and entry is None:
                if free <= 0:
                    results.append((item.ticket, Result(Status.UNAVAILABLE)))
                    self._queue.popleft()
                    continue
                free -= 1
            if op is not None:
                room -= len(msgpack.packb(op))
                if room < 0:
                    break
                ops.append(op)
                overlay[item.key] = after
            results.append((item.ticket, result))
            self._queue.popleft()
        if ops:
            self._begin(ops, results, segments, head_ops, now)
            return self._put_pending()
        self._done.extend(results)
        if self._queue:
            if not head_ops:
                # The list of segments alone fills the head.
                self._refuse(self._queue.popleft())
                return None
            self._start_spill(wall)
            return self._put_spill()
        return None

    def _room(self, head_ops):
        used = _FRAME_BYTES + _SEGMENT_NAME_BYTES * (len(self._segments) + 1)
        used += sum(len(msgpack.packb(op)) for op in head_ops)
        return self.cfg.head_bytes - used

    def _begin(self, new_ops, results, segments, head_ops, now):
        ident = self._rng.randbytes(12)
        doc = {
            'batch': ident,
            'segs': [list(segment) for segment in segments],
            'ops': head_ops + new_ops,
        }
        self._pending = _Batch(
            ident,
            self._version,
            msgpack.packb(doc),
            head_ops,
            new_ops,
            segments,
            results,
            now,
        )
        self._doubt = self._must_read = self._answered = False

    def _put_pending(self):
        batch = self._pending
        return Action('put', self._head_key, batch.value, batch.base)

    def _on_put(self, outcome, version):
        if outcome is Outcome.OK:
            self._commit(version)
        elif outcome is Outcome.UNKNOWN:
            self._doubt = self._must_read = True
        elif outcome is Outcome.UNAVAILABLE:
            if self._doubt:
                self._must_read = True
            else:
                self._answer_pending(Status.UNAVAILABLE)
                self._pending = None
        elif self._doubt:
            # Either the doubtful write or another owner's came first.
            self._must_read = True
        else:
            self._superseded()

    def _on_read_back(self, outcome, value, version):
        batch = self._pending
        if outcome is Outcome.OK:
            if msgpack.unpackb(value)['batch'] == batch.ident:
                self._commit(version)
                return
        elif outcome is not Outcome.ABSENT:
            return
        else:
            version = 0
        if version == batch.base:
            # The doubtful write may still arrive. The same value is written
            # on the same version again, so only one of the two can succeed.
            self._must_read = False
        else:
            self._superseded()

    def _commit(self, version):
        batch, self._pending = self._pending, None
        self._version = version
        self._batch_id = batch.ident
        named = {segment.number for segment in batch.segments}
        for segment in self._segments:
            if segment.number not in named:
                self._garbage.append((self._segment_key(segment), None))
        self._segments = batch.segments
        self._spilled = None
        self._head_ops = batch.head_ops + batch.new_ops
        for op in batch.new_ops:
            self._apply(op)
        if not self._answered:
            self._done.extend(batch.results)
        if self._phase is _Phase.FENCE:
            self._phase = _Phase.READY
            self._after = ''
        # No other owner can name these any more.
        self._garbage += self._orphans
        self._orphans = []

    def _superseded(self):
        # Another owner wrote the head: what was sent without doubt can never
        # take effect, and the shard is loaded again.
        self._answer_pending(
            Status.UNKNOWN if self._doubt else Status.UNAVAILABLE
        )
        not_before = self._not_before
        self._reset(_Phase.HEAD)
        self._not_before = not_before

    def _answer_pending(self, status):
        if not self._answered:
            for ticket, _ in self._pending.results:
                self._done.append((ticket, Result(status)))
        self._answered = True

    # Segments

    def _start_spill(self, wall):
        # A small last segment is merged into the new one, so that the head
        # names few segments. Stored segments never change.
        kept = self._kept_segments(wall)
        ops = self._head_ops
        if kept and kept[-1] == self._segments[-1]:
            merged = self._tail_ops + ops
            if len(msgpack.packb(merged)) <= self.cfg.segment_bytes:
                ops, kept = merged, kept[:-1]
        number = self._rng.getrandbits(64)
        newest = math.ceil(max(op[3] for op in ops))
        self._spill = (_Segment(number, newest), ops, kept)

    def _put_spill(self):
        segment, ops, _ = self._spill
        return Action('put', self._segment_key(segment), msgpack.packb(ops))

    def _on_spill(self, outcome):
        segment, ops, kept = self._spill
        if outcome in (Outcome.UNKNOWN, Outcome.UNAVAILABLE):
            # Written again under the same key, which holds the same value.
            return
        # A mismatch is the success of an earlier try: numbers are random
        # and each is used by one owner only.
        self._spill = None
        self._spilled = kept + [segment]
        self._tail_ops = ops

    def _on_garbage(self, action, outcome, version):
        if outcome in (Outcome.UNKNOWN, Outcome.UNAVAILABLE):
            return
        key, _ = self._garbage.pop(0)
        if action.verb == 'get' and outcome is Outcome.OK:
            self._garbage.insert(0, (key, version))

    def _on_leftovers(self, outcome, items, more, now):
        # A later owner writes segments only after it stored a head of its
        # own. While heads of this owner can still be stored, an unknown
        # segment is the late write of a former owner.
        if outcome is not Outcome.OK:
            return
        known = {self._segment_key(cell) for cell in self._segments}
        known.update(key for key, _ in self._garbage)
        for key, _, version in items:
            if key not in known:
                self._orphans.append((key, version))
        self._after = items[-1][0] if more else ''
        if not more:
            self._next_clean = now + self.cfg.orphan_scan_interval_s

    def _segment_key(self, segment):
        return '%s%016x' % (self._segment_prefix, segment.number)

    def _kept_segments(self, wall):
        oldest = wall - self.cfg.keep_s
        return [cell for cell in self._segments if cell.newest >= oldest]

    # Entries

    def _apply(self, op):
        key, request, instance, time = op
        if not request:
            self._entries.pop(key, None)
            return
        # At the end of the dictionary, so that its order is that of time.
        self._entries.pop(key, None)
        self._entries[key] = _pack(Entry(request, instance, time))

    def _lookup(self, key, wall):
        packed = self._entries.get(key)
        if packed is None:
            return None
        entry = _unpack(packed)
        return None if entry.time < wall - self.cfg.keep_s else entry

    def _forget_expired(self, wall):
        oldest = wall - self.cfg.keep_s
        while self._entries:
            key = next(iter(self._entries))
            if _unpack(self._entries[key]).time >= oldest:
                break
            del self._entries[key]
        if self._pending is None:
            self._drop_expired_ops(oldest)

    def _drop_expired_ops(self, oldest):
        # A release must stay while a segment may hold the claim it ended.
        if not self._segments:
            self._head_ops = [op for op in self._head_ops if op[3] >= oldest]

    # Waiting operations

    def _busy(self, key):
        if any(item.key == key for item in self._queue):
            return True
        batch = self._pending
        return batch is not None and any(op[0] == key for op in batch.new_ops)

    def _enqueue(self, item):
        if self._phase is _Phase.IDLE:
            self._refuse(item)
        else:
            self._queue.append(item)

    def _refuse(self, item):
        self._done.append((item.ticket, Result(Status.UNAVAILABLE)))

    def _expire_waiting(self, now):
        oldest = now - self.cfg.resolve_timeout_s
        while self._queue and self._queue[0].since <= oldest:
            self._refuse(self._queue.popleft())
        batch = self._pending
        if batch is not None and batch.results and batch.since <= oldest:
            self._answer_pending(Status.UNKNOWN)


def _judge(entry, request):
    if entry.request != request:
        return Result(Status.KEY_REUSED, entry.instance)
    return Result(Status.TAKEN, entry.instance)


def _decide(item, entry, wall):
    # Returns (operation or None, result once stored, entry afterwards).
    if item.verb == 'release':
        if entry is None or entry.instance != item.instance:
            return None, Result(Status.NOT_HELD), entry
        op = [item.key, b'', item.instance, wall]
        return op, Result(Status.RELEASED, item.instance), None
    if entry is not None:
        return None, _judge(entry, item.request), entry
    op = [item.key, item.request, item.instance, wall]
    after = Entry(item.request, item.instance, wall)
    return op, Result(Status.GRANTED, item.instance), after


# Packed entries take about half the memory of tuples.
_HEAD = struct.Struct('<8sd')


def _pack(entry):
    return _HEAD.pack(entry.request, entry.time) + entry.instance.encode()


def _unpack(packed):
    request, time = _HEAD.unpack_from(packed)
    return Entry(request, packed[_HEAD.size :].decode(), time)
