"""State machine of one caller's request.

The adapter passes in events and applies the actions that are returned. A
request is reported as not run only if no attempt can have run it: nothing was
sent, or the upstream refused every attempt.

Example:
    >>> state = RequestState(idempotent=True, claimed=False)
    >>> state.on(Event.START)
    [(<Action.FIND_TARGET: 'find_target'>, None)]
"""

import enum

from jasminehold import errors

Kind = errors.Kind


class State(enum.Enum):
    """Phase of a request."""

    RECEIVED = 'received'
    CLAIMING = 'claiming'
    QUEUED = 'queued'
    OPENING = 'opening'
    SENT = 'sent'
    ANSWERING = 'answering'
    RETRYING = 'retrying'
    DONE = 'done'
    GIVEN_UP = 'given_up'


class Event(enum.Enum):
    """Input of the state machine."""

    START = 'start'
    CLAIM_GRANTED = 'claim_granted'
    CLAIM_REFUSED = 'claim_refused'
    CLAIM_ANSWERED = 'claim_answered'
    TARGET = 'target'
    NO_TARGET = 'no_target'
    CONNECT_FAILED = 'connect_failed'
    SENT = 'sent'
    REFUSED = 'refused'
    ANSWER_HEAD = 'answer_head'
    ANSWER_END = 'answer_end'
    LOSS = 'loss'
    RETRY_GRANTED = 'retry_granted'
    RETRY_DENIED = 'retry_denied'
    BAD_INPUT = 'bad_input'
    CANCEL = 'cancel'
    DEADLINE = 'deadline'
    STOP = 'stop'


class Action(enum.Enum):
    """Output of the state machine, applied by the adapter."""

    CLAIM = 'claim'
    FIND_TARGET = 'find_target'
    OPEN = 'open'
    ASK_RETRY = 'ask_retry'
    RELAY = 'relay'
    ANSWER = 'answer'
    SEND_KEPT = 'send_kept'
    FINISH = 'finish'
    CLOSE_UPSTREAM = 'close_upstream'
    ABORT_CALLER = 'abort_caller'
    RELEASE_CLAIM = 'release_claim'
    KEEP_ANSWER = 'keep_answer'
    LOSE_ANSWER = 'lose_answer'


