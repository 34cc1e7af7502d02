"""Checks of a configuration before it is sent, and what it changes.

The configuration is decoded by the code of the running system. Each finding
has a stable id, see docs/operations/config-checks.md.
"""

import enum
import typing

from jasminehold.decisions import accounts
from jasminehold.decisions import route_table

# Findings of one kind that are named one by one.
FINDINGS_PER_ID_MAX = 100


class Severity(enum.IntEnum):
    """Weight of a finding, the gravest first."""

    ERROR = 0
    WARNING = 1
    DIFFERENCE = 2


class Finding(typing.NamedTuple):
    """One result of a check.

    Attributes:
        severity: the :class:`Severity`.
        id: stable id, for example ``E102``.
        path: place in the document.
        text: what is wrong, or what changes.
    """

    severity: Severity
    id: str
    path: str
    text: str


class Config(typing.NamedTuple):
    """A configuration, entry by entry.

    Attributes:
        version: its version number.
        routes: ``(path in the document, Route)`` pairs.
        services: ``(path, Service)`` pairs.
        accounts: ``(path, (Account, list of keys))`` pairs.
        limits: the :class:`~decisions.route_table.CallerLimits`.
        faults: ``(path, text)`` of entries that cannot be decoded.
    """

    version: int
    routes: list
    services: list
    accounts: list
    limits: route_table.CallerLimits
    faults: list


def check(config, regions=()):
    """Return the findings of a configuration, the gravest first.

    Args:
        config: a :class:`Config`.
        regions: regions that have instances; none if they are not known.
    """
    found = [
        Finding(Severity.ERROR, 'E100', path, text)
        for path, text in config.faults
    ]
    for rule in _RULES:
        found += rule(config)
    if regions:
        found += _unknown_regions(config, regions)
    return _in_order(found)


def compare(config, former):
    """Return what a configuration changes, a list of :class:`Finding`.

    Args:
        config: the new :class:`Config`.
        former: the one in force.
    """
    found = []
    if config.version <= former.version:
        found.append(
            Finding(
                Severity.ERROR,
                'E110',
                'Version',
                'not above the version in force (%d <= %d)'
                % (config.version, former.version),
            )
        )
    found += _entry_differences(
        'D1', 'route', _routes_by_place(config), _routes_by_place(former)
    )
    found += _entry_differences(
        'D2', 'service', _by_name(config.services), _by_name(former.services)
    )
    found += _account_differences(config, former)
    for name, value in config.limits._asdict().items():
        before = getattr(former.limits, name)
        if value != before:
            text = '%s changes from %s to %s' % (name, before, value)
            found.append(_difference('D401', 'Limits', text))
    return _in_order(found)


def _in_order(found):
    counts = {}
    result = []
    for item in sorted(found, key=lambda item: (item.severity, item.id)):
        counts[item.id] = counts.get(item.id, 0) + 1
        if counts[item.id] <= FINDINGS_PER_ID_MAX:
            result.append(item)
    for finding_id, count in counts.items():
        left_out = count - FINDINGS_PER_ID_MAX
        if left_out > 0:
            last = max(
                index
                for index, item in enumerate(result)
                if item.id == finding_id
            )
            text = '%d further findings of this kind' % left_out
            result.insert(last + 1, result[last]._replace(path='', text=text))
    return result


def _error(finding_id, path, text):
    return Finding(Severity.ERROR, finding_id, path, text)


def _warning(finding_id, path, text):
    return Finding(Severity.WARNING, finding_id, path, text)


def _difference(finding_id, path, text):
    return Finding(Severity.DIFFERENCE, finding_id, path, text)


# Errors.


def _target_services(config):
    known = {service.name for _, service in config.services}
    for path, route in config.routes:
        for name, weight in route.targets:
            if name not in known:
                yield _error('E101', path, 'unknown service %s' % name)
            if weight < 0:
                yield _error('E102', path, 'weight of %s is negative' % name)
        if not any(weight > 0 for _, weight in route.targets):
            yield _error('E102', path, 'the weights add up to nothing')


def _duplicates(config):
    routes = [(p, '%s%s' % (r.host, r.prefix)) for p, r in config.routes]
    named = [
        (path, 'service ' + item.name) for path, item in config.services
    ] + [(path, 'account ' + item.name) for path, (item, _) in config.accounts]
    for finding_id, entries, text in (
        ('E103', routes, 'hides the entry for the same %s at %s'),
        ('E104', named, '%s is declared already at %s'),
    ):
        first = {}
        for path, name in entries:
            if name in first:
                yield _error(finding_id, path, text % (name, first[name]))
            first.setdefault(name, path)


def _shared_keys(config):
    holders = {}
    for path, (account, keys) in config.accounts:
        for index, key in enumerate(keys):
            digest = accounts.digest(key)
            holder = holders.setdefault(digest, account.name)
            if holder != account.name:
                where = '%s, key %d' % (path, index)
                yield _error('E105', where, 'account %s has it too' % holder)


def _route_values(config):
    for path, route in config.routes:
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            text = 'prefix must begin and end with a slash'
            yield _error('E106', path, text)
        if route.timeout_s <= 0 or route.latency_target_s <= 0:
            yield _error('E107', path, 'times must be above 0')
        if route.max_attempts < 1:
            yield _error('E107', path, 'at least one attempt is needed')


