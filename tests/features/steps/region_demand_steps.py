"""Steps for the demand by region; no sockets, no clocks."""

import math
import random

import behave
import hypothesis
from hypothesis import strategies as st

from bench import model
from jasminehold.decisions import object_placement
from jasminehold.decisions import region_demand
from jasminehold import errors
from jasminehold.front import demand_news
from jasminehold import metrics as metrics_module
from tests.builders import front_values
from tests.builders import sim

REGIONS = ('leste', 'norte', 'sul')
TICK_S = 0.5
# Lateness of what is known: averages, telling it, and timers.
LATE_S = 1.5


class _Fleet:
    """One instance of each region, and where requests run."""

    def __init__(self, rooms):
        self.rooms = dict(zip(REGIONS, rooms))
        self.rules = {
            region: region_demand.Parts(REGIONS, region) for region in REGIONS
        }
        self.now = 0.0
        self.rows = []
        self.uses = []

    def step(self, told):
        """Step each rule; ``told(region)`` is what it knows."""
        for region, rule in self.rules.items():
            rule.step(told(region), self.rooms, self.now)
        self.rows.append(
            {
                region: region_demand.shares(rule.parts, self.rooms)[region]
                for region, rule in self.rules.items()
            }
        )

    def load(self, demand):
        """Return ``{region: slot-seconds a second}`` that run there."""
        return {
            name: sum(
                row.get(name, 0.0) * demand[region]
                for region, row in self.rows[-1].items()
            )
            for name in REGIONS
        }

    def advance(self, demand):
        """Pass one tick in which what is known is late but complete."""
        self.now += TICK_S
        told = demand(max(self.now - LATE_S, 0.0))
        self.step(lambda region: told)
        now = demand(self.now)
        mean = sum(now.values()) / sum(self.rooms.values())
        self.uses.append(
            max(
                load / self.rooms[region] / mean
                for region, load in self.load(now).items()
            )
        )


def _shifts(rows):
    # The part of each region's requests that changed region in each 2 s.
    span = int(region_demand.WINDOW_S / TICK_S)
    for old, new in zip(rows, rows[span:]):
        for region in REGIONS:
            yield sum(
                abs(new[region].get(name, 0.0) - old[region].get(name, 0.0))
                for name in REGIONS
            ) / 2


@behave.given('regions with {a:d}, {b:d} and {c:d} slots')
def given_regions(context, a, b, c):
    context.fleet = _Fleet((a, b, c))


@behave.given('demand of {a:g}, {b:g} and {c:g} slot-seconds a second')
@behave.when('demand changes to {a:g}, {b:g} and {c:g} slot-seconds a second')
def given_demand(context, a, b, c):
    context.demand = lambda now: dict(zip(REGIONS, (a, b, c)))


@behave.given(
    'demand in waves of {swing:g} around {mean:g} with a period of'
    ' {period:g} s'
)
def given_waves(context, swing, mean, period):
    def demand(now):
        return {
            name: mean
            * (1 + swing * math.sin(2 * math.pi * (now / period + k / 3)))
            for k, name in enumerate(REGIONS)
        }

    context.demand = demand


@behave.when('{seconds:d} s of demand pass')
def when_pass(context, seconds):
    for _ in range(int(seconds / TICK_S)):
        context.fleet.advance(context.demand)
    context.parts = _parts(context.fleet)


def _parts(fleet):
    return {name: dict(rule.parts) for name, rule in fleet.rules.items()}


@behave.when('the news of a region stop for {seconds:d} s')
def when_stop(context, seconds):
    fleet = context.fleet
    told = {'leste': 1.0}
    for _ in range(int(seconds / TICK_S)):
        fleet.now += TICK_S
        fleet.step(lambda region: told)


@behave.then('each region runs within {part:g} of the mean use')
def then_use(context, part):
    fleet = context.fleet
    load = fleet.load(context.demand(fleet.now))
    mean = sum(load.values()) / sum(fleet.rooms.values())
    for region, room in fleet.rooms.items():
        assert abs(load[region] / room / mean - 1) <= part, load


@behave.then('requests go where they go without measurements')
def then_equal(context):
    fleet = context.fleet
    equal = region_demand.shares(dict.fromkeys(REGIONS, 1 / 3), fleet.rooms)
    for region, row in fleet.rows[-1].items():
        for name in REGIONS:
            assert abs(row.get(name, 0.0) - equal[region][name]) < 0.01, row


