"""Instances, a store and links in simulated time, with machines that stop.

The copies, their news and the check of keys are the real ones; calls, links,
clocks and timers are stand-ins.
"""

import heapq
import itertools
import random
import types

from jasminehold.decisions import accounts
from jasminehold.decisions import store_replica
from jasminehold import errors
from jasminehold.front import account_check
from jasminehold.front import first_copy
from jasminehold.front import peering
from jasminehold.front import reader
from jasminehold.front import settled_era
from jasminehold.front import steering
from jasminehold.platform import kv
from jasminehold.platform import wire

KEY = b'ada0secret0key'
REVOKE_S = 5.0
# Time in which the operator writes again after the store went back.
REWRITE_S = 4.5
CALL_TIMEOUT_S = 1.5
# Delay of a link that stands for none.
CUT_S = 1000.0
PLACES = {'sul-a': 'sul'}
_CFG = types.SimpleNamespace(
    place='sul-a',
    places=PLACES,
    peer_key=None,
    store=('127.0.0.1', 1),
    seeds=(),
    strict_revoke=True,
    revoke_within_ms=REVOKE_S * 1000,
)
_ROUTE = types.SimpleNamespace(public=False, home_regions=(), priority=1)
_INBOUND = types.SimpleNamespace(headers=[(wire.CREDENTIAL, KEY)])


class _Store:
    # The store's state; ``down`` and ``cut`` say who gets no answer.

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.events = []
        self.items = {}
        self.down = False
        self.cut = set()
        self.reads = 0

    def put(self, key, value):
        self.revision += 1
        item = store_replica.Item(key, value, self.revision)
        self.events.append(item)
        self.items[key] = item

    def copy(self):
        return self.revision, list(self.events), dict(self.items)

    def go_back(self, kept):
        self.revision, self.events = kept[0], list(kept[1])
        self.items = dict(kept[2])
        self.era += 1


class _Calls:
    # One instance's client of the store.

    def __init__(self, machine):
        self._machine = machine
        self._process = machine.process
        self._era = 0

    def note_era(self, era):
        self._era = max(self._era, era)

    def range(self, prefix, done):
        self._call(self._listed, done)

    def watch(self, prefix, after, wait_s, done):
        self._call(lambda: self._after(after), done)

    def put(self, key, value, revision, done):
        def write():
            self._machine.world.store.put(key, value)
            return None

        self._call(write, done)

    def _listed(self):
        store = self._machine.world.store
        store.reads += 1
        found = list(store.items.values())
        return kv.Range(found, store.revision, era=store.era)

    def _after(self, after):
        store = self._machine.world.store
        store.reads += 1
        found = [item for item in store.events if item.revision > after]
        return kv.Range(found, store.revision, era=store.era)

    def _call(self, execute, done):
        machine = self._machine
        world, ended = machine.world, []

        def finish(result, exc):
            if ended:
                return
            ended.append(True)
            if result is not None and result.era < self._era:
                result, exc = None, errors.PlatformUnavailable('former era')
            if result is not None:
                self.note_era(result.era)
            done(result, exc)

        def arrive():
            if not world.store.down and machine.name not in world.store.cut:
                result = execute()
                world.after(
                    world.delay(),
                    lambda: machine.run_in(
                        self._process, finish, result, None
                    ),
                )

        world.after(world.delay(), arrive)
        exc = errors.PlatformUnavailable('time-out')
        machine.call_later(CALL_TIMEOUT_S, finish, None, exc)


class _Mesh:
    # Messages to other instances; each link has a delay.

    def __init__(self, machine):
        self._machine = machine
        self._process = machine.process
        self.handlers = {}

    def handle(self, kind, func):
        self.handlers[kind] = func

    def set_peers(self, names):
        pass

    def is_connected(self, name):
        return self._machine.world.linked(self._machine.name, name)

    def send(self, name, message, reply=None):
        machine = self._machine
        world = machine.world
        if not self.is_connected(name):
            return
        receiver = world.machines[name]

        def arrive():
            receiver.run(
                lambda: receiver.mesh.handlers[message['type']](
                    machine.name, message, reply or (lambda *args: None)
                )
            )

        world.after(world.link_delay(machine.name, name), arrive)

    def ask(self, name, message, timeout, done):
        machine, ended = self._machine, []
        world = machine.world

        def finish(answer, exc):
            if not ended:
                ended.append(True)
                done(answer, exc)

        def reply(answer, error=None):
            exc = errors.PeerError(error) if error else None
            world.after(
                world.link_delay(name, machine.name),
                lambda: machine.run_in(self._process, finish, answer, exc),
            )

        self.send(name, message, reply)
        machine.call_later(timeout, finish, None, errors.PeerError('late'))


