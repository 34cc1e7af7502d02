"""Which instances read the store, and when.

The instances of a region read for each other. Each reads when what it knows
is older than its threshold, which grows with its rank: the first reads at a
fixed period and tells the others, so that theirs is never reached. When it
falls silent, the next one takes its place by itself.
"""

from jasminehold.decisions import hashing

# A leaving upstream must get nothing more 2.5 s after the store took its
# report; the last rank's threshold, one call and one message fit into that.
READ_EVERY_S = 0.6
TAKE_OVER_S = 0.95
RANK_STEP_S = 0.12
TAKE_OVER_MAX_S = 1.45
# Pause after a failed read, with jitter from 0.75 to 1.25. The two first of a
# region notice the store's return, the others hear of it from them.
RETRY_S = 0.8
RETRY_LATE_S = 1.6
FIRST_RANKS = 2
# Pause when no call left the process: it waits for a connection only.
RETRY_UNSENT_S = 0.15
# Rank of an instance that is about to stop.
LAST_RANK = 1000


def rank(own, members):
    """Return an instance's rank among the members of its region.

    Args:
        own: id of the instance.
        members: ids, with or without its own.
    """
    order = sorted(
        set(members) | {own}, key=lambda name: hashing.number('reader', name)
    )
    return order.index(own)


def threshold_s(own_rank):
    """Return the age in seconds from which on an instance reads itself."""
    if own_rank == 0:
        return READ_EVERY_S
    return min(TAKE_OVER_S + RANK_STEP_S * (own_rank - 1), TAKE_OVER_MAX_S)


def retry_s(own_rank, sent, rng):
    """Return the pause after a failed read, seconds.

    Args:
        own_rank: the instance's rank.
        sent: whether the store may have got the call.
        rng: random source.
    """
    pause = RETRY_S if own_rank < FIRST_RANKS else RETRY_LATE_S
    if not sent:
        pause = RETRY_UNSENT_S
    return pause * (0.75 + 0.5 * rng.random())
