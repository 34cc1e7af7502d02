"""Hooks of the request path that claim idempotency keys.

An instance keeps the answers of the requests that it ran under a claim and
fetches those of other instances, so that a repeated request gets the answer of
the first one.
"""

import random

from jasminehold.decisions import claim_log
from jasminehold import errors
from jasminehold.proxy import hooks as hooks_module

Kind = errors.Kind
Status = claim_log.Status

CLAIM_TIMEOUT_S = 2.5
FETCH_TIMEOUT_S = 1.0
# Maximum number of released claims remembered. When the release of an older
# one was lost, its key gets "answer lost" for as long as claims are kept.
MAX_RELEASED_CLAIMS = 10000
RELEASE_RETRY_S = 0.5
RELEASE_RETRY_MAX_S = 30.0
# An instance that stays unknown for this long counts as gone. Before, it may
# have started so recently that its gossip has not arrived. Longer than a
# suspicion lasts.
UNKNOWN_INSTANCE_TIMEOUT_S = 15.0
MAX_UNKNOWN_INSTANCES = 1000


class ClaimHooks:
    """Claim hooks of the request path.

    Each claim has an id, ``<instance id>/<random number>``, which its release
    names. A release that arrives late or belongs to another copy of the
    request therefore cannot free another claim of the same instance. A request
    never runs under a claim for which a release was sent.

    Args:
        loop: the event loop.
        mesh: the :class:`mesh.Mesh`.
        instance_id: id of this instance.
        is_gone: ``is_gone(instance id)`` returns whether an instance is gone,
            or None when the instance is unknown.
        answer_keep: seconds for which answers are kept.
        rng: random source of the claim ids.

    Attributes:
        claims: the :class:`claims.Claims`; set after construction because
            it needs :meth:`send_claim`.
    """

    def __init__(
        self, loop, mesh, instance_id, is_gone, answer_keep, rng=None
    ):
        self.claims = None
        self._loop = loop
        self._mesh = mesh
        self._id = instance_id
        self._is_gone = is_gone
        self._rng = rng or random.SystemRandom()
        self._answers = hooks_module.AnswerStore(keep_s=answer_keep)
        self._unanswered = set()
        self._running = {}
        # Released claims by id, and whether a release is in progress.
        self._released = {}
        self._unknown_since = {}
        mesh.handle('claim', self._on_claim)
        mesh.handle('answer_fetch', self._on_answer_fetch)

    # Hooks of the request path.

    def claim(self, key, digest, done):
        """Claim a key and call ``done(hooks.Claim)``."""
        self._claim(key, digest, done, True)

    def release(self, key):
        """Release the claim of a request that certainly did not run."""
        claim_id = self._running.pop(key, None)
        if claim_id is not None:
            self._release_claim(key, claim_id)

    def keep(self, key, answer):
        """Keep the answer of a claimed request; None when it was lost."""
        self._running.pop(key, None)
        self._answers.keep(key, answer, self._loop.now())

    def find(self, key):
        """Return the kept answer, or None."""
        return self._answers.find(key, self._loop.now())

    # Called by :class:`claims.Claims`.

    def send_claim(self, owner, message, done):
        """Send a claim to the owner of its shard."""

        def on_reply(reply, exc):
            if exc is None:
                done(reply, None)
            elif exc.details and not exc.details.get('sent', True):
                done(None, errors.PlatformUnavailable(str(exc)))
            else:
                done(None, errors.OutcomeUnknown(str(exc)))

        message = {'type': 'claim', **message}
        self._mesh.ask(owner, message, CLAIM_TIMEOUT_S, on_reply)

    # Internals.

    def _claim(self, key, digest, done, allow_retry):
        claim_id = '%s/%x' % (self._id, self._rng.getrandbits(64))
        self._unanswered.add(claim_id)

        def on_result(result, exc):
            self._unanswered.discard(claim_id)
            status = result.status
            if status is Status.GRANTED:
                self._running[key] = claim_id
                done(hooks_module.Claim(True))
            elif status is Status.KEY_REUSED:
                done(hooks_module.Claim(False, Kind.KEY_REUSED))
            elif status is not Status.TAKEN:
                if status is Status.UNKNOWN:
                    # The request was not sent to an upstream, but the claim
                    # may be stored.
                    self._release_claim(key, claim_id)
                done(hooks_module.Claim(False, Kind.UNAVAILABLE))
            elif result.instance.partition('/')[0] != self._id:
                self._fetch_answer(result.instance, key, done)
            else:
                self._resolve_own_claim(
                    key, digest, result.instance, done, allow_retry
                )

        self.claims.claim(key, digest, claim_id, on_result)

    def _state(self, key, claim_id):
        """Return the state of a claim of this instance."""
        if self.find(key) is not None:
            return 'kept'
        # The shard owner's reply to another copy of the request can arrive
        # before the reply that grants the claim.
        if key in self._running or claim_id in self._unanswered:
            return 'running'
        return 'not_run' if claim_id in self._released else 'lost'

    def _resolve_own_claim(self, key, digest, claim_id, done, allow_retry):
        state = self._state(key, claim_id)
        if state == 'kept':
            done(hooks_module.Claim(False, None, self.find(key)))
        elif state == 'running':
            done(hooks_module.Claim(False, Kind.IN_PROGRESS))
        elif state == 'lost':
            done(hooks_module.Claim(False, Kind.ANSWER_LOST))
        else:
            self._claim_after_release(key, digest, claim_id, done, allow_retry)

    def _claim_after_release(self, key, digest, claim_id, done, allow_retry):
        def on_released(result, exc):
            ended = result.status in (Status.RELEASED, Status.NOT_HELD)
            if ended and allow_retry:
                self._claim(key, digest, done, False)
            else:
                done(hooks_module.Claim(False, Kind.UNAVAILABLE))

        self.claims.release(key, claim_id, on_released)

    def _release_claim(self, key, claim_id):
        self._released[claim_id] = True
        while len(self._released) > MAX_RELEASED_CLAIMS:
            del self._released[next(iter(self._released))]
        self._send_release(key, claim_id, RELEASE_RETRY_S)

    def _send_release(self, key, claim_id, delay):
        def on_released(result, exc):
            # The id stays in ``_released``: an earlier reply that names the
            # claim, or after NOT_HELD the claim itself, may still be in
            # transit.
            if result.status not in (Status.RELEASED, Status.NOT_HELD):
                self._loop.call_later(delay, retry)
            elif claim_id in self._released:
                self._released[claim_id] = False

        def retry():
            if claim_id in self._released:
                next_delay = min(2 * delay, RELEASE_RETRY_MAX_S)
                self._send_release(key, claim_id, next_delay)

        self.claims.release(key, claim_id, on_released)

    def _counts_as_gone(self, instance):
        gone = self._is_gone(instance)
        if gone is not None:
            self._unknown_since.pop(instance, None)
            return gone
        now = self._loop.now()
        since = self._unknown_since.setdefault(instance, now)
        while len(self._unknown_since) > MAX_UNKNOWN_INSTANCES:
            del self._unknown_since[next(iter(self._unknown_since))]
        return now - since >= UNKNOWN_INSTANCE_TIMEOUT_S

    def _fetch_answer(self, claim_id, key, done):
        instance = claim_id.partition('/')[0]

        def on_reply(reply, exc):
            if exc is not None:
                kind = Kind.IN_PROGRESS
                if self._counts_as_gone(instance):
                    kind = Kind.ANSWER_LOST
                done(hooks_module.Claim(False, kind))
            elif reply['state'] == 'kept':
                answer = hooks_module.KeptAnswer(
                    reply['digest'],
                    reply['status'],
                    [(bytes(n), bytes(v)) for n, v in reply['headers']],
                    reply['body'],
                )
                done(hooks_module.Claim(False, None, answer))
            elif reply['state'] == 'running':
                done(hooks_module.Claim(False, Kind.IN_PROGRESS))
            elif reply['state'] == 'not_run':
                done(hooks_module.Claim(False, Kind.NOT_RUN))
            else:
                done(hooks_module.Claim(False, Kind.ANSWER_LOST))

        message = {'type': 'answer_fetch', 'key': key, 'claim': claim_id}
        self._mesh.ask(instance, message, FETCH_TIMEOUT_S, on_reply)

    def _on_answer_fetch(self, sender, message, reply):
        key, claim_id = message['key'], message['claim']
        state = self._state(key, claim_id)
        if state == 'kept':
            answer = self.find(key)
            reply(
                {
                    'type': 'answer',
                    'state': 'kept',
                    'digest': answer.request_digest,
                    'status': answer.status,
                    'headers': [[n, v] for n, v in answer.headers],
                    'body': answer.body,
                }
            )
            return
        if state == 'not_run' and not self._released[claim_id]:
            # The caller can retry successfully once the claim is released.
            self._released[claim_id] = True
            self._send_release(key, claim_id, RELEASE_RETRY_S)
        reply({'type': 'answer', 'state': state})

    def _on_claim(self, sender, message, reply):
        self.claims.handle_claim(message, reply)
