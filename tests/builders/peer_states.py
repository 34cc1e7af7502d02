"""Simulated fleets of ``peer_state.PeerState`` with faults and checks.

The network loses, delays and duplicates messages, cuts regions off, and
restarts instances. Every step asserts the invariants, so a fault shows at the
step at which it happens.
"""

import heapq
import itertools
import random

from jasminehold.decisions import membership
from jasminehold.decisions import peer_state
from jasminehold.decisions import status_tree

STEP_S = 0.1
ASK_TIMEOUT_S = 2.0
# Thirty periods: 15 s until a silent member is gone, and a few periods for
# the news to spread.
CONVERGE_S = 30.0


class _Hooks(peer_state.Hooks):
    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.versions = {}
        self.notices = {}
        self.summary = None

    def on_document(self, key, value, version):
        old = self.versions.get(key, 0)
        assert version > old, '%s goes from %d to %d' % (key, old, version)
        assert value == b'%d' % version, (key, value, version)
        self.versions[key] = version

    def on_notice(self, key, value, seconds_left):
        self.notices[key] = seconds_left

    def on_region_summary(self, summary):
        self.summary = summary

    def on_contact(self, region, witness, asked_at, age_s, plan_version, now):
        # The plan version of a witness is the step at which it was read.
        truth = now - plan_version * STEP_S
        assert now - asked_at + age_s >= truth - 1e-6, 'age below the truth'

    def witnesses(self):
        return self.fleet.witnesses

    def own_plan_versions(self):
        return {
            region: self.fleet.step
            for region, names in self.fleet.witnesses.items()
            if self.name in names
        }

    def own_summary(self):
        return status_tree.own_summary(
            self.name, 'p', 1, {'r': 1}, {'loja': {'r': 1.0}}, 1
        )


