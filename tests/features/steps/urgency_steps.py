"""Steps for room by urgency and for time-outs that become shorter."""

import threading
import time

import behave

from tests.builders import front_rig


def _rules(timeout_s):
    changes = {'TimeoutMs': int(timeout_s * 1000)}
    return [
        front_rig.route('browse', '/browse/', 'loja', **changes),
        front_rig.route('order', '/order/', 'loja', 'unsafe', **changes),
    ]


@behave.given(
    'an upstream that takes {work:g} s and a time-out of {timeout:g} s'
)
def given_slow(context, work, timeout):
    context.rig = front_rig.FrontRig(('u1',), work_s=work, configured=False)
    context.add_cleanup(context.rig.stop)
    doc = front_rig.configuration(1, _rules(timeout))
    context.rig.put('op/config', doc)
    context.rig.start()
    context.rig.wait_ready()


@behave.when(
    'a version with a time-out of {timeout:g} s comes {after:g} s after {kind}'
)
def when_shortened(context, timeout, after, kind):
    doc = front_rig.configuration(2, _rules(timeout))
    timer = threading.Timer(after, context.rig.put, ('op/config', doc))
    timer.start()
    begin = time.monotonic()
    path = '/order/a' if 'unsafe' in kind else '/browse/a'
    method = 'POST' if 'unsafe' in kind else 'GET'
    context.reply = context.rig.ask(path, method, X_Timeout_Ms='8000')
    context.seconds = time.monotonic() - begin
    timer.join()


@behave.then('it gets 504 within {bound:g} s of {end:g} s and is sent once')
def then_ended(context, bound, end):
    assert context.reply.status == 504, context.reply
    assert end - 0.05 <= context.seconds <= end + bound, context.seconds
    assert context.rig.upstreams['u1'].arrivals == 1
