"""Which instances have told that they have no path to the upstreams."""

NOTICE_PREFIX = 'path/'
# An instance that tells nothing more is listed again.
NOTICE_TTL_S = 5.0
RENEW_INTERVAL_S = 2.0
# By then the look-up answer that named the instance has expired.
RETRY_AFTER_S = 2.0


class InstancePaths:
    """Instances without a path to the upstreams, by their own account."""

    def __init__(self):
        self._lost_until = {}

    def on_notice(self, ident, lost, seconds_left, now):
        """Record what an instance told about its path.

        Args:
            ident: id of the instance.
            lost: whether it has no path.
            seconds_left: remaining life of the notice.
            now: seconds, monotonic.

        Returns:
            Whether this changed what is known.
        """
        known = self.is_lost(ident, now)
        if lost:
            self._lost_until[ident] = now + min(seconds_left, NOTICE_TTL_S)
        else:
            self._lost_until.pop(ident, None)
        return known != lost

    def is_lost(self, ident, now):
        """Return whether an instance has no path."""
        return self._lost_until.get(ident, now) > now

    def remove_expired(self, now):
        """Forget what was not renewed; return whether there was any."""
        expired = [key for key, at in self._lost_until.items() if at <= now]
        for key in expired:
            del self._lost_until[key]
        return bool(expired)
