"""The upstream servers of one place in one process, for ``deployment.py``.

Usage: ``python bench/deployment_servers.py SPEC_FILE GROUP``, GROUP a place
or ``solo``, the one server that has a process of its own so that it can be
stopped alone. Each server listens on its own port. Requests that name an
instance in ``Jasminehold-Request`` travel for the latency between the
instance's place and this one, in each direction, while the instance holds its
slot. A new connection costs its fixed cost and one round trip of that
latency. Requests of a client block are slow while the block is new to the
place (cold cache). One line of counts is appended to a file every
``SAMPLE_S``.
"""

import collections
import json
import sys
import time

import circuits

from jasminehold import loop as loop_module
from jasminehold.standin import upstream

SAMPLE_S = 0.1


class _Delayed:
    """Sends the answer of one request after its way back."""

    def __init__(self, server, served, travel_s):
        self.conn = served.conn
        self._server = server
        self._served = served
        self._travel_s = travel_s

    def send_response(self, *args, **kwargs):
        """Send the answer later."""
        self._server._loop.call_later(
            self._travel_s, lambda: self._served.send_response(*args, **kwargs)
        )


class Server(upstream.Upstream):
    """An upstream at the end of an emulated path."""

    def __init__(self, loop, name, host, port, options, site):
        super().__init__(loop, name, host, port, options)
        self.site = site
        self.service = name.rpartition('-')[0]

    def submit(self, work):
        """Take a request after its way here."""
        ident = work.headers.get(b'jasminehold-request', b'').decode()
        source = self.site.instances.get(ident.rpartition('-')[0])
        travel = self.site.travel(source)
        if source is not None:
            self.site.arrivals[source] += 1
        served = work.conn
        handshake = 0.0
        if not getattr(served, 'known', False):
            served.known = True
            handshake = 2 * travel
        work.conn = _Delayed(self, served, travel)
        self._loop.call_later(travel + handshake, self._arrive, work)

    def _arrive(self, work):
        if not work.conn.conn.closed:
            super().submit(work)

    def _service_s(self, work):
        options = self.options
        seconds = options.service_s / 2
        seconds += self._random.expovariate(1 / seconds)
        key = (self.service, work.headers.get(b'x-block', b''))
        self.site.seen[key] += 1
        cold = 1 - self.site.seen[key] / options.cold_requests
        return seconds * (1 + (options.cold_factor - 1) * max(cold, 0.0))


class Site:
    """All servers of one place."""

    def __init__(self, spec, group):
        self.spec = spec
        self.place = group
        if group == 'solo':
            self.place = spec['upstreams'][spec['solo']]['place']
        self.instances = {
            name: one['place'] for name, one in spec['instances'].items()
        }
        self.seen = collections.Counter()
        self.arrivals = collections.Counter()
        self.root = circuits.Component()
        self.loop = loop_module.Loop().register(self.root)
        self.servers = [
            Server(
                self.loop,
                name,
                one['host'],
                one['port'],
                upstream.Options(
                    slots=one['slots'],
                    connections=one['connections'],
                    connect_cost_s=spec['connect_s'],
                    service_s=spec['service_s'],
                    cold_factor=spec['cold_factor'],
                    cold_requests=spec['cold_requests'],
                    seed=spec['seed'] * 1000 + index,
                ),
                self,
            )
            for index, (name, one) in enumerate(spec['upstreams'].items())
            if (one['place'] == group and name != spec['solo'])
            or (group == 'solo' and name == spec['solo'])
        ]
        self._file = open(
            '%s/samples-%s.jsonl' % (spec['out'], group), 'w', buffering=1
        )
        self._sample()

    def travel(self, source):
        """Return the latency in seconds from another place."""
        if source is None or source == self.place:
            return 0.0
        regions = self.spec['regions']
        if regions[source] == regions[self.place]:
            return self.spec['near_s']
        return self.spec['far_s']

    def _sample(self):
        self.loop.call_later(SAMPLE_S, self._sample)
        executions = {s.name: s.counts['executions'] for s in self.servers}
        line = {
            'at': time.monotonic(),
            'place': self.place,
            'busy': {s.name: len(s._running) for s in self.servers},
            'waiting': {s.name: len(s._waiting) for s in self.servers},
            'executions': executions,
            'shed': sum(s.counts['shed'] for s in self.servers),
            'arrivals': dict(self.arrivals),
        }
        self._file.write(json.dumps(line) + '\n')


def main(argv):
    """Serve one place until the process is ended."""
    with open(argv[0]) as file:
        spec = json.load(file)
    site = Site(spec, argv[1])
    print('listening', flush=True)
    site.root.run()


if __name__ == '__main__':
    main(sys.argv[1:])
