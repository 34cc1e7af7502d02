"""Fake upstream server with slots, fault injection and counters.

The response body is derived from the request, so a test can verify each
response byte by byte with :func:`response_body`. ``X-Seen`` and ``X-Deadline``
return the names of the received headers and the received deadline. Request
headers select sizes and faults:

- ``X-Size``: size of the response body, in bytes.
- ``X-Framing: chunked``: chunked transfer encoding.
- ``X-Service-Ms``: service time, instead of a random one.
- ``X-Fault``: ``reset`` (closed after half of the body), ``short`` (closed one
  byte before the end), ``double`` (response sent twice), ``late`` (response
  delayed by ``LATE_DELAY_S``), ``foreign`` (response to another request),
  ``unframed`` (no ``Content-Length``), ``both`` (``Content-Length`` and
  ``Transfer-Encoding``), ``drop`` (executed, then closed without a response),
  ``interim`` (executed, then interim responses without end), ``unnamed`` (a
  response that does not name its request), ``stale-refusal`` (the same; a
  refusal that does not either is sent when the execution starts).
- ``X-Fault-At``: name of the only upstream at which the fault occurs.
- ``X-Crash``: the process exits when the execution starts, or
  ``X-Crash-After-Ms`` later, whether or not the request's connection is open.
- ``X-Crash-Sends``: ``head`` or ``body``: half of it is sent before.
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

WRITE_CHUNK_BYTES = 64 * 1024
LATE_DELAY_S = 1.0
CRASH_EXIT_CODE = 70
_CRASH_SENDS = {
    b'': b'',
    b'head': b'HTTP/1.1 200 OK\r\nX-Up',
    b'body': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
}


class Options(typing.NamedTuple):
    """Options of an :class:`Upstream`.

    Attributes:
        slots: maximum number of concurrent requests.
        queue: maximum number of waiting requests; more are shed.
        connections: maximum number of connections; more are refused.
        connect_cost_s: delay before a new connection is served.
        service_s: mean service time; half of it is constant, the rest is
            exponentially distributed.
        cold_factor: service time multiplier of the first request.
        cold_requests: requests until the multiplier has fallen to 1.
        load_lag_s: update interval of the load report, in seconds.
        seed: seed of the service times.
        trace: whether each queued and each started request is written to
            standard output and flushed, one JSON list per line: ``[event,
            seconds (monotonic), request id, key]``. The lines survive a kill
            of the process.
        count_file: file to which each execution is appended before it
            starts, so that the counts survive a kill of the process.
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
    """Return the response body for a request.

    Args:
        method: bytes.
        path: request target, bytes.
        body: request body, bytes.
        key: value of ``Idempotency-Key``, bytes, empty if absent.
        size: size of the response body, in bytes.
    """
    return _derive_body(method, path, hashlib.sha256(body).digest(), key, size)


def _derive_body(method, path, digest, key, size):
    seed = b'\0'.join((method, path, digest, key))
    return hashlib.shake_256(seed).digest(size)


class _Request:
    def __init__(self, session, head):
        self.session = session
        self.head = head
        self.headers = dict(head.headers)
        self.digest = hashlib.sha256()
        self.deadline = None
        self.timer = None

    def int_header(self, name, default):
        return int(self.headers.get(name, default))


