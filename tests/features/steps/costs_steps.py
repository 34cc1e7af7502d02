"""Steps for requests that cost very different amounts; no sockets."""

import math
import random
import statistics
import types

import behave

from bench import model
from bench import model_files
from jasminehold.decisions import finish_estimates
from jasminehold.decisions import run_times
from jasminehold.decisions import upstream_load
from jasminehold.front import steering
from jasminehold.platform import wire
from tests.builders import front_values

SHARING = 'bench/models/sharing.json'
ROUTE = front_values.route(latency_target_s=1.0)


def _steering(names, slots=9):
    found = front_values.steering('i1', 0.0, latency_target_s=1.0)
    found.on_entries(
        [front_values.entry(name, slots=slots) for name in names], 0.0
    )
    return found


def _pick(context, now, left_s=2.5):
    return context.steering.pick(
        ROUTE, 'loja', 'k', 'r', (), None, left_s, now
    )


def _answer(context, choice, report, seconds, now):
    item = context.steering
    item.on_sent(choice, now - seconds)
    item.on_report(choice, report, now)
    item.on_end(choice, True, now)
    item.on_completed(ROUTE, 'loja', 'k', choice, seconds, now)


def _report(percent=b'100', running=b'1'):
    return wire.decode_load(running + b',0,9,' + percent)


@behave.given('upstreams u1 and u2 with 9 slots that know an object')
def given_two(context):
    context.steering = _steering(['u1', 'u2'])
    first = _pick(context, 0.5)
    context.owner = first.upstream.entry.id
    # Both report first that they are as usual.
    _answer(context, first, _report(b'110'), 0.4, 1.0)
    context.other = ({'u1', 'u2'} - {context.owner}).pop()
    context.usual_s = _pick(context, 4.0).finish_s


@behave.when('the one that gets its requests reports a slowdown of 2.5')
def when_slow(context):
    _answer(context, _pick(context, 5.0), _report(b'250'), 0.4, 5.5)


@behave.then(
    'the next request is expected to take longer there than 2 s later'
)
def then_fades(context):
    estimates = context.steering._estimates
    entry = context.steering.view.upstreams[context.owner].entry
    found = [
        estimates.candidate(
            'loja', ROUTE, 'k', entry, 0, 0.0, 2.5, now
        ).finish_s
        for now in (5.5, 7.5)
    ]
    assert found[0] > 1.5 * found[1], found
    assert found[1] < 1.1 * context.usual_s, (found, context.usual_s)


@behave.then('it goes to the other one only while that finishes sooner')
def then_back(context):
    assert _pick(context, 7.5).upstream.entry.id == context.owner


@behave.given('run times of which 3% are seven times the mean')
def given_tail(context):
    context.ratios = run_times.RunRatios()
    rng = random.Random(1)
    for _ in range(1000):
        ratio = rng.lognormvariate(0, 0.15)
        context.ratios.on_run(ratio * (7 if rng.random() < 0.03 else 1))


@behave.then('the expected rest of a run falls until its estimate')
def then_rest_falls(context):
    rest = [context.ratios.remaining(x) for x in (0.0, 0.4, 0.7)]
    assert rest == sorted(rest, reverse=True), rest


@behave.then('it is larger at twice the estimate than at the start')
def then_rest_grows(context):
    found = context.ratios.remaining(2.0), context.ratios.remaining(0.0)
    assert found[0] > 2 * found[1], found


@behave.then(
    'an upstream full of such runs lets a request wait a mean service time'
)
def then_full(context):
    waits = []
    for now in (0.2, 2.0):
        load = upstream_load.UpstreamLoad(9, 0.4)
        for _ in range(9):
            load.on_sent(upstream_load.Run(0.4, 0.0), 0.0)
        waits.append(load.backlog_wait_s(load.backlog(context.ratios, now)[1]))
    assert waits[1] >= 0.4 > waits[0], waits


@behave.when(
    'the one that gets its requests reports {running} running at {percent}'
)
def when_false(context, running, percent):
    report = _report(percent.encode(), running.encode())
    _answer(context, _pick(context, 5.0), report, 0.4, 5.5)


@behave.then('its estimate is finite and at least that of an idle upstream')
def then_finite(context):
    entry = context.steering.view.upstreams[context.owner].entry
    item = context.steering._estimates.candidate(
        'loja', ROUTE, 'k', entry, 0, 0.0, 2.5, 5.6
    )
    assert math.isfinite(item.finish_s), item
    assert item.finish_s >= 0.9 * context.usual_s, item
    assert item.finish_s < 60.0, item


