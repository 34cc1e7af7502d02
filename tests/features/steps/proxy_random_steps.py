"""Steps for the seeded run of many requests."""

import os

import behave

from builders import random_run

EXPECTED = {
    'answer',
    'cut',
    'deadline_unknown',
    'left',
    'outcome_unknown',
    'not_run',
    'unavailable',
}


@behave.when('{count:d} random requests run with seed {seed:d}')
def when_random(context, count, seed):
    count = int(os.environ.get('JASMINEHOLD_RANDOM_REQUESTS', count))
    seed = int(os.environ.get('JASMINEHOLD_RANDOM_SEED', seed))
    context.run = random_run.RandomRun(count, seed)
    context.add_cleanup(context.run.rig.stop)
    context.run.run()


@behave.then('no promise was broken and every kind of outcome occurred')
def then_kept(context):
    run = context.run
    print(dict(run.outcomes), 'crashes', len(run.rig.crashes))
    faults = run.check()
    assert not faults, (len(faults), faults[:10])
    assert sum(run.outcomes.values()) >= run.count
    assert EXPECTED <= set(run.outcomes), run.outcomes
    assert run.rig.crashes
