"""Weighs ways to choose an upstream's slot, for both deployments.

A request waits at most ``WAIT_S`` for a slot, at the instance (shares) or in
the server's queue (no shares), and is refused after that. All policies prefer
near servers by the same weights. Usage: ``python bench/slot_policies.py
[seed] [seconds]``
"""

import collections
import heapq
import itertools
import random
import sys

from bench import deployments
from jasminehold.decisions import contact_quorum
from jasminehold.decisions import loans
from jasminehold.decisions import plan
from jasminehold.decisions import share_holder

SERVICE_S = 0.080
WAIT_S = 0.25
REPORT_S = 1.0
STEP_S = 0.25
# Questions that one instance may have outstanding.
ASKS = 2
PLAN_S = 5.0
WARM_UP_S = 15.0
DEADLINE_S = 2.0
# Requests by instance: three of twelve take half.
SKEW = [2.0] * 3 + [2 / 3] * 9
POLICIES = ('random', 'two choices', 'fixed subsets', 'shares with loans')


class Server:
    """A server with slots and a queue."""

    def __init__(self, limit):
        self.limit = limit
        self.busy = 0
        self.sent = 0
        self.queue = collections.deque()


class Run:
    """One simulation of one service."""

    def __init__(self, deployment, policy, load, seed, seconds):
        self.deployment = deployment
        self.policy = policy
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.events = []
        self.order = itertools.count()
        service = next(iter(deployment.services))
        self.declared = [
            one
            for one in deployments.declared_limits(deployment)
            if one.group == service and one.kind == 'slots'
        ]
        self.servers = {one.id: Server(one) for one in self.declared}
        self.slots = sum(one.amount for one in self.declared)
        self.arrivals = load * self.slots / SERVICE_S
        places = deployments.all_places(deployment)
        self.members = [
            plan.Member(
                'i%02d' % index,
                places[index % len(places)],
                deployments.region_of(deployment, places[index % len(places)]),
            )
            for index in range(12)
        ]
        self.by_name = {one.name: one for one in self.members}
        self.own = {one.name: collections.Counter() for one in self.members}
        self.weights = {
            one.name: [self.near(one, item) for item in self.declared]
            for one in self.members
        }
        self.reported = {one.id: 0 for one in self.declared}
        self.waiting = {one.name: collections.deque() for one in self.members}
        self.demand = collections.Counter()
        self.holders = {}
        self.plans = {}
        self.spares = {}
        self.counts = collections.Counter()
        self.latencies = []
        self.free_at = collections.defaultdict(list)
        self.preferred = {}
        for one in self.members:
            order = sorted(
                self.declared, key=lambda item: -self.near(one, item)
            )
            self.preferred[one.name] = [item.id for item in order]

    def near(self, member, limit):
        """Return the weight of a server for an instance."""
        if member.place == limit.place:
            return plan.SAME_PLACE_WEIGHT
        if member.region == limit.region:
            return plan.SAME_REGION_WEIGHT
        return plan.OTHER_REGION_SLOTS_WEIGHT

    def way(self, name, limit):
        """Return the one-way latency between instance and server."""
        near = self.by_name[name].region == limit.region
        return self.deployment.near_s if near else self.deployment.far_s

    def at(self, t, func, *args):
        """Call a function at a time."""
        heapq.heappush(self.events, (t, next(self.order), func, args))

    def run(self):
        """Run to the end and return the figures."""
        if self.policy in ('fixed subsets', 'shares with loans'):
            self.make_plans(0.0)
        self.at(0.0, self.arrive)
        self.at(0.0, self.report)
        if self.policy == 'shares with loans':
            self.at(0.1, self.step_loans)
        while self.events:
            t, _, func, args = heapq.heappop(self.events)
            if t > self.seconds:
                break
            func(t, *args)
        done = sorted(self.latencies)
        total = len(done) + self.counts['refused']
        span = self.seconds - WARM_UP_S
        headroom = min(
            sum(parts) / len(parts) for parts in self.free_at.values()
        )
        return (
            done[len(done) // 2] * 1000,
            done[int(len(done) * 0.99)] * 1000,
            self.counts['refused'] / total,
            headroom,
            self.counts['over'] / span,
            self.counts['messages'] / span,
        )

    def count(self, t, name, amount=1):
        """Count something after the warm-up."""
        if t >= WARM_UP_S:
            self.counts[name] += amount

    def arrive(self, t):
        """Take one request at a random instance, by the skew."""
        self.at(t + self.rng.expovariate(self.arrivals), self.arrive)
        name = self.rng.choices(self.members, SKEW)[0].name
        self.demand[name] += 1
        if not self.holders:
            limit_id = self.choose(name)
            self.own[name][limit_id] += 1
            server = self.servers[limit_id]
            self.at(
                t + self.way(name, server.limit), self.reach, t, name, limit_id
            )
            return
        self.waiting[name].append(t)
        self.serve(t, name)

    def choose(self, name):
        """Choose a server without shares."""
        picks = self.rng.choices(self.declared, self.weights[name], k=2)
        if self.policy == 'random':
            return picks[0].id
        return min(
            picks,
            key=lambda one: (self.reported[one.id] + self.own[name][one.id])
            / one.amount,
        ).id

    def reach(self, t, begin, name, limit_id):
        """Let a request reach its server's queue."""
        server = self.servers[limit_id]
        server.sent += 1
        if server.sent > server.limit.amount:
            self.count(t, 'over')
        server.queue.append((t, begin, name))
        self.work(t, server)

    def work(self, t, server):
        """Start queued requests while slots are free."""
        while server.queue and server.busy < server.limit.amount:
            queued, begin, name = server.queue.popleft()
            if t - queued > WAIT_S:
                server.sent -= 1
                self.own[name][server.limit.id] -= 1
                self.count(t, 'refused')
                continue
            server.busy += 1
            end = t + self.rng.expovariate(1 / SERVICE_S)
            self.at(end, self.end, begin, name, server, None)

    def end(self, t, begin, name, server, ticket):
        """End a request at the server."""
        server.busy -= 1
        server.sent -= 1
        self.own[name][server.limit.id] -= 1
        back = t + self.way(name, server.limit)
        if t >= WARM_UP_S:
            self.latencies.append(back - begin)
        if ticket:
            self.at(back, self.release, name, ticket)
        self.work(t, server)

    def release(self, t, name, ticket):
        """Give a slot of a share back and serve who waits."""
        self.holders[name].finish(ticket)
        self.serve(t, name)

    def serve(self, t, name):
        """Start waiting requests on free slots, near servers first."""
        queue, one = self.waiting[name], self.holders[name]
        while queue:
            if t - queue[0] > WAIT_S:
                queue.popleft()
                self.count(t, 'refused')
                continue
            ticket = None
            for limit_id in self.preferred[name]:
                gate = one.limiters[limit_id]
                if gate.free(t) or one.loans.borrowed:
                    ticket = one.start(limit_id, t + DEADLINE_S, t)
                    if ticket:
                        break
            if ticket is None:
                if self.policy == 'shares with loans':
                    self.borrow(t, name, len(queue))
                return
            begin = queue.popleft()
            limit = self.servers[limit_id].limit
            self.own[name][limit_id] += 1
            self.at(t + self.way(name, limit), self.start, begin, name, ticket)

    def start(self, t, begin, name, ticket):
        """Start a request that has a slot."""
        server = self.servers[ticket.limit]
        server.busy += 1
        server.sent += 1
        if server.sent > server.limit.amount:
            self.count(t, 'over')
        end = t + self.rng.expovariate(1 / SERVICE_S)
        self.at(end, self.end, begin, name, server, ticket)

    def borrow(self, t, name, shortage):
        """Ask one peer for slots of the nearest server that has some."""
        one = self.holders[name]
        if len(one.loans.pending) >= ASKS:
            return
        for limit_id in self.preferred[name]:
            found = loans.choose_lender(
                self.spares.get(name, {}), limit_id, t, self.rng
            )
            if found:
                lender, spare = found
                amount = loans.loan_amount(shortage, spare)
                ask = one.loans.request_loan(limit_id, amount, lender, t)
                self.message(t, name, lender, self.lend, name, lender, ask)
                return

    def message(self, t, source, target, func, *args):
        """Deliver a message between instances."""
        self.count(t, 'messages')
        near = self.by_name[source].region == self.by_name[target].region
        way = self.deployment.near_s if near else self.deployment.far_s
        self.at(t + way, func, *args)

    def lend(self, t, name, lender, ask):
        """Answer a question at the lender."""
        grant = self.holders[lender].lend(ask, t)
        self.message(t, lender, name, self.granted, name, lender, grant)

    def granted(self, t, name, lender, grant):
        """Take a grant at the borrower."""
        peer = self.spares[name].get(lender)
        if peer:
            left = peer[1].get(grant['limit'], 0) - grant['amount']
            peer[1][grant['limit']] = left if grant['amount'] else 0
        back = self.holders[name].loans.receive(grant, t)
        if back:
            self.message(t, name, lender, self.take_back, lender, back)
        self.serve(t, name)

    def take_back(self, t, lender, loan_id):
        """Take a returned loan back at the lender."""
        self.holders[lender].take_back(loan_id)
        self.serve(t, lender)

    def report(self, t):
        """Do what happens once a second."""
        self.at(t + REPORT_S, self.report)
        for place in {one.place for one in self.declared}:
            mine = [
                one
                for one in self.servers.values()
                if one.limit.place == place
            ]
            if t >= WARM_UP_S:
                total = sum(one.limit.amount for one in mine)
                busy = sum(one.busy for one in mine)
                self.free_at[place].append(1 - busy / total)
        if self.policy == 'two choices':
            for one in self.servers.values():
                self.reported[one.limit.id] = one.sent
            self.count(t, 'messages', len(self.servers) * len(self.members))
        if self.policy != 'shares with loans':
            return
        reports = {
            name: {
                limit_id: one.spare(limit_id, t)
                for limit_id, gate in one.limiters.items()
                if gate.free(t)
            }
            for name, one in self.holders.items()
        }
        for name, one in self.holders.items():
            self.count(t, 'messages', len(self.members) - 1)
            self.spares[name] = {
                peer: (t, dict(spare))
                for peer, spare in reports.items()
                if peer != name
            }
        if t % PLAN_S < REPORT_S:
            self.make_plans(t)

    def step_loans(self, t):
        """Renew and return loans at all instances."""
        self.at(t + STEP_S, self.step_loans)
        for name, one in self.holders.items():
            asks, returns = one.step(t)
            for lender, ask in asks:
                self.message(t, name, lender, self.lend, name, lender, ask)
            for lender, loan_id in returns:
                self.message(t, name, lender, self.take_back, lender, loan_id)

    def make_plans(self, t):
        """Share the slots out; with loans, again by measured demand."""
        service = self.declared[0].group
        for region in self.deployment.places:
            stored = self.plans.get(region, plan.empty_plan(region))
            inputs = plan.Inputs(
                [one for one in self.declared if one.region == region],
                self.members,
                {service: dict(self.demand)},
                {
                    name: one.acked(t).get(region, (0, {}))
                    for name, one in self.holders.items()
                },
                set(),
                lambda _: 0,
                1,
            )
            self.plans[region] = plan.next_plan(stored, inputs)
        for member in self.members:
            one = self.holders.get(member.name)
            if one is None:
                one = share_holder.ShareHolder(
                    member.name, _AlwaysInContact(member.name)
                )
                one.set_groups(self.declared)
                self.holders[member.name] = one
            for item in self.plans.values():
                if one.apply(item, t):
                    self.count(t, 'messages')
        for name in self.demand:
            self.demand[name] *= 0.7


class _AlwaysInContact(contact_quorum.WitnessContact):
    def may_use(self, item, now):
        return True


def main(argv):
    """Print a table of all policies, loads and deployments."""
    seed = int(argv[1]) if len(argv) > 1 else 1
    seconds = float(argv[2]) if len(argv) > 2 else 45.0
    print('python bench/slot_policies.py %d %g' % (seed, seconds))
    print(
        'deployment   load policy              p50 ms  p99 ms refused '
        'headroom  over/s  msg/s'
    )
    for deployment in deployments.BY_NAME.values():
        for load in (0.5, 0.7, 0.9):
            for policy in POLICIES:
                figures = Run(deployment, policy, load, seed, seconds).run()
                print(
                    '%-12s %3d%% %-18s %8.1f %7.1f %6.2f%% %8.3f %7.1f %6.0f'
                    % (
                        deployment.name,
                        load * 100,
                        policy,
                        figures[0],
                        figures[1],
                        figures[2] * 100,
                        *figures[3:],
                    ),
                    flush=True,
                )


if __name__ == '__main__':
    main(sys.argv)
