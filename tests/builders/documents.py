"""Builders of resource specs, stored documents and settings."""

SPECS = {
    'service': {
        'idempotent_methods': ['GET', 'HEAD'],
        'idempotent_paths': ['/estoque'],
        'request_timeout_ms': 5000,
        'priority_paths': [{'path': '/pedido', 'class': 'order'}],
        'retry_budget': 0.1,
        'legacy': {'host': '127.0.0.1', 'port': 9000},
    },
    'region': {'capacity_rps': 400},
    'place': {'region': 'sul', 'capacity_rps': 200, 'latency_ms': {'x': 20}},
    'link': {'from_place': 'sul-1', 'to_place': 'sul-2', 'cap_rps': 50},
    'upstream': {
        'service': 'loja',
        'place': 'sul-1',
        'host': '127.0.0.1',
        'port': 8001,
        'slots': 3,
        'connections': 330,
    },
    'traffic_split': {
        'service': 'loja',
        'client_region': '*',
        'shares': {'sul-1': 0.75, 'sul-2': 0.25},
    },
    'movement': {
        'service': 'loja',
        'from_place': 'sul-1',
        'to_place': 'sul-2',
        'target_share': 0.5,
        'cap_rps': 20,
    },
    'drain': {'target_kind': 'place', 'target_name': 'sul-1'},
    'legacy_share': {
        'service': 'loja',
        'share': 0.4,
        'host': '127.0.0.1',
        'port': 9000,
        'load_rps': {'sul': 10},
    },
    'client_blocks': {
        'region': 'sul',
        'blocks': [{'cidr': '10.1.0.0/16', 'site': 'sul-1'}],
    },
}


def entry(kind, name, version, deleted=False, spec=None):
    """Return a stored entry of a config set."""
    return {
        'key': 'state/config/%s/%s' % (kind, name),
        'version': version,
        'value': {
            'kind': kind,
            'metadata': {'name': name, 'generation': 1},
            'spec': SPECS[kind] if spec is None else spec,
            'change': {'id': 'w%d' % version, 'from_version': 0},
            'deleted': deleted,
        },
    }


def base_entries():
    """Return the resources that :data:`SPECS` refers to."""
    return [
        entry('service', 'loja', 1),
        entry('region', 'sul', 2),
        entry('place', 'sul-1', 3),
        entry('place', 'sul-2', 4),
    ]
