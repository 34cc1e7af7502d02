"""Callers that send requests late in the stop of an instance."""

import socket
import threading
import time
import typing

from tests.builders import front_rig

TIMEOUT_MS = 6000
SLOTS = 60
BODY = b'one locomotive ' * 8
BODY_PARTS = 8


def configure(rig, work_s, version=2):
    """Give upstreams room for all, and routes time enough for the work."""
    rules = [
        front_rig.route(name, path, 'loja', kind, TimeoutMs=TIMEOUT_MS)
        for name, path, kind in (
            ('browse', '/browse/', 'safe'),
            ('order', '/order/', 'unsafe'),
        )
    ]
    rig.put('op/config', front_rig.configuration(version, rules))
    for name, item in rig.upstreams.items():
        service = 'oficina' if name.startswith('w') else 'loja'
        item.slots, item.work_s = SLOTS, work_s
        rig.put(
            'servers/' + name,
            item.entry(service, 'sul-a', Slots=SLOTS, Seq=version),
        )
    views = [app.steering for app in rig.apps.values()]
    rig.wait(
        lambda: all(
            item.table.version == version
            and all(
                found.entry.slots == SLOTS
                for found in item.view.upstreams.values()
            )
            for item in views
        ),
        'routes and room',
    )


class Late(typing.NamedTuple):
    """One request and how it ended.

    Attributes:
        id: its id.
        whole_at: monotonic seconds at which its last byte was sent.
        ended_at: of the end of its answer, or of its connection.
        status: 0 if it got no answer.
        complete: whether the answer was whole.
        retry_after_s: as told by the answer, None without.
    """

    id: str
    whole_at: float
    ended_at: float
    status: int
    complete: bool
    retry_after_s: float


class LateCaller(threading.Thread):
    """Sends one request on a connection of its own.

    Args:
        port: of the instance.
        request_id: its id.
        kind: ``safe`` or ``unsafe``.
        body_s: seconds that its body takes.

    Attributes:
        result: the :class:`Late`, None if it was not accepted.
    """

    def __init__(self, port, request_id, kind, body_s=0.0):
        super().__init__(daemon=True)
        self.result = None
        self._port = port
        self._id = request_id
        self._safe = kind == 'safe'
        self._body_s = body_s

    def _parts(self):
        headers = front_rig.request_headers(
            {
                'X_Request_Id': self._id,
                'X_Timeout_Ms': str(TIMEOUT_MS),
                'Content_Length': str(len(BODY)),
            }
        )
        line = 'GET /browse/a' if self._safe else 'POST /order/a'
        lines = [line + ' HTTP/1.1']
        lines += ['%s: %s' % item for item in headers.items()]
        yield ('\r\n'.join(lines) + '\r\n\r\n').encode()
        size = len(BODY) // BODY_PARTS
        for start in range(0, len(BODY), size):
            time.sleep(self._body_s / BODY_PARTS)
            yield BODY[start : start + size]

    def run(self):
        """Send the request and read its answer."""
        whole_at, data = None, b''
        try:
            sock = socket.create_connection(('127.0.0.1', self._port), 8.0)
        except OSError:
            return
        with sock:
            try:
                for part in self._parts():
                    sock.sendall(part)
                whole_at = time.monotonic()
                while not _is_whole(data):
                    found = sock.recv(65536)
                    if not found:
                        break
                    data += found
            except OSError:
                pass
        fields = _fields(data)
        retry_after = fields.get('retry-after')
        self.result = Late(
            self._id,
            whole_at,
            time.monotonic(),
            int(data[9:12] or 0),
            _is_whole(data),
            None if retry_after is None else float(retry_after),
        )


def _fields(data):
    head = data.partition(b'\r\n\r\n')[0].decode('latin-1').lower()
    lines = [line.partition(': ') for line in head.split('\r\n')[1:]]
    return {name: value for name, _, value in lines}


def _is_whole(data):
    head, end, body = data.partition(b'\r\n\r\n')
    length = _fields(data).get('content-length', '0')
    return bool(end) and len(body) >= int(length)


def play(rig, name, kind, every_s, seconds, body_s=0.0):
    """Start callers one after the other and return them.

    Args:
        rig: the :class:`~front_rig.FrontRig`.
        name: of the instance.
        kind: of the requests.
        every_s: seconds between two of them.
        seconds: for which they come.
        body_s: seconds that each body takes.
    """
    port = rig.apps[name].cfg.caller_listen.port
    callers, begin = [], time.monotonic()
    while time.monotonic() < begin + seconds:
        request_id = 'late-%d' % time.monotonic_ns()
        callers.append(LateCaller(port, request_id, kind, body_s))
        callers[-1].start()
        due = begin + len(callers) * every_s
        time.sleep(max(due - time.monotonic(), 0.0))
    return callers


def results(callers):
    """Return the :class:`Late` of those that were accepted."""
    for item in callers:
        item.join(10)
    return [item.result for item in callers if item.result is not None]
