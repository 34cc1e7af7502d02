"""Steps for the claims of the request path."""

import behave
import hypothesis
from hypothesis import stateful

from builders import claiming_machine
from jasminehold.control import claim_hooks
from jasminehold.decisions import claim_log
from jasminehold import errors

Status = claim_log.Status


def _run(cls, **changes):
    settings = hypothesis.settings(claiming_machine.SETTINGS, **changes)
    stateful.run_state_machine_as_test(
        claiming_machine.machine(cls), settings=settings
    )


@behave.then('the claiming machine finds no fault')
def then_no_fault(context):
    _run(claim_hooks.ClaimHooks)


@behave.then('the claiming machine finds the fault of the "{name}" variant')
def then_fault(context, name):
    try:
        # Without shrinking, which takes long and is of no use here.
        _run(
            claiming_machine.BROKEN[name],
            phases=(hypothesis.Phase.generate,),
            max_examples=2000,
        )
    except AssertionError:
        return
    raise RuntimeError('the fault was not found')


@behave.then('a release that arrives late frees no newer claim')
def then_late(context):
    claiming_machine.late_release(claim_hooks.ClaimHooks)
    try:
        claiming_machine.late_release(claiming_machine.Adopting)
    except AssertionError:
        return
    raise RuntimeError('the fault was not found')


class _Alone:
    """Fakes of the loop, the mesh and the claims of one instance."""

    def __init__(self, result):
        self.time, self.result, self.delays, self.released = 0.0, result, [], 0
        self.claiming = claim_hooks.ClaimHooks(
            self, self, 'a', lambda instance: None, 600.0
        )
        self.claiming.claims = self
        self.told = []

    def now(self):
        return self.time

    def handle(self, kind, handler):
        """Take no messages."""

    def ask(self, name, message, timeout, done):
        done(None, errors.PeerError('no link'))

    def call_later(self, delay, call):
        self.delays.append(delay)
        self.later = call

    def claim(self, key, digest, holder, done):
        done(self.result, None)

    def release(self, key, holder, done):
        self.released += 1
        status = Status.UNAVAILABLE if self.released < 5 else Status.RELEASED
        done(claim_log.Result(status), None)


@behave.when('an order is held by an instance that no member list names')
def when_unknown(context):
    context.one = _Alone(claim_log.Result(Status.TAKEN, 'z/1'))


@behave.then('it is in progress at first and its answer lost after 15 s')
def then_unknown(context):
    one = context.one
    for time in (0.0, 14.9, 15.0):
        one.time = time
        one.claiming.claim(b'k', b'd', one.told.append)
    kinds = [claim.kind for claim in one.told]
    progress, lost = errors.Kind.IN_PROGRESS, errors.Kind.ANSWER_LOST
    assert kinds == [progress, progress, lost], kinds


@behave.when('the releases of a claim are not confirmed')
def when_unconfirmed(context):
    one = context.one = _Alone(claim_log.Result(Status.GRANTED, 'a/1'))
    one.claiming.claim(b'k', b'd', one.told.append)
    one.claiming.release(b'k')
    while one.released < 5:
        one.later()


@behave.then('they are sent again with growing pauses until one is')
def then_again(context):
    assert context.one.delays == [0.5, 1.0, 2.0, 4.0], context.one.delays
