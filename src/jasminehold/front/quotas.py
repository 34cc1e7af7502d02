"""Keeps accounts within their quotas, over all instances together.

Messages on the streams between instances: ``quota_gift`` and its answer
``quota_ack``, ``quota_ask`` and its answer ``quota_grant``; see
:mod:`~jasminehold.decisions.quotas`.
"""

from jasminehold.decisions import quotas

MESSAGES = ('quota_gift', 'quota_ack', 'quota_ask', 'quota_grant')
# Accounts that have a metric label of their own, those with the largest
# quotas; the others share one.
LABELS_MAX = 8
OTHER = 'other'


def bounds(cfg):
    """Return the :class:`~decisions.quotas.Bounds` of the settings."""
    return quotas.Bounds(cfg.quota_window, cfg.quota_overage, cfg.quota_slack)


class Quotas:
    """This instance's part in the quotas, on the mesh.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        mesh: the :class:`~jasminehold.peers.mesh.Mesh`.
        cfg: ``() -> Cfg``, the current settings.
        rng: random source.
        metrics: counters.
        log: structured log.
    """

    def __init__(self, loop, mesh, cfg, rng, metrics, log):
        self._loop = loop
        self._cfg = cfg
        self._metrics = metrics
        self._log = log
        self._accounts = None
        self._labels = {}
        self._limits = {}
        self._share = quotas.QuotaShare(
            cfg().id,
            cfg().places[cfg().place],
            bounds(cfg()),
            rng,
            mesh.send,
            loop.now(),
        )
        for kind in MESSAGES:
            mesh.handle(kind, self._on_message)
        loop.call_later(quotas.TICK_S, self._tick)

    def _tick(self):
        self._loop.call_later(quotas.TICK_S, self._tick)
        if self._limits:
            self._share.bounds = bounds(self._cfg())
            self._share.on_tick(self._loop.now())

    def _on_message(self, sender, message, reply):
        self._share.on_message(sender, message, self._loop.now())

    def on_config(self, table, now):
        """Use the :class:`~decisions.accounts.AccountTable` of a version.

        Args:
            table: None if the configuration has no accounts.
            now: monotonic seconds.
        """
        if table is self._accounts:
            return
        self._accounts = table
        found = table.by_name if table is not None else {}
        limits = {
            name: quotas.Quota(account.rate_per_s, account.burst)
            for name, account in found.items()
            if account.rate_per_s
        }
        if limits == self._limits:
            return
        self._limits = limits
        self._share.on_quotas(limits, now)
        largest = sorted(limits, key=lambda name: -limits[name].rate)
        self._labels = {name: name for name in largest[:LABELS_MAX]}
        self._log(
            'quotas in force',
            accounts=len(limits),
            per_s=round(sum(item.rate for item in limits.values()), 1),
        )

    def on_members(self, regions, now):
        """Use the members in force: ``{id: region}``; ``now`` in seconds."""
        self._share.on_members(regions, now)

    def on_down(self, name):
        """Pass over an instance whose last link closed."""
        self._share.on_down(name, self._loop.now())

    def now(self):
        """Return the monotonic time in seconds."""
        return self._loop.now()

    def limits(self, account):
        """Return whether an account has a quota; None is no account."""
        return account is not None and account.name in self._limits

    def take(self, account, now, done):
        """Ask for the token of one send to an upstream.

        Args:
            account: a limited :class:`~decisions.accounts.Account`.
            now: monotonic seconds.
            done: ``done(seconds, until)``, called once, maybe before this
                returns; see :meth:`~decisions.quotas.QuotaShare.take`.
        """

        def taken(wait_s, until):
            self._count(account.name, 'refused' if wait_s else 'used')
            done(wait_s, until)

        self._share.take(account.name, now, taken)

    def token(self, account):
        """Return the :class:`Token` of a request.

        Args:
            account: its :class:`~decisions.accounts.Account`, or None.
        """
        return Token(self, account)

    def hold_s(self, account):
        """Return the seconds for which a token that was taken may be used."""
        return self._share.bounds.hold_s(self._limits[account.name])

    def give_back(self, account, until):
        """Take a token back whose request did not run.

        Args:
            account: a limited :class:`~decisions.accounts.Account`.
            until: what :meth:`take` said of the token.
        """
        self._count(account.name, 'returned')
        self._share.give_back(account.name, until)

    def note(self, account):
        """Return what the log says of an account's quota, or None."""
        if not self.limits(account):
            return None
        return dict(
            self._limits[account.name]._asdict(),
            **self._share.state(account.name, self._loop.now()),
        )

    def gauge_values(self):
        """Return the current ``{gauge name: value}``."""
        if not self._limits:
            return {}
        return self._share.totals()

    def label_values(self):
        """Return ``{account label: allowed requests a second}``."""
        found = {}
        for name, limit in self._limits.items():
            label = self._labels.get(name, OTHER)
            found[label] = found.get(label, 0.0) + limit.rate
        return found

    def _count(self, name, outcome):
        label = self._labels.get(name, OTHER)
        self._metrics.inc(
            'quota_requests_total', account=label, outcome=outcome
        )


class Token:
    """One request's token of its account's quota.

    A token that was taken may be used for a short time only, so that what
    all requests hold stays within the bound.

    Args:
        quotas: the :class:`Quotas`.
        account: the :class:`~decisions.accounts.Account`, or None.
    """

    def __init__(self, quotas, account):
        self._quotas = quotas
        self._account = account
        self._taken_at = None
        self._until = None
        self._held = False

    @property
    def is_held(self):
        """Whether one was taken and not used."""
        return self._held

    def is_needed(self, now):
        """Return whether one has to be taken before the next send."""
        if not self._quotas.limits(self._account):
            return False
        hold_s = self._quotas.hold_s(self._account)
        return not self._held or now - self._taken_at > hold_s

    def take(self, now, done):
        """Take one; see :meth:`Quotas.take`."""

        def taken(wait_s, until):
            self._held = wait_s is None
            self._taken_at = self._quotas.now()
            self._until = until
            done(wait_s)

        self._quotas.take(self._account, now, taken)

    def use(self):
        """Use it for a send."""
        self._held = False

    def keep(self):
        """Hold it again: the upstream did not run the request."""
        self._held = self._taken_at is not None

    def give_back(self):
        """Return it if it is held."""
        if self._held and self._quotas.limits(self._account):
            self._quotas.give_back(self._account, self._until)
        self._held = False
