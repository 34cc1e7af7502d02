"""Asynchronous HTTP client with keep-alive connections to one address."""

import collections
import typing

import h11

from jasminehold import errors

# Holds a page of a list with a value of the largest size at its end.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_CONNS = 16
MAX_QUEUE = 1024
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Multiple of its timeout that a response may take while its bytes arrive.
PROGRESS_FACTOR = 4
# Interim responses to one request that are read before the connection is
# closed.
INTERIM_RESPONSES_MAX = 16


class Response(typing.NamedTuple):
    """An HTTP response; header names are lower case."""

    status: int
    headers: dict
    body: bytes


class RequestFailed(errors.JasmineholdError):
    """Raised when a request got no complete response.

    Attributes:
        sent: whether any byte of the request may have left this process.
    """

    def __init__(self, message, *, sent):
        super().__init__(message)
        self.sent = sent


class ResponseTooLarge(RequestFailed):
    """Raised when the body of a response is larger than the client takes."""


class Client:
    """Client of one address, with a bounded queue and reconnect backoff.

    After a failed connection attempt, requests fail immediately until a
    backoff with jitter has passed; then a single attempt is made. This avoids
    a burst of connections at the end of an outage.

    Args:
        loop: the event loop.
        host: IP address.
        port: port.
        rng: random source for jitter.
        max_conns: maximum number of connections.
        max_body: maximum size of a response body, bytes.
        keepalive: :class:`~jasminehold.loop.KeepAlive` of the connections.
        backoff_max_s: maximum backoff after a failed attempt, seconds.
        connect_timeout_s: seconds for opening a connection.
    """

    def __init__(
        self,
        loop,
        host,
        port,
        rng,
        max_conns=MAX_CONNS,
        max_body=MAX_BODY_BYTES,
        keepalive=None,
        backoff_max_s=BACKOFF_MAX_S,
        connect_timeout_s=CONNECT_TIMEOUT_S,
    ):
        self.connects = 0
        self._loop = loop
        self._host = host
        self._port = port
        self._rng = rng
        self._max_conns = max_conns
        self.max_body = max_body
        self._keepalive = keepalive
        self._backoff_max_s = backoff_max_s
        self._connect_timeout_s = connect_timeout_s
        self._idle = []
        self._conns = set()
        self._opening = 0
        self._queue = collections.deque()
        self._failures = 0
        self._retry_at = 0.0
        self._closed = False

    @property
    def connected(self):
        """Whether a connection is open."""
        return bool(self._conns)

    @property
    def proven(self):
        """Whether an idle connection is open that has carried a response."""
        return any(item.proven and not item.conn.closed for item in self._idle)

    def available(self):
        """Return whether a request would be attempted now."""
        return not self._failures or (
            self._loop.now() >= self._retry_at and not self._opening
        )

    def request(self, method, target, body, timeout, done):
        """Send a request.

        Args:
            method: HTTP method.
            target: path and query.
            body: bytes.
            timeout: seconds for the complete response; a response whose
                bytes go on arriving may take :data:`PROGRESS_FACTOR` times
                as long.
            done: called once, ``done(Response or None, RequestFailed or
                None)``, never before this returns.
        """
        call = _Call(self._loop, method, target, body, timeout, done)
        if self._closed:
            call.fail('the client is closed', False, soon=True)
        elif self._idle:
            self._loop.call_soon(self._start, call)
        elif not self.available():
            call.fail('waiting to reconnect', False, soon=True)
        elif len(self._queue) >= MAX_QUEUE:
            call.fail('request queue is full', False, soon=True)
        else:
            self._queue.append(call)
            self._open()

    def close(self):
        """Close all connections; requests in flight fail."""
        self._closed = True
        for http_conn in list(self._conns):
            http_conn.conn.abort()
        while self._queue:
            self._queue.popleft().fail('the client is closed', False)

    def _start(self, call):
        if call.done is None:
            return
        while self._idle:
            http_conn = self._idle.pop()
            if not http_conn.conn.closed:
                http_conn.send(call)
                return
        if not self.available():
            call.fail('waiting to reconnect', False)
            return
        self._queue.append(call)
        self._open()

    def _open(self):
        if self._closed or not self._queue:
            return
        limit = 1 if self._failures else self._max_conns
        if len(self._conns) + self._opening >= self._max_conns:
            return
        if self._opening >= min(limit, len(self._queue)):
            return
        self._opening += 1
        self.connects += 1
        self._loop.connect(
            self._host,
            self._port,
            self._on_open,
            self._on_error,
            self._connect_timeout_s,
            self._keepalive,
        )

    def _on_open(self, conn):
        self._opening -= 1
        self._failures = 0
        if self._closed:
            conn.abort()
            return
        http_conn = _HttpConn(self, conn)
        self._conns.add(http_conn)
        self.on_idle(http_conn)
        self._open()

    def _on_error(self, exc):
        self._opening -= 1
        self._failures += 1
        ceiling = min(
            self._backoff_max_s,
            BACKOFF_FIRST_S * 2 ** min(self._failures - 1, 10),
        )
        # The first half is fixed, so that attempts keep a minimum interval.
        delay = ceiling * (0.5 + 0.5 * self._rng.random())
        self._retry_at = self._loop.now() + delay
        calls, self._queue = self._queue, collections.deque()
        for call in calls:
            call.fail('connect: %s' % exc, False)

    def on_idle(self, http_conn):
        """Send the next queued request on a connection, or keep it idle."""
        while self._queue:
            call = self._queue.popleft()
            if call.done is not None:
                http_conn.send(call)
                return
        if http_conn.proven:
            self._idle.append(http_conn)
        else:
            # Used last.
            self._idle.insert(0, http_conn)

    def on_closed(self, http_conn):
        """Remove a closed connection; open one for queued requests."""
        self._conns.discard(http_conn)
        if http_conn in self._idle:
            self._idle.remove(http_conn)
        self._open()


