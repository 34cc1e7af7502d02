"""Steps for upstreams that send a rejection again."""

import threading
import time

import behave

from jasminehold.front import relay
from tests.builders import cut_upstreams

# Between two orders; the first one has been rejected by then, and its
# rejection has not come again.
RIGHT_AFTER_S = 0.005
# After the last answer; what may still run has begun by then.
SETTLE_S = 0.3


@behave.given('each request takes {seconds:g} s')
@behave.when('each request takes {seconds:g} s')
def given_work(context, seconds):
    for item in context.rig.upstreams.values():
        item.work_s = seconds


def _order_at(context, instance, orders):
    # ``orders``: pairs of the object's key and other headers.
    tries, threads = [], []

    def order(number, key, headers):
        tries.append(
            cut_upstreams.ask(
                context.rig,
                instance,
                'late-%d-%d' % (number, time.monotonic_ns()),
                '/order/a',
                Cookie='X-Affinity-Key=%d' % key,
                **headers,
            )
        )

    for number, (key, headers) in enumerate(orders):
        thread = threading.Thread(target=order, args=(number, key, headers))
        threads.append(thread)
        thread.start()
        time.sleep(RIGHT_AFTER_S)
    for thread in threads:
        thread.join()
    time.sleep(SETTLE_S)
    assert len(tries) == len(orders)
    return tries


def _owner(context, key):
    placement = context.rig.apps['i1'].steering.placement
    return placement.ranked('loja', 'order/%d' % key, {'u1', 'u2'})[0]


@behave.when(
    'a caller orders with fault "{fault}", and another one right after'
)
def when_two(context, fault):
    # Opens the connection that the second one shares with the first.
    _order_at(context, 'i1', [(7, {})])
    headers = {'X_Fault': fault, 'X_Fault_At': _owner(context, 7)}
    context.tries = _order_at(context, 'i1', [(7, headers), (7, {})])


@behave.when('{count:d} callers order with fault "{fault}" at all upstreams')
def when_all_reject(context, count, fault):
    orders = [(number, {'X_Fault': fault}) for number in range(count)]
    context.tries = _order_at(context, 'i1', orders)


@behave.when(
    '{count:d} callers order there with fault "{fault}" at one upstream'
)
def when_there(context, count, fault):
    context.callers.__exit__()
    headers = {'X_Fault': fault, 'X_Fault_At': 'u1'}
    orders = [(number, headers) for number in range(count)]
    context.tries = _order_at(context, context.cut_names[0], orders)


@behave.when('helping instances do not tell where they sent an order')
def when_older(context):
    former = relay.error_headers
    relay.error_headers = lambda request_id, addresses: []
    context.add_cleanup(setattr, relay, 'error_headers', former)


@behave.when(
    '{count:d} callers order there with fault "{fault}" at all of its'
    ' upstreams'
)
def when_all_there(context, count, fault):
    context.callers.__exit__()
    orders = [(number, {'X_Fault': fault}) for number in range(count)]
    name = context.cut_names[0]
    relayed = context.rig.apps[name].metrics
    before = relayed.total('requests_relayed_total')
    context.tries = _order_at(context, name, orders)
    context.relays = relayed.total('requests_relayed_total') - before


@behave.then(
    'none of them is told that it has not run, and none is sent again'
)
def then_unknown(context):
    statuses = [item.reply.status for item in context.tries]
    assert statuses == [502] * len(statuses), statuses
    assert context.relays == len(statuses), context.relays


@behave.then('all were answered with 200 and ran once')
def then_all(context):
    assert all(item.served for item in context.tries), context.tries
    _expect_promises(context)


@behave.then('no order that was refused has run, and none ran twice')
def then_promises(context):
    _expect_promises(context)


def _expect_promises(context):
    broken = cut_upstreams.broken_promises(context.rig, context.tries)
    assert not broken, broken
