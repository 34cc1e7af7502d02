"""Tables and plots of ``deployment.py``."""

import collections
import json

from hdrh import histogram
import matplotlib

matplotlib.use('Agg')
from matplotlib import pyplot  # noqa: E402

# Latencies up to a minute in microseconds, three digits.
HIGHEST_US = 60_000_000
BIN_S = 1.0
QUIET_S = 0.5


class Cell:
    """Results of one kind of request in one phase."""

    def __init__(self):
        self.counts = collections.Counter()
        self.kinds = collections.Counter()
        self.ok = histogram.HdrHistogram(1, HIGHEST_US, 3)
        self.refused = histogram.HdrHistogram(1, HIGHEST_US, 3)
        self.without_time = 0

    def add(self, record):
        """Count one record of the load."""
        outcome, latency = record[5], int(record[6] * 1e6)
        self.counts[outcome] += 1
        if outcome == 'ok':
            self.ok.record_value(min(latency, HIGHEST_US))
        else:
            self.kinds[record[9] or outcome] += 1
        if outcome == 'refused':
            self.refused.record_value(min(latency, HIGHEST_US))
            self.without_time += not record[7]


def _ms(hist, percentile):
    if not hist.total_count:
        return '-'
    return '%.0f' % (hist.get_value_at_percentile(percentile) / 1000)


def _records(run):
    found = []
    for path in sorted(run.out.glob('load-?.json')):
        with open(path) as file:
            found += json.load(file)
    return found


def _samples(run):
    """Return samples by group, in order of time."""
    found = {}
    for path in sorted(run.out.glob('samples-*.jsonl')):
        with open(path) as file:
            lines = file.read().split('\n')
        # The last line of a killed process may be cut.
        found[path.stem[8:]] = [
            json.loads(line) for line in lines if line.endswith('}')
        ]
    return found


def headroom(run, samples, start, end):
    """Return ``{place: [headroom per second]}`` between two times.

    Headroom is the share of a place's slots that no request takes or waits
    for; a place without samples has none.
    """
    slots = collections.Counter()
    for one in run.upstreams.values():
        slots[one['place']] += one['slots']
    found = {}
    for place in run.places:
        used = collections.defaultdict(lambda: collections.defaultdict(list))
        for group, lines in samples.items():
            for line in lines:
                if line['place'] == place and start <= line['at'] < end:
                    index = int((line['at'] - start) / BIN_S)
                    busy = sum(line['busy'].values())
                    busy += sum(line['waiting'].values())
                    used[index][group].append(busy)
        found[place] = [
            1
            - sum(sum(v) / len(v) for v in used[index].values()) / slots[place]
            for index in range(int((end - start) / BIN_S))
            if index in used
        ]
    return found


def link_rates(run, samples, start, end):
    """Return ``{(from, to): [requests a second]}`` for the capped links."""
    found = {}
    count = int((end - start) / BIN_S)
    for (one, other), _ in run.links.items():
        rates = [0.0] * count
        for lines in samples.values():
            last = None
            for line in lines:
                if line['place'] != other:
                    continue
                value = line['arrivals'].get(one, 0)
                if last is not None and start <= line['at'] < end:
                    index = int((line['at'] - start) / BIN_S)
                    if index < count:
                        rates[index] += (value - last) / BIN_S
                last = value
        found[one, other] = rates
    return found


def drain_times(run, samples):
    """Return lines on each drain: last start of work and time to empty."""
    found = []
    for at, event in run.notes:
        if event == 'drain_upstream':
            names = {run.solo}
        elif event == 'drain_place':
            names = {
                n
                for n, o in run.upstreams.items()
                if o['place'] == run.places[2]
            }
        else:
            continue
        last_work, empty = at, at
        for lines in samples.values():
            before = None
            for line in lines:
                done = sum(line['executions'].get(n, 0) for n in names)
                busy = sum(line['busy'].get(n, 0) for n in names)
                if line['at'] > at:
                    if before is not None and done > before:
                        last_work = max(last_work, line['at'])
                    if busy:
                        empty = max(empty, line['at'])
                before = done
        found.append(
            '| drain | %s | last new work %.1f s after acceptance, '
            'empty after %.1f s |' % (event, last_work - at, empty - at)
        )
    return found


def write(run, label, phases, duplicates):
    """Print the table of one run and write its plots."""
    records, samples = _records(run), _samples(run)
    cells = collections.defaultdict(Cell)
    for record in records:
        cells[record[1], record[2]].add(record)
        cells[record[1], 'all'].add(record)
        cells[record[1], 'from ' + record[4]].add(record)
    phases = [
        p
        for p in phases
        if p['name'].partition(' ')[0] not in ('warm-up', 'pause')
    ]
    sections = [
        _latency(run, phases, cells),
        _headroom(run, phases, samples),
        ['| measure | what | result |', '|---|---|---|']
        + drain_times(run, samples),
    ]
    if run.deployment.name == 'ferromodelos':
        sections[:2] = [sections[1], sections[0]]
    for section in sections:
        if len(section) > 2:
            print('\n'.join(section) + '\n')
    print('load sent late, p50 and p99 by phase, ms: ' + _lateness(records))
    print(
        'orders run: %d, keys run more than once: %d' % duplicates, flush=True
    )
    _plot(run, label, phases, records, samples)


