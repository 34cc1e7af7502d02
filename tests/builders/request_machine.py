"""Interleavings of everything that can happen to one order or look-up."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from jasminehold.decisions import request
from jasminehold import errors

Action = request.Action
Event = request.Event
State = request.State
_pick = strategies.sampled_from
Kind = errors.Kind
NOT_RUN = errors.Run.NOT_RUN
SETTINGS = hypothesis.settings(
    database=None,
    derandomize=True,
    max_examples=1000,
    stateful_step_count=50,
    deadline=None,
    report_multiple_bugs=False,
    # Shrinking a found fault takes most of a minute.
    phases=(hypothesis.Phase.generate,),
)


class _Send:
    """One sending of the request by its caller, with its attempt."""

    def __init__(self, state):
        self.state = state
        self.claiming = self.open = self.sent = False
        self.executed = self.current = 0
        self.told = []


def machine(state_class=request.RequestState):
    """Return the machine for a state class."""

    class Machine(stateful.RuleBasedStateMachine):
        """A caller that resends, a claim table and unreliable upstreams."""

        @stateful.initialize(idempotent=strategies.booleans())
        def begin(self, idempotent):
            self.idempotent = idempotent
            self.sends = []
            self.claim = None
            self.kept = False

        def apply(self, send, event, kind=None):
            held = self.claim is send
            for action, arg in send.state.on(event, kind):
                if action is Action.CLAIM:
                    send.claiming = True
                elif action is Action.OPEN:
                    send.open, send.sent = True, False
                elif action is Action.CLOSE_UPSTREAM:
                    send.open = False
                elif action is Action.RELEASE_CLAIM:
                    assert held and not send.executed
                    self.claim = None
                elif action is Action.KEEP_ANSWER:
                    assert held and send.executed
                    self.kept = True
                elif action is Action.SEND_KEPT:
                    assert self.kept
                    send.told.append(None)
                elif action is Action.ANSWER:
                    assert send.executed
                    send.told.append(None)
                elif action is Action.FINISH:
                    assert arg is send.state.kind
                    send.told.append(arg)
                elif action is Action.ABORT_CALLER:
                    send.told.append('cut')

        def claim_reply(self, send, up):
            send.claiming = False
            if not up:
                self.apply(send, Event.CLAIM_REFUSED, Kind.UNAVAILABLE)
            elif self.kept:
                self.apply(send, Event.CLAIM_ANSWERED)
            elif self.claim is None:
                self.claim = send
                self.apply(send, Event.CLAIM_GRANTED)
            else:
                self.apply(send, Event.CLAIM_REFUSED, Kind.IN_PROGRESS)

        def connect(self, send, works):
            send.open = send.sent = works
            send.current = 0
            event = Event.SENT if works else Event.CONNECT_FAILED
            self.apply(send, event)

        def execute(self, send):
            send.executed += 1
            send.current = 1

        def end_attempt(self, send, event):
            send.open = False
            send.sent = event is not Event.REFUSED
            self.apply(send, event)

        def steps(self, send):
            """Return what can happen next to one sending, as closures."""

            def event(*args):
                return lambda: self.apply(send, *args)

            state = send.state.state
            if send.claiming:
                yield lambda: self.claim_reply(send, True)
                yield lambda: self.claim_reply(send, False)
            if state is State.QUEUED:
                yield event(Event.TARGET)
                yield event(Event.NO_TARGET, Kind.OVERLOADED)
            if state is State.RETRYING:
                yield event(Event.RETRY_GRANTED)
                yield event(Event.RETRY_DENIED, Kind.NOT_RUN)
            if send.open and not send.sent:
                yield lambda: self.connect(send, True)
                yield lambda: self.connect(send, False)
            if send.sent and not send.current:
                # Also after the proxy gave the connection up.
                yield lambda: self.execute(send)
            if send.open and send.sent:
                if state is State.ANSWERING:
                    yield lambda: self.end_attempt(send, Event.ANSWER_END)
                elif send.current:
                    yield event(Event.ANSWER_HEAD)
                else:
                    yield lambda: self.end_attempt(send, Event.REFUSED)
                yield lambda: self.end_attempt(send, Event.LOSS)

        @stateful.precondition(lambda self: len(self.sends) < 3)
        @stateful.rule()
        def resend(self):
            send = _Send(state_class(self.idempotent, not self.idempotent))
            self.sends.append(send)
            self.apply(send, Event.START)

        @stateful.precondition(lambda self: self.sends)
        @stateful.rule(data=strategies.data())
        def step(self, data):
            send = data.draw(_pick(self.sends))
            steps = list(self.steps(send))
            if not steps:
                return
            # The first one leads on, so that the late states are reached.
            lucky = data.draw(strategies.integers(0, 2))
            (steps[0] if lucky else data.draw(_pick(steps)))()

        @stateful.precondition(lambda self: self.sends)
        @stateful.rule(
            data=strategies.data(),
            event=strategies.sampled_from(
                (Event.CANCEL, Event.DEADLINE, Event.STOP, Event.BAD_INPUT)
            ),
            rarely=strategies.integers(0, 9),
        )
        def interrupt(self, data, event, rarely):
            # Most orders have to get far for the later states to be reached.
            if rarely == 9:
                send = data.draw(_pick(self.sends))
                self.apply(send, event, Kind.BODY_TOO_LARGE)

        @stateful.invariant()
        def holds(self):
            sends = getattr(self, 'sends', ())
            for send in sends:
                assert len(send.told) <= 1, send.told
                kind = send.state.kind
                if kind is not None:
                    run = errors.answer_for(kind).run
                    assert run is not NOT_RUN or not send.executed, kind
                if send.state.ended:
                    assert not send.open
                    assert send.told or kind is not None
            if sends and not self.idempotent:
                assert sum(send.executed for send in sends) <= 1

    Machine.TestCase.settings = SETTINGS
    return Machine


class Hasty(request.RequestState):
    """Faulty: forgets that a lost attempt may have run."""

    def _lost(self, kind):
        self.maybe_ran = False
        return super()._lost(kind)


class Repeating(request.RequestState):
    """Faulty: repeats a lost order."""

    def _lost(self, kind):
        return self._ask_retry(kind)


class Leaky(request.RequestState):
    """Faulty: releases the claim of an order that may have run."""

    def _settle_claim(self):
        self.maybe_ran = False
        return super()._settle_claim()


class Counting(request.RequestState):
    """Records the transitions that were reached."""

    reached = set()

    def on(self, event, kind=None):
        self.reached.add((self.state, event))
        return super().on(event, kind)


BROKEN = {'hasty': Hasty, 'repeating': Repeating, 'leaky': Leaky}
