"""Steps for the state machine of one request."""

import behave
from hypothesis import stateful

from builders import request_machine


def _run(state_class):
    machine = request_machine.machine(state_class)
    stateful.run_state_machine_as_test(
        machine, settings=request_machine.SETTINGS
    )


@behave.then('the request machine finds no fault')
def then_no_fault(context):
    _run(request_machine.Counting)
    reached = request_machine.Counting.reached
    missing = set(request_machine.request.TRANSITIONS) - reached
    assert not missing, missing


@behave.then('the request machine finds the fault of the "{name}" variant')
def then_fault(context, name):
    try:
        _run(request_machine.BROKEN[name])
    except AssertionError:
        return
    raise RuntimeError('the fault was not found')
