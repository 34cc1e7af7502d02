"""Randomised soak of real instances with faults from outside.

Usage::

    python tests/soak/run.py --seeds 50            # by hand
    python tests/soak/run.py --first 7 --seeds 1   # one seed again
    python tests/soak/run.py --seeds 1 --instances 40 --seconds 60
    python tests/soak/run.py --seeds 1 --planted repeats_orders

Faults, restarts and changes come in series that overlap. Ends with exit
status 1 when a promise was broken; settings, logs and findings of a seed are
in ``out/soak/<seed>``.
"""

import pathlib
import random
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / 'src')]

import fire  # noqa: E402

from tests.builders import front_rig  # noqa: E402
from tests.soak import callers  # noqa: E402
from tests.soak import checks  # noqa: E402
from tests.soak import world as world_module  # noqa: E402

STORE_FAULTS = (
    {'mode': 'silent'},
    {'mode': 'busy'},
    {'mode': 'many'},
    {'mode': 'reset'},
    {'mode': 'refuse'},
    {'mode': 'silent', 'leases': 'pause'},
    {'slow_s': 0.4, 'lose_writes': 2},
    {'lose_writes': 3, 'late_s': 1.5},
)
KINDS = (
    'store',
    'relay',
    'kill',
    'pause',
    'stop',
    'configure',
    'drain',
    'evacuate',
    'crash',
    'limit',
    'send_crashing',
    'forget',
    'reload',
    'go_back',
    'leave',
    'ask_pause',
)
# Drawn on their own beside the others, so that those are drawn as before.
BESIDE_KINDS = ('cut',)
# Part of the steps at which one of these begins, and its variants.
BESIDE_PART = 0.25
CUT_KINDS = ('hang', 'reset', 'refuse')
# Numbers of callers whose requests crash upstreams begin here.
CRASHING_NUMBERS = 1000
# Callers of other kinds, and where their numbers begin.
OTHER_CALLERS = (
    callers.SlowCaller,
    callers.PipeliningCaller,
    callers.LateCaller,
    callers.LateCaller,
    callers.LateCaller,
)
OTHER_NUMBERS = 500
# Part of the seeds whose instances have clocks that step.
CLOCKS_PART = 0.5
# Age of the oldest copy that the store comes back from, seconds.
COPY_AGE_MAX_S = 5.0
# Reports of each upstream that are lost when the store goes back.
LOST_REPORTS = 60
# Time in which faults are over at the end of a run.
CALM_S = 6.0


