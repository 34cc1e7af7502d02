"""Recent changes of a config set, for watches that resume.

Documents can reach an instance in another order than the platform's, so a
platform version cannot serve as a resume point: a lower version that arrives
late would be missed. Each instance numbers the changes itself, from a random
start, so that a number from another instance is recognised as not kept.

Example:
    >>> import random
    >>> history = History(10, random.Random(1))
    >>> history.since(history.position)
    []
"""

import collections
import itertools

from jasminehold import errors

# 20 bits of epoch and 32 bits of changes fit a JSON number exactly.
_EPOCH_BITS = 20
_COUNT_BITS = 32


class History:
    """The keys of the latest changes.

    Only keys are kept, so large documents are held once, in the config.

    Attributes:
        position: number of the newest change.
    """

    def __init__(self, size, rng):
        self.position = (rng.getrandbits(_EPOCH_BITS) or 1) << _COUNT_BITS
        self._keys = collections.deque(maxlen=size)

    def add(self, entries):
        """Record changed config entries."""
        for entry in entries:
            self._keys.append(entry['key'])
            self.position += 1

    def since(self, position):
        """Return ``(number, key)`` of the changes after a position.

        Args:
            position: a former value of :attr:`position`.

        Raises:
            WatchExpired: when the position is not of this history or the
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
