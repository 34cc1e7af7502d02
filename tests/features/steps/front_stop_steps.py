"""Steps for instances that are told to stop."""

import socket
import threading
import time

import behave

from jasminehold.decisions import planned_stop
from jasminehold.standin import sealed
from tests.builders import front_rig
from tests.builders import stopping_port

# Segments and a window as of a real network: a kernel would take a whole
# answer on loopback.
SEGMENT_BYTES = 1400
WINDOW_BYTES = 4096
ANSWER_BYTES = 5_000_000
READ_EVERY_S = 0.02
GIVE_UP_S = 5.0
STOP_AFTER_S = 0.3
# Requests that are sent while an answer is read.
FURTHER = 40
FURTHER_EVERY_S = 0.07
# Between the first requests of a caller, so that one is always under way.
SPREAD_S = 0.08


class SlowCaller(threading.Thread):
    """A caller that reads its answer in a given time.

    Args:
        port: of the instance.
        number: makes its request id unique.
        seconds: that it takes to read the answer.

    Attributes:
        body: what it got of the body.
    """

    def __init__(self, port, number, seconds):
        super().__init__(daemon=True)
        self.body = b''
        self._seconds = seconds
        self._sock = socket.socket()
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES
        )
        self._sock.connect(('127.0.0.1', port))
        headers = front_rig.request_headers(
            {
                'X_Request_Id': 'slow-%d' % number,
                'X_Fault': 'large-measured',
                'X_Size': str(ANSWER_BYTES),
            }
        )
        lines = ['GET /browse/slow HTTP/1.1']
        lines += ['%s: %s' % item for item in headers.items()]
        self._sock.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode())

    def run(self):
        """Read the answer."""
        part = int(ANSWER_BYTES * READ_EVERY_S / self._seconds)
        data = bytearray()
        begin = time.monotonic()
        try:
            while len(self.body) < ANSWER_BYTES:
                found = self._sock.recv(part)
                if not found:
                    break
                data += found
                if len(data) >= ANSWER_BYTES:
                    self.body = bytes(data.partition(b'\r\n\r\n')[2])
                due = begin + READ_EVERY_S * len(data) / part
                time.sleep(max(due - time.monotonic(), 0.0))
        except OSError:
            pass
        finally:
            self._sock.close()
            self.body = bytes(data.partition(b'\r\n\r\n')[2])


class SendingCaller(SlowCaller):
    """A slow caller that sends further requests while it reads."""

    def run(self):
        """Read the answer, and send."""
        threading.Thread(target=self._send, daemon=True).start()
        super().run()
        # The answer to the first one that was sent behind it may follow.
        self.body = self.body[:ANSWER_BYTES]

    def _send(self):
        # What is sent before the stop is answered.
        time.sleep(STOP_AFTER_S + FURTHER_EVERY_S)
        try:
            for number in range(FURTHER):
                time.sleep(FURTHER_EVERY_S)
                name = 'further-%d-%d' % (id(self), number)
                self._sock.sendall(front_rig.pipelined([name]))
        except OSError:
            # The instance has closed the connection.
            pass


@behave.when(
    '{count:d} callers take {seconds:g} s to read an answer and the instance'
    ' is told to stop'
)
def when_slow(context, count, seconds):
    _play_slow(context, SlowCaller, count, seconds)


@behave.when(
    '{count:d} callers take {seconds:g} s to read an answer, go on sending,'
    ' and the instance is told to stop'
)
def when_slow_sending(context, count, seconds):
    _play_slow(context, SendingCaller, count, seconds)


def _play_slow(context, kind, count, seconds):
    app = context.rig.apps['i1']
    port = app.cfg.caller_listen.port
    context.slow = [kind(port, number, seconds) for number in range(count)]
    for item in context.slow:
        item.start()
    # The upstreams' answers have come by then.
    time.sleep(STOP_AFTER_S)
    context.told_at = time.monotonic()
    context.rig.on_loop(app.loop, app.leave)


@behave.when(
    'a caller sends two requests and garbage, and has the first answer'
)
def when_garbage(context):
    context.port = stopping_port.StoppingPort(1)
    context.conn = context.port.send_garbage()


@behave.then('its connection waits {seconds:g} s for the second one')
def then_waits(context, seconds):
    context.port.wait(seconds)
    assert not context.conn.closed


@behave.when('it is told again, the store is lost and all paths are checked')
def when_more(context):
    rig = context.rig
    app = rig.apps['i1']
    rig.call(rig.store.set_faults, mode='reset')
    for _ in range(3):
        rig.on_loop(app.loop, app.leave)
        rig.on_loop(app.loop, app.path.request)
        time.sleep(0.2)


@behave.then('each of them gets a whole answer')
def then_whole(context):
    for item in context.slow:
        item.join(GIVE_UP_S)
    sizes = [len(item.body) for item in context.slow]
    assert sizes == [ANSWER_BYTES] * len(sizes), sizes
    whole = sealed.large_body(ANSWER_BYTES)
    assert all(item.body == whole for item in context.slow)