class Faults:
    """Draws and carries out faults; each returns when it will end."""

    def __init__(self, world, rng, seed, kinds):
        self.world = world
        self._kinds = [
            getattr(self, '_' + kind) for kind in kinds if kind in KINDS
        ]
        self._cuts = 'cut' in kinds
        self._beside_rng = random.Random('%s/beside' % seed)
        self._seed = seed
        self._rng = rng
        self._ends = []
        # (at, copy of the store) of earlier steps.
        self._copies = []
        self.crashing = []

    def step(self):
        """Begin one fault and end those that are due."""
        now = time.monotonic()
        self.finish(now)
        self._copies = [
            item for item in self._copies if item[0] > now - COPY_AGE_MAX_S
        ]
        self._copies.append((now, self.world.copy_state()))
        if self._kinds:
            self._rng.choice(self._kinds)()
        if self._cuts and self._beside_rng.random() < BESIDE_PART:
            self._cut()

    def finish(self, now):
        """End the faults whose time has come."""
        due = [item for item in self._ends if item[0] <= now]
        for item in due:
            self._ends.remove(item)
            item[1]()

    def _later(self, low, high, func):
        end = time.monotonic() + self._rng.uniform(low, high)
        self._ends.append((end, func))

    def _instance(self):
        return self._rng.choice(self.world.instances)

    def _cut(self):
        # At least one instance keeps its paths.
        whole = [item for item in self.world.instances if not item.cut]
        if len(whole) < 2:
            return
        item = self._beside_rng.choice(whole)
        self.world.cut(item, self._beside_rng.choice(CUT_KINDS))
        end = time.monotonic() + self._beside_rng.uniform(5.5, 9.0)
        self._ends.append((end, lambda: self.world.cut(item, '')))

    def _store(self):
        begin = time.monotonic()
        world = self.world
        faults = self._rng.choice(STORE_FAULTS)
        world.on_loop(world.store.set_faults, **faults)

        def end():
            world.on_loop(world.store.set_faults)
            world.trouble(None, begin)

        self._later(0.5, 3.0, end)

    def _relay(self):
        begin, item = time.monotonic(), self._instance()
        mode = self._rng.choice(('delay', 'reset', 'one way', 'silent'))
        self.world.on_loop(item.relay.set_mode, mode)

        def end():
            self.world.on_loop(item.relay.set_mode, '')
            self.world.trouble(item.name, begin)

        self._later(0.5, 4.0, end)

    def _kill(self):
        begin, item = time.monotonic(), self._instance()
        process = item.process
        item.signal(signal.SIGKILL)
        item.wait()

        def end():
            if item.process is process:
                item.start()
            self.world.trouble(item.name, begin)

        self._later(0.2, 1.5, end)

    def _pause(self):
        begin, item = time.monotonic(), self._instance()
        item.signal(signal.SIGSTOP)

        def end():
            item.signal(signal.SIGCONT)
            self.world.trouble(item.name, begin)

        self._later(0.3, 3.0, end)

    def _stop(self):
        item = self._instance()
        begin, process = time.monotonic(), item.process
        self.world.record.stops.append((item.name, item.incarnation, begin))
        item.signal(signal.SIGTERM)

        def end():
            # An overlapping pause must not hold the end up.
            if item.process is process:
                item.signal(signal.SIGCONT)
                item.wait()
                item.start()
            self.world.trouble(item.name, begin + world_module.GRACE_S)

        self._later(world_module.GRACE_S, world_module.GRACE_S + 1.0, end)

    def _configure(self):
        for _ in range(self._rng.choice((1, 1, 3))):
            self.world.configure()

    def _drain(self):
        names = [name for name in self.world.upstreams if name[0] == 'u']
        drained = {name for _, name in self.world.record.drains}
        drained |= set(self.world.record.leaving)
        left = [name for name in names if name not in drained]
        if len(left) > 2:
            self.world.drain(self._rng.choice(left))
            self.world.add_upstream('u%d' % len(names))

    def _evacuate(self):
        if self.world.evacuated:
            return
        place = self._rng.choice(sorted(front_rig.PLACES))
        self.world.evacuate(place)
        self._later(4.0, 9.0, self.world.take_back)

    def _crash(self):
        world = self.world
        name = self._rng.choice(sorted(world.upstreams))
        item = world.upstreams[name]

        def drop():
            for served in list(item.conns):
                served.conn.reset()

        world.on_loop(drop)

    def _limit(self):
        world = self.world
        name = self._rng.choice(sorted(world.upstreams))
        if world.upstreams[name].limit is not None:
            return
        world.limit(name, self._rng.choice((0.3, 1.0, 1.9, 5.0)))
        self._later(6.0, 10.0, lambda: world.end_limit(name))

    def _send_crashing(self):
        number = CRASHING_NUMBERS + len(self.crashing)
        thread = callers.CrashingCaller(self.world, number, self._seed)
        self.crashing.append(thread)
        thread.start()

        def end():
            thread.stopped = True

        self._later(4.0, 9.0, end)

    def _go_back(self):
        begin, world = time.monotonic(), self.world
        state = self._rng.choice(self._copies)[1]
        after_s = self._rng.uniform(0.1, 1.5)
        # The instances hear of these before they are lost.
        world.on_loop(world.report, LOST_REPORTS)

        def take_away():
            world.on_loop(world.store.set_faults, mode='refuse')
            self._later(0.1, 1.0, end)

        def end():
            world.go_back(state, after_s)
            # What the writers have not written again is not in force.
            self._later(after_s, after_s, written)

        def written():
            world.trouble(None, begin)
            self._later(0.2, 1.5, world.configure)

        self._later(0.8, 1.2, take_away)

    def _leave(self):
        world = self.world
        names = sorted(name for name in world.upstreams if name[0] == 'u')
        gone = {name for _, name in world.record.drains}
        left = [n for n in names if n not in gone | set(world.record.leaving)]
        if len(left) > 2:
            world.leave(self._rng.choice(left))
            world.add_upstream('u%d' % len(names))

    def _ask_pause(self):
        world = self.world
        name = self._rng.choice(sorted(world.upstreams))
        if world.upstreams[name].retry_after is None:
            world.ask_pause(name, self._rng.choice((0.7, 1.5, 3.0)))
            self._later(1.0, 5.0, lambda: world.end_pause(name))

    def _forget(self):
        self.world.on_loop(self.world.store.compact_history)

    def _reload(self):
        self._instance().signal(signal.SIGHUP)


