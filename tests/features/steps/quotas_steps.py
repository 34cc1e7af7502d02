"""Steps for quotas of client accounts."""

import io
import json
import random
import time
import types

import behave
import hypothesis
from hypothesis import strategies

from jasminehold.decisions import accounts
from jasminehold.decisions import quotas
from jasminehold import errors
from jasminehold.front import quotas as front_quotas
from jasminehold import logs
from tests.builders import cut_upstreams
from tests.builders import front_rig
from tests.builders import quota_fleet

SETTINGS = {'database': None, 'derandomize': True, 'deadline': None}
KEYS = {'ada': 'ada0secret0key', 'bo': 'bo0secret0key'}
QUOTA = quotas.Quota(2.0, 4.0)


# The rule. A step without seeds extends the run, which the first check plays.


@behave.given('{count:d} instances and {what} with {rate:d} requests a second')
def given_fleet(context, count, what, rate):
    number = 1 if what == 'an account' else int(what.split()[0])
    quota = quotas.Quota(float(rate), rate / 2)
    limits = {'a%d' % item: quota for item in range(number)}
    context.part, context.plan = 1.0, []
    context.make = lambda seed: quota_fleet.Fleet(count, limits, seed)


@behave.given('each knows {part:g} of the others when it starts')
def given_part(context, part):
    context.part = part


def _load(context, factor, seconds, regions=quota_fleet.REGIONS):
    def play(fleet):
        for account, quota in fleet.limits.items():
            fleet.set_load(account, factor * quota.rate, regions)
        fleet.run(fleet.now + seconds)

    context.plan.append(play)


@behave.when(
    'its callers use {factor:g} of its quota for {seconds:d} s, '
    '{seeds:d} seeds'
)
def when_seeds(context, factor, seconds, seeds):
    context.seeds = seeds
    _load(context, factor, seconds)


@behave.when(
    'its callers use {factor:g} of its quota in {region:w} for {seconds:d} s, '
    '{seeds:d} seeds'
)
def when_region_seeds(context, factor, region, seconds, seeds):
    context.seeds = seeds
    _load(context, factor, seconds, (region,))


@behave.when('its callers use {factor:g} of its quota for {seconds:d} s')
def when_load(context, factor, seconds):
    _load(context, factor, seconds)


@behave.when(
    'its callers use {factor:g} of its quota in {region:w} for {seconds:d} s'
)
def when_region(context, factor, region, seconds):
    _load(context, factor, seconds, (region,))


@behave.when('its callers send on for {seconds:d} s')
def when_on(context, seconds):
    context.plan.append(lambda fleet: fleet.run(fleet.now + seconds))


@behave.when('the granting instance is {fault}')
def when_fault(context, fault):
    def play(fleet):
        name = fleet.root('a0')
        if fault == 'cut off':
            fleet.cut = {name}
        elif fault == 'frozen for 8 s':
            fleet.freeze(name, 8.0)
        else:
            fleet.kill(name)
        if fault == 'restarted':
            fleet.at(0.5, fleet.start, name)

    context.plan.append(play)


@behave.when('a region is cut off')
def when_cut(context):
    def play(fleet):
        root = fleet.regions[fleet.root('a0')]
        region = next(name for name in quota_fleet.REGIONS if name != root)
        fleet.cut = {n for n in fleet.names if fleet.regions[n] == region}

    context.plan.append(play)


@behave.when('the region is back')
def when_healed(context):
    context.plan.append(lambda fleet: setattr(fleet, 'cut', frozenset()))


@behave.when('all upstreams reject for {seconds:d} s')
def when_paused(context, seconds):
    def play(fleet):
        fleet.paused_until = fleet.now + seconds

    context.plan.append(play)


@behave.when('upstreams reject {part:g} of all sends')
def when_rejected(context, part):
    context.plan.append(lambda fleet: setattr(fleet, 'rejected', part))


@behave.when('its quota is {factor:g} of that')
def when_changed(context, factor):
    def play(fleet):
        quota = quotas.Quota(300.0 * factor, 150.0 * factor)
        fleet.set_limits({'a0': quota})
        fleet.changed_at = fleet.now

    context.plan.append(play)


