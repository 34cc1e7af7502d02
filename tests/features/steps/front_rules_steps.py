"""Steps for the rules of a front instance; no sockets, no clocks."""

import collections
import random

import behave
import hypothesis
from hypothesis import strategies as st

from jasminehold.decisions import cold_start_limiter
from jasminehold.decisions import fleet_size
from jasminehold.decisions import object_placement
from jasminehold.decisions import read_schedule
from jasminehold.decisions import retry_token_bucket
from jasminehold.decisions import route_table
from jasminehold.decisions import store_replica
from jasminehold.decisions import transit_delay
from jasminehold.decisions import upstream_load
from jasminehold.decisions import upstream_view
from jasminehold.decisions import weighted_round_robin
from jasminehold.front import steering
from tests.builders import front_values
from tests.builders import told_copies


@behave.given('routes for "/a/", "/a/b/" and the root of another host')
def given_routes(context):
    routes = [
        front_values.route('shop.example', '/a/'),
        front_values.route('shop.example', '/a/b/'),
        front_values.route('other.example', '/'),
    ]
    limits = route_table.CallerLimits()
    context.routes = route_table.RouteTable(1, routes, [], limits)


@behave.then('"{path}" on the first host goes to "{prefix}"')
def then_prefix(context, path, prefix):
    assert context.routes.match('SHOP.example', path).prefix == prefix


@behave.then('"{path}" on the first host has no route')
def then_no_route(context, path):
    assert context.routes.match('shop.example', path) is None


@behave.given('a split of 70, 20 and 10')
def given_split(context):
    context.choices = (('a', 70), ('b', 20), ('c', 10))


@behave.then('any {count:d} turns in a row are within 1 of the weights')
def then_turns(context, count):
    turns = weighted_round_robin.SmoothWeightedRoundRobin()
    taken = [turns.pick('route', context.choices) for _ in range(1000)]
    for start in range(len(taken) - count):
        found = collections.Counter(taken[start : start + count])
        for name, weight in context.choices:
            assert abs(found[name] - count * weight / 100) <= 1, found


@behave.given('{count:d} upstreams of equal weight and {objects:d} objects')
def given_owners(context, count, objects):
    context.weights = {'u%d' % index: 1.0 for index in range(count)}
    context.objects = ['route/%d' % index for index in range(objects)]
    context.before = {
        key: object_placement.owners(key, context.weights)
        for key in context.objects
    }


@behave.when('one upstream leaves')
def when_leaves(context):
    del context.weights['u5']


@behave.then('only objects of that upstream have another first owner')
def then_stable(context):
    moved = 0
    for key in context.objects:
        after = object_placement.owners(key, context.weights)
        before = [name for name in context.before[key] if name != 'u5']
        assert after == before
        moved += context.before[key][0] == 'u5'
    assert moved


@behave.given('4 upstreams of weights 1, 1, 2 and 4 and {objects:d} objects')
def given_weights(context, objects):
    context.weights = {'a': 1.0, 'b': 1.0, 'c': 2.0, 'd': 4.0}
    context.objects = range(objects)


@behave.then('each first owns its share of the objects within a fifth')
def then_shares(context):
    found = collections.Counter(
        object_placement.owners('o%d' % key, context.weights)[0]
        for key in context.objects
    )
    total = sum(context.weights.values())
    for name, weight in context.weights.items():
        share = weight / total * len(context.objects)
        assert abs(found[name] - share) < share / 5, found


@behave.given('regions with a need of 10 each and room for 4, 12 and 14')
def given_regions(context):
    context.shares = object_placement.region_shares(
        {'a': 10, 'b': 10, 'c': 10}, {'a': 4, 'b': 12, 'c': 14}
    )


@behave.then('the first keeps 0.4 and gives 0.2 and 0.4 to the others')
def then_overflow(context):
    row = context.shares['a']
    assert abs(row['a'] - 0.4) < 1e-9
    assert abs(row['b'] - 0.2) < 1e-9 and abs(row['c'] - 0.4) < 1e-9


@behave.then('the others keep everything')
def then_keep(context):
    assert context.shares['b']['b'] == context.shares['c']['c'] == 1.0


