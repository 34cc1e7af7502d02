"""Detection of requests that crash upstreams.

All requests in flight on an upstream that crashes become suspects. A suspect
that is in flight at a second crash, without a success in between, is
quarantined: further copies are refused at once. A request that was only in
flight at the same time is cleared when it succeeds elsewhere.

Source: docs/design.md, section 3 (``blame``).
"""

import collections
import enum
import math
import typing


class CrashSuspectsConfig(typing.NamedTuple):
    """Settings of :class:`CrashSuspects`.

    Attributes:
        crashes_to_quarantine: distinct crashes that quarantine a request.
        suspect_s: seconds for which a suspect is isolated from other suspects.
        keep_s: seconds for which a crash counts; each refused copy of a
            quarantined request restarts the period.
        same_crash_s: reports about one upstream within this many seconds
            count as one crash, because several instances see each crash.
        max_records: maximum number of fingerprints; the oldest are dropped.
    """

    crashes_to_quarantine: int = 2
    suspect_s: float = 60.0
    keep_s: float = 600.0
    same_crash_s: float = 5.0
    max_records: int = 10000


class Verdict(enum.Enum):
    """How a request has to be handled."""

    CLEAR = 'clear'
    ISOLATE = 'isolate'
    QUARANTINED = 'quarantined'


class CrashNotice(typing.TypedDict):
    """Message between instances about a crash.

    Attributes:
        fingerprint: digest of the request.
        upstream: name of the upstream that crashed.
        age_s: seconds since the crash when the notice was sent.
        cleared: whether the request has succeeded; this withdraws earlier
            notices about it.
    """

    fingerprint: bytes
    upstream: str
    age_s: float
    cleared: bool


class _SuspectRecord:
    def __init__(self):
        self.crashes = []
        self.quarantined_until = None