def _fleets(context):
    # Plays the steps since the last check, for each seed.
    if not hasattr(context, 'fleets'):
        context.fleets = []

        @hypothesis.settings(max_examples=context.seeds, **SETTINGS)
        @hypothesis.given(strategies.integers(0, 2**32))
        def begin(seed):
            fleet = context.make(seed)
            fleet.start_all(context.part)
            context.fleets.append(fleet)

        begin()
    plan, context.plan = context.plan, []
    for fleet in context.fleets:
        for play in plan:
            play(fleet)
    return context.fleets


@behave.then('{part:g} is served after {start:d} s')
def then_served(context, part, start):
    for fleet in _fleets(context):
        context.served = fleet.served(start, fleet.now - quotas.ASK_S)
        print('served', context.served)
        assert context.served >= part, context.served


@behave.then('more than with equal shares')
def then_more(context):
    fleet = context.fleets[-1]
    naive = quota_fleet.equal_shares(fleet, 'a0', fleet.now, 3.0)
    print('equal shares', naive, 'waits', fleet.waits(3.0))
    assert context.served > naive, (context.served, naive)


@behave.then('{part:g} of the quota is used after {start:d} s')
def then_used(context, part, start):
    for fleet in _fleets(context):
        sent = [at for at in fleet.sent_times('a0') if at >= start]
        usable = (fleet.now - start) * fleet.limits['a0'].rate
        print('used', len(sent) / usable)
        assert len(sent) >= part * usable, (len(sent), usable)


@behave.then('no window holds more than the quota allows')
def then_bound(context):
    for fleet in _fleets(context):
        _check_bound(fleet, 0.0)


@behave.then('no window from one after the change holds more than it allows')
def then_lowered(context):
    for fleet in _fleets(context):
        # Each instance learns of it within 0.5 s.
        _check_bound(fleet, fleet.changed_at + 0.5)


def _check_bound(fleet, start):
    for account, quota in fleet.limits.items():
        most = fleet.most_in_window(account, start)
        allowed = quota_fleet.BOUNDS.most(quota)
        print('window', account, most, 'of', allowed)
        assert most <= allowed, (account, most, allowed)


# The adapter.


@behave.given(
    'four linked instances where "ada" has a quota and "bo" has none'
)
def given_rig(context):
    context.log = io.StringIO()
    logs.configure(stream=context.log)
    context.add_cleanup(logs.configure)
    context.rig = front_rig.FrontRig(('u1', 'u2'), configured=False)
    context.add_cleanup(context.rig.stop)
    limits = {'ada': {'RatePerS': QUOTA.rate, 'Burst': QUOTA.burst}}
    rows = [(name, [key], limits.get(name, {})) for name, key in KEYS.items()]
    context.rig.put('op/config', front_rig.accounts(1, rows))
    context.paths = cut_upstreams.start_fleet(context.rig)
    context.add_cleanup(context.paths.heal)
    # An empty fleet earns its tokens.
    time.sleep(4.0)


def _ask(context, account, name):
    headers = front_rig.request_headers({'X-Credential': KEYS[account]})
    client = context.rig.client(name)
    try:
        reply = client.request('GET', '/browse/a', headers, b'')
    finally:
        client.close()
    return headers['X-Request-Id'], reply


@behave.when('both send 40 requests at each instance within a second')
def when_both(context):
    context.replies = {'ada': [], 'bo': []}
    for _ in range(40):
        for name in list(context.rig.apps):
            for account, found in context.replies.items():
                found.append(_ask(context, account, name))


@behave.then('"ada" is answered 429 with a time to return, beyond its quota')
def then_429(context):
    replies = context.replies['ada']
    ran = sum(context.rig.runs(request_id) for request_id, _ in replies)
    bounds = quotas.Bounds(5.0, 0.1, 20.0)
    assert QUOTA.burst <= ran <= bounds.most(QUOTA), ran
    for request_id, reply in replies:
        if reply.status == 200:
            continue
        assert reply.status == 429, reply
        assert float(reply.headers['retry-after']) > 0, reply
        assert not context.rig.runs(request_id)


