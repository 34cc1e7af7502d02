"""Cost of real streams between instance processes on one machine.

Each instance is a process with a loop, a mesh and an agent. The figures are
per instance: bytes and messages sent a second, processor time, and the time
until a document published at one instance is at all others. The baseline of
the same run is a process with an idle loop.

Usage: ``python bench/peer_links.py [--sizes 3,6,12,24] [--seconds 8]``
"""

import argparse
import json
import math
import random
import resource
import socket
import subprocess
import sys
import time

import circuits

from jasminehold.decisions import membership
from jasminehold.decisions import status_tree
from jasminehold import loop as loop_module
from jasminehold import metrics
from jasminehold.peers import agent
from jasminehold.peers import link
from jasminehold.peers import mesh

WARM_UP_S = 6.0
PUBLISH_EVERY_S = 0.5
KEY = [('bench', b'only for measurements on one host')]


class _Hooks(agent.Hooks):
    def __init__(self, number):
        self.number = number
        self.delays = []

    def on_document(self, key, value, version):
        # The monotonic clock is the same for all processes of a machine.
        self.delays.append([key, time.monotonic() - value['at']])

    def own_summary(self):
        return status_tree.own_summary(
            str(self.number), 'p', 1, {'sul': 1}, {}, 1
        )

    def witnesses(self):
        return {'sul': ['i0', 'i1', 'i2']}

    def own_plan_versions(self):
        return {'sul': 1} if self.number < 3 else {}


def child(number, ports, seed, seconds):
    """Run one instance, print its figures as JSON and end."""
    root = circuits.Component()
    loop = loop_module.Loop().register(root)
    counters = metrics.Metrics()
    made = agent_ = None
    hooks = _Hooks(number)
    if ports:
        rng = random.Random(seed * 1000 + number)
        name = 'i%d' % number
        made = mesh.Mesh(loop, name, link.KeyRing(KEY), None, rng, counters)
        made.listen('127.0.0.1', ports[number])
        entries = [
            {
                'id': 'i%d' % n,
                'host': '127.0.0.1',
                'port': port,
                'place': 'p',
                'region': 'sul',
                'state': 'live',
            }
            for n, port in enumerate(ports)
        ]
        own = membership.Member(
            name, 1, membership.LIVE, '127.0.0.1', ports[number], 'p', 'sul'
        )
        agent_ = agent.Agent(
            loop, made, agent.AgentCfg(own), rng, counters, hooks
        )
        agent_.start(entries[:2])
    marks = []

    def mark():
        traffic = made.traffic()[1] if made else 0
        sent = counters.total('peer_messages_sent')
        links = len(made.connected()) if made else 0
        marks.append((time.process_time(), traffic, sent, links))

    def publish(index):
        if time.monotonic() < stop_publishing:
            value = {'at': time.monotonic(), 'text': 'x' * 380}
            agent_.publish('k%d' % index, value, index + 1)
            loop.call_later(PUBLISH_EVERY_S, publish, index + 1)

    stop_publishing = time.monotonic() + WARM_UP_S + seconds - 1.0
    loop.call_later(WARM_UP_S, mark)
    if ports and number == len(ports) - 1:
        loop.call_later(WARM_UP_S, publish, 0)
    loop.call_later(WARM_UP_S + seconds, mark)
    loop.call_later(WARM_UP_S + seconds + 1.0, root.stop)
    root.run()
    (cpu, sent, messages, _), (cpu2, sent2, messages2, links) = marks
    print(
        json.dumps(
            {
                'cpu': (cpu2 - cpu) / seconds,
                'bytes': (sent2 - sent) / seconds,
                'messages': (messages2 - messages) / seconds,
                'delays': hooks.delays,
                'links': links,
                'memory': resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            }
        )
    )


def free_ports(count):
    """Return ports that were free a moment ago."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def fleet(size, seed, seconds):
    """Run one fleet of processes and return the children's figures."""
    ports = free_ports(size) if size else []
    children = [
        subprocess.Popen(
            [
                sys.executable,
                __file__,
                '--child',
                json.dumps([number, ports, seed, seconds]),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for number in range(size or 1)
    ]
    limit = WARM_UP_S + seconds + 30.0
    return [
        json.loads(process.communicate(timeout=limit)[0])
        for process in children
    ]


def main():
    """Print the figures and their slopes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', default='3,6,12,24')
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--child', help='used by the command itself')
    args = parser.parse_args()
    if args.child:
        child(*json.loads(args.child))
        return
    print('command: python bench/peer_links.py %s' % ' '.join(sys.argv[1:]))
    print('seed: %d, measured: %.0f s' % (args.seed, args.seconds))
    idle = fleet(0, args.seed, args.seconds)[0]
    print('baseline idle loop: %.3f %% of a core' % (100 * idle['cpu']))
    print(
        'size  links  B/s sent  msg/s  core %  times idle  '
        'document everywhere ms median, worst  missing  MB'
    )
    points = []
    for size in map(int, args.sizes.split(',')):
        rows = fleet(size, args.seed, args.seconds)
        arrivals = {}
        for row in rows:
            for key, delay in row['delays']:
                arrivals.setdefault(key, []).append(delay)
        spread = sorted(
            max(delays)
            for delays in arrivals.values()
            if len(delays) == size - 1
        )

        def mean(name):
            return sum(row[name] for row in rows) / size

        points.append((size, mean('bytes'), mean('cpu')))
        print(
            '%4d %6.1f %9.0f %6.1f %7.3f %11.1f %20.1f %8.1f %13d %6.0f'
            % (
                size,
                mean('links'),
                mean('bytes'),
                mean('messages'),
                100 * mean('cpu'),
                mean('cpu') / idle['cpu'],
                1000 * spread[len(spread) // 2],
                1000 * spread[-1],
                len(arrivals) - len(spread),
                max(row['memory'] for row in rows) / 1024,
            ),
            flush=True,
        )
    for (n1, b1, c1), (n2, b2, c2) in zip(points, points[1:]):
        ratio = math.log(n2 / n1)
        print(
            'slope %d to %d: bytes ~ n^%.2f, processor ~ n^%.2f'
            % (n1, n2, math.log(b2 / b1) / ratio, math.log(c2 / c1) / ratio)
        )


if __name__ == '__main__':
    main()
