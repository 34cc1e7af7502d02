"""Demand by region, and the parts of all capacity that regions count for.

An instance measures the demand of its callers, instances tell each other, and
the parts of the regions follow what is known in small steps.
"""

import math
import typing

from jasminehold.decisions import object_placement

# Time constant of the measured demand, seconds.
SMOOTHING_S = 3.0
# An instance that has measured for a shorter time than this tells nothing.
MIN_MEASURED_S = 1.0
# Part of the second average that must be covered by measurements before it
# is used.
MIN_COVERED = 0.5
# News count as the present for this long, seconds.
FRESH_S = 5.0
# After this time without present news from every region the parts return to
# equal ones, seconds.
HOLD_S = 20.0
# Use of the busiest region's slots with equal parts up to which nothing moves,
# and from which on the parts follow the demand wholly. Where all have room, an
# object that moves costs more than a region that is busier than others.
EASY_USE = 0.4
FULL_USE = 0.7
# Part of the instances of a region of which news are needed, with
# :data:`MAX_TELLERS`, before they say something of the region.
MIN_TOLD_FRACTION = 0.5
# Instances of a region that tell; the others count as their mean.
MAX_TELLERS = 32
# Fraction of a region's requests that may change region between windows of
# this many seconds.
MAX_SHIFT = 0.15
WINDOW_S = 2.0
# Fraction of that which is used; queues move requests between regions too.
SHIFT_MARGIN = 0.5
# Fraction of a region's requests in a wrong region at which parts begin to
# move, and at which they stop.
HYSTERESIS = 0.04
REACHED = 0.005
# A fraction of requests that is none.
NOTHING = 1e-9
# Most time that one step makes up for, seconds.
MAX_STEP_S = 1.0
# Halvings in the search for the largest allowed step.
SEARCH_STEPS = 20
# Instances of each region whose news are kept.
MAX_INSTANCES = 256


class Rates(typing.NamedTuple):
    """Demand by service that was told or measured.

    Attributes:
        rates: ``{service: slot-seconds a second}``.
        at: monotonic seconds at which it was measured.
    """

    rates: dict
    at: float


class OwnDemand:
    """Demand that one instance takes from callers.

    The average of a wave is late by its time constant. The average of that
    average is late by twice as much, so the difference of the two makes up
    for it.
    """

    def __init__(self):
        self._averages = {}
        self._began_at = None

    def on_request(self, service, seconds, now):
        """Count a first request of a caller.

        Args:
            service: the request's target service.
            seconds: estimated time that it occupies a slot, seconds.
            now: monotonic seconds.
        """
        if self._began_at is None:
            self._began_at = now
        once, twice = self._decayed(service, now)
        self._averages[service] = once + seconds / SMOOTHING_S, twice, now

    def rates(self, now):
        """Return the :class:`Rates`, None if measured too shortly."""
        if self._began_at is None or now - self._began_at < MIN_MEASURED_S:
            return None
        return Rates(
            {name: self._rate(name, now) for name in self._averages}, now
        )

    def _rate(self, service, now):
        # Averages that began at 0 are scaled to the time that they cover.
        once, twice = self._decayed(service, now)
        age = (now - self._began_at) / SMOOTHING_S
        once /= -math.expm1(-age)
        covered = 1.0 - math.exp(-age) * (1.0 + age)
        if covered < MIN_COVERED:
            return once
        return max(2.0 * once - twice / covered, 0.0)

    def _decayed(self, service, now):
        once, twice, at = self._averages.get(service, (0.0, 0.0, now))
        age = max(now - at, 0.0) / SMOOTHING_S
        factor = math.exp(-age)
        return once * factor, (twice + once * age) * factor


class RegionDemand:
    """What an instance knows of the demand of all regions.

    Args:
        region: the instance's own region.
    """

    def __init__(self, region):
        self._region = region
        self._near = {}
        self._near_count = 0
        self._regions = {}

    def on_members(self, near):
        """Update the instances of the own region.

        Args:
            near: ids of all live instances there.
        """
        self._near_count = len(near)
        self._near = {
            name: rates for name, rates in self._near.items() if name in near
        }

    def on_instance(self, name, rates):
        """Record :class:`Rates` of an instance of the own region.

        Returns:
            Whether they are newer than what was known.
        """
        known = self._near.get(name)
        if known is not None and known.at >= rates.at:
            return False
        if known is None and len(self._near) >= MAX_INSTANCES:
            return False
        self._near[name] = rates
        return True

    def on_region(self, region, rates):
        """Record :class:`Rates` of another region as a whole.

        Returns:
            Whether they are newer than what was known.
        """
        known = self._regions.get(region)
        if known is not None and known.at >= rates.at:
            return False
        self._regions[region] = rates
        return True

    def own_region(self, now):
        """Return the :class:`Rates` of the own region, None if unknown.

        Instances without news count as much as the mean of the others.
        """
        fresh = [it for it in self._near.values() if now - it.at <= FRESH_S]
        tellers = min(self._near_count, MAX_TELLERS)
        if not fresh or len(fresh) < MIN_TOLD_FRACTION * tellers:
            return None
        factor = max(self._near_count, len(fresh)) / len(fresh)
        total = {}
        for item in fresh:
            for service, rate in item.rates.items():
                total[service] = total.get(service, 0.0) + factor * rate
        return Rates(total, min(item.at for item in fresh))

    def by_region(self, now):
        """Return ``{region: Rates}``, without those not told of lately."""
        found = {
            region: rates
            for region, rates in self._regions.items()
            if now - rates.at <= FRESH_S
        }
        own = self.own_region(now)
        if own is not None:
            found[self._region] = own
        return found


