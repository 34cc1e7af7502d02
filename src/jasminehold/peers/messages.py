"""Messages between instances (docs/design.md, section 3.3).

Each message is a map with the key ``type``. Empty optional fields are omitted.
"""

import typing

# ``[id, incarnation, state, host, port, place, region, left]``
MemberEntry = typing.List[typing.Any]
# ``{region: {witness: [age_ms, plan_version]}}``; ages count back from the
# receipt of the request
ContactAges = typing.Dict[str, typing.Dict[str, typing.List[typing.Any]]]


class Hello(typing.TypedDict):
    """First message of the connecting side."""

    type: str
    id: str
    nonce: bytes
    keys: typing.List[str]


class Challenge(typing.TypedDict):
    """Reply to ``hello``; ``proof`` proves possession of the key."""

    type: str
    id: str
    nonce: bytes
    key: str
    proof: bytes


class Auth(typing.TypedDict):
    """Proof that the connecting side has the key."""

    type: str
    proof: bytes


class MemberPart(typing.TypedDict, total=False):
    """Membership in an exchange."""

    sum: int
    sums: typing.List[int]
    changes: typing.List[MemberEntry]
    parts: typing.Dict[str, typing.List[MemberEntry]]


class DocumentPart(typing.TypedDict, total=False):
    """Documents in an exchange: versions only, never values."""

    sum: int
    sums: typing.List[int]
    have: typing.Dict[str, int]
    parts: typing.Dict[str, typing.Dict[str, int]]
    want: typing.List[str]


class Exchange(typing.TypedDict, total=False):
    """Gossip request ``exchange`` and its reply ``exchange_reply``."""

    type: str
    members: MemberPart
    documents: DocumentPart
    notices: typing.List[typing.List[typing.Any]]
    notice_sum: int
    contact: ContactAges


class Fetch(typing.TypedDict):
    """Requests documents by key."""

    type: str
    keys: typing.List[str]


class Documents(typing.TypedDict):
    """Documents, each as ``[key, version, encoded value]``."""

    type: str
    documents: typing.List[typing.List[typing.Any]]


class Status(typing.TypedDict):
    """Summary of a subtree of the status tree."""

    type: str
    summary: typing.Dict[str, typing.Any]


class StatusReply(typing.TypedDict):
    """Reply to ``status``, with the contact ages of the witnesses."""

    type: str
    contact: ContactAges


class LoanRequest(typing.TypedDict):
    """Requests a loan of part of a peer's share of a limit."""

    type: str
    limit: str
    amount: float


class LoanGrant(typing.TypedDict):
    """Reply to ``loan_ask``; amount 0 means refused."""

    type: str
    loan: str
    amount: float
    seconds: float


class LoanReturn(typing.TypedDict):
    """Returns a loan before it expires."""

    type: str
    loan: str


class PermitRequest(typing.TypedDict):
    """Requests a permit to send a crash suspect to an upstream.

    The receiver is the arbiter of the upstream.
    """

    type: str
    upstream: str
    seconds: float


class Permit(typing.TypedDict):
    """Reply to ``permit_ask``."""

    type: str
    granted: bool


class PermitEnd(typing.TypedDict):
    """Releases a permit."""

    type: str
    upstream: str


class Claim(typing.TypedDict):
    """Requests a claim on an idempotency key from the shard's owner."""

    type: str
    shard: int
    key: bytes
    digest: bytes
    instance: str


class ClaimReply(typing.TypedDict):
    """Reply to a claim."""

    type: str
    outcome: str
    instance: str


class AnswerFetch(typing.TypedDict):
    """Requests a kept answer from the instance that ran the request."""

    type: str
    key: bytes
    claim: str


class Answer(typing.TypedDict):
    """Reply with a kept answer or the state of the request."""

    type: str
    state: str
    answer: typing.Any


class CrashReport(typing.TypedDict):
    """Fingerprint of a request in flight at a crash.

    Also sent as a notice.
    """

    type: str
    fingerprint: bytes
    upstream: str


class CrashNotice(typing.TypedDict):
    """A loss or a success of a request, sent to its arbiters.

    ``notice`` is a :class:`~decisions.crash_suspects.CrashNotice`.
    """

    type: str
    notice: typing.Dict[str, typing.Any]


class CrashUnconfirmed(typing.TypedDict):
    """A loss that looks like a crash and that nobody else has seen.

    ``notice`` is a :class:`~decisions.crash_suspects.CrashNotice`.
    """

    type: str
    notice: typing.Dict[str, typing.Any]


class CrashQuery(typing.TypedDict):
    """Asks what the receiver has seen of an upstream around a time.

    ``born`` is the upstream's start time in ms, ``age`` seconds since it seems
    to have crashed. The reply holds ``seen``, a
    :class:`~decisions.crash_evidence.Seen` by its value.
    """

    type: str
    upstream: str
    born: int
    host: str
    port: int
    age: float


class QuarantineProbe(typing.TypedDict):
    """Asks an arbiter whether a quarantined request may be sent once.

    The reply holds ``granted``.
    """

    type: str
    digest: bytes


class CrashVerdicts(typing.TypedDict):
    """States of requests, each as ``[digest, state, seconds left]``."""

    type: str
    verdicts: typing.List[typing.List[typing.Any]]


class UpstreamLimits(typing.TypedDict):
    """Limits that upstreams stated, also as a request and its reply.

    Each is ``[id, born_ms, requests a second or None, age in seconds]``.
    """

    type: str
    limits: typing.List[typing.List[typing.Any]]


class UpstreamsLeaving(typing.TypedDict):
    """Upstreams that said that they leave.

    Each is ``[id, born_ms, age in seconds]``.
    """

    type: str
    leaving: typing.List[typing.List[typing.Any]]


class KeptItemsRequest(typing.TypedDict):
    """Asks what a peer keeps beyond the list of the store."""

    type: str
    era: int


class KeptItems(typing.TypedDict, total=False):
    """Reply to ``kept_items``; of another era than asked, only ``era``.

    ``packed``: the fields of :class:`~decisions.store_replica.Kept`,
    compressed.
    """

    era: int
    packed: bytes


class PathState(typing.TypedDict):
    """Whether the sender has lost its path to the upstreams.

    ``age``: seconds for which it has known it.
    """

    type: str
    lost: bool
    age: float


class Leave(typing.TypedDict):
    """Last message of an instance that shuts down gracefully."""

    type: str
    member: MemberEntry
