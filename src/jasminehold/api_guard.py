"""Checks requests before ``circuits.web`` handles them.

``circuits.web`` buffers headers and bodies without limit, accepts requests
with both Content-Length and Transfer-Encoding, and parses headers in its own
way. The guard handles every ``read`` event first: it parses with ``h11``
within limits, checks the method, the target and the token before it reads the
body, and forwards the complete request in canonical form to ``circuits.web``.
Each connection carries one request, which prevents request smuggling.
"""

import hashlib
import hmac
import http
import json
import math
import re
import typing

import circuits
from circuits.net import events as net_events
import h11

from jasminehold import errors

METHODS = ('GET', 'PUT', 'DELETE')
# Served without a token: health probes and metrics scrapers have none.
PUBLIC_PATHS = ('/metrics', '/healthz', '/readyz')
# Time for which the rest of a refused request is read and discarded. Closing
# with unread data would reset the connection, and the client could lose the
# answer.
LINGER_S = 1.0

_TARGET = re.compile(
    r'(?P<path>/[A-Za-z0-9/_.~-]{0,300})'
    r'(\?(?P<query>[A-Za-z0-9_.~%&=+:,*-]{0,1000}))?'
)
_BEARER = re.compile(r'[Bb]earer +([!-~]{1,512})')


class _Connection:
    """One connection of an operator."""

    def __init__(self, sock, limit):
        self.sock = sock
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limit
        )
        self.head = None
        self.body = []
        self.body_size = 0
        self.actor = None
        # Whether the request was forwarded or refused.
        self.is_settled = False
        self.timer = None


class Request(typing.NamedTuple):
    """A request in progress that the guard has checked.

    Attributes:
        actor: name of the operator, None on the open paths.
    """

    actor: typing.Optional[str]


