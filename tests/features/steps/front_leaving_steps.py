"""Steps for upstreams that say in their responses that they leave."""

import time

import behave

from jasminehold.decisions import upstream_view
from tests.builders import front_rig
from tests.builders import front_values


def _upstream(context):
    return context.rig.upstreams['u1']


@behave.when(
    'an upstream says for {seconds:g} s that it leaves while its entry is'
    ' ready'
)
def when_leaving(context, seconds):
    _upstream(context).leaving = True
    context.limited_at = time.monotonic()
    time.sleep(seconds)
    context.ended_at = time.monotonic()


@behave.then('nothing reaches it later than {seconds:g} s after it said so')
def then_nothing(context, seconds):
    begin = context.limited_at + seconds
    late = [at for at in context.callers.arrivals['u1'] if at > begin]
    assert not late, '%d arrivals' % len(late)
    before = [at for at in context.callers.arrivals['u1']]
    assert before, 'nothing arrived before'


@behave.when('upstream "u1" says that it leaves in a response')
def when_said(context):
    rig = context.rig
    item = _upstream(context)
    item.leaving = True
    for index in range(20):
        before = item.arrivals
        rig.ask('/browse/a', Cookie='X-Affinity-Key=%d' % index)
        if item.arrivals > before:
            return
    raise AssertionError('no request reached u1')


@behave.when('its entry is removed and written again {seconds:g} s later')
def when_returns(context, seconds):
    rig = context.rig
    view = rig.apps['i1'].steering.view
    rig.call(rig.store.delete, 'servers/u1')
    rig.wait(lambda: 'u1' not in view.upstreams, 'the entry gone')
    time.sleep(seconds)
    _upstream(context).leaving = False
    rig.put('servers/u1', _upstream(context).entry('loja', 'sul-a', Seq=9))


@behave.when('it starts again under its id')
def when_restarts(context):
    item = _upstream(context)
    item.leaving = False
    context.rig.put(
        'servers/u1', item.entry('loja', 'sul-a', born=1_700_000_000_000)
    )


@behave.then('requests reach "u1" within {seconds:g} s')
def then_used(context, seconds):
    rig = context.rig
    before = _upstream(context).arrivals
    end = time.monotonic() + seconds
    index = 0
    while time.monotonic() < end and _upstream(context).arrivals == before:
        index += 1
        rig.ask('/browse/a', Cookie='X-Affinity-Key=%d' % index)
    assert _upstream(context).arrivals > before


@behave.when('one instance alone hears that an upstream leaves')
def when_one_hears(context):
    rig = context.rig
    app = rig.apps['i0']
    upstream = app.steering.view.upstreams['u1']
    rig.on_loop(app.loop, app.departures.on_response, upstream, True)
    context.heard_at = time.monotonic()


@behave.then(
    'all instances of its region send nothing to it from {seconds:g} s on'
)
def then_region(context, seconds):
    time.sleep(seconds)
    for name, app in context.rig.apps.items():
        if front_rig.PLACES[app.cfg.place] == 'sul':
            assert app.steering.view.upstreams['u1'].draining, name


@behave.given('a view of upstreams that was told that "{name}" leaves')
def given_told(context, name):
    context.view = upstream_view.UpstreamView()
    context.view.on_leaving(upstream_view.Incarnation(name, 5), 0.0)


@behave.when('the entry of that start of "{name}" is listed')
def when_listed(context, name):
    context.view.on_list([front_values.entry(name, born_ms=5)], 1.0)


@behave.when('the entry of a later start of "{name}" is listed')
def when_later(context, name):
    context.view.on_list([front_values.entry(name, born_ms=6)], 2.0)


@behave.then('"{name}" is out of use')
def then_out(context, name):
    assert context.view.upstreams[name].draining


@behave.then('"{name}" is in use')
def then_in(context, name):
    assert not context.view.upstreams[name].draining
