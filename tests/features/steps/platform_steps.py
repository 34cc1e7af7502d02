"""Steps for the platform's client and stand-in."""

import behave
from builders import platform_world

from jasminehold import errors
from jasminehold.platform import http
from jasminehold.standin import registration


@behave.given('an embedded platform')
def given_platform(context):
    context.world = platform_world.World()


@behave.then(
    'compare-and-swap refuses a stale version and reports the current one'
)
def then_cas(context):
    call = context.world.call
    first, exc = call('put', 'a/x y', b'\x00\xff', 0)
    assert exc is None and first == context.world.standin.state.revision
    _, exc = call('put', 'a/x y', b'2', 0)
    assert isinstance(exc, errors.VersionMismatch) and exc.version == first
    _, exc = call('put', 'absent', b'2', first)
    assert isinstance(exc, errors.VersionMismatch) and exc.version == 0
    item, exc = call('get', 'a/x y')
    assert (item.value, item.version) == (b'\x00\xff', first)
    assert call('delete', 'a/x y', first)[1] is None
    assert isinstance(call('get', 'a/x y')[1], errors.KeyNotFound)
    assert call('put', 'a/x y', b'3', 0)[0] == first + 2
    _, exc = call('put', 'big', bytes(1_000_001), 0)
    assert isinstance(exc, errors.PlatformUnavailable)
    assert call('put', 'big', bytes(1_000_000), 0)[0] == first + 3


@behave.then('a list is paged and a watch returns later changes and deletions')
def then_list(context):
    call = context.world.call
    for index in range(4):
        assert call('put', 'p/%d' % index, bytes(300_000), 0)[1] is None
    page, _ = call('list', 'p/', '')
    assert page.more and len(page.items) == 2
    page, _ = call('list', 'p/', page.items[-1].key)
    assert not page.more and [i.key for i in page.items] == ['p/2', 'p/3']
    answers = []
    world = context.world
    world.client.watch('p/', page.revision, 5, lambda *a: answers.append(a))
    world.run_until(lambda: world.standin.stats()['watches'] == 1)
    call('put', 'q', b'', 0)
    assert not answers
    call('delete', 'p/2', page.items[0].version)
    world.run_until(lambda: answers)
    events = answers[0][0].events
    assert [(e.key, e.deleted) for e in events] == [('p/2', True)], events
    assert world.standin.counts['watch'] == 1


@behave.then('keys end with their lease and a compacted watch says so')
def then_lease(context):
    call = context.world.call
    # Four tenths of a second left margins of 0.15 s, which a busy machine
    # used up once.
    lease, _ = call('grant', 1.6)
    assert call('put', 'l', b'', 0, lease=lease)[1] is None
    context.world.run_for(1.0)
    assert call('renew', lease)[1] is None
    context.world.run_for(1.0)
    assert call('get', 'l')[1] is None
    context.world.run_for(1.6)
    assert isinstance(call('get', 'l')[1], errors.KeyNotFound)
    assert isinstance(call('renew', lease)[1], errors.KeyNotFound)
    store = context.world.standin.state
    for _ in range(10_001):
        store.put('c', b'', store.get('c').version if store.get('c') else 0)
    _, exc = call('watch', 'p/', 1, 1)
    assert isinstance(exc, errors.Compacted), exc


@behave.when('the platform is down by "{how}"')
def when_down(context, how):
    context.world.standin.set_faults(mode=how)


@behave.when('the next write loses its reply')
def when_lose(context):
    context.world.standin.set_faults(lose_writes=1)


@behave.then('a put fails with {name} and {effect}')
def then_put(context, name, effect):
    world = context.world
    _, exc = world.call('put', 'k', b'v', 0)
    assert type(exc).__name__ == name, exc
    world.standin.set_faults()
    world.run_for(0.3)
    item, exc = world.call('get', 'k')
    if effect == 'has no effect':
        assert isinstance(exc, errors.KeyNotFound), (item, exc)
    else:
        assert item.version == world.standin.state.revision
        assert world.standin.counts['txn'] == 1


