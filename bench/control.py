"""Control cost of an instance against the number of instances.

Real processes: ``jasminehold serve``, the platform stand-in and six upstream
stand-ins. For each size the fleet is measured without requests and under two
request rates. The control share of a busy instance is the intercept of the
line through the two busy measurements: what remains of its processor time
after the part that is proportional to the requests is subtracted. So costs
of control that load causes (demand in the reports, loans) stay in the share,
except where they grow in proportion to the requests.

Usage: ``python bench/control.py [--sizes 3,6,12,24] [--seconds 10]
[--rate 10]``; ``rate`` is the first request rate of one instance.
"""

import argparse
import json
import os
import statistics
import threading
import time

from bench import measured_fleet
from jasminehold import errors
from jasminehold.standin import caller

SETTLE_S = 8.0
LIMIT_S = 60.0
WORKERS = 6
CONTROL_SHARE = 0.023
CONTROL_MB = 256
CONTROL_BYTES = 4000


class Load(threading.Thread):
    """Sends requests at a steady rate to a part of the instances."""

    def __init__(self, instances, rate, end):
        super().__init__(daemon=True)
        self._clients = [caller.Client(item.caller) for item in instances]
        self._period = 1 / (rate * len(instances)) if instances else 0.0
        self._end = end
        self.sent = self.failed = 0

    def run(self):
        """Send until the end; a late request does not delay the next."""
        headers = {'Jasminehold-Service': measured_fleet.SERVICE}
        headers['X-Service-Ms'] = 2
        due = time.monotonic()
        while self._clients and due < self._end:
            time.sleep(max(0.0, due - time.monotonic()))
            due += self._period
            client = self._clients[self.sent % len(self._clients)]
            reply = client.request('GET', '/stock', headers)
            self.sent += 1
            self.failed += reply.status != 200
        for client in self._clients:
            client.close()


def sample(fleet):
    """Return the figures of all processes at one moment."""
    return {
        'at': time.monotonic(),
        'cpu': [measured_fleet.cpu_s(i.process.pid) for i in fleet.instances],
        'metrics': [measured_fleet.scrape(i.api) for i in fleet.instances],
        'calls': fleet.platform_calls(),
    }


def compare(before, after, count):
    """Return the rates of one instance, and of the platform, in between."""
    seconds = after['at'] - before['at']

    def rate(name):
        grown = measured_fleet.totals(after['metrics'], name)
        grown -= measured_fleet.totals(before['metrics'], name)
        return grown / seconds / count

    shares = [(b - a) / seconds for a, b in zip(before['cpu'], after['cpu'])]
    calls = {
        kind: (number - before['calls'].get(kind, 0)) / seconds
        for kind, number in after['calls'].items()
    }
    return {
        'cpu': statistics.mean(shares),
        'cpu_max': max(shares),
        'bytes_out': rate('peer_bytes_sent'),
        'bytes_in': rate('peer_bytes_received'),
        'messages_out': rate('peer_messages_sent'),
        'calls': {kind: n for kind, n in calls.items() if n > 0},
    }


def measure(fleet, seconds, rate):
    """Measure the fleet for some seconds at a request rate of an instance."""
    load = []
    if rate:
        end = time.monotonic() + seconds + 2.0
        load = [
            Load(fleet.instances[n::WORKERS], rate, end)
            for n in range(WORKERS)
        ]
        for worker in load:
            worker.start()
        time.sleep(1.0)
    before = sample(fleet)
    time.sleep(seconds)
    found = compare(before, sample(fleet), len(fleet.instances))
    for worker in load:
        worker.join()
    found['sent'] = sum(worker.sent for worker in load)
    found['failed'] = sum(worker.failed for worker in load)
    found['rate'] = found['sent'] / len(fleet.instances) / (seconds + 2.0)
    found['mb'] = max(
        measured_fleet.resident_mb(item.process.pid)
        for item in fleet.instances
    )
    return found


def time_change(fleet, number):
    """Return seconds from a declared change to "in force everywhere"."""
    begin = time.monotonic()
    doc = fleet.put('region', 'sul', {'capacity_rps': 19000 - number})
    accepted = time.monotonic() - begin
    generation = doc['metadata']['generation']

    def in_force():
        """The status shows the change in force at all places."""
        status = fleet.get('region', 'sul')['status']
        places = min(len(fleet.instances), len(measured_fleet.PLACES))
        return (
            status.get('observed_generation') == generation
            and status['places_in_force'] == status['places'] == places
        )

    measured_fleet.wait_until(in_force, LIMIT_S, 0.02)
    return accepted, time.monotonic() - begin


def time_drain(fleet):
    """Return seconds until a drain is shown empty, and its own figure."""
    begin = time.monotonic()
    spec = {'target_kind': 'upstream', 'target_name': 'loja-sul-a'}
    fleet.put('drain', 'bench', spec)

    def empty():
        """The status shows the drain as empty."""
        return fleet.get('drain', 'bench')['status'].get('phase') == 'empty'

    measured_fleet.wait_until(empty, LIMIT_S, 0.05)
    taken = time.monotonic() - begin
    shown = fleet.get('drain', 'bench')['status'].get('drain_seconds')
    fleet.api.call('DELETE', '/v1/resources/drain/bench')
    return taken, shown


