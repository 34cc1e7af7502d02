"""Gossip protocol of one instance, without input and output.

Combines membership, documents, notices, contact ages and the status tree.
The owner calls :meth:`PeerState.tick` once per period, passes in messages and
replies, and sends each :class:`OutgoingMessage` that the methods return.
"""

import typing

from jasminehold.decisions import contact_ages
from jasminehold.decisions import gossip_documents
from jasminehold.decisions import membership
from jasminehold.decisions import notices
from jasminehold.decisions import status_tree

# Up to this fleet size each instance contacts the witnesses directly.
MAX_DIRECT_CONTACT_FLEET = 64
# Older contacts are not sent: ``contact_quorum`` accepts only up to 3 s.
MAX_CONTACT_AGE_S = 10.0
# In a large fleet the reply to a status message is delayed until newer contact
# ages arrive, so that they pass down the tree at once. If none arrive, it is
# sent after this time, which is within the time-out of the sender.
REPLY_HOLD_S = 1.2
# Follow-up exchanges per period; an instance without documents needs about one
# per 500 documents.
MAX_FOLLOW_UPS = 16
# In a full mesh the origin of an update sends it to all members, so others
# forward it to a few peers only. If they forwarded it to all, every member
# would receive each update once from every other.
MESH_FORWARD_PEERS = 3


class OutgoingMessage(typing.NamedTuple):
    """A message to send.

    Attributes:
        peer: instance id.
        message: the message.
        ask: whether a reply is expected.
    """

    peer: str
    message: dict
    ask: bool


class Hooks:
    """Callbacks of the owner; each may be replaced as an attribute."""

    def on_document(self, key, value, version):
        """Called with each newer document; ``value`` is bytes."""

    def on_notice(self, key, value, seconds_left):
        """Called with each new or renewed notice."""

    def on_member(self, member):
        """Called with each changed :class:`membership.Member`."""

    def on_region_summary(self, summary):
        """Called once per period at the root of the region's status tree."""

    def on_contact(self, region, witness, sent_at, age_s, plan_version, now):
        """Called with each newer contact with a witness.

        The contact took place at ``sent_at - age_s`` or later. When the reply
        was delayed until a newer contact, ``sent_at`` is the time of that
        contact instead of the time of the request. An instance that is itself
        a witness is reported with age 0 once per period.
        """

    def own_summary(self):
        """Return this instance's :func:`status_tree.own_summary`, or None."""

    def witnesses(self):
        """Return ``{region: [instance ids]}``."""
        return {}

    def own_plan_versions(self):
        """Return ``{region: plan version}`` where it is a witness."""
        return {}

    def planner(self):
        """Return the id of the planner of this region, or None."""


