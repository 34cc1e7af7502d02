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
    """Items, oldest or first key first, and the revision that they reach."""

    items: list
    revision: int
    more: bool = False


def connect(loop, host, port, rng, metrics):
    """Return the :class:`Store` of an instance that reads for its region."""
    pool = http.Client(
        loop,
        host,
        port,
        rng,
        MAX_CONNS,
        keepalive=KEEPALIVE,
        backoff_max_s=BACKOFF_MAX_S,
        connect_timeout_s=CONNECT_TIMEOUT_S,
    )
    return Store(pool, metrics)


class Store:
    """Calls to the store; each takes ``done(result, exc)``.

    Nothing is repeated. A write that fails with ``PlatformUnavailable`` had
    certainly no effect, one that fails with ``OutcomeUnknown`` may have or
    may get one.

    Args:
        pool: :class:`~jasminehold.platform.http.Client` of the address.
        metrics: counters; ``store_calls_total`` has the labels ``call`` and
            ``result``.
        timeout_s: seconds until a call is given up, without its wait.
    """

    def __init__(self, pool, metrics, timeout_s=CALL_TIMEOUT_S):
        self.pool = pool
        self._metrics = metrics
        self._timeout_s = timeout_s

    def get(self, key, done, timeout_s=None):
        """Read a key: :class:`store_replica.Item`, or ``KeyNotFound``."""

        def parse(doc):
            return wire.decode_items([doc])[0]

        self._read('kv-key', {'Key': key}, parse, done, timeout_s)

    def page(self, prefix, after, done, stale=False, timeout_s=None):
        """Read a page of the items under a prefix: :class:`Range`.

        Args:
            prefix: prefix of the keys.
            after: key after which the page begins, '' for the first one.
            done: callback.
            stale: whether items that are seconds old will do.
            timeout_s: seconds until the call is given up.
        """
        query = {'Prefix': prefix}
        if after:
            query['after'] = after
        if stale:
            query['StaleOk'] = 1

        def parse(doc):
            return Range(
                wire.decode_items(doc['items']),
                int(doc['StoreRevision']),
                bool(doc.get('HasMore')),
            )

        self._read('kv-range', query, parse, done, timeout_s)

    def range(self, prefix, done, stale=False):
        """Read all items under a prefix: :class:`Range`.

        Pages are no snapshot; the result has the first one's revision, so
        that changes read from there on complete it.
        """
        items = []
        first = None

        def on_page(result, exc):
            if exc is not None:
                done(None, exc)
                return
            nonlocal first
            first = result.revision if first is None else first
            items.extend(result.items)
            if result.more and result.items:
                self.page(prefix, result.items[-1].key, on_page, stale)
            else:
                done(Range(items, first), None)

        self.page(prefix, '', on_page, stale)

    def watch(self, prefix, after, wait_s, done, timeout_s=None):
        """Wait for changes after a revision: :class:`Range` of events.

        An event of a deleted key has the value None.

        Args:
            prefix: prefix of the keys.
            after: the last revision already known.
            wait_s: seconds until an answer without events.
            done: callback; ``Compacted`` when the revision is not kept.
            timeout_s: seconds until the call is given up, wait included.
        """
        query = {
            'Prefix': prefix,
            'after': after,
            'WaitMs': int(wait_s * 1000),
        }

        def parse(doc):
            events = wire.decode_items(doc['events'])
            return Range(events, int(doc['StoreRevision']))

        limit = timeout_s or wait_s + self._timeout_s
        self._read('kv-watch', query, parse, done, limit)

    def grant(self, ttl, done):
        """Create a lease of ``ttl`` seconds: its id."""
        body = {'TtlMs': int(ttl * 1000)}
        self._write('POST', 'kv-lease', body, lambda doc: doc['Lease'], done)

    def renew(self, lease, done):
        """Renew a lease: its seconds to live; ``KeyNotFound`` when ended."""

        def parse(doc):
            return doc['TtlMs'] / 1000

        self._write('POST', 'kv-keep/%d' % lease, {}, parse, done)

    def revoke(self, lease, done):
        """End a lease and remove its keys."""
        target = 'kv-lease-end/%d' % lease
        self._write('DELETE', target, None, _ignore_body, done)

    def put(self, key, value, if_version, done, lease=None):
        """Write a key: its new revision.

        Args:
            key: the key.
            value: bytes.
            if_version: revision that the key must have, 0 when it must be
                absent, None for any.
            done: callback; ``VersionMismatch`` tells the revision found.
            lease: id of the lease that the key ends with.
        """
        row = {
            'Key': key,
            'Value': base64.b64encode(value).decode(),
            'Lease': lease or 0,
        }
        self._txn(key, if_version, {'Puts': [row], 'Deletes': []}, done)

    def delete(self, key, if_version, done):
        """Delete a key; arguments as for :meth:`put`."""
        self._txn(key, if_version, {'Puts': [], 'Deletes': [key]}, done)

    def _txn(self, key, if_version, body, done):
        expected = []
        if if_version is not None:
            expected = [{'Key': key, 'Revision': if_version}]
        body = {'ExpectRev': expected, **body}
        self._write('POST', 'kv-txn', body, lambda doc: doc['Revision'], done)

    def _read(self, name, query, parse, done, timeout_s):
        target = name + '?' + urllib.parse.urlencode(query)
        self._call('GET', target, None, parse, done, timeout_s)

    def _write(self, method, target, doc, parse, done):
        self._call(method, target, doc, parse, done, None)

    def _call(self, method, target, doc, parse, done, timeout_s):
        body = b'' if doc is None else json.dumps(doc).encode()
        label = target.partition('?')[0].partition('/')[0]
        is_read = method == 'GET'
        # An answer that says nothing leaves open what a write did.
        unusable_error = errors.OutcomeUnknown
        if is_read:
            unusable_error = errors.PlatformUnavailable

        def on_answer(response, exc):
            result = None
            if exc is None:
                result, exc = _parse_response(response, parse, unusable_error)
            elif exc.sent:
                exc = unusable_error(str(exc))
            else:
                exc = errors.NotConnected(str(exc))
            outcome = 'ok' if exc is None else type(exc).__name__
            self._metrics.inc('store_calls_total', call=label, result=outcome)
            done(result, exc)

        self.pool.request(
            method,
            '/api/' + target,
            body,
            timeout_s or self._timeout_s,
            on_answer,
        )


def _ignore_body(doc):
    return None


def _parse_response(response, parse, unusable_error):
    # Returns (result, exc); ``unusable_error`` is the class for an unusable answer.
    status = response.status
    if status == 404:
        return None, errors.KeyNotFound()
    if status == 410:
        return None, errors.Compacted()
    try:
        if status == 412:
            rows = json.loads(response.body)['items']
            version = rows[0]['Revision'] if rows else 0
            return None, errors.VersionMismatch(version=version)
        if status == 200:
            return parse(json.loads(response.body or b'{}')), None
    except MALFORMED as exc:
        return None, unusable_error('unusable answer: %r' % exc)
    # The store promises that a call that it refuses had no effect.
    return None, errors.PlatformUnavailable('status %d' % status)
