"""Drains that need no platform: notices with an end, spread by gossip.

A drain resource is the rule. While the platform is down no resource can be
declared, and an operator can still take a target out for a bounded time.
"""

import typing

from jasminehold import errors
from jasminehold import logs

PREFIX = 'drain/'
TARGET_KINDS = ('upstream', 'place', 'region')
MAX_DRAIN_S = 3600.0
# Longer than a notice takes to reach every instance.
ENDED_TTL_S = 60.0

_log = logs.get('drains')


class TemporaryDrain(typing.NamedTuple):
    """One drain.

    Attributes:
        until: when it ends, seconds, monotonic.
        actor: the operator.
        ended: whether it was ended before its time.
    """

    until: float
    actor: str
    ended: bool


class TemporaryDrains:
    """Temporary drains known to one instance.

    Args:
        loop: the event loop.
        notify: ``notify(key, value, ttl)`` spreads a notice and applies it
            here.
        on_change: called after each change.
    """

    def __init__(self, loop, notify, on_change):
        self._loop = loop
        self._notify = notify
        self._on_change = on_change
        self._drains = {}

    def start(self, kind, name, seconds, actor):
        """Take a target out.

        Args:
            kind: ``upstream``, ``place`` or ``region``.
            name: its name.
            seconds: for how long, at most an hour.
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
        """End a drain before its time.

        Raises:
            ResourceNotFound: when there is none.
        """
        if (kind, name) not in self.targets():
            raise errors.ResourceNotFound('No such temporary drain.')
        _log('temporary drain ended', kind=kind, name=name, actor=actor)
        until = self._drains[kind, name].until
        value = {'actor': actor, 'ended': True}
        ttl = max(until - self._loop.now(), ENDED_TTL_S)
        self._notify('%s%s/%s' % (PREFIX, kind, name), value, ttl)

    def on_notice(self, key, value, seconds_left):
        """Take a notice."""
        kind, _, name = key[len(PREFIX) :].partition('/')
        until = self._loop.now() + seconds_left
        self._drains[kind, name] = TemporaryDrain(
            until, value['actor'], value['ended']
        )
        self._on_change()
        self._loop.call_later(seconds_left, self._expire)

    def targets(self):
        """Return the targets that are out, as ``[(kind, name)]``."""
        now = self._loop.now()
        return [
            target
            for target, drain in sorted(self._drains.items())
            if drain.until > now and not drain.ended
        ]

    def documents(self):
        """Return the drains for operators."""
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
