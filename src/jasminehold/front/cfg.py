"""Settings of an instance in front of the upstreams.

The file is JSON5. On the platform it is rendered from the template
``deploy/instance.json``.
"""

import typing

from jasminehold import errors
from jasminehold import settings


def _places(value):
    if not isinstance(value, dict) or not value:
        raise ValueError
    return {
        settings.check_name(place): settings.check_name(region)
        for place, region in value.items()
    }


def _ports(value):
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError
    check = settings.number_check(1, 65535, True)
    return check(value[0]), check(value[1])


def _key_or_none(value):
    if value is None:
        return None
    if len(bytes.fromhex(value)) != 32:
        raise ValueError
    return value


def _number(name, default, low, high, doc):
    allowed = 'number from %g to %g' % (low, high)
    check = settings.number_check(low, high)
    return settings.Key(name, float, check, allowed, default, doc)


def _whole_number(name, default, low, high, doc):
    # The platform may state any amount as a fraction.
    check = settings.number_check(low, high)
    allowed = 'number from %g to %g' % (low, high)
    return settings.Key(
        name, int, lambda value: int(check(value)), allowed, default, doc
    )


def _listen(name, doc):
    return settings.Key(
        name,
        settings.Address,
        settings.check_address,
        '"IP:port", the port from 0 to 65535',
        settings.REQUIRED,
        doc,
    )


_NAME_TEXT = 'lower-case letters, digits and hyphens, at most 63'

KEYS = (
    settings.text_key(
        'id', settings.check_id, _NAME_TEXT, None, 'Id of the instance.'
    ),
    settings.text_key(
        'place',
        settings.check_name,
        _NAME_TEXT,
        settings.REQUIRED,
        'Availability zone of the instance.',
    ),
    settings.Key(
        'places',
        dict,
        _places,
        'object from place to region',
        settings.REQUIRED,
        'All availability zones and their regions.',
    ),
    _listen('caller_listen', 'Address for callers.'),
    _listen('ready_listen', 'Address for checks of readiness.'),
    _listen('directory_listen', 'Address for questions where to connect.'),
    settings.Key(
        'internal_ports',
        tuple,
        _ports,
        'list of the first and the last port',
        settings.REQUIRED,
        'Ports free for streams between instances.',
    ),
    _listen('peer_listen', 'Address for streams between instances.'),
    _listen('metrics_listen', 'Address of the metrics.'),
    settings.Key(
        'seeds',
        tuple,
        settings.check_addresses,
        'list of at most 64 "IP:port"',
        [],
        'Addresses of some instances, for the first contact.',
    ),
    settings.Key(
        'peer_key',
        str,
        _key_or_none,
        'null or 64 hex digits',
        None,
        'Secret of the streams; derived from other settings if unset.',
    ),
    _listen('store', "Address of the platform's key-value store."),
    _whole_number('max_files', 4096, 1, 1e9, 'Descriptors of the process.'),
    _number('cores', 1, 0.001, 1e6, 'Processor cores of the instance.'),
    _number('core_speed', 1, 0.001, 1e6, 'Speed of a core, as a factor.'),
    _number('link_mbps', 1000, 0.001, 1e9, "The instance's own link, Mbit/s."),
    settings.seconds_key(
        'stop_grace', 6, 0, 86_400, 'From SIGTERM to the end of the process.'
    ),
    settings.seconds_key(
        'lookup_ttl', 2, 0.5, 60, 'Validity of an answer of the directory.'
    ),
    _number(
        'apply_within_ms',
        2000,
        1,
        86_400_000,
        'Time in which a configuration has to take effect, ms.',
    ),
    settings.Key(
        'strict_revoke',
        bool,
        settings.check_flag,
        'true or false',
        False,
        'Whether no instance may use a withdrawn key, cut off or not.',
    ),
    _number(
        'revoke_within_ms',
        0,
        0,
        86_400_000,
        'Time in which a withdrawn key is out of use, ms; 0 for no bound.',
    ),
    settings.seconds_key(
        'quota_window',
        5,
        0.001,
        86_400,
        'Window in which requests of an account are counted.',
    ),
    _number('quota_overage', 0, 0, 1000, 'Share beyond a quota allowed.'),
    _number('quota_slack', 0, 0, 1e9, 'Requests beyond a quota allowed.'),
    _number('memory_mb', 300, 1, 1e9, 'Memory of the process, MB.'),
    settings.Key(
        'urgent_first',
        bool,
        settings.check_flag,
        'true or false',
        False,
        'Whether less urgent requests give way where room is short.',
    ),
    _number('retry_ratio', 0.1, 0, 1000, 'Repeats allowed, as share.'),
    _number(
        'retry_burst', 10, 0, 1e9, 'Repeats allowed on top, of the fleet.'
    ),
    settings.seconds_key(
        'retry_window',
        10,
        0.001,
        86_400,
        'Window in which repeats are counted.',
    ),
    _number('cold_over', 1, 0, 1e6, 'Factor on the rate of the cold.'),
    _number('cold_slack', 0, 0, 1e9, 'Requests a second on top of it.'),
)

Cfg = typing.NamedTuple('Cfg', [(key.name, key.type) for key in KEYS])
Cfg.__doc__ = 'Validated settings, with one field for each of :data:`KEYS`.'


def load(path):
    """Read and validate a settings file.

    Raises:
        SettingsError: with the invalid key and its allowed values.
    """
    return parse(settings.read_file(path), path)


def parse(text, what='settings'):
    """Validate the text of a settings file and apply defaults."""
    raw = settings.parse_json5(text, what)
    if isinstance(raw, dict):
        # The platform renders a value that it does not have as null.
        raw = {key: value for key, value in raw.items() if value is not None}
    cfg = Cfg(**settings.check_table(raw, KEYS))
    if cfg.place not in cfg.places:
        raise errors.SettingsError('place: allowed: a key of places')
    return cfg


if __name__ == '__main__':
    page = settings.markdown(
        KEYS, 'Settings on the platform', 'jasminehold.front.cfg'
    )
    print(page, end='')
