"""Command line for operators and for starting instances.

Each command function only checks its arguments and returns a
:class:`Command`, which runs after ``fire`` has parsed the whole line: ``fire``
calls a function before it detects unknown arguments that follow.

Exit statuses: 0 success, 1 refused, 2 wrong usage or settings, 3 unreachable
or not available, 4 outcome unknown.
"""

import importlib
import json
import os
import sys
import time

import fire
from fire import completion as fire_completion
from fire import decorators

from jasminehold import api_client
from jasminehold import errors
from jasminehold import resources
from jasminehold.resources import fields
from jasminehold import settings

SERVERS_ENV = 'JASMINEHOLD_SERVERS'
LOOKUP_SERVERS_ENV = 'JASMINEHOLD_LOOKUP_SERVERS'
FRONT_SETTINGS_ENV = 'JASMINEHOLD_NODE_FILE'
TOKEN_ENV = 'JASMINEHOLD_TOKEN'

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4

WATCH_WAIT_S = 20

_PREFIXES = {
    EXIT_REFUSED: 'refused',
    EXIT_USAGE: 'usage or settings',
    EXIT_UNREACHABLE: 'unreachable',
    EXIT_UNKNOWN: 'outcome unknown',
}
_UNREACHABLE_KINDS = (
    errors.Kind.UNAVAILABLE,
    errors.Kind.OVERLOADED,
    errors.Kind.LEAVING,
    errors.Kind.NOT_RUN,
)
_UNKNOWN_OUTCOME_KINDS = (
    errors.Kind.OUTCOME_UNKNOWN,
    errors.Kind.DEADLINE_UNKNOWN,
    errors.Kind.INTERNAL,
)


class Command:
    """A parsed command that has not run yet."""

    def __init__(self, run, output='table'):
        if output not in ('table', 'json'):
            raise errors.SettingsError('--output: must be table or json')
        self._run = run


def _run_instance(path):
    cfg = settings.load(path)
    importlib.import_module('jasminehold.app').run(cfg)


def check_settings(file):
    """Check a settings file."""

    def run():
        text = settings.read_file(file)
        raw = settings.parse_json5(text, file)
        if isinstance(raw, dict) and 'store' in raw:
            front_cfg = importlib.import_module('jasminehold.front.cfg')
            cfg = front_cfg.parse(text, file)
            region = cfg.places[cfg.place]
        else:
            cfg = settings.from_dict(raw)
            region = cfg.region
        print('%s: valid; place %s, region %s' % (file, cfg.place, region))

    return Command(run)


def check_config(new, in_force=None, regions='', output='table'):
    """Check a configuration file, and tell what differs from IN_FORCE.

    Exit statuses: 0 clean, 1 warnings, 2 errors.

    Args:
        new: the file to check.
        in_force: file with the version in force.
        regions: regions that have instances, separated by commas.
        output: table or json.
    """

    def run():
        module = importlib.import_module('jasminehold.config_check')
        names = [name for name in regions.split(',') if name]
        findings = module.check_file(new, in_force, names)
        module.report(findings, output == 'json')
        raise SystemExit(module.exit_status_of(findings))

    return Command(run, output)


def accounts(file, output='table'):
    """List the accounts of a configuration file; keys appear as digests."""

    def run():
        module = importlib.import_module('jasminehold.config_check')
        rows = module.account_rows(file)
        if output == 'json':
            print(json.dumps(rows, indent=2))
            return
        headings = ('NAME', 'PRIORITY', 'RATE/S', 'BURST', 'HOMES', 'KEYS')
        _print_table(
            headings,
            [
                [
                    row['name'],
                    row['priority'],
                    row['rate_per_s'],
                    row['burst'],
                    ','.join(row['home_regions']) or 'all',
                    ' '.join(row['key_digests']) or 'none',
                ]
                for row in rows
            ],
        )

    return Command(run, output)


