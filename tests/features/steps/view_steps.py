"""Steps for the application's view of the fleet."""

import random
import time

import behave

from bench import roles
from jasminehold import app as app_module
from jasminehold.decisions import membership
from jasminehold import settings

KEY = '11' * 32


@behave.given('an application that knows no other instance')
def given_application(context):
    cfg = settings.from_dict(
        {
            'id': 'own',
            'place': 'place-01',
            'region': 'region-1',
            'platform': ['127.0.0.1:9'],
            'peer_keys': {'k1': KEY},
            'peer_key_id': 'k1',
            'register': True,
        }
    )
    context.app = app_module.Application(cfg, random.Random(1))
    context.app.agent.set_state(membership.LIVE)
    context.app._update_view()


def _change(context, members):
    app = context.app
    version = app._view[0]
    for member in members:
        app.agent.state.members.merge(list(member), app.loop.now())
        app.on_member(member)
    assert app._view[0] == version
    return version


def _wait(context, version, count):
    app = context.app
    end = time.monotonic() + 1.0

    def check():
        if app._view[0] != version or time.monotonic() > end:
            app.stop()
        else:
            app.loop.call_later(0.01, check)

    app.loop.call_soon(check)
    app.run()
    assert app._view[0] == version + 1, app._view[0] - version
    assert len(app._view[1]) == count, len(app._view[1])


@behave.when('300 members join at once')
def when_join(context):
    rng = random.Random(1)
    context.members = [roles._member(number, rng) for number in range(300)]
    context.version = _change(context, context.members)


@behave.then('one new view with 301 instances follows within a second')
def then_one(context):
    _wait(context, context.version, 301)


@behave.then('the same holds when 299 of them are gone at once')
def then_gone(context):
    gone = [
        member._replace(state=membership.GONE, incarnation=2**41)
        for member in context.members[:299]
    ]
    _wait(context, _change(context, gone), 2)
