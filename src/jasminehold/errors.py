"""Exceptions, error kinds and the HTTP answer for each kind.

Every exception of the package derives from :class:`JasmineholdError` and has
a :class:`Kind`. The table :data:`ANSWERS` maps each kind to the HTTP answer
for callers and operators, so no other module chooses a status code.

Example:
    >>> answer_for(Kind.OVERLOADED).status
    503
"""

import enum
import typing


class Kind(enum.Enum):
    """All error kinds."""

    BAD_REQUEST = 'bad_request'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    UNAUTHENTICATED = 'unauthenticated'
    UNKNOWN_SERVICE = 'unknown_service'
    NOT_FOUND = 'not_found'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    INVALID_RESOURCE = 'invalid_resource'
    CONFLICT = 'conflict'
    GONE = 'gone'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    UNAVAILABLE = 'unavailable'
    OVERLOADED = 'overloaded'
    OVER_QUOTA = 'over_quota'
    NOT_RUN = 'not_run'
    LEAVING = 'leaving'
    DEADLINE_NOT_RUN = 'deadline_not_run'
    DEADLINE_UNKNOWN = 'deadline_unknown'
    IN_PROGRESS = 'in_progress'
    ANSWER_LOST = 'answer_lost'
    KEY_REUSED = 'key_reused'
    POISON = 'poison'
    QUARANTINED = 'quarantined'
    UPSTREAM_FAILED = 'upstream_failed'
    INTERNAL = 'internal'


class Run(enum.Enum):
    """Whether the request was executed, as stated by an answer."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class Answer(typing.NamedTuple):
    """HTTP answer for an error kind.

    Attributes:
        status: HTTP status code.
        run: whether the request was executed.
        retry_after: whether the answer has a ``Retry-After`` header.
        text: error message of one sentence.
    """

    status: int
    run: Run
    retry_after: bool
    text: str


ANSWERS = {
    Kind.BAD_REQUEST: Answer(
        400, Run.NOT_RUN, False, 'The request is malformed.'
    ),
    Kind.HEADERS_TOO_LARGE: Answer(
        431, Run.NOT_RUN, False, 'The request headers are too large.'
    ),
    Kind.BODY_TOO_LARGE: Answer(
        413, Run.NOT_RUN, False, 'The request body is too large.'
    ),
    Kind.UNAUTHENTICATED: Answer(
        401, Run.NOT_RUN, False, 'A valid token is required.'
    ),
    Kind.UNKNOWN_SERVICE: Answer(
        404, Run.NOT_RUN, False, 'No such service is declared.'
    ),
    Kind.NOT_FOUND: Answer(404, Run.NOT_RUN, False, 'No such resource.'),
    Kind.METHOD_NOT_ALLOWED: Answer(
        405, Run.NOT_RUN, False, 'The method is not supported here.'
    ),
    Kind.INVALID_RESOURCE: Answer(
        400, Run.NOT_RUN, False, 'The resource is not valid.'
    ),
    Kind.CONFLICT: Answer(
        409, Run.NOT_RUN, False, 'The resource version is stale.'
    ),
    Kind.GONE: Answer(
        410, Run.NOT_RUN, False, 'The resource version is no longer kept.'
    ),
    Kind.OUTCOME_UNKNOWN: Answer(
        502, Run.UNKNOWN, False, 'The request may have run; check first.'
    ),
    Kind.UNAVAILABLE: Answer(
        503, Run.NOT_RUN, True, 'What the request needs is not available.'
    ),
    Kind.OVERLOADED: Answer(
        503, Run.NOT_RUN, True, 'No capacity is left; the request was shed.'
    ),
    Kind.OVER_QUOTA: Answer(
        429, Run.NOT_RUN, True, 'The account is over its quota.'
    ),
    Kind.NOT_RUN: Answer(503, Run.NOT_RUN, True, 'The request did not run.'),
    Kind.LEAVING: Answer(
        503, Run.NOT_RUN, True, 'This instance is leaving; use another one.'
    ),
    Kind.DEADLINE_NOT_RUN: Answer(
        504, Run.NOT_RUN, False, 'The deadline passed before the request ran.'
    ),
    Kind.DEADLINE_UNKNOWN: Answer(
        504, Run.UNKNOWN, False, 'The deadline passed; it may have run.'
    ),
    Kind.IN_PROGRESS: Answer(
        409, Run.UNKNOWN, True, 'A request with this key is in progress.'
    ),
    Kind.ANSWER_LOST: Answer(
        409, Run.UNKNOWN, False, 'It may have run; the answer is not kept.'
    ),
    Kind.KEY_REUSED: Answer(
        422, Run.NOT_RUN, False, 'The key belongs to a different request.'
    ),
    Kind.POISON: Answer(
        422, Run.UNKNOWN, False, 'This request crashed upstreams; refused.'
    ),
    Kind.QUARANTINED: Answer(
        503, Run.NOT_RUN, True, 'Requests like this one crash upstreams.'
    ),
    Kind.UPSTREAM_FAILED: Answer(
        502, Run.UNKNOWN, True, 'The upstream failed; a repeat is safe.'
    ),
    Kind.INTERNAL: Answer(500, Run.UNKNOWN, False, 'Internal error.'),
}


class JasmineholdError(Exception):
    """Base class of all exceptions of this package.

    Args:
        message: error message of one sentence; by default that of the kind.
        retry_after: seconds to wait before a retry, or None.
        details: JSON-compatible details, for example the invalid fields.
    """

    kind = Kind.INTERNAL

    def __init__(self, message='', *, retry_after=None, details=None):
        super().__init__(message or ANSWERS[self.kind].text)
        self.retry_after = retry_after
        self.details = details


class SettingsError(JasmineholdError):
    """Raised when the settings file is unreadable or a key is invalid."""

    kind = Kind.BAD_REQUEST


class RequestError(JasmineholdError):
    """Raised to fail a caller's request with an error kind."""

    kind = Kind.BAD_REQUEST

    def __init__(self, kind, message='', **kwargs):
        self.kind = kind
        super().__init__(message, **kwargs)


