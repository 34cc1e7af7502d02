"""When an instance that was told to stop ends, and what it reads until then.

Told to stop, an instance is named to callers no more, but those that were
told of it may still come. Each connection is told to close with an answer
behind which nothing was read, so that no request that was read goes without
one. After a part of the grace period no connection is accepted any more, and
the instance ends when it owes nothing, or a reserve before the end of the
grace period. Until then it passes a request on only if that is expected to end
in time: the others are refused at once, so that callers go elsewhere.
"""

import enum
import typing

# Fraction of the grace period in which new connections are still accepted:
# callers reuse a look-up's answer for up to three times its TTL.
ACCEPT_FRACTION = 0.5
# Time before the end of the grace period in which the process ends by itself.
RESERVE_S = 0.1
# Time before that end by which an answer has to be ready.
ANSWER_RESERVE_S = 0.15

# Time to return for callers that it refuses; other instances are ready.
RETRY_AFTER_S = 0.05


class Phase(enum.Enum):
    """Phases of a planned stop, in order.

    ``ACCEPTING``: new connections are accepted.
    ``FINISHING``: what was read is answered.
    ``ENDED``: nothing is owed, or the time is over.
    """

    ACCEPTING = 'accepting'
    FINISHING = 'finishing'
    ENDED = 'ended'


class Owed(typing.NamedTuple):
    """What an instance owes to callers.

    Attributes:
        connections: connections on which anything is owed.
        unanswered: requests that were read, or are being read, and have no
            answer.
        unsent_bytes: bytes of answers that the callers have not taken.
    """

    connections: int = 0
    unanswered: int = 0
    unsent_bytes: int = 0

    def plus(self, unanswered, unsent_bytes):
        """Return the sum with what is owed on one more connection."""
        return Owed(
            self.connections + 1,
            self.unanswered + unanswered,
            self.unsent_bytes + unsent_bytes,
        )


def may_read(leaving, unanswered):
    """Return whether a connection may take one more request.

    Args:
        leaving: whether the instance was told to stop.
        unanswered: requests of the connection that were read whole and have
            no answer; the last of these answers closes it.
    """
    return not leaving or not unanswered


def closes_connection(leaving, unanswered):
    """Return whether an answer closes its connection.

    Args:
        leaving: whether the instance was told to stop.
        unanswered: requests behind it that were read whole.
    """
    return leaving and not unanswered


def ends_in_time(expected_s, left_s, until_end_s):
    """Return whether a request is over before the instance ends.

    Args:
        expected_s: seconds that it takes, as expected.
        left_s: seconds until its deadline, which ends it in any case.
        until_end_s: seconds until the instance ends.
    """
    return min(expected_s, left_s) + ANSWER_RESERVE_S <= until_end_s


class PlannedStop:
    """The stop of an instance.

    Args:
        now: monotonic seconds at which it was told.
        grace_s: seconds until the process is killed.

    Attributes:
        phase: the :class:`Phase`.
    """

    def __init__(self, now, grace_s):
        self.phase = Phase.ACCEPTING
        self._accepts_until = now + ACCEPT_FRACTION * grace_s
        self._ends_at = now + max(grace_s - RESERVE_S, 0.0)
        self._began_at = {Phase.ACCEPTING: now}

    def step(self, owed, now):
        """Return the phase now.

        A finishing instance takes one more step at least, in which it reads
        what came on connections that were accepted last.

        Args:
            owed: the :class:`Owed` to all callers.
            now: monotonic seconds.
        """
        if self.phase is Phase.ACCEPTING and now >= self._accepts_until:
            self._enter(Phase.FINISHING, now)
        elif self.phase is Phase.FINISHING and (
            not owed.connections or now >= self._ends_at
        ):
            self._enter(Phase.ENDED, now)
        return self.phase

    def left_s(self, now):
        """Return the seconds until it ends, whatever is owed then."""
        return max(self._ends_at - now, 0.0)

    def ends_in_time(self, expected_s, left_s, now):
        """Return whether a request is over before this instance ends.

        Args:
            expected_s, left_s: as for :func:`ends_in_time`.
            now: monotonic seconds.
        """
        return ends_in_time(expected_s, left_s, self.left_s(now))

    def _enter(self, phase, now):
        self.phase = phase
        self._began_at[phase] = now

    def seconds(self, phase, now):
        """Return how long a phase took, up to now if it lasts."""
        phases = list(Phase)
        begin = self._began_at.get(phase)
        if begin is None:
            return 0.0
        later = phases[phases.index(phase) + 1 :]
        ends = [
            self._began_at[item] for item in later if item in self._began_at
        ]
        return min(ends, default=now) - begin
