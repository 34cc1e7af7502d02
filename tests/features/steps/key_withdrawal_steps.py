"""Steps for keys that were withdrawn; no sockets, no clocks."""

import behave
import hypothesis
from hypothesis import strategies as st

from jasminehold.decisions import transit_delay
from tests.builders import withdrawal_world

FIRST_S = 8.0
SEEDS = range(12)
# Message of process 1: sent at 50 s by its clock, read at 1,008 s.
SENT_AT = 50.0
READ_AT = 1008.0


@behave.given(
    'instances, links and a store that fail, stop and go back at random'
)
def given_random(context):
    context.accepted = 0

    @hypothesis.settings(
        database=None, derandomize=True, max_examples=150, deadline=None
    )
    @hypothesis.given(st.integers(0, 10**9))
    def play(seed):
        world = withdrawal_world.World(seed)
        world.run(FIRST_S)
        for _ in range(60):
            world.step()
        context.accepted += _accepted(world)
        assert not world.late, (seed, world.late[:5])

    context.play = play


def _accepted(world):
    return sum(item.accepted for item in world.machines.values())


@behave.then('no request with a withdrawn key passes after 5 s')
def then_none(context):
    context.play()


@behave.then('many requests pass while the key is held')
def then_many(context):
    assert context.accepted > 100 * 150, context.accepted


@behave.given('three instances in simulated time')
def given_three(context):
    context.worlds = [withdrawal_world.World(seed) for seed in SEEDS]
    for world in context.worlds:
        world.run(FIRST_S)
        _count_anew(world)


def _count_anew(world):
    world.store.reads = 0
    for machine in world.machines.values():
        machine.refused = machine.accepted = 0


@behave.when('{seconds:g} s pass')
def when_pass(context, seconds):
    for world in context.worlds:
        world.run(seconds)
    context.seconds = seconds


@behave.then('no request was refused')
def then_unrefused(context):
    for world in context.worlds:
        assert _accepted(world) > 200
        for machine in world.machines.values():
            assert not machine.refused, (machine.name, machine.refused)


@behave.then('the store was read at most {most:g} times a second')
def then_reads(context, most):
    for world in context.worlds:
        assert world.store.reads <= most * context.seconds, world.store.reads


@behave.when('the news to "i1" take {seconds:g} s')
def when_slow(context, seconds):
    for world in context.worlds:
        _slow_links(world, seconds)
        world.machines['i1'].start()
        world.run(15.0)
        _count_anew(world)


def _slow_links(world, seconds):
    for name in world.names:
        world.set_link(name, 'i1', seconds)
        world.set_link('i1', name, seconds)


@behave.when('"i1" is {trouble} and the key is withdrawn')
def when_trouble(context, trouble):
    for world in context.worlds:
        _make_trouble(world, trouble)
        world.withdraw()


def _make_trouble(world, trouble):
    machine = world.machines['i1']
    last = world.names[-1]

    def nap(count=40):
        machine.stop(False, 0.45)
        if count:
            world.after(0.55, lambda: nap(count - 1))

    def start_copy(suspended):
        # From the copy of a peer, which the link brings late.
        world.store.cut.add('i1')
        for other in world.names:
            world.set_link(other, 'i1', 0.3)
        machine.start()
        world.run(2.0)
        if suspended:
            machine.peering._request_snapshot(last)
            world.run(0.15)
            machine.stop(False, 8.0)
        world.withdraw()
        for other in world.names:
            if other != 'i1':
                world.cut(other)

    def start_slow():
        _slow_links(world, 6.0)
        machine.start()
        world.run(3.0)
        world.store.cut.add('i1')

    def start_alone():
        world.withdraw()
        world.take_down(0.3, True)
        world.run(0.35)
        for name in world.names:
            if name != 'i1':
                world.machines[name].stop(True, 30.0)
        machine.start()

    {
        'cut off from the store and the others': lambda: world.cut('i1'),
        'cut off from the store': lambda: world.store.cut.add('i1'),
        'frozen for 8 s': lambda: machine.stop(True, 8.0),
        'suspended for 8 s': lambda: machine.stop(False, 8.0),
        'suspended for 0.45 s again and again': nap,
        'on links that take 6 s': lambda: _slow_links(world, 6.0),
        'started on links that take 6 s, and cut off': start_slow,
        "cut off and started from a peer's copy": lambda: start_copy(False),
        'started, suspended until the peer answered': lambda: start_copy(True),
        'the only one that starts, in a former era': start_alone,
    }[trouble]()
    if 'again' in trouble:
        world.cut('i1')


@behave.then('no request with a withdrawn key passed after 5 s')
def then_not_late(context):
    late = [world.late[:3] for world in context.worlds if world.late]
    assert not late, late


@behave.when('all troubles end and the key is added again')
def when_added(context):
    for world in context.worlds:
        world.heal()
        world.run(15.0)
        world.add()


@behave.then('each instance lets it pass within {seconds:g} s')
def then_pass(context, seconds):
    for world in context.worlds:
        _count_anew(world)
        world.run(seconds)
        for item in world.machines.values():
            assert item.accepted, item.name


@behave.when('the key is withdrawn and the store goes back at once')
def when_lost(context):
    for world in context.worlds:
        world.run(10.0)
        world.keep()
        world.withdraw()
        world.take_down(0.3, True)


@behave.when(
    'its machine is suspended for {seconds:g} s before it takes the answer'
)
def when_suspended(context, seconds):
    lone = context.lone
    lone.suspended_s += seconds
    # Its timers run first.
    lone.reader._tick()
    lone.answer([], 60)


@behave.then('the copy is proven to be at least {seconds:g} s old')
def then_old(context, seconds):
    lone = context.lone
    assert lone.reader.proven_age(lone.now) >= seconds - 1e-6


@behave.then('so are its news')
def then_old_news(context):
    lone = context.lone
    for news in lone.told:
        assert lone.now - news[3] >= lone.suspended_s - 1e-6, news


@behave.given('a message of process 1 that waited 8 s before it was read')
def given_message(context):
    context.clock = transit_delay.ClockBound()


@behave.then('it proves nothing')
def then_nothing(context):
    assert context.clock.not_before(1, SENT_AT, READ_AT) is None
    assert context.clock.ask(1, READ_AT)


@behave.when('process 1 tells its clock in a round trip of {seconds:g} s')
def when_round_trip(context, seconds):
    # Its clock is 950 s behind.
    told = READ_AT - 950.0 + seconds / 2
    context.clock.on_reply(1, told, READ_AT, READ_AT + seconds)
    assert not context.clock.ask(1, READ_AT + 1.0)


@behave.then('that message proves an age of {least:g} to {most:g} s')
def then_age(context, least, most):
    found = READ_AT - context.clock.not_before(1, SENT_AT, READ_AT)
    assert least <= found <= most, found


@behave.then('a message of process 2 proves nothing')
def then_other(context):
    assert context.clock.not_before(2, SENT_AT, READ_AT) is None
    assert context.clock.ask(2, READ_AT + 6.0)


@behave.then('a message from the future proves nothing, and none after it')
def then_future(context):
    assert context.clock.not_before(1, SENT_AT + 20.0, READ_AT) is None
    assert context.clock.not_before(1, SENT_AT, READ_AT) is None
