"""Steps for the ports that tests choose."""

import os
import pathlib
import subprocess
import sys

import behave


@behave.given(
    '{count:d} processes that each choose {ports:d} ports and go on running'
)
def given_port_users(context, count, ports):
    code = (
        'import sys\n'
        'from tests.builders import front_rig\n'
        'print(*[front_rig.free_port() for _ in range(%d)], flush=True)\n'
        'sys.stdin.read()\n' % ports
    )
    root = pathlib.Path(__file__).parents[3]
    env = dict(os.environ, PYTHONPATH='%s:%s' % (root / 'src', root))
    users = [
        subprocess.Popen(
            [sys.executable, '-c', code],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=env,
        )
        for _ in range(count)
    ]
    context.chosen = [user.stdout.readline().split() for user in users]
    for user in users:
        user.communicate(timeout=10)


@behave.then('no port was chosen twice')
def then_ports_differ(context):
    chosen = [port for ports in context.chosen for port in ports]
    assert chosen and len(set(chosen)) == len(chosen), len(set(chosen))
