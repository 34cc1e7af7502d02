"""An unreadable entry under servers/ stops configurations and evacuations."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st  # noqa: E402

# Bytes that no reader of JSON can read: lists within lists, never closed.
DEPTH = 100_000


async def caller(record, instance, runs, until):
    """Send ten requests a second, each on a new connection."""
    while record.now() < until():
        request_id = st.new_id()
        runs[request_id] = record.now()
        headers = {'X-Request-Id': request_id, 'X-Timeout-Ms': '4000'}
        record('client sends', id=request_id, to=instance.name)
        try:
            status, _, _ = await asyncio.wait_for(
                st.get(
                    instance.host,
                    instance.ports['Front'],
                    '/browse/x',
                    headers,
                    st.HOST,
                ),
                4.0,
            )
        except (OSError, st.Closed, asyncio.TimeoutError) as exc:
            status = repr(exc)
        record('client gets', id=request_id, status=status)
        await asyncio.sleep(0.1)


async def other_writer(store):
    """Write one entry that can't be read, again at each heartbeat."""
    number = 0
    while True:
        number += 1
        value = b'[' * DEPTH + b'%d' % number
        await store.put('servers/other-writer', value)
        await asyncio.sleep(st.HEARTBEAT_S)


async def case(record, ended):
    store = await st.Store(record).start()
    servers = [
        await st.Server(record, store, name, service, zone, host).start()
        for name, service, zone, host in (
            ('s-loja-a', 'loja', 'blumenau-a', st.host(31)),
            ('s-loja-b', 'loja', 'blumenau-b', st.host(32)),
            ('s-oficina-a', 'oficina', 'blumenau-a', st.host(33)),
            ('s-oficina-b', 'oficina', 'blumenau-b', st.host(34)),
        )
    ]
    services = ('loja', 'oficina')
    rules = [st.route('browse', '/browse/', 'loja')]
    await store.put('op/config', st.configuration(1, st.HOST, rules, services))
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

    sent, end = {}, [float('inf')]
    tasks = [
        asyncio.ensure_future(caller(record, item, sent, lambda: end[0]))
        for item in instances
    ]
    await asyncio.sleep(3)
    if st.TROUBLE:
        tasks.append(asyncio.ensure_future(other_writer(store)))
    await asyncio.sleep(5)
    evacuated = await store.put('op/evacuate/blumenau-b', {})
    await asyncio.sleep(8)
    rules = [st.route('browse', '/browse/', 'oficina')]
    changed = await store.put(
        'op/config', st.configuration(2, st.HOST, rules, services)
    )
    await asyncio.sleep(12)
    end[0] = record.now()
    await asyncio.sleep(1)
    for task in tasks:
        task.cancel()

    # Later than ApplyMs after the acknowledgement of version 2.
    apply_s = st.BOUNDS['ApplyMs'] / 1000
    old = [
        (server.id, request_id)
        for server in servers
        if server.service == 'loja'
        for _, request_id in server.runs
        if sent[request_id] > changed + apply_s
    ]
    late = [
        request_id for request_id, at in sent.items() if at > changed + apply_s
    ]
    in_zone = [
        request_id
        for server in servers
        if server.zone == 'blumenau-b'
        for at, request_id in server.arrivals
        if at > evacuated + st.BOUNDS['EvacuationMs'] / 1000
    ]
    record('summary', sent_later=len(late), run_by_old_service=len(old))
    record('summary', reached_evacuated_zone_late=len(in_zone))
    if len(late) < 20:
        raise st.CannotRun('too few requests after the bound')
    if old:
        return [
            'CONFIG: %d of %d requests sent later than ApplyMs after the'
            ' acknowledgement of version 2 were run by the old service; %d'
            ' requests reached the evacuated zone after EvacuationMs'
            % (len(old), len(late), len(in_zone))
        ]
    return []


if __name__ == '__main__':
    st.run_case(pathlib.Path(__file__).resolve().parent, case)
