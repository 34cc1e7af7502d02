"""Operators' HTTP API, metrics and health on ``circuits.web``.

=================================  =========================================
``GET /v1/resources/<kind>``       list; ``after`` continues a page
``GET /v1/resources/<kind>/<n>``   one resource with its status
``PUT /v1/resources/<kind>/<n>``   declare or update by resource version
``DELETE /v1/resources/...``       delete; ``resource_version`` is optional
``GET /v1/watch``                  changes after ``from`` (long poll)
``GET /v1/audit``                  audit entries after ``after`` (long poll)
``GET /v1/drains``                 temporary drains
``PUT /v1/drains/<kind>/<name>``   start one for ``seconds``; needs no platform
``DELETE /v1/drains/...``          end it
``GET /metrics /healthz /readyz``  without a token
=================================  =========================================

:mod:`jasminehold.api_guard` checks each request first.
"""

import json
import random
import re
import socket
import typing
import urllib.parse

import circuits
from circuits.net import sockets
from circuits.web import events as web_events
from circuits.web import http as web_http

from jasminehold import api_guard
from jasminehold import config as config_module
from jasminehold import documents
from jasminehold import errors
from jasminehold import history as history_module
from jasminehold import logs
from jasminehold import resources
from jasminehold.resources import decode
from jasminehold.resources import fields
from jasminehold import store

# A page ends at either limit and says that more follows, so that one request
# cannot make an instance buffer the whole configuration.
MAX_PAGE_BYTES = 1024 * 1024
MAX_PAGE_ITEMS = 1000
# Limits the kernel memory of a connection whose client does not read. Without
# it the kernel buffers a whole page per connection, 256 MB in all at the
# default connection limit.
SEND_BUFFER_BYTES = 64 * 1024

_log = logs.get('api')


class ApiContext(typing.NamedTuple):
    """Functions and objects of the application that the API uses.

    Attributes:
        writes: the :class:`store.WriteContext` for operators' writes.
        status_of: ``status_of(kind, name)`` returns the status document.
        not_ready: returns the list of reasons why the instance is not ready.
        accepted: called with the :class:`config.Entry` of each successful
            write, after the config contains it, to send it to the other
            instances.
        drains: the :class:`temporary_drains.TemporaryDrains`.
    """

    writes: store.WriteContext
    status_of: typing.Callable
    not_ready: typing.Callable
    accepted: typing.Callable
    drains: object = None


class _LongPoll:
    """A long poll that waits for changes."""

    def __init__(self, req, finish):
        self.req = req
        self.finish = finish
        self.timer = None


