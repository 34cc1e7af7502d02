"""Steps for the routing decisions."""

import random
import types

import behave
from builders import routing as build
import hypothesis
from hypothesis import strategies as st

from jasminehold.decisions import admission
from jasminehold.decisions import blocks
from jasminehold.decisions import demand
from jasminehold.decisions import drain
from jasminehold.decisions import legacy
from jasminehold.decisions import lookup_order
from jasminehold.decisions import movement
from jasminehold.decisions import region_steps
from jasminehold.decisions import routing
from jasminehold.decisions import share_holder
from jasminehold import metrics
from jasminehold.steering import picker
from jasminehold.steering import tables

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, deadline=None, max_examples=200
)


@behave.then(
    'for any documents and changes the block map equals the naive search'
)
def then_block_map(context):
    @SETTINGS
    @hypothesis.given(build.documents(), build.documents(), st.data())
    def check(first, second, data):
        block_map = blocks.BlockMap()
        for name, entries in first.items():
            block_map.set_document(name, entries)
        docs = dict(first)
        docs.update(second)
        for name, entries in second.items():
            block_map.set_document(name, entries)
        if 'd1' in docs:
            block_map.remove_document('d1')
            del docs['d1']
        for text in data.draw(st.lists(build.networks(), max_size=8)):
            address = text.partition('/')[0]
            expected = build.naive_find(docs, address)
            assert block_map.find(address) == expected, address

    check()
    # A block shorter than a bucket that two documents repeat: the first
    # version took the document that was set first.
    block_map = blocks.BlockMap()
    block_map.set_document('d2', [('10.0.0.0/8', 's2')])
    block_map.set_document('d1', [('10.0.0.0/8', 's1')])
    assert block_map.find('10.1.2.3') == 's2'


@behave.then(
    'raising a moved share only moves blocks from its source to its target'
)
def then_moves(context):
    @SETTINGS
    @hypothesis.given(build.shares(), st.floats(0, 1), st.floats(0, 1))
    def check(shares, one, other):
        source, target = sorted(shares)[:2]
        low, high = sorted((one, other))

        def final(share, point):
            move = routing.Move('m', source, target, share)
            routes = routing.build('loja', shares, [move], {})
            place, moved = routing.home(routes, point)
            return target if moved else place

        for index in range(100):
            point = index / 100
            before, after = final(low, point), final(high, point)
            assert before == after or (before, after) == (source, target)

    check()


@behave.then(
    '{n:d} blocks fall into segments within {pc:d} percent of the shares'
)
def then_segments(context, n, pc):
    shares = {'sul-a': 0.5, 'sul-b': 0.3, 'europa-a': 0.2}
    routes = routing.build('loja', shares, [], {})
    counts = dict.fromkeys(shares, 0)
    for index in range(n):
        block = '10.%d.%d.0/24' % divmod(index, 256)
        point = routing.block_point('loja', block)
        counts[routing.home(routes, point)[0]] += 1
    for place, share in shares.items():
        assert abs(counts[place] / n - share) < pc / 100, counts


@behave.then("lowering the older system's share only releases blocks")
def then_legacy(context):
    names = ['10.0.%d.0/24' % i for i in range(200)]
    for step in range(10, 0, -1):
        high = {
            b for b in names if legacy.is_legacy_block('loja', b, step / 10)
        }
        low = {
            b
            for b in names
            if legacy.is_legacy_block('loja', b, (step - 1) / 10)
        }
        assert low <= high
    assert not low


@behave.then('for any signals each step of a movement stays within its bounds')
def then_movement(context):
    rates = st.floats(0, 1000)
    made = st.builds(
        movement.TargetSignals,
        st.booleans(),
        st.none() | st.floats(0, 20),
        st.floats(0, 0.05),
        st.floats(0.01, 0.2),
        st.floats(1, 1000),
        rates,
        rates,
    )

    @SETTINGS
    @hypothesis.given(st.lists(made, max_size=30))
    def check(sequence):
        spec = build.movement_spec()
        state = movement.MovementState()
        for index, signals in enumerate(sequence):
            now = index * 4.0
            after = movement.advance(spec, state, signals, now)
            assert 0 <= after.share <= spec.target_share
            raised = after.share - state.share
            if raised > 0:
                assert raised <= spec.step_share + 1e-9
                assert signals.in_force and signals.age_s <= 5
                moved = after.share * signals.total_rps
                assert moved <= spec.cap_rps + 1e-6
                added = raised * signals.total_rps
                left = min(signals.capacity_left_rps, signals.link_left_rps)
                assert added <= left + 1e-6
            state = after

    check()


