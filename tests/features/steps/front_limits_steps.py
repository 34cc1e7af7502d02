"""Steps for limits that upstreams name to front instances."""

import time

import behave

from jasminehold.decisions import stated_limits
from tests.builders import front_rig
from tests.builders import limited_fleet
from tests.builders import limited_upstreams

UPSTREAMS = ('u1', 'u2', 'u3', 'u4')
SEED = 22
AT_ONCE_S = 0.25
# Requests in flight when a limit begins may still fail for it.
ANSWERED_PART = 0.95
# Time in which the rate of an upstream is taken.
RATE_S = 3.0


@behave.given(
    'four instances in front of four upstreams and {count:d} callers'
)
def given_callers(context, count):
    context.rig = front_rig.FrontRig(UPSTREAMS)
    context.add_cleanup(context.rig.stop)
    context.callers = limited_upstreams.SteadyCallers(
        context.rig, context.rig.start_fleet(), count
    )
    context.callers.__enter__()
    context.add_cleanup(context.callers.__exit__)
    time.sleep(RATE_S)


def _set_limit(context, names, limit):
    for name in names:
        context.rig.upstreams[name].limit = limit


@behave.when(
    'an upstream names a limit of {limit:g} a second for {seconds:g} s'
)
def when_one_limited(context, limit, seconds):
    _limit(context, UPSTREAMS[:1], limit, seconds)


@behave.when(
    'all upstreams name a limit of {limit:g} a second for {seconds:g} s'
)
def when_all_limited(context, limit, seconds):
    _limit(context, UPSTREAMS, limit, seconds)


def _limit(context, names, limit, seconds):
    context.limited, context.limit = names, limit
    context.limited_at = time.monotonic()
    _set_limit(context, names, limit)
    time.sleep(seconds)
    _set_limit(context, names, None)
    context.ended_at = time.monotonic()


@behave.then('no 4 s hold more requests than it allows')
def then_limit_holds(context):
    begin = context.limited_at + limited_upstreams.STABILITY_S
    for name in context.limited:
        times = context.callers.arrivals[name]
        most = limited_upstreams.most_in_window(
            [at for at in times if begin <= at < context.ended_at]
        )
        allowed = limited_upstreams.allowed(context.limit)
        assert 0 < most <= allowed, (name, most, allowed)


@behave.then('nearly all requests are answered')
def then_answered(context):
    statuses = [
        reply.status
        for at, _, reply in context.callers.replies
        if context.limited_at <= at < context.ended_at
    ]
    assert len(statuses) > 100, len(statuses)
    part = statuses.count(200) / len(statuses)
    assert part >= ANSWERED_PART, part


@behave.then('it gets as many requests as before within {seconds:g} s')
def then_ended(context, seconds):
    time.sleep(seconds + RATE_S)
    times = context.callers.arrivals[context.limited[0]]

    def count(begin):
        return sum(begin <= at < begin + RATE_S for at in times)

    before = count(context.limited_at - RATE_S)
    during = count(context.ended_at - RATE_S)
    after = count(context.ended_at + seconds)
    assert during < before / 2 < after, (before, during, after)


@behave.then('requests that are not answered are rejected at once with a time')
def then_rejected(context):
    begin = context.limited_at + 1.0
    rejected = [
        (seconds, reply)
        for at, seconds, reply in context.callers.replies
        if begin <= at < context.ended_at and reply.status != 200
    ]
    assert len(rejected) > 100, len(rejected)
    for seconds, reply in rejected:
        assert reply.status == 503, reply
        assert seconds < AT_ONCE_S, seconds
        assert 0.2 < float(reply.headers['retry-after']) < 30, reply


@behave.given('{count:d} instances whose callers all want one upstream')
def given_fleet(context, count):
    context.fleet = limited_fleet.LimitedFleet(count, SEED)


@behave.given('{count:d} instances of which {part:g} want one upstream')
def given_part(context, count, part):
    context.fleet = limited_fleet.LimitedFleet(count, SEED, part)


@behave.when('it names a limit of {limit:g} a second and {event}')
def when_event(context, limit, event):
    fleet = context.fleet
    fleet.play(2.0)
    fleet.limit = limit
    context.begin = fleet.now + limited_upstreams.STABILITY_S
    fleet.play(2.0)
    EVENTS[event](fleet)
    fleet.play(10.0)


def _restart_in_turn(fleet):
    for name in fleet.names:
        fleet.restart(name)
        fleet.play(0.5)


def _restart_all(fleet):
    for _ in range(3):
        for name in fleet.names:
            fleet.restart(name)
        fleet.play(5.0)


def _cut_half(fleet):
    fleet.cut_off(fleet.names[::2])
    fleet.play(9.0)
    fleet.heal()


def _cut_senders(fleet):
    found = stated_limits.senders(limited_fleet.KEY.id, fleet.names, ())
    count = 1 + int(stated_limits.SENDERS_PER_RATE * fleet.limit)
    fleet.cut_off(found.order[:count])
    fleet.play(9.0)
    fleet.heal()


EVENTS = {
    'nothing else happens': lambda fleet: None,
    'nothing else happens for 40 s': lambda fleet: fleet.play(30.0),
    'one process after another starts again': _restart_in_turn,
    'all processes start again every 5 s': _restart_all,
    'half of the instances are cut off for 9 s': _cut_half,
    'all its senders are cut off for 9 s': _cut_senders,
}


@behave.then('no 4 s hold more requests from told instances than it allows')
def then_told(context):
    excess = context.fleet.excess(context.begin)
    assert excess <= 0, excess


@behave.then('some arrive')
def then_some(context):
    fleet = context.fleet
    late = [at for at in fleet.arrivals if at > fleet.now - 8.0]
    assert late, 'nothing arrived in the last 8 s'


@behave.when('it names a limit of {limit:g} a second for {seconds:g} s')
def when_limited_for(context, limit, seconds):
    context.fleet.play(2.0)
    context.fleet.limit = limit
    context.fleet.play(seconds)
    context.fleet.limit = None


@behave.then('its end is known to all within {seconds:g} s')
def then_end_known(context, seconds):
    fleet = context.fleet
    end = fleet.now + seconds
    while fleet.now < end and fleet.limited_count():
        fleet.play(0.5)
    assert not fleet.limited_count(), fleet.limited_count()


@behave.given(
    'an upstream under a limit of {limit:g} a second, {near:d} near instances'
    ' and {others:d} others'
)
def given_near(context, limit, near, others):
    context.near = ['near%d' % number for number in range(near)]
    context.others = ['other%d' % number for number in range(others)]
    context.senders = stated_limits.senders('u1', context.near, context.others)
    context.statement = stated_limits.Statement(limit, 100.0)


def _rates(context, now):
    return {
        name: stated_limits.instance_rate(
            name, context.senders, context.statement, False, now
        )
        for name in context.near + context.others
    }


@behave.then('only near instances may send to it while it responds')
def then_near(context):
    rates = _rates(context, 104.0)
    assert not any(rates[name] for name in context.others), rates
    assert 0 < sum(rates.values()) <= context.statement.per_s, rates


@behave.then(
    'all may after {seconds:g} s without a response, within the same sum'
)
def then_all(context, seconds):
    rates = _rates(context, 100.0 + seconds)
    assert all(rates.values()), rates
    assert sum(rates.values()) <= context.statement.per_s, rates
