"""Steps for operators' writes."""

import itertools
import json

import behave

from builders import documents
from builders import fake_platform
from jasminehold import errors
from jasminehold import metrics
from jasminehold import store

KEY = 'state/config/region/sul'


@behave.given('a fake platform')
def given_platform(context):
    context.queue = []
    later = context.queue.append
    context.platform = fake_platform.FakePlatform(
        lambda delay, func: later(func)
    )
    ids = itertools.count(1)
    context.hooks = []

    def later_hooked(delay, func):
        # The first wait of a write in doubt is where the others act.
        if context.hooks:
            context.hooks.pop(0)()
        later(func)

    context.port = store.Port(
        context.platform,
        later_hooked,
        lambda: 1000.0,
        lambda: 'w%d' % next(ids),
        None,
        metrics.Metrics(),
    )


def _run(context):
    while context.queue:
        context.queue.pop(0)()


def _start(context, capacity, version, results):
    doc = {'spec': {'capacity_rps': capacity}}
    doc['metadata'] = {'resource_version': version}
    store.put(
        context.port, 'region', 'sul', doc, 'ana', lambda *r: results.append(r)
    )


def _put(context, capacity, version):
    results = []
    _start(context, capacity, version, results)
    _run(context)
    assert len(results) == 1, results
    return results[0]


@behave.given('region sul is declared')
def given_declared(context):
    outcome, exc = _put(context, 400, 0)
    assert exc is None, exc
    context.version = outcome.entry['version']


@behave.when('region sul is put with capacities {text}')
def when_capacities(context, text):
    version = 0
    context.generations = []
    for capacity in text.split(', '):
        outcome, exc = _put(context, int(capacity), version)
        assert exc is None, exc
        version = outcome.entry['version']
        metadata = outcome.entry['value']['metadata']
        context.generations.append(str(metadata['generation']))


@behave.then('its generations were {text}')
def then_generations(context, text):
    assert context.generations == text.split(', ')


def _audit(context):
    data = context.platform.data
    keys = sorted(k for k in data if k.startswith('audit/'))
    entries = [json.loads(data[k].value) for k in keys]
    assert [store.audit_key(e['version']) for e in entries] == keys
    return entries


@behave.then('the audit trail holds the verbs {text}')
def then_verbs(context, text):
    verbs = [entry['change']['verb'] for entry in _audit(context)]
    assert verbs == text.split(', '), verbs


@behave.when('two updates from its version run at the same time')
def when_race(context):
    context.results = []
    _start(context, 1, context.version, context.results)
    _start(context, 2, context.version, context.results)
    _run(context)


@behave.then('one succeeds and one ends with StaleVersion')
def then_one(context):
    kinds = [type(exc) for _, exc in context.results]
    assert sorted(kinds, key=str) == sorted(
        [type(None), errors.StaleVersion], key=str
    )
    winner = next(o for o, exc in context.results if exc is None)
    stored = json.loads(context.platform.data[KEY].value)
    assert stored == winner.entry['value']


@behave.when('region sul is put from version 0')
def when_again(context):
    context.before = dict(context.platform.data)
    context.result = _put(context, 1, 0)


@behave.then('it ends with StaleVersion and the platform is unchanged')
def then_unchanged(context):
    then_ends(context, 'StaleVersion')
    assert context.platform.data == context.before


@behave.when('region sul is deleted')
def when_deleted(context):
    results = []
    done = lambda *r: results.append(r)  # noqa: E731
    store.delete(context.port, 'region', 'sul', context.version, 'ana', done)
    _run(context)
    assert results[0][1] is None, results
    context.entry = results[0][0].entry


@behave.then(
    'its tombstone is stored and a further delete ends with '
    'ResourceNotFound'
)
def then_tombstone(context):
    assert json.loads(context.platform.data[KEY].value)['deleted']
    results = []
    done = lambda *r: results.append(r)  # noqa: E731
    store.delete(context.port, 'region', 'sul', None, 'ana', done)
    _run(context)
    assert isinstance(results[0][1], errors.ResourceNotFound)


@behave.then('a new declaration continues at generation 3')
def then_continues(context):
    outcome, exc = _put(context, 400, 0)
    assert exc is None and outcome.created
    assert outcome.entry['value']['metadata']['generation'] == 3


def _other(context, count):
    for _ in range(count):
        held = context.platform.data[KEY]
        doc = json.loads(held.value)
        doc['change'] = {
            **doc['change'],
            'id': 'other',
            'from_version': held.version,
        }
        context.platform.put(
            KEY, store.encode(doc), held.version, lambda *r: None
        )


def _complete(context):
    results = []
    store.complete_audit(
        context.platform, context.platform.events, lambda *r: results.append(r)
    )
    return results


@behave.when('it is updated while the puts meet {faults} and then {then}')
def when_faults(context, faults, then):
    def act():
        if then == 'another writer wins':
            _other(context, 1)
        elif then == 'another writer follows':
            _other(context, 1)
            _complete(context)
        elif then.startswith('two writers'):
            _other(context, 2)
            if then.endswith('with audit'):
                _complete(context)

    context.hooks = [act]
    context.platform.faults = faults.split(', ')
    if then == 'nothing':
        context.hooks = []
    context.result = _put(context, 500, context.version)


@behave.then('it ends with success')
def then_success(context):
    outcome, exc = context.result
    assert exc is None, exc
    entry = next(
        e
        for e in context.platform.events
        if e.version == outcome.entry['version']
    )
    assert json.loads(entry.value) == outcome.entry['value']


@behave.then('it ends with {name:w}')
def then_ends(context, name):
    assert type(context.result[1]).__name__ == name, context.result


@behave.then('the late copy is refused by its version')
def then_late(context):
    assert context.result[1] is None
    results = context.platform.release()
    assert [type(exc) for _, exc in results] == [errors.VersionMismatch]


@behave.given('region sul is declared while audit entries cannot be written')
def given_no_audit(context):
    context.platform.audit_down = True
    given_declared(context)
    assert not _audit(context)
    context.platform.audit_down = False


@behave.when('two relays complete the audit trail')
def when_complete(context):
    context.relays = _complete(context)
    _run(context)
    more = _complete(context)
    _run(context)
    context.relays += more


@behave.then('the first wrote 1 entry, the second 0, and the entry names ana')
def then_relays(context):
    assert context.relays == [(1, None), (0, None)], context.relays
    assert [e['change']['actor'] for e in _audit(context)] == ['ana']


@behave.then(
    'a purge after the time to keep removes it and an earlier one ' 'does not'
)
def then_purge(context):
    entries = [context.entry, documents.entry('region', 'live', 1)]
    for now, count in ((1059.0, 0), (1061.0, 1)):
        results = []
        store.purge_tombstones(
            context.platform, entries, now, 60, lambda *r: results.append(r)
        )
        _run(context)
        assert results == [(count, None)], results
    assert KEY not in context.platform.data
