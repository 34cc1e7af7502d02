"""Loans of slots and rates between instances, both sides.

The borrower counts a loan's time from when it sent its question, the lender
from its grant plus a margin, so the loan always ends later in the lender's
view. Messages may be lost, repeated or reordered.
"""

import typing

from jasminehold.decisions import contact_quorum
from jasminehold.decisions import limiters as limiter_rules

LOAN_S = contact_quorum.MAX_LOAN_S
# A loan that was not used for this long is returned early. With 2 s, lent
# slots idled at the borrower: bench/slot_policies.py measured a p50 of 108 to
# 162 ms at 70% load instead of 88 to 116 ms.
IDLE_S = 0.5
# A loan in use is renewed when this much of it is left.
RENEW_LEFT_S = 4.0
# Reported spare amounts older than this are not acted upon.
SPARE_STALE_S = 5.0
# Peers considered for one question, to bound its cost.
PEERS_CONSIDERED = 8
# Part of the own share that a lender keeps free.
RESERVE = 0.1


class LoanRequest(typing.TypedDict):
    """Question of a borrower; ``renews`` is the id of the loan replaced."""

    id: str
    limit: str
    amount: int
    renews: str


class LoanGrant(typing.TypedDict):
    """Answer of a lender; ``amount`` is 0 when the loan is refused."""

    id: str
    limit: str
    amount: int
    seconds: float


class Granted(typing.NamedTuple):
    """A loan in the lender's view."""

    limit: str
    amount: int
    seconds: float
    expires: float


class Pending(typing.NamedTuple):
    """A question without an answer, in the borrower's view."""

    limit: str
    lender: str
    asked_at: float
    renews: str


class Borrowed:
    """A loan in the borrower's view."""

    def __init__(self, limit, lender, expires, limiter, now):
        self.limit = limit
        self.lender = lender
        self.expires = expires
        self.limiter = limiter
        self.last_used = now
        self.renewal = ''


def lender_expiry(limit_id, granted_at, seconds):
    """Return when a lender may use a lent amount again.

    Rates add the window in which the borrower's last admissions count.
    """
    expires = granted_at + seconds + limiter_rules.safety_margin(seconds)
    if limiter_rules.is_rate(limit_id):
        expires += limiter_rules.RATE_WINDOW_S
    return expires


def borrower_expiry(asked_at, received_at, seconds):
    """Return when a borrower stops using a loan."""
    return asked_at + seconds


def reserve(share):
    """Return how much of a share a lender keeps free."""
    return max(1, int(RESERVE * share + 0.999))


