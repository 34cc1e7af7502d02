"""A miniature deployment as separate processes on loopback.

Starts the platform's stand-in, upstream stand-ins and instances, each as a
process of its own with ports that the system chooses, and ends them by their
own ids.
"""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

from jasminehold import api_client
from jasminehold import errors

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
KEYS = {'k1': '5a' * 32}
START_S = 20.0


class Process:
    """One child process whose output lines are collected.

    Args:
        args: arguments of the command line ``jasminehold``.

    Attributes:
        lines: lines of standard output, as text.
        logs: lines of standard error, as text.
    """

    def __init__(self, *args):
        env = dict(os.environ, PYTHONPATH=str(ROOT / 'src'))
        self.popen = subprocess.Popen(
            [sys.executable, '-m', 'jasminehold'] + [str(a) for a in args],
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.lines, self.logs = [], []
        self._threads = []
        for stream, into in (
            (self.popen.stdout, self.lines),
            (self.popen.stderr, self.logs),
        ):
            thread = threading.Thread(
                target=into.extend, args=(stream,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def signal(self, signo):
        """Send a signal to the process if it still runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(signo)

    def end(self):
        """Kill the process, frozen or not, and collect its output."""
        self.signal(signal.SIGKILL)
        self.popen.wait()
        for thread in self._threads:
            thread.join(5)

    def events(self):
        """Return the log lines as dictionaries."""
        return [json.loads(x) for x in list(self.logs) if x.startswith('{')]


def wait_until(condition, seconds, what):
    """Wait for a condition and return the seconds that it took.

    Raises:
        AssertionError: when it does not come true in time.
    """
    begin = time.monotonic()
    while not condition():
        if time.monotonic() - begin > seconds:
            raise AssertionError('not within %g s: %s' % (seconds, what))
        time.sleep(0.05)
    return time.monotonic() - begin


class Instance(Process):
    """One instance with the ports that it chose."""

    def __init__(self, cfg, folder):
        self.cfg = cfg
        path = os.path.join(folder, cfg['id'] + '.json')
        with open(path, 'w') as out:
            json.dump(cfg, out)
        super().__init__('serve', path)
        self.ports = None

    def wait_started(self):
        """Wait until the instance has told its ports."""

        def told():
            for event in self.events():
                if event['event'] == 'instance started':
                    self.ports = event
            if self.popen.poll() is not None:
                raise AssertionError(''.join(self.logs)[-2000:])
            return self.ports

        wait_until(told, START_S, 'start of ' + self.cfg['id'])

    def ready(self):
        """Return whether the instance takes callers."""
        conn = http.client.HTTPConnection(
            HOST, self.ports['api_port'], timeout=3
        )
        try:
            conn.request('GET', '/readyz')
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()


class Fleet:
    """One deployment in miniature.

    Args:
        docs: resources; the host and port of upstreams are filled in.
        instances: number of instances, spread over the places in turn.
        operators: names of operators; the token is the name.
        settings: further settings of each instance.

    Attributes:
        docs: resources as declared, by ``(kind, name)``.
        upstreams: :class:`Process` by name.
        instances: :class:`Instance` by id.
    """

    def __init__(self, docs, instances=9, operators=('demo',), **settings):
        self.docs = {(d['kind'], d['metadata']['name']): d for d in docs}
        self.folder = tempfile.mkdtemp(prefix='jasminehold-')
        self.settings = settings
        self.operators = operators
        self.upstreams, self.instances = {}, {}
        self.ended = []
        self.platform = None
        self.addresses = {}
        places = self.of('place')
        names = list(places)
        self._where = [
            ('i%d' % n, names[n % len(names)]) for n in range(instances)
        ]

    def of(self, kind):
        """Return the specs of a kind by name."""
        return {
            name: doc['spec']
            for (found, name), doc in self.docs.items()
            if found == kind
        }

    def start(self, hold_back=()):
        """Start everything, except instances that are held back."""
        self.start_platform()
        for name in self.of('upstream'):
            self.start_upstream(name)
        for name, spec in self.of('upstream').items():
            process = self.upstreams[name]
            wait_until(lambda: process.lines, START_S, 'start of ' + name)
            spec.update(host=HOST, port=json.loads(process.lines[0])['port'])
        for name, place in self._where:
            if name not in hold_back:
                self.start_instance(name, place)

    def start_platform(self):
        """Start the platform's stand-in."""
        self.platform = Process(
            'stand-in', 'platform', '--port=0', '--control_port=0'
        )
        wait_until(lambda: self.platform.lines, START_S, 'platform')
        self.addresses['platform'] = json.loads(self.platform.lines[0])

    def start_upstream(self, name, port=0):
        """Start an upstream's stand-in."""
        spec = self.of('upstream')[name]
        if name in self.upstreams:
            self.ended.append((name, self.upstreams[name]))
        self.upstreams[name] = Process(
            'stand-in',
            'upstream',
            '--name=' + name,
            '--port=%d' % port,
            '--slots=%d' % spec['slots'],
            '--connections=%d' % spec['connections'],
            '--service_s=0.01',
            '--trace=True',
        )

    def start_instance(self, name, place, **changes):
        """Start an instance; the others' peer ports are its ``peers``."""
        cfg = {
            'id': name,
            'place': place,
            'region': self.of('place')[place]['region'],
            'platform': ['%s:%d' % (HOST, self.addresses['platform']['port'])],
            'peers': self.peer_addresses(),
            'peer_keys': KEYS,
            'peer_key_id': 'k1',
            'register': True,
            'operators': {
                name: hashlib.sha256(name.encode()).hexdigest()
                for name in self.operators
            },
            **self.settings,
            **changes,
        }
        self.instances[name] = Instance(cfg, self.folder)
        if not cfg['peers']:
            self.instances[name].wait_started()
        return self.instances[name]

    def peer_addresses(self):
        """Return peer addresses of instances that run."""
        return [
            '%s:%d' % (HOST, one.ports['peer_port'])
            for one in self.instances.values()
            if one.ports
        ][:3]

    def wait_ready(self, seconds=START_S):
        """Wait until all instances take callers; return the seconds."""
        for one in self.instances.values():
            one.wait_started()
        return wait_until(
            lambda: all(one.ready() for one in self.instances.values()),
            seconds,
            'all instances ready',
        )

    def lookup_ports(self):
        """Return the callers' ports of the instances that run."""
        return [
            one.ports['caller_port']
            for one in list(self.instances.values())
            if one.ports and one.popen.poll() is None
        ]

    def servers(self, *names):
        """Return operators' addresses of instances, by default of all."""
        return [
            (HOST, self.instances[name].ports['api_port'])
            for name in names or list(self.instances)
        ]

    def api(self, method, path, body=None, names=(), actor=None, timeout=10.0):
        """Make an operator's call."""
        token = actor or self.operators[0]
        client = api_client.Client(self.servers(*names), token, timeout)
        return client.call(method, '/v1/resources/' + path, body=body)

    def apply(self, docs):
        """Declare resources by the command line and return its output."""
        path = os.path.join(self.folder, 'apply.json')
        with open(path, 'w') as out:
            json.dump(docs, out)
        servers = ','.join('%s:%d' % each for each in self.servers())
        command = Process(
            'apply', path, '--servers=' + servers, '--token=demo'
        )
        status = command.popen.wait(60)
        command.end()
        if status:
            raise AssertionError(''.join(command.lines + command.logs))
        return ''.join(command.lines)

    def status(self, kind, name, condition):
        """Return whether a condition of a resource is true, and status."""
        try:
            doc = self.api('GET', '%s/%s' % (kind, name))
        except errors.JasmineholdError:
            return False, {}
        found = [
            each['status'] == 'True'
            for each in doc['status'].get('conditions', [])
            if each['type'] == condition
        ]
        return found == [True], doc['status']

    def wait_status(self, kind, name, condition, seconds):
        """Wait for a condition of a resource; return seconds and status."""
        took = wait_until(
            lambda: self.status(kind, name, condition)[0],
            seconds,
            '%s of %s %s' % (condition, kind, name),
        )
        return took, self.status(kind, name, condition)[1]

    def platform_faults(self, **faults):
        """Set faults of the platform's stand-in."""
        port = self.addresses['platform']['control_port']
        conn = http.client.HTTPConnection(HOST, port, timeout=3)
        conn.request('POST', '/faults', json.dumps(faults))
        assert conn.getresponse().status == 200
        conn.close()

    def take(self, name):
        """Return an instance and stop counting it to the fleet."""
        one = self.instances.pop(name)
        self.ended.append((None, one))
        return one

    def runs(self):
        """Return ``(upstream, event, seconds, id, key)`` of all upstreams."""
        found = []
        processes = list(self.upstreams.items())
        processes += [item for item in self.ended if item[0]]
        for name, process in processes:
            for line in list(process.lines)[1:]:
                if line.endswith('\n'):
                    found.append((name, *json.loads(line)))
        return sorted(found, key=lambda item: item[2])

    def processes(self):
        """Return all processes that were started."""
        found = [one for _, one in self.ended]
        found += self.instances.values()
        found += self.upstreams.values()
        return found + ([self.platform] if self.platform else [])

    def internal_errors(self):
        """Return the internal errors that instances logged."""
        found = []
        for one in self.processes():
            found += [
                event
                for event in one.events()
                if event.get('event') == 'internal error'
            ]
        return found

    def close(self):
        """End all processes by their own ids."""
        for process in self.processes():
            process.signal(signal.SIGKILL)
        for process in self.processes():
            process.end()
        for path in pathlib.Path(self.folder).iterdir():
            path.unlink()
        os.rmdir(self.folder)
