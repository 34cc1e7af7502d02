"""Steps for limits, plans, contact and loans."""

import random

import behave
import hypothesis
from hypothesis import strategies

from bench import deployments
from jasminehold.decisions import contact_quorum
from jasminehold.decisions import limiters
from jasminehold.decisions import loans
from jasminehold.decisions import place_plan
from jasminehold.decisions import plan
from jasminehold.decisions import share_holder

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, deadline=None, max_examples=150
)
SEEDS = strategies.integers(0, 2**32)


@behave.then(
    'rate gates with changing shares hold in every window of one second'
)
def then_rate(context):
    @SETTINGS
    @hypothesis.given(SEEDS, strategies.floats(0.99, 1.01))
    def check(seed, clock_rate):
        rng = random.Random(seed)
        gate = limiters.RateLimiter(rng.randint(0, 30))
        shares, times, t = [(-9.0, gate.share)], [], 0.0
        for _ in range(300):
            t += rng.expovariate(40)
            if rng.random() < 0.02:
                gate.share = rng.randint(0, 30)
                shares.append((t, gate.share))
            if gate.admit(t * clock_rate):
                times.append(t)
                window = [at for at in times if at > t - 1.0]
                started = [at for at, _ in shares if at <= t - 1.0]
                largest = max(
                    share for at, share in shares if at >= max(started)
                )
                assert len(window) <= largest

    check()


@behave.then(
    'random sequences of plans hold against all versions still in use'
)
def then_plans(context):
    @SETTINGS
    @hypothesis.given(SEEDS)
    def check(seed):
        rng = random.Random(seed)
        declared = [
            limiters.Limit('rate:r', 50, 'r'),
            limiters.Limit('slots:a-1', 3, 'r', 'p0', 'a'),
            limiters.Limit('slots:a-2', 7, 'r', 'p1', 'a'),
        ]
        names = ['i%d' % index for index in range(6)]
        plans, acked, gone, fence = [plan.empty_plan('r')], {}, set(), 0
        worst = {}
        for _ in range(25):
            alive = [name for name in names if name not in gone]
            for name in alive:
                known = acked.get(name, (0, {}))
                if rng.random() < 0.5:
                    version = rng.randint(known[0], plans[-1]['version'])
                    lag = {}
                    if rng.random() < 0.3:
                        lag['slots:a-1'] = known[1].get('slots:a-1', known[0])
                    acked[name] = (version, lag)
            if rng.random() < 0.1:
                fence = rng.randint(fence, plans[-1]['version'])
            if rng.random() < 0.05 and len(alive) > 2:
                gone.add(rng.choice(alive))
            if rng.random() < 0.1:
                declared[0] = declared[0]._replace(amount=rng.randint(20, 60))
            inputs = plan.Inputs(
                declared,
                [
                    plan.Member(name, 'p%d' % (index % 2), 'r')
                    for index, name in enumerate(names)
                    if name not in gone and rng.random() < 0.9
                ],
                {'rate:r': {name: rng.randint(0, 9) for name in names}},
                acked,
                gone,
                lambda _: fence,
                1,
            )
            built = plan.next_plan(plans[-1], inputs)
            if built is plans[-1]:
                continue
            plans.append(built)
            for limit in declared:
                total = 0
                for name in set(names) - gone:
                    version, lag = acked.get(name, (0, {}))
                    first = max(lag.get(limit.id, version), fence)
                    largest = max(
                        item['shares'].get(limit.id, {}).get(name, 0)
                        for item in plans
                        if item['version'] >= first
                    )
                    entry = built['held'].get(limit.id, {}).get(name)
                    assert (entry[0][1] if entry else 0) == largest
                    total += largest
                allowed = max(limit.usable, worst.get(limit.id, 0))
                assert total <= allowed, (limit.id, total, allowed)
                worst[limit.id] = total

    check()


