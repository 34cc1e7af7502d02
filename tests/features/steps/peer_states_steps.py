"""Steps for membership, documents, notices and the status tree."""

import random

import behave
import hypothesis
from hypothesis import strategies

from builders import peer_states as builder
from jasminehold.decisions import gossip_documents
from jasminehold.decisions import membership
from jasminehold.decisions import notices
from jasminehold.decisions import peer_state
from jasminehold.decisions import status_tree

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=150, deadline=None
)
TABLE = strategies.dictionaries(
    strategies.integers(0, 400).map('k{}'.format),
    strategies.integers(1, 5),
    max_size=300,
)


@behave.when(
    '{size:d} instances run with seed {seed:d} for {rounds:d} rounds of '
    '{steps:d} steps with faults'
)
def when_soak(context, size, seed, rounds, steps):
    context.fleet, context.longest = builder.soak(
        seed, rounds, size=size, steps=steps
    )


@behave.then(
    'at least {steps:d} steps ran and all agreed within 30 periods each time'
)
def then_steps(context, steps):
    assert context.fleet.step >= steps
    assert context.fleet.faults > steps
    assert context.longest <= builder.CONVERGE_S


@behave.then('all agreed within 30 periods each time')
def then_agreed(context):
    assert context.longest <= builder.CONVERGE_S


@behave.then('a variant that {fault} fails the run with seed {seed:d}')
def then_broken(context, fault, seed):
    try:
        builder.soak(seed, 4, builder.BROKEN[fault])
    except AssertionError:
        return
    raise RuntimeError('the checks passed a variant that ' + fault)


def _repair(first, second, docs):
    """Run exchanges until nothing differs and return their number."""
    for rounds in range(100):
        part = first.exchange() if docs else {'sum': first.total}
        for _ in range(2):
            if docs:
                reply = second.on_exchange('first', part)
                part = first.on_reply('second', reply)
                for taker, giver in ((first, second), (second, first)):
                    for keys in taker.take_fetches(rounds).values():
                        for document in giver.read_documents(keys):
                            taker.put(*document)
            else:
                reply = second.on_exchange('first', part, 0.0)
                part = first.on_reply(reply, 0.0)
            if part is None:
                return rounds + 1
    raise AssertionError('no end')


@behave.then(
    'documents repaired by digest equal the naive merge in a bounded number '
    'of rounds'
)
def then_documents(context):
    @SETTINGS
    @hypothesis.given(TABLE, TABLE)
    def check(left, right):
        both = []
        for table in (left, right):
            made = gossip_documents.GossipDocuments(random.Random(0))
            for key, version in table.items():
                made.put(key, version, b'%d' % version)
            both.append(made)
        rounds = _repair(*both, True)
        naive = {
            key: max(left.get(key, 0), right.get(key, 0))
            for key in {*left, *right}
        }
        for made in both:
            got = {key: made.version(key) for key in made.keys()}
            assert got == naive
        assert rounds <= 4, rounds

    check()


def _member(key, incarnation=1, state=membership.LIVE, left=False):
    return membership.Member(
        key, incarnation, state, '127.0.0.1', 1, 'p', 'r', left
    )


def _members(own='own'):
    return membership.Membership(
        _member(own, 10**6), membership.MembershipCfg(), random.Random(0), 0.0
    )


@behave.then(
    'members repaired by digest equal the naive merge in a bounded number of '
    'rounds'
)
def then_members(context):
    states = strategies.sampled_from(
        [membership.JOINING, membership.LIVE, membership.SUSPECT]
    )
    table = strategies.dictionaries(
        strategies.integers(0, 900).map('k{}'.format),
        strategies.tuples(strategies.integers(1, 4), states),
        max_size=300,
    )

    @SETTINGS
    @hypothesis.given(table, table)
    def check(left, right):
        both = [_members('first'), _members('second')]
        for made, entries in zip(both, (left, right)):
            for key, (incarnation, state) in entries.items():
                made.merge(_member(key, incarnation, state), 0.0)
        rounds = _repair(*both, False)
        naive = {'first': _member('first', 10**6)}
        naive['second'] = _member('second', 10**6)
        for entries in (left, right):
            for key, (number, state) in entries.items():
                known = naive.get(key)
                rank = (number, membership.RANKS[state])
                if known is None or rank > (
                    known.incarnation,
                    membership.RANKS[known.state],
                ):
                    naive[key] = _member(key, number, state)
        for made in both:
            assert {m.id: m for m in made.all()} == naive
        assert rounds <= 4, rounds

    check()


