"""How many requests a cold upstream gets from the whole fleet."""

import collections

from jasminehold.decisions import hashing

WINDOW_S = 1.0
# Instances that send to one cold upstream. Few are enough to warm it, and
# each gets a whole number of requests of a small bound.
SENDERS = 2
# Part of the bound that is used; the rest covers a sender whose view of the
# fleet differs for a moment.
BUDGET_FRACTION = 0.65
# The same of senders whose list of the fleet is old: the others may have
# chosen two more, and both together must keep the bound.
STALE_MEMBERS_BUDGET_FRACTION = 0.3
# The same of a new process, which may not know the senders that started with
# it: the least part, one request a second.
NEW_PROCESS_BUDGET_FRACTION = 0.0


def senders(upstream_id, instances):
    """Return the instances that may send to a cold upstream.

    Args:
        upstream_id: id of the upstream.
        instances: ids of the live instances.
    """
    return sorted(
        instances, key=lambda name: hashing.number('cold', upstream_id, name)
    )[:SENDERS]


class ColdStartLimiter:
    """Bounds what one instance sends to one cold upstream."""

    def __init__(self):
        self._sent = collections.deque()

    def admits(self, bound, used, now):
        """Return whether one more request keeps this sender's part.

        Args:
            bound: requests a second that the whole fleet may send.
            used: part of the bound that the senders use, share 0 to 1.
            now: monotonic seconds.
        """
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        part = max(int(bound * used / SENDERS), 1)
        return len(self._sent) < part

    def on_sent(self, now):
        """Count a request."""
        self._sent.append(now)
