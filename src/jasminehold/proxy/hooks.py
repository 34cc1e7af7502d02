"""Functions that the application injects into the proxy.

The proxy contains no steering rules. :func:`round_robin` returns a complete
set of hooks for a list of upstreams; it grants every claim.
"""

import collections
import itertools
import typing

from jasminehold import errors

KEPT_ANSWERS_MAX = 10_000
KEPT_ANSWERS_MAX_BYTES = 32 * 1024 * 1024
KEPT_ANSWER_TTL_S = 600.0
MAX_ATTEMPTS = 3
IDEMPOTENT_METHODS = frozenset(
    (b'GET', b'HEAD', b'OPTIONS', b'PUT', b'DELETE')
)


class RequestInfo(typing.NamedTuple):
    """Description of a request, passed to the hooks.

    Attributes:
        method: method in upper case, bytes.
        path: request target, bytes.
        headers: list of ``(lower-case name, value)``, bytes.
        service: service that the caller requested.
        attempt: value of ``Jasminehold-Attempt``, 0 when absent.
        fingerprint: digest of method, path and body, used to detect requests
            that crash upstreams; empty until sending starts. For a streamed
            body it covers only the bytes received by then.
        plan: the :class:`RequestPlan`, None until ``route`` returns.
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
    """Result of ``route``.

    A deadline from the caller can shorten ``timeout_s`` but not extend it.
    """

    service: str
    idempotent: bool
    timeout_s: float
    priority: int = 1


class Target(typing.NamedTuple):
    """Upstream with an acquired slot; ``release`` must be called once."""

    upstream: str
    host: str
    port: int
    release: typing.Callable
    connections: int = 300


class Refusal(typing.NamedTuple):
    """Reason why no target is available; the request was not run."""

    kind: errors.Kind
    retry_after_s: float = 1.0


class KeptAnswer(typing.NamedTuple):
    """Complete response to a claimed request, stored for resends."""

    request_digest: bytes
    status: int
    headers: list
    body: bytes


class Claim(typing.NamedTuple):
    """Result of a claim: granted, a kept answer, or an error kind."""

    granted: bool
    kind: typing.Any = None
    answer: typing.Any = None


class Hooks(typing.NamedTuple):
    """The injected functions.

    Attributes:
        route: ``(req) -> RequestPlan or Kind``.
        pick: ``(req, tried, now) -> Target or Refusal``.
        wait_for_target: ``(req, tried, deadline, done)``;
            ``done(Target or Refusal)``.
        claim: ``(key_digest, request_digest, done)``; ``done(Claim)``.
        release_claim: ``(key_digest)``; called only if the request
            certainly did not run.
        keep_answer: ``(key_digest, KeptAnswer or None)``; None if the
            request may have run and its response is unknown or too large.
        find_answer: ``(key_digest) -> KeptAnswer or None``.
        may_retry: ``(req, attempt, now) -> delay in seconds or None``;
            ``attempt`` is a :class:`~jasminehold.proxy.exchange.Attempt`.
        record_result: ``(upstream, result, latency_s, now)``.
        record_crash: ``(upstream, fingerprints)``.
        upstreams: ``() -> [(id, place, host, port)]``, the known upstreams,
            with which the path to them is checked.
        path_checked: ``(lost, since)``, called when this instance finds that
            it has no path to the upstreams, again and again while that lasts,
            and when it has one again. Failures after ``since`` (seconds,
            monotonic) say nothing about the upstreams.
    """

    route: typing.Callable
    pick: typing.Callable
    wait_for_target: typing.Callable
    claim: typing.Callable
    release_claim: typing.Callable
    keep_answer: typing.Callable
    find_answer: typing.Callable
    may_retry: typing.Callable
    record_result: typing.Callable
    record_crash: typing.Callable
    upstreams: typing.Callable = lambda: ()
    path_checked: typing.Callable = lambda lost, since: None


class AnswerStore:
    """Bounded store of kept answers; evicts the oldest first.

    Args:
        limit: maximum number of answers.
        limit_bytes: maximum total size of their bodies.
        keep_s: time to live of an answer, in seconds.
    """

    def __init__(
        self,
        limit=KEPT_ANSWERS_MAX,
        limit_bytes=KEPT_ANSWERS_MAX_BYTES,
        keep_s=KEPT_ANSWER_TTL_S,
    ):
        self._max_answers = limit
        self._max_total_bytes = limit_bytes
        self._keep_s = keep_s
        self._answers = collections.OrderedDict()
        self._total_bytes = 0

    def keep(self, key_digest, answer, now=0.0):
        """Store an answer; None is ignored.

        Args:
            key_digest: digest of service and idempotency key.
            answer: a :class:`KeptAnswer` or None.
            now: seconds, monotonic.
        """
        if answer is None:
            return
        self._drop(key_digest)
        self._answers[key_digest] = (now, answer)
        self._total_bytes += len(answer.body)
        while self._answers and (
            len(self._answers) > self._max_answers
            or self._total_bytes > self._max_total_bytes
            or now - next(iter(self._answers.values()))[0] >= self._keep_s
        ):
            self._drop(next(iter(self._answers)))

    def find(self, key_digest, now=0.0):
        """Return the answer, or None if it is missing or expired."""
        found = self._answers.get(key_digest)
        if found is None or now - found[0] >= self._keep_s:
            return None
        return found[1]

    def _drop(self, key_digest):
        found = self._answers.pop(key_digest, None)
        if found is not None:
            self._total_bytes -= len(found[1].body)


def _ignore(*args):
    return None


def round_robin(upstreams, timeout_s=10.0):
    """Return hooks that select upstreams in rotation.

    Args:
        upstreams: list of ``(id, host, port)``.
        timeout_s: request timeout.

    Returns:
        :class:`Hooks` that grant every claim and retry a request up to two
        times.
    """
    counter = itertools.count()
    answers = AnswerStore()

    def route(req):
        return RequestPlan(
            req.service, req.method in IDEMPOTENT_METHODS, timeout_s
        )

    def pick(req, tried, now):
        untried = [item for item in upstreams if item[0] not in tried]
        if not untried:
            return Refusal(errors.Kind.OVERLOADED)
        return Target(*untried[next(counter) % len(untried)], _ignore)

    def may_retry(req, attempt, now):
        return 0.0 if len(attempt.tried) < MAX_ATTEMPTS else None

    return Hooks(
        route=route,
        pick=pick,
        wait_for_target=lambda req, tried, deadline, done: done(
            Refusal(errors.Kind.OVERLOADED)
        ),
        claim=lambda key, digest, done: done(Claim(True)),
        release_claim=_ignore,
        keep_answer=answers.keep,
        find_answer=answers.find,
        may_retry=may_retry,
        record_result=_ignore,
        record_crash=_ignore,
    )
