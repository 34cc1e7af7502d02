"""One exchange: a caller's request and its answer.

The exchange carries out the actions of
:class:`~jasminehold.decisions.request.RequestState` and reports events to it.
"""

import hashlib
import itertools
import typing

import h11

from jasminehold.decisions import request
from jasminehold import errors
from jasminehold.proxy import hooks as hooks_module

Action = request.Action
Event = request.Event
Kind = errors.Kind

# Bodies up to this size are read whole before anything is sent, so that a
# slow or malformed body holds no upstream slot and the request can be sent
# again.
REPLAY_MAX_BYTES = 64 * 1024
# A claim needs the digest of the whole body.
CLAIMED_BODY_MAX_BYTES = 1024 * 1024
KEPT_ANSWER_MAX_BYTES = 64 * 1024
REFUSAL_BODY_MAX_BYTES = 64 * 1024
BUFFER_HIGH_WATER_BYTES = 256 * 1024
IDEMPOTENCY_KEY_MAX_BYTES = 256

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_REQUEST_HEADERS_DROPPED = HOP_BY_HOP | {
    b'expect',
    b'content-length',
    b'jasminehold-deadline',
    b'jasminehold-request',
}
_RESPONSE_HEADERS_DROPPED = HOP_BY_HOP | {
    b'jasminehold-run',
    b'jasminehold-error',
    b'jasminehold-request',
}

_request_numbers = itertools.count(1)


class Attempt(typing.NamedTuple):
    """What ``may_retry`` learns about the last attempt.

    Attributes:
        result: ``refused``, ``loss``, ``crash`` or ``connect``.
        tried: ids of the upstreams tried so far.
        deadline: monotonic time at which the request ends.
    """

    result: str
    tried: tuple
    deadline: float


def strip_headers(headers, dropped):
    """Return headers without a set of names and those in ``Connection``.

    Args:
        headers: list of ``(lower-case name, value)``, bytes.
        dropped: set of lower-case names.
    """
    named = set()
    for name, value in headers:
        if name == b'connection':
            named.update(item.strip().lower() for item in value.split(b','))
    return [
        (name, value)
        for name, value in headers
        if name not in dropped and name not in named
    ]