@behave.then('the parts have not moved')
def then_still(context):
    assert _parts(context.fleet) == context.parts


@behave.then("no region's requests change region by more than {part:g} in 2 s")
def then_shift(context, part):
    assert max(_shifts(context.fleet.rows)) <= part


@behave.then(
    'the busiest region is at most {factor:g} times as busy as the mean in'
    ' time'
)
def then_busiest(context, factor):
    # The first wave finds the parts equal.
    uses = context.fleet.uses[int(36 / TICK_S) :]
    mean = sum(uses) / len(uses)
    assert mean <= factor, (mean, max(uses))


_demands = st.lists(st.floats(0.0, 80.0), min_size=3, max_size=3)


# Guards against instances that each stay within the bound and together break
# it, and against news that arrive late, in bursts or never.
@behave.then(
    'whatever moves and whatever news are lost, no more than {part:g} of a'
    " region's requests change region in 2 s"
)
def then_any_shift(context, part):
    @hypothesis.settings(
        database=None, derandomize=True, deadline=None, max_examples=60
    )
    @hypothesis.given(
        st.lists(_demands, min_size=2, max_size=6),
        st.lists(st.integers(1, 70), min_size=3, max_size=3),
        st.integers(0, 2**32),
    )
    def check(demands, rooms, seed):
        assert _largest_shift(demands, rooms, random.Random(seed)) <= part

    check()


