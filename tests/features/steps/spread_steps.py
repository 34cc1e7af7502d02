"""Steps for news within a region."""

import time

import behave

from jasminehold.decisions import reading
from jasminehold.decisions import spread
from tests.builders import front_rig

REGION = tuple('i%d' % number for number in range(1, 10))
ZONES = ('sul-a', 'sul-b')


@behave.given('a region of {count:d} instances in {zones:d} zones')
def given_region(context, count, zones):
    context.members = {
        'i%d' % number: 'zone-%d' % (number % zones) for number in range(count)
    }
    context.links = {
        name: spread.neighbours(name, context.members)
        for name in context.members
    }


def _reached(links, start, without=None):
    seen, todo = {start}, [start]
    while todo:
        for name in links[todo.pop()] - seen - {without}:
            seen.add(name)
            todo.append(name)
    return seen


@behave.then('every instance is reached from every other')
def then_connected(context):
    start = next(iter(context.members))
    assert _reached(context.links, start) == set(context.members)


@behave.then('both ends of each stream know of it')
def then_both(context):
    for name, linked in context.links.items():
        assert all(name in context.links[other] for other in linked)


@behave.then('no instance has more than {most:d} streams')
def then_degree(context, most):
    assert max(map(len, context.links.values())) <= most


@behave.then('between zones there are {count:d} streams')
def then_between(context, count):
    found = {
        frozenset((name, other))
        for name, linked in context.links.items()
        for other in linked
        if context.members[name] != context.members[other]
    }
    assert len(found) == count, len(found)


@behave.then('the loss of any one leaves at most {most:d} parts')
def then_parts(context, most):
    for lost in context.members:
        left = set(context.members) - {lost}
        parts = 0
        while left:
            left -= _reached(context.links, next(iter(left)), lost)
            parts += 1
        assert parts <= most, (lost, parts)


@behave.given('nine instances of one region with a stand-in store')
def given_nine(context):
    rig = context.rig = front_rig.FrontRig()
    context.add_cleanup(rig.stop)
    for number, name in enumerate(REGION):
        rig.start(name, ZONES[number % len(ZONES)], (), number)
    for name in REGION:
        rig.wait_ready(name)
    rig.wait(
        lambda: all(
            set(app.steering.instances) == set(REGION)
            for app in rig.apps.values()
        ),
        'all instances known to each other',
    )
    # Streams are set up.
    time.sleep(1.0)


@behave.when('the first reader is killed')
def when_reader_killed(context):
    rig = context.rig
    first = next(name for name in REGION if reading.rank(name, REGION) == 0)
    rig.apps.pop(first).stop()


@behave.then('all instances know it within {seconds:g} s')
def then_all_know(context, seconds):
    rig = context.rig
    end = time.monotonic() + seconds
    missing = set(rig.apps)
    while missing and time.monotonic() < end:
        missing = {
            name
            for name in missing
            if not rig.apps[name].steering.view.upstreams['u1'].draining
        }
        time.sleep(0.02)
    assert not missing, missing


@behave.then('a second passes with at most {most:d} reads of the store')
def then_reads(context, most):
    store = context.rig.store

    def reads():
        return store.counts.get('watch', 0) + store.counts.get('range', 0)

    before = context.rig.call(reads)
    time.sleep(1.0)
    found = context.rig.call(reads) - before
    assert 0 < found <= most, found


@behave.then('no instance asked another for its whole copy')
def then_no_snapshot(context):
    sent = [app.metrics.render() for app in context.rig.apps.values()]
    assert any(b'type="news"' in text for text in sent)
    assert not any(b'type="snapshot"' in text for text in sent)
