"""Steps for claims, on simulated time and on the embedded stand-in."""

import random
import tracemalloc
from unittest import mock

import behave
from builders import platform_world
from builders import sim
import hypothesis
from hypothesis import strategies
import msgpack

from jasminehold import claims as claims_module
from jasminehold.decisions import claim_log
from jasminehold import duties as duties_module
from jasminehold import metrics

Status = claim_log.Status
# Small sizes, so that a few claims spill into segments.
SMALL = claim_log.Config(head_bytes=300, segment_bytes=500)
REQUEST = b'r' * 8


class _FakeDuties:
    """Lets a test decide who takes itself for the holder."""

    def __init__(self):
        self.held = True

    def fencing_token(self, name, now):
        return 1 if self.held else None

    def holder(self, name):
        return None

    def refresh(self):
        """Look again; the fake knows nothing new."""


class _Fleet:
    def __init__(self, owners=2, cfg=SMALL, seed=1):
        self.world = sim.World(random.Random(seed))
        self.loops, self.duties, self.claims = [], [], []
        self.results, self.granted, self.asked = {}, {}, 0
        for index in range(owners):
            self.add_owner(cfg, seed + index)

    def add_owner(self, cfg, seed):
        loop = sim.Loop(self.world)
        duties = _FakeDuties()
        claims = claims_module.Claims(
            loop,
            sim.Client(loop),
            duties,
            claims_module.ClaimsConfig('i%d' % seed, 1, cfg),
            metrics.Metrics(),
            wall=lambda: 1e9 + self.world.time,
            rng=random.Random(seed),
        )
        self.loops.append(loop)
        self.duties.append(duties)
        self.claims.append(claims)
        return claims

    def claim(self, owner, key, request=REQUEST):
        # Each claim has an instance id of its own, so that every stored entry
        # can be traced to the claim that made it.
        self.asked += 1
        ident = 'c%d' % self.asked

        def done(result, exc):
            assert ident not in self.results, 'answered twice'
            self.results[ident] = result
            if result.status is Status.GRANTED:
                assert key not in self.granted, 'granted twice'
                self.granted[key] = ident

        digest = b'%016d' % key
        self.claims[owner].claim(digest, request, ident, done)
        return ident

    def release(self, owner, key):
        ident = self.granted.pop(key, None)
        if ident is None:
            return

        def done(result, exc):
            # Not released for certain, so nobody else may be granted the key.
            if result.status is Status.UNAVAILABLE:
                assert key not in self.granted, 'granted twice'
                self.granted[key] = ident

        self.claims[owner].release(b'%016d' % key, ident, done)

    def check(self):
        refused = {
            ident
            for ident, result in self.results.items()
            if result.status is Status.UNAVAILABLE
        }
        for claims in self.claims:
            for _, entry in claims._logs[0].entries():
                assert entry.instance not in refused, 'refused but stored'

    def settle(self):
        self.world.down, self.world.lose_next = '', 0
        self.world.delay = 0.005
        for duties in self.duties[1:]:
            duties.held = False
        self.duties[0].held = True
        self.world.run(20, self.check)
        assert self.claims[0].ready(0)
        assert len(self.results) == self.asked, 'a claim was not answered'


STEP = strategies.one_of(
    [
        strategies.tuples(
            strategies.just(verb), strategies.integers(0, 1), values
        )
        for verb, values in (
            ('claim', strategies.integers(0, 5)),
            ('claim', strategies.integers(0, 40)),
            ('burst', strategies.integers(0, 40)),
            ('release', strategies.integers(0, 5)),
            ('run', strategies.sampled_from([0.003, 0.01, 0.05, 0.3, 1.5])),
            ('pause', strategies.floats(0.01, 3)),
            ('own', strategies.booleans()),
            ('down', strategies.sampled_from(['', '', 'hang', 'refuse'])),
            ('lose', strategies.integers(1, 2)),
            ('delay', strategies.sampled_from([0.005, 0.7])),
        )
    ]
)


def _apply(fleet, verb, owner, arg):
    if verb == 'claim':
        fleet.claim(owner, arg)
    elif verb == 'burst':
        for key in range(arg, arg + 12):
            fleet.claim(owner, key)
    elif verb == 'release':
        fleet.release(owner, arg)
    elif verb == 'run':
        fleet.world.run(arg, fleet.check)
    elif verb == 'own':
        fleet.duties[owner].held = arg
    else:
        fleet.world.disturb(fleet.loops[owner], verb, arg)


