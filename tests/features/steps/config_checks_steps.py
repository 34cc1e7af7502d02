"""Steps for the check of a configuration file."""

import io
import json
import pathlib
import tempfile
import time

import behave
import hypothesis
from hypothesis import strategies

from jasminehold import config_check
from jasminehold.decisions import config_checks
from jasminehold import errors
from jasminehold.platform import wire
from tests.builders import documents
from tests.builders import front_rig

KEYS = ('ada0key', 'bo0key')


def _example(version=7):
    rules = [
        front_rig.route('browse', '/browse/', 'loja'),
        front_rig.route('order', '/order/', 'loja', 'unsafe'),
        front_rig.route('special', '/browse/special/', 'oficina'),
    ]
    rows = [
        (name, [key], {'RatePerS': 5, 'Burst': 5})
        for name, key in zip(('ada', 'bo'), KEYS)
    ]
    return front_rig.accounts(version, rows, rules)


def _split(doc, *parts):
    action = doc['Listeners'][0]['Rules'][0]['Action']
    del action['Service']
    action['Split'] = [{'Service': s, 'Weight': w} for s, w in parts]


def _rule(**changes):
    return lambda doc: doc['Listeners'][0]['Rules'][0].update(changes)


def _action(**changes):
    return lambda doc: doc['Listeners'][0]['Rules'][0]['Action'].update(
        changes
    )


def _account(number=0, **changes):
    return lambda doc: doc['Tenants'][number].update(changes)


def _homes(doc):
    _account(HomeRegions=['norte'])(doc)
    _action(HomeRegions=['sul'])(doc)


CHANGES = {
    'nothing else': lambda doc: None,
    'a list for its listeners': lambda doc: doc.update(Listeners=7),
    'a rule without a name': lambda doc: doc['Listeners'][0]['Rules'][0].pop(
        'Name'
    ),
    'an endless time-out': _action(TimeoutMs=float('inf')),
    'a time-out beyond floats': _action(TimeoutMs=10**400),
    'a home that is no name': _action(HomeRegions=[None]),
    'an unknown service': _action(Service='loka'),
    'weights of nothing': lambda doc: _split(doc, ('loja', 0)),
    'a rule twice': lambda doc: doc['Listeners'][0]['Rules'].append(
        front_rig.route('again', '/browse/', 'loja')
    ),
    'an account twice': lambda doc: doc['Tenants'].append(
        {'Name': 'ada', 'ApiKeys': ['other']}
    ),
    'a key of two accounts': _account(1, ApiKeys=[KEYS[0]]),
    'a prefix without a slash': _rule(Match={'Prefix': '/browse'}),
    'a time-out of nothing': _action(TimeoutMs=0),
    'the version in force': lambda doc: doc.update(Version='00000006'),
    'an unused service': lambda doc: doc['Clusters'].append({'Name': 'x'}),
    'a part without room': lambda doc: _split(
        doc, ('loja', 9), ('oficina', 0)
    ),
    'an account without keys': _account(ApiKeys=[]),
    'homes that exclude another': _homes,
    'a home without instances': _action(HomeRegions=['sol']),
    'a time-out below its target': _action(TimeoutMs=400),
    'attempts that do not fit': _action(MaxAttempts=9),
    'a prefix beyond the limit': _rule(
        Match={'Prefix': '/%s/' % ('x' * 17000)}
    ),
    'a burst below a second': _account(Burst=1),
    'a burst without a rate': _account(RatePerS=0),
    'a cold rate without a time': lambda doc: doc['Clusters'][0].pop(
        'ColdStartS'
    ),
    'a route more': lambda doc: doc['Listeners'][0]['Rules'].append(
        front_rig.route('new', '/new/', 'loja')
    ),
    'a route moved': _action(Service='oficina'),
    'a route less': lambda doc: doc['Listeners'][0]['Rules'].pop(1),
    'a service less busy': lambda doc: doc['Clusters'][0].update(MaxConns=9),
    'an account more': lambda doc: doc['Tenants'].append(
        {'Name': 'cy', 'ApiKeys': ['cy0key']}
    ),
    'a rate changed': _account(RatePerS=4),
    'an account less': lambda doc: doc['Tenants'].pop(),
    'all keys of one changed': _account(ApiKeys=['new0key']),
    'a key more': _account(ApiKeys=[KEYS[0], 'new0key']),
    'a shorter head': lambda doc: doc['Limits'].update(MaxHeaderBytes=9000),
}


