"""Callers of front instances whose upstreams name a limit."""

import threading
import time

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


class SteadyCallers:
    """Callers that send at a steady rate; use as a context manager.

    Args:
        rig: the :class:`~tests.builders.front_rig.FrontRig`.
        names: instances that they send to in turn.
        count: number of callers.
        pause_s: pause of each between an answer and its next request.

    Attributes:
        replies: list of ``(sent at, seconds, Reply)``.
        arrivals: ``{upstream: [monotonic seconds]}``.
    """

    def __init__(self, rig, names, count=6, pause_s=0.04):
        self.replies = []
        self.arrivals = {name: [] for name in rig.upstreams}
        self._rig = rig
        self._names = names
        self._pause_s = pause_s
        self._stopped = False
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]
        for item in rig.upstreams.values():
            item.on_event = self._observe

    def _observe(self, upstream, request_id, ran):
        if not ran:
            self.arrivals[upstream].append(time.monotonic())

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped = True
        for thread in self._threads:
            thread.join(10)

    def _run(self, number):
        count = number
        while not self._stopped:
            count += 1
            begin = time.monotonic()
            reply = self._rig.ask(
                '/browse/%d-%d' % (number, count),
                name=self._names[count % len(self._names)],
                Cookie='X-Affinity-Key=%d' % (count % 40),
            )
            self.replies.append((begin, time.monotonic() - begin, reply))
            time.sleep(self._pause_s)