def _largest_shift(demands, rooms, rng):
    fleets = [_Fleet(rooms) for _ in range(3)]
    news = [dict() for _ in fleets]
    rows = []
    for number in range(int(6.0 / TICK_S) * len(demands)):
        true = dict(zip(REGIONS, demands[number // int(6.0 / TICK_S)]))
        for fleet, heard in zip(fleets, news):
            fleet.now = number * TICK_S
            for region in REGIONS:
                chance = rng.random()
                if chance < 0.3:
                    heard[region] = true[region]
                elif chance < 0.35:
                    heard.pop(region, None)
            # Timers are late too.
            if not fleet.rows or rng.random() < 0.7:
                fleet.step(lambda region: heard)
        rows.append(_sum_rows([fleet.rows[-1] for fleet in fleets]))
    return max(_shifts(rows)) / len(fleets)


def _sum_rows(rows):
    return {
        region: {
            n: sum(row[region].get(n, 0.0) for row in rows) for n in REGIONS
        }
        for region in REGIONS
    }


@behave.given(
    'an instance that starts beside {count:d} that tell {rate:g} each'
)
def given_start(context, count, rate):
    context.known = region_demand.RegionDemand('sul')
    others = ['i%d' % index for index in range(count)]
    context.known.on_members({'own', *others})
    for name in others:
        told = region_demand.Rates({'loja': rate}, 9.5)
        context.known.on_instance(name, told)


@behave.then('it takes {total:g} for the demand of the region')
def then_total(context, total):
    found = context.known.own_region(10.0).rates['loja']
    assert abs(found - total) < 1e-6, found


@behave.then('its own first second tells nothing')
def then_nothing(context):
    own = region_demand.OwnDemand()
    own.on_request('loja', 1.0, 10.0)
    assert own.rates(10.5) is None


# Guards against a rule that changes how services are served whose upstreams
# do not share machines.
@behave.given('an instance whose upstreams report no slowdown')
def given_unshared(context):
    pools = {'loja': model.Pool({'a': 2, 'b': 3, 'c': 5})}
    places = dict(zip('abc', REGIONS))
    kind = model.Kind('ver', 'loja', 9.0, 1.0, 1.0, 4.0, 8.0)
    found = model.Model(
        model.Deployment(places, {'a': 1, 'b': 1, 'c': 1}, pools, (kind,)), 1
    )
    found.run(5.0)
    context.steering = found.instances['leste'][0]


@behave.when('it takes requests and hears that demand is uneven')
def when_uneven(context):
    told = {
        region: region_demand.Rates({'loja': rate}, 1.0)
        for region, rate in zip(REGIONS, (1.0, 8.0, 20.0))
    }
    for now in range(20):
        context.steering.on_demand(told, float(now))


@behave.then('its weights are those of equal parts')
def then_former(context):
    rooms = {'leste': 6, 'norte': 9, 'sul': 15}
    former = object_placement.region_shares(
        dict.fromkeys(REGIONS, 10.0), rooms
    )['leste']
    assert not context.steering.shares_any()
    for name, weight in context.steering.placement.weights('loja').items():
        region = dict(zip('abc', REGIONS))[name.split('-')[1]]
        assert weight == former[region] * 3 / rooms[region]


@behave.then(
    'no step gave more than {part:g} of the objects another first owner'
)
def then_owners(context, part):
    rooms = context.fleet.rooms
    before = None
    for row in context.fleet.rows:
        weights = {
            '%s-%d' % (region, number): share / rooms[region]
            for region, share in row['sul'].items()
            for number in range(rooms[region])
        }
        first = [
            object_placement.owners(str(key), weights)[0] for key in range(200)
        ]
        if before is not None:
            moved = sum(a != b for a, b in zip(before, first)) / len(first)
            assert moved <= part, moved
        before = first


class _Mesh:
    """Links without a network: messages arrive after a while."""

    def __init__(self, name, loop, meshes):
        self.name, self.loop, self.meshes = name, loop, meshes
        self.handlers = {}
        self.sent = 0
        meshes[name] = self

    def handle(self, kind, func):
        self.handlers[kind] = func

    def send(self, name, message):
        self.sent += 1
        self.loop.call_later(
            0.05, self.meshes[name].handlers['demand'], self.name, message, 0
        )


@behave.given('three regions of {count:d} instances that tell each other')
def given_telling(context, count):
    places = dict(zip('abc', REGIONS))
    kind = model.Kind('ver', 'loja', 0.001, 1.0, 1.0, 4.0, 8.0)
    dep = model.Deployment(
        places,
        dict.fromkeys('abc', count),
        {'loja': model.Pool({'a': 2, 'b': 3, 'c': 5})},
        (kind,),
    )
    instances = model.Model(dep, 1).instances
    context.world = sim.World(random.Random(1))
    loop = sim.Loop(context.world)
    names = {
        '%s%d' % (region, number): (region, steering)
        for region, items in instances.items()
        for number, steering in enumerate(items)
    }
    context.meshes, context.news = {}, {}
    members = {name: region for name, (region, _) in names.items()}
    for name, (region, steering) in names.items():
        place = dict(zip(REGIONS, 'abc'))[region]
        cfg = front_values.cfg(id=name, place=place, places=places)
        mesh = _Mesh(name, loop, context.meshes)
        item = demand_news.DemandNews(
            loop, mesh, cfg, steering, metrics_module.Metrics()
        )
        item.on_members(members)
        item.start()
        context.news[name] = item

        # Nothing is told where no upstream reports a slowdown.
        steering._estimates.sharing.add('loja')
        _serve(loop, steering.own_demand, 1 + REGIONS.index(region))


def _serve(loop, own, rate):
    own.on_request('loja', rate * 0.1, loop.now())
    loop.call_later(0.1, _serve, loop, own, rate)


def _known(context):
    now = context.world.time
    return {
        name: {
            region: told.rates['loja']
            for region, told in item.known.by_region(now).items()
        }
        for name, item in context.news.items()
    }


@behave.then('each instance knows the demand of all regions after {end:d} s')
def then_known(context, end):
    context.world.run(end)
    count = len(context.news) // 3
    for name, found in _known(context).items():
        for number, region in enumerate(REGIONS):
            expected = count * (1 + number)
            assert abs(found[region] / expected - 1) < 0.1, (name, found)


@behave.then('each sends at most {count:g} messages a second')
def then_messages(context, count):
    before = {name: mesh.sent for name, mesh in context.meshes.items()}
    context.world.run(10.0)
    most = max(
        (mesh.sent - before[name]) / 10.0
        for name, mesh in context.meshes.items()
    )
    assert most <= count, most


# Guards against a message of a later version, or of an instance gone mad,
# that changes the parts.
@behave.then(
    'a message without rates, with a word or with infinity changes nothing'
)
def then_faulty(context):
    before = _known(context)
    message = {'type': 'demand', 'region': 'sul', 'rates': {}, 'age': 0}
    for change in (
        {'rates': None},
        {'rates': {'loja': 'much'}},
        {'rates': {'loja': math.inf}},
        {'rates': {'loja': math.nan}},
        {'rates': {'loja': -1.0}},
        {'age': 'old'},
        {'region': 'nowhere'},
    ):
        for mesh in context.meshes.values():
            try:
                mesh.handlers['demand']('sul0', {**message, **change}, None)
            except errors.MALFORMED_MESSAGE_ERRORS:
                # As the links do.
                pass
    assert _known(context) == before
