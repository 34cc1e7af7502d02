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
    ``DOUBTFUL``: a rejection that may belong to another send.
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
    DOUBTFUL = 'doubtful'
    DISCONNECTED = 'disconnected'
    BROKEN_HEAD = 'broken_head'
    BROKEN_BODY = 'broken_body'
    SPOILT = 'spoilt'
    ENDLESS = 'endless'
    TIMED_OUT = 'timed_out'
    DEADLINE = 'deadline'
    CALLER_GONE = 'caller_gone'
    PATH_SILENT = 'path_silent'


# Ends of sends that did not run.
NOT_RUN = frozenset({End.REJECTED, End.MISDIRECTED})


class Meaning(enum.Enum):
    """What the end of a send says of a crash of its upstream.

    ``CLEARS``: the request ran without one.
    ``LOST``: a crash, unless most connections to the upstream live on.
    ``DOUBTED``: nothing by itself; the upstream tells by what it does next.
    ``NOTHING``: the request did not run, or its path explains the end.
    """

    CLEARS = 'clears'
    LOST = 'lost'
    DOUBTED = 'doubted'
    NOTHING = 'nothing'


MEANINGS = {
    End.ANSWERED: Meaning.CLEARS,
    End.REJECTED: Meaning.NOTHING,
    End.MISDIRECTED: Meaning.NOTHING,
    End.DOUBTFUL: Meaning.DOUBTED,
    End.DISCONNECTED: Meaning.LOST,
    # Upstreams that go on may spoil single responses.
    End.BROKEN_HEAD: Meaning.DOUBTED,
    End.BROKEN_BODY: Meaning.DOUBTED,
    End.SPOILT: Meaning.DOUBTED,
    End.ENDLESS: Meaning.DOUBTED,
    # An upstream may go on with what nobody waits for any more.
    End.TIMED_OUT: Meaning.DOUBTED,
    End.DEADLINE: Meaning.DOUBTED,
    End.CALLER_GONE: Meaning.DOUBTED,
    End.PATH_SILENT: Meaning.NOTHING,
}
