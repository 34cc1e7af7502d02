"""Which upstreams exist, from entries that lag, lapse and come back."""

import typing

READY = 'ready'
DRAINING = 'draining'


class Entry(typing.NamedTuple):
    """What an upstream says of itself.

    Attributes:
        id: identity, kept or new after a restart.
        service: name of its service.
        host: IP address.
        port: TCP port.
        place: availability zone.
        slots: requests it works on at once.
        state: ``ready`` or ``draining``.
        cold_s: seconds it stays cold, counted from the report.
        seq: number of the report, restarted with the upstream.
        born_ms: Unix milliseconds of its start, 0 when unknown.
    """

    id: str
    service: str
    host: str
    port: int
    place: str
    slots: int
    state: str
    cold_s: float
    seq: int
    born_ms: int


class Upstream:
    """One known upstream and what this instance believes of it."""

    def __init__(self, entry, now):
        self.entry = entry
        self.draining = entry.state == DRAINING
        self.cold_until = now + entry.cold_s
        self.changed_at = now
        self.missing_since = None

    def update(self, entry, now):
        """Take a newer report."""
        if entry.seq != self.entry.seq:
            self.changed_at = now
            self.cold_until = now + entry.cold_s
        # A drain is never taken back within one incarnation.
        self.draining = self.draining or entry.state == DRAINING
        self.entry = entry


class UpstreamView:
    """The upstreams by id, fed with whole lists of entries.

    An entry that is missing from a list means that its upstream has left,
    except for a while after an outage of the store: entries that lapsed
    meanwhile come back when their upstreams report again.

    Args:
        return_s: seconds after an outage in which lapsed entries may return.
    """

    def __init__(self, return_s):
        self.upstreams = {}
        self._return_s = return_s
        self._failed = False
        self._trusted_at = 0.0
        self._departed = {}

    def on_read_failed(self):
        """Note that the store could not be read."""
        self._failed = True

    def settles_in(self, now):
        """Return the seconds until lapsed entries are taken as gone.

        None when no outage is being waited for.
        """
        if now >= self._trusted_at:
            return None
        return self._trusted_at - now

    def on_list(self, entries, now):
        """Take a whole list.

        Args:
            entries: list of :class:`Entry`.
            now: monotonic seconds.

        Returns:
            ``(joined, left)``, lists of :class:`Upstream`.
        """
        if self._failed:
            self._failed = False
            self._trusted_at = now + self._return_s
        joined, left, seen = [], [], set()
        for entry in entries:
            seen.add(entry.id)
            known = self.upstreams.get(entry.id)
            if known is not None and entry.born_ms == known.entry.born_ms:
                known.update(entry, now)
                known.missing_since = None
                continue
            if known is None and self._stale(entry):
                continue
            if known is not None:
                if entry.born_ms and entry.born_ms < known.entry.born_ms:
                    continue
                left.append(known)
            self.upstreams[entry.id] = Upstream(entry, now)
            joined.append(self.upstreams[entry.id])
        for key in [key for key in self.upstreams if key not in seen]:
            upstream = self.upstreams[key]
            if upstream.missing_since is None:
                upstream.missing_since = now
            if now < self._trusted_at and not upstream.draining:
                continue
            del self.upstreams[key]
            self._departed[key] = upstream.entry
            left.append(upstream)
        return joined, left

    def _stale(self, entry):
        # A late copy of a report that was already seen to be withdrawn.
        gone = self._departed.get(entry.id)
        return (
            gone is not None
            and gone.state == DRAINING
            and gone.born_ms == entry.born_ms
        )
