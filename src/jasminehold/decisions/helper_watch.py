"""Which helping instances stand still, though requests wait at them.

A process that stands still goes on accepting connections, and what is sent
through it waits. An instance at which requests wait, and of which nothing was
heard for a moment, is asked for a sign of life; without one within a part of
the requests' time it counts as silent. It gets no request until it is heard
again, and then one at a time until it has answered one.

Example:
    >>> watch = HelperWatch()
    >>> watch.begin('b', 'request', 1.0, 10.0)
    >>> watch.step(lambda helper: 9.0, 10.15)
    Found(ask=['b'], silent=[])
    >>> watch.step(lambda helper: 9.0, 10.3)
    Found(ask=[], silent=[])
    >>> watch.step(lambda helper: 9.0, 10.4)
    Found(ask=[], silent=[('b', ['request'])])
"""

import math
import typing

# Interval between two steps while requests wait.
STEP_S = 0.05
# Time for a sign of life, as a fraction of the time that a request had when it
# was sent, and its bounds. Round trips between regions take a tenth of a
# second at most.
PATIENCE_FRACTION = 0.2
PATIENCE_MIN_S = 0.2
PATIENCE_MAX_S = 0.6
# Fraction of that time without any news after which the sign is asked for.
ASK_FRACTION = 0.5
# A process that did not run for this long has heard nothing in that time.
STALL_S = 0.2


class Found(typing.NamedTuple):
    """Result of a step.

    Attributes:
        ask: ids of the instances to ask for a sign of life.
        silent: ``(id, keys of the requests that wait there)`` of those that
            have just been found to stand still.
    """

    ask: list
    silent: list


class _Helper:
    def __init__(self):
        # ``{key: (since when, patience)}``
        self.waiting = {}
        self.heard_at = -math.inf
        self.asked_at = -math.inf
        self.silent_at = None
        self.on_trial = False

    @property
    def is_plain(self):
        return self.silent_at is None and not self.on_trial


class HelperWatch:
    """Watches the instances through which requests are sent."""

    def __init__(self):
        self._helpers = {}
        self._stepped_at = -math.inf

    @property
    def waiting(self):
        """Whether any request waits at an instance."""
        return any(item.waiting for item in self._helpers.values())

    @property
    def silent(self):
        """Ids of the instances that stand still."""
        return {
            name
            for name, item in self._helpers.items()
            if item.silent_at is not None
        }

    def begin(self, helper, key, time_s, now):
        """Note a request that is sent through an instance.

        Args:
            helper: id of the instance.
            key: identifies the request.
            time_s: seconds until the request's deadline.
            now: monotonic seconds.
        """
        patience_s = min(
            max(PATIENCE_FRACTION * time_s, PATIENCE_MIN_S), PATIENCE_MAX_S
        )
        item = self._helpers.setdefault(helper, _Helper())
        item.waiting[key] = (now, patience_s)

    def end(self, helper, key, answered, now):
        """Note that a request has ended there.

        Args:
            helper: id of the instance.
            key: identifies the request.
            answered: whether the instance has sent a response.
            now: monotonic seconds.
        """
        item = self._helpers.get(helper)
        if item is None:
            return
        item.waiting.pop(key, None)
        if answered:
            item.heard_at = now
            item.silent_at = None
            item.on_trial = False
        if item.is_plain and not item.waiting:
            del self._helpers[helper]

    def keep(self, helpers):
        """Forget the instances that have left the fleet.

        Args:
            helpers: ids of those that are left.
        """
        for name in set(self._helpers) - set(helpers):
            if not self._helpers[name].waiting:
                del self._helpers[name]

    def room(self, helper, heard_at):
        """Return how many more requests an instance may get: 0, 1 or inf.

        Args:
            helper: id of the instance.
            heard_at: monotonic seconds at which it was heard last.
        """
        item = self._helpers.get(helper)
        if item is None:
            return math.inf
        self._hear(item, heard_at)
        if item.silent_at is not None:
            return 0
        if item.on_trial:
            return 0 if item.waiting else 1
        return math.inf

    @staticmethod
    def _hear(item, heard_at):
        item.heard_at = max(item.heard_at, heard_at)
        if item.silent_at is not None and item.heard_at > item.silent_at:
            item.silent_at = None
            item.on_trial = True

    def step(self, last_heard, now):
        """Return what is due as :class:`Found`.

        Args:
            last_heard: ``id -> monotonic seconds`` of its last sign of life.
            now: monotonic seconds.
        """
        stalled = now - self._stepped_at > STALL_S
        self._stepped_at = now
        found = Found([], [])
        for name, item in self._helpers.items():
            self._hear(item, last_heard(name))
            if item.silent_at is not None or not item.waiting:
                continue
            begun = [since for since, _ in item.waiting.values()]
            news_at = max(item.heard_at, min(begun))
            patience_s = min(patience for _, patience in item.waiting.values())
            if now - news_at < ASK_FRACTION * patience_s:
                continue
            if stalled or item.asked_at < news_at:
                item.asked_at = now
                found.ask.append(name)
                continue
            if now - item.asked_at >= patience_s:
                item.silent_at = now
                found.silent.append((name, list(item.waiting)))
        return found
