"""Runs the decisions of a fleet step by step, with faults, in one process.

Messages are plain values with delay, loss, repetition and reordering. At
every step the use that is possible over the whole fleet is compared with each
limit from outside. Usage: ``python bench/fleet.py [name] [seed] [steps]``
"""

import collections
import heapq
import itertools
import random
import sys
import time

from bench import deployments
from jasminehold.decisions import contact_quorum
from jasminehold.decisions import limiters
from jasminehold.decisions import loans
from jasminehold.decisions import plan
from jasminehold.decisions import share_holder

STEP_S = 0.1
# A lowered limit is in force once the slowest fence has passed and the faults
# that delay the planner (the longest lasts 60 s) have ended.
LOWER_BOUND_S = 240.0
LIST_LAG_S = 2.0
LEASE_S = 4.0
SILENT_S = 6.0


class OverLimit(AssertionError):
    """Raised when the possible use exceeds a limit."""


class Instance:
    """One instance with its own clock."""

    def __init__(self, name, place, region, rng, rules):
        self.name = name
        self.place = place
        self.region = region
        self.rate = 1 + rng.uniform(-0.01, 0.01)
        self.offset = rng.uniform(0, 1000)
        self.holder = rules.holder(
            name,
            rules.contact(name),
            loans.Loans(name, rules.expiry),
        )
        self.inbox = []
        self.paused_until = 0.0
        self.leaving = False
        self.next_exchange = 0.0
        self.last_heard = {}
        self.reports = {}
        self.spares = {}
        self.demand = collections.Counter()
        self.term = 0
        self.fence = None
        self.departures = None
        self.requests = []

    def clock(self, t):
        """Return the local time."""
        return self.offset + t * self.rate


class Rules:
    """The rules under test; broken variants replace single entries."""

    holder = share_holder.ShareHolder
    contact = contact_quorum.WitnessContact
    expiry = staticmethod(loans.borrower_expiry)