class ResourceError(JasmineholdError):
    """Base class of errors of the operators' resource API."""


class InvalidResource(ResourceError):
    """Raised when a declared resource fails validation.

    ``details`` is a list of ``{"path": ..., "error": ...}``.
    """

    kind = Kind.INVALID_RESOURCE


class ResourceNotFound(ResourceError):
    """Raised when no resource has the given kind and name."""

    kind = Kind.NOT_FOUND


class StaleVersion(ResourceError):
    """Raised when an update is based on an older resource version."""

    kind = Kind.CONFLICT


class WatchExpired(ResourceError):
    """Raised when a watch starts at a version that is no longer kept."""

    kind = Kind.GONE


class Unauthenticated(ResourceError):
    """Raised when an operator's request has no valid token."""

    kind = Kind.UNAUTHENTICATED


class PlatformError(JasmineholdError):
    """Base class of errors of the platform's key-value service."""

    kind = Kind.UNAVAILABLE


class PlatformUnavailable(PlatformError):
    """Raised when a platform call failed and definitely had no effect."""


class UnreadableDocument(PlatformError):
    """Raised when a stored value is not a document of this package."""


class NotConnected(PlatformUnavailable):
    """Raised when a platform call was not sent."""


class OutcomeUnknown(PlatformError):
    """Raised when it is unknown whether a platform write took effect."""

    kind = Kind.OUTCOME_UNKNOWN


class VersionMismatch(PlatformError):
    """Raised when a compare-and-swap finds another version.

    Attributes:
        version: the stored version, 0 if the key is absent.
    """

    kind = Kind.CONFLICT

    def __init__(self, message='', *, version=0, **kwargs):
        super().__init__(message, **kwargs)
        self.version = version


class KeyNotFound(PlatformError):
    """Raised when a key or a lease does not exist."""

    kind = Kind.NOT_FOUND


class Compacted(PlatformError):
    """Raised when a watch can't tell the changes; a list has to be read."""

    kind = Kind.GONE


class PeerError(JasmineholdError):
    """Raised when a peer violates the protocol or fails to prove its key.

    The stream is closed and counted; callers never get this error.
    """


# Exceptions that can be raised while a malformed message is read.
MALFORMED_MESSAGE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    # Of deeply nested documents.
    RecursionError,
    PeerError,
)


def kind_of(value):
    """Return the :class:`Kind` of the value of an error header, or None.

    Args:
        value: bytes, or None.
    """
    try:
        return Kind((value or b'').decode('latin-1'))
    except ValueError:
        return None


def answer_for(kind):
    """Return the answer for an error kind.

    Args:
        kind: a :class:`Kind`.

    Returns:
        The :class:`Answer`.
    """
    return ANSWERS[kind]