@behave.given(
    '{count:d} instances that learn of each other within {lag:g} s of their'
    ' start'
)
def given_learning(context, count, lag):
    context.count, context.lag = count, lag


@behave.when(
    'some are killed and others start at random times for {seconds:g} s'
)
def when_churn(context, seconds):
    rng = random.Random(8)
    live, events, context.assumed = set(), [], []
    for name in range(context.count):
        events.append((rng.random() * 0.3, name, True))
    for _ in range(30):
        name, at = rng.randrange(2 * context.count), rng.random() * seconds
        events.append((at, name, False))
        events.append((at + rng.uniform(1.0, 12.0), name, True))
    sizes, known, tells = {}, {}, []
    for step in range(int(seconds * 10)):
        now = step / 10
        for _, name, starts in [e for e in events if now - 0.1 < e[0] <= now]:
            if starts:
                live.add(name)
                sizes[name] = fleet_size.FleetSize(10.0)
            else:
                live.discard(name)
                sizes.pop(name, None)
                known.pop(name, None)
            # News reach each of the others by themselves.
            for other in live:
                at = now + rng.random() * context.lag
                tells.append((at, other, frozenset(live)))
        for at, other, ids in tells:
            if now - 0.1 < at <= now and other in sizes:
                sizes[other].on_members(ids, now)
                known.setdefault(other, {}).update(dict.fromkeys(ids, now))
        for name, size in sizes.items():
            times = known.get(name, {}).values()
            used = sum(now - at < 10.0 for at in times)
            context.assumed.append((size.estimate(now), used, now))


@behave.then('none assumes fewer than those that were known in the last 10 s')
def then_none_fewer(context):
    wrong = [item for item in context.assumed if item[0] < item[1]]
    assert context.assumed and not wrong, wrong[:5]


@behave.given('{count:d} instances that each repeat as often as they may')
def given_retries(context, count):
    context.shares = [
        retry_token_bucket.RetryTokenBucket(
            0.2, 58, 10.0, random.Random(index)
        )
        for index in range(count)
    ]


@behave.when('each has {count:d} requests in 10 s, unevenly in time')
def when_requests(context, count):
    rng = random.Random(3)
    events = []
    for share in context.shares:
        for _ in range(3 * count):
            events.append((30 * rng.random() ** 2, rng.random(), share))
    context.requests, context.repeats = [], []
    for now, _, share in sorted(events, key=lambda event: event[:2]):
        share.on_request(now)
        context.requests.append(now)
        while share.take(1 / len(context.shares), now):
            context.repeats.append(now)


@behave.then('all of them together repeat at most 0.2 of the requests and 58')
def then_budget(context):
    assert context.repeats
    for begin in context.repeats:
        repeats = sum(begin <= at < begin + 10 for at in context.repeats)
        requests = max(
            sum(
                begin + shift <= at < begin + shift + 10
                for at in context.requests
            )
            for shift in (0, -5, -10)
        )
        assert repeats <= 0.2 * requests + 58, (begin, repeats, requests)


@behave.given(
    '{count:d} instances that send to a cold upstream as often as they may'
)
def given_cold(context, count):
    context.names = ['i%d' % index for index in range(count)]


@behave.when('the bound is {bound:g} requests a second')
def when_bound(context, bound):
    gates = {
        name: cold_start_limiter.ColdStartLimiter() for name in context.names
    }
    context.sent = []
    for step in range(500):
        now = step / 100
        for name in context.names:
            # One instance has not yet heard of a member that left.
            known = context.names
            if name == 'i3':
                known = context.names + ['gone']
            if name not in cold_start_limiter.senders('u1', known):
                continue
            if gates[name].admits(
                bound, cold_start_limiter.BUDGET_FRACTION, now
            ):
                gates[name].on_sent(now)
                context.sent.append(now)


def _cut_off(context, instances):
    # The senders hear nothing after 10 s; the others drop them when their
    # leases end.
    names = list(instances)
    cut = cold_start_limiter.senders('u1', names)
    rest = [name for name in names if name not in cut]
    for item in instances.values():
        item.on_members(dict.fromkeys(names, 'sul'), -20.0)
    for name in cut:
        instances[name].copy_age = lambda now: max(now - 10.0, 0.0)
    context.lists = [(12.5, name, rest) for name in rest]


