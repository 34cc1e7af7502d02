"""Demand of one instance, as averages that fade with time.

Source: docs/design.md, section 3 (``plan``).
"""

import math


class AverageRate:
    """Events a second, averaged with a time constant."""

    def __init__(self, window_s=5.0):
        self._window = window_s
        self._value = 0.0
        self._at = None

    def add(self, now, count=1):
        """Count events."""
        self._fade(now)
        self._value += count / self._window

    def value(self, now):
        """Return events a second."""
        self._fade(now)
        return self._value

    def _fade(self, now):
        if self._at is not None and now > self._at:
            self._value *= math.exp((self._at - now) / self._window)
        self._at = now


class AverageLevel:
    """Time average of a level such as requests in flight."""

    def __init__(self, window_s=5.0):
        self.level = 0
        self._window = window_s
        self._value = 0.0
        self._at = None

    def change(self, by, now):
        """Add to the level."""
        self._fade(now)
        self.level += by

    def value(self, now):
        """Return the average level."""
        self._fade(now)
        return self._value

    def _fade(self, now):
        if self._at is not None and now > self._at:
            share = math.exp((self._at - now) / self._window)
            self._value = self._value * share + self.level * (1 - share)
        self._at = now
