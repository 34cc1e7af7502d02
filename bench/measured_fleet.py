"""Starts a small fleet of real processes for measurements.

The platform stand-in, upstream stand-ins and instances are started through
the command line, each with its output in a file of a temporary directory.
"""

import contextlib
import hashlib
import json
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

from jasminehold import api_client
from jasminehold import errors

HOST = '127.0.0.1'
TOKEN = 'bench-operator'
PLACES = (
    ('sul-a', 'sul'),
    ('sul-b', 'sul'),
    ('sudeste-a', 'sudeste'),
    ('sudeste-b', 'sudeste'),
    ('europa-a', 'europa'),
    ('europa-b', 'europa'),
)
SERVICE = 'loja'
SLOTS = 96
TICKS = os.sysconf('SC_CLK_TCK')
_LINE = re.compile(r'^jasminehold_(\w+?)(?:\{(.*)\})? (\S+)$')
_LABEL = re.compile(r'(\w+)="([^"]*)"')


def free_ports(count):
    """Return unused ports below the range of outgoing connections.

    A port of that range could be taken by an outgoing connection of an
    earlier process before its own process listens.
    """
    candidates = random.Random().sample(range(20000, 32000), 3 * count)
    found = []
    for port in candidates:
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found[:count]


def cpu_s(pid):
    """Return the processor seconds that a process has used."""
    with open('/proc/%d/stat' % pid) as file:
        fields = file.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    """Return the resident memory of a process in MB (2**20 bytes)."""
    with open('/proc/%s/status' % pid) as file:
        for line in file:
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
    return 0.0


def fetch(port, path, timeout=5.0):
    """Return the body of a GET request."""
    url = 'http://%s:%d%s' % (HOST, port, path)
    with urllib.request.urlopen(url, timeout=timeout) as answer:
        return answer.read()


def scrape(port):
    """Return an instance's metrics as ``{(name, labels): value}``."""
    found = {}
    for line in fetch(port, '/metrics').decode().splitlines():
        match = _LINE.match(line)
        if match:
            labels = tuple(sorted(_LABEL.findall(match.group(2) or '')))
            found[match.group(1), labels] = float(match.group(3))
    return found


def totals(samples, name):
    """Return a metric's sum over its labels and over all samples."""
    return sum(
        value
        for sample in samples
        for (key, _), value in sample.items()
        if key == name
    )


def wait_until(check, limit, every=0.05):
    """Return the seconds until a check holds.

    Raises:
        SystemExit: when it does not hold in time.
    """
    begin = time.monotonic()
    while time.monotonic() - begin < limit:
        if check():
            return time.monotonic() - begin
        time.sleep(every)
    raise SystemExit('not reached within %g s: %s' % (limit, check.__doc__))


class Instance:
    """One instance process and its ports."""

    def __init__(self, number, ports):
        self.id = 'i%02d' % number
        self.place, self.region = PLACES[number % len(PLACES)]
        self.caller, self.api, self.peer = ports
        self.process = None


