"""Tells other instances which upstreams said that they leave.

Message on the streams between instances: ``upstreams_leaving``, rows of an
upstream's id, start time and the age of its statement in seconds.
"""

from jasminehold.decisions import upstream_view


class Departures:
    """Passes departures from responses to the steering and to the peers.

    The peers are the instances that this one has links to: those of its
    region, whose callers use the same upstreams. Others learn it from a
    response, or from the upstream's entry.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        mesh: the :class:`~jasminehold.peers.mesh.Mesh`.
        steering: the :class:`~jasminehold.front.steering.Steering`.
        metrics: counters.
    """

    def __init__(self, loop, mesh, steering, metrics):
        self._loop = loop
        self._mesh = mesh
        self._steering = steering
        self._metrics = metrics
        mesh.handle('upstreams_leaving', self._on_news)

    def on_response(self, upstream, leaving):
        """Apply what a response says about its upstream's departure.

        Args:
            upstream: the :class:`~decisions.upstream_view.Upstream`.
            leaving: whether the response says that it leaves.
        """
        if not leaving:
            return
        was_draining = upstream.draining
        incarnation = upstream.entry.incarnation
        now = self._loop.now()
        if not self._steering.on_leaving(incarnation, now):
            return
        self._metrics.inc('upstreams_leaving_total')
        # Peers know a departure that stands in the store.
        if not was_draining:
            self._mesh.broadcast(self._message({incarnation: now}))

    def on_link_up(self, name):
        """Tell an instance that may have just started what is known."""
        found = self._steering.view.leaving()
        if found:
            self._mesh.send(name, self._message(found))

    def _message(self, found):
        now = self._loop.now()
        rows = [
            [incarnation.id, incarnation.born_ms, max(now - said_at, 0.0)]
            for incarnation, said_at in found.items()
        ]
        return {'type': 'upstreams_leaving', 'leaving': rows}

    def _on_news(self, sender, message, reply):
        now = self._loop.now()
        for name, born_ms, age_s in message['leaving']:
            self._steering.on_leaving(
                upstream_view.Incarnation(str(name), int(born_ms)),
                now - max(float(age_s), 0.0),
            )
