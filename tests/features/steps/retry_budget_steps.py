"""Steps for the retry budget of a fleet; no sockets, no clocks."""

import fractions
import math
import random

import behave

from jasminehold.decisions import fleet_size
from jasminehold.decisions import route_table
from jasminehold.front import steering
from tests.builders import front_values
from tests.builders import retry_fleet

BEGIN_S, EVENT_S, END_S = 20.0, 22.0, 40.0
SEED = 16


@behave.given('{count:d} instances that get {rate:g} requests a second evenly')
def given_fleet(context, count, rate):
    context.rate = rate
    context.fleet = retry_fleet.RetryFleet(count, rate, SEED)


def _nothing(fleet):
    fleet.play(END_S, True)


def _move_half(fleet):
    half = len(fleet) // 2
    fleet.parts = [0.0] * half + [1.0] * (len(fleet) - half)
    fleet.play(END_S, True)


def _move_on(fleet):
    for index in range(6):
        fleet.parts = [float(item == index) for item in range(len(fleet))]
        fleet.play(EVENT_S + 3.0 * (index + 1), True)


def _restart_all(fleet):
    for index in range(len(fleet)):
        fleet.restart(index, retry_fleet.LEARN_S)
    fleet.play(END_S, True)


def _restart_all_often(fleet):
    for step in range(6):
        for index in range(len(fleet)):
            fleet.restart(index, retry_fleet.LEARN_S)
        fleet.play(EVENT_S + 3.0 * (step + 1), True)


def _restart_each(fleet):
    for index in range(len(fleet)):
        fleet.restart(index)
        fleet.play(EVENT_S + index + 1.0, True)
    fleet.play(END_S, True)


def _swing(fleet):
    for step in range(90):
        at = EVENT_S + 0.2 * step
        fleet.parts = [
            1.0 + 0.9 * math.sin(2 * math.pi * (at / 18 + index % 3 / 3))
            for index in range(len(fleet))
        ]
        fleet.play(at + 0.2, True)


def _come_and_go(fleet):
    rng = fleet.rng
    for step in range(36):
        index = rng.randrange(len(fleet))
        fleet.restart(index, rng.uniform(0.0, retry_fleet.LEARN_S))
        for index in rng.sample(range(len(fleet)), 10):
            fleet.parts[index] = rng.choice((0.0, 1.0, 5.0)) / len(fleet)
        fleet.play(EVENT_S + 0.5 * (step + 1), True)


EVENTS = {
    'nothing else happens': _nothing,
    'half of the callers move to the other instances': _move_half,
    'callers move to one instance after another': _move_on,
    'all processes start again': _restart_all,
    'all processes start again every 3 s': _restart_all_often,
    'one process after another starts again': _restart_each,
    'load swings between the regions': _swing,
    'processes and callers come and go at random': _come_and_go,
}


@behave.when('upstreams reject from 20 s to 40 s and from 22 s on {event}')
def when_event(context, event):
    context.fleet.play(BEGIN_S, False)
    context.fleet.play(EVENT_S, True)
    EVENTS[event](context.fleet)


@behave.then('no 10 s hold more repeats than the fleet may send')
def then_within(context):
    excess, begin = context.fleet.excess()
    assert context.fleet.repeats and excess <= 0, (excess, begin)


@behave.then('at least {part:g} of the budget is used')
def then_used(context, part):
    seconds = END_S - BEGIN_S
    budget = retry_fleet.RATIO * context.rate * seconds
    used = len(context.fleet.repeats)
    assert used >= part * budget, (used, budget)


@behave.given('an instance whose repeats have used up its part of the budget')
def given_used_up(context):
    cfg = front_values.cfg()
    item = steering.Steering(cfg, random.Random(1), lambda *args, **kw: None)
    route = front_values.route()
    limits = route_table.CallerLimits()
    item.on_config(route_table.RouteTable(1, [route], [], limits))
    item.on_members({cfg.id: cfg.places[cfg.place]}, 0.0)
    for step in range(100):
        context.now = 20.0 + step / 100
        service = item.service(route, context.now)
    context.repeat = lambda: item.allow_retry(
        route, service, False, context.now
    )
    taken = 0
    while context.repeat():
        taken += 1
    assert taken
    context.steering, context.cfg = item, cfg


@behave.when('its settings are read again with the same bounds')
def when_reload(context):
    context.steering.on_settings(context.cfg)


@behave.then('it repeats nothing more at once')
def then_nothing_more(context):
    assert not context.repeat()


@behave.given('an instance among {count:d} that are listed')
def given_listed(context, count):
    context.size = fleet_size.FleetSize(10.0)
    context.size.on_members(range(count), 0.0)
    context.now = 20.0


@behave.when('it is {state} for {seconds:g} s')
def when_state(context, state, seconds):
    if state == 'missing':
        context.size.on_members(range(1, 12), context.now)
    context.now += seconds
    context.age = seconds if state == 'cut off' else 0.0


@behave.then('its part of the burst is {part}')
def then_part(context, part):
    found = context.size.instance_share(0, context.age, context.now)
    assert found == float(fractions.Fraction(part)), found
