"""Steps for a region's planner."""

import types

import behave

from jasminehold.control import planner
from jasminehold import metrics

CHANGE_S = 11.2


class _Clock:
    time = 100.0

    def now(self):
        return self.time

    def call_later(self, delay, func):
        """Drop the planner's own timer; the step makes the ticks."""


@behave.when(
    'a planner with 10 differing rates of use ticks for 30 seconds and a '
    'place comes into force after 11.2 seconds'
)
def when_ticks(context):
    clock = _Clock()
    begin = clock.time
    context.told = []

    def notify(key, value, ttl):
        context.told.append((clock.time - begin, value, ttl))

    port = types.SimpleNamespace(notify=notify)
    made = planner.Planner(clock, port, metrics.Metrics())

    def document(steps):
        done = clock.time - begin >= CHANGE_S
        rates = {'rate:%d' % n: [clock.time + n, 10] for n in range(10)}
        return {'places': {'sul-a': [1, int(done)]}, 'rates': rates}

    region = types.SimpleNamespace(name='sul', steps=None)
    region.progress = types.SimpleNamespace(document=document)
    region.sent_progress, region.progress_sent_at = None, 0.0
    while clock.time - begin <= 30.0:
        made._send_progress(region)
        clock.time += planner.TICK_S


@behave.then(
    'it tells progress 6 times, at the tick of the change, and no '
    'notice expires before the next'
)
def then_told(context):
    times = [at for at, _, _ in context.told]
    assert len(times) == 6, times
    changed = [at for at, v, _ in context.told if v['places']['sul-a'][1]]
    assert CHANGE_S <= changed[0] < CHANGE_S + planner.TICK_S, changed
    for (at, _, ttl), following in zip(context.told, times[1:]):
        # One lost notice must not let the progress expire.
        assert ttl > 2 * (following - at), (at, following, ttl)
