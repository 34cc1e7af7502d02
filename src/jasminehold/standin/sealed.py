"""Stand-in for an upstream of the users' platform.

It counts the runs of each request id, seals its answers and names its load.
The request header ``X-Fault`` asks for a fault, at the upstream that
``X-Fault-At`` names or at any:

- ``late-shed``: rejected as not run after the time of the work.
- ``shed``: rejected as not run; ``busy``: 503 without saying so.
- ``lost``: runs, then closes without an answer.
- ``reset``: runs, then resets in the middle of the answer.
- ``unframed``: no length; the answer ends with the connection.
- ``cut``: unframed, and reset before its end.
- ``foreign``: an answer to another request comes first.
- ``extra``: a second answer comes behind the first one.
- ``encoded``: the answer has a ``Content-Encoding``.
- ``bare``: the answer has no seal.
- ``error``: runs and answers 500.
"""

import collections
import json

from jasminehold.standin import http_server

FAULTY_STATUS = 500


class SealedUpstream:
    """One upstream on a given loop.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        name: its id.
        work_s: seconds of work for each request.
        slots: requests worked on at once.
        queue: requests that wait; more are rejected as not run.

    Attributes:
        port: port bound to.
        runs: number of runs by request id.
        arrivals: number of requests that arrived.
        headers_by_id: last request's headers by request id.
        cancelled: ids of requests whose connection closed during the work.
        on_event: called with this upstream's name, a request id and whether
            it runs, at each arrival and each start of work.
    """

    def __init__(self, loop, name, work_s=0.01, slots=3, queue=9):
        self.loop = loop
        self.name = name
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.runs = collections.Counter()
        self.arrivals = 0
        self.headers_by_id = {}
        self.cancelled = set()
        self.on_event = lambda name, request_id, ran: None
        self.conns = set()
        self._running = 0
        self._waiting = collections.deque()
        self._listener = loop.listen('127.0.0.1', 0, self._on_accept)
        self.port = self._listener.port

    def entry(self, service, place, **changes):
        """Return the document that it writes to the store."""
        doc = {
            'Service': service,
            'Addr': '127.0.0.1:%d' % self.port,
            'Zone': place,
            'Version': 'v1',
            'Slots': self.slots,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': 1,
        }
        doc.update(changes)
        return doc

    def stop(self):
        """Stop listening and drop all connections."""
        self._listener.close()
        for served in list(self.conns):
            served.conn.abort()

    def _on_accept(self, conn):
        served = http_server.ServerConn(self.loop, conn, self._on_request)
        self.conns.add(served)
        conn.on_close = lambda exc: self.conns.discard(served)

    def _on_request(self, served, head, body):
        self.submit(_Work(served, head, body))

    def submit(self, work):
        """Take a whole request."""
        self.arrivals += 1
        self.on_event(self.name, work.id, False)
        expected = work.headers.get(b'x-expect-instance', b'').decode()
        self.headers_by_id[work.id] = work.headers
        if expected != self.name:
            own = [(b'x-instance-id', self.name.encode())]
            work.send_response(421, own, b'')
        elif self._fault(work) == 'shed':
            self._reject(work)
        elif self._fault(work) == 'late-shed':
            self.loop.call_later(self.work_s, self._reject, work)
        elif self._running < self.slots:
            self._run(work)
        elif len(self._waiting) < self.queue:
            self._waiting.append(work)
        else:
            self._reject(work)

    def _reject(self, work):
        work.send_response(503, [(b'x-not-executed', b'1')], b'')

    def _fault(self, work):
        at = work.headers.get(b'x-fault-at', b'').decode()
        if at and at != self.name:
            return ''
        return work.headers.get(b'x-fault', b'').decode()

    def _run(self, work):
        self._running += 1
        self.runs[work.id] += 1
        self.on_event(self.name, work.id, True)
        work.running = True
        self.loop.call_later(self.work_s, self._finish, work)

    def _finish(self, work):
        self._running -= 1
        if work.served.conn.closed:
            self.cancelled.add(work.id)
        else:
            self._answer(work)
        while self._waiting and self._running < self.slots:
            waiting = self._waiting.popleft()
            if not waiting.served.conn.closed:
                self._run(waiting)

    def _answer(self, work):
        fault = self._fault(work)
        load = '%d,%d,%d' % (self._running, len(self._waiting), self.slots)
        headers = [
            (b'x-server-seal', b'seal-' + work.id.encode()),
            (b'x-server-load', load.encode()),
        ]
        body = json.dumps(
            {
                'id': work.id,
                'method': work.head.method.decode(),
                'target': work.head.target.decode(),
                'length': len(work.body),
            }
        ).encode()
        if fault == 'lost':
            work.served.conn.close()
        elif fault == 'busy':
            work.send_response(503, headers, b'busy')
        elif fault == 'error':
            work.send_response(FAULTY_STATUS, headers, b'failed')
        elif fault == 'bare':
            work.send_response(200, headers[1:], body)
        elif fault == 'encoded':
            work.send_response(
                200, headers + [(b'content-encoding', b'gzip')], body
            )
        elif fault == 'reset':
            work.raw(200, headers, len(body), body[:5])
            self.loop.call_later(0.02, work.served.conn.abort)
        elif fault in ('unframed', 'cut'):
            work.raw(200, headers, None, body)
            end = work.served.conn.close
            if fault == 'cut':
                end = work.served.conn.reset
            self.loop.call_later(0.02, end)
        elif fault == 'foreign':
            work.raw(200, headers, 5, b'other', b'another-request')
            work.raw(200, headers, len(body), body)
            work.served.conn.close()
        else:
            work.send_response(200, headers, body)
            if fault == 'extra':
                work.raw(200, headers, 5, b'extra')


class _Work:
    def __init__(self, served, head, body):
        self.served = served
        self.head = head
        self.headers = dict(head.headers)
        self.id = self.headers.get(b'x-request-id', b'').decode()
        self.body = body
        self.running = False

    def send_response(self, status, headers, body):
        """Send a whole answer."""
        headers = headers + [(b'x-request-id', self.id.encode())]
        self.served.send_response(status, headers, body)

    def raw(self, status, headers, length, body, request_id=None):
        """Send an answer's bytes past the parser."""
        lines = [b'HTTP/1.1 %d Raw' % status]
        named = (request_id or self.id.encode(),)
        for name, value in headers + [(b'x-request-id', named[0])]:
            lines.append(name + b': ' + value)
        if length is not None:
            lines.append(b'content-length: %d' % length)
        self.served.conn.write(b'\r\n'.join(lines) + b'\r\n\r\n' + body)
