"""Steps for resources and the config set."""

import json
import pathlib
import re
import time

import behave
import hypothesis
from hypothesis import strategies as st

from builders import documents
from jasminehold import config
from jasminehold import errors
from jasminehold import resources
from jasminehold.resources import decode

PAGE = pathlib.Path(__file__).parents[3] / 'docs/operations/resources.md'


def _held():
    held = config.ConfigSet()
    held.apply(documents.base_entries(), 4)
    return held


@behave.then(
    'each example spec is valid against a config that holds its ' 'references'
)
def then_examples(context):
    assert set(documents.SPECS) == set(resources.KINDS)
    for kind, spec in documents.SPECS.items():
        assert resources.check(kind, spec, _held()) == [], kind


@behave.when('a {kind} is checked with {field} set to {value}')
def when_checked(context, kind, field, value):
    spec = {**documents.SPECS[kind], field: json.loads(value)}
    context.faults = resources.check(kind, spec, _held())


@behave.then('a fault reads "{text}"')
def then_fault(context, text):
    lines = ['%(path)s: %(error)s' % fault for fault in context.faults]
    assert any(line.startswith(text) for line in lines), lines


@behave.then(
    'an upstream with three faults reports three and 10000 bad '
    'blocks report 100'
)
def then_all(context):
    bad = {'slots': -1, 'port': 0, 'host': 7}
    spec = {**documents.SPECS['upstream'], **bad}
    faults = resources.check('upstream', spec)
    assert sorted(f['path'] for f in faults) == [
        'spec.host',
        'spec.port',
        'spec.slots',
    ]
    spec = {'region': 'sul', 'blocks': [{}] * 10000}
    assert len(resources.check('client_blocks', spec)) == 100


@behave.then('10000 blocks are valid and 10001 are not')
def then_blocks(context):
    good, bad = documents.blocks(10000), documents.blocks(10001)
    assert resources.check('client_blocks', good, _held()) == []
    assert resources.check('client_blocks', bad)


@behave.then("each example on the operators' page is valid")
def then_page(context):
    text = PAGE.read_text()
    docs = [
        json.loads(m) for m in re.findall(r'```json\n(.*?)```', text, re.S)
    ]
    assert {doc['kind'] for doc in docs} == set(resources.KINDS)
    for doc in docs:
        name = doc['metadata']['name']
        resources.check_document(doc['kind'], name, doc, _held())


def _seconds(func):
    best = []
    for _ in range(3):
        begin = time.perf_counter()
        func()
        best.append(time.perf_counter() - begin)
    return min(best)


@behave.then(
    'open strings of escaped quotes and deep nesting are refused '
    'within 50 times the cost of parsing'
)
def then_linear(context):
    size = 500000
    plain = json.dumps(['x' * 8] * (size // 12)).encode()
    base = _seconds(lambda: decode.decode(plain))
    hostile = (b'"' + b'\\"' * (size // 2), b'[' * size, b'{"a":' * 80000)
    hostile += (b'[' + b'9' * size + b']', b'[NaN]', b'{"a":1,"a":2}', b'\xff')

    def refused(body):
        try:
            decode.decode(body)
        except errors.RequestError as exc:
            assert exc.kind is errors.Kind.BAD_REQUEST
        else:
            raise AssertionError('accepted %r' % body[:20])

    for body in hostile:
        ratio = _seconds(lambda: refused(body)) / base
        assert ratio < 50, (body[:20], ratio)


ENTRIES = st.builds(
    documents.entry,
    st.sampled_from(['region', 'service']),
    st.sampled_from(['a', 'b', 'c']),
    st.integers(1, 12),
    # The platform gives a version to one document only, so whether it is a
    # tombstone depends on the version alone.
).map(
    lambda e: {**e, 'value': {**e['value'], 'deleted': e['version'] % 3 < 1}}
)


@behave.then(
    'the config set equals a dictionary of maxima after each random ' 'step'
)
def then_maxima(context):
    @hypothesis.settings(database=None, derandomize=True, max_examples=300)
    @hypothesis.given(st.lists(st.lists(ENTRIES, max_size=6), max_size=8))
    def run(steps):
        held = config.ConfigSet()
        naive = {}
        for number, docs in enumerate(steps):
            expected = set()
            for doc in docs:
                if (
                    doc['version']
                    > naive.get(doc['key'], {'version': 0})['version']
                ):
                    naive[doc['key']] = doc
                    expected.add(doc['key'])
            changed = held.apply(docs, len(steps) - number)
            assert {c['key'] for c in changed} == expected
            assert held.snapshot() == [naive[k] for k in sorted(naive)]
            for key, doc in naive.items():
                value = held.get(*config.split_key(key))
                live = not doc['value']['deleted']
                assert value == (doc['value'] if live else None)
            fresh = config.ConfigSet()
            fresh.apply(list(naive.values()))
            assert fresh.digest() == held.digest()
            assert held.revision == len(steps)

    run()


@behave.then(
    'a set read after a purge has the digest of one that kept the tombstone'
)
def then_digest_without_tombstones(context):
    # With tombstones counted, no change was ever shown in force again after
    # the platform had dropped one and a new relay had read it.
    def entry(name, version, deleted):
        value = {'kind': 'region', 'deleted': deleted, 'spec': {}}
        key = config.key_of('region', name)
        return {'key': key, 'value': value, 'version': version}

    held, fresh = config.ConfigSet(), config.ConfigSet()
    held.apply([entry('sul', 1, False), entry('norte', 2, False)])
    fresh.apply([entry('sul', 1, False)])
    assert held.digest() != fresh.digest()
    held.apply([entry('norte', 3, True)])
    assert held.digest() == fresh.digest()
