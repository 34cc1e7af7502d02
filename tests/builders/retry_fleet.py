"""A fleet of instances that repeat requests as often as they may."""

import bisect
import random

from jasminehold.decisions import fleet_size
from jasminehold.decisions import retry_token_bucket

RATIO = 0.2
BURST = 64
WINDOW_S = 10.0
# Repeats are tried for in this many of the requests, so that a fleet uses
# its budget up within a few seconds.
TRIES_A_REQUEST = 2
LEARN_S = fleet_size.DISCOVERY_S


class RetryFleet:
    """Instances with a load each, and what they were sent and repeated.

    Args:
        count: number of instances.
        rate: requests a second of the whole fleet.
        seed: of the arrivals.

    Attributes:
        parts: part of the load that each instance gets.
        requests: times of all requests, sorted, seconds.
        repeats: times of all repeats, sorted, seconds.
    """

    def __init__(self, count, rate, seed):
        self.rng = random.Random(seed)
        self.parts = [1.0 / count] * count
        self.requests = []
        self.repeats = []
        self._rate = rate
        self._now = 0.0
        self._shares = [None] * count
        self._sizes = [None] * count
        self._tells = []
        for index in range(count):
            self.restart(index, LEARN_S)

    def __len__(self):
        return len(self.parts)

    def restart(self, index, learn_s=0.0):
        """Start an instance's process again.

        Args:
            index: of the instance.
            learn_s: seconds until it knows all the others.
        """
        self._shares[index] = retry_token_bucket.RetryTokenBucket(
            RATIO, BURST, WINDOW_S, self.rng
        )
        size = self._sizes[index] = fleet_size.FleetSize(WINDOW_S)
        size.on_members({index}, self._now)
        self._tells.append((self._now + learn_s, index, size))

    def play(self, until, rejecting):
        """Let requests arrive.

        Args:
            until: seconds at which to stop.
            rejecting: whether upstreams reject, so that all instances
                repeat whatever they may.
        """
        while True:
            self._now += self.rng.expovariate(self._rate)
            if self._now >= until:
                self._now = until
                return
            self._learn()
            index = self.rng.choices(range(len(self)), self.parts)[0]
            share = self._shares[index]
            share.on_request(self._now)
            self.requests.append(self._now)
            part = self._sizes[index].instance_share(index, 0.0, self._now)
            for _ in range(TRIES_A_REQUEST if rejecting else 0):
                if share.take(part, self._now):
                    self.repeats.append(self._now)

    def _learn(self):
        due = [item for item in self._tells if item[0] <= self._now]
        for item in due:
            self._tells.remove(item)
            item[2].on_members(range(len(self)), self._now)

    def excess(self):
        """Return the worst window as ``(repeats - allowed, its begin)``.

        Requests count in the window, the one before it or the one half a
        window before, whichever has most.
        """
        worst = (float('-inf'), 0.0)
        for at in self.repeats:
            allowed = BURST + RATIO * max(
                _between(self.requests, at - shift, at - shift + WINDOW_S)
                for shift in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            used = _between(self.repeats, at, at + WINDOW_S)
            worst = max(worst, (used - allowed, at))
        return worst


def _between(times, begin, end):
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
