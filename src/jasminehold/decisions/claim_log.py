"""Log of the claims of one shard, stored on the platform.

The log does no I/O. :meth:`ClaimLog.next_action` returns the next call to the
platform, and :meth:`ClaimLog.finish` records its outcome; only one call is
outstanding at a time. Operations are written in batches. A batch contains the
complete new head and is stored by compare-and-swap on the version of the
previous head. A claim is granted only after its head is known to be stored.

To load a shard, the operations of the segments that the head lists are
replayed in order, then those of the head. A new owner then stores a head with
the same operations and a new batch id (the fence). After that, no write of an
earlier owner can succeed, because versions are never reused.

``now`` is monotonic time in seconds. ``wall`` is the time of day in seconds;
successive owners compare it to decide whether entries have expired.
"""

import collections
import enum
import math
import struct
import typing

import msgpack


class Config(typing.NamedTuple):
    """Limits and intervals of a shard (section 3.5 of the design).

    Attributes:
        keep_s: time for which a claim is kept.
        head_bytes: maximum size of a head.
        segment_bytes: maximum size of a segment.
        write_interval_s: minimum time between two writes.
        retry_interval_s: time before a failed call is retried.
        resolve_timeout_s: time after which a claim gets the result
            ``unknown`` when it was sent but its outcome is unresolved, and
            ``unavailable`` when it was not sent.
        max_claims: maximum number of claims kept by one instance; further
            claims get the result ``unavailable``. Claims are never evicted
            early, because their keys could then be claimed again.
        orphan_scan_interval_s: time between two scans for segments that late
            writes of former owners left behind.
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
    """Status of a processed claim or release."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    KEY_REUSED = 'key_reused'
    RELEASED = 'released'
    NOT_HELD = 'not_held'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


