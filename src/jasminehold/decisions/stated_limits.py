"""Limits that upstreams state for the requests of all instances together.

An upstream in need states in its responses how many requests a second it
takes from the whole fleet. A few instances, chosen by hash, send to it, each
an equal part of the limit; the others use other upstreams. So the parts add
up, however small the limit and however large the fleet.

The senders use less than the limit. What is left allows for senders that were
chosen from an outdated list of members.
"""

import typing

from jasminehold.decisions import hashing

# Fraction of a limit that the senders use together.
FRACTION = 0.8
# The same with an outdated member list, where other instances may have chosen
# other senders.
STALE_FRACTION = 0.3
# Senders, besides the first, for each request per second of the limit. A
# sender may hold one request back and send it at any time, so their number
# adds to what arrives in a short time.
SENDERS_PER_RATE = 1.4
STALE_SENDERS_PER_RATE = 0.2
# The senders use at least this rate, requests a second, so that the end of a
# limit of zero is noticed.
PROBE_PER_S = 0.25
# Time without any response of the upstream after which the number of senders
# doubles, and doubles again: the callers may be at other instances.
IDLE_S = 5.0
# Requests that a sender may hold back, in seconds of its rate; one at least.
BURST_S = 0.25
# Time after which other instances are told again that a limit holds, so that
# all agree on when the upstream responded last.
TELL_EVERY_S = 2.0
# Change of a limit that they are told at once.
CHANGE_FRACTION = 0.1
# Time for which a statement of an upstream that is not known, or no longer, is
# kept: news of it may come before its entry.
UNKNOWN_KEEP_S = 60.0


class Statement(typing.NamedTuple):
    """Limit in requests a second, None for no limit, and when it was stated.

    The time is in monotonic seconds.
    """

    per_s: typing.Optional[float]
    at: float


class Senders(typing.NamedTuple):
    """Instances in the order in which they become senders of an upstream.

    Attributes:
        order: ids, those whose callers use the upstream most first.
        near: how many of them do; the others send only if these are idle.
    """

    order: typing.Tuple[str, ...]
    near: int


def senders(upstream_id, near, others):
    """Return the :class:`Senders` of an upstream.

    Args:
        upstream_id: id of the upstream.
        near: ids of the instances whose callers use it most, may be empty.
        others: ids of the other instances.
    """

    def rank(name):
        return hashing.number('limit', upstream_id, name)

    order = (*sorted(near, key=rank), *sorted(others, key=rank))
    return Senders(order, len(near) or len(order))


def instance_rate(own, found, statement, stale, now):
    """Return the requests per second that an instance may send.

    Args:
        own: id of the instance.
        found: the upstream's :class:`Senders`.
        statement: its :class:`Statement`, with a limit.
        stale: whether the list of instances may be outdated.
        now: monotonic seconds.
    """
    per_s = max(statement.per_s, PROBE_PER_S)
    fraction, idle = FRACTION, 0
    count = 1 + int(SENDERS_PER_RATE * statement.per_s)
    if stale:
        fraction = STALE_FRACTION
        count = 1 + int(STALE_SENDERS_PER_RATE * statement.per_s)
    else:
        idle = min(int(max(now - statement.at, 0.0) / IDLE_S), 32)
    count = min(min(count, found.near) << idle, len(found.order))
    if own not in found.order[:count]:
        return 0.0
    return fraction * per_s / count


class _Bucket:
    def __init__(self, tokens, now):
        self.tokens = tokens
        self.rate = 0.0
        self.at = now


class StatedLimits:
    """Limits known to one instance, and what it sent under them.

    Args:
        rng: random source.
    """

    def __init__(self, rng):
        self._rng = rng
        self._statements = {}
        self._limited = set()
        # Statements that all instances were last told, by any of them.
        self._told = {}
        self._buckets = {}

    def state(self, key, per_s, at):
        """Apply a statement, unless a later one is known.

        Args:
            key: the upstream's :class:`~decisions.upstream_view.Incarnation`.
            per_s: requests a second, None for no limit.
            at: monotonic seconds at which the upstream stated it.

        Returns:
            Whether the limit began, ended or changed noticeably since the
            instances were told.
        """
        known = self._statements.get(key)
        if known is None and per_s is None:
            return False
        if known is not None and at <= known.at:
            return False
        self._statements[key] = Statement(per_s, at)
        if per_s is None:
            self._limited.discard(key)
            self._buckets.pop(key, None)
        else:
            self._limited.add(key)
        told = self._told.get(key)
        told_per_s = told.per_s if told is not None else None
        if per_s is None or told_per_s is None:
            return per_s is not told_per_s
        return abs(per_s - told_per_s) > CHANGE_FRACTION * told_per_s

    def merge(self, key, per_s, at):
        """Apply what another instance told all others; see :meth:`state`."""
        changed = self.state(key, per_s, at)
        known = self._statements.get(key)
        if known is not None and known.at == at:
            self.mark_told(key)
        return changed

    def must_tell(self, key):
        """Return whether other instances must hear that a limit holds."""
        told = self._told.get(key)
        known = self._statements[key]
        if known.per_s is None:
            return False
        return told is None or known.at - told.at >= TELL_EVERY_S

    def mark_told(self, key):
        """Record that all instances were told the current statement."""
        self._told[key] = self._statements[key]

    def remove(self, key):
        """Forget an upstream that left."""
        self._limited.discard(key)
        for table in (self._statements, self._told, self._buckets):
            table.pop(key, None)

    def keep(self, keys, now):
        """Forget upstreams that are not among the keys, after a while."""
        for key, known in list(self._statements.items()):
            if key not in keys and now - known.at > UNKNOWN_KEEP_S:
                self.remove(key)

    def statement(self, key):
        """Return the :class:`Statement` of an upstream, or None."""
        return self._statements.get(key)

    def limit(self, key):
        """Return an upstream's limit in requests a second, or None."""
        known = self._statements.get(key)
        return known.per_s if known is not None else None

    def items(self):
        """Return ``[(Key, Statement)]``, also of limits that ended."""
        return list(self._statements.items())

    def limited(self):
        """Return the set of the keys of the upstreams that have a limit."""
        return self._limited

    def admits(self, key, rate, now):
        """Return whether one more request may be sent to an upstream.

        Args:
            key: the upstream's :class:`~decisions.upstream_view.Incarnation`.
            rate: requests a second that this instance may send.
            now: monotonic seconds.
        """
        return self._refill(key, rate, now).tokens >= 1.0

    def wait_s(self, key, rate, now):
        """Return the seconds until a request may be sent, None for never."""
        if not rate:
            return None
        return max(1.0 - self._refill(key, rate, now).tokens, 0.0) / rate

    def on_sent(self, key, now):
        """Count a request that was sent to an upstream."""
        bucket = self._buckets.get(key)
        if bucket is not None:
            bucket.tokens -= 1.0

    def _refill(self, key, rate, now):
        bucket = self._buckets.get(key)
        if bucket is None or not rate:
            # Senders that begin together do not send at the same moment.
            bucket = self._buckets[key] = _Bucket(self._rng.random(), now)
        # The rate may have changed at any time since the last call.
        earned = min(rate, bucket.rate) * (now - bucket.at)
        bucket.tokens = min(bucket.tokens + earned, max(1.0, BURST_S * rate))
        bucket.rate, bucket.at = rate, now
        return bucket
