"""Requests that may have crashed an upstream after their send had ended.

Example:
    >>> doubts = Doubts(2.0, 100)
    >>> doubts.add(('10.0.0.1', 80), 'request', 5.0)
    >>> doubts.take(('10.0.0.1', 80), 6.0)
    ['request']
"""

import collections
import enum

from jasminehold.decisions import quarantine


class Finding(enum.Enum):
    """What the connections to an upstream say of it at one moment.

    ``CRASHED``: it ended several, and most of them.
    ``WENT_ON``: others stayed open.
    ``UNKNOWN``: there was one at most, so it has to be asked.
    """

    CRASHED = 'crashed'
    WENT_ON = 'went_on'
    UNKNOWN = 'unknown'


def finding(closed, still_open):
    """Return the :class:`Finding` for connections to one upstream.

    Args:
        closed: connections that it closed at that time.
        still_open: connections that were open then and still are.
    """
    if closed > 1 and quarantine.is_crash(closed, still_open):
        return Finding.CRASHED
    return Finding.WENT_ON if still_open else Finding.UNKNOWN


class Doubts:
    """Doubted requests by the address of their upstream.

    Args:
        keep_s: seconds for which a request is doubted.
        max_records: maximum number of requests; the oldest are dropped.
    """

    def __init__(self, keep_s, max_records):
        self._keep_s = keep_s
        self._max_records = max_records
        self._requests = {}
        # ``(since, address)`` of each request, oldest first.
        self._order = collections.deque()

    def __contains__(self, address):
        return address in self._requests

    def add(self, address, request, now):
        """Doubt a request from now on.

        Args:
            address: address of its upstream, hashable.
            request: what :meth:`take` returns.
            now: monotonic seconds.
        """
        self._expire(now)
        if len(self._order) >= self._max_records:
            self._drop_oldest()
        self._requests.setdefault(address, collections.deque()).append(request)
        self._order.append((now, address))

    def take(self, address, now):
        """Return the requests in doubt at an address, and forget them."""
        self._expire(now)
        found = list(self._requests.pop(address, ()))
        if found:
            self._order = collections.deque(
                item for item in self._order if item[1] != address
            )
        return found

    def _expire(self, now):
        while self._order and now - self._order[0][0] >= self._keep_s:
            self._drop_oldest()

    def _drop_oldest(self):
        _, address = self._order.popleft()
        self._requests[address].popleft()
        if not self._requests[address]:
            del self._requests[address]
