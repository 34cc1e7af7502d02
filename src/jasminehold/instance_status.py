"""State of the instances in front of upstreams, read from their metrics.

Example:
    >>> parse('jasminehold_upstreams_known 3')
    {'upstreams_known': 3.0}
"""

import http.client
import re
import typing

METRIC_PREFIX = 'jasminehold_'
TIMEOUT_S = 3.0

_METRIC_LINE = re.compile(
    r'^%s(\w+)(?:\{(.*)\})? (\S+)' % METRIC_PREFIX, re.MULTILINE
)
_LABEL = re.compile(r'(\w+)="([^"]*)"')


class Status(typing.NamedTuple):
    """State of one instance.

    Attributes:
        address: address of its metrics.
        instance: its id, '' if it did not answer.
        place: its availability zone.
        state: ``serving``, ``leaving``, ``waiting`` (no configuration yet),
            ``behind`` (an older configuration than another instance) or
            ``silent`` (no answer).
        config: version of the configuration in force, 0 for none.
        copy_age_s: age in seconds of its copy of the store, None before the
            first read.
        upstreams: number of known upstreams.
        left_out: number of upstreams excluded after failures.
        draining: number of upstreams that are draining.
        cold: number of upstreams that are cold.
        instances: number of known live instances.
        in_flight: number of requests in flight.
        error: reason of the state ``silent``, otherwise ''.
    """

    address: str
    instance: str = ''
    place: str = ''
    state: str = 'silent'
    config: int = 0
    copy_age_s: float = None
    upstreams: int = 0
    left_out: int = 0
    draining: int = 0
    cold: int = 0
    instances: int = 0
    in_flight: int = 0
    error: str = ''


def parse(text):
    """Return ``{name: value}`` of metrics in Prometheus' text format.

    For a metric whose name ends with ``_info``, the value is the dictionary
    of its labels. Other metrics with labels are skipped.
    """
    metrics = {}
    for name, labels, value in _METRIC_LINE.findall(text):
        if name.endswith('_info'):
            metrics[name] = dict(_LABEL.findall(labels))
        elif not labels:
            metrics[name] = float(value)
    return metrics


def fetch(address):
    """Return the :class:`Status` of the instance with a metrics address."""
    conn = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        conn.request('GET', '/metrics')
        text = conn.getresponse().read().decode()
    except (OSError, http.client.HTTPException, ValueError) as exc:
        return Status(address, error=str(exc) or type(exc).__name__)
    finally:
        conn.close()
    metrics = parse(text)
    info = metrics.get('instance_info')
    if info is None:
        return Status(
            address,
            error='answers, but not as an instance in front of upstreams',
        )
    state = 'serving' if metrics['configuration_version'] else 'waiting'
    if metrics['instance_leaving']:
        state = 'leaving'
    return Status(
        address,
        info['instance'],
        info['place'],
        state,
        int(metrics['configuration_version']),
        metrics.get('store_copy_age_seconds'),
        *(
            int(metrics[name])
            for name in (
                'upstreams_known',
                'upstreams_left_out',
                'upstreams_draining',
                'upstreams_cold',
                'instances_known',
                'requests_in_flight',
            )
        ),
    )


def mark_outdated(statuses):
    """Set the state of instances with an older configuration to ``behind``."""
    newest = max((item.config for item in statuses), default=0)
    return [
        (
            item._replace(state='behind')
            if item.state == 'serving' and item.config < newest
            else item
        )
        for item in statuses
    ]
