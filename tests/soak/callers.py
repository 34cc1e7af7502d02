"""Callers that keep open connections until the process is gone."""

import json
import random
import threading
import time

from jasminehold.standin import caller
from jasminehold.standin import sealed
from tests.builders import front_rig
from tests.soak import checks

TIMEOUT_S = 3.0
PAUSE_S = 0.02
# Pause between copies of a request that crashes upstreams.
COPY_PAUSE_S = 0.35
# Part of the requests whose upstream's answer is lost or spoilt, and how.
FAULT_PART = 0.03
FAULTS = (
    'shed',
    'busy',
    'lost',
    'reset',
    'unframed',
    'cut',
    'foreign',
    'extra',
    'encoded',
    'bare',
    'error',
    'endless-interim',
    'endless-foreign',
    'endless-behind',
)
# Drawn on their own, so that the others are drawn as before: part of the
# requests whose rejection comes again.
REPEAT_PART = 0.03
REPEATS = tuple('repeat-' + how for how in sealed.REPEATS)


class Caller(threading.Thread):
    """One caller; its requests go to the record.

    Args:
        world: the :class:`~tests.soak.world.World`.
        number: makes its request ids unique.
        seed: seed of its choices.
    """

    def __init__(self, world, number, seed):
        super().__init__(daemon=True)
        self.stopped = False
        self._world = world
        self._number = number
        self._rng = random.Random('%s/%s' % (seed, number))
        self._repeat_rng = random.Random('%s/%s/repeats' % (seed, number))
        self._client = None
        self._instance = None
        self._incarnation = 0

    def run(self):
        """Send requests until stopped."""
        count = 0
        while not self.stopped:
            count += 1
            self._one('c%d-%d' % (self._number, count))
            time.sleep(PAUSE_S * self._rng.random())

    def _one(self, request_id):
        if self._client is None and not self._connect():
            time.sleep(0.05)
            return
        method, path, fault = self._draw()
        begin = time.monotonic()
        reply, read = caller.NO_REPLY, False
        try:
            changes = {
                'X_Request_Id': request_id,
                'Cookie': 'X-Affinity-Key=%d' % self._rng.randrange(30),
            }
            if fault:
                changes['X_Fault'] = fault
            headers = front_rig.request_headers(changes)
            self._client.send(method, path, headers)
            read = True
            reply = self._client.read()
        except OSError:
            # A time-out or a lost connection: no answer.
            reply = caller.NO_REPLY
        self._world.record.sent.append(
            checks.Sent(
                request_id,
                self._instance.name,
                self._incarnation,
                path,
                method == 'GET',
                begin,
                time.monotonic(),
                reply.status,
                reply.complete,
                _named(reply),
                read,
                fault,
            )
        )
        closes = reply.headers.get('connection') == 'close'
        if not reply.complete or closes or self._rng.random() < 0.05:
            self._client.close()
            self._client = None

    def _connect(self):
        self._instance = self._rng.choice(self._world.instances)
        self._incarnation = self._instance.incarnation
        try:
            self._client = caller.Client(self._instance.caller_port, TIMEOUT_S)
        except OSError:
            return False
        return True

    def _draw(self):
        fault = ''
        if self._rng.random() < FAULT_PART:
            fault = self._rng.choice(FAULTS)
        if self._repeat_rng.random() < REPEAT_PART:
            fault = self._repeat_rng.choice(REPEATS)
        kind = self._rng.random()
        if kind < 0.5:
            return 'GET', '/browse/%d' % self._rng.randrange(9), fault
        if kind < 0.85:
            return 'POST', '/order/%d' % self._rng.randrange(9), fault
        back = self._rng.choice((0, 0, 1))
        return 'GET', '/gen%d/x' % max(self._world.version - back, 1), fault


class CrashingCaller(Caller):
    """A caller that sends copies of a request that crashes upstreams."""

    def __init__(self, world, number, seed):
        super().__init__(world, number, seed)
        method, prefix = self._rng.choice(
            (('GET', '/browse/'), ('POST', '/order/'))
        )
        fault = self._rng.choice(('crash', *sorted(sealed.CRASH_SENDS)))
        self._copy = method, '%scrash-%d' % (prefix, number), fault
        world.record.crashing.add(self._copy[1])

    def _connect(self):
        # A connection that idles between copies may be closed while the next
        # one is on its way, and nobody answers that one.
        time.sleep(COPY_PAUSE_S)
        return super()._connect()

    def _draw(self):
        return self._copy

    def _one(self, request_id):
        super()._one(request_id)
        if self._client is not None:
            self._client.close()
            self._client = None


def _named(reply):
    if reply.status != 200 or not reply.complete:
        return None
    try:
        return json.loads(reply.body).get('id')
    except ValueError:
        return None
