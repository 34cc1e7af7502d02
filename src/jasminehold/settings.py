"""Settings file of an instance: JSON with comments, checked key by key.

The table :data:`KEYS` is the only list of keys. It drives the type
:class:`Settings`, the check in :func:`parse` and the page that
:func:`markdown` writes.

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

# json5 takes about 0.3 s per 100 KB, so files with comments are kept small.
MAX_JSON5_BYTES = 256 * 1024
# A fleet's whole configuration in one file, at 520,000 client blocks.
MAX_FILE_BYTES = 64 * 1024 * 1024
# json5 parses recursively; deeper files would exhaust the stack.
MAX_DEPTH = 16

# Keys whose values no message shows.
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
        type: type of the checked value.
        check: function from the JSON value to the checked value; raises
            ``ValueError``.
        allowed: what is allowed, for messages and the page.
        default: the JSON value used when the key is absent.
        doc: one sentence on the meaning.
    """

    name: str
    type: object
    check: typing.Callable
    allowed: str
    default: object
    doc: str


def number_check(low, high, integer=False):
    """Return a check for a number within bounds; see :class:`Key`."""

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
    """Check a name; see :class:`Key`."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValueError
    return value


def check_address(value):
    """Check an :class:`Address`; see :class:`Key`."""
    if not isinstance(value, str):
        raise ValueError
    host, _, port = value.rpartition(':')
    if not re.fullmatch(r'[0-9]{1,5}', port) or int(port) > 65535:
        raise ValueError
    host = str(ipaddress.ip_address(host.strip('[]')))
    return Address(host, int(port))


def _address_or_none(value):
    if value is None:
        return None
    return check_addresses([value])[0]


def check_addresses(value):
    """Check a list of :class:`Address`; see :class:`Key`."""
    if not isinstance(value, list) or len(value) > 64:
        raise ValueError
    result = tuple(check_address(item) for item in value)
    if any(item.port == 0 for item in result):
        raise ValueError
    return result


def _hex_map(pattern):
    def check(value):
        if not isinstance(value, dict) or len(value) > 1000:
            raise ValueError
        for name, text in value.items():
            check_name(name)
            if not isinstance(text, str) or not re.fullmatch(pattern, text):
                raise ValueError
        return {name: text.lower() for name, text in value.items()}

    return check


def _choice(*values):
    def check(value):
        if value not in values:
            raise ValueError
        return value

    return check


def check_flag(value):
    """Check true or false; see :class:`Key`."""
    if not isinstance(value, bool):
        raise ValueError
    return value


def check_id(value):
    """Check an id, or draw one; see :class:`Key`."""
    if value is None:
        return 'i-' + os.urandom(8).hex()
    return check_name(value)


def _key_id(value):
    return value if value is None else check_name(value)


_NAME_TEXT = 'lower-case letters, digits and hyphens, at most 63'
_ADDRESS_TEXT = '"IP:port", the port from 0 to 65535'
_ADDRESSES_TEXT = 'list of at most 64 "IP:port", the ports from 1 to 65535'


def text_key(name, check, allowed, default, doc, kind=str):
    """Return the :class:`Key` of a text or of another type ``kind``."""
    return Key(name, kind, check, allowed, default, doc)


def integer_key(name, default, low, high, doc):
    """Return the :class:`Key` of a whole number."""
    allowed = 'integer from %d to %d' % (low, high)
    return Key(name, int, number_check(low, high, True), allowed, default, doc)


def seconds_key(name, default, low, high, doc):
    """Return the :class:`Key` of a number of seconds."""
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
        _address_or_none,
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
        _hex_map(r'([0-9a-fA-F]{2}){16,64}'),
        'object from key id to a key of 16 to 64 bytes in hex',
        {},
        'Key ring for the streams between instances.',
        dict[str, str],
    ),
    text_key(
        'peer_key_id',
        _key_id,
        'an id in peer_keys',
        None,
        'Key that this instance proves itself with.',
        typing.Optional[str],
    ),
    text_key(
        'operators',
        _hex_map(r'[0-9a-fA-F]{64}'),
        "object from the operator's name to 64 hex digits (SHA-256)",
        {},
        "SHA-256 of each operator's bearer token.",
        dict[str, str],
    ),
    text_key(
        'log_level',
        _choice('debug', 'info', 'warning', 'error'),
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
Settings.__doc__ = 'Checked settings; one field for each of :data:`KEYS`.'


def parse(text):
    """Check the text of a settings file and fill in defaults.

    Args:
        text: JSON with comments.

    Returns:
        The :class:`Settings`.

    Raises:
        SettingsError: when the text cannot be parsed or a key is unknown,
            missing or not valid; the message names the key.
    """
    return from_dict(parse_json5(text, 'the settings'))


def parse_json5(text, what):
    """Parse JSON with comments, within the limits on size and nesting.

    Args:
        text: the text.
        what: name of the source, for the message.

    Raises:
        SettingsError: when it is too large, too deep or malformed.
    """
    try:
        # The standard parser is about 1,000 times faster than json5's; it
        # takes most files that are written by programs.
        return json.loads(text, object_pairs_hook=_unique)
    except (ValueError, RecursionError):
        pass
    if len(text) > MAX_JSON5_BYTES:
        raise errors.SettingsError(
            '%s: larger than %d bytes and not plain JSON'
            % (what, MAX_JSON5_BYTES)
        )
    if max_nesting_depth(text) > MAX_DEPTH:
        raise errors.SettingsError(
            '%s: nested deeper than %d levels' % (what, MAX_DEPTH)
        )
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        raise errors.SettingsError('%s: %s' % (what, exc)) from exc


def _unique(pairs):
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError('duplicate key')
    return result


def max_nesting_depth(text):
    """Return an upper bound of the nesting depth of JSON, without recursion.

    Brackets in strings and comments count as well, so the bound can be too
    high.
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
    """Check a parsed settings object; see :func:`parse`."""
    result = Settings(**check_table(raw, KEYS))
    _check_together(result)
    return result


