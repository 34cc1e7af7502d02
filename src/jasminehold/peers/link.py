"""Authenticated stream between two instances.

The connecting side sends ``hello`` with a nonce and its key ids. The accepting
side replies with ``challenge``: its own nonce, the selected key id and a proof
that it has the key. The connecting side verifies the proof and sends its own
in ``auth``. Proofs and session keys are derived from both ids and both nonces,
so a recorded stream cannot be replayed.
"""

import hashlib
import hmac
import os

from jasminehold import errors
from jasminehold.peers import frames

HANDSHAKE_TIMEOUT_S = 3.0
# Four messages of the maximum size. A peer with more unread data cannot keep
# up with its traffic, and its link is closed.
MAX_BUFFERED_BYTES = 4 * (1024 * 1024 + 64 * 1024)
NONCE_BYTES = 32


class KeyRing:
    """Shared secrets by key id; new streams prefer the first one.

    Args:
        keys: ``[(key id, secret bytes), ...]``, preferred first.
    """

    def __init__(self, keys):
        self.replace(keys)

    def replace(self, keys):
        """Replace the keys; existing streams are not affected."""
        self._keys = dict(keys)
        self.ids = list(self._keys)
        if not self.ids or any(len(k) < 16 for k in self._keys.values()):
            raise errors.SettingsError('peer keys need 16 bytes or more')

    def get(self, key_id):
        """Return the secret of a key id, or None."""
        return self._keys.get(key_id)


