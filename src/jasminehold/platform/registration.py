"""Enters this process in the platform's list of instances.

A real platform lists its machines itself. The stand-in lists a process while
the connection that registered it is open.
"""

import json

from jasminehold.platform import http

CHECK_S = 1.0
TIMEOUT_S = 2.0


class Registration:
    """Keeps one process entered.

    Args:
        loop: the event loop.
        address: ``(host, port)`` of the platform.
        entry: the entry, see section 3.1 of the design.
        rng: random source of the jitter.
    """

    def __init__(self, loop, address, entry, rng):
        self._loop = loop
        self._entry = dict(entry)
        self._pool = http.Client(loop, *address, rng, max_conns=1)
        self._entered = None
        self._asking = False
        self._timer = loop.call_soon(self._tick)

    def set_state(self, state):
        """Change the state in the list to ``live`` or ``leaving``."""
        self._entry['state'] = state
        self._entered = None

    def close(self):
        """End the registration."""
        self._timer.cancel()
        self._pool.close()

    def _tick(self):
        self._timer = self._loop.call_later(CHECK_S, self._tick)
        connection = self._pool.connects, self._pool.connected
        if self._asking or self._entered == connection:
            return
        self._asking = True
        body = json.dumps(self._entry).encode()
        self._pool.request(
            'POST', '/v1/instances', body, TIMEOUT_S, self._on_answer
        )

    def _on_answer(self, response, exc):
        self._asking = False
        if response is not None and response.status == 200:
            self._entered = self._pool.connects, self._pool.connected
