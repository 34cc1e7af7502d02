"""Counters, gauges and histograms, exported with aioprometheus.

Incrementing a labelled ``aioprometheus`` counter takes about 6 µs, so values
are kept in dictionaries, which :meth:`Metrics.render` copies on each scrape.

Example:
    >>> counters = Metrics()
    >>> counters.inc('requests_total', service='loja')
    >>> counters.value('requests_total', service='loja')
    1
"""

import aioprometheus
from aioprometheus import formats

# Upper bounds of the buckets: lookups take less than 1 ms, and deadlines are
# at most 1 minute.
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
        # By series: count of each bucket, then the total count and the sum.
        self._histograms = {}

    def inc(self, name, amount=1, **labels):
        """Add to a counter.

        Args:
            name: metric name without the ``jasminehold_`` prefix.
            amount: number to add.
            **labels: label values.
        """
        key = (name, tuple(labels.items()))
        self._counters[key] = self._counters.get(key, 0) + amount

    def set(self, name, value, **labels):
        """Set a gauge."""
        self._gauges[(name, tuple(labels.items()))] = value

    def observe(self, name, seconds, **labels):
        """Add a latency, in seconds, to a histogram."""
        key = (name, tuple(labels.items()))
        counts = self._histograms.get(key)
        if counts is None:
            counts = self._histograms[key] = [0] * (len(LATENCY_BUCKETS_S) + 2)
        for index, bound in enumerate(LATENCY_BUCKETS_S):
            if seconds <= bound:
                counts[index] += 1
                break
        counts[-2] += 1
        counts[-1] += seconds

    def value(self, name, **labels):
        """Return the value of a counter, 0 if it was never incremented."""
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
        """Return the metrics in the Prometheus text format, as bytes."""
        registry = aioprometheus.Registry()
        collectors = {}

        def collector(kind, name):
            if name not in collectors:
                collectors[name] = kind(
                    'jasminehold_' + name,
                    name.replace('_', ' '),
                    registry=registry,
                )
            return collectors[name]

        for (name, labels), value in self._counters.items():
            collector(aioprometheus.Counter, name).set(dict(labels), value)
        for (name, labels), value in self._gauges.items():
            collector(aioprometheus.Gauge, name).set(dict(labels), value)
        for (name, labels), counts in self._histograms.items():
            _copy_histogram(collector, name, dict(labels), counts)
        return formats.text.TextFormatter().marshall(registry)


def _copy_histogram(collector, name, labels, series):
    cumulative = 0
    for index, bound in enumerate(LATENCY_BUCKETS_S):
        cumulative += series[index]
        collector(aioprometheus.Counter, name + '_bucket').set(
            {**labels, 'le': str(bound)}, cumulative
        )
    collector(aioprometheus.Counter, name + '_bucket').set(
        {**labels, 'le': '+Inf'}, series[-2]
    )
    collector(aioprometheus.Counter, name + '_count').set(labels, series[-2])
    collector(aioprometheus.Counter, name + '_sum').set(labels, series[-1])
