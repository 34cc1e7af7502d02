"""Client of the platform's store, with several addresses and read retries.

Every call takes a callback ``done(result, exc)``, which is called exactly once
and never before the call returns. Reads are retried with backoff and jitter,
preferably at another address. A write is sent at most once:
``PlatformUnavailable`` means that it had no effect, ``OutcomeUnknown`` that it
may have had one.

Example:
    >>> client.get('duty/planner/sul', print)  # doctest: +SKIP
"""

import random
import typing

from jasminehold import documents
from jasminehold import errors
from jasminehold import logs
from jasminehold import metrics as metrics_module
from jasminehold.platform import http
from jasminehold.platform import kv
from jasminehold.platform import wire

VALUE_MAX_BYTES = 1_000_000
READ_ATTEMPTS = 3
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 2.0

_log = logs.get('platform')


class Item(typing.NamedTuple):
    """A key with its value and version."""

    key: str
    value: bytes
    version: int


class Page(typing.NamedTuple):
    """One page of a listing; ``more`` is set when further keys follow."""

    items: list
    revision: int
    more: bool


class Event(typing.NamedTuple):
    """A change of a watched key."""

    key: str
    value: bytes
    version: int
    deleted: bool


class Changes(typing.NamedTuple):
    """Result of a watch; the next watch starts at ``revision``."""

    events: list
    revision: int


class PlatformClient:
    """Client of the platform's key-value store.

    Args:
        loop: the event loop.
        addrs: list of ``(host, port)``, all serving the same store.
        timeout: seconds for a call, including its retries.
        rng: random source for jitter.
        metrics: counters; ``platform_calls_total`` has the labels ``call``
            and ``result``, ``platform_retries_total`` the label ``call``.
    """

    def __init__(self, loop, addrs, timeout=2.0, rng=None, metrics=None):
        self.metrics = metrics or metrics_module.Metrics()
        self._loop = loop
        self._timeout = timeout
        self._rng = rng or random.Random()
        self._stores = [
            kv.Store(
                http.Client(loop, host, port, self._rng), self.metrics, timeout
            )
            for host, port in addrs
        ]
        self._current = self._rng.randrange(len(addrs))

    @property
    def era(self):
        """Highest era of the store that is known."""
        return max(store.era for store in self._stores)

    def close(self):
        """Close all connections."""
        for store in self._stores:
            store.pool.close()

    def get(self, key, done):
        """Read a key; the result is an :class:`Item`, or ``KeyNotFound``."""

        def send(store, timeout_s, on_answer):
            store.get(key, on_answer, timeout_s)

        self._read('get', send, _item, done)

    def put(self, key, value, if_version, done, lease=None):
        """Write a value by compare-and-swap; the result is the new version.

        Args:
            key: the key.
            value: bytes, at most one megabyte.
            if_version: expected version, 0 if the key must be absent,
                None for no check.
            done: callback.
            lease: id of the lease that the key is attached to.
        """
        if len(value) > VALUE_MAX_BYTES:
            exc = errors.PlatformUnavailable('the value is too large')
            self._loop.call_soon(done, None, exc)
            return
        self._store().put(
            key, value, if_version, self._counted('put', done), lease
        )

    def delete(self, key, if_version, done):
        """Delete a key by compare-and-swap; the result is the revision."""
        self._store().delete(key, if_version, self._counted('delete', done))

    def list(self, prefix, after, done):
        """Read the keys after ``after``; the result is a :class:`Page`."""

        def send(store, timeout_s, on_answer):
            store.page(prefix, after or '', on_answer, timeout_s=timeout_s)

        def convert(found):
            items = [_item(item) for item in found.items]
            return Page(items, found.revision, found.more)

        self._read('list', send, convert, done)

    def watch(self, prefix, from_revision, wait, done):
        """Wait for changes after a revision; the result is :class:`Changes`.

        Args:
            prefix: prefix of the keys.
            from_revision: the last revision already known.
            wait: seconds after which the store responds without events.
            done: callback; ``Compacted`` if the revision is no longer kept.
        """

        def send(store, timeout_s, on_answer):
            store.watch(prefix, from_revision, wait, on_answer, timeout_s)

        def convert(found):
            events = [
                Event(
                    item.key,
                    item.value or b'',
                    item.revision,
                    item.value is None,
                )
                for item in found.items
            ]
            return Changes(events, found.revision)

        self._read('watch', send, convert, done, wait)

    def grant(self, ttl, done):
        """Create a lease of ``ttl`` seconds; the result is its id."""
        self._store().grant(ttl, self._counted('grant', done))

    def renew(self, lease, done):
        """Renew a lease; the result is its TTL, or ``KeyNotFound``."""
        self._store().renew(lease, self._counted('renew', done))

    def revoke(self, lease, done):
        """Revoke a lease, which removes its keys."""
        self._store().revoke(lease, self._counted('revoke', done))

    def instances(self, done):
        """Read the list of instances; the result is a list of dictionaries.

        The list may be out of date. Entries that name no instance are
        skipped.
        """

        def on_answer(found, exc):
            if exc is not None:
                self._finish('instances', None, exc, done)
                return
            docs = [_instance(item) for item in found.items]
            docs = [doc for doc in docs if doc is not None]
            self._finish('instances', docs, None, done)

        self._store().range(wire.INSTANCE_PREFIX, on_answer, stale=True)

    def _store(self):
        # Skips addresses in reconnect backoff while another one is usable.
        count = len(self._stores)
        for step in range(count):
            store = self._stores[(self._current + step) % count]
            if store.pool.available():
                self._current = (self._current + step) % count
                return store
        return self._stores[self._current]

    def _counted(self, call, done):
        return lambda result, exc: self._finish(call, result, exc, done)

    def _finish(self, call, result, exc, done):
        if isinstance(exc, errors.NotConnected):
            exc = errors.PlatformUnavailable(str(exc))
        outcome = type(exc).__name__ if exc is not None else 'ok'
        self.metrics.inc('platform_calls_total', call=call, result=outcome)
        done(result, exc)

    def _read(self, call, send, convert, done, extra=0.0):
        deadline = self._loop.now() + self._timeout + extra
        # An unresponsive address must leave time to try another one.
        share = self._timeout / min(len(self._stores), 2) + extra
        attempts = 0

        def attempt():
            nonlocal attempts
            attempts += 1
            left = deadline - self._loop.now()
            send(self._store(), max(min(share, left), 0.001), on_answer)

        def on_answer(result, exc):
            if not isinstance(exc, errors.PlatformUnavailable):
                result = None if exc is not None else convert(result)
                self._finish(call, result, exc, done)
                return
            self._current = (self._current + 1) % len(self._stores)
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


def _item(found):
    return Item(found.key, found.value, found.revision)


def _instance(item):
    # Returns the document of an instance, or None.
    try:
        doc = documents.decode(item.value)
        documents.check(doc, {'id': str})
        return doc
    except errors.UnreadableDocument as exc:
        _log('entry skipped', level='warning', key=item.key, error=exc)
        return None