class _Session:
    """A server connection."""

    def __init__(self, upstream, conn):
        self.conn = conn
        self.req = None
        self._upstream = upstream
        self._http = h11.Connection(h11.SERVER)
        self._pending = []
        self._on_body_sent = None
        conn.on_data = self._on_data
        conn.on_close = self._on_close
        conn.on_drain = self._send_more

    def _on_data(self, data):
        try:
            self._http.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError:
            self.conn.abort()

    def _on_close(self, exc):
        self._upstream.cancel_session(self)

    def _process_events(self):
        while not self.conn.closed:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self.req = _Request(self, event)
                if self._http.they_are_waiting_for_100_continue:
                    head = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self.conn.write(self._http.send(head))
            elif isinstance(event, h11.Data):
                self.req.digest.update(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._upstream.submit(self.req)

    def send_response(
        self, status, headers, body, chunked=False, cut=None, foreign=None
    ):
        """Send a response.

        Args:
            status: status code.
            headers: list of pairs of bytes.
            body: bytes.
            chunked: whether to use chunked transfer encoding.
            cut: number of body bytes after which the connection is closed,
                None to send the whole body.
            foreign: wrong request id to return in ``Jasminehold-Request``,
                empty for none.
        """
        if self.conn.closed:
            return
        headers = list(headers)
        request_id = self.req.headers.get(b'jasminehold-request')
        if request_id is not None and foreign != b'':
            headers.append((b'jasminehold-request', foreign or request_id))
        if not chunked:
            headers.append((b'content-length', b'%d' % len(body)))
        head = h11.Response(status_code=status, headers=headers)
        self.conn.write(self._http.send(head))
        if self.req.head.method == b'HEAD':
            body = b''
        limit = len(body) if cut is None else cut
        self._pending = [
            body[start : min(start + WRITE_CHUNK_BYTES, limit)]
            for start in range(0, limit, WRITE_CHUNK_BYTES)
        ]
        self._on_body_sent = self._finish_response
        if cut is not None:
            self._on_body_sent = self.conn.close
        self._send_more()

    def _send_more(self):
        if self._on_body_sent is None:
            return
        while self._pending and not self.conn.buffered:
            data = self._pending.pop(0)
            self.conn.write(self._http.send(h11.Data(data=data)))
            if self.conn.closed:
                return
        if not self._pending:
            callback, self._on_body_sent = self._on_body_sent, None
            callback()

    def _finish_response(self):
        self.conn.write(self._http.send(h11.EndOfMessage()))
        self.req = None
        if self._http.our_state is h11.MUST_CLOSE:
            self.conn.close()
            return
        self._http.start_next_cycle()
        self._process_events()

    def send_raw(self, data):
        """Send raw bytes and close the connection."""
        self.conn.write(data)
        self.conn.close()


class Upstream:
    """An upstream server on an event loop.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        name: name of the upstream.
        host: IP address.
        port: port, 0 for any free port.
        options: the :class:`Options`.
        on_crash: called when ``X-Crash`` stops the server; without it, the
            process exits.

    Attributes:
        by_key: executions by ``Idempotency-Key``.
        by_id: executions by ``X-Request-Id``.
        counts: counters by name.
        draining: whether new requests are refused.
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
        self._sessions = set()
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
        """Stop listening and abort all connections."""
        self.stopped = True
        self._listener.close()
        for session in list(self._sessions):
            session.conn.abort()

    def drain(self):
        """Refuse new requests and complete those in flight."""
        self.draining = True

    def cancel_session(self, session):
        """Cancel the request of a closed connection and free its slot."""
        self._sessions.discard(session)
        req, session.req = session.req, None
        if req is None:
            return
        if req in self._waiting:
            self._waiting.remove(req)
            self.counts['cancelled_waiting'] += 1
        elif req in self._running:
            self.counts['cancelled'] += 1
            req.timer.cancel()
            self._release_slot(req)

    def submit(self, req):
        """Execute, queue or refuse a complete request."""
        path = req.head.target.partition(b'?')[0]
        handler = _CONTROL_HANDLERS.get((req.head.method, path))
        if handler is not None:
            body = json.dumps(handler(self)).encode()
            json_type = [(b'content-type', b'application/json')]
            req.session.send_response(200, json_type, body)
            return
        if self.draining:
            self._refuse(req, 503, 'refused_leaving', [(b'leaving', b'1')])
            return
        if b'jasminehold-deadline' in req.headers:
            remaining_s = req.int_header(b'jasminehold-deadline', 0) / 1000
            req.deadline = self._loop.now() + remaining_s
        if len(self._running) < self.options.slots:
            self._start(req)
        elif len(self._waiting) < self.options.queue:
            self._trace('waits', req)
            self._waiting.append(req)
        else:
            self._refuse(req, 503, 'shed', [(b'retry-after', b'1')])

    def _on_accept(self, conn):
        if len(self._sessions) >= self.options.connections:
            self.counts['connections_refused'] += 1
            conn.abort()
            return
        self.counts['connections'] += 1
        self._sessions.add(_Session(self, conn))
        conn.pause()
        self._loop.call_later(self.options.connect_cost_s, conn.resume)

    def _refuse(self, req, status, count, headers):
        self.counts[count] += 1
        headers = headers + [(b'jasminehold-run', b'not-run')]
        if self.draining:
            headers.append((b'connection', b'close'))
        req.session.send_response(status, headers, b'')

    def _start(self, req):
        if req.deadline is not None and req.deadline <= self._loop.now():
            self._refuse(req, 504, 'expired', [])
            return
        self._running.add(req)
        self.counts['executions'] += 1
        self._trace('runs', req)
        headers = req.headers
        self._append_execution(headers)
        if b'idempotency-key' in headers:
            self.by_key[headers[b'idempotency-key'].decode()] += 1
        if b'x-request-id' in headers:
            self.by_id[headers[b'x-request-id'].decode()] += 1
        if b'x-crash' in headers:
            req.session.conn.write(
                _CRASH_SENDS[headers.get(b'x-crash-sends', b'')]
            )
            after_s = req.int_header(b'x-crash-after-ms', 0) / 1000
            if after_s:
                req.timer = self._loop.call_later(0, int)
                self._loop.call_later(after_s, self._crash)
            else:
                self._crash()
            return
        seconds = self._service_s(req)
        if self._fault(req) == b'stale-refusal':
            req.session.conn.write(_UNNAMED_REFUSAL)
        if self._fault(req) == b'late':
            seconds += LATE_DELAY_S
        req.timer = self._loop.call_later(seconds, self._complete, req)

    def _trace(self, event, req):
        if self.options.trace:
            request_id = req.headers.get(b'x-request-id', b'').decode()
            key = req.headers.get(b'idempotency-key', b'').decode()
            line = json.dumps([event, time.monotonic(), request_id, key])
            sys.stdout.write(line + '\n')
            sys.stdout.flush()

    def _append_execution(self, req_headers):
        if self._count_fd is not None:
            key = req_headers.get(b'idempotency-key', b'')
            request_id = req_headers.get(b'x-request-id', b'')
            name = self.name.encode()
            os.write(self._count_fd, b'%s %s %s\n' % (name, request_id, key))

    def _crash(self):
        if self._on_crash is None:
            os._exit(CRASH_EXIT_CODE)
        for req in self._running:
            # Closing its connection cancels the timer of a request; the one
            # that is just starting has none yet.
            if req.timer is None:
                req.timer = self._loop.call_later(0, int)
        self.stop()
        self._on_crash()

    def _service_s(self, req):
        options = self.options
        seconds = req.int_header(b'x-service-ms', -1) / 1000
        if seconds < 0:
            half_s = options.service_s / 2
            seconds = half_s + self._random.expovariate(1 / max(half_s, 1e-9))
        warm = min(self.counts['executions'] / options.cold_requests, 1.0)
        return seconds * (1 + (options.cold_factor - 1) * (1 - warm))

    def _fault(self, req):
        target = req.headers.get(b'x-fault-at', self.name.encode())
        if target != self.name.encode():
            return None
        return req.headers.get(b'x-fault')

    def _release_slot(self, req):
        self._running.discard(req)
        while self._waiting and len(self._running) < self.options.slots:
            self._start(self._waiting.popleft())

    def _complete(self, req):
        self.counts['completed'] += 1
        self._release_slot(req)
        head, req_headers, session = req.head, req.headers, req.session
        body = _derive_body(
            head.method,
            head.target,
            req.digest.digest(),
            req_headers.get(b'idempotency-key', b''),
            req.int_header(b'x-size', 64),
        )
        chunked = req_headers.get(b'x-framing') == b'chunked'
        headers = [
            (b'x-upstream', self.name.encode()),
            (b'x-seen', b' '.join(name for name, _ in head.headers)),
            (b'x-deadline', req_headers.get(b'jasminehold-deadline', b'')),
            (b'keep-alive', b'timeout=9'),
        ]
        fault = self._fault(req)
        if fault in (b'reset', b'short'):
            cut = len(body) // 2 if fault == b'reset' else len(body) - 1
            session.send_response(200, headers, body, chunked, cut)
        elif fault == b'interim':
            self._send_interim(session.conn)
        elif fault == b'drop':
            session.conn.close()
        elif fault in _NAMES:
            session.send_response(
                200, headers, body, chunked, foreign=_NAMES[fault]
            )
        elif fault in _RAW_HEADS:
            session.send_raw(_RAW_HEADS[fault] % len(body) + body)
        elif fault == b'double':
            request_id = req_headers.get(b'jasminehold-request', b'')
            raw = _DOUBLE_HEAD % (request_id, len(body)) + body
            session.conn.write(raw)
            session.conn.write(raw)
        else:
            session.send_response(200, headers, body, chunked)

    def _send_interim(self, conn):
        if not conn.closed:
            conn.write(b'HTTP/1.1 102 Processing\r\n\r\n' * 50)
            self._loop.call_later(0.01, self._send_interim, conn)

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
            'connections': len(self._sessions),
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


_DOUBLE_HEAD = (
    b'HTTP/1.1 200 OK\r\njasminehold-request: %s\r\n'
    b'content-length: %d\r\n\r\n'
)
# Ids of requests that responses name.
_NAMES = {b'foreign': b'other-1', b'unnamed': b'', b'stale-refusal': b''}
_UNNAMED_REFUSAL = (
    b'HTTP/1.1 503 Refused\r\njasminehold-run: not-run\r\n'
    b'content-length: 0\r\n\r\n'
)
_RAW_HEADS = {
    b'unframed': b'HTTP/1.1 200 OK\r\nx-size: %d\r\n\r\n',
    b'both': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'
    b'content-length: %d\r\n\r\n',
}
_CONTROL_HANDLERS = {
    (b'POST', b'/control/drain'): Upstream._control_drain,
    (b'GET', b'/load'): Upstream._control_load,
    (b'GET', b'/health'): Upstream._control_health,
    (b'GET', b'/executions'): Upstream._control_executions,
}


def run(name='upstream', host='127.0.0.1', port=0, **options):
    """Run an upstream in this process until it is terminated.

    Prints one JSON line with the address once it listens.

    Args:
        name: name of the upstream.
        host: IP address.
        port: port, 0 for any free port.
        **options: fields of :class:`Options`.
    """
    root = circuits.Component()
    loop = loop_module.Loop().register(root)
    upstream = Upstream(loop, name, host, port, Options(**options))
    address = {'name': name, 'host': upstream.host, 'port': upstream.port}
    print(json.dumps(address), flush=True)
    root.run()
