"""Steps for room by urgency and for time-outs that become shorter."""

import statistics
import threading
import time

import behave

from bench import model
from jasminehold.decisions import urgency
from tests.builders import front_rig


def _rules(timeout_s):
    changes = {'TimeoutMs': int(timeout_s * 1000)}
    return [
        front_rig.route('browse', '/browse/', 'loja', **changes),
        front_rig.route('order', '/order/', 'loja', 'unsafe', **changes),
    ]


@behave.given(
    'an upstream that takes {work:g} s and a time-out of {timeout:g} s'
)
def given_slow(context, work, timeout):
    context.rig = front_rig.FrontRig(('u1',), work_s=work, configured=False)
    context.add_cleanup(context.rig.stop)
    doc = front_rig.configuration(1, _rules(timeout))
    context.rig.put('op/config', doc)
    context.rig.start()
    context.rig.wait_ready()


@behave.when(
    'a version with a time-out of {timeout:g} s comes {after:g} s after {kind}'
)
def when_shortened(context, timeout, after, kind):
    doc = front_rig.configuration(2, _rules(timeout))
    timer = threading.Timer(after, context.rig.put, ('op/config', doc))
    timer.start()
    begin = time.monotonic()
    path = '/order/a' if 'unsafe' in kind else '/browse/a'
    method = 'POST' if 'unsafe' in kind else 'GET'
    context.reply = context.rig.ask(path, method, X_Timeout_Ms='8000')
    context.seconds = time.monotonic() - begin
    timer.join()


@behave.then('it gets 504 within {bound:g} s of {end:g} s and is sent once')
def then_ended(context, bound, end):
    assert context.reply.status == 504, context.reply
    assert end - 0.05 <= context.seconds <= end + bound, context.seconds
    assert context.rig.upstreams['u1'].arrivals == 1


PLACES = {
    'sul-a': 'sul',
    'sul-b': 'sul',
    'norte-a': 'norte',
    'norte-b': 'norte',
}
RUN_S, AIM_S, DEADLINE_S = 0.3, 1.0, 8.0
POOL = model.Pool(dict.fromkeys(PLACES, 5), slots=9, queue=27, gain=0.0)
# Requests a second for which the pool has room.
ROOM_PER_S = 4 * 5 * 9 / RUN_S
SECONDS = 16.0
SEED = 1


def _kind(name, part, **changes):
    per_s = ROOM_PER_S * part / len(PLACES)
    values = {'objects': 200, 'priority': 1, **changes}
    return model.Kind(
        name, 's', per_s, RUN_S, AIM_S, DEADLINE_S, DEADLINE_S, **values
    )


def _play(kinds, urgent_first=True):
    deployment = model.Deployment(
        PLACES,
        dict.fromkeys(PLACES, 3),
        {'s': POOL},
        tuple(kinds),
        urgent_first=urgent_first,
    )
    return model.run(deployment, SEED, SECONDS)


def _priorities(load):
    return [
        _kind('p%d' % priority, load * part, priority=priority)
        for priority, part in enumerate((0.2, 0.4, 0.4))
    ]


@behave.given('a service with requests of three priorities')
def given_priorities(context):
    context.urgent_first = True


@behave.given('its settings let nobody give way')
def given_off(context):
    context.urgent_first = False


@behave.when('it is played alone and at {load:g} times its room')
def when_short(context, load):
    context.alone = _play(_priorities(0.1))
    context.result = _play(_priorities(load), context.urgent_first)


@behave.then('the most urgent are in time within 2 points of the share alone')
def then_urgent(context):
    found = context.result.in_time['p0'], context.alone.in_time['p0']
    assert found[0] >= found[1] - 0.02, (found, context.result.busy)


@behave.then('its slots are busy at least {least:g} of the time')
def then_busy(context, least):
    assert context.result.busy >= least, context.result.busy


@behave.then('no priority is served less than a quarter as often as all')
def then_kept(context):
    served = context.result.served_by_kind
    least = context.result.served / 4
    assert min(served.values()) >= least, (served, least)


@behave.then('the priorities are in time within 5 points of each other')
def then_equal(context):
    found = context.result.in_time.values()
    assert max(found) - min(found) <= 0.05, context.result.in_time


def _accounts(factor):
    return [
        _kind(
            'a%d' % index,
            0.09 * (factor if index == 0 else 1),
            account='account-%d' % index,
        )
        for index in range(10)
    ]


def _others(result):
    return statistics.mean(
        share for name, share in result.in_time.items() if name != 'a0'
    )


@behave.given('a service with ten accounts at 0.9 times its room')
def given_accounts(context):
    context.before = _others(_play(_accounts(1)))


@behave.when('one account sends {factor:g} times its usual')
def when_burst(context, factor):
    context.after = _others(_play(_accounts(factor)))


@behave.then('the share in time of the others falls by less than 2 points')
def then_others(context):
    found = context.before, context.after
    assert context.after > context.before - 0.02, found


@behave.given('a service at {load:g} times its room')
def given_load(context, load):
    context.load = load


@behave.when(
    'a third of the callers repeat {count:d} times at once when refused'
)
def when_pushed(context, count):
    context.result = _play(
        [
            _kind('patient', context.load * 2 / 3),
            _kind('pushing', context.load / 3, at_once=count),
        ]
    )


@behave.then('they are in time no more often than the patient ones')
def then_no_gain(context):
    found = context.result.in_time
    assert found['pushing'] <= found['patient'], found


@behave.then('these demands cut to a part have this level')
def then_levels(context):
    for row in context.table:
        demands, weights = (
            [float(item) for item in row[name].split(',')]
            for name in ('demands', 'weights')
        )
        pairs = list(zip(demands, weights))
        found = urgency.fair_level(pairs, float(row['part']))
        assert abs(found - float(row['level'])) < 1e-9, (row, found)


def _returns(place, left_s):
    return [urgency.return_s(left_s, place, step / 100) for step in range(100)]


@behave.then('any refused caller comes back within a third of its time')
def then_honoured(context):
    for left_s in (0.2, 1.0, 8.0, 60.0):
        for place in (0.0, 0.5, 1.0, 1.5):
            found = _returns(place, left_s)
            assert 0 < min(found) and max(found) <= left_s / 3, found


@behave.then('the most urgent come back first')
def then_first(context):
    means = [statistics.mean(_returns(place, 8.0)) for place in (0, 0.5, 1)]
    assert means == sorted(means) and means[0] < means[2], means
