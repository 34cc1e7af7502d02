"""A port of callers that is told to stop, without sockets."""

import random

from jasminehold.decisions import held_bytes
from jasminehold.decisions import planned_stop
from jasminehold.decisions import route_table
from jasminehold.front import caller
from jasminehold import metrics
from tests.builders import front_rig

GRACE_S = 6.0
STEP_S = 0.05
CONNS = 4
# Requests that a caller has under way at most.
UNDER_WAY = 5


class _Conn:
    """One caller's connection; the caller takes bytes when told to."""

    def __init__(self, number):
        self.peer = ('192.0.2.%d' % (number + 1), 1)
        self.on_data = self.on_close = self.on_drain = self.on_eof = None
        self.closed = False
        self.out = b''
        self.buffered = 0
        self.sent = 0
        self._input = b''
        self._reading = True
        self._closing = False

    @property
    def held(self):
        return self.buffered

    def write(self, data):
        if not self._closing and not self.closed:
            self.out += data
            self.buffered += len(data)

    def pause(self):
        self._reading = False

    def resume(self):
        self._reading = True

    def close(self):
        self._closing = True
        if not self.buffered:
            self.abort()

    def abort(self):
        if not self.closed:
            self.closed = True
            self.on_close(None)

    def give(self, data, rng):
        """Send bytes; a part of what waits arrives."""
        self._input += data
        if self._reading and not self.closed and not self._closing:
            size = rng.randrange(len(self._input) + 1)
            part, self._input = self._input[:size], self._input[size:]
            if part:
                self.on_data(part)

    def take(self, size):
        """Take bytes of the answers."""
        if self.closed or not self.buffered:
            return
        self.buffered -= min(size, self.buffered)
        if self.buffered:
            return
        if not self._closing and self.on_drain is not None:
            self.on_drain()
        # A caller closes its side when it has the answer that says so.
        if self._closing or b'connection: close' in self.out:
            self.abort()


class StoppingPort:
    """Callers that send, and read, at random times around a stop.

    Args:
        seed: of all choices.

    Attributes:
        faults: broken promises, as texts.
        steps: steps that were taken.
    """

    def __init__(self, seed):
        self.faults = []
        self.steps = 0
        self._rng = random.Random(seed)
        self._now = 100.0
        self._port = caller.CallerPort(
            self,
            metrics.Metrics(),
            route_table.CallerLimits,
            lambda: True,
            self._on_request,
            100,
            held_bytes.HeldBytes(lambda: 300.0),
        )
        self._stop = None
        self._conns = []
        for number in range(CONNS):
            conn = _Conn(number)
            self._conns.append(conn)
            self._port._on_accept(conn)
        self._passed_on = {conn.peer[0]: [] for conn in self._conns}

    # The loop.

    def now(self):
        """Return the time."""
        return self._now

    # Requests.

    def _on_request(self, inbound):
        found = self._passed_on[inbound.peer]
        waiting = [item for item in found if not item.answered]
        if self._stop is not None and waiting:
            self.faults.append('read behind an answer that is owed')
        found.append(inbound)

    def _send(self, conn):
        answered = conn.out.count(b'HTTP/1.1 200')
        closes = b'connection: close' in conn.out
        data = b''
        if conn.sent - answered < UNDER_WAY and not closes:
            conn.sent += 1
            data = front_rig.pipelined(['r%d' % conn.sent])
        conn.give(data, self._rng)

    def _answer(self, conn):
        waiting = [
            item for item in self._passed_on[conn.peer[0]] if not item.answered
        ]
        if waiting:
            size = self._rng.choice((0, 10, 5000))
            self._rng.choice(waiting).answer(200, [], b'x' * size)

    def _take(self, conn):
        conn.take(self._rng.choice((1, 100, 3000)))

    # The stop.

    def tell(self):
        """Tell the instance to stop."""
        self._port.leaving = True
        self._stop = planned_stop.PlannedStop(self._now, GRACE_S)

    def run(self, steps, calm=False):
        """Take random steps; calm ones let everything be answered and read.

        Returns:
            Whether the stop has ended.
        """
        for _ in range(steps):
            self.steps += 1
            self._now += STEP_S * self._rng.random() * 2
            conn = self._rng.choice(self._conns)
            acts = [self._answer, self._take]
            if not calm:
                acts.append(self._send)
            self._rng.choice(acts)(conn)
            self._expire()
            if self._stop is not None and self._step_stop():
                return True
        return False

    def _step_stop(self):
        phase = self._stop.step(self._port.owed(), self._now)
        if phase is planned_stop.Phase.FINISHING:
            self._port.close_idle()
        return phase is planned_stop.Phase.ENDED

    def send_garbage(self):
        """Let a caller send two requests and garbage, and take one answer.

        Returns:
            Its connection.
        """
        conn = self._conns[0]
        conn.on_data(front_rig.pipelined(['r1', 'r2']) + b'\0\0\r\n\r\n')
        self._passed_on[conn.peer[0]][0].answer(200, [], b'x' * 1000)
        conn.take(len(conn.out))
        return conn

    def wait(self, seconds):
        """Let time pass in which nothing comes."""
        until = self._now + seconds
        while self._now < until:
            self._now += STEP_S
            self._expire()

    def _expire(self):
        for late in [
            item for item in self._port._conns if item.timeout_at <= self._now
        ]:
            late.expire()

    def check(self, in_time):
        """Note what is wrong when the stop has ended.

        Args:
            in_time: whether all was answered and read before its time.
        """
        for conn in self._conns:
            found = self._passed_on[conn.peer[0]]
            answers = conn.out.count(b'HTTP/1.1 200')
            if conn.out.count(b'connection: close') > 1:
                self.faults.append('closed twice')
            head, _, behind = conn.out.partition(b'connection: close')
            if b'HTTP/1.1 200' in behind:
                self.faults.append('an answer behind the last one')
            if in_time and (answers != len(found) or conn.buffered):
                self.faults.append('ended with answers owed')
