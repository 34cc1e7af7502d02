"""Exponentially decaying averages of the demand at one instance.

Source: docs/design.md, section 3 (``plan``).
"""

import math


class AverageRate:
    """Exponentially decaying average of events per second.

    Args:
        window_s: time constant of the decay, in seconds.
    """

    def __init__(self, window_s=5.0):
        self._window_s = window_s
        self._average = 0.0
        self._updated_at = None

    def add(self, now, count=1):
        """Record events."""
        self._decay(now)
        self._average += count / self._window_s

    def value(self, now):
        """Return the average in events per second."""
        self._decay(now)
        return self._average

    def _decay(self, now):
        if self._updated_at is not None and now > self._updated_at:
            self._average *= math.exp(
                (self._updated_at - now) / self._window_s
            )
        self._updated_at = now


class AverageLevel:
    """Exponentially decaying average of a level, such as requests in flight.

    Args:
        window_s: time constant of the decay, in seconds.
    """

    def __init__(self, window_s=5.0):
        self.level = 0
        self._window_s = window_s
        self._average = 0.0
        self._updated_at = None

    def change(self, by, now):
        """Change the level by an amount, which may be negative."""
        self._decay(now)
        self.level += by

    def value(self, now):
        """Return the average level."""
        self._decay(now)
        return self._average

    def _decay(self, now):
        if self._updated_at is not None and now > self._updated_at:
            remaining = math.exp((self._updated_at - now) / self._window_s)
            self._average = self._average * remaining + self.level * (
                1 - remaining
            )
        self._updated_at = now