class _Call:
    """A request with its timeout."""

    def __init__(self, loop, method, target, body, timeout, done):
        self.method = method
        self.target = target
        self.body = body
        self.done = done
        self.http_conn = None
        self._loop = loop
        self._timeout = timeout
        self._give_up_at = loop.now() + PROGRESS_FACTOR * timeout
        self._received = 0
        self._timer = loop.call_later(timeout, self._expire)

    def _expire(self):
        http_conn = self.http_conn
        received = http_conn.received if http_conn is not None else 0
        left_s = self._give_up_at - self._loop.now()
        if received > self._received and left_s > 0:
            self._received = received
            self._timer = self._loop.call_later(
                min(self._timeout, left_s), self._expire
            )
            return
        self.fail('timed out', http_conn is not None)
        if http_conn is not None:
            http_conn.conn.abort()

    def fail(self, message, sent, soon=False):
        self.finish(None, RequestFailed(message, sent=sent), soon)

    def finish(self, response, exc, soon=False):
        done, self.done = self.done, None
        if done is None:
            return
        self._timer.cancel()
        if soon:
            self._loop.call_soon(done, response, exc)
        else:
            done(response, exc)


class _HttpConn:
    """A connection that carries one request at a time."""

    def __init__(self, client, conn):
        self.conn = conn
        self.proven = False
        self._client = client
        self._http = h11.Connection(h11.CLIENT)
        self._call = None
        self._head = None
        self._body = bytearray()
        self._interim_responses = 0
        conn.on_data = self._on_data
        conn.on_close = self._on_close

    @property
    def received(self):
        """Size of the body that was received so far, bytes."""
        return len(self._body)

    def send(self, call):
        """Send a request on this idle connection."""
        self._call = call
        call.http_conn = self
        self._body.clear()
        self._interim_responses = 0
        headers = [
            ('Host', '%s:%d' % self.conn.peer),
            ('Content-Length', str(len(call.body))),
        ]
        if call.body:
            headers.append(('Content-Type', 'application/json'))
        request = h11.Request(
            method=call.method, target=call.target, headers=headers
        )
        out = self._http.send(request)
        if call.body:
            out += self._http.send(h11.Data(data=call.body))
        self.conn.write(out + self._http.send(h11.EndOfMessage()))

    def _on_close(self, exc):
        call, self._call = self._call, None
        self._client.on_closed(self)
        if call is not None:
            call.fail('connection lost: %s' % exc, True)

    def _on_data(self, data):
        if self._call is None:
            self.conn.abort()
            return
        try:
            self._http.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError:
            self.conn.abort()

    def _process_events(self):
        while not self.conn.closed:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.InformationalResponse):
                self._interim_responses += 1
                if self._interim_responses > INTERIM_RESPONSES_MAX:
                    self.conn.abort()
            elif isinstance(event, h11.Response):
                self._head = event
                self._check_size(_stated_length(event))
            elif isinstance(event, h11.Data):
                self._body.extend(event.data)
                self._check_size(len(self._body))
            elif isinstance(event, h11.EndOfMessage):
                self._on_response()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self.conn.abort()

    def _check_size(self, size):
        if size <= self._client.max_body:
            return
        call, self._call = self._call, None
        self.conn.abort()
        message = 'response of %d bytes or more' % size
        call.finish(None, ResponseTooLarge(message, sent=True))

    def _on_response(self):
        call, self._call = self._call, None
        head = self._head
        headers = {
            name.decode(): value.decode('latin-1')
            for name, value in head.headers
        }
        response = Response(head.status_code, headers, bytes(self._body))
        if self._http.our_state is h11.DONE:
            self.proven = True
            self._http.start_next_cycle()
            self._client.on_idle(self)
        else:
            self.conn.abort()
        call.finish(response, None)


def _stated_length(head):
    # Of the body, in bytes; 0 if it is not stated. h11 has checked its form.
    return int(dict(head.headers).get(b'content-length', 0))
