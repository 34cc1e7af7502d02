"""Client of the platform's key-value store, in its published protocol."""

import base64
import json
import typing
import urllib.parse

from jasminehold import errors
from jasminehold import loop as loop_module
from jasminehold.platform import http
from jasminehold.platform import wire

# Time for an answer beyond the wait that the call itself asks for.
CALL_TIMEOUT_S = 1.5
# The store allows waits of at most 30 s.
WATCH_WAIT_S = 25.0
# A watch is repeated at once, so that a silent connection is noticed by this
# time-out only.
WATCH_MARGIN_S = 1.5
MAX_CONNS = 4
# A watch waits on a connection that carries nothing, so only probes show that
# it has gone silent. A change has to be in force within 2.5 s.
KEEPALIVE = loop_module.KeepAlive(
    idle_s=1, interval_s=1, probes=1, unacked_ms=1500
)
# Each instance makes one attempt at a time; the store takes thousands of
# calls a second.
BACKOFF_MAX_S = 0.15
# Regions are at most 35 ms apart. A packet lost in a cut must not delay the
# next attempt.
CONNECT_TIMEOUT_S = 0.4
MALFORMED = (LookupError, TypeError, ValueError, AttributeError)


class Range(typing.NamedTuple):
    """All items under a prefix and the store's revision."""

    items: list
    revision: int


class Store:
    """Calls to the store; each takes ``done(result, exc)``.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        host: IP address.
        port: port.
        rng: random source for back-off.
        metrics: counters.
    """

    def __init__(self, loop, host, port, rng, metrics):
        self._metrics = metrics
        self._http = http.Client(
            loop,
            host,
            port,
            rng,
            MAX_CONNS,
            keepalive=KEEPALIVE,
            backoff_max_s=BACKOFF_MAX_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )

    def range(self, prefix, done):
        """Read all items under a prefix: :class:`Range`.

        Pages are no snapshot; the result has the first one's revision, so
        that changes read from there on complete it.
        """
        items = []
        first = None

        def page(after):
            query = {'Prefix': prefix}
            if after:
                query['after'] = after
            self._call('GET', 'kv-range', query, None, parse, on_page)

        def parse(doc):
            return (
                wire.decode_items(doc['items']),
                bool(doc.get('HasMore')),
                int(doc['StoreRevision']),
            )

        def on_page(result, exc):
            if exc is not None:
                done(None, exc)
                return
            nonlocal first
            rows, more, revision = result
            first = revision if first is None else first
            items.extend(rows)
            if more and rows:
                page(rows[-1].key)
            else:
                done(Range(items, first), None)

        page('')

    def watch(self, prefix, after, wait_s, done):
        """Wait for changes after a revision: :class:`Range` of events."""
        query = {
            'Prefix': prefix,
            'after': after,
            'WaitMs': int(wait_s * 1000),
        }

        def parse(doc):
            events = wire.decode_items(doc['events'])
            return Range(events, int(doc['StoreRevision']))

        self._call(
            'GET',
            'kv-watch',
            query,
            None,
            parse,
            done,
            wait_s + WATCH_MARGIN_S,
        )

    def grant(self, ttl_s, done):
        """Create a lease: its id."""
        body = {'TtlMs': int(ttl_s * 1000)}
        self._call(
            'POST', 'kv-lease', None, body, lambda doc: doc['Lease'], done
        )

    def keep(self, lease, done):
        """Renew a lease; ``KeyNotFound`` when it has ended."""
        self._call('POST', 'kv-keep/%d' % lease, None, {}, _nothing, done)

    def end(self, lease, done):
        """End a lease and remove its keys."""
        target = 'kv-lease-end/%d' % lease
        self._call('DELETE', target, None, None, _nothing, done)

    def put(self, key, value, lease, done):
        """Write a key without a condition."""
        row = {
            'Key': key,
            'Value': base64.b64encode(value).decode(),
            'Lease': lease,
        }
        body = {'ExpectRev': [], 'Puts': [row], 'Deletes': []}
        self._call('POST', 'kv-txn', None, body, _nothing, done)

    def _call(
        self, method, name, query, doc, parse, done, timeout=CALL_TIMEOUT_S
    ):
        target = '/api/' + name
        if query:
            target += '?' + urllib.parse.urlencode(query)
        body = b'' if doc is None else json.dumps(doc).encode()
        label = name.partition('/')[0]

        def on_answer(response, exc):
            result = None
            if exc is not None:
                kind = errors.PlatformUnavailable
                if not exc.sent:
                    kind = errors.NotConnected
                elif method != 'GET':
                    kind = errors.OutcomeUnknown
                exc = kind(str(exc))
            else:
                result, exc = _interpret(response, parse)
            outcome = 'ok' if exc is None else type(exc).__name__
            self._metrics.inc('store_calls_total', call=label, result=outcome)
            done(result, exc)

        self._http.request(method, target, body, timeout, on_answer)


def _nothing(doc):
    return None


def _interpret(response, parse):
    status = response.status
    if status == 404:
        return None, errors.KeyNotFound()
    if status == 410:
        return None, errors.Compacted()
    if status == 412:
        return None, errors.VersionMismatch()
    if status != 200:
        return None, errors.PlatformUnavailable('status %d' % status)
    try:
        return parse(json.loads(response.body or b'{}')), None
    except MALFORMED as exc:
        return None, errors.PlatformUnavailable('unusable answer: %r' % exc)
