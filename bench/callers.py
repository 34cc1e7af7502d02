"""Callers that follow look-up answers, and the checks of what they saw."""

import collections
import itertools
import json
import random
import threading
import time
import typing

from jasminehold.standin import caller
from jasminehold.standin import upstream

NOT_SENT = 'not_sent'
CUT = 'cut'
# The callers of both deployments stay below 1,024 descriptors together.
KEPT_CONNECTIONS = 8


class Sent(typing.NamedTuple):
    """One request as its caller saw it.

    Attributes:
        id: unique id, also known to the upstreams.
        key: idempotency key, empty when absent.
        once: whether it must not run twice without a key.
        instance: id of the instance.
        at: when it was sent, seconds, monotonic.
        seconds: until the answer.
        kind: error kind, ``cut`` or ``not_sent``, empty when answered.
        run: what the answer states about execution.
        correct: whether the body was the right one, None on errors.
    """

    id: str
    key: str
    once: bool
    instance: str
    at: float
    seconds: float
    kind: str
    run: str
    correct: bool | None


def cut_off(row):
    """Return whether a request was cut off while it may have run.

    A resent order may also be told that the first one still runs, or that
    its answer was lost.
    """
    if row.kind in ('in_progress', 'answer_lost'):
        return False
    return row.kind == CUT or row.run == 'unknown'


class Caller(threading.Thread):
    """One caller with several source addresses.

    Args:
        name: prefix of its request ids.
        sources: source addresses.
        services: names of services.
        ports: function that returns callers' ports for look-ups.
        rps: requests a second.
        seed: seed of its choices.
        slow_ms: service time of a third of its requests, 0 for none.
    """

    def __init__(self, name, sources, services, ports, rps, seed, slow_ms=0):
        super().__init__(name=name, daemon=True)
        self.sent = []
        self.lookups = 0
        self.failure = None
        self._sources = sources
        self._services = services
        self._ports = ports
        self._period = 1 / rps
        self._rng = random.Random(seed)
        self._slow_ms = slow_ms
        self._numbers = itertools.count()
        self._conns = {}
        self._answers = {}
        self._ending = threading.Event()

    def run(self):
        """Send until :meth:`finish`."""
        try:
            while not self._ending.wait(
                self._period * self._rng.uniform(0.5, 1.5)
            ):
                self.turn()
        except Exception as exc:
            self.failure = exc

    def finish(self):
        """End after the request in flight."""
        self._ending.set()

    def turn(self):
        """Send one request and perhaps a repetition of it."""
        rng = self._rng
        source = rng.choice(self._sources)
        service = rng.choice(self._services)
        instances = self._lookup(source, service)
        if not instances:
            return
        number = next(self._numbers)
        chance = rng.random()
        if chance < 0.5:
            request = ('GET', '/item/%d' % number, '', b'')
        elif chance < 0.95:
            key = '%s-%d' % (self.name, number)
            request = ('POST', '/order', key, b'order %d' % number)
        else:
            request = ('POST', '/note', '', b'note %d' % number)
        size = rng.choice((64, 64, 2000, 50000))
        for instance in list(instances):
            row = self._send(instance, source, service, request, size)
            if row.kind != NOT_SENT:
                break
            instances.sort(key=lambda one: one is instance)
        again = request[2] and (row.kind or rng.random() < 0.3)
        if again and len(instances) > 1:
            # The same order, sent to another instance under a new id.
            other = rng.choice([i for i in instances if i is not instance])
            self._send(other, source, service, request, size)

    def _lookup(self, source, service):
        found = self._answers.get((source, service))
        if found is not None and found[0] > time.monotonic():
            return found[1]
        ports = self._ports()
        self._rng.shuffle(ports)
        for port in ports:
            self.lookups += 1
            try:
                client = caller.Client(port, 2.0, source)
                path = '/v1/lookup?service=%s&block=%s' % (service, source)
                reply = client.request('GET', path)
                client.close()
            except OSError:
                continue
            if reply.status == 200 and reply.complete:
                answer = json.loads(reply.body)['answers'][0]
                until = time.monotonic() + answer['ttl']
                instances = answer['instances']
                self._answers[source, service] = (until, instances)
                return instances
        return []

    def _client(self, instance, source):
        known = self._conns.pop((instance['id'], source), None)
        if known is not None and known.usable:
            return known
        if known is not None:
            known.close()
        return caller.Client(instance['port'], 12.0, source)

    def _send(self, instance, source, service, request, size):
        method, path, key, body = request
        ident = '%s.%d' % (self.name, len(self.sent))
        headers = {
            'Jasminehold-Service': service,
            'X-Request-Id': ident,
            'X-Size': size,
        }
        if key:
            headers['Idempotency-Key'] = key
        if self._slow_ms and self._rng.random() < 1 / 3:
            headers['X-Service-Ms'] = self._slow_ms
        at = time.monotonic()
        reply, kind, correct = caller.NO_REPLY, NOT_SENT, None
        try:
            client = self._client(instance, source)
            kind = CUT
            reply = client.request(method, path, headers, body)
        except OSError:
            pass
        if reply.complete:
            kind = reply.kind
            if not client.usable:
                client.close()
            else:
                self._conns[instance['id'], source] = client
                if len(self._conns) > KEPT_CONNECTIONS:
                    self._conns.pop(next(iter(self._conns))).close()
            if not kind:
                right = upstream.response_body(
                    method.encode(), path.encode(), body, key.encode(), size
                )
                correct = reply.body == right
        row = Sent(
            ident,
            key,
            method == 'POST' and not key,
            instance['id'],
            at,
            time.monotonic() - at,
            kind,
            reply.run if reply.complete else '',
            correct,
        )
        self.sent.append(row)
        return row


