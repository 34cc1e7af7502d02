"""Goodput under overload, load added by retries, upstreams lost to a request.

Each trace is run with the product's rules and with naive ones (always retry,
no limits, no blame) on the same arrivals and service times. Time is simulated,
so the figures do not depend on the machine.

Usage: ``python bench/overload.py [seed]``
"""

import heapq
import itertools
import random
import sys
import typing

from jasminehold.decisions import admission
from jasminehold.decisions import crash_suspects
from jasminehold.decisions import retry

SERVERS = 12
SLOTS = 3
SERVICE_S = 0.05
DEADLINE_S = 1.0
CALLER_ATTEMPTS = 3
ORDER_SHARE = 0.1
RUN_S = 30.0
INSTANCES = 12
POLL_S = 0.01


class Clock:
    """Simulated time with an ordered list of calls."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._order = itertools.count()

    def at(self, when, func, *args):
        """Schedule a call."""
        heapq.heappush(self._heap, (when, next(self._order), func, args))

    def run(self, until):
        """Make all calls that are due until a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, func, args = heapq.heappop(self._heap)
            func(*args)


class Request:
    """One request of a caller; ``attempt`` counts the caller's tries."""

    def __init__(self, ident, order, started, attempt=1):
        self.ident = ident
        self.order = order
        self.started = started
        self.deadline = started + DEADLINE_S
        self.attempt = attempt
        self.done = False


class OverloadResult(typing.NamedTuple):
    """Figures of one run.

    Attributes:
        goodput: whole answers in time a second.
        orders: share of orders answered in time, callers' repeats included.
        refused: refusals a second.
        attempts: attempts at servers for each first request.
    """

    goodput: float
    orders: float
    refused: float
    attempts: float


class Totals:
    """Counts of one run."""

    def __init__(self):
        self.good = 0
        self.orders = 0
        self.orders_good = 0
        self.refused = 0
        self.attempts = 0
        self.first = 0

    def result(self):
        """Return the figures."""
        return OverloadResult(
            self.good / RUN_S,
            self.orders_good / max(self.orders, 1),
            self.refused / RUN_S,
            self.attempts / max(self.first, 1),
        )


def overload(load, seed, ruled):
    """Offer a multiple of the capacity to one service.

    Args:
        load: offered load as a multiple of the capacity.
        seed: seed of arrivals and service times.
        ruled: whether the product's admission is used.

    Returns:
        An :class:`OverloadResult`.
    """
    clock, totals = Clock(), Totals()
    rng, services = random.Random(seed), random.Random(seed + 1)
    start = _ruled_start if ruled else _naive_start
    submit = start(clock, totals, services)
    rate = load * SERVERS * SLOTS / SERVICE_S
    when, ident = 0.0, 0
    while when < RUN_S:
        when += rng.expovariate(rate)
        req = Request(ident, rng.random() < ORDER_SHARE, when)
        ident += 1
        totals.first += 1
        totals.orders += req.order
        clock.at(when, submit, req)
    clock.run(RUN_S + 2 * DEADLINE_S)
    return totals.result()


def _finish(clock, totals, req):
    if not req.done and clock.now <= req.deadline:
        req.done = True
        totals.good += 1
        totals.orders_good += req.order


def _ruled_start(clock, totals, rng):
    queue = admission.Admission()
    state = {'free': SERVERS * SLOTS}
    waiting = {}

    def begin(req):
        state['free'] -= 1
        totals.attempts += 1
        service = rng.expovariate(1 / SERVICE_S)
        clock.at(clock.now + service, end, req, service)

    def end(req, service):
        queue.observe(service)
        state['free'] += 1
        _finish(clock, totals, req)
        following, hopeless = queue.next(clock.now)
        for item in hopeless:
            refuse(waiting.pop(item.ident), queue.service_time_s)
        if following is not None:
            begin(waiting.pop(following.ident))

    def refuse(req, retry_after):
        totals.refused += 1
        if req.attempt < CALLER_ATTEMPTS:
            again = Request(req.ident, req.order, clock.now + retry_after)
            again.attempt = req.attempt + 1
            clock.at(again.started, submit, again)

    def submit(req):
        if state['free'] > 0:
            begin(req)
            return
        priority = admission.Priority.NORMAL
        if req.order:
            priority = admission.Priority.ORDER
        ident = (req.ident, req.attempt)
        offer = queue.offer(
            ident, priority, req.deadline, SERVERS * SLOTS, clock.now
        )
        for evicted in offer.evicted:
            refuse(waiting.pop(evicted), queue.service_time_s)
        if offer.accepted:
            waiting[ident] = req
        else:
            refuse(req, offer.retry_after_s)

    return submit


