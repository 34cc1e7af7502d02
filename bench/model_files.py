"""Deployments of the model from files.

``*.json`` is the product's own form, JSON with comments, as in
``bench/models/``. ``*.toml`` is a site file of the users' bench; a day's load
replaces the site's own.
"""

import math
import pathlib
import tomllib

from bench import model
from jasminehold import settings

# Part of a site's traffic that a day without its own table has.
FULL_LOAD = 1.0


def load(path, day=None, scale=FULL_LOAD):
    """Return the :class:`~bench.model.Deployment` of a file.

    Args:
        path: file name.
        day: name of a day of a site file, None for its own traffic.
        scale: factor on the requests a second.
    """
    path = pathlib.Path(path)
    if path.suffix == '.toml':
        raw = _from_site(tomllib.loads(path.read_text()), day)
    else:
        raw = settings.parse_json5(path.read_text(), str(path))
    kinds = tuple(
        model.Kind(**{**kind, 'per_s': kind['per_s'] * scale})
        for kind in raw['kinds']
    )
    pools = {
        name: model.Pool(**pool) for name, pool in raw['services'].items()
    }
    return model.Deployment(
        raw['places'], raw['instances'], pools, kinds, raw['retry_burst']
    )


def _from_site(site, day):
    traffic = site['traffic']
    if day is not None:
        days = {item['name']: item for item in site['day']}
        traffic = days[day].get('traffic', traffic)
    per_place = sum(item['per_s'] for item in traffic) / len(site['zones'])
    mix = traffic[0]['mix']
    instances = {}
    for item in site['machines']:
        place = item['zone']
        instances[place] = instances.get(place, 0) + item['count']
    return {
        'places': {item['name']: item['region'] for item in site['zones']},
        'instances': instances,
        'retry_burst': math.floor(site['bounds']['budget_slack']),
        'services': {
            item['name']: {
                'places': {
                    part['zone']: part['count'] for part in item['servers']
                },
                'slots': item['slots'],
                'queue': item['queue'],
                'keeps': item['warm_keeps'],
                'gain': site['classes'][0]['warm_gain'],
            }
            for item in site['services']
        },
        'kinds': [
            {
                'name': item['name'],
                'service': item['service'],
                'per_s': per_place * mix[item['name']] / sum(mix.values()),
                'work_s': item['work_ms']['mean'] / 1000,
                'aim_s': item['aim_ms'] / 1000,
                'timeout_s': item['timeout_ms'] / 1000,
                'deadline_s': item['deadline_ms'] / 1000,
                'worth': item['worth'],
                'objects': item['things'],
                'idempotent': item['kind'] == 'safe',
                'priority': item['priority'],
            }
            for item in site['classes']
        ],
    }
