"""A stand-in for an upstream server, with slots, faults and counts.

Its answer's body is derived from the request, so that a test can check each
answer byte by byte with :func:`response_body`. It names the headers and
the deadline that it saw in ``X-Seen`` and ``X-Deadline``. Request headers ask
for sizes and faults:

- ``X-Size``: bytes of the answer's body; ``X-Framing: chunked``.
- ``X-Service-Ms``: service time instead of the drawn one.
- ``X-Fault``: ``reset`` (cut in the middle), ``short`` (body too short),
  ``double`` (answer sent twice), ``late`` (answer after a second more),
  ``foreign`` (answer to another request), ``unframed`` (no length), ``both``
  (two lengths), ``drop`` (runs, then closes without an answer).
- ``X-Fault-At``: the fault only happens at the upstream of this name.
- ``X-Crash``: the process ends when the work starts.
"""

import collections
import hashlib
import json
import os
import random
import sys
import time
import typing

import circuits
import h11

from jasminehold import loop as loop_module

WRITE_BYTES = 64 * 1024
LATE_S = 1.0
CRASH_STATUS = 70


class Options(typing.NamedTuple):
    """Behaviour of one stand-in.

    Attributes:
        slots: requests executed at once.
        queue: requests that wait for a slot; more are shed.
        connections: open connections; more are refused.
        connect_cost_s: delay before a new connection is served.
        service_s: mean service time, exponentially distributed above half.
        cold_factor: factor of the first service time after a start.
        cold_requests: requests until the factor has fallen to one.
        load_lag_s: age step of the load report.
        seed: seed of the service times.
        trace: whether each execution and each request that has to wait is
            written to standard output at once, one JSON list a line:
            ``[event, seconds (monotonic), request id, key]``. What was
            written outlives a kill of the process.
        count_file: file to which each execution is appended before it
            starts, so that the counts outlive a killed process.
    """

    slots: int = 3
    queue: int = 16
    connections: int = 330
    connect_cost_s: float = 0.001
    service_s: float = 0.002
    cold_factor: float = 1.0
    cold_requests: int = 100
    load_lag_s: float = 1.0
    seed: int = 0
    trace: bool = False
    count_file: str = ''


def response_body(method, path, body, key, size):
    """Return the body of the answer to a request.

    Args:
        method: bytes.
        path: request target, bytes.
        body: the request's body, bytes.
        key: value of ``Idempotency-Key``, bytes, empty when absent.
        size: bytes.
    """
    return _derive(method, path, hashlib.sha256(body).digest(), key, size)


def _derive(method, path, digest, key, size):
    seed = b'\0'.join((method, path, digest, key))
    return hashlib.shake_256(seed).digest(size)


class _Work:
    def __init__(self, conn, head):
        self.conn = conn
        self.head = head
        self.headers = dict(head.headers)
        self.digest = hashlib.sha256()
        self.deadline = None
        self.timer = None

    def number(self, name, default):
        return int(self.headers.get(name, default))


