"""Stand-ins for the scripts of this review, on loopback addresses.

Written from the users' pages only; standard library only. A ``Store`` speaks
the platform's key-value protocol, a ``Server`` is one server of a service,
``Instance`` starts the project's program with the command of the deploy file
and settings made from the deploy file's template. ``Record`` writes what was
sent, answered and run.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HEARTBEAT_S = 1.5
_ids = itertools.count(1)
_ports = itertools.cycle(range(12_000, 32_000))


class CannotRun(Exception):
    """The case could not be run; exit status 2."""


class Record:
    """Lines of record.txt; the first column is seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, event, **fields):
        text = ' '.join('%s=%s' % item for item in fields.items())
        print('%9.3f  %-18s %s' % (self.now(), event, text), file=self._file)
        self._file.flush()


# HTTP/1.1


class Closed(Exception):
    """The other side closed the connection before a message was complete."""


async def read_message(reader):
    """Return (first line, headers, body); headers in lower case."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(':')
                headers[name.strip().lower()] = value.strip()
        body = b''
        if 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        elif 'chunked' in headers.get('transfer-encoding', ''):
            while True:
                size = int(
                    (await reader.readuntil(b'\r\n')).split(b';')[0], 16
                )
                body += (await reader.readexactly(size + 2))[:size]
                if not size:
                    break
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        raise Closed(str(exc)) from exc


def answer_bytes(status, headers, body):
    lines = ['HTTP/1.1 %d Status' % status]
    lines += ['%s: %s' % item for item in headers.items()]
    lines.append('Content-Length: %d' % len(body))
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def request_bytes(method, host, path, headers, body=b''):
    lines = ['%s %s HTTP/1.1' % (method, path), 'Host: ' + host]
    lines += ['%s: %s' % item for item in headers.items()]
    if body or method != 'GET':
        lines.append('Content-Length: %d' % len(body))
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def new_id():
    """Return a request id that no other request of this run has."""
    return '%06d%010x' % (next(_ids), time.monotonic_ns() & 0xFFFFFFFFFF)


def host(number):
    """Return a loopback address of this process's own."""
    pid = os.getpid()
    return '127.%d.%d.%d' % (1 + pid // 250 % 200, 1 + pid % 250, number)


def free_port(host):
    """Return a port that nobody listens on, another one at each call.

    They lie below the range from which connections get theirs.
    """
    while True:
        port = next(_ports)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        return port


# The platform's store


class Store:
    """The platform's key-value store; it never loses what it acknowledged."""

    def __init__(self, record):
        self.record = record
        self.host = host(2)
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self._lease_ids = itertools.count(7001)
        self._changed = asyncio.Condition()
        self._pending = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry = asyncio.ensure_future(self._expire())
        return self

    @property
    def address(self):
        return '%s:%d' % (self.host, self.port)

    def _write(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        created = known['Created'] if known else self.revision
        self.items[key] = {
            'Key': key,
            'Value': base64.b64encode(value).decode(),
            'Revision': self.revision,
            'Created': created,
            'Lease': lease,
        }
        self.events.append(self.items[key])

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append(
                {'Key': key, 'Revision': self.revision, 'Deleted': True}
            )

    async def put(self, key, doc, note=True):
        """Write as the operator or a server; returns when acknowledged."""
        value = doc if isinstance(doc, bytes) else json.dumps(doc).encode()
        self._write(key, value)
        await self._notify()
        if note:
            self.record('store acknowledges', put=key)
        return self.record.now()

    async def delete(self, key):
        self._remove(key)
        await self._notify()
        self.record('store acknowledges', delete=key)
        return self.record.now()

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until <= now:
                    self._end_lease(lease)
                    await self._notify()

    def _end_lease(self, lease):
        del self.leases[lease]
        for key, item in list(self.items.items()):
            if item['Lease'] == lease:
                self._remove(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(' ')
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, True))
                doc = json.loads(body) if body else {}
                await asyncio.sleep(0.002)
                status, answer = await self._call(method, url.path, query, doc)
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': '1',
                }
                data = json.dumps(answer).encode()
                writer.write(answer_bytes(status, headers, data))
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def _call(self, method, path, query, doc):
        name, _, rest = path[len('/api/') :].partition('/')
        if name == 'kv-key':
            item = self.items.get(query['Key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'StoreRevision': self.revision}
        if name == 'kv-range':
            return 200, self._range(query)
        if name == 'kv-watch':
            return 200, await self._watch(query)
        if name == 'kv-txn':
            return await self._txn(doc)
        if name == 'kv-lease':
            lease = next(self._lease_ids)
            ttl_s = min(max(doc['TtlMs'], 1000), 600_000) / 1000
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'Lease': lease, 'TtlMs': int(ttl_s * 1000)}
        if name == 'kv-keep':
            if int(rest) not in self.leases:
                return 404, {}
            ttl_s = self.leases[int(rest)][1]
            self.leases[int(rest)] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'Lease': int(rest), 'TtlMs': int(ttl_s * 1000)}
        if name == 'kv-lease-end':
            if int(rest) not in self.leases:
                return 404, {}
            self._end_lease(int(rest))
            await self._notify()
            return 200, {}
        return 404, {}

    def _range(self, query):
        found, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(query.get('Prefix', '')):
                continue
            if key <= query.get('after', ''):
                continue
            item = self.items[key]
            if found and (len(found) >= 500 or size > 1_000_000):
                more = True
                break
            size += len(item['Value']) + len(key) + 100
            found.append(item)
        return {
            'items': found,
            'HasMore': more,
            'StoreRevision': self.revision,
        }

    async def _watch(self, query):
        after, prefix = int(query['after']), query.get('Prefix', '')
        end = time.monotonic() + min(int(query['WaitMs']), 30_000) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event['Revision'] > after
                and event['Key'].startswith(prefix)
            ][:500]
            left = end - time.monotonic()
            if found or left <= 0:
                last = self.revision
                if len(found) == 500:
                    last = found[-1]['Revision']
                return {'events': found, 'StoreRevision': last}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _txn(self, doc):
        expected = doc.get('ExpectRev') or []
        for row in expected:
            item = self.items.get(row['Key'])
            if (item['Revision'] if item else 0) != row['Revision']:
                return 412, {
                    'items': [
                        self.items.get(row['Key'])
                        or {'Key': row['Key'], 'Revision': 0}
                        for row in expected
                    ]
                }
        puts, deletes = doc.get('Puts') or [], doc.get('Deletes') or []
        keys = [row['Key'] for row in puts] + list(deletes)
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, {}
        if any(
            row.get('Lease') and row['Lease'] not in self.leases
            for row in puts
        ):
            return 404, {}
        for row in puts:
            value = base64.b64decode(row['Value'])
            self._write(row['Key'], value, row.get('Lease') or 0)
        for key in deletes:
            self._remove(key)
        await self._notify()
        return 200, {'Revision': self.revision}


