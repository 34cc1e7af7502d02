"""Idempotency claims: runs the claim logs of the shards owned here.

Example:
    >>> claims.claim(key, request, 'i-17', print)  # doctest: +SKIP
"""

import random
import time
import typing

from jasminehold.decisions import claim_log
from jasminehold import errors
from jasminehold import logs

CHECK_INTERVAL_S = 0.1

_log = logs.get('claims')

_OUTCOMES = (
    (errors.KeyNotFound, claim_log.Outcome.ABSENT),
    (errors.VersionMismatch, claim_log.Outcome.MISMATCH),
    (errors.PlatformUnavailable, claim_log.Outcome.UNAVAILABLE),
)


class ClaimsConfig(typing.NamedTuple):
    """Settings of :class:`Claims`.

    Attributes:
        instance_id: id of this instance.
        shards: number of shards, the same at all instances.
        log: configuration of the claim logs, see
            :class:`jasminehold.decisions.claim_log.Config`.
    """

    instance_id: str
    shards: int = 4
    log: claim_log.Config = claim_log.Config()


class Claims:
    """Claims idempotency keys at the instance that owns the key's shard.

    Results are :class:`jasminehold.decisions.claim_log.Result`. The status
    ``unavailable`` means that the key was definitely not claimed; ``unknown``
    means that the claim may be stored, so the request must not run.

    Args:
        loop: the event loop.
        client: :class:`jasminehold.platform.client.PlatformClient`.
        duties: :class:`jasminehold.duties.Duties` with ``claims/<shard>``.
        cfg: :class:`ClaimsConfig`.
        metrics: :class:`jasminehold.metrics.Metrics`; counts
            ``claims_total`` by result and ``claim_writes_total`` by verb.
        send_claim: ``send_claim(owner_id, message, done)`` sends a message to
            another instance and calls ``done(reply, exc)``; ``exc`` is
            ``PlatformUnavailable`` if the message was definitely not sent.
            None when there are no other instances.
        wall: returns the wall-clock time in seconds since the epoch.
        rng: random number generator for batch ids.
    """

    def __init__(
        self,
        loop,
        client,
        duties,
        cfg,
        metrics,
        send_claim=None,
        wall=time.time,
        rng=None,
    ):
        self._loop = loop
        self._client = client
        self._duties = duties
        self._cfg = cfg
        self._metrics = metrics
        self._send_claim = send_claim
        self._wall = wall
        rng = rng or random.SystemRandom()
        self._logs = [
            claim_log.ClaimLog(shard, cfg.log, rng)
            for shard in range(cfg.shards)
        ]
        self._owned = [False] * cfg.shards
        self._timers = [None] * cfg.shards
        self._wake_times = [0.0] * cfg.shards
        self._check_timer = loop.call_later(
            CHECK_INTERVAL_S, self._check_shards
        )

    def claim(self, key_digest, request_digest, instance_id, done):
        """Claim a key on behalf of an instance.

        Args:
            key_digest: 16 bytes.
            request_digest: 8 bytes, digest of method, path and body.
            instance_id: holder of the claim: the id of the instance that will
                run the request, with or without a number for this claim.
            done: called with ``(Result, None)``.
        """
        message = {
            'op': 'claim',
            'key': key_digest,
            'request': request_digest,
            'instance': instance_id,
        }
        self._send_to_owner(message, done)

    def release(self, key_digest, instance_id, done):
        """Release a claim whose request definitely did not run.

        A claim of the key by another holder is kept.
        """
        message = {
            'op': 'release',
            'key': key_digest,
            'request': b'',
            'instance': instance_id,
        }
        self._send_to_owner(message, done)

    def handle_claim(self, message, done):
        """Handle a message that another instance sent with ``send_claim``.

        Args:
            message: the message passed to ``send_claim``.
            done: called with the reply, ``{"status", "instance"}``.
        """

        def on_result(result, exc):
            done({'status': result.status.value, 'instance': result.instance})

        if self._holds_duty(self._shard(message['key'])):
            self._add_operation(message, on_result)
        else:
            # Not forwarded, so that two instances with outdated duty holders
            # cannot send the message back and forth.
            on_result(claim_log.Result(claim_log.Status.UNAVAILABLE), None)

    def on_duty_change(self, name, token):
        """Handle an acquired or lost duty; see ``on_change`` of ``Duties``."""
        kind, _, shard = name.partition('/')
        if kind == 'claims' and int(shard) < self._cfg.shards:
            self._run_shard(int(shard))

    def ready(self, shard):
        """Return whether a shard is owned here and ready for claims."""
        return self._owned[shard] and self._logs[shard].ready

    def close(self):
        """Stop and deliver the results of pending operations."""
        self._check_timer.cancel()
        for shard, log in enumerate(self._logs):
            log.deactivate()
            self._owned[shard] = False
            self._deliver_results(shard)
            if self._timers[shard] is not None:
                self._timers[shard].cancel()

    def _shard(self, key):
        return int.from_bytes(key[:8], 'big') % self._cfg.shards

    def _holds_duty(self, shard):
        name = 'claims/%d' % shard
        return self._duties.fencing_token(name, self._loop.now()) is not None

    def _send_to_owner(self, message, done):
        def finish(result, exc):
            self._metrics.inc('claims_total', result=result.status.value)
            done(result, None)

        shard = self._shard(message['key'])
        if self._holds_duty(shard):
            self._add_operation(message, finish)
            return
        holder = self._duties.holder('claims/%d' % shard)
        if (
            holder is None
            or holder[0] == self._cfg.instance_id
            or self._send_claim is None
        ):
            self._duties.refresh()
            result = claim_log.Result(claim_log.Status.UNAVAILABLE)
            self._loop.call_soon(finish, result, None)
            return

        def on_reply(reply, exc):
            status = claim_log.Status.UNKNOWN
            if isinstance(exc, errors.PlatformUnavailable):
                status = claim_log.Status.UNAVAILABLE
            if exc is None:
                status = claim_log.Status(reply['status'])
            if status is claim_log.Status.UNAVAILABLE:
                self._duties.refresh()
            instance = reply['instance'] if exc is None else ''
            finish(claim_log.Result(status, instance), None)

        self._send_claim(holder[0], message, on_reply)

    def _add_operation(self, message, done):
        shard = self._shard(message['key'])
        log = self._logs[shard]
        now = self._loop.now()
        if not self._owned[shard]:
            self._run_shard(shard)
        key, instance = message['key'], message['instance']
        if message['op'] == 'release':
            log.release(done, key, instance, now)
        else:
            log.claim(
                done, key, message['request'], instance, now, self._wall()
            )
        # Claims that arrive in the same loop iteration form one batch.
        self._schedule_wake(shard, now)

    def _check_shards(self):
        self._check_timer = self._loop.call_later(
            CHECK_INTERVAL_S, self._check_shards
        )
        for shard in range(self._cfg.shards):
            self._run_shard(shard)

    def _schedule_wake(self, shard, due):
        timer = self._timers[shard]
        if timer is not None:
            if self._wake_times[shard] <= due:
                return
            timer.cancel()
        self._wake_times[shard] = due
        delay = max(due - self._loop.now(), 0.0)
        self._timers[shard] = self._loop.call_later(
            delay, self._on_wake_timer, shard
        )

    def _on_wake_timer(self, shard):
        self._timers[shard] = None
        self._run_shard(shard)

    def _run_shard(self, shard):
        log = self._logs[shard]
        is_owner = self._holds_duty(shard)
        if is_owner != self._owned[shard]:
            self._owned[shard] = is_owner
            _log('shard gained' if is_owner else 'shard lost', shard=shard)
            if is_owner:
                log.activate()
            else:
                log.deactivate()
        if is_owner:
            other_sizes = sum(other.size for other in self._logs) - log.size
            log.max_entries = log.cfg.max_claims - other_sizes
            action = log.next_action(self._loop.now(), self._wall())
            if action is not None:
                self._call_platform(shard, action)
            else:
                now = self._loop.now()
                due = log.wake_at(now)
                if due - now < CHECK_INTERVAL_S:
                    self._schedule_wake(shard, max(due, now + 0.001))
        self._deliver_results(shard)

    def _deliver_results(self, shard):
        for done, result in self._logs[shard].take_results():
            self._loop.call_soon(done, result, None)

    def _call_platform(self, shard, action):
        def on_response(result, exc):
            outcome = claim_log.Outcome.OK
            if exc is not None:
                outcome = _outcome_of(exc)
            value, version = b'', result
            if action.verb == 'get' and exc is None:
                value, version = result.value, result.version
            elif action.verb == 'list' and exc is None:
                value, version = result.items, result.more
            log = self._logs[shard]
            log.finish(action, outcome, value, version, self._loop.now())
            self._run_shard(shard)

        if action.verb == 'get':
            self._client.get(action.key, done=on_response)
            return
        if action.verb == 'list':
            self._client.list(action.key, action.after, done=on_response)
            return
        self._metrics.inc('claim_writes_total', verb=action.verb)
        if action.verb == 'put':
            self._client.put(
                action.key, action.value, action.if_version, done=on_response
            )
        else:
            self._client.delete(
                action.key, action.if_version, done=on_response
            )


def _outcome_of(exc):
    for cls, outcome in _OUTCOMES:
        if isinstance(exc, cls):
            return outcome
    return claim_log.Outcome.UNKNOWN