def _start(context, instances):
    names = list(instances)
    rng = random.Random(4)
    context.lists = []
    for index, name in enumerate(names):
        some = rng.sample(names, index)
        context.lists.append((10.0, name, [name]))
        context.lists.append((10.5, name, some + [name]))
        context.lists.append((11.5, name, names))


COLD_EVENTS = {
    'both its senders are cut off': _cut_off,
    'all start and learn of each other only in 1.5 s': _start,
}


@behave.when('the bound is {bound:g} requests a second and {event}')
def when_bound_and(context, bound, event):
    instances = {
        name: front_values.steering(name, bound) for name in context.names
    }
    COLD_EVENTS[event](context, instances)
    entry = front_values.entry('u1', cold_s=30.0)
    for item in instances.values():
        item.on_entries([entry], 10.0)
    context.sent = []
    for step in range(1000, 1800):
        now = step / 100
        for at, name, members in context.lists:
            if now - 0.01 < at <= now:
                regions = dict.fromkeys(members, 'sul')
                instances[name].on_members(regions, now)
        for item in instances.values():
            _send_cold(context, item, now)


def _send_cold(context, instance, now):
    route = front_values.route()
    found = instance.pick(route, 'loja', 'k', 'r', (), None, 9.0, now)
    if isinstance(found, steering.Choice):
        instance.on_sent(found, now)
        found.load.on_end()
        context.sent.append(now)


@behave.then(
    'at most {most:d} requests arrive in any second and some do in each'
)
def then_cold(context, most):
    for begin in context.sent:
        count = sum(begin <= at < begin + 1 for at in context.sent)
        assert count <= most, count
    last = int(max(context.sent))
    assert last - min(context.sent) >= 4
    for second in range(int(min(context.sent)), last):
        assert any(second <= at < second + 1 for at in context.sent)


@behave.given('{count:d} instances of a region that know each other')
def given_readers(context, count):
    rooms = {'i%d' % index: float(index % 3) for index in range(count)}
    context.ranks = {name: read_schedule.rank(name, rooms) for name in rooms}
    # Guards against news that leave a region over its thinnest link.
    first = min(context.ranks, key=context.ranks.get)
    assert rooms[first] == max(rooms.values())
    assert sorted(context.ranks.values()) == list(range(count))


def _play_reading(context, silent):
    # Each read and each message takes 50 ms; ticks come every 100 ms.
    ages = {name: 0.0 for name in context.ranks}
    reads, oldest = collections.Counter(), 0.0
    due = []
    for step in range(200):
        now = step / 10
        for at, reader in [item for item in due if item[0] <= now]:
            due.remove((at, reader))
            for name in ages:
                ages[name] = max(ages[name], at - 0.05)
        for name, rank in context.ranks.items():
            if rank in silent:
                continue
            oldest = max(oldest, now - ages[name])
            pending = any(reader == name for _, reader in due)
            if (
                now - ages[name] >= read_schedule.threshold_s(rank)
                and not pending
            ):
                reads[rank] += 1
                due.append((now + 0.1, name))
    return reads, oldest


@behave.when('all hear the first reader')
def when_all_hear(context):
    context.reads, context.oldest = _play_reading(context, ())


@behave.then('only the first one reads, at most twice a second')
def then_first_reads(context):
    assert set(context.reads) == {0}, context.reads
    assert context.reads[0] <= 40


@behave.when('the first two fall silent')
def when_silent(context):
    context.reads, context.oldest = _play_reading(context, (0, 1))


@behave.then('the copies of the others are never older than {seconds:g} s')
def then_fresh(context, seconds):
    assert context.reads
    assert context.oldest <= seconds, context.oldest


