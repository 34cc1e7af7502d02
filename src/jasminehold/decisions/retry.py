"""Retry policy: eligibility, back-off and budget.

Source: docs/design.md, section 3 (``retry``); full jitter after Brooker,
"Exponential Backoff And Jitter", 2015.
"""

import typing


class RetryConfig(typing.NamedTuple):
    """Settings of retries.

    Attributes:
        share: retries earned by each first attempt, 0 to 1.
        burst: most retries that can be saved up.
        base_s: upper bound of the first back-off in seconds.
        cap_s: largest back-off in seconds.
        max_attempts: maximum attempts, including the first.
        crash_s: upper bound of the back-off after a crash in seconds. The
            suspects of one crash come from several instances; the delay
            spreads their retries, because a harmless suspect that shares a
            second crash with the faulty request is quarantined too.
    """

    share: float = 0.1
    burst: float = 3.0
    base_s: float = 0.01
    cap_s: float = 1.0
    max_attempts: int = 3
    crash_s: float = 0.3


class Attempt(typing.NamedTuple):
    """Facts about a failed attempt.

    Attributes:
        number: attempts made so far, at least 1.
        repeatable: whether a retry is safe: the request is idempotent, or
            the attempt is known not to have run.
        overloaded: whether the attempt failed because of overload.
        caller_attempt: attempt number sent by the caller, 1 for its first
            attempt.
        deadline: monotonic seconds.
        service_time_s: usual duration of an attempt, seconds.
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
    """Retry budget of one service at one instance.

    Each first attempt earns a fraction of a retry, so retries add at most
    that fraction to the load. Because each instance counts its own requests,
    the bound holds for the whole fleet without coordination.
    """

    def __init__(self, cfg=RetryConfig()):
        self._cfg = cfg
        self._tokens = min(1.0, cfg.burst)

    @property
    def tokens(self):
        """Number of retries available."""
        return self._tokens

    def earn(self):
        """Add the share of a first attempt."""
        self._tokens = min(self._tokens + self._cfg.share, self._cfg.burst)

    def spend(self):
        """Consume one retry; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff(number, rng, cfg=RetryConfig()):
    """Return a random delay after a failed attempt, in seconds.

    Args:
        number: attempts made so far, at least 1.
        rng: a ``random.Random``.
        cfg: a :class:`RetryConfig`.
    """
    bound = min(cfg.base_s * 2 ** (number - 1), cfg.cap_s)
    return rng.uniform(0, bound)


def decide(attempt, budget, now, rng, cfg=RetryConfig()):
    """Decide whether to retry, and charge the retry to the budget.

    Args:
        attempt: an :class:`Attempt`.
        budget: the service's :class:`RetryBudget`.
        now: seconds, monotonic.
        rng: a ``random.Random``.
        cfg: a :class:`RetryConfig`.

    Returns:
        Seconds to wait before the next attempt, or None for no retry.
    """
    if not attempt.repeatable or attempt.overloaded:
        return None
    # The caller retries already; retries here would multiply the load.
    if attempt.caller_attempt > 1:
        return None
    if attempt.number >= cfg.max_attempts:
        return None
    delay = backoff(attempt.number, rng, cfg)
    if attempt.crashed:
        delay = rng.uniform(0, cfg.crash_s)
    if now + delay + attempt.service_time_s > attempt.deadline:
        return None
    # These retries are free because they cannot multiply the load: an attempt
    # that was not sent caused none, and the requests in flight at a crashed
    # upstream are limited by its slots.
    if attempt.crashed or not attempt.sent:
        return delay
    return delay if budget.spend() else None