@behave.then('summaries merged in any grouping equal the naive sum')
def then_summaries(context):
    leaves = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['p1', 'p2', 'p3']),
            strategies.integers(0, 50),
            strategies.dictionaries(
                strategies.sampled_from('xyz'), strategies.integers(0, 9)
            ),
            strategies.integers(0, 9),
        ),
        min_size=1,
        max_size=40,
    )

    @SETTINGS
    @hypothesis.given(leaves, strategies.randoms(use_true_random=False))
    def check(items, rng):
        parts = [
            status_tree.own_summary(
                'i%d' % n, place, revision, plans, {'s': plans}, flight
            )
            for n, (place, revision, plans, flight) in enumerate(items)
        ]
        lowest = sorted((item[1], 'i%d' % n) for n, item in enumerate(items))
        while len(parts) > 1:
            rng.shuffle(parts)
            parts.append(status_tree.merge_summaries(parts.pop(), parts.pop()))
        status_tree.validate(parts[0])
        total = parts[0]
        assert total['in_flight'] == sum(item[3] for item in items)
        assert [tuple(x) for x in total['stragglers']] == lowest[:8]
        for place, cell in total['places'].items():
            revisions = [item[1] for item in items if item[0] == place]
            assert cell == [len(revisions), min(revisions)]
        for region, version in total['plans'].items():
            values = [item[2][region] for item in items if region in item[2]]
            assert version == min(values)
            assert total['demand']['s'][region] == sum(values)

    check()


@behave.then(
    'a tree of {size:d} nodes counts every live node within {periods:d} '
    'periods after any {number:d} fail'
)
def then_tree(context, size, periods, number):
    for seed in range(20):
        rng = random.Random(seed)
        names = ['i%03d' % n for n in range(size)]
        planner = rng.choice(names)
        trees = {name: status_tree.StatusTree(name, 4) for name in names}
        for tree in trees.values():
            tree.set_members(names, planner, 1)
        period = trees[planner].summary_interval_s
        alive = set(names)
        seen = []

        def run(count, now):
            for step in range(count):
                for name in rng.sample(sorted(alive), len(alive)):
                    own = status_tree.own_summary(name, 'p', 1, {}, {}, 1)
                    summary = trees[name].summary(own, now)
                    if name == planner:
                        seen.append(summary['in_flight'])
                    # A failed attempt is repeated with the next ancestor.
                    while (parent := trees[name].parent(now)) is not None:
                        if parent in alive:
                            trees[parent].on_summary(name, summary, now)
                            trees[name].on_reply(parent)
                            break
                        trees[name].on_failed(parent, now)
                now += period
            return now

        now = run(8, 0.0)
        assert seen[-1] == size, (seed, seen)
        alive -= set(rng.sample([n for n in names if n != planner], number))
        run(periods, now)
        assert seen[-1] == size - number, (seed, seen)


@behave.then('a late copy of an expired notice is not taken')
def then_notice(context):
    first, second = notices.Notices('a'), notices.Notices('b')
    first.publish('n', b'', 10.0, 0.0)
    entries = first.take_unsent(0.0)
    assert second.merge(entries, 0.0) == [('n', b'', 10.0)]
    second.tick(11.0)
    assert second.active(11.0) == {} and second.total == 0
    assert second.merge(entries, 12.0) == []
    first.publish('n', b'', 10.0, 12.0)
    assert second.merge(first.take_unsent(12.0), 12.0) == [('n', b'', 10.0)]
    second.tick(200.0)
    assert second.total == 0 and second._notices == {}


