"""Fake caller: a blocking HTTP client that reports truncated responses."""

import math
import select
import socket
import time
import typing

import h11


class Reply(typing.NamedTuple):
    """An HTTP response; ``complete`` is false if it was truncated."""

    status: int
    headers: dict
    body: bytes
    complete: bool

    @property
    def kind(self):
        """Error kind, empty for a response of the upstream."""
        return self.headers.get('jasminehold-error', '')

    @property
    def run(self):
        """Whether the request was executed, from ``Jasminehold-Run``."""
        return self.headers.get('jasminehold-run', '')


READ_BYTES = 65536
SEGMENT_BYTES = 1400
NO_REPLY = Reply(0, {}, b'', False)


class Client:
    """An HTTP client with one blocking connection.

    Args:
        port: port on 127.0.0.1.
        timeout: timeout of each socket call, in seconds.
        source: source IP address.
        window: size of the receive buffer in bytes, 0 for the system's.

    Attributes:
        received_continue: whether a 100 Continue response arrived.
    """

    def __init__(self, port, timeout=8.0, source='127.0.0.1', window=0):
        self.sock = socket.socket()
        self.sock.settimeout(timeout)
        if window:
            # Segments as of a real network: on loopback the kernel would take
            # a large response at once.
            self.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
            )
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        try:
            self.sock.bind((source, 0))
            self.sock.connect(('127.0.0.1', port))
        except OSError:
            self.sock.close()
            raise
        self.http = h11.Connection(h11.CLIENT)
        self.received_continue = False

    @property
    def usable(self):
        """Whether the connection can be used for another request."""
        if self.http.our_state is not h11.IDLE:
            return False
        # An idle connection is readable only if the server has closed it.
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return not poll.poll(0)

    def send(self, method, path, headers=(), body=b''):
        """Send a request.

        Args:
            method: HTTP method.
            path: request target.
            headers: dict of headers; ``Host`` has a default.
            body: bytes; a ``POST`` always gets a ``Content-Length``.
        """
        fields = [] if 'Host' in dict(headers) else [('Host', 'loja.example')]
        fields += [(name, str(value)) for name, value in dict(headers).items()]
        if body or method == 'POST':
            fields.append(('Content-Length', str(len(body))))
        self.sock.sendall(b''.join(self.parts(method, path, fields, body)))

    def parts(self, method, path, headers, body):
        """Return the bytes of a request: its head, and parts of its body.

        Args:
            method: HTTP method.
            path: request target.
            headers: dict or pairs of headers, complete.
            body: bytes.
        """
        fields = [(name, str(value)) for name, value in dict(headers).items()]
        head = h11.Request(method=method, target=path, headers=fields)
        found = [self.http.send(head)]
        half = len(body) // 2
        for part in filter(None, (body[:half], body[half:])):
            found.append(self.http.send(h11.Data(data=part)))
        return found + [self.http.send(h11.EndOfMessage())]

    def read(self, bytes_per_s=math.inf):
        """Read the next response and return it as a :class:`Reply`.

        Args:
            bytes_per_s: rate at which it is read.
        """
        reply = NO_REPLY
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    data = self.sock.recv(READ_BYTES)
                    self.http.receive_data(data)
                    if bytes_per_s < math.inf:
                        time.sleep(len(data) / bytes_per_s)
                elif isinstance(event, h11.InformationalResponse):
                    self.received_continue = True
                elif isinstance(event, h11.Response):
                    headers = {
                        name.decode(): value.decode()
                        for name, value in event.headers
                    }
                    reply = Reply(event.status_code, headers, [], False)
                elif isinstance(event, h11.Data):
                    reply.body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    reply = reply._replace(complete=True)
                    break
                else:
                    break
        except (h11.RemoteProtocolError, ConnectionError):
            # A truncated response is returned as not complete.
            self.close()
        if reply.complete and self.http.our_state is h11.DONE:
            if self.http.their_state is h11.DONE:
                self.http.start_next_cycle()
        return reply._replace(body=b''.join(reply.body or []))

    def read_pipelined(self, count):
        """Read the responses to requests that were sent at once.

        Args:
            count: number of the requests, all ``GET``.

        Returns:
            A list of :class:`Reply`; it ends with the one that closes the
            connection or is not complete.
        """
        replies, rest = [], b''
        for _ in range(count):
            self.http = h11.Connection(h11.CLIENT)
            head = h11.Request(
                method='GET', target='/', headers=[('Host', '-')]
            )
            self.http.send(head)
            self.http.send(h11.EndOfMessage())
            if rest:
                self.http.receive_data(rest)
            reply = self.read()
            replies.append(reply)
            closes = reply.headers.get('connection') == 'close'
            if not reply.complete or closes:
                break
            rest = bytes(self.http.trailing_data[0])
        return replies

    def request(self, method, path, headers=(), body=b''):
        """Send a request and return the :class:`Reply`."""
        self.send(method, path, headers, body)
        return self.read()

    def close(self):
        """Close the connection."""
        self.sock.close()
