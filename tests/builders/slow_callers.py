"""Callers that ask once and read slowly, in a process of their own.

Usage: ``python -m tests.builders.slow_callers PORT COUNT SIZE``. It prints a
line when all have asked. When its input ends, it prints ``[bytes of the body,
whether the connection ended, whether the head states the size]`` of each that
got a part of a response with status 200.
"""

import json
import select
import socket
import sys
import time

from tests.builders import front_rig

READ_EVERY_S = 0.25
READ_BYTES = 500
OPENED_AT_ONCE = 25


class SlowCallers:
    """Callers of an instance.

    Args:
        port: port of the instance.
        count: number of callers.
        size: bytes of each response.
    """

    def __init__(self, port, count, size):
        self._port = port
        self._count = count
        self._size = size
        self._received = {}
        self._ended = set()

    def _open(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(('127.0.0.1', self._port))
        headers = front_rig.request_headers(
            {'X_Fault': 'large-framed', 'X_Size': str(self._size)}
        )
        headers['X-Request-Id'] = 'slow%d' % len(self._received)
        lines = ['GET /browse/slow-%d HTTP/1.1' % len(self._received)]
        lines += ['%s: %s' % item for item in headers.items()]
        sock.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode())
        sock.setblocking(False)
        self._received[sock] = bytearray()

    def _read(self, sock, data):
        if sock in self._ended:
            return
        try:
            part = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            part = b''
        data += part
        if not part:
            self._ended.add(sock)

    def run(self):
        """Read until the input ends."""
        asked = False
        while not select.select([sys.stdin], [], [], 0)[0]:
            begun = time.monotonic()
            for _ in range(OPENED_AT_ONCE):
                if len(self._received) < self._count:
                    self._open()
            for sock, data in self._received.items():
                self._read(sock, data)
            if len(self._received) == self._count and not asked:
                asked = True
                print('asked', flush=True)
            time.sleep(max(begun + READ_EVERY_S - time.monotonic(), 0.0))
        print(json.dumps(self._found()), flush=True)

    def _found(self):
        found = []
        stated = b'content-length: %d\r\n' % self._size
        for sock, data in self._received.items():
            head, _, body = bytes(data).partition(b'\r\n\r\n')
            if not head.startswith(b'HTTP/1.1 200'):
                continue
            states = stated in head.lower() + b'\r\n'
            found.append([len(body), sock in self._ended, states])
        return found


if __name__ == '__main__':
    SlowCallers(*map(int, sys.argv[1:])).run()
