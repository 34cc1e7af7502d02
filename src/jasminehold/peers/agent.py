"""Runs membership, gossip and the status tree over the mesh.

The rules are in ``decisions.peer_state``; this module sends and receives the
messages.
"""

import typing

from jasminehold.decisions import membership
from jasminehold.decisions import peer_state
from jasminehold import errors
from jasminehold import logs
from jasminehold.peers import frames

_log = logs.get('peers')


class AgentCfg(typing.NamedTuple):
    """Settings of the agent; times are in seconds.

    Attributes:
        own: this instance's ``membership.Member``.
        members: the ``membership.MembershipCfg``.
        exchange_period_s: mean time between two exchanges.
        push_delay_s: how long changes are batched before they are pushed.
        request_timeout_s: timeout of exchanges, fetches and status requests.
    """

    own: membership.Member
    members: membership.MembershipCfg = membership.MembershipCfg()
    exchange_period_s: float = 1.0
    push_delay_s: float = 0.02
    request_timeout_s: float = 2.0


class Hooks(peer_state.Hooks):
    """Callbacks of the application; document values are decoded."""


class _DecodingHooks:
    def __init__(self, hooks, metrics):
        self._hooks = hooks
        self._metrics = metrics

    def __getattr__(self, name):
        return getattr(self._hooks, name)

    def on_document(self, key, value, version):
        self._metrics.inc('gossip_documents_received')
        self._hooks.on_document(key, frames.unpack(value), version)

    def on_member(self, member):
        self._metrics.inc('peer_member_changes', state=member.state)
        self._hooks.on_member(member)


class Agent:
    """Runs membership and gossip for one instance.

    Args:
        loop: the :class:`loop.Loop`.
        mesh: the :class:`mesh.Mesh`; its ``address_of`` is set here.
        cfg: the :class:`AgentCfg`.
        rng: ``random.Random``.
        metrics: the :class:`metrics.Metrics`.
        hooks: the :class:`Hooks`.

    Attributes:
        state: the :class:`peer_state.PeerState`.
    """

    def __init__(self, loop, mesh, cfg, rng, metrics, hooks):
        self._loop = loop
        self._mesh = mesh
        self._cfg = cfg
        self._rng = rng
        self._metrics = metrics
        self._push_timer = None
        self._stopped = False
        self.state = peer_state.PeerState(
            cfg.own,
            cfg.members,
            rng,
            _DecodingHooks(hooks, metrics),
            loop.now(),
        )
        mesh.address_of = self.address_of
        mesh.on_up = self._on_up
        mesh.on_down = self.state.members.reset_peer
        for kind in ('exchange', 'fetch', 'documents', 'status', 'leave'):
            mesh.handle(kind, self._on_message)
        self._timer = loop.call_later(
            rng.random() * cfg.exchange_period_s, self._tick
        )

    def start(self, seeds=()):
        """Add the seed instances.

        Args:
            seeds: entries like those of the platform's list. They come from
                the settings, so that an instance can start while the
                platform is down.
        """
        self.on_platform_list(seeds)

    def on_platform_list(self, entries):
        """Apply the platform's list of instances, which may be stale."""
        self.state.members.on_platform_list(entries, self._loop.now())
        self._update_links()

    def address_of(self, instance_id):
        """Return ``(host, port)`` of an instance, or None if unknown."""
        member = self.state.members.get(instance_id)
        return None if member is None else (member.host, member.port)

    def set_state(self, state):
        """Set this instance's state, for example to ``LIVE``."""
        self.state.members.set_state(state, self._loop.now())
        self._schedule_push()

    def publish(self, key, value, version):
        """Send a document to all instances.

        Args:
            key: key of the document.
            value: any value that msgpack can encode, at most 512 KiB.
            version: the platform's version of the document.

        Returns:
            True if it is newer than the known version.

        Raises:
            ValueError: if the value is too large.
            PeerError: if the value cannot be encoded.
        """
        newer = self.state.publish(key, frames.pack(value), version)
        if newer:
            self._schedule_push()
        return newer

    def notify(self, key, value, ttl):
        """Send a small notice to all instances; it expires after ``ttl`` s."""
        self.state.notify(key, value, ttl, self._loop.now())
        self._schedule_push()

    def leave(self, done):
        """Announce to the peers that this instance stops.

        The application sets ``LEAVING`` at the start of its drain and calls
        this after its last request ended.

        Args:
            done: called without arguments after the messages were sent.
        """
        self._send(self.state.leave(self._loop.now()))
        self.stop()
        # Lets the links send their buffered messages.
        self._loop.call_later(0.2, done)

    def stop(self):
        """Stop the timers."""
        self._stopped = True
        self._timer.cancel()
        if self._push_timer is not None:
            self._push_timer.cancel()

    def _tick(self):
        cfg = self._cfg
        # 10 % jitter keeps the instances from sending at the same time.
        delay = cfg.exchange_period_s * self._rng.uniform(0.9, 1.1)
        self._timer = self._loop.call_later(delay, self._tick)
        now = self._loop.now()
        members = self.state.members
        for peer in members.peers():
            heard_at = self._mesh.last_heard(peer)
            if heard_at is not None:
                members.on_heard(peer, heard_at)
        self._send(self.state.tick(now))
        self._update_links()
        self._metrics.set('peer_members', members.count())
        self._metrics.set('peer_links', len(self._mesh.connected()))
        self._metrics.set(
            'gossip_documents_wanted', self.state.documents.wanted_count()
        )

    def _update_links(self):
        self._mesh.set_peers(self.state.link_targets())

    def _on_up(self, instance_id):
        if self._stopped:
            return
        # An immediate exchange shortens the start of a new instance and the
        # recovery after a network partition.
        self._send([self.state.on_connected(instance_id)])

    def _schedule_push(self):
        if self._push_timer is None and not self._stopped:
            self._push_timer = self._loop.call_later(
                self._cfg.push_delay_s, self._push
            )

    def _push(self):
        self._push_timer = None
        self._send(self.state.push(self._loop.now()))

    def _on_message(self, sender, message, reply):
        self._send(
            self.state.on_message(sender, message, self._loop.now(), reply)
        )
        if self.state.has_unsent():
            self._schedule_push()

    def _send(self, outgoing):
        for item in outgoing:
            if item.ask:
                self._send_request(item.peer, item.message)
            else:
                self._mesh.send(item.peer, item.message)

    def _send_request(self, peer, message):
        sent_at = self._loop.now()

        def done(reply, exc):
            now = self._loop.now()
            if self._stopped:
                return
            if exc is not None:
                self._metrics.inc('peer_asks_failed', type=message['type'])
                self._send(self.state.on_failed(peer, message, now))
                return
            try:
                outgoing = self.state.on_reply(
                    peer, message, reply, sent_at, now
                )
            except errors.MALFORMED_MESSAGE_ERRORS as exc:
                self._metrics.inc('peer_messages_faulty')
                _log(
                    'reply failed', level='error', peer=peer, reason=repr(exc)
                )
                return
            self._send(outgoing)
            if self.state.has_unsent():
                self._schedule_push()

        self._mesh.ask(peer, message, self._cfg.request_timeout_s, done)
