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
# Answers that are read slowly, and the time for that.
LARGE_BYTES = 4_000_000
LARGE_READ_S = 0.8
# Requests that are sent at once.
PIPELINED = 4
# Time that the body of a late request takes, what it says, and the time in
# which an instance that was told to stop still accepts connections.
LATE_BODY_S = 0.6
LATE_BODY = b'one locomotive'
STOPPING_S = 1.5


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
        named = _named(reply)
        self._record(request_id, path, begin, reply, named, read, fault)
        closes = reply.headers.get('connection') == 'close'
        if not reply.complete or closes or self._rng.random() < 0.05:
            self._client.close()
            self._client = None

    def _record(self, request_id, path, begin, reply, named, read, fault):
        self._world.record.sent.append(
            checks.Sent(
                request_id,
                self._instance.name,
                self._incarnation,
                path,
                not path.startswith('/order/'),
                begin,
                time.monotonic(),
                reply.status,
                reply.complete,
                named,
                read,
                fault,
            )
        )

    def _connect(self, window=0):
        self._instance = self._choose()
        self._incarnation = self._instance.incarnation
        try:
            port = self._instance.caller_port
            self._client = caller.Client(port, TIMEOUT_S, window=window)
        except OSError:
            return False
        return True

    def _choose(self):
        return self._rng.choice(self._world.instances)

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

    def _connect(self, window=0):
        # A connection that idles between copies may be closed while the next
        # one is on its way, and nobody answers that one.
        time.sleep(COPY_PAUSE_S)
        return super()._connect(window)

    def _draw(self):
        return self._copy

    def _one(self, request_id):
        super()._one(request_id)
        if self._client is not None:
            self._client.close()
            self._client = None


class SlowCaller(Caller):
    """A caller that reads large answers slowly."""

    WINDOW_BYTES = 4096

    def _one(self, request_id):
        if not self._connect(self.WINDOW_BYTES):
            time.sleep(0.05)
            return
        path = '/browse/slow%d' % self._number
        headers = front_rig.request_headers(
            {
                'X_Request_Id': request_id,
                'X_Fault': 'large-measured',
                'X_Size': str(LARGE_BYTES),
            }
        )
        begin, reply, read = time.monotonic(), caller.NO_REPLY, False
        try:
            self._client.send('GET', path, headers)
            read = True
            reply = self._client.read(LARGE_BYTES / LARGE_READ_S)
        except OSError:
            reply = caller.NO_REPLY
        whole = reply.body == sealed.large_body(LARGE_BYTES)
        named = request_id if whole else None
        self._record(request_id, path, begin, reply, named, read, 'large')
        self._client.close()
        self._client = None


class LateCaller(Caller):
    """A caller of long work whose bodies take a while.

    It goes to an instance that was told to stop, if there is one, where some
    of its requests come too late to be answered.
    """

    def _choose(self):
        since = time.monotonic() - STOPPING_S
        stops = self._world.record.stops
        told = {name for name, _, at in stops if at > since}
        found = [item for item in self._world.instances if item.name in told]
        return self._rng.choice(found or self._world.instances)

    def _one(self, request_id):
        if not self._connect():
            time.sleep(0.05)
            return
        path = '/order/late%d' % self._number
        headers = front_rig.request_headers(
            {
                'X_Request_Id': request_id,
                'X_Fault': 'long',
                'Content_Length': str(len(LATE_BODY)),
            }
        )
        begin, reply, read = time.monotonic(), caller.NO_REPLY, False
        try:
            parts = self._client.parts('POST', path, headers, LATE_BODY)
            for part in parts:
                self._client.sock.sendall(part)
                time.sleep(LATE_BODY_S / len(parts))
            read = True
            reply = self._client.read()
        except OSError:
            # It was refused before the end of its body, or lost.
            reply = caller.NO_REPLY
        named = _named(reply)
        self._record(request_id, path, begin, reply, named, read, 'long')
        self._client.close()
        self._client = None


class PipeliningCaller(Caller):
    """A caller that sends some requests at once."""

    def _one(self, request_id):
        if self._client is None and not self._connect():
            time.sleep(0.05)
            return
        path = '/browse/p%d' % self._number
        ids = ['%s-%d' % (request_id, turn) for turn in range(PIPELINED)]
        begin, replies = time.monotonic(), []
        try:
            self._client.sock.sendall(front_rig.pipelined(ids, path))
            replies = self._client.read_pipelined(PIPELINED)
        except OSError:
            pass
        # What follows an answer that closes the connection was not read; of
        # several that got no answer only the first one counts.
        for name, reply in zip(ids, replies or [caller.NO_REPLY]):
            self._record(name, path, begin, reply, _named(reply), True, '')
        last = replies[-1] if replies else caller.NO_REPLY
        if not last.complete or last.headers.get('connection') == 'close':
            self._client.close()
            self._client = None


def _named(reply):
    if reply.status != 200 or not reply.complete:
        return None
    try:
        return json.loads(reply.body).get('id')
    except ValueError:
        return None
