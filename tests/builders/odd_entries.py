"""Entries of another writer among those of the upstreams."""

import json

from jasminehold.platform import wire

DEPTH = 100_000


def _entry(port, **changes):
    doc = {
        'Service': 'loja',
        'Addr': '127.0.0.1:%d' % port,
        'Zone': 'sul-a',
        'Version': 'v1',
        'Slots': 3,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Seq': 1,
        'born': 1,
    }
    doc.update(changes)
    return doc


def _texts(port):
    yield 'nested', '[' * DEPTH
    yield 'nested value', '{"Service": %s1' % ('[' * DEPTH)
    yield 'many digits', '{"Seq": %s}' % ('9' * 5000)
    # Values that only some readers can take.
    for name, changes in (
        ('large seq', {'Seq': 10**30}),
        ('large born', {'born': 10**400}),
        ('born beyond 64 bits', {'born': 2**64}),
        ('negative born', {'born': -1}),
        ('large slots', {'Slots': 10**9}),
        ('large cold time', {'ColdLeftMs': 10**400}),
        ('infinite cold time', {'ColdLeftMs': float('inf')}),
        ('port out of range', {'Addr': '127.0.0.1:65536'}),
        ('large port', {'Addr': '127.0.0.1:%s' % ('9' * 30)}),
        ('port of other digits', {'Addr': '127.0.0.1:\u0663\u0663'}),
        ('name for an address', {'Addr': 'localhost:%d' % port}),
        ('address out of range', {'Addr': '999.1.1.1:%d' % port}),
        ('any address', {'Addr': '0.0.0.0:%d' % port}),
        ('group address', {'Addr': '224.0.0.1:%d' % port}),
        ('broken text', {'Zone': '\ud800'}),
        ('long name', {'Service': 'x' * 100_000}),
        ('long state', {'State': 'x' * 100_000}),
        ('list for a state', {'State': ['ready']}),
    ):
        yield name, json.dumps(_entry(port, **changes))


def values(port):
    """Return ``{name: bytes}`` of values that name no upstream.

    Args:
        port: of a real upstream, which most of them name.
    """
    found = {name: text.encode() for name, text in _texts(port)}
    found['bytes'] = b'\xff\x00\x9a'
    return found


def documents(doc):
    """Return ``{name: bytes}`` of documents that no instance can use.

    Args:
        doc: a valid one, which some of them are made from.
    """
    found = {
        'nested': ('{"a": %s' % ('[' * DEPTH)).encode(),
        'bytes': b'\xff\x00\x9a',
        'a list': b'[1]',
        'a number': b'7',
        'empty': b'',
    }
    for name, changes in (
        ('large number', {'extra': 10**30}),
        ('broken text', {'extra': '\ud800'}),
        ('large', {'extra': 'x' * 600_000}),
        ('no spec', {'spec': None}),
        ('no metadata', {'metadata': 1}),
        ('another name', {'metadata': {'name': 'other', 'generation': 1}}),
        ('another kind', {'kind': 'other'}),
    ):
        found[name] = json.dumps({**doc, **changes}).encode()
    return found


def own_keys():
    """Return ``{key: bytes}`` under the keys that instances write."""
    member = {
        'callers': '127.0.0.1:80',
        'place': 'sul-a',
        'region': 'sul',
        'peers': '127.0.0.1:81',
        'room': 10.0,
    }
    found = {}
    for prefix in (wire.MEMBER_PREFIX, wire.QUARANTINE_PREFIX):
        for name, value in documents({}).items():
            found[prefix + name.replace(' ', '-')] = value
        found[prefix + '\ud800'] = b'{}'
    for name, changes in (
        ('no-port', {'peers': 'x'}),
        ('port-out-of-range', {'peers': '127.0.0.1:70000'}),
        ('name', {'peers': 'localhost:81', 'callers': 'localhost:80'}),
        ('no-callers', {'callers': ''}),
        ('no-room', {'room': float('nan')}),
        ('much-room', {'room': 10**400}),
        ('negative-room', {'room': -1e9}),
        ('text', {'region': '\ud800'}),
        ('long', {'region': 'x' * 100_000}),
    ):
        value = json.dumps({**member, **changes}).encode()
        found[wire.MEMBER_PREFIX + name] = value
    for name, left in (('11', float('inf')), ('22', float('nan')), ('zz', 1)):
        value = json.dumps({'left_s': left}).encode()
        found[wire.QUARANTINE_PREFIX + name] = value
    found[wire.SETTLED_KEY] = b'[' * DEPTH
    return found


def keys(port):
    """Return ``{key: bytes}`` of keys under which nothing can be sent."""
    value = json.dumps(_entry(port)).encode()
    ids = ('', 'a b', 'a\r\nx: y', '\u00fc', 'x' * 300, '\ud800')
    return {wire.UPSTREAM_PREFIX + name: value for name in ids}
