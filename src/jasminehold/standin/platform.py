"""Stand-in for the platform's key-value service, for tests and benches.

Serves the protocol of section 3.1 of the design page. Values in JSON answers
are base64. A watch returns the changes after revision ``from``.

``POST /v1/faults`` sets any of these keys (``GET /v1/faults`` shows them):

- ``down``: ``"refuse"`` closes the port and all connections, ``"hang"``
  accepts calls, does not run them and never answers; ``""`` ends the outage.
  Data stay in memory, and leases go on expiring.
- ``slow_s``: seconds each call waits before it runs.
- ``lose_probability`` and ``lose_next``: share or number of the next writes
  whose connection is closed after they took effect.
- ``list_lag_s``: age of the instance list.
- ``value_cap_bytes``: largest value.

Faults and counts are also served on a control port, which stays reachable
during an outage.

A registration (``POST /v1/instances``) lasts as long as the connection that
made it, because the kernel keeps the connection of a paused process open and
closes that of a dead one. Its end shows after ``list_lag_s``. After an
outage, which cuts the connections itself, an instance has ``REJOIN_S`` to
register again, so that a running one is never dropped.
"""

import base64
import json
import random
import urllib.parse

import circuits
import h11

from jasminehold import loop as loop_module
from jasminehold.standin import store as store_module

VALUE_CAP_BYTES = 1_000_000
LEASE_CHECK_S = 0.1
REJOIN_S = 10.0
MAX_WAIT_S = 60.0

FAULTS = {
    'down': '',
    'slow_s': 0.0,
    'lose_probability': 0.0,
    'lose_next': 0,
    'list_lag_s': 2.0,
    'value_cap_bytes': VALUE_CAP_BYTES,
}


