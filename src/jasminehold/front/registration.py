"""Keeps this instance's own entry in the store under a lease."""

import json

from jasminehold import errors

# The entry of a killed instance has to be gone before the directory may no
# longer name it, 6 s after its end.
LEASE_S = 4.0
RENEW_EVERY_S = 1.5
RETRY_S = 0.5


class Registration:
    """Registers the instance, renews its lease and withdraws it.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        store: the :class:`~jasminehold.platform.kv.Store`.
        key: key of the entry.
        doc: what the entry says.
        rng: random source.
        log: structured log.
    """

    def __init__(self, loop, store, key, doc, rng, log):
        self._loop = loop
        self._store = store
        self._key = key
        self._value = json.dumps(doc).encode()
        self._rng = rng
        self._log = log
        self._lease = None
        self._written = False
        self._leaving = False

    def start(self):
        """Register."""
        if not self._leaving:
            self._store.grant(LEASE_S, self._on_lease)

    def on_members(self, items):
        """Register again when the entry was removed while the lease runs."""
        if self._written and self._key not in items:
            self._written = False
            self._log('own entry is missing; registering again')
            self._put()

    def leave(self):
        """Withdraw the entry."""
        self._leaving = True
        self._written = False
        lease, self._lease = self._lease, None
        if lease is not None:
            self._store.revoke(lease, self._on_revoked)

    def _on_revoked(self, result, exc):
        if exc is not None:
            self._log('withdrawal failed', level='warning', error=exc)

    def _register_again(self, exc):
        self._log('registration failed', level='warning', error=exc)
        self._lease = None
        self._written = False
        delay = RETRY_S * (0.5 + 0.5 * self._rng.random())
        self._loop.call_later(delay, self.start)

    def _on_lease(self, lease, exc):
        if exc is not None:
            self._register_again(exc)
        elif self._leaving:
            self._store.revoke(lease, self._on_revoked)
        else:
            self._lease = lease
            self._put()
            self._loop.call_later(RENEW_EVERY_S, self._renew, lease)

    def _put(self):
        self._store.put(
            self._key, self._value, None, self._on_put, self._lease
        )

    def _on_put(self, result, exc):
        if exc is None:
            self._written = self._lease is not None
        elif self._lease is not None:
            if isinstance(exc, errors.KeyNotFound):
                self._register_again(exc)
            else:
                self._loop.call_later(RETRY_S, self._put_again)

    def _put_again(self):
        if self._lease is not None:
            self._put()

    def _renew(self, lease):
        if lease == self._lease:
            self._store.renew(
                lease, lambda result, exc: self._on_renewed(lease, exc)
            )

    def _on_renewed(self, lease, exc):
        if lease != self._lease:
            return
        if isinstance(exc, errors.KeyNotFound):
            self._register_again(exc)
            return
        delay = RENEW_EVERY_S if exc is None else RETRY_S
        self._loop.call_later(delay, self._renew, lease)
