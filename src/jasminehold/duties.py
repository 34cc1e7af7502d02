"""Duties: leases on roles that one instance holds at a time.

Example:
    >>> duties = Duties(loop, client, cfg, rng, print)  # doctest: +SKIP
    >>> duties.fencing_token('planner/sul', loop.now())  # doctest: +SKIP
    17
"""

import json
import typing

from jasminehold.decisions import duty_lease
from jasminehold import errors
from jasminehold import logs

TICK_S = 0.1

_log = logs.get('duties')


class DutiesConfig(typing.NamedTuple):
    """Settings of :class:`Duties`.

    Attributes:
        instance_id: id of this instance.
        names: duties that exist.
        lease: times, see :class:`duty_lease.LeaseConfig`.
        region_duties: names of duties that only instances of this region try
            for.
    """

    instance_id: str
    names: tuple
    lease: duty_lease.LeaseConfig = duty_lease.LeaseConfig()
    region_duties: frozenset = frozenset()


class Duties:
    """Tries for duties, keeps them while it can, and notices their loss.

    Args:
        loop: the event loop.
        client: :class:`jasminehold.platform.client.PlatformClient`.
        cfg: :class:`DutiesConfig`.
        rng: random source of the jitter.
        on_change: called with ``(name, token)`` after a duty was acquired
            and ``(name, None)`` after it was lost.
    """

    def __init__(self, loop, client, cfg, rng, on_change):
        self._loop = loop
        self._client = client
        self._cfg = cfg
        self._rng = rng
        self._on_change = on_change
        self._lease = duty_lease.Lease(cfg.lease)
        self._names = tuple(cfg.names)
        self._weights = {
            cfg.instance_id: duty_lease.hash_name(cfg.instance_id)
        }
        self._near = self._weights
        self._ranks = {}
        self._holders = {}
        self._won_at = {}
        self._due = {}
        self._acquiring = set()
        self._granting = False
        self._renewing = False
        self._renew_at = 0.0
        self._listing = False
        self._stopped = False
        self._schedule_all()
        now = loop.now()
        self._due = dict.fromkeys(self._names, now)
        self._timer = loop.call_later(TICK_S, self._tick)

    def set_candidates(self, idents, near=None):
        """Set the live instances that may hold duties.

        Args:
            idents: ids of all of them.
            near: ids of those of this region, which alone are ranked for the
                local duties; all when None.
        """
        idents = set(idents) | {self._cfg.instance_id}
        near = idents if near is None else set(near) | {self._cfg.instance_id}
        if idents == self._weights.keys() and near == self._near.keys():
            return
        known = self._weights
        self._weights = {
            ident: (
                known[ident] if ident in known else duty_lease.hash_name(ident)
            )
            for ident in idents | near
        }
        self._near = {ident: self._weights[ident] for ident in near}
        self._schedule_all()

    def set_names(self, names):
        """Set the names of the duties that exist."""
        self._names = tuple(names)
        self._schedule_all()

    def fencing_token(self, name, now):
        """Return the fencing token of a duty, or None when not held.

        Args:
            name: duty, for example ``planner/sul``.
            now: ``loop.now()``, read after any pause.
        """
        return self._lease.token(name, now)

    def holder(self, name):
        """Return ``(instance id, token)`` last seen, or None; may be old."""
        return self._holders.get(name)

    def record_holder(self, name, ident, token):
        """Record a holder told by a peer; older tokens change nothing."""
        known = self._holders.get(name)
        if known is None or known[1] < token:
            self._holders[name] = (ident, token)

    def refresh(self):
        """Look at the duties' keys soon, after a holder proved wrong."""
        now = self._loop.now()
        for name in self._names:
            self._due[name] = min(
                self._due[name], now + self._cfg.lease.check_interval_s
            )

    def release_all(self, done):
        """Give up all duties at once and stop trying.

        Args:
            done: called with ``(None, exc)``; after an error the duties end
                with the lease.
        """
        self._stopped = True
        self._timer.cancel()
        ident = self._lease.lease_id
        self._end('released')
        if ident is None:
            self._loop.call_soon(done, None, None)
        else:
            self._client.revoke(ident, done=done)

    def _schedule_all(self):
        # A frequent membership change must not put off the next look.
        before = self._due
        self._due = {}
        self._ranks = {
            name: duty_lease.rank(
                name,
                self._cfg.instance_id,
                (
                    self._near
                    if name in self._cfg.region_duties
                    else self._weights
                ),
            )
            for name in self._names
        }
        for name in self._names:
            self._schedule(name)
            if name in before:
                self._due[name] = min(self._due[name], before[name])

    def _schedule(self, name):
        delay = duty_lease.check_delay(
            self._ranks[name], self._cfg.lease, self._rng
        )
        self._due[name] = self._loop.now() + delay

    def _tick(self):
        self._timer = self._loop.call_later(TICK_S, self._tick)
        now = self._loop.now()
        if self._lease.lease_id and not self._lease.valid(now):
            # The platform may keep the old keys until its own clock ends the
            # lease; revoking it frees them for any candidate at once.
            self._client.revoke(self._lease.lease_id, done=_ignore)
            self._end('lapsed')
        if (
            self._lease.lease_id
            and not self._renewing
            and now >= self._renew_at
        ):
            self._renew(now)
        if not self._listing and any(due <= now for due in self._due.values()):
            self._look(now)

    def _end(self, reason):
        names = self._lease.clear()
        for name in names:
            _log('duty lost', duty=name, reason=reason)
        for name in names:
            self._on_change(name, None)

    def _renew(self, asked_at):
        ident = self._lease.lease_id
        self._renewing = True
        self._renew_at = asked_at + self._cfg.lease.renew_interval_s

        def on_answer(result, exc):
            self._renewing = False
            if self._stopped or ident != self._lease.lease_id:
                return
            if exc is None:
                self._lease.renewed(ident, asked_at, self._loop.now())
            elif isinstance(exc, errors.KeyNotFound):
                self._end('expired')

        self._client.renew(ident, done=on_answer)

    def _look(self, now):
        names = [name for name, due in self._due.items() if due <= now]
        for name in names:
            self._schedule(name)
        self._listing = True
        found = {}

        def on_page(page, exc):
            if self._stopped:
                return
            if exc is not None:
                self._listing = False
                return
            for item in page.items:
                found[item.key[len(duty_lease.PREFIX) :]] = item
            if page.more:
                self._client.list(
                    duty_lease.PREFIX, page.items[-1].key, done=on_page
                )
                return
            self._listing = False
            self._judge(names, found, now)

        self._client.list(duty_lease.PREFIX, '', done=on_page)

    def _judge(self, names, found, asked_at):
        for name, item in found.items():
            doc = json.loads(item.value)
            self.record_holder(name, doc['id'], item.version)
            if doc['lease'] == self._lease.lease_id:
                self._won(name, doc['lease'], item.version)
        for name in sorted(set(self._lease.tokens) - set(found)):
            # A key stored after the list was read is not missing.
            if self._won_at.get(name, 0.0) < asked_at:
                self._lost(name)
        free = [
            name
            for name in names
            if name not in found and name not in self._acquiring
        ]
        if not free:
            return
        if self._lease.valid(self._loop.now()):
            for name in free:
                self._acquire(name)
        elif not self._granting:
            self._grant(free)

    def _grant(self, names):
        asked_at = self._loop.now()
        self._granting = True

        def on_answer(ident, exc):
            self._granting = False
            if exc is not None:
                return
            if self._stopped:
                self._client.revoke(ident, done=_ignore)
                return
            self._lease.start(ident, asked_at)
            self._renew_at = asked_at + self._cfg.lease.renew_interval_s
            for name in names:
                self._acquire(name)

        self._client.grant(self._cfg.lease.ttl, done=on_answer)

    def _acquire(self, name):
        ident = self._lease.lease_id
        self._acquiring.add(name)
        doc = {'id': self._cfg.instance_id, 'lease': ident}
        key = duty_lease.PREFIX + name

        def on_put(version, exc):
            self._acquiring.discard(name)
            if exc is None:
                self._won(name, ident, version)
            elif isinstance(exc, errors.OutcomeUnknown):
                self._acquiring.add(name)
                self._client.get(key, done=on_read)

        def on_read(item, exc):
            # A key that appears only later is found by the next look, which
            # compares lease ids as well.
            self._acquiring.discard(name)
            if exc is None and json.loads(item.value)['lease'] == ident:
                self._won(name, ident, item.version)

        self._client.put(
            key, json.dumps(doc).encode(), 0, done=on_put, lease=ident
        )

    def _won(self, name, ident, token):
        now = self._loop.now()
        if self._stopped or self._lease.token(name, now) == token:
            return
        if not self._lease.acquired(name, ident, token, now):
            return
        self._won_at[name] = now
        self.record_holder(name, self._cfg.instance_id, token)
        _log('duty acquired', duty=name, token=token)
        self._on_change(name, token)

    def _lost(self, name):
        if self._lease.drop_duty(name):
            _log('duty lost', duty=name, reason='key removed')
            self._on_change(name, None)


def _ignore(result, exc):
    """Drop the answer of a call whose failure needs no action."""
