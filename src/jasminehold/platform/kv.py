"""Client of the HTTP API of the platform's key-value store."""

import base64
import json
import typing
import urllib.parse

from jasminehold import errors
from jasminehold import loop as loop_module
from jasminehold.platform import http
from jasminehold.platform import wire

# Timeout of a call, not counting the wait time of a watch.
CALL_TIMEOUT_S = 1.5
MAX_CONNS = 4
# The connection of a waiting watch is silent, so only keepalive probes detect
# that it is broken: the probe at 1 s gets no answer, and at 2 s the silence is
# longer than the user timeout. A change must take effect within 2.5 s.
KEEPALIVE = loop_module.KeepAlive(
    idle_s=1, interval_s=1, probes=1, user_timeout_ms=1500
)
# Short, as each instance makes one attempt at a time and the store handles
# thousands of calls per second.
BACKOFF_MAX_S = 0.15
# Regions are at most 35 ms apart. A packet lost in a network outage must not
# delay the next attempt.
CONNECT_TIMEOUT_S = 0.4
MALFORMED = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    RecursionError,
)


class Range(typing.NamedTuple):
    """Items and their store revision.

    Changes are in order of time, other items in order of keys. Revisions of
    different eras of the store cannot be compared.
    """

    items: list
    revision: int
    more: bool = False
    era: int = 0


def connect(loop, host, port, rng, metrics):
    """Return a :class:`Store` with the connection settings of an instance."""
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
    """Calls to the store; each takes a callback ``done(result, exc)``.

    Calls are not retried. A write that fails with ``PlatformUnavailable`` had
    no effect; one that fails with ``OutcomeUnknown`` may have had an effect or
    may still have one.

    Args:
        pool: :class:`~jasminehold.platform.http.Client` of the address.
        metrics: counters; ``store_calls_total`` has the labels ``call`` and
            ``result``.
        timeout_s: timeout of a call, without the wait of a watch.

    Attributes:
        pool: the :class:`~jasminehold.platform.http.Client`.
        era: highest era of the store that is known. A response of an older
            one is an error.
        on_era: called with the era when it has risen.
    """

    def __init__(self, pool, metrics, timeout_s=CALL_TIMEOUT_S):
        self.pool = pool
        self.era = 0
        self.on_era = lambda era: None
        self._metrics = metrics
        self._timeout_s = timeout_s

    def note_era(self, era):
        """Record an era that another instance heard of."""
        if era > self.era:
            self.era = era
            self.on_era(era)

    def get(self, key, done, timeout_s=None):
        """Read a :class:`store_replica.Item`, or ``KeyNotFound``."""

        def parse(doc):
            return wire.decode_items([doc])[0]

        self._read('kv-key', {'Key': key}, parse, done, timeout_s)

    def page(self, prefix, after, done, stale=False, timeout_s=None):
        """Read a page of the items under a prefix as :class:`Range`.

        Args:
            prefix: prefix of the keys.
            after: key after which the page begins, '' for the first one.
            done: callback.
            stale: whether items that are seconds old are acceptable.
            timeout_s: timeout of the call.
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
                self.era,
            )

        self._read('kv-range', query, parse, done, timeout_s)

    def range(self, prefix, done, stale=False):
        """Read all items under a prefix as :class:`Range`.

        The pages are not a consistent snapshot. The result has the revision
        of the first page, so that later changes complete it. If a new era
        begins between two pages, the items are read from the start.
        """
        items = []
        first = None

        def on_page(result, exc):
            nonlocal first
            if exc is not None:
                done(None, exc)
                return
            if first is not None and result.era != first.era:
                first = None
                items.clear()
                self.page(prefix, '', on_page, stale)
                return
            first = first or result
            items.extend(result.items)
            if result.more and result.items:
                self.page(prefix, result.items[-1].key, on_page, stale)
            else:
                done(Range(items, first.revision, era=first.era), None)

        self.page(prefix, '', on_page, stale)

    def watch(self, prefix, after, wait_s, done, timeout_s=None):
        """Wait for changes after a revision; the result is a :class:`Range`.

        An event of a deleted key has the value None.

        Args:
            prefix: prefix of the keys.
            after: the last revision already known.
            wait_s: seconds after which the store responds without events.
            done: callback; ``Compacted`` if the revision is no longer kept,
                or the changes since then are too large.
            timeout_s: timeout of the call, including the wait.
        """
        query = {
            'Prefix': prefix,
            'after': after,
            'WaitMs': int(wait_s * 1000),
        }

        def parse(doc):
            events = wire.decode_items(doc['events'])
            return Range(events, int(doc['StoreRevision']), era=self.era)

        limit = timeout_s or wait_s + self._timeout_s
        self._read('kv-watch', query, parse, done, limit)

    def grant(self, ttl, done):
        """Create a lease of ``ttl`` seconds; the result is its id."""
        body = {'TtlMs': int(ttl * 1000)}
        self._write('POST', 'kv-lease', body, lambda doc: doc['Lease'], done)

    def renew(self, lease, done):
        """Renew a lease; the result is its TTL, or ``KeyNotFound``."""

        def parse(doc):
            return doc['TtlMs'] / 1000

        self._write('POST', 'kv-keep/%d' % lease, {}, parse, done)

    def revoke(self, lease, done):
        """Revoke a lease, which removes its keys."""
        target = 'kv-lease-end/%d' % lease
        self._write('DELETE', target, None, _ignore_body, done)

    def put(self, key, value, if_version, done, lease=None):
        """Write a key; the result is its new revision.

        Args:
            key: the key.
            value: bytes.
            if_version: expected revision, 0 if the key must be absent,
                None for no check.
            done: callback; ``VersionMismatch`` carries the current revision.
            lease: id of the lease that the key is attached to.
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
        is_watch = label == 'kv-watch'
        # After a lost or unusable response it is unknown whether a write took
        # effect.
        unusable_error = errors.OutcomeUnknown
        if is_read:
            unusable_error = errors.PlatformUnavailable

        def on_answer(response, exc):
            result = None
            if exc is None and self._is_outdated(response):
                exc = unusable_error('response of a former era of the store')
            elif exc is None:
                result, exc = _parse_response(response, parse, unusable_error)
            elif is_watch and isinstance(exc, http.ResponseTooLarge):
                # The same changes would come again; a list has pages.
                exc = errors.Compacted(str(exc))
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

    def _is_outdated(self, response):
        era = wire.decode_era(response.headers)
        if era is None:
            return False
        self.note_era(era)
        return era < self.era


def _ignore_body(doc):
    return None


def _parse_response(response, parse, unusable_error):
    # Returns (result, exc); ``unusable_error`` is the exception class for a
    # response that cannot be parsed.
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
        return None, unusable_error('malformed response: %r' % exc)
    # The store guarantees that a rejected call had no effect.
    return None, errors.PlatformUnavailable('status %d' % status)
