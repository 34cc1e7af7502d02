"""Time and memory of the map from client blocks to sites.

Each size runs in a fresh process that receives the documents one by one, so
its memory is its own: the growth of the resident size after a collection.
``map`` keeps only the map (memory includes what one document needs while it is
read); ``instance`` keeps all that an instance keeps of a document that a peer
sent: the packed document for its peers, the decoded one of the configuration,
and the map. Documents have at most 10,000 blocks, as operators declare them.

IPv4 blocks are clustered as in real tables: networks of a few sizes, split to
/20 to /24 blocks, of which most lie beside one another, and some nested in a
wider block of another site. IPv6 blocks are /40 to /56 below /32 networks.
The baseline in the same process is a dictionary lookup of the address text.

Usage: ``python bench/maps.py [--sizes 1000,10000,100000,520000] [--seed 1]``
"""

import argparse
import gc
import multiprocessing
import random
import socket
import statistics
import time

from bench import measured_fleet
from jasminehold import config as config_module
from jasminehold.decisions import blocks
from jasminehold.decisions import gossip_documents
from jasminehold.peers import frames
from jasminehold.steering import tables

DOCUMENT_BLOCKS = 10000
SITES = 1100
QUERIES = 20000
LIMIT_US = 20
LIMIT_MB = 64
CONTROL_MB = 256


def v4_blocks(count, rng):
    """Yield ``(cidr, site number)`` of clustered IPv4 blocks."""
    seen = set()
    while len(seen) < count:
        base = rng.randrange(1 << 24, 224 << 24) >> 16 << 16
        site = rng.randrange(SITES)
        length = rng.choice((20, 22, 23, 24, 24, 24, 24))
        step = 1 << (32 - length)
        start = base + rng.randrange(0, 1 << 16, step)
        for number in range(rng.randrange(1, 64)):
            block = (start + number * step, length)
            if block[0] >= 224 << 24 or len(seen) >= count:
                break
            if block not in seen:
                seen.add(block)
                near = rng.random() < 0.9
                text = socket.inet_ntoa(block[0].to_bytes(4, 'big'))
                yield '%s/%d' % (text, length), (
                    site if near else rng.randrange(SITES)
                )


def v6_blocks(count, rng):
    """Yield ``(cidr, site number)`` of clustered IPv6 blocks."""
    seen = set()
    while len(seen) < count:
        network = 0x2000_0000 + rng.randrange(1 << 20) << 32
        site = rng.randrange(SITES)
        length = rng.choice((40, 44, 48, 48, 48, 56))
        step = 1 << (64 - length)
        start = network + rng.randrange(0, 1 << 32, step)
        for number in range(rng.randrange(1, 64)):
            block = (start + number * step, length)
            if len(seen) >= count:
                break
            if block not in seen and block[0] < network + (1 << 32):
                seen.add(block)
                raw = block[0].to_bytes(8, 'big') + bytes(8)
                text = socket.inet_ntop(socket.AF_INET6, raw)
                near = rng.random() < 0.9
                yield '%s/%d' % (text, length), (
                    site if near else rng.randrange(SITES)
                )


def _queries(made, rng):
    found = []
    for _ in range(QUERIES):
        address, _, length = rng.choice(made)[0].partition('/')
        if ':' in address:
            raw = bytearray(socket.inet_pton(socket.AF_INET6, address))
            raw[7] |= rng.randrange(256)
            found.append(socket.inet_ntop(socket.AF_INET6, bytes(raw)))
        else:
            number = int.from_bytes(socket.inet_aton(address), 'big')
            number |= rng.randrange(1 << (32 - int(length)))
            found.append(socket.inet_ntoa(number.to_bytes(4, 'big')))
    return found


def _documents(made):
    names = ['site-%d' % number for number in range(SITES)]
    return [
        [(cidr, names[site]) for cidr, site in made[n : n + DOCUMENT_BLOCKS]]
        for n in range(0, len(made), DOCUMENT_BLOCKS)
    ]


def _mb():
    gc.collect()
    return measured_fleet.resident_mb('self')


class _MapOnly:
    """Only the map, fed with pairs of block and site."""

    def __init__(self):
        self.table = blocks.BlockMap()

    def pack(self, number, part):
        return [(cidr, 'region|' + site) for cidr, site in part]

    def take(self, number, version, packed):
        self.table.set_document('d%03d' % number, packed)

    find = property(lambda self: self.table.find)


class _Instance(_MapOnly):
    """All that an instance keeps of a document that a peer sent."""

    def __init__(self):
        self.gossip = gossip_documents.GossipDocuments(random.Random(1))
        self.config = config_module.ConfigSet()
        self.table = tables.Tables()

    def pack(self, number, part):
        items = [{'cidr': cidr, 'site': site} for cidr, site in part]
        name = 'd%03d' % number
        value = {
            'kind': 'client_blocks',
            'metadata': {'name': name, 'generation': 1},
            'spec': {'region': 'region', 'blocks': items},
        }
        return frames.pack(value)

    def take(self, number, version, packed):
        name = 'd%03d' % number
        key = config_module.key_of('client_blocks', name)
        self.gossip.put(key, version, packed)
        entry = {'key': key, 'version': version}
        entry['value'] = frames.unpack(packed)
        self.config.apply([entry])
        self.table.set_blocks(name, entry['value'])

    find = property(lambda self: self.table.locate)