@behave.then('a new instance publishes over a notice that expired before')
def then_republished(context):
    first, second = notices.Notices('a'), notices.Notices('b')
    for now in (0.0, 1.0, 2.0):
        first.publish('n', b'', 1.0, now)
    first.tick(4.0)
    second.publish('n', b'', 50.0, 5.0)
    assert first.merge(second.take_unsent(5.0), 5.0) == []
    assert first.total != second.total
    second.merge(first.sample(random.Random(0), 5.0), 5.0)
    assert first.merge(second.take_unsent(5.0), 5.0) == [('n', b'', 50.0)]
    assert first.total == second.total


@behave.then('the longer of two renewals made at once is kept')
def then_renewed(context):
    first, second = notices.Notices('a'), notices.Notices('b')
    first.publish('n', b'', 50.0, 0.0)
    second.publish('n', b'', 10.0, 0.0)
    for _ in range(2):
        first.merge(second.take_unsent(0.0), 0.0)
        second.merge(first.take_unsent(0.0), 0.0)
    assert first.total == second.total
    assert list(first.active(49.0)) == list(second.active(49.0)) == ['n']


@behave.then(
    'an instance that was paused for {seconds:d} seconds suspects nobody'
)
def then_paused(context, seconds):
    members = _members()
    members.merge(_member('other'), 0.0)
    members.tick(0.0)
    members.tick(1.0)
    members.tick(1.0 + seconds)
    assert members.get('other').state == membership.LIVE
    for step in range(60):
        members.tick(2.0 + seconds + step * 0.1)
    assert members.get('other').state == membership.SUSPECT


@behave.then(
    'a claim that a heard member is gone is passed to it and not applied'
)
def then_claim(context):
    members, other = _members(), _members('other')
    members.merge(other.own, 0.0)
    members.tick(0.0)
    members.on_heard('other', 1.0)
    claim = list(other.own._replace(state=membership.GONE))
    members.merge(claim, 1.5)
    assert members.get('other').state == membership.LIVE
    assert members.take_false_reports() == {'other': claim}
    other.merge(claim, 1.5)
    assert other.own.incarnation == claim[1] + 1
    leave = list(other.own._replace(state=membership.GONE, left=True))
    members.merge(leave, 1.6)
    assert members.get('other').state == membership.GONE


@behave.then(
    'arbitrary messages raise only the documented errors and the state still '
    'works'
)
def then_malformed(context):
    words = strategies.sampled_from(
        'type members documents notices notice_sum contact sum sums changes '
        'parts have want keys summary member places plans demand in_flight '
        'stragglers exchange fetch status leave 0 63 64 -1 i00'.split()
    )
    number = strategies.integers(-(2**63), 2**64 - 1) | strategies.floats()
    scalar = strategies.none() | strategies.booleans() | number | words
    scalar |= strategies.binary(max_size=9)
    tree = strategies.recursive(
        scalar,
        lambda inner: strategies.lists(inner, max_size=8)
        | strategies.dictionaries(words, inner, max_size=5),
        max_leaves=30,
    )
    kinds = strategies.sampled_from(
        ['exchange', 'fetch', 'documents', 'status', 'leave']
    )
    messages = strategies.builds(
        lambda body, kind: {**body, 'type': kind},
        strategies.dictionaries(words, tree, max_size=5),
        kinds,
    )
    documented = (ValueError, TypeError, LookupError, AttributeError)
    fleet = builder.Fleet(5, 9)
    assert fleet.settle(builder.CONVERGE_S) is not None

    @hypothesis.settings(SETTINGS, max_examples=1500)
    @hypothesis.given(messages, messages)
    def check(message, asked):
        state = fleet.states['i00']
        for call in (
            lambda: state.on_message('i01', message, fleet.now, len),
            lambda: state.on_reply(
                'i01', {'keys': [], **asked}, message, fleet.now, fleet.now
            ),
        ):
            try:
                call()
            except documented:
                pass
        state.tick(fleet.now)

    check()
    fleet.newest.clear()
    assert isinstance(fleet.states['i00'], peer_state.PeerState)
    for name in fleet.names[1:]:
        fleet.publish('after')
    assert fleet.settle(builder.CONVERGE_S) is not None