def _lateness(records):
    """Return how late the load was sent, which shows a busy machine."""
    found = collections.defaultdict(list)
    for record in records:
        found[record[1]].append(1000 * record[10])
    parts = []
    for phase, values in found.items():
        values.sort()
        middle, high = len(values) // 2, int(len(values) * 0.99)
        parts.append('%s %.1f %.1f' % (phase, values[middle], values[high]))
    return ', '.join(parts)


def _latency(run, phases, cells):
    lines = [
        '| phase | kind | offered/s | ok/s | refused % | failed % | not sent '
        '| ok p50 ms | ok p99 ms | refused p99 ms | without Retry-After '
        '| refusals and failures |',
        '|---' * 12 + '|',
    ]
    for phase in phases:
        seconds = phase['end'] - phase['start']
        kinds = ['look-up', 'order', 'all']
        if len(phases) > 2 and 'lost' in phases[-1]['name']:
            kinds += ['from ' + region for region in run.deployment.places]
        for kind in kinds:
            cell = cells[phase['name'], kind]
            total = sum(cell.counts.values()) or 1
            failed = cell.counts['failed'] + cell.counts['no-answer']
            lines.append(
                '| %s | %s | %.0f | %.1f | %.2f | %.2f | %d | %s | %s | %s '
                '| %d | %s |'
                % (
                    phase['name'],
                    kind,
                    total / seconds,
                    cell.counts['ok'] / seconds,
                    100 * cell.counts['refused'] / total,
                    100 * failed / total,
                    cell.counts['not-sent'],
                    _ms(cell.ok, 50),
                    _ms(cell.ok, 99),
                    _ms(cell.refused, 99),
                    cell.without_time,
                    ', '.join('%s %d' % i for i in cell.kinds.most_common(4)),
                )
            )
    return lines


def _headroom(run, phases, samples):
    lines = [
        '| phase | place or link | lowest headroom % | mean headroom % |',
        '|---|---|---|---|',
    ]
    for phase in phases:
        free = headroom(run, samples, phase['start'], phase['end'])
        for place, values in free.items():
            if values:
                lines.append(
                    '| %s | %s | %.0f | %.0f |'
                    % (
                        phase['name'],
                        place,
                        100 * min(values),
                        100 * sum(values) / len(values),
                    )
                )
        rates = link_rates(run, samples, phase['start'], phase['end'])
        ranked = []
        for pair, values in rates.items():
            cap = run.links[pair]
            if values and max(values):
                ranked.append(
                    (
                        1 - max(values) / cap,
                        1 - sum(values) / len(values) / cap,
                        '%s to %s (cap %d/s)' % (*pair, cap),
                    )
                )
        for low, mean, name in sorted(ranked)[:3]:
            lines.append(
                '| %s | %s | %.0f | %.0f |'
                % (phase['name'], name, 100 * low, 100 * mean)
            )
    return lines


def _plot(run, label, phases, records, samples):
    start, end = phases[0]['start'], phases[-1]['end']
    figure, axes = pyplot.subplots(3, 1, figsize=(9, 9), sharex=True)
    for kind in ('look-up', 'order'):
        bins = collections.defaultdict(list)
        for record in records:
            if record[2] == kind and record[5] == 'ok' and record[0] >= start:
                bins[int(record[0] - start)].append(record[6] * 1000)
        xs = sorted(bins)
        for part, style in ((0.5, '--'), (0.99, '-')):
            ys = [sorted(bins[x])[int(len(bins[x]) * part)] for x in xs]
            axes[0].plot(xs, ys, style, label='%s p%g' % (kind, 100 * part))
    axes[0].set_ylabel('latency, ms')
    for place, values in headroom(run, samples, start, end).items():
        axes[1].plot([100 * v for v in values], label=place)
    axes[1].set_ylabel('headroom of places, %')
    rates = link_rates(run, samples, start, end)
    top = sorted(rates, key=lambda pair: -max(rates[pair] or [0]))[:4]
    for pair in top:
        axes[2].plot(
            [100 * (1 - v / run.links[pair]) for v in rates[pair]],
            label='%s to %s' % pair,
        )
    axes[2].set_ylabel('headroom of links, %')
    axes[2].set_xlabel('seconds')
    for axis in axes:
        axis.legend(fontsize=7, ncol=3)
        for phase in phases[1:]:
            axis.axvline(phase['start'] - start, color='grey', linewidth=0.5)
    figure.savefig('out/%s.png' % label)
    pyplot.close(figure)