class Platform:
    """The service on a given loop.

    Args:
        loop: a :class:`jasminehold.loop.Loop`.
        host: IP address.
        port: port, 0 to let the system choose.
        control_port: port of the fault switch, 0 to let the system choose.
        rng: random source of lost replies.

    Attributes:
        port: port bound to.
        control_port: control port bound to.
        counts: calls by kind.
        store: the :class:`jasminehold.standin.store.Store`.
    """

    def __init__(
        self, loop, host='127.0.0.1', port=0, control_port=0, rng=None
    ):
        self.loop = loop
        self.host = host
        self.counts = {}
        self.store = store_module.Store()
        self.faults = dict(FAULTS)
        self._rng = rng or random.Random(1)
        self._sessions = set()
        self._watches = []
        self._instances = {}
        self._listed = {}
        self._entries = {}
        self._serial = 0
        self._listener = loop.listen(host, port, self._accept)
        self.port = self._listener.port
        self._control = loop.listen(host, control_port, self._accept_control)
        self.control_port = self._control.port
        self._timer = loop.call_later(LEASE_CHECK_S, self._tick)

    def close(self):
        """Stop serving."""
        self._timer.cancel()
        self._control.close()
        self._listener.close()
        for session in list(self._sessions):
            session.conn.abort()

    def set_faults(self, **changes):
        """Change faults, see the module's text for the names."""
        unknown = set(changes) - set(FAULTS)
        if unknown:
            raise ValueError('unknown fault: %s' % sorted(unknown))
        self.faults.update(changes)
        if self.faults['down'] != 'refuse':
            if self._listener.closed:
                self._listener = self.loop.listen(
                    self.host, self.port, self._accept
                )
            return
        self._listener.close()
        for session in list(self._sessions):
            if not session.control:
                session.conn.abort()

    def stats(self):
        """Return the counts of calls and of what is held."""
        return {
            'calls': dict(self.counts),
            'connections': len(self._sessions),
            'watches': len(self._watches),
            'revision': self.store.revision,
        }

    def _accept(self, conn):
        self._sessions.add(_Session(self, conn, False))

    def _accept_control(self, conn):
        self._sessions.add(_Session(self, conn, True))

    def _tick(self):
        self._timer = self.loop.call_later(LEASE_CHECK_S, self._tick)
        self.store.expire(self.loop.now())
        self._notify()

    def handle(self, session, method, target, body):
        """Run one call of a session, now or after the set delay."""
        url = urllib.parse.urlsplit(target)
        path = urllib.parse.unquote(url.path)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        if path in ('/v1/faults', '/v1/stats'):
            self._handle_control(session, method, path, body)
            return
        if session.control:
            session.reply(404, {})
            return
        kind, func = self._route(method, path, query)
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if self.faults['down']:
            return

        def call():
            if session.conn.closed or self.faults['down']:
                return
            try:
                func(session, path, query, body)
            except store_module.Mismatch as exc:
                session.reply(409, {'version': exc.version})
            except store_module.Missing:
                session.reply(404, {})
            except (KeyError, ValueError) as exc:
                session.reply(400, {'error': repr(exc)})

        if self.faults['slow_s']:
            self.loop.call_later(self.faults['slow_s'], call)
        else:
            call()

    def _handle_control(self, session, method, path, body):
        if path == '/v1/stats':
            session.reply(200, self.stats())
            return
        try:
            if method == 'POST':
                self.set_faults(**json.loads(body))
        except (TypeError, ValueError) as exc:
            session.reply(400, {'error': str(exc)})
            return
        session.reply(200, self.faults)

    def _route(self, method, path, query):
        if path == '/v1/kv' and method == 'GET':
            return 'list', self._list
        if path.startswith('/v1/kv/'):
            kinds = {'GET': self._get, 'PUT': self._put}
            kinds['DELETE'] = self._delete
            if method in kinds:
                return method.lower(), kinds[method]
        if path == '/v1/watch' and method == 'GET':
            return 'watch', self._watch
        if path == '/v1/leases' and method == 'POST':
            return 'grant', self._grant
        if path.startswith('/v1/leases/') and method == 'POST':
            return 'renew', self._renew
        if path.startswith('/v1/leases/') and method == 'DELETE':
            return 'revoke', self._revoke
        if path == '/v1/instances' and method in ('GET', 'POST'):
            if method == 'GET':
                return 'instances', self._list_instances
            return 'register', self._register
        return 'unknown', lambda session, *args: session.reply(404, {})

    def _confirm(self, session, status, doc):
        # Answers a write, or loses the answer when told to.
        self._notify()
        lose = self._rng.random() < self.faults['lose_probability']
        if self.faults['lose_next'] > 0:
            self.faults['lose_next'] -= 1
            lose = True
        if lose:
            session.conn.abort()
        else:
            session.reply(status, doc)

    def _get(self, session, path, query, body):
        item = self.store.get(path[len('/v1/kv/') :])
        if item is None:
            raise store_module.Missing()
        session.reply_raw(200, item.value, [('Version', str(item.version))])

    def _put(self, session, path, query, body):
        if len(body) > self.faults['value_cap_bytes']:
            session.reply(413, {})
            return
        key = path[len('/v1/kv/') :]
        expected = int(query['if_version'])
        version = self.store.put(key, body, expected, query.get('lease', ''))
        self._confirm(session, 200, {'version': version})

    def _delete(self, session, path, query, body):
        key = path[len('/v1/kv/') :]
        version = self.store.delete(key, int(query['if_version']))
        self._confirm(session, 200, {'version': version})

    def _list(self, session, path, query, body):
        found, more = self.store.list(
            query.get('prefix', ''), query.get('after', '')
        )
        items = [
            {'key': key, 'value': _text(item.value), 'version': item.version}
            for key, item in found
        ]
        doc = {'items': items, 'revision': self.store.revision, 'more': more}
        session.reply(200, doc)

    def _watch(self, session, path, query, body):
        wait = min(float(query.get('wait', 0)), MAX_WAIT_S)
        due = self.loop.now() + wait
        prefix = query.get('prefix', '')
        self._watches.append((session, prefix, int(query['from']), due))
        self._notify()

    def _notify(self):
        now = self.loop.now()
        kept = []
        for watch in self._watches:
            session, prefix, revision, due = watch
            if session.conn.closed:
                continue
            if self.faults['down']:
                kept.append(watch)
                continue
            found = self.store.since(prefix, revision)
            if found is None:
                session.reply(410, {'revision': self.store.revision})
                continue
            events, reached = found
            if not events and now < due:
                kept.append(watch)
                continue
            docs = [
                {**event._asdict(), 'value': _text(event.value)}
                for event in events
            ]
            session.reply(200, {'events': docs, 'revision': reached})
        self._watches = kept

    def _grant(self, session, path, query, body):
        lease = self.store.grant(float(query['ttl']), self.loop.now())
        self._confirm(session, 200, {'lease': lease})

    def _renew(self, session, path, query, body):
        lease = path.split('/')[3]
        ttl = self.store.renew(lease, self.loop.now())
        self._confirm(session, 200, {'ttl': ttl})

    def _revoke(self, session, path, query, body):
        self.store.revoke(path.split('/')[3])
        self._confirm(session, 200, {})

    def _list_instances(self, session, path, query, body):
        session.reply(200, [self._listed[key] for key in sorted(self._listed)])

    def _register(self, session, path, query, body):
        entry = json.loads(body)
        ident = entry['id']
        known = session.registered.get(ident)
        if known is not None and self._entries.get(ident) == (known, entry):
            # A repeat must not restart the lag: an entry that is repeated
            # more often than the lag would never be listed.
            session.reply(200, {})
            return
        self._serial += 1
        session.registered[ident] = self._serial
        self._entries[ident] = (self._serial, entry)
        self._change(entry['id'], self._serial, entry, 0.0)
        session.reply(200, {})

    def _change(self, ident, serial, entry, grace):
        def apply():
            if self._instances.get(ident) != serial:
                return
            if entry is None:
                self._listed.pop(ident, None)
            else:
                self._listed[ident] = entry

        if entry is not None:
            self._instances[ident] = serial
        self.loop.call_later(self.faults['list_lag_s'] + grace, apply)

    def end_session(self, session):
        """Forget a closed connection and end what it registered."""
        self._sessions.discard(session)
        for ident, serial in session.registered.items():
            self._drop_later(ident, serial)

    def _drop_later(self, ident, serial):
        if self.faults['down']:
            self.loop.call_later(
                LEASE_CHECK_S, self._drop_later_after_outage, ident, serial
            )
            return
        self._change(ident, serial, None, 0.0)

    def _drop_later_after_outage(self, ident, serial):
        if self.faults['down']:
            self.loop.call_later(
                LEASE_CHECK_S, self._drop_later_after_outage, ident, serial
            )
            return
        self._change(ident, serial, None, REJOIN_S)


