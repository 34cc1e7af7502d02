"""Operators' writes to the platform, and the audit trail.

A write is one compare-and-swap of one document that carries its own last
change, so the document and the fact that it changed cannot be separated. The
audit entry follows under the change's version; :func:`complete_audit` writes
those that a crash left out.

After a lost reply the same compare-and-swap is sent again: it either
succeeds, and then no earlier copy can take effect any more, or it fails, and
then the key's history tells whether an earlier copy took effect.
"""

import json
import typing

from jasminehold import config as config_module
from jasminehold import errors
from jasminehold import resources

AUDIT_PREFIX = 'audit/'
# Waits between the attempts to learn the outcome of a write, in seconds. An
# operator's call should end within about 10 s with the client's time-outs.
RETRY_DELAYS_S = (0.1, 0.4, 1.0, 2.0)
# Changes of one key that may follow a lost write while its outcome is sought.
MAX_HISTORY_STEPS = 64


class WriteContext(typing.NamedTuple):
    """What the writes need from outside.

    Attributes:
        client: platform client with ``get``, ``put``, ``delete``, ``list``.
        call_later: ``call_later(delay, func)`` schedules a call.
        clock: returns the time in seconds since the epoch.
        new_id: returns a new id of a write.
        config: the :class:`config.ConfigSet` for references, or None.
        metrics: the process's :class:`metrics.Metrics`.
    """

    client: object
    call_later: typing.Callable
    clock: typing.Callable
    new_id: typing.Callable
    config: object
    metrics: object


class Outcome(typing.NamedTuple):
    """An accepted write.

    Attributes:
        entry: the stored :class:`config.Entry`.
        created: whether the resource did not exist before.
    """

    entry: dict
    created: bool


def put(context, kind, name, doc, actor, done):
    """Declare or update a resource.

    ``metadata.resource_version`` is the version that the update was made
    from; 0 or absent declares a resource that must not exist.

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
    wanted = doc.get('metadata', {}).get('resource_version', 0)

    def on_current(item, old):
        live = old is not None and not old['deleted']
        found = item.version if live else 0
        if found != wanted:
            done(None, _stale(found))
            return
        generation = old['metadata']['generation'] if old else 0
        if not live or old['spec'] != doc['spec']:
            generation += 1
        verb = 'update' if live else 'declare'
        new = _document(kind, name, doc['spec'], generation, False)
        _write(context, item, new, verb, actor, done)

    _read(context, kind, name, on_current, done)


def delete(context, kind, name, wanted, actor, done):
    """Delete a resource by storing a tombstone.

    Args:
        context: the :class:`WriteContext`.
        kind: resource kind.
        name: resource name.
        wanted: version that the delete was decided on, or None for any.
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
        if wanted is not None and wanted != item.version:
            done(None, _stale(item.version))
            return
        generation = old['metadata']['generation'] + 1
        new = _document(kind, name, {}, generation, True)
        _write(context, item, new, 'delete', actor, done)

    _read(context, kind, name, on_current, done)


def complete_audit(client, events, done):
    """Write the audit entries that are missing for changes seen in a watch.

    The entries are written only if absent, so any number of relays may do
    this for the same changes.

    Args:
        client: the platform client.
        events: changes with ``key``, ``value`` (bytes), ``version`` and
            ``deleted``; other keys than resources are ignored.
        done: ``done(written, exc)`` with the number of entries that were
            missing; after an error the caller repeats the same events.
    """
    pending = []
    for event in events:
        parts = config_module.split_key(event.key)
        if parts is not None and not event.deleted:
            pending.append((event, parts))
    written = 0

    def step():
        if not pending:
            done(written, None)
            return
        event, (kind, name) = pending[0]
        try:
            change = json.loads(event.value)['change']
        except (ValueError, KeyError, TypeError):
            # Not written by this package, so there is no change to record.
            pending.pop(0)
            step()
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
        step()

    step()


