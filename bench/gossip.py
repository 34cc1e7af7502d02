"""Cost of membership, documents and status per instance, by fleet size.

Runs the pure state of a whole fleet in one process with the latencies of
section 1 of the design page: 0.5 ms between places, 20 ms between regions.
Bytes are msgpack payloads plus 28 bytes of frame; TCP and IP are not counted.
The baseline of the same run sends the full tables in each exchange, which is
what a gossip without digests would do.

Usage: ``python bench/gossip.py [--sizes 12,48,200,1000] [--seed 1]
[--every 9.2]``; ``every`` is the seconds between two published documents.
"""

import argparse
import heapq
import itertools
import math
import random
import resource
import sys
import time

import msgpack

from jasminehold.decisions import membership
from jasminehold.decisions import peer_state
from jasminehold.decisions import status_tree

FRAME_BYTES = 28
STEP_S = 0.05
PLACES = 19
DOCUMENTS = 200
PUBLISH_EVERY_S = 9.2  # 9,400 changes a day
LATENCY_PLACE_S = 0.0005
LATENCY_REGION_S = 0.020


class _Hooks(peer_state.Hooks):
    def __init__(self, run, name, place, region):
        self.run = run
        self.name = name
        self.place = place
        self.region = region
        self.ages = {}

    def on_document(self, key, value, version):
        self.run.arrived(key, version)

    def own_summary(self):
        return status_tree.own_summary(
            self.name,
            self.place,
            1,
            {'r%d' % n: 1 for n in range(self.run.regions)},
            {'loja': {self.region: 10.0}, 'oficina': {self.region: 2.0}},
            3,
        )

    def witnesses(self):
        return self.run.witnesses

    def own_plan_versions(self):
        return {
            region: 1
            for region, names in self.run.witnesses.items()
            if self.name in names
        }

    def on_contact(self, region, witness, asked_at, age_s, plan_version, now):
        self.ages[region, witness] = asked_at - age_s


