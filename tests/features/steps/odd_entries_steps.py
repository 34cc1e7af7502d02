"""Steps for entries of another writer among those of the upstreams."""

import time

import behave

from jasminehold.decisions import store_replica
from jasminehold.platform import wire
from tests.builders import cut_upstreams
from tests.builders import front_rig
from tests.builders import odd_entries

REASON_MAX_CHARS = 400
WRITE_EVERY_S = 0.3
VERSION = 9


@behave.when('entries of another writer are read')
def when_read(context):
    items = [
        store_replica.Item(wire.UPSTREAM_PREFIX + name, value, 1)
        for name, value in odd_entries.values(80).items()
    ]
    items += [
        store_replica.Item(key, value, 1)
        for key, value in odd_entries.keys(80).items()
    ]
    context.reasons = {}
    for item in items:
        try:
            found = wire.decode_upstream(item)
        except wire.MalformedBody as exc:
            found = exc
        context.reasons[item.key] = found


@behave.then('each is refused with a reason of at most {limit:d} characters')
def then_refused(context, limit):
    taken = [
        key
        for key, found in context.reasons.items()
        if not isinstance(found, wire.MalformedBody) or len(str(found)) > limit
    ]
    assert not taken, [key[:60] for key in taken]


@behave.given('two linked instances of one service')
def given_linked(context):
    context.rig = front_rig.FrontRig()
    context.add_cleanup(context.rig.stop)
    context.rig.start_fleet(('sul-a', 'sul-b'))


@behave.when(
    'another writer writes odd entries again and again for {seconds:g} s'
)
def when_written(context, seconds):
    port = context.rig.upstreams['u1'].port
    entries = odd_entries.keys(port)
    for name, value in odd_entries.values(port).items():
        entries['%sodd-%s' % (wire.UPSTREAM_PREFIX, name)] = value
    _write_for(context.rig, entries, seconds)


@behave.when(
    "another writer writes odd entries under the instances' own keys for"
    ' {seconds:g} s'
)
def when_own_written(context, seconds):
    _write_for(context.rig, odd_entries.own_keys(), seconds)


@behave.given(
    'the store answers a read of changes with {size:d} bytes at most'
)
def given_size(context, size):
    context.rig.store.state.watch_bytes_max = size


@behave.when('another writer writes {count:d} values of {size:d} bytes')
def when_large(context, count, size):
    rig = context.rig

    def write():
        for number in range(count):
            key = '%slarge-%d' % (wire.UPSTREAM_PREFIX, number % 4)
            rig.store.put(key, b'%d' % number + b' ' * size)

    # At once, so that one read finds them all.
    rig.call(write)


def _write_for(rig, entries, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for key, value in entries.items():
            # Each write differs from the one before.
            rig.put(key, value + b' ' * int(time.monotonic() * 10 % 7))
        time.sleep(WRITE_EVERY_S)


def _views(rig):
    return {
        name: set(app.steering.view.upstreams)
        for name, app in rig.apps.items()
    }


@behave.then('a new version is in force at all instances within {seconds:g} s')
def then_in_force(context, seconds):
    rig = context.rig
    rules = list(front_rig.RULES)
    rig.put('op/config', front_rig.configuration(VERSION, rules))
    tables = [app.steering for app in rig.apps.values()]
    rig.wait(
        lambda: all(item.table.version == VERSION for item in tables),
        'the new version',
        seconds,
    )


@behave.then(
    "an instance that starts from the peers' copy knows the upstreams"
)
def then_starts(context):
    rig = context.rig
    seeds = [app.cfg.peer_listen for app in rig.apps.values()]
    rig.call(rig.store.set_faults, mode='busy')
    rig.start('i2', 'sul-b', seeds, 2)
    rig.wait_ready('i2')
    rig.call(rig.store.set_faults)
    known = {'u1', 'u2', 'w1'}
    assert set(_views(rig)['i2']) == known, _views(rig)


@behave.then('orders at all instances are served by the known upstreams')
def then_served(context):
    rig = context.rig
    views = _views(rig)
    assert all(found == {'u1', 'u2', 'w1'} for found in views.values()), views
    tries = [
        cut_upstreams.ask(rig, name, 'odd-%s-%d' % (name, turn), '/order/a')
        for name in rig.apps
        for turn in range(4)
    ]
    assert all(item.served for item in tries), tries
