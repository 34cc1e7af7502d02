"""Claims and kept answers of the requests that this instance runs.

Holds the answers of its own claimed requests and fetches those of others, so
that a resend gets the first one's answer.
"""

from jasminehold.decisions import claim_log
from jasminehold import errors
from jasminehold.proxy import hooks as hooks_module

Kind = errors.Kind
Status = claim_log.Status

CLAIM_TIMEOUT_S = 2.5
FETCH_TIMEOUT_S = 1.0
# Keys whose claim may be stored although nothing was run.
NOT_RUN_KEPT = 10000


class Claiming:
    """Claim hooks of the request path.

    Args:
        loop: the event loop.
        mesh: the :class:`mesh.Mesh`.
        instance_id: id of this instance.
        is_gone: ``is_gone(instance id)`` tells whether an instance ended.
        answer_keep: seconds for which answers are kept.

    Attributes:
        claims: the :class:`claims.Claims`, which needs :meth:`send_claim`.
    """

    def __init__(self, loop, mesh, instance_id, is_gone, answer_keep):
        self.claims = None
        self._loop = loop
        self._mesh = mesh
        self._id = instance_id
        self._is_gone = is_gone
        self._answers = hooks_module.AnswerStore(keep_s=answer_keep)
        self._running = set()
        self._not_run = {}
        mesh.handle('claim', self._on_claim)
        mesh.handle('answer_fetch', self._on_fetch)

    # Hooks of the request path.

    def claim(self, key, digest, done):
        """Claim a key: ``done(hooks.Claim)``."""

        def on_result(result, exc):
            found = self._judge(key, result)
            if found is None:
                self._fetch(result.instance, key, done)
            else:
                done(found)

        self.claims.claim(key, digest, self._id, on_result)

    def release(self, key):
        """Give back a claim whose request certainly did not run."""
        self._running.discard(key)
        self._remember_not_run(key)
        self.claims.release(key, self._id, self._on_released(key))

    def keep(self, key, answer):
        """Keep the answer of a claimed request, or None when it is lost."""
        self._running.discard(key)
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

    def _judge(self, key, result):
        """Return the hook's result, None when another instance knows it."""
        status = result.status
        if status is Status.GRANTED:
            self._running.add(key)
            return hooks_module.Claim(True)
        if status is Status.KEY_REUSED:
            return hooks_module.Claim(False, Kind.KEY_REUSED)
        if status is Status.TAKEN:
            if result.instance != self._id:
                return None
            return self._own(key)
        if status is Status.UNKNOWN:
            # Nothing was sent, so the request did not run; the claim may be
            # stored and is given back.
            self.release(key)
        return hooks_module.Claim(False, Kind.UNAVAILABLE)

    def _own(self, key):
        answer = self.find(key)
        if answer is not None:
            return hooks_module.Claim(False, None, answer)
        if key in self._running:
            return hooks_module.Claim(False, Kind.IN_PROGRESS)
        if self._not_run.pop(key, None):
            # The claim is this instance's own and nothing was run under it.
            self._running.add(key)
            return hooks_module.Claim(True)
        return hooks_module.Claim(False, Kind.ANSWER_LOST)

    def _remember_not_run(self, key):
        self._not_run[key] = True
        while len(self._not_run) > NOT_RUN_KEPT:
            del self._not_run[next(iter(self._not_run))]

    def _on_released(self, key):
        def done(result, exc):
            if result.status in (Status.RELEASED, Status.NOT_HELD):
                self._not_run.pop(key, None)

        return done

    def _fetch(self, instance, key, done):
        def on_reply(reply, exc):
            if exc is not None:
                kind = Kind.IN_PROGRESS
                if self._is_gone(instance):
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

        message = {'type': 'answer_fetch', 'key': key}
        self._mesh.ask(instance, message, FETCH_TIMEOUT_S, on_reply)

    def _on_fetch(self, sender, message, reply):
        key = message['key']
        answer = self.find(key)
        if answer is not None:
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
        state = 'lost'
        if key in self._running:
            state = 'running'
        elif key in self._not_run:
            # The claim is given back; the caller may come again.
            state = 'not_run'
            self.claims.release(key, self._id, self._on_released(key))
        reply({'type': 'answer', 'state': state})

    def _on_claim(self, sender, message, reply):
        self.claims.handle_claim(message, reply)
