"""Loans of slots and request rates between instances: lender and borrower.

A loan always expires at the lender after it expires at the borrower: the
borrower measures its duration from when it sent the request, the lender from
when it granted the loan, plus a safety margin. Messages may be lost, repeated
or reordered.
"""

import typing

from jasminehold.decisions import contact_quorum
from jasminehold.decisions import limiters as limiter_rules

LOAN_DURATION_S = contact_quorum.MAX_LOAN_S
# Idle time after which a borrower returns a loan early. With 2 s, lent slots
# stayed idle at the borrower and the p50 at 70% load was 108 to 162 ms instead
# of 88 to 116 ms.
IDLE_RETURN_S = 0.5
# Remaining time at which a loan in use is renewed.
RENEW_BEFORE_EXPIRY_S = 4.0
# Age from which reports of spare amounts are ignored.
MAX_SPARE_REPORT_AGE_S = 5.0
# Number of peers considered per loan request, to bound its cost.
MAX_LENDER_CANDIDATES = 8
# Fraction of its own share that a lender keeps free.
RESERVE_FRACTION = 0.1


class LoanRequest(typing.TypedDict):
    """Loan request of a borrower; ``renews`` is the id of a loan to renew."""

    id: str
    limit: str
    amount: int
    renews: str


class LoanGrant(typing.TypedDict):
    """Response of a lender; ``amount`` is 0 when the loan is refused."""

    id: str
    limit: str
    amount: int
    seconds: float


class Granted(typing.NamedTuple):
    """A granted loan, as the lender records it."""

    limit: str
    amount: int
    seconds: float
    expires: float


class Pending(typing.NamedTuple):
    """An unanswered loan request, as the borrower records it."""

    limit: str
    lender: str
    requested_at: float
    renews: str


class Borrowed:
    """A received loan, as the borrower records it."""

    def __init__(self, limit, lender, expires, limiter, now):
        self.limit = limit
        self.lender = lender
        self.expires = expires
        self.limiter = limiter
        self.last_used = now
        self.renewal_id = ''


def lender_expiry(limit_id, granted_at, seconds):
    """Return the time from which a lender may use a lent amount again.

    For rates this includes the window in which the borrower's last admissions
    still count.
    """
    expires = granted_at + seconds + limiter_rules.safety_margin(seconds)
    if limiter_rules.is_rate(limit_id):
        expires += limiter_rules.RATE_WINDOW_S
    return expires


def borrower_expiry(requested_at, received_at, seconds):
    """Return the time from which a borrower may no longer use a loan."""
    return requested_at + seconds


def reserve(share):
    """Return the part of a share that a lender does not lend."""
    return max(1, int(RESERVE_FRACTION * share + 0.999))


