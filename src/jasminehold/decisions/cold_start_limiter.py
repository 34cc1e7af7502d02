"""Limit on the requests that the fleet sends to a cold upstream."""

import collections

from jasminehold.decisions import hashing

WINDOW_S = 1.0
# Instances that send to one cold upstream. A few are enough to warm it up, and
# a small rate limit can still be divided into whole requests.
SENDERS_PER_UPSTREAM = 2
# Part of the rate limit that the senders use; the rest allows for a sender
# whose view of the fleet differs temporarily.
BUDGET_FRACTION = 0.65
# The same for senders with a stale member list: the other instances may have
# chosen two more senders, and all four together must keep the limit.
STALE_MEMBERS_BUDGET_FRACTION = 0.3
# The same for a new process, which may not know senders that started at the
# same time: 0 means the minimum of one request per second.
NEW_PROCESS_BUDGET_FRACTION = 0.0


def senders(upstream_id, instances):
    """Return the instances that may send to a cold upstream.

    Args:
        upstream_id: id of the upstream.
        instances: ids of live instances.
    """
    return sorted(
        instances, key=lambda name: hashing.number('cold', upstream_id, name)
    )[:SENDERS_PER_UPSTREAM]


class ColdStartLimiter:
    """Rate limit of one instance for one cold upstream."""

    def __init__(self):
        self._sent = collections.deque()

    def admits(self, bound, used, now):
        """Return whether one more request is within this sender's limit.

        Args:
            bound: requests per second that the whole fleet may send.
            used: part of the bound that the senders use, 0 to 1.
            now: monotonic seconds.
        """
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        limit = max(int(bound * used / SENDERS_PER_UPSTREAM), 1)
        return len(self._sent) < limit

    def on_sent(self, now):
        """Record a sent request."""
        self._sent.append(now)
