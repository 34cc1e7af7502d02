"""Plain counters and gauges, copied to aioprometheus when scraped.

An increment of an ``aioprometheus`` counter with a label costs about 6 µs, so
the hot path counts in plain dictionaries and :func:`render` copies them.

Example:
    >>> counters = Metrics()
    >>> counters.inc('requests_total', service='loja')
    >>> counters.value('requests_total', service='loja')
    1
"""

import aioprometheus
from aioprometheus import formats

# Upper bounds in seconds; look-ups take under a millisecond and deadlines
# end at a minute.
LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    60.0,
)


class Metrics:
    """Counters, gauges and latency histograms of one process."""

    def __init__(self):
        self._counters = {}
        self._gauges = {}
        self._sums = {}

    def inc(self, name, amount=1, **labels):
        """Add to a counter.

        Args:
            name: metric name without the ``jasminehold_`` prefix.
            amount: what to add.
            **labels: label values.
        """
        key = (name, tuple(labels.items()))
        self._counters[key] = self._counters.get(key, 0) + amount

    def set(self, name, value, **labels):
        """Set a gauge."""
        self._gauges[(name, tuple(labels.items()))] = value

    def observe(self, name, seconds, **labels):
        """Add one latency, in seconds, to a histogram's buckets."""
        key = (name, tuple(labels.items()))
        cell = self._sums.get(key)
        if cell is None:
            cell = self._sums[key] = [0] * (len(LATENCY_BUCKETS_S) + 2)
        for index, bound in enumerate(LATENCY_BUCKETS_S):
            if seconds <= bound:
                cell[index] += 1
                break
        cell[-2] += 1
        cell[-1] += seconds

    def value(self, name, **labels):
        """Return a counter's value, 0 when it was never incremented."""
        return self._counters.get((name, tuple(labels.items())), 0)

    def total(self, name):
        """Return the sum of a counter over all its labels."""
        return sum(
            count for key, count in self._counters.items() if key[0] == name
        )

    def snapshot(self):
        """Return all counters and gauges as ``{name: {labels: value}}``."""
        result = {}
        for source in (self._counters, self._gauges):
            for (name, labels), value in source.items():
                result.setdefault(name, {})[labels] = value
        return result

    def render(self):
        """Return the metrics in Prometheus' text format, as bytes."""
        registry = aioprometheus.Registry()
        made = {}

        def collector(kind, name):
            if name not in made:
                made[name] = kind(
                    'jasminehold_' + name,
                    name.replace('_', ' '),
                    registry=registry,
                )
            return made[name]

        for (name, labels), value in self._counters.items():
            collector(aioprometheus.Counter, name).set(dict(labels), value)
        for (name, labels), value in self._gauges.items():
            collector(aioprometheus.Gauge, name).set(dict(labels), value)
        for (name, labels), cell in self._sums.items():
            _copy_histogram(collector, name, dict(labels), cell)
        return formats.text.TextFormatter().marshall(registry)


def _copy_histogram(collector, name, labels, cell):
    running = 0
    for index, bound in enumerate(LATENCY_BUCKETS_S):
        running += cell[index]
        collector(aioprometheus.Counter, name + '_bucket').set(
            {**labels, 'le': str(bound)}, running
        )
    collector(aioprometheus.Counter, name + '_bucket').set(
        {**labels, 'le': '+Inf'}, cell[-2]
    )
    collector(aioprometheus.Counter, name + '_count').set(labels, cell[-2])
    collector(aioprometheus.Counter, name + '_sum').set(labels, cell[-1])
