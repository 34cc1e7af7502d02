"""Functions that the request path gets from the rest of the product.

The path itself holds no steering rule. :func:`round_robin` builds a working
set of hooks from a list of upstreams, without claims.
"""

import collections
import itertools
import typing

from jasminehold import errors

ANSWERS_KEPT = 10_000
ATTEMPTS = 3
IDEMPOTENT = frozenset((b'GET', b'HEAD', b'OPTIONS', b'PUT', b'DELETE'))


class RequestInfo(typing.NamedTuple):
    """What the hooks may look at.

    Attributes:
        method: method in upper case, bytes.
        path: request target, bytes.
        headers: list of ``(lower-case name, value)``, bytes.
        service: service named by the caller.
        attempt: value of ``Jasminehold-Attempt``, 0 when absent.
        fingerprint: digest of method, path and body for crash tracking,
            empty until the body is known.
        plan: the :class:`RequestPlan`, None before ``route``.
        peer: address of the caller.
    """

    method: bytes
    path: bytes
    headers: list
    service: str
    attempt: int
    fingerprint: bytes
    plan: typing.Any
    peer: str


class RequestPlan(typing.NamedTuple):
    """Result of ``route``; ``timeout_s`` bounds the caller's deadline."""

    service: str
    idempotent: bool
    timeout_s: float
    priority: int = 1


class Target(typing.NamedTuple):
    """One upstream with a slot taken; ``release`` is called exactly once."""

    upstream: str
    host: str
    port: int
    release: typing.Callable
    connections: int = 300


class Refusal(typing.NamedTuple):
    """No target; the request was not run."""

    kind: errors.Kind
    retry_after_s: float = 1.0


class KeptAnswer(typing.NamedTuple):
    """Whole answer of a claimed request."""

    request_digest: bytes
    status: int
    headers: list
    body: bytes


class Claim(typing.NamedTuple):
    """Result of a claim: granted, an answer, or the kind of the refusal."""

    granted: bool
    kind: typing.Any = None
    answer: typing.Any = None


class Hooks(typing.NamedTuple):
    """All injected functions.

    Attributes:
        route: ``(req) -> RequestPlan or Kind``.
        pick: ``(req, tried, now) -> Target or Refusal``.
        wait_for_target: ``(req, deadline, done)``; ``done`` takes the same.
        claim: ``(key_digest, request_digest, done)``; ``done(Claim)``.
        release_claim: ``(key_digest)``: the request certainly did not run.
        keep_answer: ``(key_digest, KeptAnswer or None)``; None when it may
            have run and no answer can be kept.
        find_answer: ``(key_digest) -> KeptAnswer or None``.
        may_retry: ``(req, outcome, now) -> delay in seconds or None``.
        note_result: ``(upstream, outcome, latency_s, now)``.
        note_crash: ``(upstream, fingerprints)``.
    """

    route: typing.Callable
    pick: typing.Callable
    wait_for_target: typing.Callable
    claim: typing.Callable
    release_claim: typing.Callable
    keep_answer: typing.Callable
    find_answer: typing.Callable
    may_retry: typing.Callable
    note_result: typing.Callable
    note_crash: typing.Callable


class AnswerStore:
    """Answers of claimed requests, at most ``limit``, oldest out first."""

    def __init__(self, limit=ANSWERS_KEPT):
        self._limit = limit
        self._answers = collections.OrderedDict()

    def keep(self, key_digest, answer):
        """Keep an answer; None is not kept."""
        if answer is None:
            return
        self._answers[key_digest] = answer
        while len(self._answers) > self._limit:
            self._answers.popitem(last=False)

    def find(self, key_digest):
        """Return the answer or None."""
        return self._answers.get(key_digest)


def _ignore(*args):
    return None


def round_robin(upstreams, timeout_s=10.0):
    """Return hooks that use a list of upstreams in turn.

    Args:
        upstreams: list of ``(id, host, port)``.
        timeout_s: the service's time-out.

    Returns:
        :class:`Hooks` without claims, with up to two repeats each.
    """
    turn = itertools.count()
    answers = AnswerStore()

    def route(req):
        return RequestPlan(req.service, req.method in IDEMPOTENT, timeout_s)

    def pick(req, tried, now):
        free = [item for item in upstreams if item[0] not in tried]
        if not free:
            return Refusal(errors.Kind.OVERLOADED)
        return Target(*free[next(turn) % len(free)], _ignore)

    def may_retry(req, outcome, now):
        return 0.0 if len(outcome.tried) < ATTEMPTS else None

    return Hooks(
        route=route,
        pick=pick,
        wait_for_target=lambda req, deadline, done: done(
            Refusal(errors.Kind.OVERLOADED)
        ),
        claim=lambda key, digest, done: done(Claim(True)),
        release_claim=_ignore,
        keep_answer=answers.keep,
        find_answer=answers.find,
        may_retry=may_retry,
        note_result=_ignore,
        note_crash=_ignore,
    )
