"""Registers a test's process in the stand-in's list of instances.

The environment that the product's own interface runs in lists its machines by
itself, and never drops a running one. A lease could not stand in for that: it
ends for an instance that runs but does not reach the store.
"""

import json
import random

from jasminehold.platform import http

REGISTER_INTERVAL_S = 1.0


class Registration:
    """Keeps one entry listed for as long as this process runs.

    The entry lasts as long as the connection that made it, so a single
    connection is used and the entry is sent again after it was lost.

    Args:
        loop: the event loop.
        addr: ``(host, port)`` of the stand-in.
        entry: dictionary with ``id``, ``host``, ``port``, ``place``,
            ``region``, ``role`` and ``state``.
        rng: random source of the jitter between attempts.
    """

    def __init__(self, loop, addr, entry, rng=None):
        self.entry = dict(entry)
        self._loop = loop
        self._rng = rng or random.Random()
        self._http = http.Client(loop, *addr, self._rng, max_conns=1)
        self._timer = loop.call_soon(self._send)

    def set_state(self, state):
        """Change the entry's state, for example to ``leaving``."""
        self.entry['state'] = state
        self._timer.cancel()
        self._send()

    def close(self):
        """End the connection and with it the entry."""
        self._timer.cancel()
        self._http.close()

    def _send(self):
        # Repeated so that a connection lost during an outage is noticed.
        delay = REGISTER_INTERVAL_S * (0.75 + 0.5 * self._rng.random())
        self._timer = self._loop.call_later(delay, self._send)
        body = json.dumps(self.entry).encode()
        self._http.request(
            'POST', '/api/instances', body, 5.0, _ignore_response
        )


def _ignore_response(response, exc):
    """Drop the answer; the next turn registers again."""
