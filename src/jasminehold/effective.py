"""The configuration with the defaults of absent fields filled in."""

from jasminehold import resources


class EffectiveConfig:
    """View of a config set in which each spec is complete.

    Documents are stored as operators declared them, so that a document that
    was read can be sent back unchanged; rules need whole specs.

    Args:
        config: the :class:`config.ConfigSet`.
    """

    def __init__(self, config):
        self._config = config
        self._completed_docs = {}
        config.add_listener(self._on_change)

    def all(self, kind):
        """Return the complete documents of a kind, sorted by name."""
        docs = self._completed_docs.get(kind)
        if docs is None:
            docs = self._completed_docs[kind] = [
                {**doc, 'spec': resources.with_defaults(kind, doc['spec'])}
                for doc in self._config.all(kind)
            ]
        return docs

    def version_of(self, kind, name):
        """Return the version of a resource, 0 when it is unknown."""
        return self._config.version_of(kind, name)

    def _on_change(self, entries):
        for entry in entries:
            kind = entry['value']['kind']
            self._completed_docs.pop(kind, None)