class RequestState:
    """State of one request.

    Args:
        idempotent: whether an attempt that may have run can be retried.
        claimed: whether a claim must be granted before anything is sent.

    Attributes:
        state: the :class:`State`.
        kind: final error kind, None if the request got an answer.
        maybe_ran: whether any attempt may have run.
        detached: whether the caller disconnected after its claimed request
            was sent. The request continues so that a resend gets the answer.
    """

    def __init__(self, idempotent, claimed):
        self.idempotent = idempotent
        self.claimed = claimed
        self.state = State.RECEIVED
        self.kind = None
        self.maybe_ran = False
        self.detached = False
        self._holds_claim = False
        self._maybe_ran_before = False

    @property
    def ended(self):
        """Whether the request is done or given up."""
        return self.state in (State.DONE, State.GIVEN_UP)

    def on(self, event, kind=None):
        """Process one event.

        Args:
            event: an :class:`Event`; ignored if the state does not expect it.
            kind: error kind of a refusal or failure.

        Returns:
            A list of ``(Action, kind or None)``, to be applied in order.
        """
        if self.ended:
            if event is Event.CLAIM_GRANTED and not self._holds_claim:
                self._holds_claim = True
                return [(Action.RELEASE_CLAIM, None)]
            return []
        name = _ANY_STATE_HANDLERS.get(event) or TRANSITIONS.get(
            (self.state, event)
        )
        return getattr(self, name)(kind) if name else []

    def _start(self, kind):
        if self.claimed:
            self.state = State.CLAIMING
            return [(Action.CLAIM, None)]
        return self._queue(kind)

    def _claim_granted(self, kind):
        self._holds_claim = True
        return self._queue(kind)

    def _queue(self, kind):
        self.state = State.QUEUED
        return [(Action.FIND_TARGET, None)]

    def _send_kept(self, kind):
        self.state = State.DONE
        return [(Action.SEND_KEPT, None)]

    def _open(self, kind):
        self.state = State.OPENING
        return [(Action.OPEN, None)]

    def _sent(self, kind):
        self.state = State.SENT
        self._maybe_ran_before = self.maybe_ran
        self.maybe_ran = True
        return []

    def _refused(self, kind):
        self.maybe_ran = self._maybe_ran_before
        return self._ask_retry(kind)

    def _ask_retry(self, kind):
        self.state = State.RETRYING
        return [(Action.ASK_RETRY, None)]

    def _lost(self, kind):
        if self.idempotent:
            return self._ask_retry(kind)
        return self._finish(Kind.OUTCOME_UNKNOWN)

    def _relay(self, kind):
        self.state = State.ANSWERING
        return [(Action.RELAY, None)]

    def _complete(self, kind):
        self.state = State.DONE
        actions = [(Action.KEEP_ANSWER, None)] if self._holds_claim else []
        return actions + [(Action.ANSWER, None)]

    def _abort_answer(self, kind):
        # The response head was already relayed, so no error can be sent.
        self.state = State.DONE
        self.kind = kind or Kind.OUTCOME_UNKNOWN
        actions = [(Action.CLOSE_UPSTREAM, None), (Action.ABORT_CALLER, None)]
        if self._holds_claim:
            actions.append((Action.LOSE_ANSWER, None))
        return actions

    def _denied(self, kind):
        return self._finish(kind or Kind.NOT_RUN)

    def _deadline(self, kind):
        if self.state is State.ANSWERING:
            return self._abort_answer(Kind.DEADLINE_UNKNOWN)
        actions = [(Action.CLOSE_UPSTREAM, None)]
        return actions + self._finish(Kind.DEADLINE_NOT_RUN)

    def _stop(self, kind):
        if self.state is State.ANSWERING:
            return self._abort_answer(Kind.OUTCOME_UNKNOWN)
        return [(Action.CLOSE_UPSTREAM, None)] + self._finish(Kind.LEAVING)

    def _bad_input(self, kind):
        if self.state is State.ANSWERING:
            return self._abort_answer(None)
        return [(Action.CLOSE_UPSTREAM, None)] + self._finish(kind)

    def _cancel(self, kind):
        if self._holds_claim and self.state in (State.SENT, State.ANSWERING):
            self.detached = True
            return []
        self.state = State.GIVEN_UP
        self.kind = Kind.OUTCOME_UNKNOWN if self.maybe_ran else Kind.NOT_RUN
        return [(Action.CLOSE_UPSTREAM, None)] + self._settle_claim()

    def _finish(self, kind):
        if self.maybe_ran and errors.answer_for(kind).run is _NOT_RUN:
            if kind is Kind.DEADLINE_NOT_RUN:
                kind = Kind.DEADLINE_UNKNOWN
            elif self.idempotent:
                kind = Kind.UPSTREAM_FAILED
            else:
                kind = Kind.OUTCOME_UNKNOWN
        self.state = State.DONE
        self.kind = kind
        return self._settle_claim() + [(Action.FINISH, kind)]

    def _settle_claim(self):
        if not self._holds_claim:
            return []
        if self.maybe_ran:
            return [(Action.LOSE_ANSWER, None)]
        return [(Action.RELEASE_CLAIM, None)]


_NOT_RUN = errors.Run.NOT_RUN
_ANY_STATE_HANDLERS = {
    Event.CANCEL: '_cancel',
    Event.DEADLINE: '_deadline',
    Event.STOP: '_stop',
    Event.BAD_INPUT: '_bad_input',
}
TRANSITIONS = {
    (State.RECEIVED, Event.START): '_start',
    (State.CLAIMING, Event.CLAIM_GRANTED): '_claim_granted',
    (State.CLAIMING, Event.CLAIM_REFUSED): '_denied',
    (State.CLAIMING, Event.CLAIM_ANSWERED): '_send_kept',
    (State.QUEUED, Event.TARGET): '_open',
    (State.QUEUED, Event.NO_TARGET): '_denied',
    (State.OPENING, Event.SENT): '_sent',
    (State.OPENING, Event.CONNECT_FAILED): '_ask_retry',
    (State.SENT, Event.REFUSED): '_refused',
    (State.SENT, Event.LOSS): '_lost',
    (State.SENT, Event.ANSWER_HEAD): '_relay',
    (State.ANSWERING, Event.ANSWER_END): '_complete',
    (State.ANSWERING, Event.LOSS): '_abort_answer',
    (State.RETRYING, Event.RETRY_GRANTED): '_queue',
    (State.RETRYING, Event.RETRY_DENIED): '_denied',
}
