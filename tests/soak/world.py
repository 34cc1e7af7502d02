"""Stand-ins, relays and instances of one soak run."""

import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import threading
import time
import urllib.request

import circuits

from jasminehold import loop as loop_module
from jasminehold.standin import kv
from jasminehold.standin import sealed
from tests.builders import front_rig
from tests.soak import checks
from tests.soak import paths
from tests.soak import relay

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE_S = 3.0
# Interval of the upstreams' reports.
HEARTBEAT_S = 0.3
START_S = 15.0
LINKS = re.compile(r'^jasminehold_peer_links_opened(?:_total)? (\d+)', re.M)


class Instance:
    """One instance's settings, relay to the store and process."""

    def __init__(self, world, name, place, seeds):
        self.name = name
        self.world = world
        self.incarnation = 0
        self.process = None
        self.relay = world.on_loop(
            relay.Relay, world.loop, ('127.0.0.1', world.store.port)
        )
        ports = [front_rig.free_port() for _ in range(5)]
        address = ['127.0.0.1:%d' % port for port in ports]
        self.caller_port = ports[0]
        self.peer = address[3]
        self.metrics_url = 'http://%s/metrics' % address[4]
        self.settings = {
            'id': name,
            'place': place,
            'places': front_rig.PLACES,
            'caller_listen': address[0],
            'ready_listen': address[1],
            'directory_listen': address[2],
            'peer_listen': self.peer,
            # Each has its own relay to the store, so derived keys differ.
            'peer_key': world.peer_key,
            'metrics_listen': address[4],
            'seeds': seeds,
            'internal_ports': [1, 2],
            'store': '127.0.0.1:%d' % self.relay.port,
            'stop_grace': GRACE_S,
            'retry_ratio': checks.RETRY_RATIO,
            'retry_burst': checks.RETRY_BURST,
            'cold_over': 1.5,
            'cold_slack': 5,
        }
        # Of each upstream, by its port.
        self.paths = {}
        self.cut = ''
        self.path = world.folder / (name + '.json')
        self.path.write_text(json.dumps(self.settings))

    def start(self):
        """Start a process."""
        self.incarnation += 1
        log = open(self.world.folder / (self.name + '.log'), 'ab')
        command = [sys.executable, '-m', *self.world.program]
        if self.world.paths_file is not None:
            words = ['tests.soak.paths', self.world.paths_file, self.name]
            command[2:2] = [str(word) for word in words]
        env = dict(os.environ)
        env['PYTHONPATH'] = '%s:%s' % (ROOT / 'src', ROOT)
        self.process = subprocess.Popen(
            command + ['front', '--settings', str(self.path)],
            stdout=log,
            stderr=log,
            env=env,
        )
        log.close()

    def has_link(self):
        """Return whether the instance has opened a link to another one."""
        with urllib.request.urlopen(self.metrics_url, timeout=2.0) as reply:
            found = LINKS.search(reply.read().decode())
        return found is not None and int(found.group(1)) > 0

    def signal(self, number):
        """Send a signal to this instance's own process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self):
        """Wait for the process to end."""
        self.process.wait(GRACE_S + 5)


class World:
    """Everything around the callers.

    Args:
        folder: where settings and logs go.
        count: number of instances.
        upstreams: number of upstreams of the service.
        program: module to run, with words in front of the command.
        relayed: whether the paths to upstreams can be cut.
    """

    def __init__(
        self,
        folder,
        count,
        upstreams,
        program=('jasminehold',),
        relayed=False,
    ):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.program = program
        self.peer_key = os.urandom(32).hex()
        self.record = checks.Record()
        self.root = circuits.Component()
        self.loop = loop_module.Loop().register(self.root)
        self.store = kv.KvStore(self.loop)
        self.upstreams = {}
        self.version = 0
        self.evacuated = None
        # What the operator and the upstreams wrote last, by key.
        self._written = {}
        self.instances = []
        self.paths_file = self.folder / 'paths.json' if relayed else None
        self._thread = threading.Thread(target=self.root.run, daemon=True)
        self._thread.start()
        self.on_loop(self._beat)
        for index in range(upstreams):
            self.add_upstream('u%d' % index)
        self.configure()
        for index in range(count):
            seeds = [item.peer for item in self.instances[:2]]
            place = sorted(front_rig.PLACES)[index % 3]
            self.instances.append(Instance(self, 'i%d' % index, place, seeds))
        self.on_loop(self._build_paths)

    def on_loop(self, func, *args, **kwargs):
        """Run a function on the stand-ins' thread."""
        return front_rig.FrontRig.on_loop(self.loop, func, *args, **kwargs)

    def add_upstream(self, name):
        """Start an upstream and write its entry."""

        def add():
            item = sealed.SealedUpstream(self.loop, name, 0.03, slots=4)
            item.on_event = self._observe
            self.upstreams[name] = item
            places = sorted(front_rig.PLACES)
            place = places[len(self.upstreams) % len(places)]
            item.place = place
            self.record.places[name] = place
            self._build_paths()
            self._put('servers/' + name, item.entry('loja', place))

        self.on_loop(add)

    def _build_paths(self):
        if self.paths_file is None:
            return
        for item in self.instances:
            for upstream in self.upstreams.values():
                if upstream.port not in item.paths:
                    path = relay.Relay(self.loop, ('127.0.0.1', upstream.port))
                    path.set_mode(paths.RELAY_MODES.get(item.cut, ''))
                    item.paths[upstream.port] = path
        self._write_paths()

    def _write_paths(self):
        doc = {
            item.name: {
                'relays': {port: it.port for port, it in item.paths.items()},
                'cut': item.cut,
            }
            for item in self.instances
        }
        draft = self.paths_file.with_suffix('.new')
        draft.write_text(json.dumps(doc))
        draft.replace(self.paths_file)

    def cut(self, item, kind):
        """Cut an instance off from all upstreams; '' ends it."""
        if kind:
            self.record.cuts.append([item.name, time.monotonic(), None])
        else:
            for cut in self.record.cuts:
                if cut[0] == item.name and cut[2] is None:
                    cut[2] = time.monotonic()
        item.cut = kind
        self._write_paths()
        for path in list(item.paths.values()):
            self.on_loop(path.set_mode, paths.RELAY_MODES.get(kind, ''))

    def _beat(self):
        # Reports that change nothing but their time, as upstreams send them.
        self.loop.call_later(HEARTBEAT_S, self._beat)
        self.report()

    def report(self, count=1):
        """Write a number of reports of each upstream."""
        for _ in range(count):
            for key, doc in list(self._written.items()):
                if key.startswith('servers/'):
                    self._put(key, dict(doc, Seq=doc['Seq'] + 1))

    def _put(self, key, doc):
        self._written[key] = doc
        self.store.put(key, doc)

    def copy_state(self):
        """Return a copy of the store that it can go back to."""
        return self.on_loop(self.store.copy_state)

    def go_back(self, state, write_after_s):
        """Let the store come back from a copy, and the writers write again.

        Args:
            state: result of :meth:`copy_state`.
            write_after_s: seconds until they do.
        """

        def write_again():
            for key, doc in self._written.items():
                self.store.put(key, doc)
            found, _ = self.store.state.list('op/', '')
            for key in {key for key, _ in found} - set(self._written):
                self.store.delete(key)

        def drill():
            self.store.go_back(state)
            self.store.set_faults()
            self.loop.call_later(write_after_s, write_again)

        self.on_loop(drill)

    def leave(self, name):
        """Let an upstream say in its responses that it leaves."""
        self.record.leaving[name] = time.monotonic()
        self.upstreams[name].leaving = True

    def ask_pause(self, name, seconds):
        """Let an upstream reject all requests and ask for a pause."""
        self.record.pauses.append([name, seconds, time.monotonic(), None])
        self.upstreams[name].retry_after = b'%g' % seconds

    def end_pause(self, name):
        """Let an upstream take requests again."""
        # Noted first: it may run and reject some before this thread goes on.
        for item in self.record.pauses:
            if item[0] == name and item[3] is None:
                item[3] = time.monotonic()
        self.upstreams[name].retry_after = None

    def _observe(self, name, request_id, ran):
        self.record.arrivals.append(
            checks.Arrival(time.monotonic(), name, request_id, ran)
        )

    def configure(self):
        """Store the next version; only its own /gen route is in it."""
        self.version += 1
        rules = [
            front_rig.route('browse', '/browse/', 'loja'),
            front_rig.route('order', '/order/', 'loja', 'unsafe'),
            front_rig.route('gen', '/gen%d/' % self.version, 'loja'),
        ]
        doc = front_rig.configuration(self.version, rules)
        self.on_loop(self._put, 'op/config', doc)
        self.record.versions.append((time.monotonic(), self.version))

    def drain(self, name):
        """Let an upstream report that it is leaving."""
        item = self.upstreams[name]
        entry = item.entry('loja', item.place, State='draining', Seq=2)
        self.on_loop(self._put, 'servers/' + name, entry)
        self.record.drains.append((time.monotonic(), name))

    def limit(self, name, per_s):
        """Let an upstream state a limit, requests a second."""
        self.upstreams[name].limit = per_s
        self.record.limits.append([name, per_s, time.monotonic(), None])

    def end_limit(self, name):
        """Let an upstream state no limit any more."""
        self.upstreams[name].limit = None
        for item in self.record.limits:
            if item[0] == name and item[3] is None:
                item[3] = time.monotonic()

    def evacuate(self, place):
        """Ask that nothing more is sent to a place."""
        self.evacuated = place
        self.on_loop(self._put, 'op/evacuate/' + place, {})
        self.record.evacuations.append([place, time.monotonic(), None])

    def take_back(self):
        """End the evacuation."""
        self.record.evacuations[-1][2] = time.monotonic()
        place, self.evacuated = self.evacuated, None
        self._written.pop('op/evacuate/' + place)
        self.on_loop(self.store.delete, 'op/evacuate/' + place)

    def trouble(self, name, begin):
        """Record that an instance, or all (None), was disturbed till now."""
        self.record.troubles.append((name, begin, time.monotonic()))

    def start(self):
        """Start all instances and wait until they serve and are linked.

        Raises:
            AssertionError: when one has no link to another one.
        """
        for item in self.instances:
            item.start()
        deadline = time.monotonic() + START_S
        for item in self.instances:
            while time.monotonic() < deadline:
                if self._serves(item):
                    break
                time.sleep(0.1)
        if len(self.instances) > 1:
            for item in self.instances:
                while not item.has_link():
                    assert time.monotonic() < deadline, item.name + ' no link'
                    time.sleep(0.1)

    @staticmethod
    def _serves(item):
        try:
            client = front_rig.caller.Client(item.caller_port, 2.0)
        except OSError:
            return False
        headers = front_rig.request_headers({})
        reply = client.request('GET', '/browse/ready', headers)
        client.close()
        return reply.status == 200

    def stop(self):
        """End the processes that this world started."""
        for item in self.instances:
            if item.process is not None and item.process.poll() is None:
                item.process.send_signal(signal.SIGCONT)
                item.process.kill()
                item.process.wait(10)
        self.root.stop()
        self._thread.join(10)
