"""Steps for a store that comes back from an older copy."""

import time
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies as st

from jasminehold.decisions import store_replica
from jasminehold.front import app as front_app
from tests.builders import front_rig
from tests.builders import store_drills

UPSTREAMS = ('u1', 'u2', 'u3')
MEMBERS = 'jasminehold/members/'
SETTLED_KEY = 'jasminehold/settled-era'
AWAY_S = 0.3


@behave.given('a fleet of four instances')
def given_fleet(context):
    context.rig = front_rig.FrontRig(UPSTREAMS)
    context.add_cleanup(context.rig.stop)
    context.rig.start_fleet()


@behave.given("a copy of the store's data")
def given_copy(context):
    context.kept = context.rig.call(context.rig.store.copy_state)


@behave.given(
    'a fleet of four instances whose store goes back by {count:d} revisions'
)
def given_drilled(context, count):
    given_fleet(context)
    given_copy(context)
    _go_on(context, count)
    # All have heard of the revisions that get lost.
    time.sleep(1.2)
    _drill(context)


def _go_on(context, count):
    rig = context.rig
    for number in range(count):
        name = UPSTREAMS[number % len(UPSTREAMS)]
        rig.put('servers/' + name, _entry(rig, name, Seq=number + 2))


def _entry(rig, name, **changes):
    return rig.upstreams[name].entry('loja', 'sul-a', **changes)


def _drill(context):
    rig = context.rig
    rig.call(rig.store.set_faults, mode='refuse')
    time.sleep(AWAY_S)

    def come_back():
        rig.store.go_back(context.kept)
        rig.store.set_faults()
        rig.store.counts.clear()

    rig.call(come_back)
    context.back_at = time.monotonic()


@behave.when('the operator and the upstreams write theirs again')
def when_again(context):
    rig = context.rig
    for name in UPSTREAMS:
        rig.put('servers/' + name, _entry(rig, name, Seq=400))
    rules = list(front_rig.RULES)
    rig.put('op/config', front_rig.configuration(1, rules))


@behave.when('{seconds:g} s later a new version adds a route')
def when_route(context, seconds):
    time.sleep(seconds)
    rules = [*front_rig.RULES, front_rig.route('new', '/new/', 'loja')]
    context.rig.put('op/config', front_rig.configuration(2, rules))


@behave.when(
    'the store goes back again {seconds:g} s later during an outage of'
    ' {outage:g} s'
)
def when_again_back(context, seconds, outage):
    rig = context.rig
    time.sleep(seconds)
    rig.call(rig.store.set_faults, mode='silent')
    time.sleep(outage / 2)
    rig.call(rig.store.go_back, context.kept)
    time.sleep(outage / 2)
    rig.call(rig.store.set_faults)


@behave.then('all instances serve the new route within {seconds:g} s')
def then_new_route(context, seconds):
    rig = context.rig
    end = time.monotonic() + seconds
    left = set(rig.apps)
    while left and time.monotonic() < end:
        left = {n for n in left if rig.ask('/new/a', name=n).status != 200}
    assert not left, left


@behave.then('all instances know the same upstreams and members as the store')
def then_same(context):
    rig = context.rig

    def same():
        found = rig.call(rig.store.state.list, '', '')[0]
        keys = {key for key, _ in found}
        servers = {key[8:] for key in keys if key.startswith('servers/')}
        members = {
            key[len(MEMBERS) :] for key in keys if key.startswith(MEMBERS)
        }
        return members == set(rig.apps) and all(
            set(app.steering.view.upstreams) == servers
            and set(app.steering.instances) == members
            for app in rig.apps.values()
        )

    rig.wait(same, 'the same upstreams and members')


@behave.then('all members are in the store again within {seconds:g} s')
def then_members(context, seconds):
    rig = context.rig

    def registered():
        eras = {lease for era, lease in rig.store.grants if era == 2}
        return len(eras) >= len(rig.apps) and len(
            rig.call(rig.store.state.list, MEMBERS, '')[0]
        ) == len(rig.apps)

    end = context.back_at + seconds
    while time.monotonic() < end and not registered():
        time.sleep(0.02)
    assert registered(), rig.store.grants
    context.calls = dict(rig.store.counts)


@behave.then('no lease was used outside the era in which it was granted')
def then_leases(context):
    time.sleep(4.5)
    store = context.rig.store
    assert [call for call in store.lease_calls if call[0] == 2]
    wrong = [call for call in store.lease_calls if call not in store.grants]
    assert not wrong, wrong


@behave.then('they made at most {most:d} calls each for that')
def then_calls(context, most):
    total = sum(context.calls.values())
    assert total <= most * len(context.rig.apps), context.calls


@behave.when('an instance is told to stop at once')
def when_stop(context):
    app = context.rig.apps['i0']
    context.rig.on_loop(app.loop, app.leave)


