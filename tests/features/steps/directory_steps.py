"""Steps for the instances that callers are sent to."""

import collections

import behave

from jasminehold.decisions import instance_sample


def _instance(place, number, room):
    name = '%s-%d' % (place, number)
    return instance_sample.Instance(name, name, place, 'sul', float(room))


@behave.given(
    'a region of {zones:d} zones with {some:d} instances of room {high:d} and'
    ' {others:d} of room {low:d} each'
)
def given_region(context, zones, some, high, others, low):
    rooms = [high] * some + [low] * others
    context.places = ['z%d' % number for number in range(zones)]
    context.instances = [
        _instance(place, number, room)
        for place in context.places
        for number, room in enumerate(rooms)
    ]


def _choose(context, place, caller, region='sul'):
    return instance_sample.choose(
        context.instances, region, place, '192.0.2.%s' % caller
    )


@behave.when('{count:d} callers of each zone are sent to instances')
def when_sent(context, count):
    context.answers = {
        (place, number): _choose(context, place, number)
        for place in context.places
        for number in range(count)
    }


@behave.then(
    'each instance gets its share within three tenths, and each size its sum'
    ' within a tenth'
)
def then_shares(context):
    used = collections.Counter()
    for names in context.answers.values():
        assert 0 < len(names) <= 64
        for name in names:
            used[name] += 1 / len(names)
    total = sum(item.room for item in context.instances)
    sums = collections.defaultdict(lambda: [0.0, 0.0])
    for item in context.instances:
        share = len(context.answers) * item.room / total
        assert abs(used[item.id] - share) <= 0.3 * share, (item, used[item.id])
        sums[item.room][0] += used[item.id]
        sums[item.room][1] += share
    for found, share in sums.values():
        assert abs(found - share) <= 0.1 * share, (found, share)


@behave.then(
    "{own:d} of {count:d} instances stand in the caller's zone and one"
    ' elsewhere'
)
def then_own(context, own, count):
    for (place, _), names in context.answers.items():
        assert len(names) == count, names
        assert sum(name.startswith(place + '-') for name in names) == own


@behave.then('each caller gets {count:d} instances')
def then_count(context, count):
    assert all(len(names) == count for names in context.answers.values())


@behave.when('an instance leaves and another one comes')
def when_changes(context):
    when_sent(context, 300)
    context.before = context.answers
    context.instances = context.instances[1:] + [_instance('z0', 99, 62)]
    when_sent(context, 300)


@behave.then('callers keep at least 9 of 10 of their instances')
def then_kept(context):
    kept = total = 0
    for caller, names in context.before.items():
        total += len(names)
        kept += len(set(names) & set(context.answers[caller]))
    assert kept >= 0.9 * total, (kept, total)


@behave.then('a caller of another region gets {count:d} instances')
def then_other(context, count):
    assert len(_choose(context, 'far', 1, 'norte')) == count
