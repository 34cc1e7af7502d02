"""Answers to callers' look-ups: which instances to use for a service."""

import json
import urllib.parse

from jasminehold import errors

PATH = b'/v1/lookup'
QUERIES_MAX = 1000
BODY_MAX_BYTES = 256 * 1024

Kind = errors.Kind


def is_lookup(target):
    """Return whether a request target is the look-up's."""
    return target.partition(b'?')[0] == PATH


class LookupHandler:
    """Handles one look-up request.

    Args:
        caller: the :class:`~jasminehold.proxy.server.CallerConn`.
        answer: ``(service, block) -> dict``; raises
            :class:`~jasminehold.errors.RequestError`.
        head: the ``h11.Request``.
    """

    def __init__(self, caller, answer, head):
        self._caller = caller
        self._answer = answer
        self._head = head
        self._body = b''

    def on_body(self, data):
        """Collect the body."""
        self._body += data
        if len(self._body) > BODY_MAX_BYTES:
            self._caller.fail(Kind.BODY_TOO_LARGE, close=True)

    def on_body_end(self):
        """Answer."""
        try:
            queries = self._queries()
            answers = [self._answer(*query) for query in queries]
        except errors.RequestError as exc:
            self._caller.fail(exc.kind, exc.retry_after)
            return
        self._caller.send_json({'answers': answers})

    def on_bad_input(self, kind):
        """Refuse malformed input."""
        self._caller.fail(kind, close=True)

    def on_caller_disconnect(self):
        """Nothing is held."""

    def on_caller_drain(self):
        """Nothing waits for the caller."""

    def _queries(self):
        if self._answer is None:
            raise errors.RequestError(Kind.NOT_FOUND)
        if self._head.method == b'GET':
            query = self._head.target.partition(b'?')[2].decode('latin-1')
            try:
                pairs = urllib.parse.parse_qsl(query, max_num_fields=8)
            except ValueError:
                raise errors.RequestError(Kind.BAD_REQUEST) from None
            fields = dict(pairs)
            return [_query(fields)]
        if self._head.method != b'POST':
            raise errors.RequestError(Kind.METHOD_NOT_ALLOWED)
        try:
            queries = json.loads(self._body)['queries']
        except (ValueError, KeyError, TypeError, RecursionError):
            raise errors.RequestError(Kind.BAD_REQUEST) from None
        if not isinstance(queries, list) or len(queries) > QUERIES_MAX:
            raise errors.RequestError(Kind.BAD_REQUEST)
        return [_query(item) for item in queries]


def _query(item):
    if isinstance(item, dict):
        service, block = item.get('service'), item.get('block')
        if isinstance(service, str) and isinstance(block, str):
            return service, block
    raise errors.RequestError(Kind.BAD_REQUEST)