class Machine:
    """A machine with one process, which stops and starts.

    Attributes:
        accepted: number of requests with the key that it let pass.
        refused: number of those that it refused.
        process: number of the process that runs.
    """

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.accepted = 0
        self.refused = 0
        self._boot_lead = world.rng.uniform(0, 1000)
        self._suspended_s = 0.0
        self._stopped_at = None
        self._frozen = False
        self._pending = []
        self.process = 0
        self.start()

    def start(self):
        """Start the process anew."""
        self.process += 1
        loop = types.SimpleNamespace(
            now=self.now, boot_now=self.boot_now, call_later=self.call_later
        )
        world = self.world
        calls = _Calls(self)
        cfg = types.SimpleNamespace(id=self.name, **vars(_CFG))

        def log(*args, **kwargs):
            pass

        metrics = types.SimpleNamespace(inc=lambda *args, **kwargs: None)
        self._table = None
        self.peering = peering.Peering(loop, cfg, world.rng, metrics, log)
        self.mesh = _Mesh(self)
        for kind in ('news', 'snapshot', 'clock'):
            self.mesh.handle(kind, self.peering.mesh._handlers[kind])
        self.peering.mesh = self.mesh
        self.reader = self.peering.reader = reader.StoreReader(
            loop,
            calls,
            self.peering.rank,
            self._on_change,
            self.peering.send_changes,
            self.peering.send_list,
            world.rng,
            log,
        )
        self._first = first_copy.FirstCopy(
            loop,
            self.mesh,
            self.reader,
            self._on_change,
            self._put_in_force,
            lambda name: None,
            metrics,
            log,
        )
        self.accounts = account_check.AccountCheck(
            lambda: _CFG,
            self.reader.proven_age,
            lambda now: self.reader.replica.may_deny(now),
            metrics,
            log,
        )
        self.reader.needs_proof = self.accounts.needs_proof
        self.steering = steering.Steering(
            types.SimpleNamespace(
                **vars(_CFG),
                id=self.name,
                retry_ratio=0.1,
                retry_burst=1,
                retry_window=10.0,
                cold_over=1.0,
                cold_slack=0.0,
                cores=1.0,
                core_speed=1.0,
                link_mbps=1000.0,
                apply_within_ms=2000.0,
            ),
            world.rng,
            log,
        )
        members = {
            name: {'region': 'sul', 'room': 100.0, 'peers': 'x:1'}
            for name in world.names
        }
        self.peering.on_members(members)
        settled = settled_era.SettledEra(
            loop, calls, self.reader.replica, self.peering.rank, log
        )
        self.reader.start()
        settled.start()
        for name in world.names:
            if name != self.name and name in world.machines:
                self._first.on_link_up(name)

    def now(self):
        """Return the monotonic seconds."""
        return self.world.now - self._suspended_s

    def boot_now(self):
        """Return the seconds of the boot clock."""
        return self.world.now + self._boot_lead

    def call_later(self, delay, func, *args):
        """Call a function when the monotonic clock is later by a delay."""
        due, cancelled = self.now() + delay, []
        process = self.process

        def fire():
            if cancelled:
                return
            if self.now() < due - 1e-9:
                self.world.after(due - self.now(), check)
            else:
                func(*args)

        def check():
            self.run_in(process, fire)

        self.world.after(delay, check)
        return types.SimpleNamespace(cancel=lambda: cancelled.append(True))

    def run(self, func, *args):
        """Call a function of the process, once the machine runs."""
        self.run_in(self.process, func, *args)

    def run_in(self, process, func, *args):
        """Call a function of a process, unless that has ended."""
        if self._stopped_at is not None:
            self._pending.append((process, func, args))
        elif process == self.process:
            func(*args)

    def stop(self, frozen, seconds):
        """Freeze the process, or suspend the machine."""
        if self._stopped_at is None:
            self._stopped_at, self._frozen = self.world.now, frozen
            self.world.after(seconds, self._wake)

    def _wake(self):
        if not self._frozen:
            self._suspended_s += self.world.now - self._stopped_at
        self._stopped_at = None
        pending, self._pending = self._pending, []
        # What waited in sockets, timers and a caller's request.
        pending.append((self.process, self.ask, ()))
        self.world.rng.shuffle(pending)
        for process, func, args in pending:
            if process == self.process:
                func(*args)

    def ask(self):
        """Let a caller present the key."""
        if not self.accounts.in_use:
            # There are no routes either.
            return
        sender = self.accounts.sender(_ROUTE, _INBOUND, None, self.now())
        if isinstance(sender, account_check.Sender):
            self.accepted += 1
            self.world.on_accepted(self)
        else:
            self.refused += 1

    def _on_change(self, keys):
        self._first.on_copy()
        if self._first.in_force:
            self._put_in_force(keys)

    def _put_in_force(self, keys):
        copy = self.reader.replica
        found = (copy.superseded(wire.CONFIG_KEY), copy.items.get('op/config'))
        for item in found:
            if item is not None:
                version, _, held = item.value.partition(b':')
                row = (accounts.Account('ada'), [KEY] if held else [])
                table = accounts.AccountTable([row])
                config = types.SimpleNamespace(version=int(version))
                if self.steering.on_config(config):
                    self.accounts.on_config(table)


