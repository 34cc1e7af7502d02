"""Wire formats of the users' platform, decoded into the product's types.

Each body is decoded once, here. No other module uses the platform's headers,
fields, paths or keys.
"""

import base64
import ipaddress
import json
import math
import re
import typing

from jasminehold.decisions import accounts
from jasminehold.decisions import config_checks
from jasminehold.decisions import route_table
from jasminehold.decisions import store_replica
from jasminehold.decisions import upstream_view
from jasminehold import errors

# Headers, lower case as h11 delivers them.
REQUEST_ID = b'x-request-id'
DEADLINE_MS = b'x-timeout-ms'
EXPECT_INSTANCE = b'x-expect-instance'
SEAL = b'x-server-seal'
LOAD = b'x-server-load'
LIMIT = b'server-limit'
LEAVING = b'server-leaving'
NOT_EXECUTED = b'x-not-executed'
RETRY_AFTER = b'retry-after'
# Of the store's responses, as ``http.Response`` names it.
STORE_ERA = 'store-era'
# The key of the caller's account, and the account's name for upstreams.
CREDENTIAL = b'x-credential'
ACCOUNT = b'x-tenant'
ACCOUNT_HEADERS = frozenset({CREDENTIAL, ACCOUNT})
AFFINITY_COOKIE = 'X-Affinity-Key'

# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

READY_PATH = '/api/ready'
RESOLVE_PATH = '/api/resolve'

# Keys of the store.
CONFIG_KEY = 'op/config'
OPERATOR_PREFIX = 'op/'
EVACUATE_PREFIX = 'op/evacuate/'
UPSTREAM_PREFIX = 'servers/'
MEMBER_PREFIX = 'jasminehold/members/'
QUARANTINE_PREFIX = 'jasminehold/quarantine/'
# Era of the store in which all that it lost before has been written again.
SETTLED_KEY = 'jasminehold/settled-era'
# Entries of instances that use the product's own API.
INSTANCE_PREFIX = 'instances/'

# Prefixes of the keys that instances copy, and of those under a lease.
COPIED_PREFIXES = (
    OPERATOR_PREFIX,
    UPSTREAM_PREFIX,
    MEMBER_PREFIX,
    QUARANTINE_PREFIX,
    SETTLED_KEY,
)
LEASED_PREFIXES = (UPSTREAM_PREFIX, MEMBER_PREFIX)
# Prefixes of further keys that instances write again in a new era.
REWRITTEN_PREFIXES = (QUARANTINE_PREFIX,)

# The platform's upstream states.
_STATES = {
    'ready': upstream_view.READY,
    'draining': upstream_view.DRAINING,
}
_SLOTS_MAX = 100_000
_NAME_MAX_CHARS = 1024
# Numbers beyond do not fit into messages between instances.
_INTEGER_MAX = 2**63 - 1
# Ids that a header can carry.
_UPSTREAM_ID_FORM = re.compile(r'[\x21-\x7e]{1,200}')
_FAULT_MAX_CHARS = 200
_CREDENTIAL_FORM = re.compile(rb'[\x21-\x7e]{1,1024}')
_DECODING_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    # Of deeply nested documents.
    RecursionError,
)
_COUNT_DIGITS_MAX = 12
# Factors outside of it are reported by mistake.
SLOWDOWN_RANGE = (0.1, 20.0)
# Kinds of routes whose requests may run more than once.
_IDEMPOTENT_KINDS = frozenset({'safe', 'download'})
_RETRY_AFTER_MAX_S = 3600.0


class MalformedBody(errors.PlatformError):
    """Raised when a body from the platform cannot be decoded."""


class LoadReport(typing.NamedTuple):
    """What an upstream reports of its load in a response.

    Attributes:
        running: number of running requests.
        waiting: number of queued requests.
        slots: number of requests that can run at once.
        slowdown: factor on the usual run times that applies on the
            upstream's machine now, within :data:`SLOWDOWN_RANGE`.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class Query(typing.NamedTuple):
    """Query of a caller's address lookup."""

    host: str
    region: str
    place: str


def decode_items(items):
    """Return :class:`store_replica.Item` values of store rows.

    Keys with halves of surrogate pairs are left out, as no message between
    instances can carry them.
    """
    return [
        store_replica.Item(
            row['Key'],
            (
                None
                if row.get('Deleted')
                else base64.b64decode(row.get('Value') or '')
            ),
            row['Revision'],
        )
        for row in items
        if _is_text(row['Key'])
    ]


def _is_text(value):
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def decode_config(value):
    """Return the :class:`~decisions.route_table.RouteTable` of a value.

    Raises:
        MalformedBody: if the value is not a valid configuration.
    """
    config = read_config(value)
    if config.faults:
        raise MalformedBody('configuration: %s: %s' % config.faults[0])
    # An empty list is that of a deployment without accounts.
    table = None
    if config.accounts:
        table = accounts.AccountTable([item for _, item in config.accounts])
    return route_table.RouteTable(
        config.version,
        [route for _, route in config.routes],
        [service for _, service in config.services],
        config.limits,
        table,
    )


