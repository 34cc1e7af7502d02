"""Measurements of one service at one place."""

from jasminehold.decisions import demand


class PlaceStats:
    """What this instance saw of one service at one place."""

    def __init__(self):
        self.sent = demand.AverageRate()
        self.shed = demand.AverageRate()
        self.latency_s = 0.0
        self.at = None

    def note(self, result, latency_s, now):
        """Record the end of an attempt."""
        self.sent.add(now)
        self.at = now
        if result in ('refused', 'leaving'):
            self.shed.add(now)
        elif result == 'ok':
            self.latency_s += 0.1 * (latency_s - self.latency_s)
