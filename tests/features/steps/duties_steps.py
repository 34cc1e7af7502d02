"""Steps for duties, on simulated time."""

import random
from unittest import mock

import behave
from builders import sim
import hypothesis
from hypothesis import strategies

from jasminehold.decisions import duty_lease
from jasminehold import duties as duties_module

NAME = 'planner/sul'
IDS = ('a', 'b', 'c')

INDEX = strategies.integers(0, len(IDS) - 1)
STEPS = strategies.lists(
    strategies.one_of(
        [
            strategies.tuples(INDEX, strategies.just(verb), values)
            for verb, values in (
                ('run', strategies.floats(0.1, 6)),
                ('pause', strategies.floats(0.5, 12)),
                ('down', strategies.sampled_from(['', 'hang', 'refuse'])),
                ('lose', strategies.integers(1, 3)),
                ('delay', strategies.sampled_from([0.005, 0.9, 0.9])),
            )
        ]
    ),
    min_size=5,
    max_size=25,
)


class _Fleet:
    def __init__(self, seed=1, names=(NAME,), others=()):
        self.world = sim.World(random.Random(seed))
        self.loops, self.duties, self.changes = [], [], []
        self.owners = {}
        for ident in IDS:
            loop = sim.Loop(self.world)
            cfg = duties_module.DutiesConfig(
                ident, names, region_duties=frozenset(names if others else ())
            )
            duties = duties_module.Duties(
                loop,
                sim.Client(loop),
                cfg,
                random.Random(ident),
                lambda *change: self.changes.append(change),
            )
            duties.set_candidates(IDS + tuple(others), IDS)
            self.loops.append(loop)
            self.duties.append(duties)

    def holders(self):
        now = self.world.time
        return [
            i for i, d in enumerate(self.duties) if d.fencing_token(NAME, now)
        ]

    def check(self):
        found = self.holders()
        assert len(found) <= 1, 'two holders'
        for index in found:
            token = self.duties[index].fencing_token(NAME, self.world.time)
            assert self.owners.setdefault(token, index) == index
            # A fenced resource refuses tokens below the highest it has seen.
            assert token == max(self.owners), 'the holder would be fenced off'


def _search(examples):
    held = []

    @hypothesis.settings(
        database=None,
        derandomize=True,
        deadline=None,
        max_examples=examples,
        # Shrinking a failure takes longer than the runner waits.
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(STEPS)
    def run(steps):
        fleet = _Fleet()
        fleet.world.run(3, fleet.check)
        for index, verb, arg in steps:
            if verb == 'run':
                fleet.world.run(arg, fleet.check)
            else:
                fleet.world.disturb(fleet.loops[index], verb, arg)
            fleet.world.run(0.2, fleet.check)
        fleet.world.down, fleet.world.lose_next = '', 0
        fleet.world.delay = 0.005
        fleet.world.run(40, fleet.check)
        assert fleet.holders(), 'nobody holds the duty after recovery'
        held.append(len(fleet.owners))

    run()
    return held


@behave.then(
    'no interleaving of pauses, outages and lost replies gives two holders'
)
def then_single(context):
    held = _search(400)
    assert max(held) >= 3, 'the duty hardly ever moved'


@behave.then(
    'the same search finds two holders when validity counts from the answer'
)
def then_broken(context):
    def renewed(self, ident, asked_at, now):
        self._valid_until = now + self.cfg.ttl
        return True

    with mock.patch.object(duty_lease.Lease, 'renewed', renewed):
        try:
            _search(400)
        except AssertionError as exc:
            assert 'two holders' in str(exc), exc
            return
    raise AssertionError('the broken variant was not caught')


@behave.then(
    'a killed holder is replaced within 6 s and a released duty within 2 s'
)
def then_moves(context):
    fleet = _Fleet()
    fleet.world.run(3, fleet.check)
    first = fleet.holders()[0]
    fleet.loops[first].paused_until = float('inf')
    fleet.world.run(6, fleet.check)
    second = fleet.holders()[0]
    assert second != first
    done = []
    fleet.duties[second].release_all(lambda *answer: done.append(answer))
    assert not fleet.holders()
    fleet.world.run(2, fleet.check)
    assert done == [(None, None)]
    assert fleet.holders()[0] not in (first, second)


@behave.then(
    'a killed holder of a local duty is replaced within 6 s among 200 others'
)
def then_local(context):
    fleet = _Fleet(others=['other-%d' % n for n in range(200)])
    fleet.world.run(3, fleet.check)
    first = fleet.holders()[0]
    fleet.loops[first].paused_until = float('inf')
    fleet.world.run(6, fleet.check)
    assert fleet.holders() not in ([], [first])


@behave.then('an instance whose acquisition lost its reply holds the duty')
def then_lost(context):
    fleet = _Fleet()
    fleet.world.lose_next = 6
    fleet.world.run(4, fleet.check)
    assert fleet.holders()


@behave.then('the looks of 5800 candidates sum to under 20 a second')
def then_rate(context):
    cfg, rng = duty_lease.LeaseConfig(), random.Random(1)
    rate = sum(1 / duty_lease.check_delay(i, cfg, rng) for i in range(5800))
    assert rate < 20, rate
    weights = {str(i): duty_lease.hash_name(str(i)) for i in range(100)}
    ranks = sorted(duty_lease.rank(NAME, i, weights) for i in weights)
    assert ranks == list(range(100))
