"""Permits that allow one suspect request at a time per upstream.

A suspect is a request that may have crashed an upstream. For each upstream,
one instance, the arbiter, grants at most one permit at a time. This prevents
different instances from sending two suspects to the same upstream at once.

Source: docs/design.md, section 3 (``blame``).
"""

from jasminehold.decisions import hashing


def arbiter(upstream, members):
    """Return the id of the instance that grants permits for an upstream.

    Args:
        upstream: name of the upstream.
        members: ids of the live instances; must not be empty.
    """
    return max(
        members, key=lambda name: hashing.number('arbiter', upstream, name)
    )


class Permits:
    """Permits granted by one arbiter."""

    def __init__(self):
        self._granted = {}

    def grant(self, upstream, holder, seconds, now):
        """Grant a permit to send a suspect, unless another instance has it.

        Args:
            upstream: name of the upstream.
            holder: id of the instance that requests the permit.
            seconds: time after which the permit expires.
            now: monotonic time in seconds.

        Returns:
            Whether the permit was granted.
        """
        current_holder, expires_at = self._granted.get(upstream, (holder, 0.0))
        if current_holder != holder and now < expires_at:
            return False
        self._granted[upstream] = (holder, now + seconds)
        return True

    def end(self, upstream, holder):
        """Revoke the permit of an instance, if it has one."""
        if self._granted.get(upstream, (None,))[0] == holder:
            del self._granted[upstream]