class CrashSuspects:
    """Suspected and quarantined requests known to one instance."""

    def __init__(self, cfg=CrashSuspectsConfig()):
        self._cfg = cfg
        self._records = collections.OrderedDict()
        # When requests succeeded: a crash may be reported after that.
        self._cleared_at = collections.OrderedDict()
        self._suspects_in_flight = {}

    def __len__(self):
        return len(self._records)

    def record_crash(self, upstream, fingerprints, now):
        """Record a crash and the requests in flight.

        Args:
            upstream: name of the upstream.
            fingerprints: digests of the requests in flight at the upstream.
            now: seconds, monotonic.

        Returns:
            List of :class:`CrashNotice` to send to the other instances.
        """
        notices = []
        for fingerprint in set(fingerprints):
            self._add(fingerprint, upstream, now, now)
            notices.append(
                CrashNotice(
                    fingerprint=fingerprint,
                    upstream=upstream,
                    age_s=0.0,
                    cleared=False,
                )
            )
        return notices

    def merge(self, notice, now):
        """Apply a notice of another instance; duplicates have no effect.

        Args:
            notice: a :class:`CrashNotice`.
            now: seconds, monotonic.
        """
        at = now - max(notice['age_s'], 0.0)
        if notice['cleared']:
            self._clear(notice['fingerprint'], at)
            return
        self._add(notice['fingerprint'], notice['upstream'], at, now)

    def record_success(self, fingerprint, started, now):
        """Record a complete answer to a request.

        Args:
            fingerprint: digest of the request.
            started: when the request was sent; crashes before it are cleared.
            now: seconds, monotonic.

        Returns:
            A :class:`CrashNotice` that withdraws the suspicion, or None if
            no crash was cleared.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return None
        if not self._clear(fingerprint, started):
            return None
        return CrashNotice(
            fingerprint=fingerprint,
            upstream='',
            age_s=now - started,
            cleared=True,
        )

    def withdraw(self, fingerprint, upstream, at):
        """Forget a crash, as the upstream has lived on.

        Args:
            fingerprint: digest of the request.
            upstream: name of the upstream.
            at: when it was said to have crashed, seconds, monotonic.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return
        record.crashes = [
            (name, seen)
            for name, seen in record.crashes
            if name != upstream or abs(seen - at) >= self._cfg.same_crash_s
        ]
        if len(record.crashes) < self._cfg.crashes_to_quarantine:
            record.quarantined_until = None

    def crashes(self, fingerprint, now):
        """Return the crashes that count as ``[(upstream, time)]``."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        self._trim(record, now)
        return list(record.crashes)

    def cleared_at(self, fingerprint):
        """Return when a request succeeded last, ``-inf`` if unknown."""
        return self._cleared_at.get(fingerprint, -math.inf)

    def verdict(self, fingerprint, now):
        """Return the :class:`Verdict` on a request about to be sent."""
        record = self._records.get(fingerprint)
        if record is None:
            return Verdict.CLEAR
        if record.quarantined_until is not None:
            if now < record.quarantined_until:
                record.quarantined_until = now + self._cfg.keep_s
                self._records.move_to_end(fingerprint)
                return Verdict.QUARANTINED
            del self._records[fingerprint]
            return Verdict.CLEAR
        crashes = [at for _, at in record.crashes]
        if crashes and now - max(crashes) < self._cfg.suspect_s:
            return Verdict.ISOLATE
        return Verdict.CLEAR

    def has_no_suspect(self, upstream):
        """Return whether an upstream has no suspect in flight."""
        return not self._suspects_in_flight.get(upstream)

    def suspect_sent(self, upstream):
        """Count a suspect sent to an upstream."""
        self._suspects_in_flight[upstream] = (
            self._suspects_in_flight.get(upstream, 0) + 1
        )

    def suspect_ended(self, upstream):
        """Remove an ended suspect from an upstream's count."""
        left = self._suspects_in_flight.get(upstream, 0) - 1
        if left > 0:
            self._suspects_in_flight[upstream] = left
        else:
            self._suspects_in_flight.pop(upstream, None)

    def expire(self, now):
        """Drop the records of what is older than ``keep_s``."""
        for fingerprint, at in list(self._cleared_at.items()):
            if now - at >= self._cfg.keep_s:
                del self._cleared_at[fingerprint]
        for fingerprint in list(self._records):
            record = self._records[fingerprint]
            if record.quarantined_until is not None:
                if now >= record.quarantined_until:
                    del self._records[fingerprint]
                continue
            self._trim(record, now)
            if not record.crashes:
                del self._records[fingerprint]

    def _add(self, fingerprint, upstream, at, now):
        if at <= self.cleared_at(fingerprint):
            return
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = _SuspectRecord()
        self._trim(record, now)
        for index, (name, seen) in enumerate(record.crashes):
            same = abs(seen - at) < self._cfg.same_crash_s
            if name == upstream and same:
                record.crashes[index] = (name, min(seen, at))
                return
        record.crashes.append((upstream, at))
        self._records.move_to_end(fingerprint)
        if len(record.crashes) >= self._cfg.crashes_to_quarantine:
            record.quarantined_until = now + self._cfg.keep_s
        while len(self._records) > self._cfg.max_records:
            self._records.popitem(last=False)

    def _clear(self, fingerprint, at):
        self._cleared_at[fingerprint] = max(at, self.cleared_at(fingerprint))
        self._cleared_at.move_to_end(fingerprint)
        while len(self._cleared_at) > self._cfg.max_records:
            self._cleared_at.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None:
            return False
        kept = [crash for crash in record.crashes if crash[1] > at]
        if len(kept) == len(record.crashes):
            return False
        record.crashes = kept
        if len(kept) < self._cfg.crashes_to_quarantine:
            record.quarantined_until = None
        return True

    def _trim(self, record, now):
        record.crashes = [
            crash
            for crash in record.crashes
            if now - crash[1] < self._cfg.keep_s
        ]
