"""Values that the rules of a front instance work on."""

import json

from jasminehold.decisions import route_table
from jasminehold.decisions import upstream_view
from jasminehold.front import cfg as cfg_module


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
        'aim_s': 0.6,
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
