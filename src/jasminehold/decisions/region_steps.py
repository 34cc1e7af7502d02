"""Steps of movements and older shares that a region's planner takes.

Source: docs/design.md, section 3 (``movement``, ``legacy``).
"""

import typing

from jasminehold.decisions import legacy
from jasminehold.decisions import movement


class PlaceSignals(typing.NamedTuple):
    """Measured load of one service at one place, over all instances.

    Attributes:
        sent_rps: attempts a second.
        shed_rps: refused attempts a second.
        latency_s: mean latency weighted by attempts.
        age_s: age of the newest measurement, None when there is none.
    """

    sent_rps: float
    shed_rps: float
    latency_s: float
    age_s: float | None


def merge_stats(reports, service, place):
    """Return the :class:`PlaceSignals` that reports show.

    Args:
        reports: recent reports with ``stats``.
        service: the service.
        place: the place.
    """
    sent = shed = weighted = 0.0
    age = None
    for report in reports:
        cell = report['stats'].get(service, {}).get(place)
        if cell is None:
            continue
        sent += cell[0]
        shed += cell[1]
        weighted += cell[0] * cell[2]
        age = cell[3] if age is None else min(age, cell[3])
    latency = weighted / sent if sent else 0.0
    return PlaceSignals(sent, shed, latency, age)


def client_rps(reports, service, region):
    """Return a client region's requests a second; ``*`` sums all regions."""
    total = 0.0
    for report in reports:
        for name, rate in report['clients'].get(service, {}).items():
            if region in ('*', name):
                total += rate
    return total


def steps_version(before, following):
    """Return the version of the plan in which its steps became what they are.

    Args:
        before: the plan before.
        following: the next plan, with its steps.
    """
    if before.get('steps') == following['steps']:
        return before.get('steps_version', before['version'])
    return following['version']


def in_force(plan, names, reports):
    """Return whether the steps of a plan are in force at all instances.

    Shares change with the demand, as often as twice a second, so an
    acknowledgement of the newest plan would rarely be complete. A limit whose
    use does not yet fit a lowered share concerns the steps only when it is
    the cap of a movement.

    Args:
        plan: the stored plan.
        names: set of the live instances.
        reports: their recent reports.
    """
    version = plan.get('steps_version', plan['version'])
    return all(
        name in reports
        and reports[name]['acked'][0] >= version
        and not any(
            key.startswith('move:') for key in reports[name]['acked'][1]
        )
        for name in names
    )


class RegionSteps:
    """Movements into a region and older shares, as its planner steps them.

    Args:
        region: the region.
        shares: ``{movement: share}`` of the stored plan.
        legacy_shares: ``{service: share}`` of the stored plan.
        now: seconds, monotonic; steps wait a whole period after a change of
            the planner, since it cannot know when the last one was made.
    """

    def __init__(self, region, shares, legacy_shares, now):
        self.region = region
        self.movements = {
            name: movement.MovementState(
                share=share,
                steps=len(movement.WARM_UP_FACTORS),
                stepped_at=now,
            )
            for name, share in shares.items()
        }
        self.legacy = {
            name: legacy.LegacyState(share, now)
            for name, share in legacy_shares.items()
        }

    def advance(self, config, reports, in_force, room, now, with_legacy):
        """Take the steps that are due.

        Args:
            config: object with ``all(kind)``.
            reports: recent reports of the instances.
            in_force: whether the stored plan is in force at all instances.
            room: ``room(limit id)`` returns requests a second left.
            now: seconds, monotonic.
            with_legacy: whether this region's planner steps the older
                shares, which belong to no region.

        Returns:
            ``{"movements": {name: share}, "legacy": {service: share}}``.
        """
        places = {
            doc['metadata']['name']
            for doc in config.all('place')
            if doc['spec']['region'] == self.region
        }
        splits = {
            (doc['spec']['service'], doc['spec']['client_region']): doc['spec']
            for doc in config.all('traffic_split')
        }
        seen = set()
        for doc in config.all('movement'):
            if doc['spec']['to_place'] in places:
                name = doc['metadata']['name']
                seen.add(name)
                self._move(
                    name, doc['spec'], splits, reports, in_force, room, now
                )
        for name in set(self.movements) - seen:
            del self.movements[name]
        if with_legacy:
            self._advance_legacy(config, in_force, now)
        else:
            self.legacy = {}
        return {
            'movements': {n: s.share for n, s in self.movements.items()},
            'legacy': {n: s.share for n, s in self.legacy.items()},
        }

    def _move(self, name, spec, splits, reports, in_force, room, now):
        service, region = spec['service'], spec.get('client_region', '*')
        split = splits.get((service, region)) or splits.get((service, '*'))
        state = self.movements.get(name, movement.MovementState())
        if split is None:
            # The target share is a part of the source's share, which nothing
            # declares.
            hold = movement.HoldReason.NO_SPLIT
            self.movements[name] = state._replace(hold=hold)
            return
        source = split['shares'].get(spec['from_place'], 0.0)
        measured = merge_stats(reports, service, spec['to_place'])
        total = client_rps(reports, service, region)
        age = measured.age_s
        if state.share == 0.0 and reports:
            # A target without traffic cannot be measured; the first small
            # step is what makes it measurable.
            age = 0.0
        signals = movement.TargetSignals(
            in_force=in_force,
            age_s=age,
            shed_share=measured.shed_rps / max(measured.sent_rps, 1e-9),
            latency_s=measured.latency_s,
            total_rps=total,
            capacity_left_rps=room('place', spec['to_place']),
            link_left_rps=room('link', (spec['from_place'], spec['to_place'])),
        )
        declared = movement.MovementSpec(
            name,
            spec['target_share'] * source,
            spec['step_share'] * source,
            spec['step_seconds'],
            spec['cap_rps'],
            spec['paused'],
        )
        self.movements[name] = movement.advance(declared, state, signals, now)

    def _advance_legacy(self, config, in_force, now):
        seen = set()
        for doc in config.all('legacy_share'):
            spec = doc['spec']
            service = spec['service']
            seen.add(service)
            # The first value seen is the older system's share of today.
            state = self.legacy.get(
                service, legacy.LegacyState(spec['share'], now)
            )
            self.legacy[service] = legacy.advance(
                spec['share'],
                spec['step_share'],
                spec['step_seconds'],
                state,
                in_force,
                now,
            )
        for name in set(self.legacy) - seen:
            del self.legacy[name]