def apply(file, servers=None, token=None, output='table'):
    """Declare or update the resources of a file (one or a list)."""

    def run():
        docs = settings.parse_json5(settings.read_file(file), file)
        if not isinstance(docs, list):
            docs = [docs]
        ranks = {kind: rank for rank, kind in enumerate(resources.KINDS)}
        for doc in docs:
            _check_document(file, doc, ranks)
        for doc in docs:
            resources.check_document(doc['kind'], doc['metadata']['name'], doc)
        docs.sort(key=lambda doc: ranks[doc['kind']])
        client = _make_client(servers, token)
        for doc in docs:
            _print_result(*_apply_one(client, doc), output)

    return Command(run, output)


def _check_document(file, doc, ranks):
    if not isinstance(doc, dict) or doc.get('kind') not in ranks:
        raise errors.SettingsError(
            '%s: kind: must be one of %s' % (file, ', '.join(ranks))
        )
    metadata = doc.get('metadata')
    if not isinstance(metadata, dict) or not isinstance(
        metadata.get('name'), str
    ):
        raise errors.SettingsError('%s: metadata.name: is required' % file)


def _apply_one(client, doc):
    path = _resource_path(doc['kind'], doc['metadata']['name'])
    try:
        current = client.call('GET', path)
    except errors.RequestError as exc:
        if exc.kind is not errors.Kind.NOT_FOUND:
            raise
        current = None
    version = doc['metadata'].get('resource_version')
    if current is not None and current['spec'] == doc.get('spec'):
        return 'unchanged', current
    if version is None:
        version = current['metadata']['resource_version'] if current else 0
    metadata = {'name': doc['metadata']['name'], 'resource_version': version}
    body = {**doc, 'metadata': metadata}
    result = client.call('PUT', path, body=body)
    return ('declared' if version == 0 else 'updated'), result


def _print_result(action, doc, output):
    if output == 'json':
        print(json.dumps({'result': action, 'resource': doc}), flush=True)
        return
    metadata = doc['metadata']
    print(
        '%s/%s %s (version %d, generation %d)'
        % (
            doc['kind'],
            metadata['name'],
            action,
            metadata['resource_version'],
            metadata['generation'],
        ),
        flush=True,
    )


def get(kind, name, servers=None, token=None, output='table'):
    """Show one resource."""

    def run():
        doc = _make_client(servers, token).call(
            'GET', _resource_path(kind, name)
        )
        if output == 'json':
            print(json.dumps(doc))
            return
        rows = [('kind', kind)]
        for part in ('metadata', 'spec', 'status', 'change'):
            for key, value in doc.get(part, {}).items():
                rows.append(('%s.%s' % (part, key), _format_cell(value)))
        _print_table(('FIELD', 'VALUE'), rows)

    return Command(run, output)


def list_(kind, servers=None, token=None, output='table'):
    """List the resources of a kind."""

    def run():
        client = _make_client(servers, token)
        items = _list_all(client, kind)[0]
        if output == 'json':
            print(json.dumps({'items': items}))
            return
        _print_table(
            _RESOURCE_HEADINGS, [_resource_row(item) for item in items]
        )

    return Command(run, output)


def _list_all(client, kind):
    items, after, revision = [], None, None
    while True:
        page = client.call('GET', _resource_path(kind), {'after': after})
        # A watch from the first page's revision also shows changes that were
        # made while the other pages were read.
        revision = page['revision'] if revision is None else revision
        items.extend(page['items'])
        if not page['more'] or not page['items']:
            return items, revision
        after = page['items'][-1]['metadata']['name']


