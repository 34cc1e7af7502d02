"""Cost of single roles against the number of instances, up to 5,800.

Member table of an instance; the view of the fleet that its look-ups and
duties use; a report from its packing at the sender to the
planner's inbox (frame, check, decode, store); platform calls for duties and
the time until a duty without holder is looked at; bytes of a progress notice.
Identifiers and places are drawn by a seed. The baseline of the times is one
msgpack round trip of the same report.

Usage: ``python bench/roles.py [seed]``
"""

import gc
import random
import sys
import time

import msgpack

from bench import measured_fleet
from jasminehold import app
from jasminehold.control import reports
from jasminehold.decisions import duty_lease
from jasminehold.decisions import membership
from jasminehold.peers import frames
from jasminehold import settings

SIZES = (12, 100, 1000, 5800)
PLACES = 19
REGIONS = 8
CLAIM_SHARDS = 4
REPORTS = 2000
LIST_S = 60.0


def _member(number, rng):
    return membership.Member(
        id='%032x' % rng.getrandbits(128),
        incarnation=1_700_000_000_000 + number,
        state=membership.LIVE,
        host='10.%d.%d.1' % divmod(number, 256),
        port=7000,
        place='place-%02d' % (number % PLACES),
        region='region-%d' % (number % PLACES % REGIONS),
        caller_host='10.%d.%d.1' % divmod(number, 256),
        caller_port=7001,
    )


def members(count, rng):
    """Return MB and microseconds per entry of a member table."""
    entries = [list(_member(number, rng)) for number in range(count)]
    gc.collect()
    before = measured_fleet.resident_mb('self')
    table = membership.Membership(
        _member(count, rng), membership.MembershipCfg(), rng, 0.0
    )
    begin = time.process_time()
    for entry in entries:
        table.merge(entry, 1.0)
    spent = time.process_time() - begin
    gc.collect()
    ticks = time.process_time()
    for number in range(20):
        table.tick(1.0 + number / 10)
    ticks = (time.process_time() - ticks) / 20
    grown = measured_fleet.resident_mb('self') - before
    size = len(msgpack.packb(entries[0]))
    return grown, spent / count * 1e6, ticks * 1e6, size


def report_cost(limits, rng):
    """Return bytes of a report, microseconds to take it, and the baseline."""
    made = reports.Report(
        type='report',
        region='region-1',
        acked=[1234, {}],
        known=1234,
        demand={
            'slots:service-%d-site-%d' % (n, n): rng.random()
            for n in range(limits)
        },
        revision=123456,
        in_flight={
            'service-%d-site-%d' % (n, n): n % 5 for n in range(limits)
        },
        stats={},
        clients={},
        place='place-01',
    )
    key = bytes(32)
    writer, reader = frames.Writer(key), frames.Reader(key)
    inbox = reports.Inbox()
    data = [writer.encode(frames.pack({'m': made})) for _ in range(REPORTS)]
    begin = time.process_time()
    for number, frame in enumerate(data):
        reader.feed(frame)
        message = frames.unpack(reader.next())['m']
        inbox.add('i%d' % number, message, 1.0)
    spent = (time.process_time() - begin) / REPORTS
    packed = msgpack.packb(made)
    begin = time.process_time()
    for _ in range(REPORTS):
        msgpack.unpackb(packed)
    base = (time.process_time() - begin) / REPORTS
    return len(data[0]), spent * 1e6, base * 1e6


def duty_calls(count, regions, rng):
    """Return look-ups of duties and list reads a second of the fleet."""
    cfg = duty_lease.LeaseConfig()

    def rate(candidates):
        return sum(
            1 / duty_lease.check_delay(rank, cfg, rng)
            for rank in range(candidates)
        )

    looks = CLAIM_SHARDS * rate(count)
    looks += 3 * regions * rate(max(1, count // regions))
    return looks, count / LIST_S


def first_look(count, regions, rng, runs=200):
    """Return median and worst seconds until a free duty is looked at.

    Args:
        count: instances that may try.
        regions: regions, 1 for the ranking among those that may try; more
            for a ranking among the instances of all regions.
        rng: random source.
        runs: duties that are drawn.
    """
    cfg, found = duty_lease.LeaseConfig(), []
    for _ in range(runs):
        ranks = rng.sample(range(count * regions), count)
        ranks.sort()
        found.append(
            min(duty_lease.check_delay(r, cfg, rng) for r in ranks[1:])
        )
    found.sort()
    return found[runs // 2], found[-1]


def notice_bytes(places, links):
    """Return bytes of a progress notice of a region."""
    rates = {'rate:region/region-1': [60000.5, 700000]}
    for number in range(places):
        rates['rate:place/place-%02d' % number] = [20000.5, 300000]
    for number in range(links):
        rates['link:place-%02d/place-%02d' % (number % 3, number)] = [1.5, 9]
    value = {
        'plan': 1234,
        'places': {'place-%02d' % n: [300, 123456] for n in range(places)},
        'missing': [],
        'rates': rates,
        'movements': {},
        'legacy': {},
        'drains': {},
    }
    return len(msgpack.packb(value))


def view_cost(sizes, rng):
    """Yield milliseconds to build the view and to add a member to it."""
    cfg = settings.from_dict(
        {
            'id': 'own',
            'place': 'place-01',
            'region': 'region-1',
            'platform': ['127.0.0.1:9'],
            'peer_keys': {'k1': '11' * 32},
            'peer_key_id': 'k1',
            'register': True,
        }
    )
    application = app.Application(cfg, rng)
    table = application.agent.state.members
    known = 0
    for size in sizes:
        for number in range(known, size):
            table.merge(list(_member(number, rng)), 1.0)
        application._update_view()
        begin = time.process_time()
        for _ in range(5):
            application._update_view()
        same = (time.process_time() - begin) / 5
        begin = time.process_time()
        for number in range(size, size + 5):
            table.merge(list(_member(number, rng)), 1.0)
            application._update_view()
        grown = (time.process_time() - begin) / 5
        known = size + 5
        yield size, same * 1000, grown * 1000


def main(argv):
    """Print the figures."""
    seed = int(argv[1]) if len(argv) > 1 else 1
    rng = random.Random(seed)
    print('python bench/roles.py %d' % seed)
    print('members      MB  us/entry  tick us  bytes/entry')
    for count in SIZES:
        print('%7d %7.2f %9.1f %8.1f %12d' % (count, *members(count, rng)))
    print('instances  view ms  with a new member ms')
    for shown in view_cost(SIZES, rng):
        print('%9d %8.2f %21.2f' % shown)
    print('report: limits used  bytes  us to take  baseline us')
    for limits in (0, 20, 138):
        print('%19d %6d %11.1f %12.1f' % (limits, *report_cost(limits, rng)))
    print('instances regions  duty looks/s  list reads/s')
    for count, regions in ((3, 3), (12, 3), (24, 3), (5800, 8)):
        shown = (count, regions, *duty_calls(count, regions, rng))
        print('%9d %7d %13.1f %13.2f' % shown)
    print('seconds until a free duty of a region is looked at, median worst')
    for count, regions in ((4, 3), (8, 3), (725, 8)):
        near = first_look(count, 1, rng)
        far = first_look(count, regions, rng)
        print(
            '%4d candidates: %.1f %.1f; baseline, ranked among all %d:'
            ' %.1f %.1f' % (count, *near, count * regions, *far)
        )
    print('progress notice: places links bytes')
    for places, links in ((2, 0), (3, 0), (3, 54)):
        size = notice_bytes(places, links)
        print('%23d %5d %5d' % (places, links, size))


if __name__ == '__main__':
    main(sys.argv)
