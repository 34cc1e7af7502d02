"""Proxies and stand-in upstreams on one loop."""

import threading

import circuits

from builders import cut_path
from jasminehold.decisions import health
from jasminehold import errors
from jasminehold import loop as loop_module
from jasminehold import metrics as metrics_module
from jasminehold.proxy import hooks as hooks_module
from jasminehold.proxy import server as server_module
from jasminehold.standin import upstream as standin

Kind = errors.Kind
Claim = hooks_module.Claim


class SharedClaims:
    """Claims of all proxies of a rig, with optional refusals and delays."""

    def __init__(self, loop, rng=None):
        self.entries = {}
        self._loop = loop
        self._rng = rng

    def claim(self, key, digest, done):
        if self._rng is None:
            done(self._decide(key, digest))
            return
        delay = self._rng.random() * 0.004
        self._loop.call_later(delay, lambda: done(self._decide(key, digest)))

    def _decide(self, key, digest):
        if self._rng is not None and self._rng.random() < 0.02:
            return Claim(False, Kind.UNAVAILABLE)
        if key not in self.entries:
            self.entries[key] = (digest, None)
            return Claim(True)
        first, state = self.entries[key]
        if first != digest:
            return Claim(False, Kind.KEY_REUSED)
        if state is None:
            return Claim(False, Kind.IN_PROGRESS)
        if state == 'lost':
            return Claim(False, Kind.ANSWER_LOST)
        return Claim(False, None, state)

    def keep(self, key, answer):
        self.entries[key] = (self.entries[key][0], answer or 'lost')

    def release(self, key):
        del self.entries[key]


class _Faults(circuits.Component):
    def init(self):
        self.seen = []

    @circuits.handler('exception', channel='*')
    def _on_exception(self, *args, **kwargs):
        self.seen.append(args[1])


class Rig:
    """Runs a loop in a thread with proxies and upstreams."""

    def __init__(
        self,
        names=('a', 'b'),
        proxies=1,
        options=None,
        limits=None,
        timeout_s=2.0,
        rng=None,
        connections=300,
        cuttable=False,
    ):
        self.root = circuits.Component()
        self.faults = _Faults().register(self.root)
        self.loop = loop_module.Loop().register(self.root)
        self.metrics = metrics_module.Metrics()
        self.options = options or standin.Options()
        self.claims = SharedClaims(self.loop, rng)
        self.list = []
        self.current = {}
        self.all = []
        self.crashes = []
        self.health = health.Health()
        self.taken = self.released = 0
        self.connections = connections
        self.stopping = False
        for name in names:
            self.start_upstream(name, 0)
        hooks = hooks_module.round_robin(self.list, timeout_s)
        self.hooks = hooks._replace(
            pick=self._counted(hooks.pick),
            claim=self.claims.claim,
            release_claim=self.claims.release,
            keep_answer=self.claims.keep,
            find_answer=lambda key: None,
            record_result=self._record_result,
            record_crash=lambda *args: self.crashes.append(args),
            path_checked=self._path_checked,
            upstreams=lambda: [
                (item[0], 'p', *item[1:]) for item in self.list
            ],
        )
        self.loops = [
            cut_path.CutLoop(self.loop) if cuttable else self.loop
            for _ in range(proxies)
        ]
        self.proxies, self.ports = [], []
        for index in range(proxies):
            proxy = server_module.ProxyServer(
                self.loops[index],
                self.hooks,
                self.metrics,
                answer=lambda service, block: {'service': service},
                limits=limits,
                instance_id='i%d' % index,
            )
            self.proxies.append(proxy)
            self.ports.append(proxy.listen('127.0.0.1', 0).port)
        self.thread = threading.Thread(target=self.root.run, daemon=True)
        self.thread.start()

    def _counted(self, pick):
        def counted(req, tried, now):
            found = pick(req, tried, now)
            if isinstance(found, hooks_module.Refusal):
                return found
            self.taken += 1
            return found._replace(
                release=self._release, connections=self.connections
            )

        return counted

    def _record_result(self, upstream, result, latency_s, now):
        if result == 'connect':
            self.health.record_refused_connection(upstream, now)
        else:
            bad = result in ('loss', 'error', 'deadline')
            self.health.record_result(upstream, not bad, now)

    def _path_checked(self, lost, since):
        if lost:
            self.health.forgive(since)

    def _release(self, result):
        self.released += 1

    def start_upstream(self, name, port):
        """Start or restart an upstream; a crashed one comes back."""

        def on_crash():
            self.loop.call_later(0.15, self.restart, name)

        item = standin.Upstream(
            self.loop, name, '127.0.0.1', port, self.options, on_crash
        )
        self.current[name] = item
        self.all.append(item)
        entry = (name, item.host, item.port)
        if entry not in self.list:
            self.list.append(entry)
            names = [item[0] for item in self.list]
            self.health.set_upstreams(names, self.loop.now())

    def restart(self, name):
        if not self.stopping:
            self.current[name].stop()
            self.start_upstream(name, self.current[name].port)

    def call(self, func, *args):
        """Run a function on the loop's thread and return its result."""
        result, ready = [], threading.Event()

        def run():
            try:
                result.append(func(*args))
            finally:
                ready.set()

        self.loop.call_soon(run)
        assert ready.wait(10)
        return result[0]

    def executions(self, field):
        """Return the sums of an execution count over all upstreams."""
        total = {}
        for item in self.all:
            for name, count in getattr(item, field).items():
                total[name] = total.get(name, 0) + count
        return total

    def stop(self):
        self.stopping = True
        self.root.stop()
        self.thread.join(10)
        assert not self.faults.seen, self.faults.seen