@behave.then('every request of "bo" runs')
def then_bo(context):
    for _, reply in context.replies['bo']:
        assert reply.status == 200, reply


@behave.then('the log says of a 429 that it was the quota')
def then_log(context):
    lines = [json.loads(line) for line in context.log.getvalue().splitlines()]
    ended = [item for item in lines if item.get('outcome') == 'over_quota']
    assert ended and all(item['reason'] == 'quota' for item in ended), ended
    assert ended[0]['quota']['rate'] == QUOTA.rate, ended[0]


@behave.when(
    'the first has no path and sends 4 requests of "ada" through others'
)
def when_relayed(context):
    context.paths.cut(['i0'], 'hang')
    context.ran, end = 0, time.monotonic() + 6.0
    while context.ran < 4:
        assert time.monotonic() < end, context.ran
        request_id, _ = _ask(context, 'ada', 'i0')
        context.ran += context.rig.runs(request_id)


@behave.then('the first has used no token and the others as many as ran')
def then_tokens(context):
    used = {name: _used(app.metrics) for name, app in context.rig.apps.items()}
    assert used.pop('i0') == 0, used
    assert sum(used.values()) == context.ran, (used, context.ran)


def _used(metrics):
    counts = [
        metrics.value('quota_requests_total', account='ada', outcome=outcome)
        or 0
        for outcome in ('used', 'returned')
    ]
    return counts[0] - counts[1]


# A request's token.


@behave.given('a request with a token that holds for {seconds:g} s')
def given_token(context, seconds):
    context.back = []
    stub = types.SimpleNamespace(
        limits=lambda account: True,
        hold_s=lambda account: seconds,
        now=lambda: 1.0,
        take=lambda account, now, done: done(None, 1.0 + seconds),
        give_back=lambda account, until: context.back.append(
            max(until - context.token_now, 0.0)
        ),
    )
    context.token = front_quotas.Token(stub, accounts.Account('ada'))
    context.token.take(1.0, lambda wait_s: None)


@behave.when('it was {what} after {seconds:g} s')
def when_token(context, what, seconds):
    context.token_now = 1.0 + seconds
    if what != 'unused':
        context.token.use()
    if what == 'rejected':
        context.token.keep()


@behave.then(
    'another token is needed "{needed}" and {left:g} s are given back'
)
def then_token(context, needed, left):
    found = context.token.is_needed(context.token_now)
    assert found == (needed == 'yes')
    context.token.give_back()
    assert abs(sum(context.back) - left) < 1e-6, context.back


@behave.given('an instance that another one gives its part')
def given_share(context):
    context.share = quotas.QuotaShare(
        'i1', 'sul', quotas.Bounds(5, 0.1, 20), random.Random(1), print, 0.0
    )
    context.share.on_quotas({'ada': quotas.Quota(30.0, 30.0)}, 0.0)
    context.share.on_members({'i1': 'sul', 'i2': 'sul'}, 0.0)


@behave.when('it gets a message with {field} of {value}')
def when_malformed(context, field, value):
    own = context.share._boot
    message = {
        'type': 'quota_gift',
        'shard': quotas.shard('ada'),
        'gift': 0.1,
        'at': 1.0,
        'boot': 7,
        'echo': [own, 1.0],
    }
    number = value if value == 'word' else float(value)
    message[field] = {'ada': number} if field == 'back' else number
    context.refused = False
    try:
        context.share.on_message('i2', message, 1.0)
    except errors.MALFORMED_MESSAGE_ERRORS:
        context.refused = True


@behave.then('the message is refused and the instance goes on')
def then_goes_on(context):
    assert context.refused
    for tick in range(20):
        context.share.on_tick(1.0 + tick / 10)
    got = []
    context.share.take('ada', 3.0, lambda *found: got.append(found))
    assert [wait_s for wait_s, _ in got] == [None], got
