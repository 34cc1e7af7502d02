"""Time of the steering tables against sites, upstreams and client regions.

A site is the group of one service's upstreams in one place. Three dimensions
grow one at a time and then together, up to 1,100 sites in 19 places of 8
regions. Measured are processor milliseconds of ``Tables.rebuild``, of the
first routes of every service and client region, of the plan's limits of one
region and of the parts of the planner's inputs; and microseconds of
``routing.options`` for one request. The baseline in the same run is the time
to copy the same documents as JSON.

Usage: ``python bench/routing_tables.py [--seed 1]``
"""

import argparse
import json
import random
import statistics
import time

from jasminehold import config as config_module
from jasminehold.decisions import hashing
from jasminehold.decisions import limit_table
from jasminehold.decisions import lookup_order
from jasminehold.decisions import plan
from jasminehold.decisions import routing
from jasminehold import effective
from jasminehold.steering import lookups
from jasminehold.steering import tables as tables_module

STEPS = {'movements': {}, 'legacy': {}}
POINTS = 5000
# Sites, upstreams of a site, client regions with a split of their own.
CASES = (
    (12, 2, 3),
    (100, 2, 3),
    (300, 2, 3),
    (1100, 2, 3),
    (300, 4, 3),
    (300, 8, 3),
    (300, 2, 8),
    (1100, 2, 8),
    (1100, 8, 8),
)


