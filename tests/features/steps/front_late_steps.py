"""Steps for requests that come late in the stop of an instance."""

import re
import time

import behave

from jasminehold.decisions import answer_times
from jasminehold.decisions import planned_stop
from tests.builders import cut_upstreams
from tests.builders import front_rig
from tests.builders import late_callers

EVERY_S = 0.08
# Enough answers are known by then.
BEFORE_S = 3.5
RETRY_AFTER_MAX_S = 0.1
TOLD_WITHIN_S = 0.3
# Time for which orders come at the instance without a path.
HELPED_S = 0.6


@behave.given('each request takes {work:g} s, all slots free')
def given_work(context, work):
    late_callers.configure(context.rig, work)
    context.work_s = work


@behave.given('the instance has a grace period of {grace:g} s')
def given_grace(context, grace):
    app = context.rig.apps['i1']
    app.cfg = app.cfg._replace(stop_grace=grace)
    context.grace_s = grace


@behave.when(
    'orders of kind "{kind}" come every 0.08 s around a stop, on new'
    ' connections'
)
def when_new(context, kind):
    _play(context, kind)


@behave.when(
    'orders of kind "{kind}" come every 0.08 s around a stop, with bodies'
    ' that take {seconds:g} s'
)
def when_bodies(context, kind, seconds):
    _play(context, kind, seconds)


@behave.when(
    'orders of kind "{kind}" come every 0.08 s around a stop, with more'
    ' signals'
)
def when_signals(context, kind):
    loop = context.rig.apps['i1'].loop
    app = context.rig.apps['i1']
    for delay_s, func in ((0.3, app.leave), (0.6, app.reload)):
        loop.call_later(BEFORE_S + delay_s, func)
    _play(context, kind)


def _play(context, kind, body_s=0.0):
    rig = context.rig
    callers = late_callers.play(rig, 'i1', kind, EVERY_S, BEFORE_S, body_s)
    context.told_at = time.monotonic()
    rig.signal_stop('i1')
    callers += late_callers.play(
        rig, 'i1', kind, EVERY_S, context.grace_s, body_s
    )
    context.late = late_callers.results(callers)


def _reached(context):
    return {
        request_id
        for item in context.rig.upstreams.values()
        for request_id in item.headers_by_id
    }


@behave.then('none that reached an upstream ends without its answer')
def then_whole(context):
    reached = _reached(context)
    found = [item for item in context.late if item.id in reached]
    lost = [item for item in found if item.status != 200 or not item.complete]
    assert not lost, (len(lost), len(found), lost[:3])
    assert any(item.whole_at > context.told_at for item in found)


@behave.then('the others are told at once that they have not run')
def then_told(context):
    reached = _reached(context)
    others = [
        item for item in context.late if item.id not in reached and item.status
    ]
    assert others, 'none was refused'
    for item in others:
        assert item.status == 503 and item.complete, item
        assert item.retry_after_s <= RETRY_AFTER_MAX_S, item
        assert item.ended_at - item.whole_at < TOLD_WITHIN_S, item


@behave.then('those that come {seconds:g} s before it is too late are served')
def then_served(context, seconds):
    last = context.told_at + context.grace_s - context.work_s - seconds
    early = [item for item in context.late if (item.whole_at or last) < last]
    assert any(item.whole_at > context.told_at for item in early)
    assert all(item.status == 200 for item in early), early


@behave.when('an order is rejected by its upstream {seconds:g} s after a stop')
def when_rejected(context, seconds):
    rig = context.rig
    assert seconds == context.work_s
    rig.signal_stop('i1')
    begin = time.monotonic()
    context.reply = rig.ask(
        '/order/a',
        'POST',
        X_Fault='late-shed',
        X_Request_Id='rejected',
        X_Timeout_Ms=str(late_callers.TIMEOUT_MS),
    )
    context.seconds = time.monotonic() - begin


@behave.then(
    'it is told at once that it has not run, and no upstream has run it'
)
def then_not_run(context):
    assert context.reply.status == 503, context.reply
    assert context.seconds < context.work_s + TOLD_WITHIN_S, context.seconds
    assert context.rig.runs('rejected') == 0


@behave.given(
    'an instance without a path to the upstreams and two that send for it'
)
def given_helped(context):
    context.rig = rig = front_rig.FrontRig()
    context.add_cleanup(rig.stop)
    # The second one is nearer to the first than the third.
    rig.start_fleet(('sul-a', 'sul-a', 'norte-a'))
    late_callers.configure(rig, 1.0)
    paths = cut_upstreams.Paths(rig)
    context.add_cleanup(paths.heal)
    paths.cut(['i0'], 'refuse')

    def is_lost():
        # An instance suspects its path when requests fail.
        rig.ask('/browse/a', name='i0')
        return rig.apps['i0'].path.lost

    rig.wait(is_lost, 'the loss of the path')


@behave.when('one of these is told to stop, before the others know')
def when_helper_stops(context):
    rig = context.rig
    app = rig.apps['i1']

    def tell():
        stop = planned_stop.PlannedStop(app.loop.now(), 1.0)
        app.exchanges.planned_stop = stop

    rig.on_loop(app.loop, tell)
    callers = late_callers.play(rig, 'i0', 'unsafe', EVERY_S, HELPED_S)
    context.late = late_callers.results(callers)


@behave.then(
    'late orders of the first one are refused there and served by the other'
)
def then_elsewhere(context):
    rig = context.rig
    assert all(item.status == 200 for item in context.late), context.late
    text = rig.apps['i0'].metrics.render().decode()
    lines = re.findall(r'relayed_total\{[^}]*"leaving"[^}]*\} (\d+)', text)
    assert lines and int(lines[0]) >= len(context.late) // 2, lines


@behave.then('none of them ran twice')
def then_once(context):
    assert context.late
    runs = {context.rig.runs(item.id) for item in context.late}
    assert runs == {1}, runs


@behave.when('requests took {times} s and one is under way for {age:g} s')
def when_took(context, times, age):
    context.times, context.now = answer_times.AnswerTimes(), 100.0
    parts = [] if times == 'none' else times.split(',')
    for part in parts:
        seconds, _, count = part.partition('*')
        for _ in range(int(count or 1)):
            timing = context.times.begin('order', context.now)
            context.times.end(timing, context.now + float(seconds))
        if count.strip() == '9':
            # A row of nine ends a window.
            context.now += answer_times.WINDOW_S
    if age:
        context.times.begin('order', context.now - age)


@behave.then('the next one is expected to take {least:g} to {most:g} s')
def then_expected(context, least, most):
    found = context.times.expected_s('order', 0.5, context.now)
    assert least - 1e-6 <= found <= most + 1e-6, found
