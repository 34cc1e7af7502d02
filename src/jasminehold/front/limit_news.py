"""Tells other instances of the limits that upstreams state.

Message on the streams between instances: ``upstream_limits``, rows of an
upstream's id, start time, limit (None: it ended) and the age of the statement.
A request of this type is answered with what the receiver knows of the same
upstreams.
"""

from jasminehold.decisions import upstream_view

# A limit that nobody confirmed for this long is asked for at a sender, as the
# news of its end may have been lost.
CONFIRM_AFTER_S = 5.0
ASK_TIMEOUT_S = 1.0


class LimitNews:
    """Passes limits from responses to the steering and to other instances.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        mesh: the :class:`~jasminehold.peers.mesh.Mesh`.
        steering: the :class:`~jasminehold.front.steering.Steering`.
        metrics: counters.
        log: structured log.
    """

    def __init__(self, loop, mesh, steering, metrics, log):
        self._loop = loop
        self._mesh = mesh
        self._steering = steering
        self._limits = steering.limits
        self._metrics = metrics
        self._log = log
        mesh.handle('upstream_limits', self._on_news)
        loop.call_later(CONFIRM_AFTER_S, self._confirm)

    def on_response(self, entry, per_s, complete):
        """Apply what a response says about its upstream's limit.

        Args:
            entry: the upstream's :class:`~decisions.upstream_view.Entry`.
            per_s: the limit in requests a second, None if none was stated.
            complete: whether a response without a limit means that there is
                none; a rejection may leave it out.
        """
        if per_s is None and not complete:
            return
        key = entry.incarnation
        if per_s is None and self._limits.statement(key) is None:
            return
        changed = self._limits.state(key, per_s, self._loop.now())
        if changed:
            self._on_change(key, per_s)
        if changed or self._limits.must_tell(key):
            self._limits.mark_told(key)
            message = self._message([key])
            for name in self._steering.instances:
                self._mesh.send(name, message)

    def on_link_up(self, name):
        """Tell an instance that may have just started what is known."""
        keys = [key for key, _ in self._limits.items()]
        if keys:
            self._mesh.send(name, self._message(keys))

    def _message(self, keys):
        now = self._loop.now()
        rows = []
        for key in keys:
            known = self._limits.statement(key)
            if known is not None:
                age_s = max(now - known.at, 0.0)
                rows.append([key.id, key.born_ms, known.per_s, age_s])
        return {'type': 'upstream_limits', 'limits': rows}

    def _on_news(self, sender, message, reply):
        reply(self._message(self._merge(message)))

    def _merge(self, message):
        now = self._loop.now()
        keys = []
        for name, born_ms, per_s, age_s in message['limits']:
            key = upstream_view.Incarnation(str(name), int(born_ms))
            per_s = None if per_s is None else float(per_s)
            if self._limits.merge(key, per_s, now - max(float(age_s), 0.0)):
                self._on_change(key, per_s)
            keys.append(key)
        return keys

    def _on_change(self, key, per_s):
        self._metrics.inc('upstream_limit_changes_total')
        self._log('upstream limit changed', upstream=key.id, per_s=per_s)

    def _confirm(self):
        self._loop.call_later(CONFIRM_AFTER_S, self._confirm)
        now = self._loop.now()
        by_sender = {}
        for key in self._limits.limited():
            if now - self._limits.statement(key).at >= CONFIRM_AFTER_S:
                sender = self._steering.limit_sender(key)
                by_sender.setdefault(sender, []).append(key)
        for sender, keys in by_sender.items():
            if sender is not None:
                self._mesh.ask(
                    sender, self._message(keys), ASK_TIMEOUT_S, self._on_reply
                )

    def _on_reply(self, answer, exc):
        # Without a reply the limit stays as it is known.
        if exc is None:
            self._merge(answer)
