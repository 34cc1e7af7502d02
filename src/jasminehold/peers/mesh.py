"""Links to other instances: reconnects, requests and one-way messages.

Envelope keys: ``m`` message, ``q`` request number, ``r`` request number of a
reply, ``x`` error, ``p`` ping.

Example:
    >>> mesh.handle('loan_ask', on_ask)  # doctest: +SKIP
    >>> mesh.ask('i2', {'type': 'loan_ask'}, 1.0, done)  # doctest: +SKIP
"""

import itertools

from jasminehold import errors
from jasminehold import logs
from jasminehold.peers import link as link_module

BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 5.0
CONNECT_TIMEOUT_S = 2.0
# A network partition drops packets without closing the connection, so idle
# links send pings, and a link from which nothing arrives is closed.
PING_AFTER_IDLE_S = 2.0
SILENCE_TIMEOUT_S = 7.0
# A replaced link stays open this long for messages in transit.
RETIRE_AFTER_S = 5.0
IDLE_TIMEOUT_S = 60.0
TICK_S = 0.5
MAX_QUEUED_MESSAGES = 64
SEED_RETRY_S = 2.0
MAX_PENDING_REQUESTS = 4096
# Bounds unauthenticated connections, so that they cannot use up the file
# descriptors of the process.
MAX_HANDSHAKES = 256

# Interval between two log lines on failed handshakes.
HANDSHAKE_LOG_S = 5.0

# Fixed set of values of the metric label ``reason``; a closing error is
# matched by prefix.
CLOSE_REASONS = (
    'peer does not read',
    'silent',
    'handshake timed out',
    'wrong key',
    'no common key',
    'frame is not authentic',
    'frame is out of sequence',
    'frame of',
    'malformed payload',
    'payload is nested',
    'stopped',
)

_log = logs.get('mesh')


class _Peer:
    def __init__(self):
        self.links = []
        self.connecting = False
        self.connect_failures = 0
        self.reconnect_timer = None
        self.queue = []
        self.last_used_at = 0.0


