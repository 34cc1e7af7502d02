"""Forwarding of a caller's request to upstreams, with retries."""

import functools
import math

import h11

from jasminehold.decisions import answer_times
from jasminehold.decisions import planned_stop
from jasminehold.decisions import relay_choice
from jasminehold.decisions import request_digest
from jasminehold.decisions import send_end
from jasminehold.decisions import sends
from jasminehold.decisions import urgency
from jasminehold import errors
from jasminehold.front import relay as relay_module
from jasminehold.front import steering as steering_module
from jasminehold.front import upstream_conn
from jasminehold.platform import wire
from jasminehold.proxy import exchange as proxy_exchange

End = send_end.End
Kind = errors.Kind

# A retry needs at least this fraction of the route's latency target before
# the deadline; with less the response could not arrive in time.
MIN_TIME_LEFT_FRACTION = 0.1
# Lost attempts after which a request, which may be what crashes the
# upstreams, is not sent again.
CRASHES_MAX = 2
# Upstreams tried for one request, including those that could not be
# connected to, before it fails.
UPSTREAMS_TRIED_MAX = 6
# Interval at which a request that is held asks whether it may be sent.
HELD_CHECK_S = 0.05
# Retries at an upstream that rejected the request while reporting free slots.
SAME_UPSTREAM_RETRIES_MAX = 2
_MAX_DEADLINE_MS = 24 * 3600 * 1000

_REQUEST_HEADERS_DROPPED = proxy_exchange.HOP_BY_HOP | {
    b'expect',
    b'content-length',
    wire.DEADLINE_MS,
    wire.EXPECT_INSTANCE,
}
_RESPONSE_HEADERS_DROPPED = proxy_exchange.HOP_BY_HOP | {b'content-length'}
# Ends for which the line of the request is enough.
_EXPLAINED = (None, End.ANSWERED, End.REJECTED, End.MISDIRECTED)


