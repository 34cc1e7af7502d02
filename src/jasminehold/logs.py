"""Structured log lines for changes of state.

Each line is one JSON object with the time, the level, the logger, the event
and its fields. Counters (:mod:`jasminehold.metrics`) come first: code writes
a line only when a state changes, never once per request.

Example:
    >>> log = get('planner')
    >>> log('duty acquired', duty='planner/sul', token=17)  # doctest: +SKIP
"""

import json
import logging
import sys


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def format(self, record):
        """Return the line for a record."""
        line = {
            'time': self.formatTime(record, '%Y-%m-%dT%H:%M:%S')
            + '.%03d' % record.msecs,
            'level': record.levelname.lower(),
            'logger': record.name,
            'event': record.getMessage(),
        }
        line.update(getattr(record, 'fields', {}))
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure(level='info', stream=None):
    """Send the package's log lines to a stream.

    Args:
        level: ``debug``, ``info``, ``warning`` or ``error``.
        stream: a text stream, standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger('jasminehold')
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False


def get(name):
    """Return a function that writes a line for a change of state.

    Args:
        name: the module's short name.

    Returns:
        ``log(event, level='info', **fields)``.
    """
    logger = logging.getLogger('jasminehold.' + name)

    def log(event, level='info', **fields):
        number = logging.getLevelName(level.upper())
        logger.log(number, event, extra={'fields': fields})

    return log
