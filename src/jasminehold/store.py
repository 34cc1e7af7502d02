"""Operators' writes to the platform, and the audit trail.

A write is a single compare-and-swap of a document that contains a record of
its last change, so both are stored atomically. The audit entry is written
afterwards under the version of the change; :func:`complete_audit` writes the
entries that are missing after a crash.

After a lost reply the same compare-and-swap is sent again. If it succeeds,
earlier copies can no longer take effect. If it fails, the change history of
the key shows whether an earlier copy took effect.
"""

import json
import typing

from jasminehold import config as config_module
from jasminehold import documents
from jasminehold import errors
from jasminehold import resources

AUDIT_PREFIX = 'audit/'
# Delays between the attempts to determine the outcome of a write. Together
# with the client's timeouts an operator's call should end within about 10 s.
RETRY_DELAYS_S = (0.1, 0.4, 1.0, 2.0)
# Later changes of the key that are searched for a write whose reply was lost.
MAX_HISTORY_STEPS = 64


class WriteContext(typing.NamedTuple):
    """Dependencies of the write functions.

    Attributes:
        client: the platform client with ``get``, ``put`` and ``delete``.
        call_later: ``call_later(delay, func)`` schedules a call after
            ``delay`` seconds.
        clock: returns the time in seconds since the epoch.
        new_id: returns a unique id for a write.
        config: the :class:`config.ConfigSet` to check references against,
            or None.
        metrics: the :class:`metrics.Metrics` of the process.
    """

    client: object
    call_later: typing.Callable
    clock: typing.Callable
    new_id: typing.Callable
    config: object
    metrics: object


class Outcome(typing.NamedTuple):
    """Result of an accepted write.

    Attributes:
        entry: the stored :class:`config.Entry`.
        created: whether the write created the resource.
    """

    entry: dict
    created: bool


def put(context, kind, name, doc, actor, done):
    """Declare or update a resource.

    ``metadata.resource_version`` is the version that the update is based on.
    If it is 0 or absent, the resource must not exist yet.

    Args:
        context: the :class:`WriteContext`.
        kind: resource kind.
        name: resource name.
        doc: the parsed document.
        actor: name of the operator.
        done: ``done(outcome, exc)``; ``exc`` is ``InvalidResource``,
            ``ResourceNotFound`` (unknown kind), ``StaleVersion`` (nothing
            changed), ``PlatformUnavailable`` (nothing changed) or
            ``OutcomeUnknown``.
    """
    try:
        resources.check_document(kind, name, doc, context.config)
    except errors.JasmineholdError as exc:
        done(None, exc)
        return
    expected_version = doc.get('metadata', {}).get('resource_version', 0)

    def on_current(item, old):
        live = old is not None and not old['deleted']
        current_version = item.version if live else 0
        if current_version != expected_version:
            done(None, _stale_version_error(current_version))
            return
        generation = old['metadata']['generation'] if old else 0
        if not live or old['spec'] != doc['spec']:
            generation += 1
        verb = 'update' if live else 'declare'
        new = _document(kind, name, doc['spec'], generation, False)
        _write(context, item, new, verb, actor, done)

    _read(context, kind, name, on_current, done)


def delete(context, kind, name, expected_version, actor, done):
    """Delete a resource by storing a tombstone.

    Args:
        context: the :class:`WriteContext`.
        kind: resource kind.
        name: resource name.
        expected_version: version that must be stored now, or None for any.
        actor: name of the operator.
        done: see :func:`put`; also ``ResourceNotFound``.
    """
    try:
        resources.require_kind(kind)
    except errors.JasmineholdError as exc:
        done(None, exc)
        return

    def on_current(item, old):
        if old is None or old['deleted']:
            done(None, errors.ResourceNotFound())
            return
        if expected_version is not None and expected_version != item.version:
            done(None, _stale_version_error(item.version))
            return
        generation = old['metadata']['generation'] + 1
        new = _document(kind, name, {}, generation, True)
        _write(context, item, new, 'delete', actor, done)

    _read(context, kind, name, on_current, done)


def complete_audit(client, events, done):
    """Write missing audit entries for changes received from a watch.

    Entries are written only if absent, so several relays can process the same
    changes.

    Args:
        client: the platform client.
        events: changes with ``key``, ``value`` (bytes), ``version`` and
            ``deleted``; keys that are not resources are ignored.
        done: ``done(written, exc)`` with the number of entries written;
            after an error the caller has to pass the same events again.
    """
    pending = []
    for event in events:
        parts = config_module.split_key(event.key)
        if parts is not None and not event.deleted:
            pending.append((event, parts))
    written = 0

    def write_next():
        if not pending:
            done(written, None)
            return
        event, (kind, name) = pending[0]
        try:
            (change,) = documents.read(event.value, 'change')
        except errors.UnreadableDocument:
            # Not written by this package, so it has no change record.
            pending.pop(0)
            write_next()
            return
        _put_audit(client, event.version, kind, name, change, on_put)

    def on_put(result, exc):
        nonlocal written
        if exc is None:
            written += 1
        elif not isinstance(exc, errors.VersionMismatch):
            done(written, exc)
            return
        pending.pop(0)
        write_next()

    write_next()


