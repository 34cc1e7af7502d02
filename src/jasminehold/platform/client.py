"""Client of the platform's key-value service (section 3.1 of the design).

Every call takes ``done(result, exc)``, which is called exactly once and never
before the call returns. Reads are tried again with back-off and jitter,
preferably at another address. A write is sent at most once:
``PlatformUnavailable`` means that it certainly had no effect and
``OutcomeUnknown`` that it may have had one.

Example:
    >>> client.get('duty/planner/sul', print)  # doctest: +SKIP
"""

import base64
import json
import random
import typing
import urllib.parse

from jasminehold import errors
from jasminehold import metrics as metrics_module
from jasminehold.platform import http

VALUE_CAP_BYTES = 1_000_000
READ_ATTEMPTS = 3
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 2.0


class Item(typing.NamedTuple):
    """A key's value and version."""

    key: str
    value: bytes
    version: int


class Page(typing.NamedTuple):
    """One page of a list; ``more`` tells that further keys follow."""

    items: list
    revision: int
    more: bool


class Event(typing.NamedTuple):
    """One change of a watched key."""

    key: str
    value: bytes
    version: int
    deleted: bool


class Changes(typing.NamedTuple):
    """Answer to a watch; the next watch starts at ``revision``."""

    events: list
    revision: int