class _Served:
    """One connection of the stand-in."""

    def __init__(self, upstream, conn):
        self.conn = conn
        self.work = None
        self._upstream = upstream
        self._http = h11.Connection(h11.SERVER)
        self._pending = []
        self._after = None
        conn.on_data = self._on_data
        conn.on_close = self._on_close
        conn.on_drain = self._send_more

    def _on_data(self, data):
        try:
            self._http.receive_data(data)
            self._pump()
        except h11.RemoteProtocolError:
            self.conn.abort()

    def _on_close(self, exc):
        self._upstream.forget(self)

    def _pump(self):
        while not self.conn.closed:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self.work = _Work(self, event)
                if self._http.they_are_waiting_for_100_continue:
                    head = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self.conn.write(self._http.send(head))
            elif isinstance(event, h11.Data):
                self.work.digest.update(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._upstream.submit(self.work)

    def send_response(
        self, status, headers, body, chunked=False, cut=None, foreign=None
    ):
        """Send an answer.

        Args:
            status: status code.
            headers: list of pairs of bytes.
            body: bytes.
            chunked: framing.
            cut: number of bytes after which the connection is closed.
            foreign: request id to name instead of the right one.
        """
        if self.conn.closed:
            return
        headers = list(headers)
        echo = self.work.headers.get(b'jasminehold-request')
        if echo is not None:
            headers.append((b'jasminehold-request', foreign or echo))
        if not chunked:
            headers.append((b'content-length', b'%d' % len(body)))
        head = h11.Response(status_code=status, headers=headers)
        self.conn.write(self._http.send(head))
        if self.work.head.method == b'HEAD':
            body = b''
        limit = len(body) if cut is None else cut
        self._pending = [
            body[start : min(start + WRITE_BYTES, limit)]
            for start in range(0, limit, WRITE_BYTES)
        ]
        self._after = self._next
        if cut is not None:
            self._after = self.conn.close
        self._send_more()

    def _send_more(self):
        if self._after is None:
            return
        while self._pending and not self.conn.buffered:
            data = self._pending.pop(0)
            self.conn.write(self._http.send(h11.Data(data=data)))
            if self.conn.closed:
                return
        if not self._pending:
            after, self._after = self._after, None
            after()

    def _next(self):
        self.conn.write(self._http.send(h11.EndOfMessage()))
        self.work = None
        if self._http.our_state is h11.MUST_CLOSE:
            self.conn.close()
            return
        self._http.start_next_cycle()
        self._pump()

    def answer_raw(self, data):
        """Send bytes as they are and close."""
        self.conn.write(data)
        self.conn.close()


class Upstream:
    """An upstream server on a loop.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        name: id of the upstream.
        host: IP address.
        port: port, 0 to let the system choose.
        options: the :class:`Options`.
        on_crash: called when a marked request crashes the server.

    Attributes:
        by_key: executions by ``Idempotency-Key``.
        by_id: executions by ``X-Request-Id``.
        counts: counters by name.
        draining: whether new work is refused.
    """

    def __init__(
        self, loop, name, host, port, options=Options(), on_crash=None
    ):
        self.name = name
        self.options = options
        self.by_key = collections.Counter()
        self.by_id = collections.Counter()
        self.counts = collections.Counter()
        self.draining = False
        self.stopped = False
        self._loop = loop
        self._random = random.Random(options.seed)
        self._on_crash = on_crash
        self._conns = set()
        self._running = set()
        self._count_fd = None
        if options.count_file:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._count_fd = os.open(options.count_file, flags, 0o600)
        self._waiting = collections.deque()
        self._listener = loop.listen(host, port, self._on_accept)
        self.host, self.port = self._listener.host, self._listener.port
        self._load = {}
        self._sample_load()

    @property
    def in_flight(self):
        """Number of requests that hold a slot."""
        return len(self._running)

    def stop(self):
        """Close everything at once."""
        self.stopped = True
        self._listener.close()
        for served in list(self._conns):
            served.conn.abort()

    def drain(self):
        """Refuse new work and finish what is in flight."""
        self.draining = True

    def forget(self, served):
        """Stop the work of a closed connection and free its slot."""
        self._conns.discard(served)
        work, served.work = served.work, None
        if work is None:
            return
        if work in self._waiting:
            self._waiting.remove(work)
            self.counts['cancelled_waiting'] += 1
        elif work in self._running:
            self.counts['cancelled'] += 1
            work.timer.cancel()
            self._free(work)

    def submit(self, work):
        """Take a complete request."""
        path = work.head.target.partition(b'?')[0]
        control = _CONTROL.get((work.head.method, path))
        if control is not None:
            body = json.dumps(control(self)).encode()
            kind = [(b'content-type', b'application/json')]
            work.conn.send_response(200, kind, body)
            return
        if self.draining:
            self._refuse(work, 503, 'refused_leaving', [(b'leaving', b'1')])
            return
        if b'jasminehold-deadline' in work.headers:
            left = work.number(b'jasminehold-deadline', 0) / 1000
            work.deadline = self._loop.now() + left
        if len(self._running) < self.options.slots:
            self._start(work)
        elif len(self._waiting) < self.options.queue:
            self._trace('waits', work)
            self._waiting.append(work)
        else:
            self._refuse(work, 503, 'shed', [(b'retry-after', b'1')])

    def _on_accept(self, conn):
        if len(self._conns) >= self.options.connections:
            self.counts['connections_refused'] += 1
            conn.abort()
            return
        self.counts['connections'] += 1
        self._conns.add(_Served(self, conn))
        conn.pause()
        self._loop.call_later(self.options.connect_cost_s, conn.resume)

    def _refuse(self, work, status, count, headers):
        self.counts[count] += 1
        headers = headers + [(b'jasminehold-run', b'not-run')]
        if self.draining:
            headers.append((b'connection', b'close'))
        work.conn.send_response(status, headers, b'')

    def _start(self, work):
        if work.deadline is not None and work.deadline <= self._loop.now():
            self._refuse(work, 504, 'expired', [])
            return
        self._running.add(work)
        self.counts['executions'] += 1
        self._trace('runs', work)
        values = work.headers
        self._write_down(values)
        if b'idempotency-key' in values:
            self.by_key[values[b'idempotency-key'].decode()] += 1
        if b'x-request-id' in values:
            self.by_id[values[b'x-request-id'].decode()] += 1
        if b'x-crash' in values:
            self._crash()
            return
        seconds = self._service_s(work)
        if self._fault(work) == b'late':
            seconds += LATE_S
        work.timer = self._loop.call_later(seconds, self._complete, work)

    def _trace(self, event, work):
        if self.options.trace:
            ident = work.headers.get(b'x-request-id', b'').decode()
            key = work.headers.get(b'idempotency-key', b'').decode()
            line = json.dumps([event, time.monotonic(), ident, key])
            sys.stdout.write(line + '\n')
            sys.stdout.flush()

    def _write_down(self, values):
        if self._count_fd is not None:
            key = values.get(b'idempotency-key', b'')
            ident = values.get(b'x-request-id', b'')
            name = self.name.encode()
            os.write(self._count_fd, b'%s %s %s\n' % (name, ident, key))

    def _crash(self):
        if self._on_crash is None:
            os._exit(CRASH_STATUS)
        for work in self._running:
            if work.timer is None:
                work.timer = self._loop.call_later(0, int)
        self.stop()
        self._on_crash()

    def _service_s(self, work):
        options = self.options
        seconds = work.number(b'x-service-ms', -1) / 1000
        if seconds < 0:
            half = options.service_s / 2
            seconds = half + self._random.expovariate(1 / max(half, 1e-9))
        done = min(self.counts['executions'] / options.cold_requests, 1.0)
        return seconds * (1 + (options.cold_factor - 1) * (1 - done))

    def _fault(self, work):
        at = work.headers.get(b'x-fault-at', self.name.encode())
        if at != self.name.encode():
            return None
        return work.headers.get(b'x-fault')

    def _free(self, work):
        self._running.discard(work)
        while self._waiting and len(self._running) < self.options.slots:
            self._start(self._waiting.popleft())

    def _complete(self, work):
        self.counts['completed'] += 1
        self._free(work)
        head, values, served = work.head, work.headers, work.conn
        body = _derive(
            head.method,
            head.target,
            work.digest.digest(),
            values.get(b'idempotency-key', b''),
            work.number(b'x-size', 64),
        )
        chunked = values.get(b'x-framing') == b'chunked'
        headers = [
            (b'x-upstream', self.name.encode()),
            (b'x-seen', b' '.join(name for name, _ in head.headers)),
            (b'x-deadline', values.get(b'jasminehold-deadline', b'')),
            (b'keep-alive', b'timeout=9'),
        ]
        fault = self._fault(work)
        if fault in (b'reset', b'short'):
            cut = len(body) // 2 if fault == b'reset' else len(body) - 1
            served.send_response(200, headers, body, chunked, cut)
        elif fault == b'drop':
            served.conn.close()
        elif fault == b'foreign':
            served.send_response(
                200, headers, body, chunked, foreign=b'other-1'
            )
        elif fault in _RAW:
            served.answer_raw(_RAW[fault] % len(body) + body)
        elif fault == b'double':
            echo = values.get(b'jasminehold-request', b'')
            raw = _DOUBLE % (echo, len(body)) + body
            served.conn.write(raw)
            served.conn.write(raw)
        else:
            served.send_response(200, headers, body, chunked)

    def _sample_load(self):
        if self.stopped:
            return
        busy = len(self._running) + len(self._waiting)
        self._load = {
            'load': busy / self.options.slots,
            'healthy': True,
            'slots': self.options.slots,
            'in_flight': len(self._running),
            'queued': len(self._waiting),
            'connections': len(self._conns),
            'leaving': self.draining,
        }
        self._loop.call_later(self.options.load_lag_s, self._sample_load)

    def _control_drain(self):
        self.drain()
        return {'in_flight': len(self._running) + len(self._waiting)}

    def _control_load(self):
        return self._load

    def _control_health(self):
        return {'healthy': True, 'leaving': self.draining}

    def _control_executions(self):
        return {
            'by_key': dict(self.by_key),
            'by_id': dict(self.by_id),
            'counts': dict(self.counts),
        }


_DOUBLE = (
    b'HTTP/1.1 200 OK\r\njasminehold-request: %s\r\n'
    b'content-length: %d\r\n\r\n'
)
_RAW = {
    b'unframed': b'HTTP/1.1 200 OK\r\nx-size: %d\r\n\r\n',
    b'both': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'
    b'content-length: %d\r\n\r\n',
}
_CONTROL = {
    (b'POST', b'/control/drain'): Upstream._control_drain,
    (b'GET', b'/load'): Upstream._control_load,
    (b'GET', b'/health'): Upstream._control_health,
    (b'GET', b'/executions'): Upstream._control_executions,
}


def run(name='upstream', host='127.0.0.1', port=0, **options):
    """Run a stand-in in this process until it is ended.

    Prints one JSON line with the address when it listens.

    Args:
        name: id of the upstream.
        host: IP address.
        port: port, 0 to let the system choose.
        **options: fields of :class:`Options`.
    """
    root = circuits.Component()
    loop = loop_module.Loop().register(root)
    upstream = Upstream(loop, name, host, port, Options(**options))
    address = {'name': name, 'host': upstream.host, 'port': upstream.port}
    print(json.dumps(address), flush=True)
    root.run()
