"""What one instance tells others, and what it does with what they tell it.

Combines membership, documents, notices, contact ages and the status tree.
The owner calls :meth:`PeerState.tick` once per period, delivers messages and
replies, and sends what the methods return as :class:`Out`.
"""

import typing

from jasminehold.decisions import contact_ages
from jasminehold.decisions import gossip_documents
from jasminehold.decisions import membership
from jasminehold.decisions import notices
from jasminehold.decisions import status_tree

# Up to this fleet size each instance asks the witnesses itself.
DIRECT_CONTACT_FLEET = 64
# Older contact is of no use to a rule with a 3 s bound.
REPORT_LIMIT_S = 10.0
# In a large fleet a question for ages is held until newer ages arrive, so
# that they pass down the tree at once; without news it is answered after this
# time, within the time-out of the one who asks.
HOLD_S = 1.2
# Follow-up exchanges of one period; an empty instance needs about one per
# 500 documents.
MAX_ROUNDS = 16
# In a full mesh the origin of news reaches everyone itself, so others pass it
# on to a few only; with all of them, each piece arrives once per member.
MESH_FORWARDS = 3


class Out(typing.NamedTuple):
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
    """What the owner supplies; each may be replaced as an attribute."""

    def on_document(self, key, value, version):
        """Called with each newer document; ``value`` is bytes."""

    def on_notice(self, key, value, seconds_left):
        """Called with each new or renewed notice."""

    def on_member(self, member):
        """Called with each changed :class:`membership.Member`."""

    def on_region_summary(self, summary):
        """Called at the region's root once per period."""

    def on_contact(self, region, witness, asked_at, age_s, plan_version, now):
        """Called with each later contact with a witness.

        Contact took place at ``asked_at - age_s`` or later. When the reply
        was held until newer contact came, ``asked_at`` is that moment and
        not the one of the question. An instance that is a witness itself is
        reported with age 0 once per period.
        """

    def own_summary(self):
        """Return this instance's :func:`status_tree.own_summary`, or None."""

    def witnesses(self):
        """Return ``{region: [instance ids]}``."""
        return {}

    def own_plan_versions(self):
        """Return ``{region: plan version}`` where this one is a witness."""
        return {}

    def planner(self):
        """Return the id of the own region's planner, or None."""


