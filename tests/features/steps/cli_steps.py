"""Steps for the command line."""

import contextlib
import io
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import types

import behave

from builders import api_server
from builders import documents
from jasminehold import cli

REGION = '/v1/resources/region/sul'
GOOD = {'place': 'sul-1', 'region': 'sul'}


def _doc(kind, name, spec, **metadata):
    return {'kind': kind, 'metadata': {'name': name, **metadata}, 'spec': spec}


def _region(name, capacity, **metadata):
    return _doc('region', name, {'capacity_rps': capacity}, **metadata)


FILES = {
    'good.json': ['// an instance\n', GOOD],
    'bad.json': ['', {**GOOD, 'claim_shards': 0}],
    'all.json': [
        '/* place first */',
        [
            _doc('place', 'sul-1', documents.SPECS['place']),
            _region('sul', 400),
        ],
    ],
    'changed.json': ['', _region('sul', 1)],
    'invalid.json': ['', _region('x', -1)],
    'stale.json': ['', _region('y', 1, resource_version=9)],
    'shapeless.json': ['', [{'kind': 'sector'}]],
}


@behave.given('files with resources and settings')
def given_files(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    for name, (comment, value) in FILES.items():
        text = comment + json.dumps(value)
        context.folder.joinpath(name).write_text(text)


def _run(context, command, server=None):
    with socket.socket() as unused:
        # Bound without listening, so connections to it are refused.
        unused.bind(('127.0.0.1', 0))
        down = '127.0.0.1:%d' % unused.getsockname()[1]
        command = command.replace('SERVER', server or context.api.address)
        done = subprocess.run(
            [sys.executable, '-m', 'jasminehold']
            + command.replace('DOWN', down).split(),
            cwd=context.folder,
            env={**os.environ, cli.TOKEN_ENV: api_server.TOKENS['ana']},
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=60,
        )
    context.status, context.out = done.returncode, done.stdout
    context.printed = done.stdout + done.stderr


@behave.when('the command "{command}" runs')
def when_command(context, command):
    _run(context, command)


@behave.then('it exits with {status:d} and prints "{text}"')
def then_exits(context, status, text):
    assert context.status == status, (context.status, context.printed)
    assert text in context.printed, context.printed
    assert 'Traceback' not in context.printed, context.printed


@behave.given('the resources are applied')
def given_applied(context):
    _run(context, 'apply all.json --servers SERVER')
    assert context.status == 0, context.printed


@behave.then('region sul still exists')
def then_exists(context):
    assert context.api.call('GET', REGION)[0] == 200


@behave.when('a command updates it while the platform loses the outcome')
def when_lost(context):
    context.api.platform.faults = ['late'] + ['down'] * 9
    _run(context, 'apply changed.json --servers SERVER')


@behave.when('a command updates it on a server that closes after reading')
def when_closes(context):
    answer = json.dumps(context.api.call('GET', REGION)[2]).encode()
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(answer)
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)

    def serve():
        # The first request is the read, the second the write.
        for reply in (head + answer, b''):
            conn = listener.accept()[0]
            conn.recv(65536)
            conn.sendall(reply)
            conn.close()

    threading.Thread(target=serve, daemon=True).start()
    before = context.api.config.digest()
    # The second address must not be tried after the write was sent.
    servers = '127.0.0.1:%d,%s'
    servers %= (listener.getsockname()[1], context.api.address)
    _run(context, 'apply changed.json --servers SERVER', servers)
    assert before == context.api.config.digest()


@behave.then('get, list, audit and watch print JSON that programs can parse')
def then_json(context):
    def output(command):
        _run(context, command + ' --servers SERVER --output json')
        assert context.status == 0, context.printed
        return json.loads(context.out)

    assert output('get region sul')['spec'] == {'capacity_rps': 400}
    (item,) = output('list place')['items']
    assert item['metadata']['name'] == 'sul-1', item
    entries = output('audit')['entries']
    assert [e['change']['actor'] for e in entries] == ['ana', 'ana'], entries
    args = ('region', 'x', {'capacity_rps': 1})
    threading.Timer(1.5, context.api.put, args).start()
    event = output('watch --seconds 3')
    assert event['resource']['metadata']['name'] == 'x', event


@behave.then(
    'a watch that moves to another instance prints its resources ' 'anew'
)
def then_moves(context):
    other = api_server.ApiServer()
    context.add_cleanup(other.stop)
    other.put('region', 'norte', {'capacity_rps': 1})
    servers = '%s,%s' % (context.api.address, other.address)
    stop = (context.api.api.stop_accepting,)
    threading.Timer(1.5, context.api.loop.call_soon, stop).start()
    _run(context, 'watch --kind region --seconds 4 --servers SERVER', servers)
    assert context.status == 0, context.printed
    lines = [line.split()[:2] for line in context.out.splitlines()]
    assert lines == [['list', 'region/norte']], context.printed


@behave.then('serve and stand-in call the run functions of their modules')
def then_started(context):
    calls = []
    sys.modules['jasminehold.standin'] = types.ModuleType('standin')
    for name in ('app', 'standin.kv', 'standin.upstream'):
        module = types.ModuleType(name)
        module.run = lambda *a, _n=name, **kw: calls.append((_n, a, kw))
        sys.modules['jasminehold.' + name] = module
    path = str(context.folder / 'good.json')
    assert cli.main(['serve', '--settings', path]) == 0
    assert cli.main(['stand-in', 'platform', '--port', '7']) == 0
    assert cli.main(['stand-in', 'upstream', '--name=u']) == 0
    assert calls[0][0] == 'app' and calls[0][1][0].place == 'sul-1'
    assert calls[1:] == [
        ('standin.kv', (), {'port': 7}),
        ('standin.upstream', (), {'name': 'u'}),
    ]


@behave.then('the exit status is {status:d}')
def then_exit_status(context, status):
    assert context.status == status, context.status


@behave.when('an operator asks for the completion of {shell}')
def when_completion(context, shell):
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        assert cli.main(['completion', shell]) == 0
    context.printed = out.getvalue()


@behave.then('the script names "{first}", "{second}" and "{third}"')
def then_script(context, first, second, third):
    for name in (first, second, third):
        assert name in context.printed, name