# Entries that can never match.


def _unused(config):
    used = {
        name
        for _, route in config.routes
        for name, weight in route.targets
        if weight > 0
    }
    for path, service in config.services:
        if service.name not in used:
            text = 'no route leads to service %s' % service.name
            yield _warning('W201', path, text)
    for path, route in config.routes:
        for name, weight in route.targets:
            if weight == 0 and len(route.targets) > 1:
                text = 'service %s gets no part of the requests' % name
                yield _warning('W202', path, text)
    for path, (account, keys) in config.accounts:
        if not keys:
            text = 'account %s has no keys' % account.name
            yield _warning('W203', path, text)


def _disjoint_homes(config):
    homes = {
        route.home_regions: path
        for path, route in config.routes
        if route.home_regions and not route.public
    }
    for path, (account, _) in config.accounts:
        for route_homes, route_path in homes.items():
            both = accounts.binding_homes(route_homes, account.home_regions)
            if both == {accounts.NO_REGION}:
                text = 'account %s has no home in common with the route at %s'
                text %= account.name, route_path
                yield _warning('W204', path, text)


def _unknown_regions(config, regions):
    entries = [(path, route.home_regions) for path, route in config.routes]
    entries += [
        (path, account.home_regions) for path, (account, _) in config.accounts
    ]
    for path, homes in entries:
        missing = sorted(homes - set(regions))
        if missing:
            text = 'no instance in home region %s' % ', '.join(missing)
            yield _warning('W205', path, text)


# Limits that contradict each other.


def _times(config):
    for path, route in config.routes:
        if route.timeout_s < route.latency_target_s:
            yield _warning(
                'W301',
                path,
                'time-out of %g s is below the latency target of %g s'
                % (route.timeout_s, route.latency_target_s),
            )
        elif route.timeout_s < route.max_attempts * route.latency_target_s:
            yield _warning(
                'W302',
                path,
                '%d attempts at the latency target of %g s do not fit the'
                ' time-out of %g s'
                % (
                    route.max_attempts,
                    route.latency_target_s,
                    route.timeout_s,
                ),
            )
        if len(route.prefix) > config.limits.head_bytes:
            text = 'requests exceed the limit of %d bytes for a head'
            yield _warning('W303', path, text % config.limits.head_bytes)


def _rates(config):
    for path, (account, _) in config.accounts:
        if 0 < account.rate_per_s and account.burst < account.rate_per_s:
            text = 'burst of %g is below the requests of a second, %g'
            text %= account.burst, account.rate_per_s
            yield _warning('W304', path, text)
        if not account.rate_per_s and account.burst:
            yield _warning('W305', path, 'a burst without a rate has no use')
    for path, service in config.services:
        if bool(service.cold_per_s) != bool(service.cold_start_s):
            text = 'a cold rate and a cold time need each other'
            yield _warning('W306', path, text)


_RULES = (
    _target_services,
    _duplicates,
    _shared_keys,
    _route_values,
    _unused,
    _disjoint_homes,
    _times,
    _rates,
)


# Differences.


def _routes_by_place(config):
    return {
        '%s%s' % (route.host, route.prefix): (path, route)
        for path, route in config.routes
    }


def _by_name(entries):
    return {item.name: (path, item) for path, item in entries}


def _entry_differences(prefix, kind, after, before):
    for name, (path, item) in after.items():
        if name not in before:
            yield _difference(
                prefix + '01', path, '%s %s added' % (kind, name)
            )
        elif before[name][1] != item:
            changes = ', '.join(_changes(before[name][1], item))
            text = '%s %s: %s' % (kind, name, changes)
            yield _difference(prefix + '02', path, text)
    for name in before.keys() - after.keys():
        yield _difference(prefix + '03', '', '%s %s dropped' % (kind, name))


def _changes(before, after):
    for field, value in after._asdict().items():
        former = getattr(before, field)
        if value != former:
            yield '%s from %s to %s' % (field, _text(former), _text(value))


def _text(value):
    if isinstance(value, frozenset):
        return ' and '.join(sorted(value)) or 'all'
    if isinstance(value, tuple):
        return ' and '.join('%s (%g)' % part for part in value)
    return str(value)


def _account_differences(config, former):
    after = {item.name: (p, item, keys) for p, (item, keys) in config.accounts}
    before = {
        item.name: (p, item, keys) for p, (item, keys) in former.accounts
    }
    yield from _entry_differences(
        'D3',
        'account',
        {name: entry[:2] for name, entry in after.items()},
        {name: entry[:2] for name, entry in before.items()},
    )
    for name, (path, _, keys) in after.items():
        if name not in before:
            continue
        held = set(before[name][2])
        lost, added = len(held - set(keys)), len(set(keys) - held)
        if held and held.isdisjoint(keys):
            text = 'account %s loses all its keys' % name
            yield _difference('D304', path, text)
        elif lost or added:
            text = 'account %s: %d keys withdrawn, %d added'
            yield _difference('D305', path, text % (name, lost, added))