class PeerState:
    """State of one instance.

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
        self._turn = 0
        self._rounds = 0
        self._fresh = {}
        self._status_at = now - rng.random() * status_tree.SUMMARY_INTERVAL_S
        self._tree_input = None
        self._own_news = False
        self._news = False
        self._held = []
        self._reporting = None
        self._open_contacts = 0

    def publish(self, key, value, version):
        """Store a document of this instance's own; ``push`` sends it.

        Returns:
            True when it was newer.
        """
        if not self.documents.put(key, version, value):
            return False
        self._fresh[key] = None
        self._own_news = True
        return True

    def notify(self, key, value, ttl, now):
        """Publish or renew a notice; ``push`` sends it."""
        self._own_news = True
        self.notices.publish(key, value, ttl, now)

    def link_targets(self):
        """Return the ids to keep links to."""
        ids = set(self.members.peers())
        if self._direct():
            for witnesses in self._hooks.witnesses().values():
                ids.update(witnesses)
        parent = self.tree.parent(0.0)
        if parent is not None:
            ids.add(parent)
        ids.discard(self.own_id)
        return {key for key in ids if self._usable(key)}

    def tick(self, now):
        """Run one period and return what to send."""
        self.members.tick(now)
        self.notices.tick(now)
        self._update_tree()
        for region, version in self._hooks.own_plan_versions().items():
            self.ages.hear(region, self.own_id, now, version)
            self._hooks.on_contact(region, self.own_id, now, 0.0, version, now)
        self._rounds = MAX_ROUNDS
        outs = []
        peers = self.members.peers()
        if peers:
            self._turn += 1
            outs.append(self._exchange(peers[self._turn % len(peers)]))
        probe = self.members.next_probe(now)
        if probe is not None:
            outs.append(self._exchange(probe))
        if self._direct():
            outs += self._ask_witnesses()
        self._release(now, now - HOLD_S)
        outs += self._report(now)
        return outs + self._fetches(now) + self.push(now)

    def on_connected(self, peer):
        """Return an exchange for an instance that was just connected."""
        self._rounds = MAX_ROUNDS
        return self._exchange(peer)

    def has_unsent(self):
        """Return whether :meth:`push` would send something."""
        return bool(
            self._fresh
            or self.notices.has_fresh()
            or self.members.has_changes()
        )

    def push(self, now):
        """Return messages with what became known since the last call."""
        for member in self.members.take_changes():
            self._news = True
            self._hooks.on_member(member)
        outs = []
        for key, entry in self.members.take_false_reports().items():
            part = {'members': {'changes': [entry]}}
            outs.append(Out(key, {'type': 'exchange', **part}, False))
        fresh, self._fresh = self._fresh, {}
        entries = self.notices.take_unsent(now)
        if not (fresh or entries or self._news):
            return outs
        peers = self._push_targets()
        self._news = self._own_news = False
        for peer in peers:
            keys = [key for key, source in fresh.items() if source != peer]
            whole, announce = self.documents.push(keys)
            while whole:
                documents = self.documents.read_documents(whole)
                whole = whole[len(documents) :]
                message = {'type': 'documents', 'documents': documents}
                outs.append(Out(peer, message, False))
            message = {'type': 'exchange'}
            changes = self.members.changes_for(peer)
            if changes:
                message['members'] = {'changes': changes}
            if announce:
                message['documents'] = {'have': announce}
            if entries:
                message['notices'] = entries
            if len(message) > 1:
                outs.append(Out(peer, message, False))
        return outs

    def _push_targets(self):
        peers = self.members.peers()
        if self._own_news or self._news or len(peers) <= MESH_FORWARDS:
            return peers
        if self.members.count() > self.members.cfg.full_mesh:
            return peers
        return self._rng.sample(peers, MESH_FORWARDS)

    def on_message(self, sender, message, now, reply):
        """Handle a message.

        Args:
            sender: instance id.
            message: the message.
            now: current time.
            reply: ``func(message)``, called now or later, at most once.

        Returns:
            What to send.

        Raises:
            ValueError, TypeError, LookupError, AttributeError: when it is
                malformed.
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
            self._take_documents(sender, message['documents'])
            return []
        if kind == 'status':
            if message.get('summary') is not None:
                self.tree.on_summary(sender, message['summary'], now)
            else:
                self.tree.on_poll(sender, now)
            self._held.append((now, reply))
            if not self._large():
                self._release(now, now)
            return []
        if kind == 'leave':
            self.members.merge(message['member'], now)
            return []
        raise ValueError('unexpected message')

    def on_reply(self, peer, asked, reply, asked_at, now):
        """Handle the reply to an ask.

        Args:
            peer: who replied.
            asked: the message that was sent.
            reply: the reply.
            asked_at: when the message was sent.
            now: current time.

        Returns:
            What to send next.
        """
        self.members.on_heard(peer, now)
        self._take_ages(reply.get('contact', {}), asked_at, now)
        kind = asked['type']
        if kind == 'status':
            self._reporting = None
            self.tree.on_reply(peer)
            if not self._large():
                return []
            self._release(now, now)
            return self._report(now)
        if kind == 'fetch':
            documents = reply['documents']
            self._take_documents(peer, documents)
            self.documents.on_fetched(peer, asked['keys'], bool(documents))
            outs = self._fetches(now)
            if (
                not outs
                and not self.documents.wanted_count()
                and self._rounds > 0
            ):
                # A bounded reply may have left documents out; the digest
                # tells at once instead of a period later.
                self._rounds -= 1
                part = self.documents.exchange()
                follow = {'type': 'exchange', 'documents': part}
                outs.append(Out(peer, follow, True))
            return outs
        if 'contact' in asked:
            self._open_contacts -= 1
            if self._open_contacts <= 0:
                self._release(now, now)
            return []
        return self._on_exchange_reply(peer, reply, now)

    def on_failed(self, peer, asked, now):
        """Handle an ask that got no reply and return what to send next."""
        if asked['type'] == 'fetch':
            self.documents.on_fetched(peer, asked['keys'], False)
            return self._fetches(now)
        if asked['type'] == 'status':
            self._reporting = None
            self.tree.on_failed(peer, now)
            return self._report(now)
        return []

    def leave(self, now):
        """Mark this instance as ended and return its last messages."""
        self.members.set_state(membership.GONE, now)
        message = {'type': 'leave', 'member': list(self.members.own)}
        return [Out(peer, message, False) for peer in self.members.peers()]

    def _usable(self, key):
        member = self.members.get(key)
        return member is not None and member.state != membership.GONE

    def _large(self):
        return self.members.count() > DIRECT_CONTACT_FLEET

    def _direct(self):
        return not self._large() or self.tree.is_root()

    def _release(self, now, received_by):
        held, self._held = self._held, []
        for received_at, reply in held:
            if received_at > received_by:
                self._held.append((received_at, reply))
            else:
                ages = self._report_ages(received_at, now)
                reply({'type': 'status', 'contact': ages})

    def _exchange(self, peer):
        message = {
            'type': 'exchange',
            'members': self.members.exchange(peer),
            'documents': self.documents.exchange(),
            'notice_sum': self.notices.total,
        }
        return Out(peer, message, True)

    def _ask_witnesses(self):
        ids = set()
        for witnesses in self._hooks.witnesses().values():
            ids.update(witnesses)
        ids.discard(self.own_id)
        outs = [
            Out(key, {'type': 'exchange', 'contact': {}}, True)
            for key in sorted(ids)
            if self._usable(key)
        ]
        self._open_contacts = len(outs)
        return outs

    def _update_tree(self):
        region = self.members.own.region
        planner = self._hooks.planner()
        state = (self.members.version, planner)
        if state != self._tree_input:
            self._tree_input = state
            self.tree.set_members(
                self.members.active(region), planner, self.members.count()
            )

    def _report(self, now):
        own = self._hooks.own_summary()
        message = {'type': 'status'}
        parent = self.tree.parent(now)
        busy = self._reporting == parent and parent is not None
        due = now - self._status_at >= self.tree.summary_interval_s * 0.99
        if own is not None and due and not busy:
            self._status_at = now
            message['summary'] = self.tree.summary(own, now)
            if self.tree.is_root():
                self._hooks.on_region_summary(message['summary'])
        if parent is None or busy:
            return []
        if not self._large() and 'summary' not in message:
            return []
        # In a large fleet the ages are needed more often than summaries.
        self._reporting = parent
        return [Out(parent, message, True)]

    def _fetches(self, now):
        return [
            Out(peer, {'type': 'fetch', 'keys': keys}, True)
            for peer, keys in self.documents.take_fetches(now).items()
        ]

    def _take_documents(self, sender, documents):
        for key, version, value in documents:
            if self.documents.put(key, version, value):
                self._fresh[key] = sender
                self._hooks.on_document(key, value, version)

    def _take_notices(self, entries, now):
        for key, value, left in self.notices.merge(entries, now):
            self._hooks.on_notice(key, value, left)

    def _take_ages(self, ages, asked_at, now):
        for region, witness, at, version in self.ages.take(
            ages, asked_at, now
        ):
            self._hooks.on_contact(
                region,
                witness,
                max(at, asked_at),
                max(asked_at - at, 0.0),
                version,
                now,
            )

    def _report_ages(self, received_at, now):
        for region, version in self._hooks.own_plan_versions().items():
            self.ages.hear(region, self.own_id, now, version)
        return self.ages.report(
            received_at, now, REPORT_LIMIT_S, self._large()
        )

    def _on_exchange(self, sender, message, now, reply):
        answer = {'type': 'exchange_reply'}
        if 'members' in message:
            answer['members'] = self.members.on_exchange(
                sender, message['members'], now
            )
        if 'documents' in message:
            answer['documents'] = self.documents.on_exchange(
                sender, message['documents']
            )
        self._take_notices(message.get('notices', ()), now)
        if message.get('notice_sum', self.notices.total) != self.notices.total:
            answer['notices'] = self.notices.sample(self._rng, now)
            answer['notice_sum'] = self.notices.total
        if 'contact' in message:
            # The one who asks also asks the other witnesses.
            answer['contact'] = {
                region: {self.own_id: [0, version]}
                for region, version in self._hooks.own_plan_versions().items()
            }
        elif not self._large():
            answer['contact'] = self._report_ages(now, now)
        reply({key: value for key, value in answer.items() if value})
        return self._fetches(now)

    def _on_exchange_reply(self, peer, reply, now):
        self._take_notices(reply.get('notices', ()), now)
        follow = {}
        if reply.get('notice_sum', self.notices.total) != self.notices.total:
            follow['notices'] = self.notices.sample(self._rng, now)
        part = self.members.on_reply(reply.get('members', {}), now)
        if part is not None:
            follow['members'] = part
        part = self.documents.on_reply(peer, reply.get('documents', {}))
        if part is not None:
            follow['documents'] = part
        outs = self._fetches(now)
        if follow and self._rounds > 0:
            self._rounds -= 1
            outs.append(Out(peer, {'type': 'exchange', **follow}, True))
        return outs
