"""Tokens that are taken and given back again outlast their time."""

import asyncio
import bisect
import collections
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st  # noqa: E402

# Of shifted/brandt-trilhos-now-grown.toml, which has quotas.
BOUNDS = {
    **st.BOUNDS,
    'StabilityWindowMs': 4000,
    'AckMs': 5000,
    'SyncS': 6,
    'DrainMs': 3000,
    'ApplyMs': 3000,
    'MaxStretchMs': 6000,
    'StrictRevoke': True,
    'RevokeMs': 5000,
    'RetryBurst': 222,
    'QuotaWindowS': 5,
    'QuotaOverage': 0.1,
    'QuotaSlack': 20,
    'ColdSlack': 8,
}
LIMITS = {'CpuShare': 0.43, 'MemoryMb': 200, 'LinkMbps': 10.0}
PLACES = (
    'blumenau-a',
    'campinas-a',
    'frankfurt-a',
    'blumenau-b',
    'campinas-b',
    'frankfurt-b',
    'blumenau-a',
    'campinas-a',
    'frankfurt-a',
)
KEY = 'apjsujqurtyiikdrbn4r'
RATE, BURST = 10, 10
# The tenant's limit is far below what it sends.
PER_S = 150
SERVERS = 3
WARM_UP_S = 12.0
PAUSE_S = 5.0
AFTER_S = 10.0


class PausingServer(st.Server):
    """Wants nothing until a time, and says so with Retry-After."""

    paused_until = 0.0

    async def _handle(self, method, path, headers):
        left_s = self.paused_until - time.monotonic()
        if left_s <= 0 or headers.get('x-expect-instance') != self.id:
            return await super()._handle(method, path, headers)
        request_id = headers.get('x-request-id')
        self.record('server rejects', server=self.id, id=request_id)
        return st.answer_bytes(
            503,
            {
                'X-Request-Id': request_id,
                'X-Instance-Id': self.id,
                'X-Not-Executed': '1',
                'X-Server-Load': '%d,9,%d' % (self.slots, self.slots),
                'Retry-After': '%.2f' % left_s,
            },
            b'',
        )


class Clients:
    """The tenant's clients, on kept connections."""

    def __init__(self, record, instances):
        self.record = record
        self.instances = instances
        self.idle = collections.defaultdict(list)
        self.sent = {}
        self.statuses = collections.Counter()

    async def ask(self, item):
        request_id = st.new_id()
        headers = {
            'X-Request-Id': request_id,
            'X-Timeout-Ms': '2500',
            'X-Credential': KEY,
        }
        try:
            if self.idle[item.name]:
                reader, writer = self.idle[item.name].pop()
            else:
                reader, writer = await asyncio.open_connection(
                    item.host, item.ports['Front']
                )
            self.sent[request_id] = self.record.now()
            self.record('client sends', id=request_id, to=item.name)
            writer.write(
                st.request_bytes('GET', st.HOST, '/browse/x', headers)
            )
            line, found, _ = await asyncio.wait_for(
                st.read_message(reader), 2.5
            )
            status = line.split(' ')[1]
            if found.get('connection', '').lower() == 'close':
                writer.close()
            else:
                self.idle[item.name].append((reader, writer))
        except (OSError, st.Closed, asyncio.TimeoutError) as exc:
            status = type(exc).__name__
        self.statuses[status] += 1
        self.record('client gets', id=request_id, status=status)


def most_in_window(pairs, window_s):
    """Return (count, begin) of the window with most (sent, arrived) in it."""
    best = (0, 0.0)
    arrivals = sorted(pairs, key=lambda pair: pair[1])
    ends = [arrived for _, arrived in arrivals]
    for begin in sorted(sent for sent, _ in pairs):
        last = bisect.bisect_right(ends, begin + window_s)
        count = sum(sent >= begin for sent, _ in arrivals[:last])
        best = max(best, (count, begin))
    return best


async def case(record, ended):
    rng = random.Random(1)
    store = await st.Store(record).start()
    servers = [
        await PausingServer(
            record,
            store,
            's%d' % number,
            'loja',
            PLACES[number],
            st.host(31 + number),
            work_s=0.05,
            slots=9,
        ).start()
        for number in range(SERVERS)
    ]
    rule = st.route('browse', '/browse/', 'loja', 'safe', 2000)
    rule['Public'] = False
    config = st.configuration(1, st.HOST, [rule], ('loja',))
    config['Tenants'] = [
        {
            'Name': 'cuka620',
            'ApiKeys': [KEY],
            'Priority': 1,
            'RatePerS': RATE,
            'Burst': BURST,
            'HomeRegions': [],
        }
    ]
    await store.put('op/config', config)
    instances = [
        st.Instance(
            record,
            store,
            'front-%d' % number,
            place,
            st.host(11 + number),
            st.ZONES,
            BOUNDS,
            LIMITS,
        )
        for number, place in enumerate(PLACES)
    ]
    ended += instances
    seeds = [item.control for item in instances[:3]]
    for item in instances:
        item.fields['Seeds'] = seeds
        await item.start()
    for item in instances:
        await item.wait_ready(40)
    # Longer than a window, until all know one another.
    await asyncio.sleep(12)

    clients = Clients(record, instances)
    tasks = []
    start = record.now()
    number, pausing = 0, False
    while record.now() < start + WARM_UP_S + PAUSE_S + AFTER_S:
        number += 1
        item = rng.choice(instances)
        tasks.append(asyncio.ensure_future(clients.ask(item)))
        if not pausing and record.now() > start + WARM_UP_S:
            pausing = True
            for server in servers if st.TROUBLE else ():
                server.paused_until = time.monotonic() + PAUSE_S
                record('server pauses', server=server.id, for_s=PAUSE_S)
        await asyncio.sleep(max(start + number / PER_S - record.now(), 0))
    await asyncio.wait(tasks, timeout=5)

    pairs = [
        (clients.sent[request_id], at)
        for server in servers
        for at, request_id in server.arrivals
        if any(run_id == request_id for _, run_id in server.runs)
    ]
    window_s = BOUNDS['QuotaWindowS']
    bound = (RATE * window_s + BURST) * (1 + BOUNDS['QuotaOverage'])
    bound += BOUNDS['QuotaSlack']
    count, begin = most_in_window(pairs, window_s)
    record('summary', sent=number, ran=len(pairs), **clients.statuses)
    record(
        'summary',
        most_in_a_window=count,
        bound=bound,
        window_begins='%.3f' % begin,
        pause_begins='%.3f' % (start + WARM_UP_S),
    )
    if len(pairs) < 100:
        raise st.CannotRun('too few requests ran')
    if count > bound:
        return [
            'QUOTA: %d requests of the tenant in %g s, at most %g are allowed'
            % (count, window_s, bound)
        ]
    return []


if __name__ == '__main__':
    st.run_case(pathlib.Path(__file__).resolve().parent, case)
