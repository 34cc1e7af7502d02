"""Emulates one of the two deployments with real processes.

Usage: ``python bench/deployment.py NAME [--seed N] [--load SHARE]
[--seconds S] [--experiment E]``, NAME ``ferromodelos`` or ``kedjeverk``.

Starts the platform stand-in, 12 instances (two in each place), all upstream
servers and four processes of open-loop load, declares the resources through
the API, runs one experiment and prints the three measures; plots and raw
records are written under ``out/``. All times are bounded by the phases.

What is emulated where: the latency between a client and an instance (and
between regions, when the instance is in another one) by the load processes;
the latency between an instance and an upstream, the cost of a new connection
and cold caches by the upstreams. Latencies count in each direction. Streams
between instances and calls of the platform are not delayed.
"""

import argparse
import hashlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
import urllib.request

from bench import deployment_report
from bench import deployments
from jasminehold import api_client
from jasminehold import errors

WORKERS = 4
WARM_UP_S = 12.0
START_BOUND_S = 20.0
ORDERS = 0.1
BLOCKS_PER_REGION = 24
# Weight of the n-th largest block: 1 / (n + 1) ** SKEW.
SKEW = 0.6
TOKEN = 'bench'
CLIENT_S = {'ferromodelos': 0.003, 'kedjeverk': 0.008}
SERVICE_S = {'ferromodelos': 0.060, 'kedjeverk': 0.090}
# Caps of the links between regions, as a share of the source's capacity.
LINK_SHARE = 0.25


