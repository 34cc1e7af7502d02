"""Schedule of the store reads of the instances of a region.

The instances of a region share what they read. Each reads the store when its
replica is older than a threshold that grows with its rank. The first instance
reads at a fixed interval and sends the result to the others, so that they do
not reach their thresholds. When it fails, the next instance takes over.
"""

from jasminehold.decisions import hashing

# A leaving upstream must receive no more requests 2.5 s after the store has
# its report. The highest threshold, one call and one message fit into that.
READ_INTERVAL_S = 0.6
MIN_TAKEOVER_AGE_S = 0.95
TAKEOVER_STEP_S = 0.12
MAX_TAKEOVER_AGE_S = 1.45
# Delay after a failed read, before jitter of 0.75 to 1.25. Only the first two
# ranks retry fast; they detect the store's recovery and inform the others.
RETRY_S = 0.8
LATER_RANK_RETRY_S = 1.6
FAST_RETRY_RANKS = 2
# Delay when no call was sent because there was no connection.
RETRY_UNSENT_S = 0.15
# Rank of an instance that is stopping.
LAST_RANK = 1000


def rank(own, rooms):
    """Return an instance's rank among the members of its region.

    The first one tells all others what it reads, so those with the most room
    come first.

    Args:
        own: id of the instance.
        rooms: ``{instance id: requests per second}`` of the members, see
            :func:`~jasminehold.decisions.instance_sample.room`; ``own`` may
            be missing.
    """
    order = sorted(
        set(rooms) | {own},
        key=lambda name: (
            -rooms.get(name, 0.0),
            hashing.number('reader', name),
        ),
    )
    return order.index(own)


def threshold_s(own_rank):
    """Return the age of the replica in seconds at which an instance reads."""
    if own_rank == 0:
        return READ_INTERVAL_S
    return min(
        MIN_TAKEOVER_AGE_S + TAKEOVER_STEP_S * (own_rank - 1),
        MAX_TAKEOVER_AGE_S,
    )


def tells(own_rank, heard_s):
    """Return whether an instance tells the others what it read.

    One that reads because it had fallen behind would tell what all have been
    told.

    Args:
        own_rank: the instance's rank.
        heard_s: age of the newest read that another instance told of.
    """
    return own_rank == 0 or heard_s >= MIN_TAKEOVER_AGE_S


def retry_s(own_rank, sent, rng):
    """Return the delay after a failed read in seconds, with jitter.

    Args:
        own_rank: the instance's rank.
        sent: whether the store may have received the call.
        rng: random source.
    """
    pause = RETRY_S if own_rank < FAST_RETRY_RANKS else LATER_RANK_RETRY_S
    if not sent:
        pause = RETRY_UNSENT_S
    return pause * (0.75 + 0.5 * rng.random())
