"""Variants of the rules with one fault each, and a fleet run on them."""

import contextlib
from unittest import mock

from bench import fleet
from jasminehold.decisions import contact_quorum
from jasminehold.decisions import loans
from jasminehold.decisions import plan
from jasminehold.decisions import share_holder


class _AnyWitness(contact_quorum.WitnessContact):
    def may_use(self, item, now):
        if self.newest(item['region']) > item['version']:
            return False
        return any(
            self.age(name, item['region'], now)
            <= contact_quorum.CONTACT_TIMEOUT_S
            for name in item['witnesses']
        )


class _EarlyAck(share_holder.ShareHolder):
    def _fits(self, gate, now):
        return True


class AnyWitness(fleet.Rules):
    """One witness is enough for contact."""

    contact = _AnyWitness


class EarlyAck(fleet.Rules):
    """Plans are acknowledged before the use fits."""

    holder = _EarlyAck


class ExpiryFromReceipt(fleet.Rules):
    """The borrower counts a loan from the receipt of the grant."""

    expiry = staticmethod(lambda asked, received, seconds: received + seconds)


class _LongOnLoan(loans.Loans):
    def admit(self, limit_id, deadline, now):
        return super().admit(limit_id, now, now)


class _LongOnLoanHolder(share_holder.ShareHolder):
    def __init__(self, name, own_contact, own_loans):
        super().__init__(name, own_contact, _LongOnLoan(name))


class LongOnLoan(fleet.Rules):
    """Requests start on a loan although their deadline is after its end."""

    holder = _LongOnLoanHolder


def _contact_wait(limit_id):
    return 3.8


def _no_overlap(limit, previous, target, held):
    return {name: share for name, share in target.items() if share}


# Name to (rules, patched module attribute or None).
VARIANTS = {
    'R1 ignored': (fleet.Rules, (plan, '_apply_overlap', _no_overlap)),
    'R2 wait left out': (
        fleet.Rules,
        (contact_quorum, 'share_expiry_s', lambda _: 0.0),
    ),
    'loan wait left out': (
        fleet.Rules,
        (contact_quorum, 'share_expiry_s', _contact_wait),
    ),
    'deadline ignored': (LongOnLoan, None),
    'any one witness': (AnyWitness, None),
    'expiry from receipt': (ExpiryFromReceipt, None),
    'early acknowledgement': (EarlyAck, None),
}


def run(variant, deployment, seed, steps):
    """Run a fleet on a broken variant.

    Returns:
        The text of the violation, or None when none was seen.
    """
    rules, patch = VARIANTS[variant]
    with contextlib.ExitStack() as stack:
        if patch:
            stack.enter_context(mock.patch.object(*patch))
        try:
            fleet.Fleet(deployment, seed, rules).run(steps)
        except fleet.OverLimit as exc:
            return str(exc)
    return None
