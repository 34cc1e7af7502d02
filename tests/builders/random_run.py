"""A seeded run of many callers against proxies and faulty upstreams."""

import collections
import random
import threading
import time

from builders import proxy_rig
from jasminehold import errors
from jasminehold.standin import caller
from jasminehold.standin import upstream as standin

CALLERS = 12
FAULTS = 'reset short double late foreign unframed both drop'.split()
KINDS = {kind.value for kind in errors.Kind}
RESENDS = 4


class RandomRun:
    """Runs the requests and keeps what callers were told.

    Args:
        count: number of requests, without resends.
        seed: seed of all choices.
    """

    def __init__(self, count, seed):
        self.count = count
        self.seed = seed
        self.faults = []
        self.outcomes = collections.Counter()
        self.not_run, self.once, self.ran = [], [], []
        self.keys_ran = set()
        self.ended = False
        options = standin.Options(slots=5, queue=6, seed=seed)
        self.rig = proxy_rig.Rig(
            names='abcd',
            proxies=2,
            options=options,
            timeout_s=0.6,
            rng=random.Random(seed),
        )

    def run(self):
        """Run all callers and the disturbances, then wait for quiet."""
        disturb = threading.Thread(target=self._disturb)
        threads = [
            threading.Thread(target=self._guard, args=(index,))
            for index in range(CALLERS)
        ]
        for thread in [disturb] + threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.ended = True
        disturb.join()
        time.sleep(1.0)

    def _disturb(self):
        rng = random.Random(self.seed + 1)
        while not self.ended:
            time.sleep(rng.uniform(0.1, 0.5))
            name = rng.choice('abcd')
            if rng.random() < 0.5:
                self.rig.call(self.rig.current[name].drain)
                time.sleep(0.2)
            self.rig.call(self.rig.restart, name)

    def _guard(self, index):
        rng = random.Random(self.seed * 1000 + index)
        conns = {}
        try:
            for number in range(index, self.count, CALLERS):
                self._request(rng, conns, number)
        except Exception as exc:
            self.faults.append(repr(exc))

    def _request(self, rng, conns, number):
        headers = {'X-Service-Ms': rng.choice((0, 1, 5, 20))}
        method = rng.choice(('GET', 'POST', 'POST'))
        key = b''
        if method == 'POST' and rng.random() < 0.6:
            key = b'key-%d' % number
            headers['Idempotency-Key'] = key.decode()
        size = rng.choice((0, 64, 3000, 200_000))
        headers['X-Size'] = size
        if rng.random() < 0.5:
            headers['X-Framing'] = 'chunked'
        if rng.random() < 0.12 and size:
            headers['X-Fault'] = rng.choice(FAULTS)
            headers['X-Fault-At'] = rng.choice('abcd')
        if rng.random() < 0.004:
            headers['X-Crash'] = '1'
        if rng.random() < 0.1:
            headers['Jasminehold-Deadline'] = rng.randint(5, 200)
        body = b''
        if method == 'POST':
            body = rng.randbytes(rng.choice((0, 10, 5000, 150_000)))
        wanted = standin.response_body(
            method.encode(), b'/%d' % number, body, key, size
        )
        for attempt in range(RESENDS if key else 1):
            headers['X-Request-Id'] = '%d.%d' % (number, attempt)
            leaves = rng.random() < 0.06
            again = self._send(
                rng, conns, method, number, headers, body, wanted, key, leaves
            )
            if not again:
                return
            headers.pop('X-Fault', None)
            headers.pop('X-Crash', None)
            time.sleep(rng.random() * 0.05)

    def _send(
        self, rng, conns, method, number, headers, body, wanted, key, leaves
    ):
        port = rng.choice(self.rig.ports)
        sent_id = headers['X-Request-Id']
        client = conns.pop(port, None) or caller.Client(port)
        if method == 'POST' and not key:
            self.once.append(sent_id)
        if leaves:
            client.send(method, '/%d' % number, headers, body)
            time.sleep(rng.random() * 0.03)
            client.close()
            self.outcomes['left'] += 1
            return True
        reply = client.request(method, '/%d' % number, headers, body)
        if reply.complete and reply.headers.get('connection') != 'close':
            conns[port] = client
        else:
            client.close()
        if not reply.complete:
            if reply.status != 200:
                self.faults.append('%s: no answer %r' % (sent_id, reply))
            self.outcomes['cut'] += 1
            return True
        if not reply.kind:
            self.outcomes['answer'] += 1
            if reply.status != 200 or reply.body != wanted:
                self.faults.append('%s: wrong answer' % sent_id)
            (self.keys_ran.add(key.decode()) if key else None)
            if method == 'POST' and not key:
                self.ran.append(sent_id)
            return False
        self.outcomes[reply.kind] += 1
        if reply.kind not in KINDS:
            self.faults.append('%s: unknown kind %s' % (sent_id, reply.kind))
        if reply.run == 'not-run':
            self.not_run.append(sent_id)
        return True

    def check(self):
        """Return all faults found."""
        rig, faults = self.rig, list(self.faults)
        by_id, by_key = rig.executions('by_id'), rig.executions('by_key')
        faults += [
            '%s: not run, yet ran' % i for i in self.not_run if i in by_id
        ]
        faults += [
            '%s: ran twice' % i for i in self.once if by_id.get(i, 0) > 1
        ]
        faults += ['%s: never ran' % i for i in self.ran if i not in by_id]
        faults += ['%s: ran twice' % k for k, n in by_key.items() if n > 1]
        faults += [
            '%s: never ran' % k for k in self.keys_ran if k not in by_key
        ]
        if rig.taken != rig.released:
            faults.append('slots %d of %d' % (rig.released, rig.taken))
        if any(item.in_flight for item in rig.all if not item.stopped):
            faults.append('work left behind')
        if any(proxy.exchanges for proxy in rig.proxies):
            faults.append('exchanges left behind')
        return faults
