"""Requests that an instance rejects because they crash upstreams."""

import collections
import enum

from jasminehold.decisions import hashing

# Instances that count the crashes of one request, so that the count does not
# end with one of them.
ARBITERS_PER_REQUEST = 2


class State(enum.Enum):
    """What an instance knows about a request.

    ``WATCHED``: a crash was reported from here; a success is reported too.
    ``SUSPECT``: it was in flight at several crashes; it is not sent again
    after a loss.
    ``QUARANTINED``: it is not sent.
    """

    WATCHED = 'watched'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


_LEVELS = {
    None: 0,
    State.WATCHED: 1,
    State.SUSPECT: 2,
    State.QUARANTINED: 3,
}


def arbiters(digest, members, own):
    """Return the ids of the instances that count a request's crashes.

    This instance is always among them, as the others may be unreachable; it
    is the last one if it was not chosen.

    Args:
        digest: digest of the request's content, bytes.
        members: ids of the live instances.
        own: id of this instance.
    """
    chosen = sorted(
        members, key=lambda name: hashing.number('crash', digest.hex(), name)
    )[:ARBITERS_PER_REQUEST]
    return chosen if own in chosen else [*chosen, own]


def is_crash(closed, still_open):
    """Return whether a lost request was lost in a crash of its upstream.

    A crash closes all connections, although the end of some may get lost on
    the way. An upstream that loses single answers keeps most of them open.

    Args:
        closed: connections that it closed at that time, that of the request
            included.
        still_open: connections that were open then and still are.
    """
    return closed > still_open


class Quarantine:
    """States of requests by digest, each until a time.

    Args:
        keep_s: seconds for which a state holds without news.
        max_records: maximum number of digests; the oldest that are only
            watched are dropped, or the oldest of all.
    """

    def __init__(self, keep_s, max_records):
        self._keep_s = keep_s
        self._max_records = max_records
        self._records = collections.OrderedDict()

    def __len__(self):
        return len(self._records)

    def count(self, state):
        """Return the number of requests in a :class:`State`."""
        return sum(found is state for found, _ in self._records.values())

    def watch(self, digest, now):
        """Watch a request, unless it has a state already."""
        self.raise_to(digest, State.WATCHED, self._keep_s, now)

    def raise_to(self, digest, state, seconds, now):
        """Set a state for a number of seconds, unless a higher one holds.

        An instance that counted only some of the crashes does not end the
        quarantine of one that counted all.
        """
        if _LEVELS[self.state(digest, now)] > _LEVELS[state]:
            return
        until = now + min(seconds, self._keep_s)
        self._records[digest] = (state, until)
        self._records.move_to_end(digest)
        while len(self._records) > self._max_records:
            del self._records[self._least()]

    def _least(self):
        for digest, (state, _) in self._records.items():
            if state is State.WATCHED:
                return digest
        return next(iter(self._records))

    def release(self, digest):
        """Forget a request."""
        self._records.pop(digest, None)

    def state(self, digest, now):
        """Return the :class:`State` of a request, or None."""
        state, until = self._records.get(digest, (None, now))
        return state if now < until else None

    def seconds_left(self, digests, now):
        """Return for how long any of the digests is quarantined, else 0."""
        return max(
            (
                self._records[digest][1] - now
                for digest in digests
                if self.state(digest, now) is State.QUARANTINED
            ),
            default=0.0,
        )

    def shared(self, now):
        """Return ``[(digest, State, seconds left)]`` for other instances."""
        return [
            (digest, state, until - now)
            for digest, (state, until) in self._records.items()
            if state is not State.WATCHED and now < until
        ]

    def expire(self, now):
        """Drop the states whose time has passed."""
        for digest, (_, until) in list(self._records.items()):
            if now >= until:
                del self._records[digest]