def watch(
    kind=None,
    start=None,
    seconds=None,
    servers=None,
    token=None,
    output='table',
):
    """Print changes as they come into force; ends after SECONDS if given."""

    def run():
        client = _make_client(servers, token)
        position = (
            None if start is None else _parse_whole_number('start', start)
        )
        limit = (
            None
            if seconds is None
            else _parse_whole_number('seconds', seconds)
        )
        end = None if limit is None else time.monotonic() + limit
        while end is None or time.monotonic() < end:
            wait = WATCH_WAIT_S
            if end is not None:
                wait = max(0.0, min(wait, end - time.monotonic()))
            query = {'from': position, 'kind': kind, 'wait': wait}
            try:
                page = client.call('GET', '/v1/watch', query, extra=wait)
            except errors.RequestError as exc:
                if exc.kind is not errors.Kind.GONE or start is not None:
                    raise
                # Another instance answers; each has change numbers of its own.
                position = _print_all(client, kind, output)
                continue
            position = page['revision']
            for event in page['events']:
                _print_event(event['type'], event['resource'], output)

    return Command(run, output)


def _print_all(client, kind, output):
    position = None
    for listed_kind in [kind] if kind else resources.KINDS:
        items, revision = _list_all(client, listed_kind)
        position = revision if position is None else position
        for item in items:
            _print_event('list', item, output)
    return position


def _print_event(event_type, doc, output):
    if output == 'json':
        print(json.dumps({'type': event_type, 'resource': doc}), flush=True)
    else:
        cells = [_format_cell(cell) for cell in _resource_row(doc)]
        print('  '.join([event_type] + cells), flush=True)


def delete(
    kind,
    name,
    resource_version=None,
    servers=None,
    token=None,
    output='table',
):
    """Delete a resource."""

    def run():
        query = {'resource_version': resource_version}
        client = _make_client(servers, token)
        doc = client.call('DELETE', _resource_path(kind, name), query)
        _print_result('deleted', doc, output)

    return Command(run, output)


def drain(kind, name, seconds='600', servers=None, token=None, output='table'):
    """Take a target out for some seconds; works without the platform."""

    def run():
        client = _make_client(servers, token)
        path = '/v1/drains/%s/%s' % (kind, name)
        _print_drains(client.call('PUT', path, {'seconds': seconds}), output)

    return Command(run, output)


def undrain(kind, name, servers=None, token=None, output='table'):
    """End a temporary drain before its time."""

    def run():
        client = _make_client(servers, token)
        path = '/v1/drains/%s/%s' % (kind, name)
        _print_drains(client.call('DELETE', path), output)

    return Command(run, output)


def drains(servers=None, token=None, output='table'):
    """Show the temporary drains."""

    def run():
        page = _make_client(servers, token).call('GET', '/v1/drains')
        _print_drains(page, output)

    return Command(run, output)


def _print_drains(page, output):
    if output == 'json':
        print(json.dumps(page))
        return
    rows = [
        (
            item['target_kind'],
            item['target_name'],
            str(item['seconds_left']),
            item['actor'],
        )
        for item in page['drains']
    ]
    _print_table(('KIND', 'NAME', 'SECONDS LEFT', 'ACTOR'), rows)


def audit(after='0', wait='0', servers=None, token=None, output='table'):
    """Show the audit trail after a version."""

    def run():
        query = {'after': _parse_whole_number('after', after)}
        query['wait'] = _parse_whole_number('wait', wait)
        client = _make_client(servers, token)
        page = client.call('GET', '/v1/audit', query, extra=query['wait'])
        if output == 'json':
            print(json.dumps(page))
            return
        rows = []
        for entry in page['entries']:
            change = entry['change']
            rows.append(
                (
                    entry['version'],
                    _format_time(change['time']),
                    change['actor'],
                    change['verb'],
                    '%s/%s' % (entry['kind'], entry['name']),
                    change['generation'],
                    change['from_version'],
                )
            )
        _print_table(
            (
                'VERSION',
                'TIME',
                'ACTOR',
                'VERB',
                'RESOURCE',
                'GENERATION',
                'FROM',
            ),
            rows,
        )

    return Command(run, output)


