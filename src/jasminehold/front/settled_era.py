"""Tells instances that start later that the store's era is settled.

Whoever starts after the store went back must wait for what it lost. If the
store itself says that its era is settled, there is nothing to wait for, even
if all instances start at once.
"""

from jasminehold.decisions import store_replica
from jasminehold.platform import wire

# Interval of the checks. One instance after the other may write, by rank.
CHECK_S = 1.0


class SettledEra:
    """Writes :data:`wire.SETTLED_KEY` once in each era of the store.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        store: the :class:`~jasminehold.platform.kv.Store`.
        replica: the :class:`store_replica.StoreReplica`.
        rank: ``() -> int``, this instance's rank as a reader.
        log: structured log.
    """

    def __init__(self, loop, store, replica, rank, log):
        self._loop = loop
        self._store = store
        self._replica = replica
        self._rank = rank
        self._log = log
        self._checks = 0

    def start(self):
        """Start the checks."""
        self._loop.call_later(CHECK_S, self.start)
        if not self._replica.needs_settling(self._loop.now()):
            self._checks = 0
            return
        self._checks += 1
        if self._checks > self._rank():
            self._checks = 0
            self._write()

    def _write(self):
        known = self._replica.items.get(wire.SETTLED_KEY)
        era = self._replica.era

        def done(revision, exc):
            if exc is not None:
                self._log('settled era not written', era=era, error=exc)

        self._store.put(
            wire.SETTLED_KEY,
            store_replica.settled_value(era),
            known.revision if known else 0,
            done,
        )
