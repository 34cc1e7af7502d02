"""Front instances with a stand-in store and stand-in upstreams."""

import itertools
import os
import random
import socket
import threading
import time

import circuits
import h11

from jasminehold.front import app as front_app
from jasminehold.front import cfg as cfg_module
from jasminehold import loop as loop_module
from jasminehold.standin import caller
from jasminehold.standin import kv
from jasminehold.standin import sealed

FLEET_PLACES = ('sul-a', 'sul-b', 'norte-a', 'sul-a')
PLACES = {'sul-a': 'sul', 'sul-b': 'sul', 'norte-a': 'norte'}
WAIT_S = 8.0


# Ports below the range from which the system takes those of connections, and
# below those of bench/order_fleet.py, so that none is taken between the choice
# and its use.
PORTS_FROM = 12_000
PORT_BLOCKS = 24
PORTS_PER_BLOCK = 500


def _claim_block():
    # The first port of a block, held while this process lives, keeps other
    # processes that run at the same time off its other ports.
    for number in range(PORT_BLOCKS):
        block = (os.getpid() + number) % PORT_BLOCKS
        first = PORTS_FROM + block * PORTS_PER_BLOCK
        guard = socket.socket()
        try:
            guard.bind(('127.0.0.1', first))
        except OSError:
            guard.close()
            continue
        return guard, itertools.cycle(
            range(first + 1, first + PORTS_PER_BLOCK)
        )
    raise OSError('all blocks of ports are in use')


_guard, _ports = _claim_block()


def free_port():
    """Return a port that nobody listens on."""
    while True:
        port = next(_ports)
        with socket.socket() as sock:
            # Closed connections of an earlier test do not count.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


def route(name, prefix, service, kind='safe', **changes):
    """Return a rule of the configuration."""
    action = {'TimeoutMs': 2000, 'MaxAttempts': 2, 'HomeRegions': []}
    if isinstance(service, str):
        action['Service'] = service
    else:
        action['Split'] = [
            {'Service': key, 'Weight': weight} for key, weight in service
        ]
    action.update(changes)
    return {
        'Name': name,
        'Kind': kind,
        'LatencyTargetMs': 500,
        'Priority': 1,
        'Sticky': True,
        'Match': {'Prefix': prefix},
        'Action': action,
    }


def configuration(version, rules, services=('loja', 'oficina'), **limits):
    """Return the operator's document."""
    return {
        'Version': '%08x' % version,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1048576,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
            **limits,
        },
        'BaseVer': '%08x' % max(version - 1, 0),
        'Listeners': [{'Host': 'shop.example', 'Rules': rules}],
        'Clusters': [
            {
                'Name': name,
                'HealthPath': '/health',
                'MaxConns': 100,
                'Protocol': 'h1',
                'Tls': False,
                'ColdStartS': 3.0,
                'ColdPerS': 2.0,
            }
            for name in services
        ],
    }


RULES = (
    route('browse', '/browse/', 'loja'),
    route('order', '/order/', 'loja', 'unsafe'),
    route('special', '/browse/special/', 'oficina'),
)


def accounts(version, rows, rules=RULES):
    """Return the operator's document with accounts.

    Args:
        version: number of the version.
        rows: ``(name, list of keys, other fields)`` of each account.
        rules: the rules of all routes.
    """
    doc = configuration(version, list(rules))
    doc['Tenants'] = [
        {
            'Name': name,
            'ApiKeys': list(keys),
            'RatePerS': 0,
            'Burst': 0,
            'HomeRegions': [],
            **changes,
        }
        for name, keys, changes in rows
    ]
    return doc


class _Faults(circuits.Component):
    def init(self):
        self.seen = []

    @circuits.handler('exception', channel='*')
    def _on_exception(self, *args, **kwargs):
        self.seen.append(args[1])


