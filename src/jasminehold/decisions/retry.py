"""What may be sent again, when, and how much of it.

Source: docs/design.md, section 3 (``retry``); full jitter after Brooker,
"Exponential Backoff And Jitter", 2015.
"""

import typing


class RetryConfig(typing.NamedTuple):
    """Settings of retries.

    Attributes:
        share: retries allowed for each first attempt, share 0 to 1.
        burst: most retries saved up while none are needed.
        base_s: upper bound of the first back-off in seconds.
        cap_s: largest back-off in seconds.
        max_attempts: attempts in all, the first included.
        crash_s: upper bound of the back-off after a crash in seconds. The
            suspects of one crash come from several instances, and one that
            meets the culprit at a second upstream is condemned with it.
    """

    share: float = 0.1
    burst: float = 3.0
    base_s: float = 0.01
    cap_s: float = 1.0
    max_attempts: int = 3
    crash_s: float = 0.3


class Attempt(typing.NamedTuple):
    """What is known when an attempt has failed.

    Attributes:
        number: attempts made so far, at least 1.
        repeatable: whether a repeat is safe: the request is idempotent, or
            the attempt is known not to have run.
        overloaded: whether the attempt failed by overload.
        caller_attempt: attempt number that the caller itself states, 1 when
            it is the caller's first.
        deadline: seconds, monotonic.
        service_time_s: time that an attempt usually takes, seconds.
        crashed: whether the upstream crashed while it ran the attempt.
        sent: whether anything was sent to the upstream.
    """

    number: int
    repeatable: bool
    overloaded: bool
    caller_attempt: int
    deadline: float
    service_time_s: float
    crashed: bool = False
    sent: bool = True


class RetryBudget:
    """Retries that one instance may still make for one service.

    Each first attempt earns a share of a retry, so retries add at most that
    share to the load. Instances earn separately, so that the fleet's retries
    stay within the same share without coordination.
    """

    def __init__(self, cfg=RetryConfig()):
        self._cfg = cfg
        self._tokens = min(1.0, cfg.burst)

    @property
    def tokens(self):
        """Retries saved up."""
        return self._tokens

    def earn(self):
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._cfg.share, self._cfg.burst)

    def spend(self):
        """Take one retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff(number, rng, cfg=RetryConfig()):
    """Return the seconds to wait after a failed attempt.

    Args:
        number: attempts made so far, at least 1.
        rng: a ``random.Random``.
        cfg: a :class:`RetryConfig`.
    """
    bound = min(cfg.base_s * 2 ** (number - 1), cfg.cap_s)
    return rng.uniform(0, bound)


def decide(attempt, budget, now, rng, cfg=RetryConfig()):
    """Decide about another attempt and take it from the budget.

    Args:
        attempt: an :class:`Attempt`.
        budget: the service's :class:`RetryBudget`.
        now: seconds, monotonic.
        rng: a ``random.Random``.
        cfg: a :class:`RetryConfig`.

    Returns:
        Seconds to wait before the next attempt, or None for no attempt.
    """
    if not attempt.repeatable or attempt.overloaded:
        return None
    # A caller that repeats already multiplies the load by its own attempts.
    if attempt.caller_attempt > 1:
        return None
    if attempt.number >= cfg.max_attempts:
        return None
    delay = backoff(attempt.number, rng, cfg)
    if attempt.crashed:
        delay = rng.uniform(0, cfg.crash_s)
    if now + delay + attempt.service_time_s > attempt.deadline:
        return None
    # Neither can multiply the load: an attempt that was not sent is no load,
    # and what shared a crashed upstream is at most its slots.
    if attempt.crashed or not attempt.sent:
        return delay
    return delay if budget.spend() else None
