"""Orders that must not repeat, over real processes under faults.

Callers send look-ups and orders with idempotency keys, send copies of orders
to other instances before, while and after the first one runs, leave early and
follow look-up answers. Meanwhile instances, upstreams and the platform fail.
The upstream stand-ins write down each execution before it starts; at the end
every answer is checked against these counts.

Usage: ``python bench/orders.py [--requests 20000] [--seed 1]``
"""

import collections
import http.client
import json
import random
import sys
import threading
import time
import typing

import fire

from bench import order_fleet
from jasminehold import errors
from jasminehold.standin import caller
from jasminehold.standin import upstream

# Many wait for seconds while the platform is down.
CALLERS = 128
# Longer than the service's time-out and the longest freeze together.
ANSWER_WITHIN_S = 20.0
KINDS = {kind.value for kind in errors.Kind}
# Kinds of the operators' API and of faults in the program itself.
KINDS -= {'internal', 'unauthenticated', 'not_found', 'invalid_resource'}
KINDS -= {'conflict', 'gone', 'bad_request', 'key_reused'}
KINDS -= {'unknown_service', 'method_not_allowed', 'poison'}
# Instances close a connection that was idle for 60 s.
REUSE_S = 30.0
AGAIN = ('not_run', 'overloaded', 'unavailable', 'in_progress', 'leaving')


class Copy(typing.NamedTuple):
    """One request as sent, with what came of it.

    Attributes:
        ident: its ``X-Request-Id``.
        key: idempotency key, empty for a look-up.
        port: instance asked.
        begin: when it was sent, monotonic seconds.
        end: when it ended.
        reply: the :class:`caller.Reply`, None when nothing was sent.
        left: whether the caller left without waiting.
        late: whether no answer came in time.
        body: the answer's body that is correct.
        idle: seconds for which its connection was unused before.
    """

    ident: str
    key: str
    port: int
    begin: float
    end: float
    reply: typing.Any
    left: bool
    late: bool
    body: bytes
    idle: float


class Callers:
    """Threads that send until a number of requests is reached.

    Args:
        fleet: the :class:`order_fleet.Fleet`.
        requests: copies to send in all.
        seed: seed of each thread's choices.

    Attributes:
        copies: all :class:`Copy`.
        lookups: look-up answers followed.
        sent: copies whose connection was opened.
    """

    def __init__(self, fleet, requests, seed):
        self.fleet = fleet
        self.copies = []
        self.lookups = 0
        self.sent = 0
        self.failed = []
        self._requests = requests
        self._seed = seed
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(CALLERS)
        ]

    def run(self):
        """Send everything and wait for it."""
        for thread in self._threads:
            thread.start()
        for thread in self._threads:
            thread.join()
        if self.failed:
            raise self.failed[0]

    def _run(self, number):
        one = _Caller(self, number, random.Random(self._seed * 1000 + number))
        try:
            while self.sent < self._requests:
                one.work()
        except Exception as exc:
            self.failed.append(exc)
            self._requests = 0

    def add(self, copy):
        """Record a copy."""
        with self._lock:
            self.copies.append(copy)
            # A refused connection is no request.
            self.sent += copy.reply is not None


