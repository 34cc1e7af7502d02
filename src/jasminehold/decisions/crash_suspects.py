"""Recognition of requests that crash the upstreams that run them.

All requests in flight on an upstream that crashes become suspects. A request
that is in flight at a second crash without having succeeded in between is
condemned: further copies are refused at once. Requests that merely shared the
crashed upstream clear themselves by succeeding elsewhere.

Source: docs/design.md, section 3 (``blame``).
"""

import collections
import enum
import typing


class CrashSuspectsConfig(typing.NamedTuple):
    """Settings of :class:`CrashSuspects`.

    Attributes:
        crashes_to_quarantine: distinct crashes that condemn a request.
        suspect_s: seconds during which a suspect is kept apart from others.
        keep_s: seconds during which crashes count; each refused copy of a
            condemned request starts the period anew.
        same_crash_s: reports of one upstream within this many seconds are
            one crash, since several instances see each crash.
        max_records: most fingerprints kept; the oldest are dropped first.
    """

    crashes_to_quarantine: int = 2
    suspect_s: float = 60.0
    keep_s: float = 600.0
    same_crash_s: float = 5.0
    max_records: int = 10000


class Verdict(enum.Enum):
    """What may be done with a request."""

    CLEAR = 'clear'
    ISOLATE = 'isolate'
    QUARANTINED = 'quarantined'


class CrashNotice(typing.TypedDict):
    """What instances tell each other about a crash.

    Attributes:
        fingerprint: digest of the request.
        upstream: name of the upstream that crashed.
        age_s: seconds since the crash when the notice was sent.
        cleared: whether the request has succeeded since, which withdraws
            earlier notices about it.
    """

    fingerprint: bytes
    upstream: str
    age_s: float
    cleared: bool


class _Record:
    def __init__(self):
        self.crashes = []
        self.quarantined_until = None
        self.cleared_at = None


class CrashSuspects:
    """Suspects and condemned requests known to one instance."""

    def __init__(self, cfg=CrashSuspectsConfig()):
        self._cfg = cfg
        self._records = collections.OrderedDict()
        self._suspects = {}

    def __len__(self):
        return len(self._records)

    def record_crash(self, upstream, fingerprints, now):
        """Record a crash with the requests that were in flight.

        Args:
            upstream: name of the upstream.
            fingerprints: digests of the requests in flight there.
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
        """Take over another instance's notice; repeats change nothing.

        Args:
            notice: a :class:`CrashNotice`.
            now: seconds, monotonic.
        """
        at = now - max(notice['age_s'], 0.0)
        if notice['cleared']:
            record = self._records.get(notice['fingerprint'])
            if record is not None:
                self._clear(record, at)
            return
        self._add(notice['fingerprint'], notice['upstream'], at, now)

    def record_success(self, fingerprint, started, now):
        """Record a whole answer to a request.

        Args:
            fingerprint: digest of the request.
            started: when the request was sent; earlier crashes are cleared.
            now: seconds, monotonic.

        Returns:
            A :class:`CrashNotice` that withdraws the blame, or None when
            there was none.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return None
        if not self._clear(record, started):
            return None
        return CrashNotice(
            fingerprint=fingerprint,
            upstream='',
            age_s=now - started,
            cleared=True,
        )

    def verdict(self, fingerprint, now):
        """Return the :class:`Verdict` on a request that is to be sent."""
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
        """Return whether no suspect is in flight on an upstream."""
        return not self._suspects.get(upstream)

    def suspect_sent(self, upstream):
        """Count a suspect that was sent to an upstream."""
        self._suspects[upstream] = self._suspects.get(upstream, 0) + 1

    def suspect_ended(self, upstream):
        """Count the end of a suspect sent to an upstream."""
        left = self._suspects.get(upstream, 0) - 1
        if left > 0:
            self._suspects[upstream] = left
        else:
            self._suspects.pop(upstream, None)

    def expire(self, now):
        """Drop records whose crashes no longer count."""
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
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = _Record()
        if record.cleared_at is not None and at <= record.cleared_at:
            return
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

    def _clear(self, record, at):
        kept = [crash for crash in record.crashes if crash[1] > at]
        if len(kept) == len(record.crashes):
            return False
        record.crashes = kept
        record.cleared_at = max(record.cleared_at or at, at)
        if len(kept) < self._cfg.crashes_to_quarantine:
            record.quarantined_until = None
        return True

    def _trim(self, record, now):
        record.crashes = [
            crash
            for crash in record.crashes
            if now - crash[1] < self._cfg.keep_s
        ]
