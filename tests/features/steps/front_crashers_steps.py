"""Steps for crashing requests through front instances."""

import time

import behave

from tests.builders import crashing_requests
from tests.builders import front_rig

# A rejection that needs no upstream arrives within this many seconds.
AT_ONCE_S = 0.25


@behave.given('four instances in front of six upstreams')
def given_fleet(context):
    context.rig = front_rig.FrontRig(crashing_requests.UPSTREAMS, 0.05)
    context.add_cleanup(context.rig.stop)
    context.names = crashing_requests.start_fleet(context.rig)


@behave.when(
    'a {method} that crashes upstreams is sent again for {seconds:g} s'
    ' among others'
)
def when_sent_among_others(context, method, seconds):
    context.method = method
    others = crashing_requests.OrdinaryCallers(context.rig, context.names)
    with others:
        context.copies = crashing_requests.send_copies(
            context.rig, context.names, method, seconds
        )
    context.ordinary = others.replies


@behave.then(
    'it crashes at most {most:d} upstreams once instances had time to stop it'
)
def then_stopped(context, most):
    times = crashing_requests.crash_times(context.rig)
    late = crashing_requests.late_crashes(context.rig)
    assert late <= most, '%d of %d crashes were late' % (late, len(times))


@behave.then('the last copies are rejected at once as not run')
def then_rejected(context):
    for _, reply in context.copies[-len(context.names) :]:
        assert reply.status == 503, reply
        assert float(reply.headers['retry-after']) > 0
    begin = time.monotonic()
    crashing_requests.send_copies(
        context.rig, context.names, context.method, 0.01
    )
    seconds = time.monotonic() - begin - crashing_requests.PAUSE_S
    assert seconds < AT_ONCE_S, seconds


@behave.then('ordinary requests are answered once it is stopped')
def then_ordinary(context):
    stopped_at = crashing_requests.crash_times(context.rig)[-1]
    later = [
        reply
        for at, reply in context.ordinary
        if at > stopped_at + crashing_requests.STABILITY_S
    ]
    assert len(later) > 20, len(later)
    failed = [reply for reply in later if reply.status != 200]
    assert not failed, failed
