"""A miniature deployment as real processes, with cuts between regions."""

import base64
import json
import pathlib
import socket
import threading
import time

import json5

from bench import callers
from bench import processes

FILE = (
    pathlib.Path(processes.ROOT).joinpath('bench', 'demo') / 'kedjeverk.json'
)


class Forwarder:
    """Forwards connections to one instance's peer port, unless cut.

    Bytes sent during a cut arrive after it, as with a network that comes
    back before the connections have timed out.

    Args:
        blocked: function from the sender's id to whether it is cut off.
        names: ids of the possible senders.
    """

    def __init__(self, blocked, names):
        self.target = None
        self._blocked = blocked
        # The id as it stands in the first message of a stream.
        self._marks = {
            b'\xa2id' + bytes([0xA0 + len(name)]) + name.encode(): name
            for name in names
        }
        self._listener = socket.create_server((processes.HOST, 0))
        self.address = '%s:%d' % self._listener.getsockname()
        self._start(self._accept)

    def _start(self, func, *args):
        threading.Thread(target=func, args=args, daemon=True).start()

    def close(self):
        """Stop accepting."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                front, _ = self._listener.accept()
            except OSError:
                return
            self._start(self._open, front)

    def _open(self, front):
        try:
            hello = front.recv(65536)
            found = [n for mark, n in self._marks.items() if mark in hello]
            back = socket.create_connection(self.target)
        except OSError:
            front.close()
            return
        sender = found[0] if found else None
        self._start(self._pump, back, front, sender, b'')
        self._pump(front, back, sender, hello)

    def _pump(self, source, sink, sender, data):
        try:
            while True:
                while self._blocked(sender):
                    time.sleep(0.02)
                sink.sendall(data)
                data = source.recv(65536)
                if not data:
                    break
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Fleet(processes.Fleet):
    """A fleet of six instances, two in each region.

    Attributes:
        cut: pairs of regions that do not reach each other.
        load: the :class:`callers.Callers`, once started.
    """

    def __init__(self):
        docs = json5.loads(FILE.read_text())
        super().__init__(docs, 6, ('demo', 'other'))
        self.cut = set()
        self.load = None
        self.forwarders = {}

    def region(self, name):
        """Return the region of an instance."""
        place = dict(self._where)[name]
        return self.of('place')[place]['region']

    def start_instance(self, name, place, **changes):
        """Start an instance behind a forwarder of its peer port."""

        def blocked(sender):
            pair = frozenset((self.region(name), self.region(sender)))
            return pair in self.cut

        forwarder = Forwarder(blocked, [n for n, _ in self._where])
        self.forwarders[name] = forwarder
        started = super().start_instance(
            name, place, peer_advertise=forwarder.address, **changes
        )
        started.wait_started()
        forwarder.target = (processes.HOST, started.ports['peer_port'])
        return started

    def peer_addresses(self):
        """Return the forwarders of the instances that run."""
        return [
            self.forwarders[name].address
            for name, one in self.instances.items()
            if one.ports
        ][:3]

    def start_load(self):
        """Let callers send requests until the fleet is closed.

        Some requests are slow, so that each fault meets some in flight.
        """
        self.load = callers.Callers(self, count=2, rps=8, slow_ms=400).start()

    def check(self, **options):
        """Stop the callers and assert the invariants of the design page."""
        rows = []
        if self.load is not None:
            self.load.finish()
            rows = self.load.sent()
        found = callers.check(self, rows, **options)
        assert not callers.broken(found), callers.broken(found)
        assert not self.internal_errors(), self.internal_errors()[:3]
        if self.load is not None:
            for name in ('one execution for each key', 'bodies byte by byte'):
                assert found[name][0] >= 20, (name, found[name][0])
        return rows

    def answered(self, seconds):
        """Return the share of answered requests in the last seconds."""
        begin = time.monotonic() - seconds
        rows = [row for row in self.load.sent() if row.at > begin]
        return sum(not row.kind for row in rows) / max(len(rows), 1)

    def duties(self):
        """Return ``{duty: (holder, token)}`` as the instances logged it."""
        found = {}
        for name, one in self.instances.items():
            held = {}
            for event in one.events():
                if event['event'] == 'duty acquired':
                    held[event['duty']] = event['token']
                elif event['event'] == 'duty lost':
                    held.pop(event['duty'], None)
            for duty, token in held.items():
                if token > found.get(duty, ('', 0))[1]:
                    found[duty] = (name, token)
        return found

    def silent_links(self, name):
        """Return how many links an instance closed because of silence."""
        port = self.instances[name].ports['api_port']
        conn = processes.http.client.HTTPConnection(processes.HOST, port)
        conn.request('GET', '/metrics')
        text = conn.getresponse().read().decode()
        conn.close()
        return sum(
            float(line.rpartition(' ')[2])
            for line in text.splitlines()
            if 'peer_links_closed' in line and '"silent"' in line
        )

    def stored(self, key):
        """Return a document and its version as the platform stores it."""
        port = self.addresses['platform']['port']
        conn = processes.http.client.HTTPConnection(processes.HOST, port)
        conn.request('GET', '/api/kv-key?Key=' + key)
        row = json.loads(conn.getresponse().read())
        conn.close()
        return json.loads(base64.b64decode(row['Value'])), row['Revision']

    def close(self):
        """End the callers, the forwarders and all processes."""
        if self.load is not None:
            for one in self.load.all:
                one.finish()
        super().close()
        for forwarder in self.forwarders.values():
            forwarder.close()
