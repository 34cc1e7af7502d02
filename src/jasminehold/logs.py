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
import os
import sys
import time

# Lines a second that one process writes at most; the rest is counted.
LINES_PER_S = 200
LINES_BURST = 400


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
    _install(logging.StreamHandler(stream or sys.stderr), level)


def _install(handler, level):
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger('jasminehold')
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever blocking.

    Lines beyond the rate, and lines that the descriptor does not take at
    once, are dropped; the next line that is written says how many. Lines of
    level warning and above are exempt from the rate.

    Args:
        fileno: descriptor, made non-blocking.
        rate: lines a second.
        burst: lines at once.
    """

    def __init__(self, fileno, rate=LINES_PER_S, burst=LINES_BURST):
        super().__init__()
        self._fileno = fileno
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._filled_at = time.monotonic()
        self._rest = b''
        self.dropped = 0
        os.set_blocking(fileno, False)

    def emit(self, record):
        """Write a record's line or count it as dropped."""
        now = time.monotonic()
        earned = (now - self._filled_at) * self._rate
        self._left = min(self._left + earned, self._burst)
        self._filled_at = now
        if self._left < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self._left -= 1
        if self.dropped:
            record.fields = dict(record.fields, lines_dropped=self.dropped)
        # A line that was written in part is completed first.
        data = self._rest + self.format(record).encode() + b'\n'
        try:
            sent = os.write(self._fileno, data)
        except OSError:
            self.dropped += 1
            return
        self.dropped = 0
        self._rest = data[sent:]


def configure_bounded(level='info', fileno=1):
    """Send the package's log lines to a descriptor, standard output.

    Args:
        level: as for :func:`configure`.
        fileno: the descriptor.
    """
    _install(BoundedHandler(fileno), level)


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
