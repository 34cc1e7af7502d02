"""The kind ``client_blocks``: client address blocks of a region."""

import typing

from jasminehold.resources import fields
from jasminehold.resources import kinds

MAX_BLOCKS = 10000


class ClientBlock(typing.TypedDict):
    """An address block; ``site`` is the place nearest to its clients."""

    cidr: str
    site: str


class ClientBlocksSpec(typing.TypedDict):
    """Spec of client blocks."""

    region: str
    blocks: list[ClientBlock]


_BLOCK = fields.struct(
    {
        'cidr': fields.required(fields.cidr),
        'site': fields.required(fields.name),
    }
)


def _check(spec, faults):
    seen = set()
    for index, block in enumerate(spec['blocks']):
        if block['cidr'] in seen:
            faults.add('spec.blocks[%d].cidr' % index, 'is listed twice')
        seen.add(block['cidr'])


def _references(spec):
    yield 'spec.region', 'region', spec['region']
    seen = set()
    for index, block in enumerate(spec['blocks']):
        if block['site'] not in seen:
            seen.add(block['site'])
            yield 'spec.blocks[%d].site' % index, 'place', block['site']


KIND = kinds.ResourceKind(
    'client_blocks',
    {
        'region': fields.required(fields.name),
        'blocks': fields.required(fields.list_of(_BLOCK, MAX_BLOCKS)),
    },
    _check,
    _references,
)
