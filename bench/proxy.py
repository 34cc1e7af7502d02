"""Cost of a look-up and latency through the proxy against direct calls.

Upstream, proxy and caller are separate processes. Direct and proxied requests
alternate within one run, so both meet the same state of the machine.

Usage: ``python bench/proxy.py [requests] [service_ms] [seed]``
"""

import json
import multiprocessing
import random
import resource
import sys
import time

import circuits
from hdrh import histogram

from jasminehold import loop as loop_module
from jasminehold import metrics
from jasminehold.proxy import hooks
from jasminehold.proxy import server
from jasminehold.standin import caller
from jasminehold.standin import upstream

WARM_UP = 200
ANSWER = {
    'service': 'loja',
    'block': '10.0.0.0/24',
    'system': 'jasminehold',
    'instances': [
        {'id': 'i1', 'host': '10.0.0.1', 'port': 80, 'place': 'sul-a'},
        {'id': 'i2', 'host': '10.0.0.2', 'port': 80, 'place': 'sul-b'},
    ],
    'ttl': 2,
}


def _cpu_s():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _run_upstream(pipe, seed):
    root = circuits.Component()
    loop = loop_module.Loop().register(root)
    options = upstream.Options(slots=8, seed=seed)
    item = upstream.Upstream(loop, 'a', '127.0.0.1', 0, options)
    pipe.send(item.port)
    root.run()


def _run_proxy(pipe, upstream_port):
    root = circuits.Component()
    loop = loop_module.Loop().register(root)
    proxy = server.ProxyServer(
        loop,
        hooks.round_robin([('a', '127.0.0.1', upstream_port)]),
        metrics.Metrics(),
        answer=lambda service, block: ANSWER,
    )
    pipe.send(proxy.listen('127.0.0.1', 0).port)

    def report():
        # The caller asks for the processor time between its requests.
        while pipe.poll():
            pipe.recv()
            pipe.send(_cpu_s())
        loop.call_later(0.005, report)

    report()
    root.run()


def _start(func, *args):
    here, there = multiprocessing.Pipe()
    process = multiprocessing.Process(
        target=func, args=(there,) + args, daemon=True
    )
    process.start()
    return process, here, here.recv()


def _ask_cpu(pipe):
    pipe.send(None)
    return pipe.recv()


def lookups(port, pipe, count):
    """Return the proxy's processor milliseconds for each look-up."""
    client = caller.Client(port)
    path = '/v1/lookup?service=loja&block=10.0.0.0/24'
    for _ in range(WARM_UP):
        client.request('GET', path)
    begin = _ask_cpu(pipe)
    for _ in range(count):
        client.request('GET', path)
    return (_ask_cpu(pipe) - begin) / count * 1000


def latencies(ports, count, service_ms, seed):
    """Return one histogram in microseconds for each port.

    Args:
        ports: ports to use in random turn.
        count: requests for each port.
        service_ms: service time of the upstream.
        seed: seed of the order.
    """
    rng = random.Random(seed)
    clients = [caller.Client(port) for port in ports]
    found = [histogram.HdrHistogram(1, 60_000_000, 3) for _ in ports]
    headers = {'X-Service-Ms': service_ms, 'X-Size': 1000}
    for number in range(WARM_UP + count):
        turn = list(range(len(ports)))
        rng.shuffle(turn)
        for index in turn:
            begin = time.monotonic()
            reply = clients[index].request('GET', '/bench', headers)
            if reply.status != 200:
                raise SystemExit('failed: %r' % (reply,))
            if number >= WARM_UP:
                spent = time.monotonic() - begin
                found[index].record_value(int(spent * 1e6))
    return found


def main(argv):
    """Run and print one JSON line."""
    count = int(argv[0]) if argv else 3000
    service_ms = int(argv[1]) if len(argv) > 1 else 2
    seed = int(argv[2]) if len(argv) > 2 else 1
    served, _, upstream_port = _start(_run_upstream, seed)
    proxied, pipe, proxy_port = _start(_run_proxy, upstream_port)
    lookup_ms = lookups(proxy_port, pipe, count)
    before = _ask_cpu(pipe)
    direct, through = latencies(
        [upstream_port, proxy_port], count, service_ms, seed
    )
    exchange_ms = (_ask_cpu(pipe) - before) / (count + WARM_UP) * 1000
    for process in (served, proxied):
        process.terminate()
        process.join()
    result = {
        'command': 'python bench/proxy.py %d %d %d'
        % (count, service_ms, seed),
        'seed': seed,
        'lookup_cpu_ms': round(lookup_ms, 4),
        'exchange_cpu_ms': round(exchange_ms, 4),
    }
    for name, item in (('direct', direct), ('proxied', through)):
        for percent in (50, 99):
            value = item.get_value_at_percentile(percent)
            result['%s_p%d_ms' % (name, percent)] = value / 1000
    print(json.dumps(result))


if __name__ == '__main__':
    main(sys.argv[1:])
