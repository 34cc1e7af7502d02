"""One instance's share of the retry budget of the fleet."""

import collections
import typing


class Use(typing.NamedTuple):
    """Current state of the retry budget of one service at one instance.

    Attributes:
        tokens: retries available now, possibly a fraction.
        cap: maximum number of tokens.
        requests: number of recent requests, which raise the cap.
        burst: this instance's part of the fleet's burst, in retries.
    """

    tokens: float
    cap: float
    requests: int
    burst: float


class RetryTokenBucket:
    """Token bucket for the retries of one service at one instance.

    In any window the fleet may retry ``ratio`` of its requests, plus
    ``burst``. Each request earns its instance a fraction of a token; a retry
    costs one token. A new bucket holds at most :attr:`INITIAL_TOKENS`. So the
    retries of a window never exceed the tokens held at its start, the tokens
    earned during it and the initial tokens of new processes, whatever the
    load and however often processes restart.

    The cap of an instance is its part of the burst plus the tokens earned by
    its recent requests. The requests of a window and of the
    :attr:`RECENT_FRACTION` before it earn
    ``EARNED_FRACTION * (1 + RECENT_FRACTION)``, 0.96 of the ratio; the
    remainder allows for requests that the platform counts at slightly
    different times.

    Args:
        ratio: fraction of the requests that may be retried.
        burst: additional retries of the whole fleet.
        window_s: length of the window, seconds.
        rng: random source.
    """

    # Fraction of the ratio and of the burst that is handed out.
    EARNED_FRACTION = 0.8
    # Time for which a request raises the cap, as a fraction of the window.
    RECENT_FRACTION = 0.2
    # Fraction of the cap reserved for urgent requests. The reserve is filled
    # only from earned tokens.
    RESERVED_FRACTION = 0.3
    # Tokens of a new process, which has earned none yet. They are covered by
    # the part of the burst that EARNED_FRACTION leaves over.
    INITIAL_TOKENS = 1.0

    def __init__(self, ratio, burst, window_s, rng):
        self._ratio = ratio
        self._burst = burst
        self._recent_s = self.RECENT_FRACTION * window_s
        self._rng = rng
        self._requests = collections.deque()
        self._tokens = self.INITIAL_TOKENS
        self._earned = 0.0

    def on_request(self, now):
        """Count a request of a caller and earn its fraction of a token."""
        self._trim(now)
        self._requests.append(now)
        earned = self.EARNED_FRACTION * self._ratio
        self._earned += earned
        self._tokens += earned

    def take(self, part, now, urgent=True):
        """Return whether one retry may be sent, and charge it.

        Args:
            part: the instance's fraction of the fleet's burst, 0 to 1.
            now: monotonic seconds.
            urgent: whether the reserve may be used.
        """
        use = self.use(part, now)
        reserve_base = min(use.cap, self._earned)
        reserved = 0.0 if urgent else self.RESERVED_FRACTION * reserve_base
        available = max(use.tokens - reserved, 0.0)
        if use.cap - reserved < 1.0:
            # The cap is below one token, as in a large fleet with little
            # load per instance: use the fraction as the probability of a
            # retry.
            self._tokens -= available
            return self._rng.random() < available
        if available < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def use(self, part, now):
        """Return the current :class:`Use`; see :meth:`take` for arguments."""
        self._trim(now)
        recent = len(self._requests)
        burst = self._burst * part
        cap = self.EARNED_FRACTION * (self._ratio * recent + burst)
        self._tokens = min(self._tokens, cap)
        return Use(self._tokens, cap, recent, burst)

    def _trim(self, now):
        while self._requests and self._requests[0] <= now - self._recent_s:
            self._requests.popleft()
