"""Steps for operators' writes."""

import itertools
import json
import random
import types

import behave

from builders import documents
from builders import fake_platform
from builders import odd_entries
from jasminehold import config
from jasminehold.control import relay as relay_module
from jasminehold.decisions import membership
from jasminehold.decisions import peer_state
from jasminehold import errors
from jasminehold import metrics
from jasminehold.peers import frames
from jasminehold.platform import client
from jasminehold import store

KEY = 'state/config/region/sul'


@behave.given('a fake platform')
def given_platform(context):
    context.queue, context.hooks = [], []

    def later(delay, func):
        # The first wait of a write in doubt is where the others act.
        if delay and context.hooks:
            context.hooks.pop(0)()
        context.queue.append(func)

    context.platform = fake_platform.FakePlatform(later)
    ids = map('w%d'.__mod__, itertools.count(1))
    context.port = store.WriteContext(
        context.platform,
        later,
        lambda: 1000.0,
        lambda: next(ids),
        None,
        metrics.Metrics(),
    )


def _call(context, func, *args):
    # Starts a call; the list gets its result when the queue has run.
    results = []
    func(*args, lambda *result: results.append(result))
    return results


def _run(context, results):
    while context.queue:
        context.queue.pop(0)()
    assert len(results) == 1, results
    return results[0]


def _start(context, capacity, version):
    doc = {'spec': {'capacity_rps': capacity}}
    doc['metadata'] = {'resource_version': version}
    args = (context.port, 'region', 'sul', doc, 'ana')
    return _call(context, store.put, *args)


def _put(context, capacity, version):
    return _run(context, _start(context, capacity, version))


def _delete(context, version):
    args = (context.port, 'region', 'sul', version, 'ana')
    return _run(context, _call(context, store.delete, *args))


def _complete(context):
    args = (context.platform, list(context.platform.events))
    return _call(context, store.complete_audit, *args)


def _audit(context):
    data = context.platform.data
    keys = sorted(k for k in data if k.startswith('audit/'))
    entries = [json.loads(data[k].value) for k in keys]
    assert [store.audit_key(e['version']) for e in entries] == keys
    return [entry['change'] for entry in entries]


@behave.given('region sul is declared')
def given_declared(context):
    outcome, exc = _put(context, 400, 0)
    assert exc is None, exc
    context.version = outcome.entry['version']


@behave.then(
    'puts of capacities 400, 400, 500 have generations 1, 1, 2 and '
    'audit entries'
)
def then_generations(context):
    version, generations = 0, []
    for capacity in (400, 400, 500):
        outcome, exc = _put(context, capacity, version)
        assert exc is None, exc
        version = outcome.entry['version']
        generations.append(outcome.entry['value']['metadata']['generation'])
    assert generations == [1, 1, 2], generations
    verbs = [change['verb'] for change in _audit(context)]
    assert verbs == ['declare', 'update', 'update'], verbs


@behave.then('of two updates at the same time one succeeds and one is stale')
def then_one(context):
    results = [_start(context, n, context.version) for n in (1, 2)]
    results = [_run(context, result) for result in results]
    (winner,) = [outcome for outcome, exc in results if exc is None]
    (loser,) = [exc for outcome, exc in results if exc is not None]
    assert isinstance(loser, errors.StaleVersion)
    stored = json.loads(context.platform.data[KEY].value)
    assert stored == winner.entry['value']


@behave.then('declaring it again is stale and leaves the platform unchanged')
def then_unchanged(context):
    before = dict(context.platform.data)
    assert isinstance(_put(context, 1, 0)[1], errors.StaleVersion)
    assert context.platform.data == before


@behave.then(
    'a delete stores a tombstone, a further one finds nothing and a '
    'declaration continues at generation 3'
)
def then_tombstone(context):
    assert _delete(context, context.version)[1] is None
    assert json.loads(context.platform.data[KEY].value)['deleted']
    assert isinstance(_delete(context, None)[1], errors.ResourceNotFound)
    outcome, exc = _put(context, 400, 0)
    assert exc is None and outcome.created
    assert outcome.entry['value']['metadata']['generation'] == 3


def _others(context, count):
    for _ in range(count):
        held = context.platform.data[KEY]
        doc = json.loads(held.value)
        doc['change'].update(id='other', from_version=held.version)
        value = store.encode(doc)
        _call(context, context.platform.put, KEY, value, held.version)


