"""Settings file of an instance, in JSON with comments.

The table :data:`KEYS` defines all keys. The type :class:`Settings`, the
validation in :func:`parse` and the reference page from :func:`markdown` are
derived from it.

Example:
    >>> parse('{place: "sul-1", region: "sul"}').lookup_ttl
    2.0
"""

import ipaddress
import json
import math
import os
import re
import typing

import json5

from jasminehold import errors

# json5 needs about 0.3 s per 100 KB, so files with comments must be small.
MAX_JSON5_BYTES = 256 * 1024
# Fits the whole configuration of a fleet with 520,000 client blocks.
MAX_FILE_BYTES = 64 * 1024 * 1024
# json5 parses recursively, so deeper files would exhaust the stack.
MAX_NESTING_DEPTH = 16

# Keys whose values are left out of error messages.
SECRET_KEYS = ('operators', 'peer_key', 'peer_keys')

_NAME = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')
REQUIRED = object()


class Address(typing.NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int


class Key(typing.NamedTuple):
    """One key of the settings file.

    Attributes:
        name: the key.
        type: type of the validated value.
        check: function that validates a JSON value and returns the setting;
            raises ``ValueError``.
        allowed: description of the allowed values, for error messages and
            the reference page.
        default: JSON value used when the key is absent.
        doc: description of the key in one sentence.
    """

    name: str
    type: object
    check: typing.Callable
    allowed: str
    default: object
    doc: str


def number_check(low, high, integer=False):
    """Return a check that a value is a number within inclusive bounds."""

    def check(value):
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValueError
        if integer and not isinstance(value, int):
            raise ValueError
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError
        return value if integer else float(value)

    return check


def check_name(value):
    """Check that a value is a name; see :attr:`Key.check`."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValueError
    return value


def check_address(value):
    """Parse ``"IP:port"`` to an :class:`Address`; see :attr:`Key.check`."""
    if not isinstance(value, str):
        raise ValueError
    host, _, port = value.rpartition(':')
    if not re.fullmatch(r'[0-9]{1,5}', port) or int(port) > 65535:
        raise ValueError
    host = str(ipaddress.ip_address(host.strip('[]')))
    return Address(host, int(port))


def _check_optional_address(value):
    if value is None:
        return None
    return check_addresses([value])[0]


def check_addresses(value):
    """Parse a list of ``"IP:port"`` without port 0; see :attr:`Key.check`."""
    if not isinstance(value, list) or len(value) > 64:
        raise ValueError
    result = tuple(check_address(item) for item in value)
    if any(item.port == 0 for item in result):
        raise ValueError
    return result


def _hex_map_check(pattern):
    def check(value):
        if not isinstance(value, dict) or len(value) > 1000:
            raise ValueError
        for name, text in value.items():
            check_name(name)
            if not isinstance(text, str) or not re.fullmatch(pattern, text):
                raise ValueError
        return {name: text.lower() for name, text in value.items()}

    return check


def _choice_check(*values):
    def check(value):
        if value not in values:
            raise ValueError
        return value

    return check


def check_flag(value):
    """Check that a value is a boolean; see :attr:`Key.check`."""
    if not isinstance(value, bool):
        raise ValueError
    return value


def check_id(value):
    """Check an id, or generate a random one for None."""
    if value is None:
        return 'i-' + os.urandom(8).hex()
    return check_name(value)


def _check_optional_name(value):
    return value if value is None else check_name(value)


_NAME_TEXT = 'lower-case letters, digits and hyphens, at most 63'
_ADDRESS_TEXT = '"IP:port", the port from 0 to 65535'
_ADDRESSES_TEXT = 'list of at most 64 "IP:port", the ports from 1 to 65535'


def text_key(name, check, allowed, default, doc, kind=str):
    """Return a :class:`Key` for a string, or for the type ``kind``."""
    return Key(name, kind, check, allowed, default, doc)


def integer_key(name, default, low, high, doc):
    """Return a :class:`Key` for an integer from ``low`` to ``high``."""
    allowed = 'integer from %d to %d' % (low, high)
    return Key(name, int, number_check(low, high, True), allowed, default, doc)


def seconds_key(name, default, low, high, doc):
    """Return a :class:`Key` for a duration in seconds."""
    allowed = 'seconds from %g to %g' % (low, high)
    return Key(name, float, number_check(low, high), allowed, default, doc)


KEYS = (
    text_key(
        'id',
        check_id,
        _NAME_TEXT,
        None,
        'Id of the instance; random if unset.',
    ),
    text_key(
        'place', check_name, _NAME_TEXT, REQUIRED, 'Place of the instance.'
    ),
    text_key(
        'region', check_name, _NAME_TEXT, REQUIRED, 'Region of the place.'
    ),
    text_key(
        'caller_listen',
        check_address,
        _ADDRESS_TEXT,
        '127.0.0.1:0',
        'Address for callers.',
        Address,
    ),
    text_key(
        'api_listen',
        check_address,
        _ADDRESS_TEXT,
        '127.0.0.1:0',
        'Address for operators, metrics and health.',
        Address,
    ),
    text_key(
        'peer_listen',
        check_address,
        _ADDRESS_TEXT,
        '127.0.0.1:0',
        'Address for other instances.',
        Address,
    ),
    text_key(
        'peer_advertise',
        _check_optional_address,
        _ADDRESS_TEXT.replace('0 to', '1 to'),
        None,
        'Address that other instances are told, where it differs from '
        'peer_listen.',
        typing.Optional[Address],
    ),
    text_key(
        'platform',
        check_addresses,
        _ADDRESSES_TEXT,
        [],
        "Addresses of the platform's service, tried in turn.",
        tuple[Address, ...],
    ),
    Key(
        'register',
        bool,
        check_flag,
        'true or false',
        False,
        "Enter this instance in the stand-in's list of instances; a real "
        'platform lists its machines itself.',
    ),
    text_key(
        'peers',
        check_addresses,
        _ADDRESSES_TEXT,
        [],
        'Instances to start from.',
        tuple[Address, ...],
    ),
    text_key(
        'peer_keys',
        _hex_map_check(r'([0-9a-fA-F]{2}){16,64}'),
        'object from key id to a key of 16 to 64 bytes in hex',
        {},
        'Key ring for the streams between instances.',
        dict[str, str],
    ),
    text_key(
        'peer_key_id',
        _check_optional_name,
        'an id in peer_keys',
        None,
        'Key that this instance proves itself with.',
        typing.Optional[str],
    ),
    text_key(
        'operators',
        _hex_map_check(r'[0-9a-fA-F]{64}'),
        "object from the operator's name to 64 hex digits (SHA-256)",
        {},
        "SHA-256 of each operator's bearer token.",
        dict[str, str],
    ),
    text_key(
        'log_level',
        _choice_check('debug', 'info', 'warning', 'error'),
        '"debug", "info", "warning" or "error"',
        'info',
        'Lowest level of the log lines that are written.',
    ),
    integer_key(
        'max_header_bytes',
        16384,
        1024,
        1048576,
        'Limit on the headers of one request.',
    ),
    integer_key(
        'max_body_bytes',
        1048576,
        1024,
        67108864,
        "Limit on the body of a caller's request.",
    ),
    integer_key(
        'api_max_body_bytes',
        524288,
        1024,
        1048576,
        "Limit on the body of an operator's request.",
    ),
    integer_key(
        'max_connections', 10000, 1, 100000, "Limit on callers' connections."
    ),
    integer_key(
        'api_max_connections',
        256,
        1,
        10000,
        "Limit on operators' connections.",
    ),
    integer_key(
        'max_watches',
        128,
        1,
        10000,
        'Limit on long polls that wait at the same time.',
    ),
    integer_key(
        'watch_history',
        10000,
        1,
        1000000,
        'Changes kept for watches that resume.',
    ),
    integer_key('claim_shards', 4, 1, 64, 'Shards of the idempotency claims.'),
    integer_key(
        'claim_writes_per_second',
        30,
        1,
        1000,
        'Limit on the platform writes of one claim shard.',
    ),
    integer_key(
        'claim_limit',
        340000,
        100,
        10000000,
        'Limit on the claims an instance keeps; new ones are refused.',
    ),
    integer_key('peer_limit', 8, 1, 64, 'Peers chosen by stable hash.'),
    integer_key(
        'full_mesh_limit', 16, 1, 64, 'Largest fleet with a full mesh.'
    ),
    seconds_key(
        'api_read_timeout',
        10.0,
        0.1,
        120,
        "Time for an operator's request to arrive whole.",
    ),
    seconds_key(
        'header_timeout',
        10.0,
        0.1,
        120,
        "Time for the headers of a caller's request to arrive.",
    ),
    seconds_key(
        'idle_timeout', 60.0, 1, 3600, 'Idle time of a kept connection.'
    ),
    seconds_key(
        'platform_timeout', 2.0, 0.05, 30, 'Time for a platform call.'
    ),
    seconds_key('watch_wait_max', 30.0, 0, 300, 'Longest wait of a watch.'),
    seconds_key(
        'drain_bound', 35.0, 0, 600, 'Longest drain at a planned stop.'
    ),
    seconds_key('gossip_period', 1.0, 0.05, 60, 'Time between two exchanges.'),
    seconds_key('lease_ttl', 4.0, 0.5, 60, 'Time to live of a duty lease.'),
    seconds_key(
        'lease_renew', 1.0, 0.1, 30, 'Renewal period of a duty lease.'
    ),
    seconds_key(
        'lookup_ttl', 2.0, 0.1, 60, 'Time callers may keep an answer.'
    ),
    seconds_key('claim_keep', 3600.0, 60, 86400, 'Time that claims are kept.'),
    seconds_key(
        'answer_keep',
        600.0,
        1,
        86400,
        'Time that answers of claimed requests are kept.',
    ),
    seconds_key(
        'tombstone_keep',
        86400.0,
        60,
        2592000,
        'Time that deleted resources are kept as tombstones.',
    ),
)

Settings = typing.NamedTuple(
    'Settings', [(key.name, key.type) for key in KEYS]
)
Settings.__doc__ = (
    'Validated settings, with one field for each key in :data:`KEYS`.'
)


def parse(text):
    """Parse and validate a settings file and fill in defaults.

    Args:
        text: content of the file, JSON with comments.

    Returns:
        The :class:`Settings`.

    Raises:
        SettingsError: when the text cannot be parsed or a key is unknown,
            missing or invalid; the message names the key.
    """
    return from_dict(parse_json5(text, 'the settings'))


def parse_json5(text, source_name):
    """Parse JSON with comments, with limits on size and nesting.

    Args:
        text: the text to parse.
        source_name: name of the source, for error messages.

    Raises:
        SettingsError: when the text is too large, nested too deep or
            malformed.
    """
    try:
        # The standard parser is about 1,000 times faster than json5 and
        # accepts files without comments, such as most generated ones.
        return json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError):
        pass
    if len(text) > MAX_JSON5_BYTES:
        raise errors.SettingsError(
            '%s: larger than %d bytes and not plain JSON'
            % (source_name, MAX_JSON5_BYTES)
        )
    if max_nesting_depth(text) > MAX_NESTING_DEPTH:
        raise errors.SettingsError(
            '%s: nested deeper than %d levels'
            % (source_name, MAX_NESTING_DEPTH)
        )
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        raise errors.SettingsError('%s: %s' % (source_name, exc)) from exc


def _reject_duplicate_keys(pairs):
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError('duplicate key')
    return result


def max_nesting_depth(text):
    """Return an upper bound on the nesting depth of JSON, without recursion.

    Brackets in strings and comments are counted too, so the bound can exceed
    the real depth.
    """
    depth = deepest = 0
    for match in re.finditer(r'[\[\]{}]', text):
        if match.group() in '[{':
            depth += 1
            deepest = max(deepest, depth)
        else:
            depth -= 1
    return deepest


def from_dict(raw):
    """Validate a parsed settings object; see :func:`parse`."""
    result = Settings(**check_table(raw, KEYS))
    _check_dependent_keys(result)
    return result


def check_table(raw, keys):
    """Validate an object against a table of keys and fill in defaults.

    Args:
        raw: the parsed JSON object.
        keys: sequence of :class:`Key`.

    Returns:
        ``{name: value}`` with one item for each key.

    Raises:
        SettingsError: for the first unknown, missing or invalid key.
    """
    if not isinstance(raw, dict):
        raise errors.SettingsError('the settings must be an object')
    known = {key.name for key in keys}
    for name in raw:
        if name not in known:
            raise errors.SettingsError(
                '%s: unknown key; allowed keys: %s'
                % (name, ', '.join(sorted(known)))
            )
    return {key.name: _checked_value(key, raw) for key in keys}


def _checked_value(key, raw):
    value = raw.get(key.name, key.default)
    if value is REQUIRED:
        raise errors.SettingsError(
            '%s: required; allowed: %s' % (key.name, key.allowed)
        )
    try:
        return key.check(value)
    except (ValueError, TypeError) as exc:
        raise errors.SettingsError(
            '%s: allowed: %s%s'
            % (key.name, key.allowed, _received_value(key, value))
        ) from exc


def _received_value(key, value):
    # Keeps secrets out of error messages and logs.
    return '' if key.name in SECRET_KEYS else '; got %.80r' % (value,)


def _check_dependent_keys(cfg):
    if cfg.peer_keys and cfg.peer_key_id not in cfg.peer_keys:
        raise errors.SettingsError('peer_key_id: allowed: an id in peer_keys')
    if cfg.peer_key_id is not None and not cfg.peer_keys:
        raise errors.SettingsError('peer_keys: must hold peer_key_id')
    if cfg.lease_renew * 2 > cfg.lease_ttl:
        raise errors.SettingsError(
            'lease_renew: allowed: at most half of lease_ttl'
        )


def load(path):
    """Read and validate a settings file; see :func:`parse`."""
    return from_dict(parse_json5(read_file(path), path))


def read_file(path):
    """Return the text of a file, cut after ``MAX_FILE_BYTES + 1`` characters.

    Raises:
        SettingsError: when the file cannot be read.
    """
    try:
        with open(path, encoding='utf-8') as stream:
            return stream.read(MAX_FILE_BYTES + 1)
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError('%s: %s' % (path, exc)) from exc


def markdown(keys, title, module):
    """Return the reference page for a table of keys.

    Args:
        keys: sequence of :class:`Key`.
        title: heading of the page.
        module: name of the module that prints the page when run.
    """
    lines = [
        '# ' + title,
        '',
        'Written from the table in `%s` by `python -m %s`.' % (module, module),
        '',
        '| key | allowed | default | meaning |',
        '|---|---|---|---|',
    ]
    for key in keys:
        default = 'required'
        if key.default is not REQUIRED:
            default = '`%s`' % json.dumps(key.default)
        cells = (key.name, key.allowed, default, key.doc)
        lines.append('| `%s` | %s | %s | %s |' % cells)
    return '\n'.join(lines) + '\n'


if __name__ == '__main__':
    print(markdown(KEYS, 'Settings', 'jasminehold.settings'), end='')