@behave.given('histories of a store that are told late, twice and in parts')
def given_histories(context):
    keys = st.sampled_from(['op/a', 'servers/a', 'servers/b', 'members/a'])
    history = st.lists(st.tuples(keys, st.booleans()), max_size=12)
    parts = st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)))

    @hypothesis.settings(
        database=None, derandomize=True, max_examples=400, deadline=None
    )
    @hypothesis.given(history, parts)
    def play(changes, told):
        events = [
            store_replica.Item(key, None if gone else b'%d' % index, index + 1)
            for index, (key, gone) in enumerate(changes)
        ]
        copy = store_replica.StoreReplica(('none/',), 1.0, 1.0)
        copy.replace([], 0, 0.0, 0.0)
        for low, high in told:
            low, high = sorted((min(low, len(events)), min(high, len(events))))
            copy.apply(events[low:high], low, high, 0.0, 0.0)
            truth = {}
            for item in events[: copy.revision]:
                truth[item.key] = item
                if item.value is None:
                    del truth[item.key]
            assert copy.items == truth, (copy.items, truth)

    context.play = play


@behave.then("the copy equals the store's keys at its revision")
def then_equal(context):
    context.play()


@behave.given('copies that read a store at any time and tell what is new')
def given_told(context):
    @hypothesis.settings(
        database=None, derandomize=True, max_examples=800, deadline=None
    )
    @hypothesis.given(st.integers(0, 10**9), st.integers(1, 80))
    def play(seed, steps):
        told = told_copies.ToldCopies(seed)
        for _ in range(steps):
            told.step()
            for copy in told.copies:
                found = told_copies.states(copy.items)
                truth = told.truth(copy.revision)
                assert found == truth, (copy.revision, found, truth)

    context.play = play


@behave.then("each copy has the store's states at its revision")
def then_states(context):
    context.play()


@behave.given('a reader with a read sent at {now:g} s')
def given_reader(context, now):
    context.lone = told_copies.LoneReader()
    context.lone.told.clear()
    context.lone.send_read(now)


@behave.when(
    'a peer tells revision {told:d} of {as_of:g} s before the answer with'
    ' revision {read:d}'
)
def when_overtaken(context, told, as_of, read):
    lone = context.lone
    lone.now = as_of + 0.1
    news = [_item('servers/b', told)]
    assert lone.reader.apply_peer_changes(news, 50, told, as_of, 0.0)
    lone.answer([_item('servers/a', read)], read)


@behave.then(
    "the reader's news have revision {revision:d} and are of {as_of:g} s"
)
def then_news(context, revision, as_of):
    events, before, told, told_as_of = context.lone.told[0]
    assert (before, told) == (50, revision), (before, told)
    assert told_as_of == as_of, told_as_of


@behave.when('it reads that "{key}" is back as it was')
def when_back(context, key):
    known = context.first.items[key]
    event = known._replace(revision=11)
    context.news = context.first.news([event], 9, told_copies.is_same)


@behave.then('it tells "{key}"')
def then_tells(context, key):
    assert [item.key for item in context.news] == [key]


def _item(key, revision, value=b'x'):
    return store_replica.Item(key, value, revision)


@behave.given('a copy that keeps the lapsed key "{key}" after an outage')
def given_lapsed(context, key):
    context.first = store_replica.StoreReplica(('servers/',), 2.2, 2.4)
    context.first.replace([_item(key, 3), _item('op/a', 4)], 4, 0.0, 0.0)
    context.first.replace([_item('op/a', 4)], 9, 10.0, 10.0)
    assert key in context.first.items


@behave.given('a copy of a peer that saw "{key}" deleted')
def given_peer_copy(context, key):
    context.peer = store_replica.StoreReplica(('servers/',), 2.2, 2.4)
    context.peer.replace([_item(key, 3), _item('op/a', 4)], 4, 0.0, 0.0)
    context.peer.apply([_item(key, 6, None)], 4, 6, 1.0, 1.0)


@behave.when("the peer takes the first copy's list")
def when_takes(context):
    first = context.first
    # The list as sent, and one as an instance of an older version sends it.
    context.peer.replace(first.without_lapsed(), first.revision, 10.0, 10.1)
    context.peer.revision = 6
    context.peer.replace(
        list(first.items.values()), first.revision, 10.0, 10.1
    )


@behave.then('the peer does not know "{key}"')
def then_unknown(context, key):
    assert key not in context.peer.items


@behave.then('after 2.2 s the first copy does not either')
def then_settled(context):
    assert context.first.drop_lapsed(12.2) == {'servers/a'}
    assert 'servers/a' not in context.first.items


