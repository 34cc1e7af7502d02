"""Meshes of several instances on one loop, with relays between them."""

import random

import circuits

from jasminehold.decisions import membership
from jasminehold.decisions import status_tree
from jasminehold import loop as loop_module
from jasminehold import metrics
from jasminehold.peers import agent
from jasminehold.peers import link
from jasminehold.peers import mesh

KEY = ('k1', b'1' * 32)
OTHER = ('k2', b'2' * 32)


class Meshes(circuits.Component):
    """A root component with one loop and a mesh per instance."""

    def init(self):
        self.loop = loop_module.Loop().register(self)
        self.meshes = {}
        self.metrics = {}
        self.addresses = {}
        self.faults = []

    @circuits.handler('exception', channel='*')
    def _on_exception(self, *args, **kwargs):
        self.faults.append(args[:2])

    def add(self, name, keys=(KEY,), port=0):
        """Start a mesh and return it."""
        self.metrics[name] = metrics.Metrics()
        made = mesh.Mesh(
            self.loop,
            name,
            link.KeyRing(keys),
            self.addresses.get,
            random.Random(name),
            self.metrics[name],
        )
        listener = made.listen('127.0.0.1', port)
        self.addresses[name] = (listener.host, listener.port)
        self.meshes[name] = made
        return made

    def run_until(self, condition, limit=10.0):
        """Run until a condition holds.

        Returns:
            Seconds taken, or None when the limit passed first.
        """
        begin = self.loop.now()

        def check():
            if not condition() and self.loop.now() - begin < limit:
                self.loop.call_later(0.01, check)
            else:
                self.stop()

        check_timer = self.loop.call_later(0.0, check)
        self.run()
        check_timer.cancel()
        return self.loop.now() - begin if condition() else None

    def closed_for(self, name, reason):
        """Return how many links an instance closed for a reason."""
        return self.metrics[name].value('peer_links_closed', reason=reason)

    def relay(self, name, change):
        """Put a relay before an instance; ``change`` edits its input.

        Args:
            name: the instance.
            change: ``func(number, frame) -> list of frames`` for each whole
                frame on the way to the instance.
        """
        host, port = self.addresses[name]

        def on_accept(front):
            waiting, state = bytearray(), {'number': 0, 'back': None}

            def forward(data=b''):
                waiting.extend(data)
                while state['back'] and len(waiting) >= 4:
                    size = 4 + int.from_bytes(waiting[:4], 'big')
                    if len(waiting) < size:
                        return
                    frame = bytes(waiting[:size])
                    del waiting[:size]
                    for item in change(state['number'], frame):
                        state['back'].write(item)
                    state['number'] += 1

            def on_open(back):
                state['back'] = back
                back.on_data = front.write
                back.on_close = lambda exc: front.close()
                forward()

            front.on_data = forward
            front.on_close = lambda exc: (
                state['back'] and state['back'].close()
            )
            self.loop.connect(host, port, on_open, lambda exc: front.abort())

        listener = self.loop.listen('127.0.0.1', 0, on_accept)
        self.addresses[name] = (listener.host, listener.port)


class _Recorder(agent.Hooks):
    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.documents = {}
        self.notices = {}
        self.contacts = set()
        self.summary = None

    def on_document(self, key, value, version):
        self.documents[key] = (version, value)

    def on_notice(self, key, value, seconds_left):
        self.notices[key] = value

    def on_contact(self, region, witness, asked_at, age_s, plan_version, now):
        self.contacts.add((region, witness, plan_version))

    def on_region_summary(self, summary):
        self.summary = summary

    def own_summary(self):
        return status_tree.own_summary(self.name, 'p', 1, {'sul': 7}, {}, 2)

    def witnesses(self):
        return {'sul': ['a', 'b']}

    def own_plan_versions(self):
        return {'sul': 7} if self.name in ('a', 'b') else {}


class Agents(Meshes):
    """A root component with one loop and an agent per instance."""

    def init(self):
        super().init()
        self.agents = {}
        self.hooks = {}
        self.incarnation = 1000

    def add_agent(self, name, seeds=()):
        """Start an instance that knows the seeds only."""
        made = self.add(name)
        self.incarnation += 1
        host, port = self.addresses[name]
        own = membership.Member(
            name, self.incarnation, membership.LIVE, host, port, 'p', 'sul'
        )
        self.hooks[name] = _Recorder(self, name)
        self.agents[name] = agent.Agent(
            self.loop,
            made,
            agent.AgentCfg(
                own,
                membership.MembershipCfg(suspect_after=3.0, gone_after=1.0),
                exchange_period_s=0.5,
            ),
            random.Random(name),
            self.metrics[name],
            self.hooks[name],
        )
        self.agents[name].start(
            [
                {**self.agents[seed].state.members.own._asdict()}
                for seed in seeds
            ]
        )
        return self.agents[name]

    def kill(self, name):
        """End an instance without notice."""
        self.agents.pop(name).stop()
        self.meshes[name].stop()

    def active(self):
        """Return the sets of active members that the instances hold."""
        return {
            tuple(made.state.members.active()) for made in self.agents.values()
        }
