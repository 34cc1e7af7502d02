"""Model of a deployment in one process: callers, instances, upstreams.

Instances are :class:`~jasminehold.front.steering.Steering` objects, each with
its own late and partial view; the model drives them without sockets. Upstreams
have slots, a queue and a memory of objects that they handled lately. Callers
have zones, objects, deadlines and one retry after a rejection.

Example:
    >>> result = run(deployments.SHOP, seed=1, seconds=20.0)  # doctest: +SKIP
    >>> result.credit  # doctest: +SKIP
    0.61
"""

import collections
import heapq
import itertools
import math
import random
import typing

from jasminehold.decisions import hashing
from jasminehold.decisions import route_table
from jasminehold.decisions import upstream_view
from jasminehold.decisions import urgency
from jasminehold.front import cfg as front_cfg
from jasminehold.front import steering as steering_module
from jasminehold.platform import wire
from jasminehold import settings

# Callers come back within this part of the time that they have left.
RETURN_PART = 1 / 3
SERIES_S = 2.0
# Seconds from the start after which slots are expected to be busy.
BUSY_FROM_S = 4.0
# Seconds after which callers come back that do not wait.
AT_ONCE_S = 0.02
# Cost of learning an object relative to its time, for the oracle.
ORACLE_LEARNING_WEIGHT = 0.25


class Kind(typing.NamedTuple):
    """One kind of request.

    Attributes:
        name: route's name.
        service: where it goes.
        per_s: requests a second from each place.
        work_s: mean work at an upstream that does not know the object.
        aim_s: time for full credit.
        timeout_s: route's time-out.
        deadline_s: caller's deadline.
        worth: credit in time; a fifth of it later.
        objects: objects of each region.
        idempotent: whether it may run again.
        priority: rank, 0 is the highest.
        account: name of the callers' account, '' for none.
        at_once: repeats that a rejected caller sends at once, without regard
            to the time after which it should come back.
    """

    name: str
    service: str
    per_s: float
    work_s: float
    aim_s: float
    timeout_s: float
    deadline_s: float
    worth: float = 1.0
    objects: int = 24
    idempotent: bool = True
    priority: int = 2
    account: str = ''
    at_once: int = 0


class Pool(typing.NamedTuple):
    """The upstreams of a service.

    Attributes:
        places: ``{place: number}``.
        slots: requests worked on at once by each.
        queue: requests that wait; more are rejected.
        keeps: objects that each remembers.
        gain: part of the work saved on a remembered object.
        tail: part of the requests that take ``tail_x`` times as long.
        tail_x: factor on the work of these.
        busy: part of the time in which other work slows a machine down.
        busy_x: factor on the work meanwhile.
        busy_s: seconds for which it does at a time.
        tells: whether reports state the slowdown.
        speed: spread of the upstreams' own speeds, a standard deviation of
            the logarithm.
        liars: upstreams that report no load and a fast machine.
    """

    places: dict
    slots: int = 3
    queue: int = 9
    keeps: int = 35
    gain: float = 0.7
    tail: float = 0.0
    tail_x: float = 1.0
    busy: float = 0.0
    busy_x: float = 1.0
    busy_s: float = 0.6
    tells: bool = False
    speed: float = 0.0
    liars: int = 0


class Deployment(typing.NamedTuple):
    """What is modelled.

    Attributes:
        places: ``{place: region}``.
        instances: ``{place: number}``.
        pools: ``{service: Pool}``.
        kinds: list of :class:`Kind`.
        retry_burst: repeats of the fleet on top of a fifth of the requests.
        urgent_first: whether less urgent requests give way.
    """

    places: dict
    instances: dict
    pools: dict
    kinds: tuple
    retry_burst: int = 58
    urgent_first: bool = False


class Change(typing.NamedTuple):
    """A change of the upstreams at a time.

    Attributes:
        at: seconds from the start.
        until: seconds from the start.
        shed: part of the requests rejected although slots are free.
        slow: factor on the work.
        part: part of the upstreams that change.
    """

    at: float
    until: float
    shed: float = 0.0
    slow: float = 1.0
    part: float = 1.0


