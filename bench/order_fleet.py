"""Real processes for the runs of ``bench.orders`` and ``bench.crashers``.

A platform stand-in, upstream stand-ins that write down each execution before
it starts, and instances, all on the local address.
"""

import collections
import hashlib
import http.client
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

SERVICE = 'loja'
TOKEN = 'bench'
PLACES = {
    'sul': ('sul-1', 'sul-2'),
    'sudeste': ('sudeste-1', 'sudeste-2'),
    'europa': ('europa-1', 'europa-2'),
}
INSTANCE = 'import sys; from jasminehold import cli; sys.exit(cli.main())'
PLATFORM = 'from jasminehold.standin import kv; kv.run(%s)'
UPSTREAM = 'from jasminehold.standin import upstream; upstream.run(%s)'


class Proc:
    """One process and the times between which it was not running freely."""

    def __init__(self, name, place, port, popen):
        self.name = name
        self.place = place
        self.port = port
        self.popen = popen
        self.ended_at = None

    def end(self):
        """Kill the process."""
        self.ended_at = time.monotonic()
        self.popen.kill()
        self.popen.wait()


class Fleet:
    """The processes of one run.

    Args:
        seed: seed of the platform stand-in's lost replies.
        prelude: module that is imported in each instance before it starts,
            with its argument; for variants that tests break on purpose.
    """

    def __init__(self, seed=1, prelude=None):
        self.dir = tempfile.TemporaryDirectory(prefix='orders-')
        self.path = pathlib.Path(self.dir.name)
        self.prelude = prelude
        self.instances = {}
        self.gone = {}
        self.upstreams = {}
        self._ports = set()
        self._serial = 0
        self._key = hashlib.sha256(b'orders').hexdigest()
        self.platform_port, self.control_port = self._port(), self._port()
        text = 'port=%d, control_port=%d, seed=%d'
        ports = (self.platform_port, self.control_port, seed)
        self.platform = self._spawn('platform', PLATFORM % (text % ports))

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for proc in [*self.instances.values(), *self.upstreams.values()]:
            if proc.ended_at is None:
                proc.end()
        self.platform.kill()
        self.platform.wait()
        self.dir.cleanup()

    def start(self, upstreams=6, instances=6, slots=6):
        """Start everything, declare it, and wait until it serves."""
        places = [place for region in PLACES.values() for place in region]
        self.slots = slots
        for n in range(upstreams):
            self.start_upstream('u%d' % n, places[n % len(places)])
        for n in range(instances):
            self.start_instance(places[n % len(places)])
        self._wait(lambda: self._declare(), 30)
        self._wait(self._serves, 40)

    def start_upstream(self, name, place=None):
        """Start an upstream, or start an ended one again."""
        before = self.upstreams.get(name)
        port = before.port if before else self._port()
        text = 'name=%r, port=%d, slots=%d, queue=32, count_file=%r, seed=1'
        code = UPSTREAM % (text % (name, port, self.slots, self.count_file))
        popen = self._spawn(name, code)
        place = before.place if before else place
        self.upstreams[name] = Proc(name, place, port, popen)

    def start_instance(self, place):
        """Start an instance under a new id."""
        self._serial += 1
        name = 'i-%d' % self._serial
        caller, api = self._port(), self._port()
        region = place.rpartition('-')[0]
        settings = {
            'id': name,
            'place': place,
            'region': region,
            'caller_listen': '127.0.0.1:%d' % caller,
            'api_listen': '127.0.0.1:%d' % api,
            'platform': ['127.0.0.1:%d' % self.platform_port],
            'peer_keys': {'k1': self._key},
            'peer_key_id': 'k1',
            'register': True,
            'operators': {'bench': hashlib.sha256(TOKEN.encode()).hexdigest()},
        }
        path = self.path / (name + '.json')
        path.write_text(json.dumps(settings))
        code = INSTANCE
        if self.prelude:
            module, variant = self.prelude
            code = 'import %s; %s.break_rule(%r); ' % (module, module, variant)
            code += INSTANCE
        popen = self._spawn(name, code, 'serve', str(path))
        proc = Proc(name, place, caller, popen)
        proc.api = api
        self.instances[name] = proc
        return proc

    def kill_instance(self, name):
        """Kill an instance."""
        proc = self.instances.pop(name)
        self.gone[proc.port] = proc
        proc.end()
        return proc

    def faults(self, **changes):
        """Set faults of the platform stand-in."""
        conn = http.client.HTTPConnection('127.0.0.1', self.control_port)
        conn.request('POST', '/faults', json.dumps(changes))
        assert conn.getresponse().status == 200
        conn.close()

    @property
    def count_file(self):
        """File of all executions."""
        return str(self.path / 'executions')

    def executions(self):
        """Return executions by request id and by key, and upstreams used."""
        by_id, by_key = collections.Counter(), collections.Counter()
        at = collections.defaultdict(set)
        try:
            lines = pathlib.Path(self.count_file).read_text().splitlines()
        except FileNotFoundError:
            lines = []
        for line in lines:
            name, ident, key = line.split(' ')
            by_id[ident] += 1
            at[ident].add(name)
            if key:
                by_key[key] += 1
        return by_id, by_key, at

    def log(self, name):
        """Return what a process wrote."""
        return (self.path / (name + '.log')).read_text()

    def metric(self, name):
        """Return a counter's sum over the living instances."""
        total = 0.0
        for proc in self.instances.values():
            text = self._api(proc, 'GET', '/metrics')[1].decode()
            for line in text.splitlines():
                if line.startswith(name):
                    total += float(line.rpartition(' ')[2])
        return total

    # Internals.

    def _port(self):
        # Below the range from which the system chooses ports of clients.
        while True:
            # Not by seed, so that two runs at once do not meet.
            port = random.SystemRandom().randrange(24000, 32000)
            if port in self._ports:
                continue
            self._ports.add(port)
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(('127.0.0.1', port))
                except OSError:
                    continue
                return port

    def _spawn(self, name, code, *args):
        with (self.path / (name + '.log')).open('ab') as out:
            return subprocess.Popen(
                [sys.executable, '-c', code, *args],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )

    def _api(self, proc, method, path, doc=None):
        conn = http.client.HTTPConnection('127.0.0.1', proc.api, timeout=5)
        body = None if doc is None else json.dumps(doc)
        headers = {'Authorization': 'Bearer ' + TOKEN}
        conn.request(method, path, body, headers)
        answer = conn.getresponse()
        data = answer.read()
        conn.close()
        return answer.status, data

    def _declare(self):
        docs = [(('region', name), {'capacity_rps': 5000}) for name in PLACES]
        for region, places in PLACES.items():
            for place in places:
                spec = {'region': region, 'capacity_rps': 5000}
                docs.append((('place', place), spec))
        spec = {'request_timeout_ms': 4000, 'retry_budget': 0.2}
        docs.append((('service', SERVICE), spec))
        for name, proc in self.upstreams.items():
            spec = {
                'service': SERVICE,
                'place': proc.place,
                'host': '127.0.0.1',
                'port': proc.port,
                'slots': self.slots,
                'connections': 300,
            }
            docs.append((('upstream', name), spec))
        first = next(iter(self.instances.values()))
        for (kind, name), spec in docs:
            doc = {'metadata': {'resource_version': 0}, 'spec': spec}
            path = '/v1/resources/%s/%s' % (kind, name)
            status, data = self._api(first, 'PUT', path, doc)
            if status not in (200, 201, 409):
                raise OSError('%s: %d %r' % (path, status, data))
        return True

    def _serves(self):
        for proc in self.instances.values():
            if self._api(proc, 'GET', '/readyz')[0] != 200:
                return False
        seen = lookup(next(iter(self.instances.values())).port)
        return len(seen) >= min(4, len(self.instances))

    def _wait(self, check, seconds):
        end = time.monotonic() + seconds
        while True:
            try:
                if check():
                    return
            except (OSError, http.client.HTTPException) as exc:
                if time.monotonic() > end:
                    raise RuntimeError('not started: %r' % exc) from exc
            if time.monotonic() > end:
                raise RuntimeError('not started: %s' % check)
            time.sleep(0.1)


