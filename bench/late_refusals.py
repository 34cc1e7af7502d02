"""Orders at upstreams that reject some of them and repeat the rejections.

Real instances, with the program and the settings of the deploy file, a
stand-in store and stand-in upstreams on loopback addresses. Upstreams reject
a share of the orders though they have free slots, and send each rejection
again in the way that ``--copy`` names. Prints how the orders ended, how many
ran more than once, and how many ran though their caller was told that they
had not. Needs ``target/deps`` from the build of the deploy file.

Usage: ``python bench/late_refusals.py [--copy WAY] [--grey COUNT]
[--share SHARE] [--seconds S] [--seed N] [--sized] [--kind KIND]``
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from review import standins as st  # noqa: E402

# How a rejection comes again: not at all; later on its connection, with its
# id, with the id of an earlier rejection, or without one; right behind the
# first; on all other connections of the same instance; on the connection on
# which the same request comes next; before the request's body has been read.
COPIES = (
    'none',
    'late',
    'other-id',
    'no-id',
    'behind',
    'all',
    'follow',
    'early',
)
UPSTREAMS = 8
LATE_S = (0.005, 0.2)
WORK_S = 0.1
PER_S = 75
OBJECTS = 24
SETTLE_S = 6.0
# Callers reuse connections that were idle for up to four fifths of the
# configuration's limit.
IDLE_MAX_S = 12.0
# A promise that the request has not run.
PROMISES = frozenset({'408', '421', '429', '503'})
LARGE_BODY = b'two carriages ' * 20_000


class RejectingServer(st.Server):
    """Rejects a share of its requests and repeats the rejections."""

    share = 0.0
    copy = 'none'
    copies = 0
    rejections = 0

    def __init__(self, *args, rng, **kwargs):
        super().__init__(*args, **kwargs)
        self._rng = rng
        self._rejected = {}

    def _rejection(self, request_id):
        headers = {
            'X-Instance-Id': self.id,
            'X-Not-Executed': '1',
            'X-Server-Load': self._load(),
            'Keep-Alive': 'timeout=10',
        }
        if request_id:
            headers['X-Request-Id'] = request_id
        return st.answer_bytes(503, headers, b'')

    def _rejects(self, headers):
        return (
            headers.get('x-expect-instance') == self.id
            and self._running < self.slots
            and self._rng.random() < self.share
        )

    async def _handle(self, method, path, headers):
        request_id = headers.get('x-request-id')
        if self.copy == 'follow' and request_id in self._rejected:
            answer = self._rejected.pop(request_id)
            for writer in list(self._writers):
                self._later(writer, answer)
        if self._rejects(headers):
            self.rejections += 1
            answer = self._rejection(request_id)
            self._rejected[request_id] = answer
            return answer
        return await super()._handle(method, path, headers)

    def on_answered(self, writer, headers, answer):
        request_id = headers.get('x-request-id')
        if request_id not in self._rejected or self.copy in ('none', 'follow'):
            return
        if self.copy == 'behind':
            self._send(writer, answer)
        elif self.copy == 'late':
            self._later(writer, answer)
        elif self.copy == 'no-id':
            self._later(writer, self._rejection(None))
        elif self.copy == 'other-id':
            other = self._rng.choice(list(self._rejected))
            self._later(writer, self._rejection(other))
        elif self.copy == 'all':
            for other in list(self._writers):
                self._later(other, answer)

    def _later(self, writer, answer):
        late_s = self._rng.uniform(*LATE_S)
        asyncio.get_running_loop().call_later(
            late_s, self._send, writer, answer
        )

    def _send(self, writer, answer):
        if not writer.is_closing():
            self.copies += 1
            writer.write(answer)

    async def _serve(self, reader, writer):
        if self.copy != 'early' or self._rng.random() >= self.share:
            await super()._serve(reader, writer)
            return
        # Rejects the first request of the connection at its head, and reads
        # its body afterwards.
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(': ', 1)
                for line in head.decode('latin-1').split('\r\n')[1:]
                if ': ' in line
            )
            self.rejections += 1
            writer.write(self._rejection(fields.get('x-request-id')))
            await reader.readexactly(int(fields.get('content-length', '0')))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        finally:
            self._writers.discard(writer)
        await super()._serve(reader, writer)


class Callers:
    """Send orders over kept connections, one at a time on each."""

    def __init__(self, instances, sized, body):
        self.statuses = {}
        self._instances = instances
        self._idle = collections.defaultdict(list)
        self._sized = sized
        self._body = body

    def _idle_conn(self, name):
        while self._idle[name]:
            reader, writer, idle_since = self._idle[name].pop()
            if time.monotonic() - idle_since < IDLE_MAX_S:
                return reader, writer
            writer.close()
        return None, None

    def _bytes(self, headers):
        if self._sized:
            return st.request_bytes(
                'POST', st.HOST, '/order/x', headers, self._body
            )
        headers['Transfer-Encoding'] = 'chunked'
        lines = ['POST /order/x HTTP/1.1', 'Host: ' + st.HOST]
        lines += ['%s: %s' % item for item in headers.items()]
        half = len(self._body) // 2
        parts = [self._body[:half], self._body[half:], b'']
        chunks = [b'%x\r\n%s\r\n' % (len(part), part) for part in parts]
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + b''.join(chunks)

    async def order(self, number):
        """Send one order and keep how it ended."""
        item = self._instances[number % len(self._instances)]
        request_id = st.new_id()
        headers = {
            'X-Request-Id': request_id,
            'X-Timeout-Ms': '6000',
            'Cookie': 'X-Affinity-Key=%d' % (number % OBJECTS),
        }
        try:
            reader, writer = self._idle_conn(item.name)
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    item.host, item.ports['Front']
                )
            writer.write(self._bytes(headers))
            line, found, _ = await asyncio.wait_for(
                st.read_message(reader), 7.0
            )
            status = line.split(' ')[1]
            if found.get('connection', '').lower() == 'close':
                writer.close()
            else:
                idle = (reader, writer, time.monotonic())
                self._idle[item.name].append(idle)
        except (OSError, st.Closed, asyncio.TimeoutError) as exc:
            status = type(exc).__name__
        self.statuses[request_id] = status


async def play(args, record):
    """Play the orders and return the lines of the report."""
    store = await st.Store(record).start()
    servers = [
        await RejectingServer(
            record,
            store,
            's%d' % number,
            'loja',
            'blumenau-a' if number % 2 else 'blumenau-b',
            st.host(31 + number),
            work_s=WORK_S,
            rng=random.Random('%d %d' % (args.seed, number)),
        ).start()
        for number in range(UPSTREAMS)
    ]
    rule = st.route('order', '/order/', 'loja', args.kind, 2500)
    rule['Sticky'] = True
    await store.put(
        'op/config', st.configuration(1, st.HOST, [rule], ('loja',))
    )
    instances = [
        st.Instance(record, store, name, zone, host, st.ZONES, st.BOUNDS)
        for name, zone, host in (
            ('front-a', 'blumenau-a', st.host(11)),
            ('front-b', 'blumenau-b', st.host(12)),
        )
    ]
    try:
        for item in instances:
            item.fields['Seeds'] = [other.control for other in instances]
            await item.start()
        for item in instances:
            await item.wait_ready()
        await asyncio.sleep(SETTLE_S)
        for server in servers[: args.grey]:
            server.share, server.copy = args.share, args.copy
        body = LARGE_BODY if args.copy == 'early' else b'one locomotive'
        callers = Callers(instances, args.sized, body)
        tasks = []
        start = record.now()
        while record.now() < start + args.seconds:
            tasks.append(asyncio.ensure_future(callers.order(len(tasks))))
            due = start + len(tasks) / PER_S
            await asyncio.sleep(max(due - record.now(), 0))
        await asyncio.wait(tasks, timeout=8)
        logs = [item.log_text(0) for item in instances]
    finally:
        for item in instances:
            await item.end()
    return report(servers, callers.statuses, len(tasks)) + seen_by(logs)


def seen_by(logs):
    """Return the lines that say what the instances saw.

    Args:
        logs: text of the log of each instance.
    """
    evidence, unexpected = collections.Counter(), collections.Counter()
    for text in logs:
        for line in text.splitlines():
            fields = json.loads(line) if line.startswith('{') else {}
            for send in fields.get('sends', ()):
                if 'evidence' in send:
                    evidence[send['evidence']] += 1
            if fields.get('event') == 'unexpected response':
                what = 'rejection' if fields['rejection'] else 'answer'
                before = fields['answered_before']
                unexpected[
                    '%s on %s connection, %s'
                    % (
                        what,
                        fields['state'],
                        'answered %d before' % before if before else 'new',
                    )
                ] += 1
    return [
        'sends not run, by evidence: %s' % _counts(evidence),
        'unexpected: %s' % _counts(unexpected),
    ]


def _counts(counter):
    parts = ['%s %d' % item for item in sorted(counter.items())]
    return '; '.join(parts) or 'none'


def report(servers, statuses, sent):
    """Return the lines that say how the orders ended."""
    runs = collections.Counter(
        request_id for server in servers for _, request_id in server.runs
    )
    twice = sum(count > 1 for count in runs.values())
    refused = sum(statuses.get(name) in PROMISES for name in runs)
    ends = collections.Counter(statuses.values())
    return [
        'orders %d, ended %s' % (sent, _counts(ends)),
        'rejections %d, copies %d'
        % (
            sum(server.rejections for server in servers),
            sum(server.copies for server in servers),
        ),
        'ran more than once %d, ran though refused %d' % (twice, refused),
    ]


def main():
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--copy', choices=COPIES, default='late')
    parser.add_argument('--grey', type=int, default=4)
    parser.add_argument('--share', type=float, default=0.45)
    parser.add_argument('--seconds', type=float, default=40.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--sized', action='store_true')
    parser.add_argument('--kind', default='unsafe')
    args = parser.parse_args()
    print('python ' + ' '.join(sys.argv))
    with tempfile.TemporaryDirectory() as folder:
        for line in asyncio.run(play(args, st.Record(folder))):
            print(line)


if __name__ == '__main__':
    main()
