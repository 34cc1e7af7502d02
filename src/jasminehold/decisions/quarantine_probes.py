"""When single sends may show that a quarantined request is harmless."""

# Time from the quarantine until the first send, and between sends.
FIRST_AFTER_S = 2.0
INTERVAL_S = 4.0
PROBES_MAX = 2


class ProbeGrants:
    """Sends that an arbiter has granted, by request.

    Example:
        >>> grants = ProbeGrants()
        >>> grants.begin(b'1', 10.0)
        >>> grants.grant(b'1', 11.0), grants.grant(b'1', 12.0)
        (False, True)
        >>> grants.grant(b'1', 13.0), grants.grant(b'1', 16.0)
        (False, True)
        >>> grants.grant(b'1', 60.0)
        False
    """

    def __init__(self):
        # ``{digest: (sends left, earliest time of the next)}``
        self._left = {}

    def begin(self, digest, now):
        """Note that a request is quarantined."""
        self._left[digest] = (PROBES_MAX, now + FIRST_AFTER_S)

    def end(self, digest):
        """Note that it is no longer quarantined."""
        self._left.pop(digest, None)

    def grant(self, digest, now):
        """Return whether the request may be sent once."""
        left, earliest = self._left.get(digest, (0, now))
        if not left or now < earliest:
            return False
        self._left[digest] = (left - 1, now + INTERVAL_S)
        return True