@behave.then('10 s later requests go to it again')
def then_again(context):
    assert _pick(context, 15.5).upstream.entry.id == context.owner


@behave.given('customers whose upstreams share their machines')
def given_sharing(context):
    context.deployment = model_files.load(SHARING)


@behave.given(
    'customers whose upstreams share their machines, {count:d} upstream a'
    ' place lies'
)
def given_liars(context, count):
    found = model_files.load(SHARING)
    pools = {
        name: pool._replace(liars=count) for name, pool in found.pools.items()
    }
    context.deployment = found._replace(pools=pools)


@behave.when(
    'they are played for {seconds:g} s with seeds {low:d} to {high:d}'
)
def when_played(context, seconds, low, high):
    context.seeds, context.seconds = range(low, high + 1), seconds
    context.results = _play(context)


def _play(context, oracle=False):
    return [
        model.run(context.deployment, seed, context.seconds, (), oracle)
        for seed in context.seeds
    ]


@behave.then('no upstream that lies gets more than {most:g} times its share')
def then_bounded(context, most):
    found = [item.liar for item in context.results]
    assert 0 < max(found) <= most, found


@behave.given('an idle fleet whose service reported a slowdown')
def given_idle(context):
    context.steering = _steering(['u1', 'u2', 'u3'])
    _answer(context, _pick(context, 0.5), _report(b'250'), 0.4, 1.0)
    assert context.steering.shares_machines('loja')


@behave.then('a request with a tenth of its estimate left is sent')
def then_sent(context):
    found = _pick(context, 9.0, 0.05)
    assert isinstance(found, steering.Choice), found


@behave.then('so is one after runs that took ten times the time-out')
def then_sent_after(context):
    for step in range(50):
        now = 10.0 + 30.0 * step
        _answer(context, _pick(context, now), _report(), 25.0, now + 25.0)
    found = _pick(context, 2000.0)
    assert isinstance(found, steering.Choice), found


@behave.then(
    "less of the slots' time is lost than if each request counts as one"
)
def then_less_lost(context):
    kept = finish_estimates.FinishEstimates.shares_machines
    try:
        finish_estimates.FinishEstimates.shares_machines = (
            lambda self, service: False
        )
        before = statistics.mean(item.lost for item in _play(context))
    finally:
        finish_estimates.FinishEstimates.shares_machines = kept
    found = statistics.mean(item.lost for item in context.results)
    assert found < before, (found, before)


@behave.then("the mean time to answer is at most {most:g} of the oracle's")
def then_mean(context, most):
    oracle = statistics.mean(_latencies(_play(context, True)))
    ratio = statistics.mean(_latencies(context.results)) / oracle
    assert ratio <= most, ratio


@behave.then("the 99th percentile is at most {most:g} of the oracle's")
def then_p99(context, most):
    oracle = _latencies(_play(context, True))
    found = _latencies(context.results)
    ratio = found[len(found) * 99 // 100] / oracle[len(oracle) * 99 // 100]
    assert ratio <= most, ratio


def _latencies(results):
    return sorted(value for item in results for value in item.latencies)


@behave.given('an upstream whose reports state three figures')
def given_three(context):
    context.steering = _steering(['u1', 'u2', 'u3', 'u4'], 3)
    choice = _pick(context, 0.5)
    _answer(context, choice, wire.decode_load(b'9,4,3'), 0.4, 1.0)
    context.load = choice.load
    context.choice = choice


@behave.then('its wait is its queue times its mean service time, as before')
def then_as_before(context):
    item = context.steering._estimates.candidate(
        'loja', ROUTE, 'k', context.choice.upstream.entry, 0, 0.0, 2.5, 1.5
    )
    others = 13 * math.exp(-0.5 / 2.0)
    expected = (others + 1 - 3) / 3 * context.load.service_s
    assert abs(item.wait_s - expected) < 1e-9, (item, expected)
    assert item.spill_weight is None and not item.doubt_s, item


@behave.then('only the first two owners of an object are asked')
def then_two_owners(context):
    full = types.SimpleNamespace(running=40, waiting=0, slowdown=1.0)
    for load in context.steering._loads.values():
        load.on_report(full, 2.0)
    for _ in range(2):
        found = _pick(context, 2.0)
        if isinstance(found, steering.Refusal):
            break
        context.steering.on_sent(found, 2.0)
        found.load.on_report(full, 2.0)
    assert isinstance(found, steering.Refusal), found
    assert len(found.owners) == 2, found
