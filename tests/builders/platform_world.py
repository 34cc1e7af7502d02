"""A loop with an embedded stand-in of the platform and a client."""

import random

import circuits

from jasminehold import loop as loop_module
from jasminehold.platform import client as client_module
from jasminehold.standin import kv


class _Faults(circuits.Component):
    def init(self):
        self.seen = []

    @circuits.handler('exception', channel='*')
    def _on_exception(self, *args, **kwargs):
        self.seen.append(args[:3])


class World:
    """One process with everything on one loop."""

    def __init__(self, seed=1):
        self.root = circuits.Component()
        self._faults = _Faults().register(self.root)
        self.loop = loop_module.Loop().register(self.root)
        self.standin = kv.KvStore(self.loop)
        self.client = self.new_client(seed)

    def new_client(self, seed, timeout=1.0):
        """Return another client of the stand-in."""
        return client_module.PlatformClient(
            self.loop,
            [('127.0.0.1', self.standin.port)],
            timeout,
            random.Random(seed),
        )

    def run_until(self, check, timeout=20.0):
        """Run the loop until ``check()`` is true."""
        end = self.loop.now() + timeout

        def poll():
            if check() or self.loop.now() > end:
                self.root.stop()
            else:
                self.loop.call_later(0.002, poll)

        poll_first = self.loop.call_soon(poll)
        self.root.run()
        poll_first.cancel()
        assert not self._faults.seen, self._faults.seen
        assert check(), 'timed out'

    def run_for(self, seconds):
        """Run the loop for a time."""
        end = self.loop.now() + seconds
        self.run_until(lambda: self.loop.now() >= end)

    def call(self, name, *args, client=None, **kwargs):
        """Run one call to its end and return ``(result, exc)``."""
        answers = []
        func = getattr(client or self.client, name)
        func(*args, done=lambda *answer: answers.append(answer), **kwargs)
        assert not answers, 'answered before the call returned'
        self.run_until(lambda: answers)
        assert len(answers) == 1, answers
        return answers[0]
