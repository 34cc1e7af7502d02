"""Runs the project's measurements one after the other.

Writes the output of each command to ``out/<name>.txt`` and prints a summary
with the exit status, the seconds and the last lines. Settings are short, so
that all of them take under ten minutes; a command that exceeds its time limit
is ended and reported as failed.

Usage: ``python bench/run_all.py [names ...]``
"""

import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUT = ROOT / 'out'
TAIL_LINES = 6
# Name, arguments, time limit in seconds; the limits sum to under 600 s.
COMMANDS = (
    ('maps', (), 80),
    ('routing_tables', (), 20),
    ('plan_cost', (), 20),
    ('accounts', (), 20),
    ('roles', (), 30),
    ('proxy', ('1500',), 30),
    ('overload', (), 30),
    ('slot_policies', ('1', '20'), 30),
    ('claims', ('--seconds', '3'), 50),
    ('gossip', ('--sizes', '12,48,200', '--seconds', '15'), 60),
    ('peer_links', ('--sizes', '3,12,24', '--seconds', '5'), 60),
    ('control', ('--sizes', '3,12,24', '--seconds', '5'), 180),
)


def run(name, args, limit):
    """Run one command and return ``(passed, seconds, output)``."""
    env = dict(os.environ)
    paths = [str(ROOT / 'src'), str(ROOT / 'tests'), str(ROOT)]
    env['PYTHONPATH'] = os.pathsep.join(paths + [env.get('PYTHONPATH', '')])
    command = [sys.executable, str(ROOT / 'bench' / (name + '.py')), *args]
    path = OUT / (name + '.txt')
    begin = time.monotonic()
    with open(path, 'w') as file:
        process = subprocess.Popen(
            command, stdout=file, stderr=subprocess.STDOUT, env=env, cwd=ROOT
        )
        try:
            status = process.wait(limit)
        except subprocess.TimeoutExpired:
            status = _end(process)
    return status == 0, time.monotonic() - begin, path.read_text()


def _end(process):
    # The interrupt lets a command end the processes that it started.
    process.send_signal(2)
    try:
        process.wait(10)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    return None


def main(names):
    """Run the commands and return the exit status."""
    OUT.mkdir(exist_ok=True)
    lines, failed = [], 0
    print('load average at the start: %.1f %.1f %.1f' % os.getloadavg())
    begin = time.monotonic()
    for name, args, limit in COMMANDS:
        if names and name not in names:
            continue
        passed, seconds, output = run(name, args, limit)
        failed += not passed
        verdict = 'done' if passed else 'FAILED'
        line = '%-15s %-6s %6.1f s  out/%s.txt' % (
            name,
            verdict,
            seconds,
            name,
        )
        lines.append(line)
        print(line, flush=True)
        for text in output.splitlines()[-TAIL_LINES:]:
            print('    ' + text[:160], flush=True)
    total = time.monotonic() - begin
    lines.append('%d failed, %.0f s in all' % (failed, total))
    print('\nsummary')
    print('\n'.join(lines))
    (OUT / 'summary.txt').write_text('\n'.join(lines) + '\n')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
