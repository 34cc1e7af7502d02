"""What one instance does with region plans and loans."""

import typing

from jasminehold.decisions import contact_quorum as contact_rules
from jasminehold.decisions import limiters as limiter_rules
from jasminehold.decisions import loans as loan_rules


class Ticket(typing.NamedTuple):
    """A request that was admitted; ``limiter`` is where it is counted."""

    limit: str
    limiter: object


class ShareHolder:
    """Shares, loans and contact of one instance.

    Args:
        name: id of the instance.
        contact: its :class:`contact_quorum.WitnessContact`.
        loans: its :class:`loans.Loans`.
    """

    def __init__(self, name, contact=None, loans=None):
        self.name = name
        self.contact = contact or contact_rules.WitnessContact(name)
        self.loans = loans or loan_rules.Loans(name)
        self.plans = {}
        self.limiters = {}
        self.regions = {}
        self.groups = {}
        self._members_of = {}
        self._lagging = {}

    def set_groups(self, declared):
        """Tell the holder which limits belong to one service.

        Args:
            declared: list of :class:`limiters.Limit`.
        """
        self.groups = {limit.id: limit.group for limit in declared}
        self._members_of = {}
        for limit in declared:
            if limit.group and limit.kind == 'slots':
                key = (limit.region, limit.group)
                self._members_of.setdefault(key, []).append(limit.id)

    def apply(self, plan, now):
        """Apply a plan if it is newer than the one in force.

        Returns:
            Whether the plan was applied.
        """
        region = plan['region']
        before = self.plans.get(region)
        if before and before['version'] >= plan['version']:
            return False
        self.plans[region] = plan
        for limit_id, parts in plan['shares'].items():
            self.regions[limit_id] = region
            limiter = self.limiters.get(limit_id)
            if limiter is None:
                limiter = limiter_rules.limiter_for(limit_id)
                self.limiters[limit_id] = limiter
            limiter.share = parts.get(self.name, 0)
        for limit_id in before['shares'] if before else ():
            if limit_id not in plan['shares']:
                self.limiters[limit_id].share = 0
        if before:
            lagging = self._lagging.setdefault(region, {})
            for limit_id, limiter in self.limiters.items():
                if self.regions[limit_id] == region:
                    if not self._fits(limiter, now):
                        lagging.setdefault(limit_id, before['version'])
        return True

    def versions(self):
        """Return ``{region: version}`` of the plans in force."""
        return {name: plan['version'] for name, plan in self.plans.items()}

    def acked(self, now):
        """Return what this instance acknowledges.

        Returns:
            ``{region: (version, {limit: older version})}``: the version holds
            for all limits of the region but those whose use does not fit yet.
            One long request thus delays its own limit only.
        """
        for lagging in self._lagging.values():
            for limit_id in list(lagging):
                if self._fits(self.limiters[limit_id], now):
                    del lagging[limit_id]
        return {
            region: (plan['version'], dict(self._lagging.get(region, {})))
            for region, plan in self.plans.items()
        }

    def _fits(self, limiter, now):
        return limiter.fits(now)

    def usable(self, limit_id, now):
        """Return whether shares of a limit may be used (rule R2)."""
        plan = self.plans.get(self.regions.get(limit_id))
        return plan is not None and self.contact.may_use(plan, now)

    def start(self, limit_id, deadline, now):
        """Admit one request on the own share or on a loan.

        Args:
            limit_id: id of the limit.
            deadline: local time at which the request ends at the latest.
            now: local time.

        Returns:
            A :class:`Ticket`, or None when nothing is left.
        """
        if not self.usable(limit_id, now):
            return None
        limiter = self.limiters[limit_id]
        if deadline - now <= contact_rules.MAX_DEADLINE_S and limiter.admit(
            now
        ):
            return Ticket(limit_id, limiter)
        loan = self.loans.admit(limit_id, deadline, now)
        return Ticket(limit_id, loan.limiter) if loan else None

    def has_free(self, limit_id, now):
        """Return whether a short request would be admitted now."""
        return self.free(limit_id, now)[0] > 0

    def free(self, limit_id, now):
        """Return ``(free amount, whole amount)`` usable now, loans included.

        Args:
            limit_id: id of the limit.
            now: local time.
        """
        limiter = self.limiters.get(limit_id)
        if limiter is None or not self.usable(limit_id, now):
            return 0, 0
        # A lowered share may be less than what is lent until the loan ends.
        free, share = limiter.free(now), max(limiter.share - limiter.lent, 0)
        for loan in self.loans.borrowed.values():
            if loan.limit == limit_id and loan.expires > now:
                free += loan.limiter.free(now)
                share += loan.limiter.share
        return free, share

    def finish(self, ticket):
        """Count the end of a request."""
        if not limiter_rules.is_rate(ticket.limit):
            ticket.limiter.release()

    def spare(self, limit_id, now):
        """Return the amount that may be lent now.

        The reserve is kept over all upstreams of a service in the region,
        because one upstream's share is often a single slot.
        """
        if not self.usable(limit_id, now):
            return 0
        limiter = self.limiters[limit_id]
        key = (self.regions[limit_id], self.groups.get(limit_id, ''))
        ids = self._members_of.get(key, [limit_id])
        limiters = [
            self.limiters[name] for name in ids if name in self.limiters
        ]
        share = sum(one.share for one in limiters)
        free = sum(one.free(now) for one in limiters)
        return max(0, min(limiter.free(now), free - loan_rules.reserve(share)))

    def lend(self, ask, now):
        """Answer a borrower's question."""
        limit_id = ask['limit']
        if not self.usable(limit_id, now):
            return self.loans.grant(ask, None, 0, now)
        return self.loans.grant(
            ask, self.limiters[limit_id], self.spare(limit_id, now), now
        )

    def take_back(self, loan_id):
        """Record that a borrower returned a loan."""
        self.loans.returned(loan_id, self.limiters)

    def step(self, now):
        """Do the periodic work.

        Returns:
            ``(asks, returns)`` as :meth:`loans.Loans.borrower_step`.
        """
        self.contact.tick(now)
        self.loans.expire_granted(self.limiters, now)
        return self.loans.borrower_step(now)

    def may_leave(self, now):
        """Return whether nothing is in use, lent or borrowed any more."""
        idle = all(
            not limiter.used(now) and not limiter.lent
            for limiter in self.limiters.values()
        )
        return idle and not self.loans.borrowed

    def possible(self, limit_id, now):
        """Return the largest use that can happen now without a new message.

        It counts what may be used now, own and borrowed, and what is in
        flight, but not lent amounts: the borrower counts those.
        """
        limiter = self.limiters.get(limit_id)
        if limiter is None:
            return 0
        usable = self.usable(limit_id, now)
        use = limiter.used(now)
        if usable:
            use = max(use, limiter.share - limiter.lent)
        for loan in self.loans.borrowed.values():
            if loan.limit == limit_id:
                part = loan.limiter.used(now)
                if usable and loan.expires > now:
                    part = max(part, loan.limiter.share)
                use += part
        return use