class FrontRig:
    """Runs the stand-ins in one thread and each instance in another.

    Args:
        upstreams: names of upstreams of the service ``loja``.
        work_s: seconds of work for each request.
        configured: whether a configuration is stored at once.
    """

    def __init__(self, upstreams=('u1', 'u2'), work_s=0.01, configured=True):
        self.root = circuits.Component()
        self.faults = _Faults().register(self.root)
        self.loop = loop_module.Loop().register(self.root)
        self.store = kv.KvStore(self.loop)
        self.upstreams = {}
        self.apps = {}
        self._threads = {}
        self._work_s = work_s
        for name in upstreams:
            self.add_upstream(name, 'loja')
        self.add_upstream('w1', 'oficina')
        if configured:
            self.store.put('op/config', configuration(1, list(RULES)))
        self._thread = threading.Thread(target=self.root.run, daemon=True)
        self._thread.start()

    # Stand-ins.

    def add_upstream(self, name, service, place='sul-a', **changes):
        """Start an upstream and write its entry."""
        item = sealed.SealedUpstream(self.loop, name, self._work_s)
        self.upstreams[name] = item
        self.store.put(
            'servers/' + name, item.entry(service, place, **changes)
        )
        return item

    def call(self, func, *args, **kwargs):
        """Run a function on the stand-ins' thread and return its result."""
        return self.on_loop(self.loop, func, *args, **kwargs)

    @staticmethod
    def on_loop(loop, func, *args, **kwargs):
        """Run a function on a loop's thread and return its result."""
        result, ready = [], threading.Event()

        def run():
            try:
                result.append(func(*args, **kwargs))
            finally:
                ready.set()

        loop.call_soon(run)
        assert ready.wait(WAIT_S)
        return result[0]

    def put(self, key, doc):
        """Write a key of the store."""
        self.call(self.store.put, key, doc)

    def runs(self, request_id):
        """Return how often a request ran, over all upstreams."""
        return sum(item.runs[request_id] for item in self.upstreams.values())

    # Instances.

    def start(self, name='i1', place='sul-a', seeds=(), seed=1, path=None):
        """Start an instance; it need not be ready when this returns."""
        cfg = cfg_module.Cfg(
            id=name,
            place=place,
            places=PLACES,
            caller_listen=self._address(),
            ready_listen=self._address(),
            directory_listen=self._address(),
            internal_ports=(1, 2),
            peer_listen=self._address(),
            metrics_listen=self._address(),
            seeds=tuple(seeds),
            peer_key=None,
            store=('127.0.0.1', self.store.port),
            max_files=1024,
            cores=1.0,
            core_speed=1.0,
            link_mbps=1000.0,
            stop_grace=3.0,
            lookup_ttl=2.0,
            apply_within_ms=2000.0,
            strict_revoke=True,
            revoke_within_ms=5000.0,
            quota_window=5.0,
            quota_overage=0.1,
            quota_slack=20.0,
            memory_mb=300.0,
            urgent_first=False,
            retry_ratio=0.2,
            retry_burst=50,
            retry_window=10.0,
            cold_over=1.5,
            cold_slack=5.0,
        )
        app = front_app.FrontApplication(cfg, path, random.Random(seed))
        self.apps[name] = app
        app.start()
        thread = threading.Thread(target=app.run, daemon=True)
        self._threads[name] = thread
        thread.start()
        return app

    def signal_stop(self, name):
        """Tell an instance to stop; like a signal, this wakes its loop."""
        app = self.apps[name]
        app.loop.call_soon(app.leave)
        app.loop.poller.resume()

    def stop_instance(self, name):
        """Stop an instance; it may be started again under its name."""
        self.apps.pop(name).stop()
        self._threads.pop(name).join(10)

    @staticmethod
    def _address():
        return cfg_module.settings.Address('127.0.0.1', free_port())

    def start_fleet(self, places=FLEET_PLACES):
        """Start an instance for each place; returns their names.

        When this returns, each has routes, knows all others and has a link.
        """
        names = ['i%d' % number for number in range(len(places))]
        for number, (name, place) in enumerate(zip(names, places)):
            seeds = [app.cfg.peer_listen for app in self.apps.values()][:2]
            self.start(name, place, seeds, seed=number)
        for name in names:
            self.wait_ready(name)
            steering = self.apps[name].steering
            self.wait(lambda: set(steering.instances) >= set(names), 'members')
            mesh = self.apps[name]._peering.mesh
            self.wait(mesh.connected, 'links')
        return names

    def wait(self, check, what='condition', wait_s=WAIT_S):
        """Wait until a check holds."""
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            if check():
                return
            time.sleep(0.02)
        raise AssertionError('%s was not reached' % what)

    def wait_ready(self, name='i1'):
        """Wait until an instance knows routes and upstreams."""
        steering = self.apps[name].steering
        self.wait(
            lambda: steering.table is not None and steering.view.upstreams,
            'routes and upstreams',
        )

    def client(self, name='i1'):
        """Return a caller's connection."""
        return caller.Client(self.apps[name].cfg.caller_listen.port)

    def ask(self, path, method='GET', name='i1', body=b'', **headers):
        """Send one request on a new connection; returns the reply."""
        client = self.client(name)
        try:
            return client.request(method, path, request_headers(headers), body)
        finally:
            client.close()

    def stop(self):
        """Stop everything; faults of the stand-ins fail the test."""
        for app in self.apps.values():
            app.stop()
        self.root.stop()
        for thread in list(self._threads.values()) + [self._thread]:
            thread.join(10)
        assert not self.faults.seen, self.faults.seen


_numbers = iter(range(1, 1_000_000))


def request_headers(changes):
    """Return a caller's headers; underscores stand for hyphens."""
    headers = {
        'Host': 'shop.example',
        'X-Request-Id': 'r%06d' % next(_numbers),
        'X-Timeout-Ms': '2000',
    }
    headers.update(
        {name.replace('_', '-'): value for name, value in changes.items()}
    )
    return headers


def pipelined(ids, path='/browse/a'):
    """Return the bytes of several requests sent at once."""
    data = b''
    for request_id in ids:
        http = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method='GET',
            target=path,
            headers=list(
                request_headers({'X_Request_Id': request_id}).items()
            ),
        )
        data += http.send(head) + http.send(h11.EndOfMessage())
    return data