class Fleet:
    """Instances with a faulty network between them.

    Args:
        seed: of all chance.
        size: number of instances.
        state: class used for the instances.
        loss: chance that a message is lost while faults are on.
    """

    def __init__(self, seed, size, state=peer_state.PeerState, loss=0.1):
        self.rng = random.Random(seed)
        self.step = 0
        self.loss = loss
        self.cut = frozenset()
        self.newest = {}
        self.messages = self.faults = 0
        self._make = state
        self._queue = []
        self._asks = {}
        self._order = itertools.count()
        self.states = {}
        self.hooks = {}
        self.due = {}
        self.incarnation = itertools.count(1000)
        self.names = ['i%02d' % number for number in range(size)]
        self.witnesses = {
            'r%d' % n: [self.names[n], self.names[n + 3], self.names[n + 6]]
            for n in range(3)
        }
        self.platform = [self.entry(name) for name in self.names]
        for name in self.names:
            self.start(name)

    def entry(self, name):
        """Return an instance's entry in the platform's list."""
        number = int(name[1:])
        return {
            'id': name,
            'host': '127.0.0.1',
            'port': 1 + number,
            'place': 'p%d' % (number % 6),
            'region': 'r%d' % (number % 3),
            'state': 'live',
        }

    @property
    def now(self):
        """Current time in seconds."""
        return self.step * STEP_S

    def start(self, name):
        """Start an instance with empty state and three known others."""
        entry = self.entry(name)
        own = membership.Member(
            name,
            next(self.incarnation),
            membership.LIVE,
            entry['host'],
            entry['port'],
            entry['place'],
            entry['region'],
        )
        hooks = self.hooks[name] = _Hooks(self, name)
        cfg = membership.MembershipCfg(retention=600.0)
        rng = random.Random(self.rng.random())
        self.states[name] = self._make(own, cfg, rng, hooks, self.now)
        seeds = self.rng.sample(self.platform, 3)
        self.states[name].members.on_platform_list(seeds, self.now)
        self.due[name] = self.now + self.rng.random()

    def stop(self, name):
        """End an instance without notice."""
        del self.states[name]

    def publish(self, key):
        """Publish the next version of a document somewhere."""
        version = self.newest[key] = self.newest.get(key, 0) + 1
        name = self.rng.choice(sorted(self.states))
        value = b'%d' % version
        assert self.states[name].publish(key, value, version)
        self.hooks[name].versions[key] = version

    def relay(self):
        """Publish what the platform has, as the relays' watch does.

        The instance that published a version may have stopped before it
        sent anything.
        """
        for key, version in self.newest.items():
            name = self.rng.choice(sorted(self.states))
            value = b'%d' % version
            if self.states[name].publish(key, value, version):
                self.hooks[name].versions[key] = version

    def connected(self, first, second):
        """Return whether two instances can reach each other."""
        return (first in self.cut) == (second in self.cut)

    def advance(self, faults):
        """Run one step.

        Args:
            faults: whether the network loses, delays and duplicates.
        """
        self.step += 1
        while self._queue and self._queue[0][0] <= self.now:
            self._deliver(*heapq.heappop(self._queue)[2:], faults)
        for name, state in list(self.states.items()):
            if self.due[name] <= self.now:
                self.due[name] = self.now + 1.0
                for peer in state.members.peers():
                    # Stands for the links' own traffic.
                    if peer in self.states and self.connected(name, peer):
                        state.members.on_heard(peer, self.now)
                self._send(name, state.tick(self.now), faults)
            elif state.has_unsent():
                self._send(name, state.push(self.now), faults)
        self.check()

    def _send(self, name, outs, faults):
        for out in outs:
            number = next(self._order) if out.ask else None
            if out.ask:
                asker = self.states[name]
                self._asks[number] = (asker, out, self.now)
                item = (self.now + ASK_TIMEOUT_S, next(self._order))
                heapq.heappush(
                    self._queue, (*item, out.peer, name, 'late', None, number)
                )
            self._post(name, out.peer, 'tell', out.message, number, faults)

    def _post(self, sender, to, kind, message, number, faults):
        self.messages += 1
        copies = 1
        if faults:
            draw = self.rng.random()
            copies = 0 if draw < self.loss else 2 if draw > 0.95 else 1
            self.faults += copies != 1
        for _ in range(copies):
            delay = 0.02 + (self.rng.random() ** 8 * 5.0 if faults else 0.0)
            item = (self.now + delay, next(self._order))
            heapq.heappush(
                self._queue, (*item, sender, to, kind, message, number)
            )

    def _deliver(self, sender, to, kind, message, number, faults):
        state = self.states.get(to)
        if kind == 'tell':
            if state is None or not self.connected(sender, to):
                return

            def reply(answer):
                if number is not None:
                    self._post(to, sender, 'reply', answer, number, faults)

            outs = state.on_message(sender, message, self.now, reply)
        else:
            if kind == 'reply' and not self.connected(sender, to):
                return
            # As in the mesh, the first reply ends the ask, and a restarted
            # instance knows nothing of the asks it made before.
            asker, out, asked_at = self._asks.pop(number, (None, None, None))
            if asker is None or asker is not state:
                return
            if kind == 'late':
                outs = state.on_failed(sender, out.message, self.now)
            else:
                outs = state.on_reply(
                    sender, out.message, message, asked_at, self.now
                )
        self._send(to, outs, faults)

    def check(self):
        """Assert what holds at every step, faults or not."""
        for name, state in self.states.items():
            own = state.members.own
            assert own.state == membership.LIVE, own
            for key, version in self.hooks[name].versions.items():
                held = state.documents.version(key)
                assert held >= version, '%s went back at %s' % (key, name)
                assert held <= self.newest[key]

    def converged(self):
        """Return whether all agree on members, documents and notices."""
        alive = sorted(self.states)
        for state in self.states.values():
            if state.members.active() != alive:
                return False
            if any(
                state.members.get(key).state != membership.LIVE
                for key in alive
            ):
                return False
            if any(
                state.documents.version(key) != version
                for key, version in self.newest.items()
            ):
                return False
        for region in self.witnesses:
            names = [n for n in alive if self.entry(n)['region'] == region]
            summary = self.hooks[names[0]].summary
            if summary is None or summary['in_flight'] != len(names):
                return False
        notices = {state.notices.total for state in self.states.values()}
        return len(notices) == 1

    def settle(self, limit_s):
        """Run without faults until all agree.

        Returns:
            Seconds taken, or None when the limit passed first.
        """
        begin = self.now
        while not self.converged():
            if self.now - begin > limit_s:
                return None
            self.advance(False)
        return self.now - begin


