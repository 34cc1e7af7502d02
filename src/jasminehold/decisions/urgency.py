"""Who gives way while a service has too little room.

Each instance averages the queues that upstreams of a service report with
their responses. All instances hear the same upstreams, so their averages agree
within the noise of what they hear, and with them the rank that is cut: nothing
is told between instances. The average is compared with a threshold for each
class of requests; a class is a priority, divided into requests that can still
be answered in time and those that cannot.

See docs/design/urgency.md.
"""

import math
import typing

from jasminehold.decisions import hashing

# Time constant and minimum number of reports of the average queue. A queue of
# one run time builds up within about that time at twice the usual load.
QUEUE_WINDOW_S = 0.5
QUEUE_REPORTS = 6
# Age at which the last report says nothing of the queue any more, seconds.
QUEUE_EXPIRES_S = 2.0
# Queues in multiples of the slots at which the least urgent begin to give way,
# and bounds of that at which the most urgent do, which follows the time that
# the service's requests can wait.
IDLE_QUEUE = 0.2
MIN_TOP_QUEUE = 1.2
MAX_TOP_QUEUE = 1.6
# Weight of the newest request in the average of that time.
TOP_SMOOTHING = 0.01
# Increase of the queue over which a class gives way, from none to all of it;
# with one priority a wide one, so that noise does not decide who gives way.
CUT_QUEUE = 0.5
SINGLE_CUT_QUEUE = 1.0
# Place of the only priority between the most (0) and the least urgent (1), and
# how far behind its priority a request is that cannot be in time, in steps
# between priorities.
SINGLE_PLACE = 0.4
LATE_STEP = 0.4
# Each class keeps this fraction of the mean share that is admitted, more than
# the quarter that no kind of request may fall below.
KEPT_FRACTION = 0.4
# Time constant of the counts of requests by priority and account, seconds.
COUNT_WINDOW_S = 4.0
# A priority counts as present with this fraction of the requests.
PRESENT_FRACTION = 0.01
# Accounts counted for each service; others are judged by their class alone.
ACCOUNTS_MAX = 512
# An account is heavy if it sends more than this factor on the fair level to
# which half of the requests of its priority would be cut. Its queue at each
# upstream is shorter in proportion; that of others is up to a third longer.
HEAVY_PART = 0.5
HEAVY_FACTOR = 2.0
LIGHT_QUEUE = 1.33
# Part of an upstream's usual queue for the most urgent of several priorities,
# and by how much it is shorter for the least urgent.
URGENT_QUEUE = 1.33
RANK_QUEUE = 0.7
# Repeats of a request within this time get the same decision, seconds.
TURN_S = 2.0
# Callers honour a time to come back up to a third of the time that they have.
RETURN_FRACTION = 0.3
MIN_RETURN_S = 0.3


class Caller(typing.NamedTuple):
    """What is known of who waits for a request.

    Attributes:
        source: text that the caller's repeats of the request share.
        age_s: seconds that the caller has waited before this attempt.
        left_s: seconds until the caller's own deadline.
        account: name of its account, '' for none.
        weight: the account's requests per second, 0 if it states none.
    """

    source: str
    age_s: float
    left_s: float
    account: str = ''
    weight: float = 0.0


class Need(typing.NamedTuple):
    """What a request needs of its service.

    Attributes:
        priority: 0 is the highest.
        run_s: estimated seconds until the response without a wait.
        target_s: seconds within which the response is in time, counted from
            the caller's first attempt.
    """

    priority: int
    run_s: float
    target_s: float


class _Count:
    """Decaying count of requests, with the weight of their account."""

    __slots__ = ('value', 'at', 'weight')

    def __init__(self):
        self.value = 0.0
        self.at = 0.0
        self.weight = 0.0

    def get(self, now):
        return self.value * math.exp(-max(now - self.at, 0) / COUNT_WINDOW_S)

    def add(self, now):
        self.value = self.get(now) + 1.0
        self.at = now