class Exchange:
    """Forwards one request to upstreams and returns the response.

    Args:
        port: the :class:`ExchangeContext`.
        inbound: the caller's :class:`~jasminehold.front.caller.CallerRequest`.
    """

    def __init__(self, port, inbound):
        self._context = port
        self._loop = port.loop
        self._steering = port.steering
        self._crash_guard = port.crash_guard
        self._inbound = inbound
        self._header_values = dict(inbound.headers)
        self._id = self._header_values.get(wire.REQUEST_ID)
        self._route = None
        self._sender = None
        self._service = None
        self._key = ''
        self._deadline = 0.0
        self._timer = None
        self._choice = None
        self._conn = None
        self._sent_at = None
        # Sends here and at the instance that relayed the request.
        self._send_count = 0
        self._sends = sends.Sends()
        self._crashes = 0
        self._caller_retry = False
        self._caller_left_s = _MAX_DEADLINE_MS / 1000
        # Ids of upstreams that got the request, and of those to exclude.
        self._sent_to = set()
        self._tried = set()
        # Connections on which a rejection of it may come again.
        self._used_conns = []
        self._same_upstream_retries = 0
        self._attempts = []
        self._owners = ()
        self._ended = False
        self._last_failure = None
        self._cached_digests = None
        # Set for a request that another instance relayed.
        self._origin = None
        self._relay_send = None
        self._relays = 0
        self._helpers_tried = set()
        self._connect_failures = 0
        self._path_retry_asked = False
        self._is_trial = False
        self._is_probe = False
        # Of the account's quota, once the account is known.
        self._token = None
        # Of the time that it takes, once it may be sent.
        self._timing = None

    def start(self):
        """Match the route and send the request, or answer with an error."""
        inbound = self._inbound
        relay = self._context.relay
        origin = relay.origin(inbound)
        if origin is not None:
            has_room = relay.has_room()
            self._origin = origin
            self._is_probe = origin.is_probe
            self._send_count = origin.sends
            relay.helped += 1
            if not has_room:
                self._fail(Kind.UNAVAILABLE, None, 'too many relayed')
                return
        now = inbound.arrived_at
        route = self._steering.route(*self._address(), self._loop.now())
        if isinstance(route, Kind):
            self._fail(route, self._retry_after_s())
            return
        sender = self._context.accounts.sender(route, inbound, origin, now)
        if isinstance(sender, Kind):
            self._fail(sender, self._retry_after_s(), 'account')
            return
        self._sender = sender
        self._token = self._context.quotas.token(sender.account)
        self._route = route = sender.route
        self._sends = sends.Sends(
            route.idempotent, origin.sent_to if origin else ()
        )
        remaining_s = route.timeout_s
        stated_ms = self._header_values.get(wire.DEADLINE_MS, b'')
        if stated_ms.isdigit():
            stated_s = min(int(stated_ms), _MAX_DEADLINE_MS) / 1000
            self._caller_left_s = stated_s
            if origin is None:
                self._caller_retry = self._steering.is_caller_retry(
                    route, stated_s
                )
            remaining_s = min(remaining_s, stated_s)
        self._deadline = now + remaining_s
        if origin is None:
            self._service = self._steering.service(
                route, now, self._caller_retry
            )
        else:
            self._caller_retry = origin.returned
            self._service = self._steering.relayed_service(
                route, origin.service
            )
        self._key = wire.object_key(inbound.headers)
        if self._key:
            # Upstreams cache an object separately for each route.
            self._key = '%s/%s' % (route.name, self._key)
        self._timer = self._loop.call_later(remaining_s, self._on_deadline)
        inbound.on_disconnect = self._on_caller_disconnect
        self._context.exchanges.add(self)
        self._timing = self._context.answer_times.begin(route.name, now)
        self._start_attempt()

    def _address(self):
        return address_of(self._inbound)

    def on_config(self):
        """End at the time-out now in force, if that is earlier."""
        route = self._steering.table.match(*self._address())
        if route is None:
            return
        ends_at = self._inbound.arrived_at + route.timeout_s
        if ends_at < self._deadline:
            self._deadline = ends_at
            self._timer.cancel()
            left_s = max(ends_at - self._loop.now(), 0.0)
            self._timer = self._loop.call_later(left_s, self._on_deadline)

    def _start_attempt(self):
        now = self._loop.now()
        # The key was checked at the arrival; a token may have taken a while.
        waited = self._attempts or self._token.is_held or self._origin
        if waited and not self._context.accounts.is_valid(
            self._sender, self._inbound, self._origin, now
        ):
            reason = 'key no longer valid'
            self._give_up(Kind.UNAVAILABLE, self._retry_after_s(), reason)
            return
        quarantine_s = 0.0
        if self._crash_guard.active:
            quarantine_s = self._crash_guard.quarantine_s(self._digests())
        if quarantine_s and not self._is_probe:
            if not self._ask_probe():
                self._end_quarantined(quarantine_s)
            return
        if not self._ends_in_time(now):
            self._end_leaving()
            return
        if self._context.path.lost and not self._begin_trial():
            self._start_relay()
            return
        if self._crashes and self._start_elsewhere():
            return
        guard = self._crash_guard
        if guard.has_open_cases and guard.is_held(self._digests()):
            self._start_held()
            return
        if self._token.is_needed(now):
            self._token.take(now, self._on_quota)
            return
        remaining_s = self._deadline - now
        found = self._steering.pick(
            self._route,
            self._service,
            self._key if self._route.sticky else '',
            str(self._id),
            self._excluded_upstreams(),
            self._allowed_upstreams(),
            remaining_s,
            now,
            None if self._tried else self._caller(now),
        )
        if isinstance(found, steering_module.Refusal):
            self._owners = found.owners
            self._give_up(found.kind, found.retry_after_s, found.reason)
            return
        if not self._ends_in_time(now, found.run.wait_s + found.run.run_s):
            self._end_leaving()
            return
        self._choice = found
        entry = found.upstream.entry
        self._tried.add(entry.id)
        self._steering.on_sent(found, now)

        path = self._context.path

        def ready(conn, reused):
            if not reused:
                path.on_opened()
            if self._choice is not found:
                self._context.pool.put_back(conn)
            elif self._token.is_needed(self._loop.now()):
                # The connection took longer than the token holds.
                self._context.pool.put_back(conn)
                self._tried.discard(entry.id)
                self._release('not sent: quota')
                self._start_attempt()
            elif self._steering.is_usable(
                found, self._loop.now()
            ) and self._ends_in_time(self._loop.now()):
                self._send(conn, reused)
            else:
                self._context.pool.put_back(conn)
                self._release('not sent: no longer usable')
                self._start_attempt()

        def failed(exc):
            if self._choice is found:
                self._on_connect_failed(exc)

        path.begin(self, entry.id, False)
        self._context.pool.acquire(
            (entry.host, entry.port),
            not self._route.idempotent,
            ready,
            failed,
            avoid=self._used_conns,
        )

    def _ends_in_time(self, now, expected_s=0.0):
        # Whether an instance that stops may still pass it on.
        return self._context.ends_in_time(
            self._route, self._deadline - now, now, expected_s
        )

    def _end_leaving(self):
        kind = Kind.NOT_RUN if self._sent_to else Kind.LEAVING
        self._give_up(kind, planned_stop.RETRY_AFTER_S, 'leaving')

    def _excluded_upstreams(self):
        closed = self._sends.closed
        if not closed:
            return self._tried
        return self._tried | self._steering.upstreams_at(closed)

    def _caller(self, now):
        account = self._sender.account
        left_s = self._inbound.arrived_at + self._caller_left_s - now
        path = self._inbound.target.decode('latin-1')
        return urgency.Caller(
            '%s %s %s' % (self._account_name(), self._peer(), path),
            self._steering.waited_s(self._route, left_s),
            left_s,
            self._account_name(),
            account.rate_per_s if account else 0.0,
        )

    def _on_quota(self, wait_s):
        # ``wait_s``: None if the request may go.
        if self._ended:
            self._token.give_back()
        elif wait_s is None:
            self._start_attempt()
        else:
            self._give_up(Kind.OVER_QUOTA, wait_s, 'quota')

    def _allowed_upstreams(self):
        return None if self._attempts_left() > 0 else self._sent_to

    def _attempts_left(self):
        # Upstreams that may still get the request.
        before = self._origin.sends if self._origin else 0
        return self._route.max_attempts - before - len(self._sent_to)

    def _send(self, conn, reused):
        now = self._loop.now()
        self._conn = conn
        self._token.use()
        self._sent_at = now
        self._send_count += 1
        self._sent_to.add(self._choice.upstream.entry.id)
        self._sends.begin(conn.key)
        self._used_conns.append(conn)
        self._context.path.begin(self, self._choice.upstream.entry.id, True)
        left_ms = max(int((self._deadline - now) * 1000), 1)
        headers = proxy_exchange.strip_headers(
            self._inbound.headers,
            _REQUEST_HEADERS_DROPPED | self._context.accounts.headers,
            relay_module.OWN_PREFIX,
        )
        headers.append((wire.DEADLINE_MS, b'%d' % left_ms))
        expected = self._choice.upstream.entry.id.encode()
        headers.append((wire.EXPECT_INSTANCE, expected))
        account = self._sender.account
        if account is not None:
            headers.append((wire.ACCOUNT, account.name.encode()))
        body = self._inbound.body
        if body or b'content-length' in self._header_values:
            headers.append((b'content-length', b'%d' % len(body)))
        elif b'transfer-encoding' in self._header_values:
            headers.append((b'content-length', b'0'))
        request = h11.Request(
            method=self._inbound.method,
            target=self._inbound.target,
            headers=headers,
        )
        conn.send(request, body, self._id, self._on_answer)

    def _release(self, outcome, limit=None, end=None):
        # ``end``: the ``End`` of an attempt that was sent.
        choice, self._choice = self._choice, None
        self._conn = None
        if end is not None:
            self._sends.end(may_have_run=end not in send_end.NOT_RUN)
            self._context.metrics.inc('sends_ended_total', how=end.value)
            self._crash_guard.on_end(
                self._digests, choice.upstream, end, self._is_trial
            )
        self._is_trial = False
        if end not in _EXPLAINED:
            self._context.log(
                'send unanswered',
                id=(self._id or b'').decode('latin-1'),
                content=self._digests()[0].hex(),
                upstream=choice.upstream.entry.id,
                how=end.value,
            )
        self._context.path.end(self)
        if end in send_end.NOT_RUN:
            self._token.keep()
        given_up = end is End.DEADLINE
        self._steering.on_end(choice, not given_up, self._loop.now())
        attempt = dict(
            choice.why, upstream=choice.upstream.entry.id, end=outcome
        )
        if limit is not None:
            attempt['limit'] = limit
        self._attempts.append(attempt)
        return choice

    def _on_connect_failed(self, exc):
        self._end_trial(False)
        choice = self._release('connect: %s' % exc)
        now = self._loop.now()
        path = self._context.path
        self._connect_failures += 1
        if not isinstance(exc, upstream_conn.LimitReached):
            path.on_failed(choice.upstream.entry.id, True)
            if not path.lost:
                self._steering.on_failed(choice, 'connect', now)
        if self._start_single_relay():
            return
        if len(self._tried) <= UPSTREAMS_TRIED_MAX:
            self._start_attempt()
        else:
            self._give_up(Kind.NOT_RUN, None, 'no upstream could be reached')

    # Through another instance.

    def _begin_trial(self):
        # Whether this request finds out if the path is back.
        path = self._context.path
        self._is_trial = (
            path.may_try
            and self._route.idempotent
            and not self._sent_to
            and not self._crash_guard.is_known(self._digests())
        )
        if self._is_trial:
            path.begin_trial()
        return self._is_trial

    def _end_trial(self, answered):
        if self._is_trial:
            self._context.path.end_trial(answered)

    def _start_elsewhere(self):
        # After a loss here that may be due to the path.
        helper = self._helper() if self._context.path.suspected else None
        if helper is not None:
            self._relay(helper, False)
        return helper is not None

    def _start_relay(self):
        # This instance has no path to the upstreams.
        helper = self._helper()
        if helper is not None:
            self._relay(helper, False)
            return
        nothing_sent = self._origin is not None and not self._sent_to
        kind = Kind.UNAVAILABLE if nothing_sent else Kind.NOT_RUN
        self._give_up(kind, self._retry_after_s(), 'no path')

    def _start_held(self):
        # Another instance sends it, or it waits until it may be sent.
        helper = self._helper()
        if helper is not None:
            self._relay(helper, False)
        elif self._origin is not None:
            nothing_sent = not self._sent_to
            kind = Kind.UNAVAILABLE if nothing_sent else Kind.NOT_RUN
            self._give_up(kind, self._retry_after_s(), 'held')
        else:
            self._loop.call_later(HELD_CHECK_S, self._end_hold)

    def _end_hold(self):
        if not self._ended:
            self._start_attempt()

    def _start_single_relay(self):
        # Connections that are open may live on while new ones fail.
        if (
            self._connect_failures != relay_choice.CONNECT_FAILURES
            or self._sent_to
            or self._relays
            or not self._context.relay.may_relay_one(self._service)
        ):
            return False
        helper = self._helper()
        if helper is None:
            return False
        self._relay(helper, True)
        return True

    def _helper(self):
        if (
            self._origin is not None
            or self._relays >= relay_choice.RELAYS_MAX
            or self._attempts_left() <= 0
        ):
            return None
        return self._context.relay.helper(
            self._route.home_regions, self._helpers_tried
        )

    def _relay(self, helper, single):
        self._token.give_back()
        self._relays += 1
        self._helpers_tried.add(helper.id)
        origin = relay_module.Origin(
            self._context.relay.own_id,
            self._inbound.peer,
            self._caller_retry,
            self._service,
            len(self._sent_to),
            *self._sender.for_relay(self._loop.now()),
            sent_to=tuple(sorted(self._sends.closed)),
            is_probe=self._is_probe,
        )

        def done(send, answer, exc):
            self._on_relayed(send, answer, exc, single)

        self._relay_send = self._context.relay.send(
            helper,
            self._inbound,
            origin,
            self._deadline,
            not self._route.idempotent,
            done,
            self._on_helper_silent,
        )

    def _on_helper_silent(self):
        # An order that was sent there waits on: it may run when the instance
        # goes on.
        if not self._relay_send.sent:
            self._end_relay('not reached: silent')
            self._start_attempt()
        elif self._route.idempotent and self._helper() is not None:
            granted, note = self._take_retry(self._loop.now())
            if granted:
                self._sends.end(may_have_run=True)
                self._end_relay('silent')
                self._attempts[-1]['repeat'] = note
                self._last_failure = upstream_conn.ResponseError('silent')
                self._start_attempt()

    def _end_relay(self, outcome, answered=False):
        send, self._relay_send = self._relay_send, None
        send.cancel()
        self._context.relay.on_end(send, outcome, answered)
        self._attempts.append({'instance': send.helper.id, 'end': outcome})

    def _on_relayed(self, send, answer, exc, single):
        kind = None
        if answer is not None and answer.get(wire.SEAL) is None:
            kind = errors.kind_of(answer.get(b'jasminehold-error'))
        if answer is not None and kind is not None:
            self._end_relay(kind.value, answered=True)
            self._on_relay_error(kind, answer, single)
        elif isinstance(exc, relay_module.NotReached):
            self._end_relay('not reached: %s' % exc)
            self._start_attempt()
        elif answer is None or answer.get(wire.SEAL) is None:
            self._end_relay('lost: %s' % (exc or 'not its response'))
            self._sends.end(may_have_run=True)
            self._last_failure = exc or ValueError('not its response')
            self._end_failed('lost')
        else:
            self._end_relay('%d' % answer.status, answered=True)
            self._deliver(answer)

    def _on_relay_error(self, kind, answer, single):
        step, kind = relay_choice.after_error(kind)
        sent_to = relay_module.read_sent_to(answer)
        # Versions that do not tell where they sent an order may have sent it
        # to one upstream twice, and taken one rejection for both.
        is_told = self._route.idempotent or sent_to is not None
        says_not_run = errors.answer_for(kind).run is errors.Run.NOT_RUN
        if not (is_told and says_not_run):
            self._sends.end(may_have_run=True)
        self._sends.add_elsewhere(sent_to or ())
        retry_after_s = wire.decode_retry_after(
            answer.get(wire.RETRY_AFTER) or b''
        )
        now = self._loop.now()
        if not is_told:
            reason = 'through another instance of an older version'
            self._give_up(kind, retry_after_s, reason)
            return
        if step is relay_choice.Step.OTHER or (
            single and kind is Kind.OVERLOADED
        ):
            self._start_attempt()
            return
        if step is relay_choice.Step.RETRY:
            if single:
                self._context.relay.pause_service(self._service)
            # A single request has upstreams here that were not tried.
            may_go_on = single or self._helper() is not None
            if may_go_on and self._allow_retry(now):
                self._start_attempt()
                return
        self._give_up(kind, retry_after_s, 'through another instance')

    def on_path_lost(self):
        """Act on the news that this instance has no path to the upstreams.

        What was not sent is sent through another instance; what may have
        reached an upstream only if it is idempotent and nothing is heard.
        """
        if self._choice is None:
            return
        if self._conn is None:
            self._release('not sent: no path')
            self._start_attempt()
            return
        if (
            not self._route.idempotent
            or self._path_retry_asked
            or not self._context.path.is_silent(self._sent_at)
            or self._helper() is None
        ):
            return
        self._path_retry_asked = True
        granted, note = self._take_retry(self._loop.now())
        if granted:
            self._cancel('no path', End.PATH_SILENT)
            self._attempts[-1]['repeat'] = note
            self._last_failure = upstream_conn.ResponseError('no path')
            self._start_attempt()

    # Responses of upstreams.

    def _on_answer(self, answer, exc):
        now = self._loop.now()
        path = self._context.path
        entry = self._choice.upstream.entry
        end = self._end_of(answer, exc)
        cut = exc is not None and exc.cut
        if cut:
            path.on_failed(entry.id, False)
        else:
            path.on_answer()
        self._end_trial(not cut)
        if cut and path.lost:
            self._on_lost_to_path(exc, now, end)
            return
        limit = None
        if answer is not None:
            limit = self._apply_statements(answer, now)
        if self._ended:
            # The caller has disconnected: send nothing more for it.
            self._release('after the caller left', limit, end)
            self._token.give_back()
            return
        if exc is not None:
            self._on_loss(exc, now, end)
            return
        load = answer.get(wire.LOAD)
        report = wire.decode_load(load) if load else None
        if report is not None:
            self._steering.on_report(self._choice, report, now)
        if end in send_end.NOT_RUN:
            self._on_not_run(answer, report, limit, now, end)
            return
        if end in (End.SPOILT, End.DOUBTFUL):
            exc = ValueError('%s response' % end.value)
            self._on_loss(exc, now, end)
            return
        seconds = now - self._sent_at
        choice = self._release('%d' % answer.status, limit, end)
        if answer.status >= 500:
            self._steering.on_failed(choice, 'error', now)
            if self._route.idempotent and self._allow_retry(now):
                self._last_failure = answer
                self._start_attempt()
                return
        else:
            self._steering.on_completed(
                self._route, self._service, self._key, choice, seconds, now
            )
        self._deliver(answer)

    def _apply_statements(self, answer, now):
        # What a response says of its upstream counts also if the caller has
        # left. Returns the limit that it states, or None.
        upstream = self._choice.upstream
        limit = answer.get(wire.LIMIT)
        if limit is not None:
            limit = wire.decode_limit(limit)
        if answer.status == 421:
            # It came from another upstream.
            return limit
        pause_s = answer.get(wire.RETRY_AFTER)
        if answer.status == 503 and pause_s is not None:
            pause_s = wire.decode_retry_after(pause_s)
            if pause_s is not None:
                self._steering.on_pause(upstream, pause_s, now)
        executed = answer.get(wire.NOT_EXECUTED) is None
        complete = executed and answer.get(wire.SEAL) is not None
        self._context.limit_news.on_response(upstream.entry, limit, complete)
        self._context.departures.on_response(
            upstream, wire.decode_leaving(answer.get(wire.LEAVING))
        )
        return limit

    def _on_not_run(self, answer, report, limit, now, end):
        reason = 'misdirected' if end is End.MISDIRECTED else 'shed'
        evidence = self._evidence(answer).value
        self._context.metrics.inc('sends_not_run_total', evidence=evidence)
        if reason == 'shed' and report is None:
            self._choice.load.on_full(now)
        choice = self._release(reason, limit, end)
        self._attempts[-1]['evidence'] = evidence
        has_room = report is not None and report.running < report.slots
        if has_room and self._route.idempotent:
            # The upstream rejects at random while it has free slots; as the
            # key's owner it is still the best choice.
            self._same_upstream_retries += 1
            if self._same_upstream_retries <= SAME_UPSTREAM_RETRIES_MAX:
                self._tried.discard(choice.upstream.entry.id)
        self._steering.on_failed(choice, reason, now)
        if self._allow_retry(now):
            self._start_attempt()
        else:
            self._give_up(Kind.NOT_RUN, self._retry_after_s(), reason)

    def _evidence(self, answer):
        answered_id = answer.get(wire.REQUEST_ID)
        is_named = answered_id is not None and answered_id == self._id
        return self._sends.evidence(is_named)

    def _end_of(self, answer, exc):
        # The ``End`` of the send whose connection delivered a response or
        # failed.
        if exc is not None:
            return exc.end
        if wire.is_rejection(answer.status, answer.headers):
            if not self._sends.shows_not_run(self._evidence(answer)):
                return End.DOUBTFUL
            return End.MISDIRECTED if answer.status == 421 else End.REJECTED
        sealed = answer.get(wire.SEAL) is not None
        whole = answer.get(b'content-encoding') is None
        return End.ANSWERED if sealed and whole else End.SPOILT

    def _on_lost_to_path(self, exc, now, end):
        # The upstream is not to blame.
        self._release('lost with the path: %s' % exc, end=end)
        if self._ended:
            return
        self._last_failure = exc
        if self._route.idempotent and self._allow_retry(now):
            self._start_attempt()
        else:
            self._end_failed('no path')

    def _on_loss(self, exc, now, end):
        conn = self._conn
        choice = self._release('lost: %s' % exc, end=end)
        if conn is not None:
            conn.abort()
        reason = 'endless' if end is End.ENDLESS else 'loss'
        self._steering.on_failed(choice, reason, now)
        self._crashes += 1
        self._last_failure = exc
        if (
            self._route.idempotent
            and self._crashes < CRASHES_MAX
            and not self._crash_guard.is_suspect(self._digests())
            and self._allow_retry(now)
        ):
            self._start_attempt()
        else:
            self._end_failed('lost')

    def _allow_retry(self, now):
        granted, note = self._take_retry(now)
        if note:
            self._attempts[-1]['repeat'] = note
        return granted

    def _take_retry(self, now):
        # Returns whether a token was taken, and the log's note on it.
        if self._is_probe:
            return False, None
        remaining_s = self._deadline - now
        sends_max = self._route.max_attempts
        if self._route.idempotent:
            sends_max += SAME_UPSTREAM_RETRIES_MAX
        if self._send_count >= sends_max:
            return False, None
        if (
            remaining_s
            <= MIN_TIME_LEFT_FRACTION * self._route.latency_target_s
        ):
            return False, None
        use = self._steering.retry_use(self._service, now)
        granted = self._steering.allow_retry(
            self._route, self._service, self._caller_retry, now
        )
        self._context.metrics.inc(
            'repeats_total',
            service=self._service,
            outcome='granted' if granted else 'over_budget',
        )
        usage = {
            name: round(value, 1) for name, value in use._asdict().items()
        }
        return granted, dict(usage, granted=granted)

    def _digests(self):
        # Of the content, and of the content from this caller: requests of
        # other callers may share the content without crashing anything.
        if self._cached_digests is None:
            inbound = self._inbound
            host = self._header_values.get(b'host', b'')
            content = request_digest.of_request(
                (inbound.method, host, inbound.target), (inbound.body,)
            )
            self._cached_digests = (
                content,
                request_digest.of_request((content, self._peer().encode())),
            )
        return self._cached_digests

    def _account_name(self):
        account = self._sender.account if self._sender else None
        return account.name if account else ''

    def _peer(self):
        return self._origin.peer if self._origin else self._inbound.peer

    def _ask_probe(self):
        # Whether it waits for an answer that may let it be sent once.
        return (
            self._route.idempotent
            and self._origin is None
            and not self._sent_to
            and self._crash_guard.ask_probe(
                self._digests(), self._on_probe_answer
            )
        )

    def _on_probe_answer(self, granted):
        if self._ended:
            return
        self._is_probe = granted
        left_s = self._crash_guard.quarantine_s(self._digests())
        if left_s and not granted:
            self._end_quarantined(left_s)
        else:
            self._start_attempt()

    def _end_quarantined(self, seconds):
        self._context.metrics.inc('requests_quarantined_total')
        self._give_up(Kind.QUARANTINED, seconds, 'quarantined')

    def _retry_after_s(self):
        return steering_module.MIN_RETRY_AFTER_S * (
            0.75 + 0.5 * self._context.rng.random()
        )

    def _give_up(self, kind, retry_after_s, reason):
        # Ends a request that is not sent again. The caller is told that it
        # has not run only if no send may have.
        is_promise = errors.answer_for(kind).run is errors.Run.NOT_RUN
        doubtful = self._last_failure is not None or self._sends.may_have_run
        if is_promise and doubtful:
            self._end_failed(reason)
        else:
            self._fail(kind, retry_after_s, reason)

    def _end_failed(self, reason):
        # Ends a request that was sent and may have been executed.
        if isinstance(self._last_failure, upstream_conn.Response):
            self._deliver(self._last_failure)
        elif self._route.idempotent:
            self._fail(Kind.UPSTREAM_FAILED, self._retry_after_s(), reason)
        else:
            self._fail(Kind.OUTCOME_UNKNOWN, None, reason)

    def _deliver(self, answer):
        status = answer.status
        if status in wire.NOT_RUN_STATUSES and not self._route.idempotent:
            self._fail(Kind.OUTCOME_UNKNOWN, None, 'status %d' % status)
            return
        headers = proxy_exchange.strip_headers(
            answer.headers, _RESPONSE_HEADERS_DROPPED
        )
        self._finish('%d' % status)
        # Keeps nothing of the request for callers that read slowly.
        self._inbound.on_taken = functools.partial(
            self._context.on_taken, self._timing
        )
        self._inbound.answer(status, headers, answer.body)

    def _on_deadline(self):
        if self._ended:
            return
        self._cancel('deadline', End.DEADLINE)
        if isinstance(self._last_failure, upstream_conn.Response):
            self._deliver(self._last_failure)
            return
        self._context.answer_times.end(self._timing, self._loop.now())
        may_have_run = self._sends.may_have_run
        kind = Kind.DEADLINE_UNKNOWN if may_have_run else Kind.NOT_RUN
        self._fail(kind, self._retry_after_s(), 'deadline')

    def _on_caller_disconnect(self):
        if self._ended:
            return
        if self._conn is not None and not self._route.idempotent:
            # The request may be running; the upstream finishes it.
            self._finish('caller gone')
            return
        self._cancel('caller gone', End.CALLER_GONE)
        self._finish('caller gone')

    def _cancel(self, reason, end):
        if self._relay_send is not None:
            self._sends.end(may_have_run=self._relay_send.sent)
            self._end_relay(reason)
        if self._choice is None:
            return
        conn = self._conn
        self._release(reason, end=end if conn is not None else None)
        if conn is not None:
            conn.abort()

    def _fail(self, kind, retry_after_s=None, reason=''):
        self._finish(kind.value, reason)
        headers = []
        if self._origin is not None:
            headers = relay_module.error_headers(
                self._id, self._sends.addresses
            )
        self._inbound.fail(kind, retry_after_s, headers=headers)

    def _finish(self, outcome, reason=''):
        self._ended = True
        if self._token is not None:
            self._token.give_back()
        if self._timing is not None:
            self._context.answer_times.answered(self._timing)
        if self._timer is not None:
            self._timer.cancel()
        self._context.exchanges.discard(self)
        if self._origin is not None:
            self._context.relay.on_helped(outcome)
        now = self._loop.now()
        seconds = now - self._inbound.arrived_at
        route = self._route.name if self._route else ''
        metrics = self._context.metrics
        metrics.inc('requests_total', route=route, outcome=outcome)
        metrics.observe('request_seconds', seconds, route=route)
        table = self._steering.table
        age_s = self._steering.copy_age(now)
        content = ''
        if self._crashes or outcome == Kind.QUARANTINED.value:
            content = self._digests()[0].hex()
        self._context.log(
            'request ended',
            id=(self._id or b'').decode('latin-1'),
            route=route,
            service=self._service,
            account=self._account_name(),
            config=table.version if table else None,
            copy_age_s=None if math.isinf(age_s) else round(age_s, 2),
            object=self._key,
            content=content,
            peer=self._peer(),
            outcome=outcome,
            reason=reason,
            returned=self._caller_retry,
            relayed_by=self._origin.instance if self._origin else '',
            seconds=round(seconds, 4),
            left_s=round(self._deadline - now, 3),
            sends=self._attempts,
            owners=self._owners,
            **self._quota_note(reason),
        )

    def _quota_note(self, reason):
        if reason != 'quota':
            return {}
        return {'quota': self._context.quotas.note(self._sender.account)}


