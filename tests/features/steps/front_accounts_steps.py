"""Steps for client accounts on the users' platform."""

import io
import time
import types

import behave
import h11

from jasminehold.decisions import accounts
from jasminehold import logs
from tests.builders import cut_upstreams
from tests.builders import front_rig

KEYS = {'ada': 'ada0secret0key', 'bo': 'bo0secret0key'}
UNKNOWN = 'unknown0secret0key'
REGIONS = ('sul', 'norte', 'leste')
RULES = (
    *front_rig.RULES,
    {**front_rig.route('open', '/open/', 'loja'), 'Public': True},
)


def _document(version, without=()):
    rows = [
        (name, [] if name in without else [key], {'Priority': 0})
        for name, key in KEYS.items()
    ]
    return front_rig.accounts(version, rows, RULES)


def _start(context, names):
    context.rig = front_rig.FrontRig(configured=False)
    context.add_cleanup(context.rig.stop)
    context.rig.put('op/config', _document(1))
    context.version = 1
    for name in names:
        seeds = [app.cfg.peer_listen for app in context.rig.apps.values()]
        context.rig.start(name, seeds=seeds)
    for name in names:
        context.rig.wait_ready(name)
        app = context.rig.apps[name]
        context.rig.wait(
            lambda: app.steering.may_deny(app.loop.now()), 'a certain copy'
        )
        # The copy is proven by the first read after that.
        context.rig.wait(
            lambda: app._reader.replica.proven_as_of is not None,
            'a proven copy',
        )


def _headers(context):
    # Of the last request, as its upstream got them.
    for upstream in context.rig.upstreams.values():
        found = upstream.headers_by_id.get(context.request_id)
        if found is not None:
            return {
                name.decode(): value.decode('latin-1')
                for name, value in dict(found).items()
            }
    return None


def _ask(context, extra, path='/browse/a', name='i1'):
    # ``extra``: list of (name, value) beyond the usual headers.
    headers = front_rig.request_headers({})
    context.request_id = headers['X-Request-Id']
    request = h11.Request(
        method='GET', target=path, headers=list(headers.items()) + extra
    )
    client = context.rig.client(name)
    try:
        data = client.http.send(request)
        client.sock.sendall(data + client.http.send(h11.EndOfMessage()))
        context.reply = client.read()
    finally:
        client.close()
    return context.reply


def _key(name):
    return [('X-Credential', KEYS[name])]


@behave.given('an instance with accounts "ada" and "bo"')
def given_instance(context):
    _start(context, ('i1',))


@behave.given('an instance without accounts')
def given_none(context):
    context.rig = front_rig.FrontRig()
    context.add_cleanup(context.rig.stop)
    context.rig.start()
    context.rig.wait_ready()


@behave.then('the upstream gets both headers')
def then_both(context):
    found = _headers(context)
    assert found['x-credential'] == KEYS['ada'], found
    assert found['x-tenant'] == 'bo', found


@behave.given('four linked instances with accounts "ada" and "bo"')
def given_fleet(context):
    context.rig = front_rig.FrontRig(('u1', 'u2'), configured=False)
    context.add_cleanup(context.rig.stop)
    context.rig.put('op/config', _document(1))
    context.paths = cut_upstreams.start_fleet(context.rig)
    context.add_cleanup(context.paths.heal)


@behave.when('a request has the key of "ada" and states the account "bo"')
def when_stated(context):
    _ask(context, _key('ada') + [('X-Tenant', 'bo'), ('x-tenant', 'bo')])


@behave.when('a request on the public route has the key of "ada"')
def when_public(context):
    _ask(context, _key('ada') + [('X-Tenant', 'bo')], '/open/a')


@behave.then('it ran for "{name}" and its key was not passed on')
def then_ran(context, name):
    name = '' if name == 'nobody' else name
    assert context.reply.status == 200, context.reply
    found = _headers(context)
    assert found.get('x-tenant', '') == name, found
    assert 'x-credential' not in found, found
    assert KEYS['ada'] not in str(found), found


@behave.then('these requests are answered and do not run')
def then_table(context):
    for row in context.table:
        when_presented(context, row['request'])
        then_refused(context, int(row['status']))


@behave.when('a request presents {what}')
def when_presented(context, what):
    extra = {
        'no key': [],
        'an empty key': [''],
        'two keys': [KEYS['ada'], KEYS['bo']],
        'the same key twice': [KEYS['ada']] * 2,
        'a key of 9,000 bytes': ['k' * 9000],
        'a key of 64 KiB': ['k' * 65536],
        'a key beyond ASCII': ['k\u00e9y'.encode()],
        'a key with a space': [KEYS['ada'] + ' x'],
        "another account's name": ['ada'],
        'an unknown key': [UNKNOWN],
    }[what]
    _ask(context, [('X-Credential', value) for value in extra])
    if what == "another account's name":
        then_later(context, 'ada')
        _ask(context, [('X-Credential', value) for value in extra])


