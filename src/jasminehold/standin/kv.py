"""Stand-in for the platform's store in its published protocol.

Serves ``/api/kv-*``: items, pages, long watches, transactions under
conditions and leases. Faults are set by :meth:`KvStore.set_faults`, or by
``POST /faults`` on the control port, which stays reachable in an outage;
``GET /stats`` there shows counts:

- ``mode``: ``''``, ``'silent'`` (no answers), ``'busy'`` (503), ``'many'``
  (429), ``'reset'`` or ``'refuse'`` (closes the port and all connections).
- ``hosts``: addresses of callers that the mode holds for, None for all.
- ``slow_s``: seconds before each call runs.
- ``lose_writes``: number of the next writes that take effect but whose
  connection is closed; ``lose_probability``: share of such writes.
- ``late_s``: seconds after which a write of those runs, 0 for at once.
- ``stale_s``: age of what a read with ``StaleOk`` gets.
- ``leases``: ``'expire'`` or ``'pause'`` while the mode is set.

Data stay in memory during an outage.

``POST /api/instances`` is no part of the protocol. It lists the process that
sends it under ``instances/`` for as long as its connection lasts, because the
kernel keeps the connection of a paused process open and closes that of a dead
one. After an outage, which may cut the connections itself, a process has
``REJOIN_S`` to register again, so that a running one is never dropped.
"""

import base64
import itertools
import json
import random
import urllib.parse

import circuits

from jasminehold import loop as loop_module
from jasminehold.standin import http_server
from jasminehold.standin import store as store_module

LEASE_CHECK_S = 0.05
REJOIN_S = 10.0
PAGE_ITEMS = 500
# Changes in one answer to a watch.
PAGE_EVENTS = 500
MAX_WAIT_MS = 30_000
PREFIX = '/api/kv-'
REGISTER_PATH = '/api/instances'
# Keys that the system may not write.
FOREIGN = ('op/', 'servers/')
FAULTS = {
    'mode': '',
    'hosts': None,
    'slow_s': 0.0,
    'lose_writes': 0,
    'lose_probability': 0.0,
    'late_s': 0.0,
    'stale_s': 2.0,
    'leases': 'expire',
}
_ANSWERS = {'busy': 503, 'many': 429}


