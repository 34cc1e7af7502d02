"""Fake server of the platform's key-value store.

Serves the published protocol, ``/api/kv-*``: single keys, pages of keys,
long-polling watches, conditional transactions and leases. ``GET /stats`` on
the control port returns counts. Faults are injected by
:meth:`KvStore.set_faults`, or by ``POST /faults`` on the control port, which
stays reachable during an outage:

- ``mode``: ``''``, ``'silent'`` (no responses), ``'busy'`` (503), ``'many'``
  (429), ``'reset'`` (closes all connections) or ``'refuse'`` (also closes
  the port).
- ``hosts``: IP addresses of the clients that the mode affects, None for all.
- ``slow_s``: delay of each call, in seconds.
- ``bytes_per_s``: rate of each response, 0 for no limit.
- ``lose_writes``: number of next writes that take effect but whose
  connection is closed without a response; ``lose_probability``: probability
  of the same for each further write.
- ``late_s``: delay of the writes that lose their response, in seconds;
  0 for none.
- ``stale_s``: age of the data that a read with ``StaleOk`` returns.
- ``leases``: whether leases ``'expire'`` or ``'pause'`` while a mode is set.

The data are kept in memory during an outage. In a drill the store comes back
from a copy, :meth:`KvStore.go_back`: what was written since is lost, leases
too, revisions and lease ids are given out again, and the header ``Store-Era``
of all responses rises by one.

``POST /api/instances`` is not part of the protocol. It registers the sending
process under ``instances/`` until its connection closes: the kernel keeps the
connection of a paused process open and closes that of a dead one. An outage
may close connections of running processes, so entries are kept for another
``REREGISTER_GRACE_S`` after it. A process registers again within that time,
so a running one is never dropped.
"""

import base64
import copy
import itertools
import json
import random
import urllib.parse

import circuits

from jasminehold import loop as loop_module
from jasminehold.standin import http_server
from jasminehold.standin import store as store_module

LEASE_CHECK_INTERVAL_S = 0.05
REREGISTER_GRACE_S = 10.0
MAX_PAGE_ITEMS = 500
MAX_WATCH_EVENTS = 500
MAX_WAIT_MS = 30_000
KV_PATH_PREFIX = '/api/kv-'
REGISTER_PATH = '/api/instances'
# Keys that clients may not write.
READ_ONLY_PREFIXES = ('op/', 'servers/')
NO_FAULTS = {
    'mode': '',
    'hosts': None,
    'slow_s': 0.0,
    'bytes_per_s': 0,
    'lose_writes': 0,
    'lose_probability': 0.0,
    'late_s': 0.0,
    'stale_s': 2.0,
    'leases': 'expire',
}
_MODE_STATUS = {'busy': 503, 'many': 429}


