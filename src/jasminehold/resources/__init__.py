"""Resource kinds and the validation of declared resources.

Example:
    >>> faults = check('region', {'capacity_rps': -1})
    >>> faults[0]['path']
    'spec.capacity_rps'
"""

import json

from jasminehold import errors
from jasminehold.resources import client_blocks
from jasminehold.resources import drain
from jasminehold.resources import fields
from jasminehold.resources import legacy_share
from jasminehold.resources import link
from jasminehold.resources import movement
from jasminehold.resources import place
from jasminehold.resources import region
from jasminehold.resources import service
from jasminehold.resources import traffic_split
from jasminehold.resources import upstream

# In declaration order: a kind refers only to kinds listed before it.
KINDS = {
    module.KIND.name: module.KIND
    for module in (
        service,
        region,
        place,
        link,
        upstream,
        client_blocks,
        traffic_split,
        movement,
        legacy_share,
        drain,
    )
}

# A peer message carries one document of at most 512 KiB, of which 4 KiB are
# reserved for the metadata and the last change.
MAX_SPEC_BYTES = 508 * 1024

_METADATA = fields.struct(
    {
        'name': fields.required(fields.name),
        'resource_version': fields.Field(fields.integer(0, 2**63 - 1)),
        'generation': fields.Field(fields.integer(0, 2**63 - 1)),
    }
)
_DOCUMENT_FIELDS = ('kind', 'metadata', 'spec', 'status', 'change', 'deleted')


def check(kind, spec, config=None):
    """Validate a spec and return all faults.

    Args:
        kind: name of a known kind.
        spec: the parsed value.
        config: the :class:`config.ConfigSet` in which references must
            exist, or None to skip that check.

    Returns:
        A list of ``{'path', 'error'}``, empty when the spec is valid.
    """
    faults = fields.Faults()
    resource_kind = KINDS[kind]
    fields.struct(resource_kind.fields)(spec, 'spec', faults)
    if faults:
        return faults
    resource_kind.check(spec, faults)
    if config is not None:
        for path, referenced_kind, name in resource_kind.references(spec):
            if config.get(referenced_kind, name) is None:
                faults.add(path, 'unknown %s %s' % (referenced_kind, name))
    if len(json.dumps(spec)) > MAX_SPEC_BYTES:
        faults.add('spec', 'must have at most %d bytes' % MAX_SPEC_BYTES)
    return faults


def check_document(kind, name, doc, config=None):
    """Validate a document that an operator declares.

    ``status`` and ``change``, which a read returns, are accepted and ignored
    so that a document can be read, edited and sent back.

    Args:
        kind: kind in the URL path.
        name: name in the URL path.
        doc: the parsed body.
        config: see :func:`check`.

    Raises:
        ResourceNotFound: if the kind is unknown.
        InvalidResource: if there are faults, listed in ``details``.
    """
    require_kind(kind)
    faults = fields.Faults()
    if not isinstance(doc, dict):
        faults.add('', 'must be an object')
        raise errors.InvalidResource(details=faults)
    for key in doc:
        if key not in _DOCUMENT_FIELDS:
            faults.add(fields.shorten(key), 'unknown field')
    if doc.get('kind', kind) != kind:
        faults.add('kind', 'must be %s as in the path' % kind)
    metadata = doc.get('metadata', {'name': name})
    if isinstance(metadata, dict):
        metadata = {'name': name, **metadata}
    _METADATA(metadata, 'metadata', faults)
    if not faults and metadata['name'] != name:
        faults.add('metadata.name', 'must be %s as in the path' % name)
    faults.extend(check(kind, doc.get('spec'), config))
    if faults:
        raise errors.InvalidResource(details=faults)


def require_kind(kind):
    """Raise ``ResourceNotFound`` if a kind is unknown."""
    if not isinstance(kind, str) or kind not in KINDS:
        raise errors.ResourceNotFound(
            'Unknown kind; known: %s.' % ', '.join(sorted(KINDS))
        )


def with_defaults(kind, spec):
    """Return a copy of a valid spec with defaults for absent fields."""
    result = {
        key: field.default
        for key, field in KINDS[kind].fields.items()
        if field.default is not fields.REQUIRED
    }
    result.update(spec)
    return result