@behave.then('random losses, repeats and delays never lend an amount twice')
def then_loans(context):
    @SETTINGS
    @hypothesis.given(SEEDS)
    def check(seed):
        rng = random.Random(seed)
        limit_id = rng.choice(['slots:x', 'rate:x'])
        lender, gate = loans.Loans('l'), limiters.limiter_for(limit_id)
        gate.share = 10
        borrowers = {name: loans.Loans(name) for name in 'ab'}
        rates = {name: rng.uniform(0.99, 1.01) for name in 'abl'}
        messages, asked, ledger, t = [], {}, {}, 0.0

        def send(kind, name, body):
            messages.append((kind, name, body))

        def ask(name, body):
            asked[body['id']] = t
            send('ask', name, body)

        for _ in range(200):
            t += rng.choice((0.0, 0.1, 0.5, 3.0))
            name = rng.choice('ab')
            one, now = borrowers[name], t * rates[name]
            here = t * rates['l']
            lender.expire_granted({limit_id: gate}, here)
            asks, returns = one.borrower_step(now)
            for _, body in asks:
                ask(name, body)
            for _, loan_id in returns:
                ledger.pop(loan_id, None)
                send('return', name, loan_id)
            if rng.random() < 0.3:
                ask(
                    name,
                    one.request_loan(limit_id, rng.randint(1, 4), 'l', now),
                )
            one.admit(limit_id, now + 0.1, now)
            for loan in one.borrowed.values():
                if not limiters.is_rate(limit_id):
                    loan.limiter.in_use = 0
            if messages and rng.random() < 0.7:
                index = rng.randrange(len(messages))
                kind, name, body = messages[index]
                if rng.random() < 0.7:
                    messages.pop(index)
                one, now = borrowers[name], t * rates[name]
                if kind == 'ask':
                    spare = gate.free(here)
                    send('grant', name, lender.grant(body, gate, spare, here))
                elif kind == 'return':
                    lender.returned(body, {limit_id: gate})
                else:
                    pending = one.pending.get(body['id'])
                    back = one.receive(body, now)
                    if body['id'] in one.borrowed and pending:
                        ledger.pop(pending.renews, None)
                        end = asked[body['id']] + 10.0 / rates[name]
                        ledger[body['id']] = (body['amount'], end)
                    if back:
                        send('return', name, back)
            truth = sum(amount for amount, end in ledger.values() if end > t)
            held = sum(
                loan.limiter.share
                for borrower, one in borrowers.items()
                for loan in one.borrowed.values()
                if loan.expires > t * rates[borrower]
            )
            assert held == truth
            lender.expire_granted({limit_id: gate}, t * rates['l'])
            assert truth <= gate.lent <= gate.share

    check()


@behave.given('the limits of {name} shared among {count:d} instances')
def given_shared(context, name, count):
    deployment = deployments.BY_NAME[name]
    places = deployments.all_places(deployment)
    context.declared = deployments.declared_limits(deployment)
    context.members = [
        plan.Member(
            'i%02d' % index,
            places[index % len(places)],
            deployments.region_of(deployment, places[index % len(places)]),
        )
        for index in range(count)
    ]
    context.plans = {
        region: plan.empty_plan(region) for region in deployment.places
    }
    build(context)


def build(context, gone=(), members=None):
    """Build the next plan of each region with everything acknowledged."""
    context.shares = {}
    for region, stored in context.plans.items():
        acked = {
            member.name: (stored['version'], {}) for member in context.members
        }
        inputs = plan.Inputs(
            [one for one in context.declared if one.region == region],
            context.members if members is None else members,
            {},
            acked,
            set(gone),
            lambda _: 0,
            1,
        )
        context.plans[region] = plan.next_plan(stored, inputs)
        context.shares.update(context.plans[region]['shares'])


@behave.then(
    'every instance holds slots at {count:d} or more upstreams of each service'
)
def then_several(context, count):
    for service in {one.group for one in context.declared if one.group}:
        for member in context.members:
            held = [
                one.id
                for one in context.declared
                if one.group == service
                and one.kind == 'slots'
                and context.shares[one.id].get(member.name)
            ]
            assert len(held) >= count, (member, held)


@behave.then('most slots are held in the upstream\'s own region')
def then_near(context):
    regions = {member.name: member.region for member in context.members}
    near = total = 0
    for one in context.declared:
        if one.kind == 'slots':
            for name, share in context.shares[one.id].items():
                total += share
                near += share * (regions[name] == one.region)
    assert total == sum(
        one.amount for one in context.declared if one.kind == 'slots'
    )
    assert near > total / 2, (near, total)


@behave.then('every rate limit is shared among all instances')
def then_rates(context):
    for one in context.declared:
        if limiters.is_rate(one.id):
            parts = context.shares[one.id]
            assert sum(parts.values()) == one.amount
            assert len(parts) == len(context.members)


@behave.when(
    '{drained} is drained and the older system uses {older:d} of {limit_id}'
)
def when_drained(context, drained, older, limit_id):
    changes = {drained: {'drained': True}, limit_id: {'legacy_load': older}}
    context.declared = [
        one._replace(**changes.get(one.id, {})) for one in context.declared
    ]
    build(context)


@behave.then('{first} has {one:d} shares and {second} has {two:d}')
def then_amounts(context, first, one, second, two):
    assert sum(context.shares[first].values()) == one
    assert sum(context.shares[second].values()) == two


