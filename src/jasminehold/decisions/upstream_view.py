"""Known upstreams, from registry entries that may be late or reappear."""

import collections
import math
import typing

READY = 'ready'
DRAINING = 'draining'
# Incarnations of upstreams that are remembered as leaving.
MAX_LEAVING = 10_000
# The store may still take a report that an upstream sent before it crashed.
LATE_REPORT_S = 0.3


class Incarnation(typing.NamedTuple):
    """One run of an upstream process: its id and start time."""

    id: str
    born_ms: int


class Entry(typing.NamedTuple):
    """Registry entry of an upstream, reported by itself.

    Attributes:
        id: identity; a restart may keep or change it.
        service: name of its service.
        host: IP address.
        port: TCP port.
        place: availability zone.
        slots: number of requests that it runs concurrently.
        state: ``ready`` or ``draining``.
        cold_s: seconds from the report until it is no longer cold.
        seq: sequence number of the report, reset when the upstream restarts.
        born_ms: start time in Unix milliseconds, 0 if unknown.
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

    @property
    def incarnation(self):
        """The :class:`Incarnation` that the entry is of."""
        return Incarnation(self.id, self.born_ms)


def equal_except_time(entry, other):
    """Return whether two reports differ only in sequence and cold time.

    The remaining cold time decreases without a change of the upstream.
    """
    if entry.cold_s > other.cold_s:
        return False
    return entry._replace(seq=0, cold_s=0.0) == other._replace(
        seq=0, cold_s=0.0
    )


class Upstream:
    """State of a known upstream at this instance."""

    def __init__(self, entry, as_of):
        self.entry = entry
        self.draining = entry.state == DRAINING
        self.cold_until = as_of + entry.cold_s
        self.changed_at = as_of
        self._joined_at = as_of
        # It has certainly reported later than that.
        self._reported_after = -math.inf

    def update(self, entry, as_of, listed_at):
        """Apply a newer entry of the same incarnation.

        Args:
            entry: the :class:`Entry`.
            as_of: time of the list that holds it, monotonic seconds.
            listed_at: time of the list before.
        """
        if entry == self.entry:
            return
        if entry.seq > self.entry.seq:
            self._reported_after = max(self._reported_after, listed_at)
        self.changed_at = as_of
        self.cold_until = as_of + entry.cold_s
        # A drain is final within one incarnation.
        self.draining = self.draining or entry.state == DRAINING
        self.entry = entry

    def lived_through(self, at):
        """Return whether this incarnation has certainly lived through a time.

        Args:
            at: monotonic seconds.
        """
        return (
            self.entry.born_ms > 0
            and self._joined_at < at
            and self._reported_after > at + LATE_REPORT_S
        )


class UpstreamView:
    """Known upstreams by id, updated from complete lists of entries."""

    def __init__(self):
        self.upstreams = {}
        self._listed_at = -math.inf
        self._departed = {}
        # When incarnations said in a response that they leave.
        self._leaving = collections.OrderedDict()

    def on_list(self, entries, as_of):
        """Apply a complete list of entries.

        Args:
            entries: list of :class:`Entry`.
            as_of: time of the list, monotonic seconds.

        Returns:
            ``(joined, left)``, lists of :class:`Upstream`.
        """
        joined, left, seen = [], [], set()
        listed_at, self._listed_at = self._listed_at, as_of
        for entry in entries:
            seen.add(entry.id)
            known = self.upstreams.get(entry.id)
            if known is not None and entry.born_ms == known.entry.born_ms:
                known.update(entry, as_of, listed_at)
                continue
            if known is None and self._is_withdrawn(entry):
                continue
            if known is not None:
                if entry.born_ms < known.entry.born_ms:
                    continue
                left.append(known)
            self.upstreams[entry.id] = Upstream(entry, as_of)
            if entry.incarnation in self._leaving:
                self.upstreams[entry.id].draining = True
            joined.append(self.upstreams[entry.id])
        for key in [key for key in self.upstreams if key not in seen]:
            upstream = self.upstreams.pop(key)
            self._departed[key] = upstream
            left.append(upstream)
        return joined, left

    def on_leaving(self, incarnation, said_at):
        """Record that an upstream said in a response that it leaves.

        This is final for the incarnation, whatever its entry says.

        Args:
            incarnation: the :class:`Incarnation`.
            said_at: monotonic seconds.

        Returns:
            Whether this was not known.
        """
        known = incarnation in self._leaving
        if not known:
            self._leaving[incarnation] = said_at
            if len(self._leaving) > MAX_LEAVING:
                self._leaving.popitem(last=False)
        for upstream in (
            self.upstreams.get(incarnation.id),
            self._departed.get(incarnation.id),
        ):
            if upstream and upstream.entry.incarnation == incarnation:
                upstream.draining = True
        return not known

    def lived_through(self, name, at):
        """Return whether an upstream's entry shows that it lived on.

        Args:
            name: id of the upstream.
            at: monotonic seconds of a suspected crash.
        """
        known = self.upstreams.get(name)
        return known is not None and known.lived_through(at)

    def leaving(self):
        """Return ``{Incarnation: monotonic seconds at which it said so}``.

        It said so in a response or in its entry, which the store may lose.
        """
        entries = {
            item.entry.incarnation: item.changed_at
            for item in self.upstreams.values()
            if item.draining
        }
        return {**entries, **self._leaving}

    def _is_withdrawn(self, entry):
        # A delayed copy of an entry of a drained upstream that already left.
        gone = self._departed.get(entry.id)
        return (
            gone is not None
            and gone.draining
            and gone.entry.born_ms == entry.born_ms
        )
