"""Simulated time, processes that pause, and a platform that fails.

A process's timers and answers wait while it is paused, as those of a stopped
process do; the platform goes on.
"""

import heapq
import itertools

from jasminehold import errors
from jasminehold import loop as loop_module
from jasminehold.platform import client as client_module
from jasminehold.standin import store as store_module


class World:
    """Clock, queue of events and the platform's state."""

    def __init__(self, rng):
        self.time = 100.0
        self.rng = rng
        self.store = store_module.Store()
        self.down = ''
        self.lose_next = 0
        self.delay = 0.005
        self.writes = 0
        self._heap = []
        self._order = itertools.count()

    def at(self, due, func):
        heapq.heappush(self._heap, (due, next(self._order), func))

    def disturb(self, loop, verb, arg):
        """Pause a process or change how the platform fails."""
        if verb == 'pause':
            loop.paused_until = self.time + arg
        elif verb == 'down':
            self.down = arg
        elif verb == 'lose':
            self.lose_next = arg
        else:
            self.delay = arg

    def run(self, seconds, check=lambda: None):
        """Advance the time and run ``check`` after every event."""
        end = self.time + seconds
        while self._heap and self._heap[0][0] <= end:
            due, _, func = heapq.heappop(self._heap)
            self.time = max(self.time, due)
            self.store.expire(self.time)
            func()
            check()
        self.time = end
        self.store.expire(self.time)
        check()


class Loop:
    """The part of :class:`jasminehold.loop.Loop` that adapters use."""

    def __init__(self, world):
        self.world = world
        self.paused_until = 0.0

    def now(self):
        return self.world.time

    def call_later(self, delay, func, *args):
        cell = [func, args]

        def run():
            if self.paused_until > self.world.time:
                self.world.at(self.paused_until, run)
            elif cell[0] is not None:
                cell[0](*cell[1])

        self.world.at(self.world.time + delay, run)
        return loop_module.Timer(cell)

    def call_soon(self, func, *args):
        return self.call_later(0.0, func, *args)


class Client:
    """The platform client's interface on the simulated platform.

    Calls take effect after a random delay, and late writes after a time-out
    may still take effect.
    """

    TIMEOUT_S = 1.0

    def __init__(self, loop):
        self._loop = loop
        self._world = loop.world

    def _call(self, func, done, write):
        world = self._world
        loop = self._loop
        answered = []

        def answer(result, exc):
            if not answered:
                answered.append(True)
                done(result, exc)

        if world.down == 'refuse':
            exc = errors.PlatformUnavailable()
            loop.call_later(0.001, answer, None, exc)
            return
        doubt = errors.OutcomeUnknown if write else errors.PlatformUnavailable
        loop.call_later(self.TIMEOUT_S, answer, None, doubt())

        def apply():
            if world.down:
                return
            result = exc = None
            try:
                result = func(world.store)
            except store_module.Mismatch as fault:
                exc = errors.VersionMismatch(version=fault.version)
            except store_module.Missing:
                exc = errors.KeyNotFound()
            if write:
                world.writes += 1
                if world.lose_next:
                    world.lose_next -= 1
                    result, exc = None, errors.OutcomeUnknown()
            back = world.delay * world.rng.random()
            loop.call_later(back, answer, result, exc)

        delay = world.delay * (1 + world.rng.random())
        world.at(world.time + delay, apply)

    def get(self, key, done):
        self._call(lambda store: _read(store, key), done, False)

    def list(self, prefix, after, done):
        def func(store):
            found, more = store.list(prefix, after)
            items = [_read(store, key) for key, _ in found]
            return client_module.Page(items, store.revision, more)

        self._call(func, done, False)

    def put(self, key, value, if_version, done, lease=''):
        args = (key, value, if_version, lease)
        self._call(lambda store: store.put(*args), done, True)

    def delete(self, key, if_version, done):
        self._call(lambda store: store.delete(key, if_version), done, True)

    def grant(self, ttl, done):
        now = self._loop.now
        self._call(lambda store: store.grant(ttl, now()), done, True)

    def renew(self, lease, done):
        now = self._loop.now
        self._call(lambda store: store.renew(lease, now()), done, True)

    def revoke(self, lease, done):
        self._call(lambda store: store.revoke(lease), done, True)


def _read(store, key):
    item = store.get(key)
    if item is None:
        raise store_module.Missing()
    return client_module.Item(key, item.value, item.version)