@behave.when('a peer tells that its copy has been fresh for 2.2 s')
def when_steady(context):
    # A peer whose copy is back for a moment only proves nothing.
    context.first.on_fresh_peer(10.1)
    assert not context.first.drop_lapsed(10.5)
    context.first.on_fresh_peer(8.3)


@behave.then('the lapsed key "{key}" is dropped at once')
def then_dropped(context, key):
    assert context.first.drop_lapsed(10.5) == {key}


@behave.given('an upstream that started anew under its id')
def given_reborn(context):
    context.view = upstream_view.UpstreamView()
    context.view.on_list([front_values.entry('u1', born_ms=100)], 0.0)
    context.view.on_list([front_values.entry('u1', born_ms=200, port=81)], 1.0)


@behave.when('a report of its former start arrives late')
def when_former(context):
    context.view.on_list([front_values.entry('u1', born_ms=100, seq=900)], 2.0)


@behave.then('the newer one stays in use')
def then_newer(context):
    found = context.view.upstreams['u1']
    assert found.entry.born_ms == 200 and found.entry.port == 81


@behave.given('an upstream that reported that it is leaving')
def given_leaving(context):
    context.view = upstream_view.UpstreamView()
    context.view.on_list([front_values.entry('u1', seq=1)], 0.0)
    context.view.on_list(
        [front_values.entry('u1', seq=2, state='draining')], 1.0
    )


@behave.when('an older report without the drain is listed again')
def when_older(context):
    context.view.on_list([front_values.entry('u1', seq=1)], 2.0)


@behave.then('it stays out of use, also after its entry went and came back')
def then_out(context):
    assert context.view.upstreams['u1'].draining
    context.view.on_list([], 3.0)
    context.view.on_list([front_values.entry('u1', seq=1)], 4.0)
    found = context.view.upstreams.get('u1')
    assert found is None or found.draining


@behave.given('an upstream with {slots:d} slots that tells no load')
def given_silent_load(context, slots):
    context.load, context.now = upstream_load.UpstreamLoad(slots, 0.5), 0.0


@behave.when('it rejects {count:d} request as full')
@behave.when('it rejects {count:d} more requests as full')
def when_full(context, count):
    for _ in range(count):
        context.load.on_sent()
        context.load.on_full(context.now)
        context.load.on_end()


def _has_room(context, seconds):
    room = context.load.slots * (1 + steering.QUEUE_FACTOR)
    return context.load.load(context.now + seconds) + 1 <= room


@behave.then('it has room for a request {seconds:g} s later')
@behave.then('it has room again {seconds:g} s later')
def then_room(context, seconds):
    assert _has_room(context, seconds)


@behave.then('it has no room for a request {seconds:g} s later')
def then_no_room(context, seconds):
    assert not _has_room(context, seconds)


@behave.given(
    "messages of 100 s and 101 s by the sender's clock took {seconds:g} s"
)
def given_messages(context, seconds):
    context.delay = transit_delay.TransitDelay()
    for sent_at in (100.0, 101.0):
        context.delay.on_message(sent_at, sent_at - 100.0 + seconds)


@behave.when("one of {sent:g} s by the sender's clock arrives at {now:g} s")
def when_message(context, sent, now):
    context.seconds = context.delay.on_message(sent, now)


@behave.then('it was under way for {seconds:g} s beyond the usual')
def then_delayed(context, seconds):
    assert abs(context.seconds - seconds) < 1e-6, context.seconds


@behave.given('upstreams "u1" and "u2" of one service that got requests')
def given_two_upstreams(context):
    context.steering = front_values.steering('u1', 2.0)
    entries = [front_values.entry(name) for name in ('u1', 'u2')]
    context.steering.on_entries(entries, 1.0)
    _picked(context)


def _picked(context):
    route = front_values.route()
    return {
        context.steering.pick(
            route, 'loja', 'k%d' % number, 'r', (), None, 2.0, 2.0
        ).upstream.entry.id
        for number in range(20)
    }


@behave.when('the entry of "u1" names another service')
def when_service(context):
    entries = [
        front_values.entry('u1', service='oficina', seq=2),
        front_values.entry('u2'),
    ]
    context.steering.on_entries(entries, 2.0)


@behave.then('requests of the first service go to "u2" only')
def then_second(context):
    assert _picked(context) == {'u2'}
