"""Recent changes of a config set, for resuming watches.

Documents can reach an instance in a different order than the platform wrote
them. A platform version is therefore no resume position: a watch would miss a
lower version that arrives late. Each instance numbers changes itself, starting
at a random number, so that positions of another instance are recognised as
not available.

Example:
    >>> import random
    >>> history = History(10, random.Random(1))
    >>> history.since(history.position)
    []
"""

import collections
import itertools

from jasminehold import errors

# A position has a random epoch in its upper bits and the number of changes in
# its lower bits. 52 bits in total are exact in a JSON number.
_EPOCH_BITS = 20
_CHANGE_BITS = 32


class History:
    """Keys of the latest changes, numbered in order of arrival.

    Only keys are kept, so that large documents are stored once, in the config
    set.

    Args:
        size: number of changes kept.
        rng: random number generator for the start position.

    Attributes:
        position: number of the latest change.
    """

    def __init__(self, size, rng):
        self.position = (rng.getrandbits(_EPOCH_BITS) or 1) << _CHANGE_BITS
        self._keys = collections.deque(maxlen=size)

    def add(self, entries):
        """Record changed config entries."""
        for entry in entries:
            self._keys.append(entry['key'])
            self.position += 1

    def since(self, position):
        """Return ``(number, key)`` of each change after a position.

        Args:
            position: an earlier value of :attr:`position`.

        Raises:
            WatchExpired: when the position is from another instance or the
                changes after it are no longer kept.
        """
        count = self.position - position
        if not 0 <= count <= len(self._keys):
            raise errors.WatchExpired(
                'Changes since %d are not kept here; list again.' % position
            )
        start = len(self._keys) - count
        keys = itertools.islice(self._keys, start, None)
        return list(enumerate(keys, position + 1))