def loan_amount(shortage, spare):
    """Return the amount to request: the shortage, at most half the spare."""
    return max(0, min(shortage, (spare + 1) // 2))


def choose_lender(spares, limit_id, now, rng):
    """Choose the peer to request a loan from.

    Args:
        spares: ``{peer: (time of the report, {limit id: spare amount})}``.
        limit_id: id of the limit.
        now: local time.
        rng: :class:`random.Random`, which spreads borrowers over lenders.

    Returns:
        ``(peer, spare amount)``, or None when no recent report has one.
    """
    names = sorted(spares)
    if len(names) > MAX_LENDER_CANDIDATES:
        names = rng.sample(names, MAX_LENDER_CANDIDATES)
    candidates = []
    for name in names:
        reported_at, amounts = spares[name]
        spare = amounts.get(limit_id, 0)
        if spare > 0 and now - reported_at <= MAX_SPARE_REPORT_AGE_S:
            weight = spare * (
                1 - (now - reported_at) / (MAX_SPARE_REPORT_AGE_S + 1)
            )
            candidates.append((weight, name, spare))
    if not candidates:
        return None
    weights = [weight for weight, _, _ in candidates]
    _, name, spare = rng.choices(candidates, weights)[0]
    return name, spare


class Loans:
    """Loans granted and borrowed by one instance.

    Args:
        name: id of the instance, which prefixes its loan ids.
        expiry: function that computes when a borrowed loan expires, with the
            arguments of :func:`borrower_expiry`.
    """

    def __init__(self, name, expiry=borrower_expiry):
        self.name = name
        self.granted = {}
        self.pending = {}
        self.borrowed = {}
        self._last_number = 0
        self._expiry = expiry

    # Lender

    def grant(self, loan_request, limiter, spare, now):
        """Respond to a loan request and reserve the lent amount.

        Args:
            loan_request: :class:`LoanRequest`.
            limiter: the lender's limiter for the limit, or None while the
                lender may not use its shares.
            spare: amount that may be lent now, without the reserve.
            now: local time.

        Returns:
            A :class:`LoanGrant`; the same one again for a repeated request.
        """
        limit, amount = loan_request['limit'], 0
        earlier = self.granted.get(loan_request['id'])
        if earlier:
            return LoanGrant(
                id=loan_request['id'],
                limit=limit,
                amount=earlier.amount,
                seconds=earlier.seconds,
            )
        old = self.granted.get(loan_request['renews'])
        if limiter is not None and old:
            if limiter.fits(now):
                del self.granted[loan_request['renews']]
                amount = old.amount
        elif limiter is not None and not loan_request['renews']:
            amount = max(0, min(loan_request['amount'], spare))
            limiter.lent += amount
        if amount:
            expires = lender_expiry(limit, now, LOAN_DURATION_S)
            self.granted[loan_request['id']] = Granted(
                limit, amount, LOAN_DURATION_S, expires
            )
        return LoanGrant(
            id=loan_request['id'],
            limit=limit,
            amount=amount,
            seconds=LOAN_DURATION_S,
        )

    def returned(self, loan_id, limiters):
        """Record that a borrower returned a loan."""
        loan = self.granted.pop(loan_id, None)
        if loan:
            limiters[loan.limit].lent -= loan.amount

    def expire_granted(self, limiters, now):
        """Reclaim the amounts of expired loans."""
        for loan_id, loan in list(self.granted.items()):
            if loan.expires <= now:
                self.returned(loan_id, limiters)

    # Borrower

    def request_loan(self, limit_id, amount, lender, now, renews=''):
        """Create a :class:`LoanRequest` and record it as pending."""
        self._last_number += 1
        loan_id = '%s/%d' % (self.name, self._last_number)
        self.pending[loan_id] = Pending(limit_id, lender, now, renews)
        return LoanRequest(
            id=loan_id, limit=limit_id, amount=amount, renews=renews
        )

    def receive(self, grant, now):
        """Process the response to a loan request.

        Returns:
            Id of a loan to return to the lender, when the loan that it renews
            is no longer borrowed; otherwise None.
        """
        request = self.pending.pop(grant['id'], None)
        if request is None:
            return None
        old = self.borrowed.get(request.renews)
        if not grant['amount']:
            return None
        if request.renews and old is None:
            return grant['id']
        expires = self._expiry(request.requested_at, now, grant['seconds'])
        if expires <= now:
            return None
        if old:
            del self.borrowed[request.renews]
            old.expires = expires
            old.renewal_id = ''
            self.borrowed[grant['id']] = old
            return None
        limiter = limiter_rules.limiter_for(request.limit)
        limiter.share = grant['amount']
        self.borrowed[grant['id']] = Borrowed(
            request.limit, request.lender, expires, limiter, now
        )
        return None

    def admit(self, limit_id, deadline, now):
        """Admit a request on a borrowed amount.

        Args:
            limit_id: id of the limit.
            deadline: latest local time at which the request ends.
            now: local time.

        Returns:
            The :class:`Borrowed` loan that the request counts on, or None.
        """
        for loan in self.borrowed.values():
            if loan.limit != limit_id or loan.expires <= now:
                continue
            if (
                not limiter_rules.is_rate(limit_id)
                and deadline >= loan.expires
            ):
                continue
            if loan.limiter.admit(now):
                loan.last_used = now
                return loan
        return None

    def borrower_step(self, now):
        """Drop expired loans, return idle ones and renew those in use.

        Returns:
            ``(requests, returns)``: lists of ``(lender, loan request)`` and
            ``(lender, loan id)``.
        """
        requests, returns = [], []
        for loan_id, request in list(self.pending.items()):
            if now - request.requested_at > LOAN_DURATION_S:
                del self.pending[loan_id]
        for loan_id, loan in list(self.borrowed.items()):
            if loan.expires <= now:
                del self.borrowed[loan_id]
            elif now - loan.last_used > IDLE_RETURN_S:
                if not loan.limiter.used(now):
                    del self.borrowed[loan_id]
                    returns.append((loan.lender, loan_id))
            elif loan.expires - now < RENEW_BEFORE_EXPIRY_S:
                if loan.renewal_id not in self.pending:
                    renewal = self.request_loan(
                        loan.limit, 0, loan.lender, now, loan_id
                    )
                    loan.renewal_id = renewal['id']
                    requests.append((loan.lender, renewal))
        return requests, returns

    def waiting_for(self, limit_id):
        """Return whether a new loan for a limit has been requested."""
        return any(
            request.limit == limit_id and not request.renews
            for request in self.pending.values()
        )
