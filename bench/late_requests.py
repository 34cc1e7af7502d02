"""Requests that reach an instance late in its planned stop.

Real instances, with the program and the settings of the deploy file, a
stand-in store and stand-in upstreams on loopback addresses. Callers go on
sending to one instance after its SIGTERM; nothing else disturbs it. Prints
how the requests ended, and how many were cut off though an upstream had
received them. Needs ``target/deps`` from the build of the deploy file.

Usage: ``python bench/late_requests.py [--come WAY] [--grace S] [--work S]
[--spread SHARE] [--body S] [--timeout S] [--before S] [--per-s RATE]
[--again] [--no-stop] [--safe]``
"""

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from review import standins as st  # noqa: E402

# How requests come: each on a connection of its own, opened for it; opened
# before the stop; or one after the other on connections that are kept.
WAYS = ('new', 'kept', 'reused')
UPSTREAMS = 4
SLOTS = 40
SETTLE_S = 6.0
BODY = b'one locomotive' * 8
BODY_PARTS = 8
REUSED_CONNS = 12


class VaryingServer(st.Server):
    """A server whose work varies by a share of its mean."""

    spread = 0.0
    rng = random.Random(1)
    mean_s = 0.0

    async def _handle(self, method, path, headers):
        part = 1 + self.spread * self.rng.uniform(-1, 1)
        self.work_s = self.mean_s * part
        return await super()._handle(method, path, headers)


class Callers:
    """Send requests to one instance and keep how each ended."""

    def __init__(self, record, instance, args):
        self.ends = {}
        self.sent_at = {}
        self._record = record
        self._instance = instance
        self._args = args
        self._kept = []

    async def open(self, count):
        """Open connections that later requests are sent on."""
        for _ in range(count):
            reader, writer = await self._connect()
            # Without a first request they would be closed early.
            headers = {'X-Request-Id': st.new_id()}
            writer.write(st.request_bytes('GET', st.HOST, '/none', headers))
            await st.read_message(reader)
            self._kept.append((reader, writer))

    def close(self):
        """Close the connections that no request was sent on."""
        for _, writer in self._kept:
            writer.close()

    async def _connect(self):
        item = self._instance
        return await asyncio.open_connection(item.host, item.ports['Front'])

    def _parts(self, request_id):
        method = 'GET' if self._args.safe else 'POST'
        headers = {
            'X-Request-Id': request_id,
            'X-Timeout-Ms': '%d' % (self._args.timeout * 1000),
        }
        body = b'' if self._args.safe else BODY
        data = st.request_bytes(method, st.HOST, '/order/x', headers, body)
        if not self._args.body:
            return [data]
        size = len(data) - len(body)
        step = len(body) // BODY_PARTS
        return [data[:size]] + [
            body[start : start + step] for start in range(0, len(body), step)
        ]

    async def send(self):
        """Send one request on a connection of its own."""
        request_id = st.new_id()
        end = await self._exchange(request_id)
        self.ends[request_id] = (end, self._record.now())

    async def _exchange(self, request_id, conn=None):
        sent = False
        writer = None
        keeps = conn is not None
        try:
            if conn is None and self._args.come == 'kept' and self._kept:
                conn = self._kept.pop()
            reader, writer = conn or await self._connect()
            parts = self._parts(request_id)
            for part in parts:
                writer.write(part)
                sent = True
                await writer.drain()
                if self._args.body and part is not parts[-1]:
                    await asyncio.sleep(self._args.body / BODY_PARTS)
            self.sent_at[request_id] = self._record.now()
            line, headers, _ = await asyncio.wait_for(
                st.read_message(reader), self._args.timeout + 1
            )
            if headers.get('connection', '').lower() == 'close':
                writer.close()
            return line.split(' ')[1]
        except ConnectionRefusedError:
            return 'not connected'
        except (OSError, st.Closed):
            return 'cut' if sent else 'not connected'
        except asyncio.TimeoutError:
            return 'nothing'
        finally:
            if writer is not None and not keeps:
                writer.close()

    async def send_on(self, until):
        """Send one request after the other over one connection."""
        conn = await self._connect()
        while self._record.now() < until:
            request_id = st.new_id()
            end = await self._exchange(request_id, conn)
            self.ends[request_id] = (end, self._record.now())
            if end == 'cut' or conn[1].is_closing():
                conn[1].close()
                try:
                    conn = await self._connect()
                except OSError:
                    return


async def _start(record, args):
    store = await st.Store(record).start()
    VaryingServer.spread, VaryingServer.mean_s = args.spread, args.work
    servers = [
        await VaryingServer(
            record,
            store,
            's%d' % number,
            'loja',
            'blumenau-a' if number % 2 else 'blumenau-b',
            st.host(31 + number),
            slots=SLOTS,
        ).start()
        for number in range(UPSTREAMS)
    ]
    kind = 'safe' if args.safe else 'unsafe'
    rule = st.route('order', '/order/', 'loja', kind, int(args.timeout * 1000))
    await store.put(
        'op/config', st.configuration(1, st.HOST, [rule], ('loja',))
    )
    bounds = {**st.BOUNDS, 'GraceS': args.grace}
    instances = [
        st.Instance(record, store, name, zone, host, st.ZONES, bounds)
        for name, zone, host in (
            ('front-a', 'blumenau-a', st.host(11)),
            ('front-b', 'blumenau-b', st.host(12)),
        )
    ]
    for item in instances:
        item.fields['Seeds'] = [other.control for other in instances]
    return servers, instances