def documents(sites, upstreams, regions, places=19):
    """Return stored entries of a configuration of the given size."""
    found = []

    def add(kind, name, spec):
        value = {
            'kind': kind,
            'metadata': {'name': name, 'generation': 1},
            'spec': spec,
            'deleted': False,
            'change': {'id': name, 'from_version': 0},
        }
        key = 'state/config/%s/%s' % (kind, name)
        found.append({'key': key, 'version': len(found) + 1, 'value': value})

    places = min(places, sites)
    services = -(-sites // places)
    names = ['p%02d' % number for number in range(places)]
    for number in range(regions):
        add('region', 'r%d' % number, {'capacity_rps': 700000})
    for number, name in enumerate(names):
        near = {other: 5.0 for other in names if other != name}
        spec = {'region': 'r%d' % (number % regions), 'capacity_rps': 300000}
        add('place', name, {**spec, 'latency_ms': near})
    for number in range(services):
        service = 's%03d' % number
        add('service', service, {})
        for region in range(regions):
            spec = {'service': service, 'client_region': 'r%d' % region}
            shares = {name: 1 / places for name in names}
            add(
                'traffic_split',
                '%s-r%d' % (service, region),
                {**spec, 'shares': shares},
            )
    for number in range(sites):
        service, place = 's%03d' % (number // places), names[number % places]
        for index in range(upstreams):
            spec = {'service': service, 'place': place, 'host': '10.0.0.1'}
            spec.update(port=1000 + index, slots=64, connections=390)
            add('upstream', '%s-%s-%d' % (service, place, index), spec)
    return found


def _best(func, repeats=3):
    times = []
    for _ in range(repeats):
        begin = time.process_time()
        func()
        times.append(time.process_time() - begin)
    return statistics.median(times)


def measure(sites, upstreams, regions, seed):
    """Return the figures of one size, in seconds."""
    rng = random.Random(seed)
    entries = documents(sites, upstreams, regions)
    config = config_module.ConfigSet()
    whole = effective.EffectiveConfig(config)
    config.apply(entries, len(entries))
    made = tables_module.Tables()
    data = json.dumps(entries)
    first = time.process_time()
    made.rebuild(whole, STEPS, frozenset())
    first = time.process_time() - first
    result = {
        'docs': len(entries),
        'baseline': _best(lambda: json.loads(data)),
        'first': first,
        'rebuild': _best(lambda: made.rebuild(whole, STEPS, frozenset())),
    }
    names = sorted(made.services)
    pairs = [(s, 'r%d' % r) for s in names for r in range(regions)]
    result['routes'] = _best(lambda: [made.routes(*p) for p in pairs], 1)
    points = [
        (made.routes(*rng.choice(pairs)), rng.random()) for _ in range(POINTS)
    ]
    limits_of = made.limits_of('p00')

    def options():
        for routes, point in points:
            routing.options(routes, point, limits_of, ())

    result['options'] = _best(options) / POINTS
    blocks = ['10.%d.%d.0' % (n % 250, n // 250) for n in range(POINTS)]
    result['point'] = (
        _best(lambda: [hashing.point('route', 's', b) for b in blocks])
        / POINTS
    )

    def limits():
        return limit_table.region_limits('r0', whole, made.drained, {})

    names = sorted('r%d' % number for number in range(regions))
    changed = next(e for e in entries if e['value']['kind'] == 'upstream')
    version = [len(entries)]

    def change():
        # What each instance does for a changed upstream.
        version[0] += 1
        config.apply([{**changed, 'version': version[0]}])
        made.rebuild(whole, STEPS, frozenset())
        for name in names:
            limit_table.region_limits(name, whole, made.drained, {})

    result['change'] = _best(change)
    result['limits'] = _best(limits)
    declared = limits()
    result['limits_count'] = len(declared)
    result['region_plan'] = _plan_time(declared, rng)
    return result


def _plan_time(declared, rng, members=12):
    names = ['i%04d' % number for number in range(members)]
    groups = sorted({limit.group for limit in declared if limit.group})
    one = plan.Inputs(
        declared,
        [plan.Member(name, 'p00', 'r0') for name in names],
        {group: {name: rng.random() for name in names} for group in groups},
        {name: (1, {}) for name in names},
        set(),
        lambda _: 0,
        1,
    )
    first = plan.next_plan(plan.empty_plan('r0'), one)
    changed = one._replace(
        demand={g: {name: rng.random() for name in names} for g in groups}
    )
    return _best(lambda: plan.next_plan(first, changed), 1)


def lookup_cost(instances, regions=8):
    """Return seconds of a look-up that is cached and one that is not."""
    config = config_module.ConfigSet()
    whole = effective.EffectiveConfig(config)
    config.apply(documents(19, 1, regions))
    made = tables_module.Tables()
    made.rebuild(whole, STEPS, frozenset())
    view = {}
    for number in range(instances):
        name, place = 'i%04d' % number, 'p%02d' % (number % 19)
        entry = lookup_order.Candidate(name, place, made.place_region[place])
        view[name] = (entry, '10.0.0.1', 7000)
    answer = lookups.make_lookup(made, lambda: (1, view), 2.0, lambda: True)
    count = max(20, 20000 // instances)
    blocks = ['10.1.%d.0' % number for number in range(min(count, 250))]

    def ask():
        for block in blocks:
            answer('s000', block)

    return _best(ask, 1) / len(blocks), _best(ask) / len(blocks)


def main():
    """Print one line for each size, and slopes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    print('python bench/routing_tables.py --seed %d' % args.seed)
    print(
        'sites ups regions   docs | first ms  rebuild  routes  limits'
        '  (count)  plan, 12 members  changed upstream | options us  hash us'
        ' | baseline ms'
    )
    found = {}
    for case in CASES:
        item = found[case] = measure(*case, args.seed)
        print(
            '%5d %3d %7d %6d | %8.1f %8.1f %7.1f %7.1f %8d %17.1f %17.1f |'
            ' %10.2f %8.2f | %11.1f'
            % (
                *case,
                item['docs'],
                item['first'] * 1000,
                item['rebuild'] * 1000,
                item['routes'] * 1000,
                item['limits'] * 1000,
                item['limits_count'],
                item['region_plan'] * 1000,
                item['change'] * 1000,
                item['options'] * 1e6,
                item['point'] * 1e6,
                item['baseline'] * 1000,
            ),
            flush=True,
        )
    print('instances  look-up not cached us  cached us')
    costs = {n: lookup_cost(n) for n in (12, 100, 1000, 5800)}
    for number, pair in costs.items():
        shown = (number, pair[0] * 1e6, pair[1] * 1e6)
        print('%9d %22.1f %10.2f' % shown)
    slope = (costs[5800][0] - costs[12][0]) / 5788 * 1e6
    print('slope of a look-up not cached: %.2f us per instance' % slope)
    for name, low, high, by in (
        ('site, 2 upstreams', (100, 2, 3), (1100, 2, 3), 1000),
        ('upstream, 300 sites', (300, 2, 3), (300, 8, 3), 1800),
        ('client region, 300 sites', (300, 2, 3), (300, 2, 8), 5),
    ):
        part = [
            '%s %.1f us'
            % (key, (found[high][key] - found[low][key]) / by * 1e6)
            for key in ('rebuild', 'routes', 'limits')
        ]
        print('slope per %s: %s' % (name, ', '.join(part)))


if __name__ == '__main__':
    main()