@behave.then('a witness is replaced only after it is confirmed gone')
def then_witness(context):
    before = context.plans['sul']['witnesses']
    departures = contact_quorum.GoneInstances()
    rest = {member.name for member in context.members} - {before[0]}
    departures.on_platform_list(rest, before, {before[0]: 5.0}, 6.0)
    departures.on_platform_list(rest, before, {before[0]: 5.0}, 15.0)
    build(context, departures.gone)
    assert context.plans['sul']['witnesses'] == before
    departures.on_platform_list(rest, before, {before[0]: 5.0}, 18.0)
    left = [one for one in context.members if one.name in rest]
    build(context, departures.gone, left)
    after = context.plans['sul']['witnesses']
    assert before[0] not in after and len(after) == 3, after
    places = {one.name: one.place for one in left}
    assert len({places[name] for name in after}) == 2


@behave.then('the last free slot of a service is not lent')
def then_reserve(context):
    one = share_holder.ShareHolder('w')
    declared = [
        limiters.Limit('slots:%s' % name, 1, 'r', '', 's') for name in 'xyz'
    ]
    one.set_groups(declared)
    stored = plan.empty_plan('r')
    shares = {limit.id: {'w': 1} for limit in declared}
    one.apply(dict(stored, version=1, witnesses=['w'], shares=shares), 0.0)
    for index, limit in enumerate(declared):
        ask = loans.LoanRequest(
            id=limit.id, limit=limit.id, amount=1, renews=''
        )
        assert one.lend(ask, 0.0)['amount'] == (index < 2)


@behave.then(
    'a lender whose share was lowered to 0 sees a borrowed slot as whole'
)
def then_lowered_lender(context):
    one = share_holder.ShareHolder('w')
    stored = dict(plan.empty_plan('r'), version=1, witnesses=['w'])
    one.apply(dict(stored, shares={'slots:x': {'w': 2}}), 0.0)
    ask = loans.LoanRequest(id='a', limit='slots:x', amount=1, renews='')
    assert one.lend(ask, 0.0)['amount'] == 1
    one.apply(dict(stored, version=2, shares={'slots:x': {'w': 0}}), 0.0)
    asked = one.loans.request_loan('slots:x', 1, 'p', 0.0)
    grant = {'limit': 'slots:x', 'amount': 1, 'seconds': 10.0}
    one.loans.receive({**grant, 'id': asked['id']}, 0.0)
    # The usage of a slot is a part of the whole amount, so it is never 0.
    assert one.free('slots:x', 0.0) == (1, 1), one.free('slots:x', 0.0)


@behave.then('a spare amount reported {age:d} seconds ago is not asked for')
def then_stale(context, age):
    spares = {'p': (0.0, {'rate:r': 5})}
    rng = random.Random(1)
    assert loans.choose_lender(spares, 'rate:r', 1.0, rng) == ('p', 5)
    assert loans.choose_lender(spares, 'rate:r', age, rng) is None


@behave.then('random two-level plans keep the sum over {x}')
def then_two_levels(context, x):
    @SETTINGS
    @hypothesis.given(SEEDS)
    def check(seed):
        rng = random.Random(seed)
        declared = [limiters.Limit('rate:r', 50, 'r')]
        places = {
            name: [plan.Member(name + k, name, 'r') for k in 'xyz']
            for name in 'abc'
        }
        top = plan.empty_plan('r')
        known = {name: top for name in places}
        stored = {name: plan.empty_plan('r') for name in places}
        place_acked = {name: (0, {}) for name in places}
        acked = {}
        history = {}

        def inputs(wanted, members, answers):
            demand = {member.name: rng.randint(0, 9) for member in members}
            return plan.Inputs(
                wanted,
                members,
                {'rate:r': demand},
                answers,
                set(),
                lambda _: 0,
                1,
            )

        for _ in range(40):
            members = [plan.Member(name, name, 'r') for name in places]
            top = plan.next_plan(top, inputs(declared, members, place_acked))
            for name, instances in places.items():
                if rng.random() < 0.5:
                    known[name] = top
                wanted = place_plan.limits_of_place(
                    known[name], name, declared
                )
                one = inputs(wanted, instances, acked)
                stored[name] = plan.next_plan(stored[name], one)
                place_acked[name] = place_plan.acked_by_place(
                    known[name], name, place_acked[name], stored[name], one
                )
                for member in instances:
                    version = stored[name]['version']
                    parts = stored[name]['shares'].get('rate:r', {})
                    share = parts.get(member.name, 0)
                    kept = history.setdefault(member.name, {})
                    kept[version] = share
                    if rng.random() < 0.5:
                        acked[member.name] = (version, {})
                        history[member.name] = {version: share}
            total = sum(max(kept.values()) for kept in history.values())
            assert total <= 50, total

    check()