@behave.when('the platform refuses for 2 s while 200 calls a second are made')
def when_outage(context):
    world = context.world
    assert world.call('put', 'k', b'v', 0)[1] is None
    context.done = []
    world.standin.set_faults(mode='refuse')
    pool = world.client._stores[0].pool
    context.before = pool.connects

    def more(left):
        world.client.get('k', lambda *answer: context.done.append(answer))
        if left:
            world.loop.call_later(0.005, more, left - 1)

    more(400)
    world.run_for(2.0)
    context.tried = pool.connects - context.before
    world.standin.set_faults()
    world.run_for(3.0)


@behave.then('few connections were tried and the platform is used again')
def then_bounded(context):
    world = context.world
    # Back-off doubles from at least 0.05 s: 5 attempts reach 1.5 s.
    assert context.tried <= 8, context.tried
    assert world.standin.stats()['connections'] <= http.MAX_CONNS
    assert world.call('get', 'k')[1] is None
    assert len(context.done) == 401, len(context.done)


@behave.then('a registered instance appears and disappears after the lag')
def then_instances(context):
    world = context.world
    world.standin.set_faults(stale_s=0.3)
    entry = {'id': 'i1', 'state': 'live'}
    registered = registration.Registration(
        world.loop, ('127.0.0.1', world.standin.port), entry
    )
    world.run_for(0.1)
    assert world.call('instances')[0] == []
    world.run_for(0.5)
    assert world.call('instances')[0] == [entry]
    world.standin.set_faults(mode='refuse', stale_s=0.3)
    world.run_for(0.5)
    world.standin.set_faults(stale_s=0.3)
    world.run_for(1.0)
    assert world.call('instances')[0] == [entry], 'a running one was dropped'
    world.run_for(2.5)
    registered.close()
    world.run_for(0.1)
    assert world.call('instances')[0] == [entry]
    world.run_for(0.5)
    assert world.call('instances')[0] == []


@behave.when(
    'two writes on the same condition are lost and run {seconds:g} s late'
)
def when_late(context, seconds):
    world = context.world
    world.standin.set_faults(lose_writes=2, late_s=seconds)
    for value in (b'1', b'2'):
        _, exc = world.call('put', 'k', value, 0)
        assert isinstance(exc, errors.OutcomeUnknown), exc
    world.standin.set_faults()
    assert isinstance(world.call('get', 'k')[1], errors.KeyNotFound)
    world.run_for(2 * seconds)


@behave.then('only one of them took effect')
def then_one_late(context):
    item, exc = context.world.call('get', 'k')
    assert exc is None and item.value == b'1', (item, exc)
    assert item.version == context.world.standin.state.revision


@behave.when(
    'a write is lost and runs {seconds:g} s late, after its lease has ended'
)
def when_late_lease(context, seconds):
    world = context.world
    lease, _ = world.call('grant', 10.0)
    world.standin.set_faults(lose_writes=1, late_s=seconds)
    _, exc = world.call('put', 'k', b'1', 0, lease=lease)
    assert isinstance(exc, errors.OutcomeUnknown), exc
    world.standin.set_faults()
    assert world.call('revoke', lease)[1] is None
    world.run_for(2 * seconds)


@behave.then('it took no effect')
def then_none_late(context):
    _, exc = context.world.call('get', 'k')
    assert isinstance(exc, errors.KeyNotFound), exc


@behave.when('the list holds an entry with broken bytes beside a good one')
def when_broken_entry(context):
    standin = context.world.standin
    standin.set_faults(stale_s=0.1)
    standin.put('instances/bad', b'\xff\x00')
    standin.put('instances/list', [1])
    standin.put('instances/good', {'id': 'good'})
    context.world.run_for(0.3)


@behave.then('the list has the good one only')
def then_good_only(context):
    assert context.world.call('instances')[0] == [{'id': 'good'}]
