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

from jasminehold.decisions import route_table
from jasminehold.decisions import upstream_view
from jasminehold.front import cfg as front_cfg
from jasminehold.front import steering as steering_module
from jasminehold.platform import wire
from jasminehold import settings

# Callers come back within this part of the time that they have left.
RETURN_PART = 1 / 3
SERIES_S = 2.0


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


class Pool(typing.NamedTuple):
    """The upstreams of a service.

    Attributes:
        places: ``{place: number}``.
        slots: requests worked on at once by each.
        queue: requests that wait; more are rejected.
        keeps: objects that each remembers.
        gain: part of the work saved on a remembered object.
    """

    places: dict
    slots: int = 3
    queue: int = 9
    keeps: int = 35
    gain: float = 0.7


class Deployment(typing.NamedTuple):
    """What is modelled.

    Attributes:
        places: ``{place: region}``.
        instances: ``{place: number}``.
        pools: ``{service: Pool}``.
        kinds: list of :class:`Kind`.
        retry_burst: repeats of the fleet on top of a fifth of the requests.
    """

    places: dict
    instances: dict
    pools: dict
    kinds: tuple
    retry_burst: int = 58


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


class _Upstream:
    def __init__(self, name, pool):
        self.name = name
        self.pool = pool
        self.running = 0
        self.waiting = collections.deque()
        self.memory = collections.OrderedDict()
        self.shed = 0.0
        self.slow = 1.0


class _Request:
    def __init__(self, kind, region, place, key, now):
        self.kind = kind
        self.region = region
        self.place = place
        self.key = key
        self.born = now
        self.ends = now + kind.deadline_s
        self.retried = False


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
        self.done = False


class Model:
    """One run.

    Args:
        deployment: the :class:`Deployment`.
        seed: seed of everything random.
        changes: sequence of :class:`Change`.
    """

    def __init__(self, deployment, seed, changes=()):
        self.dep = deployment
        self.rng = random.Random(seed)
        self.now = 0.0
        self.repeats = collections.deque()
        self.requests = collections.deque()
        self.budget_used = 0.0
        self._heap = []
        self._order = itertools.count()
        self._routes = {kind.name: _route(kind) for kind in deployment.kinds}
        self.upstreams = {}
        for service, pool in deployment.pools.items():
            for place, count in pool.places.items():
                for index in range(count):
                    name = '%s-%s-%d' % (service, place, index)
                    self.upstreams[name] = _Upstream(name, pool)
        self.instances = self._start_instances()
        self.ended = []
        self.known = self.runs = 0
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
            1, list(self._routes.values()), [], route_table.CallerLimits()
        )
        found = {}
        for place, name in names:
            cfg = _cfg(self.dep, name, place)
            rng = random.Random(self.rng.random())
            item = steering_module.Steering(cfg, rng, _silent)
            item.on_config(table)
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
        self._attempt(_Request(kind, region, place, key, self.now), False)

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
        )
        if isinstance(found, steering_module.Refusal):
            self._reject(attempt, found.retry_after_s)
            return
        attempt.choice = found
        attempt.sent_at = self.now
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
        upstream, kind = attempt.upstream, attempt.request.kind
        upstream.running += 1
        key = attempt.request.key
        work = kind.work_s * upstream.slow * self.rng.lognormvariate(0, 0.15)
        self.runs += 1
        if key in upstream.memory:
            self.known += 1
            work *= 1.0 - upstream.pool.gain
        attempt.running = True
        self.at(self.now + work, self._finish, attempt)

    def _finish(self, attempt):
        if attempt.done:
            return
        self._leave(attempt)
        upstream = attempt.upstream
        upstream.memory[attempt.request.key] = True
        upstream.memory.move_to_end(attempt.request.key)
        if len(upstream.memory) > upstream.pool.keeps:
            upstream.memory.popitem(last=False)
        load = attempt.choice.load
        report = self._report(upstream)
        attempt.instance.on_report(attempt.choice, report, self.now)
        load.on_end()
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

    @staticmethod
    def _report(upstream):
        return wire.LoadReport(
            upstream.running, len(upstream.waiting), upstream.pool.slots
        )

    def _leave(self, attempt):
        attempt.done = True
        upstream = attempt.upstream
        if not attempt.running:
            if attempt in upstream.waiting:
                upstream.waiting.remove(attempt)
            return
        upstream.running -= 1
        while upstream.waiting and upstream.running < upstream.pool.slots:
            self._start(upstream.waiting.popleft())

    def _shed(self, attempt):
        upstream, now = attempt.upstream, self.now
        load = attempt.choice.load
        report = self._report(upstream)
        attempt.instance.on_report(attempt.choice, report, now)
        load.on_end()
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
        if request.retried or retry_after_s > left * RETURN_PART:
            self._end(request, 'rejected')
            return
        request.retried = True
        self.at(self.now + retry_after_s, self._attempt, request, True)

    def _time_out(self, attempt):
        if attempt.done:
            return
        self._leave(attempt)
        attempt.choice.load.on_end()
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
        for request, how, seconds in self.ended:
            kind = request.kind
            credit = 0.0
            if how == 'served':
                latencies.append(seconds)
                in_time = seconds <= kind.aim_s
                credit = kind.worth * (1.0 if in_time else 0.2)
                counts['late'] += not in_time
            counts[how] += 1
            owed[request.region] += kind.worth
            earned[request.region] += credit
            span = spans[int(request.born // SERIES_S)]
            span[0] += credit
            span[1] += kind.worth
        total = max(len(self.ended), 1)
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
        )


def run(deployment, seed, seconds, changes=()):
    """Run a model and return its :class:`Result`."""
    return Model(deployment, seed, changes).run(seconds)


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
        cold_over=1.5,
        cold_slack=5.0,
    )
    return front_cfg.Cfg(**values)