class _Caller:
    def __init__(self, callers, number, rng):
        self._callers = callers
        self._number = number
        self._rng = rng
        self._serial = 0
        self._view = [p.port for p in callers.fleet.instances.values()]
        self._view_at = 0.0
        self._conns = {}

    def work(self):
        if self._rng.random() < 0.4:
            self._send(self._port(), 'GET', '', b'')
            return
        self._serial += 1
        key = 'k-%d-%d' % (self._number, self._serial)
        body = self._rng.randbytes(self._rng.choice((0, 20, 3000)))
        size = self._rng.choice((40, 40, 2000, 30000))
        fault = self._rng.choice((None,) * 12 + ('reset', 'drop', 'late'))
        ms = self._rng.choice((1, 3, 10, 60))
        order = {'X-Size': size, 'X-Service-Ms': ms}
        if fault is not None:
            order['X-Fault'] = fault
        path = '/orders/%d' % self._rng.randrange(1000)
        style = self._rng.random()
        ports = self._others()
        if style < 0.2:
            # A copy before and while the first one runs.
            first = threading.Thread(
                target=self._send,
                args=(ports[0], path, key, body, order, False, False),
            )
            first.start()
            time.sleep(self._rng.choice((0.0, 0.0, 0.002, 0.03)))
            self._order(ports[1:] + ports, path, key, body, order)
            first.join()
        elif style < 0.35:
            self._send(ports[0], path, key, body, order, True)
            self._order(ports[1:] + ports, path, key, body, order)
        else:
            self._order(ports, path, key, body, order)
            if style < 0.6:
                port = self._rng.choice(ports)
                self._send(port, path, key, body, order)

    def _order(self, ports, path, key, body, order):
        for port in ports[:5]:
            copy = self._send(port, path, key, body, order)
            reply = copy.reply
            if reply is None or not reply.complete:
                continue
            if reply.run == 'ran' or reply.kind not in AGAIN:
                if reply.kind not in ('outcome_unknown', 'deadline_unknown'):
                    return
            time.sleep(self._rng.uniform(0.0, 0.3))

    def _others(self):
        self._follow()
        ports = list(self._view)
        self._rng.shuffle(ports)
        return ports

    def _port(self):
        self._follow()
        return self._rng.choice(self._view)

    def _follow(self):
        if time.monotonic() < self._view_at + 2.0:
            return
        block = '10.0.%d.1' % self._rng.randrange(256)
        known = list(self._view)
        known += [p.port for p in list(self._callers.fleet.instances.values())]
        for port in known:
            try:
                seen = order_fleet.lookup(port, block)
            except (OSError, http.client.HTTPException, KeyError):
                continue
            if seen:
                self._view, self._view_at = seen, time.monotonic()
                self._callers.lookups += 1
                return
        raise RuntimeError('no instance answers look-ups')

    def _send(
        self, port, path, key, body, order=None, leave=False, reuse=True
    ):
        self._serial += 1
        ident = 'c-%d-%d' % (self._number, self._serial)
        if path == 'GET':
            method = 'GET'
            path = '/stock/%d' % self._rng.randrange(500)
        else:
            method = 'POST'
        headers = {'Jasminehold-Service': order_fleet.SERVICE}
        headers.update(order or {'X-Size': 200}, **{'X-Request-Id': ident})
        if key:
            headers['Idempotency-Key'] = key
        size = int(headers['X-Size'])
        right = upstream.response_body(
            method.encode(), path.encode(), body, key.encode(), size
        )
        begin = time.monotonic()
        reply, late = None, False
        client, used = None, begin
        if reuse and port in self._conns:
            client, used = self._conns.pop(port)
            if begin - used > REUSE_S:
                client.close()
                client, used = None, begin
        try:
            if client is None:
                client = caller.Client(port, ANSWER_WITHIN_S)
            reply = caller.NO_REPLY
            client.send(method, path, headers, body)
            if leave:
                time.sleep(self._rng.choice((0.0, 0.001, 0.02)))
                client.close()
            else:
                reply = client.read()
        except TimeoutError:
            late = True
        except OSError:
            # The reply says whether anything can have been sent.
            client = None
        if client is not None and not leave:
            if reply and reply.complete and reuse:
                self._conns[port] = client, time.monotonic()
            else:
                client.close()
        if reply is None or reply is caller.NO_REPLY:
            self._forget(port)
        copy = Copy(
            ident,
            key,
            port,
            begin,
            time.monotonic(),
            reply,
            leave,
            late,
            right,
            begin - used,
        )
        self._callers.add(copy)
        return copy

    def _forget(self, port):
        # The next look-up is due at once when the rest is little choice.
        self._view = [p for p in self._view if p != port] or self._view
        if len(self._view) < 3:
            self._view_at = 0.0


