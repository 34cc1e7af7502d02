"""A fleet of instances whose callers all want one limited upstream."""

import functools
import heapq
import itertools
import random

from jasminehold.decisions import stated_limits
from jasminehold.decisions import upstream_view
from tests.builders import limited_upstreams

KEY = upstream_view.Incarnation('u1', 0)
STEP_S = 0.05
RUN_S = 0.3
NEWS_S = 0.05
# Age of a member list that may be outdated, and of one that is used at all.
STALE_S = 1.5
# Time without contact after which others list an instance no more.
LEASE_S = 4.0
# Time in which a new process learns of the others.
DISCOVERY_S = 2.0
# An instance counts from this long after it was told of the limit.
TOLD_S = 0.5


@functools.lru_cache(maxsize=64)
def _senders(listed):
    return stated_limits.senders(KEY.id, listed, ())


class _Instance:
    def __init__(self, name, rng, now):
        self.name = name
        self.limits = stated_limits.StatedLimits(rng)
        self.started_at = now
        self.told_at = None
        self.listed = frozenset()
        self.listed_at = now


class LimitedFleet:
    """Instances that send to the upstream as often as they may.

    Args:
        count: number of instances.
        seed: of the order of events.
        demand: part of the instances that have callers for the upstream.

    Attributes:
        now: seconds.
        limit: what the upstream states, None for nothing.
        cut: names of instances cut off from the store and from the others.
        told: times of arrivals from instances that had been told in time.
        arrivals: times of all arrivals.
    """

    def __init__(self, count, seed, demand=1.0):
        self.now = 0.0
        self.limit = None
        self.cut = set()
        self.told = []
        self.arrivals = []
        self._rng = random.Random(seed)
        self._names = ['i%d' % number for number in range(count)]
        self._wanting = set(self._names[: max(int(count * demand), 1)])
        self._instances = {}
        self._events = []
        self._numbers = itertools.count()
        for name in self._names:
            self.restart(name)
            self._instances[name].started_at = -DISCOVERY_S
        self._left_at = {}

    @property
    def names(self):
        """Names of all instances."""
        return self._names

    def restart(self, name):
        """Start an instance's process again; it knows no limit."""
        self._instances[name] = _Instance(name, self._rng, self.now)

    def cut_off(self, names):
        """Cut instances off; the others list them until their lease ends."""
        self.cut = set(names)
        self._left_at = {name: self.now + LEASE_S for name in names}

    def heal(self):
        """End a cut; links between instances carry what is known."""
        for name in self.cut:
            statement = self._instances[name].limits.statement(KEY)
            for other in self._names:
                if other not in self.cut:
                    self._tell(other, name, statement)
                    known = self._instances[other].limits.statement(KEY)
                    self._tell(name, other, known)
        self.cut, self._left_at = set(), {}

    def play(self, seconds):
        """Let all instances with callers send whatever they may."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                func, args = heapq.heappop(self._events)[2:]
                func(*args)
            for name in self._rng.sample(self._names, len(self._names)):
                self._list_members(name)
                if name in self._wanting:
                    self._send(self._instances[name])

    def _list_members(self, name):
        one = self._instances[name]
        if name in self.cut and one.listed:
            return
        one.listed_at = self.now
        one.listed = self._listed()

    def _listed(self):
        gone = [n for n, at in self._left_at.items() if self.now >= at]
        return frozenset(self._names).difference(gone)

    def _send(self, one):
        limits = one.limits
        if limits.limit(KEY) is not None:
            rate = 0.0
            if self.now - one.started_at >= DISCOVERY_S:
                rate = stated_limits.instance_rate(
                    one.name,
                    _senders(one.listed),
                    limits.statement(KEY),
                    self.now - one.listed_at > STALE_S,
                    self.now,
                )
            if not limits.admits(KEY, rate, self.now):
                return
        elif self._rng.random() > 0.1:
            return
        limits.on_sent(KEY, self.now)
        self.arrivals.append(self.now)
        if one.told_at is not None and self.now > one.told_at + TOLD_S:
            self.told.append(self.now)
        self._at(RUN_S, self._answer, one)

    def _answer(self, one):
        if self._instances[one.name] is not one:
            return
        if self.limit is not None:
            one.told_at = one.told_at or self.now
        changed = one.limits.state(KEY, self.limit, self.now)
        known = one.limits.statement(KEY)
        if changed or (known is not None and one.limits.must_tell(KEY)):
            one.limits.mark_told(KEY)
            for other in self._names:
                if (other in self.cut) == (one.name in self.cut):
                    self._at(NEWS_S, self._tell, other, one.name, known)

    def _tell(self, name, sender, statement):
        if statement is not None and name != sender:
            self._instances[name].limits.merge(KEY, *statement)

    def _at(self, delay_s, func, *args):
        event = (self.now + delay_s, next(self._numbers), func, args)
        heapq.heappush(self._events, event)

    def limited_count(self):
        """Return how many instances take the upstream for limited."""
        return sum(
            one.limits.limit(KEY) is not None
            for one in self._instances.values()
        )

    def excess(self, begin):
        """Return the most told arrivals in a window beyond what is allowed.

        Args:
            begin: seconds from which on windows count.
        """
        times = [at for at in self.told if at >= begin]
        most = limited_upstreams.most_in_window(times)
        return most - limited_upstreams.allowed(self.limit)