def _naive_start(clock, totals, rng):
    queues = [[] for _ in range(SERVERS)]
    free = [SLOTS] * SERVERS

    def submit(req):
        server = rng.randrange(SERVERS)
        totals.attempts += 1
        clock.at(req.deadline, give_up, req)
        if free[server]:
            begin(server, req)
        else:
            queues[server].append(req)

    def begin(server, req):
        free[server] -= 1
        clock.at(clock.now + rng.expovariate(1 / SERVICE_S), end, server, req)

    def end(server, req):
        free[server] += 1
        _finish(clock, totals, req)
        if queues[server]:
            begin(server, queues[server].pop(0))

    def give_up(req):
        if req.done or req.attempt >= CALLER_ATTEMPTS:
            return
        totals.refused += 1
        again = Request(req.ident, req.order, clock.now, req.attempt + 1)
        submit(again)

    return submit


def brownout(failure, seed, ruled):
    """Let a share of attempts fail and count the attempts made.

    Args:
        failure: share of attempts that fail, 0 to 1.
        seed: seed of the failures.
        ruled: whether the product's retry rule is used, else up to three
            attempts are always made.

    Returns:
        ``(attempts for each request, share of requests that succeeded)``.
    """
    rng, budget = random.Random(seed), retry.RetryBudget()
    requests, attempts, good, now = 20000, 0, 0, 0.0
    for _ in range(requests):
        now += 0.01
        budget.earn()
        number = 0
        while True:
            number += 1
            attempts += 1
            if rng.random() >= failure:
                good += 1
                break
            attempt = retry.Attempt(
                number, True, False, 1, now + DEADLINE_S, SERVICE_S
            )
            if ruled:
                if retry.decide(attempt, budget, now, rng) is None:
                    break
            elif number >= CALLER_ATTEMPTS:
                break
    return attempts / requests, good / requests


class PoisonResult(typing.NamedTuple):
    """Figures of one crashing request.

    Attributes:
        crashes: servers that it took down.
        innocent_lost: share of the other requests that got no answer.
        least_up: fewest servers up at any time.
    """

    crashes: int
    innocent_lost: float
    least_up: int