class PeerState:
    """Gossip state of one instance.

    Args:
        own: this instance's :class:`membership.Member`.
        cfg: the :class:`membership.MembershipCfg`.
        rng: ``random.Random``.
        hooks: the :class:`Hooks`.
        now: current time.
    """

    def __init__(self, own, cfg, rng, hooks, now):
        self.own_id = own.id
        self.members = membership.Membership(own, cfg, rng, now)
        self.documents = gossip_documents.GossipDocuments(rng)
        self.notices = notices.Notices(own.id)
        self.ages = contact_ages.ContactAges()
        self.tree = status_tree.StatusTree(own.id)
        self._rng = rng
        self._hooks = hooks
        self._exchange_count = 0
        self._follow_ups_left = 0
        self._unsent_documents = {}
        self._summary_sent_at = (
            now - rng.random() * status_tree.SUMMARY_INTERVAL_S
        )
        self._tree_input = None
        self._has_own_updates = False
        self._members_changed = False
        self._held_replies = []
        self._reporting_to = None
        self._pending_contacts = 0

    def publish(self, key, value, version):
        """Store a document published by this instance; ``push`` sends it.

        Returns:
            True when it is newer than the stored document.
        """
        if not self.documents.put(key, version, value):
            return False
        self._unsent_documents[key] = None
        self._has_own_updates = True
        return True

    def notify(self, key, value, ttl, now):
        """Publish or renew a notice; ``push`` sends it."""
        self._has_own_updates = True
        self.notices.publish(key, value, ttl, now)

    def link_targets(self):
        """Return the ids of the instances to keep connections to."""
        ids = set(self.members.peers())
        if self._uses_direct_contact():
            for witnesses in self._hooks.witnesses().values():
                ids.update(witnesses)
        parent = self.tree.parent(0.0)
        if parent is not None:
            ids.add(parent)
        ids.discard(self.own_id)
        return {key for key in ids if self._is_not_gone(key)}

    def tick(self, now):
        """Run one period and return the messages to send."""
        self.members.tick(now)
        self.notices.tick(now)
        self._update_tree()
        for region, version in self._hooks.own_plan_versions().items():
            self.ages.record(region, self.own_id, now, version)
            self._hooks.on_contact(region, self.own_id, now, 0.0, version, now)
        self._follow_ups_left = MAX_FOLLOW_UPS
        outgoing = []
        peers = self.members.peers()
        if peers:
            self._exchange_count += 1
            outgoing.append(
                self._exchange(peers[self._exchange_count % len(peers)])
            )
        probe = self.members.next_probe(now)
        if probe is not None:
            outgoing.append(self._exchange(probe))
        if self._uses_direct_contact():
            outgoing += self._contact_witnesses()
        self._release_replies(now, now - REPLY_HOLD_S)
        outgoing += self._status_report(now)
        return outgoing + self._fetches(now) + self.push(now)

    def on_connected(self, peer):
        """Return an exchange for a newly connected instance."""
        self._follow_ups_left = MAX_FOLLOW_UPS
        return self._exchange(peer)

    def has_unsent(self):
        """Return whether :meth:`push` would send something."""
        return bool(
            self._unsent_documents
            or self.notices.has_unsent()
            or self.members.has_changes()
        )

    def push(self, now):
        """Return messages with the updates since the last call."""
        for member in self.members.take_changes():
            self._members_changed = True
            self._hooks.on_member(member)
        outgoing = []
        for key, entry in self.members.take_false_reports().items():
            part = {'members': {'changes': [entry]}}
            outgoing.append(
                OutgoingMessage(key, {'type': 'exchange', **part}, False)
            )
        unsent, self._unsent_documents = self._unsent_documents, {}
        entries = self.notices.take_unsent(now)
        if not (unsent or entries or self._members_changed):
            return outgoing
        peers = self._push_targets()
        self._members_changed = self._has_own_updates = False
        for peer in peers:
            keys = [key for key, source in unsent.items() if source != peer]
            whole, announce = self.documents.split_push(keys)
            while whole:
                documents = self.documents.read_documents(whole)
                whole = whole[len(documents) :]
                message = {'type': 'documents', 'documents': documents}
                outgoing.append(OutgoingMessage(peer, message, False))
            message = {'type': 'exchange'}
            changes = self.members.changes_for(peer)
            if changes:
                message['members'] = {'changes': changes}
            if announce:
                message['documents'] = {'have': announce}
            if entries:
                message['notices'] = entries
            if len(message) > 1:
                outgoing.append(OutgoingMessage(peer, message, False))
        return outgoing

    def _push_targets(self):
        peers = self.members.peers()
        if (
            self._has_own_updates
            or self._members_changed
            or len(peers) <= MESH_FORWARD_PEERS
        ):
            return peers
        if self.members.count() > self.members.cfg.full_mesh:
            return peers
        return self._rng.sample(peers, MESH_FORWARD_PEERS)

    def on_message(self, sender, message, now, reply):
        """Handle a message.

        Args:
            sender: instance id.
            message: the message.
            now: current time.
            reply: ``func(message)``, called now or later, at most once.

        Returns:
            Messages to send.

        Raises:
            ValueError, TypeError, LookupError, AttributeError: when the
                message is malformed.
        """
        self.members.on_heard(sender, now)
        kind = message['type']
        if kind == 'exchange':
            return self._on_exchange(sender, message, now, reply)
        if kind == 'fetch':
            documents = self.documents.read_documents(message['keys'])
            reply({'type': 'documents', 'documents': documents})
            return []
        if kind == 'documents':
            self._store_documents(sender, message['documents'])
            return []
        if kind == 'status':
            if message.get('summary') is not None:
                self.tree.on_summary(sender, message['summary'], now)
            else:
                self.tree.on_poll(sender, now)
            self._held_replies.append((now, reply))
            if not self._is_large_fleet():
                self._release_replies(now, now)
            return []
        if kind == 'leave':
            self.members.merge(message['member'], now)
            return []
        raise ValueError('unexpected message')

    def on_reply(self, peer, request, reply, sent_at, now):
        """Handle the reply to a message.

        Args:
            peer: id of the replying instance.
            request: the message that was sent.
            reply: the reply.
            sent_at: when the message was sent.
            now: current time.

        Returns:
            Messages to send next.
        """
        self.members.on_heard(peer, now)
        self._merge_ages(reply.get('contact', {}), sent_at, now)
        kind = request['type']
        if kind == 'status':
            self._reporting_to = None
            self.tree.on_reply(peer)
            if not self._is_large_fleet():
                return []
            self._release_replies(now, now)
            return self._status_report(now)
        if kind == 'fetch':
            documents = reply['documents']
            self._store_documents(peer, documents)
            self.documents.on_fetched(peer, request['keys'], bool(documents))
            outgoing = self._fetches(now)
            if (
                not outgoing
                and not self.documents.wanted_count()
                and self._follow_ups_left > 0
            ):
                # The limited reply may have omitted documents; comparing
                # digests now finds them a period earlier.
                self._follow_ups_left -= 1
                part = self.documents.exchange()
                follow = {'type': 'exchange', 'documents': part}
                outgoing.append(OutgoingMessage(peer, follow, True))
            return outgoing
        if 'contact' in request:
            self._pending_contacts -= 1
            if self._pending_contacts <= 0:
                self._release_replies(now, now)
            return []
        return self._on_exchange_reply(peer, reply, now)

    def on_failed(self, peer, request, now):
        """Handle a missing reply and return the messages to send next."""
        if request['type'] == 'fetch':
            self.documents.on_fetched(peer, request['keys'], False)
            return self._fetches(now)
        if request['type'] == 'status':
            self._reporting_to = None
            self.tree.on_failed(peer, now)
            return self._status_report(now)
        return []

    def leave(self, now):
        """Mark this instance as gone and return its last messages."""
        self.members.set_state(membership.GONE, now)
        message = {'type': 'leave', 'member': list(self.members.own)}
        return [
            OutgoingMessage(peer, message, False)
            for peer in self.members.peers()
        ]

    def _is_not_gone(self, key):
        member = self.members.get(key)
        return member is not None and member.state != membership.GONE

    def _is_large_fleet(self):
        return self.members.count() > MAX_DIRECT_CONTACT_FLEET

    def _uses_direct_contact(self):
        return not self._is_large_fleet() or self.tree.is_root()

    def _release_replies(self, now, received_by):
        held, self._held_replies = self._held_replies, []
        for received_at, reply in held:
            if received_at > received_by:
                self._held_replies.append((received_at, reply))
            else:
                ages = self._contact_ages(received_at, now)
                reply({'type': 'status', 'contact': ages})

    def _exchange(self, peer):
        message = {
            'type': 'exchange',
            'members': self.members.exchange(peer),
            'documents': self.documents.exchange(),
            'notice_sum': self.notices.total,
        }
        return OutgoingMessage(peer, message, True)

    def _contact_witnesses(self):
        ids = set()
        for witnesses in self._hooks.witnesses().values():
            ids.update(witnesses)
        ids.discard(self.own_id)
        outgoing = [
            OutgoingMessage(key, {'type': 'exchange', 'contact': {}}, True)
            for key in sorted(ids)
            if self._is_not_gone(key)
        ]
        self._pending_contacts = len(outgoing)
        return outgoing

    def _update_tree(self):
        region = self.members.own.region
        planner = self._hooks.planner()
        state = (self.members.version, planner)
        if state != self._tree_input:
            self._tree_input = state
            self.tree.set_members(
                self.members.active(region), planner, self.members.count()
            )

    def _status_report(self, now):
        own = self._hooks.own_summary()
        message = {'type': 'status'}
        parent = self.tree.parent(now)
        reply_pending = self._reporting_to == parent and parent is not None
        due = (
            now - self._summary_sent_at >= self.tree.summary_interval_s * 0.99
        )
        if own is not None and due and not reply_pending:
            self._summary_sent_at = now
            message['summary'] = self.tree.summary(own, now)
            if self.tree.is_root():
                self._hooks.on_region_summary(message['summary'])
        if parent is None or reply_pending:
            return []
        if not self._is_large_fleet() and 'summary' not in message:
            return []
        # In a large fleet contact ages are needed more often than summaries.
        self._reporting_to = parent
        return [OutgoingMessage(parent, message, True)]

    def _fetches(self, now):
        return [
            OutgoingMessage(peer, {'type': 'fetch', 'keys': keys}, True)
            for peer, keys in self.documents.take_fetches(now).items()
        ]

    def _store_documents(self, sender, documents):
        for key, version, value in documents:
            if self.documents.put(key, version, value):
                self._unsent_documents[key] = sender
                self._hooks.on_document(key, value, version)

    def _merge_notices(self, entries, now):
        for key, value, left in self.notices.merge(entries, now):
            self._hooks.on_notice(key, value, left)

    def _merge_ages(self, ages, sent_at, now):
        for region, witness, at, version in self.ages.merge(
            ages, sent_at, now
        ):
            self._hooks.on_contact(
                region,
                witness,
                max(at, sent_at),
                max(sent_at - at, 0.0),
                version,
                now,
            )

    def _contact_ages(self, received_at, now):
        for region, version in self._hooks.own_plan_versions().items():
            self.ages.record(region, self.own_id, now, version)
        return self.ages.report(
            received_at, now, MAX_CONTACT_AGE_S, self._is_large_fleet()
        )

    def _on_exchange(self, sender, message, now, reply):
        result = {'type': 'exchange_reply'}
        if 'members' in message:
            result['members'] = self.members.on_exchange(
                sender, message['members'], now
            )
        if 'documents' in message:
            result['documents'] = self.documents.on_exchange(
                sender, message['documents']
            )
        self._merge_notices(message.get('notices', ()), now)
        if message.get('notice_sum', self.notices.total) != self.notices.total:
            result['notices'] = self.notices.sample(self._rng, now)
            result['notice_sum'] = self.notices.total
        if 'contact' in message:
            # The sender contacts the other witnesses itself.
            result['contact'] = {
                region: {self.own_id: [0, version]}
                for region, version in self._hooks.own_plan_versions().items()
            }
        elif not self._is_large_fleet():
            result['contact'] = self._contact_ages(now, now)
        reply({key: value for key, value in result.items() if value})
        return self._fetches(now)

    def _on_exchange_reply(self, peer, reply, now):
        self._merge_notices(reply.get('notices', ()), now)
        follow = {}
        if reply.get('notice_sum', self.notices.total) != self.notices.total:
            follow['notices'] = self.notices.sample(self._rng, now)
        part = self.members.on_reply(reply.get('members', {}), now)
        if part is not None:
            follow['members'] = part
        part = self.documents.on_reply(peer, reply.get('documents', {}))
        if part is not None:
            follow['documents'] = part
        outgoing = self._fetches(now)
        if follow and self._follow_ups_left > 0:
            self._follow_ups_left -= 1
            outgoing.append(
                OutgoingMessage(peer, {'type': 'exchange', **follow}, True)
            )
        return outgoing
