"""Finds the account that sent a request, by the key that it presents.

Keys stay here: upstreams get the name of the account, logs and metrics get
names and counts.
"""

import typing

from jasminehold.decisions import accounts
from jasminehold import errors
from jasminehold.platform import wire

Kind = errors.Kind


class Sender(typing.NamedTuple):
    """Who sent a request.

    Attributes:
        account: its :class:`~decisions.accounts.Account`, None if the
            request needs none.
        route: the route with the account's homes and priority applied.
        valid_until: monotonic seconds until which the key may be used.
    """

    account: typing.Optional[accounts.Account]
    route: typing.Any
    valid_until: float = float('inf')

    def for_relay(self, now):
        """Return what a helping instance is told: name, seconds valid."""
        if self.account is None:
            return '', 0.0
        return self.account.name, max(self.valid_until - now, 0.0)


class AccountCheck:
    """Checks keys against the configuration in force.

    Args:
        cfg: ``() -> Cfg``, the current settings.
        copy_age: ``now -> seconds``, the proven age of the store copy.
        may_deny: ``now -> bool``, whether what the configuration does not
            have may be denied.
        metrics: counters.
        log: structured log.
    """

    def __init__(self, cfg, copy_age, may_deny, metrics, log):
        self._cfg = cfg
        self._copy_age = copy_age
        self._may_deny = may_deny
        self._metrics = metrics
        self._log = log
        self._table = None
        self._records = accounts.KeyRecords()

    def on_config(self, table):
        """Use the :class:`~decisions.accounts.AccountTable` of a version.

        Args:
            table: None if the configuration has no accounts.
        """
        if table is self._table:
            return
        self._records.on_config(self._table, table)
        self._table = table
        if table is not None:
            counts = table.key_counts()
            self._log(
                'accounts in force',
                accounts=len(counts),
                keys=sum(counts.values()),
                without_keys=sum(not count for count in counts.values()),
            )

    @property
    def in_use(self):
        """Whether the configuration has accounts."""
        return self._table is not None

    def needs_proof(self):
        """Return whether keys may be used only for a proven age."""
        return self.in_use and self._revoke_s() is not None

    @property
    def headers(self):
        """Names of the headers that upstreams do not get from callers."""
        return wire.ACCOUNT_HEADERS if self.in_use else frozenset()

    def gauge_values(self):
        """Return the current ``{gauge name: value}``."""
        if self._table is None:
            return {}
        counts = self._table.key_counts()
        return {
            'accounts_known': len(counts),
            'account_keys_known': sum(counts.values()),
        }

    def sender(self, route, inbound, origin, now):
        """Return the :class:`Sender` of a request, or the kind of error.

        Args:
            route: the matching route.
            inbound: the :class:`~front.caller.CallerRequest`.
            origin: the :class:`~front.relay.Origin` if another instance
                relayed the request, else None.
            now: monotonic seconds.
        """
        if origin is not None:
            return self._relayed_sender(route, origin, now)
        if self._table is None or route.public:
            return Sender(None, route)
        key = wire.credential(inbound.headers)
        if key is None:
            return self._refuse(Kind.UNAUTHENTICATED, 'malformed')
        key_digest = accounts.digest(key)
        account = self._table.holder(key_digest)
        age_s = self._copy_age(now)
        if account is None:
            unknown = self._records.is_unknown(key_digest, now - age_s, now)
            if unknown and self._may_deny(now):
                return self._refuse(Kind.UNAUTHENTICATED, 'unknown')
            return self._refuse(Kind.UNAVAILABLE, 'unknown so far')
        revoke_s = self._revoke_s()
        if not accounts.may_use_keys(age_s, revoke_s):
            return self._refuse(Kind.UNAVAILABLE, 'copy too old')
        valid_until = float('inf')
        if revoke_s is not None:
            left_s = accounts.KEY_CERTAIN_FRACTION * revoke_s - age_s
            valid_until = now + left_s
        return Sender(account, accounts.bind(route, account), valid_until)

    def _relayed_sender(self, route, origin, now):
        # The first instance has checked the key, which stays there.
        if not origin.account:
            if self._table is None or route.public:
                return Sender(None, route)
            return Kind.UNAVAILABLE
        account = self._table and self._table.by_name.get(origin.account)
        if not account:
            return Kind.UNAVAILABLE
        return Sender(
            account, accounts.bind(route, account), now + origin.key_valid_s
        )

    def is_valid(self, sender, inbound, origin, now):
        """Return whether a request may be sent to one more upstream.

        Args:
            sender: its :class:`Sender`.
            inbound, origin, now: as for :meth:`sender`.
        """
        if sender.account is None:
            return True
        name = sender.account.name
        if origin is not None:
            known = self._table is not None and name in self._table.by_name
            return known and now < sender.valid_until
        again = self.sender(sender.route, inbound, None, now)
        if not isinstance(again, Sender):
            return False
        # Without an account now: the route or all routes became public.
        return again.account is None or again.account.name == name

    def _refuse(self, kind, reason):
        self._metrics.inc('account_checks_failed_total', reason=reason)
        return kind

    def _revoke_s(self):
        cfg = self._cfg()
        if not cfg.strict_revoke or not cfg.revoke_within_ms:
            return None
        return cfg.revoke_within_ms / 1000