def lookup(service, block, servers=None, output='table'):
    """Look up the instances that serve a client block, as callers do."""

    def run():
        client = _make_client(servers, None, LOOKUP_SERVERS_ENV)
        query = {'service': service, 'block': block}
        page = client.call('GET', '/v1/lookup', query)
        if output == 'json':
            print(json.dumps(page))
            return
        rows = []
        for answer in page['answers']:
            for instance in answer['instances']:
                address = '%s:%s' % (instance['host'], instance['port'])
                rows.append(
                    (
                        answer['service'],
                        answer['block'],
                        answer['system'],
                        instance['id'],
                        address,
                        instance['place'],
                        answer['ttl'],
                    )
                )
        _print_table(
            (
                'SERVICE',
                'BLOCK',
                'SYSTEM',
                'INSTANCE',
                'ADDRESS',
                'PLACE',
                'TTL',
            ),
            rows,
        )

    return Command(run, output)


def stand_in_platform(**options):
    """Run the stand-in of the platform's service."""
    return Command(lambda: _run_stand_in('kv', options))


def stand_in_upstream(**options):
    """Run the stand-in of an upstream."""
    return Command(lambda: _run_stand_in('upstream', options))


def _run_stand_in(name, options):
    importlib.import_module('jasminehold.standin.' + name).run(**options)


_RESOURCE_HEADINGS = (
    'NAME',
    'VERSION',
    'GENERATION',
    'OBSERVED',
    'CONDITIONS',
)


def _resource_row(doc):
    status = doc.get('status', {})
    conditions = [
        '%s=%s' % (condition.get('type'), condition.get('status'))
        for condition in status.get('conditions', [])
    ]
    return (
        '%s/%s' % (doc['kind'], doc['metadata']['name']),
        doc['metadata']['resource_version'],
        doc['metadata']['generation'],
        status.get('observed_generation', '-'),
        ','.join(conditions) or '-',
    )


def _resource_path(kind, name=None):
    resources.require_kind(kind)
    path = '/v1/resources/' + kind
    if name is None:
        return path
    if not fields.is_name(name):
        raise errors.RequestError(
            errors.Kind.BAD_REQUEST, 'The name ' + fields.NAME_RULE
        )
    return '%s/%s' % (path, name)


def _make_client(servers, token, env=SERVERS_ENV):
    text = servers or os.environ.get(env, '')
    if not text:
        raise errors.SettingsError('give --servers or set %s' % env)
    addresses = []
    for part in text.split(','):
        host, _, port = part.strip().rpartition(':')
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise errors.SettingsError(
                'servers: %r must be HOST:PORT[,HOST:PORT...]' % part
            )
        addresses.append((host.strip('[]'), int(port)))
    return api_client.Client(addresses, token or os.environ.get(TOKEN_ENV))


def _parse_whole_number(name, text):
    if not text.isdigit():
        raise errors.SettingsError('--%s: must be a whole number' % name)
    return int(text)


def _format_time(seconds):
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))


def _format_cell(value):
    return value if isinstance(value, str) else json.dumps(value)


