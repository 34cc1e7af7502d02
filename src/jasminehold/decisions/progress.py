"""Progress that a region's planner shows to operators.

Source: docs/design.md, sections 3.2 and 4.
"""

from jasminehold.decisions import drain
from jasminehold.decisions import limit_table
from jasminehold.decisions import limiters as limiter_rules


class Progress:
    """What is in force, how much is used, and how far drains have come.

    Args:
        region: the region.
    """

    def __init__(self, region):
        self._region = region
        self._limits = {}
        self._used = {}
        self._places = {}
        self._missing = []
        self._drains = {}
        self._plan_version = 0

    def update(self, plan, limits, fresh, names, config, now):
        """Take the latest reports.

        Args:
            plan: the stored plan.
            limits: the region's limits.
            fresh: ``{instance: report}`` of recent reports.
            names: ids of the live instances.
            config: object with ``all(kind)``.
            now: seconds, monotonic.
        """
        self._plan_version = plan['version']
        self._limits = {limit.id: limit for limit in limits}
        self._used = {}
        self._places = {}
        self._missing = sorted(names - set(fresh))[:8]
        for report in fresh.values():
            for key, amount in report['demand'].items():
                if limiter_rules.is_rate(key):
                    self._used[key] = self._used.get(key, 0.0) + amount
            cell = self._places.setdefault(
                report['place'], [0, report['revision']]
            )
            cell[0] += 1
            cell[1] = min(cell[1], report['revision'])
        self._update_drains(config, fresh, names, now)

    def free_rps(self, kind, key):
        """Return requests a second left at a place or on a link.

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
        left = float('inf')
        for limit_id in ids:
            limit = self._limits.get(limit_id)
            if limit is not None:
                used = self._used.get(limit_id, 0.0)
                left = min(left, max(limit.usable - used, 0.0))
        return left

    def document(self, steps):
        """Return the notice that tells the other instances.

        Args:
            steps: the :class:`region_steps.RegionSteps`.
        """
        return {
            'plan': self._plan_version,
            'places': self._places,
            'missing': self._missing,
            'rates': {
                limit.id: [
                    round(self._used.get(limit.id, 0.0), 1),
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
        seen = set()
        for doc in config.all('drain'):
            name, spec = doc['metadata']['name'], doc['spec']
            targets = _targets(spec, upstreams, regions, self._region)
            if targets is None:
                continue
            seen.add(name)
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
        for name in set(self._drains) - seen:
            del self._drains[name]


def _targets(spec, upstreams, regions, region):
    """Return the upstreams of a drain that lie in a region, None if none."""
    kind, target = spec['target_kind'], spec['target_name']

    def hit(name):
        place = upstreams[name]['place']
        if kind == 'upstream':
            return name == target
        return target in ((place,) if kind == 'place' else (regions[place],))

    found = {
        name
        for name, other in upstreams.items()
        if regions.get(other['place']) == region and hit(name)
    }
    return found or None
