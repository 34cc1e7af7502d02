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


def equal_except_time(entry, other):
    """Return whether two reports differ in nothing but the time they tell.

    A cold upstream's remaining time runs down by itself.
    """
    if entry.cold_s > other.cold_s:
        return False
    return entry._replace(seq=0, cold_s=0.0) == other._replace(
        seq=0, cold_s=0.0
    )


class Upstream:
    """One known upstream and what this instance believes of it."""

    def __init__(self, entry, as_of):
        self.entry = entry
        self.draining = entry.state == DRAINING
        self.cold_until = as_of + entry.cold_s
        self.changed_at = as_of

    def update(self, entry, as_of):
        """Take a newer report of the same incarnation."""
        if entry == self.entry:
            return
        self.changed_at = as_of
        self.cold_until = as_of + entry.cold_s
        # A drain is never taken back within one incarnation.
        self.draining = self.draining or entry.state == DRAINING
        self.entry = entry


class UpstreamView:
    """The upstreams by id, fed with whole lists of entries."""

    def __init__(self):
        self.upstreams = {}
        self._departed = {}

    def on_list(self, entries, as_of):
        """Take a whole list.

        Args:
            entries: list of :class:`Entry`.
            as_of: monotonic seconds at which the list was true.

        Returns:
            ``(joined, left)``, lists of :class:`Upstream`.
        """
        joined, left, seen = [], [], set()
        for entry in entries:
            seen.add(entry.id)
            known = self.upstreams.get(entry.id)
            if known is not None and entry.born_ms == known.entry.born_ms:
                known.update(entry, as_of)
                continue
            if known is None and self._withdrawn(entry):
                continue
            if known is not None:
                if entry.born_ms < known.entry.born_ms:
                    continue
                left.append(known)
            self.upstreams[entry.id] = Upstream(entry, as_of)
            joined.append(self.upstreams[entry.id])
        for key in [key for key in self.upstreams if key not in seen]:
            upstream = self.upstreams.pop(key)
            self._departed[key] = upstream
            left.append(upstream)
        return joined, left

    def _withdrawn(self, entry):
        # A late copy of a report that was already seen to be withdrawn.
        gone = self._departed.get(entry.id)
        return (
            gone is not None
            and gone.draining
            and gone.entry.born_ms == entry.born_ms
        )
