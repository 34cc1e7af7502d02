"""Sends requests through another instance, and tells who has no path.

A request goes to the callers' address of the other instance, with a marker
that proves its origin. It is relayed once only.

Messages on the streams between instances: ``path_state``, whether the sender
has lost its path to the upstreams, with the age of that in seconds;
``sign_of_life``, which is answered with an empty message.
"""

import base64
import binascii
import hashlib
import hmac
import math
import typing

import h11
import msgpack

from jasminehold.decisions import helper_watch
from jasminehold.decisions import relay_choice
from jasminehold.front import upstream_conn
from jasminehold.platform import wire
from jasminehold.proxy import exchange as proxy_exchange

# Headers of instances; what a caller sends under such a name goes no further.
OWN_PREFIX = b'jasminehold-'
MARKER = b'jasminehold-relay'
# Of errors of a helping instance: the addresses to which it sent the request.
SENT_TO = b'jasminehold-sent-to'
_DOMAIN = b'jasminehold relay 1'
# A helping instance has a link to this one, so it answers at once.
CONNECT_TIMEOUT_S = 0.5
# Time for which requests of a service that no instance reaches are not
# relayed one by one.
SERVICE_PAUSE_S = 2.0
# Time after which nothing waits for a sign of life any more.
SIGN_TIMEOUT_S = 2.0
_REQUEST_HEADERS_DROPPED = proxy_exchange.HOP_BY_HOP | {
    b'expect',
    b'content-length',
    wire.DEADLINE_MS,
}
# Fields of an ``Origin`` that versions without accounts read.
_ORIGIN_FIELDS_WITHOUT_ACCOUNT = 5


class Origin(typing.NamedTuple):
    """What the first instance says of a request that it relays.

    Attributes:
        instance: id of the first instance, which has counted the request.
        peer: the caller's IP address.
        returned: whether the request is a caller's retry.
        service: its target service.
        sends: upstreams that it was sent to before.
        account: name of the account whose key the first instance has
            checked, '' for none.
        key_valid_s: seconds for which that check holds.
        sent_to: ``(host, port)`` pairs to which the request must not be sent
            again.
        is_probe: whether it is quarantined and may be sent once all the same.
    """

    instance: str
    peer: str
    returned: bool
    service: str
    sends: int
    account: str = ''
    key_valid_s: float = 0.0
    sent_to: tuple = ()
    is_probe: bool = False


def error_headers(request_id, addresses):
    """Return the headers of an error for the instance that relayed.

    Args:
        request_id: id of the request, bytes or None.
        addresses: ``(host, port)`` pairs to which the request was sent.
    """
    value = ','.join('%s:%d' % address for address in sorted(addresses))
    headers = [(SENT_TO, value.encode())]
    if request_id is not None:
        headers.append((wire.REQUEST_ID, request_id))
    return headers


def read_sent_to(answer):
    """Return the addresses to which a helping instance sent a request.

    Args:
        answer: its :class:`~jasminehold.front.upstream_conn.Response`.

    Returns:
        A list of ``(host, port)`` pairs; None if it does not tell, as
        versions before this header.
    """
    value = answer.get(SENT_TO)
    if value is None:
        return None
    found = []
    for part in filter(None, value.decode('latin-1').split(',')):
        host, _, port = part.rpartition(':')
        if not port.isdecimal() or len(port) > 5:
            return None
        found.append((host, int(port)))
    return found


def _proof(key, receiver, blob, inbound, headers):
    # Of everything that the receiver acts on.
    headers = dict(headers)
    digest = hmac.new(key, digestmod=hashlib.sha256)
    for part in (
        _DOMAIN,
        receiver.encode(),
        blob,
        headers.get(wire.DEADLINE_MS, b''),
        inbound.method,
        headers.get(b'host', b''),
        inbound.target,
        headers.get(wire.REQUEST_ID, b''),
        headers.get(b'cookie', b''),
        inbound.body,
    ):
        digest.update(b'%d:' % len(part) + part)
    return digest.hexdigest().encode()