def read_config(value):
    """Return the :class:`~decisions.config_checks.Config` of a value.

    Raises:
        MalformedBody: if the value is not a JSON document.
    """
    try:
        doc = json.loads(value)
    except (ValueError, RecursionError) as exc:
        raise MalformedBody('configuration: %s' % exc) from exc
    faults = []

    def read(path, func, *args):
        # Returns a list of one ``(path, value)``, or an empty one.
        try:
            return [(path, func(*args))]
        except _DECODING_ERRORS as exc:
            faults.append((path, _fault_text(exc)))
            return []

    def rows(parent, path, key, required=True):
        # Returns ``(path, row)`` pairs of a list.
        found = parent.get(key) if isinstance(parent, dict) else None
        if isinstance(found, list):
            return [
                ('%s%s[%d]' % (path, key, index), row)
                for index, row in enumerate(found)
            ]
        if required or found is not None:
            faults.append((path + key, 'must be a list'))
        return []

    version = read('Version', lambda: int(doc['Version'], 16))
    routes = []
    for path, listener in rows(doc, '', 'Listeners'):
        for rule_path, rule in rows(listener, path + '.', 'Rules'):
            routes += read(rule_path, lambda: _route(listener['Host'], rule))
    services, account_rows = [], []
    for path, row in rows(doc, '', 'Clusters'):
        services += read(path, _service, row)
    for path, row in rows(doc, '', 'Tenants', required=False):
        account_rows += read(path, _account, row)
    limits = read('Limits', lambda: _limits(doc.get('Limits') or {}))
    return config_checks.Config(
        version[0][1] if version else 0,
        routes,
        services,
        account_rows,
        limits[0][1] if limits else route_table.CallerLimits(),
        faults,
    )


def _fault_text(exc):
    if isinstance(exc, KeyError):
        return '%s is missing' % exc
    return str(exc) or type(exc).__name__


def _route(host, rule):
    action = rule['Action']
    parts = action.get('Split')
    if parts:
        targets = tuple(
            (_typed(part, 'Service', str), _finite(part['Weight']))
            for part in parts
        )
    else:
        targets = ((_typed(action, 'Service', str), 1),)
    timeout_ms = _number(action['TimeoutMs'])
    return route_table.Route(
        name=_typed(rule, 'Name', str),
        host=host.lower(),
        prefix=_typed(rule['Match'], 'Prefix', str),
        idempotent=rule['Kind'] in _IDEMPOTENT_KINDS,
        targets=targets,
        timeout_s=timeout_ms / 1000,
        latency_target_s=_number(rule.get('LatencyTargetMs') or timeout_ms)
        / 1000,
        max_attempts=_number(action.get('MaxAttempts') or 1),
        priority=_finite(rule.get('Priority') or 0),
        home_regions=_regions(action),
        sticky=bool(rule.get('Sticky')),
        public=bool(rule.get('Public')),
    )


def _account(row):
    priority = row.get('Priority')
    account = accounts.Account(
        name=_typed(row, 'Name', str),
        priority=None if priority is None else _number(priority),
        rate_per_s=_number(row.get('RatePerS') or 0),
        burst=_number(row.get('Burst') or 0),
        home_regions=_regions(row),
    )
    keys = row.get('ApiKeys') or []
    if not isinstance(keys, list):
        raise TypeError('ApiKeys is not a list')
    return account, [key.encode() for key in keys]


def _regions(row):
    regions = row.get('HomeRegions') or []
    if not isinstance(regions, list) or not all(
        isinstance(region, str) for region in regions
    ):
        raise TypeError('HomeRegions is not a list of names')
    return frozenset(regions)


def _service(item):
    return route_table.Service(
        name=_typed(item, 'Name', str),
        max_conns=_number(item.get('MaxConns') or 100),
        cold_per_s=_number(item.get('ColdPerS') or 0.0),
        cold_start_s=_number(item.get('ColdStartS') or 0.0),
    )


def _limits(doc):
    default = route_table.CallerLimits()

    def read(name, otherwise):
        return _number(doc.get(name) or otherwise)

    return route_table.CallerLimits(
        head_bytes=read('MaxHeaderBytes', default.head_bytes),
        body_bytes=read('MaxBodyBytes', default.body_bytes),
        head_s=read('HeaderTimeoutMs', default.head_s * 1000) / 1000,
        idle_s=read('IdleTimeoutMs', default.idle_s * 1000) / 1000,
    )


def decode_upstream(item):
    """Return the :class:`~decisions.upstream_view.Entry` of an item.

    Raises:
        MalformedBody: if a field is missing or invalid.
    """
    try:
        doc = json.loads(item.value)
        host, port = decode_address(_name(doc, 'Addr'))
        entry = upstream_view.Entry(
            id=item.key[len(UPSTREAM_PREFIX) :],
            service=_name(doc, 'Service'),
            host=host,
            port=port,
            place=_name(doc, 'Zone'),
            slots=_typed(doc, 'Slots', int),
            state=_STATES[doc['State']],
            cold_s=_number(doc.get('ColdLeftMs', 0)) / 1000,
            seq=_integer(doc['Seq']),
            born_ms=_integer(doc.get('born', 0)),
        )
    except _DECODING_ERRORS as exc:
        reason = repr(exc)[:_FAULT_MAX_CHARS]
        raise MalformedBody('%s: %s' % (item.key[:200], reason)) from exc
    if (
        not _UPSTREAM_ID_FORM.fullmatch(entry.id)
        or not 0 < entry.slots <= _SLOTS_MAX
        or entry.born_ms < 0
    ):
        raise MalformedBody('%s: value out of range' % item.key[:200])
    return entry


