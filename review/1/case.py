"""A late copy of a rejection is taken for the answer to the next send."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st  # noqa: E402

SERVERS = 8
# srv_grey: share 0.14 (one of eight), x 0.45, 6.5 s, how "shed".
GREY_SHARE = 0.45
GREY_S = 6.5
# garble: share 0.35 to 0.6, x 0.03, 5 s, how "extra late".
GARBLED = 4
EXTRA_SHARE = 0.03
GARBLE_S = 5.0
GAP_S = 0.5
WINDOWS = 12
LATE_S = (0.005, 0.2)
PER_S = 75
THINGS = 24


class FaultyServer(st.Server):
    """Rejects some requests though it has free slots; repeats some answers.

    Each answer bears the id of the request that it answers, also its copy.
    """

    grey = False
    garbled = False

    def __init__(self, *args, seed, **kwargs):
        super().__init__(*args, **kwargs)
        self._rng = random.Random(seed)
        self.extras = 0

    async def _handle(self, method, path, headers):
        request_id = headers.get('x-request-id')
        if (
            self.grey
            and headers.get('x-expect-instance') == self.id
            and self._running < self.slots
            and self._rng.random() < GREY_SHARE
        ):
            self.record('server rejects', server=self.id, id=request_id)
            return st.answer_bytes(
                503,
                {
                    'X-Request-Id': request_id,
                    'X-Instance-Id': self.id,
                    'X-Not-Executed': '1',
                    'X-Server-Load': self._load(),
                    'Keep-Alive': 'timeout=10',
                },
                b'',
            )
        return await super()._handle(method, path, headers)

    def on_answered(self, writer, headers, answer):
        if self.garbled and self._rng.random() < EXTRA_SHARE:
            late_s = self._rng.uniform(*LATE_S)
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._send_extra, writer, headers, answer)

    def _send_extra(self, writer, headers, answer):
        if not writer.is_closing():
            self.extras += 1
            self.record(
                'server sends extra',
                server=self.id,
                id=headers.get('x-request-id'),
                status=answer[9:12].decode(),
            )
            writer.write(answer)


class Clients:
    """Send orders over kept connections, one at a time on each."""

    def __init__(self, record, instances):
        self.record = record
        self.instances = instances
        self.idle = collections.defaultdict(list)
        self.statuses = {}

    async def order(self, number):
        item = self.instances[number % len(self.instances)]
        request_id = st.new_id()
        headers = {
            'X-Request-Id': request_id,
            'X-Timeout-Ms': '6000',
            'Cookie': 'X-Affinity-Key=%d' % (number % THINGS),
        }
        status = 'none'
        self.record('client sends', id=request_id, to=item.name)
        try:
            if self.idle[item.name]:
                reader, writer = self.idle[item.name].pop()
            else:
                reader, writer = await asyncio.open_connection(
                    item.host, item.ports['Front']
                )
            data = st.request_bytes(
                'POST', st.HOST, '/order/x', headers, b'one locomotive'
            )
            writer.write(data)
            line, found, _ = await asyncio.wait_for(
                st.read_message(reader), 6.0
            )
            status = line.split(' ')[1]
            if found.get('connection', '').lower() == 'close':
                writer.close()
            else:
                self.idle[item.name].append((reader, writer))
        except (OSError, st.Closed, asyncio.TimeoutError) as exc:
            status = type(exc).__name__
        self.statuses[request_id] = status
        self.record('client gets', id=request_id, status=status)


async def faults(servers):
    """Switch the two disruptions on and off, again and again."""
    for _ in range(WINDOWS):
        servers[0].grey = True
        for server in servers[:GARBLED]:
            server.garbled = True
        await asyncio.sleep(GARBLE_S)
        for server in servers:
            server.garbled = False
        await asyncio.sleep(GREY_S - GARBLE_S)
        servers[0].grey = False
        await asyncio.sleep(GAP_S)


async def case(record, ended):
    store = await st.Store(record).start()
    servers = [
        await FaultyServer(
            record,
            store,
            's%d' % number,
            'loja',
            'blumenau-a' if number % 2 else 'blumenau-b',
            st.host(31 + number),
            work_s=0.1,
            seed=number,
        ).start()
        for number in range(SERVERS)
    ]
    rule = st.route('order', '/order/', 'loja', 'unsafe', 2500)
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
    ended += instances
    for item in instances:
        item.fields['Seeds'] = [other.control for other in instances]
        await item.start()
    for item in instances:
        await item.wait_ready()
    await asyncio.sleep(6)

    clients = Clients(record, instances)
    tasks = []
    switching = None
    start = record.now()
    length_s = 4 + WINDOWS * (GREY_S + GAP_S)
    number = 0
    while record.now() < start + length_s:
        number += 1
        tasks.append(asyncio.ensure_future(clients.order(number)))
        if switching is None and record.now() > start + 4 and st.TROUBLE:
            switching = asyncio.ensure_future(faults(servers))
        await asyncio.sleep(max(start + number / PER_S - record.now(), 0))
    await asyncio.wait(tasks, timeout=8)

    runs = collections.Counter(
        request_id for server in servers for _, request_id in server.runs
    )
    twice = [request_id for request_id, count in runs.items() if count > 1]
    for request_id in twice:
        where = [
            (server.id, round(at, 3))
            for server in servers
            for at, run_id in server.runs
            if run_id == request_id
        ]
        record(
            'ran more than once',
            id=request_id,
            runs=where,
            client_got=clients.statuses[request_id],
        )
    extras = sum(server.extras for server in servers)
    record('summary', sent=number, ran=len(runs), extras=extras)
    record('summary', twice=len(twice))
    if len(runs) < 1000:
        raise st.CannotRun('too few requests')
    if twice:
        return [
            'TWICE: %d of %d orders ran more than once' % (len(twice), number)
        ]
    return []


if __name__ == '__main__':
    st.run_case(pathlib.Path(__file__).resolve().parent, case)