def marker(key, receiver, origin, inbound, headers):
    """Return the value of the marker header.

    Args:
        key: the secret that the instances share, bytes.
        receiver: id of the helping instance.
        origin: the :class:`Origin`.
        inbound: the :class:`~jasminehold.front.caller.CallerRequest`.
        headers: the other headers that the helping instance gets.
    """
    fields = list(origin)
    # Versions before a field get no value of it, unless it matters.
    if not origin.is_probe:
        fields.pop()
        if not origin.sent_to:
            fields.pop()
            if not origin.account:
                fields = fields[:_ORIGIN_FIELDS_WITHOUT_ACCOUNT]
    blob = base64.urlsafe_b64encode(msgpack.packb(fields))
    return blob + b'.' + _proof(key, receiver, blob, inbound, headers)


def read_marker(key, receiver, inbound):
    """Return the :class:`Origin` of a relayed request, None for others.

    Args:
        key: the secret that the instances share, bytes.
        receiver: id of this instance.
        inbound: the :class:`~jasminehold.front.caller.CallerRequest`.
    """
    headers = dict(inbound.headers)
    blob, _, proof = headers.get(MARKER, b'').partition(b'.')
    if not proof:
        return None
    expected = _proof(key, receiver, blob, inbound, headers)
    if not hmac.compare_digest(expected, proof):
        return None
    try:
        fields = msgpack.unpackb(base64.urlsafe_b64decode(blob))
        origin = Origin(*fields[: len(Origin._fields)])
        return origin._replace(sent_to=tuple(map(tuple, origin.sent_to)))
    except (binascii.Error, TypeError, ValueError, msgpack.UnpackException):
        return None


class RelayedSend:
    """One request that is sent through another instance.

    Attributes:
        helper: the :class:`~decisions.relay_choice.Helper`.
        sent: whether any byte of the request may have left this process.
        on_silent: called without arguments when the instance is found to
            stand still.
    """

    def __init__(self, helper, done, on_silent):
        self.helper = helper
        self.sent = False
        self.on_silent = on_silent
        self._done = done
        self._conn = None

    def begin(self, conn, request, body, request_id):
        """Send the request on a connection to the instance."""
        self.sent = True
        self._conn = conn
        # Errors of versions before ``SENT_TO`` do not name their request.
        conn.send(request, body, request_id, self.finish, names_requests=False)

    @property
    def ended(self):
        """Whether it is over."""
        return self._done is None

    def finish(self, answer, exc):
        """Report the response, or the error."""
        done, self._done = self._done, None
        # The connection is closed, or back in the pool.
        self._conn = None
        if done is not None:
            done(self, answer, exc)

    def cancel(self):
        """Give it up; the other instance sees its caller leave."""
        self._done = None
        if self._conn is not None:
            self._conn.abort()


