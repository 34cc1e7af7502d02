"""Callers of front instances whose upstreams name a limit."""

import time

from tests.builders import caller_threads

# Bound of the users' pages: from ``STABILITY_S`` after an upstream first named
# its limit, any ``WINDOW_S`` hold at most ``OVER`` times what the limit allows
# and ``SLACK`` requests.
STABILITY_S = 3.0
WINDOW_S = 4.0
OVER = 1.5
SLACK = 5


def allowed(limit):
    """Return the requests that may arrive in a window."""
    return OVER * limit * WINDOW_S + SLACK


def most_in_window(times):
    """Return the most arrivals in any window."""
    return max(
        (sum(at <= other < at + WINDOW_S for other in times) for at in times),
        default=0,
    )


class SteadyCallers(caller_threads.CallerThreads):
    """Callers that send at a steady rate.

    Args:
        rig: the :class:`~tests.builders.front_rig.FrontRig`.
        names: instances that they send to in turn.
        count: number of callers.

    Attributes:
        replies: list of ``(sent at, seconds, Reply)``.
        arrivals: ``{upstream: [monotonic seconds]}``.
    """

    def __init__(self, rig, names, count=6):
        super().__init__(count, 0.04)
        self.replies = []
        self.arrivals = {name: [] for name in rig.upstreams}
        self._rig = rig
        self._names = names
        for item in rig.upstreams.values():
            item.on_event = self._observe

    def _observe(self, upstream, request_id, ran):
        if not ran:
            self.arrivals[upstream].append(time.monotonic())

    def call(self, number, turn):
        """Send one request and keep its reply."""
        begin = time.monotonic()
        name = self._names[(number + turn) % len(self._names)]
        reply = self._rig.ask(
            '/browse/%d-%d' % (number, turn),
            name=name,
            X_Via=name,
            Cookie='X-Affinity-Key=%d' % ((number + turn) % 40),
        )
        self.replies.append((begin, time.monotonic() - begin, reply))
