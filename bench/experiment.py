"""Compares policies of a front instance on the model, by many seeds.

Usage::

    python bench/experiment.py run bench/models/ferromodelos.json
    python bench/experiment.py run SITE.toml --day scale-1 --seeds 20
    python bench/experiment.py run FILE --scale 1.3 --shed 0.5 --out out/

Each policy changes named constants or functions of the rules; ``oracle``
knows all upstreams and the work of each request. Prints the mean credit with
its 95% confidence interval, and the difference to the first policy on the
same seeds; writes ``model.csv`` and ``model.png``.
"""

import concurrent.futures
import csv
import math
import pathlib
import statistics

import fire
from hdrh import histogram

from bench import model
from bench import model_files
from jasminehold.decisions import finish_estimates
from jasminehold.decisions import selection
from jasminehold.front import placement
from jasminehold.front import steering

# Two-sided 95% of the normal distribution.
Z95 = 1.96
# Policies by name: constants of the rules that differ from the code.
POLICIES = {
    'as built': {},
    'oracle': {},
    'each request counts as one': {
        (finish_estimates.FinishEstimates, 'shares_machines'): (
            lambda self, service: False
        ),
    },
    'one owner': {(steering, 'OWNERS_PER_KEY'): 1},
    'three owners': {(steering, 'OWNERS_PER_KEY'): 3},
    'any upstream, no spill cost': {
        (steering, 'OWNERS_PER_KEY'): 1000,
        (selection, 'SPILL_WEIGHT'): 0.0,
    },
    'home first (planned use 0.6)': {(placement, 'PLANNED_USE'): 0.6},
    'queues to learn an object': {(steering, 'UNCACHED_QUEUE_FACTOR'): 1.5},
    'queue of 3 times the slots': {(steering, 'QUEUE_FACTOR'): 3.0},
}


def _play(task):
    path, day, scale, shed, seconds, policy, seed = task
    for (module, name), value in POLICIES[policy].items():
        setattr(module, name, value)
    deployment = model_files.load(path, day, scale)
    changes = ()
    if shed:
        changes = (model.Change(seconds / 2, seconds * 0.75, shed=shed),)
    oracle = policy == 'oracle'
    return policy, seed, model.run(deployment, seed, seconds, changes, oracle)


def run(path, day=None, scale=1.0, shed=0.0, seconds=24.0, seeds=8, out='out'):
    """Run all policies on the same seeds.

    Args:
        path: deployment, own form or site file.
        day: day of a site file.
        scale: factor on the load.
        shed: part of the requests that all upstreams reject in the third
            quarter of the time.
        seconds: length of a run.
        seeds: number of seeds, from 1.
        out: folder of the files.
    """
    print('experiment %s day %s scale %s shed %s' % (path, day, scale, shed))
    tasks = [
        (path, day, scale, shed, seconds, policy, seed)
        for policy in POLICIES
        for seed in range(1, seeds + 1)
    ]
    found = {policy: {} for policy in POLICIES}
    # A fresh process for each run: policies change constants of modules.
    with concurrent.futures.ProcessPoolExecutor(max_tasks_per_child=1) as pool:
        for policy, seed, result in pool.map(_play, tasks):
            found[policy][seed] = result
    _report(found, pathlib.Path(out))


def _report(found, out):
    base = found['as built']
    print(
        '%-30s %15s %15s %6s %6s %6s %6s %6s %6s'
        % (
            'policy',
            'credit',
            'to as built',
            'region',
            'served',
            'known',
            'budget',
            'p50 ms',
            'p99 ms',
        )
    )
    for policy, runs in found.items():
        credit = _interval([item.credit for item in runs.values()])
        against = _interval(
            [item.credit - base[seed].credit for seed, item in runs.items()]
        )
        hist = histogram.HdrHistogram(1, 60_000, 3)
        for item in runs.values():
            for seconds in item.latencies:
                hist.record_value(max(int(seconds * 1000), 1))

        def mean(name, runs=runs):
            return statistics.mean(getattr(x, name) for x in runs.values())

        print(
            '%-30s %6.3f +- %5.3f %6.3f +- %5.3f %6.3f %6.3f %6.3f %6.2f'
            ' %6d %6d'
            % (
                policy,
                *credit,
                *against,
                mean('worst_region'),
                mean('served'),
                mean('known'),
                max(item.repeats for item in runs.values()),
                hist.get_value_at_percentile(50),
                hist.get_value_at_percentile(99),
            )
        )
    out.mkdir(exist_ok=True)
    _write_csv(found, out / 'model.csv')
    _plot(found, out / 'model.png')


def _interval(values):
    half = 0.0
    if len(values) > 1:
        half = Z95 * statistics.stdev(values) / math.sqrt(len(values))
    return statistics.mean(values), half


def _write_csv(found, path):
    with open(path, 'w', newline='') as stream:
        writer = csv.writer(stream)
        names = [
            name
            for name in model.Result._fields
            if name not in ('series', 'latencies')
        ]
        writer.writerow(['policy', 'seed'] + names)
        for policy, runs in found.items():
            for seed, item in sorted(runs.items()):
                row = [getattr(item, name) for name in names]
                writer.writerow([policy, seed] + row)


def _plot(found, path):
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for policy, runs in found.items():
        length = min(len(item.series) for item in runs.values())
        series = [
            statistics.mean(item.series[index] for item in runs.values())
            for index in range(length)
        ]
        times = [index * model.SERIES_S for index in range(length)]
        axes.plot(times, series, label=policy)
    axes.set_xlabel('seconds')
    axes.set_ylabel('credit earned of that owed')
    axes.legend(fontsize='small')
    figure.savefig(path, dpi=120)


if __name__ == '__main__':
    fire.Fire({'run': run})