def purge_tombstones(client, entries, now, keep, done):
    """Remove tombstones older than ``keep`` seconds from the platform.

    Versions are never reused, so a resource that is declared later still
    replaces the copies of the tombstone at the instances.

    Args:
        client: the platform client.
        entries: list of :class:`config.Entry`, for example a snapshot.
        now: current time in seconds since the epoch.
        keep: minimum age of a removed tombstone, in seconds.
        done: ``done(number removed, None)``.
    """
    expired = [
        entry
        for entry in entries
        if entry['value'].get('deleted')
        and entry['value']['change']['time'] < now - keep
    ]
    removed = 0

    def delete_next(result=None, exc=None):
        nonlocal removed
        removed += result is not None
        if not expired:
            done(removed, None)
            return
        entry = expired.pop()
        client.delete(entry['key'], entry['version'], delete_next)

    delete_next()


def audit_key(version):
    """Return the key of the audit entry for the change with a version."""
    return '%s%020d' % (AUDIT_PREFIX, version)


def _stale_version_error(current_version):
    return errors.StaleVersion(
        'The resource version is stale; it is now %d.' % current_version,
        details={'resource_version': current_version},
    )


def _document(kind, name, spec, generation, deleted):
    return {
        'kind': kind,
        'metadata': {'name': name, 'generation': generation},
        'spec': spec,
        'deleted': deleted,
    }


def encode(value):
    """Return the stored form of a document or an audit entry."""
    return json.dumps(value, separators=(',', ':'), sort_keys=True).encode()


def _read(context, kind, name, on_current, done):
    # Calls on_current(item, document); both are None if the key is absent.
    def on_get(item, exc):
        if isinstance(exc, errors.KeyNotFound):
            on_current(None, None)
            return
        if exc is not None:
            done(None, _unavailable_error(exc))
            return
        try:
            old = documents.decode(item.value)
        except errors.UnreadableDocument as exc:
            done(None, exc)
            return
        on_current(item, old)

    context.client.get(config_module.key_of(kind, name), on_get)


def _unavailable_error(exc):
    # A failed read changes nothing, so every error is reported as having had
    # no effect.
    if isinstance(exc, errors.PlatformUnavailable):
        return exc
    return errors.PlatformUnavailable(str(exc), retry_after=1)


def _write(context, item, doc, verb, actor, done):
    kind, name = doc['kind'], doc['metadata']['name']
    key = config_module.key_of(kind, name)
    base_version = 0 if item is None else item.version
    change = {
        'id': context.new_id(),
        'actor': actor,
        'time': context.clock(),
        'verb': verb,
        'from_version': base_version,
        'generation': doc['metadata']['generation'],
    }
    doc = {**doc, 'change': change}
    value = encode(doc)
    delays = list(RETRY_DELAYS_S)
    maybe_applied = False

    def attempt():
        context.client.put(key, value, base_version, on_put)

    def on_put(version, exc):
        nonlocal maybe_applied
        if exc is None:
            accepted(version)
        elif isinstance(exc, errors.VersionMismatch):
            if maybe_applied:
                read_latest()
            else:
                done(None, _stale_version_error(exc.version))
        elif isinstance(exc, errors.PlatformUnavailable) and not maybe_applied:
            done(None, exc)
        else:
            maybe_applied = True
            retry(attempt)

    def retry(func):
        if delays:
            context.call_later(delays.pop(0), func)
            return
        context.metrics.inc('store_outcome_unknown_total')
        details = {'id': change['id'], 'from_version': base_version}
        done(None, errors.OutcomeUnknown(details=details))

    def read_latest():
        context.client.get(key, on_latest)

    def on_latest(found, exc):
        if exc is not None:
            retry(read_latest)
            return
        try:
            (latest,) = documents.read(found.value, 'change')
        except errors.UnreadableDocument:
            # Another writer replaced what may have been this write.
            retry(read_latest)
            return
        find_change(found.version, latest, 0)

    def find_change(version, latest, steps):
        # Searches the changes of the key for this write, from the newest back
        # to the version that the write is based on.
        if latest['id'] == change['id']:
            context.metrics.inc('store_lost_replies_resolved_total')
            accepted(version)
            return
        if latest['from_version'] <= base_version:
            done(None, _stale_version_error(version))
            return
        if steps >= MAX_HISTORY_STEPS:
            delays.clear()
            retry(read_latest)
            return

        def on_entry(entry, exc):
            if exc is not None:
                # A relay may not have written the entry yet.
                retry(read_latest)
                return
            try:
                earlier = documents.read(entry.value, 'version', 'change')
            except errors.UnreadableDocument:
                retry(read_latest)
                return
            find_change(*earlier, steps + 1)

        context.client.get(audit_key(latest['from_version']), on_entry)

    def accepted(version):
        entry = {'key': key, 'value': doc, 'version': version}

        def on_audit(result, exc):
            if exc is not None and not isinstance(exc, errors.VersionMismatch):
                # A relay writes the entry later.
                context.metrics.inc('store_audit_deferred_total')

        done(Outcome(entry, verb == 'declare'), None)
        _put_audit(context.client, version, kind, name, change, on_audit)

    attempt()


def _put_audit(client, version, kind, name, change, done):
    entry = {'version': version, 'kind': kind, 'name': name, 'change': change}
    client.put(audit_key(version), encode(entry), 0, done)