@behave.then('it is answered {status:d} and did not run')
def then_refused(context, status):
    assert context.reply.status == status, context.reply
    assert not context.rig.runs(context.request_id)
    if status == 503:
        assert 'retry-after' in context.reply.headers


@behave.then('later ones with that key are answered 401')
def then_later(context, key=UNKNOWN):
    end = time.monotonic() + 3.0
    while _ask(context, [('X-Credential', key)]).status != 401:
        assert context.reply.status == 503, context.reply
        assert time.monotonic() < end
        time.sleep(0.1)


def _put(context, without=()):
    context.version += 1
    context.rig.put('op/config', _document(context.version, without))
    steering = context.rig.apps['i1'].steering
    context.rig.wait(
        lambda: steering.table.version == context.version, 'the version'
    )


@behave.when('the key of "{name}" is withdrawn')
def when_withdrawn(context, name):
    _put(context, (name,))


@behave.when('the key of "{name}" is added again')
def when_added(context, name):
    _put(context)


@behave.then('a request with the key of "{name}" is answered {status:d}')
def then_answered(context, name, status):
    reply = _ask(context, _key(name))
    assert reply.status == status, reply


@behave.then('a request with the key of "{name}" runs for "{account}"')
def then_runs(context, name, account):
    _ask(context, _key(name))
    then_ran(context, account)


@behave.when('a version without accounts comes while a request of "ada" runs')
def when_no_accounts(context):
    app = context.rig.apps['i1']
    route = app.steering.table.match('shop.example', '/browse/a')
    headers = [(b'x-credential', KEYS['ada'].encode())]
    inbound = types.SimpleNamespace(headers=headers)
    check, now = app.accounts, app.loop.now()
    sender = context.rig.on_loop(
        app.loop, check.sender, route, inbound, None, now
    )
    assert sender.account.name == 'ada', sender
    doc = front_rig.configuration(9, list(RULES))
    context.rig.put('op/config', doc)
    context.rig.wait(lambda: not check.in_use, 'the version')
    context.valid = check.is_valid(sender, inbound, None, now)


@behave.then('the request may be sent again')
def then_valid(context):
    assert context.valid


@behave.when('the store is down for {seconds:g} s')
def when_down(context, seconds):
    store = context.rig.store
    context.rig.call(store.set_faults, mode='refuse')
    time.sleep(seconds)


@behave.then('a request on the public route runs')
def then_public(context):
    assert _ask(context, [], '/open/a').status == 200, context.reply


@behave.when('the first loses its path to the upstreams')
def when_cut(context):
    context.paths.cut(['i0'], 'hang')


@behave.then('its requests with the key of "ada" run for "ada" elsewhere')
def then_elsewhere(context):
    relay = context.rig.apps['i0'].relay
    end = time.monotonic() + 5.0
    served = 0
    while served < 10:
        assert time.monotonic() < end, (served, context.reply)
        if _ask(context, _key('ada'), name='i0').status == 200:
            then_ran(context, 'ada')
            served += 1
        assert not context.rig.runs(context.request_id) > 1
    assert relay.gauge_values()['upstream_path_lost'] == 1


@behave.when('requests with known, unknown and malformed keys were answered')
def when_many(context):
    context.log = io.StringIO()
    logs.configure(stream=context.log)
    context.add_cleanup(logs.configure)
    values = [*KEYS.values(), UNKNOWN, 'short0 bad', 'other' * 400]
    context.answers = [
        _ask(context, [('X-Credential', value)]) for value in values * 2
    ]
    when_withdrawn(context, 'bo')
    context.answers.append(_ask(context, _key('bo')))


@behave.then('no log line, metric or answer holds a key')
def then_no_key(context):
    app = context.rig.apps['i1']
    metrics = context.rig.on_loop(app.loop, app.metrics.render).decode()
    told = context.log.getvalue() + metrics + str(context.answers)
    assert 'request ended' in told and 'accounts in force' in told
    for key in (*KEYS.values(), UNKNOWN, 'short0 bad', 'other' * 9):
        assert key not in told, key


@behave.then('homes "{first}" and "{second}" allow "{both}" of {regions}')
def then_homes(context, first, second, both, regions):
    homes = accounts.binding_homes(*(_regions(t) for t in (first, second)))
    allowed = [item for item in REGIONS if not homes or item in homes]
    assert (','.join(sorted(allowed)) or 'none') == both, homes


def _regions(text):
    return frozenset() if text == 'all' else frozenset(text.split(','))


@behave.then(
    'a copy of proven age {age} s under a bound of {bound} s proves "{proved}"'
)
def then_proves(context, age, bound, proved):
    bound = None if bound == 'no' else float(bound)
    found = accounts.may_use_keys(float(age), bound)
    assert found == (proved == 'valid')
