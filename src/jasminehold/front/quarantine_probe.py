"""Sends quarantined requests that succeeded before, one at a time.

Ordinary requests that were in flight at the crashes of others are quarantined
with these, and as nothing sends them any more, no success would clear them. An
instance at which one succeeded before asks the request's first arbiter whether
it may send it once; a success ends the quarantine everywhere.

Message on the streams between instances: ``quarantine_probe``, the digest; the
answer holds whether it may be sent.
"""

import functools

from jasminehold.decisions import quarantine_probes
from jasminehold import errors

ANSWER_TIMEOUT_S = 0.3
# Interval at which an instance asks for one request.
ASK_EVERY_S = 1.0
MAX_ASKED = 2000


class QuarantineProbe:
    """Asks for permits to send quarantined requests, and grants them.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        mesh: the :class:`~jasminehold.peers.mesh.Mesh`.
        own_id: id of this instance.
        metrics: counters.
        log: structured log.

    Attributes:
        grants: the :class:`ProbeGrants` of this instance as an arbiter.
    """

    def __init__(self, loop, mesh, own_id, metrics, log):
        self.grants = quarantine_probes.ProbeGrants()
        self._loop = loop
        self._mesh = mesh
        self._own_id = own_id
        self._metrics = metrics
        self._log = log
        self._asked_at = {}
        mesh.handle('quarantine_probe', self._on_probe)

    def ask(self, digests, arbiter_of, done):
        """Ask whether a request may be sent once.

        Args:
            digests: those under which it is quarantined, one or more.
            arbiter_of: ``digest -> id`` of the instance that grants.
            done: called with whether it may be sent, not before this returns.

        Returns:
            Whether ``done`` will be called; else it was asked just now.
        """
        now = self._loop.now()
        if any(
            now - self._asked_at.get(digest, -ASK_EVERY_S) < ASK_EVERY_S
            for digest in digests
        ):
            return False
        for digest in digests:
            self._asked_at[digest] = now
        while len(self._asked_at) > MAX_ASKED:
            del self._asked_at[next(iter(self._asked_at))]
        self._ask_next(list(digests), arbiter_of, done)
        return True

    def _ask_next(self, digests, arbiter_of, done):
        if not digests:
            self._loop.call_soon(done, True)
            return
        digest = digests.pop()
        arbiter = arbiter_of(digest)
        on_answer = functools.partial(
            self._on_answer, digests, arbiter_of, done
        )
        if arbiter == self._own_id:
            answer = {'granted': self._grant(digest)}
            self._loop.call_soon(on_answer, answer, None)
            return
        message = {'type': 'quarantine_probe', 'digest': digest}
        self._mesh.ask(arbiter, message, ANSWER_TIMEOUT_S, on_answer)

    def _on_answer(self, digests, arbiter_of, done, answer, exc):
        granted = False
        if exc is None:
            try:
                granted = bool(answer['granted'])
            except errors.MALFORMED_MESSAGE_ERRORS as fault:
                self._log('bad answer from peer', error=fault)
        if granted:
            self._ask_next(digests, arbiter_of, done)
        else:
            done(False)

    # Granting.

    def _on_probe(self, sender, message, reply):
        reply({'granted': self._grant(bytes(message['digest']))})

    def _grant(self, digest):
        granted = self.grants.grant(digest, self._loop.now())
        if granted:
            self._metrics.inc('quarantine_probes_total')
            self._log('quarantined request sent once', content=digest.hex())
        return granted