def check(callers, fleet):
    """Return ``(violations, figures)`` of a run."""
    by_id, by_key, _ = fleet.executions()
    found, figures = [], collections.Counter()
    for key, count in by_key.items():
        if count > 1:
            found.append('%s ran %d times' % (key, count))
    for copy in callers.copies:
        outcome = _outcome(copy)
        figures[outcome] += 1
        fault = _check_copy(copy, outcome, fleet, by_id, by_key)
        if fault:
            head = (copy.ident, copy.key, copy.port, fault)
            found.append('%s of %s at %d: %s' % head)
        if outcome == 'answer_lost' and not by_key[copy.key]:
            figures['answer_lost although it never ran'] += 1
    figures['keys that ran'] = len(by_key)
    figures['executions'] = sum(by_id.values())
    return found, figures


def _outcome(copy):
    reply = copy.reply
    if copy.left:
        return 'left'
    if copy.late:
        return 'late'
    if reply is None:
        return 'not connected'
    if reply.status == 0:
        return 'lost'
    if not reply.complete:
        return 'cut'
    return reply.kind or 'answer'


def _check_copy(copy, outcome, fleet, by_id, by_key):
    reply = copy.reply
    if outcome in ('late', 'internal'):
        return outcome
    if outcome in ('lost', 'not connected'):
        gone = fleet.gone.get(copy.port)
        if gone is None or gone.ended_at > copy.end + 0.1:
            return 'lost to a living instance, idle %.1f s' % copy.idle
    elif outcome in ('cut', 'answer'):
        if not copy.body.startswith(reply.body):
            return 'wrong body'
        if outcome == 'answer' and reply.body != copy.body:
            return 'incomplete body'
        if outcome == 'answer' and (reply.status, reply.run) != (200, 'ran'):
            return 'status %d, %r' % (reply.status, reply.run)
        if outcome == 'answer' and copy.key and by_key[copy.key] != 1:
            return 'answered, ran %d times' % by_key[copy.key]
    elif outcome != 'left':
        if reply.kind not in KINDS:
            return 'kind ' + reply.kind
        if reply.run == 'not-run' and by_id[copy.ident]:
            return '%s, but it ran' % reply.kind
    return None


def run(requests, seed, prelude=None):
    """Make one run and return ``(violations, figures)``.

    Args:
        requests: requests at least, copies included.
        seed: seed of callers and faults.
        prelude: see :class:`order_fleet.Fleet`.
    """
    with order_fleet.Fleet(seed, prelude) as fleet:
        fleet.start()
        begin = time.monotonic()
        chaos = order_fleet.Chaos(fleet, seed)
        chaos.start()
        callers = Callers(fleet, requests, seed)
        callers.run()
        seconds = time.monotonic() - begin
        chaos.stop()
        # Requests whose callers left may still run.
        time.sleep(3.0)
        found, figures = check(callers, fleet)
        figures['requests'] = callers.sent
        figures['look-up answers followed'] = callers.lookups
        figures['seconds'] = round(seconds, 1)
        figures.update(chaos.counts)
        for proc in list(fleet.gone.values()) + list(fleet.instances.values()):
            text = fleet.log(proc.name)
            for line in text.splitlines():
                if 'internal error' in line or 'Traceback' in line:
                    found.append('%s: %s' % (proc.name, line[-800:]))
    return found, figures


def main(requests=20000, seed=1):
    """Run and print the figures.

    Args:
        requests: requests at least, copies included.
        seed: seed of callers and faults.
    """
    found, figures = run(requests, seed)
    print('bench/orders.py --requests %d --seed %d' % (requests, seed))
    print(json.dumps(figures, indent=2))
    for item in found[:50]:
        print('VIOLATION', item)
    print('%d violations' % len(found))
    sys.exit(1 if found else 0)


if __name__ == '__main__':
    fire.Fire(main)
