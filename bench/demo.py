"""Both deployments in miniature, as separate processes, under faults.

Declares the resources of ``bench/demo/`` by the command line, lets callers
send requests and orders, and meanwhile moves traffic, drains an upstream,
kills an instance, interrupts the platform and stops another instance. Ends
with status 0 only when no invariant was broken and each was checked. The
baseline of the latencies is the mean service time of the upstreams, 10 ms.

Usage: ``python bench/demo.py [seed]``
"""

import collections
import concurrent.futures
import pathlib
import signal
import sys
import time

import json5

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / 'src')]

from bench import callers  # noqa: E402
from bench import processes  # noqa: E402

DEPLOYMENTS = ('ferromodelos', 'kedjeverk')
FILES = ROOT / 'bench' / 'demo'
OUTAGE_S = 5.0
IN_FORCE_S = 5.0
MOVEMENT_S = 12.0
STOPPED = 'i7'


def read(name):
    """Return the resources of a file in ``bench/demo/``."""
    return json5.loads((FILES / (name + '.json')).read_text())


def declare(fleet, docs):
    """Declare resources and return the time of acceptance."""
    fleet.apply(docs)
    for doc in docs:
        fleet.docs[doc['kind'], doc['metadata']['name']] = doc
    return time.monotonic()


def run(name, seed):
    """Run one deployment and return ``(figures, checks)``."""
    fleet = processes.Fleet(read(name))
    try:
        return _run(fleet, name, seed)
    finally:
        fleet.close()


def _run(fleet, name, seed):
    figures = {}
    fleet.start()
    for one in fleet.instances.values():
        one.wait_started()
    processes.wait_until(
        lambda: all(one.ports for one in fleet.instances.values()), 10, 'ports'
    )
    fleet.apply(list(fleet.docs.values()))
    figures['ready after, s'] = fleet.wait_ready()
    people = callers.Callers(fleet, seed=seed).start()
    # These only serve to have requests in flight at the planned stop; they
    # are checked, but not counted in the figures.
    slow = callers.Callers(fleet, 1, 4, seed=seed + 100, slow_ms=500)
    try:
        drains = _events(fleet, name, figures, slow)
    finally:
        people.finish()
        slow.finish()
    rows = people.sent()
    figures['look-ups'] = sum(one.lookups for one in people.all)
    _count(rows, figures)
    rows += slow.sent()
    checks = callers.check(fleet, rows, drains)
    stopped = [row for row in rows if row.instance == STOPPED]
    cut = [row for row in stopped if callers.cut_off(row)]
    cut += [fleet.instances[STOPPED].popen.returncode] * (
        fleet.instances[STOPPED].popen.returncode != 0
    )
    checks['planned stop cuts no request, status 0'] = (len(stopped), cut)
    errors = fleet.internal_errors()
    checks['no internal errors'] = (len(fleet.processes()), errors)
    took = figures['change in force everywhere, s']
    late = [took] if took > IN_FORCE_S else []
    checks['changes in force within 5 s'] = (1, late)
    return figures, checks


