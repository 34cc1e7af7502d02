"""Measures time and size of region plans against members and limits.

Usage: ``python bench/plan_cost.py [seed]``
"""

import random
import sys
import time

import msgpack

from jasminehold.decisions import limiters
from jasminehold.decisions import plan


def declared_limits(sites, places, slots):
    """Return slot and rate limits for a number of sites of one region."""
    result = []
    for index in range(sites):
        place = 'p%d' % (index % places)
        name = '%d' % index
        result.append(
            limiters.Limit(
                'slots:' + name, slots, 'r', place, 's%d' % (index % 8)
            )
        )
        result.append(limiters.Limit('rate:' + name, 600, 'r', place))
    return result


def measure(members, sites, seed, slots=16):
    """Build a first plan and a second one after a change of demand.

    Returns:
        ``(seconds of the second plan, bytes of it, shares in it)``.
    """
    rng = random.Random(seed)
    names = ['i%04d' % index for index in range(members)]
    one = plan.Inputs(
        declared_limits(sites, 3, slots),
        [
            plan.Member(name, 'p%d' % (index % 3), 'r')
            for index, name in enumerate(names)
        ],
        {'s%d' % k: {name: rng.random() for name in names} for k in range(8)},
        {name: (1, {}) for name in names},
        set(),
        lambda _: 0,
        1,
    )
    first = plan.next_plan(plan.empty_plan('r'), one)
    changed = one._replace(
        demand={
            's%d' % k: {name: rng.random() for name in names} for k in range(8)
        }
    )
    begin = time.perf_counter()
    second = plan.next_plan(first, changed)
    seconds = time.perf_counter() - begin
    count = sum(len(parts) for parts in second['shares'].values())
    return seconds, len(msgpack.packb(second)), count


def main(argv):
    """Print times, sizes and slopes."""
    seed = int(argv[1]) if len(argv) > 1 else 1
    print('python bench/plan_cost.py %d' % seed)
    print('members limits       ms    bytes  shares  us/pair  bytes/share')
    rows = {}
    for members, sites in (
        (12, 18),
        (12, 72),
        (12, 288),
        (24, 72),
        (48, 72),
        (96, 72),
        (192, 72),
        (305, 138),
        (725, 138),
    ):
        seconds, size, count = measure(members, sites, seed)
        pairs = members * sites * 2
        rows[members, sites] = seconds
        print(
            '%7d %6d %8.1f %8d %7d %8.2f %12.1f'
            % (
                members,
                sites * 2,
                seconds * 1000,
                size,
                count,
                seconds / pairs * 1e6,
                size / max(1, count),
            )
        )
    print(
        'slope per limit at 12 members: %.1f us'
        % ((rows[12, 288] - rows[12, 18]) / 540 * 1e6)
    )
    print(
        'slope per member at 144 limits: %.1f us'
        % ((rows[192, 72] - rows[12, 72]) / 180 * 1e6)
    )


if __name__ == '__main__':
    main(sys.argv)
