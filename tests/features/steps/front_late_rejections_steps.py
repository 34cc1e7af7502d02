"""Steps for upstreams that send a rejection again."""

import threading
import time

import behave

from tests.builders import cut_upstreams

# Between two orders; the first one has been rejected by then, and its
# rejection has not come again.
RIGHT_AFTER_S = 0.02


@behave.given('each request takes {seconds:g} s')
@behave.when('each request takes {seconds:g} s')
def given_work(context, seconds):
    for item in context.rig.upstreams.values():
        item.work_s = seconds


def _order(context, number, fault, cookie):
    found = cut_upstreams.ask(
        context.rig,
        'i1',
        'late-%d' % number,
        '/order/a',
        Cookie='X-Affinity-Key=%s' % cookie,
        X_Fault=fault,
    )
    context.tries.append(found)


def _start_orders(context, orders, pause_s):
    context.tries = []
    threads = []
    for number, (fault, cookie) in enumerate(orders):
        args = (context, number, fault, cookie)
        threads.append(threading.Thread(target=_order, args=args))
        threads[-1].start()
        time.sleep(pause_s)
    for thread in threads:
        thread.join()
    assert len(context.tries) == len(orders)


@behave.when(
    'a caller orders with fault "{fault}", and another one right after'
)
def when_two(context, fault):
    # A connection for the second one to share is open before.
    _start_orders(context, [('', 7)], 0.0)
    _start_orders(context, [(fault, 7), ('', 7)], RIGHT_AFTER_S)


@behave.then('both were answered with 200 and ran once')
def then_both(context):
    assert [item.reply.status for item in context.tries] == [
        200,
        200,
    ], context.tries
    _expect_promises(context)


@behave.when('{count:d} callers order with fault "{fault}" at all upstreams')
def when_all_reject(context, count, fault):
    orders = [(fault, number) for number in range(count)]
    _start_orders(context, orders, RIGHT_AFTER_S)


@behave.then('no order that was refused has run, and none ran twice')
def then_promises(context):
    _expect_promises(context)


def _expect_promises(context):
    # What may still run has ended by then.
    time.sleep(0.7)
    broken = cut_upstreams.broken_promises(context.rig, context.tries)
    assert not broken, broken
