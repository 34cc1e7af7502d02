"""Registers a process in the instance list of the fake store.

The production environment lists running instances by itself and never drops a
running one. A lease cannot emulate this, because it expires for an instance
that runs but does not reach the store.
"""

import json
import random

from jasminehold.platform import http

REGISTER_INTERVAL_S = 1.0


class Registration:
    """Keeps an entry registered while this process runs.

    The entry exists as long as the connection that registered it, so a single
    connection is used and the entry is sent again after the connection is
    lost.

    Args:
        loop: the event loop.
        addr: ``(host, port)`` of the fake store.
        entry: dict with ``id``, ``host``, ``port``, ``place``,
            ``region``, ``role`` and ``state``.
        rng: random source for the jitter between attempts.
    """

    def __init__(self, loop, addr, entry, rng=None):
        self.entry = dict(entry)
        self._loop = loop
        self._rng = rng or random.Random()
        self._http = http.Client(loop, *addr, self._rng, max_conns=1)
        self._timer = loop.call_soon(self._send)

    def set_state(self, state):
        """Set the state of the entry, such as ``leaving``, and send it."""
        self.entry['state'] = state
        self._timer.cancel()
        self._send()

    def close(self):
        """Close the connection, which removes the entry."""
        self._timer.cancel()
        self._http.close()

    def _send(self):
        # Sent periodically to detect a connection lost during an outage.
        delay = REGISTER_INTERVAL_S * (0.75 + 0.5 * self._rng.random())
        self._timer = self._loop.call_later(delay, self._send)
        body = json.dumps(self.entry).encode()
        self._http.request(
            'POST', '/api/instances', body, 5.0, _ignore_response
        )


def _ignore_response(response, exc):
    """Ignore the response; the entry is sent again periodically."""