def _events(fleet, deployment, figures, slow):
    time.sleep(2)
    movement = read(deployment + '-movement')
    begin = declare(fleet, movement)
    drain = read(deployment + '-drain')
    target = drain[0]['spec']['target_name']
    accepted = declare(fleet, drain)
    fleet.wait_status('drain', drain[0]['metadata']['name'], 'Empty', 15)
    status = fleet.status('drain', drain[0]['metadata']['name'], 'Empty')[1]
    figures['drain time, s'] = status['drain_seconds']
    figures['drain seen empty after, s'] = time.monotonic() - accepted
    declare(fleet, read(deployment + '-change'))
    changed = read(deployment + '-change')[0]
    figures['change in force everywhere, s'] = fleet.wait_status(
        changed['kind'], changed['metadata']['name'], 'InForce', 15
    )[0]
    name = movement[0]['metadata']['name']
    while time.monotonic() < begin + MOVEMENT_S:
        done, status = fleet.status('movement', name, 'Complete')
        if done:
            figures['movement complete after, s'] = time.monotonic() - begin
            break
        time.sleep(0.1)
    figures['movement share reached'] = status.get('share', 0.0)
    figures['movement state'] = status.get('held_by', '')[:17]
    fleet.take('i4').signal(signal.SIGKILL)
    time.sleep(2)
    fleet.platform_faults(mode='refuse')
    time.sleep(OUTAGE_S)
    fleet.platform_faults(mode='')
    begin = time.monotonic()
    processes.wait_until(
        lambda: _accepts(fleet, changed), 15, 'changes after the outage'
    )
    figures['changes accepted after the outage, s'] = time.monotonic() - begin
    slow.start()
    time.sleep(2)
    stopped = fleet.instances[STOPPED]
    stopped.signal(signal.SIGTERM)
    begin = time.monotonic()
    processes.wait_until(
        lambda: stopped.popen.poll() is not None, 20, 'planned stop'
    )
    figures['planned stop, s'] = time.monotonic() - begin
    time.sleep(1)
    return [(target, accepted)]


def _accepts(fleet, doc):
    """Change a resource back and forth; return whether it was accepted."""
    kind, name = doc['kind'], doc['metadata']['name']
    try:
        found = fleet.api('GET', '%s/%s' % (kind, name))
        spec = {'capacity_rps': found['spec']['capacity_rps'] - 1}
        body = {'kind': kind, 'metadata': found['metadata'], 'spec': spec}
        fleet.api('PUT', '%s/%s' % (kind, name), body)
    except processes.errors.JasmineholdError:
        return False
    return True


def _count(rows, figures):
    figures['requests'] = len(rows)
    keys = collections.Counter(row.key for row in rows if row.key)
    figures['orders with a key'] = len(keys)
    figures['orders sent again'] = sum(n > 1 for n in keys.values())
    kinds = collections.Counter(row.kind for row in rows if row.kind)
    for kind, count in sorted(kinds.items()):
        figures['errors: ' + kind] = count
    times = sorted(row.seconds for row in rows if not row.kind)
    for part in (50, 99):
        value = times[len(times) * part // 100] * 1000 if times else 0.0
        figures['latency p%d, ms' % part] = value


def show(title, results, cell):
    """Print one table with a column for each deployment."""
    names = []
    for values in results:
        names += [name for name in values if name not in names]
    print('\n%-40s' % title + ''.join('%18s' % n for n in DEPLOYMENTS))
    for name in names:
        cells = [cell(v[name]) if name in v else '0' for v in results]
        print('%-40s' % name + ''.join('%18s' % each for each in cells))


def _figure(value):
    return '%.2f' % value if isinstance(value, float) else str(value)


def main(argv):
    """Run the demo and return the exit status."""
    # Ends the processes as well; the default action would leave them.
    signal.signal(signal.SIGTERM, lambda signo, frame: sys.exit(1))
    seed = int(argv[0]) if argv else 1
    begin = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(len(DEPLOYMENTS)) as pool:
        results = list(pool.map(lambda name: run(name, seed), DEPLOYMENTS))
    show('figure (seed %d)' % seed, [item[0] for item in results], _figure)
    checks = [item[1] for item in results]
    show(
        'invariant, checked/broken',
        checks,
        lambda item: '%d/%d' % (item[0], len(item[1])),
    )
    bad = 0
    for name, found in zip(DEPLOYMENTS, checks):
        for invariant, (checked, _) in found.items():
            if not checked:
                bad += 1
                print('\nNOT CHECKED %s: %s' % (name, invariant))
        for invariant, items in callers.broken(found).items():
            bad += 1
            print('\nBROKEN %s: %s' % (name, invariant))
            for item in items:
                print('  %s' % (item,))
    print('\n%d broken, %.1f s' % (bad, time.monotonic() - begin))
    return 1 if bad else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
