"""Registration of this instance in the store, under a lease."""

import json

from jasminehold import errors

# The directory must not return a killed instance later than 6 s after its
# end, so its entry has to expire before that.
LEASE_S = 4.0
RENEW_EVERY_S = 1.5
RETRY_S = 0.5
# The instances write their entries again within this time after the store
# went back, not all at once.
ERA_SPREAD_S = 0.8


class Registration:
    """Registers the instance, renews its lease and deregisters it.

    A store that goes back to an older copy gives lease ids out again, so a
    lease is used in the era in which it was granted only.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        store: the :class:`~jasminehold.platform.kv.Store`.
        key: key of the entry.
        doc: content of the entry, a dictionary.
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
        self._era = 0
        self._granting = False
        self._start_timer = None
        self._written = False
        self._leaving = False

    def start(self):
        """Register the instance."""
        self._start_timer = None
        if not self._leaving and not self._granting:
            self._granting = True
            self._store.grant(LEASE_S, self._on_lease)

    def on_members(self, items):
        """Register again if the entry was removed while the lease is valid."""
        if self._written and self._key not in items:
            self._written = False
            self._log('own entry is missing; registering again')
            self._put(self._lease)

    def on_era(self, era):
        """Register again after the store went back to an older copy."""
        if self._lease is not None and self._era != era:
            self._log('lease of a former era; registering again', era=era)
            self._start_again(ERA_SPREAD_S * self._rng.random())

    def leave(self):
        """Remove the entry."""
        self._leaving = True
        self._written = False
        if self._lease is not None:
            self._lease = None
            self._delete()

    def _delete(self):
        # Revoking the lease could end the lease of another owner, if the
        # store went back.
        self._store.delete(self._key, None, self._on_deleted)

    def _on_deleted(self, result, exc):
        if exc is not None:
            self._log('withdrawal failed', level='warning', error=exc)

    def _start_again(self, delay_s):
        self._lease = None
        self._written = False
        if self._start_timer is None:
            self._start_timer = self._loop.call_later(delay_s, self.start)

    def _register_again(self, exc):
        self._log('registration failed', level='warning', error=exc)
        self._start_again(RETRY_S * (0.5 + 0.5 * self._rng.random()))

    def _on_lease(self, lease, exc):
        self._granting = False
        if exc is not None:
            self._register_again(exc)
        elif not self._leaving:
            self._lease = lease
            self._era = self._store.era
            self._put(lease)
            self._loop.call_later(RENEW_EVERY_S, self._renew, lease)

    def _put(self, lease):
        if lease != self._lease or lease is None:
            return

        def done(result, exc):
            if self._leaving and not isinstance(exc, errors.KeyNotFound):
                # It may have been written after the entry was removed.
                self._delete()
            elif lease != self._lease:
                return
            elif exc is None:
                self._written = True
            elif isinstance(exc, errors.KeyNotFound):
                self._register_again(exc)
            else:
                self._loop.call_later(RETRY_S, self._put, lease)

        self._store.put(self._key, self._value, None, done, lease)

    def _renew(self, lease):
        if lease != self._lease:
            return
        if self._store.pool.proven:
            self._send_renewal(lease)
            return

        # The store may have gone back while there was no connection to it;
        # the response to a cheap read tells.
        def done(result, exc):
            if exc is not None:
                self._loop.call_later(RETRY_S, self._renew, lease)
            elif lease == self._lease:
                self._send_renewal(lease)

        self._store.page(self._key, '', done, stale=True)

    def _send_renewal(self, lease):
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