class Run:
    """One fleet."""

    def __init__(self, size, seed):
        self.rng = random.Random(seed)
        self.size = size
        self.regions = 8 if size > 64 else 3
        places = PLACES if size > 64 else 6
        self.bytes = self.messages = 0
        self.cpu = 0.0
        self.now = 0.0
        self.pending = {}
        self.spread = []
        self.queue = []
        self.order = itertools.count()
        self.members = {}
        self.states = {}
        self.hooks = {}
        self.counting = False
        self.worst_age = 0.0
        self.received = {}
        for number in range(size):
            name = 'instance-%05d' % number
            place = number % places
            self.members[name] = membership.Member(
                name,
                1_800_000_000_000 + number,
                membership.LIVE,
                '10.%d.%d.%d' % (place, number // 250, number % 250),
                7400,
                'place-%02d' % place,
                'r%d' % (place % self.regions),
            )
        self.witnesses = {}
        for name, member in self.members.items():
            names = self.witnesses.setdefault(member.region, [])
            if len(names) < 3:
                names.append(name)
        docs = [
            ('state/config/service/s%d' % n, 1, b'x' * 400)
            for n in range(DOCUMENTS)
        ]
        for name, member in self.members.items():
            hooks = _Hooks(self, name, member.place, member.region)
            state = peer_state.PeerState(
                member,
                membership.MembershipCfg(),
                random.Random(self.rng.random()),
                hooks,
                0.0,
            )
            for other in self.members.values():
                if other.id != name:
                    state.members.merge(other, 0.0)
            for doc in docs:
                state.documents.put(*doc)
            state.members.take_changes()
            self.states[name] = state
            self.hooks[name] = hooks
            heapq.heappush(
                self.queue,
                (self.rng.random(), next(self.order), 'tick', name),
            )

    def arrived(self, key, version):
        """Note that one more instance has a document."""
        entry = self.pending.get((key, version))
        if entry is not None:
            entry[1] += 1
            if entry[1] == self.size:
                self.spread.append(self.now - entry[0])
                del self.pending[key, version]

    def publish(self, number):
        """Publish a document of 400 bytes at a random instance."""
        name = self.rng.choice(list(self.states))
        key = 'state/config/service/s%d' % (number % DOCUMENTS)
        version = number + 2
        self.pending[key, version] = [self.now, 1]
        self.states[name].publish(key, b'y' * 400, version)
        self.push_soon(name)

    def push_soon(self, name):
        """Schedule the push that the agent makes after its delay."""
        if self.states[name].has_unsent():
            self.at(0.02, 'push', name)

    def at(self, delay, kind, *args):
        """Schedule an event."""
        heapq.heappush(
            self.queue, (self.now + delay, next(self.order), kind, *args)
        )

    def post(self, sender, to, kind, out, asked_at, reply=None):
        """Send a message and count it."""
        body = reply if kind == 'reply' else out.message
        data = msgpack.packb({'m': body, 'q': 12345})
        if self.counting:
            self.bytes += len(data) + FRAME_BYTES
            self.messages += 1
            self.received[to] = (
                self.received.get(to, 0) + len(data) + FRAME_BYTES
            )
            self.received[sender] = (
                self.received.get(sender, 0) + len(data) + FRAME_BYTES
            )
        far = self.members[sender].region != self.members[to].region
        delay = LATENCY_REGION_S if far else LATENCY_PLACE_S
        self.at(delay, kind, sender, to, out, data, asked_at)

    def send(self, name, outs):
        """Send what a state returned."""
        for out in outs:
            self.post(
                name, out.peer, 'ask' if out.ask else 'tell', out, self.now
            )

    def run(self, until):
        """Process events up to a time."""
        while self.queue[0][0] <= until:
            self.now, _, kind, *args = heapq.heappop(self.queue)
            begin = time.process_time()
            self.handle(kind, *args)
            if self.counting:
                self.cpu += time.process_time() - begin
        self.now = until

    def handle(self, kind, name, *args):
        """Process one event."""
        if kind == 'tick':
            state = self.states[name]
            for peer in state.members.peers():
                state.members.on_heard(peer, self.now)
            self.send(name, state.tick(self.now))
            if self.counting and self.hooks[name].ages:
                self.note_ages(name)
            self.at(self.rng.uniform(0.9, 1.1), 'tick', name)
            return
        if kind == 'push':
            self.send(name, self.states[name].push(self.now))
            return
        to, out, data, asked_at = args
        state = self.states[to]
        body = msgpack.unpackb(data)['m']
        if kind == 'reply':
            outs = state.on_reply(name, out.message, body, asked_at, self.now)
        else:

            def answer(message):
                if kind == 'ask':
                    self.post(to, name, 'reply', out, asked_at, message)

            outs = state.on_message(name, body, self.now, answer)
        self.send(to, outs)
        self.push_soon(to)

    def note_ages(self, name):
        """Note the age of the second latest witness of the worst region."""
        ages = {}
        for (region, _), at in self.hooks[name].ages.items():
            ages.setdefault(region, []).append(self.now - at)
        own = self.members[name].region
        for region, values in ages.items():
            values.sort()
            if region != own and len(values) > 1:
                self.worst_age = max(self.worst_age, values[1])


def measure(size, seed, seconds, publish, every=PUBLISH_EVERY_S):
    """Run one fleet and return its figures per instance and second."""
    run = Run(size, seed)
    run.run(12.0)
    run.counting = True
    begin = run.now
    number = 0
    while run.now < begin + seconds:
        if publish:
            run.publish(number)
            number += 1
        run.run(min(run.now + every, begin + seconds))
    run.counting = False
    run.run(run.now + 10.0)
    total = size * seconds
    spread = sorted(run.spread) or [float('nan')]
    return {
        'bytes': run.bytes / total,
        'messages': run.messages / total,
        'most': max(run.received.values()) / seconds,
        'cpu': run.cpu / total,
        'spread': spread[len(spread) // 2],
        'worst': spread[-1],
        'missing': len(run.pending),
        'age': run.worst_age,
        'full': full_exchange_bytes(run),
    }


def full_exchange_bytes(run):
    """Return bytes a second of exchanges that carry both whole tables."""
    state = next(iter(run.states.values()))
    table = [list(member) for member in state.members.all()]
    versions = {
        key: state.documents.version(key) for key in state.documents.keys()
    }
    # Each instance starts one exchange a second and answers one.
    return 2 * len(msgpack.packb([table, versions]))


def main():
    """Print the figures and their slopes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', default='12,48,200,1000')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=28.0)
    parser.add_argument('--every', type=float, default=PUBLISH_EVERY_S)
    args = parser.parse_args()
    print('command: python bench/gossip.py %s' % ' '.join(sys.argv[1:]))
    print('seed: %d, measured: %.0f s simulated' % (args.seed, args.seconds))
    print(
        'size  B/s sent  msg/s  B/s in+out of the busiest  core %  '
        'spread s median, worst, missing  oldest contact s  '
        'baseline full tables B/s  wall s'
    )
    points = []
    for size in map(int, args.sizes.split(',')):
        begin = time.monotonic()
        row = measure(size, args.seed, args.seconds, True, args.every)
        points.append((size, row['bytes'], row['cpu']))
        print(
            '%5d %9.0f %6.1f %12.0f %14.3f %10.3f %6.3f %3d %16.2f %14.0f '
            '%14.1f'
            % (
                size,
                row['bytes'],
                row['messages'],
                row['most'],
                100 * row['cpu'],
                row['spread'],
                row['worst'],
                row['missing'],
                row['age'],
                row['full'],
                time.monotonic() - begin,
            ),
            flush=True,
        )
    for (n1, b1, c1), (n2, b2, c2) in itertools.pairwise(points):
        print(
            'slope %d to %d: bytes ~ n^%.2f, processor ~ n^%.2f'
            % (
                n1,
                n2,
                math.log(b2 / b1) / math.log(n2 / n1),
                math.log(c2 / c1) / math.log(n2 / n1),
            )
        )
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print('peak memory of the whole run: %.0f MB' % peak)


if __name__ == '__main__':
    main()
