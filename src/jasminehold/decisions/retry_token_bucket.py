"""An instance's share of the fleet's budget for repeated sends."""

import collections
import typing


class Use(typing.NamedTuple):
    """What decides whether an instance may repeat a request of one service.

    Attributes:
        tokens: repeats that it may take now, not a whole number.
        cap: tokens that it may hold.
        requests: newest requests of callers, which raise the cap.
        burst: its part of the fleet's burst, repeats.
    """

    tokens: float
    cap: float
    requests: int
    burst: float


class RetryTokenBucket:
    """Token bucket for the repeats of one service at one instance.

    The fleet may repeat ``ratio`` of the requests of any window plus
    ``burst``. Each request earns its instance a part of a token, and a repeat
    costs one. A new bucket holds :attr:`FIRST` at most. So whatever load and
    processes do, the repeats of a window are at most the tokens held at its
    beginning, those earned in it and the first ones of new processes.

    An instance may hold its part of the burst and what its newest requests
    earned. Those of :attr:`RECENT_PART` of a window and a window itself earn
    together ``EARNED_PART * (1 + RECENT_PART)``, 0.96 of the ratio; the rest
    covers requests that are counted at other times than the platform does.

    Args:
        ratio: share of the requests that may be repeated.
        burst: repeats on top, of the whole fleet.
        window_s: length of the window, seconds.
        rng: random source.
    """

    # Part of the ratio and of the burst that is handed out.
    EARNED_PART = 0.8
    # Time for which a request raises the cap, as part of the window.
    RECENT_PART = 0.2
    # Part of the cap that only urgent requests may use. It is built up from
    # what was earned.
    RESERVED = 0.3
    # Tokens of a new process, which has earned none yet. They come out of
    # the part of the burst that is not handed out otherwise.
    FIRST = 1.0

    def __init__(self, ratio, burst, window_s, rng):
        self._ratio = ratio
        self._burst = burst
        self._recent_s = self.RECENT_PART * window_s
        self._rng = rng
        self._requests = collections.deque()
        self._tokens = self.FIRST
        self._earned = 0.0

    def on_request(self, now):
        """Count a caller's request."""
        self._trim(now)
        self._requests.append(now)
        earned = self.EARNED_PART * self._ratio
        self._earned += earned
        self._tokens += earned

    def take(self, part, now, urgent=True):
        """Return whether one repeat may be sent, and count it.

        Args:
            part: the instance's part of the fleet's burst, share 0 to 1.
            now: monotonic seconds.
            urgent: whether the reserved part may be used.
        """
        use = self.use(part, now)
        built_up = min(use.cap, self._earned)
        reserved = 0.0 if urgent else self.RESERVED * built_up
        free = max(use.tokens - reserved, 0.0)
        if use.cap - reserved < 1.0:
            # No whole token ever fits, as in a large fleet with little load
            # for each instance: a part of one is a chance of a repeat.
            self._tokens -= free
            return self._rng.random() < free
        if free < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def use(self, part, now):
        """Return the :class:`Use`; arguments as for :meth:`take`."""
        self._trim(now)
        recent = len(self._requests)
        burst = self._burst * part
        cap = self.EARNED_PART * (self._ratio * recent + burst)
        self._tokens = min(self._tokens, cap)
        return Use(self._tokens, cap, recent, burst)

    def _trim(self, now):
        while self._requests and self._requests[0] <= now - self._recent_s:
            self._requests.popleft()