class Urgency:
    """Admission of requests to one service at one instance.

    Example:
        >>> room = Urgency()
        >>> room.on_report(0, 9, 1.0)
        >>> caller = Caller('x', 0.0, 8.0)
        >>> room.pause_s(Need(0, 0.3, 1.0), caller, 0.5, 1.0)
    """

    def __init__(self):
        self._queue = 0.0
        self._top = MAX_TOP_QUEUE
        self._reported_at = -math.inf
        self._arrived = {}
        self._admitted = _Count()
        self._accounts = {}

    def on_report(self, waiting, slots, now):
        """Record the queue that an upstream reported.

        Args:
            waiting: its queued requests.
            slots: its slots.
            now: monotonic seconds.
        """
        passed_s = now - self._reported_at
        kept = math.exp(-passed_s / QUEUE_WINDOW_S)
        if passed_s < QUEUE_EXPIRES_S:
            kept = max(kept, 1.0 - 1.0 / QUEUE_REPORTS)
        sample = waiting / max(slots, 1)
        self._queue = kept * self._queue + (1.0 - kept) * sample
        self._reported_at = now

    def queue(self, now):
        """Return the mean queue in multiples of the slots."""
        if now - self._reported_at > QUEUE_EXPIRES_S:
            return 0.0
        return self._queue

    def pause_s(self, need, caller, chance, now):
        """Decide on a request; count it.

        Args:
            need: its :class:`Need`.
            caller: its :class:`Caller`.
            chance: random number in [0, 1), for the time to come back.
            now: monotonic seconds.

        Returns:
            None if it is admitted, else the seconds after which its caller
            should come back.
        """
        self._count(need.priority, caller, now)
        place, part = self._part(need, caller, now)
        if part < 1.0:
            part = self._account_part(need.priority, caller, part, now)
            if _point(caller, now) >= part:
                return return_s(caller.left_s, place, chance)
        self._admitted.add(now)
        return None

    def _count(self, priority, caller, now):
        self._arrived.setdefault(priority, _Count()).add(now)
        key = priority, caller.account
        if key not in self._accounts and len(self._accounts) >= ACCOUNTS_MAX:
            self._forget(now)
        if key in self._accounts or len(self._accounts) < ACCOUNTS_MAX:
            count = self._accounts.setdefault(key, _Count())
            count.weight = caller.weight
            count.add(now)

    def _forget(self, now):
        # An account of less than half a request in the window is as small as
        # one that is not counted.
        for key in [
            key for key, item in self._accounts.items() if item.get(now) < 0.5
        ]:
            del self._accounts[key]

    def _part(self, need, caller, now):
        # Returns the class's place from 0 (most urgent) up to 1, and the part
        # of its requests that is admitted.
        present, total = self._present(need.priority, now)
        late = caller.age_s + need.run_s > need.target_s
        self._learn_top(need)
        place = self._place(present, need.priority)
        if late:
            # Nothing but an answer at all is left to these callers: those
            # that have waited as they were told go first.
            told_s = RETURN_FRACTION * (caller.age_s + caller.left_s)
            waited = min(caller.age_s / max(told_s, 1e-3), 1.0)
            step = LATE_STEP / max(len(present) - 1, 1)
            place += step * (1.0 - waited)
        begin = self._top - place * (self._top - IDLE_QUEUE)
        begin = max(begin, IDLE_QUEUE)
        width = CUT_QUEUE if len(present) > 1 else SINGLE_CUT_QUEUE
        part = 1.0 - (self.queue(now) - begin) / width
        mean = self._admitted.get(now) / total
        return place, min(max(part, KEPT_FRACTION * min(mean, 1.0)), 1.0)

    def _present(self, priority, now):
        # Returns the priorities in use, the most urgent first, and the
        # requests counted.
        counts = {key: item.get(now) for key, item in self._arrived.items()}
        total = sum(counts.values())
        present = {
            key
            for key, count in counts.items()
            if count >= PRESENT_FRACTION * total
        }
        return sorted(present | {priority}), total

    @staticmethod
    def _place(present, priority):
        # From 0 for the most urgent to 1 for the least.
        if len(present) < 2:
            return SINGLE_PLACE
        return present.index(priority) / (len(present) - 1)

    def queue_part(self, priority, caller, now):
        """Return the part of the usual queue that a request may join.

        Args:
            priority: 0 is the highest.
            caller: its :class:`Caller`.
            now: monotonic seconds.
        """
        present, _ = self._present(priority, now)
        place = self._place(present, priority)
        part = 1.0
        if len(present) > 1:
            part = URGENT_QUEUE - RANK_QUEUE * place
        if self.queue(now) < IDLE_QUEUE:
            return part
        usual = HEAVY_FACTOR * self._account_part(
            priority, caller, HEAVY_PART, now
        )
        return part * min(usual, LIGHT_QUEUE)

    def _learn_top(self, need):
        # The queue in which the service's usual request is still in time.
        slack_s = need.target_s - need.run_s
        top = slack_s / max(need.run_s, 1e-3)
        top = min(max(top, MIN_TOP_QUEUE), MAX_TOP_QUEUE)
        self._top += TOP_SMOOTHING * (top - self._top)

    def _account_part(self, priority, caller, part, now):
        items = {
            key[1]: item
            for key, item in self._accounts.items()
            if key[0] == priority
        }
        if caller.account not in items or len(items) < 2:
            return part
        weighted = all(item.weight > 0 for item in items.values())
        demands = {
            name: (item.get(now), item.weight if weighted else 1.0)
            for name, item in items.items()
        }
        level = fair_level(list(demands.values()), part)
        demand, weight = demands[caller.account]
        if not demand:
            # It was idle for so long that nothing is left of its count.
            return 1.0
        return min(level * weight / demand, 1.0)


def fair_level(demands, part):
    """Return the max-min fair level of demands cut to a part of their sum.

    Args:
        demands: list of ``(demand, weight)``, both positive.
        part: 0 to 1.

    Returns:
        The number ``level`` for which the sum of ``min(demand, level *
        weight)`` is ``part`` of the sum of the demands.
    """
    left = part * sum(demand for demand, _ in demands)
    weights = sum(weight for _, weight in demands)
    ordered = sorted(demands, key=lambda item: item[0] / item[1])
    for demand, weight in ordered:
        level = left / weights
        if demand >= level * weight:
            return level
        left -= demand
        weights -= weight
    demand, weight = ordered[-1]
    return demand / weight


def return_s(left_s, place, chance):
    """Return the seconds after which a refused caller should come back.

    The urgent come back first, and each class over half of the time that
    callers honour.

    Args:
        left_s: seconds until the caller's own deadline.
        place: place of its class, from 0 (most urgent) up to 1.
        chance: random number in [0, 1).
    """
    longest_s = RETURN_FRACTION * left_s
    if longest_s <= MIN_RETURN_S:
        return longest_s
    part = (min(place, 1.0) + chance) / 2
    return MIN_RETURN_S + part * (longest_s - MIN_RETURN_S)


def _point(caller, now):
    # The same for the repeats of a request within a turn; each request has
    # its own time at which it changes.
    phase = hashing.point('urgency phase', caller.source)
    turn = math.floor(now / TURN_S + phase)
    return hashing.point('urgency', caller.source, str(turn))
