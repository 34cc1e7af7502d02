"""Permits that keep the suspects of a crash apart across instances.

For each upstream one instance, its arbiter, gives out a single permit to send
it a suspect. Two suspects that are sent by different instances can then not
meet at the same upstream.

Source: docs/design.md, section 3 (``blame``).
"""

from jasminehold.decisions import hashing


def arbiter(upstream, members):
    """Return the instance that gives the permits for an upstream.

    Args:
        upstream: name of the upstream.
        members: ids of the live instances, at least one.
    """
    return max(
        members, key=lambda name: hashing.number('arbiter', upstream, name)
    )


class Permits:
    """Permits given by one instance."""

    def __init__(self):
        self._given = {}

    def grant(self, upstream, holder, seconds, now):
        """Return whether an instance may send a suspect to an upstream.

        Args:
            upstream: name of the upstream.
            holder: id of the instance.
            seconds: time after which the permit ends by itself.
            now: monotonic seconds.
        """
        other, until = self._given.get(upstream, (holder, 0.0))
        if other != holder and now < until:
            return False
        self._given[upstream] = (holder, now + seconds)
        return True

    def end(self, upstream, holder):
        """End the permit that an instance has."""
        if self._given.get(upstream, (None,))[0] == holder:
            del self._given[upstream]
