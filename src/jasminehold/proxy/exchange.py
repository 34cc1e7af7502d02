"""One exchange: a caller's request and its response.

The exchange passes events to
:class:`~jasminehold.decisions.request.RequestState` and applies the actions
that it returns.
"""

import hashlib
import itertools
import typing

import h11

from jasminehold.decisions import instance_path
from jasminehold.decisions import request
from jasminehold.decisions import request_digest
from jasminehold.decisions import send_end
from jasminehold import errors
from jasminehold.proxy import hooks as hooks_module

Action = request.Action
Event = request.Event
Kind = errors.Kind
State = request.State

# Bodies up to this size are buffered completely before the request is sent.
# A slow or malformed body then takes no upstream slot, and the request can be
# retried.
REPLAY_MAX_BYTES = 64 * 1024
# Larger than REPLAY_MAX_BYTES: a claim needs the digest of the whole body.
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
    """Result of the last attempt, passed to ``may_retry``.

    Attributes:
        result: ``refused``, ``loss``, ``crash`` or ``connect``.
        tried: ids of the upstreams tried so far.
        deadline: monotonic time at which the request times out.
    """

    result: str
    tried: tuple
    deadline: float


def strip_headers(headers, dropped, prefix=None):
    """Remove headers by name, and those that ``Connection`` lists.

    Args:
        headers: list of ``(lower-case name, value)``, bytes.
        dropped: set of lower-case names to remove.
        prefix: begin of further names to remove, bytes, or None.
    """
    listed = set()
    for name, value in headers:
        if name == b'connection':
            listed.update(item.strip().lower() for item in value.split(b','))
    # A request without it is no HTTP/1.1.
    listed.discard(b'host')
    return [
        (name, value)
        for name, value in headers
        if name not in dropped
        and name not in listed
        and not (prefix and name.startswith(prefix))
    ]


