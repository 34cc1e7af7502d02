"""Claims of three instances against a naive store, with any message order.

Each message, reply, time-out and timer is an event that the machine delivers
when it likes. A message whose sender gave up on it may still arrive.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from jasminehold.control import claim_hooks
from jasminehold.decisions import claim_log
from jasminehold import errors
from jasminehold.proxy import hooks

Kind = errors.Kind
Result = claim_log.Result
Status = claim_log.Status
SETTINGS = hypothesis.settings(
    database=None,
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
NAMES = ('a', 'b', 'c')
KEYS = (b'k0', b'k1')


class _Ask:
    """One question to another process; answered at most once."""

    def __init__(self, world, asker, serve, done, lost):
        self.world, self.asker, self.serve = world, asker, serve
        self.done, self.lost, self.open = done, lost, True
        world.events.append(self.arrive)
        world.asks.append(self)

    def arrive(self):
        self.serve(lambda *reply: self.world.events.append(self._back(reply)))

    def _back(self, reply):
        return lambda: self.end(*reply)

    def give_up(self):
        self.end(*self.lost)

    def end(self, *reply):
        if self.open and self.asker not in self.world.dead:
            self.open = False
            self.world.asks.remove(self)
            self.done(*reply)


class _Instance:
    """Fakes of the loop, the mesh and the claims of one instance."""

    def __init__(self, world, name, cls):
        self.world, self.name, self.handlers = world, name, {}
        self.claiming = cls(
            self, self, name, world.dead.__contains__, 1e9, random.Random(name)
        )
        self.claiming.claims = self

    def now(self):
        return 0.0

    def call_later(self, delay, call):
        def fire():
            if self.name not in self.world.dead:
                call()

        self.world.events.append(fire)

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def ask(self, name, message, timeout, done):
        def serve(reply):
            if name not in self.world.dead:
                handler = self.world.instances[name].handlers[message['type']]
                handler(self.name, message, lambda doc: reply(doc, None))

        lost = (None, errors.PeerError('timed out'))
        _Ask(self.world, self.name, serve, done, lost)

    def claim(self, key, digest, holder, done):
        self._ask_store('claim', key, digest, holder, done)

    def release(self, key, holder, done):
        self._ask_store('release', key, b'', holder, done)

    def _ask_store(self, verb, key, digest, holder, done):
        def serve(reply):
            reply(self.world.decide(verb, key, digest, holder), None)

        _Ask(
            self.world, self.name, serve, done, (Result(Status.UNKNOWN), None)
        )


class World:
    """Everything that exists in one example."""

    def __init__(self, cls):
        self.events, self.asks, self.dead = [], [], set()
        self.store, self.ran, self.granted = {}, {}, []
        self.instances = {name: _Instance(self, name, cls) for name in NAMES}
        self.told = []

    def decide(self, verb, key, digest, holder):
        entry = self.store.get(key)
        if verb == 'release':
            if entry != holder:
                return Result(Status.NOT_HELD)
            del self.store[key]
            return Result(Status.RELEASED, holder)
        if entry is not None:
            return Result(Status.TAKEN, entry)
        self.store[key] = holder
        return Result(Status.GRANTED, holder)

    def request(self, name, key):
        def on_claim(claim):
            self.told.append(claim)
            if claim.granted:
                self.granted.append((name, key))
            elif claim.kind is Kind.ANSWER_LOST:
                assert key in self.ran or self.dead, 'lost but never sent'
                for other in self.instances.values():
                    kept = other.claiming.find(key)
                    assert other.name in self.dead or kept is None, 'kept'
            elif claim.answer is not None:
                assert key in self.ran

        self.instances[name].claiming.claim(key, b'd' * 8, on_claim)

    def step_granted(self, index, what):
        name, key = self.granted.pop(index % len(self.granted))
        if name in self.dead:
            return
        one = self.instances[name].claiming
        if what == 'shed':
            one.release(key)
            return
        assert key not in self.ran, 'ran twice'
        self.ran[key] = name
        answer = hooks.KeptAnswer(b'd' * 8, 200, [], b'x')
        one.keep(key, None if what == 'lose' else answer)

    def settle(self):
        """Deliver everything; then a key that never ran must be free."""
        for _ in range(1000):
            if not self.events:
                break
            self.events.pop(0)()
        assert not self.events, 'events without end'
        while self.granted:
            self.step_granted(0, 'shed')
            self.settle()


def late_release(cls):
    """Run an order whose first release arrives after its second claim."""
    world, key = World(cls), KEYS[0]
    world.request('a', key)
    world.events.pop(0)()
    world.events.pop(0)()
    world.step_granted(0, 'shed')
    world.request('a', key)
    # The answer to the second claim overtakes the first one's release.
    world.events.pop(1)()
    world.events.pop(1)()
    for name in ('a', 'b'):
        if world.granted:
            world.step_granted(0, 'run')
        while world.events:
            world.events.pop(0)()
        if name == 'a' and not world.granted:
            world.request('b', key)
            while world.events:
                world.events.pop(0)()
    if world.granted:
        world.step_granted(0, 'run')
    assert world.ran


def machine(cls=claim_hooks.ClaimHooks):
    """Return a state machine that searches for faults of a class."""

    class Machine(stateful.RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.world = World(cls)

        @stateful.rule(
            name=strategies.sampled_from(NAMES),
            key=strategies.sampled_from(KEYS[:1] * 4 + KEYS),
        )
        def request(self, name, key):
            if name not in self.world.dead:
                self.world.request(name, key)

        @stateful.rule(index=strategies.integers(0, 7))
        def deliver(self, index):
            events = self.world.events
            if events:
                events.pop(index % len(events))()

        @stateful.rule(index=strategies.integers(0, 7))
        def deliver_next(self, index):
            if self.world.events:
                self.world.events.pop(0)()

        @stateful.rule(index=strategies.integers(0, 7))
        def give_up(self, index):
            if self.world.asks:
                self.world.asks[index % len(self.world.asks)].give_up()

        @stateful.rule(
            index=strategies.integers(0, 3),
            what=strategies.sampled_from(('run', 'shed', 'shed', 'lose')),
        )
        def granted(self, index, what):
            if self.world.granted:
                self.world.step_granted(index, what)

        @stateful.rule(
            name=strategies.sampled_from(NAMES),
            rarely=strategies.integers(0, 9),
        )
        def die(self, name, rarely):
            if rarely == 9 and len(self.world.dead) < 2:
                self.world.dead.add(name)

        def teardown(self):
            world = self.world
            world.settle()
            live = [name for name in NAMES if name not in world.dead]
            for key in KEYS:
                if key in world.ran or world.dead:
                    continue
                for _ in range(3):
                    world.request(live[0], key)
                    world.told.clear()
                    while world.events:
                        world.events.pop(0)()
                    if world.granted:
                        break
                assert world.granted, 'a key that never ran stays taken'
                world.granted.clear()

    return Machine


class Unnumbered(claim_hooks.ClaimHooks):
    """Faulty: all claims of an instance are the same."""

    def __init__(self, *args):
        super().__init__(*args)
        self._rng.getrandbits = lambda bits: 0


class Adopting(claim_hooks.ClaimHooks):
    """Faulty: runs under a claim for which a release was sent."""

    def _claim_after_release(self, key, digest, holder, done, allow_retry):
        self._running[key] = holder
        done(hooks.Claim(True))


class Overtaken(claim_hooks.ClaimHooks):
    """Faulty: forgets the claims whose grant has not arrived."""

    def _state(self, key, holder):
        self._unanswered.clear()
        return super()._state(key, holder)


class Forgetful(claim_hooks.ClaimHooks):
    """Faulty: forgets which claims were given back."""

    def _state(self, key, holder):
        self._released.clear()
        return super()._state(key, holder)


BROKEN = {
    'unnumbered': Unnumbered,
    'overtaken': Overtaken,
    'forgetful': Forgetful,
}
