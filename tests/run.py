"""Runs all behave features and prints one closing line with the counts.

Each feature file runs in its own process, a few at a time, so that a fault in
one cannot hide the others. Scenarios named in KNOWN-RED.txt are printed and
left out of the verdict.

Usage: ``python tests/run.py [feature files]``
"""

import concurrent.futures
import json
import os
import pathlib
import re
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
FEATURES = ROOT / 'tests' / 'features'
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# Features start real processes with timing bounds; more at once than this
# on a 12-core machine makes them compete for processor time.
WORKERS = 4
TIMEOUT_S = 400
# These take minutes; started first they do not run alone at the end.
LONGEST = ('fleet', 'fleet_outage', 'processes', 'orders', 'peer_states')


def known_red():
    """Return the scenario names listed in KNOWN-RED.txt, with line texts."""
    if not KNOWN_RED.exists():
        return {}
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        match = re.match(r'scenario: (.+)', line)
        if match:
            entries[match.group(1).strip()] = line
    return entries


def run_feature(path):
    """Run one feature file in a process of its own.

    Args:
        path: the feature file.

    Returns:
        ``(path, seconds, results, output)`` where results is a list of
        ``(scenario name, status)`` and status is ``passed``, ``failed`` or
        ``skipped``.
    """
    env = dict(os.environ)
    env['PYTHONPATH'] = os.pathsep.join(
        [
            str(ROOT / 'src'),
            str(ROOT / 'tests'),
            str(ROOT),
            env.get('PYTHONPATH', ''),
        ]
    )
    command = [sys.executable, '-m', 'behave', '--no-color']
    command += ['-f', 'json', '-o', '/dev/fd/1', '-f', 'null']
    command += ['--no-capture', '--no-summary', str(path)]
    begin = time.monotonic()
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            timeout=TIMEOUT_S,
        )
        out, err = done.stdout, done.stderr
    except subprocess.TimeoutExpired as exc:
        out, err = '', 'timed out: %s' % exc
    seconds = time.monotonic() - begin
    results = parse_results(out)
    if not results:
        results = [(path.name + ' (did not run)', 'failed')]
    return path, seconds, results, out + err


def parse_results(out):
    """Return ``(scenario name, status)`` pairs from behave's JSON output."""
    start = out.find('[\n')
    if start < 0:
        return []
    try:
        features = json.JSONDecoder().raw_decode(out[start:])[0]
    except ValueError:
        return []
    results = []
    for feature in features:
        for element in feature.get('elements', []):
            if element['type'] == 'background':
                continue
            status = element.get('status', 'failed')
            if status not in ('passed', 'skipped'):
                status = 'failed'
            # An example's name ends with a space.
            results.append((element['name'].strip(), status))
    return results


def failures_of(output):
    """Return the error messages of failed steps in behave's output."""
    start = output.find('[\n')
    if start < 0:
        return output[-4000:]
    try:
        features, end = json.JSONDecoder().raw_decode(output[start:])
    except ValueError:
        return output[-4000:]
    rest = output[start + end :]
    lines = [rest[-2000:]]
    # A step that passed and a clean-up that failed leave no error message.
    cleanup = rest.find('CLEANUP-ERROR')
    if cleanup >= 0:
        lines.append(rest[cleanup : cleanup + 3000])
    for feature in features:
        for element in feature.get('elements', []):
            for step in element.get('steps', []):
                result = step.get('result', {})
                message = result.get('error_message')
                if message:
                    if not isinstance(message, str):
                        message = '\n'.join(message)
                    lines.append('%s\n%s' % (step['name'], message[-3000:]))
    return '\n'.join(lines)


def main(argv):
    """Run the features and return the exit status."""
    paths = [pathlib.Path(arg) for arg in argv] or sorted(
        FEATURES.glob('*.feature'),
        key=lambda path: (path.stem not in LONGEST, path.name),
    )
    red = known_red()
    counts = {'passed': 0, 'failed': 0, 'skipped': 0}
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for path, seconds, results, output in pool.map(run_feature, paths):
            failed = False
            for name, status in results:
                if name in red:
                    print('known red: %s: %s' % (name, status))
                    status = 'skipped'
                if status == 'failed':
                    failed = True
                    print('FAILED: %s: %s' % (path.name, name))
                counts[status] += 1
            if failed:
                print(failures_of(output))
            print('%-40s %6.1f s' % (path.name, seconds), flush=True)
    print('%(passed)d passed, %(failed)d failed, %(skipped)d skipped' % counts)
    if counts['failed'] or not counts['passed']:
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
