"""The configuration with the defaults of absent fields filled in."""

from jasminehold import resources


class EffectiveConfig:
    """Config set whose specs contain the defaults of absent fields.

    Documents are stored as operators declared them, so that a client can read
    a document and send it back unchanged. Decisions need complete specs.

    Args:
        config: the :class:`config.ConfigSet`.
    """

    def __init__(self, config):
        self._config = config
        self._completed_docs = {}
        config.add_listener(self._on_change)

    def all(self, kind):
        """Return the documents of a kind with complete specs, by name."""
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
