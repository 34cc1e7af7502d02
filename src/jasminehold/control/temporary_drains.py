"""Temporary drains, sent by gossip as notices with an expiry time.

Drains are normally declared as resources. While the platform is down no
resource can be declared, but an operator can still start a temporary drain.
"""

import typing

from jasminehold import errors
from jasminehold import logs

PREFIX = 'drain/'
TARGET_KINDS = ('upstream', 'place', 'region')
MAX_DRAIN_S = 3600.0
# Exceeds the time in which a notice reaches every instance.
ENDED_TTL_S = 60.0

_log = logs.get('drains')


class TemporaryDrain(typing.NamedTuple):
    """A temporary drain.

    Attributes:
        until: end of the drain, seconds, monotonic.
        actor: the operator.
        ended: whether an operator ended it early.
    """

    until: float
    actor: str
    ended: bool


class TemporaryDrains:
    """Temporary drains known to one instance.

    Args:
        loop: the event loop.
        notify: ``notify(key, value, ttl)`` sends a notice to all instances,
            including this one.
        on_change: called after each change.
    """

    def __init__(self, loop, notify, on_change):
        self._loop = loop
        self._notify = notify
        self._on_change = on_change
        self._drains = {}

    def start(self, kind, name, seconds, actor):
        """Drain a target for a limited time.

        Args:
            kind: ``upstream``, ``place`` or ``region``.
            name: name of the target.
            seconds: duration, 1 to ``MAX_DRAIN_S``.
            actor: the operator.

        Raises:
            RequestError: when the kind or the time is not allowed.
        """
        if kind not in TARGET_KINDS:
            raise errors.RequestError(
                errors.Kind.BAD_REQUEST,
                'kind: allowed: %s' % ', '.join(TARGET_KINDS),
            )
        if not 1 <= seconds <= MAX_DRAIN_S:
            raise errors.RequestError(
                errors.Kind.BAD_REQUEST,
                'seconds: allowed: 1 to %d' % MAX_DRAIN_S,
            )
        _log(
            'temporary drain started',
            kind=kind,
            name=name,
            seconds=seconds,
            actor=actor,
        )
        value = {'actor': actor, 'ended': False}
        self._notify('%s%s/%s' % (PREFIX, kind, name), value, seconds)

    def end(self, kind, name, actor):
        """End a drain early.

        Raises:
            ResourceNotFound: when the target has no temporary drain.
        """
        if (kind, name) not in self.targets():
            raise errors.ResourceNotFound('No such temporary drain.')
        _log('temporary drain ended', kind=kind, name=name, actor=actor)
        until = self._drains[kind, name].until
        value = {'actor': actor, 'ended': True}
        ttl = max(until - self._loop.now(), ENDED_TTL_S)
        self._notify('%s%s/%s' % (PREFIX, kind, name), value, ttl)

    def on_notice(self, key, value, seconds_left):
        """Apply a notice of a started or ended drain."""
        kind, _, name = key[len(PREFIX) :].partition('/')
        until = self._loop.now() + seconds_left
        self._drains[kind, name] = TemporaryDrain(
            until, value['actor'], value['ended']
        )
        self._on_change()
        self._loop.call_later(seconds_left, self._expire)

    def targets(self):
        """Return the targets drained now, as ``[(kind, name)]``."""
        now = self._loop.now()
        return [
            target
            for target, drain in sorted(self._drains.items())
            if drain.until > now and not drain.ended
        ]

    def documents(self):
        """Return the active drains as documents of the API."""
        now = self._loop.now()
        return [
            {
                'target_kind': kind,
                'target_name': name,
                'seconds_left': round(self._drains[kind, name].until - now, 1),
                'actor': self._drains[kind, name].actor,
            }
            for kind, name in self.targets()
        ]

    def _expire(self):
        now = self._loop.now()
        for target, drain in list(self._drains.items()):
            if drain.until <= now:
                del self._drains[target]
        self._on_change()