class Exchange:
    """Carries one request from a caller to an upstream and back.

    Args:
        server: the :class:`~jasminehold.proxy.server.ProxyServer`.
        caller: the :class:`~jasminehold.proxy.server.CallerConn`.
        head: the ``h11.Request``.
        service: service named by the request.
        expects_body: whether the head announces a body.
        length: announced body size in bytes, None when chunked.
    """

    def __init__(self, server, caller, head, service, expects_body, length):
        self._server = server
        self._loop = server.loop
        self._hooks = server.hooks
        self._caller = caller
        self._head = head
        self._service = service
        self._expects_body = expects_body
        self._content_length = length
        self._id = b'%s-%d' % (server.instance_id, next(_request_numbers))
        self._body_chunks = []
        self._body_size = 0
        self._body_complete = False
        self._streaming = False
        self._replayable = True
        self._state = None
        self._req = None
        self._timer = None
        self._key_digest = None
        self._request_digest = b''
        self._started_at = self._loop.now()
        self._deadline = 0.0
        self._tried = ()
        self._target = None
        self._upstream = None
        self._sent_at = 0.0
        self._refused = False
        self._refusal_size = 0
        self._last_result = ''
        self._in_flight_at_crash = False
        self._retry_after = None
        self._response = None
        self._kept_chunks = None
        self._kept_size = 0
        self._finished = False

    def start(self):
        """Check the head and begin, or refuse."""
        headers = self._head.headers
        values = dict(headers)
        attempt = values.get(b'jasminehold-attempt', b'0')
        left = values.get(b'jasminehold-deadline', b'')
        key = values.get(b'idempotency-key')
        if not attempt.isdigit() or (left and not left.isdigit()):
            return self._caller.fail(Kind.BAD_REQUEST)
        if len(attempt) > 9 or len(left) > 12:
            return self._caller.fail(Kind.BAD_REQUEST)
        if key is not None and not 0 < len(key) <= IDEMPOTENCY_KEY_MAX_BYTES:
            return self._caller.fail(Kind.BAD_REQUEST)
        self._req = hooks_module.RequestInfo(
            self._head.method,
            self._head.target,
            list(headers),
            self._service,
            int(attempt),
            b'',
            None,
            self._caller.peer,
        )
        plan = self._hooks.route(self._req)
        if isinstance(plan, Kind):
            return self._caller.fail(plan)
        self._req = self._req._replace(plan=plan)
        timeout = plan.timeout_s
        if left:
            timeout = min(timeout, int(left) / 1000)
        self._deadline = self._started_at + timeout
        claimed = key is not None and not plan.idempotent
        if claimed:
            scope = plan.service.encode() + b'\0' + key
            self._key_digest = hashlib.blake2b(scope, digest_size=16).digest()
        self._state = request.RequestState(plan.idempotent, claimed)
        self._server.exchanges.add(self)
        if timeout <= 0:
            return self.on_event(Event.DEADLINE)
        if claimed and (self._content_length or 0) > CLAIMED_BODY_MAX_BYTES:
            return self.on_event(Event.BAD_INPUT, Kind.BODY_TOO_LARGE)
        self._timer = self._loop.call_later(
            timeout, self.on_event, Event.DEADLINE
        )
        self._caller.send_continue()

    def on_body(self, data):
        """Take bytes of the request's body."""
        if self._state is None or self._state.ended:
            return
        self._body_size += len(data)
        limit = self._server.body_max_bytes
        if self._key_digest is not None:
            limit = min(limit, CLAIMED_BODY_MAX_BYTES)
        if self._body_size > limit:
            self.on_event(Event.BAD_INPUT, Kind.BODY_TOO_LARGE)
        elif self._upstream is not None and not self._refused:
            self._upstream.send(h11.Data(data=data))
            if self._upstream.buffered > BUFFER_HIGH_WATER_BYTES:
                self._caller.pause_body()
        elif self._streaming and not self._replayable:
            # Answered or refused before the whole body was sent.
            return
        else:
            self._body_chunks.append(data)
            if self._streaming:
                self._caller.pause_body()
            elif (
                self._body_size > REPLAY_MAX_BYTES and self._key_digest is None
            ):
                self._streaming = True
                self._caller.pause_body()
                self._begin_sending()

    def on_body_end(self):
        """Take the end of the request's body."""
        self._body_complete = True
        if self._state is None or self._state.ended:
            return
        if not self._streaming:
            self._begin_sending()
        elif self._upstream is not None and not self._refused:
            self._upstream.send(h11.EndOfMessage())

    def on_bad_input(self, kind):
        """End the request because the caller's input is malformed."""
        if self._state is None:
            self._caller.fail(kind, close=True)
        else:
            self.on_event(Event.BAD_INPUT, kind)

    def on_caller_disconnect(self):
        """Take the loss of the caller's connection."""
        if self._state is None:
            return
        self.on_event(Event.CANCEL)
        if self._upstream is not None:
            # A detached request is read to its end.
            self._upstream.resume()

    def stop(self):
        """End the request at once because the process stops."""
        self.on_event(Event.STOP)

    def on_caller_drain(self):
        """Continue reading the answer after the caller took its bytes."""
        if self._upstream is not None:
            self._upstream.resume()

    def on_event(self, event, kind=None):
        """Pass an event to the state machine and carry out its actions."""
        for action, arg in self._state.on(event, kind):
            _ACTIONS[action](self, arg)
        if self._state.ended:
            self._finish()

    def _finish(self):
        if self._finished:
            return
        self._finished = True
        if self._timer is not None:
            self._timer.cancel()
        self._server.exchange_ended(self)

    def _begin_sending(self):
        digest = hashlib.blake2b(digest_size=8)
        for part in (self._head.method, self._head.target):
            digest.update(b'%d:' % len(part) + part)
        for chunk in self._body_chunks:
            digest.update(chunk)
        self._request_digest = digest.digest()
        self._req = self._req._replace(fingerprint=self._request_digest)
        self.on_event(Event.START)

    # Actions

    def _claim(self, arg):
        kept = self._hooks.find_answer(self._key_digest)
        if kept is not None:
            self._on_claim(hooks_module.Claim(False, None, kept))
            return
        self._hooks.claim(
            self._key_digest, self._request_digest, self._on_claim
        )

    def _on_claim(self, claim):
        if claim.granted:
            self.on_event(Event.CLAIM_GRANTED)
        elif claim.answer is None:
            self._retry_after = 1.0
            self.on_event(Event.CLAIM_REFUSED, claim.kind)
        elif claim.answer.request_digest != self._request_digest:
            self.on_event(Event.CLAIM_REFUSED, Kind.KEY_REUSED)
        else:
            self._response = claim.answer
            self.on_event(Event.CLAIM_ANSWERED)

    def _find_target(self, arg):
        now = self._loop.now()
        found = self._hooks.pick(self._req, self._tried, now)
        overloaded = (
            isinstance(found, hooks_module.Refusal)
            and found.kind is Kind.OVERLOADED
        )
        # Requests that shared a crashed upstream are kept apart from each
        # other, so that they may have to wait for one of their own.
        if overloaded and (not self._tried or self._in_flight_at_crash):
            self._hooks.wait_for_target(
                self._req, self._tried, self._deadline, self._on_target
            )
        else:
            self._on_target(found)

    def _on_target(self, found):
        if isinstance(found, hooks_module.Refusal):
            self._retry_after = found.retry_after_s
            self.on_event(Event.NO_TARGET, found.kind)
        elif self._state.ended:
            found.release('unused')
        else:
            self._target = found
            self.on_event(Event.TARGET)

    def _open(self, arg):
        target = self._target
        self._tried += (target.upstream,)
        self._refused = False

        def ready(conn):
            if self._target is target:
                self._send(conn)
            else:
                conn.return_to_pool()

        def failed(exc):
            if self._target is target:
                self._end_attempt('connect')
                self.on_event(Event.CONNECT_FAILED)

        fresh = not self._state.idempotent
        self._server.pool.acquire(target, fresh, ready, failed)

    def _send(self, conn):
        self._upstream = conn
        conn.handler = self
        self._sent_at = self._loop.now()
        self._server.pool.add_in_flight(
            self._target, self, self._request_digest
        )
        # The event comes first: a write may fail and be reported in it.
        self.on_event(Event.SENT)
        conn.send(
            h11.Request(
                method=self._head.method,
                target=self._head.target,
                headers=self._request_headers(),
            )
        )
        for chunk in self._body_chunks:
            conn.send(h11.Data(data=chunk))
        if self._body_complete:
            conn.send(h11.EndOfMessage())
        if self._streaming:
            self._replayable = False
            self._body_chunks = []
            self._caller.resume_body()

    def _request_headers(self):
        headers = strip_headers(self._head.headers, _REQUEST_HEADERS_DROPPED)
        left = max(self._deadline - self._loop.now(), 0.0)
        headers.append((b'jasminehold-deadline', b'%d' % (left * 1000)))
        headers.append((b'jasminehold-request', self._id))
        if self._body_complete and (self._body_size or self._expects_body):
            headers.append((b'content-length', b'%d' % self._body_size))
        elif self._expects_body and self._content_length is not None:
            headers.append((b'content-length', b'%d' % self._content_length))
        elif self._expects_body:
            headers.append((b'transfer-encoding', b'chunked'))
        return headers

    def _ask_retry(self, arg):
        delay = None
        if self._replayable:
            attempt = Attempt(self._last_result, self._tried, self._deadline)
            now = self._loop.now()
            delay = self._hooks.may_retry(self._req, attempt, now)
        if delay is None:
            self.on_event(Event.RETRY_DENIED, Kind.NOT_RUN)
            return
        self._server.metrics.inc('retries_total', result=self._last_result)
        self._loop.call_later(delay, self.on_event, Event.RETRY_GRANTED)

    def _relay(self, arg):
        if self._key_digest is not None:
            self._kept_chunks = []

    def _end_response(self, arg):
        self._server.metrics.inc('answers_total')
        if not self._state.detached:
            self._caller.end_response()

    def _send_kept(self, arg):
        answer = self._response
        self._server.metrics.inc('answers_resent_total')
        self._caller.start_response(answer.status, answer.headers)
        self._caller.send_body(answer.body)
        self._caller.end_response()

    def _fail(self, kind):
        if self._state.detached:
            return
        self._caller.fail(kind, self._retry_after)

    def _close_upstream(self, arg):
        deadline = self._loop.now() >= self._deadline
        self._end_attempt('deadline' if deadline else 'cancel')

    def _abort_caller(self, arg):
        self._server.metrics.inc(
            'answers_cut_total', kind=self._state.kind.value
        )
        if not self._state.detached:
            self._caller.abort()

    def _release_claim(self, arg):
        self._hooks.release_claim(self._key_digest)

    def _keep_answer(self, arg):
        answer = None
        if self._kept_chunks is not None:
            answer = hooks_module.KeptAnswer(
                self._request_digest,
                self._response[0],
                self._response[1],
                b''.join(self._kept_chunks),
            )
        self._hooks.keep_answer(self._key_digest, answer)

    def _lose_answer(self, arg):
        self._hooks.keep_answer(self._key_digest, None)

    def _end_attempt(self, result):
        """Give up the connection, then the slot, and note the result."""
        target, self._target = self._target, None
        conn, self._upstream = self._upstream, None
        if conn is not None and conn.handler is self:
            conn.abort()
        if target is None:
            return
        now = self._loop.now()
        self._last_result = result
        self._server.pool.remove_in_flight(target, self)
        self._server.metrics.inc('attempts_total', result=result)
        latency = now - (self._sent_at or now)
        self._hooks.record_result(target.upstream, result, latency, now)
        target.release(result)

    # Events of the upstream's connection

    def on_response_head(self, event):
        """Take the answer's head."""
        headers = list(event.headers)
        values = dict(headers)
        echo = values.get(b'jasminehold-request')
        if echo is not None:
            self._upstream.echoes_request_id = True
        # A second answer to an earlier request can arrive after the
        # connection was taken for this one.
        if self._upstream.echoes_request_id and echo != self._id:
            self._server.metrics.inc('answers_foreign_total')
            self._on_malformed_response()
            return
        if (
            event.status_code in (503, 504)
            and values.get(b'jasminehold-run') == b'not-run'
        ):
            self._refused = True
            if b'leaving' in values:
                target = self._target.upstream
                now = self._loop.now()
                self._hooks.record_result(target, 'leaving', 0.0, now)
            after = values.get(b'retry-after', b'')
            self._retry_after = int(after) if after[:6].isdigit() else 1.0
            return
        length = values.get(b'content-length')
        chunked = b'transfer-encoding' in values
        bodiless = (
            self._head.method == b'HEAD'
            or event.status_code in _BODILESS_STATUSES
        )
        if (length is not None and chunked) or not (
            length is not None or chunked or bodiless
        ):
            # Without framing a truncated answer looks like a whole one.
            self._server.metrics.inc('answers_unframed_total')
            self._on_malformed_response()
            return
        kept = strip_headers(headers, _RESPONSE_HEADERS_DROPPED)
        kept.append((b'jasminehold-run', b'ran'))
        self._response = (event.status_code, kept)
        self.on_event(Event.ANSWER_HEAD)
        if not self._state.detached:
            self._caller.start_response(event.status_code, kept)

    def on_response_body(self, data):
        """Take bytes of the answer's body."""
        if self._refused:
            self._refusal_size += len(data)
            if self._refusal_size > REFUSAL_BODY_MAX_BYTES:
                self.on_connection_lost(None)
            return
        if self._kept_chunks is not None:
            self._kept_size += len(data)
            if self._kept_size > KEPT_ANSWER_MAX_BYTES:
                self._kept_chunks = None
            else:
                self._kept_chunks.append(data)
        if self._state.detached:
            return
        self._caller.send_body(data)
        if self._caller.buffered > BUFFER_HIGH_WATER_BYTES:
            self._upstream.pause()

    def on_response_end(self):
        """Take the end of the answer; its connection is back or closed."""
        self._upstream = None
        if self._refused:
            self._end_attempt('refused')
            self.on_event(Event.REFUSED)
            return
        failed = self._response[0] >= 500
        self._end_attempt('error' if failed else 'ok')
        self.on_event(Event.ANSWER_END)

    def on_connection_lost(self, exc):
        """Take the loss of the upstream's connection before the end."""
        if self._refused:
            self._end_attempt('refused')
            self.on_event(Event.REFUSED)
            return
        target = self._target
        if target is None:
            self.on_event(Event.LOSS)
            return

        def on_checked(crashed):
            if crashed:
                self._last_result = 'crash'
                self._in_flight_at_crash = True
            self.on_event(Event.LOSS)

        # Whether the upstream crashed has to be known, here and at the other
        # instances, before this request or a copy of it is sent elsewhere.
        self._server.pool.check_for_crash(target, self, on_checked)
        self._end_attempt('loss')

    def on_upstream_drain(self):
        """Read the caller's body again after the upstream took its bytes."""
        self._caller.resume_body()

    def _on_malformed_response(self):
        self._end_attempt('loss')
        self.on_event(Event.LOSS)


_BODILESS_STATUSES = (204, 304)
_ACTIONS = {
    Action.CLAIM: Exchange._claim,
    Action.FIND_TARGET: Exchange._find_target,
    Action.OPEN: Exchange._open,
    Action.ASK_RETRY: Exchange._ask_retry,
    Action.RELAY: Exchange._relay,
    Action.ANSWER: Exchange._end_response,
    Action.SEND_KEPT: Exchange._send_kept,
    Action.FINISH: Exchange._fail,
    Action.CLOSE_UPSTREAM: Exchange._close_upstream,
    Action.ABORT_CALLER: Exchange._abort_caller,
    Action.RELEASE_CLAIM: Exchange._release_claim,
    Action.KEEP_ANSWER: Exchange._keep_answer,
    Action.LOSE_ANSWER: Exchange._lose_answer,
}
