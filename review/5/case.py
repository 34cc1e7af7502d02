"""A helper that stands still keeps the requests of a cut-off instance."""

import asyncio
import itertools
import os
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st  # noqa: E402

# Of sites/kedjeverk-nord.toml.
ZONES = {
    'mid-a': 'se-mid',
    'nord-a': 'se-nord',
    'syd-a': 'se-syd',
    'mid-b': 'se-mid',
    'nord-b': 'se-nord',
    'syd-b': 'se-syd',
}
BOUNDS = {**st.BOUNDS, 'StabilityWindowMs': 4000, 'MaxStretchMs': 6000}
BOUNDS['RetryBurst'] = 64
# The site's twelve machines, by zone.
PLACES = (
    ['mid-a'] * 2
    + ['nord-a'] * 3
    + ['syd-a'] * 3
    + ['mid-b', 'nord-b']
    + ['syd-b'] * 2
)
PER_S = 20
TIMEOUT_MS = 1000
CUT_S = 8.0
FREEZE_S = 4.0


def _hex(address):
    number = int.from_bytes(socket.inet_aton(address[0]), sys.byteorder)
    return b'%08X:%04X' % (number, address[1])


def owner(writer, processes):
    """Return the name of the process at the other end of a connection."""
    ends = [writer.get_extra_info(key) for key in ('peername', 'sockname')]
    needle = b' '.join(map(_hex, ends)) + b' 01 '
    table = pathlib.Path('/proc/net/tcp').read_bytes()
    found = table.partition(needle)[2].partition(b'\n')[0].split()
    if not found:
        return None
    inode = 'socket:[%s]' % found[5].decode()
    for name, process in processes.items():
        folder = '/proc/%d/fd' % process.pid
        for number in os.listdir(folder):
            try:
                if os.readlink('%s/%s' % (folder, number)) == inode:
                    return name
            except OSError:
                continue
    return None


class CutServer(st.Server):
    """A server whose connections with one instance may be reset."""

    processes = {}
    cut = None

    async def _serve(self, reader, writer):
        if self.cut and owner(writer, self.processes) == self.cut:
            self.record('reset', server=self.id, instance=self.cut)
            writer.transport.abort()
            return
        await super()._serve(reader, writer)

    def reset(self, name):
        for writer in list(self._writers):
            if owner(writer, self.processes) == name:
                writer.transport.abort()


async def case(record, ended):
    store = await st.Store(record).start()
    servers = [
        await CutServer(
            record, store, 's%d' % n, 'app', zone, st.host(31 + n), 0.1, 8
        ).start()
        for n, zone in enumerate(
            ('mid-a', 'mid-b', 'nord-a', 'nord-b', 'mid-a', 'nord-a')
        )
    ]
    rule = st.route('board', '/board/', 'app', 'safe', TIMEOUT_MS)
    await store.put('op/config', st.configuration(1, st.HOST, [rule], ['app']))
    instances = [
        st.Instance(
            record,
            store,
            'front-%s-%d' % (place, n),
            place,
            st.host(11 + n),
            ZONES,
            BOUNDS,
        )
        for n, place in enumerate(PLACES)
    ]
    ended += instances
    cut, helper, *others = instances
    turns = itertools.cycle(others)
    seeds = [others[0].control, others[3].control, others[6].control]
    for item in instances:
        item.fields['Seeds'] = seeds
        await item.start()
    CutServer.processes = {one.name: one.process for one in instances}
    for item in instances:
        await item.wait_ready(40)
    await asyncio.sleep(8)

    results, tasks = [], []

    async def ask(item):
        request_id = st.new_id()
        sent_at = record.now()
        record('client sends', id=request_id, to=item.name)
        headers = {'X-Request-Id': request_id, 'X-Timeout-Ms': '2500'}
        try:
            status, _, _ = await asyncio.wait_for(
                st.get(
                    item.host,
                    item.ports['Front'],
                    '/board/x',
                    headers,
                    st.HOST,
                ),
                2.5,
            )
        except (OSError, st.Closed, asyncio.TimeoutError) as exc:
            status = type(exc).__name__
        results.append((item.name, sent_at, status))
        record('client gets', id=request_id, status=status)

    async def traffic():
        while True:
            tasks.append(asyncio.ensure_future(ask(cut)))
            tasks.append(asyncio.ensure_future(ask(next(turns))))
            await asyncio.sleep(1 / PER_S)

    sending = asyncio.ensure_future(traffic())
    await asyncio.sleep(5)
    began = record.now()
    CutServer.cut = cut.name
    for server in servers:
        server.reset(cut.name)
    record('cut begins', instance=cut.name)
    stable_s = BOUNDS['StabilityWindowMs'] / 1000
    await asyncio.sleep(stable_s)
    if st.TROUBLE:
        helper.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if st.TROUBLE:
        helper.signal(signal.SIGCONT)
    await asyncio.sleep(max(began + CUT_S - record.now(), 0))
    CutServer.cut = None
    record('cut ends', instance=cut.name)
    await asyncio.sleep(3)
    sending.cancel()
    await asyncio.wait(tasks, timeout=4)

    shares = {}
    for is_cut in (True, False):
        found = [
            status == 200
            for where, at, status in results
            if (where == cut.name) == is_cut
            and began + stable_s <= at <= began + CUT_S
        ]
        shares[is_cut] = (sum(found), len(found))
        record('summary', cut=is_cut, served=sum(found), sent=len(found))
    served, sent = shares[True]
    other_served, other_sent = shares[False]
    if sent < 40 or other_served < 40:
        raise st.CannotRun('too few requests')
    low = served / sent < 2 / 3 * other_served / other_sent
    if low and sent - served > 10 + sent / 50:
        return [
            'RECOVER: %d of %d first tries served at the instance without a'
            ' path, %d of %d at the others'
            % (served, sent, other_served, other_sent)
        ]
    return []


if __name__ == '__main__':
    st.run_case(pathlib.Path(__file__).resolve().parent, case)
