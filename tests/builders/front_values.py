"""Values that the rules of a front instance work on."""

import json
import random

from jasminehold.decisions import route_table
from jasminehold.decisions import upstream_view
from jasminehold.front import cfg as cfg_module
from jasminehold.front import steering as steering_module


def cfg(**changes):
    """Return a checked :class:`~cfg_module.Cfg`."""
    values = {
        'id': 'i1',
        'place': 'sul-a',
        'places': {'sul-a': 'sul'},
        'internal_ports': [7660, 7675],
        'store': '192.0.2.9:80',
        'retry_ratio': 0.2,
        'retry_burst': 64,
    }
    for port, name in enumerate(
        ('caller', 'ready', 'directory', 'peer', 'metrics'), 8000
    ):
        values['%s_listen' % name] = '192.0.2.8:%d' % port
    values.update(changes)
    return cfg_module.parse(json.dumps(values))


def route(host='shop.example', prefix='/a/', **changes):
    """Return a :class:`~route_table.Route`."""
    values = {
        'name': prefix,
        'host': host,
        'prefix': prefix,
        'idempotent': True,
        'targets': (('loja', 1),),
        'timeout_s': 2.5,
        'latency_target_s': 0.6,
        'max_attempts': 2,
        'priority': 1,
        'home_regions': frozenset(),
        'sticky': True,
    }
    values.update(changes)
    return route_table.Route(**values)


def entry(name, **changes):
    """Return an :class:`~upstream_view.Entry`."""
    values = {
        'id': name,
        'service': 'loja',
        'host': '192.0.2.1',
        'port': 80,
        'place': 'sul-a',
        'slots': 3,
        'state': upstream_view.READY,
        'cold_s': 0.0,
        'seq': 1,
        'born_ms': 0,
    }
    values.update(changes)
    return upstream_view.Entry(**values)


def steering(name, cold_per_s, **changes):
    """Return the :class:`~steering_module.Steering` of an instance.

    Args:
        name: its id.
        cold_per_s: requests a second that a cold upstream of the service
            takes from the fleet.
        **changes: fields of its route.
    """
    found = steering_module.Steering(
        cfg(id=name), random.Random(1), lambda *args, **kwargs: None
    )
    service = route_table.Service('loja', 100, cold_per_s, 30.0)
    limits = route_table.CallerLimits()
    found.on_config(
        route_table.RouteTable(1, [route(**changes)], [service], limits)
    )
    return found
