"""A server goes down and up by turns, under its id: how much does it get?

Three instances, 24 servers of one service, a store. Clients send about as much
as the servers can do. With trouble one server at a time is down for 1.4 s and
up for 1.4 s, twice in turn, and 1.7 times as much is sent for 3 s around its
first return. It starts cold, under its id and at its address, and writes its
entry, with ``ColdLeftMs``, before it accepts the first connection. With
TROUBLE=0 there is neither.
"""

import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins2 as kit  # noqa: E402

# With TROUBLE=0 in the environment there is no disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

SERVERS = 24
SLOTS = 3
WORK_S = 0.88
USUAL = 1.0
# The burst: how much more, when it begins before a server goes down, for how
# long.
BURST_X = 1.7
BURST_BEFORE_S = 1.2
BURST_S = 3.0
# When one server after the other begins to go down and up, how long it is down
# and up each time, and how often.
FLAPS_S = (4.0, 15.0, 26.0, 37.0, 48.0)
GAP_S = 1.4
TURNS = 2
COLD_S = 3.0
COLD_PER_S = 2.1
COLD_SLACK = 8
INSTANCES = 3
# The bound of the rule: ColdPerS x ColdOver + ColdSlack.
BOUND = COLD_PER_S * 1.5 + COLD_SLACK
# A cold server crashes "at a rate well above that".
CRASH_AT = 1.5 * BOUND


async def main(case):
    events, crashes = [], []

    def on_event(server, what, headers):
        request_id = headers.get('x-request-id', '')
        case.record('%s: %s %s', server.name, request_id, what)
        if what != 'arrives' or kit.now() >= server.cold_until:
            return
        events.append((kit.now(), server.name, request_id))
        recent = [
            row
            for row in events[-100:]
            if row[1] == server.name and row[0] > kit.now() - 1.0
        ]
        if len(recent) > CRASH_AT and server in up:
            up.discard(server)
            crashes.append(server.name)
            case.record.say('%s crashes, as it is cold', server.name)
            asyncio.get_running_loop().call_soon(server.crash)

    rng = random.Random(8)
    items = []
    for number in range(SERVERS):
        item = kit.Server(
            'i-%02d' % number,
            'loja',
            lambda path, headers: WORK_S * rng.uniform(0.85, 1.15),
            lambda path, headers: b'x' * 400,
            slots=SLOTS,
        )
        item.on_event = on_event
        items.append(item)
        await item.start()
    rules = [
        kit.rule('vitrine', '/browse/', 'loja', TimeoutMs=2500),
        kit.rule('pedido', '/order/', 'loja', 'unsafe', TimeoutMs=2500),
    ]
    doc = kit.configuration(1, rules, ['loja'], COLD_PER_S)
    case.store.put('op/config', doc)
    up = set(items)

    def report(item):
        case.store.put('servers/' + item.name, item.entry())

    async def beat(item):
        while True:
            if item in up:
                report(item)
            await asyncio.sleep(1.5)

    beats = [asyncio.create_task(beat(item)) for item in items]
    await case.start_instances(INSTANCES, cold_slack=COLD_SLACK)

    sent_at = {}
    statuses = {}

    async def send(number, attempt=0):
        kind, method = ('order', 'POST') if number % 4 == 0 else ('browse', 'GET')
        request_id = 'r%06d-%d' % (number, attempt)
        port = case.instances[rng.randrange(INSTANCES)].ports['caller']
        head = [('X-Request-Id', request_id), ('X-Timeout-Ms', '4000')]
        sent_at[request_id] = kit.now()
        case.record('%s sent to port %d', request_id, port)
        try:
            answer = await kit.get(
                port, '/%s/%d' % (kind, number), head, method
            )
        except (OSError, asyncio.TimeoutError):
            answer = kit.Answer(0, {}, b'')
        case.record('%s %s answered %d', request_id, kind, answer.status)
        statuses[answer.status] = statuses.get(answer.status, 0) + 1

    async def clients():
        per_s = USUAL * SERVERS * SLOTS / WORK_S
        number = 0
        while True:
            asyncio.create_task(send(number))
            number += 1
            at = kit.now() - began + BURST_BEFORE_S
            in_burst = any(0 <= at - begin < BURST_S for begin in FLAPS_S)
            x = BURST_X if case.trouble and in_burst else 1.0
            await asyncio.sleep(rng.expovariate(per_s * x))

    began = kit.now()
    load = asyncio.create_task(clients())
    for turn, at in enumerate(FLAPS_S):
        await asyncio.sleep(began + at - kit.now())
        if not case.trouble:
            continue
        item = items[turn % SERVERS]
        for _ in range(TURNS):
            if item in up:
                up.discard(item)
                item.crash()
            case.record.say('%s crashes', item.name)
            await asyncio.sleep(GAP_S)
            item.cold_until = kit.now() + COLD_S
            item.prepare()
            report(item)
            up.add(item)
            await item.start(item.born)
            case.record.say('%s is back, cold', item.name)
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(5.0)
    load.cancel()
    for task in beats:
        task.cancel()
    await asyncio.sleep(0.3)

    worst = (0, 0.0, '')
    for name in {row[1] for row in events}:
        rows = [row for row in events if row[1] == name]
        for begin in sorted(sent_at[row[2]] for row in rows):
            # Sent and arrived inside that second.
            window = [
                row
                for row in rows
                if sent_at[row[2]] >= begin and row[0] < begin + 1.0
            ]
            worst = max(worst, (len(window), begin - began, name))
    case.record.say('trouble %s, answers: %s', case.trouble, statuses)
    case.record.say(
        'most at a cold server in a second: %d (%s, from %.2f s); the bound '
        'is %.2f',
        worst[0],
        worst[2],
        worst[1],
        BOUND,
    )
    case.record.say('crashes of cold servers: %d', len(crashes))
    if case.ended():
        raise kit.NotRunnable('ended: %s' % case.ended())
    return worst[0] > BOUND


if __name__ == '__main__':
    kit.run(HERE, main, TROUBLE)