def run_size(count, seconds, rate):
    """Return all figures of one fleet size."""
    begin = time.monotonic()
    with measured_fleet.Fleet(count) as fleet:
        measured_fleet.wait_until(lambda: _declared(fleet), LIMIT_S, 0.5)
        measured_fleet.wait_until(fleet.ready, LIMIT_S)
        ready = time.monotonic() - begin
        time.sleep(SETTLE_S)
        result = {'instances': count, 'ready_s': ready}
        result['idle'] = measure(fleet, seconds, 0)
        result['busy'] = measure(fleet, seconds, rate)
        result['busier'] = measure(fleet, seconds, 2 * rate)
        changes = [time_change(fleet, number) for number in range(5)]
        result['accepted_s'] = statistics.median(c[0] for c in changes)
        result['in_force_s'] = statistics.median(c[1] for c in changes)
        result['in_force_max_s'] = max(c[1] for c in changes)
        end = time.monotonic() + 6.0
        load = [
            Load(fleet.instances[n::WORKERS], rate, end)
            for n in range(WORKERS)
        ]
        for worker in load:
            worker.start()
        result['drain_s'], result['drain_shown_s'] = time_drain(fleet)
        for worker in load:
            worker.join()
    low, high = result['busy'], result['busier']
    slope = (high['cpu'] - low['cpu']) / (high['rate'] - low['rate'])
    result['request_ms'] = slope * 1000
    result['busy_control'] = low['cpu'] - slope * low['rate']
    return result


def _declared(fleet):
    """The resources are declared."""
    try:
        fleet.declare()
    except errors.RequestError:
        return False
    return True


def line(points):
    """Return ``(slope, intercept)`` of a least-squares line."""
    if len(points) < 2:
        return float('nan'), points[0][1]
    fit = statistics.linear_regression(*zip(*points))
    return fit.slope, fit.intercept


def report(results):
    """Print the tables and the slopes against the number of instances."""
    print(
        'instances  ready s | core% idle  max  busy-control  ms/request |'
        ' out B/s idle busy | msgs/s | MB idle busy | change s med max |'
        ' drain s shown'
    )
    for item in results:
        idle, busy = item['idle'], item['busy']
        print(
            '%9d  %7.1f | %10.2f %4.2f  %12.2f  %10.2f | %12.0f %4.0f |'
            ' %6.1f | %7.1f %4.1f | %12.2f %4.2f | %7.2f %.2f'
            % (
                item['instances'],
                item['ready_s'],
                100 * idle['cpu'],
                100 * idle['cpu_max'],
                100 * item['busy_control'],
                item['request_ms'],
                idle['bytes_out'],
                busy['bytes_out'],
                idle['messages_out'],
                idle['mb'],
                item['busier']['mb'],
                item['in_force_s'],
                item['in_force_max_s'],
                item['drain_s'],
                item['drain_shown_s'],
            )
        )
    print('requests: sent and failed by size and rate')
    for item in results:
        print(
            '%9d ' % item['instances'],
            [
                '%d sent %d failed' % (item[k]['sent'], item[k]['failed'])
                for k in ('busy', 'busier')
            ],
        )
    print('platform calls a second of the whole fleet, by kind, idle')
    for item in results:
        calls = item['idle']['calls']
        shown = ' '.join('%s %.2f' % one for one in sorted(calls.items()))
        print('%9d  %s' % (item['instances'], shown))
    print('slopes against the number of instances (slope, intercept)')
    for name, value in (
        ('core share idle', lambda r: r['idle']['cpu']),
        ('core share busy, control', lambda r: r['busy_control']),
        ('bytes out a second idle', lambda r: r['idle']['bytes_out']),
        ('bytes out a second busy', lambda r: r['busy']['bytes_out']),
        ('MB idle', lambda r: r['idle']['mb']),
        ('change in force s', lambda r: r['in_force_s']),
        ('drain s', lambda r: r['drain_s']),
        ('platform calls a second', _product_calls),
    ):
        pair = line([(item['instances'], value(item)) for item in results])
        print('%-26s %.5g %.5g' % ((name,) + pair))
    for item in results:
        if item['instances'] == 12:
            idle = item['idle']
            print(
                'target at 12: core %.2f%% of 2.3%%, memory %.0f of %d MB,'
                ' sent %.0f of %d bytes a second'
                % (
                    100 * idle['cpu'],
                    idle['mb'],
                    CONTROL_MB,
                    idle['bytes_out'],
                    CONTROL_BYTES,
                )
            )


def _product_calls(item):
    # An instance's registration with the stand-in's list is test equipment.
    calls = item['idle']['calls']
    return sum(calls.values()) - calls.get('register', 0.0)


def main():
    """Run all sizes and print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', default='3,6,12,24')
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--rate', type=float, default=10.0)
    parser.add_argument('--json', action='store_true')
    args = parser.parse_args()
    print(
        'python bench/control.py --sizes %s --seconds %g --rate %g'
        % (args.sizes, args.seconds, args.rate)
    )
    print('load average at the start: %.1f %.1f %.1f' % os.getloadavg())
    results = []
    for size in args.sizes.split(','):
        results.append(run_size(int(size), args.seconds, args.rate))
        if args.json:
            print(json.dumps(results[-1]), flush=True)
    report(results)
    print('load average at the end: %.1f %.1f %.1f' % os.getloadavg())


if __name__ == '__main__':
    main()