class _Session:
    """One client connection of the stand-in."""

    def __init__(self, platform, conn, control):
        self.conn = conn
        self.control = control
        self.registered = {}
        self._platform = platform
        self._http = h11.Connection(h11.SERVER)
        self._request = None
        self._body = bytearray()
        conn.on_data = self._on_data
        conn.on_close = self._on_close

    def _on_close(self, exc):
        self._platform.end_session(self)

    def _on_data(self, data):
        self._http.receive_data(data)
        self._pump()

    def _pump(self):
        while not self.conn.closed:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self.conn.abort()
                return
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Request):
                self._request = event
                self._body.clear()
            elif isinstance(event, h11.Data):
                self._body.extend(event.data)
                if len(self._body) > 2 * VALUE_CAP_BYTES:
                    self.conn.abort()
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._platform.handle(
                    self,
                    self._request.method.decode(),
                    self._request.target.decode(),
                    bytes(self._body),
                )
            elif isinstance(event, h11.ConnectionClosed):
                self.conn.close()
                return

    def reply(self, status, doc):
        """Send a JSON answer."""
        self.reply_raw(status, json.dumps(doc).encode(), [])

    def reply_raw(self, status, body, headers):
        """Send an answer and go on with the next request."""
        if self.conn.closed:
            return
        headers = headers + [('Content-Length', str(len(body)))]
        send = self._http.send
        head = h11.Response(status_code=status, headers=headers)
        out = send(head) + send(h11.Data(data=body))
        self.conn.write(out + send(h11.EndOfMessage()))
        if self._http.our_state is h11.MUST_CLOSE:
            self.conn.close()
            return
        self._http.start_next_cycle()
        self._platform.loop.call_soon(self._pump)


def _text(value):
    return base64.b64encode(value).decode('ascii')


def run(host='127.0.0.1', port=8500, control_port=8501, seed=1):
    """Serve the stand-in in this process until it is ended.

    Prints one JSON line with both ports when it listens.

    Args:
        host: IP address.
        port: port of the service.
        control_port: port of the fault switch and the counts.
        seed: seed of lost replies.
    """
    root = circuits.Component()
    loop = loop_module.Loop().register(root)
    platform = Platform(loop, host, port, control_port, random.Random(seed))
    ports = {'port': platform.port, 'control_port': platform.control_port}
    print(json.dumps(ports), flush=True)
    root.run()
