"""Steps for the fault soak and its checks."""

import pathlib
import subprocess
import sys

import behave

from tests.soak import checks
from tests.soak import run

RUN = pathlib.Path(__file__).parents[2] / 'soak' / 'run.py'


@behave.when('the soak plays seed {seed:d} for {seconds:d} s')
def when_soak(context, seed, seconds):
    _play(context, seed, seconds, run.KINDS)


@behave.when(
    'the soak plays seed {seed:d} for {seconds:d} s with cuts from the'
    ' upstreams'
)
def when_soak_cuts(context, seed, seconds):
    _play(context, seed, seconds, run.KINDS + run.BESIDE_KINDS)


def _play(context, seed, seconds, kinds):
    command = [sys.executable, str(RUN), '--first', str(seed)]
    command += ['--kinds', ','.join(kinds)]
    context.done = subprocess.run(
        command + ['--seconds', str(seconds)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=180,
    )


@behave.then('no promise is broken')
def then_whole(context):
    assert context.done.returncode == 0, context.done.stdout


def _sent(name, **changes):
    values = {
        'id': name,
        'instance': 'i1',
        'incarnation': 1,
        'path': '/order/1',
        'idempotent': False,
        'begin': 20.0,
        'end': 20.1,
        'status': 200,
        'whole': True,
        'named': name,
        'read': True,
    }
    values.update(changes)
    return checks.Sent(**values)


def _record(sent, *arrivals):
    record = checks.Record()
    record.sent = list(sent) + [_sent('last', begin=90.0, end=90.1)]
    record.arrivals = [checks.Arrival(*item) for item in arrivals]
    record.calm_from = 50.0
    return record


def _twice():
    return _record(
        [_sent('a')], (1.0, 'u1', 'a', True), (2.0, 'u2', 'a', True)
    )


def _promised():
    return _record([_sent('a', status=503)], (1.0, 'u1', 'a', True))


def _foreign():
    return _record([_sent('a', named='b')])


def _drained():
    record = _record([_sent('a')], (20.0, 'u1', 'a', False))
    record.drains.append((15.0, 'u1'))
    return record


def _evacuated():
    record = _record([_sent('a')], (20.0, 'u1', 'a', False))
    record.places['u1'] = 'sul-a'
    record.evacuations.append(['sul-a', 14.0, 21.0])
    return record


def _back():
    old = _sent('b', path='/gen1/x', begin=21.0, end=21.1)
    return _record([_sent('a', path='/gen2/x'), old])


def _repeats():
    arrivals = [
        (20.0 + number / 100, 'u1', 'r%d' % (number // 2), False)
        for number in range(200)
    ]
    return _record([_sent('r0', idempotent=True)], *arrivals)


def _over_limit():
    names = ['r%d' % number for number in range(40)]
    arrivals = [
        (20.0 + number / 4, 'u1', name, False)
        for number, name in enumerate(names)
    ]
    sent = [_sent(name, idempotent=True, end=20.1) for name in names]
    record = _record(sent, *arrivals)
    record.limits.append(['u1', 1.0, 20.0, None])
    return record


def _leaving():
    sent = [_sent('a'), _sent('b', begin=30.0, end=30.1)]
    record = _record(sent, (20.05, 'u1', 'a', True), (30.05, 'u1', 'b', False))
    record.leaving['u1'] = 19.0
    return record


def _in_pause():
    names = ['r%d' % number for number in range(4)]
    arrivals = [
        (20.0 + number * 0.7, 'u1', name, False)
        for number, name in enumerate(names)
    ]
    sent = [_sent(name, idempotent=True, status=503) for name in names]
    record = _record(sent, *arrivals)
    record.pauses.append(['u1', 3.0, 19.0, 24.0])
    return record


def _held():
    fault = 'endless-interim'
    return _record([_sent('a', end=23.0, status=504, fault=fault)])


def _sent_on():
    names = ['r%d' % number for number in range(20)]
    arrivals = [
        (20.0 + number / 2, 'u1', name, True)
        for number, name in enumerate(names)
    ]
    sent = [_sent(name, path='/order/x', status=502) for name in names]
    record = _record(sent, *arrivals)
    record.crashing.add('/order/x')
    return record


def _cut():
    record = _record([_sent('a', status=0, named=None, whole=False)])
    record.stops.append(('i1', 1, 20.05))
    return record


def _unserved():
    record = _record(
        [
            _sent('%s-%d' % (name, turn), instance=name, status=status)
            for name, status in (('i1', 503), ('i2', 200))
            for turn in range(20)
        ]
    )
    record.cuts.append(['i1', 16.0, 24.0])
    return record


def _nothing():
    record = _record([])
    record.sent = [_sent('a', begin=60.0, status=503, idempotent=True)]
    return record


RECORDS = {
    'an order ran twice': _twice,
    'an order that ran was promised not to': _promised,
    'an answer names another request': _foreign,
    'a drained upstream got a request': _drained,
    'an evacuated place got a request': _evacuated,
    'an instance went back to a configuration': _back,
    'repeats exceed the budget': _repeats,
    'an upstream got more than its limit': _over_limit,
    'an upstream that leaves got a request': _leaving,
    'an upstream got requests in its pause': _in_pause,
    'an endless answer held a request': _held,
    'a crashing request was sent on': _sent_on,
    'a planned stop cut a request': _cut,
    'callers of a cut-off instance go unserved': _unserved,
    'nothing is served after the faults': _nothing,
}


@behave.given('a record in which {what}')
def given_record(context, what):
    context.record = RECORDS[what]()


@behave.then('the check "{name}" fails and no other')
def then_fails(context, name):
    found = {text.partition(':')[0] for text in checks.broken(context.record)}
    assert found == {name}, found