class Run:
    """The processes of one deployment and what is declared.

    Args:
        name: the deployment.
        seed: seed of all random choices.
        out: directory for raw records.
    """

    def __init__(self, name, seed, out):
        self.deployment = deployments.BY_NAME[name]
        self.seed = seed
        self.out = out
        self.processes = {}
        self.notes = []
        self.net = '127.%d.' % (20 + os.getpid() % 200)
        self.places = deployments.all_places(self.deployment)
        self.service_s = SERVICE_S[name]
        self.regions = {
            place: deployments.region_of(self.deployment, place)
            for place in self.places
        }
        self.upstreams = self._upstreams()
        self.instances = {}
        for index in range(12):
            place = self.places[index % 6]
            self.instances['%s-i%d' % (place, index // 6)] = {
                'place': place,
                'region': self.regions[place],
                'host': self.net + '1.%d' % (index + 1),
                'port': 7000,
            }
        slots = sum(one['slots'] for one in self.upstreams.values())
        self.capacity = slots / self.service_s
        self.solo = min(
            n
            for n, o in self.upstreams.items()
            if o['place'] == self.places[0]
        )
        self.blocks = self._blocks()
        self.links = self._links()
        self.client = api_client.Client(
            [(one['host'], 7100) for one in self.instances.values()], TOKEN
        )

    def _upstreams(self):
        found = {}
        services = self.deployment.services.items()
        for service, (count, slots, connections) in services:
            for index in range(count):
                found['%s-%d' % (service, index)] = {
                    'service': service,
                    'place': self.places[index % 6],
                    'host': self.net + '2.%d' % (len(found) + 1),
                    'port': 8000,
                    'slots': slots,
                    'connections': connections,
                }
        return found

    def place_rps(self, place):
        """Return a place's capacity in requests a second."""
        slots = sum(
            one['slots']
            for one in self.upstreams.values()
            if one['place'] == place
        )
        return slots / self.service_s

    def _blocks(self):
        rng = random.Random(self.seed)
        found = []
        for region, places in self.deployment.places.items():
            share = sum(map(self.place_rps, places)) / self.capacity
            weights = [(n + 1) ** -SKEW for n in range(BLOCKS_PER_REGION)]
            for weight in weights:
                found.append(
                    {
                        'address': '%s%d.1' % (self.net, 100 + len(found)),
                        'region': region,
                        'site': rng.choice(places),
                        'weight': share * weight / sum(weights),
                        'worker': len(found) % WORKERS,
                    }
                )
        return found

    def _links(self):
        return {
            (one, other): int(self.place_rps(one) * LINK_SHARE)
            for one in self.places
            for other in self.places
            if self.regions[one] != self.regions[other]
        }

    # Processes.

    def spawn(self, name, args):
        """Start a process of this run."""
        log = open('%s/%s.log' % (self.out, name), 'w')
        self.processes[name] = subprocess.Popen(
            [sys.executable] + args, stdout=log, stderr=log
        )

    def signal(self, name, signo):
        """Send a signal to one process of this run."""
        self.processes[name].send_signal(signo)

    def spec(self):
        """Return what the servers and the load processes need."""
        slots = sum(one['slots'] for one in self.upstreams.values())
        return {
            'seed': self.seed,
            'out': str(self.out),
            'regions': self.regions,
            'instances': self.instances,
            'upstreams': self.upstreams,
            'solo': self.solo,
            'blocks': self.blocks,
            'services': {
                service: {'share': count * per_server / slots}
                for service, (count, per_server, _) in (
                    self.deployment.services.items()
                )
            },
            'orders': ORDERS,
            'near_s': self.deployment.near_s,
            'far_s': self.deployment.far_s,
            'client_s': CLIENT_S[self.deployment.name],
            'connect_s': 0.001,
            'service_s': self.service_s,
            'cold_factor': 3.0,
            'cold_requests': 8,
        }

    def start(self):
        """Start everything but the load, and declare the resources."""
        spec_file = '%s/spec.json' % self.out
        with open(spec_file, 'w') as file:
            json.dump(self.spec(), file)
        platform = self.net + '0.1'
        self.spawn(
            'platform',
            ['-m', 'jasminehold', 'stand-in', 'platform']
            + ['--host', platform, '--port', '8500']
            + ['--control_port', '8501'],
        )
        for group in self.places + ['solo']:
            self.spawn(
                'servers-' + group,
                ['bench/deployment_servers.py', spec_file, group],
            )
        first = next(iter(self.instances.values()))['host']
        for name, one in self.instances.items():
            settings = {
                'id': name,
                'place': one['place'],
                'region': one['region'],
                'caller_listen': '%s:7000' % one['host'],
                'api_listen': '%s:7100' % one['host'],
                'peer_listen': '%s:7200' % one['host'],
                'platform': [platform + ':8500'],
                'peers': [first + ':7200'] if one['host'] != first else [],
                'peer_keys': {'k1': '5a' * 32},
                'peer_key_id': 'k1',
                'register': True,
                'operators': {
                    'bench': hashlib.sha256(TOKEN.encode()).hexdigest()
                },
            }
            path = '%s/%s.json' % (self.out, name)
            with open(path, 'w') as file:
                json.dump(settings, file)
            self.spawn(name, ['-m', 'jasminehold', 'serve', path])
        self.declare_all()
        self._await_ready()

    def stop(self):
        """End all processes of this run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + 3
        for process in self.processes.values():
            try:
                process.wait(max(deadline - time.monotonic(), 0.01))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _await_ready(self):
        deadline = time.monotonic() + START_BOUND_S
        for one in self.instances.values():
            while True:
                try:
                    with urllib.request.urlopen(
                        'http://%s:7100/readyz' % one['host'], timeout=2
                    ):
                        break
                except OSError:
                    if time.monotonic() > deadline:
                        raise
                    time.sleep(0.2)

    # Resources.

    def declare(self, kind, name, spec):
        """Declare or update a resource."""
        path = '/v1/resources/%s/%s' % (kind, name)
        try:
            version = self.client.call('GET', path)['metadata'][
                'resource_version'
            ]
        except errors.RequestError as exc:
            if exc.kind is not errors.Kind.NOT_FOUND:
                raise
            version = 0
        body = {
            'kind': kind,
            'metadata': {'name': name, 'resource_version': version},
            'spec': spec,
        }
        self.client.call('PUT', path, body=body)

    def _first(self, kind, name, spec):
        deadline = time.monotonic() + START_BOUND_S
        while True:
            try:
                return self.declare(kind, name, spec)
            except errors.RequestError as exc:
                # References reach the answering instance a moment later.
                if time.monotonic() > deadline:
                    raise exc
                time.sleep(0.2)

    def declare_all(self):
        """Declare the whole deployment."""
        deployment = self.deployment
        for service in deployment.services:
            self._first('service', service, {'request_timeout_ms': 5000})
        for region, places in deployment.places.items():
            rps = sum(map(self.place_rps, places))
            self._first('region', region, {'capacity_rps': rps})
        for place in self.places:
            latencies = {
                other: 1000
                * (
                    deployment.near_s
                    if self.regions[other] == self.regions[place]
                    else deployment.far_s
                )
                for other in self.places
                if other != place
            }
            spec = {
                'region': self.regions[place],
                'capacity_rps': self.place_rps(place),
                'latency_ms': latencies,
            }
            self._first('place', place, spec)
        for name, one in self.upstreams.items():
            self._first('upstream', name, one)
        for (one, other), cap in self.links.items():
            self.declare_link(one, other, cap)
        for region in deployment.places:
            blocks = [
                {
                    'cidr': block['address'].rpartition('.')[0] + '.0/24',
                    'site': block['site'],
                }
                for block in self.blocks
                if block['region'] == region
            ]
            spec = {'region': region, 'blocks': blocks}
            self._first('client_blocks', region, spec)

    def declare_link(self, one, other, cap):
        """Declare a link's cap in requests a second."""
        self.links[one, other] = cap
        spec = {'from_place': one, 'to_place': other, 'cap_rps': cap}
        self._first('link', '%s-to-%s' % (one, other), spec)

    def declare_split(self, service, region, shares):
        """Declare a split; places without a share take overflow."""
        full = {place: shares.get(place, 0.0) for place in self.places}
        spec = {'service': service, 'client_region': region, 'shares': full}
        self._first('traffic_split', '%s-%s' % (service, region), spec)

    def duplicates(self):
        """Return ``(orders run, keys that ran more than once)``."""
        counts = {}
        for one in self.upstreams.values():
            url = 'http://%s:%d/executions' % (one['host'], one['port'])
            try:
                with urllib.request.urlopen(url, timeout=2) as answer:
                    found = json.load(answer)['by_key']
            except OSError:
                continue
            for key, count in found.items():
                counts[key] = counts.get(key, 0) + count
        return len(counts), sum(1 for n in counts.values() if n > 1)

    def dump(self):
        """Write the counters of the instances and the plans to files."""
        for name, one in self.instances.items():
            self._fetch('http://%s:7100/metrics' % one['host'], name + '.prom')
        for region in self.deployment.places:
            # The plan is base64 in the field Value of the answer.
            url = 'http://%s0.1:8500/api/kv-key?Key=state/plan/%s'
            self._fetch(url % (self.net, region), 'plan-%s.json' % region)

    def _fetch(self, url, name):
        try:
            with urllib.request.urlopen(url, timeout=2) as answer:
                (self.out / name).write_bytes(answer.read())
        except OSError:
            # A killed instance has no counters.
            pass

    # The load.

    def load(self, phases, events):
        """Run phases of load and events in them.

        Args:
            phases: list of ``(name, seconds, share of capacity, direct)``.
            events: list of ``(phase, seconds after its start, func)``.

        Returns:
            The phases as dictionaries with ``start`` and ``end``.
        """
        at = time.monotonic() + 2.0
        listed = []
        for name, seconds, share, direct in phases:
            listed.append(
                {
                    'name': name,
                    'start': at,
                    'end': at + seconds,
                    'rps': share * self.capacity,
                    'direct': direct,
                }
            )
            at += seconds
        spec = dict(self.spec(), phases=listed)
        path = '%s/load-spec.json' % self.out
        with open(path, 'w') as file:
            json.dump(spec, file)
        for number in range(WORKERS):
            self.spawn(
                'load-%d' % number,
                ['bench/deployment_load.py', path, str(number)],
            )
        starts = {phase['name']: phase['start'] for phase in listed}
        for phase, after, func in events:
            left = starts[phase] + after - time.monotonic()
            if left > 0:
                time.sleep(left)
            func(self)
            self.notes.append((time.monotonic(), func.__name__))
        for number in range(WORKERS):
            self.processes['load-%d' % number].wait(
                max(at - time.monotonic(), 0) + 20
            )
        return listed


# Experiments: functions from (run, load, seconds) to (phases, events).


def steady(run, load, seconds):
    """Steady load, then the same load sent at random to the upstreams."""
    return [
        ('warm-up', WARM_UP_S, load, False),
        ('product', seconds, load, False),
        ('pause', 2, 0.001, False),
        ('warm-up direct', WARM_UP_S, load, True),
        ('direct', seconds, load, True),
    ], [('pause', 0, Run.dump)]


def frozen(run, load, seconds):
    """One upstream's process is stopped with SIGSTOP."""

    def freeze(run):
        run.signal('servers-solo', signal.SIGSTOP)

    return [
        ('warm-up', WARM_UP_S, load, False),
        ('before', seconds, load, False),
        ('frozen', seconds, load, False),
    ], [('frozen', 0, freeze)]


def _movement(run, cap=None, step=0.1, share=0.3, across=False):
    service = next(iter(run.deployment.services))
    spec = {
        'service': service,
        'client_region': run.regions[run.places[0]],
        'from_place': run.places[0],
        'to_place': run.places[2 if across else 1],
        'target_share': share,
        'cap_rps': cap or int(run.capacity),
        'step_share': step,
        'step_seconds': 2.0,
    }
    run._first('movement', 'shift', spec)


def _even_split(run):
    service = next(iter(run.deployment.services))
    first, second = run.places[:2]
    region = run.regions[first]
    run.declare_split(service, region, {first: 0.5, second: 0.5})


def movement(run, load, seconds):
    """30% of a place's traffic moves with slow start, to cold caches."""
    _even_split(run)

    def move(run):
        _movement(run, across=True)

    return [
        ('warm-up', WARM_UP_S, load, False),
        ('before', seconds, load, False),
        ('moving', seconds, load, False),
    ], [('moving', 0, move)]


def movement_at_once(run, load, seconds):
    """The same traffic moves at once by a changed split."""
    _even_split(run)

    def move(run):
        service = next(iter(run.deployment.services))
        one, two, three = run.places[:3]
        shares = {one: 0.35, two: 0.5, three: 0.15}
        run.declare_split(service, run.regions[one], shares)

    return [
        ('warm-up', WARM_UP_S, load, False),
        ('before', seconds, load, False),
        ('moving', seconds, load, False),
    ], [('moving', 0, move)]


def link(run, load, seconds):
    """A movement whose target lies behind a link with a low cap."""
    _even_split(run)
    one, other = run.places[0], run.places[2]
    run.declare_link(one, other, int(run.place_rps(one) * 0.05))

    def move(run):
        _movement(run, step=0.3, share=0.9, across=True)

    return [
        ('warm-up', WARM_UP_S, load, False),
        ('before', seconds, load, False),
        ('moving', seconds, load, False),
    ], [('moving', 0, move)]


def region_loss(run, load, seconds):
    """All instances and upstreams of the first region are killed."""
    region = run.regions[run.places[0]]

    def lose(run):
        for name, one in run.instances.items():
            if one['region'] == region:
                run.signal(name, signal.SIGKILL)
        for place in run.deployment.places[region]:
            run.signal('servers-' + place, signal.SIGKILL)
        run.signal('servers-solo', signal.SIGKILL)

    return [
        ('warm-up', WARM_UP_S, load, False),
        ('before', seconds, load, False),
        ('lost 0-5 s', 5, load, False),
        ('lost 5-15 s', 10, load, False),
        ('lost 15 s on', seconds, load, False),
    ], [('lost 0-5 s', 0, lose)]


def overload(run, load, seconds):
    """Offered load at capacity and at twice the capacity."""
    return [
        ('warm-up', WARM_UP_S, 0.7, False),
        ('capacity', seconds, 1.0, False),
        ('twice', seconds, 2.0, False),
    ], []


def drain(run, load, seconds):
    """An upstream is drained, then the place of another region."""

    def drain_upstream(run):
        spec = {'target_kind': 'upstream', 'target_name': run.solo}
        run._first('drain', 'one-upstream', spec)

    def drain_place(run):
        spec = {'target_kind': 'place', 'target_name': run.places[2]}
        run._first('drain', 'one-place', spec)

    return [
        ('warm-up', WARM_UP_S, load, False),
        ('before', seconds, load, False),
        ('upstream', seconds, load, False),
        ('place', seconds, load, False),
    ], [('upstream', 0, drain_upstream), ('place', 0, drain_place)]


EXPERIMENTS = {
    'steady': steady,
    'frozen': frozen,
    'link': link,
    'movement': movement,
    'movement-at-once': movement_at_once,
    'region-loss': region_loss,
    'overload': overload,
    'drain': drain,
}


def main(argv):
    """Run one experiment and print its measures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('name', choices=sorted(deployments.BY_NAME))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--load', type=float, default=0.5)
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument(
        '--experiment', choices=sorted(EXPERIMENTS), default='steady'
    )
    args = parser.parse_args(argv)
    label = '%s-%s-%d' % (args.name, args.experiment, args.load * 100)
    out = pathlib.Path('out') / label
    out.mkdir(parents=True, exist_ok=True)
    for old in out.glob('*'):
        old.unlink()
    print('command: python bench/deployment.py ' + ' '.join(argv))
    run = Run(args.name, args.seed, out)
    try:
        run.start()
        phases, events = EXPERIMENTS[args.experiment](
            run, args.load, args.seconds
        )
        phases = run.load(phases, events)
        duplicates = run.duplicates()
        if args.experiment != 'steady':
            run.dump()
    finally:
        run.stop()
    deployment_report.write(run, label, phases, duplicates)


if __name__ == '__main__':
    main(sys.argv[1:])