def loan_amount(shortage, spare):
    """Return how much to ask for: the shortage, at most half the spare."""
    return max(0, min(shortage, (spare + 1) // 2))


def choose_lender(spares, limit_id, now, rng):
    """Choose whom to ask.

    Args:
        spares: ``{peer: (reported at, {limit: spare amount})}``.
        limit_id: id of the limit.
        now: local time.
        rng: :class:`random.Random`, which spreads askers over lenders.

    Returns:
        ``(peer, spare)``, or None when no recent report shows spare amounts.
    """
    names = sorted(spares)
    if len(names) > PEERS_CONSIDERED:
        names = rng.sample(names, PEERS_CONSIDERED)
    found = []
    for name in names:
        at, amounts = spares[name]
        spare = amounts.get(limit_id, 0)
        if spare > 0 and now - at <= SPARE_STALE_S:
            weight = spare * (1 - (now - at) / (SPARE_STALE_S + 1))
            found.append((weight, name, spare))
    if not found:
        return None
    weights = [weight for weight, _, _ in found]
    _, name, spare = rng.choices(found, weights)[0]
    return name, spare


class Loans:
    """Loans granted and taken by one instance.

    Args:
        name: id of the instance, part of the loan ids.
        expiry: rule for the borrower's expiry.
    """

    def __init__(self, name, expiry=borrower_expiry):
        self.name = name
        self.granted = {}
        self.pending = {}
        self.borrowed = {}
        self._next = 0
        self._expiry = expiry

    # Lender's side.

    def grant(self, ask, limiter, spare, now):
        """Answer a question; the lent amount leaves the limiter first.

        Args:
            ask: :class:`LoanRequest`.
            limiter: the lender's limiter of the limit, or None without contact.
            spare: amount that may be lent now, reserve already taken off.
            now: local time.

        Returns:
            A :class:`LoanGrant`. A repeated question gets the first answer.
        """
        limit, amount = ask['limit'], 0
        known = self.granted.get(ask['id'])
        if known:
            return LoanGrant(
                id=ask['id'],
                limit=limit,
                amount=known.amount,
                seconds=known.seconds,
            )
        old = self.granted.get(ask['renews'])
        if limiter is not None and old:
            if limiter.fits(now):
                del self.granted[ask['renews']]
                amount = old.amount
        elif limiter is not None and not ask['renews']:
            amount = max(0, min(ask['amount'], spare))
            limiter.lent += amount
        if amount:
            expires = lender_expiry(limit, now, LOAN_S)
            self.granted[ask['id']] = Granted(limit, amount, LOAN_S, expires)
        return LoanGrant(
            id=ask['id'], limit=limit, amount=amount, seconds=LOAN_S
        )

    def returned(self, loan_id, limiters):
        """Take back a loan that its borrower returned."""
        loan = self.granted.pop(loan_id, None)
        if loan:
            limiters[loan.limit].lent -= loan.amount

    def expire_granted(self, limiters, now):
        """Take back the loans that ended."""
        for loan_id, loan in list(self.granted.items()):
            if loan.expires <= now:
                self.returned(loan_id, limiters)

    # Borrower's side.

    def request_loan(self, limit_id, amount, lender, now, renews=''):
        """Return a :class:`LoanRequest` and remember when it was sent."""
        self._next += 1
        loan_id = '%s/%d' % (self.name, self._next)
        self.pending[loan_id] = Pending(limit_id, lender, now, renews)
        return LoanRequest(
            id=loan_id, limit=limit_id, amount=amount, renews=renews
        )

    def receive(self, grant, now):
        """Take a granted loan.

        Returns:
            Id of a loan to return because nobody waits for it, or None.
        """
        asked = self.pending.pop(grant['id'], None)
        if asked is None:
            return None
        old = self.borrowed.get(asked.renews)
        if not grant['amount']:
            return None
        if asked.renews and old is None:
            return grant['id']
        expires = self._expiry(asked.asked_at, now, grant['seconds'])
        if expires <= now:
            return None
        if old:
            del self.borrowed[asked.renews]
            old.expires = expires
            old.renewal = ''
            self.borrowed[grant['id']] = old
            return None
        limiter = limiter_rules.limiter_for(asked.limit)
        limiter.share = grant['amount']
        self.borrowed[grant['id']] = Borrowed(
            asked.limit, asked.lender, expires, limiter, now
        )
        return None

    def admit(self, limit_id, deadline, now):
        """Start a request on a borrowed amount.

        Args:
            limit_id: id of the limit.
            deadline: local time at which the request ends at the latest.
            now: local time.

        Returns:
            The :class:`Borrowed` loan, or None.
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
        """Drop ended loans, return idle ones and renew those in use.

        Returns:
            ``(asks, returns)``: lists of ``(lender, message)``; a return is
            a loan id.
        """
        asks, returns = [], []
        for loan_id, asked in list(self.pending.items()):
            if now - asked.asked_at > LOAN_S:
                del self.pending[loan_id]
        for loan_id, loan in list(self.borrowed.items()):
            if loan.expires <= now:
                del self.borrowed[loan_id]
            elif now - loan.last_used > IDLE_S:
                if not loan.limiter.used(now):
                    del self.borrowed[loan_id]
                    returns.append((loan.lender, loan_id))
            elif loan.expires - now < RENEW_LEFT_S:
                if loan.renewal not in self.pending:
                    ask = self.request_loan(
                        loan.limit, 0, loan.lender, now, loan_id
                    )
                    loan.renewal = ask['id']
                    asks.append((loan.lender, ask))
        return asks, returns

    def waiting_for(self, limit_id):
        """Return whether a question about a limit has no answer yet."""
        return any(
            asked.limit == limit_id and not asked.renews
            for asked in self.pending.values()
        )