class Api(circuits.BaseComponent):
    """The operators' API; a component in the tree of ``loop.Loop``.

    Args:
        cfg: the settings.
        loop: the event loop.
        context: the :class:`ApiContext`.
        rng: random source for the first change number.
    """

    channel = 'web'
    # Read by circuits.web's HTTP component.
    secure = False
    display_banner = False

    def __init__(self, cfg, loop, context, rng=None):
        super().__init__(channel=self.channel)
        self._cfg = cfg
        self._loop = loop
        self._context = context
        self._config = context.writes.config
        self._metrics = context.writes.metrics
        self._pending = {}
        self._long_polls = {}
        self._stopping = False
        self._history = history_module.History(
            cfg.watch_history, rng or random.SystemRandom()
        )
        self._config.add_listener(self._on_change)
        # ``circuits.web.BaseServer`` is not used: it ends the process 3 s
        # after any signal and would abort requests that a graceful stop waits
        # for.
        self._server = sockets.TCPServer(
            tuple(cfg.api_listen),
            channel=self.channel,
            socket_options=[
                (socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            ],
        ).register(self)
        self.host, self.port = self._server.host, self._server.port
        self._http = http = web_http.HTTP(self, channel=self.channel)
        http.register(self)
        # The handler reads attributes that events of other components lack.
        # It would fail again on the exception event of its own failure, in an
        # endless loop.
        http.removeHandler(http._on_exception, 'exception')
        self._guard = api_guard.Guard(
            cfg, loop, self._metrics, self._server._close
        ).register(self)

    @property
    def in_flight(self):
        """Number of requests that have not been answered yet."""
        return len(self._pending)

    def stop_accepting(self):
        """Close the listener and end long polls; requests in flight finish."""
        if self._stopping:
            return
        self._stopping = True
        self._server._close(self._server._sock)
        self._guard.close_idle()
        for long_poll in list(self._long_polls.values()):
            long_poll.finish()

    @circuits.handler('request', priority=1.0)
    def _on_request(self, event, req, res):
        event.stop()
        self._pending[req.sock] = req
        try:
            self._dispatch(req, res)
        except errors.JasmineholdError as exc:
            self._fail(req, res, exc)
        except Exception as exc:
            self._fail_internal(req, res, exc)
        # True tells circuits.web that the answer is sent separately.
        return True

    @circuits.handler('write', 'close', priority=10.0)
    def _on_send(self, event, sock=None, *args):
        # If the connection ended while the event was queued, the server would
        # create a buffer for it and never free it.
        if sock is not None and sock not in self._server._clients:
            event.stop()

    @circuits.handler('disconnect')
    def _on_disconnect(self, sock):
        self._pending.pop(sock, None)
        # Neither removes its buffer of a connection that ends while a request
        # is forwarded or an answer is sent.
        self._http._buffers.pop(sock, None)
        self._server._buffers.pop(sock, None)
        long_poll = self._long_polls.pop(sock, None)
        if long_poll is not None:
            long_poll.timer.cancel()

    def _dispatch(self, req, res):
        if req.path in api_guard.PUBLIC_PATHS:
            self._serve_public_path(req, res)
            return
        parts = req.path.split('/')[1:]
        if parts[:2] == ['v1', 'resources'] and len(parts) in (3, 4):
            resources.require_kind(parts[2])
            if len(parts) == 3:
                _require_get(req)
                self._list(req, res, parts[2])
                return
            if not fields.is_name(parts[3]):
                raise errors.RequestError(
                    errors.Kind.BAD_REQUEST, 'The name ' + fields.NAME_RULE
                )
            handlers = {'GET': self._get, 'PUT': self._put}
            handlers['DELETE'] = self._delete
            handlers[req.method](req, res, parts[2], parts[3])
        elif parts == ['v1', 'watch']:
            _require_get(req)
            self._serve_watch(req, res)
        elif parts == ['v1', 'audit']:
            _require_get(req)
            self._serve_audit(req, res)
        elif parts[:2] == ['v1', 'drains'] and len(parts) in (2, 4):
            self._serve_drains(req, res, parts[2:])
        else:
            raise errors.RequestError(errors.Kind.NOT_FOUND, 'No such path.')

    def _serve_public_path(self, req, res):
        _require_get(req)
        if req.path == '/metrics':
            body = self._metrics.render()
            self._answer(req, res, 200, body, 'text/plain; version=0.0.4')
        elif req.path == '/healthz':
            self._answer(req, res, 200, {'healthy': True})
        else:
            reasons = self._context.not_ready()
            status = 503 if reasons else 200
            document = {'ready': not reasons, 'reasons': reasons}
            self._answer(req, res, status, document)

    def _list(self, req, res, kind):
        query = _parse_query(req, {'after'})
        after = query.get('after', '')
        page = _Page()
        position = self._history.position
        more = False
        for entry in self._config.entries(kind):
            name = entry['value']['metadata']['name']
            if name <= after:
                continue
            if page.full:
                more = True
                break
            page.add(self._resource_document(entry))
        extra = {'revision': position, 'more': more}
        extra['config_revision'] = self._config.revision
        self._answer(req, res, 200, page.document('items', extra))

    def _get(self, req, res, kind, name):
        _parse_query(req, set())
        entry = self._config.entry(kind, name)
        if entry is None or entry['value'].get('deleted'):
            raise errors.ResourceNotFound()
        self._answer(req, res, 200, self._resource_document(entry))

    def _put(self, req, res, kind, name):
        _parse_query(req, set())
        doc = decode.decode(req.body.read())
        actor = self._guard.request_of(req.sock).actor
        done = self._write_callback(req, res)
        store.put(self._context.writes, kind, name, doc, actor, done)

    def _delete(self, req, res, kind, name):
        query = _parse_query(req, {'resource_version'})
        version = None
        if 'resource_version' in query:
            version = _parse_whole_number(query, 'resource_version', 0)
        actor = self._guard.request_of(req.sock).actor
        done = self._write_callback(req, res)
        store.delete(self._context.writes, kind, name, version, actor, done)

    def _write_callback(self, req, res):
        def done(outcome, exc):
            try:
                if exc is not None:
                    self._fail(req, res, exc)
                    return
                entry = outcome.entry
                self._config.apply([entry])
                self._context.accepted(entry)
                change = entry['value']['change']
                _log(
                    'resource changed',
                    key=entry['key'],
                    version=entry['version'],
                    actor=change['actor'],
                    verb=change['verb'],
                )
                status = 201 if outcome.created else 200
                self._answer(req, res, status, self._resource_document(entry))
            except Exception as exc:
                self._fail_internal(req, res, exc)

        return done

    def _serve_drains(self, req, res, target):
        drains = self._context.drains
        query = _parse_query(req, {'seconds'})
        if target and req.method != 'GET':
            if not all(fields.is_name(part) for part in target):
                raise errors.RequestError(errors.Kind.BAD_REQUEST)
            actor = self._guard.request_of(req.sock).actor
            if req.method == 'PUT':
                seconds = _parse_whole_number(query, 'seconds', 600)
                drains.start(*target, seconds, actor)
            else:
                drains.end(*target, actor)
        elif target or req.method != 'GET':
            raise errors.RequestError(errors.Kind.METHOD_NOT_ALLOWED)
        self._answer(req, res, 200, {'drains': drains.documents()})

    def _serve_watch(self, req, res):
        query = _parse_query(req, {'from', 'kind', 'wait'})
        wait = self._parse_wait(query)
        kind = query.get('kind')
        if kind is not None:
            resources.require_kind(kind)
        position = _parse_whole_number(query, 'from', self._history.position)

        def try_answer(allow_empty):
            nonlocal position
            count, body = self._events_since(position, kind)
            if count or allow_empty:
                self._answer(req, res, 200, body)
                return True
            # No change up to the new position matches. Advancing it avoids
            # a second scan, and the position cannot expire during the wait.
            position = self._history.position
            return False

        if try_answer(wait == 0):
            return
        self._add_long_poll(req, res, wait, try_answer)

    def _events_since(self, position, kind):
        changes = self._history.since(position)
        latest = {key: number for number, key in changes}
        page = _Page()
        last_number = self._history.position
        for number, key in changes:
            # A key that changed several times is listed at its last change.
            if latest[key] != number:
                continue
            if page.full:
                last_number = number - 1
                break
            entry_kind, name = config_module.split_key(key)
            if kind is None or kind == entry_kind:
                entry = self._config.entry(entry_kind, name)
                deleted = bool(entry['value'].get('deleted'))
                event = {'type': 'delete' if deleted else 'put'}
                event['resource'] = self._resource_document(entry)
                page.add(event)
        return page.count, page.document('events', {'revision': last_number})

    def _add_long_poll(self, req, res, wait, try_answer):
        if len(self._long_polls) >= self._cfg.max_watches or self._stopping:
            raise errors.RequestError(
                errors.Kind.OVERLOADED,
                'Too many watches are waiting.',
                retry_after=1,
            )

        def finish(allow_empty=True):
            try:
                if not try_answer(allow_empty):
                    return
            except errors.JasmineholdError as exc:
                self._fail(req, res, exc)
            except Exception as exc:
                self._fail_internal(req, res, exc)
            if self._long_polls.pop(req.sock, None) is not None:
                long_poll.timer.cancel()

        if req.sock.fileno() < 0:
            # The client's disconnect was handled before its request.
            return
        long_poll = _LongPoll(req, finish)
        long_poll.timer = self._loop.call_later(wait, finish)
        self._long_polls[req.sock] = long_poll

    def _on_change(self, entries):
        self._history.add(entries)
        for long_poll in list(self._long_polls.values()):
            long_poll.finish(False)

    def _serve_audit(self, req, res):
        query = _parse_query(req, {'after', 'wait'})
        after = _parse_whole_number(query, 'after', 0)
        wait = self._parse_wait(query)
        client = self._context.writes.client
        entries = []

        def try_answer(allow_empty):
            if not entries and not allow_empty:
                return False
            entries.sort(key=lambda entry: entry['version'])
            document = {'entries': entries, 'after': after}
            if entries:
                document['after'] = entries[-1]['version']
            self._answer(req, res, 200, document)
            return True

        def add_entries(items):
            for item in items:
                if item.key > store.audit_key(after):
                    entries.extend(_audit_entry(item))

        def end_watch(exc):
            # The client may have disconnected or the wait may have ended.
            if self._pending.get(req.sock) is not req:
                return
            long_poll = self._long_polls.get(req.sock)
            if exc is not None:
                if long_poll is not None:
                    del self._long_polls[req.sock]
                    long_poll.timer.cancel()
                self._fail(req, res, exc)
            elif long_poll is not None:
                long_poll.finish(False)

        def on_page(page, exc):
            if exc is not None:
                end_watch(exc)
                return
            try:
                add_entries(page.items)
                if try_answer(wait == 0):
                    return
                self._add_long_poll(req, res, wait, try_answer)
            except errors.JasmineholdError as exc:
                self._fail(req, res, exc)
                return
            except Exception as exc:
                self._fail_internal(req, res, exc)
                return
            watch_audit(page.revision)

        def watch_audit(revision):
            client.watch(store.AUDIT_PREFIX, revision, wait, on_changes)

        def on_changes(changes, exc):
            if exc is None:
                add_entries(e for e in changes.events if not e.deleted)
            end_watch(exc)
            if not entries and exc is None and req.sock in self._long_polls:
                watch_audit(changes.revision)

        client.list(store.AUDIT_PREFIX, store.audit_key(after), on_page)

    def _parse_wait(self, query):
        try:
            wait = float(query.get('wait', '0'))
        except ValueError:
            wait = -1.0
        if not wait >= 0:
            raise errors.RequestError(
                errors.Kind.BAD_REQUEST,
                'wait: must be seconds from 0 up',
            )
        return min(wait, self._cfg.watch_wait_max)

    def _resource_document(self, entry):
        doc = entry['value']
        metadata = {**doc['metadata'], 'resource_version': entry['version']}
        document = {'kind': doc['kind'], 'metadata': metadata}
        document['spec'] = doc['spec']
        if not doc.get('deleted'):
            document['status'] = self._context.status_of(
                doc['kind'], metadata['name']
            )
        document['change'] = doc['change']
        return document

    def _fail(self, req, res, exc):
        self._metrics.inc('api_refused_total', kind=exc.kind.value)
        for name, value in api_guard.error_headers(exc).items():
            res.headers[name] = value
        status = errors.answer_for(exc.kind).status
        self._answer(req, res, status, api_guard.error_document(exc))

    def _fail_internal(self, req, res, exc):
        _log('request failed', 'error', path=req.path, exception=repr(exc))
        self._fail(req, res, errors.JasmineholdError())

    def _answer(self, req, res, status, body, content_type=None):
        if self._pending.get(req.sock) is not req:
            return
        del self._pending[req.sock]
        self._metrics.inc(
            'api_requests_total', method=req.method, status=str(status)
        )
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        res.status = status
        res.headers['Content-Type'] = content_type or 'application/json'
        res.body = body
        self.fire(web_events.response(res))


class _Page:
    """Documents of one answer, encoded once and limited in size."""

    def __init__(self):
        self._parts = []
        self._size = 0

    @property
    def count(self):
        """Number of documents."""
        return len(self._parts)

    @property
    def full(self):
        """Whether the next document belongs on the next page."""
        return self._size >= MAX_PAGE_BYTES or self.count >= MAX_PAGE_ITEMS

    def add(self, document):
        """Add one document."""
        text = json.dumps(document)
        self._parts.append(text)
        self._size += len(text)

    def document(self, name, extra):
        """Return JSON with the documents under ``name`` and with ``extra``."""
        rest = json.dumps(extra)[1:]
        text = '{"%s": [%s], %s' % (name, ', '.join(self._parts), rest)
        return text.encode()


def _require_get(req):
    if req.method != 'GET':
        raise errors.RequestError(errors.Kind.METHOD_NOT_ALLOWED)


def _audit_entry(item):
    # Returns a list of one entry, or an empty one.
    try:
        documents.read(item.value, 'version', 'change')
        return [documents.decode(item.value)]
    except errors.UnreadableDocument as exc:
        _log('audit entry skipped', level='error', key=item.key, error=exc)
        return []


def _parse_query(req, known):
    try:
        pairs = urllib.parse.parse_qsl(
            req.qs, keep_blank_values=True, strict_parsing=bool(req.qs)
        )
    except ValueError as exc:
        raise errors.RequestError(
            errors.Kind.BAD_REQUEST, 'The query is malformed.'
        ) from exc
    query = dict(pairs)
    unknown = set(query) - known
    if unknown or len(query) != len(pairs):
        raise errors.RequestError(
            errors.Kind.BAD_REQUEST,
            'The query may only have, each once: %s.'
            % (', '.join(sorted(known)) or 'nothing'),
        )
    return query


def _parse_whole_number(query, name, default):
    text = query.get(name)
    if text is None:
        return default
    if not re.fullmatch(r'[0-9]{1,19}', text):
        raise errors.RequestError(
            errors.Kind.BAD_REQUEST, '%s: must be a whole number' % name
        )
    return int(text)
