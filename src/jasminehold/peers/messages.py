"""Messages between instances (docs/design.md, section 3.3).

Each message is a map with the key ``type``. Optional
parts are left out rather than sent empty.
"""

import typing

# ``[id, incarnation, state, host, port, place, region, left]``
MemberEntry = typing.List[typing.Any]
# ``{region: {witness: [age_ms, plan_version]}}``, ages counted back from when
# the question was received
ContactAges = typing.Dict[str, typing.Dict[str, typing.List[typing.Any]]]


class Hello(typing.TypedDict):
    """First frame of the side that connected."""

    type: str
    id: str
    nonce: bytes
    keys: typing.List[str]


class Challenge(typing.TypedDict):
    """Answer to ``hello``; ``proof`` shows that the sender has the key."""

    type: str
    id: str
    nonce: bytes
    key: str
    proof: bytes


class Auth(typing.TypedDict):
    """Proof of the side that connected."""

    type: str
    proof: bytes


class MemberPart(typing.TypedDict, total=False):
    """Membership part of an exchange."""

    sum: int
    sums: typing.List[int]
    changes: typing.List[MemberEntry]
    parts: typing.Dict[str, typing.List[MemberEntry]]


class DocumentPart(typing.TypedDict, total=False):
    """Documents part of an exchange: versions only, never values."""

    sum: int
    sums: typing.List[int]
    have: typing.Dict[str, int]
    parts: typing.Dict[str, typing.Dict[str, int]]
    want: typing.List[str]


class Exchange(typing.TypedDict, total=False):
    """``exchange`` and ``exchange_reply``."""

    type: str
    members: MemberPart
    documents: DocumentPart
    notices: typing.List[typing.List[typing.Any]]
    notice_sum: int
    contact: ContactAges


class Fetch(typing.TypedDict):
    """Asks for documents by key."""

    type: str
    keys: typing.List[str]


class Documents(typing.TypedDict):
    """Documents as ``[key, version, encoded value]``."""

    type: str
    documents: typing.List[typing.List[typing.Any]]


class Status(typing.TypedDict):
    """Summary of a subtree; the reply carries the witnesses' ages."""

    type: str
    summary: typing.Dict[str, typing.Any]


class StatusReply(typing.TypedDict):
    """Reply to ``status``."""

    type: str
    contact: ContactAges


class LoanRequest(typing.TypedDict):
    """Asks a peer for part of its share."""

    type: str
    limit: str
    amount: float


class LoanGrant(typing.TypedDict):
    """Reply to ``loan_ask``; amount 0 refuses."""

    type: str
    loan: str
    amount: float
    seconds: float


class LoanReturn(typing.TypedDict):
    """Returns a loan before it ends."""

    type: str
    loan: str


class PermitRequest(typing.TypedDict):
    """Asks an upstream's arbiter for the permit to send it a suspect."""

    type: str
    upstream: str
    seconds: float


class Permit(typing.TypedDict):
    """Reply to ``permit_ask``."""

    type: str
    granted: bool


class PermitEnd(typing.TypedDict):
    """Gives a permit back."""

    type: str
    upstream: str


class Claim(typing.TypedDict):
    """Asks a shard's owner for a claim on an idempotency key."""

    type: str
    shard: int
    key: bytes
    digest: bytes
    instance: str


class ClaimReply(typing.TypedDict):
    """Outcome of a claim."""

    type: str
    outcome: str
    instance: str


class AnswerFetch(typing.TypedDict):
    """Asks the executing instance for a kept answer."""

    type: str
    key: bytes
    claim: str


class Answer(typing.TypedDict):
    """A kept answer, or the state of the request."""

    type: str
    state: str
    answer: typing.Any


class CrashReport(typing.TypedDict):
    """Reports a crash fingerprint; also spread as a notice."""

    type: str
    fingerprint: bytes
    upstream: str


class Leave(typing.TypedDict):
    """Last message of an instance that ends as planned."""

    type: str
    member: MemberEntry