def _print_table(headings, rows):
    rows = [headings] + [[_format_cell(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*rows)]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        print('  '.join(cells).rstrip())


def serve(settings):
    """Run an instance with the settings file SETTINGS until it is stopped."""
    return Command(lambda: _run_instance(settings))


def front(settings=None):
    """Run an instance in front of upstreams on the users' platform.

    SETTINGS is its settings file; by default the one that the environment
    variable JASMINEHOLD_NODE_FILE names.
    """

    def run():
        path = settings or os.environ.get(FRONT_SETTINGS_ENV)
        if not path:
            raise errors.SettingsError(
                '%s: must name a settings file' % FRONT_SETTINGS_ENV
            )
        importlib.import_module('jasminehold.front.app').run(path)

    return Command(run)


def explain(request_id, *files):
    """Show what happened to the request REQUEST_ID, from log FILES."""

    def run():
        if not files:
            raise errors.SettingsError('explain: needs a log file')
        module = importlib.import_module('jasminehold.explain')
        for line in module.describe_request(
            request_id, module.read_log_lines(files)
        ):
            print(line)

    return Command(run)


def status(*addresses, output='table'):
    """Show the state of the instances with the metrics ADDRESSES.

    The exit status is 3 when one of them does not answer.
    """

    def run():
        if not addresses:
            raise errors.SettingsError('status: needs an address, IP:port')
        for address in addresses:
            try:
                settings.check_address(address)
            except ValueError as exc:
                raise errors.SettingsError(
                    '%s: must be IP:port' % address
                ) from exc
        module = importlib.import_module('jasminehold.instance_status')
        statuses = module.mark_outdated(
            [module.fetch(item) for item in addresses]
        )
        if output == 'json':
            print(json.dumps([item._asdict() for item in statuses], indent=2))
        else:
            _print_status(statuses)
        silent_addresses = [
            item.address for item in statuses if item.state == 'silent'
        ]
        if silent_addresses:
            raise errors.NotConnected(
                'no answer from ' + ', '.join(silent_addresses)
            )

    return Command(run, output)


def _print_status(statuses):
    headings = ('INSTANCE', 'PLACE', 'STATE', 'CONFIG', 'COPY-AGE')
    headings += ('UPSTREAMS', 'OUT', 'DRAINING', 'COLD', 'INSTANCES', 'BUSY')
    headings += ('ERROR',)
    rows = []
    for item in statuses:
        age = item.copy_age_s
        row = [item.instance or item.address, item.place, item.state]
        row += [item.config, '-' if age is None else '%.1fs' % age]
        row += [item.upstreams, item.left_out, item.draining, item.cold]
        row += [item.instances, item.in_flight]
        if item.error:
            row[3:] = ['-'] * len(row[3:])
        rows.append([*row, item.error])
    _print_table(list(headings), rows)


def completion(shell='bash'):
    """Print the completion script for SHELL, bash or fish."""

    def run():
        if shell not in ('bash', 'fish'):
            raise errors.SettingsError('shell: must be bash or fish')
        print(fire_completion.Script('jasminehold', _commands(), shell=shell))

    return Command(run)


def _commands():
    table = {
        'serve': serve,
        'front': front,
        'explain': explain,
        'status': status,
        'completion': completion,
        'check-settings': check_settings,
        'check-config': check_config,
        'accounts': accounts,
        'apply': apply,
        'get': get,
        'list': list_,
        'watch': watch,
        'delete': delete,
        'audit': audit,
        'drain': drain,
        'undrain': undrain,
        'drains': drains,
        'lookup': lookup,
    }
    # Without this, fire parses a name such as 7 or true as another type.
    for func in table.values():
        decorators.SetParseFn(str)(func)
    table['stand-in'] = {
        'platform': stand_in_platform,
        'upstream': stand_in_upstream,
    }
    return table


def exit_status_of(exc):
    """Return the exit status for an exception of this package."""
    if isinstance(exc, errors.SettingsError):
        return EXIT_USAGE
    if exc.kind in _UNREACHABLE_KINDS:
        return EXIT_UNREACHABLE
    if exc.kind in _UNKNOWN_OUTCOME_KINDS:
        return EXIT_UNKNOWN
    return EXIT_REFUSED


def main(argv=None):
    """Run the command line and return the exit status."""
    try:
        command = fire.Fire(
            _commands(),
            command=sys.argv[1:] if argv is None else argv,
            name='jasminehold',
            # fire prints what this returns; commands print their own output.
            serialize=lambda result: None,
        )
        if not isinstance(command, Command):
            raise errors.SettingsError('a command is missing; see --help')
        command._run()
    except SystemExit as exc:
        return exc.code
    except errors.JasmineholdError as exc:
        status = exit_status_of(exc)
        print('%s: %s' % (_PREFIXES[status], exc), file=sys.stderr)
        for fault in exc.details if isinstance(exc.details, list) else ():
            print('  %(path)s: %(error)s' % fault, file=sys.stderr)
        return status
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:
        # The reader of the output, for example ``head``, has closed the pipe.
        sys.stderr.close()
        return 0
    return 0
