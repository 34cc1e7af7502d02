"""Structured log lines for changes of state.

Each line is a JSON object with the time of day, the monotonic time, the
level, the logger, the event and its fields. The time of day may jump; the
monotonic time orders the lines of a process. Lines are written only for
changes of state, never per request; requests are counted in
:mod:`jasminehold.metrics`.

Example:
    >>> log = get('planner')
    >>> log('duty acquired', duty='planner/sul', token=17)  # doctest: +SKIP
"""

import json
import logging
import os
import sys
import time

# Rate limit of the log lines of a process; further lines are only counted.
MAX_LINES_PER_S = 200
MAX_LINES_PER_BURST = 400


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def format(self, record):
        """Return the JSON line for a record."""
        line = {
            'time': self.formatTime(record, '%Y-%m-%dT%H:%M:%S')
            + '.%03d' % record.msecs,
            'monotonic': round(time.monotonic(), 4),
            'level': record.levelname.lower(),
            'logger': record.name,
            'event': record.getMessage(),
        }
        line.update(getattr(record, 'fields', {}))
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure(level='info', stream=None):
    """Write the package's log lines to a stream.

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
    """Writes rate-limited lines to a descriptor without blocking.

    Lines beyond the rate, and lines that cannot be written immediately, are
    dropped; the next written line contains their number as
    ``lines_dropped``. Lines of level warning and above are exempt from the
    rate limit.

    Args:
        fileno: file descriptor, which is made non-blocking.
        rate: token bucket refill, in lines per second.
        burst: token bucket size, in lines.
    """

    def __init__(
        self, fileno, rate=MAX_LINES_PER_S, burst=MAX_LINES_PER_BURST
    ):
        super().__init__()
        self._fileno = fileno
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._partial_line = b''
        self.dropped = 0
        os.set_blocking(fileno, False)

    def emit(self, record):
        """Write the line of a record, or count it as dropped."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._tokens + refill, self._burst)
        self._refilled_at = now
        if self._tokens < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self._tokens -= 1
        if self.dropped:
            record.fields = dict(record.fields, lines_dropped=self.dropped)
        # Completes a partially written line first.
        data = self._partial_line + self.format(record).encode() + b'\n'
        try:
            sent = os.write(self._fileno, data)
        except OSError:
            self.dropped += 1
            return
        self.dropped = 0
        self._partial_line = data[sent:]


def configure_bounded(level='info', fileno=1):
    """Write the package's log lines to a descriptor, without blocking.

    Args:
        level: as for :func:`configure`.
        fileno: file descriptor, standard output by default.
    """
    _install(BoundedHandler(fileno), level)


def get(name):
    """Return a function that writes a log line.

    Args:
        name: name of the logger below ``jasminehold``.

    Returns:
        ``log(event, level='info', **fields)``.
    """
    logger = logging.getLogger('jasminehold.' + name)

    def log(event, level='info', **fields):
        level_number = logging.getLevelName(level.upper())
        logger.log(level_number, event, extra={'fields': fields})

    return log