class Callers:
    """Several callers for a fleet.

    Args:
        fleet: the :class:`processes.Fleet`.
        count: callers for each place's block of clients.
        rps: requests a second of each.
        sources: source addresses of each.
        seed: seed of their choices.
        slow_ms: service time of a third of the requests, 0 for none.
    """

    def __init__(self, fleet, count=2, rps=10, sources=16, seed=1, slow_ms=0):
        blocks = [
            block['cidr'].rpartition('.0.0/')[0]
            for spec in fleet.of('client_blocks').values()
            for block in spec['blocks']
        ]
        self.all = []
        for index, block in enumerate(blocks):
            for number in range(count):
                own = [
                    '%s.%d.1' % (block, number * sources + n)
                    for n in range(sources)
                ]
                one = Caller(
                    'c%d-%d-%d' % (seed, index, number),
                    own,
                    list(fleet.of('service')),
                    fleet.lookup_ports,
                    rps,
                    seed * 1000 + index * 10 + number,
                    slow_ms,
                )
                self.all.append(one)

    def start(self):
        """Start sending."""
        for one in self.all:
            one.start()
        return self

    def finish(self):
        """Stop sending and wait for the last answers."""
        for one in self.all:
            one.finish()
        for one in [one for one in self.all if one.ident]:
            one.join(20)
            if one.failure or one.is_alive():
                raise AssertionError('%s: %r' % (one.name, one.failure))

    def sent(self):
        """Return all that was sent, in order of time."""
        rows = [row for one in self.all for row in list(one.sent)]
        return sorted(rows, key=lambda row: row.at)


def peak(times, window=1.0):
    """Return the most events within any window of seconds."""
    most, start = 0, 0
    for end, at in enumerate(times):
        while times[start] <= at - window:
            start += 1
        most = max(most, end - start + 1)
    return most


def check(fleet, rows, drains=(), rates=True, lost=()):
    """Check the invariants against what the upstreams counted.

    Args:
        fleet: the :class:`processes.Fleet`.
        rows: the :class:`Sent` requests.
        drains: ``(upstream, seconds)`` of accepted drains.
        rates: whether rates and slots are checked.
        lost: upstreams whose slots are not checked, because they were
            frozen and counted requests that had been given up.

    Returns:
        ``{invariant: (checked, [broken])}``.
    """
    runs = fleet.runs()
    executed = collections.Counter()
    keys = collections.Counter()
    for _, event, _, ident, key in runs:
        if event == 'runs':
            executed[ident] += 1
            if key:
                keys[key] += 1
    answered = [row for row in rows if row.correct is not None]
    not_run = [row for row in rows if row.run == 'not-run']
    once = [row for row in rows if row.once]
    found = {
        'one execution for each key': (
            len(keys),
            [key for key, count in keys.items() if count > 1],
        ),
        'requests without a key sent once': (
            len(once),
            [row for row in once if executed[row.id] > 1],
        ),
        'not-run answers are true': (
            len(not_run),
            [row for row in not_run if executed[row.id]],
        ),
        'bodies byte by byte': (
            len(answered),
            [row for row in answered if not row.correct],
        ),
        'answers have an execution': (
            len(answered),
            [
                row
                for row in answered
                if not (keys[row.key] if row.key else executed[row.id])
            ],
        ),
        'no new work 3 s after a drain': (
            len(drains),
            [
                run
                for run in runs
                for name, at in drains
                if run[0] == name and run[1] == 'runs' and run[2] > at + 3
            ],
        ),
    }
    if rates:
        found.update(_check_limits(fleet, runs, lost))
    return found


def _check_limits(fleet, runs, lost):
    upstreams, places = fleet.of('upstream'), fleet.of('place')
    times = collections.defaultdict(list)
    for name, event, at, _, _ in runs:
        if event == 'runs':
            spec = upstreams[name]
            times['place', spec['place']].append(at)
            times['region', places[spec['place']]['region']].append(at)
            times[spec['service'], spec['place']].append(at)
    found = {}
    for kind in ('place', 'region'):
        over = []
        for name, spec in fleet.of(kind).items():
            most = peak(times[kind, name])
            if most > spec['capacity_rps']:
                over.append((name, most, spec['capacity_rps']))
        text = 'requests a second of each ' + kind
        found[text] = (len(fleet.of(kind)), over)
    # A movement's target has no share of its own in these deployments, so
    # whatever of the service reaches it came by the movement.
    moves = fleet.of('movement')
    over = []
    for name, spec in moves.items():
        most = peak(times[spec['service'], spec['to_place']])
        if most > spec['cap_rps']:
            over.append((name, most, spec['cap_rps']))
    found['requests a second of each movement'] = (len(moves), over)
    waits = [r for r in runs if r[1] == 'waits' and r[0] not in lost]
    found['slots of each upstream'] = (len(upstreams), waits)
    return found


def broken(found):
    """Return the broken invariants of :func:`check`."""
    return {name: items[:5] for name, (_, items) in found.items() if items}