@behave.given('a movement that reached a share of {share:g}')
def given_movement(context, share):
    context.spec = build.movement_spec()
    context.state = movement.MovementState(share, 4, 0.0, 0.05)
    context.before = share


def _run(context, signals, seconds):
    for now in range(0, seconds, 5):
        context.state = movement.advance(
            context.spec, context.state, signals, float(now)
        )


@behave.when('the target sheds load for three step periods')
def when_sheds(context):
    _run(context, build.signals(shed_share=0.05), 35)


@behave.when('no measurement arrives for an hour')
def when_silent(context):
    _run(context, build.signals(age_s=None), 3600)


@behave.then('the moved share is lower and the reason is shown')
def then_lower(context):
    assert context.state.share < context.before
    assert context.state.hold is movement.HoldReason.SHEDDING


@behave.then('the moved share stays the same')
def then_same_share(context):
    assert context.state.share == context.before
    assert context.state.hold is movement.HoldReason.NO_MEASUREMENT


@behave.then(
    '{n:d} measurements with {pc:d} percent noise never change the order'
)
def then_no_flapping(context, n, pc):
    rng = random.Random(7)
    choice = routing.PlaceChoice()
    true = {'sul-a': 0.020, 'sul-b': 0.0205, 'europa-a': 0.060}
    choice.update(true)
    first = choice.order
    for _ in range(n):
        noise = {
            place: value * (1 + rng.uniform(-pc, pc) / 200)
            for place, value in true.items()
        }
        assert choice.update(noise) == first


@behave.then('a drain with a missing report is not empty')
def then_drain(context):
    state = drain.DrainState(0.0)
    state = drain.advance(state, True, 0, 1, None, 5.0)
    assert state.phase is drain.Phase.REQUESTED
    state = drain.advance(state, True, 2, 0, None, 6.0)
    assert state.phase is drain.Phase.NO_NEW_WORK
    state = drain.advance(state, True, 0, 0, None, 9.0)
    assert (state.phase, state.drain_s) == (drain.Phase.EMPTY, 9.0)


@behave.then(
    'a step is in force once all instances have the plan that made it'
)
def then_step_in_force(context):
    old = {'version': 4, 'steps': {'movements': {'m': 0.1}}}
    step = {'version': 5, 'steps': {'movements': {'m': 0.2}}}
    step['steps_version'] = region_steps.steps_version(old, step)
    later = {'version': 6, 'steps': step['steps']}
    later['steps_version'] = region_steps.steps_version(step, later)
    for acked, expected in ((4, False), (5, True), (6, True)):
        reports = {
            'a': {'acked': [6, {}]},
            'b': {'acked': [acked, {'rate:place/p': 4}]},
        }
        for plan in (step, later):
            found = region_steps.in_force(plan, {'a', 'b'}, reports)
            assert found is expected, (acked, plan)
    assert not region_steps.in_force(later, {'a', 'b', 'c'}, reports)


@behave.then('an upstream with free slots and no share of its own is chosen')
def then_lent(context):
    one = routing.Candidate('u', 1, 0, 1.0, False, None, 0.0)
    assert routing.choose_upstream([one], random.Random(1)) is one


def _listed(suspects=()):
    entries = [
        lookup_order.Candidate(
            '%s-%d' % (region, n), '%s-%d' % (region, n % 2), region
        )
        for region in ('near', 'mid', 'far')
        for n in range(4)
    ]
    entries = [
        entry._replace(suspect=entry.region in suspects) for entry in entries
    ]
    latencies = {('near', 'mid'): 0.02, ('near', 'far'): 0.1}
    return [
        lookup_order.order(entries, 's', '10.0.%d.0' % n, 'near', latencies)
        for n in range(50)
    ]


@behave.then('a look-up answer names an instance of another region')
def then_other_region(context):
    for found in _listed():
        assert [e.region for e in found] == ['near'] * 3 + ['mid'], found
        assert found[0].place != found[1].place, found


@behave.then('suspect instances come after those of another region')
def then_suspects_last(context):
    for found in _listed({'near'}):
        assert all(e.region == 'mid' for e in found[:3]), found
        assert found[3].region == 'far', found


@behave.given('a look-up that waits for a slot with a deadline in 10 seconds')
def given_waiting(context):
    context.admission = admission.Admission()
    for ident, priority in enumerate(admission.Priority):
        offer = context.admission.offer(ident, priority, 10.0, 3, 0.0)
        assert offer.accepted


