"""Admission control: bounded queue for the upstreams of one service.

An instance may use a share of the upstreams' slots. When all are in use,
requests wait in two priority classes, orders before look-ups. A request that
cannot start in time is refused at once with a retry delay.

Source: docs/design.md, section 3 (``admission``).
"""

import collections
import enum
import typing


class AdmissionConfig(typing.NamedTuple):
    """Settings of :class:`Admission`.

    Attributes:
        max_queue: maximum number of waiting requests.
        max_wait_s: maximum expected wait of a look-up in seconds.
        max_hold_s: maximum actual wait of a look-up in seconds. It can exceed
            the expected wait if slots are lost after the look-up was queued.
        max_order_hold_s: maximum wait of an order in seconds, expected and
            actual.
        initial_service_s: service time in seconds assumed before the first
            sample.
        smoothing: weight of a new service time in the moving average.
    """

    max_queue: int = 200
    max_wait_s: float = 0.25
    max_hold_s: float = 1.0
    max_order_hold_s: float = 2.0
    initial_service_s: float = 0.05
    smoothing: float = 0.05


class Priority(enum.IntEnum):
    """Priority classes; the lower number is served first."""

    ORDER = 0
    NORMAL = 1


class Offer(typing.NamedTuple):
    """Result of :meth:`Admission.offer`.

    Attributes:
        accepted: whether the request was queued.
        retry_after_s: seconds after which the caller should retry.
        evicted: identities of queued requests removed to make room.
    """

    accepted: bool
    retry_after_s: float
    evicted: tuple


class Waiting(typing.NamedTuple):
    """A queued request.

    Attributes:
        ident: identity given by the owner.
        priority: a :class:`Priority`.
        deadline: seconds, monotonic.
        since: when it was queued, monotonic seconds.
    """

    ident: object
    priority: Priority
    deadline: float
    since: float


class Admission:
    """Request queue of one service at one instance."""

    def __init__(self, cfg=AdmissionConfig()):
        self._cfg = cfg
        self._queues = {
            priority: collections.OrderedDict() for priority in Priority
        }
        self._service_s = cfg.initial_service_s

    def __len__(self):
        return sum(len(queue) for queue in self._queues.values())

    @property
    def service_time_s(self):
        """Moving average of the service time in seconds."""
        return self._service_s

    def observe(self, service_s):
        """Add the seconds for which one request occupied a slot."""
        self._service_s += self._cfg.smoothing * (service_s - self._service_s)

    def expected_wait(self, ahead, slots):
        """Return the expected wait for a slot in seconds.

        Args:
            ahead: number of requests ahead.
            slots: slots that serve the queue.
        """
        return (ahead + 1) * self._service_s / max(slots, 1)

    def offer(self, ident, priority, deadline, slots, now):
        """Queue a request if it can start in time.

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
        if wait > self._max_expected_wait(priority):
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
        """Remove a request; return whether it was queued."""
        for queue in self._queues.values():
            if queue.pop(ident, None) is not None:
                return True
        return False

    def next(self, now):
        """Remove and return the next request that can finish in time.

        Args:
            now: seconds, monotonic.

        Returns:
            ``(waiting, expired)``: a :class:`Waiting` or None, and the list
            of removed requests that can no longer meet their deadline.
        """
        expired = []
        for priority in Priority:
            queue = self._queues[priority]
            while queue:
                waiting = queue.popitem(last=False)[1]
                if now + self._service_s <= waiting.deadline:
                    return waiting, expired
                expired.append(waiting)
        return None, expired

    def restore(self, waiting):
        """Put a request from :meth:`next` back at the head of its class."""
        queue = self._queues[waiting.priority]
        queue[waiting.ident] = waiting
        queue.move_to_end(waiting.ident, last=False)

    def remove_expired(self, now):
        """Remove and return all requests that have to be refused.

        These can no longer meet their deadline, or have waited longer than
        the maximum of their class although a shorter wait was expected.
        """
        found = []
        for priority, queue in self._queues.items():
            max_hold_s = self._cfg.max_hold_s
            if priority == Priority.ORDER:
                max_hold_s = self._cfg.max_order_hold_s
            for ident, waiting in list(queue.items()):
                late = now + self._service_s > waiting.deadline
                if late or now - waiting.since > max_hold_s:
                    del queue[ident]
                    found.append(waiting)
        return found

    def _max_expected_wait(self, priority):
        if priority == Priority.ORDER:
            return self._cfg.max_order_hold_s
        return self._cfg.max_wait_s

    def _evict_newest_normal(self):
        queue = self._queues[Priority.NORMAL]
        if not queue:
            return ()
        return (queue.popitem()[0],)