class KvStore:
    """The store on a given loop.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        host: IP address.
        port: port, 0 to let the system choose.
        control_port: port of faults and counts, 0 to let the system choose,
            None for none.
        rng: random source of lost answers.

    Attributes:
        port: port bound to.
        control_port: control port bound to.
        counts: calls by name.
        state: the :class:`~jasminehold.standin.store.Store`.
    """

    def __init__(
        self, loop, host='127.0.0.1', port=0, control_port=None, rng=None
    ):
        self.loop = loop
        self.host = host
        self.counts = {}
        self._rng = rng or random.Random(1)
        self.state = store_module.Store()
        self.state.revision = 100
        self.faults = dict(FAULTS)
        self._conns = set()
        self._watches = []
        self._numbers = itertools.count(70_000)
        self._registered = {}
        self._leases = {}
        self._lagging = {}
        self._lag_revision = self.state.revision
        self._told_revision = self.state.revision
        self._listener = loop.listen(host, port, self._on_accept)
        self.port = self._listener.port
        self._control = None
        if control_port is not None:
            self._control = loop.listen(host, control_port, self._on_control)
            self.control_port = self._control.port
        loop.call_later(LEASE_CHECK_S, self._tick)

    # What tests do.

    def set_faults(self, **faults):
        """Set faults; those not named end."""
        unknown = set(faults) - set(FAULTS)
        if unknown:
            raise ValueError('unknown fault: %s' % sorted(unknown))
        self.faults = {**FAULTS, **faults}
        mode = self.faults['mode']
        if mode == 'refuse':
            self._listener.close()
        elif self._listener.closed:
            self._listener = self.loop.listen(
                self.host, self.port, self._on_accept
            )
        if mode in ('reset', 'refuse'):
            for conn in list(self._conns):
                conn.abort()

    def stats(self):
        """Return the counts of calls and of what is held."""
        return {
            'calls': dict(self.counts),
            'connections': len(self._conns),
            'watches': len(self._watches),
            'revision': self.state.revision,
        }

    def put(self, key, doc):
        """Write a key as the operator or a server does.

        Args:
            key: the key.
            doc: JSON document, or bytes as they are.
        """
        value = doc if isinstance(doc, bytes) else json.dumps(doc).encode()
        item = self.state.get(key)
        self.state.put(key, value, item.version if item else 0)
        self._notify()

    def delete(self, key):
        """Remove a key if it exists."""
        item = self.state.get(key)
        if item is not None:
            self.state.delete(key, item.version)
            self._notify()

    def compact_history(self):
        """Drop the history and cut the waiting watches."""
        self.state.events.clear()
        for watch in self._watches:
            watch[0].conn.abort()
        self._watches = []

    def close(self):
        """Stop serving."""
        self._listener.close()
        if self._control is not None:
            self._control.close()
        for conn in list(self._conns):
            conn.abort()

    # Calls.

    def _on_accept(self, conn):
        self._conns.add(conn)
        session = http_server.ServerConn(self.loop, conn, self._handle)
        conn.on_close = lambda exc: self._on_close(session)

    def _on_close(self, session):
        self._conns.discard(session.conn)
        for name, (number, owner) in list(self._registered.items()):
            if owner is session:
                self._unregister(name, number, 0.0)

    def _unregister(self, name, number, grace_s):
        if self.faults['mode']:
            self.loop.call_later(
                LEASE_CHECK_S, self._unregister, name, number, REJOIN_S
            )
        elif grace_s:
            self.loop.call_later(grace_s, self._unregister, name, number, 0.0)
        elif self._registered.get(name, (0,))[0] == number:
            del self._registered[name]
            self.delete('instances/' + name)

    def _register(self, session, body):
        entry = json.loads(body)
        name, number = entry['id'], next(self._numbers)
        self._registered[name] = (number, session)
        item = self.state.get('instances/' + name)
        # A repeat must not restart the lag of the list.
        if item is None or json.loads(item.value) != entry:
            self.put('instances/' + name, entry)
        session.reply(200, {})

    def _on_control(self, conn):
        http_server.ServerConn(self.loop, conn, self._handle_control)

    def _handle_control(self, session, head, body):
        if head.target == b'/stats':
            session.reply(200, self.stats())
        elif head.target == b'/faults':
            try:
                if head.method == b'POST':
                    self.set_faults(**json.loads(body))
            except (TypeError, ValueError) as exc:
                session.reply(400, {'error': str(exc)})
                return
            session.reply(200, self.faults)
        else:
            session.reply(404, {})

    def _tick(self):
        self.loop.call_later(LEASE_CHECK_S, self._tick)
        if self.faults['mode'] and self.faults['leases'] == 'pause':
            self.state.postpone(LEASE_CHECK_S)
        self.state.expire(self.loop.now())
        self._notify()

    def _handle(self, session, head, body):
        url = urllib.parse.urlsplit(head.target.decode())
        query = dict(urllib.parse.parse_qsl(url.query, True))
        name, _, number = url.path[len(PREFIX) :].partition('/')
        self.counts[name] = self.counts.get(name, 0) + 1
        if self._is_away(session):
            status = _ANSWERS.get(self.faults['mode'])
            if status is not None:
                session.reply(status, {})
            elif self.faults['mode'] == 'reset':
                session.conn.abort()
            return
        if url.path == REGISTER_PATH:
            self._register(session, body)
            return
        func = getattr(self, '_' + name.replace('-', '_'), None)
        if not url.path.startswith(PREFIX) or func is None:
            session.reply(404, {})
            return
        doc = json.loads(body) if body else {}

        def call():
            if session.conn.closed or self._is_away(session):
                return
            try:
                func(session, query, doc, number)
            except store_module.Missing:
                session.reply(404, {})
            except (KeyError, ValueError) as exc:
                session.reply(400, {'Error': repr(exc)})

        if self.faults['slow_s']:
            self.loop.call_later(self.faults['slow_s'], call)
        else:
            call()

    def _is_away(self, session):
        hosts = self.faults['hosts']
        if not self.faults['mode']:
            return False
        return hosts is None or session.conn.peer[0] in hosts

    def _key(self, session, query, doc, number):
        item = self.state.get(query['Key'])
        if item is None:
            raise store_module.Missing()
        row = self._row(query['Key'], item.value, item.version)
        session.reply(200, {**row, 'StoreRevision': self.state.revision})

    def _range(self, session, query, doc, number):
        if query.get('StaleOk') == '1':
            self._range_stale(session, query)
            return
        found, more = self.state.list(
            query.get('Prefix', ''), query.get('after', '')
        )
        rows = [
            self._row(key, item.value, item.version) for key, item in found
        ]
        more = more or len(rows) > PAGE_ITEMS
        session.reply(
            200,
            {
                'items': rows[:PAGE_ITEMS],
                'HasMore': more,
                'StoreRevision': self.state.revision,
            },
        )

    def _range_stale(self, session, query):
        prefix, after = query.get('Prefix', ''), query.get('after', '')
        rows = [
            self._row(event.key, event.value, event.version)
            for key, event in sorted(self._lagging.items())
            if key.startswith(prefix) and key > after
        ]
        session.reply(
            200,
            {
                'items': rows[:PAGE_ITEMS],
                'HasMore': len(rows) > PAGE_ITEMS,
                'StoreRevision': self._lag_revision,
            },
        )

    def _catch_up(self, events):
        for event in events:
            self._lag_revision = event.version
            if event.deleted:
                self._lagging.pop(event.key, None)
            else:
                self._lagging[event.key] = event

    def _watch(self, session, query, doc, number):
        wait = min(int(query['WaitMs']), MAX_WAIT_MS) / 1000
        due = self.loop.now() + wait
        prefix, after = query.get('Prefix', ''), int(query['after'])
        self._watches.append((session, prefix, after, due))
        self._notify()

    def _notify(self):
        now = self.loop.now()
        changes = self.state.since('', self._told_revision)
        if changes is None:
            # The history was forgotten; stale reads go on from here.
            self._told_revision = self._lag_revision = self.state.revision
        elif changes[0]:
            # A part, when there are more than one answer holds.
            self._told_revision = changes[0][-1].version
            self.loop.call_later(
                self.faults['stale_s'], self._catch_up, changes[0]
            )
        waiting, self._watches = self._watches, []
        for watch in waiting:
            session, prefix, after, due = watch
            if session.conn.closed:
                continue
            if self._is_away(session):
                self._watches.append(watch)
                continue
            found = self.state.since(prefix, after)
            if found is None:
                session.reply(410, {})
            elif found[0] or now >= due:
                events, reached = found
                if len(events) > PAGE_EVENTS:
                    events = events[:PAGE_EVENTS]
                    reached = events[-1].version
                rows = [self._event(event) for event in events]
                session.reply(200, {'events': rows, 'StoreRevision': reached})
            else:
                self._watches.append(watch)

    def _txn(self, session, query, doc, number):
        expected = {
            row['Key']: row['Revision'] for row in doc.get('ExpectRev', ())
        }
        puts, deletes = doc.get('Puts', ()), doc.get('Deletes', ())
        keys = [row['Key'] for row in puts] + list(deletes)
        if any(key.startswith(FOREIGN) for key in keys):
            session.reply(403, {})
            return
        if self.faults['late_s'] and self._loses_answer():
            self.loop.call_later(self.faults['late_s'], self._run_late, doc)
            session.conn.abort()
            return
        if not self._leases_run(puts):
            raise store_module.Missing()
        wrong = [
            key
            for key, revision in expected.items()
            if self._revision(key) != revision
        ]
        if wrong:
            found = [(key, self.state.get(key)) for key in expected]
            rows = [
                self._row(key, item.value, item.version)
                for key, item in found
                if item is not None
            ]
            session.reply(412, {'items': rows})
            return
        self._write(puts, deletes)
        self._confirm(session, {'Revision': self.state.revision})

    def _run_late(self, doc):
        # A write that was not answered takes effect if its condition holds.
        expected = {
            row['Key']: row['Revision'] for row in doc.get('ExpectRev', ())
        }
        puts = doc.get('Puts', ())
        holds = all(
            self._revision(key) == revision
            for key, revision in expected.items()
        )
        if holds and self._leases_run(puts):
            self._write(puts, doc.get('Deletes', ()))
            self._notify()

    def _leases_run(self, puts):
        leases = [row['Lease'] for row in puts if row.get('Lease')]
        return all(
            self.state.runs(self._leases.get(lease)) for lease in leases
        )

    def _write(self, puts, deletes):
        for row in puts:
            self.state.put(
                row['Key'],
                base64.b64decode(row['Value']),
                self._revision(row['Key']),
                self._leases.get(row.get('Lease'), ''),
            )
        for key in deletes:
            if self.state.get(key) is not None:
                self.state.delete(key, self._revision(key))

    def _lease(self, session, query, doc, number):
        lease = next(self._numbers)
        self._leases[lease] = self.state.grant(
            doc['TtlMs'] / 1000, self.loop.now()
        )
        self._confirm(session, {'Lease': lease, 'TtlMs': doc['TtlMs']})

    def _keep(self, session, query, doc, number):
        ttl = self.state.renew(self._known(number), self.loop.now())
        session.reply(200, {'TtlMs': int(ttl * 1000)})

    def _lease_end(self, session, query, doc, number):
        self.state.revoke(self._known(number))
        self._confirm(session, {})

    def _known(self, number):
        name = self._leases.get(int(number))
        if name is None:
            raise store_module.Missing()
        return name

    def _confirm(self, session, doc):
        self._notify()
        if not self.faults['late_s'] and self._loses_answer():
            session.conn.abort()
        else:
            session.reply(200, doc)

    def _loses_answer(self):
        if self.faults['lose_writes'] > 0:
            self.faults['lose_writes'] -= 1
            return True
        return self._rng.random() < self.faults['lose_probability']

    def _revision(self, key):
        item = self.state.get(key)
        return item.version if item else 0

    @staticmethod
    def _row(key, value, revision):
        return {
            'Key': key,
            'Value': base64.b64encode(value).decode(),
            'Revision': revision,
            'Created': revision,
            'Lease': 0,
        }

    def _event(self, event):
        if event.deleted:
            return {
                'Key': event.key,
                'Revision': event.version,
                'Deleted': True,
            }
        return self._row(event.key, event.value, event.version)


def run(host='127.0.0.1', port=8500, control_port=8501, seed=1):
    """Serve the stand-in in this process until it is ended.

    Prints one JSON line with both ports when it listens.

    Args:
        host: IP address.
        port: port of the store.
        control_port: port of faults and counts.
        seed: seed of lost answers.
    """
    root = circuits.Component()
    loop = loop_module.Loop().register(root)
    store = KvStore(loop, host, port, control_port, random.Random(seed))
    ports = {'port': store.port, 'control_port': store.control_port}
    print(json.dumps(ports), flush=True)
    root.run()
