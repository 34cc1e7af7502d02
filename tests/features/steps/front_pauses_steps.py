"""Steps for upstreams that ask for a pause."""

import time

import behave

from jasminehold.platform import wire
from tests.builders import pausing_upstreams

AT_ONCE_S = 0.25
UPSTREAMS = ('u1', 'u2', 'u3', 'u4')
# A request on its way is allowed for this long after the response.
GRACE_S = 0.5


def _pause(context, names, pause, seconds):
    context.limited, context.pause = names, pause
    context.limited_at = time.monotonic()
    items = [context.rig.upstreams[name] for name in names]
    context.seen = pausing_upstreams.observe(items)
    for item in items:
        item.retry_after = b'%g' % pause
    time.sleep(seconds)
    for item in items:
        item.retry_after = None
    context.ended_at = time.monotonic()


@behave.when(
    'an upstream asks for a pause of {pause:g} s in all responses for'
    ' {seconds:g} s'
)
def when_one(context, pause, seconds):
    _pause(context, UPSTREAMS[:1], pause, seconds)


@behave.when(
    'all upstreams ask for a pause of {pause:g} s in all responses for'
    ' {seconds:g} s'
)
def when_all(context, pause, seconds):
    _pause(context, UPSTREAMS, pause, seconds)


@behave.then(
    'each instance sends it at most {most:d} requests in such a pause'
)
def then_few(context, most):
    begin, end = context.limited_at, context.ended_at
    total = 0
    for times in context.seen.values():
        asked = [at for at in times if begin <= at < end]
        total += len(asked)
        for at in asked:
            late = [
                other
                for other in times
                if at + GRACE_S < other < at + context.pause
            ]
            assert len(late) <= most, (len(late), len(asked))
    assert total, 'nothing arrived'


@behave.then(
    'requests in the pause are rejected at once with the time left of it'
)
def then_rejected(context):
    # All instances have heard all upstreams by then.
    begin = context.limited_at + 2.0
    context.returns = []
    for at, seconds, reply in context.callers.replies:
        if not begin <= at < context.ended_at - 0.2:
            continue
        assert reply.status == 503, reply
        assert seconds < AT_ONCE_S, seconds
        after = float(reply.headers['retry-after'])
        assert 0.2 < after <= 1.5 * context.pause, after
        returns_at = at + seconds + after
        assert returns_at >= context.limited_at + context.pause, after
        context.returns.append(returns_at)
    assert len(context.returns) > 20, len(context.returns)


@behave.then('the times at which they may return are spread')
def then_spread(context):
    returns = sorted(context.returns)
    tenth = len(returns) // 10
    assert returns[-1 - tenth] - returns[tenth] > 0.3, returns


@behave.when('upstream "u1" asks for a pause of {pause:g} s in a response')
def when_asked(context, pause):
    rig = context.rig
    item = rig.upstreams['u1']
    item.retry_after = b'%g' % pause
    for index in range(20):
        before = item.arrivals
        rig.ask('/browse/a', Cookie='X-Affinity-Key=%d' % index)
        if item.arrivals > before:
            item.retry_after = None
            return
    raise AssertionError('no request reached u1')


@behave.then('the retry time "{value}" is read as {seconds}')
def then_read(context, value, seconds):
    expected = None if seconds == 'nothing' else float(seconds)
    found = wire.decode_retry_after(value.encode())
    assert found == expected, found


@behave.given('an exchange that waits for a connection to a pausing upstream')
def given_exchange(context):
    context.waiting = pausing_upstreams.WaitingExchange()


@behave.when('the connection is ready after the pause has begun')
def when_ready(context):
    context.waiting.pause_first()
    context.waiting.open_first()


@behave.then('the request goes to another upstream and the connection is kept')
def then_elsewhere(context):
    waiting = context.waiting
    assert waiting.kept == [waiting.first], waiting.kept
    assert waiting.sent_to == [waiting.second], waiting.sent_to


@behave.given('an order under way at an upstream, whose caller has left')
def given_left(context):
    context.waiting = pausing_upstreams.WaitingExchange(idempotent=False)
    context.waiting.open_first()
    context.waiting.inbound.on_disconnect()


@behave.when('the upstream rejects it and asks for a pause of {pause:g} s')
def when_rejects(context, pause):
    context.waiting.reject(pause)


@behave.then('the upstream is left alone for {seconds:g} s')
def then_left_alone(context, seconds):
    assert context.waiting.pause_left_s() == seconds
