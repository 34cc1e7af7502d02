"""Steps for agents over real streams."""

import behave

from builders import peers as builder

PERIOD_S = 0.5


def _run(context, condition, limit):
    taken = context.fleet.run_until(condition, limit)
    assert not context.fleet.faults, context.fleet.faults
    assert taken is not None
    return taken


def _all_know(context):
    names = tuple(sorted(context.fleet.agents))
    return context.fleet.active() == {names}


@behave.given('instances a to f of which each knows only a')
def given_agents(context):
    context.fleet = builder.Agents()
    context.fleet.add_agent('a')
    for name in 'bcdef':
        context.fleet.add_agent(name, 'a')
    _run(context, lambda: _all_know(context), 10.0)
    meshes = context.fleet.meshes.values()
    _run(context, lambda: all(len(m.connected()) == 5 for m in meshes), 5.0)


@behave.then('all know each other, heard both witnesses and the root counts 6')
def then_meet(context):
    hooks = context.fleet.hooks
    both = {('sul', 'a', 7), ('sul', 'b', 7)}

    def done():
        return (
            hooks['a'].summary is not None
            and hooks['a'].summary['places'] == {'p': [6, 1]}
            and all(
                h.contacts | {('sul', n, 7)} >= both for n, h in hooks.items()
            )
        )

    _run(context, done, 10.0)


@behave.when('a publishes {count:d} documents and one of {size:d} bytes')
def when_many(context, count, size):
    agent = context.fleet.agents['a']
    context.expected = {'big': (1, b'x' * size)}
    for number in range(count):
        context.expected['k%d' % number] = (number + 1, {'n': number})
    for key, (version, value) in context.expected.items():
        assert agent.publish(key, value, version)
        assert not agent.publish(key, 'older', version)


@behave.when('{name} starts and knows only {seed}')
@behave.when('{name} starts again and knows only {seed}')
def when_start(context, name, seed):
    context.fleet.add_agent(name.split()[0], seed)


@behave.then('g has all documents within 10 seconds')
def then_learned(context):
    got = context.fleet.hooks['g'].documents
    _run(context, lambda: len(got) == len(context.expected), 10.0)
    assert got == context.expected


@behave.when('d publishes a document and a notice')
def when_news(context):
    context.fleet.agents['d'].publish('k', [1], 9)
    context.fleet.agents['d'].notify('n', 'poison', 60.0)


@behave.then('all have both in less than half a period')
def then_news(context):
    others = [h for name, h in context.fleet.hooks.items() if name != 'd']
    taken = _run(
        context,
        lambda: all(
            h.documents == {'k': (9, [1])} and h.notices == {'n': 'poison'}
            for h in others
        ),
        5.0,
    )
    assert taken < PERIOD_S / 2, taken


@behave.when('c is killed')
def when_killed(context):
    context.fleet.kill('c')


@behave.then('the others hold c for gone within 10 seconds')
def then_gone(context):
    assert _run(context, lambda: _all_know(context), 10.0) > 1.0
    member = context.fleet.agents['a'].state.members.get('c')
    assert member.state == 'gone' and not member.left


@behave.then('all know each other')
def then_back(context):
    _run(context, lambda: _all_know(context), 10.0)


@behave.when('e leaves')
def when_leaves(context):
    context.ended = []
    context.fleet.agents.pop('e').leave(lambda: context.ended.append(True))


@behave.then('the others know within half a period that e left')
def then_left(context):
    taken = _run(context, lambda: _all_know(context), 5.0)
    assert taken < PERIOD_S / 2, taken
    members = [x.state.members for x in context.fleet.agents.values()]
    assert all(m.get('e').left for m in members)
    _run(context, lambda: context.ended, 1.0)
