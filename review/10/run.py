"""A helping instance freezes: on how many servers does a request run?

Twelve instances, 24 servers, a store; the route allows one server for each
request (``MaxAttempts`` 1). One instance is partitioned from all servers for
some seconds, so its requests go through the others. One of these at a time is
frozen for 2 s. With TROUBLE=0 neither happens.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins2 as kit  # noqa: E402

# With TROUBLE=0 in the environment there is no disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

INSTANCES = 12
SERVERS = 24
SLOTS, QUEUE = 3, 9
PER_S = 50.0
WORK_S = 1.2
MAX_ATTEMPTS = 1
# When the cut begins and for how long; when the freezes begin, and for how
# long.
CUT_S = (4.0, 12.0)
FREEZES_S = (6.0, 8.1, 10.2, 12.3, 14.4)
FROZEN_S = 2.0
LENGTH_S = 19.0


async def main(case):
    ran = {}

    def on_event(server, what, headers):
        request_id = headers.get('x-request-id', '')
        case.record('%s: %s %s', server.name, request_id, what)
        if what == 'runs':
            ran.setdefault(request_id, []).append(server.name)

    items = []
    for number in range(SERVERS):
        item = kit.Server(
            'i-%02d' % number,
            'loja',
            lambda path, headers: WORK_S,
            lambda path, headers: b'done ' + path.encode(),
            slots=SLOTS,
            queue=QUEUE,
        )
        item.on_event = on_event
        await item.start()
        items.append(item)
    rules = [
        kit.rule('vitrine', '/browse/', 'loja', MaxAttempts=MAX_ATTEMPTS),
    ]
    case.store.put('op/config', kit.configuration(1, rules, ['loja']))

    # The first instance reaches the servers over paths that can be cut.
    paths = {item.name: kit.Path(item) for item in items}
    for path in paths.values():
        await path.open()

    def view(key, value):
        if not key.startswith('servers/'):
            return value
        doc = json.loads(base64.b64decode(value))
        doc['Addr'] = '%s:%d' % (kit.HOST, paths[key[len('servers/') :]].port)
        return base64.b64encode(json.dumps(doc).encode()).decode()

    def report():
        for item in items:
            case.store.put('servers/' + item.name, item.entry())

    async def beat():
        while True:
            report()
            await asyncio.sleep(1.5)

    beats = asyncio.create_task(beat())
    ports = [await case.store.listen(view)]
    ports += [case.store.port] * (INSTANCES - 1)
    await case.start_instances(INSTANCES, ports)

    statuses = {}
    sent_at = {}
    cut_at = []

    async def send(number):
        request_id = 'r%06d' % number
        port = case.instances[0].ports['caller']
        head = [('X-Request-Id', request_id), ('X-Timeout-Ms', '8000')]
        case.record('%s sent to port %d', request_id, port)
        sent_at[request_id] = kit.now()
        try:
            answer = await kit.get(port, '/browse/%d' % number, head)
        except (OSError, asyncio.TimeoutError):
            answer = kit.Answer(0, {}, b'')
        case.record('%s answered %d', request_id, answer.status)
        statuses[answer.status] = statuses.get(answer.status, 0) + 1

    async def cut():
        await asyncio.sleep(CUT_S[0])
        for path in paths.values():
            path.cut()
        cut_at.append(kit.now())
        case.record.say('%s is cut off from all servers', case.instances[0].id)
        await asyncio.sleep(CUT_S[1])
        for path in paths.values():
            await path.open()
        case.record.say('the cut is over')

    async def freeze():
        began = kit.now()
        for turn, at in enumerate(FREEZES_S):
            await asyncio.sleep(began + at - kit.now())
            helper = case.instances[1 + turn]
            os.kill(helper.process.pid, signal.SIGSTOP)
            case.record.say('%s is frozen', helper.id)
            await asyncio.sleep(FROZEN_S)
            os.kill(helper.process.pid, signal.SIGCONT)
            case.record.say('%s goes on', helper.id)

    troubles = []
    if case.trouble:
        troubles = [asyncio.create_task(cut()), asyncio.create_task(freeze())]
    rng = random.Random(9)
    tasks = []
    began = kit.now()
    while kit.now() - began < LENGTH_S:
        tasks.append(asyncio.create_task(send(len(tasks))))
        await asyncio.sleep(rng.expovariate(PER_S))
    await asyncio.gather(*tasks, *troubles)
    beats.cancel()
    await asyncio.sleep(0.5)

    # "Servers that ended or were cut off meanwhile don't count": these are the
    # requests that were sent later than the cut, which the helping instances
    # passed on over paths that nothing disturbs.
    over = {
        request_id: names
        for request_id, names in ran.items()
        if len(set(names)) > MAX_ATTEMPTS
        and sent_at[request_id] > max(cut_at, default=began) + 1.0
    }
    case.record.say('trouble %s, answers: %s', case.trouble, statuses)
    for request_id, names in list(over.items())[:5]:
        case.record.say('%s ran on %s', request_id, names)
    case.record.say(
        'requests that ran on more than %d server: %d; more than three break '
        'the rule',
        MAX_ATTEMPTS,
        len(over),
    )
    if case.ended():
        raise kit.NotRunnable('ended: %s' % case.ended())
    return len(over) > 3


if __name__ == '__main__':
    kit.run(HERE, main, TROUBLE)
