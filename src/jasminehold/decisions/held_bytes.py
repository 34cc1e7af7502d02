"""Memory held for callers and upstreams that read slowly.

What a process holds for them is bounded as a whole. Beyond the bound the
response is cut off that is the largest for the longest time, by its size times
the time since its caller last had everything. Requests cannot be cut off
without a doubt whether they ran, so no more are taken.
"""

import typing

# Fraction of the memory of the process.
SHARE = 0.35
# Fraction of that share from which on something is cut off or refused; what
# comes at once has the rest.
START = 0.9
# Fraction of that share up to which requests are taken from one connection.
CONN_SHARE = 0.125
MB = 1_000_000


class Cut(typing.NamedTuple):
    """A holder to cut off.

    Attributes:
        holder: as in :meth:`HeldBytes.update`.
        size: bytes that it holds.
        held_s: seconds for which it has held some.
    """

    holder: typing.Any
    size: int
    held_s: float


class HeldBytes:
    """Bytes that are held, by holder.

    Args:
        memory_mb: ``() -> MB``, memory of the process.

    Attributes:
        total: bytes held by all.
        peak: most that was held at once.
    """

    def __init__(self, memory_mb):
        self.total = 0
        self.peak = 0
        self._memory_mb = memory_mb
        # ``{holder: (bytes, since, whether it may be cut off)}``
        self._held = {}

    @property
    def limit(self):
        """Bytes that may be held by all."""
        return int(self._memory_mb() * MB * SHARE)

    @property
    def conn_limit(self):
        """Bytes up to which more requests are taken from a connection."""
        return int(self.limit * CONN_SHARE)

    def update(self, holder, size, now, may_cut=False):
        """Record what a holder holds now.

        Args:
            holder: a hashable object.
            size: bytes, 0 for none.
            now: monotonic seconds.
            may_cut: whether it may be cut off.
        """
        known = self._held.get(holder)
        if known is not None:
            self.total -= known[0]
        if not size:
            self._held.pop(holder, None)
            return
        since = now if known is None else known[1]
        self._held[holder] = (size, since, may_cut)
        self.total += size

    def holders(self):
        """Return a list of all holders."""
        return list(self._held)

    def take_cuts(self, now):
        """Forget the holders to cut off, and return them.

        Args:
            now: monotonic seconds.

        Returns:
            List of :class:`Cut`, the largest and slowest first.
        """
        limit = self.limit * START
        self.peak = max(self.peak, self.total)
        if self.total <= limit:
            return []
        found = sorted(
            (
                Cut(holder, size, now - since)
                for holder, (size, since, may_cut) in self._held.items()
                if may_cut
            ),
            key=lambda cut: (cut.size * cut.held_s, cut.size),
        )
        cuts = []
        while self.total > limit and found:
            cuts.append(found.pop())
            self.update(cuts[-1].holder, 0, now)
        return cuts

    def is_full(self):
        """Return whether no more requests are taken."""
        return self.total >= self.limit * START