@behave.when('the entry of "{name}" is removed')
def when_removed(context, name):
    context.rig.call(context.rig.store.delete, 'servers/' + name)


@behave.when(
    'version {number:d} without the route "browse" is in force everywhere'
)
def when_version(context, number):
    rig = context.rig
    rules = [rule for rule in front_rig.RULES if rule['Name'] == 'order']
    rig.put('op/config', front_rig.configuration(number, rules))
    context.version = number
    rig.wait(
        lambda: all(
            app.steering.table.version == number
            and app.steering.evacuated == {'sul-b'}
            and app.steering.view.upstreams['u1'].draining
            and 'u2' not in app.steering.view.upstreams
            for app in rig.apps.values()
        ),
        'the version, the evacuation and the drain',
    )


@behave.when('the store goes back to that copy')
def when_back(context):
    _drill(context)


@behave.then(
    'for {seconds:g} s no instance uses "u1", "u2" or "sul-b" or an older'
    ' version'
)
def then_in_force(context, seconds):
    rig = context.rig
    rig.wait(
        lambda: all(app._reader.replica.era == 2 for app in rig.apps.values()),
        'the new era',
    )
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name, app in rig.apps.items():
            steering = app.steering
            assert steering.table.version == context.version, name
            assert steering.evacuated == {'sul-b'}, name
            assert steering.view.upstreams['u1'].draining, name
            assert 'u2' not in steering.view.upstreams, name
        time.sleep(0.05)


@behave.when('the operator evacuates "sul-b" and all know it')
def when_evacuated(context):
    rig = context.rig
    rig.put('op/evacuate/sul-b', {})
    rig.wait(
        lambda: all(app.steering.evacuated for app in rig.apps.values()),
        'the evacuation',
    )


@behave.when(
    'the store goes back to a copy with it and the operator takes it back'
)
def when_back_and_deleted(context):
    rig = context.rig
    given_copy(context)
    _drill(context)
    rig.call(rig.store.delete, 'op/evacuate/sul-b')


@behave.then('no instance takes "sul-b" for evacuated within {seconds:g} s')
def then_taken_back(context, seconds):
    rig = context.rig
    end = time.monotonic() + seconds
    left = set(rig.apps)
    while left and time.monotonic() < end:
        left = {n for n in left if rig.apps[n].steering.evacuated}
        time.sleep(0.02)
    assert not left, left


@behave.given(
    'stores that go back at any time, and copies that hear of it in parts'
)
def given_drilled_stores(context):
    @hypothesis.settings(
        database=None, derandomize=True, max_examples=600, deadline=None
    )
    @hypothesis.given(st.integers(0, 10**9), st.integers(1, 60))
    def play(seed, steps):
        store = store_drills.DrilledStore(seed)
        for _ in range(steps):
            store.step()
        store.settle()
        for one in store.copies:
            found = {key: item.value for key, item in one.items.items()}
            assert found == store.truth(), (found, store.truth())

    context.play = play


@behave.then("all copies end as the store's keys once all is written again")
def then_agree(context):
    context.play()


@behave.given('a copy of era {era:d} at revision {revision:d}')
def given_era(context, era, revision):
    context.copy = store_drills.replica()
    items = [store_drills.item('servers/a', 40)]
    context.copy.replace(items, revision, 1.0, 1.0, era)


@behave.when(
    'it hears changes, differences and lists of era {era:d} at revision'
    ' {revision:d}'
)
def when_former(context, era, revision):
    copy = context.copy
    old = [store_drills.item('servers/a', 90, None)]
    copy.apply(old, 50, revision, 2.0, 2.0, era)
    copy.apply_differences((2, 50), old, (era, revision), 2.0, 2.0)
    copy.replace([], revision, 2.0, 2.0, era)


@behave.then('it is as before')
def then_as_before(context):
    copy = context.copy
    assert set(copy.items) == {'servers/a'}
    assert (copy.era, copy.revision, copy.as_of) == (2, 50, 1.0)


@behave.given('a copy of era 1 that saw "{key}" deleted')
def given_deleted(context, key):
    context.copy = store_replica.StoreReplica(
        ('servers/',), 2.2, 2.4, ('jasminehold/quarantine/',)
    )
    context.copy.replace([store_drills.item(key, 5)], 5, 1.0, 1.0, 1)
    context.copy.apply([store_drills.item(key, 6, None)], 5, 6, 2.0, 2.0, 1)
    assert key not in context.copy.items


@behave.when('era 2 begins with "{key}" in the store')
def when_begins(context, key):
    context.copy.replace([store_drills.item(key, 5)], 5, 3.0, 3.0, 2)


@behave.then('the copy does not know "{key}", also 10 s later')
def then_unknown(context, key):
    assert key not in context.copy.items
    context.copy.drop_lapsed(13.0)
    assert key not in context.copy.accept_leased(13.0)
    assert key not in context.copy.items


