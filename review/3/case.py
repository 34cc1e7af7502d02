"""A leaving instance ends before slow readers have their whole answers."""

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as st  # noqa: E402

# sites: demands/reservandes-grown.toml
ZONES = {
    'cusco-a': 'sur-andino',
    'arequipa-b': 'sur-andino',
    'lima-a': 'costa-centro',
    'ica-b': 'costa-centro',
    'tarapoto-a': 'norte-selva',
    'iquitos-b': 'norte-selva',
}
BOUNDS = {
    **st.BOUNDS,
    'StabilityWindowMs': 4000,
    'AckMs': 5000,
    'SyncS': 6,
    'DrainMs': 3000,
    'ApplyMs': 3000,
    'MaxStretchMs': 6000,
    'RetryBurst': 170,
    'ColdSlack': 8,
}
LIMITS = {'CpuShare': 0.43, 'MemoryMb': 200, 'LinkMbps': 5.0}
# The largest permit-pack of the site has 540,000 bytes; the client reads it
# as over a line of 0.8 Mbit/s.
SIZE = 500_000
BYTES_PER_S = 100_000
DOWNLOADS = 10
DEADLINE_MS = 8430
TIMEOUT_MS = 6000
# Segments as on an Ethernet, not of 64 KB as on loopback, and a small window.
SEGMENT = 1400
WINDOW = 4 * 1024


async def download(record, instance, wait_s, results):
    """Ask for one download and read it slowly."""
    await asyncio.sleep(wait_s)
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
    request_id = st.new_id()
    path = '/permits/' + request_id
    got, error = b'', ''
    try:
        await loop.sock_connect(sock, (instance.host, instance.ports['Front']))
        sent_at = record.now()
        headers = {
            'X-Request-Id': request_id,
            'X-Timeout-Ms': str(DEADLINE_MS),
        }
        await loop.sock_sendall(
            sock, st.request_bytes('GET', st.HOST, path, headers)
        )
        record('client sends', id=request_id, to=instance.name)
        whole = None
        while whole is None or len(got) < whole:
            if record.now() - sent_at > DEADLINE_MS / 1000:
                error = 'deadline'
                break
            data = await loop.sock_recv(sock, BYTES_PER_S // 20)
            if not data:
                error = 'ended early'
                break
            got += data
            if whole is None and b'\r\n\r\n' in got:
                head = got.partition(b'\r\n\r\n')[0].lower()
                length = head.partition(b'content-length:')[2].split()[0]
                whole = len(head) + 4 + int(length)
            await asyncio.sleep(len(data) / BYTES_PER_S)
    except ConnectionError as exc:
        error = repr(exc)
    finally:
        sock.close()
    status = got[9:12].decode() if got else ''
    results.append((request_id, sent_at, record.now(), status, error))
    record(
        'client gets',
        id=request_id,
        status=status,
        bytes=len(got),
        error=error or 'none',
    )


async def case(record, ended):
    store = await st.Store(record).start()
    servers = [
        await st.Server(
            record, store, 's%d' % number, 'permisos', zone, host, 0.3, 9
        ).start()
        for number, (zone, host) in enumerate(
            (('cusco-a', st.host(31)), ('arequipa-b', st.host(32)))
        )
    ]
    pattern = bytes(range(256)) * (SIZE // 256 + 1)
    for server in servers:
        server.body_of = lambda path: pattern[:SIZE]
    rules = [
        st.route(
            'permit-pack', '/permits/', 'permisos', 'download', TIMEOUT_MS
        )
    ]
    await store.put(
        'op/config', st.configuration(1, st.HOST, rules, ('permisos',))
    )
    instances = [
        st.Instance(record, store, name, zone, host, ZONES, BOUNDS, LIMITS)
        for name, zone, host in (
            ('front-a', 'cusco-a', st.host(11)),
            ('front-b', 'arequipa-b', st.host(12)),
        )
    ]
    ended += instances
    for item in instances:
        item.fields['Seeds'] = [other.control for other in instances]
        await item.start()
    for item in instances:
        await item.wait_ready()
    await asyncio.sleep(8)

    leaving, results = instances[0], []
    tasks = [
        asyncio.ensure_future(download(record, leaving, 0.3 * n, results))
        for n in range(DOWNLOADS)
    ]
    await asyncio.sleep(1.5)
    told_at = record.now()
    if st.TROUBLE:
        leaving.signal(signal.SIGTERM)
    grace_s = BOUNDS['GraceS']
    for _ in range(int(grace_s * 20)):
        await asyncio.sleep(0.05)
        if st.TROUBLE and leaving.process.returncode is not None:
            record('instance ended', code=leaving.process.returncode)
            break
    await asyncio.wait(tasks, timeout=10)

    answered = {
        request_id for server in servers for _, request_id in server.runs
    }
    lost = []
    for request_id, sent_at, at, status, error in results:
        # Cut between the SIGTERM and 1 s after GraceS, before the deadline
        # and the route's timeout, with the server's work done.
        if (
            error not in ('', 'deadline')
            and request_id in answered
            and told_at <= at <= told_at + grace_s + 1
            and at - sent_at < TIMEOUT_MS / 1000
        ):
            lost.append(request_id)
    record('summary', sent=len(results), lost=len(lost))
    if len(results) < DOWNLOADS:
        raise st.CannotRun('too few downloads')
    if lost:
        return [
            'LOST: %d of %d answers that servers had given whole were cut off'
            ' at the end of a leaving instance' % (len(lost), len(results))
        ]
    return []


if __name__ == '__main__':
    st.run_case(pathlib.Path(__file__).resolve().parent, case)
