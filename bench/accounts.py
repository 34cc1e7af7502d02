"""Measures the key check against the rest of the steering of a request.

The rest is what an instance does at least for each request before it sends
anything: parsing the head, matching the route and choosing an upstream.

Usage: ``python bench/accounts.py [seed]``
"""

import random
import sys
import time
import tracemalloc

import h11

from jasminehold.decisions import accounts
from jasminehold.decisions import route_table
from jasminehold.front import account_check
from jasminehold.front import steering as steering_module
from jasminehold import metrics
from tests.builders import front_values

REQUESTS = 4000
UPSTREAMS = 80
SIZES = ((100, 1), (1000, 100))


class _Inbound:
    def __init__(self, headers):
        self.headers = headers


def _steering(rng):
    steering = steering_module.Steering(
        front_values.cfg(), rng, lambda *args, **kwargs: None
    )
    entries = [
        front_values.entry('u%d' % n, slots=9) for n in range(UPSTREAMS)
    ]
    steering.on_entries(entries, 0.0)
    route = front_values.route()
    table = route_table.RouteTable(1, [route], [], route_table.CallerLimits())
    steering.on_config(table)
    return steering, route


def _request(key, number):
    return (
        b'GET /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %d\r\n'
        b'Cookie: X-Affinity-Key=%d\r\nX-Timeout-Ms: 2000\r\n'
        b'X-Credential: %s\r\n\r\n' % (number, number % 500, key)
    )


def measure(count, keys_each, seed):
    """Return ``(seconds a check, seconds of the rest, bytes of the table)``.

    Args:
        count: number of accounts.
        keys_each: keys of each account.
        seed: seed of the draws.
    """
    rng = random.Random(seed)
    keys = [
        b'key%016x' % rng.getrandbits(64) for _ in range(count * keys_each)
    ]
    rows = [
        (accounts.Account('a%d' % n), keys[n * keys_each :][:keys_each])
        for n in range(count)
    ]
    tracemalloc.start()
    table = accounts.AccountTable(rows)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    cfg = front_values.cfg(strict_revoke=True, revoke_within_ms=5000)
    check = account_check.AccountCheck(
        lambda: cfg,
        lambda now: 0.5,
        lambda now: True,
        lambda now: True,
        metrics.Metrics(),
        lambda *args, **kwargs: None,
    )
    check.on_config(table)
    steering, route = _steering(rng)
    checked = rest = 0.0
    for number in range(REQUESTS):
        data = _request(rng.choice(keys), number)
        begin = time.process_time()
        http = h11.Connection(h11.SERVER)
        http.receive_data(data)
        event = http.next_event()
        http.next_event()
        found = steering.route('shop.example', '/a/x', 1.0)
        choice = steering.pick(
            found, 'loja', 'k%d' % (number % 500), str(number), (), None, 2, 1
        )
        middle = time.process_time()
        inbound = _Inbound(list(event.headers))
        sender = check.sender(route, inbound, None, 1.0)
        checked += time.process_time() - middle
        rest += middle - begin
        assert choice.upstream and sender.account
    return checked / REQUESTS, rest / REQUESTS, size


def main(argv):
    """Print one line for each size."""
    seed = int(argv[0]) if argv else 1
    print('command: python bench/accounts.py %d' % seed)
    for count, keys_each in SIZES:
        checked, rest, size = measure(count, keys_each, seed)
        print(
            '%5d accounts, %6d keys: check %5.1f us, rest %6.1f us,'
            ' ratio %.3f; table %.1f MB'
            % (
                count,
                count * keys_each,
                checked * 1e6,
                rest * 1e6,
                checked / rest,
                size / 1e6,
            )
        )


if __name__ == '__main__':
    main(sys.argv[1:])
