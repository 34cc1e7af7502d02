"""Claims and kept answers of the requests that this instance runs.

Holds the answers of its own claimed requests and fetches those of others, so
that a resend gets the first one's answer.
"""

import random

from jasminehold.decisions import claim_log
from jasminehold import errors
from jasminehold.proxy import hooks as hooks_module

Kind = errors.Kind
Status = claim_log.Status

CLAIM_TIMEOUT_S = 2.5
FETCH_TIMEOUT_S = 1.0
# Claims remembered as given back. The key of an older one whose release was
# lost is answered as lost for as long as claims are kept.
NOT_RUN_KEPT = 10000
RELEASE_RETRY_S = 0.5
RELEASE_RETRY_MAX_S = 30.0
# An instance that is not among the members may be one that started so
# recently that its gossip has not arrived. Longer than a suspicion lasts.
UNKNOWN_GONE_S = 15.0
UNKNOWN_KEPT = 1000


class ClaimHooks:
    """Claim hooks of the request path.

    Each claim is held by ``<instance id>/<number>`` with a random number. A
    release names the claim that it gives back, so one that arrives late, or
    that belongs to another copy of the request, cannot free a claim that the
    same instance made before or after it. A request never runs under a claim
    for which a release was sent.

    Args:
        loop: the event loop.
        mesh: the :class:`mesh.Mesh`.
        instance_id: id of this instance.
        is_gone: ``is_gone(instance id)`` tells whether an instance ended;
            None when it is not known.
        answer_keep: seconds for which answers are kept.
        rng: random source of the claims' numbers.

    Attributes:
        claims: the :class:`claims.Claims`, which needs :meth:`send_claim`.
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
        # Claims given back, and whether a release of each is under way.
        self._released = {}
        self._unknown = {}
        mesh.handle('claim', self._on_claim)
        mesh.handle('answer_fetch', self._on_fetch)

    # Hooks of the request path.

    def claim(self, key, digest, done):
        """Claim a key: ``done(hooks.Claim)``."""
        self._claim(key, digest, done, True)

    def release(self, key):
        """Give back a claim whose request certainly did not run."""
        holder = self._running.pop(key, None)
        if holder is not None:
            self._give_back(key, holder)

    def keep(self, key, answer):
        """Keep the answer of a claimed request, or None when it is lost."""
        self._running.pop(key, None)
        self._answers.keep(key, answer, self._loop.now())

    def find(self, key):
        """Return a kept answer or None."""
        return self._answers.find(key, self._loop.now())

    # For ``Claims``.

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
        holder = '%s/%x' % (self._id, self._rng.getrandbits(64))
        self._unanswered.add(holder)

        def on_result(result, exc):
            self._unanswered.discard(holder)
            status = result.status
            if status is Status.GRANTED:
                self._running[key] = holder
                done(hooks_module.Claim(True))
            elif status is Status.KEY_REUSED:
                done(hooks_module.Claim(False, Kind.KEY_REUSED))
            elif status is not Status.TAKEN:
                if status is Status.UNKNOWN:
                    # Nothing was sent to an upstream, but the claim may be
                    # stored.
                    self._give_back(key, holder)
                done(hooks_module.Claim(False, Kind.UNAVAILABLE))
            elif result.instance.partition('/')[0] != self._id:
                self._fetch(result.instance, key, done)
            else:
                self._own(key, digest, result.instance, done, allow_retry)

        self.claims.claim(key, digest, holder, on_result)

    def _state(self, key, holder):
        """Return what became of a claim of this instance."""
        if self.find(key) is not None:
            return 'kept'
        # The owner's answer to another copy can overtake its grant.
        if key in self._running or holder in self._unanswered:
            return 'running'
        return 'not_run' if holder in self._released else 'lost'

    def _own(self, key, digest, holder, done, allow_retry):
        state = self._state(key, holder)
        if state == 'kept':
            done(hooks_module.Claim(False, None, self.find(key)))
        elif state == 'running':
            done(hooks_module.Claim(False, Kind.IN_PROGRESS))
        elif state == 'lost':
            done(hooks_module.Claim(False, Kind.ANSWER_LOST))
        else:
            self._claim_after_release(key, digest, holder, done, allow_retry)

    def _claim_after_release(self, key, digest, holder, done, allow_retry):
        def on_released(result, exc):
            ended = result.status in (Status.RELEASED, Status.NOT_HELD)
            if ended and allow_retry:
                self._claim(key, digest, done, False)
            else:
                done(hooks_module.Claim(False, Kind.UNAVAILABLE))

        self.claims.release(key, holder, on_released)

    def _give_back(self, key, holder):
        self._released[holder] = True
        while len(self._released) > NOT_RUN_KEPT:
            del self._released[next(iter(self._released))]
        self._send_release(key, holder, RELEASE_RETRY_S)

    def _send_release(self, key, holder, delay):
        def on_released(result, exc):
            # The claim stays remembered: an earlier answer that names it, or
            # the claim itself after NOT_HELD, may still be on its way.
            if result.status not in (Status.RELEASED, Status.NOT_HELD):
                self._loop.call_later(delay, again)
            elif holder in self._released:
                self._released[holder] = False

        def again():
            if holder in self._released:
                longer = min(2 * delay, RELEASE_RETRY_MAX_S)
                self._send_release(key, holder, longer)

        self.claims.release(key, holder, on_released)

    def _gone(self, instance):
        gone = self._is_gone(instance)
        if gone is not None:
            self._unknown.pop(instance, None)
            return gone
        now = self._loop.now()
        since = self._unknown.setdefault(instance, now)
        while len(self._unknown) > UNKNOWN_KEPT:
            del self._unknown[next(iter(self._unknown))]
        return now - since >= UNKNOWN_GONE_S

    def _fetch(self, holder, key, done):
        instance = holder.partition('/')[0]

        def on_reply(reply, exc):
            if exc is not None:
                kind = Kind.IN_PROGRESS
                if self._gone(instance):
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

        message = {'type': 'answer_fetch', 'key': key, 'claim': holder}
        self._mesh.ask(instance, message, FETCH_TIMEOUT_S, on_reply)

    def _on_fetch(self, sender, message, reply):
        key, holder = message['key'], message['claim']
        state = self._state(key, holder)
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
        if state == 'not_run' and not self._released[holder]:
            # The caller may come again once the claim is given back.
            self._released[holder] = True
            self._send_release(key, holder, RELEASE_RETRY_S)
        reply({'type': 'answer', 'state': state})

    def _on_claim(self, sender, message, reply):
        self.claims.handle_claim(message, reply)
