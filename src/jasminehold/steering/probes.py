"""Probes the health and load endpoints of upstreams.

Responses may be outdated or wrong, so they only lower an upstream's weight
(see ``decisions.health``). The upstreams are probed in turn at a fixed rate,
so that the cost does not grow with their number.
"""

import json

from jasminehold.platform import http

PROBE_INTERVAL_S = 0.5
PROBES_PER_INTERVAL = 2
TIMEOUT_S = 1.0
MAX_BODY_BYTES = 16 * 1024


class Probes:
    """Probes the upstreams at which this instance has slots.

    Args:
        loop: the event loop.
        tables: the :class:`tables.Tables`.
        in_use: function that returns the names of upstreams with a share.
        on_result: ``on_result(name, load, healthy, leaving)``; ``load`` is
            None when the response has none.
        rng: random source of the jitter.
        metrics: counters.
    """

    def __init__(self, loop, tables, in_use, on_result, rng, metrics):
        self._loop = loop
        self._tables = tables
        self._in_use = in_use
        self._on_result = on_result
        self._rng = rng
        self._metrics = metrics
        self._clients = {}
        self._pending = []
        self._timer = loop.call_later(PROBE_INTERVAL_S, self._tick)

    def close(self):
        """Stop probing and close the connections."""
        self._timer.cancel()
        for client in self._clients.values():
            client.close()

    def _tick(self):
        delay = PROBE_INTERVAL_S * self._rng.uniform(0.9, 1.1)
        self._timer = self._loop.call_later(delay, self._tick)
        if not self._pending:
            self._pending = self._probe_targets()
            self._close_stale_clients()
        for _ in range(min(PROBES_PER_INTERVAL, len(self._pending))):
            self._probe(self._pending.pop())

    def _probe_targets(self):
        """Return the upstreams whose service declares a probe path."""
        names = []
        for name in self._in_use():
            upstream = self._tables.upstreams.get(name)
            if upstream is not None:
                service = self._tables.services.get(upstream.service)
                if service is not None and service.probe_path:
                    names.append(name)
        self._rng.shuffle(names)
        return names

    def _close_stale_clients(self):
        addresses = {
            (upstream.host, upstream.port)
            for upstream in self._tables.upstreams.values()
        }
        for address in set(self._clients) - addresses:
            self._clients.pop(address).close()

    def _probe(self, name):
        upstream = self._tables.upstreams.get(name)
        if upstream is None:
            return
        address = (upstream.host, upstream.port)
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = http.Client(
                self._loop,
                *address,
                self._rng,
                max_conns=1,
                max_body=MAX_BODY_BYTES,
            )
        path = self._tables.services[upstream.service].probe_path

        def done(response, exc):
            if exc is not None or response.status != 200:
                # Only counted: the results of requests show connection
                # failures more reliably.
                self._metrics.inc('upstream_probes_total', result='failed')
                return
            self._on_body(name, response.body)

        client.request('GET', path, b'', TIMEOUT_S, done)

    def _on_body(self, name, body):
        try:
            load, healthy, leaving = parse(body)
        except ValueError:
            self._metrics.inc('upstream_probes_total', result='malformed')
            return
        self._metrics.inc('upstream_probes_total', result='ok')
        self._on_result(name, load, healthy, leaving)


def parse(body):
    """Return ``(load, healthy, leaving)`` of a JSON response.

    Args:
        body: an object with any of ``load`` (share of slots in use, 0
            or more), ``healthy`` and ``leaving`` (booleans).

    Raises:
        ValueError: when the body is malformed.
    """
    try:
        doc = json.loads(body)
    except RecursionError as exc:
        raise ValueError('JSON is nested too deeply') from exc
    if not isinstance(doc, dict):
        raise ValueError('response is not a JSON object')
    load = doc.get('load')
    if load is not None:
        if isinstance(load, bool) or not isinstance(load, (int, float)):
            raise ValueError('load is not a number')
        if not 0 <= load <= 1e6:
            raise ValueError('load is out of range')
    return load, doc.get('healthy') is not False, doc.get('leaving') is True
