"""Publishes the platform's configuration and plans by gossip.

A relay reads all keys below ``state/`` once and then keeps one watch open.
Besides the documents it publishes the head: the revision and the digest of the
configuration. An instance with the same digest has exactly that configuration
in force. Each answer to the watch shows that the digest still holds.
"""

from jasminehold import config as config_module
from jasminehold.decisions import config_freshness
from jasminehold import documents
from jasminehold import errors
from jasminehold import logs
from jasminehold import store

PREFIX = 'state/'
HEAD_KEY = 'head/config'
# Short, so that each answer proves the copy recent, see
# ``config_freshness.RENEW_AGE_S``.
WATCH_WAIT_S = 1.0
RETRY_S = 0.5
RETRY_MAX_S = 5.0

_log = logs.get('relay')


class Relay:
    """Watches the platform while this instance holds a relay duty.

    Args:
        loop: the event loop.
        client: the platform client.
        publish: ``publish(key, value, version)`` sends a document to all
            instances.
        rng: random source of the jitter.
        metrics: counters.
        on_read: ``on_read(digest, sent_at)``, called after each read that
            shows what the store holds.
    """

    def __init__(
        self,
        loop,
        client,
        publish,
        rng,
        metrics,
        on_read=lambda digest, sent_at: None,
    ):
        self._loop = loop
        self._client = client
        self._publish = publish
        self._rng = rng
        self._metrics = metrics
        self._on_read = on_read
        self._reads = config_freshness.StoreReads()
        self._duties = set()
        self._duty_epoch = 0
        self._failures = 0
        self._relayed = config_module.ConfigSet()

    @property
    def active(self):
        """Whether this instance holds a relay duty."""
        return bool(self._duties)

    def on_duty_change(self, name, token):
        """Start or stop relaying; see ``Duties.on_change``."""
        if not name.startswith('relay/'):
            return
        before = self.active
        if token is None:
            self._duties.discard(name)
        else:
            self._duties.add(name)
        if self.active == before:
            return
        self._duty_epoch += 1
        if self.active:
            self._relayed = config_module.ConfigSet()
            self._reads = config_freshness.StoreReads()
            self._read_pages('', self._duty_epoch)

    def _retry_later(self, func, *args):
        self._failures += 1
        bound = min(RETRY_S * 2 ** min(self._failures, 8), RETRY_MAX_S)
        delay = RETRY_S / 2 + self._rng.uniform(0, bound)
        self._loop.call_later(delay, func, *args)

    def _read_pages(self, after, epoch, revision=None):
        """Read all pages, then watch from the revision of the first page."""
        if epoch != self._duty_epoch:
            return
        if not after and self._reads.is_outdated(self._client.era):
            self._relayed = config_module.ConfigSet()
            self._reads.start(self._client.era)

        def done(page, exc):
            if epoch != self._duty_epoch:
                return
            if exc is not None:
                self._retry_later(self._read_pages, after, epoch, revision)
                return
            self._failures = 0
            if self._reads.is_outdated(self._client.era):
                self._read_pages('', epoch)
                return
            start = page.revision if revision is None else revision
            for item in page.items:
                self._publish_item(item.key, item.value, item.version)
            if page.more:
                self._read_pages(page.items[-1].key, epoch, start)
                return
            self._publish_head()
            self._reads.complete(self._loop.now())
            self._watch(start, epoch)

        self._client.list(PREFIX, after, done)

    def _watch(self, revision, epoch):
        if epoch != self._duty_epoch:
            return
        sent_at = self._loop.now()

        def done(changes, exc):
            if epoch != self._duty_epoch:
                return
            if isinstance(exc, errors.Compacted):
                self._metrics.inc('relay_resyncs_total')
                self._read_pages('', epoch)
            elif exc is not None:
                self._retry_later(self._watch, revision, epoch)
            elif self._reads.is_outdated(self._client.era):
                # The store came back from an older copy.
                self._metrics.inc('relay_resyncs_total')
                self._read_pages('', epoch)
            else:
                self._failures = 0
                self._on_changes(changes)
                if self._reads.is_conclusive(sent_at):
                    self._on_read(self._relayed.digest(), sent_at)
                self._watch(changes.revision, epoch)

        self._client.watch(PREFIX, revision, WATCH_WAIT_S, done)

    def _on_changes(self, changes):
        for event in changes.events:
            if not event.deleted:
                self._publish_item(event.key, event.value, event.version)
        self._publish_head()
        if changes.events:
            self._complete_audit(list(changes.events))

    def _publish_item(self, key, value, version):
        try:
            doc = documents.decode(value)
            if config_module.split_key(key) is not None:
                config_module.check(key, doc)
            self._publish(key, doc, version)
        except (
            errors.UnreadableDocument,
            errors.PeerError,
            ValueError,
        ) as exc:
            # Too large, or of values that no message can carry.
            self._metrics.inc('relay_faulty_documents_total')
            _log('document skipped', level='error', key=key, error=exc)
            return
        self._metrics.inc('relay_documents_total')
        # The head needs only keys, versions and what is deleted. Keeping the
        # values would store all client blocks a second time after a relay
        # read them again.
        value = {'deleted': True} if doc.get('deleted') else {}
        entry = {'key': key, 'value': value, 'version': version}
        self._relayed.apply([entry], 0)

    def _publish_head(self):
        versions = self._relayed.versions()
        if versions:
            revision = max(versions.values())
            value = {'revision': revision, 'digest': self._relayed.digest()}
            self._publish(HEAD_KEY, value, revision)

    def _complete_audit(self, events):
        def done(written, exc):
            if exc is not None and self.active:
                self._retry_later(self._complete_audit, events)
            elif written:
                self._metrics.inc('relay_audit_entries_total', written)

        store.complete_audit(self._client, events, done)
