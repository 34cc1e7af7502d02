"""Blocking client of the operators' API, for the command line.

Example:
    >>> client = Client([('127.0.0.1', 7100)], 'token')
    >>> client.call('GET', '/v1/resources/region')  # doctest: +SKIP
"""

import http.client
import json
import urllib.parse

from jasminehold import errors

# To find out whether a write took effect, the server makes up to four more
# platform calls of 2 s each with 3.5 s of waits; see store.RETRY_DELAYS_S.
TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 5.0

# Errors of a server that cannot serve now; another one may be able to.
_TRY_NEXT_SERVER = (
    errors.Kind.UNAVAILABLE,
    errors.Kind.OVERLOADED,
    errors.Kind.LEAVING,
    errors.Kind.NOT_RUN,
)


class Client:
    """Makes calls to the first server that can serve them.

    Args:
        servers: list of ``(host, port)``, tried in turn.
        token: the operator's token, or None.
        timeout: seconds for one answer.
    """

    def __init__(self, servers, token=None, timeout=TIMEOUT_S):
        self._servers = list(servers)
        self._token = token
        self._timeout = timeout

    def call(self, method, path, query=None, body=None, extra=0.0):
        """Make one call and return the parsed answer.

        A write is sent to the next server only if it certainly had no effect
        on the previous one.

        Args:
            method: HTTP method.
            path: path.
            query: dictionary of query fields; those that are None are left
                out.
            body: JSON-compatible document or None.
            extra: seconds added to the time-out, for long polls.

        Raises:
            RequestError: of the kind that the server returned; ``UNAVAILABLE``
                when no server could be reached; ``OUTCOME_UNKNOWN`` when a
                write was sent and no answer came.
        """
        fields = {k: v for k, v in (query or {}).items() if v is not None}
        if fields:
            path += '?' + urllib.parse.urlencode(fields)
        last_exc = None
        for server in self._servers:
            try:
                return self._call_server(server, method, path, body, extra)
            except errors.RequestError as exc:
                if exc.kind not in _TRY_NEXT_SERVER:
                    raise
                last_exc = exc
        raise last_exc

    def _call_server(self, server, method, path, body, extra):
        server_address = '%s:%d' % server
        conn = http.client.HTTPConnection(*server, timeout=CONNECT_TIMEOUT_S)
        try:
            try:
                conn.connect()
            except OSError as exc:
                raise errors.RequestError(
                    errors.Kind.UNAVAILABLE,
                    '%s cannot be reached: %s' % (server_address, exc),
                ) from exc
            conn.sock.settimeout(self._timeout + extra)
            try:
                status, data = self._exchange(conn, method, path, body)
            except (OSError, http.client.HTTPException) as exc:
                raise self._no_answer_error(
                    method, server_address, exc
                ) from exc
        finally:
            conn.close()
        return self._parse_answer(method, server_address, status, data)

    def _exchange(self, conn, method, path, body):
        headers = {}
        if self._token:
            headers['Authorization'] = 'Bearer ' + self._token
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data, headers)
        answer = conn.getresponse()
        return answer.status, answer.read()

    @staticmethod
    def _no_answer_error(method, server_address, exc):
        if method == 'GET':
            return errors.RequestError(
                errors.Kind.UNAVAILABLE,
                'no usable answer from %s: %s' % (server_address, exc),
            )
        return errors.RequestError(
            errors.Kind.OUTCOME_UNKNOWN,
            'no usable answer from %s: %s; the change may have been made, '
            'read the resource before repeating it' % (server_address, exc),
        )

    def _parse_answer(self, method, server_address, status, data):
        try:
            document = json.loads(data)
            if status < 300:
                return document
            error = document['error']
            kind = errors.Kind(error['kind'])
            message = str(error['message'])
        except (ValueError, KeyError, TypeError, RecursionError) as exc:
            raise self._no_answer_error(
                method,
                server_address,
                'malformed answer with status %d' % status,
            ) from exc
        if kind is errors.Kind.INTERNAL and method != 'GET':
            kind = errors.Kind.OUTCOME_UNKNOWN
        raise errors.RequestError(kind, message, details=error.get('details'))
