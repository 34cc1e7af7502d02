"""Faulty rules for instances of ``bench.order_fleet``, by name."""

from jasminehold import claims
from jasminehold.decisions import claim_log
from jasminehold.decisions import request
from jasminehold import errors
from jasminehold.proxy import upstream
from jasminehold.steering import picker

Kind = errors.Kind


def _grant_unstored():
    def claim(self, key_digest, request_digest, instance_id, done):
        result = claim_log.Result(claim_log.Status.GRANTED, instance_id)
        self._loop.call_soon(done, result, None)

    claims.Claims.claim = claim


def _repeat_losses():
    def lost(self, kind):
        return self._ask_retry(kind)

    request.RequestState._lost = lost


def _deny_losses():
    answer = errors.ANSWERS[Kind.OUTCOME_UNKNOWN]
    errors.ANSWERS[Kind.OUTCOME_UNKNOWN] = answer._replace(
        run=errors.Run.NOT_RUN
    )


def _blame_without_service():
    picker.Picker._fingerprint = lambda self, req: req.fingerprint


def _pass_losses_on():
    def suspect(self, target, exchange, done):
        known = _suspect(self, target, exchange, lambda crashed: None)
        self._loop.call_soon(done, False)
        return known

    _suspect = upstream.Pool.check_for_crash
    upstream.Pool.check_for_crash = suspect


VARIANTS = {
    'claims granted unstored': _grant_unstored,
    'losses repeated': _repeat_losses,
    'losses called not run': _deny_losses,
    'losses passed on at once': _pass_losses_on,
    'blame under other names': _blame_without_service,
}


def break_rule(name):
    """Break one rule in this process."""
    VARIANTS[name]()
