"""Status documents of resources, from the planners' progress notices."""

from jasminehold.control import planner

STATES = ('False', 'True')


class Statuses:
    """Progress of all regions as this instance has heard it.

    Args:
        config: the :class:`config.ConfigSet`.
        now: function that returns seconds, monotonic.
    """

    def __init__(self, config, now):
        self._config = config
        self._now = now
        self._regions = {}

    def on_notice(self, key, value, seconds_left):
        """Take a planner's progress notice."""
        region = key[len(planner.PROGRESS_PREFIX) :]
        self._regions[region] = (self._now() + seconds_left, value)

    def status_of(self, kind, name):
        """Return the status document of a resource.

        Args:
            kind: the resource's kind.
            name: its name.
        """
        entry = self._config.entry(kind, name)
        if entry is None:
            return {}
        current = self._current()
        done, total, waiting = self._in_force(current, entry['version'])
        whole = total > 0 and done == total
        status = {
            'conditions': [
                {'type': 'Accepted', 'status': 'True'},
                {
                    'type': 'InForce',
                    'status': STATES[whole],
                    'message': 'in force at %d of %d places' % (done, total),
                },
            ],
            'places_in_force': done,
            'places': total,
        }
        if waiting:
            status['waiting_for'] = waiting
        if whole:
            generation = entry['value']['metadata']['generation']
            status['observed_generation'] = generation
        details = getattr(self, '_of_' + kind, None)
        if details is not None:
            details(name, entry['value']['spec'], current, status)
        return status

    def _current(self):
        now = self._now()
        return {
            region: value
            for region, (until, value) in self._regions.items()
            if until > now
        }

    def _in_force(self, current, version):
        """Return places in force, all places, and what is waited for."""
        places, missing = {}, set()
        for value in current.values():
            missing.update(value['missing'])
            for place, (_, revision) in value['places'].items():
                places[place] = max(places.get(place, 0), revision)
        behind = sorted(p for p, seen in places.items() if seen < version)
        waiting = behind + sorted(missing)
        return len(places) - len(behind), len(places), waiting

    def _of_movement(self, name, spec, current, status):
        for value in current.values():
            if name in value['movements']:
                share, hold = value['movements'][name]
                status['share'] = share
                status['held_by'] = hold
                condition = {
                    'type': 'Complete',
                    'status': STATES[hold == 'done'],
                    'message': hold,
                }
                status['conditions'].append(condition)

    def _of_drain(self, name, spec, current, status):
        found = [
            v['drains'][name] for v in current.values() if name in v['drains']
        ]
        if not found:
            return
        empty = all(phase == 'empty' for phase, _, _ in found)
        status['phase'] = ', '.join(sorted({phase for phase, _, _ in found}))
        status['in_flight'] = sum(count for _, count, _ in found)
        if empty:
            status['drain_seconds'] = max(s for _, _, s in found)
        status['conditions'].append({'type': 'Empty', 'status': STATES[empty]})

    def _of_legacy_share(self, name, spec, current, status):
        for value in current.values():
            if spec['service'] in value['legacy']:
                status['share'] = value['legacy'][spec['service']]

    def _of_region(self, name, spec, current, status):
        self._usage('rate:region/' + name, current, status)

    def _of_place(self, name, spec, current, status):
        self._usage('rate:place/' + name, current, status)

    def _of_link(self, name, spec, current, status):
        limit_id = 'link:%s/%s' % (spec['from_place'], spec['to_place'])
        self._usage(limit_id, current, status)

    def _usage(self, limit_id, current, status):
        for value in current.values():
            if limit_id in value['rates']:
                used, usable = value['rates'][limit_id]
                status['used_rps'] = used
                status['usable_rps'] = usable
                status['headroom_rps'] = max(usable - used, 0)
