"""HTTP/1.1 server connections of the fake external systems."""

import json

import h11

MAX_BODY_BYTES = 2_000_000
# Interval at which a slow link takes the next bytes of a response.
PACE_S = 0.05
_JSON = (b'content-type', b'application/json')


class ServerConn:
    """A server connection that passes on complete requests, one at a time.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        conn: the accepted :class:`~jasminehold.loop.Conn`; the owner sets
            ``on_close``.
        on_request: called with this object, the request head and the body.

    Attributes:
        conn: the :class:`~jasminehold.loop.Conn`.
        headers: list of ``(name, value)`` that all responses carry.
        bytes_per_s: rate at which responses are written, 0 for at once.
    """

    def __init__(self, loop, conn, on_request):
        self.conn = conn
        self.headers = []
        self.bytes_per_s = 0
        self._loop = loop
        self._on_request = on_request
        self._http = h11.Connection(h11.SERVER)
        self._head = None
        self._body = bytearray()
        conn.on_data = self._on_data

    def _on_data(self, data):
        self._http.receive_data(data)
        self._process_events()

    def _process_events(self):
        while not self.conn.closed:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self.conn.abort()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._head, self._body = event, bytearray()
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    self.conn.abort()
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._on_request(self, self._head, bytes(self._body))
            else:
                self.conn.close()
                return

    def send_response(self, status, headers, body):
        """Send a complete response and process the next request.

        Args:
            status: HTTP status.
            headers: list of ``(name, value)``, without ``Content-Length``.
            body: bytes.
        """
        if self.conn.closed:
            return
        length = (b'content-length', b'%d' % len(body))
        headers = [*headers, *self.headers, length]
        send = self._http.send
        data = send(h11.Response(status_code=status, headers=headers))
        data += send(h11.Data(data=body)) + send(h11.EndOfMessage())
        self._write(data)

    def _write(self, data):
        if self.conn.closed:
            return
        step = int(self.bytes_per_s * PACE_S) or len(data)
        self.conn.write(data[:step])
        if len(data) > step:
            self._loop.call_later(PACE_S, self._write, data[step:])
            return
        if self._http.our_state is h11.MUST_CLOSE:
            self.conn.close()
            return
        self._http.start_next_cycle()
        self._loop.call_soon(self._process_events)

    def send_json(self, status, doc):
        """Send a JSON response and process the next request."""
        self.send_response(status, [_JSON], json.dumps(doc).encode())