class Fleet:
    """A fleet of instances, the platform's store and the network."""

    def __init__(self, deployment, seed, rules=Rules, count=12, step_s=STEP_S):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.rules = rules
        self.step_s = step_s
        self.faults = True
        self.t = 0.0
        self.sequence = itertools.count()
        self.network = []
        self.instances = {}
        self.ended = {}
        self.places = {}
        self.names = itertools.count()
        self.limits = {
            one.id: one for one in deployments.declared_limits(deployment)
        }
        self.allowed = {
            name: [(0.0, one.usable)] for name, one in self.limits.items()
        }
        self.by_kind = collections.defaultdict(list)
        for one in self.limits.values():
            self.by_kind[one.kind].append(one.id)
        self.stored = {
            region: plan.empty_plan(region) for region in deployment.places
        }
        self.leases = {}
        self.terms = itertools.count(1)
        self.end_loss()
        self.platform_up = True
        self.platform_slow = 0.0
        self.no_platform = set()
        self.cuts = set()
        self.jobs = []
        self.in_flight = collections.Counter()
        self.running = collections.Counter()
        self.admitted = collections.defaultdict(collections.deque)
        self.hot = set()
        self.counts = collections.Counter()
        places = deployments.all_places(deployment)
        for index in range(count):
            self.add(places[index % len(places)])

    # Faults and changes.

    def add(self, place):
        """Start an instance."""
        region = deployments.region_of(self.deployment, place)
        name = 'i%03d' % next(self.names)
        one = Instance(name, place, region, self.rng, self.rules)
        one.holder.set_groups(self.limits.values())
        self.instances[name] = one
        self.places[name] = (place, region)

    def kill(self, name, replace=True):
        """End an instance at once and replace it later."""
        one = self.instances.pop(name, None)
        if one is None:
            return
        self.ended[name] = self.t
        self.counts['killed'] += 1
        if replace:
            self.later(self.rng.uniform(3, 20), lambda: self.add(one.place))

    def later(self, delay, func):
        """Call a function after some seconds."""
        heapq.heappush(self.jobs, (self.t + delay, next(self.sequence), func))

    def set_limit(self, limit_id, **changes):
        """Change a limit as an operator does."""
        self.limits[limit_id] = self.limits[limit_id]._replace(**changes)
        self.allowed[limit_id].append((self.t, self.limits[limit_id].usable))

    def cut(self, pairs, seconds):
        """Separate pairs of instances for some time."""
        self.cuts |= pairs
        self.later(seconds, lambda: self.cuts.difference_update(pairs))

    def _pairs(self, first, second):
        return {
            frozenset((a.name, b.name))
            for a in first
            for b in second
            if a is not b
        }

    def fault(self):
        """Start one random fault or change."""
        rng = self.rng
        live = sorted(self.instances.values(), key=lambda one: one.name)
        if len(live) < 6:
            return
        kind = rng.choice(
            'platform slow cut cut pairs pairs isolate pocket pocket pause '
            'pause lossy lossy '
            'kill kill leave lost limit limit limit witness'.split()
        )
        self.counts[kind] += 1
        one = rng.choice(live)
        seconds = rng.uniform(5, 60)
        if kind == 'platform':
            self.platform_up = False
            self.later(seconds, lambda: setattr(self, 'platform_up', True))
        elif kind == 'slow':
            self.platform_slow = 5.0
            self.later(seconds, lambda: setattr(self, 'platform_slow', 0.0))
        elif kind == 'cut':
            inside = [other for other in live if other.region == one.region]
            outside = [other for other in live if other.region != one.region]
            self.cut(self._pairs(inside, outside), seconds)
            if rng.random() < 0.5:
                names = {other.name for other in inside}
                self.no_platform |= names
                self.later(
                    seconds, lambda: self.no_platform.difference_update(names)
                )
        elif kind == 'pairs':
            some = [other for other in live if rng.random() < 0.4]
            self.cut(self._pairs([one], some), seconds)
        elif kind == 'isolate':
            # All but one witness of some region become unreachable.
            region = rng.choice(sorted(self.stored))
            names = self.stored[region]['witnesses']
            spared = rng.choice(names) if names else ''
            others = [other for other in live if other.name != spared]
            self.cut(self._pairs([one], others), rng.uniform(30, 60))
        elif kind == 'pocket':
            # An instance and one witness, which misses newer plans as well,
            # are separated from all others.
            region = rng.choice(sorted(self.stored))
            inside = {one.name, *self.stored[region]['witnesses'][:1]}
            pocket = [other for other in live if other.name in inside]
            others = [other for other in live if other.name not in inside]
            seconds = rng.uniform(40, 60)
            self.cut(self._pairs(pocket, others), seconds)
            self.no_platform |= inside
            self.later(
                seconds, lambda: self.no_platform.difference_update(inside)
            )
        elif kind == 'lossy':
            self.loss, self.late = 0.2, 0.4
            self.later(seconds, self.end_loss)
        elif kind == 'pause':
            one.paused_until = self.t + rng.uniform(2, 40)
        elif kind == 'kill':
            self.kill(one.name)
        elif kind == 'witness':
            region = rng.choice(sorted(self.stored))
            for name in self.stored[region]['witnesses'][:1]:
                self.kill(name)
        elif kind == 'leave':
            one.leaving = True
        elif kind == 'lost':
            for other in live:
                if other.region == one.region:
                    self.kill(other.name)
        elif kind == 'limit':
            limit = self.limits[rng.choice(sorted(self.limits))]
            first = self.allowed[limit.id][0][1]
            self.set_limit(
                limit.id,
                amount=max(1, int(first * rng.choice((0.5, 1, 1, 1.5)))),
                drained=rng.random() < 0.15,
                legacy_load=rng.choice((0, 0, first // 4)),
            )

    def end_loss(self):
        """Return to the ordinary rates of lost and late messages."""
        self.loss, self.late = 0.02, 0.03

    def heal(self):
        """End all faults."""
        self.faults = False
        self.hot = set()
        self.cuts.clear()
        self.no_platform.clear()
        self.platform_up = True
        self.platform_slow = 0.0
        for one in self.instances.values():
            one.paused_until = 0.0

    # Network and platform.

    def send(self, source, target, kind, body):
        """Send a message, which may be lost, late or repeated."""
        rng = self.rng
        if frozenset((source.name, target)) in self.cuts:
            return
        copies = 1
        if self.faults:
            chance = rng.random()
            copies = 0 if chance < self.loss else 2 if chance > 0.98 else 1
        for _ in range(copies):
            delay = self.deployment.far_s * rng.uniform(0.5, 2)
            if self.faults and rng.random() < self.late:
                delay += rng.uniform(0.5, 6)
            item = (self.t + delay, next(self.sequence), target, kind)
            heapq.heappush(self.network, item + (source.name, body))

    def _deliver(self):
        while self.network and self.network[0][0] <= self.t:
            _, _, target, kind, source, body = heapq.heappop(self.network)
            if target == 'platform':
                self._write(body)
            elif target in self.instances:
                self.instances[target].inbox.append((kind, source, body))

    def _write(self, body):
        if not self.platform_up:
            return
        if self.stored[body['region']]['version'] == body['version'] - 1:
            self.stored[body['region']] = body
            self.counts['plans'] += 1

    def _reaches_platform(self, one):
        return self.platform_up and one.name not in self.no_platform

    # One instance's step.

    def _step(self, one):
        now = one.clock(self.t)
        asks, returns = one.holder.step(now)
        for lender, ask in asks:
            self.send(one, lender, 'loan_ask', ask)
        for lender, loan_id in returns:
            self.send(one, lender, 'loan_return', loan_id)
        inbox, one.inbox = one.inbox, []
        for kind, source, body in inbox:
            one.last_heard[source] = now
            getattr(self, '_on_' + kind)(one, source, body, now)
        self._finish(one)
        if now >= one.next_exchange:
            one.next_exchange = now + 1.0
            for name in self.instances:
                if name != one.name:
                    body = (now, self._report(one, now))
                    self.send(one, name, 'exchange', body)
            if self._reaches_platform(one):
                self._platform(one, now)
        if one.leaving:
            if one.holder.may_leave(now) and not one.requests:
                for name in self.instances:
                    self.send(one, name, 'leave', None)
                self.kill(one.name)
            return
        self._work(one, now)

    def _report(self, one, now):
        spare = {}
        for limit_id, gate in one.holder.limiters.items():
            if gate.share and gate.free(now):
                amount = one.holder.spare(limit_id, now)
                if amount:
                    spare[limit_id] = amount
        return {
            'versions': one.holder.versions(),
            'acked': one.holder.acked(now),
            'spare': spare,
            'demand': dict(one.demand),
            'leaving': one.leaving,
        }

    def _on_exchange(self, one, source, body, now):
        sent_at, report = body
        one.reports[source] = report
        one.spares[source] = (now, report['spare'])
        news = [
            item
            for region, item in one.holder.plans.items()
            if report['versions'].get(region, 0) < item['version']
        ]
        ages = []
        for region, item in one.holder.plans.items():
            for witness in item['witnesses']:
                age = one.holder.contact.age(witness, region, now)
                if (
                    witness != one.name
                    and age < contact_quorum.CONTACT_TIMEOUT_S
                ):
                    newest = one.holder.contact.newest(region)
                    ages.append((witness, {region: newest}, age))
        reply = (sent_at, one.holder.versions(), news, ages)
        self.send(one, source, 'exchange_reply', reply)

    def _on_exchange_reply(self, one, source, body, now):
        sent_at, versions, news, ages = body
        for item in news:
            one.holder.apply(item, now)
        one.holder.contact.record(source, sent_at, versions)
        for witness, newest, age in ages:
            one.holder.contact.record(witness, sent_at, newest, age)

    def _on_leave(self, one, source, body, now):
        if one.departures:
            one.departures.on_leave(source)

    def _on_loan_ask(self, one, source, body, now):
        self.send(one, source, 'loan_grant', one.holder.lend(body, now))

    def _on_loan_grant(self, one, source, body, now):
        back = one.holder.loans.receive(body, now)
        self.counts['loans'] += bool(body['amount'])
        if back:
            self.send(one, source, 'loan_return', back)

    def _on_loan_return(self, one, source, body, now):
        one.holder.take_back(body)

    def _platform(self, one, now):
        region = one.region
        owner, until = self.leases.get(region, ('', 0.0))
        if owner == one.name or until <= self.t:
            if owner != one.name:
                one.term = next(self.terms)
                one.fence = contact_quorum.Fence()
                one.departures = contact_quorum.GoneInstances()
            self.leases[region] = (one.name, self.t + LEASE_S)
        elif one.fence and owner != one.name:
            one.fence = None
        if one.fence is None:
            return
        for item in self.stored.values():
            one.holder.apply(item, now)
        self._plan(one, region, now)

    def _plan(self, one, region, now):
        stored = self.stored[region]
        listed = set(self.instances)
        for name, at in self.ended.items():
            if self.t - at <= LIST_LAG_S:
                listed.add(name)
        reports = dict(one.reports)
        reports[one.name] = self._report(one, now)
        one.last_heard[one.name] = now
        mentioned = set(reports) | set(stored['witnesses'])
        for parts in stored['held'].values():
            mentioned.update(parts)
        one.departures.on_platform_list(listed, mentioned, one.last_heard, now)
        known, acked, demand = {}, {}, collections.defaultdict(dict)
        members = []
        for name, report in reports.items():
            known[name] = report['versions'].get(region, 0)
            acked[name] = report['acked'].get(region, (0, {}))
            heard = one.last_heard.get(name, -1.0)
            if now - heard > SILENT_S or report['leaving']:
                continue
            if name in one.departures.gone:
                continue
            members.append(plan.Member(name, *self.places[name]))
            for key, amount in report['demand'].items():
                demand[key][name] = amount
        one.fence.observe(stored, known, one.departures.gone, now)
        inputs = plan.Inputs(
            [item for item in self.limits.values() if item.region == region],
            sorted(members),
            demand,
            acked,
            one.departures.gone,
            lambda limit_id: one.fence.floor(limit_id, now),
            one.term,
        )
        built = plan.next_plan(stored, inputs)
        if built is not stored:
            delay = 0.005 + self.rng.uniform(0, self.platform_slow)
            item = (self.t + delay, next(self.sequence), 'platform', 'put')
            heapq.heappush(self.network, item + (one.name, built))

    # Callers' requests.

    def _work(self, one, now):
        rng = self.rng
        load = 3.0 if one.name in self.hot else 0.6
        for kind, each in (('slots', 3), ('conns', 2), ('rate', 2)):
            for _ in range(int(rng.expovariate(1 / (each * load)))):
                limit_id = rng.choice(self.by_kind[kind])
                self._request(one, limit_id, now)
        for kind in ('link', 'move'):
            if rng.random() < load / 3:
                self._request(one, rng.choice(self.by_kind[kind]), now)

    def _request(self, one, limit_id, now):
        rng = self.rng
        key = self.limits[limit_id].group or limit_id
        one.demand[key] += 1
        if one.demand[key] > 2000:
            for name in one.demand:
                one.demand[name] //= 2
        seconds = 30.0 if rng.random() < 0.05 else rng.uniform(0.5, 6)
        ticket = one.holder.start(limit_id, now + seconds, now)
        if ticket is None:
            self.counts['refused'] += 1
            self._borrow(one, limit_id, now)
            return
        self.counts['admitted'] += 1
        if limiters.is_rate(limit_id):
            self.admitted[limit_id].append(self.t)
            return
        part = rng.choice((0.05, 0.3, 1.0))
        end = self.t + part * seconds / one.rate
        self.in_flight[limit_id] += 1
        one.requests.append((end, limit_id, ticket))

    def _borrow(self, one, limit_id, now):
        if one.holder.loans.waiting_for(limit_id):
            return
        found = loans.choose_lender(one.spares, limit_id, now, self.rng)
        if found:
            amount = loans.loan_amount(2, found[1])
            ask = one.holder.loans.request_loan(
                limit_id, amount, found[0], now
            )
            self.send(one, found[0], 'loan_ask', ask)

    def _finish(self, one):
        kept = []
        for item in one.requests:
            if item[0] <= self.t:
                one.holder.finish(item[2])
            else:
                kept.append(item)
        one.requests = kept

    def _end_requests(self):
        # What upstreams run ends on time even while the instance is paused.
        self.in_flight.clear()
        self.running.clear()
        for one in self.instances.values():
            for end, limit_id, ticket in one.requests:
                if end > self.t:
                    self.in_flight[limit_id] += 1
                    self.running[id(ticket.limiter)] += 1

    # The whole truth.

    def allowance(self, limit_id):
        """Return the largest amount allowed now, lowering time included."""
        history = self.allowed[limit_id]
        while len(history) > 1 and history[1][0] <= self.t - LOWER_BOUND_S:
            history.pop(0)
        return max(amount for _, amount in history)

    def check(self):
        """Raise OverLimit when any limit may be exceeded now."""
        totals = collections.Counter()
        self._end_requests()

        def used(limit_id, gate, now):
            if limiters.is_rate(limit_id):
                return gate.used(now)
            return self.running[id(gate)]

        for one in self.instances.values():
            now = one.clock(self.t)
            usable = {
                region: one.holder.contact.may_use(item, now)
                for region, item in one.holder.plans.items()
            }
            regions = one.holder.regions
            for limit_id, gate in one.holder.limiters.items():
                use = used(limit_id, gate, now)
                if usable[regions[limit_id]]:
                    use = max(use, gate.share - gate.lent)
                if use:
                    totals[limit_id] += use
            for loan in one.holder.loans.borrowed.values():
                use = used(loan.limit, loan.limiter, now)
                if usable.get(regions.get(loan.limit)) and loan.expires > now:
                    use = max(use, loan.limiter.share)
                totals[loan.limit] += use
        for limit_id, use in totals.items():
            if use > self.allowance(limit_id):
                raise OverLimit(
                    '%s: %d possible of %d at %.1f s'
                    % (limit_id, use, self.allowance(limit_id), self.t)
                )
        for limit_id, use in self.in_flight.items():
            if use > self.allowance(limit_id):
                raise OverLimit('%s: %d in flight' % (limit_id, use))
        for limit_id, times in self.admitted.items():
            while times and times[0] <= self.t - 1.0:
                times.popleft()
            if len(times) > self.allowance(limit_id):
                raise OverLimit('%s: %d admitted' % (limit_id, len(times)))

    def run(self, steps):
        """Run steps, checking the invariant at each one."""
        for _ in range(steps):
            self.t += self.step_s
            while self.jobs and self.jobs[0][0] <= self.t:
                heapq.heappop(self.jobs)[2]()
            if self.faults and self.rng.random() < self.step_s / 12:
                self.fault()
            if self.faults and self.rng.random() < self.step_s / 40:
                names = sorted(self.instances)
                self.hot = set(self.rng.sample(names, min(3, len(names))))
            self._deliver()
            for one in list(self.instances.values()):
                if one.paused_until <= self.t:
                    self._step(one)
            self.check()
        return self

    def shared_part(self):
        """Return the lowest part of any limit that is usable by someone."""
        lowest = 1.0
        for limit_id, limit in self.limits.items():
            if not limit.usable:
                continue
            total = 0
            for one in self.instances.values():
                gate = one.holder.limiters.get(limit_id)
                if gate and one.holder.usable(limit_id, one.clock(self.t)):
                    total += gate.share
            lowest = min(lowest, total / limit.usable)
        return lowest


def main(argv):
    """Run one fleet with faults, heal it and print what is shared."""
    name = argv[1] if len(argv) > 1 else 'ferromodelos'
    seed = int(argv[2]) if len(argv) > 2 else 1
    steps = int(argv[3]) if len(argv) > 3 else 10000
    begin = time.perf_counter()
    fleet = Fleet(deployments.BY_NAME[name], seed)
    fleet.run(steps)
    before = fleet.shared_part()
    fleet.heal()
    fleet.run(1500)
    print('python bench/fleet.py %s %d %d' % (name, seed, steps))
    print(
        'shared after faults %.3f, 150 s later %.3f'
        % (before, fleet.shared_part())
    )
    print(dict(fleet.counts))
    print('%.1f s' % (time.perf_counter() - begin))


if __name__ == '__main__':
    main(sys.argv)
