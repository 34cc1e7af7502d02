"""Steps for heavy days on the model; no sockets, no clocks."""

import pathlib
import statistics

import behave

from bench import model
from bench import model_files
from jasminehold.decisions import selection
from jasminehold.front import steering

SHOP = (
    pathlib.Path(__file__).parents[3]
    / 'bench'
    / 'models'
    / 'ferromodelos.json'
)


@behave.given('the shop at full load')
def given_shop(context):
    context.deployment = model_files.load(SHOP)
    context.changes = ()


@behave.given('the shop at {scale:g} times its load')
def given_scaled(context, scale):
    context.deployment = model_files.load(SHOP, scale=scale)
    context.changes = ()


@behave.given(
    'all upstreams reject {part:g} of the requests from {begin:g} s to'
    ' {end:g} s'
)
def given_shed(context, part, begin, end):
    context.changes = (model.Change(begin, end, shed=part),)


@behave.given(
    '{part:g} of the upstreams are {factor:g} times slower from {begin:g} s to'
    ' {end:g} s'
)
def given_slow(context, part, factor, begin, end):
    context.changes = (model.Change(begin, end, slow=factor, part=part),)


@behave.when('it is played for {seconds:g} s with seeds {low:d} to {high:d}')
def when_played(context, seconds, low, high):
    context.seeds, context.seconds = range(low, high + 1), seconds
    context.results = _play(context)


def _play(context):
    return [
        model.run(context.deployment, seed, context.seconds, context.changes)
        for seed in context.seeds
    ]


def _mean(results, name):
    return statistics.mean(getattr(item, name) for item in results)


def _span(results, begin, end):
    return statistics.mean(
        value
        for item in results
        for index, value in enumerate(item.series)
        if begin <= index * model.SERIES_S < end
    )


@behave.then('at least {least:g} of the credit is earned in the last third')
def then_last_third(context, least):
    found = _span(context.results, context.seconds * 2 / 3, context.seconds)
    assert found >= least, found


@behave.then('each region earns at least {least:g} over all')
def then_regions(context, least):
    found = min(item.worst_region for item in context.results)
    assert found >= least, found


@behave.then(
    'a shop that sends to any upstream with room earns less than half of it'
)
def then_naive(context):
    kept = steering.OWNERS_PER_KEY, selection.SPILL_WEIGHT
    unknown = steering.UNCACHED_QUEUE_FACTOR
    try:
        steering.OWNERS_PER_KEY, selection.SPILL_WEIGHT = 1000, 0.0
        steering.UNCACHED_QUEUE_FACTOR = steering.QUEUE_FACTOR
        naive = _mean(_play(context), 'credit')
    finally:
        steering.OWNERS_PER_KEY, selection.SPILL_WEIGHT = kept
        steering.UNCACHED_QUEUE_FACTOR = unknown
    assert naive < _mean(context.results, 'credit') / 2, naive


@behave.then('at least {least:g} of the credit is earned over all')
def then_credit(context, least):
    found = _mean(context.results, 'credit')
    assert found >= least, found


@behave.then('at least {least:g} of the requests are served')
def then_served(context, least):
    found = _mean(context.results, 'served')
    assert found >= least, found


@behave.then('repeats stay within the budget of the fleet')
def then_budget(context):
    assert 0 < max(item.repeats for item in context.results) <= 1.0


@behave.then('at least {least:g} of the credit is earned while they do')
def then_during(context, least):
    change = context.changes[0]
    found = _span(context.results, change.at, change.until)
    assert found >= least, found


@behave.then('the worst-served region earns at least {least:g} of the mean')
def then_worst(context, least):
    worst = _mean(context.results, 'worst_region')
    assert worst >= least * _mean(context.results, 'credit'), worst
