"""Shares of limits that one instance may use: its own and borrowed ones."""

import typing

from jasminehold.decisions import contact_quorum as contact_rules
from jasminehold.decisions import limiters as limiter_rules
from jasminehold.decisions import loans as loan_rules


class Ticket(typing.NamedTuple):
    """An admitted request and the ``limiter`` that counts it."""

    limit: str
    limiter: object


class ShareHolder:
    """Shares and loans of one instance, and the plans that set the shares.

    Args:
        name: id of the instance.
        contact: :class:`contact_quorum.WitnessContact`, which tells when
            plans may be used.
        loans: :class:`loans.Loans` granted and borrowed by the instance.
    """

    def __init__(self, name, contact=None, loans=None):
        self.name = name
        self.contact = contact or contact_rules.WitnessContact(name)
        self.loans = loans or loan_rules.Loans(name)
        self.plans = {}
        self.limiters = {}
        self.regions = {}
        self.groups = {}
        self._slot_limits_by_group = {}
        self._lagging = {}

    def set_groups(self, declared):
        """Set which limits belong to the same service.

        Args:
            declared: list of :class:`limiters.Limit`.
        """
        self.groups = {limit.id: limit.group for limit in declared}
        self._slot_limits_by_group = {}
        for limit in declared:
            if limit.group and limit.kind == 'slots':
                key = (limit.region, limit.group)
                self._slot_limits_by_group.setdefault(key, []).append(limit.id)

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
        for limit_id, by_instance in plan['shares'].items():
            self.regions[limit_id] = region
            limiter = self.limiters.get(limit_id)
            if limiter is None:
                limiter = limiter_rules.limiter_for(limit_id)
                self.limiters[limit_id] = limiter
            limiter.share = by_instance.get(self.name, 0)
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
        """Return the plan versions that this instance acknowledges.

        Returns:
            ``{region: (version, {limit id: older version})}``. The version
            applies to all limits of the region except those whose use exceeds
            the new share, which keep an older version. So a long request
            delays the acknowledgement of its own limit only.
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
        """Return whether the shares of a limit may be used now."""
        plan = self.plans.get(self.regions.get(limit_id))
        return plan is not None and self.contact.may_use(plan, now)

    def start(self, limit_id, deadline, now):
        """Admit one request on the instance's own share or on a loan.

        Args:
            limit_id: id of the limit.
            deadline: latest local time at which the request ends.
            now: local time.

        Returns:
            A :class:`Ticket`, or None when no share or loan has room.
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
        """Return whether a request with a short deadline is admitted now."""
        return self.free(limit_id, now)[0] > 0

    def free(self, limit_id, now):
        """Return ``(free amount, total amount)`` usable now, with loans.

        Args:
            limit_id: id of the limit.
            now: local time.
        """
        limiter = self.limiters.get(limit_id)
        if limiter is None or not self.usable(limit_id, now):
            return 0, 0
        # Until its loans end, a lowered share may be below the lent amount.
        free, share = limiter.free(now), max(limiter.share - limiter.lent, 0)
        for loan in self.loans.borrowed.values():
            if loan.limit == limit_id and loan.expires > now:
                free += loan.limiter.free(now)
                share += loan.limiter.share
        return free, share

    def finish(self, ticket):
        """Release what a finished request used."""
        if not limiter_rules.is_rate(ticket.limit):
            ticket.limiter.release()

    def spare(self, limit_id, now):
        """Return the amount that may be lent now.

        The reserve is kept for all upstreams of a service in the region
        together, because the share of one upstream is often a single slot.
        """
        if not self.usable(limit_id, now):
            return 0
        limiter = self.limiters[limit_id]
        key = (self.regions[limit_id], self.groups.get(limit_id, ''))
        ids = self._slot_limits_by_group.get(key, [limit_id])
        limiters = [
            self.limiters[name] for name in ids if name in self.limiters
        ]
        share = sum(each.share for each in limiters)
        free = sum(each.free(now) for each in limiters)
        return max(0, min(limiter.free(now), free - loan_rules.reserve(share)))

    def lend(self, loan_request, now):
        """Respond to the loan request of a borrower."""
        limit_id = loan_request['limit']
        if not self.usable(limit_id, now):
            return self.loans.grant(loan_request, None, 0, now)
        return self.loans.grant(
            loan_request,
            self.limiters[limit_id],
            self.spare(limit_id, now),
            now,
        )

    def take_back(self, loan_id):
        """Record that a borrower returned a loan."""
        self.loans.returned(loan_id, self.limiters)

    def step(self, now):
        """Expire granted loans, and return or renew borrowed ones.

        Returns:
            ``(requests, returns)`` as :meth:`loans.Loans.borrower_step`.
        """
        self.contact.tick(now)
        self.loans.expire_granted(self.limiters, now)
        return self.loans.borrower_step(now)

    def may_leave(self, now):
        """Return whether nothing is in use, lent or borrowed."""
        unused = all(
            not limiter.used(now) and not limiter.lent
            for limiter in self.limiters.values()
        )
        return unused and not self.loans.borrowed

    def max_use(self, limit_id, now):
        """Return the largest use that is possible without a new message.

        This covers own and borrowed shares that may be used now and requests
        in flight. Lent amounts are left out because the borrower counts them.
        """
        limiter = self.limiters.get(limit_id)
        if limiter is None:
            return 0
        may_use = self.usable(limit_id, now)
        use = limiter.used(now)
        if may_use:
            use = max(use, limiter.share - limiter.lent)
        for loan in self.loans.borrowed.values():
            if loan.limit == limit_id:
                loan_use = loan.limiter.used(now)
                if may_use and loan.expires > now:
                    loan_use = max(loan_use, loan.limiter.share)
                use += loan_use
        return use