def play(seed, seconds, instances, upstreams, planted, kinds):
    """Play one seed; returns the broken promises."""
    rng = random.Random(seed)
    program = ('jasminehold',)
    if planted:
        program = ('tests.soak.planted', planted)
    elif rng.random() < CLOCKS_PART:
        program = ('tests.soak.clocks', str(seed))
    folder = ROOT / 'out' / 'soak' / str(seed)
    relayed = any(kind in BESIDE_KINDS for kind in kinds)
    world = world_module.World(folder, instances, upstreams, program, relayed)
    threads = []
    try:
        world.start()
        threads = [
            callers.Caller(world, number, seed)
            for number in range(2 * instances)
        ]
        threads += [
            kind(world, OTHER_NUMBERS + number, seed)
            for number, kind in enumerate(OTHER_CALLERS)
        ]
        for thread in threads:
            thread.start()
        faults = Faults(world, rng, seed, kinds)
        end = time.monotonic() + seconds - CALM_S
        while time.monotonic() < end:
            faults.step()
            time.sleep(rng.uniform(0.2, 1.2))
        while faults._ends:
            faults.finish(time.monotonic())
            time.sleep(0.1)
        threads += faults.crashing
        world.record.calm_from = time.monotonic() + CALM_S / 2
        time.sleep(CALM_S)
    finally:
        for thread in threads:
            thread.stopped = True
        for thread in threads:
            thread.join(10)
        world.stop()
    found = checks.broken(world.record)
    (folder / 'findings.txt').write_text('\n'.join(found) + '\n')
    print(
        'seed %d: %d requests, %d arrivals, %d faults, %d broken'
        % (
            seed,
            len(world.record.sent),
            len(world.record.arrivals),
            len(world.record.troubles),
            len(found),
        ),
        flush=True,
    )
    for text in found[:10]:
        print('  ' + text, flush=True)
    return found


def main(
    seeds=1,
    first=1,
    seconds=20.0,
    instances=3,
    upstreams=5,
    planted='',
    kinds='',
):
    """Play seeds one after the other.

    Args:
        seeds: number of seeds.
        first: first seed.
        seconds: length of each.
        instances: processes of the product.
        upstreams: stand-in upstreams at the start.
        planted: name of a fault in ``planted.py``, '' for the real program.
        kinds: kinds of :data:`KINDS` and :data:`BESIDE_KINDS` to draw, with
            commas; '' for all.
    """
    drawn = tuple(kinds.split(',')) if isinstance(kinds, str) else kinds
    drawn = drawn if kinds else KINDS + BESIDE_KINDS
    bad = []
    for seed in range(first, first + seeds):
        if play(seed, seconds, instances, upstreams, planted, drawn):
            bad.append(seed)
    print('%d seeds, broken: %s' % (seeds, bad or 'none'))
    sys.exit(1 if bad else 0)


if __name__ == '__main__':
    fire.Fire(main)
