"""Steps of movements and legacy shares, taken by a region's planner.

Source: docs/design.md, section 3 (``movement``, ``legacy``).
"""

import typing

from jasminehold.decisions import legacy
from jasminehold.decisions import movement


class PlaceLoad(typing.NamedTuple):
    """Measured load of one service at one place, over all instances.

    Attributes:
        sent_rps: attempts per second.
        shed_rps: refused attempts per second.
        latency_s: mean latency weighted by attempts.
        age_s: age of the newest measurement, None when there is none.
    """

    sent_rps: float
    shed_rps: float
    latency_s: float
    age_s: float | None


def merge_stats(reports, service, place):
    """Return the :class:`PlaceLoad` summed over reports.

    Args:
        reports: recent reports with ``stats``.
        service: the service.
        place: the place.
    """
    sent = shed = weighted = 0.0
    age = None
    for report in reports:
        stats = report['stats'].get(service, {}).get(place)
        if stats is None:
            continue
        sent += stats[0]
        shed += stats[1]
        weighted += stats[0] * stats[2]
        age = stats[3] if age is None else min(age, stats[3])
    latency = weighted / sent if sent else 0.0
    return PlaceLoad(sent, shed, latency, age)


def client_rps(reports, service, region):
    """Return the requests per second of a client region, ``*`` for all."""
    total = 0.0
    for report in reports:
        for name, rate in report['clients'].get(service, {}).items():
            if region in ('*', name):
                total += rate
    return total


def steps_version(before, following):
    """Return the plan version that introduced the present steps.

    Args:
        before: the previous plan.
        following: the next plan, with its steps.
    """
    if before.get('steps') == following['steps']:
        return before.get('steps_version', before['version'])
    return following['version']


def in_force(plan, names, reports):
    """Return whether the steps of a plan are in force at all instances.

    Limit shares follow the demand and change up to twice a second, so the
    newest plan is rarely acknowledged by all instances. A limit whose use
    still exceeds a lowered share delays the steps only when it is the cap of
    a movement.

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
    """State of the movements into a region and of the legacy shares.

    Args:
        region: the region.
        shares: ``{movement: share}`` of the stored plan.
        legacy_shares: ``{service: share}`` of the stored plan.
        now: seconds, monotonic. A new planner does not know the time of the
            last step and waits a full period before the next.
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

    def advance(self, config, reports, in_force, headroom, now, with_legacy):
        """Take the steps that are due.

        Args:
            config: object with ``all(kind)``.
            reports: recent reports of the instances.
            in_force: whether the stored plan is in force at all instances.
            headroom: ``headroom(kind, key)`` returns the unused requests per
                second of a place or link.
            now: seconds, monotonic.
            with_legacy: whether this region's planner advances the legacy
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
                self._advance_movement(
                    name, doc['spec'], splits, reports, in_force, headroom, now
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

    def _advance_movement(
        self, name, spec, splits, reports, in_force, headroom, now
    ):
        service, region = spec['service'], spec.get('client_region', '*')
        split = splits.get((service, region)) or splits.get((service, '*'))
        state = self.movements.get(name, movement.MovementState())
        if split is None:
            # The target share is relative to the share of the source, which
            # is not declared.
            hold = movement.HoldReason.NO_SPLIT
            self.movements[name] = state._replace(hold=hold)
            return
        source = split['shares'].get(spec['from_place'], 0.0)
        measured = merge_stats(reports, service, spec['to_place'])
        total = client_rps(reports, service, region)
        age = measured.age_s
        if state.share == 0.0 and reports:
            # A target without traffic has no measurements until the first
            # small step.
            age = 0.0
        signals = movement.TargetSignals(
            in_force=in_force,
            age_s=age,
            shed_share=measured.shed_rps / max(measured.sent_rps, 1e-9),
            latency_s=measured.latency_s,
            total_rps=total,
            capacity_left_rps=headroom('place', spec['to_place']),
            link_left_rps=headroom(
                'link', (spec['from_place'], spec['to_place'])
            ),
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
            # The first declared value is the present share of the legacy
            # system.
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