async def _send_until(callers, record, args, seconds):
    begin, tasks = record.now(), []
    while record.now() < begin + seconds:
        tasks.append(asyncio.ensure_future(callers.send()))
        due = begin + len(tasks) / args.per_s
        await asyncio.sleep(max(due - record.now(), 0))
    return tasks


async def play(args, record):
    """Play one stop and return the lines of the report."""
    servers, instances = await _start(record, args)
    try:
        for item in instances:
            await item.start()
        for item in instances:
            await item.wait_ready()
        await asyncio.sleep(SETTLE_S)
        leaving = instances[0]
        before = Callers(record, leaving, args)
        tasks = await _send_until(before, record, args, args.before)
        callers = Callers(record, leaving, args)
        if args.come == 'kept':
            await callers.open(int(args.per_s * (args.grace - 1)))
        told_at = record.now()
        end = told_at + args.grace
        if not args.stop:
            end += args.timeout
        else:
            leaving.signal(signal.SIGTERM)
        if args.again:
            loop = asyncio.get_running_loop()
            for delay, number in ((0.5, 15), (1.0, 1), (2.0, 15), (3.0, 1)):
                loop.call_later(delay, leaving.signal, signal.Signals(number))
        if args.come == 'reused':
            tasks += [
                asyncio.ensure_future(callers.send_on(told_at + args.grace))
                for _ in range(REUSED_CONNS)
            ]
        else:
            tasks += await _send_until(callers, record, args, args.grace - 1)
        while record.now() < end:
            await asyncio.sleep(0.02)
            if args.stop and leaving.process.returncode is not None:
                break
        ended_s = record.now() - told_at
        leaving.signal(signal.SIGKILL)
        if tasks:
            await asyncio.wait(tasks, timeout=args.timeout + 2)
        callers.close()
    finally:
        for item in instances:
            await item.end()
    return report(servers, before, callers, told_at, ended_s)


def report(servers, before, callers, told_at, ended_s):
    """Return the lines that say how the requests ended.

    Args:
        servers: the stand-in upstreams.
        before: the :class:`Callers` before the stop.
        callers: those after it.
        told_at: time of the SIGTERM on the record's clock.
        ended_s: seconds from it to the end of the process.
    """
    reached = {
        request_id for server in servers for _, request_id in server.arrivals
    }
    runs = collections.Counter(
        request_id for server in servers for _, request_id in server.runs
    )
    lines = []
    for name, item in (('before', before), ('late', callers)):
        ends = collections.Counter()
        for request_id, (end, _) in item.ends.items():
            passed_on = end == 'cut' and request_id in reached
            ends['cut after being passed on' if passed_on else end] += 1
        parts = ['%s %d' % found for found in sorted(ends.items())]
        lines.append(
            '%s: sent %d; %s'
            % (name, len(item.ends), '; '.join(parts) or 'none')
        )
    served = [
        callers.sent_at[request_id] - told_at
        for request_id, (end, _) in callers.ends.items()
        if end == '200'
    ]
    refused = [
        callers.sent_at.get(request_id, told_at) - told_at
        for request_id, (end, _) in callers.ends.items()
        if end == '503'
    ]
    lines.append(
        'last byte of the latest served %.2f s, of the earliest refused %s,'
        ' process ended %.2f s after SIGTERM'
        % (
            max(served, default=0.0),
            '%.2f s' % min(refused) if refused else 'none',
            ended_s,
        )
    )
    lines.append(
        'ran more than once %d, ran though refused %d'
        % (
            sum(count > 1 for count in runs.values()),
            sum(
                request_id in runs
                for request_id, (end, _) in callers.ends.items()
                if end == '503'
            ),
        )
    )
    return lines


def main():
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--come', choices=WAYS, default='new')
    parser.add_argument('--grace', type=float, default=10)
    parser.add_argument('--work', type=float, default=5.5)
    parser.add_argument('--spread', type=float, default=0.0)
    parser.add_argument('--body', type=float, default=0.0)
    parser.add_argument('--timeout', type=float, default=8.0)
    parser.add_argument('--before', type=float, default=0.0)
    parser.add_argument('--per-s', type=float, default=10.0)
    parser.add_argument('--again', action='store_true')
    parser.add_argument('--safe', action='store_true')
    parser.add_argument('--no-stop', dest='stop', action='store_false')
    args = parser.parse_args()
    print('python ' + ' '.join(sys.argv))
    with tempfile.TemporaryDirectory() as folder:
        for line in asyncio.run(play(args, st.Record(folder))):
            print(line)


if __name__ == '__main__':
    main()