class Result(typing.NamedTuple):
    """Result of one operation; ``instance`` is the holder of the key."""

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

    For ``list``, ``key`` is the prefix and ``after`` the last key received.
    """

    verb: str
    key: str
    value: bytes = b''
    if_version: int = 0
    after: str = ''


class Entry(typing.NamedTuple):
    """A claim that is kept."""

    request: bytes
    instance: str
    time: float


class _Operation(typing.NamedTuple):
    ticket: object
    verb: str
    key: bytes
    request: bytes
    instance: str
    queued_at: float


class _Batch(typing.NamedTuple):
    batch_id: bytes
    base_version: int
    value: bytes
    head_ops: list
    new_ops: list
    segments: list
    results: list
    started_at: float


class _Segment(typing.NamedTuple):
    number: int
    newest_time: int


class _Phase(enum.Enum):
    IDLE = 'idle'
    HEAD = 'head'
    SEGMENTS = 'segments'
    FENCE = 'fence'
    READY = 'ready'


# Bytes of a head for the batch id and the encoding of its lists.
_HEAD_OVERHEAD_BYTES = 64
_SEGMENT_REF_BYTES = 16
_EXPIRY_INTERVAL_S = 30.0


class ClaimLog:
    """The claims of one shard, at the instance that owns it.

    Args:
        shard: number of the shard.
        cfg: :class:`Config`.
        rng: random source of batch ids and segment numbers.

    Attributes:
        max_entries: maximum number of claims in this shard; less than
            ``max_claims`` while the instance owns other shards.
    """

    def __init__(self, shard, cfg, rng):
        self.cfg = cfg
        self.max_entries = cfg.max_claims
        self._head_key = 'claims/%d/head' % shard
        self._segment_prefix = 'claims/%d/seg/' % shard
        self._rng = rng
        self._results = []
        self._queue = collections.deque()
        self._reset(_Phase.IDLE)

    def _reset(self, phase):
        self._phase = phase
        self._outstanding = None
        self._next_write_at = 0.0
        self._retry_at = 0.0
        self._batch = None
        self._write_uncertain = False
        self._must_read_head = False
        self._batch_answered = False
        self._version = 0
        self._batch_id = b''
        self._entries = {}
        self._head_ops = []
        self._segments = []
        self._list_after = ''
        self._loaded_segments = {}
        self._orphans = []
        self._last_segment_ops = []
        self._new_segment = None
        self._next_segments = None
        self._garbage = []
        self._next_expiry_at = 0.0
        self._next_scan_at = None

    @property
    def ready(self):
        """Whether the claims are loaded and the fence is stored."""
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
        """Start to load the shard, which this instance now owns."""
        if self._phase is _Phase.IDLE:
            self._reset(_Phase.HEAD)

    def deactivate(self):
        """Give up the shard and answer all waiting operations."""
        batch = self._batch
        sent = self._write_uncertain or (
            self._outstanding is not None and self._outstanding.verb == 'put'
        )
        if batch is not None and not self._batch_answered:
            self._answer_batch(Status.UNKNOWN if sent else Status.UNAVAILABLE)
        while self._queue:
            self._reject(self._queue.popleft())
        self._reset(_Phase.IDLE)

    def claim(self, ticket, key, request, instance, now, wall):
        """Queue a claim of a key, or answer it from a kept claim.

        Args:
            ticket: identifies the claim in :meth:`take_results`.
            key: digest of the idempotency key.
            request: digest of the method, path and body.
            instance: holder of the claim; only a release by the same instance
                frees the key.
            now: monotonic time in seconds.
            wall: time of day in seconds.
        """
        operation = _Operation(ticket, 'claim', key, request, instance, now)
        if self._phase is _Phase.READY:
            entry = self._lookup(key, wall)
            if entry is not None and not self._busy(key):
                self._results.append(
                    (ticket, _existing_claim_result(entry, request))
                )
                return
        self._enqueue(operation)

    def release(self, ticket, key, instance, now):
        """Queue the release of a claim whose request certainly did not run."""
        self._enqueue(_Operation(ticket, 'release', key, b'', instance, now))

    def take_results(self):
        """Return the list of ``(ticket, Result)`` and clear it."""
        results, self._results = self._results, []
        return results

    def wake_at(self, now):
        """Return the time at which to call :meth:`next_action` again."""
        if self._phase is _Phase.IDLE or self._outstanding is not None:
            return now + self.cfg.resolve_timeout_s / 4
        if self._phase is not _Phase.READY:
            return max(self._next_write_at, self._retry_at, now)
        busy = self._queue or self._batch or self._garbage or self._new_segment
        if not busy and not self._orphans:
            scan_at = now if self._next_scan_at is None else self._next_scan_at
            return max(min(self._next_expiry_at, scan_at), now)
        if self._garbage and self._batch is None:
            return max(self._retry_at, now)
        return max(self._next_write_at, self._retry_at, now)

    def next_action(self, now, wall):
        """Return the next call to the platform, or None if none is due."""
        self._expire_waiting(now)
        if (
            self._phase is _Phase.IDLE
            or self._outstanding is not None
            or now < self._retry_at
        ):
            return None
        if now < self._next_write_at:
            # The write interval is used to delete segments no longer listed.
            self._outstanding = self._choose_deletion()
        else:
            self._outstanding = self._choose(now, wall)
        return self._outstanding

    def _choose(self, now, wall):
        if self._batch is not None:
            if self._must_read_head:
                return Action('get', self._head_key)
            return self._put_batch()
        if self._phase is _Phase.HEAD:
            return Action('get', self._head_key)
        if self._phase is _Phase.SEGMENTS:
            prefix = self._segment_prefix
            return Action('list', prefix, after=self._list_after)
        if self._phase is _Phase.FENCE:
            self._begin([], [], self._segments, self._head_ops, now)
            return self._put_batch()
        if self._new_segment is not None:
            return self._put_segment()
        if self._queue:
            action = self._next_batch(now, wall)
            if action is not None:
                return action
        if now >= self._next_expiry_at and self._next_segments is None:
            self._next_expiry_at = now + _EXPIRY_INTERVAL_S
            self._remove_expired(wall)
            if self._kept_segments(wall) != self._segments:
                kept = self._kept_segments(wall)
                self._begin([], [], kept, self._head_ops, now)
                return self._put_batch()
        return self._choose_deletion() or self._choose_orphan_scan(now)

    def _choose_orphan_scan(self, now):
        if self._next_scan_at is None:
            self._next_scan_at = now + self.cfg.orphan_scan_interval_s
        if self._next_segments is not None:
            return None
        if self._orphans:
            # A head stored after the listing proves that no later owner had
            # written a segment at that time, see _on_orphan_scan.
            self._begin([], [], self._segments, self._head_ops, now)
            return self._put_batch()
        if now >= self._next_scan_at:
            return Action('list', self._segment_prefix, after=self._list_after)
        return None

    def _choose_deletion(self):
        if not self._garbage or self._batch is not None or self._new_segment:
            return None
        key, version = self._garbage[0]
        if version is None:
            return Action('get', key)
        return Action('delete', key, b'', version)

    def finish(self, action, outcome, value, version, now):
        """Record the outcome of a call to the platform.

        Args:
            action: the outstanding :class:`Action`; any other is ignored,
                because it belongs to an earlier ownership.
            outcome: :class:`Outcome`.
            value: for ``get``, the bytes read; for ``list``, one page of
                ``(key, value, version)``.
            version: version read or written; for ``list``, whether more
                pages follow.
            now: monotonic time in seconds.
        """
        if action is not self._outstanding:
            return
        self._outstanding = None
        if outcome in (Outcome.UNAVAILABLE, Outcome.UNKNOWN):
            self._retry_at = now + self.cfg.retry_interval_s
        elif action.verb == 'put':
            self._next_write_at = now + self.cfg.write_interval_s
        if self._batch is not None:
            if action.verb == 'put':
                self._on_put(outcome, version)
            else:
                self._on_read_back(outcome, value, version)
        elif self._phase is _Phase.HEAD:
            self._on_head(outcome, value, version)
        elif self._phase is _Phase.SEGMENTS:
            self._on_segments(outcome, value, version)
        elif action.verb == 'put':
            self._on_segment_put(outcome)
        elif action.verb == 'list':
            self._on_orphan_scan(outcome, value, version, now)
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
            self._segments = [_Segment(*segment) for segment in doc['segs']]
            self._phase = _Phase.SEGMENTS

    def _on_segments(self, outcome, items, more):
        if outcome is not Outcome.OK:
            return
        named = {
            self._segment_key(segment): segment for segment in self._segments
        }
        for key, value, version in items:
            if key in named:
                self._loaded_segments[named[key].number] = msgpack.unpackb(
                    value
                )
            else:
                self._orphans.append((key, version))
        if more:
            self._list_after = items[-1][0]
        elif len(self._loaded_segments) < len(named):
            # The previous owner deleted a segment after this head was read.
            self._reset(_Phase.HEAD)
        else:
            self._replay()

    def _replay(self):
        self._entries = {}
        for segment in self._segments:
            self._last_segment_ops = self._loaded_segments[segment.number]
            for op in self._last_segment_ops:
                self._apply(op)
        for op in self._head_ops:
            self._apply(op)
        self._loaded_segments = {}
        self._phase = _Phase.FENCE

    # Batches

    def _next_batch(self, now, wall):
        head_ops, segments = self._head_ops, self._segments
        if self._next_segments is not None:
            # The head lists the stored segment instead of its operations.
            head_ops, segments = [], self._next_segments
        free_bytes = self._free_head_bytes(head_ops)
        overlay = {}
        free_entries = self.max_entries - len(self._entries)
        ops, results = [], []
        while self._queue:
            operation = self._queue[0]
            if operation.key in overlay:
                entry = overlay[operation.key]
            else:
                entry = self._lookup(operation.key, wall)
            op, result, after = _evaluate(operation, entry, wall)
            if after is not None and entry is None:
                if free_entries <= 0:
                    results.append(
                        (operation.ticket, Result(Status.UNAVAILABLE))
                    )
                    self._queue.popleft()
                    continue
                free_entries -= 1
            if op is not None:
                free_bytes -= len(msgpack.packb(op))
                if free_bytes < 0:
                    break
                ops.append(op)
                overlay[operation.key] = after
            results.append((operation.ticket, result))
            self._queue.popleft()
        if ops:
            self._begin(ops, results, segments, head_ops, now)
            return self._put_batch()
        self._results.extend(results)
        if self._queue:
            if not head_ops:
                # The list of segments alone fills the head.
                self._reject(self._queue.popleft())
                return None
            self._start_segment(wall)
            return self._put_segment()
        return None

    def _free_head_bytes(self, head_ops):
        used = _HEAD_OVERHEAD_BYTES + _SEGMENT_REF_BYTES * (
            len(self._segments) + 1
        )
        used += sum(len(msgpack.packb(op)) for op in head_ops)
        return self.cfg.head_bytes - used

    def _begin(self, new_ops, results, segments, head_ops, now):
        batch_id = self._rng.randbytes(12)
        doc = {
            'batch': batch_id,
            'segs': [list(segment) for segment in segments],
            'ops': head_ops + new_ops,
        }
        self._batch = _Batch(
            batch_id,
            self._version,
            msgpack.packb(doc),
            head_ops,
            new_ops,
            segments,
            results,
            now,
        )
        self._write_uncertain = self._must_read_head = self._batch_answered = (
            False
        )

    def _put_batch(self):
        batch = self._batch
        return Action('put', self._head_key, batch.value, batch.base_version)

    def _on_put(self, outcome, version):
        if outcome is Outcome.OK:
            self._commit(version)
        elif outcome is Outcome.UNKNOWN:
            self._write_uncertain = self._must_read_head = True
        elif outcome is Outcome.UNAVAILABLE:
            if self._write_uncertain:
                self._must_read_head = True
            else:
                self._answer_batch(Status.UNAVAILABLE)
                self._batch = None
        elif self._write_uncertain:
            # Either the uncertain write or one of another owner succeeded.
            self._must_read_head = True
        else:
            self._on_superseded()

    def _on_read_back(self, outcome, value, version):
        batch = self._batch
        if outcome is Outcome.OK:
            if msgpack.unpackb(value)['batch'] == batch.batch_id:
                self._commit(version)
                return
        elif outcome is not Outcome.ABSENT:
            return
        else:
            version = 0
        if version == batch.base_version:
            # The uncertain write may still arrive. The same value is written
            # with the same base version, so only one of them can succeed.
            self._must_read_head = False
        else:
            self._on_superseded()

    def _commit(self, version):
        batch, self._batch = self._batch, None
        self._version = version
        self._batch_id = batch.batch_id
        named = {segment.number for segment in batch.segments}
        for segment in self._segments:
            if segment.number not in named:
                self._garbage.append((self._segment_key(segment), None))
        self._segments = batch.segments
        self._next_segments = None
        self._head_ops = batch.head_ops + batch.new_ops
        for op in batch.new_ops:
            self._apply(op)
        if not self._batch_answered:
            self._results.extend(batch.results)
        if self._phase is _Phase.FENCE:
            self._phase = _Phase.READY
            self._list_after = ''
        # No other owner can list these segments any more.
        self._garbage += self._orphans
        self._orphans = []

    def _on_superseded(self):
        # Another owner wrote the head. Unless its outcome was uncertain, the
        # write of this owner had no effect and never will. The shard is
        # loaded again.
        self._answer_batch(
            Status.UNKNOWN if self._write_uncertain else Status.UNAVAILABLE
        )
        next_write_at = self._next_write_at
        self._reset(_Phase.HEAD)
        self._next_write_at = next_write_at

    def _answer_batch(self, status):
        if not self._batch_answered:
            for ticket, _ in self._batch.results:
                self._results.append((ticket, Result(status)))
        self._batch_answered = True

    # Segments

    def _start_segment(self, wall):
        # A small last segment is merged into the new one, so that the head
        # lists few segments. Stored segments are immutable.
        kept = self._kept_segments(wall)
        ops = self._head_ops
        if kept and kept[-1] == self._segments[-1]:
            merged = self._last_segment_ops + ops
            if len(msgpack.packb(merged)) <= self.cfg.segment_bytes:
                ops, kept = merged, kept[:-1]
        number = self._rng.getrandbits(64)
        newest_time = math.ceil(max(op[3] for op in ops))
        self._new_segment = (_Segment(number, newest_time), ops, kept)

    def _put_segment(self):
        segment, ops, _ = self._new_segment
        return Action('put', self._segment_key(segment), msgpack.packb(ops))

    def _on_segment_put(self, outcome):
        segment, ops, kept = self._new_segment
        if outcome in (Outcome.UNKNOWN, Outcome.UNAVAILABLE):
            # The next attempt writes the same value under the same key.
            return
        # A mismatch means that an earlier attempt succeeded: segment numbers
        # are random, and no two owners use the same one.
        self._new_segment = None
        self._next_segments = kept + [segment]
        self._last_segment_ops = ops

    def _on_garbage(self, action, outcome, version):
        if outcome in (Outcome.UNKNOWN, Outcome.UNAVAILABLE):
            return
        key, _ = self._garbage.pop(0)
        if action.verb == 'get' and outcome is Outcome.OK:
            self._garbage.insert(0, (key, version))

    def _on_orphan_scan(self, outcome, items, more, now):
        # A later owner writes segments only after it has stored a head. While
        # this owner can still store heads, an unknown segment is a late write
        # of a former owner.
        if outcome is not Outcome.OK:
            return
        known = {self._segment_key(segment) for segment in self._segments}
        known.update(key for key, _ in self._garbage)
        for key, _, version in items:
            if key not in known:
                self._orphans.append((key, version))
        self._list_after = items[-1][0] if more else ''
        if not more:
            self._next_scan_at = now + self.cfg.orphan_scan_interval_s

    def _segment_key(self, segment):
        return '%s%016x' % (self._segment_prefix, segment.number)

    def _kept_segments(self, wall):
        cutoff = wall - self.cfg.keep_s
        return [
            segment
            for segment in self._segments
            if segment.newest_time >= cutoff
        ]

    # Entries

    def _apply(self, op):
        key, request, instance, time = op
        if not request:
            self._entries.pop(key, None)
            return
        # Appended at the end, so that the dictionary is ordered by time.
        self._entries.pop(key, None)
        self._entries[key] = _pack(Entry(request, instance, time))

    def _lookup(self, key, wall):
        packed = self._entries.get(key)
        if packed is None:
            return None
        entry = _unpack(packed)
        return None if entry.time < wall - self.cfg.keep_s else entry

    def _remove_expired(self, wall):
        cutoff = wall - self.cfg.keep_s
        while self._entries:
            key = next(iter(self._entries))
            if _unpack(self._entries[key]).time >= cutoff:
                break
            del self._entries[key]
        if self._batch is None:
            self._remove_expired_ops(cutoff)

    def _remove_expired_ops(self, cutoff):
        # A release must be kept while a segment may contain its claim.
        if not self._segments:
            self._head_ops = [op for op in self._head_ops if op[3] >= cutoff]

    # Waiting operations

    def _busy(self, key):
        if any(operation.key == key for operation in self._queue):
            return True
        batch = self._batch
        return batch is not None and any(op[0] == key for op in batch.new_ops)

    def _enqueue(self, operation):
        if self._phase is _Phase.IDLE:
            self._reject(operation)
        else:
            self._queue.append(operation)

    def _reject(self, operation):
        self._results.append((operation.ticket, Result(Status.UNAVAILABLE)))

    def _expire_waiting(self, now):
        cutoff = now - self.cfg.resolve_timeout_s
        while self._queue and self._queue[0].queued_at <= cutoff:
            self._reject(self._queue.popleft())
        batch = self._batch
        if batch is not None and batch.results and batch.started_at <= cutoff:
            self._answer_batch(Status.UNKNOWN)


def _existing_claim_result(entry, request):
    if entry.request != request:
        return Result(Status.KEY_REUSED, entry.instance)
    return Result(Status.TAKEN, entry.instance)


def _evaluate(operation, entry, wall):
    # Returns (stored form or None, result once stored, entry afterwards).
    if operation.verb == 'release':
        if entry is None or entry.instance != operation.instance:
            return None, Result(Status.NOT_HELD), entry
        op = [operation.key, b'', operation.instance, wall]
        return op, Result(Status.RELEASED, operation.instance), None
    if entry is not None:
        return None, _existing_claim_result(entry, operation.request), entry
    op = [operation.key, operation.request, operation.instance, wall]
    after = Entry(operation.request, operation.instance, wall)
    return op, Result(Status.GRANTED, operation.instance), after


# Packed entries use about half the memory of tuples.
_ENTRY_HEADER = struct.Struct('<8sd')


def _pack(entry):
    return (
        _ENTRY_HEADER.pack(entry.request, entry.time) + entry.instance.encode()
    )


def _unpack(packed):
    request, time = _ENTRY_HEADER.unpack_from(packed)
    return Entry(request, packed[_ENTRY_HEADER.size :].decode(), time)