def address_of(inbound):
    """Return the host without port, and the path, of a request.

    Args:
        inbound: the :class:`~jasminehold.front.caller.CallerRequest`.
    """
    host = dict(inbound.headers).get(b'host', b'').decode('latin-1')
    return host.partition(':')[0], inbound.target.decode('latin-1')


class ExchangeContext:
    """Objects of the instance that its exchanges share.

    Attributes:
        exchanges: set of the exchanges in flight.
        answer_times: the :class:`~decisions.answer_times.AnswerTimes`.
        planned_stop: the :class:`~decisions.planned_stop.PlannedStop` of
            this instance, None until it is told to stop.
    """

    def __init__(
        self,
        loop,
        steering,
        pool,
        crash_guard,
        limit_news,
        departures,
        path,
        relay,
        accounts,
        quotas,
        metrics,
        rng,
        log,
    ):
        self.loop = loop
        self.steering = steering
        self.accounts = accounts
        self.quotas = quotas
        self.pool = pool
        self.crash_guard = crash_guard
        self.limit_news = limit_news
        self.departures = departures
        self.path = path
        self.relay = relay
        self.metrics = metrics
        self.rng = rng
        self.log = log
        self.exchanges = set()
        self.answer_times = answer_times.AnswerTimes()
        self.planned_stop = None

    def ends_in_time(self, route, left_s, now, expected_s=0.0):
        """Return whether a request is over before this instance ends.

        Args:
            route: its route.
            left_s: seconds until its deadline.
            now: monotonic seconds.
            expected_s: seconds that it takes at least, as expected.
        """
        if self.planned_stop is None:
            return True
        expected_s = max(
            expected_s,
            self.answer_times.expected_s(
                route.name, route.latency_target_s, now
            ),
        )
        return self.planned_stop.ends_in_time(expected_s, left_s, now)

    def on_taken(self, timing):
        """Note that a caller has taken a whole answer.

        Args:
            timing: the :class:`~decisions.answer_times.Timing`.
        """
        self.answer_times.end(timing, self.loop.now())

    def may_end_in_time(self, inbound):
        """Return whether a request may be over before this instance ends.

        Args:
            inbound: a :class:`~front.caller.CallerRequest` whose body is
                being received.
        """
        now = self.loop.now()
        host, path = address_of(inbound)
        route = self.steering.route(host, path, now)
        if isinstance(route, Kind):
            return True
        return self.ends_in_time(route, route.timeout_s, now)

    def on_request(self, inbound):
        """Start the exchange for a complete request."""
        Exchange(self, inbound).start()

    def on_path_lost(self):
        """Let all exchanges act on it; see :meth:`Exchange.on_path_lost`."""
        for item in list(self.exchanges):
            item.on_path_lost()

    def on_config(self):
        """Let all exchanges apply the configuration now in force."""
        for item in list(self.exchanges):
            item.on_config()
