"""Tells the instances of the demand of all regions.

Message on the streams between instances: ``demand``, a region, its demand in
slot-seconds a second by service, and the age of that in seconds. Within its
region an instance tells its own demand. A few of each region, the speakers,
tell the sum to those of the other regions, which pass it on in their own.
"""

import math

from jasminehold.decisions import hashing
from jasminehold.decisions import region_demand

# Interval at which an instance tells, and most messages that it sends in a
# second; it tells less often to more instances.
TELL_EVERY_S = 0.5
MAX_MESSAGES_PER_S = 200
# Fraction of the interval after which news are passed on again.
PASS_ON_AFTER_FRACTION = 0.95
# Instances of a region that speak for it to other regions.
SPEAKERS = 2
# Services in one message, those with most demand.
MAX_SERVICES = 32
# Larger figures, slot-seconds a second, are errors.
MAX_RATE = 1e7


class DemandNews:
    """Measures the demand here, tells it, and moves the parts of regions.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        mesh: the :class:`~jasminehold.peers.mesh.Mesh`.
        cfg: the :class:`~jasminehold.front.cfg.Cfg`.
        steering: the :class:`~jasminehold.front.steering.Steering`.
        metrics: counters.

    Attributes:
        known: the :class:`~decisions.region_demand.RegionDemand`.
    """

    def __init__(self, loop, mesh, cfg, steering, metrics):
        self._loop = loop
        self._mesh = mesh
        self._steering = steering
        self._metrics = metrics
        self._id = cfg.id
        self._region = cfg.places[cfg.place]
        self.known = region_demand.RegionDemand(self._region)
        self._regions = {}
        self._near = ()
        self._tells = self._speaks = False
        self._far_speakers = ()
        self._passed_on = {}
        mesh.handle('demand', self._on_news)

    def start(self):
        """Begin to tell."""
        self._loop.call_later(TELL_EVERY_S, self._on_timer)

    def on_members(self, regions):
        """Update the live instances; ``regions`` is ``{id: region}``."""
        self._regions = dict(regions)
        by_region = {}
        for name, region in regions.items():
            by_region.setdefault(region, []).append(name)
        near = set(by_region.pop(self._region, ())) | {self._id}
        order = _order(near)
        self._tells = self._id in order[: region_demand.MAX_TELLERS]
        self._speaks = self._id in order[:SPEAKERS]
        self._near = tuple(near - {self._id})
        self._far_speakers = tuple(
            name
            for names in by_region.values()
            for name in _order(names)[:SPEAKERS]
        )
        self.known.on_members(near)

    def _on_timer(self):
        self._loop.call_later(self._interval_s(), self._on_timer)
        if not self._steering.shares_any():
            return
        now = self._loop.now()
        own = self._steering.own_demand.rates(now)
        if own is not None:
            self.known.on_instance(self._id, own)
            if self._tells:
                self._tell(self._near, self._region, own)
            total = self.known.own_region(now)
            if self._speaks and total is not None:
                self._tell(self._far_speakers, self._region, total)
        found = self.known.by_region(now)
        self._steering.on_demand(found, now)
        for region, told in found.items():
            for service, rate in _largest(told.rates):
                self._metrics.set(
                    'region_demand', rate, region=region, service=service
                )

    def _interval_s(self):
        # Speakers also pass on what the other regions tell.
        regions = len(self._steering.placement.regions())
        count = len(self._near) * (regions if self._speaks else 1)
        count += len(self._far_speakers) if self._speaks else 0
        return max(TELL_EVERY_S, count / MAX_MESSAGES_PER_S)

    def _tell(self, names, region, told):
        message = {
            'type': 'demand',
            'region': region,
            'rates': {
                name: round(rate, 3) for name, rate in _largest(told.rates)
            },
            'age': max(self._loop.now() - told.at, 0.0),
        }
        for name in names:
            self._mesh.send(name, message)

    def _on_news(self, sender, message, reply):
        region = str(message['region'])
        rates = {
            str(name): _rate(rate)
            for name, rate in list(message['rates'].items())[:MAX_SERVICES]
        }
        now = self._loop.now()
        told = region_demand.Rates(rates, now - max(_rate(message['age']), 0))
        near = self._regions.get(sender) == self._region
        if region == self._region:
            if near:
                self.known.on_instance(sender, told)
        elif region in self._steering.placement.regions():
            if self.known.on_region(region, told) and not near:
                self._pass_on(region, told)

    def _pass_on(self, region, told):
        # The speakers of a region tell the same; one of them is enough.
        last = self._passed_on.get(region, -math.inf)
        if told.at - last >= PASS_ON_AFTER_FRACTION * self._interval_s():
            self._passed_on[region] = told.at
            self._tell(self._near, region, told)


def _order(names):
    return sorted(names, key=lambda name: hashing.point('demand', name))


def _largest(rates):
    return sorted(rates.items(), key=lambda item: -item[1])[:MAX_SERVICES]


def _rate(value):
    value = float(value)
    if not 0.0 <= value <= MAX_RATE:
        raise ValueError('rate out of range')
    return value
