"""Carries permits for suspects over the mesh; the rule is in ``permits``."""

from jasminehold.decisions import permits as permit_rules
from jasminehold import logs

ASK_TIMEOUT_S = 0.5
# A permit that no suspect used by then is given back; by then a slot is free
# wherever requests take less time.
UNUSED_S = 0.3

_log = logs.get('isolation')


class Isolation:
    """Both sides of permits at one instance.

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
        # Permits that this instance has: unused, and in use by a suspect.
        self._unused = {}
        self._used = {}
        self._asking = False
        mesh.handle('permit_ask', self._on_ask)
        mesh.handle('permit_end', self._on_end)

    def has_permit(self, upstream):
        """Return whether an unused permit for an upstream is here."""
        return upstream in self._unused

    def request_permit(self, upstreams, seconds):
        """Ask for a permit for one of some upstreams.

        Args:
            upstreams: names, any of which helps.
            seconds: longest run of the suspect.
        """
        if self._asking or not upstreams:
            return
        if any(name in self._unused for name in upstreams):
            return
        for name in list(self._unused):
            self._expire(name)
        upstream = self._rng.choice(upstreams)
        members = [self._own_id, *self._peers()]
        arbiter = permit_rules.arbiter(upstream, members)
        ttl_s = seconds + UNUSED_S
        self._metrics.inc('permit_asks_total')
        if arbiter == self._own_id:
            now = self._loop.now()
            if self._permits.grant(upstream, self._own_id, ttl_s, now):
                self._take(upstream, arbiter)
            return
        self._asking = True

        def done(reply, exc):
            self._asking = False
            if exc is not None:
                # Waiting for an arbiter that is gone would keep requests
                # from any upstream.
                _log(
                    'no permit',
                    level='warning',
                    upstream=upstream,
                    arbiter=arbiter,
                    error=exc,
                )
                self._take(upstream, None)
            elif reply['granted']:
                self._take(upstream, arbiter)

        message = {
            'type': 'permit_ask',
            'upstream': upstream,
            'seconds': ttl_s,
        }
        self._mesh.ask(arbiter, message, ASK_TIMEOUT_S, done)

    def use_permit(self, upstream):
        """Use the permit for an upstream."""
        timer, arbiter = self._unused.pop(upstream)
        timer.cancel()
        self._used[upstream] = arbiter

    def return_permit(self, upstream):
        """Give the permit back that a suspect used."""
        self._give_back(upstream, self._used.pop(upstream))

    def _take(self, upstream, arbiter):
        timer = self._loop.call_later(UNUSED_S, self._expire, upstream)
        self._unused[upstream] = (timer, arbiter)

    def _expire(self, upstream):
        timer, arbiter = self._unused.pop(upstream)
        timer.cancel()
        self._give_back(upstream, arbiter)

    def _give_back(self, upstream, arbiter):
        if arbiter == self._own_id:
            self._permits.end(upstream, self._own_id)
        elif arbiter is not None:
            message = {'type': 'permit_end', 'upstream': upstream}
            self._mesh.send(arbiter, message)

    def _on_ask(self, sender, message, reply):
        granted = self._permits.grant(
            message['upstream'],
            sender,
            float(message['seconds']),
            self._loop.now(),
        )
        reply({'type': 'permit', 'granted': granted})

    def _on_end(self, sender, message, reply):
        self._permits.end(message['upstream'], sender)