class Fleet:
    """A fleet of processes; use it as a context manager.

    Args:
        count: number of instances.
    """

    def __init__(self, count):
        self._stack = contextlib.ExitStack()
        self._dir = None
        self._processes = []
        ports = free_ports(2 + len(PLACES) + 3 * count)
        self.platform, self.platform_control = ports[:2]
        self.upstreams = ports[2 : 2 + len(PLACES)]
        rest = ports[2 + len(PLACES) :]
        self.instances = [
            Instance(n, rest[3 * n : 3 * n + 3]) for n in range(count)
        ]
        self.api = api_client.Client(
            [(HOST, item.api) for item in self.instances], TOKEN
        )

    def __enter__(self):
        self._dir = self._stack.enter_context(tempfile.TemporaryDirectory())
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc):
        for process in reversed(self._processes):
            process.terminate()
        for process in self._processes:
            try:
                process.wait(3)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._stack.close()

    def _run(self, name, *args):
        path = os.path.join(self._dir, name + '.log')
        file = self._stack.enter_context(open(path, 'wb'))
        command = [sys.executable, '-m', 'jasminehold', *args]
        process = subprocess.Popen(command, stdout=file, stderr=file)
        self._processes.append(process)
        return process

    def _start(self):
        self._run(
            'platform',
            'stand-in',
            'platform',
            '--port=%d' % self.platform,
            '--control_port=%d' % self.platform_control,
        )
        for (place, _), port in zip(PLACES, self.upstreams):
            self._run(
                'upstream-' + place,
                'stand-in',
                'upstream',
                '--name=%s-%s' % (SERVICE, place),
                '--port=%d' % port,
                '--slots=%d' % SLOTS,
            )
        self._wait_platform()
        for item in self.instances:
            item.process = self._run(item.id, 'serve', self._settings(item))
        wait_until(self._answering, 60)

    def _wait_platform(self):
        def check():
            """The platform stand-in answers."""
            try:
                self.platform_calls()
            except OSError:
                return False
            return True

        wait_until(check, 15)

    def _settings(self, item):
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        document = {
            'id': item.id,
            'place': item.place,
            'region': item.region,
            'caller_listen': '%s:%d' % (HOST, item.caller),
            'api_listen': '%s:%d' % (HOST, item.api),
            'peer_listen': '%s:%d' % (HOST, item.peer),
            'platform': ['%s:%d' % (HOST, self.platform)],
            'peers': ['%s:%d' % (HOST, self.instances[0].peer)],
            'peer_keys': {'k1': '11' * 32},
            'peer_key_id': 'k1',
            'register': True,
            'operators': {'bench': digest},
        }
        path = os.path.join(self._dir, item.id + '.json')
        with open(path, 'w') as file:
            json.dump(document, file)
        return path

    def _answering(self):
        """All instances answer health requests."""
        for item in self.instances:
            if item.process.poll() is not None:
                path = os.path.join(self._dir, item.id + '.log')
                with open(path) as file:
                    raise SystemExit('%s ended: %s' % (item.id, file.read()))
        try:
            for item in self.instances:
                fetch(item.api, '/healthz')
        except OSError:
            return False
        return True

    def ready(self):
        """All instances are ready for callers."""
        try:
            for item in self.instances:
                fetch(item.api, '/readyz')
        except OSError:
            return False
        return True

    def platform_calls(self):
        """Return the stand-in's count of calls by kind."""
        body = fetch(self.platform_control, '/stats')
        return json.loads(body)['calls']

    def put(self, kind, name, spec):
        """Declare a resource and return its stored document."""
        path = '/v1/resources/%s/%s' % (kind, name)
        version = 0
        try:
            version = self.get(kind, name)['metadata']['resource_version']
        except errors.RequestError as exc:
            if exc.kind is not errors.Kind.NOT_FOUND:
                raise
        body = {
            'metadata': {'name': name, 'resource_version': version},
            'spec': spec,
        }
        return self.api.call('PUT', path, body=body)

    def get(self, kind, name):
        """Return a resource with its status."""
        return self.api.call('GET', '/v1/resources/%s/%s' % (kind, name))

    def declare(self):
        """Declare the service, regions, places, upstreams and blocks."""
        self.put('service', SERVICE, {'request_timeout_ms': 5000})
        for region in sorted({region for _, region in PLACES}):
            self.put('region', region, {'capacity_rps': 20000})
        for place, region in PLACES:
            latencies = {
                other: 0.5 if near == region else 20.0
                for other, near in PLACES
                if other != place
            }
            spec = {'region': region, 'capacity_rps': 10000}
            self.put('place', place, {**spec, 'latency_ms': latencies})
        for (place, _), port in zip(PLACES, self.upstreams):
            spec = {
                'service': SERVICE,
                'place': place,
                'host': HOST,
                'port': port,
                'slots': SLOTS,
                'connections': 960,
            }
            self.put('upstream', '%s-%s' % (SERVICE, place), spec)
        blocks = [
            {'cidr': '10.%d.0.0/16' % n, 'site': place}
            for n, (place, _) in enumerate(PLACES)
        ]
        spec = {'region': 'sul', 'blocks': blocks}
        self.put('client_blocks', 'clients', spec)
