"""Admission to the bounded queue before the upstreams of one service.

An instance may use a number of slots (its share). When all are taken, requests
wait in two classes, orders before look-ups. A request that cannot start in
time is refused at once, with the time after which a repeat makes sense.

Source: docs/design.md, section 3 (``admission``).
"""

import collections
import enum
import typing


class AdmissionConfig(typing.NamedTuple):
    """Settings of :class:`Admission`.

    Attributes:
        max_queue: most requests waiting.
        max_wait_s: longest expected wait of a look-up in seconds.
        max_hold_s: longest time in seconds that a look-up waits; slots that
            were expected when it was accepted may be lost meanwhile.
        max_order_hold_s: longest wait of an order in seconds, expected or
            real.
        first_service_s: service time assumed before any was measured.
        smoothing: weight of a new service time in the average.
    """

    max_queue: int = 200
    max_wait_s: float = 0.25
    max_hold_s: float = 1.0
    max_order_hold_s: float = 2.0
    first_service_s: float = 0.05
    smoothing: float = 0.05


class Priority(enum.IntEnum):
    """Classes of requests; the lower number goes first."""

    ORDER = 0
    NORMAL = 1


class Offer(typing.NamedTuple):
    """Answer to a request that asks to wait.

    Attributes:
        accepted: whether it waits.
        retry_after_s: seconds after which a repeat makes sense.
        evicted: identities of waiting requests refused in its favour.
    """

    accepted: bool
    retry_after_s: float
    evicted: tuple


class Waiting(typing.NamedTuple):
    """One waiting request.

    Attributes:
        ident: identity given by the owner.
        priority: a :class:`Priority`.
        deadline: seconds, monotonic.
        since: when it began to wait.
    """

    ident: object
    priority: Priority
    deadline: float
    since: float


class Admission:
    """Queue of one service at one instance."""

    def __init__(self, cfg=AdmissionConfig()):
        self._cfg = cfg
        self._queues = {
            priority: collections.OrderedDict() for priority in Priority
        }
        self._service_s = cfg.first_service_s

    def __len__(self):
        return sum(len(queue) for queue in self._queues.values())

    @property
    def service_time_s(self):
        """Average service time in seconds."""
        return self._service_s

    def observe(self, service_s):
        """Record the time that one request occupied a slot, in seconds."""
        self._service_s += self._cfg.smoothing * (service_s - self._service_s)

    def expected_wait(self, ahead, slots):
        """Return the expected wait in seconds behind other requests.

        Args:
            ahead: number of requests ahead.
            slots: slots that serve the queue.
        """
        return (ahead + 1) * self._service_s / max(slots, 1)

    def offer(self, ident, priority, deadline, slots, now):
        """Ask to wait for a slot.

        Args:
            ident: identity of the request.
            priority: a :class:`Priority`.
            deadline: seconds, monotonic.
            slots: slots that the instance may use for this service.
            now: seconds, monotonic.

        Returns:
            An :class:`Offer`.
        """
        total = len(self)
        ahead = total
        if priority == Priority.ORDER:
            ahead = len(self._queues[Priority.ORDER])
        wait = self.expected_wait(ahead, slots)
        retry_after = max(self.expected_wait(total, slots), self._service_s)
        if slots <= 0 or now + wait + self._service_s > deadline:
            return Offer(False, retry_after, ())
        if wait > self._longest_expected(priority):
            return Offer(False, retry_after, ())
        evicted = ()
        if total >= self._cfg.max_queue:
            if priority != Priority.ORDER:
                return Offer(False, retry_after, ())
            evicted = self._evict_newest_normal()
            if not evicted:
                return Offer(False, retry_after, ())
        waiting = Waiting(ident, priority, deadline, now)
        self._queues[priority][ident] = waiting
        return Offer(True, 0.0, evicted)

    def remove(self, ident):
        """Forget a request that no longer waits; return whether it did."""
        for queue in self._queues.values():
            if queue.pop(ident, None) is not None:
                return True
        return False

    def next(self, now):
        """Take the next request that can still finish in time.

        Args:
            now: seconds, monotonic.

        Returns:
            ``(waiting, hopeless)``: a :class:`Waiting` or None, and the list
            of those passed over because their deadline allows no start.
        """
        hopeless = []
        for priority in Priority:
            queue = self._queues[priority]
            while queue:
                waiting = queue.popitem(last=False)[1]
                if now + self._service_s <= waiting.deadline:
                    return waiting, hopeless
                hopeless.append(waiting)
        return None, hopeless

    def restore(self, waiting):
        """Put back a request that :meth:`next` gave, ahead of its class."""
        queue = self._queues[waiting.priority]
        queue[waiting.ident] = waiting
        queue.move_to_end(waiting.ident, last=False)

    def remove_expired(self, now):
        """Remove and return all that have to be refused.

        These are the requests that can no longer finish in time, and those
        that have waited for the longest time accepted although their wait
        was expected to be shorter, so that none is held for nothing.
        """
        found = []
        for priority, queue in self._queues.items():
            longest = self._cfg.max_hold_s
            if priority == Priority.ORDER:
                longest = self._cfg.max_order_hold_s
            for ident, waiting in list(queue.items()):
                late = now + self._service_s > waiting.deadline
                if late or now - waiting.since > longest:
                    del queue[ident]
                    found.append(waiting)
        return found

    def _longest_expected(self, priority):
        if priority == Priority.ORDER:
            return self._cfg.max_order_hold_s
        return self._cfg.max_wait_s

    def _evict_newest_normal(self):
        queue = self._queues[Priority.NORMAL]
        if not queue:
            return ()
        return (queue.popitem()[0],)
