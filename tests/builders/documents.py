"""Builders of resource specs and stored documents."""

LEGACY = {'host': '127.0.0.1', 'port': 9000}
SPECS = {
    'service': {
        'idempotent_methods': ['GET', 'HEAD'],
        'idempotent_paths': ['/estoque'],
        'request_timeout_ms': 5000,
        'priority_paths': [{'path': '/pedido', 'class': 'order'}],
        'retry_budget': 0.1,
        'legacy': LEGACY,
    },
    'region': {'capacity_rps': 400},
    'place': {'region': 'sul', 'capacity_rps': 200, 'latency_ms': {'x': 20}},
    'link': {'from_place': 'sul-1', 'to_place': 'sul-2', 'cap_rps': 50},
    'upstream': dict(
        service='loja', place='sul-1', slots=3, connections=330, **LEGACY
    ),
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
    'legacy_share': dict(
        service='loja', share=0.4, load_rps={'sul': 10}, **LEGACY
    ),
    'client_blocks': {
        'region': 'sul',
        'blocks': [{'cidr': '10.1.0.0/16', 'site': 'sul-1'}],
    },
}


def blocks(count):
    """Return the spec of client blocks with that many blocks."""
    cidrs = ['10.%d.%d.0/24' % divmod(n, 256) for n in range(count)]
    items = [{'cidr': cidr, 'site': 'sul-1'} for cidr in cidrs]
    return {'region': 'sul', 'blocks': items}


def entry(kind, name, version, deleted=False):
    """Return a stored entry of a config set."""
    value = {'kind': kind, 'metadata': {'name': name, 'generation': 1}}
    value.update(spec=SPECS[kind], deleted=deleted)
    value['change'] = {'id': 'w%d' % version, 'from_version': 0}
    key = 'state/config/%s/%s' % (kind, name)
    return {'key': key, 'version': version, 'value': value}


def base_entries():
    """Return the resources that :data:`SPECS` refers to."""
    names = [('service', 'loja'), ('region', 'sul')]
    names += [('place', 'sul-1'), ('place', 'sul-2')]
    return [entry(*name, n) for n, name in enumerate(names, 1)]
