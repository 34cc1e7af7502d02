"""Request statistics of one service at one place."""

from jasminehold.decisions import demand


class PlaceStats:
    """Rates and latency of this instance's attempts for one service."""

    def __init__(self):
        self.sent = demand.AverageRate()
        self.shed = demand.AverageRate()
        self.latency_s = 0.0
        self.updated_at = None

    def record(self, result, latency_s, now):
        """Record the result of an attempt."""
        self.sent.add(now)
        self.updated_at = now
        if result in ('refused', 'leaving'):
            self.shed.add(now)
        elif result == 'ok':
            self.latency_s += 0.1 * (latency_s - self.latency_s)
