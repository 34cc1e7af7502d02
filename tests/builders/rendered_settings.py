"""Settings files of instances, as the platform renders them."""

import pathlib
import re

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy' / 'instance.json'
# Values that the platform fills in, as JSON texts.
FIELDS = {
    'Node': '"front-sul-a-1"',
    'Zone': '"sul-a"',
    'Zones': '{"sul-a": "sul", "norte-a": "norte"}',
    'Listen.Front': '"192.0.2.8:8144"',
    'Listen.Ready': '"192.0.2.8:8140"',
    'Listen.Directory': '"192.0.2.8:8143"',
    'Listen.Control': '"192.0.2.8:8146"',
    'Ip': '192.0.2.8',
    'Seeds': '["192.0.2.8:8146"]',
    'InternalPortRange': '[7660, 7675]',
    'Platform.Addr': '"192.0.2.9:8142"',
    'Limits.MaxFds': '4100',
    'Limits.CpuShare': '0.86',
    'Limits.Cpus': '1',
    'Limits.LinkMbps': '1000.0',
    'Bounds.ApplyMs': '2500',
    'Bounds.GraceS': '6',
    'Bounds.StrictRevoke': 'true',
    'Bounds.RevokeMs': '5000',
    'Bounds.QuotaWindowS': '5',
    'Bounds.QuotaOverage': '0.1',
    'Bounds.QuotaSlack': '20',
    'Limits.MemoryMb': '300',
    'Bounds.RetryRatio': '0.2',
    'Bounds.RetryBurst': '58',
    'Bounds.RetryWindowS': '10',
    'Bounds.ColdOver': '1.5',
    'Bounds.ColdSlack': '5',
}


def render(changes):
    """Return the text of the template with fields filled in.

    Args:
        changes: ``{field: JSON text}`` that differ from :data:`FIELDS`.
    """
    values = {**FIELDS, **changes}
    return re.sub(
        r'{{([A-Za-z.]+)(?:\|json)?}}',
        lambda match: values[match.group(1)],
        TEMPLATE.read_text(),
    )


def as_document(cfg):
    """Return the JSON document of validated settings."""
    doc = {
        name: '%s:%d' % value if name.endswith('listen') else value
        for name, value in cfg._asdict().items()
    }
    doc['store'] = '%s:%d' % cfg.store
    doc['seeds'] = ['%s:%d' % item for item in cfg.seeds]
    doc['internal_ports'] = list(cfg.internal_ports)
    return doc