@behave.then('the instance has ended within its grace period')
def then_ended(context):
    rig = context.rig
    thread = rig._threads['i1']
    left_s = context.told_at + rig.apps['i1'].cfg.stop_grace
    thread.join(max(left_s - time.monotonic(), 0.0))
    assert not thread.is_alive()


class PipeliningCaller(threading.Thread):
    """A caller that keeps some requests under way on one connection.

    Args:
        client: a caller's connection.
        count: requests under way.
        in_step: whether the next ones are sent when all are answered but one,
            or one after each answer.

    Attributes:
        answers: heads of the answers, in lower case, without the last part.
        ended_at: monotonic seconds at which an answer closed the connection,
            or None.
    """

    def __init__(self, client, count, in_step):
        super().__init__(daemon=True)
        self.answers = []
        self.ended_at = None
        self._sock = client.sock
        self._count = count
        self._refill = 1 if in_step else count - 1
        self._spread_s = 0.0 if in_step else SPREAD_S
        self._sent = 0

    def _send(self, count):
        ids = ['p%d' % (self._sent + number) for number in range(count)]
        self._sent += count
        self._sock.sendall(front_rig.pipelined(ids))

    def run(self):
        """Send and read until the connection ends."""
        self._sock.settimeout(GIVE_UP_S)
        data = b''
        try:
            for _ in range(self._count):
                self._send(1)
                time.sleep(self._spread_s)
            while self.ended_at is None:
                found = self._sock.recv(65536)
                if not found:
                    break
                data += found
                self.answers = data.decode().lower().split('http/1.1 ')[1:]
                if 'connection: close' in self.answers[-1]:
                    self.ended_at = time.monotonic()
                under_way = self._sent - len(self.answers)
                if under_way <= self._refill:
                    self._send(self._count - under_way)
        except OSError:
            pass


@behave.when(
    'a caller keeps {count:d} requests under way, {step}, and the instance is'
    ' told to stop'
)
def when_pipelining(context, count, step):
    rig = context.rig
    app = rig.apps['i1']
    context.client = rig.client()
    context.add_cleanup(context.client.close)
    context.caller = PipeliningCaller(
        context.client, count, step == 'all at once'
    )
    context.caller.start()
    time.sleep(1.0)
    context.told_at = time.monotonic()
    rig.on_loop(app.loop, app.leave)
    context.caller.join(GIVE_UP_S)


@behave.then('one answer closes its connection within {seconds:g} s')
def then_closes(context, seconds):
    ended_at = context.caller.ended_at
    assert ended_at is not None, 'no answer closed the connection'
    assert ended_at - context.told_at < seconds, ended_at - context.told_at


@behave.then('all requests that reached an upstream were answered before it')
def then_answered(context):
    time.sleep(0.5)
    arrived = sum(item.arrivals for item in context.rig.upstreams.values())
    assert arrived == len(context.caller.answers), (
        arrived,
        len(context.caller.answers),
    )
    ids = ['"id": "p%d"' % number for number in range(arrived)]
    found = zip(ids, context.caller.answers)
    assert all(text in answer for text, answer in found)


@behave.when('an instance with 6 s of grace owes something until {until:g} s')
def when_owes(context, until):
    stop = planned_stop.PlannedStop(50.0, 6.0)
    context.phases = {}
    for tick in range(1000):
        seconds = tick / 100
        owed = planned_stop.Owed()
        if seconds < until:
            owed = owed.plus(1, 10)
        phase = stop.step(owed, 50.0 + seconds)
        context.phases.setdefault(phase, seconds)


@behave.then(
    'it accepts connections for {accepts:g} s and ends after {ends:g} s'
)
def then_phases(context, accepts, ends):
    found = context.phases
    finishing = found.get(
        planned_stop.Phase.FINISHING, found[planned_stop.Phase.ENDED]
    )
    assert abs(finishing - accepts) < 0.02, found
    assert abs(found[planned_stop.Phase.ENDED] - ends) < 0.02, found


@behave.when(
    'callers act at random around {count:d} stops, for {steps:d} steps and'
    ' more'
)
def when_random(context, count, steps):
    context.faults, context.in_time, total = [], [], 0
    for seed in range(count):
        port = stopping_port.StoppingPort(seed)
        port.run(120)
        port.tell()
        # Every third one has callers that go on to the end.
        port.run(30)
        ended = port.run(2000, calm=seed % 3 > 0)
        assert ended, seed
        in_time = (
            port._stop.seconds(planned_stop.Phase.FINISHING, port.now())
            < 2.9 - stopping_port.STEP_S * 2
        )
        context.in_time.append(in_time)
        port.check(in_time)
        context.faults += [(seed, fault) for fault in port.faults]
        total += port.steps
    assert total >= steps, total


@behave.then('no promise of a stop is broken')
def then_kept(context):
    assert not context.faults, context.faults[:8]


@behave.then('some stops ended early and some at their time')
def then_both(context):
    assert 0 < sum(context.in_time) < len(context.in_time), context.in_time