class Mesh:
    """All links of one instance.

    Args:
        loop: the :class:`loop.Loop`.
        own_id: this instance's id.
        ring: the :class:`link.KeyRing`.
        address_of: ``func(instance_id) -> (host, port) or None``.
        rng: ``random.Random`` for retry jitter.
        metrics: the :class:`metrics.Metrics`.

    Attributes:
        on_up: called with an instance id after its first link is ready.
        on_down: called with an instance id after its last link closed.
    """

    def __init__(self, loop, own_id, ring, address_of, rng, metrics):
        self.own_id = own_id
        self.loop = loop
        self.on_up = lambda instance_id: None
        self.on_down = lambda instance_id: None
        self.address_of = address_of
        self._ring = ring
        self._rng = rng
        self._metrics = metrics
        self._handlers = {}
        self._peers = {}
        self._wanted_peers = frozenset()
        self._pending_requests = {}
        self._request_numbers = itertools.count(1)
        self._listener = None
        self._handshakes = set()
        self._failures_logged_at = -HANDSHAKE_LOG_S
        self._failures_unlogged = 0
        self._closed_link_bytes = [0, 0]
        self._reported_bytes = (0, 0)
        self._stopped = False
        self._tick_timer = loop.call_later(TICK_S, self._tick)

    def listen(self, host, port):
        """Accept links on an address and return the listener."""
        self._listener = self.loop.listen(host, port, self._on_accept)
        return self._listener

    def add_seed(self, host, port):
        """Connect to an address with an unknown instance id.

        Retries until this instance has a ready link to any instance.

        Args:
            host: IP address of the peer.
            port: peer port.
        """
        if self._stopped or self.connected():
            return
        delay = self._rng.uniform(SEED_RETRY_S / 2, SEED_RETRY_S)
        self.loop.call_later(delay, self.add_seed, host, port)

        def on_open(conn):
            self._handshakes.add(self._new_link(conn, ''))

        self._metrics.inc('peer_connects')
        self.loop.connect(
            host, port, on_open, lambda exc: None, CONNECT_TIMEOUT_S
        )

    def handle(self, kind, func):
        """Register ``func(sender_id, message, reply)`` for a message type.

        ``reply(message)`` answers a request once and has no effect for a
        one-way message.
        """
        self._handlers[kind] = func

    def set_peers(self, ids):
        """Set the instances to which links are kept open."""
        self._wanted_peers = frozenset(ids) - {self.own_id}
        for instance_id in self._wanted_peers:
            self._ensure_link(instance_id)

    def connected(self):
        """Return the ids of the instances that have a ready link."""
        return [key for key, peer in self._peers.items() if _ready_link(peer)]

    def is_connected(self, instance_id):
        """Return whether an instance has a ready link."""
        peer = self._peers.get(instance_id)
        return peer is not None and _ready_link(peer) is not None

    def traffic(self):
        """Return ``(received, sent)`` bytes of all links since the start."""
        links = [item for peer in self._peers.values() for item in peer.links]
        received = sum(link.bytes_in for link in links)
        sent = sum(link.bytes_out for link in links)
        return (
            self._closed_link_bytes[0] + received,
            self._closed_link_bytes[1] + sent,
        )

    def last_heard(self, instance_id):
        """Return when a ready link last received a frame, or None."""
        peer = self._peers.get(instance_id)
        link = _ready_link(peer) if peer is not None else None
        return None if link is None else link.last_heard

    def send(self, instance_id, message):
        """Send a one-way message, opening a link if there is none.

        Returns:
            False if the message was certainly not sent. True means that it
            was passed to a link or queued for one, not that it arrived.
        """
        return self._send(instance_id, {'m': message})

    def broadcast(self, message):
        """Send a one-way message to all connected instances."""
        for instance_id in self.connected():
            self.send(instance_id, message)

    def ask(self, instance_id, message, timeout, done):
        """Send a request and wait for its reply.

        Args:
            instance_id: id of the receiver.
            message: the request.
            timeout: seconds.
            done: called once, never before this returns, with
                ``(reply, None)`` or ``(None, PeerError)``. The error's
                ``details['sent']`` is False if the request was certainly not
                sent.
        """
        if len(self._pending_requests) >= MAX_PENDING_REQUESTS:
            self._metrics.inc('peer_asks_refused')
            self.loop.call_soon(done, None, _unsent_error('too many requests'))
            return
        request_number = next(self._request_numbers)
        envelope = {'m': message, 'q': request_number}
        timer = self.loop.call_later(
            timeout, self._finish_request, request_number, None, 'timed out'
        )
        self._pending_requests[request_number] = [
            instance_id,
            done,
            timer,
            envelope,
        ]
        if not self._send(instance_id, envelope):
            self._pending_requests.pop(request_number)
            timer.cancel()
            self.loop.call_soon(done, None, _unsent_error('no link'))

    def set_keys(self, keys):
        """Replace the keys and reconnect links that use another key.

        The side that opened a link opens a new one before the old one closes,
        so no message is lost. Both sides close a link whose key was removed
        after ``RETIRE_AFTER_S``.
        """
        self._ring.replace(keys)
        for instance_id, peer in list(self._peers.items()):
            current = _ready_link(peer)
            if current is None:
                continue
            if self._ring.get(current.key_id) is None:
                self.loop.call_later(RETIRE_AFTER_S, current.close)
            if current.initiated and current.key_id != self._ring.ids[0]:
                self._connect(instance_id, peer)

    def stop(self):
        """Close all links and the listener."""
        self._stopped = True
        self._tick_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for peer in list(self._peers.values()):
            for link in list(peer.links):
                link.close()
        for link in list(self._handshakes):
            link.fail('stopped')

    def _send(self, instance_id, envelope):
        if self._stopped or instance_id == self.own_id:
            return False
        peer = self._peer(instance_id)
        peer.last_used_at = self.loop.now()
        link = _ready_link(peer)
        if link is not None:
            before = link.bytes_out
            try:
                sent = link.send(envelope)
            except errors.PeerError as exc:
                self._metrics.inc('peer_messages_too_large')
                _log('message not sent', level='error', reason=str(exc))
                return False
            if sent:
                self._metrics.inc('peer_messages_sent')
                self._metrics.inc(
                    'peer_bytes_sent_by_type',
                    link.bytes_out - before,
                    type=_message_type(envelope),
                )
            return sent
        if len(peer.queue) >= MAX_QUEUED_MESSAGES or not self._ensure_link(
            instance_id
        ):
            self._metrics.inc('peer_messages_dropped')
            return False
        peer.queue.append(envelope)
        return True

    def _peer(self, instance_id):
        if instance_id not in self._peers:
            self._peers[instance_id] = _Peer()
        return self._peers[instance_id]

    def _ensure_link(self, instance_id):
        peer = self._peer(instance_id)
        if (
            _ready_link(peer)
            or peer.connecting
            or peer.reconnect_timer is not None
        ):
            return True
        return self._connect(instance_id, peer)

    def _connect(self, instance_id, peer):
        address = self.address_of(instance_id)
        if address is None or peer.connecting or self._stopped:
            return peer.connecting
        peer.connecting = True

        def on_open(conn):
            self._handshakes.add(self._new_link(conn, instance_id))

        def on_error(exc):
            self._schedule_reconnect(instance_id, peer)

        self._metrics.inc('peer_connects')
        self.loop.connect(*address, on_open, on_error, CONNECT_TIMEOUT_S)
        return True

    def _schedule_reconnect(self, instance_id, peer):
        peer.connecting = False
        peer.connect_failures += 1
        self._metrics.inc('peer_connect_failures')
        self._drop_queue(peer)
        if instance_id not in self._wanted_peers or self._stopped:
            return
        # Full jitter, so that instances that lost their links at the same time
        # do not reconnect at the same time.
        max_delay = min(
            BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(peer.connect_failures, 9)
        )
        delay = BACKOFF_BASE_S / 2 + self._rng.uniform(0.0, max_delay)

        def reconnect():
            peer.reconnect_timer = None
            if instance_id in self._wanted_peers and not _ready_link(peer):
                self._connect(instance_id, peer)

        peer.reconnect_timer = self.loop.call_later(delay, reconnect)

    def _drop_queue(self, peer):
        queue, peer.queue = peer.queue, []
        for envelope in queue:
            self._metrics.inc('peer_messages_dropped')
            self._finish_request(envelope.get('q'), None, 'no link')

    def _on_accept(self, conn):
        if len(self._handshakes) >= MAX_HANDSHAKES:
            self._metrics.inc('peer_handshakes_refused')
            conn.abort()
            return
        self._handshakes.add(self._new_link(conn, None))

    def _new_link(self, conn, expected_id):
        return link_module.Link(
            self.loop,
            conn,
            self._ring,
            self.own_id,
            expected_id,
            self._on_ready,
            self._on_message,
            self._on_close,
        )

    def _on_ready(self, link):
        self._handshakes.discard(link)
        peer = self._peer(link.peer_id)
        if link.initiated:
            peer.connecting = False
        peer.connect_failures = 0
        peer.last_used_at = self.loop.now()
        old = _ready_link(peer)
        peer.links.append(link)
        if old is None:
            self._metrics.inc('peer_links_opened')
            self.on_up(link.peer_id)
        else:
            # Both sides make the same choice: prefer the link opened by the
            # instance with the lower id, then the newer link.
            own_id_lower = self.own_id < link.peer_id
            surplus = old
            if (
                old.initiated != link.initiated
                and old.initiated == own_id_lower
            ):
                surplus = link
            surplus.retiring = True
            self.loop.call_later(RETIRE_AFTER_S, surplus.close)
        queue, peer.queue = peer.queue, []
        for envelope in queue:
            # Skip requests that timed out in the queue.
            if 'q' not in envelope or envelope['q'] in self._pending_requests:
                self._send(link.peer_id, envelope)

    def _on_message(self, link, envelope):
        self._metrics.inc('peer_messages_received')
        message = envelope.get('m')
        if isinstance(envelope.get('r'), int):
            pending = self._pending_requests.get(envelope['r'])
            if pending is not None and pending[0] == link.peer_id:
                self._finish_request(envelope['r'], message, envelope.get('x'))
            return
        if message is None:
            return
        if not isinstance(message, dict):
            raise errors.PeerError('message is not a map')
        number = envelope.get('q')
        sender = link.peer_id

        def reply(answer, error=None):
            nonlocal number
            if number is not None:
                body = {'m': answer, 'r': number}
                number = None
                if error:
                    body['x'] = error
                self._send(sender, body)

        handler = self._handlers.get(message.get('type'))
        if handler is None:
            self._metrics.inc('peer_messages_unknown')
            reply(None, 'unknown message type')
            return
        try:
            handler(sender, message, reply)
        except errors.MALFORMED_MESSAGE_ERRORS as exc:
            # The handler could not parse the message. Drop it and keep the
            # link, so that other messages are unaffected.
            self._metrics.inc('peer_messages_faulty')
            _log(
                'message failed',
                level='error',
                peer=sender,
                type=message.get('type'),
                reason=repr(exc),
            )
            reply(None, 'message failed')

    def _finish_request(self, request_number, message, error):
        pending = self._pending_requests.pop(request_number, None)
        if pending is None:
            return
        pending[2].cancel()
        peer = self._peers.get(pending[0])
        queued = peer is not None and pending[3] in peer.queue
        if queued:
            peer.queue.remove(pending[3])
        if error is None:
            pending[1](message, None)
        elif queued or error == 'no link':
            pending[1](None, _unsent_error(error))
        else:
            exc = errors.PeerError(error, details={'sent': True})
            pending[1](None, exc)

    def _on_close(self, link, exc):
        was_handshake = link in self._handshakes
        self._handshakes.discard(link)
        self._closed_link_bytes[0] += link.bytes_in
        self._closed_link_bytes[1] += link.bytes_out
        self._metrics.inc('peer_links_closed', reason=_close_reason(exc))
        if not link.ready:
            self._log_failed_handshake(link, exc)
            if link.initiated and link.peer_id:
                self._schedule_reconnect(
                    link.peer_id, self._peer(link.peer_id)
                )
            elif was_handshake:
                self._metrics.inc('peer_handshakes_failed')
            return
        peer = self._peer(link.peer_id)
        if link in peer.links:
            peer.links.remove(link)
        if _ready_link(peer) is not None:
            return
        for request_number, pending in list(self._pending_requests.items()):
            if pending[0] == link.peer_id and pending[3] not in peer.queue:
                self._finish_request(request_number, None, 'link closed')
        self.on_down(link.peer_id)
        if link.peer_id in self._wanted_peers and not peer.connecting:
            self._schedule_reconnect(link.peer_id, peer)

    def _log_failed_handshake(self, link, exc):
        # Instances whose keys differ do not know of one another; no other
        # line says so.
        now = self.loop.now()
        if self._stopped:
            return
        if now - self._failures_logged_at < HANDSHAKE_LOG_S:
            self._failures_unlogged += 1
            return
        _log(
            'peer handshake failed',
            level='warning',
            peer=link.peer_id or '',
            reason=_close_reason(exc),
            links=len(self.connected()),
            unlogged=self._failures_unlogged,
        )
        self._failures_logged_at = now
        self._failures_unlogged = 0

    def _tick(self):
        self._tick_timer = self.loop.call_later(TICK_S, self._tick)
        now = self.loop.now()
        self._report_bytes()
        for instance_id, peer in list(self._peers.items()):
            for link in list(peer.links):
                if now - link.last_heard > SILENCE_TIMEOUT_S:
                    link.fail('silent')
                elif now - link.last_sent > PING_AFTER_IDLE_S:
                    link.send({'p': 1})
            link = _ready_link(peer)
            if instance_id in self._wanted_peers:
                self._ensure_link(instance_id)
            elif link is not None and link.initiated:
                if now - peer.last_used_at > IDLE_TIMEOUT_S:
                    link.close()
            elif not (peer.links or peer.connecting or peer.queue):
                if peer.reconnect_timer is not None:
                    peer.reconnect_timer.cancel()
                del self._peers[instance_id]

    def _report_bytes(self):
        received, sent = self.traffic()
        before = self._reported_bytes
        self._reported_bytes = (received, sent)
        self._metrics.inc('peer_bytes_received', received - before[0])
        self._metrics.inc('peer_bytes_sent', sent - before[1])


def _message_type(envelope):
    message = envelope.get('m')
    return message.get('type', '') if isinstance(message, dict) else ''


def _ready_link(peer):
    best = None
    for link in peer.links:
        if not (link.closed or link.closing) and (
            best is None or not link.retiring
        ):
            best = link
    return best


def _close_reason(exc):
    if not isinstance(exc, errors.PeerError):
        return 'closed'
    text = str(exc)
    for reason in CLOSE_REASONS:
        if text.startswith(reason):
            return reason
    return 'other'


def _unsent_error(reason):
    return errors.PeerError(reason, details={'sent': False})
