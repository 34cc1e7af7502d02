"""Whether an upstream crashed, from what several instances have seen of it.

A crash ends the connections of all instances. The loss of one instance's path
to an upstream ends those of that instance alone, or of some instances near it,
and looks the same to them. So an instance that suspects a crash asks others.

Example:
    >>> judge([('a1', Seen.ENDED), ('b1', Seen.NOTHING)], 'a1')
    <Finding.UNCONFIRMED: 'unconfirmed'>
    >>> judge([('a1', Seen.ENDED), ('b1', Seen.ALIVE)], 'a1')
    <Finding.ALIVE: 'alive'>
"""

import enum
import math
import typing

# Instances, drawn at random, among which those that are asked are chosen.
CANDIDATES_MAX = 64


class Seen(enum.Enum):
    """What an instance has seen of an upstream around a suspected crash.

    ``ENDED``: its connections from before ended as well, or there is a new
    incarnation.
    ``ALIVE``: the upstream has answered a request that was sent after it over
    a connection from before it, or has renewed its entry since.
    ``OPEN``: a connection from before is still open.
    ``NOTHING``: it had no connection, or it has no path itself.
    """

    ENDED = 'ended'
    ALIVE = 'alive'
    OPEN = 'open'
    NOTHING = 'nothing'


class Finding(enum.Enum):
    """What the answers of all asked instances say.

    ``CRASHED``: an instance in another availability zone lost its connections
    too, and none has one left.
    ``ALIVE``: the upstream went on.
    ``OPEN``: connections elsewhere are still open; their ends, or answers on
    them, will tell.
    ``UNCONFIRMED``: nobody else can tell.
    ``ALONE``: nobody else can be asked.
    """

    CRASHED = 'crashed'
    ALIVE = 'alive'
    OPEN = 'open'
    UNCONFIRMED = 'unconfirmed'
    ALONE = 'alone'


class Conns(typing.NamedTuple):
    """An instance's connections to an upstream around a time.

    Attributes:
        closed: those that the upstream closed then.
        still_open: those that were open before and still are.
        answered: whether it has answered a request that was sent later over
            one of these.
    """

    closed: int
    still_open: int
    answered: bool


def seen(conns, lived, replaced):
    """Return what an instance has :class:`Seen`.

    Args:
        conns: its :class:`Conns`.
        lived: whether the upstream has renewed its entry since.
        replaced: whether there is a new incarnation of it.
    """
    if lived or conns.answered:
        return Seen.ALIVE
    if replaced:
        return Seen.ENDED
    if conns.still_open:
        return Seen.OPEN
    return Seen.ENDED if conns.closed else Seen.NOTHING


def judge(answers, place, is_last=False):
    """Return the :class:`Finding`.

    The loss of a path often concerns all instances of an availability zone, so
    those of the asking instance's own confirm no crash.

    Args:
        answers: list of ``(availability zone, Seen)`` of other instances.
        place: availability zone of the asking instance, None if all instances
            are in one.
        is_last: whether there was time for the ends of all connections to
            arrive, so that those that are open will stay so.
    """
    found = {item for _, item in answers}
    if Seen.ALIVE in found or is_last and Seen.OPEN in found:
        return Finding.ALIVE
    if Seen.OPEN in found:
        return Finding.OPEN
    if any(item is Seen.ENDED and where != place for where, item in answers):
        return Finding.CRASHED
    return Finding.UNCONFIRMED


def instances_to_ask(places, place, linked, count, rng):
    """Choose the instances that are asked about an upstream.

    One of each availability zone is first, as a lost path often concerns a
    whole one; then those to which there is a link.

    Args:
        places: ``{id: availability zone}`` of the other instances.
        place: availability zone of the asking instance.
        linked: ids of the instances with a link.
        count: maximum number of instances.
        rng: a ``random.Random``.

    Returns:
        List of ids.
    """
    order = []
    for is_linked in (True, False):
        names = [name for name in places if (name in linked) is is_linked]
        found = rng.sample(names, min(len(names), CANDIDATES_MAX))
        # Those of other availability zones first.
        order += sorted(found, key=lambda name: places[name] == place)
    first, rest, covered = [], [], set()
    for name in order:
        (rest if places[name] in covered else first).append(name)
        covered.add(places[name])
    return (first + rest)[:count]


class OpenCases:
    """Suspected crashes of which it is not known yet whether they are some.

    Args:
        same_crash_s: losses at one upstream within this time are one crash.
    """

    def __init__(self, same_crash_s):
        self._same_crash_s = same_crash_s
        # ``{digest: [(upstream, when)]}``
        self._cases = {}

    def __len__(self):
        return len(self._cases)

    def begin(self, digests, upstream, at):
        """Note a suspected crash.

        Args:
            digests: digests of the lost request.
            upstream: id of its upstream.
            at: monotonic seconds.
        """
        for digest in digests:
            self._cases.setdefault(digest, []).append((upstream, at))

    def end(self, digests, upstream, at):
        """Forget a case that is decided."""
        for digest in digests:
            self._cases[digest].remove((upstream, at))
            if not self._cases[digest]:
                del self._cases[digest]

    def count(self, digest, since=-math.inf):
        """Return the number of possible crashes under a request.

        Args:
            digest: digest of the request.
            since: crashes of before this time are left out, monotonic seconds.
        """
        last, count = {}, 0
        cases = [it for it in self._cases.get(digest, ()) if it[1] > since]
        for upstream, at in sorted(cases, key=lambda case: case[1]):
            if at - last.get(upstream, at - 1e9) >= self._same_crash_s:
                count += 1
                last[upstream] = at
        return count


class Unconfirmed(typing.NamedTuple):
    """A possible crash that nobody but its reporter has seen.

    Attributes:
        upstream: id of the upstream.
        at: monotonic seconds.
        place: availability zone of the reporter.
    """

    upstream: str
    at: float
    place: str


class UnconfirmedCrashes:
    """Unconfirmed crashes by request, as an arbiter hears of them.

    One request that is lost in several availability zones, each time as if its
    upstream had crashed, confirms them: no loss of a path explains it.

    Args:
        keep_s: seconds for which a report counts.
    """

    def __init__(self, keep_s):
        self._keep_s = keep_s
        self._reports = {}

    def __len__(self):
        return len(self._reports)

    def add(self, digest, report, now, answered_at=-math.inf):
        """Note a report; return the list of those that count as crashes.

        Args:
            digest: digest of the request.
            report: the :class:`Unconfirmed`.
            now: monotonic seconds.
            answered_at: when the request succeeded last.
        """
        self.expire(now)
        reports = [
            item
            for item in (*self._reports.get(digest, ()), report)
            if item.at > answered_at
        ]
        self._reports[digest] = reports
        if len({item.place for item in reports}) < 2:
            return []
        return list(reports)

    def expire(self, now):
        """Forget the reports whose time has passed."""
        for digest, reports in list(self._reports.items()):
            kept = [it for it in reports if now - it.at < self._keep_s]
            if kept:
                self._reports[digest] = kept
            else:
                del self._reports[digest]