class Parts:
    """Parts of all capacity of one service that the regions count for.

    They begin equal and move in steps. A step never moves more of the own
    region's requests to other regions than the bound allows.

    Args:
        regions: names of all regions.
        region: the own one.
    """

    def __init__(self, regions, region):
        self._region = region
        self._equal = {name: 1.0 / len(regions) for name in sorted(regions)}
        self.parts = dict(self._equal)
        self._stepped_at = None
        self._known_at = None
        self._moving = False

    def step(self, rates, rooms, now):
        """Move towards the measured demand; returns whether parts changed.

        Args:
            rates: ``{region: slot-seconds a second}`` of the service; empty
                or incomplete if a region's demand is not known now.
            rooms: ``{region: slots}``.
            now: monotonic seconds.
        """
        since = self._stepped_at
        self._stepped_at = now
        if since is None or not any(rooms.values()):
            return False
        target = self._target(rates, rooms, now)
        allowed = SHIFT_MARGIN * MAX_SHIFT / WINDOW_S
        allowed *= min(max(now - since, 0.0), MAX_STEP_S)
        if target is None or not allowed:
            return False
        distance = self._moved(target, rooms)
        if distance <= NOTHING:
            self.parts = target
            return False
        self._moving = distance >= (REACHED if self._moving else HYSTERESIS)
        if not self._moving:
            return False
        # First how much the own region serves itself: that keeps a region with
        # little room from being overrun by its own demand.
        own = {**self.parts, self._region: target[self._region]}
        allowed -= self._step_to(own, rooms, allowed)
        self._step_to(target, rooms, allowed)
        return True

    def _step_to(self, target, rooms, allowed):
        # Returns how much of what is allowed was used.
        distance = self._moved(target, rooms)
        if distance <= allowed:
            self.parts = target
            return distance
        low, high = 0.0, 1.0
        for _ in range(SEARCH_STEPS):
            middle = (low + high) / 2
            if self._moved(self._between(target, middle), rooms) > allowed:
                high = middle
            else:
                low = middle
        self.parts = self._between(target, low)
        return allowed

    def _target(self, rates, rooms, now):
        total = sum(rates.values())
        if set(rates) == set(self._equal) and total > 0:
            self._known_at = now
            use = _busiest_use(rates, shares(self._equal, rooms), rooms)
            follow = (use - EASY_USE) / (FULL_USE - EASY_USE)
            follow = min(max(follow, 0.0), 1.0)
            return {
                name: part + follow * (rates[name] / total - part)
                for name, part in self._equal.items()
            }
        if self._known_at is not None and now - self._known_at > HOLD_S:
            return self._equal
        return None

    def _between(self, target, fraction):
        return {
            name: part + fraction * (target[name] - part)
            for name, part in self.parts.items()
        }

    def _moved(self, parts, rooms):
        # The fraction of the own region's requests that would change region.
        before = shares(self.parts, rooms)[self._region]
        after = shares(parts, rooms)[self._region]
        return sum(
            abs(after.get(name, 0.0) - before.get(name, 0.0)) / 2
            for name in set(before) | set(after)
        )


def _busiest_use(rates, rows, rooms):
    # The largest part of a region's slots that would be in use.
    load = dict.fromkeys(rooms, 0.0)
    for region, row in rows.items():
        for name, share in row.items():
            load[name] += share * rates[region]
    return max(load[name] / room for name, room in rooms.items() if room)


def shares(parts, rooms, use=1.0):
    """Return how regions' demand is spread, as ``region_shares`` does.

    Args:
        parts: ``{region: part of all capacity}``, which sum to 1.
        rooms: ``{region: slots}``.
        use: part of all slots that the demand takes.
    """
    total = use * sum(rooms.values())
    return object_placement.region_shares(
        {name: part * total for name, part in parts.items()}, rooms
    )
