"""Describes one request from the log lines of several instances.

Example:
    >>> lines = read_log_lines(['front-1.log'])  # doctest: +SKIP
    >>> describe_request('9c41d07be2a35f68', lines)  # doctest: +SKIP
"""

import json
import typing

from jasminehold import errors

# Events within this time before the end of a request are listed with it.
CONTEXT_S = 10.0
# Events of an instance that affect all its requests.
INSTANCE_EVENTS = (
    'store lost',
    'store regained',
    'configuration in force',
    'evacuated places changed',
    'instance started',
    'instance leaving',
    'upstream path lost',
    'upstream path regained',
)
REQUEST_END_EVENT = 'request ended'


class LogLine(typing.NamedTuple):
    """One log line.

    Attributes:
        source: path of the log file, or the instance in the line's prefix.
        time: time of day as text; it may jump.
        event: name of the event.
        fields: all fields of the line.
        seconds: monotonic seconds, comparable within a source, or those of
            the time of day in lines without them.
    """

    source: str
    time: str
    event: str
    fields: dict
    seconds: float


def read_log_lines(paths):
    """Return the :class:`LogLine` values of log files.

    The last word of a prefix that a log collector wrote before the JSON
    object is the source; lines without an object are skipped.

    Raises:
        SettingsError: when a file cannot be read.
    """
    lines = []
    for path in paths:
        try:
            with open(path, encoding='utf-8', errors='replace') as stream:
                for text in stream:
                    line = _parse_line(path, text)
                    if line is not None:
                        lines.append(line)
        except OSError as exc:
            raise errors.SettingsError('%s: %s' % (path, exc)) from exc
    return lines


def _parse_line(path, text):
    prefix, brace, rest = text.partition('{')
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict) or 'event' not in fields:
        return None
    names = prefix.split()
    source = names[-1] if names else path
    time = fields.get('time', '')
    seconds = fields.get('monotonic')
    if not isinstance(seconds, (int, float)):
        seconds = _seconds_of_day(time)
    return LogLine(source, time, fields['event'], fields, seconds)


def describe_request(request_id, lines):
    """Return the description of a request as a list of text lines.

    Args:
        request_id: id of one attempt of a caller.
        lines: list of :class:`LogLine`, in any order.
    """
    end_lines = [
        line
        for line in lines
        if line.event == REQUEST_END_EVENT
        and line.fields.get('id') == request_id
    ]
    if not end_lines:
        return [
            'no line names request %s: it reached none of these instances, '
            'or the line was dropped (see lines_dropped)' % request_id
        ]
    report = []
    for end_line in sorted(end_lines, key=lambda line: line.time):
        report += _describe_end(end_line)
        upstreams = {
            send.get('upstream') for send in end_line.fields.get('sends', ())
        }
        context = [
            line
            for line in lines
            if line.source == end_line.source
            and end_line.seconds - CONTEXT_S
            <= line.seconds
            <= end_line.seconds
            and (
                line.event in INSTANCE_EVENTS
                or (line.fields.get('upstream') in upstreams and upstreams)
            )
        ]
        if context:
            report.append('  earlier events on %s:' % end_line.source)
        report += [
            '    %s %s %s'
            % (line.time, line.event, _format_fields(line.fields))
            for line in sorted(context, key=lambda line: line.seconds)
        ]
    return report


def _describe_end(end_line):
    fields = end_line.fields
    report = [
        '%s %s: %s%s after %s s'
        % (
            end_line.time,
            end_line.source,
            fields.get('outcome'),
            ' (%s)' % fields['reason'] if fields.get('reason') else '',
            fields.get('seconds'),
        ),
        '  route %s, service %s, object %s, configuration %s, %s s left%s'
        % (
            fields.get('route') or 'none',
            fields.get('service') or 'none',
            fields.get('object') or 'none',
            fields.get('config'),
            fields.get('left_s'),
            ', retry of the caller' if fields.get('returned') else '',
        ),
    ]
    if fields.get('relayed_by'):
        report.append('  for instance %s' % fields['relayed_by'])
    if fields.get('quota'):
        report.append(
            '  quota of account %s: %s'
            % (fields.get('account'), _format_fields(fields['quota']))
        )
    for send in fields.get('sends', ()):
        if 'instance' in send:
            report.append(
                '  sent through instance %s: %s'
                % (send['instance'], send.get('end'))
            )
            continue
        report.append(
            '  sent to %s, owner %s of %s, load %s, answer expected in %s s, '
            'entry %s s old: %s'
            % (
                send.get('upstream'),
                send.get('rank', 0) + 1,
                send.get('of'),
                send.get('load'),
                send.get('finish_s'),
                send.get('entry_age_s'),
                send.get('end'),
            )
        )
        if send.get('repeat'):
            report.append('    repeat: %s' % _format_fields(send['repeat']))
    for owner in fields.get('owners') or ():
        report.append(
            '  not sent to %s: load %s, wait %s s, answer expected in %s s'
            % tuple(owner)
        )
    return report


def _format_fields(fields):
    common_fields = ('time', 'monotonic', 'level', 'logger', 'event')
    return ', '.join(
        '%s=%s' % (name, value)
        for name, value in fields.items()
        if name not in common_fields
    )


def _seconds_of_day(text):
    # Seconds since midnight; events before midnight are not listed for a
    # request that ends after it.
    time_of_day = text.partition('T')[2]
    try:
        hours, minutes, seconds = time_of_day.split(':')
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
    except ValueError:
        return 0.0
