"""Progress of plans and drains that a region's planner publishes.

Source: docs/design.md, sections 3.2 and 4.
"""

from jasminehold.decisions import drain
from jasminehold.decisions import limit_table
from jasminehold.decisions import limiters as limiter_rules


class Progress:
    """State of a region's plan, limits, movements and drains for operators.

    Args:
        region: name of the region.
    """

    def __init__(self, region):
        self._region = region
        self._limits = {}
        self._used_rps = {}
        self._places = {}
        self._unreported = []
        self._drains = {}
        self._plan_version = 0

    def update(self, plan, limits, fresh, names, config, now):
        """Update the state from the latest instance reports.

        Args:
            plan: the stored plan of the region.
            limits: the region's limits.
            fresh: ``{instance: report}`` without outdated reports.
            names: ids of the live instances.
            config: object with ``all(kind)`` and
                ``version_of(kind, name)``.
            now: monotonic time in seconds.
        """
        self._plan_version = plan['version']
        self._limits = {limit.id: limit for limit in limits}
        self._used_rps = {}
        self._places = {}
        self._unreported = sorted(names - set(fresh))[:8]
        for report in fresh.values():
            for limit_id, rps in report['demand'].items():
                if limiter_rules.is_rate(limit_id):
                    self._used_rps[limit_id] = (
                        self._used_rps.get(limit_id, 0.0) + rps
                    )
            summary = self._places.setdefault(
                report['place'], [0, report['revision']]
            )
            summary[0] += 1
            summary[1] = min(summary[1], report['revision'])
        self._update_drains(config, fresh, names, now)

    def free_rps(self, kind, key):
        """Return the unused requests per second at a place or on a link.

        Args:
            kind: ``place`` or ``link``.
            key: the place, or ``(from place, to place)``.
        """
        if kind == 'link':
            ids = [limit_table.link_rate(*key)]
        else:
            ids = [
                limit_table.place_rate(key),
                limit_table.region_rate(self._region),
            ]
        left_rps = float('inf')
        for limit_id in ids:
            limit = self._limits.get(limit_id)
            if limit is not None:
                used_rps = self._used_rps.get(limit_id, 0.0)
                left_rps = min(left_rps, max(limit.usable - used_rps, 0.0))
        return left_rps

    def document(self, steps):
        """Return the notice that publishes the progress to other instances.

        Args:
            steps: the :class:`region_steps.RegionSteps`.
        """
        return {
            'plan': self._plan_version,
            'places': self._places,
            'missing': self._unreported,
            'rates': {
                limit.id: [
                    round(self._used_rps.get(limit.id, 0.0), 1),
                    limit.usable,
                ]
                for limit in self._limits.values()
                if limiter_rules.is_rate(limit.id)
            },
            'movements': {
                name: [round(state.share, 6), state.hold.value]
                for name, state in steps.movements.items()
            },
            'legacy': {
                name: round(state.share, 6)
                for name, state in steps.legacy.items()
            },
            'drains': {
                name: [
                    state.phase.value,
                    state.in_flight,
                    state.drain_s,
                ]
                for name, state in self._drains.items()
            },
        }

    def _update_drains(self, config, fresh, names, now):
        upstreams = {
            doc['metadata']['name']: doc['spec']
            for doc in config.all('upstream')
        }
        regions = {
            doc['metadata']['name']: doc['spec']['region']
            for doc in config.all('place')
        }
        current = set()
        for doc in config.all('drain'):
            name, spec = doc['metadata']['name'], doc['spec']
            targets = _drained_upstreams(
                spec, upstreams, regions, self._region
            )
            if targets is None:
                continue
            current.add(name)
            in_flight = sum(
                count
                for report in fresh.values()
                for upstream, count in report['in_flight'].items()
                if upstream in targets
            )
            version = config.version_of('drain', name)
            in_force = bool(fresh) and all(
                report['revision'] >= version for report in fresh.values()
            )
            self._drains[name] = drain.advance(
                self._drains.get(name, drain.DrainState(now)),
                in_force,
                in_flight,
                len(names - set(fresh)),
                spec.get('deadline_s'),
                now,
            )
        for name in set(self._drains) - current:
            del self._drains[name]


def _drained_upstreams(spec, upstreams, regions, region):
    """Return a drain's upstreams in a region, or None if it has none."""
    kind, target = spec['target_kind'], spec['target_name']

    def matches(name):
        place = upstreams[name]['place']
        if kind == 'upstream':
            return name == target
        return target in ((place,) if kind == 'place' else (regions[place],))

    drained = {
        name
        for name, upstream in upstreams.items()
        if regions.get(upstream['place']) == region and matches(name)
    }
    return drained or None