def purge_tombstones(client, entries, now, keep, done):
    """Remove tombstones older than ``keep`` seconds from the platform.

    Versions are never reused, so a resource declared later still wins over
    the copies of the tombstone that instances hold.

    Args:
        client: the platform client.
        entries: :class:`config.Entry` list, for example a snapshot.
        now: seconds since the epoch.
        keep: seconds.
        done: ``done(number removed, None)``.
    """
    old = [
        entry
        for entry in entries
        if entry['value'].get('deleted')
        and entry['value']['change']['time'] < now - keep
    ]
    removed = 0

    def step(result=None, exc=None):
        nonlocal removed
        removed += result is not None
        if not old:
            done(removed, None)
            return
        entry = old.pop()
        client.delete(entry['key'], entry['version'], step)

    step()


def audit_key(version):
    """Return the key of the audit entry of a change."""
    return '%s%020d' % (AUDIT_PREFIX, version)


def _stale(found):
    return errors.StaleVersion(
        'The resource version is stale; it is now %d.' % found,
        details={'resource_version': found},
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
    # Calls on_current(item, document); both are None for an absent key.
    def on_get(item, exc):
        if isinstance(exc, errors.KeyNotFound):
            on_current(None, None)
            return
        if exc is not None:
            done(None, _unavailable(exc))
            return
        try:
            old = json.loads(item.value)
        except ValueError:
            done(None, errors.PlatformError('The stored value is no JSON.'))
            return
        on_current(item, old)

    context.client.get(config_module.key_of(kind, name), on_get)


def _unavailable(exc):
    # A failed read has changed nothing, whatever its error says.
    if isinstance(exc, errors.PlatformUnavailable):
        return exc
    return errors.PlatformUnavailable(str(exc), retry_after=1)


def _write(context, item, doc, verb, actor, done):
    kind, name = doc['kind'], doc['metadata']['name']
    key = config_module.key_of(kind, name)
    base = 0 if item is None else item.version
    change = {
        'id': context.new_id(),
        'actor': actor,
        'time': context.clock(),
        'verb': verb,
        'from_version': base,
        'generation': doc['metadata']['generation'],
    }
    doc = {**doc, 'change': change}
    value = encode(doc)
    delays = list(RETRY_DELAYS_S)
    in_doubt = False

    def attempt():
        context.client.put(key, value, base, on_put)

    def on_put(version, exc):
        nonlocal in_doubt
        if exc is None:
            accepted(version)
        elif isinstance(exc, errors.VersionMismatch):
            if in_doubt:
                seek()
            else:
                done(None, _stale(exc.version))
        elif isinstance(exc, errors.PlatformUnavailable) and not in_doubt:
            done(None, exc)
        else:
            in_doubt = True
            again(attempt)

    def again(func):
        if delays:
            context.call_later(delays.pop(0), func)
            return
        context.metrics.inc('store_outcome_unknown_total')
        details = {'id': change['id'], 'from_version': base}
        done(None, errors.OutcomeUnknown(details=details))

    def seek():
        context.client.get(key, on_seek)

    def on_seek(found, exc):
        if exc is not None:
            again(seek)
            return
        history(found.version, json.loads(found.value)['change'], 0)

    def history(version, latest, steps):
        # Walks back from the newest change of the key to this write's base.
        if latest['id'] == change['id']:
            context.metrics.inc('store_lost_replies_resolved_total')
            accepted(version)
            return
        if latest['from_version'] <= base:
            done(None, _stale(version))
            return
        if steps >= MAX_HISTORY_STEPS:
            delays.clear()
            again(seek)
            return

        def on_entry(entry, exc):
            if exc is not None:
                # The entry may still be on its way from a relay.
                again(seek)
                return
            earlier = json.loads(entry.value)
            history(earlier['version'], earlier['change'], steps + 1)

        context.client.get(audit_key(latest['from_version']), on_entry)

    def accepted(version):
        entry = {'key': key, 'value': doc, 'version': version}

        def on_audit(result, exc):
            if exc is not None and not isinstance(exc, errors.VersionMismatch):
                # A relay writes it later.
                context.metrics.inc('store_audit_deferred_total')

        done(Outcome(entry, verb == 'declare'), None)
        _put_audit(context.client, version, kind, name, change, on_audit)

    attempt()


def _put_audit(client, version, kind, name, change, done):
    entry = {'version': version, 'kind': kind, 'name': name, 'change': change}
    client.put(audit_key(version), encode(entry), 0, done)