@behave.when(
    'an update meets {faults} and then {count:d} other writers with '
    'audit {audit:w}'
)
def when_faults(context, faults, count, audit):
    def act():
        _others(context, count)
        if audit == 'complete':
            _complete(context)

    context.hooks = [act]
    context.platform.faults = faults.split(', ')
    context.result = _put(context, 500, context.version)


@behave.then('it ends with {name:w}')
def then_ends(context, name):
    outcome, exc = context.result
    assert (type(exc).__name__ if exc else 'success') == name, context.result
    if outcome:
        version = outcome.entry['version']
        (item,) = [e for e in context.platform.events if e.version == version]
        assert json.loads(item.value) == outcome.entry['value']


@behave.then('the late copy is refused by its version')
def then_late(context):
    ((_, exc),) = context.platform.release()
    assert isinstance(exc, errors.VersionMismatch)


@behave.then(
    'after a declaration without audit entry the first of two relays '
    'writes it and the second nothing'
)
def then_relays(context):
    context.platform.audit_down = True
    given_declared(context)
    assert not _audit(context)
    context.platform.audit_down = False
    assert _run(context, _complete(context)) == (1, None)
    assert _run(context, _complete(context)) == (0, None)
    assert [change['actor'] for change in _audit(context)] == ['ana']


def _relayed(entries):
    published = {}

    def publish(key, value, version):
        published[key] = value

    relay = relay_module.Relay(None, None, publish, None, metrics.Metrics())
    for item in entries:
        data = json.dumps(item['value']).encode()
        relay._publish_item(item['key'], data, item['version'])
    relay._publish_head()
    return relay, published


@behave.then(
    "a relay's head after a deletion has the digest of the others' copy"
)
def then_relay_deletion(context):
    entries = documents.base_entries()
    entries.append(documents.entry('region', 'old', 9, deleted=True))
    known = config.ConfigSet()
    known.apply(entries)
    _, published = _relayed(entries)
    assert published[relay_module.HEAD_KEY]['digest'] == known.digest()


@behave.then(
    'a relay\'s head has the digest of the documents it passed on and it '
    'keeps none of their values'
)
def then_relay_copy(context):
    entries = documents.base_entries()
    relay, published = _relayed(entries)
    known = config.ConfigSet()
    known.apply(entries)
    assert published[relay_module.HEAD_KEY]['digest'] == known.digest()
    assert published[entries[0]['key']] == entries[0]['value']
    assert not any(item['value'] for item in relay._relayed.snapshot())


class _Loop:
    """A loop whose timers do not run."""

    def now(self):
        return 50.0

    def call_later(self, delay, func, *args):
        raise AssertionError('a read failed')


def _odd_documents():
    valid = documents.entry('region', 'odd', 1)['value']
    return odd_entries.documents(valid)


@behave.given(
    'a relay of a store in which another writer leaves odd documents'
)
def given_odd(context):
    context.platform.era = 1
    context.published = {}
    state = peer_state.PeerState(
        membership.Member('a', 1, 'live', '127.0.0.1', 1, 'sul-1', 'sul'),
        membership.MembershipCfg(),
        random.Random(1),
        peer_state.Hooks(),
        0.0,
    )

    def publish(key, value, version):
        # As an instance sends and reads it.
        state.publish(key, frames.pack(value), version)
        context.published[key] = frames.unpack(frames.pack(value))

    context.relay = relay_module.Relay(
        _Loop(), context.platform, publish, None, metrics.Metrics()
    )
    context.relay.on_duty_change('relay/sul/0', 1)
    context.written = {}
    for number, value in enumerate(_odd_documents().values()):
        odd = config.key_of('region', 'odd')
        version = context.platform.data.get(odd)
        version = version.version if version else 0
        _call(context, context.platform.put, odd, value, version)
        good = documents.entry('region', 'good%d' % number, 1)
        data = json.dumps(good['value']).encode()
        _call(context, context.platform.put, good['key'], data, 0)
        context.written[good['key']] = good['value']
        while context.queue:
            context.queue.pop(0)()


@behave.then(
    'it goes on to read, and publishes the documents written after them'
)
def then_goes_on(context):
    found = dict(context.published)
    found.pop(relay_module.HEAD_KEY)
    assert found == context.written, sorted(found)


@behave.then('its head has the digest of what it published')
def then_odd_head(context):
    known = config.ConfigSet()
    known.apply(
        [
            {
                'key': key,
                'value': value,
                'version': context.platform.data[key].version,
            }
            for key, value in context.written.items()
        ]
    )
    head = context.published[relay_module.HEAD_KEY]
    assert head['digest'] == known.digest()