class PlatformClient:
    """Calls to the platform.

    Args:
        loop: the event loop.
        addrs: list of ``(host, port)``, all of the same service.
        timeout: seconds until a call, with its repeats, is given up.
        rng: random source of the jitter.
        metrics: counters; ``platform_calls_total`` has the labels ``call``
            and ``result``, ``platform_retries_total`` the label ``call``.
    """

    def __init__(self, loop, addrs, timeout=2.0, rng=None, metrics=None):
        self.metrics = metrics or metrics_module.Metrics()
        self._loop = loop
        self._timeout = timeout
        self._rng = rng or random.Random()
        self._pools = [
            http.Client(loop, host, port, self._rng) for host, port in addrs
        ]
        self._turn = self._rng.randrange(len(addrs))

    def close(self):
        """Close all connections."""
        for pool in self._pools:
            pool.close()

    def get(self, key, done):
        """Read a key: :class:`Item`, or ``KeyNotFound``."""

        def parse(response):
            version = int(response.headers['version'])
            return Item(key, response.body, version)

        self._read('get', '/v1/kv/' + _quote(key), parse, done)

    def put(self, key, value, if_version, done, lease=None):
        """Store a value by compare-and-swap: the new version.

        Args:
            key: the key.
            value: bytes, at most one megabyte.
            if_version: version expected, 0 when the key must be absent.
            done: callback.
            lease: id of the lease that the key ends with.
        """
        query = {'if_version': if_version}
        if lease:
            query['lease'] = lease
        target = '/v1/kv/%s?%s' % (_quote(key), _query(query))
        if len(value) > VALUE_CAP_BYTES:
            exc = errors.PlatformUnavailable('the value is too large')
            self._loop.call_soon(done, None, exc)
            return
        self._write('put', 'PUT', target, value, _version, done)

    def delete(self, key, if_version, done):
        """Delete a key by compare-and-swap: the revision of the deletion."""
        target = '/v1/kv/%s?if_version=%d' % (_quote(key), if_version)
        self._write('delete', 'DELETE', target, b'', _version, done)

    def list(self, prefix, after, done):
        """Read one page of keys beyond ``after``: a :class:`Page`."""
        target = '/v1/kv?' + _query({'prefix': prefix, 'after': after or ''})

        def parse(response):
            doc = json.loads(response.body)
            items = [
                Item(i['key'], base64.b64decode(i['value']), i['version'])
                for i in doc['items']
            ]
            return Page(items, doc['revision'], doc['more'])

        self._read('list', target, parse, done)

    def watch(self, prefix, from_revision, wait, done):
        """Wait for changes after a revision: :class:`Changes`.

        Args:
            prefix: prefix of the keys.
            from_revision: the last revision already known.
            wait: seconds until an answer without events.
            done: callback; ``Compacted`` when the revision is not kept.
        """
        target = '/v1/watch?' + _query(
            {'prefix': prefix, 'from': from_revision, 'wait': wait}
        )

        def parse(response):
            doc = json.loads(response.body)
            events = [
                Event(
                    e['key'],
                    base64.b64decode(e['value']),
                    e['version'],
                    e['deleted'],
                )
                for e in doc['events']
            ]
            return Changes(events, doc['revision'])

        self._read('watch', target, parse, done, wait)

    def grant(self, ttl, done):
        """Create a lease of ``ttl`` seconds: its id."""
        self._write(
            'grant',
            'POST',
            '/v1/leases?ttl=%s' % ttl,
            b'',
            lambda response: json.loads(response.body)['lease'],
            done,
        )

    def renew(self, lease, done):
        """Extend a lease: its time to live in seconds, or ``KeyNotFound``."""
        self._write(
            'renew',
            'POST',
            '/v1/leases/%s/renew' % _quote(lease),
            b'',
            lambda response: json.loads(response.body)['ttl'],
            done,
        )

    def revoke(self, lease, done):
        """End a lease and remove its keys."""
        target = '/v1/leases/' + _quote(lease)
        self._write('revoke', 'DELETE', target, b'', lambda _: None, done)

    def instances(self, done):
        """Read the lagging list of instances: a list of dictionaries."""
        self._read(
            'instances',
            '/v1/instances',
            lambda response: json.loads(response.body),
            done,
        )

    def _pool(self):
        # Addresses that wait to reconnect are skipped while another is usable.
        count = len(self._pools)
        for step in range(count):
            pool = self._pools[(self._turn + step) % count]
            if pool.available():
                self._turn = (self._turn + step) % count
                return pool
        return self._pools[self._turn]

    def _finish(self, call, result, exc, done):
        outcome = type(exc).__name__ if exc is not None else 'ok'
        self.metrics.inc('platform_calls_total', call=call, result=outcome)
        done(result, exc)

    def _write(self, call, method, target, body, parse, done):
        def on_answer(response, exc):
            if exc is not None:
                kind = errors.PlatformUnavailable
                if exc.sent:
                    kind = errors.OutcomeUnknown
                self._finish(call, None, kind(str(exc)), done)
                return
            result, exc = _interpret(response, parse, errors.OutcomeUnknown)
            self._finish(call, result, exc, done)

        self._pool().request(method, target, body, self._timeout, on_answer)

    def _read(self, call, target, parse, done, extra=0.0):
        deadline = self._loop.now() + self._timeout + extra
        # One silent address must leave time for another.
        share = self._timeout / min(len(self._pools), 2) + extra
        attempts = 0

        def attempt():
            nonlocal attempts
            attempts += 1
            left = deadline - self._loop.now()
            limit = max(min(share, left), 0.001)
            self._pool().request('GET', target, b'', limit, on_answer)

        def on_answer(response, exc):
            if exc is None:
                result, exc = _interpret(
                    response, parse, errors.PlatformUnavailable
                )
                if not isinstance(exc, errors.PlatformUnavailable):
                    self._finish(call, result, exc, done)
                    return
            self._turn = (self._turn + 1) % len(self._pools)
            ceiling = min(RETRY_MAX_S, RETRY_FIRST_S * 2**attempts)
            delay = ceiling * self._rng.random()
            if (
                attempts >= READ_ATTEMPTS
                or self._loop.now() + delay >= deadline
            ):
                exc = errors.PlatformUnavailable(str(exc))
                self._finish(call, None, exc, done)
                return
            self.metrics.inc('platform_retries_total', call=call)
            self._loop.call_later(delay, attempt)

        attempt()


def _interpret(response, parse, doubt):
    # Returns (result, exc); ``doubt`` is the class for an unusable answer.
    status = response.status
    try:
        if status == 200:
            return parse(response), None
        if status == 409:
            version = json.loads(response.body)['version']
            return None, errors.VersionMismatch(version=version)
    except (KeyError, TypeError, ValueError) as exc:
        return None, doubt('unusable answer: %r' % exc)
    if status == 404:
        return None, errors.KeyNotFound()
    if status == 410:
        return None, errors.Compacted()
    if 400 <= status < 500:
        return None, errors.PlatformUnavailable('refused: %d' % status)
    return None, doubt('status %d' % status)


def _version(response):
    return json.loads(response.body)['version']


def _quote(text):
    return urllib.parse.quote(text, safe='/')


def _query(fields):
    return urllib.parse.urlencode(fields)