class World:
    """Instances and a store, and an operator who adds and withdraws a key.

    Args:
        seed: of all that happens.
        count: number of instances.

    Attributes:
        late: ``(instance, seconds)`` of accepted requests, with the time since
            the withdrawal was acknowledged, beyond the bound.
    """

    def __init__(self, seed, count=3):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.late = []
        self.store = _Store()
        self.names = ['i%d' % number for number in range(count)]
        self.machines = {}
        self._links = {}
        self._heap = []
        self._numbers = itertools.count()
        self._version = 0
        self._held = b'held'
        self._withdrawn_at = None
        self._write()
        self._kept = self.store.copy()
        for name in self.names:
            self.machines[name] = Machine(self, name)
        for machine in self.machines.values():
            self._ask_again(machine)

    def after(self, delay, func):
        """Call a function later, by the true time."""
        heapq.heappush(
            self._heap, (self.now + delay, next(self._numbers), func)
        )

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, func = heapq.heappop(self._heap)
            func()
        self.now = end

    def delay(self):
        """Return the seconds to or from the store."""
        return self.rng.uniform(0.001, 0.03)

    def linked(self, first, second):
        """Return whether two instances have a link."""
        return self.link_delay(first, second) < CUT_S

    def link_delay(self, first, second):
        """Return the seconds that a message takes now."""
        extra = self._links.get((first, second), 0.0)
        return extra + self.rng.uniform(0.001, 0.03)

    def on_accepted(self, machine):
        """Record a request that an instance let pass."""
        if self._withdrawn_at is not None:
            since = self.now - self._withdrawn_at
            if since > REVOKE_S:
                self.late.append((machine.name, round(since, 2)))

    def _ask_again(self, machine):
        machine.run(machine.ask)
        self.after(
            self.rng.uniform(0.1, 0.4), lambda: self._ask_again(machine)
        )

    def _write(self):
        # A version of the operator, acknowledged when this returns.
        self._version += 1
        value = b'%d:%s' % (self._version, self._held)
        self.store.put('op/config', value)

    def withdraw(self):
        """Withdraw the key, unless it is, and the store is down."""
        if self._held and not self.store.down:
            self._held, self._withdrawn_at = b'', self.now
            self._write()

    def add(self):
        """Add the key again."""
        if not self._held and not self.store.down:
            self._held, self._withdrawn_at = b'held', None
            self._write()

    def take_down(self, seconds, back):
        """Take the store down; it may come back from an older copy."""
        if self.store.down:
            return
        self.store.down = True
        self.after(seconds, lambda: self._bring_up(back))

    def _bring_up(self, back):
        self.store.down = False
        if back:
            self.store.go_back(self._kept)
            self.after(self.rng.uniform(0.5, REWRITE_S), self._rewrite)

    def _rewrite(self):
        value = b'%d:%s' % (self._version, self._held)
        self.store.put('op/config', value)

    def step(self):
        """Let something happen, and some time pass."""
        rng = self.rng
        machine = self.machines[rng.choice(self.names)]
        other = rng.choice(self.names)
        seconds = rng.choice((0.3, 0.45, 2.0, 8.0))
        events = {
            'withdraw': self.withdraw,
            'add': self.add,
            'freeze': lambda: machine.stop(True, seconds),
            'suspend': lambda: machine.stop(False, seconds),
            'restart': machine.start,
            'cut': lambda: self.store.cut.add(machine.name),
            'heal': self.heal,
            'slow': lambda: self._slow(machine.name, other),
            'down': lambda: self.take_down(seconds, False),
            'drill': lambda: self.take_down(seconds, True),
            'keep': self.keep,
        }
        events[rng.choice(list(events) + ['withdraw', 'add'])]()
        self.run(rng.choice((0.05, 0.5, 1.5)))

    def keep(self):
        """Keep a copy of the store, to which it goes back."""
        if not self.store.down:
            self._kept = self.store.copy()

    def heal(self):
        """End all cuts and delays."""
        self.store.cut.clear()
        self._links.clear()

    def _slow(self, first, second):
        seconds = self.rng.choice((0.2, 3.0, 6.0, CUT_S))
        self.set_link(first, second, seconds)

    def set_link(self, first, second, seconds):
        """Let messages of a link take longer by some seconds."""
        self._links[first, second] = seconds

    def cut(self, name):
        """Cut an instance off from the store and from the others."""
        self.store.cut.add(name)
        for other in self.names:
            self._links[name, other] = self._links[other, name] = CUT_S