def decode_address(value):
    """Return ``(host, port)`` of the text ``IP:port`` of one IPv4 host.

    Raises:
        ValueError: if it is none.
    """
    host, _, port = value.rpartition(':')
    address = ipaddress.IPv4Address(host)
    if address.is_unspecified or address.is_multicast:
        raise ValueError('address of no host')
    if not port.isascii() or not port.isdecimal() or len(port) > 5:
        raise ValueError('not a port')
    if not 0 < int(port) < 65536:
        raise ValueError('port out of range')
    return host, int(port)


def _name(doc, key):
    value = _typed(doc, key, str)
    if len(value) > _NAME_MAX_CHARS:
        raise ValueError('%s is too long' % key)
    # Fails for halves of surrogate pairs, which no message can carry.
    value.encode()
    return value


def _typed(doc, name, kind):
    value = doc[name]
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError('%s is not of type %s' % (name, kind.__name__))
    return value


def _number(value):
    if _finite(value) < 0:
        raise ValueError('out of range')
    return value


def _finite(value):
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError('not a number')
    if not math.isfinite(value):
        raise ValueError('out of range')
    return value


def _integer(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError('not an integer')
    if abs(value) > _INTEGER_MAX:
        raise ValueError('out of range')
    return value


def evacuated_place(key):
    """Return the place of an evacuation key, or None for other keys."""
    if key.startswith(EVACUATE_PREFIX):
        return key[len(EVACUATE_PREFIX) :]
    return None


def decode_era(headers):
    """Return the store's era from the headers of a response, or None.

    The era rises each time that the store comes back from an older copy.
    """
    value = headers.get(STORE_ERA, '').strip()
    return int(value) if value.isdecimal() else None


def decode_load(value):
    """Return the :class:`LoadReport` of a load header, or None.

    The header states running and waiting requests, slots and, on some
    platforms, how long work takes on the upstream's machine now, in percent
    of the usual. Fields after these are left out.
    """
    parts = [part.strip() for part in value.split(b',')]
    if len(parts) < 3 or not all(_is_count(part) for part in parts[:3]):
        return None
    slowdown = 1.0
    if len(parts) > 3 and _is_count(parts[3]):
        slowdown = min(
            max(int(parts[3]) / 100, SLOWDOWN_RANGE[0]), SLOWDOWN_RANGE[1]
        )
    return LoadReport(*(int(part) for part in parts[:3]), slowdown)


def _is_count(text):
    # The length bounds the value and the cost of reading it.
    return text.isdigit() and len(text) <= _COUNT_DIGITS_MAX


def decode_limit(value):
    """Return the requests per second of a limit header, or None."""
    try:
        return _number(float(value))
    except (TypeError, ValueError):
        return None


def is_rejection(status, headers):
    """Return whether a response says that its request was not executed.

    Args:
        status: HTTP status.
        headers: list of ``(lower-case name, value)``, bytes.
    """
    return status == 421 or any(name == NOT_EXECUTED for name, _ in headers)


def decode_leaving(value):
    """Return whether the value of a leaving header, or None, says so."""
    return value is not None and value.strip() == b'1'


def decode_retry_after(value):
    """Return the seconds of a ``Retry-After`` header, or None.

    Dates, which depend on the time of day, and values that are not positive
    state nothing. A value above an hour counts as an hour.
    """
    try:
        seconds = _number(float(value))
    except (TypeError, ValueError):
        return None
    return min(seconds, _RETRY_AFTER_MAX_S) or None


def object_key(headers):
    """Return the affinity key from the ``Cookie`` header, or ''."""
    for name, value in headers:
        if name != b'cookie':
            continue
        for part in value.decode('latin-1').split(';'):
            label, _, text = part.strip().partition('=')
            if label == AFFINITY_COOKIE:
                return text
    return ''


def credential(headers):
    """Return the key of an account that a request presents, or None.

    A key is printable ASCII without spaces, and stated once.
    """
    found = [value for name, value in headers if name == CREDENTIAL]
    if len(found) != 1 or not _CREDENTIAL_FORM.fullmatch(found[0]):
        return None
    return found[0]


def decode_query(fields):
    """Return the :class:`Query` of a resolve request."""
    return Query(
        fields.get('Name', ''),
        fields.get('Region', ''),
        fields.get('Zone', ''),
    )


def encode_addresses(addresses, ttl_s):
    """Return the body of a resolve response."""
    return json.dumps({'Addrs': addresses, 'TtlS': ttl_s}).encode()
