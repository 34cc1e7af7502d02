"""Global traffic steering between callers and upstreams.

The names in ``__all__`` are the public API. They are imported on first use,
so that the command line loads only the modules that it needs.

Example:
    >>> import jasminehold
    >>> cfg = jasminehold.parse_settings(text)  # doctest: +SKIP
    >>> app = jasminehold.Application(cfg)  # doctest: +SKIP
    >>> app.start()  # doctest: +SKIP
    >>> app.run()  # doctest: +SKIP
"""

import importlib

__version__ = '0.1.0'

_PUBLIC = {
    'Application': ('app', 'Application'),
    'ApiClient': ('api_client', 'Client'),
    'ConfigSet': ('config', 'ConfigSet'),
    'JasmineholdError': ('errors', 'JasmineholdError'),
    'Kind': ('errors', 'Kind'),
    'PlatformClient': ('platform.client', 'PlatformClient'),
    'Settings': ('settings', 'Settings'),
    'answer_for': ('errors', 'answer_for'),
    'parse_settings': ('settings', 'parse'),
    'run': ('app', 'run'),
}

__all__ = tuple(_PUBLIC)


def __getattr__(name):
    """Import a public name on first use."""
    if name not in _PUBLIC:
        raise AttributeError('module jasminehold has no attribute %r' % name)
    module, attribute = _PUBLIC[name]
    module = importlib.import_module('jasminehold.' + module)
    return getattr(module, attribute)
