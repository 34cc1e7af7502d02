"""How the sends of a request to an upstream end.

A request that goes through another instance is sent by that instance, which
sees how it ends.
"""

import enum


class End(enum.Enum):
    """How one send of a request to one upstream ended.

    ``ANSWERED``: a complete response of the upstream, whatever its status.
    ``REJECTED``: the upstream said that it did not run the request.
    ``MISDIRECTED``: another upstream has its address now.
    ``DISCONNECTED``: the connection ended before the first byte.
    ``BROKEN_HEAD``: it ended, or what came was no response, in the head.
    ``BROKEN_BODY``: the same in the body.
    ``SPOILT``: a whole response that the upstream did not make.
    ``ENDLESS``: more bytes than a response can have.
    ``TIMED_OUT``: the upstream's host does not acknowledge anything.
    ``DEADLINE``: the deadline passed.
    ``CALLER_GONE``: the caller left.
    ``PATH_SILENT``: it was withdrawn because no upstream said anything.
    """

    ANSWERED = 'answered'
    REJECTED = 'rejected'
    MISDIRECTED = 'misdirected'
    DISCONNECTED = 'disconnected'
    BROKEN_HEAD = 'broken_head'
    BROKEN_BODY = 'broken_body'
    SPOILT = 'spoilt'
    ENDLESS = 'endless'
    TIMED_OUT = 'timed_out'
    DEADLINE = 'deadline'
    CALLER_GONE = 'caller_gone'
    PATH_SILENT = 'path_silent'