def _search():
    totals = {'granted': 0, 'unknown': 0, 'unavailable': 0, 'taken': 0}
    totals['segments'] = 0

    @hypothesis.settings(
        database=None,
        derandomize=True,
        deadline=None,
        max_examples=300,
        # Shrinking a failure takes longer than the runner waits.
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(strategies.lists(STEP, min_size=20, max_size=80))
    def run(steps):
        fleet = _Fleet()
        fleet.world.run(0.5)
        for step in steps:
            _apply(fleet, *step)
            fleet.world.run(0.002, fleet.check)
        fleet.settle()
        for result in fleet.results.values():
            totals[result.status.value] += 1
        totals['segments'] += len(fleet.claims[0]._logs[0]._segments)

    run()
    return totals


def _caught(text):
    try:
        _search()
    except AssertionError as exc:
        assert text in str(exc), exc
        return
    raise AssertionError('the broken variant was not caught')


@behave.then('no interleaving of two owners grants a key twice')
def then_once(context):
    totals = _search()
    print('claims by result:', totals)
    assert min(totals.values()) > 20, totals


@behave.then(
    'the same search fails when an owner ignores a failed compare-and-swap'
)
def then_ignores(context):
    right = claim_log.ClaimLog._on_put

    def on_put(self, outcome, version):
        if outcome is claim_log.Outcome.MISMATCH:
            outcome, version = claim_log.Outcome.OK, self._version
        right(self, outcome, version)

    with mock.patch.object(claim_log.ClaimLog, '_on_put', on_put):
        _caught('granted twice')


@behave.then('the same search fails when a lost reply is taken for a failure')
def then_lost(context):
    right = claim_log.ClaimLog._on_put

    def on_put(self, outcome, version):
        if outcome is claim_log.Outcome.UNKNOWN:
            outcome = claim_log.Outcome.UNAVAILABLE
        right(self, outcome, version)

    with mock.patch.object(claim_log.ClaimLog, '_on_put', on_put):
        _caught('refused but stored')


@behave.given('one owner on a simulated platform')
def given_owner(context):
    context.fleet = _Fleet(owners=1, cfg=claim_log.Config(keep_s=60.0))
    context.fleet.world.run(1)


@behave.then(
    'a repeat is taken, another request is key_reused, a release frees it'
)
def then_results(context):
    fleet = context.fleet

    def result(key, request=REQUEST):
        ident = fleet.claim(0, key, request)
        fleet.world.run(0.2, fleet.check)
        return fleet.results[ident]

    assert result(1) == (Status.GRANTED, 'c1')
    assert result(1) == (Status.TAKEN, 'c1')
    assert result(1, b'other---') == (Status.KEY_REUSED, 'c1')
    fleet.world.lose_next = 1
    ident = fleet.claim(0, 2)
    fleet.world.run(0.5)
    assert fleet.results[ident].status is Status.GRANTED, 'not read back'
    fleet.release(0, 1)
    assert result(1).status is Status.GRANTED


@behave.then(
    '1000 claims a second need at most 36 writes a second for one shard'
)
def then_few(context):
    fleet = context.fleet
    before = fleet.world.writes
    for key in range(1000):
        fleet.claim(0, key)
        fleet.world.run(0.001)
    fleet.world.run(1)
    assert len(fleet.granted) == 1000, len(fleet.granted)
    # 30 heads and segments a second, and the deletion of merged segments.
    assert fleet.world.writes - before <= 36, fleet.world.writes - before


@behave.then(
    'a new owner knows 3000 claims and forgets them and their segments'
)
def then_survive(context):
    fleet = context.fleet
    for key in range(3000):
        fleet.claim(0, key)
        fleet.world.run(0.002)
    fleet.world.run(1)
    assert len(fleet.granted) == 3000
    fleet.duties[0].held = False
    # A segment that an owner stored but did not come to name.
    orphan = 'claims/0/seg/0'
    fleet.world.store.put(orphan, b'', 0)
    new = fleet.add_owner(claim_log.Config(keep_s=60.0), 7)
    fleet.world.run(1)
    assert new.ready(0) and new._logs[0].size == 3000
    stored = fleet.world.store.list('claims/0/seg/', '')[0]
    assert orphan not in [key for key, _ in stored]
    assert len(stored) == len(new._logs[0]._segments) > 1
    assert all(len(item.value) <= 65536 for _, item in stored)
    ident = fleet.claim(1, 17)
    fleet.world.run(0.2)
    assert fleet.results[ident].status is Status.TAKEN
    fleet.world.run(120)
    assert new._logs[0].size == 0
    assert not fleet.world.store.list('claims/0/seg/', '')[0]


@behave.then(
    "a late segment is removed and a later owner's segments never are"
)
def then_late_segment(context):
    fleet, late = context.fleet, 'claims/0/seg/0'
    owner = fleet.add_owner(claim_log.Config(orphan_scan_interval_s=5.0), 5)
    fleet.duties[0].held = False
    fleet.world.run(1)
    assert owner.ready(0)
    store = fleet.world.store
    store.put(late, msgpack.packb([]), 0)
    for key in range(600):
        fleet.claim(1, key)
        fleet.world.run(0.01)
    assert store.list('claims/0/seg/', '')[0]
    fleet.world.run(6)
    named = {owner._logs[0]._segment_key(s) for s in owner._logs[0]._segments}
    assert named and {key for key, _ in _segments(fleet)} == named
    # An owner that was replaced without noticing lists the segments of its
    # successor; it must not delete them.
    fleet.world.run(4)
    new = fleet.add_owner(claim_log.Config(), 6)
    for key in range(1000, 1600):
        fleet.claim(2, key)
        fleet.world.run(0.01)
    fleet.world.run(0.1)
    fresh = {new._logs[0]._segment_key(s) for s in new._logs[0]._segments}
    assert fresh - named
    fleet.duties[2].held = False
    listing = claim_log.Action('list', 'claims/0/seg/')
    log = owner._logs[0]
    log._outstanding, log._batch = listing, None
    log._phase = claim_log._Phase.READY
    items = [(k, i.value, i.version) for k, i in _segments(fleet)]
    now = fleet.loops[1].now()
    log.finish(listing, claim_log.Outcome.OK, items, False, now)
    assert log._orphans
    fleet.world.run(5)
    assert fresh <= {key for key, _ in _segments(fleet)}


def _segments(fleet):
    return fleet.world.store.list('claims/0/seg/', '')[0]


@behave.then('claims beyond the limit are refused until older ones expire')
def then_limit(context):
    fleet = context.fleet
    fleet.duties[0].held = False
    fleet.add_owner(claim_log.Config(keep_s=60.0, max_claims=50), 5)
    fleet.world.run(1)
    idents = [fleet.claim(1, key) for key in range(60)]
    fleet.world.run(1, fleet.check)
    results = [fleet.results[ident].status for ident in idents]
    assert results == [Status.GRANTED] * 50 + [Status.UNAVAILABLE] * 10
    again = fleet.claim(1, 0)
    fleet.world.run(30)
    assert fleet.results[again].status is Status.TAKEN, 'forgotten early'
    fleet.world.run(65)
    ident = fleet.claim(1, 55)
    fleet.world.run(1)
    assert fleet.results[ident].status is Status.GRANTED


@behave.then('as many claims as allowed by default take at most 64 MB')
def then_memory(context):
    log = claim_log.ClaimLog(0, claim_log.Config(), random.Random(1))
    tracemalloc.start()
    for number in range(claim_log.Config().max_claims):
        key = number.to_bytes(16, 'big')
        holder = 'i-%016x/%016x' % (number, number)
        log._apply([key, key[8:], holder, 1e9 + number])
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held <= 64 * 2**20, held


@behave.then(
    'during an outage a new key is unavailable and a known one is taken'
)
def then_outage(context):
    fleet = context.fleet
    fleet.claim(0, 1)
    fleet.world.run(0.2)
    fleet.world.down = 'refuse'
    new, known = fleet.claim(0, 2), fleet.claim(0, 1)
    fleet.world.run(0.3, fleet.check)
    assert fleet.results[new].status is Status.UNAVAILABLE
    assert fleet.results[known] == (Status.TAKEN, 'c1')
    fleet.world.down = ''
    fleet.world.run(1)
    again = fleet.claim(0, 2)
    fleet.world.run(0.2, fleet.check)
    assert fleet.results[again].status is Status.GRANTED


@behave.given('two instances with duties on an embedded platform')
def given_two(context):
    world = context.world = platform_world.World()
    context.claims = {}
    names = tuple('claims/%d' % shard for shard in range(4))

    def send_claim(owner_id, message, done):
        answer = lambda reply: done(reply, None)  # noqa: E731
        context.claims[owner_id].handle_claim(message, answer)

    for index, ident in enumerate(('a', 'b')):
        client = world.new_client(index)
        duties = duties_module.Duties(
            world.loop,
            client,
            duties_module.DutiesConfig(ident, names),
            random.Random(index),
            lambda name, token, ident=ident: context.claims[
                ident
            ].on_duty_change(name, token),
        )
        duties.set_candidates(['a', 'b'])
        context.claims[ident] = claims_module.Claims(
            world.loop,
            client,
            duties,
            claims_module.ClaimsConfig(ident),
            metrics.Metrics(),
            send_claim,
            rng=random.Random(index),
        )
    # Both have looked at the duties' keys at least once after they were set.
    world.run_for(3.0)


@behave.then(
    'a claim made at either instance is granted once and seen by both'
)
def then_both(context):
    results = []
    for key in range(40):
        for ident in ('a', 'b'):
            context.claims[ident].claim(
                b'%016d' % (key * 7919),
                REQUEST,
                ident,
                lambda result, exc, key=key: results.append((key, result)),
            )
    context.world.run_until(lambda: len(results) == 80)
    statuses = [result.status for _, result in results]
    assert statuses.count(Status.GRANTED) == 40, statuses
    assert statuses.count(Status.TAKEN) == 40, statuses
    assert context.world.standin.state.get('claims/0/head')
