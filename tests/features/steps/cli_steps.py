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


def _doc(kind, name, spec, **metadata):
    return {'kind': kind, 'metadata': {'name': name, **metadata}, 'spec': spec}


@behave.given('files with resources and settings')
def given_files(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    region = _doc('region', 'sul', {'capacity_rps': 400})
    place = _doc('place', 'sul-1', documents.SPECS['place'])
    good = {'place': 'sul-1', 'region': 'sul'}
    files = {
        'good.json': '// an instance\n' + json.dumps(good),
        'bad.json': json.dumps({**good, 'claim_shards': 0}),
        'all.json': '/* place first */' + json.dumps([place, region]),
        'changed.json': json.dumps(_doc('region', 'sul', {'capacity_rps': 1})),
        'invalid.json': json.dumps(_doc('region', 'x', {'capacity_rps': -1})),
        'stale.json': json.dumps(
            _doc('region', 'y', {'capacity_rps': 1}, resource_version=9)
        ),
        'shapeless.json': '[{"kind": "sector"}]',
    }
    for name, text in files.items():
        pathlib.Path(folder.name, name).write_text(text)


def _run(context, command, server=None):
    server = server or '127.0.0.1:%d' % context.api.port
    with socket.socket() as unused:
        # Bound without listening, so connections to it are refused.
        unused.bind(('127.0.0.1', 0))
        down = '127.0.0.1:%d' % unused.getsockname()[1]
        command = command.replace('SERVER', server).replace('DOWN', down)
        env = {**os.environ, 'JASMINEHOLD_TOKEN': api_server.TOKEN}
        done = subprocess.run(
            [sys.executable, '-m', 'jasminehold'] + command.split(),
            cwd=context.folder,
            env=env,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=60,
        )
    context.status = done.returncode
    context.out = done.stdout
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
    assert context.api.call('GET', '/v1/resources/region/sul')[0] == 200


@behave.when(
    'a command updates region sul while the platform loses the ' 'outcome'
)
def when_lost(context):
    context.api.platform.faults = ['late'] + ['down'] * 9
    _run(context, 'apply changed.json --servers SERVER')


@behave.when(
    'a command updates region sul on a server that closes after ' 'reading'
)
def when_closes(context):
    current = context.api.call('GET', '/v1/resources/region/sul')[2]
    answer = json.dumps(current).encode()
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(answer)
    listener = socket.create_server(('127.0.0.1', 0))

    def serve():
        # The first request is the read, the second the write.
        for reply in (head + answer, b''):
            conn = listener.accept()[0]
            conn.recv(65536)
            conn.sendall(reply)
            conn.close()

    thread = threading.Thread(target=serve)
    thread.start()
    server = '127.0.0.1:%d' % listener.getsockname()[1]
    # The second address must not be tried after the write was sent.
    servers = '%s,127.0.0.1:%d' % (server, context.api.port)
    before = context.api.config.revision, context.api.config.digest()
    _run(context, 'apply changed.json --servers SERVER', servers)
    thread.join(10)
    listener.close()
    after = context.api.config.revision, context.api.config.digest()
    assert before == after


@behave.then('get, list, audit and watch print JSON that programs can parse')
def then_json(context):
    def output(command):
        _run(context, command + ' --servers SERVER --output json')
        assert context.status == 0, context.printed
        return [json.loads(line) for line in context.out.splitlines()]

    assert output('get region sul')[0]['spec'] == {'capacity_rps': 400}
    names = [i['metadata']['name'] for i in output('list place')[0]['items']]
    assert names == ['sul-1'], names
    entries = output('audit')[0]['entries']
    assert [e['change']['actor'] for e in entries] == ['ana', 'ana'], entries
    timer = threading.Timer(
        1.5, context.api.put, ('region', 'x', {'capacity_rps': 1})
    )
    timer.start()
    events = output('watch --seconds 3')
    timer.join()
    assert [e['resource']['metadata']['name'] for e in events] == ['x'], events


@behave.then(
    'a watch that moves to another instance prints its resources ' 'anew'
)
def then_moves(context):
    other = api_server.ApiServer()
    context.add_cleanup(other.stop)
    other.put('region', 'norte', {'capacity_rps': 1})
    servers = '127.0.0.1:%d,127.0.0.1:%d' % (context.api.port, other.port)
    stop = threading.Timer(
        1.5, context.api.loop.call_soon, (context.api.api.stop_accepting,)
    )
    stop.start()
    _run(context, 'watch --kind region --seconds 4 --servers SERVER', servers)
    stop.join()
    assert context.status == 0, context.printed
    lines = [line.split()[:2] for line in context.out.splitlines()]
    assert lines == [['list', 'region/norte']], context.printed


@behave.then('serve and stand-in call the run functions of their modules')
def then_started(context):
    calls = []
    path = os.path.join(context.folder, 'good.json')
    for name in ('app', 'standin.platform', 'standin.upstream'):
        module = types.ModuleType(name)
        module.run = lambda *a, _n=name, **kw: calls.append((_n, a, kw))
        sys.modules['jasminehold.' + name] = module
    sys.modules['jasminehold.standin'] = types.ModuleType('standin')
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        assert cli.main(['serve', '--settings', path]) == 0
        assert cli.main(['stand-in', 'platform', '--port', '7']) == 0
        assert cli.main(['stand-in', 'upstream', '--name=u']) == 0
    assert [name for name, _, _ in calls] == [
        'app',
        'standin.platform',
        'standin.upstream',
    ]
    assert calls[0][1][0].place == 'sul-1'
    assert calls[1][2] == {'port': 7} and calls[2][2] == {'name': 'u'}
    assert out.getvalue() == ''
