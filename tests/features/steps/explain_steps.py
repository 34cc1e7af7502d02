"""Steps for the story of a request and for bounded logs."""

import json
import logging
import os
import pathlib
import tempfile
import time

import behave

from jasminehold import explain
from jasminehold import logs


def _line(second, event, **fields):
    doc = {'time': '2026-01-01T10:00:%06.3f' % second, 'event': event}
    return json.dumps({**doc, **fields})


@behave.given("log lines of two instances, one behind a collector's prefix")
def given_lines(context):
    send = {
        'upstream': 'u1',
        'rank': 0,
        'of': 4,
        'load': 2.5,
        'finish_s': 0.4,
        'entry_age_s': 1.0,
        'end': 'connect: refused',
        'repeat': {'requests': 40, 'repeats': 9, 'granted': False},
    }
    first = [
        '  4.0 front-1 ' + _line(4, 'upstream left out', upstream='u1'),
        'no line of a log',
        '  5.0 front-1 '
        + _line(
            5,
            'request ended',
            id='r1',
            outcome='not_run',
            reason='shed',
            sends=[send],
        ),
    ]
    second = [_line(3, 'upstream left out', upstream='u1', reason='other')]
    context.paths = []
    for lines in (first, second):
        with tempfile.NamedTemporaryFile('w', delete=False) as stream:
            stream.write('\n'.join(lines))
        context.paths.append(stream.name)
        context.add_cleanup(pathlib.Path(stream.name).unlink)


@behave.given(
    'log lines of an instance whose time of day jumps back by {jump:d} s'
)
def given_jump(context, jump):
    lines = [
        _line(20, 'store lost', monotonic=900.0),
        _line(21 - jump, 'store regained', monotonic=901.0),
        _line(22 - jump, 'request ended', id='r1', monotonic=902.0),
    ]
    with tempfile.NamedTemporaryFile('w', delete=False) as stream:
        stream.write('\n'.join(lines))
    context.paths = [stream.name]
    context.add_cleanup(pathlib.Path(stream.name).unlink)


@behave.given(
    'log lines of an instance without a path and of the one that helped'
)
def given_helped(context):
    end = {'id': 'r1', 'outcome': '200', 'monotonic': 9.0}
    far = [{'instance': 'front-2', 'end': '200'}]
    near = [{'upstream': 'u1', 'rank': 0, 'end': '200'}]
    lines = [
        'front-1 ' + _line(1, 'upstream path lost', monotonic=8.0),
        'front-1 ' + _line(2, 'request ended', sends=far, **end),
        'front-2 '
        + _line(2, 'request ended', sends=near, relayed_by='front-1', **end),
    ]
    with tempfile.NamedTemporaryFile('w', delete=False) as stream:
        stream.write('\n'.join(lines))
    context.paths = [stream.name]
    context.add_cleanup(pathlib.Path(stream.name).unlink)


@behave.then('it tells the lost path, the way and the upstream')
def then_way(context):
    told = '\n'.join(context.story)
    for text in (
        'upstream path lost',
        'sent through instance front-2: 200',
        'for instance front-1',
        'sent to u1',
    ):
        assert text in told, (text, told)


@behave.then('it tells the events before the request in their order')
def then_ordered(context):
    told = '\n'.join(context.story)
    assert 'store lost' in told and 'store regained' in told, told
    assert told.index('store lost') < told.index('store regained'), told


@behave.when('the story of request "{request_id}" is asked for')
def when_story(context, request_id):
    lines = explain.read_log_lines(context.paths)
    context.story = explain.describe_request(request_id, lines)


@behave.then('it names the upstreams, what was expected there and the outcome')
def then_names(context):
    told = '\n'.join(context.story)
    for part in (
        'front-1: not_run (shed)',
        'u1',
        'load 2.5',
        'refused',
        'requests=40, repeats=9, granted=False',
    ):
        assert part in told, told


@behave.then('it tells that the upstream was left out shortly before')
def then_left_out(context):
    assert any('upstream left out' in line for line in context.story)


@behave.then('it leaves out what another instance learnt')
def then_other(context):
    assert not any('reason=other' in line for line in context.story)


@behave.then('it says that no line names it')
def then_unknown(context):
    assert len(context.story) == 1 and 'no line names' in context.story[0]


@behave.given('a pipe that nobody reads')
def given_pipe(context):
    context.pipe = os.pipe()
    for fileno in context.pipe:
        context.add_cleanup(os.close, fileno)


@behave.when('{count:d} long lines are logged')
def when_logged(context, count):
    handler = logs.BoundedHandler(context.pipe[1], rate=1e9, burst=1e9)
    handler.setFormatter(logs.JsonFormatter())
    begin = time.monotonic()
    record = logging.LogRecord('x', logging.INFO, '', 1, 'e' * 500, (), None)
    for _ in range(count):
        record.fields = {}
        handler.emit(record)
    context.seconds = time.monotonic() - begin
    context.dropped = handler.dropped
    os.set_blocking(context.pipe[0], False)
    os.read(context.pipe[0], 1 << 20)
    record.fields = {}
    handler.emit(record)
    context.rest = os.read(context.pipe[0], 1 << 20).decode()


@behave.then(
    'it takes under {seconds:g} s and later lines say how many were dropped'
)
def then_not_blocked(context, seconds):
    assert context.seconds < seconds
    assert context.dropped
    assert '"lines_dropped": %d' % context.dropped in context.rest