class Exchange:
    """Forwards one request to an upstream and returns the response.

    Args:
        server: the :class:`~jasminehold.proxy.server.ProxyServer`.
        caller: the :class:`~jasminehold.proxy.server.CallerConn`.
        head: the ``h11.Request``.
        service: service that the caller requested.
        expects_body: whether the headers declare a body.
        length: declared body size in bytes, None if the body is chunked.
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
        # Of the time that it takes.
        self._timing = None
        self._tried = ()
        self._target = None
        # Identifies the current attempt in the check of the path.
        self._attempt = None
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
        """Validate the headers, then start the request or refuse it."""
        headers = self._head.headers
        values = dict(headers)
        attempt = values.get(b'jasminehold-attempt', b'0')
        stated_ms = values.get(b'jasminehold-deadline', b'')
        key = values.get(b'idempotency-key')
        if not attempt.isdigit() or (stated_ms and not stated_ms.isdigit()):
            return self._caller.fail(Kind.BAD_REQUEST)
        if len(attempt) > 9 or len(stated_ms) > 12:
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
        if stated_ms:
            timeout = min(timeout, int(stated_ms) / 1000)
        self._deadline = self._started_at + timeout
        claimed = key is not None and not plan.idempotent
        if claimed:
            scope = plan.service.encode() + b'\0' + key
            self._key_digest = hashlib.blake2b(scope, digest_size=16).digest()
        self._state = request.RequestState(plan.idempotent, claimed)
        self._server.exchanges.add(self)
        self._timing = self._server.answer_times.begin(
            plan.service, self._started_at
        )
        if timeout <= 0:
            return self.on_event(Event.DEADLINE)
        if claimed and (self._content_length or 0) > CLAIMED_BODY_MAX_BYTES:
            return self.on_event(Event.BAD_INPUT, Kind.BODY_TOO_LARGE)
        self._timer = self._loop.call_later(
            timeout, self.on_event, Event.DEADLINE
        )
        self._caller.send_continue()

    def on_body(self, data):
        """Buffer or forward a chunk of the request body."""
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
            # The upstream responded before the whole body was sent.
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
        """Process the end of the request body."""
        self._body_complete = True
        if self._state is None or self._state.ended:
            return
        if not self._streaming:
            self._begin_sending()
        elif self._upstream is not None and not self._refused:
            self._upstream.send(h11.EndOfMessage())

    def on_bad_input(self, kind):
        """Fail the request because the caller's input is malformed."""
        if self._state is None:
            self._caller.fail(kind, close=True)
        else:
            self.on_event(Event.BAD_INPUT, kind)

    def on_caller_disconnect(self):
        """Process the loss of the caller's connection."""
        if self._state is None:
            return
        self.on_event(Event.CANCEL)
        if self._upstream is not None:
            # The response to a detached request is read to its end.
            self._upstream.resume()

    def stop(self):
        """Fail the request immediately because the process stops."""
        self.on_event(Event.STOP)

    def on_path_lost(self):
        """Give up what waits for an upstream that cannot be reached."""
        state = self._state.state
        if state is State.QUEUED:
            self._on_target(_NO_PATH)
        elif state is State.OPENING:
            self._end_attempt('cancel')
            self.on_event(Event.CONNECT_FAILED)
        elif (
            state is State.SENT
            and self._state.idempotent
            and self._server.path.is_silent(self._sent_at)
        ):
            self._end_attempt('cancel')
            self.on_event(Event.LOSS)

    def on_caller_drain(self):
        """Resume reading the response after the send buffer drained."""
        if self._upstream is not None:
            self._upstream.resume()

    def on_event(self, event, kind=None):
        """Pass an event to the state machine and apply its actions."""
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
        self._note_time()
        self._server.exchange_ended(self)

    def _note_time(self):
        times, now = self._server.answer_times, self._loop.now()
        if self._state.kind is None or now >= self._deadline:
            times.end(self._timing, now)
        else:
            times.answered(self._timing)

    def _begin_sending(self):
        self._request_digest = request_digest.of_request(
            (self._head.method, self._head.target), self._body_chunks
        )
        self._req = self._req._replace(fingerprint=self._request_digest)
        self.on_event(Event.START)

    # Handlers of actions

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
        if self._server.path.lost:
            self._on_target(_NO_PATH)
            return
        now = self._loop.now()
        if not self._ends_in_time(now):
            self.on_event(Event.NO_TARGET, Kind.LEAVING)
            return
        found = self._hooks.pick(self._req, self._tried, now)
        overloaded = (
            isinstance(found, hooks_module.Refusal)
            and found.kind is Kind.OVERLOADED
        )
        # Requests that were in flight at a crash are isolated from each other,
        # so a retry may have to wait for an upstream that runs no other
        # suspect.
        if overloaded and (not self._tried or self._in_flight_at_crash):
            self._hooks.wait_for_target(
                self._req, self._tried, self._deadline, self._on_target
            )
        else:
            self._on_target(found)

    def _ends_in_time(self, now):
        plan = self._req.plan
        return self._server.ends_in_time(
            plan.service, plan.timeout_s, self._deadline - now, now
        )

    def _on_target(self, found):
        if isinstance(found, hooks_module.Refusal):
            self._retry_after = found.retry_after_s
            self.on_event(Event.NO_TARGET, found.kind)
        elif self._state.ended:
            found.release('unused')
        elif self._server.path.lost:
            found.release('unused')
            self._on_target(_NO_PATH)
        elif not self._ends_in_time(self._loop.now()):
            found.release('unused')
            self.on_event(Event.NO_TARGET, Kind.LEAVING)
        else:
            self._target = found
            self.on_event(Event.TARGET)

    def _open(self, arg):
        target = self._target
        self._tried += (target.upstream,)
        self._refused = False
        self._attempt = object()
        self._server.path.begin(self._attempt, target.upstream, False)

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
        self._server.path.begin(self._attempt, self._target.upstream, True)
        self._server.pool.add_in_flight(
            self._target, self, self._request_digest
        )
        # The event must precede the write, which can fail immediately and
        # report the loss of the connection.
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
        remaining_s = max(self._deadline - self._loop.now(), 0.0)
        headers.append((b'jasminehold-deadline', b'%d' % (remaining_s * 1000)))
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
        if self._server.path.lost:
            self._retry_after = instance_path.RETRY_AFTER_S
            self.on_event(Event.RETRY_DENIED, Kind.UNAVAILABLE)
            return
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
        timed_out = self._loop.now() >= self._deadline
        self._end_attempt('deadline' if timed_out else 'cancel')

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

    def _end_attempt(self, result, end=None):
        """Close the connection, record the result and release the slot.

        Args:
            result: result of the attempt, for the hooks.
            end: the :class:`~decisions.send_end.End`, if the result does not
                tell it.
        """
        target, self._target = self._target, None
        conn, self._upstream = self._upstream, None
        if conn is not None and conn.handler is self:
            conn.abort()
        if target is None:
            return
        now = self._loop.now()
        path = self._server.path
        path.end(self._attempt)
        if result == 'loss':
            path.on_failed(target.upstream, False)
        self._last_result = result
        meaning = send_end.MEANINGS.get(end or _ENDS.get(result))
        if meaning is send_end.Meaning.DOUBTED:
            self._server.pool.withdraw(target, self)
        self._server.pool.remove_in_flight(target, self)
        self._server.metrics.inc('attempts_total', result=result)
        latency = now - (self._sent_at or now)
        # Without a path, the failures say nothing about the upstreams.
        if result not in ('connect', 'loss', 'deadline') or not path.lost:
            self._hooks.record_result(target.upstream, result, latency, now)
        target.release(result)

    # Events of the upstream connection

    def on_response_head(self, event):
        """Process the status line and headers of the response."""
        self._server.path.on_answer()
        headers = list(event.headers)
        values = dict(headers)
        echo = values.get(b'jasminehold-request')
        if echo is not None:
            self._upstream.echoes_request_id = True
        # A duplicate response to an earlier request can arrive after the
        # connection was reused for this one.
        is_refusal = (
            event.status_code in (503, 504)
            and values.get(b'jasminehold-run') == b'not-run'
        )
        must_name = self._upstream.echoes_request_id or (
            is_refusal and self._upstream.is_reused
        )
        if must_name and echo != self._id:
            self._server.metrics.inc('answers_foreign_total')
            self._on_malformed_response()
            return
        if is_refusal:
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
            # Without framing, a truncated response looks complete.
            self._server.metrics.inc('answers_unframed_total')
            self._on_malformed_response()
            return
        forwarded = strip_headers(headers, _RESPONSE_HEADERS_DROPPED)
        forwarded.append((b'jasminehold-run', b'ran'))
        self._response = (event.status_code, forwarded)
        self.on_event(Event.ANSWER_HEAD)
        if not self._state.detached:
            self._caller.start_response(event.status_code, forwarded)

    def on_response_body(self, data):
        """Forward a chunk of the response body."""
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
        """Process the end of the response.

        The connection is already back in the pool or closed.
        """
        self._upstream = None
        if self._refused:
            self._end_attempt('refused')
            self.on_event(Event.REFUSED)
            return
        failed = self._response[0] >= 500
        self._end_attempt('error' if failed else 'ok')
        self.on_event(Event.ANSWER_END)

    def on_connection_lost(self, exc):
        """Process the loss of the connection before the response ended."""
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

        # This and the other instances must know whether the upstream crashed
        # before this request or a copy of it is sent to another upstream.
        self._server.pool.check_for_crash(target, self, on_checked)
        self._end_attempt('loss')

    def on_upstream_drain(self):
        """Resume reading the request body after the send buffer drained."""
        self._caller.resume_body()

    def _on_malformed_response(self):
        self._end_attempt('loss', send_end.End.SPOILT)
        self.on_event(Event.LOSS)


_NO_PATH = hooks_module.Refusal(Kind.UNAVAILABLE, instance_path.RETRY_AFTER_S)
_BODILESS_STATUSES = (204, 304)
# Ends of sends by result. After a loss the pool checks for a crash.
_ENDS = {
    'ok': send_end.End.ANSWERED,
    'error': send_end.End.ANSWERED,
    'refused': send_end.End.REJECTED,
    'deadline': send_end.End.DEADLINE,
    'cancel': send_end.End.CALLER_GONE,
}
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