class Guard(circuits.BaseComponent):
    """Checks operators' requests on the channel of ``circuits.web``.

    Args:
        cfg: the settings.
        loop: the event loop, for time-outs.
        metrics: counters; ``api_refused_total`` has the label ``kind``.
        abort: ``abort(sock)`` closes a connection and discards unsent data;
            the ``close`` event would wait until it is sent, without limit.
    """

    channel = 'web'

    def __init__(self, cfg, loop, metrics, abort):
        super().__init__(channel=self.channel)
        self._cfg = cfg
        self._loop = loop
        self._metrics = metrics
        self._abort = abort
        self._connections = {}

    def request_of(self, sock):
        """Return the :class:`Request` of a connection."""
        conn = self._connections.get(sock)
        return Request(None if conn is None else conn.actor)

    def close_idle(self):
        """Close the connections whose request is incomplete."""
        for conn in list(self._connections.values()):
            if not conn.is_settled:
                self.fire(net_events.close(conn.sock))

    @circuits.handler('connect', priority=100)
    def _on_connect(self, sock, *address):
        conn = _Connection(sock, self._cfg.max_header_bytes)
        self._connections[sock] = conn
        conn.timer = self._loop.call_later(
            self._cfg.api_read_timeout, self._expire, conn
        )
        if len(self._connections) > self._cfg.api_max_connections:
            self._refuse(
                conn,
                errors.RequestError(errors.Kind.OVERLOADED, retry_after=1),
            )

    @circuits.handler('disconnect', priority=100)
    def _on_disconnect(self, sock):
        conn = self._connections.pop(sock, None)
        if conn is not None:
            conn.timer.cancel()

    @circuits.handler('response', priority=100)
    def _on_response(self, res):
        conn = self._connections.get(res.request.sock)
        if conn is not None:
            conn.timer.cancel()
            conn.timer = self._loop.call_later(
                self._cfg.idle_timeout, self._expire, conn
            )

    @circuits.handler('write', priority=100)
    def _on_write(self, event, sock, data):
        # The client may have disconnected; the poller fails on closed sockets.
        if sock.fileno() < 0:
            event.stop()

    @circuits.handler('read', priority=100)
    def _on_read(self, event, sock, data):
        conn = self._connections.get(sock)
        if getattr(event, 'checked', False):
            # circuits.web fails if the client has disconnected.
            if conn is None or not _is_connected(sock):
                event.stop()
            return
        event.stop()
        if conn is None or conn.is_settled:
            return
        try:
            conn.parser.receive_data(data)
            self._parse_request(conn)
        except h11.RemoteProtocolError as exc:
            kind = errors.Kind.BAD_REQUEST
            if exc.error_status_hint == 431:
                kind = errors.Kind.HEADERS_TOO_LARGE
            self._refuse(conn, errors.RequestError(kind, str(exc)))
        except errors.JasmineholdError as exc:
            self._refuse(conn, exc)

    def _parse_request(self, conn):
        while not conn.is_settled:
            item = conn.parser.next_event()
            if item is h11.NEED_DATA or item is h11.PAUSED:
                return
            if isinstance(item, h11.Request):
                self._check_head(conn, item)
            elif isinstance(item, h11.Data):
                conn.body_size += len(item.data)
                if conn.body_size > self._cfg.api_max_body_bytes:
                    raise errors.RequestError(errors.Kind.BODY_TOO_LARGE)
                conn.body.append(bytes(item.data))
            elif isinstance(item, h11.EndOfMessage):
                self._forward(conn)
            else:
                return

    def _check_head(self, conn, head):
        conn.head = head
        size = len(head.target) + sum(
            len(name) + len(value) + 4 for name, value in head.headers
        )
        # h11 enforces its limit only while the headers are incomplete.
        if size > self._cfg.max_header_bytes:
            raise errors.RequestError(errors.Kind.HEADERS_TOO_LARGE)
        headers = {}
        for name, value in head.headers:
            headers.setdefault(name, []).append(value.decode('latin-1'))
        if b'content-length' in headers and b'transfer-encoding' in headers:
            raise errors.RequestError(
                errors.Kind.BAD_REQUEST,
                'Content-Length and Transfer-Encoding are both present.',
            )
        match = _TARGET.fullmatch(head.target.decode('latin-1'))
        if match is None or re.search(r'//|/\.\.?(/|$)', match['path']):
            raise errors.RequestError(
                errors.Kind.BAD_REQUEST,
                'The path or the query has characters that are not allowed.',
            )
        if match['path'] not in PUBLIC_PATHS:
            conn.actor = self._authenticate(headers.get(b'authorization', []))
        if head.method.decode('latin-1') not in METHODS:
            raise errors.RequestError(errors.Kind.METHOD_NOT_ALLOWED)
        length = headers.get(b'content-length', ['0'])[0]
        if len(length) > 9 or int(length) > self._cfg.api_max_body_bytes:
            raise errors.RequestError(
                errors.Kind.BODY_TOO_LARGE,
                'The body is larger than %d bytes.'
                % self._cfg.api_max_body_bytes,
            )
        if conn.parser.they_are_waiting_for_100_continue:
            self.fire(
                net_events.write(conn.sock, b'HTTP/1.1 100 Continue\r\n\r\n')
            )

    def _authenticate(self, values):
        match = _BEARER.fullmatch(values[0]) if len(values) == 1 else None
        token = match[1] if match else ''
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        # Compares all digests, so that the time does not reveal a match.
        for name, expected in self._cfg.operators.items():
            if hmac.compare_digest(digest, expected) and token:
                found = name
        if found is None:
            raise errors.Unauthenticated()
        return found

    def _forward(self, conn):
        conn.is_settled = True
        conn.timer.cancel()
        body = b''.join(conn.body)
        conn.body = []
        lines = [
            b'%s %s HTTP/1.1' % (conn.head.method, conn.head.target),
            b'Host: api',
            b'Connection: close',
        ]
        if body:
            lines.append(b'Content-Length: %d' % len(body))
        event = net_events.read(
            conn.sock, b'\r\n'.join(lines) + b'\r\n\r\n' + body
        )
        event.checked = True
        self.fire(event)

    def _refuse(self, conn, exc):
        conn.is_settled = True
        conn.body = []
        self._metrics.inc('api_refused_total', kind=exc.kind.value)
        with_body = conn.head is None or conn.head.method != b'HEAD'
        self.fire(
            net_events.write(conn.sock, answer_bytes(exc, body=with_body))
        )
        conn.timer.cancel()
        conn.timer = self._loop.call_later(LINGER_S, self._close, conn)

    def _expire(self, conn):
        # The client sent its request or read the answer too slowly.
        self._metrics.inc('api_refused_total', kind='timeout')
        self._close(conn)

    def _close(self, conn):
        if conn.sock in self._connections:
            self._abort(conn.sock)


def _is_connected(sock):
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def error_document(exc):
    """Return the JSON answer to an error, as a dictionary."""
    document = {'kind': exc.kind.value, 'message': str(exc)}
    if exc.details is not None:
        document['details'] = exc.details
    return {'error': document}


def error_headers(exc):
    """Return the headers of the answer to an error, as a dictionary."""
    answer = errors.answer_for(exc.kind)
    headers = {
        'Content-Type': 'application/json',
        'Jasminehold-Error': exc.kind.value,
        'Jasminehold-Run': answer.run.value,
    }
    if answer.retry_after:
        headers['Retry-After'] = str(math.ceil(exc.retry_after or 1))
    if exc.kind is errors.Kind.UNAUTHENTICATED:
        headers['WWW-Authenticate'] = 'Bearer'
    return headers


def answer_bytes(exc, body=True):
    """Return the whole HTTP answer to an error."""
    content = json.dumps(error_document(exc)).encode()
    status = http.HTTPStatus(errors.answer_for(exc.kind).status)
    lines = ['HTTP/1.1 %d %s' % (status, status.phrase)]
    lines += ['%s: %s' % pair for pair in error_headers(exc).items()]
    lines += ['Content-Length: %d' % len(content), 'Connection: close']
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + (content if body else b'')