def poison(seed, ruled, resends=30, down_s=10.0, spread_s=0.02):
    """Send one crashing request again and again among others.

    Args:
        seed: seed of the arrivals.
        ruled: whether the product's blame rule is used.
        resends: copies that the caller sends, each to another instance.
        down_s: seconds until a crashed server is back.
        spread_s: seconds until another instance has a crash notice.

    Returns:
        A :class:`PoisonResult`.
    """
    clock, rng = Clock(), random.Random(seed)
    bad = b'poison'
    blames = [crash_suspects.CrashSuspects() for _ in range(INSTANCES)]
    running = [[] for _ in range(SERVERS)]
    up = [True] * SERVERS
    totals = {'crashes': 0, 'lost': 0, 'innocent': 0, 'least': SERVERS}

    def spread(origin, notice):
        for index, other in enumerate(blames):
            if index != origin:
                clock.at(clock.now + spread_s, merge, other, notice, clock.now)

    def merge(other, notice, sent):
        age = notice['age_s'] + clock.now - sent
        other.merge({**notice, 'age_s': age}, clock.now)

    def choose(instance, alone):
        free = [
            index
            for index in range(SERVERS)
            if up[index] and len(running[index]) < SLOTS
        ]
        if alone:
            free = [i for i in free if blames[instance].has_no_suspect(str(i))]
        return rng.choice(free) if free else None

    def send(fingerprint, instance, tried, since=None):
        since = clock.now if since is None else since
        verdict = crash_suspects.Verdict.CLEAR
        if ruled:
            verdict = blames[instance].verdict(fingerprint, clock.now)
        if verdict is crash_suspects.Verdict.QUARANTINED:
            totals['lost'] += fingerprint != bad
            return
        alone = verdict is crash_suspects.Verdict.ISOLATE
        server = choose(instance, alone)
        if server is None:
            # Waits for a server, as in the admission queue.
            if clock.now - since > DEADLINE_S / 2:
                totals['lost'] += fingerprint != bad
            else:
                again = clock.now + POLL_S
                clock.at(again, send, fingerprint, instance, tried, since)
            return
        item = (fingerprint, instance, clock.now, tried, alone)
        running[server].append(item)
        if alone:
            blames[instance].suspect_sent(str(server))
        delay = SERVICE_S / 5 if fingerprint == bad else SERVICE_S
        clock.at(clock.now + rng.expovariate(1 / delay), end, server, item)

    def end(server, item):
        if item not in running[server]:
            return
        if item[0] == bad:
            crash(server)
            return
        running[server].remove(item)
        _ended(server, item)
        if ruled:
            notice = blames[item[1]].record_success(
                item[0], item[2], clock.now
            )
            if notice is not None:
                spread(item[1], notice)

    def _ended(server, item):
        if item[4]:
            blames[item[1]].suspect_ended(str(server))

    def crash(server):
        victims, running[server] = running[server], []
        up[server] = False
        totals['crashes'] += 1
        totals['least'] = min(totals['least'], sum(up))
        clock.at(clock.now + down_s, restart, server)
        by_instance = {}
        for item in victims:
            _ended(server, item)
            by_instance.setdefault(item[1], []).append(item)
        for instance, items in by_instance.items():
            if ruled:
                notices = blames[instance].record_crash(
                    str(server), [item[0] for item in items], clock.now
                )
                for notice in notices:
                    spread(instance, notice)
            for item in items:
                if item[3] < CALLER_ATTEMPTS - 1:
                    send(item[0], instance, item[3] + 1)
                else:
                    totals['lost'] += item[0] != bad

    def restart(server):
        up[server] = True

    when = 0.0
    rate = 0.6 * SERVERS * SLOTS / SERVICE_S
    while when < RUN_S:
        when += rng.expovariate(rate)
        totals['innocent'] += 1
        # Popular requests have equal fingerprints and are often in flight.
        name = b'popular' if rng.random() < 0.3 else b'%d' % int(when * 1e6)
        clock.at(when, send, name, rng.randrange(INSTANCES), 0)
    for index in range(resends):
        clock.at(1 + index * 0.3, send, bad, index % INSTANCES, 0)
    clock.run(RUN_S + 5)
    return PoisonResult(
        totals['crashes'],
        totals['lost'] / totals['innocent'],
        totals['least'],
    )


def main(argv):
    """Print all figures."""
    seed = int(argv[0]) if argv else 1
    print('command: python bench/overload.py %d' % seed)
    print(
        '%-8s %-6s %10s %8s %10s'
        % ('rules', 'load', 'goodput', 'orders', 'attempts')
    )
    for ruled in (False, True):
        base = overload(1.0, seed, ruled)
        for load in (0.7, 1.0, 2.0, 4.0):
            result = overload(load, seed, ruled)
            print(
                '%-8s %-6.1f %6.0f/s %3.0f%% %7.1f%% %10.2f'
                % (
                    'product' if ruled else 'naive',
                    load,
                    result.goodput,
                    100 * result.goodput / base.goodput,
                    100 * result.orders,
                    result.attempts,
                )
            )
    for ruled in (False, True):
        for failure in (0.05, 0.3, 1.0):
            attempts, good = brownout(failure, seed, ruled)
            print(
                'brown-out %-8s failing %3.0f%%: load x%.3f, succeeded %.1f%%'
                % (
                    'product' if ruled else 'naive',
                    100 * failure,
                    attempts,
                    100 * good,
                )
            )
    for ruled in (False, True):
        result = poison(seed, ruled)
        print(
            'crashing request, %-8s: servers lost %d of %d (least up %d), '
            'others without answer %.3f%%'
            % (
                'product' if ruled else 'naive',
                result.crashes,
                SERVERS,
                result.least_up,
                100 * result.innocent_lost,
            )
        )


if __name__ == '__main__':
    main(sys.argv[1:])
