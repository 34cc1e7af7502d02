"""Whether a copy of the configuration may deny what it does not have.

An instance that starts, lags behind or is cut off lacks documents that are
declared, so what is absent from its copy proves nothing. The relays read the
store again and again and tell the others the digest that they found. A copy
with that digest is complete as of the time of the read.
"""

import math

NOTICE_KEY = 'read/config'
NOTICE_TTL_S = 10.0
# A service is in force everywhere within 5 s of its declaration, so a copy
# that was complete at most this long ago may deny one.
MAX_AGE_S = 5.0
# Age at which a read is told anew. Leaves time for the notice to arrive.
RENEW_AGE_S = 3.0
# Many changes in a row are not told one by one.
CHANGE_INTERVAL_S = 1.0
# A store that came back from an older copy lacks the latest writes, and a
# relay that starts then cannot tell. Operators write them again meanwhile.
SETTLE_S = 5.0


def sent_at(age_s, seconds_left, now):
    """Return when a read was sent that a notice tells.

    Args:
        age_s: age of the read when the notice was published, in seconds.
        seconds_left: remaining life of the notice.
        now: seconds, monotonic.
    """
    return now - age_s - max(NOTICE_TTL_S - seconds_left, 0.0)


class ConfigFreshness:
    """What one instance knows about the latest configuration."""

    def __init__(self):
        self._head_digest = None
        self._read_digest = None
        self._read_at = -math.inf

    def on_head(self, digest):
        """Record the digest of the newest head of the configuration."""
        self._head_digest = digest

    def on_read(self, digest, read_at):
        """Record that a read of the store found a digest.

        Args:
            digest: digest of the configuration in the store.
            read_at: when the read was sent, seconds, monotonic.
        """
        if read_at > self._read_at:
            self._read_digest = digest
            self._read_at = read_at

    def is_news(self, digest, read_at, now):
        """Return whether the other instances need to hear of a read."""
        if digest == self._read_digest:
            return now - self._read_at >= RENEW_AGE_S
        return read_at - self._read_at >= CHANGE_INTERVAL_S

    def may_deny(self, digest, now):
        """Return whether a copy with a digest is complete and recent."""
        return (
            digest is not None
            and digest == self._head_digest == self._read_digest
            and now - self._read_at <= MAX_AGE_S
        )


class StoreReads:
    """Which reads of one relay show what the store holds."""

    def __init__(self):
        self._era = None
        self._settled_at = math.inf

    def start(self, era):
        """Record the start of a read of everything in an era."""
        if era != self._era:
            self._era = era
            self._settled_at = math.inf

    def complete(self, now):
        """Record the end of a read of everything."""
        self._settled_at = min(self._settled_at, now + SETTLE_S)

    def is_outdated(self, era):
        """Return whether everything has to be read again."""
        return era != self._era

    def is_conclusive(self, sent_at):
        """Return whether a read that was sent then shows all changes."""
        return sent_at >= self._settled_at