class Result(typing.NamedTuple):
    """Figures of one run; shares from 0 to 1.

    Attributes:
        credit: credit earned of that owed.
        worst_region: the same of the worst-served region.
        served: requests answered.
        late: requests answered after their aim.
        rejected: requests that ended rejected.
        repeats: largest ratio of repeats to the budget in any window.
        known: runs at an upstream that knew the object.
        series: credit by spans of two seconds.
        latencies: seconds to each answer.
        in_time: share answered within the aim by kind, ``{name: share}``.
        served_by_kind: share answered by kind, ``{name: share}``.
        busy: share of the slots that worked, from ``BUSY_FROM_S`` on.
        failed: requests that ended at their time-out.
        lost: part of the slots' time that ran for requests without an answer.
        busiest: requests at the busiest upstream over the mean.
        liar: the same of the busiest upstream that reports falsely, or 0.
    """

    credit: float
    worst_region: float
    served: float
    late: float
    rejected: float
    repeats: float
    known: float
    series: tuple
    latencies: tuple
    in_time: dict
    served_by_kind: dict
    busy: float
    failed: float = 0.0
    lost: float = 0.0
    busiest: float = 0.0
    liar: float = 0.0


class _Upstream:
    def __init__(self, name, pool):
        self.name = name
        self.pool = pool
        self.running = 0
        self.waiting = collections.deque()
        self.memory = collections.OrderedDict()
        self.shed = 0.0
        self.slow = 1.0
        self.speed = 1.0
        self.lies = False
        self.runs = 0
        self.phase_s = 0.0
        self.at_work = set()

    def slowdown(self, now):
        """Return the factor of the machine at a time."""
        pool = self.pool
        if not pool.busy:
            return 1.0
        span = int((now + self.phase_s) / pool.busy_s)
        part = hashing.point('busy', self.name, str(span))
        return pool.busy_x if part < pool.busy else 1.0

    def ends_at(self, work_s, now):
        """Return when a work that begins now ends."""
        pool = self.pool
        if not pool.busy:
            return now + work_s
        while True:
            span = int((now + self.phase_s) / pool.busy_s)
            until = (span + 1) * pool.busy_s - self.phase_s + 1e-9
            factor = self.slowdown(now)
            if work_s * factor <= until - now:
                return now + work_s * factor
            work_s -= (until - now) / factor
            now = until


class _Request:
    def __init__(self, kind, region, place, key, number, now):
        self.kind = kind
        self.number = number
        self.region = region
        self.place = place
        self.key = key
        self.born = now
        self.ends = now + kind.deadline_s
        self.retried = False
        self.at_once = kind.at_once


class _Attempt:
    """One attempt of a caller at one instance."""

    def __init__(self, request, instance, now):
        self.request = request
        self.instance = instance
        self.deadline = min(now + request.kind.timeout_s, request.ends)
        self.returned = False
        self.tried = set()
        self.servers = set()
        self.choice = None
        self.sent_at = None
        self.upstream = None
        self.running = False
        self.began = None
        self.work_s = None
        self.ends_s = 0.0
        self.done = False


