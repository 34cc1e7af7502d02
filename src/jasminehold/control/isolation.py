"""Exchange of permits for crash suspects; see ``decisions.permits``."""

from jasminehold.decisions import permits as permit_rules
from jasminehold import logs

REQUEST_TIMEOUT_S = 0.5
# A permit that no suspect has used after this time is returned. Where requests
# take less time than this, a slot becomes free in the meantime.
UNUSED_PERMIT_TTL_S = 0.3

_log = logs.get('isolation')


class Isolation:
    """Requests and grants permits for one instance.

    Args:
        loop: the event loop.
        mesh: the :class:`mesh.Mesh`.
        own_id: id of this instance.
        peers: function that returns the ids of the other live instances.
        rng: random source.
        metrics: counters.
    """

    def __init__(self, loop, mesh, own_id, peers, rng, metrics):
        self._loop = loop
        self._mesh = mesh
        self._own_id = own_id
        self._peers = peers
        self._rng = rng
        self._metrics = metrics
        self._permits = permit_rules.Permits()
        # Permits that this instance has, by upstream: as ``(expiry timer,
        # arbiter)`` while unused, as the arbiter while a suspect uses them.
        self._unused_permits = {}
        self._used_permits = {}
        self._request_pending = False
        mesh.handle('permit_ask', self._on_permit_ask)
        mesh.handle('permit_end', self._on_permit_end)

    def has_permit(self, upstream):
        """Return whether an unused permit for an upstream is held."""
        return upstream in self._unused_permits

    def request_permit(self, upstreams, seconds):
        """Request a permit for one of several upstreams.

        Args:
            upstreams: names; one is chosen at random.
            seconds: maximum run time of the suspect.
        """
        if self._request_pending or not upstreams:
            return
        if any(name in self._unused_permits for name in upstreams):
            return
        for name in list(self._unused_permits):
            self._discard_unused(name)
        upstream = self._rng.choice(upstreams)
        members = [self._own_id, *self._peers()]
        arbiter = permit_rules.arbiter(upstream, members)
        ttl_s = seconds + UNUSED_PERMIT_TTL_S
        self._metrics.inc('permit_asks_total')
        if arbiter == self._own_id:
            now = self._loop.now()
            if self._permits.grant(upstream, self._own_id, ttl_s, now):
                self._hold_permit(upstream, arbiter)
            return
        self._request_pending = True

        def done(reply, exc):
            self._request_pending = False
            if exc is not None:
                # Proceed without a permit: a suspect that waited for an
                # arbiter that is gone would reach no upstream at all.
                _log(
                    'no permit',
                    level='warning',
                    upstream=upstream,
                    arbiter=arbiter,
                    error=exc,
                )
                self._hold_permit(upstream, None)
            elif reply['granted']:
                self._hold_permit(upstream, arbiter)

        message = {
            'type': 'permit_ask',
            'upstream': upstream,
            'seconds': ttl_s,
        }
        self._mesh.ask(arbiter, message, REQUEST_TIMEOUT_S, done)

    def use_permit(self, upstream):
        """Mark the permit for an upstream as used by a suspect."""
        timer, arbiter = self._unused_permits.pop(upstream)
        timer.cancel()
        self._used_permits[upstream] = arbiter

    def return_permit(self, upstream):
        """Return the permit of a suspect that ended to the arbiter."""
        self._release(upstream, self._used_permits.pop(upstream))

    def _hold_permit(self, upstream, arbiter):
        timer = self._loop.call_later(
            UNUSED_PERMIT_TTL_S, self._discard_unused, upstream
        )
        self._unused_permits[upstream] = (timer, arbiter)

    def _discard_unused(self, upstream):
        timer, arbiter = self._unused_permits.pop(upstream)
        timer.cancel()
        self._release(upstream, arbiter)

    def _release(self, upstream, arbiter):
        if arbiter == self._own_id:
            self._permits.end(upstream, self._own_id)
        elif arbiter is not None:
            message = {'type': 'permit_end', 'upstream': upstream}
            self._mesh.send(arbiter, message)

    def _on_permit_ask(self, sender, message, reply):
        granted = self._permits.grant(
            message['upstream'],
            sender,
            float(message['seconds']),
            self._loop.now(),
        )
        reply({'type': 'permit', 'granted': granted})

    def _on_permit_end(self, sender, message, reply):
        self._permits.end(message['upstream'], sender)