class KvStore:
    """The store, served on an event loop.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        host: IP address.
        port: port, 0 for any free port.
        control_port: port of ``/faults`` and ``/stats``, 0 for any free
            port, None to disable.
        rng: random source for lost responses.

    Attributes:
        port: bound port.
        control_port: bound control port.
        counts: number of calls by name.
        era: number of drills so far, plus one.
        lease_calls: ``(era, lease id)`` of the renewals and revocations.
        grants: ``(era, lease id)`` of the leases that were granted.
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
        self.faults = dict(NO_FAULTS)
        self._conns = set()
        self._watches = []
        self._ids = itertools.count(70_000)
        self.era = 1
        self.lease_calls = []
        self.grants = []
        self._era_headers = [(b'store-era', b'1')]
        self._registered = {}
        self._leases = {}
        self._stale_items = {}
        self._stale_revision = self.state.revision
        self._scheduled_revision = self.state.revision
        self._listener = loop.listen(host, port, self._on_accept)
        self.port = self._listener.port
        self._control = None
        if control_port is not None:
            self._control = loop.listen(host, control_port, self._on_control)
            self.control_port = self._control.port
        loop.call_later(LEASE_CHECK_INTERVAL_S, self._expire_leases)

    # Used by tests.

    def set_faults(self, **faults):
        """Set faults and clear all others."""
        unknown = set(faults) - set(NO_FAULTS)
        if unknown:
            raise ValueError('unknown fault: %s' % sorted(unknown))
        self.faults = {**NO_FAULTS, **faults}
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
        """Return counts of calls, connections and watches."""
        return {
            'calls': dict(self.counts),
            'connections': len(self._conns),
            'watches': len(self._watches),
            'revision': self.state.revision,
        }

    def put(self, key, doc):
        """Write a key directly, as an operator or an upstream does.

        Args:
            key: the key.
            doc: JSON document, or raw bytes.
        """
        value = doc if isinstance(doc, bytes) else json.dumps(doc).encode()
        item = self.state.get(key)
        self.state.put(key, value, item.version if item else 0)
        self._publish_changes()

    def delete(self, key):
        """Remove a key if it exists."""
        item = self.state.get(key)
        if item is not None:
            self.state.delete(key, item.version)
            self._publish_changes()

    def compact_history(self):
        """Drop the event history and abort the pending watches."""
        self.state.events.clear()
        for watch in self._watches:
            watch[0].conn.abort()
        self._watches = []

    def copy_state(self):
        """Return a copy of the data that :meth:`go_back` takes."""
        return copy.deepcopy((self.state, self._leases, self._ids))

    def go_back(self, state):
        """Come back from a copy of the data, as after a drill."""
        self.state, self._leases, self._ids = copy.deepcopy(state)
        self.era += 1
        self._era_headers[0] = (b'store-era', b'%d' % self.era)
        self._scheduled_revision = self._stale_revision = self.state.revision
        self._stale_items.clear()
        for conn in list(self._conns):
            conn.abort()
        self._watches = []

    def close(self):
        """Stop serving."""
        self._listener.close()
        if self._control is not None:
            self._control.close()
        for conn in list(self._conns):
            conn.abort()

    # Handlers of calls.

    def _on_accept(self, conn):
        self._conns.add(conn)
        session = http_server.ServerConn(self.loop, conn, self._handle)
        session.headers = self._era_headers
        conn.on_close = lambda exc: self._on_close(session)

    def _on_close(self, session):
        self._conns.discard(session.conn)
        for name, (registration_id, owner) in list(self._registered.items()):
            if owner is session:
                self._unregister(name, registration_id, 0.0)

    def _unregister(self, name, registration_id, grace_s):
        if self.faults['mode']:
            self.loop.call_later(
                LEASE_CHECK_INTERVAL_S,
                self._unregister,
                name,
                registration_id,
                REREGISTER_GRACE_S,
            )
        elif grace_s:
            self.loop.call_later(
                grace_s, self._unregister, name, registration_id, 0.0
            )
        elif self._registered.get(name, (0,))[0] == registration_id:
            del self._registered[name]
            self.delete('instances/' + name)

    def _register(self, session, body):
        entry = json.loads(body)
        name, registration_id = entry['id'], next(self._ids)
        self._registered[name] = (registration_id, session)
        item = self.state.get('instances/' + name)
        # A repeated registration must not restart the lag of stale reads.
        if item is None or json.loads(item.value) != entry:
            self.put('instances/' + name, entry)
        session.send_json(200, {})

    def _on_control(self, conn):
        http_server.ServerConn(self.loop, conn, self._handle_control)

    def _handle_control(self, session, head, body):
        if head.target == b'/stats':
            session.send_json(200, self.stats())
        elif head.target == b'/faults':
            try:
                if head.method == b'POST':
                    self.set_faults(**json.loads(body))
            except (TypeError, ValueError) as exc:
                session.send_json(400, {'error': str(exc)})
                return
            session.send_json(200, self.faults)
        else:
            session.send_json(404, {})

    def _expire_leases(self):
        self.loop.call_later(LEASE_CHECK_INTERVAL_S, self._expire_leases)
        if self.faults['mode'] and self.faults['leases'] == 'pause':
            self.state.extend_all(LEASE_CHECK_INTERVAL_S)
        self.state.expire(self.loop.now())
        self._publish_changes()

    def _handle(self, session, head, body):
        url = urllib.parse.urlsplit(head.target.decode())
        query = dict(urllib.parse.parse_qsl(url.query, True))
        name, _, lease_id = url.path[len(KV_PATH_PREFIX) :].partition('/')
        self.counts[name] = self.counts.get(name, 0) + 1
        if self._is_unavailable(session):
            status = _MODE_STATUS.get(self.faults['mode'])
            if status is not None:
                session.send_json(status, {})
            elif self.faults['mode'] == 'reset':
                session.conn.abort()
            return
        if url.path == REGISTER_PATH:
            self._register(session, body)
            return
        handler = getattr(self, '_' + name.replace('-', '_'), None)
        if not url.path.startswith(KV_PATH_PREFIX) or handler is None:
            session.send_json(404, {})
            return
        doc = json.loads(body) if body else {}

        def call():
            session.bytes_per_s = self.faults['bytes_per_s']
            if session.conn.closed or self._is_unavailable(session):
                return
            try:
                handler(session, query, doc, lease_id)
            except store_module.Missing:
                session.send_json(404, {})
            except (KeyError, ValueError) as exc:
                session.send_json(400, {'Error': repr(exc)})

        if self.faults['slow_s']:
            self.loop.call_later(self.faults['slow_s'], call)
        else:
            call()

    def _is_unavailable(self, session):
        hosts = self.faults['hosts']
        if not self.faults['mode']:
            return False
        return hosts is None or session.conn.peer[0] in hosts

    def _key(self, session, query, doc, lease_id):
        item = self.state.get(query['Key'])
        if item is None:
            raise store_module.Missing()
        row = self._row(query['Key'], item.value, item.version)
        session.send_json(200, {**row, 'StoreRevision': self.state.revision})

    def _range(self, session, query, doc, lease_id):
        if query.get('StaleOk') == '1':
            self._range_stale(session, query)
            return
        found, more = self.state.list(
            query.get('Prefix', ''), query.get('after', '')
        )
        rows = [
            self._row(key, item.value, item.version) for key, item in found
        ]
        more = more or len(rows) > MAX_PAGE_ITEMS
        session.send_json(
            200,
            {
                'items': rows[:MAX_PAGE_ITEMS],
                'HasMore': more,
                'StoreRevision': self.state.revision,
            },
        )

    def _range_stale(self, session, query):
        prefix, after = query.get('Prefix', ''), query.get('after', '')
        rows = [
            self._row(event.key, event.value, event.version)
            for key, event in sorted(self._stale_items.items())
            if key.startswith(prefix) and key > after
        ]
        session.send_json(
            200,
            {
                'items': rows[:MAX_PAGE_ITEMS],
                'HasMore': len(rows) > MAX_PAGE_ITEMS,
                'StoreRevision': self._stale_revision,
            },
        )

    def _apply_to_stale_items(self, events):
        for event in events:
            self._stale_revision = event.version
            if event.deleted:
                self._stale_items.pop(event.key, None)
            else:
                self._stale_items[event.key] = event

    def _watch(self, session, query, doc, lease_id):
        wait_s = min(int(query['WaitMs']), MAX_WAIT_MS) / 1000
        deadline = self.loop.now() + wait_s
        prefix, after = query.get('Prefix', ''), int(query['after'])
        self._watches.append((session, prefix, after, deadline))
        self._publish_changes()

    def _publish_changes(self):
        now = self.loop.now()
        changes = self.state.since('', self._scheduled_revision)
        if changes is None:
            # The history was compacted; stale reads continue from here.
            self._scheduled_revision = self._stale_revision = (
                self.state.revision
            )
        elif changes[0]:
            # Only part of the changes, if they exceed one page.
            self._scheduled_revision = changes[0][-1].version
            self.loop.call_later(
                self.faults['stale_s'], self._apply_to_stale_items, changes[0]
            )
        waiting, self._watches = self._watches, []
        for watch in waiting:
            session, prefix, after, deadline = watch
            if session.conn.closed:
                continue
            if self._is_unavailable(session):
                self._watches.append(watch)
                continue
            found = self.state.since(prefix, after)
            if found is None:
                session.send_json(410, {})
            elif found[0] or now >= deadline:
                events, reached = found
                if len(events) > MAX_WATCH_EVENTS:
                    events = events[:MAX_WATCH_EVENTS]
                    reached = events[-1].version
                rows = [self._event(event) for event in events]
                session.send_json(
                    200, {'events': rows, 'StoreRevision': reached}
                )
            else:
                self._watches.append(watch)

    def _txn(self, session, query, doc, lease_id):
        expected = {
            row['Key']: row['Revision'] for row in doc.get('ExpectRev', ())
        }
        puts, deletes = doc.get('Puts', ()), doc.get('Deletes', ())
        keys = [row['Key'] for row in puts] + list(deletes)
        if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
            session.send_json(403, {})
            return
        if self.faults['late_s'] and self._loses_response():
            self.loop.call_later(
                self.faults['late_s'], self._run_delayed_write, doc
            )
            session.conn.abort()
            return
        if not self._leases_active(puts):
            raise store_module.Missing()
        mismatched = [
            key
            for key, revision in expected.items()
            if self._revision(key) != revision
        ]
        if mismatched:
            found = [(key, self.state.get(key)) for key in expected]
            rows = [
                self._row(key, item.value, item.version)
                for key, item in found
                if item is not None
            ]
            session.send_json(412, {'items': rows})
            return
        self._write(puts, deletes)
        self._reply_to_write(session, {'Revision': self.state.revision})

    def _run_delayed_write(self, doc):
        # A write without a response takes effect if its conditions hold.
        expected = {
            row['Key']: row['Revision'] for row in doc.get('ExpectRev', ())
        }
        puts = doc.get('Puts', ())
        conditions_hold = all(
            self._revision(key) == revision
            for key, revision in expected.items()
        )
        if conditions_hold and self._leases_active(puts):
            self._write(puts, doc.get('Deletes', ()))
            self._publish_changes()

    def _leases_active(self, puts):
        leases = [row['Lease'] for row in puts if row.get('Lease')]
        return all(
            self.state.is_active(self._leases.get(lease)) for lease in leases
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

    def _lease(self, session, query, doc, lease_id):
        lease = next(self._ids)
        self.grants.append((self.era, lease))
        self._leases[lease] = self.state.grant(
            doc['TtlMs'] / 1000, self.loop.now()
        )
        self._reply_to_write(session, {'Lease': lease, 'TtlMs': doc['TtlMs']})

    def _keep(self, session, query, doc, lease_id):
        ttl = self.state.renew(self._find_lease(lease_id), self.loop.now())
        session.send_json(200, {'TtlMs': int(ttl * 1000)})

    def _lease_end(self, session, query, doc, lease_id):
        self.state.revoke(self._find_lease(lease_id))
        self._reply_to_write(session, {})

    def _find_lease(self, lease_id):
        self.lease_calls.append((self.era, int(lease_id)))
        name = self._leases.get(int(lease_id))
        if name is None:
            raise store_module.Missing()
        return name

    def _reply_to_write(self, session, doc):
        self._publish_changes()
        if not self.faults['late_s'] and self._loses_response():
            session.conn.abort()
        else:
            session.send_json(200, doc)

    def _loses_response(self):
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
    """Run the server in this process until it is terminated.

    Prints one JSON line with both ports once it listens.

    Args:
        host: IP address.
        port: port of the store.
        control_port: port of ``/faults`` and ``/stats``.
        seed: seed of the random source for lost responses.
    """
    root = circuits.Component()
    loop = loop_module.Loop().register(root)
    store = KvStore(loop, host, port, control_port, random.Random(seed))
    ports = {'port': store.port, 'control_port': store.control_port}
    print(json.dumps(ports), flush=True)
    root.run()