MODES = {'map': _MapOnly, 'instance': _Instance}


def _receive(pipe, mode):
    """Hold the map in a process that has no other data of this size."""
    held = MODES[mode]()
    before, version, busy = _mb(), 0, 0.0
    for command, number, data in iter(pipe.recv, None):
        begin = time.process_time()
        if command == 'take':
            version += 1
            held.take(number, version, data)
            pipe.send(time.process_time() - begin)
        elif command == 'memory':
            data = None
            pipe.send(_mb() - before)
        else:
            times = []
            for address in data:
                asked = time.perf_counter_ns()
                held.find(address)
                times.append((time.perf_counter_ns() - asked) / 1000)
            busy = time.process_time() - begin
            known = dict.fromkeys(data, 1)
            base = time.process_time()
            for address in data:
                known.get(address)
            base = (time.process_time() - base) / len(data) * 1e6
            times.sort()
            pipe.send((busy, times, base))
        command = number = data = None


def measure(family, mode, count, seed):
    """Return the figures of one size.

    Args:
        family: ``v4`` or ``v6``.
        mode: ``map`` or ``instance``.
        count: number of blocks.
        seed: seed of the blocks and queries.
    """
    rng = random.Random(seed)
    made = sorted({'v4': v4_blocks, 'v6': v6_blocks}[family](count, rng))
    documents = _documents(made)
    held = MODES[mode]()
    context = multiprocessing.get_context('spawn')
    pipe, there = context.Pipe()
    process = context.Process(target=_receive, args=(there, mode))
    process.start()
    there.close()

    def ask(*message):
        pipe.send(message)
        return pipe.recv()

    build = first = 0.0
    for number, part in enumerate(documents):
        build += ask('take', number, held.pack(number, part))
    for part in documents:
        first += ask('find', 0, [cidr for cidr, _ in part])[0]
    memory = ask('memory', 0, None)
    busy, times, base = ask('find', 0, _queries(made, rng))
    number = len(documents) // 2
    part = [(cidr, 'site-0') for cidr, _ in documents[number]]
    change = ask('take', number, held.pack(number, part))
    touched, after, _ = ask('find', 0, [cidr for cidr, _ in part])
    pipe.send(None)
    process.join()
    return {
        'build_s': build,
        'first_s': first,
        'mb': memory,
        'us': busy / len(times) * 1e6,
        'p99_us': times[int(0.99 * len(times))],
        'base_us': base,
        'change_ms': change * 1000,
        'rebuild_ms': touched * 1000,
        'worst_ms': after[-1] / 1000,
    }


def main():
    """Print one line for each family and size, and the slopes."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', default='1000,10000,100000,520000')
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    print(
        'python bench/maps.py --sizes %s --seed %d' % (args.sizes, args.seed)
    )
    print(
        'family  keeps     blocks  build s  first queries s     MB  query us'
        '   p99  baseline us | document ms  its buckets ms  worst query ms'
    )
    for family in ('v4', 'v6'):
        for mode in MODES:
            points = []
            for size in [int(text) for text in args.sizes.split(',')]:
                found = measure(family, mode, size, args.seed)
                points.append((size, found))
                _show(family, mode, size, found)
            _show_slopes(family, mode, points)


def _show(family, mode, size, found):
    print(
        '%6s  %-8s %7d %8.2f %16.2f %6.1f %9.2f %5.1f %12.2f |'
        ' %11.1f %15.1f %15.2f'
        % (
            family,
            mode,
            size,
            found['build_s'],
            found['first_s'],
            found['mb'],
            found['us'],
            found['p99_us'],
            found['base_us'],
            found['change_ms'],
            found['rebuild_ms'],
            found['worst_ms'],
        ),
        flush=True,
    )


def _show_slopes(family, mode, points):
    size, found = points[-1]
    if len(points) > 1:
        slopes = [
            statistics.linear_regression(
                [size for size, _ in points],
                [item[key] for _, item in points],
            ).slope
            for key in ('mb', 'build_s')
        ]
        print(
            '%s %s slopes: %.1f bytes and %.2f us of building per block'
            % (family, mode, slopes[0] * 2**20, slopes[1] * 1e6)
        )
    limit = LIMIT_MB if mode == 'map' else CONTROL_MB
    print(
        '%s %s at %d: %.2f us of %d, %.1f MB of %d'
        % (family, mode, size, found['us'], LIMIT_US, found['mb'], limit)
    )


if __name__ == '__main__':
    main()
