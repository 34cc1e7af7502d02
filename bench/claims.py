"""Claims in batches against single claims, at the same platform stand-in.

A single claim is one compare-and-swap on a key of its own and one delete when
it expires (after 1 s here). Batches are those of ``jasminehold.claims`` with
four shards, all held by this process; the hop from another instance is not
part of the latency. Arrivals are Poisson; latency counts from the intended
time of arrival. The stand-in is a process of its own and delays each call.

Usage: ``python bench/claims.py [--seconds 10] [--seed 1] [--delay 0.002]``
"""

import random
import subprocess
import sys
import time

import circuits
import fire

from jasminehold import claims as claims_module
from jasminehold.decisions import claim_log
from jasminehold import loop as loop_module
from jasminehold import metrics
from jasminehold.platform import client as client_module
from jasminehold.platform import http

RATES = (50, 200, 1000)
EXPIRE_AFTER_S = 1.0
SERVE = 'from jasminehold.standin import kv; kv.run(port=%d,%s)'


class _Held:
    """Duties of a process that holds every shard."""

    def fencing_token(self, name, now):
        return 1


def _single(loop, client):
    def claim(key, done):
        name = 'single/' + key.hex()

        def on_put(version, exc):
            done(exc is None)
            if exc is None:
                loop.call_later(EXPIRE_AFTER_S, expire, version)

        def expire(version):
            client.delete(name, version, done=lambda *answer: None)

        client.put(name, b'x' * 40, 0, done=on_put)

    return claim, lambda: True, lambda: None


def _batches(loop, client, seed):
    claims = claims_module.Claims(
        loop,
        client,
        _Held(),
        claims_module.ClaimsConfig('bench'),
        metrics.Metrics(),
        rng=random.Random(seed),
    )

    def claim(key, done):
        def on_result(result, exc):
            done(result.status is claim_log.Status.GRANTED)

        claims.claim(key, b'r' * 8, 'bench', on_result)

    def ready():
        return all(claims.ready(shard) for shard in range(4))

    return claim, ready, claims.close


def _run_until(root, loop, check, limit):
    end = loop.now() + limit

    def poll():
        if check() or loop.now() > end:
            root.stop()
        else:
            loop.call_later(0.01, poll)

    loop.call_soon(poll)
    root.run()
    return check()


def _measure(mode, rate, seconds, seed, port, delay):
    root = circuits.Component()
    loop = loop_module.Loop().register(root)
    rng = random.Random(seed)
    control = http.Client(loop, '127.0.0.1', port + 1, rng)
    client = client_module.PlatformClient(
        loop, [('127.0.0.1', port)], 2.0, rng
    )

    def ask(method, path, body=b''):
        answers = []
        control.request(method, path, body, 2.0, lambda *a: answers.append(a))
        _run_until(root, loop, lambda: answers, 3.0)
        return answers[0][0]

    for _ in range(50):
        if ask('POST', '/faults', b'{"slow_s": %f}' % delay):
            break
        time.sleep(0.1)
    if mode == 'single':
        claim, ready, close = _single(loop, client)
    else:
        claim, ready, close = _batches(loop, client, seed)
    _run_until(root, loop, ready, 5.0)
    latencies, failed, sent = [], [], 0
    begin = loop.now()
    due = begin

    def arrive():
        nonlocal due, sent
        while due <= loop.now() and due < begin + seconds:
            sent += 1
            claim(rng.randbytes(16), lambda ok, at=due: record(ok, at))
            due += rng.expovariate(rate)
        if due < begin + seconds:
            loop.call_later(due - loop.now(), arrive)

    def record(ok, at):
        (latencies if ok else failed).append(loop.now() - at)

    def writes():
        return sum(
            client.metrics.value('platform_calls_total', call=call, result=r)
            for call in ('put', 'delete')
            for r in ('ok', 'OutcomeUnknown', 'VersionMismatch')
        )

    before, cpu = writes(), time.process_time()
    arrive()
    _run_until(
        root,
        loop,
        lambda: loop.now() > begin + seconds
        and len(latencies) + len(failed) == sent,
        seconds + 10,
    )
    if mode == 'single':
        _run_until(root, loop, lambda: False, EXPIRE_AFTER_S + 0.5)
    count, cpu = writes() - before, time.process_time() - cpu
    close()
    client.close()
    control.close()
    latencies.sort()

    def at(share):
        if not latencies:
            return float('nan')
        return 1000 * latencies[int(share * (len(latencies) - 1))]

    print(
        '%-7s %5d/s  claims %6d  failed %4d  platform writes/s %7.1f  '
        'p50 %6.1f ms  p99 %6.1f ms  core %4.1f%%'
        % (
            mode,
            rate,
            len(latencies),
            len(failed),
            count / seconds,
            at(0.5),
            at(0.99),
            100 * cpu / seconds,
        ),
        flush=True,
    )


def main(seconds=10, seed=1, delay=0.002, port=18500):
    """Print writes per second and claim latency for each mode and rate.

    Args:
        seconds: length of each measurement.
        seed: seed of arrivals and keys.
        delay: seconds that the stand-in delays each call.
        port: port of the stand-in; the next one is its control port.
    """
    print('command: python bench/claims.py ' + ' '.join(sys.argv[1:]))
    print('seed %d, %g s each, platform delay %g s' % (seed, seconds, delay))
    for rate in RATES:
        for mode in ('single', 'batches'):
            code = SERVE % (port, 'control_port=%d' % (port + 1))
            server = subprocess.Popen([sys.executable, '-c', code])
            try:
                _measure(mode, rate, seconds, seed, port, delay)
            finally:
                server.terminate()
                server.wait()


if __name__ == '__main__':
    fire.Fire(main)