@behave.then('a write to each odd document ends with an error at once')
def then_odd_write(context):
    for name in ('nested', 'bytes', 'a list', 'a number', 'empty'):
        found = context.platform.data.get(KEY)
        version = found.version if found else 0
        value = _odd_documents()[name]
        _call(context, context.platform.put, KEY, value, version)
        context.queue.clear()
        _, exc = _put(context, 500, version + 1)
        assert isinstance(exc, errors.UnreadableDocument), (name, exc)


@behave.then('the audit trail is completed behind odd documents')
def then_odd_audit(context):
    context.platform.audit_down = True
    del context.platform.data[KEY]
    assert _put(context, 400, 0)[1] is None
    context.platform.audit_down = False
    assert _run(context, _complete(context)) == (1, None)


@behave.then("the platform's list names its real members only")
def then_odd_entries(context):
    real = {
        'id': 'b',
        'host': '127.0.0.1',
        'port': 7001,
        'place': 'sul-1',
        'region': 'sul',
    }
    entries = [real]
    for name in real:
        entries += [
            {key: value for key, value in real.items() if key != name},
            *({**real, 'id': 'c', name: odd} for odd in ([1], None, '\ud800')),
        ]
    entries += [{**real, 'id': 'c', 'port': port} for port in (0, 70000)]
    own = membership.Member('a', 1, 'live', '127.0.0.1', 1, 'sul-1', 'sul')
    members = membership.Membership(
        own, membership.MembershipCfg(), random.Random(1), 0.0
    )
    members.on_platform_list(entries, 1.0)
    assert members.listed == {'b'}, members.listed
    assert members.get('b') and not members.get('c')
    items = [
        client.Item('instances/%d' % number, json.dumps(entry).encode(), 1)
        for number, entry in enumerate(entries)
    ]
    values = [*odd_entries.documents({}).values(), b'{}']
    items += [client.Item('instances/x', value, 1) for value in values]
    found = [client._instance(item) for item in items]
    assert all(doc is None or isinstance(doc['id'], str) for doc in found)
    assert found[0] == real


class _Store:
    """A store whose answers come when the test asks for them."""

    era = 1

    def __init__(self, names):
        self.set(names)

    def set(self, names):
        self.items = [
            client.Item(e['key'], json.dumps(e['value']).encode(), 1)
            for e in [documents.entry('region', name, 1) for name in names]
        ]

    def list(self, prefix, after, done):
        done(client.Page(self.items, 9, False), None)

    def watch(self, prefix, revision, wait, done):
        self.answer = lambda: done(client.Changes([], revision), None)


def _vouched(context, seconds):
    """Answer watches of a second each and return what the relay told."""
    context.told = []
    for _ in range(seconds):
        context.now += 1.0
        context.store.answer()
    return [(digest, at - context.read_at) for digest, at in context.told]


@behave.given('a relay that has just read the store')
def given_relay(context):
    context.now = context.read_at = 100.0
    context.store = _Store(['sul', 'norte'])
    context.told = []
    relay = relay_module.Relay(
        types.SimpleNamespace(now=lambda: context.now),
        context.store,
        lambda *args: None,
        None,
        metrics.Metrics(),
        lambda *args: context.told.append(args),
    )
    relay.on_duty_change('relay/sul/0', 1)


def _digest(store):
    known = config.ConfigSet()
    known.apply(
        [
            {'key': item.key, 'value': {}, 'version': item.version}
            for item in store.items
        ]
    )
    return known.digest()


@behave.then(
    'it tells of the reads that it sends 5 s later, not of earlier ones'
)
@behave.then('the same holds for its digest of that copy')
def then_vouches(context):
    digest = _digest(context.store)
    assert _vouched(context, 7) == [(digest, 5.0), (digest, 6.0)]


@behave.when('the store comes back from a copy without region sul')
def when_back(context):
    context.store.set(['norte'])
    context.store.era += 1
    assert not _vouched(context, 1)
    context.read_at = context.now


@behave.then(
    'a purge removes its tombstone after the time to keep, not before'
)
def then_purge(context):
    entry = _delete(context, context.version)[0].entry
    entries = [entry, documents.entry('region', 'live', 1)]
    for now, count in ((1059.0, 0), (1061.0, 1)):
        args = (context.platform, entries, now, 60)
        results = _call(context, store.purge_tombstones, *args)
        assert _run(context, results) == (count, None)
    assert KEY not in context.platform.data
