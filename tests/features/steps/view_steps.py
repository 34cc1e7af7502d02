"""Steps for the application's view of the fleet."""

import random
import time

import behave

from bench import roles
from builders import documents
from jasminehold import app as app_module
from jasminehold import config
from jasminehold.decisions import config_freshness
from jasminehold.decisions import membership
from jasminehold import errors
from jasminehold.proxy import hooks
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


HELD = documents.base_entries()
MORE = HELD + [documents.entry('service', 'oficina', 7)]
DELETED = HELD + [documents.entry('region', 'old', 8, deleted=True)]
# What arrives, in order: documents, the head of documents, or a read of
# documents and its age in seconds. The tables follow the first documents.
COPIES = {
    'is empty': [('read', [], 1)],
    'has no head': [('copy', HELD)],
    'is not known to be recent': [('copy', HELD), ('head', HELD)],
    'was complete 6 seconds ago': [
        ('copy', HELD),
        ('head', HELD),
        ('read', HELD, 6),
    ],
    'lacks a document of the head': [
        ('copy', HELD),
        ('read', HELD, 1),
        ('head', MORE),
    ],
    'differs from the store': [
        ('copy', MORE),
        ('head', MORE),
        ('read', MORE, 2),
        ('read', HELD, 1),
    ],
    'is newer than its tables': [
        ('copy', HELD),
        ('copy', MORE),
        ('head', MORE),
        ('read', MORE, 1),
    ],
    'was complete 4 seconds ago': [
        ('copy', HELD),
        ('head', HELD),
        ('read', HELD, 4),
    ],
    'was complete a tombstone ago': [
        ('copy', DELETED),
        ('head', DELETED),
        ('read', HELD, 1),
    ],
    'outlived a read of an older store': [
        ('copy', MORE),
        ('head', MORE),
        ('read', MORE, 1),
        ('read', HELD, 2),
    ],
}


@behave.when('its copy of the configuration {state}')
def when_copy(context, state):
    app = context.app
    for verb, entries, *age_s in COPIES[state]:
        known = config.ConfigSet()
        known.apply(entries)
        digest = known.digest()
        if verb == 'copy':
            for item in entries:
                app.on_document(item['key'], item['value'], item['version'])
            if not app.tables.services:
                app._rebuild()
        elif verb == 'head':
            revision = max(known.versions().values())
            value = {'revision': revision, 'digest': digest}
            app.on_document('head/config', value, revision)
        else:
            value = {'digest': digest, 'age_s': age_s[0]}
            ttl = config_freshness.NOTICE_TTL_S
            app.on_notice(config_freshness.NOTICE_KEY, value, ttl)


@behave.then('a request and a look-up of a service that it lacks get "{kind}"')
def then_denied(context, kind):
    app = context.app
    req = hooks.RequestInfo(
        b'GET', b'/', [], 'lager', 0, b'', None, '10.1.0.1'
    )
    assert app.picker.route(req) is errors.Kind(kind), app.picker.route(req)
    try:
        app.proxy.answer('lager', '10.1.0.1')
    except errors.RequestError as exc:
        assert exc.kind is errors.Kind(kind), exc.kind
    else:
        raise AssertionError('answered')
    answer = errors.answer_for(errors.Kind(kind))
    final = kind == 'unknown_service'
    assert answer.run is errors.Run.NOT_RUN
    assert (answer.status, answer.retry_after) == (
        (404, False) if final else (503, True)
    )