@behave.when('era 2 has "{key}" written again')
def when_written(context, key):
    item = store_drills.item(key, 6)
    context.copy.apply([item], 5, 6, 14.0, 14.0, 2)


@behave.then('the copy knows "{key}"')
def then_known(context, key):
    assert key in context.copy.items


QUARANTINE = 'jasminehold/quarantine/' + 'ab' * 16


def _remove_quarantine(context):
    rig = context.rig
    rig.put(QUARANTINE, {'left_s': 60.0})
    rig.wait(lambda: not _lacks_quarantine(rig.apps['i1']), 'the quarantine')
    given_copy(context)
    rig.call(rig.store.delete, QUARANTINE)


def _lacks_quarantine(app):
    return QUARANTINE not in app._reader.replica.items


# By change: how it is made, and how an instance shows that it knows it.
CHANGES = {
    'a new route': (
        lambda context: when_route(context, 0),
        lambda app: app.steering.table.match('shop.example', '/new/a'),
    ),
    'an evacuation': (
        lambda context: context.rig.put('op/evacuate/sul-b', {}),
        lambda app: app.steering.evacuated,
    ),
    'the leaving of an upstream': (
        lambda context: context.rig.put(
            'servers/u1', _entry(context.rig, 'u1', State='draining')
        ),
        lambda app: app.steering.view.upstreams['u1'].draining,
    ),
    'the removal of an upstream': (
        lambda context: when_removed(context, 'u2'),
        lambda app: 'u2' not in app.steering.view.upstreams,
    ),
    'the removal of a quarantine': (_remove_quarantine, _lacks_quarantine),
}


@behave.when('{change} is known everywhere')
def when_known(context, change):
    make, known = CHANGES[change]
    make(context)
    apps = context.rig.apps.values()
    context.rig.wait(lambda: all(known(app) for app in apps), change)


@behave.when('the store goes back to that copy while "{name}" restarts')
def when_back_restarted(context, name):
    _restart_in_drill(context, [name])


@behave.when('the store goes back to that copy while all instances restart')
def when_all_restarted(context):
    _restart_in_drill(context, list(context.rig.apps))


def _restart_in_drill(context, names):
    rig = context.rig
    places = {name: rig.apps[name].cfg.place for name in names}
    for name in names:
        rig.stop_instance(name)
    _drill(context)
    for name in names:
        seeds = [app.cfg.peer_listen for app in rig.apps.values()][:2]
        rig.start(name, places[name], seeds)


@behave.then('for {seconds:g} s "{name}" answers "not run" or knows {change}')
def then_known_at_start(context, seconds, name, change):
    rig = context.rig
    app = rig.apps[name]
    known = CHANGES[change][1]
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        in_force = app.steering.view.upstreams
        assert not in_force or known(app), change
        # Without it in force the answer promises that nothing ran.
        path = '/new/a' if change == 'a new route' else '/order/a'
        reply = rig.ask(path, name=name)
        assert reply.status == 200 or _is_not_run(reply), reply
        time.sleep(0.02)
    assert app.steering.view.upstreams


def _is_not_run(reply):
    return reply.status == 503 and 0 < float(reply.headers['retry-after']) <= 5


@behave.then(
    'for {seconds:g} s all instances answer "not run" on the new route'
)
def then_not_run(context, seconds):
    rig = context.rig
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in rig.apps:
            reply = rig.ask('/new/a', name=name)
            assert _is_not_run(reply), (name, reply)
        time.sleep(0.02)
    for name in rig.apps:
        assert rig.ask('/browse/a', name=name).status == 200, name


@behave.then('all instances deny a route that never was within {seconds:g} s')
def then_denied(context, seconds):
    rig = context.rig
    end = time.monotonic() + seconds
    left = set(rig.apps)
    while left and time.monotonic() < end:
        left = {n for n in left if rig.ask('/never/a', name=n).status != 404}
        time.sleep(0.02)
    assert not left, left


@behave.given('it has held its copy for {seconds:g} s')
def given_held(context, seconds):
    time.sleep(seconds)


@behave.when('"{name}" restarts')
def when_restarted(context, name):
    rig = context.rig
    place = rig.apps[name].cfg.place
    rig.stop_instance(name)
    seeds = [app.cfg.peer_listen for app in rig.apps.values()][:2]
    rig.start(name, place, seeds)


@behave.then(
    '"{name}" serves and denies a route that never was within {seconds:g} s'
)
def then_certain(context, name, seconds):
    end = time.monotonic() + seconds
    found = None
    while found != [200, 404] and time.monotonic() < end:
        found = [
            context.rig.ask(path, name=name).status
            for path in ('/browse/a', '/never/a')
        ]
        time.sleep(0.02)
    assert found == [200, 404], found


