"""Status documents of resources, built from planners' progress notices."""

from jasminehold.control import planner

CONDITION_STATUSES = ('False', 'True')


class Statuses:
    """Status of resources by the latest progress notice of each region.

    Args:
        config: the :class:`config.ConfigSet`.
        now: function that returns seconds, monotonic.
    """

    def __init__(self, config, now):
        self._config = config
        self._now = now
        self._progress = {}

    def on_notice(self, key, value, seconds_left):
        """Store the progress notice of a planner."""
        region = key[len(planner.PROGRESS_PREFIX) :]
        self._progress[region] = (self._now() + seconds_left, value)

    def status_of(self, kind, name):
        """Return the status document of a resource.

        Args:
            kind: the resource's kind.
            name: its name.
        """
        entry = self._config.entry(kind, name)
        if entry is None:
            return {}
        progress_by_region = self._current_progress()
        in_force, total, waiting = self._count_in_force(
            progress_by_region, entry['version']
        )
        complete = total > 0 and in_force == total
        status = {
            'conditions': [
                {'type': 'Accepted', 'status': 'True'},
                {
                    'type': 'InForce',
                    'status': CONDITION_STATUSES[complete],
                    'message': 'in force at %d of %d places'
                    % (in_force, total),
                },
            ],
            'places_in_force': in_force,
            'places': total,
        }
        if waiting:
            status['waiting_for'] = waiting
        if complete:
            generation = entry['value']['metadata']['generation']
            status['observed_generation'] = generation
        details = getattr(self, '_of_' + kind, None)
        if details is not None:
            details(name, entry['value']['spec'], progress_by_region, status)
        return status

    def _current_progress(self):
        now = self._now()
        return {
            region: value
            for region, (until, value) in self._progress.items()
            if until > now
        }

    def _count_in_force(self, progress_by_region, version):
        """Return places in force, all places, and what is still awaited."""
        places, missing = {}, set()
        for value in progress_by_region.values():
            missing.update(value['missing'])
            for place, (_, revision) in value['places'].items():
                places[place] = max(places.get(place, 0), revision)
        behind = sorted(p for p, seen in places.items() if seen < version)
        waiting = behind + sorted(missing)
        return len(places) - len(behind), len(places), waiting

    def _of_movement(self, name, spec, progress_by_region, status):
        for value in progress_by_region.values():
            if name in value['movements']:
                share, hold_reason = value['movements'][name]
                status['share'] = share
                status['held_by'] = hold_reason
                condition = {
                    'type': 'Complete',
                    'status': CONDITION_STATUSES[hold_reason == 'done'],
                    'message': hold_reason,
                }
                status['conditions'].append(condition)

    def _of_drain(self, name, spec, progress_by_region, status):
        found = [
            v['drains'][name]
            for v in progress_by_region.values()
            if name in v['drains']
        ]
        if not found:
            return
        empty = all(phase == 'empty' for phase, _, _ in found)
        status['phase'] = ', '.join(sorted({phase for phase, _, _ in found}))
        status['in_flight'] = sum(count for _, count, _ in found)
        if empty:
            status['drain_seconds'] = max(s for _, _, s in found)
        status['conditions'].append(
            {'type': 'Empty', 'status': CONDITION_STATUSES[empty]}
        )

    def _of_legacy_share(self, name, spec, progress_by_region, status):
        for value in progress_by_region.values():
            if spec['service'] in value['legacy']:
                status['share'] = value['legacy'][spec['service']]

    def _of_region(self, name, spec, progress_by_region, status):
        self._add_usage('rate:region/' + name, progress_by_region, status)

    def _of_place(self, name, spec, progress_by_region, status):
        self._add_usage('rate:place/' + name, progress_by_region, status)

    def _of_link(self, name, spec, progress_by_region, status):
        limit_id = 'link:%s/%s' % (spec['from_place'], spec['to_place'])
        self._add_usage(limit_id, progress_by_region, status)

    def _add_usage(self, limit_id, progress_by_region, status):
        for value in progress_by_region.values():
            if limit_id in value['rates']:
                used, usable = value['rates'][limit_id]
                status['used_rps'] = used
                status['usable_rps'] = usable
                status['headroom_rps'] = max(usable - used, 0)