def lookup(port, block='127.0.0.1'):
    """Ask an instance for the ports that callers should use."""
    conn = http.client.HTTPConnection('127.0.0.1', port, timeout=3)
    path = '/v1/lookup?service=%s&block=%s' % (SERVICE, block)
    conn.request('GET', path)
    answer = conn.getresponse()
    doc = json.loads(answer.read())
    conn.close()
    return [item['port'] for item in doc['answers'][0]['instances']]


class Chaos(threading.Thread):
    """Kills, freezes and restarts processes of a fleet, by seed.

    Attributes:
        counts: faults by kind.
    """

    def __init__(self, fleet, seed):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.counts = collections.Counter()
        self.failed = None
        self._stop_it = threading.Event()
        self._later = []
        self._busy = set()

    def run(self):
        """Cause faults until stopped, then end all of them."""
        try:
            while not self._stop_it.is_set():
                self._step()
                self._stop_it.wait(self.rng.uniform(0.5, 1.5))
                self._due(time.monotonic())
        except Exception as exc:
            self.failed = exc
        finally:
            self._due(float('inf'))

    def stop(self):
        """End the faults and wait until everything runs."""
        self._stop_it.set()
        self.join()
        if self.failed is not None:
            raise self.failed

    def _due(self, now):
        for item in [item for item in self._later if item[0] <= now]:
            self._later.remove(item)
            self._busy.discard(item[1])
            item[2]()

    def _after(self, seconds, what, call):
        self._busy.add(what)
        self._later.append((time.monotonic() + seconds, what, call))

    def _step(self):
        fault = self.rng.choice(
            (
                self._kill_instance,
                self._freeze_instance,
                self._kill_upstream,
                self._kill_upstream,
                self._freeze_upstream,
                self._lose_replies,
                self._platform_down,
            )
        )
        fault()

    def _some(self, procs, most):
        busy = [what for what in self._busy if what in procs]
        down = [what for what in self._busy if what.startswith('down-')]
        if procs is self.fleet.instances:
            busy += down
        free = sorted(name for name in procs if name not in self._busy)
        if len(busy) >= most or not free:
            return None
        return self.rng.choice(free)

    def _kill_instance(self):
        name = self._some(self.fleet.instances, 2)
        if name is not None:
            self.counts['instances killed'] += 1
            place = self.fleet.kill_instance(name).place
            again = self.rng.uniform(0.5, 2.0)
            start = self.fleet.start_instance
            self._after(again, 'down-' + name, lambda: start(place))

    def _freeze_instance(self):
        name = self._some(self.fleet.instances, 2)
        if name is not None:
            self.counts['instances frozen'] += 1
            self._freeze(name, self.fleet.instances[name], 4.5, 7.0)

    def _kill_upstream(self):
        name = self._some(self.fleet.upstreams, 2)
        if name is not None:
            self.counts['upstreams killed'] += 1
            self.fleet.upstreams[name].end()
            start = self.fleet.start_upstream
            again = self.rng.uniform(0.5, 2.0)
            self._after(again, name, lambda: start(name))

    def _freeze_upstream(self):
        name = self._some(self.fleet.upstreams, 2)
        if name is not None:
            self.counts['upstreams frozen'] += 1
            self._freeze(name, self.fleet.upstreams[name], 1.0, 5.0)

    def _freeze(self, name, proc, least, most):
        proc.popen.send_signal(signal.SIGSTOP)
        seconds = self.rng.uniform(least, most)

        def resume():
            proc.popen.send_signal(signal.SIGCONT)

        self._after(seconds, name, resume)

    def _lose_replies(self):
        if 'platform' not in self._busy:
            self.counts['platform losing replies'] += 1
            self.fleet.faults(lose_probability=0.3)
            reset = self.fleet.faults
            seconds = self.rng.uniform(1.0, 4.0)
            again = {'lose_probability': 0.0}
            self._after(seconds, 'platform', lambda: reset(**again))

    def _platform_down(self):
        if 'platform' not in self._busy:
            self.counts['platform down'] += 1
            self.fleet.faults(mode=self.rng.choice(('refuse', 'silent')))
            seconds = self.rng.uniform(1.0, 4.0)
            reset = self.fleet.faults
            self._after(seconds, 'platform', lambda: reset(mode=''))