class Link:
    """Authenticated stream to a peer.

    Args:
        loop: the :class:`loop.Loop`.
        conn: the open :class:`loop.Conn`.
        ring: the :class:`KeyRing`.
        own_id: this instance's id.
        expected_id: id that the peer must have, '' to accept any id, or None
            if the peer opened the connection.
        on_ready: called with the link after the handshake.
        on_message: called with the link and each decoded message.
        on_close: called once with the link and None or the exception.

    Attributes:
        peer_id: id of the peer, valid once ``ready``.
        initiated: whether this instance opened the connection.
        key_id: id of the key that authenticated the stream.
        retiring: whether another link replaces this one, which closes soon.
        last_heard: time at which the last verified frame was received.
        last_sent: time at which the last frame was sent.
    """

    def __init__(
        self,
        loop,
        conn,
        ring,
        own_id,
        expected_id,
        on_ready,
        on_message,
        on_close,
    ):
        self.peer_id = expected_id
        self.initiated = expected_id is not None
        self.key_id = None
        self.ready = False
        self.closed = False
        self.closing = False
        self.retiring = False
        self.last_heard = self.last_sent = loop.now()
        self.bytes_in = self.bytes_out = 0
        self._loop = loop
        self._conn = conn
        self._ring = ring
        self._own_id = own_id
        self._on_ready = on_ready
        self._on_message = on_message
        self._on_close = on_close
        self._reader = frames.Reader(b'', frames.MAX_HANDSHAKE_BYTES)
        self._writer = frames.Writer(b'')
        self._nonce = os.urandom(NONCE_BYTES)
        self._on_handshake_message = (
            self._on_challenge if self.initiated else self._on_hello
        )
        self._error = None
        conn.on_data = self._on_data
        conn.on_close = self._on_conn_close
        self._timer = loop.call_later(
            HANDSHAKE_TIMEOUT_S, self.fail, 'handshake timed out'
        )
        if self.initiated:
            self._send_handshake(
                {
                    'type': 'hello',
                    'id': own_id,
                    'nonce': self._nonce,
                    'keys': ring.ids[:8],
                }
            )

    @property
    def buffered(self):
        """Number of bytes in the send buffer."""
        return self._conn.buffered

    def send(self, message):
        """Send a message.

        Returns:
            False if the link is not open, or was closed because the send
            buffer is full.

        Raises:
            PeerError: if the message cannot be encoded or is too large.
        """
        if self.closed or self.closing or not self.ready:
            return False
        payload = frames.pack(message)
        if self._conn.buffered + len(payload) > MAX_BUFFERED_BYTES:
            self.fail('peer does not read')
            return False
        self._send(payload)
        return True

    def close(self):
        """Close after sending the buffered data; later sends are refused."""
        self.closing = True
        self._conn.close()

    def fail(self, reason):
        """Close immediately because of an error."""
        self._error = errors.PeerError(reason)
        self._conn.abort()

    def _send_handshake(self, message):
        self._send(frames.pack(message))

    def _send(self, payload):
        frame = self._writer.encode(payload)
        self.bytes_out += len(frame)
        self.last_sent = self._loop.now()
        self._conn.write(frame)

    def _on_data(self, data):
        self.bytes_in += len(data)
        self._reader.feed(data)
        try:
            while not self.closed:
                payload = self._reader.next()
                if payload is None:
                    return
                message = frames.unpack(payload)
                if not isinstance(message, dict):
                    raise errors.PeerError('message is not a map')
                self.last_heard = self._loop.now()
                if self.ready:
                    self._on_message(self, message)
                else:
                    self._on_handshake_message(message)
        except errors.PeerError as exc:
            self.fail(str(exc))

    def _on_hello(self, message):
        _check_message(message, 'hello', id=str, nonce=bytes, keys=list)
        if message['id'] == self._own_id or not message['id']:
            raise errors.PeerError('peer has this instance\'s id')
        offered = [key for key in message['keys'] if isinstance(key, str)]
        chosen = [key for key in offered if self._ring.get(key) is not None]
        if not chosen or len(message['nonce']) != NONCE_BYTES:
            raise errors.PeerError('no common key')
        self.peer_id = message['id']
        self.key_id = chosen[0]
        self._transcript_bytes = _transcript(
            self.peer_id, self._own_id, message['nonce'], self._nonce
        )
        self._send_handshake(
            {
                'type': 'challenge',
                'id': self._own_id,
                'nonce': self._nonce,
                'key': self.key_id,
                'proof': self._derive(b'accepted'),
            }
        )
        self._on_handshake_message = self._on_auth

    def _on_challenge(self, message):
        _check_message(
            message, 'challenge', id=str, nonce=bytes, key=str, proof=bytes
        )
        if not self.peer_id and message['id'] != self._own_id:
            self.peer_id = message['id']
        if message['id'] != self.peer_id:
            raise errors.PeerError('peer has another id than expected')
        if self._ring.get(message['key']) is None:
            raise errors.PeerError('no common key')
        self.key_id = message['key']
        self._transcript_bytes = _transcript(
            self._own_id, self.peer_id, self._nonce, message['nonce']
        )
        self._verify(message['proof'], b'accepted')
        self._send_handshake(
            {'type': 'auth', 'proof': self._derive(b'connected')}
        )
        self._start(b'from connected', b'from accepted')

    def _on_auth(self, message):
        _check_message(message, 'auth', proof=bytes)
        self._verify(message['proof'], b'connected')
        self._start(b'from accepted', b'from connected')

    def _start(self, outgoing, incoming):
        self._writer = frames.Writer(self._derive(outgoing))
        self._reader.rekey(self._derive(incoming))
        self._timer.cancel()
        self.ready = True
        self._on_ready(self)

    def _derive(self, purpose):
        secret = self._ring.get(self.key_id)
        if secret is None:
            raise errors.PeerError('key was removed during the handshake')
        return hmac.digest(
            secret, purpose + self._transcript_bytes, hashlib.sha256
        )

    def _verify(self, proof, purpose):
        if not hmac.compare_digest(proof, self._derive(purpose)):
            raise errors.PeerError('wrong key')

    def _on_conn_close(self, exc):
        self.closed = True
        self._timer.cancel()
        self._on_close(self, self._error or exc)


def _check_message(message, kind, **fields):
    if message.get('type') != kind:
        raise errors.PeerError('expected message type %s' % kind)
    for name, expected_type in fields.items():
        if not isinstance(message.get(name), expected_type):
            raise errors.PeerError('%s has no valid field %s' % (kind, name))


def _transcript(connected, accepted, first_nonce, second_nonce):
    ids = frames.pack([connected, accepted])
    return b'|' + ids + first_nonce + second_nonce