class Model:
    """One run.

    Args:
        deployment: the :class:`Deployment`.
        seed: seed of everything random.
        changes: sequence of :class:`Change`.
        oracle: whether requests go where they would end first, by the true
            state of all upstreams and the true work.
    """

    def __init__(self, deployment, seed, changes=(), oracle=False):
        self.oracle = oracle
        self.dep = deployment
        self.rng = random.Random(seed)
        self.now = 0.0
        self.repeats = collections.deque()
        self.requests = collections.deque()
        self.budget_used = 0.0
        self._heap = []
        self._order = itertools.count()
        self._numbers = itertools.count()
        self._routes = {kind.name: _route(kind) for kind in deployment.kinds}
        self.upstreams = {}
        for service, pool in deployment.pools.items():
            for place, count in pool.places.items():
                for index in range(count):
                    name = '%s-%s-%d' % (service, place, index)
                    item = self.upstreams[name] = _Upstream(name, pool)
                    if pool.speed:
                        item.speed = self.rng.lognormvariate(0, pool.speed)
                    if pool.busy:
                        item.phase_s = self.rng.random() * pool.busy_s
                    item.lies = index < pool.liars
        self.instances = self._start_instances()
        self.ended = []
        self.known = self.runs = 0
        self.busy_s = 0.0
        self._until = math.inf
        self.run_s = self.lost_s = 0.0
        for change in changes:
            self.at(change.at, self._change, change, change.shed, change.slow)
            self.at(change.until, self._change, change, 0.0, 1.0)

    def _start_instances(self):
        names = [
            (place, '%s-%d' % (place, index))
            for place, count in self.dep.instances.items()
            for index in range(count)
        ]
        entries = [
            upstream_view.Entry(
                name,
                service,
                '192.0.2.1',
                80,
                place,
                pool.slots,
                upstream_view.READY,
                0.0,
                1,
                0,
            )
            for service, pool in self.dep.pools.items()
            for place, count in pool.places.items()
            for name in [
                '%s-%s-%d' % (service, place, index) for index in range(count)
            ]
        ]
        table = route_table.RouteTable(
            1,
            list(self._routes.values()),
            [],
            route_table.CallerLimits(),
        )
        found = {}
        for place, name in names:
            cfg = _cfg(self.dep, name, place)
            rng = random.Random(self.rng.random())
            item = steering_module.Steering(cfg, rng, _silent)
            item.on_config(table)
            item.wall = lambda: self.now
            # The fleet has run for a while when its callers come.
            regions = {
                other: self.dep.places[other_place]
                for other_place, other in names
            }
            item.on_members(regions, -cfg.retry_window)
            item.on_entries(entries, 0.0)
            found.setdefault(self.dep.places[place], []).append(item)
        return found

    def at(self, when, func, *args):
        """Call a function at a time."""
        heapq.heappush(self._heap, (when, next(self._order), func, args))

    def run(self, seconds):
        """Run and return the :class:`Result`."""
        for place, region in self.dep.places.items():
            for kind in self.dep.kinds:
                self.at(self._gap(kind), self._arrive, kind, region, place)
        self._until = seconds
        while self._heap:
            self.now, _, func, args = heapq.heappop(self._heap)
            if self.now > seconds + max(k.deadline_s for k in self.dep.kinds):
                break
            func(*args)
        return self._result()

    def _gap(self, kind):
        return self.now + self.rng.expovariate(kind.per_s)

    def _arrive(self, kind, region, place):
        if self.now >= self._until:
            return
        self.at(self._gap(kind), self._arrive, kind, region, place)
        number = self.rng.randrange(kind.objects)
        key = '%s/%s-%d' % (kind.name, region, number)
        request = _Request(
            kind, region, place, key, next(self._numbers), self.now
        )
        self._attempt(request, False)

    def _attempt(self, request, returned):
        instance = self.rng.choice(self.instances[request.region])
        attempt = _Attempt(request, instance, self.now)
        attempt.returned = returned
        route = self._routes[request.kind.name]
        instance.service(route, self.now)
        self.requests.append(self.now)
        self.at(attempt.deadline, self._time_out, attempt)
        self._send(attempt)

    def _send(self, attempt):
        kind = attempt.request.kind
        route = self._routes[kind.name]
        only = attempt.servers if len(attempt.servers) >= 2 else None
        found = attempt.instance.pick(
            route,
            kind.service,
            attempt.request.key,
            '',
            attempt.tried,
            only,
            attempt.deadline - self.now,
            self.now,
            None if attempt.tried else _caller(attempt.request, self.now),
        )
        if isinstance(found, steering_module.Refusal):
            self._reject(attempt, found.retry_after_s)
            return
        attempt.choice = found
        attempt.sent_at = self.now
        if self.oracle:
            found = self._by_oracle(attempt, found)
            attempt.choice = found
        name = found.upstream.entry.id
        attempt.tried.add(name)
        attempt.servers.add(name)
        attempt.instance.on_sent(found, self.now)
        upstream = attempt.upstream = self.upstreams[name]
        pool = upstream.pool
        if self.rng.random() < upstream.shed:
            self._shed(attempt)
        elif upstream.running < pool.slots:
            self._start(attempt)
        elif len(upstream.waiting) < pool.queue:
            upstream.waiting.append(attempt)
        else:
            self._shed(attempt)

    def _start(self, attempt):
        upstream = attempt.upstream
        upstream.running += 1
        upstream.runs += 1
        self.runs += 1
        self.known += attempt.request.key in upstream.memory
        attempt.running = True
        attempt.began = self.now
        attempt.ends_s = upstream.ends_at(
            self._work_s(attempt, upstream), self.now
        )
        upstream.at_work.add(attempt)
        self.at(attempt.ends_s, self._finish, attempt)

    def _work_s(self, attempt, upstream):
        kind, pool = attempt.request.kind, upstream.pool
        if attempt.work_s is None:
            attempt.work_s = kind.work_s * self.rng.lognormvariate(0, 0.15)
            if pool.tail and self.rng.random() < pool.tail:
                attempt.work_s *= pool.tail_x
        work_s = attempt.work_s * upstream.slow * upstream.speed
        if attempt.request.key in upstream.memory:
            work_s *= 1.0 - pool.gain
        return work_s

    def _by_oracle(self, attempt, found):
        kind = attempt.request.kind
        best = None
        for upstream in self.upstreams.values():
            entry = attempt.instance.view.upstreams[upstream.name]
            if (
                entry.entry.service != kind.service
                or upstream.name in attempt.tried
            ):
                continue
            ends = sorted(item.ends_s for item in upstream.at_work)
            for item in upstream.waiting:
                begin = heapq.heappop(ends)
                work_s = self._work_s(item, upstream)
                heapq.heappush(ends, upstream.ends_at(work_s, begin))
            begin = self.now
            if len(ends) >= upstream.pool.slots:
                begin = ends[0]
            work_s = self._work_s(attempt, upstream)
            cost = upstream.ends_at(work_s, begin) - self.now
            if attempt.request.key not in upstream.memory:
                cost += ORACLE_LEARNING_WEIGHT * work_s
            if best is None or cost < best[0]:
                best = cost, entry
        load = attempt.instance.load_of(best[1].entry, self._routes[kind.name])
        return found._replace(upstream=best[1], load=load)

    def _finish(self, attempt):
        if attempt.done:
            return
        self._leave(attempt)
        upstream = attempt.upstream
        upstream.memory[attempt.request.key] = True
        upstream.memory.move_to_end(attempt.request.key)
        if len(upstream.memory) > upstream.pool.keeps:
            upstream.memory.popitem(last=False)
        report = self._report(upstream)
        attempt.instance.on_report(attempt.choice, report, self.now)
        attempt.instance.on_end(attempt.choice, True, self.now)
        route = self._routes[attempt.request.kind.name]
        attempt.instance.on_completed(
            route,
            attempt.request.kind.service,
            attempt.request.key,
            attempt.choice,
            self.now - attempt.sent_at,
            self.now,
        )
        self._end(attempt.request, 'served')

    def _report(self, upstream):
        pool = upstream.pool
        if upstream.lies:
            return wire.LoadReport(0, 0, pool.slots, 0.1)
        slowdown = upstream.slowdown(self.now) if pool.tells else 1.0
        return wire.LoadReport(
            upstream.running, len(upstream.waiting), pool.slots, slowdown
        )

    def _leave(self, attempt):
        attempt.done = True
        upstream = attempt.upstream
        if not attempt.running:
            if attempt in upstream.waiting:
                upstream.waiting.remove(attempt)
            return
        upstream.running -= 1
        begin = max(attempt.began, BUSY_FROM_S)
        self.busy_s += max(min(self.now, self._until) - begin, 0.0)
        upstream.at_work.discard(attempt)
        self.run_s += self.now - attempt.began
        while upstream.waiting and upstream.running < upstream.pool.slots:
            self._start(upstream.waiting.popleft())

    def _shed(self, attempt):
        upstream, now = attempt.upstream, self.now
        report = self._report(upstream)
        attempt.instance.on_report(attempt.choice, report, now)
        attempt.instance.on_end(attempt.choice, True, now)
        kind = attempt.request.kind
        attempt.instance.on_failed(attempt.choice, 'shed', now)
        if upstream.running < upstream.pool.slots:
            attempt.tried.discard(upstream.name)
        route = self._routes[kind.name]
        if attempt.instance.allow_retry(
            route, kind.service, attempt.returned, now
        ):
            self._count_repeat()
            self._send(attempt)
        else:
            self._reject(attempt, steering_module.MIN_RETRY_AFTER_S)

    def _count_repeat(self):
        self.repeats.append(self.now)
        while self.repeats[0] <= self.now - 10:
            self.repeats.popleft()
        while self.requests and self.requests[0] <= self.now - 10:
            self.requests.popleft()
        allowed = 0.2 * len(self.requests) + self.dep.retry_burst
        used = len(self.repeats) / allowed
        self.budget_used = max(self.budget_used, used)

    def _reject(self, attempt, retry_after_s):
        attempt.done = True
        request = attempt.request
        left = request.ends - self.now
        if request.at_once and left > AT_ONCE_S:
            request.at_once -= 1
            self.at(self.now + AT_ONCE_S, self._attempt, request, True)
            return
        if request.retried or retry_after_s > left * RETURN_PART:
            self._end(request, 'rejected')
            return
        request.retried = True
        self.at(self.now + retry_after_s, self._attempt, request, True)

    def _time_out(self, attempt):
        if attempt.done:
            return
        self._leave(attempt)
        if attempt.running:
            self.lost_s += self.now - attempt.began
        attempt.instance.on_end(attempt.choice, False, self.now)
        self._end(attempt.request, 'failed')

    def _end(self, request, how):
        self.ended.append((request, how, self.now - request.born))

    def _change(self, change, shed, slow):
        names = sorted(self.upstreams)
        for name in names[: math.ceil(change.part * len(names))]:
            self.upstreams[name].shed = shed
            self.upstreams[name].slow = slow

    def _result(self):
        owed, earned = collections.Counter(), collections.Counter()
        counts = collections.Counter()
        spans = collections.defaultdict(lambda: [0.0, 0.0])
        latencies = []
        kinds = collections.defaultdict(collections.Counter)
        for request, how, seconds in self.ended:
            kind = request.kind
            credit = 0.0
            if how == 'served':
                latencies.append(seconds)
                in_time = seconds <= kind.aim_s
                credit = kind.worth * (1.0 if in_time else 0.2)
                counts['late'] += not in_time
                kinds[kind.name]['in time'] += in_time
            counts[how] += 1
            kinds[kind.name][how] += 1
            kinds[kind.name]['all'] += 1
            owed[request.region] += kind.worth
            earned[request.region] += credit
            span = spans[int(request.born // SERIES_S)]
            span[0] += credit
            span[1] += kind.worth
        total = max(len(self.ended), 1)
        slots = sum(item.pool.slots for item in self.upstreams.values())
        slot_s = slots * max(self._until - BUSY_FROM_S, 1e-9)
        pools = collections.defaultdict(list)
        for item in self.upstreams.values():
            pools[id(item.pool)].append(item)
        use = {
            item.name: item.runs
            * len(pool)
            / max(sum(x.runs for x in pool), 1)
            for pool in pools.values()
            for item in pool
        }
        return Result(
            credit=sum(earned.values()) / max(sum(owed.values()), 1e-9),
            worst_region=min(earned[key] / owed[key] for key in owed),
            served=counts['served'] / total,
            late=counts['late'] / total,
            rejected=counts['rejected'] / total,
            repeats=self.budget_used,
            known=self.known / max(self.runs, 1),
            series=tuple(
                round(spans[key][0] / spans[key][1], 3)
                for key in sorted(spans)
            ),
            latencies=tuple(latencies),
            in_time=_shares(kinds, 'in time'),
            served_by_kind=_shares(kinds, 'served'),
            busy=self.busy_s / slot_s,
            failed=counts['failed'] / total,
            lost=self.lost_s / max(self.run_s, 1e-9),
            busiest=max(use.values()),
            liar=max(
                (use[x.name] for x in self.upstreams.values() if x.lies),
                default=0.0,
            ),
        )


def run(deployment, seed, seconds, changes=(), oracle=False):
    """Run a model and return its :class:`Result`."""
    return Model(deployment, seed, changes, oracle).run(seconds)


def _shares(kinds, what):
    return {name: item[what] / item['all'] for name, item in kinds.items()}


def _caller(request, now):
    return urgency.Caller(
        '%d %s' % (request.number, request.key),
        now - request.born,
        request.ends - now,
        request.kind.account,
    )


def _silent(event, level='info', **fields):
    """Drop a log line."""


def _route(kind):
    return route_table.Route(
        kind.name,
        'model',
        '/%s/' % kind.name,
        kind.idempotent,
        ((kind.service, 1),),
        kind.timeout_s,
        kind.aim_s,
        2,
        kind.priority,
        frozenset(),
        True,
    )


def _cfg(deployment, name, place):
    values = {
        key.name: None if key.default is settings.REQUIRED else key.default
        for key in front_cfg.KEYS
    }
    values.update(
        id=name,
        place=place,
        places=deployment.places,
        retry_ratio=0.2,
        retry_burst=deployment.retry_burst,
        urgent_first=deployment.urgent_first,
        cold_over=1.5,
        cold_slack=5.0,
    )
    return front_cfg.Cfg(**values)
