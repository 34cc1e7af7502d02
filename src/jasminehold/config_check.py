"""The command that checks a configuration file before it is sent."""

import json
import os
import sys

from jasminehold import config as config_module
from jasminehold.decisions import accounts
from jasminehold.decisions import config_checks
from jasminehold import errors
from jasminehold.platform import wire
from jasminehold import resources
from jasminehold import settings

# Exit statuses by the gravest finding.
EXIT_CLEAN = 0
EXIT_WARNINGS = 1
EXIT_ERRORS = 2

Severity = config_checks.Severity
_COLOURS = {
    Severity.ERROR: '31',
    Severity.WARNING: '33',
    Severity.DIFFERENCE: '36',
}


def check_file(path, in_force=None, regions=()):
    """Return the findings of a configuration file.

    Args:
        path: the file, in the platform's form or a list of resources of the
            product's own interface.
        in_force: file with the version in force, or None.
        regions: regions that have instances.

    Returns:
        List of :class:`~decisions.config_checks.Finding`.

    Raises:
        SettingsError: if a file cannot be read or is no JSON document.
    """
    text = settings.read_file(path)
    documents = _resources(text, path)
    if documents is not None:
        return _check_resources(documents)
    config = _read(text, path)
    found = config_checks.check(config, regions)
    if in_force is not None:
        former = _read(settings.read_file(in_force), in_force)
        found += config_checks.compare(config, former)
        found.sort(key=lambda item: (item.severity, item.id))
    return found


def account_rows(path):
    """Return the accounts of a configuration file, without their keys.

    Args:
        path: a file in the platform's form.

    Returns:
        A list of JSON-compatible dictionaries.

    Raises:
        SettingsError: if the file cannot be read or is no JSON document.
    """
    config = _read(settings.read_file(path), path)
    return [
        dict(
            account._asdict(),
            home_regions=sorted(account.home_regions),
            key_digests=[accounts.digest(key).hex()[:12] for key in keys],
        )
        for _, (account, keys) in config.accounts
    ]


def _read(text, path):
    try:
        return wire.read_config(text)
    except wire.MalformedBody as exc:
        raise errors.SettingsError('%s: %s' % (path, exc)) from exc


def _resources(text, path):
    # Returns the documents of a file of resources, None for other files.
    docs = settings.parse_json5(text, path)
    if isinstance(docs, dict) and 'kind' in docs:
        docs = [docs]
    return docs if isinstance(docs, list) else None


def _check_resources(documents):
    known = config_module.ConfigSet()
    found = []
    entries = []
    for index, doc in enumerate(documents):
        path = '[%d]' % index
        kind = doc.get('kind') if isinstance(doc, dict) else None
        if not isinstance(kind, str) or kind not in resources.KINDS:
            found.append(_resource_error(path + '.kind', 'unknown kind'))
            continue
        metadata = doc.get('metadata')
        name = metadata.get('name') if isinstance(metadata, dict) else None
        if not isinstance(name, str):
            text = 'is required'
            found.append(_resource_error(path + '.metadata.name', text))
            continue
        entries.append((path, kind, name, doc))
        key = config_module.key_of(kind, name)
        known.apply([{'key': key, 'value': doc, 'version': index + 1}], 0)
    for path, kind, name, doc in entries:
        try:
            resources.check_document(kind, name, doc, known)
        except errors.InvalidResource as exc:
            for fault in exc.details:
                where = '%s.%s' % (path, fault['path'])
                found.append(_resource_error(where, fault['error']))
    return found


def _resource_error(path, text):
    return config_checks.Finding(Severity.ERROR, 'E100', path, text)


def exit_status_of(findings):
    """Return the exit status for a list of findings."""
    gravest = min(
        (item.severity for item in findings), default=Severity.DIFFERENCE
    )
    return {
        Severity.ERROR: EXIT_ERRORS,
        Severity.WARNING: EXIT_WARNINGS,
        Severity.DIFFERENCE: EXIT_CLEAN,
    }[gravest]


def report(findings, as_json, stream=None):
    """Write findings for a person or a program.

    Args:
        findings: list of :class:`~decisions.config_checks.Finding`.
        as_json: whether to write one JSON document.
        stream: text stream, standard output by default.
    """
    stream = stream or sys.stdout
    if as_json:
        rows = [
            dict(item._asdict(), severity=item.severity.name.lower())
            for item in findings
        ]
        print(json.dumps(rows, indent=2), file=stream)
        return
    colours = stream.isatty() and 'NO_COLOR' not in os.environ
    for item in findings:
        label = '%s %s' % (item.severity.name.lower(), item.id)
        if colours:
            label = '\033[%sm%s\033[0m' % (_COLOURS[item.severity], label)
        place = ' %s:' % item.path if item.path else ':'
        print('%s%s %s' % (label, place, item.text), file=stream)
    counts = [
        '%d %ss' % (sum(item.severity is value for item in findings), name)
        for value, name in (
            (Severity.ERROR, 'error'),
            (Severity.WARNING, 'warning'),
            (Severity.DIFFERENCE, 'difference'),
        )
    ]
    print(', '.join(counts), file=stream)