@behave.when('no slot becomes free for {seconds:g} seconds')
def when_no_slot(context, seconds):
    assert not context.admission.remove_expired(0.9)
    context.found = context.admission.remove_expired(seconds)


@behave.then('the look-up is given up on and a waiting order is not')
def then_given_up(context):
    priorities = [waiting.priority for waiting in context.found]
    assert priorities == [admission.Priority.NORMAL], priorities
    assert len(context.admission) == 1


@behave.then(
    'a step is in force once every instance applies its plan or a later one'
)
def then_in_force(context):
    def check(names, **acked):
        reports = {name: {'acked': value} for name, value in acked.items()}
        plan = {'version': 9, 'steps_version': 7}
        return region_steps.in_force(plan, set(names), reports)

    # Newer plans and limits of slots that lag do not matter.
    assert check('ab', a=[7, {}], b=[9, {'slots:x': 6}])
    assert not check('ab', a=[7, {}], b=[6, {}])
    assert not check('ab', a=[7, {}], b=[9, {'move:m': 6}])
    assert not check('abc', a=[7, {}], b=[9, {}])


@behave.given('an instance without free slots')
def given_no_slots(context):
    context.now, context.timers = 0.0, []
    loop = types.SimpleNamespace(
        now=lambda: context.now,
        call_later=lambda delay, func, *args: context.timers.append(func),
    )
    known = tables.Tables()
    known.services['s'] = tables.Service(
        's', frozenset((b'GET',)), (), 5.0, (), 0.1, None
    )
    for name in ('u', 'v', 'w'):
        known.upstreams[name] = tables.Upstream(name, 's', 'p', '10.0.0.1', 80)
    known.by_place['s', 'p'] = list(known.upstreams.values())
    known.place_region['p'] = 'r'
    # In contact and with rates, so that the request waits for a slot only.
    owner = share_holder.ShareHolder('one')
    shares = {'slots:u': {}, 'rate:place/p': {'one': 9}}
    shares['rate:region/r'] = {'one': 9}
    plan = {'region': 'r', 'version': 1, 'witnesses': ['one']}
    owner.apply({**plan, 'shares': shares}, context.now)
    context.loans = []
    context.picker = picker.Picker(
        loop,
        types.SimpleNamespace(place='p', region='r'),
        known,
        owner,
        metrics.Metrics(),
        random.Random(1),
        lambda *args: None,
        lambda group, ids, count: context.loans.append(set(ids)),
    )
    context.picker.apply_tables()


@behave.when('one request waits for {count:d} dispatch periods')
def when_waits(context, count):
    _wait(context, (), count)


@behave.when(
    'a request that tried "{tried}" waits while "{lost}" refuses connections'
)
def when_tried_waits(context, tried, lost):
    context.picker.note_result(lost, 'connect', 0.0, context.now)
    _wait(context, (tried,), 5)


@behave.then('loans are asked for the slots of "{name}" only')
def then_loans(context, name):
    assert context.loans
    assert all(ids == {'slots:' + name} for ids in context.loans)


def _wait(context, tried, count):
    req = types.SimpleNamespace(
        service='s',
        method=b'GET',
        path=b'/',
        peer='10.1.0.1',
        fingerprint=b'f',
    )
    req.plan = context.picker.route(req)
    context.picker.pick(req, tried, context.now)
    context.picker.wait_for_target(req, tried, 5.0, lambda found: None)
    for _ in range(count):
        context.now += 0.02
        due, context.timers = context.timers, []
        for func in due:
            func()


@behave.then('the demand for its place is that of one request')
def then_one_demand(context):
    one = demand.AverageRate()
    one.add(0.0)
    found = context.picker.demand(lambda _: 'r', context.now)['r']
    assert abs(found['rate:place/p'] - one.value(context.now)) < 0.01, found


@behave.then('a movement without a traffic split holds and says so')
def then_needs_split(context):
    # Its target share once counted against the whole client region.
    spec = {'service': 's', 'from_place': 'p', 'to_place': 'q'}
    docs = {
        'movement': [{'metadata': {'name': 'm'}, 'spec': spec}],
        'place': [{'metadata': {'name': 'q'}, 'spec': {'region': 'r'}}],
    }
    config = types.SimpleNamespace(all=lambda kind: docs.get(kind, []))
    steps = region_steps.RegionSteps('r', {}, {}, 0.0)
    steps.advance(config, [], True, lambda kind, key: 100.0, 60.0, False)
    state = steps.movements['m']
    assert state.hold is movement.HoldReason.NO_SPLIT and state.share == 0.0