def _started(now, peers=()):
    copy = store_drills.replica()
    copy.replace([store_drills.item('op/config', 5)], 9, now, now, 1)
    for peer in peers:
        copy.merge_kept(peer.kept(now), now)
    return copy


def _renewed(copy, now, era):
    copy.replace([store_drills.item('op/config', 5)], 9, now, now, era)


# What happens after a copy was held: seconds without the store, seconds
# with it after that (None: none), and the era then.
HELD = {
    'without a word from a peer': (0, 0, 1),
    'confirmed by an older one': (0, 0, 1),
    'then without the store for 3 s': (3, None, 1),
    'then in a new era for 2 s': (0, 2, 2),
    'then in a new era after 3 s': (3, 0, 2),
}


@behave.given('a copy that has been held for {seconds:g} s, {how}')
def given_copy_held(context, seconds, how):
    away_s, after_s, era = HELD[how]
    older = [_started(0.0)] if how.startswith('confirmed') else []
    for copy in older:
        _renewed(copy, 10.0, 1)
    context.copy = _started(10.0, older)
    until = 10.0 + seconds
    _renewed(context.copy, until, 1)
    context.now = until + away_s
    if after_s is not None:
        _renewed(context.copy, context.now, era)
        context.now += after_s


@behave.when('another copy starts and hears from it')
def when_other(context):
    context.other = store_drills.replica()
    items = [store_drills.item('op/config', 5)]
    era, now = context.copy.era, context.now
    context.other.replace(items, 9, now, now, era)
    context.other.merge_kept(context.copy.kept(now), now)


@behave.then('the other copy is {confirmed}')
def then_confirmed(context, confirmed):
    found = context.other.is_confirmed(context.now)
    assert found == (confirmed == 'confirmed')


@behave.given('a copy of era 1 that knows "{key}"')
def given_knows(context, key):
    context.key = key
    context.copy = store_drills.replica()
    context.copy.replace([store_drills.item(key, 5)], 5, 1.0, 1.0, 1)


@behave.when('era 2 begins without it and is read again {seconds:g} s later')
def when_listed_again(context, seconds):
    for now in (2.0, 2.0 + seconds):
        context.copy.replace([], 4, now, now, 2)
        context.copy.drop_lapsed(now)


@behave.then('not any more {seconds:g} s after the era began')
def then_dropped(context, seconds):
    context.copy.drop_lapsed(2.0 + seconds)
    assert context.key not in context.copy.items


@behave.given(
    'a copy that has been held for {seconds:g} s without the store, and a new'
    ' era'
)
def given_copy_behind(context, seconds):
    context.copy = _started(10.0)
    context.now = 10.0 + seconds
    context.listed = [
        store_drills.item('op/config', 5),
        store_drills.item('servers/late', 8),
    ]
    context.copy.replace(context.listed, 9, context.now, context.now, 2)


@behave.then('the other copy still has all that it read')
def then_has_all(context):
    other = store_drills.replica()
    other.replace(context.listed, 9, context.now, context.now, 2)
    other.merge_kept(context.copy.kept(context.now), context.now)
    assert set(other.items) == {item.key for item in context.listed}


@behave.then(
    'neither denies what it lacks before {seconds:g} s of the era have passed'
)
def then_no_denial(context, seconds):
    begun_at = context.now - 2
    for copy in (context.copy, context.other):
        assert not copy.may_deny(begun_at + seconds - 0.1)
        assert copy.may_deny(begun_at + seconds)


@behave.when('all instances start at once')
def when_all_start(context):
    rig = context.rig
    for name in list(rig.apps):
        rig.stop_instance(name)
    with mock.patch.object(front_app, '_log') as log:
        context.names = rig.start_fleet()
        rig.wait(lambda: len(_held_s(log)) == len(context.names), 'all copies')
    context.held_s = _held_s(log)


def _held_s(log):
    return [
        call.kwargs['after_s']
        for call in list(log.call_args_list)
        if call.args[0] == 'first copy in force'
    ]


@behave.then('each has its first list in force within {seconds:g} s')
def then_lists_in_force(context, seconds):
    assert max(context.held_s) <= seconds, context.held_s


@behave.given('a first list of era {era:d} that says {says}')
def given_first_list(context, era, says):
    items = [store_drills.item('op/config', 5)]
    for number in (2, 3):
        if 'era %d' % number in says:
            value = store_replica.settled_value(number)
            items.append(store_drills.item(SETTLED_KEY, 6, value))
    context.copy = store_drills.replica()
    context.copy.replace(items, 9, 10.0, 10.0, era)


@behave.then('it waits for {seconds:g} s')
def then_waits(context, seconds):
    assert abs(context.copy.in_force_in_s(10.0) - seconds) < 1e-6
