"""A fleet of ``quotas.QuotaShare`` without a network."""

import heapq
import itertools
import random

from jasminehold.decisions import quotas

REGIONS = ('sul', 'norte', 'leste')
BOUNDS = quotas.Bounds(5.0, 0.1, 20.0)
NEAR_S = (0.001, 0.004)
FAR_S = (0.02, 0.04)
# Fractions of the messages that are lost, repeated or late.
LOST, REPEATED, LATE = 0.002, 0.01, 0.01
LATE_S = 0.5
# Time after which a rejection is heard, seconds.
REJECTED_S = (0.002, 0.02)


class Fleet:
    """Instances, their messages and the requests of accounts.

    Args:
        count: number of instances.
        limits: ``{account: quotas.Quota}``.
        seed: of all chance.
    """

    def __init__(self, count, limits, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.limits = dict(limits)
        self.names = ['i%d' % number for number in range(count)]
        self.regions = {
            name: REGIONS[number % 3] for number, name in enumerate(self.names)
        }
        self.shares = {}
        self.stopped_until = {}
        self.cut = frozenset()
        # Rows of account, time of arrival, time of the send or None.
        self.rows = []
        self.messages = 0
        # Load of each account: requests a second, and who gets them.
        self.load = {}
        # Until when upstreams reject all, and which part they reject else.
        self.paused_until = 0.0
        self.rejected = 0.0
        self._events = []
        self._order = itertools.count()
        self._weights = {
            name: self.rng.uniform(0.5, 1.5) for name in self.names
        }

    def at(self, delay, func, *args):
        """Run a function after a delay, seconds."""
        item = (self.now + delay, next(self._order), func, args)
        heapq.heappush(self._events, item)

    def start(self, name, known=None):
        """Start an instance, which knows these members only at first."""
        share = quotas.QuotaShare(
            name,
            self.regions[name],
            BOUNDS,
            random.Random(self.rng.random()),
            lambda to, message: self._send(name, to, message),
            self.now,
        )
        self.shares[name] = share
        self.stopped_until.pop(name, None)
        share.on_quotas(self.limits, self.now)
        share.on_members(
            {item: self.regions[item] for item in known or self.names},
            self.now,
        )
        if known:
            self.at(0.7, share.on_members, self.regions, self.now + 0.7)
        self._tick(name, share)

    def start_all(self, known=1.0):
        """Start all within 0.3 s, each knowing a part of the others."""
        count = int(known * len(self.names))
        for name in self.names:
            some = self.rng.sample(self.names, count) if known < 1 else None
            some = some and sorted({name, *some})
            self.at(self.rng.uniform(0.0, 0.3), self.start, name, some)

    def kill(self, name):
        """End an instance's process."""
        self.shares.pop(name, None)

    def set_limits(self, limits):
        """Put quotas in force, each instance within 0.5 s."""
        self.limits = dict(limits)
        for share in self.shares.values():
            delay = self.rng.uniform(0.0, 0.5)
            self.at(delay, self._set_limits, share)

    def _set_limits(self, share):
        share.on_quotas(self.limits, self.now)

    def freeze(self, name, seconds):
        """Stop an instance; what it gets meanwhile waits."""
        self.stopped_until[name] = self.now + seconds

    def root(self, account):
        """Return the living instance that others ask last, by rank."""
        parents = [
            name
            for name, share in self.shares.items()
            if share.is_root(account)
        ]
        return parents[0]

    def _defer(self, name, func, *args):
        # Whether the instance stands still: it acts on it later.
        until = self.stopped_until.get(name, 0.0)
        if until > self.now:
            self.at(until - self.now + 1e-6, func, *args)
            return True
        return False

    def _tick(self, name, share):
        if self.shares.get(name) is not share:
            return
        if not self._defer(name, self._tick, name, share):
            share.on_tick(self.now)
            self.at(quotas.TICK_S, self._tick, name, share)

    def _send(self, sender, to, message):
        self.messages += 1
        if (sender in self.cut) != (to in self.cut):
            return
        near = self.regions[sender] == self.regions[to]
        copies = 2 if self.rng.random() < REPEATED else 1
        for _ in range(copies):
            if self.rng.random() < LOST:
                continue
            delay = self.rng.uniform(*(NEAR_S if near else FAR_S))
            if self.rng.random() < LATE:
                delay += self.rng.uniform(0.0, LATE_S)
            self.at(delay, self._deliver, sender, to, message)

    def _deliver(self, sender, to, message):
        share = self.shares.get(to)
        if share is None:
            return
        if not self._defer(to, self._deliver, sender, to, message):
            share.on_message(sender, message, self.now)

    def set_load(self, account, per_s, regions=REGIONS):
        """Let an account's callers send at the instances of some regions."""
        chosen = [n for n in self.names if self.regions[n] in regions]
        first = account not in self.load
        weights = [self._weights[name] for name in chosen]
        self.load[account] = (per_s, chosen, weights)
        if first:
            self.at(self.rng.expovariate(per_s), self._request, account)

    def _request(self, account):
        per_s, chosen, weights = self.load[account]
        self.at(self.rng.expovariate(per_s), self._request, account)
        name = self.rng.choices(chosen, weights)[0]
        share = self.shares.get(name)
        if share is None or self.stopped_until.get(name, 0.0) > self.now:
            # Callers use another instance.
            return
        row = [account, self.now, None]
        self.rows.append(row)

        def done(seconds, until):
            if seconds is not None:
                return
            if self._is_rejected():
                delay = self.rng.uniform(*REJECTED_S)
                self.at(delay, self._give_back, name, share, account, until)
            else:
                row[2] = self.now

        share.take(account, self.now, done)

    def _is_rejected(self):
        if self.now < self.paused_until:
            return True
        return bool(self.rejected) and self.rng.random() < self.rejected

    def _give_back(self, name, share, account, until):
        if self.shares.get(name) is not share:
            return
        if not self._defer(name, self._give_back, name, share, account, until):
            share.give_back(account, until)

    def run(self, until):
        """Run until a time, seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, func, args = heapq.heappop(self._events)
            func(*args)
        self.now = until

    # Results.

    def served(self, start, end, accounts=None):
        """Return the fraction served of what came from start to end."""
        rows = [
            row
            for row in self.rows
            if start <= row[1] < end
            and (accounts is None or row[0] in accounts)
        ]
        return sum(row[2] is not None for row in rows) / max(len(rows), 1)

    def waits(self, start):
        """Return the median and the 99th percentile wait, seconds."""
        waits = sorted(
            row[2] - row[1] for row in self.rows if row[2] and row[1] >= start
        )
        return [round(waits[int(len(waits) * p)], 4) for p in (0.5, 0.99)]

    def sent_times(self, account):
        """Return the times of an account's sends."""
        return sorted(
            row[2] for row in self.rows if row[0] == account and row[2]
        )

    def most_in_window(self, account, start=0.0):
        """Return the most sends of an account in one window."""
        times = [at for at in self.sent_times(account) if at >= start]
        most, first = 0, 0
        for last, at in enumerate(times):
            while times[first] <= at - BOUNDS.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


def equal_shares(fleet, account, end, start=0.0):
    """Return the fraction that equal shares would serve of the same load."""
    quota = fleet.limits[account]
    count = len(fleet.names)
    rng = random.Random(1)
    _, chosen, weights = fleet.load[account]
    most = max((quota.burst + 0.3 * BOUNDS.room(quota)) / count, 1.0)
    tokens, last, served, asked = {}, {}, 0, 0
    for row in fleet.rows:
        if row[0] != account or not start <= row[1] < end:
            continue
        name = rng.choices(chosen, weights)[0]
        passed = row[1] - last.get(name, start - 2.0)
        earned = quota.rate / count * passed
        tokens[name] = min(tokens.get(name, 0.0) + earned, most)
        last[name] = row[1]
        asked += 1
        if tokens[name] >= 1:
            tokens[name] -= 1
            served += 1
    return served / max(asked, 1)
