"""Confirms the first copy of the store of an instance that starts.

The store may have gone back to an older copy shortly before. What it lost is
known to the peers until it is written again.

Message on the streams between instances: ``kept_items``, with the era of the
sender's copy; the reply has what the receiver keeps beyond the store's list.
"""

import functools

from jasminehold.decisions import store_replica
from jasminehold import errors
from jasminehold.peers import packed

ASK_TIMEOUT_S = 0.5
MAX_ASKED_AT_ONCE = 2
# A reply may repeat a large configuration, and arrives also when it is late.
MAX_FAILED = 4
# Pause before a peer is asked again whose copy is of another era.
ASK_AGAIN_S = 0.1


class FirstCopy:
    """Holds the first copy back until a peer confirms it, for a short time.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        mesh: the :class:`~jasminehold.peers.mesh.Mesh`.
        reader: the :class:`~jasminehold.front.reader.StoreReader`.
        on_change: called with the set of changed keys.
        on_in_force: called with the set of all keys when they are in force.
        tell: called with the id of an instance that starts, to tell it what
            does not stand in the store. Its link may have come up unnoticed:
            that of its former process may still be open.
        metrics: counters.
        log: structured log.

    Attributes:
        in_force: whether decisions may rest on the copy.
    """

    def __init__(
        self, loop, mesh, reader, on_change, on_in_force, tell, metrics, log
    ):
        self.in_force = False
        self._loop = loop
        self._mesh = mesh
        self._reader = reader
        self._replica = reader.replica
        self._on_change = on_change
        self._on_in_force = on_in_force
        self._tell = tell
        self._metrics = metrics
        self._log = log
        self._held_since = None
        self._waiting = []
        self._asked = set()
        self._failed = 0
        mesh.handle('kept_items', self._on_asked)

    def on_copy(self):
        """Start to wait and to ask, when the copy holds its first list."""
        if self._held_since is not None:
            return
        now = self._loop.now()
        self._held_since = now
        self._loop.call_later(
            self._replica.in_force_in_s(now), self._put_in_force, None
        )
        self._ask_next()

    def on_link_up(self, name):
        """Ask a peer, unless the copy is confirmed."""
        if name not in self._waiting:
            self._waiting.append(name)
        self._ask_next()

    def _ask_next(self):
        if self._held_since is None:
            return
        if (
            self._replica.is_confirmed(self._loop.now())
            or self._failed >= MAX_FAILED
        ):
            self._waiting.clear()
            return
        while self._waiting and len(self._asked) < MAX_ASKED_AT_ONCE:
            name = self._waiting.pop(0)
            self._asked.add(name)
            self._mesh.ask(
                name,
                {'type': 'kept_items', 'era': self._replica.era},
                ASK_TIMEOUT_S,
                functools.partial(self._on_reply, name),
            )

    def _on_reply(self, name, answer, exc):
        self._asked.discard(name)
        outcome = 'failed'
        if exc is None:
            try:
                outcome = self._take(name, answer)
            except errors.MALFORMED_MESSAGE_ERRORS as fault:
                exc = fault
        if exc is not None:
            self._failed += 1
            self._log('no kept items from peer', peer=name, error=exc)
        self._metrics.inc('kept_items_asked_total', result=outcome)
        self._ask_next()

    def _take(self, name, answer):
        # Returns the outcome for the metric.
        era = answer['era']
        if era != self._replica.era:
            if era > self._replica.era:
                self._reader.read_soon()
            self._loop.call_later(ASK_AGAIN_S, self.on_link_up, name)
            return 'other_era'
        kept = _decode(packed.unpack(answer['packed']))
        changed = self._replica.merge_kept(kept, self._loop.now())
        if changed:
            self._on_change(changed)
        if kept.confirmed:
            self._put_in_force(name)
        return 'confirmed' if kept.confirmed else 'unconfirmed'

    def _put_in_force(self, peer):
        if self.in_force:
            return
        self.in_force = True
        replica = self._replica
        self._log(
            'first copy in force',
            confirmed_by=peer,
            after_s=round(self._loop.now() - self._held_since, 3),
            era=replica.era,
            revision=replica.revision,
        )
        self._on_in_force(set(replica.items))

    def _on_asked(self, sender, message, reply):
        replica = self._replica
        if not replica.revision:
            reply(None, 'no copy yet')
            return
        era = int(message['era'])
        if era > replica.era:
            # The sender asks again.
            self._reader.read_soon()
        if era != replica.era:
            reply({'era': replica.era})
            return
        self._tell(sender)
        kept = replica.kept(self._loop.now())
        reply({'era': era, 'packed': packed.pack(kept._asdict())})


def _decode(answer):
    return store_replica.Kept(
        [(_item(row), float(left_s)) for row, left_s in answer['lost']],
        [_item(row) for row in answer['lapsed']],
        float(answer['lapsed_s']),
        [(str(key), int(rev)) for key, rev in answer['unconfirmed']],
        float(answer['accept_s']),
        bool(answer['confirmed']),
        float(answer['denies_in_s']),
    )


def _item(row):
    key, value, revision = row
    return store_replica.Item(str(key), value, int(revision))