# Servers


class Server:
    """One server of a service: slots, a queue, seals and load headers.

    It drops a request when its connection closes, as most servers do.
    """

    def __init__(
        self, record, store, name, service, zone, host, work_s=0.2, slots=8
    ):
        self.record = record
        self.store = store
        self.id = name
        self.service = service
        self.zone = zone
        self.host = host
        self.work_s = work_s
        self.slots = slots
        self.state = 'ready'
        self.born_ms = int(time.time() * 1000)
        self.arrivals = []
        self.runs = []
        self.body_of = lambda path: path.encode() * 8
        self._seq = itertools.count(1)
        self._slots = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.ensure_future(self._beat())
        return self

    async def register(self, note=True):
        """Write the entry; returns when the store has acknowledged it."""
        return await self.store.put(
            'servers/' + self.id,
            {
                'Service': self.service,
                'Addr': '%s:%d' % (self.host, self.port),
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': self.slots,
                'State': self.state,
                'ColdLeftMs': 0,
                'Seq': next(self._seq),
                'born': self.born_ms,
            },
            note,
        )

    async def _beat(self):
        await self.register()
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register(note=False)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(' ')
                work = asyncio.ensure_future(
                    self._handle(method, path, headers)
                )
                # A closed connection ends the work on its request.
                closed = asyncio.ensure_future(_until_closed(reader))
                await asyncio.wait(
                    {work, closed}, return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done():
                    work.cancel()
                    self.record(
                        'server drops',
                        server=self.id,
                        id=headers.get('x-request-id'),
                    )
                    return
                closed.cancel()
                writer.write(work.result())
                self.on_answered(writer, headers, work.result())
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def on_answered(self, writer, headers, answer):
        """Called after each answer; a faulty server does more."""

    def _load(self):
        return '%d,%d,%d' % (self._running, self._waiting, self.slots)

    async def _handle(self, method, path, headers):
        request_id = headers.get('x-request-id')
        at = self.record.now()
        base = {'X-Instance-Id': self.id, 'Keep-Alive': 'timeout=10'}
        if self.state == 'draining':
            base['Server-Leaving'] = '1'
        if request_id:
            base['X-Request-Id'] = request_id
        if path.startswith('/health'):
            return answer_bytes(
                200, {**base, 'X-Server-Load': self._load()}, b''
            )
        if headers.get('x-expect-instance', self.id) != self.id:
            return answer_bytes(421, base, b'')
        if not request_id:
            return answer_bytes(400, {**base, 'X-Not-Executed': '1'}, b'')
        self.arrivals.append((at, request_id))
        self.record(
            'server receives', server=self.id, id=request_id, path=path
        )
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.runs.append((self.record.now(), request_id))
            self.record('server runs', server=self.id, id=request_id)
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
            self._slots.release()
        self.record('server answers', server=self.id, id=request_id)
        body = self.body_of(path)
        seal = {'X-Server-Seal': 'seal.%s.%s' % (self.id, request_id)}
        load = {'X-Server-Load': self._load()}
        return answer_bytes(200, {**base, **seal, **load}, body)

    def stop(self):
        """End the server as a process that exits."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def _until_closed(reader):
    # Without taking bytes of a next request.
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


# The project's program


def _lookup(fields, path):
    for part in path.split('.'):
        if not isinstance(fields, dict):
            return None
        fields = fields.get(part)
    return fields


def render(template, fields):
    """Fill a template in, as far as the deploy file's template needs it."""

    def value(match):
        path, _, form = match.group(1).partition('|')
        found = _lookup(fields, path)
        if form == 'json' or isinstance(found, (dict, list)):
            return json.dumps(found)
        return '' if found is None else str(found)

    return re.sub(r'\{\{([A-Za-z0-9_.|]+)\}\}', value, template)


def deploy_role():
    """Return (command, template) of the only role of the deploy file."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    run = re.search(r'^run = "([^"]+)"', text, re.M).group(1)
    template = re.search(r'^template = "([^"]+)"', text, re.M).group(1)
    return run.split(), (ROOT / template).read_text()


class Instance:
    """One machine of the class ``front`` and its process."""

    def __init__(
        self, record, store, name, zone, host, zones, bounds, limits=None
    ):
        self.record = record
        self.name = name
        self.host = host
        self.zone = zone
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.ports = {
            what: free_port(host)
            for what in ('Front', 'Ready', 'Control', 'Directory')
        }
        self.fields = {
            'Node': name,
            'Role': 'instance',
            'MachineClass': 'front',
            'Serves': ['front', 'control', 'directory'],
            'Ip': host,
            'Zone': zone,
            'Region': zones[zone],
            'Bootstrap': True,
            'DataDir': None,
            'Limits': {
                'CpuShare': 0.86,
                'Cpus': 1,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 0,
                **(limits or {}),
            },
            'Listen': {
                what: '%s:%d' % (host, port)
                for what, port in self.ports.items()
            },
            'InternalPortRange': [7660, 7675],
            'Seeds': [],
            'Zones': zones,
            'Discovery': 'platform',
            'HeartbeatMs': int(HEARTBEAT_S * 1000),
            'Platform': {
                'Addr': store.address,
                'form': 'kv',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'RetentionS': 20,
                'ValueBytes': 1048576,
                'TtlMinMs': 1000,
            },
            'Bounds': bounds,
        }
        self.process = None

    @property
    def control(self):
        return '%s:%d' % (self.host, self.ports['Control'])

    async def start(self):
        command, template = deploy_role()
        if not (ROOT / 'target' / 'deps' / 'jasminehold').is_dir():
            raise CannotRun('target/deps is missing: run the build first')
        path = self.folder / 'settings.json'
        path.write_text(render(template, self.fields))
        keep = ('PATH', 'HOME', 'LANG')
        env = {key: os.environ[key] for key in keep if key in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['JASMINEHOLD_NODE_FILE'] = str(path)
        self.log = open(self.folder / 'log.txt', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )
        self.record('instance started', instance=self.name)
        return self

    def signal(self, number):
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record(signal.Signals(number).name, instance=self.name)

    async def ready(self):
        """Return whether the instance says that it is ready."""
        try:
            status, _, _ = await asyncio.wait_for(
                get(self.host, self.ports['Ready'], '/api/ready'), 1.0
            )
            return status == 200
        except (OSError, Closed, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun('%s ended: %s' % (self.name, self.log_text()))
            if await self.ready():
                self.record('instance ready', instance=self.name)
                return
            await asyncio.sleep(0.1)
        raise CannotRun('%s is not ready: %s' % (self.name, self.log_text()))

    def log_text(self, size=3000):
        return (self.folder / 'log.txt').read_text()[-size:]

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def get(host, port, path, headers=None, name='-'):
    """Send one GET request on a new connection."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(request_bytes('GET', name, path, headers or {}))
        line, found, body = await read_message(reader)
        return int(line.split(' ')[1]), found, body
    finally:
        writer.close()


# Configurations


def route(name, prefix, service, kind='safe', timeout_ms=2500, **action):
    return {
        'Name': name,
        'Kind': kind,
        'LatencyTargetMs': 600,
        'Priority': 2,
        'Sticky': False,
        'Match': {'Prefix': prefix},
        'Action': {
            'Service': service,
            'TimeoutMs': timeout_ms,
            'MaxAttempts': 2,
            'HomeRegions': [],
            **action,
        },
    }


def configuration(version, host, rules, services):
    return {
        'Version': '%08x' % version,
        'BaseVer': '%08x' % (version - 1),
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1048576,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Listeners': [{'Host': host, 'Rules': rules}],
        'Clusters': [
            {
                'Name': name,
                'HealthPath': '/health',
                'MaxConns': 330,
                'Protocol': 'h1',
                'Tls': False,
                'ColdStartS': 3.0,
                'ColdPerS': 2.1,
            }
            for name in services
        ],
    }


# Running a case


def run_case(folder, case):
    """Run ``case(record, ended)`` and exit as the issue says.

    ``ended`` collects instances that are ended at the end. The case returns
    a list of the breaks that were seen.
    """
    record = Record(folder)
    ended = []

    async def main():
        try:
            return await asyncio.wait_for(case(record, ended), 115)
        finally:
            for item in ended:
                await item.end()

    try:
        breaks = asyncio.run(main())
    except (CannotRun, OSError, asyncio.TimeoutError) as exc:
        record('could not run', error=repr(exc))
        print('could not run: %r' % exc)
        sys.exit(2)
    for text in breaks:
        record('RULE BROKEN', what=text)
        print('rule broken: ' + text)
    record('end', broken=bool(breaks), trouble=TROUBLE)
    sys.exit(1 if breaks else 0)


# The deployment that the cases resemble (sites/brandt-trilhos.toml)

ZONES = {
    'blumenau-a': 'sul',
    'campinas-a': 'sudeste',
    'frankfurt-a': 'europa',
    'blumenau-b': 'sul',
    'campinas-b': 'sudeste',
    'frankfurt-b': 'europa',
}
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'StabilityWindowMs': 3000,
    'AckMs': 4000,
    'SyncS': 4,
    'DrainMs': 2500,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ApplyMs': 2500,
    'RevertMs': 250,
    'MaxStretchMs': 5000,
    'RetryRatio': 0.2,
    'RetryWindowS': 10,
    'RetryBurst': 58,
    'ColdOver': 1.5,
    'ColdSlack': 5,
    'EvacuationMs': 5000,
    'RecoveryS': 15,
    'ttl_max_s': 5,
    'MaxShift': 0.15,
}
HOST = 'shop.example'
