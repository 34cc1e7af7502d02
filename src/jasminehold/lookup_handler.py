"""Handles callers' lookups of the instances to use for a service."""

import json
import urllib.parse

from jasminehold import errors

PATH = b'/v1/lookup'
MAX_QUERIES = 1000
MAX_BODY_BYTES = 256 * 1024

Kind = errors.Kind


def is_lookup(target):
    """Return whether a request target is that of a lookup."""
    return target.partition(b'?')[0] == PATH


class LookupHandler:
    """Handles one lookup request.

    Args:
        caller: the :class:`~jasminehold.proxy.server.CallerConn`.
        answer: ``(service, block) -> dict`` that answers a query, or None if
            lookups are not served; raises
            :class:`~jasminehold.errors.RequestError`.
        head: the ``h11.Request``.
    """

    def __init__(self, caller, answer, head):
        self._caller = caller
        self._answer = answer
        self._head = head
        self._body = b''

    def on_body(self, data):
        """Buffer a part of the body."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._caller.fail(Kind.BODY_TOO_LARGE, close=True)

    def on_body_end(self):
        """Send the answers to all queries of the request."""
        try:
            queries = self._parse_queries()
            answers = [self._answer(*query) for query in queries]
        except errors.RequestError as exc:
            self._caller.fail(exc.kind, exc.retry_after)
            return
        self._caller.send_json({'answers': answers})

    def on_bad_input(self, kind):
        """Send an error and close the connection after malformed input."""
        self._caller.fail(kind, close=True)

    def on_caller_disconnect(self):
        """Do nothing; a lookup holds no resources."""

    def on_caller_drain(self):
        """Do nothing; the answer is written in one piece."""

    def _parse_queries(self):
        if self._answer is None:
            raise errors.RequestError(Kind.NOT_FOUND)
        if self._head.method == b'GET':
            query = self._head.target.partition(b'?')[2].decode('latin-1')
            try:
                pairs = urllib.parse.parse_qsl(query, max_num_fields=8)
            except ValueError:
                raise errors.RequestError(Kind.BAD_REQUEST) from None
            fields = dict(pairs)
            return [_parse_query(fields)]
        if self._head.method != b'POST':
            raise errors.RequestError(Kind.METHOD_NOT_ALLOWED)
        try:
            queries = json.loads(self._body)['queries']
        except (ValueError, KeyError, TypeError, RecursionError):
            raise errors.RequestError(Kind.BAD_REQUEST) from None
        if not isinstance(queries, list) or len(queries) > MAX_QUERIES:
            raise errors.RequestError(Kind.BAD_REQUEST)
        return [_parse_query(item) for item in queries]


def _parse_query(item):
    if isinstance(item, dict):
        service, block = item.get('service'), item.get('block')
        if isinstance(service, str) and isinstance(block, str):
            return service, block
    raise errors.RequestError(Kind.BAD_REQUEST)