def churn(fleet, steps):
    """Run with faults: cuts, restarts, documents and notices."""
    rng = fleet.rng
    for _ in range(steps):
        draw = rng.random()
        if draw < 0.003:
            chosen = rng.sample(fleet.names, rng.randrange(1, 9))
            fleet.cut = frozenset(chosen)
        elif draw < 0.008:
            fleet.cut = frozenset()
        elif draw < 0.012 and len(fleet.states) > len(fleet.names) - 4:
            fleet.stop(rng.choice(sorted(fleet.states)))
        elif draw < 0.018:
            down = [n for n in fleet.names if n not in fleet.states]
            if down:
                fleet.start(rng.choice(down))
        elif draw < 0.05:
            fleet.publish('d%d' % rng.randrange(40))
        elif draw < 0.06:
            name = rng.choice(sorted(fleet.states))
            key = 'n%d' % rng.randrange(10)
            fleet.states[name].notify(key, b'', 120.0, fleet.now)
        fleet.advance(True)
    fleet.cut = frozenset()
    for name in fleet.names:
        if name not in fleet.states:
            fleet.start(name)
    fleet.relay()


class NoVersionCheck(peer_state.PeerState):
    """Broken: takes any version of a document."""

    def on_message(self, sender, message, now, reply):
        """Forget the documents that the message brings before taking it."""
        for key, _, _ in message.get('documents', ()):
            if message['type'] == 'documents':
                self.documents._docs[key] = (0, b'')
        return super().on_message(sender, message, now, reply)


class NoRefutation(peer_state.PeerState):
    """Broken: ignores what is said about itself."""

    def __init__(self, own, *args):
        super().__init__(own, *args)
        merge = self.members.merge
        self.members.merge = lambda entry, now: (
            entry[0] != own.id and merge(entry, now)
        )


class NoProbe(peer_state.PeerState):
    """Broken: never contacts a member that it holds to be gone."""

    def __init__(self, *args):
        super().__init__(*args)
        self.members.next_probe = lambda now: None


class NoRepair(peer_state.PeerState):
    """Broken: pushes only, digests are ignored."""

    def on_reply(self, peer, asked, reply, asked_at, now):
        """Drop the digests of the reply."""
        for part in ('members', 'documents'):
            reply.get(part, {}).pop('sums', None)
        return super().on_reply(peer, asked, reply, asked_at, now)


class YoungAges(peer_state.PeerState):
    """Broken: counts ages from the reply instead of the question."""

    def on_reply(self, peer, asked, reply, asked_at, now):
        """Pass the time of the reply as that of the question."""
        return super().on_reply(peer, asked, reply, now, now)


BROKEN = {
    'takes any version': NoVersionCheck,
    'does not refute': NoRefutation,
    'does not probe': NoProbe,
    'does not repair': NoRepair,
    'counts ages from the reply': YoungAges,
}


def soak(seed, rounds, state=peer_state.PeerState, size=24, steps=2500):
    """Run rounds of faults, each followed by a quiet time.

    Returns:
        ``(fleet, longest seconds until all agreed)``.

    Raises:
        AssertionError: when an invariant broke or agreement took too long.
    """
    fleet = Fleet(seed, size, state)
    longest = 0.0
    for number in range(rounds):
        assert fleet.settle(CONVERGE_S) is not None, 'no agreement at start'
        churn(fleet, steps)
        taken = fleet.settle(CONVERGE_S)
        assert taken is not None, 'no agreement after round %d' % number
        longest = max(longest, taken)
    return fleet, longest
