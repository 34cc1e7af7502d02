"""A leaving instance cuts off pipelined requests that servers run."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st  # noqa: E402

# Answers of the directory hold for TtlS; some clients keep them three times
# as long: here each third one. They ask at times spread over that span.
CLIENTS = 12
LONG = 3
KEEP_FACTOR = 3
# Requests under way on a connection, and the pause between the first ones.
AHEAD = 4
PAUSE_S = 0.1


class Client:
    """Keeps some safe requests under way on one connection."""

    def __init__(self, number, record, instances, state):
        self.number = number
        self.record = record
        self.directories = instances
        self.state = state
        self.asked_at = None
        self.keep_s = None
        self.addresses = ()

    async def look_up(self):
        path = '/api/resolve?Name=%s&Region=sul&Zone=blumenau-a' % st.HOST
        for item in self.directories:
            try:
                status, _, body = await asyncio.wait_for(
                    st.get(item.host, item.ports['Directory'], path), 1.0
                )
            except (OSError, st.Closed, asyncio.TimeoutError):
                continue
            if status == 200:
                answer = st.json.loads(body)
                ttl_s = min(answer['TtlS'], st.BOUNDS['ttl_max_s'])
                self.asked_at = self.record.now()
                self.keep_s = ttl_s
                if self.number % LONG == 0:
                    self.keep_s = KEEP_FACTOR * ttl_s
                self.addresses = answer['Addrs']
                self.record(
                    'directory says', client=self.number, addrs=answer['Addrs']
                )
                return

    def is_old(self):
        return self.record.now() >= self.asked_at + self.keep_s

    async def run(self, wait_s):
        await asyncio.sleep(wait_s)
        await self.look_up()
        while not self.state['end']:
            # Clients pick one of the addresses at random; here half of them
            # begin with each.
            address = self.addresses[self.number % len(self.addresses)]
            await self.use(address)

    async def use(self, address):
        """Use one connection until it ends or its address is not named."""
        host, _, port = address.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.2)
            await self.look_up()
            return
        waiting = []
        in_use = True
        try:
            for _ in range(AHEAD):
                waiting.append(self.send(writer, address))
                await asyncio.sleep(PAUSE_S)
            while True:
                if in_use and self.is_old():
                    await self.look_up()
                    in_use = address in self.addresses
                in_use = in_use and not self.state['end']
                while in_use and len(waiting) < AHEAD:
                    waiting.append(self.send(writer, address))
                if not waiting:
                    return
                try:
                    line, headers, _ = await asyncio.wait_for(
                        st.read_message(reader), 4.0
                    )
                except (st.Closed, ConnectionError, asyncio.TimeoutError):
                    for request_id in waiting:
                        self.record('client gets no answer', id=request_id)
                        self.state['unanswered'][
                            request_id
                        ] = self.record.now()
                    return
                request_id = waiting.pop(0)
                self.record(
                    'client gets', id=request_id, status=line.split(' ')[1]
                )
                if headers.get('connection', '').lower() == 'close':
                    # Those behind it count as not read, and are sent again.
                    for behind in waiting:
                        self.record('client sends again', id=behind)
                    return
        finally:
            writer.close()

    def send(self, writer, address):
        request_id = st.new_id()
        self.state['sent'][request_id] = (self.record.now(), address)
        writer.write(
            st.request_bytes(
                'GET',
                st.HOST,
                '/browse/%d' % self.number,
                {'X-Request-Id': request_id, 'X-Timeout-Ms': '4000'},
            )
        )
        self.record(
            'client sends', id=request_id, client=self.number, to=address
        )
        return request_id


async def case(record, ended):
    store = await st.Store(record).start()
    servers = [
        await st.Server(
            record, store, 's%d' % number, 'loja', zone, host, work_s=0.4
        ).start()
        for number, (zone, host) in enumerate(
            (
                ('blumenau-a', st.host(31)),
                ('blumenau-b', st.host(32)),
                ('blumenau-a', st.host(33)),
                ('blumenau-b', st.host(34)),
            )
        )
    ]
    rules = [st.route('browse', '/browse/', 'loja', timeout_ms=2500)]
    await store.put(
        'op/config', st.configuration(1, st.HOST, rules, ('loja',))
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
    await asyncio.sleep(8)

    state = {'sent': {}, 'unanswered': {}, 'end': False}
    clients = [
        Client(number, record, instances, state) for number in range(CLIENTS)
    ]
    step = 6.0 / CLIENTS
    tasks = [
        asyncio.ensure_future(client.run(step * number))
        for number, client in enumerate(clients)
    ]
    await asyncio.sleep(8)
    # Just after a client has asked anew, its instance is told to stop.
    found = clients[0]
    before = found.asked_at
    while found.asked_at == before:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    leaving = next(
        item
        for item in instances
        if '%s:%d' % (item.host, item.ports['Front'])
        == found.addresses[found.number % len(found.addresses)]
    )
    front = '%s:%d' % (leaving.host, leaving.ports['Front'])
    told_at = record.now()
    if st.TROUBLE:
        leaving.signal(signal.SIGTERM)
    grace_s = st.BOUNDS['GraceS']
    await asyncio.sleep(grace_s)
    if st.TROUBLE:
        record('instance ended', code=leaving.process.returncode)
        leaving.signal(signal.SIGKILL)
    await asyncio.sleep(1.5)
    state['end'] = True
    await asyncio.wait(tasks, timeout=6)

    reached = {
        request_id: (at, server)
        for server in servers
        for at, request_id in server.arrivals
    }
    lost = []
    for request_id, at in state['unanswered'].items():
        sent_at, address = state['sent'][request_id]
        if address != front or request_id not in reached:
            continue
        # Not from a request that has used its time, nor one sent no later
        # than 3 s after the SIGTERM whose server was at work to the end.
        if at - sent_at >= 2.5 or sent_at <= told_at + 3:
            continue
        if told_at <= at <= told_at + grace_s + 1:
            lost.append(request_id)
            record(
                'lost',
                id=request_id,
                sent_after_term='%.3f' % (sent_at - told_at),
                reached_server_after_term='%.3f'
                % (reached[request_id][0] - told_at),
                connection_ended_after_term='%.3f' % (at - told_at),
            )
    record('summary', sent=len(state['sent']), lost=len(lost))
    if len(state['sent']) < 50:
        raise st.CannotRun('too few requests')
    if lost:
        return [
            'LOST: after a SIGTERM %d requests that servers had received'
            ' got no answer' % len(lost)
        ]
    return []


if __name__ == '__main__':
    st.run_case(pathlib.Path(__file__).resolve().parent, case)