def check_table(raw, keys):
    """Check an object against a table of keys and fill in defaults.

    Args:
        raw: the parsed object.
        keys: sequence of :class:`Key`.

    Returns:
        ``{name: checked value}`` with one item for each key.

    Raises:
        SettingsError: for the first unknown, missing or unsuitable key.
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
    return {key.name: _checked(key, raw) for key in keys}


def _checked(key, raw):
    value = raw.get(key.name, key.default)
    if value is REQUIRED:
        raise errors.SettingsError(
            '%s: required; allowed: %s' % (key.name, key.allowed)
        )
    try:
        return key.check(value)
    except (ValueError, TypeError) as exc:
        raise errors.SettingsError(
            '%s: allowed: %s%s' % (key.name, key.allowed, _shown(key, value))
        ) from exc


def _shown(key, value):
    # Secrets stay out of messages and logs.
    return '' if key.name in SECRET_KEYS else '; got %.80r' % (value,)


def _check_together(cfg):
    if cfg.peer_keys and cfg.peer_key_id not in cfg.peer_keys:
        raise errors.SettingsError('peer_key_id: allowed: an id in peer_keys')
    if cfg.peer_key_id is not None and not cfg.peer_keys:
        raise errors.SettingsError('peer_keys: must hold peer_key_id')
    if cfg.lease_renew * 2 > cfg.lease_ttl:
        raise errors.SettingsError(
            'lease_renew: allowed: at most half of lease_ttl'
        )


def load(path):
    """Read and check a settings file; see :func:`parse`."""
    return from_dict(parse_json5(read_file(path), path))


def read_file(path):
    """Return a file's text.

    Raises:
        SettingsError: when the file cannot be read.
    """
    try:
        with open(path, encoding='utf-8') as stream:
            return stream.read(MAX_FILE_BYTES + 1)
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError('%s: %s' % (path, exc)) from exc


def markdown(keys, title, module):
    """Return the page of a table of keys.

    Args:
        keys: sequence of :class:`Key`.
        title: heading of the page.
        module: module whose run writes the page.
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