def _check(folder, doc):
    # Returns the findings against the example, one version before.
    new, former = folder / 'new.json', folder / 'former.json'
    new.write_text(json.dumps(doc))
    former.write_text(json.dumps(_example(6)))
    return config_check.check_file(new, former, ('sul', 'norte'))


@behave.when('the example configuration has {change}')
def when_changed(context, change):
    doc = _example()
    CHANGES[change](doc)
    with tempfile.TemporaryDirectory() as folder:
        context.found = _check(pathlib.Path(folder), doc)


@behave.then('the check exits with {status:d} and tells {found} at "{path}"')
@behave.then('the check exits with {status:d} and tells {found} at ""')
def then_told(context, status, found, path=''):
    told = [(item.id, item.path) for item in context.found]
    assert config_check.exit_status_of(context.found) == status, context.found
    if found == 'none':
        assert not told, context.found
    else:
        assert (found, path) in told, context.found


@behave.then('neither output holds a key')
def then_no_key(context):
    for as_json in (False, True):
        stream = io.StringIO()
        config_check.report(context.found, as_json, stream)
        assert 'E105' in stream.getvalue()
        assert not any(key in stream.getvalue() for key in KEYS)


@behave.then('the list of accounts names both accounts and no key')
def then_listed(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'config.json'
        path.write_text(json.dumps(_example()))
        rows = config_check.account_rows(path)
    assert [row['name'] for row in rows] == ['ada', 'bo'], rows
    assert all(row['key_digests'] for row in rows), rows
    assert not any(key in json.dumps(rows) for key in KEYS), rows


@behave.then(
    'a file of resources with a fault exits with 2 and names its place'
)
def then_resources(context):
    docs = [
        {'kind': kind, 'metadata': {'name': 'a-%s' % kind[:3]}, 'spec': spec}
        for kind, spec in list(documents.SPECS.items())[:1]
    ]
    docs.append(
        {
            'kind': 'region',
            'metadata': {'name': 'x'},
            'spec': {'capacity_rps': -1},
        }
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'all.json'
        path.write_text(json.dumps(docs))
        found = config_check.check_file(path)
    assert config_check.exit_status_of(found) == 2
    assert '[1].spec.capacity_rps' in [item.path for item in found], found


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


def _spots(value, path=()):
    # All places of a document that another value can be put to.
    if path:
        yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from _spots(inner, path + (key,))


@behave.then(
    '{count:d} documents of any form are checked or refused as settings'
)
def then_any(context, count):
    spots = list(_spots(_example()))

    @hypothesis.settings(
        max_examples=count, database=None, derandomize=True, deadline=None
    )
    @hypothesis.given(strategies.sampled_from(spots), _VALUES)
    def check(spot, value):
        doc = _example()
        inner = doc
        for key in spot[:-1]:
            inner = inner[key]
        inner[spot[-1]] = value
        with tempfile.TemporaryDirectory() as folder:
            for tried in (doc, value):
                try:
                    _check(pathlib.Path(folder), tried)
                except errors.SettingsError:
                    pass

    check()


@behave.then(
    '10,000 routes and 100,000 keys take under 2 s beside the decoder'
)
def then_in_time(context):
    rules = [
        front_rig.route('r%d' % n, '/r%d/' % n, 'loja') for n in range(10_000)
    ]
    rows = [
        ('a%d' % n, ['key%d-%d' % (n, k) for k in range(100)], {})
        for n in range(1000)
    ]
    text = json.dumps(front_rig.accounts(7, rows, rules))
    config = wire.read_config(text)
    former = wire.read_config(text)
    begin = time.process_time()
    config_checks.check(config, ('sul',))
    config_checks.compare(config, former)
    assert time.process_time() - begin < 2.0