class Relay:
    """Helping instances, and the requests that go through them.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        cfg: the :class:`~jasminehold.front.cfg.Cfg`.
        key: the secret that the instances share, bytes.
        mesh: the :class:`~jasminehold.peers.mesh.Mesh`.
        pool: the :class:`~jasminehold.front.upstream_conn.UpstreamPool`.
        path: the :class:`~jasminehold.front.path_check.PathCheck`.
        rng: random source.
        metrics: counters.
        log: structured log.

    Attributes:
        helped: requests of other instances in flight here.
        own_id: id of this instance.
        on_change: called when another instance lost or regained its path.
        account_headers: ``() -> names`` of the headers of accounts, which
            stay here.
    """

    def __init__(self, loop, cfg, key, mesh, pool, path, rng, metrics, log):
        self.helped = 0
        self.own_id = cfg.id
        self.on_change = lambda: None
        self.account_headers = frozenset
        self._loop = loop
        self._cfg = cfg
        self._key = key
        self._mesh = mesh
        self._pool = pool
        self._path = path
        self._rng = rng
        self._metrics = metrics
        self._log = log
        self._instances = {}
        self._cut_off = set()
        self._in_flight = {}
        self._paused_until = {}
        self._service_paused_until = {}
        self._watch = helper_watch.HelperWatch()
        self._is_stepping = False
        mesh.handle('path_state', self._on_state)
        mesh.handle('sign_of_life', lambda sender, message, reply: reply({}))
        mesh.on_down = self._on_down

    # Who has no path.

    def cut_off(self):
        """Return the ids of the instances without a path, this one included.

        Only linked instances are known; others tell nothing.
        """
        return self._cut_off | ({self._cfg.id} if self._path.lost else set())

    def tell(self):
        """Tell the linked instances whether this one has a path."""
        self._mesh.broadcast(self._state(0.0))

    def on_link_up(self, name):
        """Tell an instance that may have just started."""
        if self._path.lost:
            self._mesh.send(name, self._state(self._path.lost_s()))

    def _state(self, age_s):
        return {
            'type': 'path_state',
            'lost': self._path.lost,
            'age': round(age_s, 2),
        }

    def _on_state(self, sender, message, reply):
        lost = bool(message['lost'])
        if lost == (sender in self._cut_off):
            return
        (self._cut_off.add if lost else self._cut_off.discard)(sender)
        self._log(
            'instance cut off' if lost else 'instance no longer cut off',
            instance=sender,
            age_s=float(message['age']),
        )
        self.on_change()

    def _on_down(self, name):
        if name in self._cut_off:
            self._cut_off.discard(name)
            self.on_change()

    # Requests of other instances.

    def origin(self, inbound):
        """Return the :class:`Origin` of a relayed request, None for others."""
        if not any(name == MARKER for name, _ in inbound.headers):
            return None
        found = read_marker(self._key, self._cfg.id, inbound)
        if found is None:
            self._metrics.inc('relay_markers_refused_total')
        return found

    def has_room(self):
        """Return whether this instance takes one more relayed request."""
        own = self._instances.get(self._cfg.id)
        return own is None or self.helped < relay_choice.in_flight_max(
            own.room
        )

    # Requests of this instance.

    def on_members(self, instances):
        """Update the instances.

        Args:
            instances: list of :class:`~decisions.instance_sample.Instance`.
        """
        self._instances = {item.id: item for item in instances}
        for name in set(self._paused_until) - set(self._instances):
            del self._paused_until[name]
        self._watch.keep(self._instances)

    def pause_service(self, service):
        """Relay no single requests of a service that others don't reach."""
        until = self._loop.now() + SERVICE_PAUSE_S
        self._service_paused_until[service] = until

    def may_relay_one(self, service):
        """Return whether a request may be relayed while there is a path."""
        return self._loop.now() >= self._service_paused_until.get(service, 0.0)

    def helper(self, homes, tried):
        """Choose a :class:`~decisions.relay_choice.Helper`, or None.

        Args:
            homes: the route's home regions.
            tried: ids of instances to exclude.
        """
        now = self._loop.now()
        found = [
            relay_choice.Helper(
                *item, in_flight=self._in_flight.get(item.id, 0)
            )
            for item in self._instances.values()
            if item.id != self._cfg.id
            and item.id not in tried
            and item.id not in self._cut_off
            and now >= self._paused_until.get(item.id, 0.0)
            and self._is_heard(item.id, now)
            and self._watch.room(item.id, self._last_heard(item.id))
        ]
        place = self._cfg.place
        return relay_choice.choose(
            found, place, self._cfg.places[place], homes, self._rng
        )

    def _is_heard(self, name, now):
        # A process that stands still goes on accepting connections.
        return now - self._last_heard(name) < relay_choice.HELPER_SILENCE_S

    def _last_heard(self, name):
        heard_at = self._mesh.last_heard(name)
        return -math.inf if heard_at is None else heard_at

    def _step_watch(self):
        self._is_stepping = self._watch.waiting
        if not self._is_stepping:
            return
        self._loop.call_later(helper_watch.STEP_S, self._step_watch)
        found = self._watch.step(self._last_heard, self._loop.now())
        for name in found.ask:
            message = {'type': 'sign_of_life'}
            # Any frame is one, also the error of a version without it.
            self._mesh.ask(name, message, SIGN_TIMEOUT_S, lambda *args: None)
        for name, sends in found.silent:
            self._metrics.inc('helpers_silent_total')
            self._log(
                'helping instance silent',
                level='warning',
                instance=name,
                waiting=len(sends),
                heard_s=round(self._loop.now() - self._last_heard(name), 2),
            )
            for send in sends:
                if not send.ended:
                    send.on_silent()

    def send(self, helper, inbound, origin, deadline, fresh, done, on_silent):
        """Send a request through another instance.

        Args:
            helper: the :class:`~decisions.relay_choice.Helper`.
            inbound: the :class:`~jasminehold.front.caller.CallerRequest`.
            origin: the :class:`Origin`.
            deadline: monotonic seconds.
            fresh: whether to use only recently used connections.
            done: ``done(RelayedSend, Response or None, exc)``, called once,
                never before this returns; the error is
                :class:`NotReached` if nothing was sent.
            on_silent: called if the instance is found to stand still.

        Returns:
            The :class:`RelayedSend`.
        """
        name = helper.id
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        send = RelayedSend(helper, done, on_silent)
        now = self._loop.now()
        self._watch.begin(name, send, deadline - now, now)
        if not self._is_stepping:
            self._is_stepping = True
            self._loop.call_later(helper_watch.STEP_S, self._step_watch)

        def ready(conn, reused):
            if send.ended:
                self._pool.put_back(conn)
                return
            left_ms = max(int((deadline - self._loop.now()) * 1000), 1)
            request = self._request(inbound, origin, name, b'%d' % left_ms)
            request_id = dict(inbound.headers).get(wire.REQUEST_ID)
            send.begin(conn, request, inbound.body, request_id)

        def failed(exc):
            if not isinstance(exc, upstream_conn.LimitReached):
                now = self._loop.now()
                self._paused_until[name] = now + relay_choice.UNREACHED_PAUSE_S
            send.finish(None, NotReached(str(exc)))

        host, _, port = helper.address.rpartition(':')
        self._loop.call_soon(
            self._pool.acquire,
            (host, int(port)),
            fresh,
            ready,
            failed,
            CONNECT_TIMEOUT_S,
        )
        return send

    def _request(self, inbound, origin, receiver, deadline):
        headers = proxy_exchange.strip_headers(
            inbound.headers,
            _REQUEST_HEADERS_DROPPED | self.account_headers(),
            OWN_PREFIX,
        )
        headers.append((wire.DEADLINE_MS, deadline))
        if origin.account:
            # A helping instance of a version without accounts passes it on.
            headers.append((wire.ACCOUNT, origin.account.encode()))
        value = marker(self._key, receiver, origin, inbound, headers)
        headers.append((MARKER, value))
        named = {name for name, _ in inbound.headers}
        if inbound.body or named & {b'content-length', b'transfer-encoding'}:
            headers.append((b'content-length', b'%d' % len(inbound.body)))
        return h11.Request(
            method=inbound.method, target=inbound.target, headers=headers
        )

    def on_end(self, send, outcome, answered):
        """Count a request through another instance that has ended.

        Args:
            send: the :class:`RelayedSend`.
            outcome: for the metrics.
            answered: whether that instance has sent a response.
        """
        name = send.helper.id
        self._watch.end(name, send, answered, self._loop.now())
        self._in_flight[name] -= 1
        if not self._in_flight[name]:
            del self._in_flight[name]
        self._metrics.inc(
            'requests_relayed_total', role='sender', outcome=outcome
        )

    def on_helped(self, outcome):
        """Count an ended request of another instance."""
        self.helped -= 1
        self._metrics.inc(
            'requests_relayed_total', role='helper', outcome=outcome
        )

    def gauge_values(self):
        """Return the current ``{gauge name: value}``."""
        return {
            'upstream_path_lost': int(self._path.lost),
            'instances_cut_off': len(self.cut_off()),
            'requests_relayed': sum(self._in_flight.values()),
            'requests_helped': self.helped,
            'helpers_silent': len(self._watch.silent),
        }


class NotReached(upstream_conn.ResponseError):
    """Raised when a helping instance was not reached; nothing was sent."""
