"""One process of the open-loop load of ``deployment.py``.

Usage: ``python bench/deployment_load.py SPEC_FILE WORKER``. Requests are due
at times drawn beforehand (Poisson), and latency counts from the due time.
Callers follow look-up answers, which they refresh before these run out, and
use the next listed instance when one cannot be reached or is leaving. The
latency between a client and an instance is a delay before sending and after
receiving, and one round trip more on a new connection.
"""

import asyncio
import itertools
import json
import random
import sys
import time

import h11

# A request that would exceed this number outstanding is counted as not sent.
OUTSTANDING_MAX = 4000
REFRESH_PART = 0.75
GIVE_UP_S = 12.0
CONNECT_S = 1.0


class Conn(asyncio.Protocol):
    """One client connection, used by one request at a time."""

    def __init__(self):
        self.http = h11.Connection(h11.CLIENT)
        self.transport = None
        self.waiter = None
        self.answer = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc):
        """Fail the request in flight."""
        self._fail(ConnectionError('closed'))

    def data_received(self, data):
        """Read the answer."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    self.answer = (
                        event.status_code,
                        dict(event.headers),
                        bytearray(),
                    )
                elif isinstance(event, h11.Data):
                    self.answer[2].extend(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    waiter, self.waiter = self.waiter, None
                    if waiter is not None and not waiter.done():
                        waiter.set_result(self.answer)
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    self._fail(ConnectionError('closed'))
                    return
        except h11.RemoteProtocolError:
            self._fail(ConnectionError('malformed'))

    def _fail(self, exc):
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(exc)
        self.transport.abort()

    async def ask(self, method, target, headers, body=b''):
        """Send a request and return ``(status, headers, body)``."""
        if self.http.our_state is not h11.IDLE:
            self.http.start_next_cycle()
        if body:
            headers = headers + [('content-length', str(len(body)))]
        send = self.http.send
        data = send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += send(h11.Data(data=body))
        data += send(h11.EndOfMessage())
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self.waiter

    @property
    def reusable(self):
        """Whether another request may follow."""
        return (
            not self.transport.is_closing()
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
        )


class Worker:
    """The load of the client blocks that belong to one process."""

    def __init__(self, spec, number):
        self.spec = spec
        self.blocks = [
            block for block in spec['blocks'] if block['worker'] == number
        ]
        self.weight = sum(block['weight'] for block in self.blocks)
        self.rng = random.Random(spec['seed'] * 100 + number)
        self.number = number
        self.idle = {}
        self.listed = {}
        self.records = []
        self.outstanding = 0
        self.numbers = itertools.count()

    async def run(self):
        """Send all requests and write the records."""
        tasks = set()
        for phase in self.spec['phases']:
            rate = phase['rps'] * self.weight
            due = phase['start']
            while True:
                due += self.rng.expovariate(rate)
                if due >= phase['end']:
                    break
                left = due - time.monotonic()
                if left > 0:
                    await asyncio.sleep(left)
                block = self.rng.choices(
                    self.blocks, [b['weight'] for b in self.blocks]
                )[0]
                task = asyncio.ensure_future(
                    self.one(due, block, phase['name'], phase['direct'])
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=GIVE_UP_S)
        path = '%s/load-%d.json' % (self.spec['out'], self.number)
        with open(path, 'w') as file:
            json.dump(self.records, file)

    async def one(self, due, block, phase, direct):
        """Send one request and record its end."""
        names = list(self.spec['services'])
        shares = [self.spec['services'][name]['share'] for name in names]
        service = self.rng.choices(names, shares)[0]
        order = self.rng.random() < self.spec['orders']
        kind = 'order' if order else 'look-up'
        outcome = 'not-sent'
        info = {}
        late = time.monotonic() - due
        if self.outstanding < OUTSTANDING_MAX:
            self.outstanding += 1
            try:
                outcome, info = await asyncio.wait_for(
                    self._send(service, block, order, direct), GIVE_UP_S
                )
            except asyncio.TimeoutError:
                outcome = 'no-answer'
            finally:
                self.outstanding -= 1
        self.records.append(
            [due, phase, kind, service, block['region'], outcome]
            + [time.monotonic() - due, info.get('retry_after')]
            + [info.get('upstream'), info.get('kind'), late]
        )

    async def _send(self, service, block, order, direct):
        headers = [
            ('host', service + '.example'),
            ('jasminehold-deadline', '8000'),
            ('x-block', block['address']),
        ]
        method, target, body = 'GET', '/item/%d' % next(self.numbers), b''
        if order:
            key = 'k-%d-%d-%d' % (
                self.spec['seed'],
                self.number,
                next(self.numbers),
            )
            method, target, body = 'POST', '/order', key.encode()
            headers.append(('idempotency-key', key))
        if direct:
            found = [
                one
                for one in self.spec['upstreams'].values()
                if one['service'] == service
            ]
            targets = [self.rng.choice(found)]
        else:
            targets = await self._instances(service, block)
        info = {'kind': 'unreachable'}
        for target_at in targets:
            try:
                status, values, _ = await self._ask(
                    block, target_at, method, target, headers, body
                )
            except (OSError, asyncio.TimeoutError):
                continue
            info = {
                'upstream': values.get(b'x-upstream', b'').decode(),
                'kind': values.get(b'jasminehold-error', b'').decode(),
                'retry_after': values.get(b'retry-after', b'').decode(),
            }
            if info['kind'] == 'leaving':
                continue
            if status < 300:
                return 'ok', info
            run = values.get(b'jasminehold-run')
            return ('refused' if run == b'not-run' else 'failed'), info
        return 'failed', info

    async def _ask(self, block, at, method, target, headers, body=b''):
        travel = self.spec['client_s']
        if self.spec['regions'][at['place']] != block['region']:
            travel += self.spec['far_s']
        address = (at['host'], at['port'])
        pool = self.idle.setdefault((block['address'], address), [])
        conn = None
        while pool and conn is None:
            conn = pool.pop()
            if not conn.reusable:
                conn = None
        if conn is None:
            await asyncio.sleep(2 * travel)
            loop = asyncio.get_running_loop()
            _, conn = await asyncio.wait_for(
                loop.create_connection(
                    Conn, *address, local_addr=(block['address'], 0)
                ),
                CONNECT_S,
            )
        await asyncio.sleep(travel)
        try:
            answer = await conn.ask(method, target, headers, body)
        except BaseException:
            conn.transport.abort()
            raise
        if conn.reusable:
            pool.append(conn)
        else:
            conn.transport.close()
        await asyncio.sleep(travel)
        return answer

    async def _instances(self, service, block):
        """Return the listed instances; they are asked for anew in time."""
        key = (service, block['address'])
        found = self.listed.get(key)
        now = time.monotonic()
        if found is None or found[1] <= now:
            if found is None or found[2] is None:
                task = asyncio.ensure_future(self._look_up(key, block))
                self.listed[key] = (found[0] if found else [], 0.0, task)
            else:
                task = found[2]
            await asyncio.shield(task)
            found = self.listed[key]
        elif found[2] is None and now >= found[3]:
            task = asyncio.ensure_future(self._look_up(key, block))
            self.listed[key] = found[:2] + (task,) + found[3:]
        return found[0]

    async def _look_up(self, key, block):
        service, address = key
        known = list(self.listed.get(key, ([],))[0])
        others = list(self.spec['instances'].values())
        self.rng.shuffle(others)
        own = [o for o in others if o['region'] == block['region']]
        rest = [o for o in others if o['region'] != block['region']]
        target = '/v1/lookup?service=%s&block=%s' % key
        for at in known + own + rest:
            asked = time.monotonic()
            try:
                status, _, body = await asyncio.wait_for(
                    self._ask(block, at, 'GET', target, [('host', 'lookup')]),
                    CONNECT_S,
                )
            except (OSError, asyncio.TimeoutError):
                continue
            if status != 200:
                continue
            answer = json.loads(bytes(body))['answers'][0]
            ttl = answer['ttl']
            self.listed[key] = (
                answer['instances'],
                asked + ttl,
                None,
                asked + ttl * REFRESH_PART,
            )
            return
        self.listed[key] = ([], 0.0, None, 0.0)


def main(argv):
    """Run one worker."""
    with open(argv[0]) as file:
        spec = json.load(file)
    asyncio.run(Worker(spec, int(argv[1])).run())


if __name__ == '__main__':
    main(sys.argv[1:])
