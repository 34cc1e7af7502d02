"""Duties: roles that one instance holds at a time, secured by leases.

Example:
    >>> duties = Duties(loop, client, cfg, rng, print)  # doctest: +SKIP
    >>> duties.fencing_token('planner/sul', loop.now())  # doctest: +SKIP
    17
"""

import json
import typing

from jasminehold.decisions import duty_lease
from jasminehold import documents
from jasminehold import errors
from jasminehold import logs

TICK_S = 0.1

_log = logs.get('duties')


class DutiesConfig(typing.NamedTuple):
    """Settings of :class:`Duties`.

    Attributes:
        instance_id: id of this instance.
        names: names of all duties.
        lease: lease times, see :class:`duty_lease.LeaseConfig`.
        region_duties: names of duties that only instances of this region
            acquire.
    """

    instance_id: str
    names: tuple
    lease: duty_lease.LeaseConfig = duty_lease.LeaseConfig()
    region_duties: frozenset = frozenset()


class Duties:
    """Acquires duties, renews their lease, and reports their loss.

    Args:
        loop: the event loop.
        client: :class:`jasminehold.platform.client.PlatformClient`.
        cfg: :class:`DutiesConfig`.
        rng: random number generator for the jitter of the checks.
        on_change: called with ``(name, token)`` after a duty was acquired
            and with ``(name, None)`` after it was lost.
    """

    def __init__(self, loop, client, cfg, rng, on_change):
        self._loop = loop
        self._client = client
        self._cfg = cfg
        self._rng = rng
        self._on_change = on_change
        self._lease = duty_lease.Lease(cfg.lease)
        self._names = tuple(cfg.names)
        self._hashes = {cfg.instance_id: duty_lease.hash_name(cfg.instance_id)}
        self._region_hashes = self._hashes
        self._ranks = {}
        self._holders = {}
        self._acquired_at = {}
        self._check_times = {}
        self._acquiring = set()
        self._requesting_lease = False
        self._renewing = False
        self._next_renewal = 0.0
        self._listing = False
        self._stopped = False
        self._schedule_checks()
        now = loop.now()
        self._check_times = dict.fromkeys(self._names, now)
        self._timer = loop.call_later(TICK_S, self._tick)

    def set_candidates(self, instance_ids, region_ids=None):
        """Set the live instances that may hold duties.

        Args:
            instance_ids: ids of all live instances.
            region_ids: ids of the live instances of this region, the only
                candidates for the duties in ``region_duties``; None for all.
        """
        instance_ids = set(instance_ids) | {self._cfg.instance_id}
        region_ids = (
            instance_ids
            if region_ids is None
            else set(region_ids) | {self._cfg.instance_id}
        )
        if (
            instance_ids == self._hashes.keys()
            and region_ids == self._region_hashes.keys()
        ):
            return
        known = self._hashes
        self._hashes = {
            instance_id: (
                known[instance_id]
                if instance_id in known
                else duty_lease.hash_name(instance_id)
            )
            for instance_id in instance_ids | region_ids
        }
        self._region_hashes = {
            instance_id: self._hashes[instance_id]
            for instance_id in region_ids
        }
        self._schedule_checks()

    def set_names(self, names):
        """Set the names of all duties."""
        self._names = tuple(names)
        self._schedule_checks()

    def fencing_token(self, name, now):
        """Return the fencing token of a duty, or None if it is not held here.

        Args:
            name: duty, for example ``planner/sul``.
            now: ``loop.now()``, read after any pause of the process.
        """
        return self._lease.token(name, now)

    def holder(self, name):
        """Return the last known ``(instance id, token)``, or None.

        The duty may have moved since.
        """
        return self._holders.get(name)

    def record_holder(self, name, instance_id, token):
        """Record the holder of a duty, unless a newer token is known."""
        known = self._holders.get(name)
        if known is None or known[1] < token:
            self._holders[name] = (instance_id, token)

    def refresh(self):
        """Check the duties' keys soon, after a recorded holder was wrong."""
        now = self._loop.now()
        for name in self._names:
            self._check_times[name] = min(
                self._check_times[name], now + self._cfg.lease.check_interval_s
            )

    def release_all(self, done):
        """Release all duties and stop acquiring any.

        Args:
            done: called with ``(None, exc)``; after an error the duties are
                released when the lease expires.
        """
        self._stopped = True
        self._timer.cancel()
        lease_id = self._lease.lease_id
        self._end_lease('released')
        if lease_id is None:
            self._loop.call_soon(done, None, None)
        else:
            self._client.revoke(lease_id, done=done)

    def _schedule_checks(self):
        # Keeps earlier check times, so that frequent membership changes cannot
        # postpone a check forever.
        before = self._check_times
        self._check_times = {}
        self._ranks = {
            name: duty_lease.rank(
                name,
                self._cfg.instance_id,
                (
                    self._region_hashes
                    if name in self._cfg.region_duties
                    else self._hashes
                ),
            )
            for name in self._names
        }
        for name in self._names:
            self._schedule_check(name)
            if name in before:
                self._check_times[name] = min(
                    self._check_times[name], before[name]
                )

    def _schedule_check(self, name):
        delay = duty_lease.check_delay(
            self._ranks[name], self._cfg.lease, self._rng
        )
        self._check_times[name] = self._loop.now() + delay

    def _tick(self):
        self._timer = self._loop.call_later(TICK_S, self._tick)
        now = self._loop.now()
        if self._lease.lease_id and not self._lease.valid(now):
            # The platform may keep the keys until the lease expires by its own
            # clock; revoking the lease frees them immediately.
            self._client.revoke(self._lease.lease_id, done=_ignore_result)
            self._end_lease('lapsed')
        if (
            self._lease.lease_id
            and not self._renewing
            and now >= self._next_renewal
        ):
            self._renew(now)
        if not self._listing and any(
            due <= now for due in self._check_times.values()
        ):
            self._list_keys(now)

    def _end_lease(self, reason):
        names = self._lease.clear()
        for name in names:
            _log('duty lost', duty=name, reason=reason)
        for name in names:
            self._on_change(name, None)

    def _renew(self, sent_at):
        lease_id = self._lease.lease_id
        self._renewing = True
        self._next_renewal = sent_at + self._cfg.lease.renew_interval_s

        def on_response(result, exc):
            self._renewing = False
            if self._stopped or lease_id != self._lease.lease_id:
                return
            if exc is None:
                self._lease.renewed(lease_id, sent_at, self._loop.now())
            elif isinstance(exc, errors.KeyNotFound):
                self._end_lease('expired')

        self._client.renew(lease_id, done=on_response)

    def _list_keys(self, now):
        names = [name for name, due in self._check_times.items() if due <= now]
        for name in names:
            self._schedule_check(name)
        self._listing = True
        stored_keys = {}

        def on_page(page, exc):
            if self._stopped:
                return
            if exc is not None:
                self._listing = False
                return
            for item in page.items:
                stored_keys[item.key[len(duty_lease.PREFIX) :]] = item
            if page.more:
                self._client.list(
                    duty_lease.PREFIX, page.items[-1].key, done=on_page
                )
                return
            self._listing = False
            self._process_keys(names, stored_keys, now)

        self._client.list(duty_lease.PREFIX, '', done=on_page)

    def _process_keys(self, names, stored_keys, sent_at):
        for name, item in stored_keys.items():
            try:
                holder, lease_id = documents.read(item.value, 'id', 'lease')
            except errors.UnreadableDocument as exc:
                _log('duty skipped', level='error', key=item.key, error=exc)
                continue
            self.record_holder(name, holder, item.version)
            if lease_id == self._lease.lease_id:
                self._record_acquired(name, lease_id, item.version)
        for name in sorted(set(self._lease.tokens) - set(stored_keys)):
            # A key that was stored after the list request is not missing.
            if self._acquired_at.get(name, 0.0) < sent_at:
                self._record_lost(name)
        free = [
            name
            for name in names
            if name not in stored_keys and name not in self._acquiring
        ]
        if not free:
            return
        if self._lease.valid(self._loop.now()):
            for name in free:
                self._acquire(name)
        elif not self._requesting_lease:
            self._request_lease(free)

    def _request_lease(self, names):
        sent_at = self._loop.now()
        self._requesting_lease = True

        def on_response(lease_id, exc):
            self._requesting_lease = False
            if exc is not None:
                return
            if self._stopped:
                self._client.revoke(lease_id, done=_ignore_result)
                return
            self._lease.start(lease_id, sent_at)
            self._next_renewal = sent_at + self._cfg.lease.renew_interval_s
            for name in names:
                self._acquire(name)

        self._client.grant(self._cfg.lease.ttl, done=on_response)

    def _acquire(self, name):
        lease_id = self._lease.lease_id
        self._acquiring.add(name)
        doc = {'id': self._cfg.instance_id, 'lease': lease_id}
        key = duty_lease.PREFIX + name

        def on_put(version, exc):
            self._acquiring.discard(name)
            if exc is None:
                self._record_acquired(name, lease_id, version)
            elif isinstance(exc, errors.OutcomeUnknown):
                self._acquiring.add(name)
                self._client.get(key, done=on_read)

        def on_read(item, exc):
            # A key that appears later is found by the next list request, which
            # compares lease ids too.
            self._acquiring.discard(name)
            if exc is None and _is_under_lease(item, lease_id):
                self._record_acquired(name, lease_id, item.version)

        self._client.put(
            key, json.dumps(doc).encode(), 0, done=on_put, lease=lease_id
        )

    def _record_acquired(self, name, lease_id, token):
        now = self._loop.now()
        if self._stopped or self._lease.token(name, now) == token:
            return
        if not self._lease.acquired(name, lease_id, token, now):
            return
        self._acquired_at[name] = now
        self.record_holder(name, self._cfg.instance_id, token)
        _log('duty acquired', duty=name, token=token)
        self._on_change(name, token)

    def _record_lost(self, name):
        if self._lease.drop_duty(name):
            _log('duty lost', duty=name, reason='key removed')
            self._on_change(name, None)


def _is_under_lease(item, lease_id):
    try:
        return documents.read(item.value, 'lease') == [lease_id]
    except errors.UnreadableDocument:
        return False


def _ignore_result(result, exc):
    """Ignore the result of a call whose failure needs no action."""
