"""Whether a request may have run, from how each of its sends ended.

A response names its request, not the send. A rejection may come again, late
and on any connection of its upstream, while a later send of the same request
runs there. It therefore tells that a send did not run only if it names the
request and no other send of the request went to the same address. Such a
rejection can have been made for no other send; see docs/platform.md.
"""

import enum


class Evidence(enum.Enum):
    """What a rejection tells of the send that it seems to answer.

    ``SINGLE``: that send did not run.
    ``AMBIGUOUS``: one of several sends to its address did not run.
    ``UNNAMED``: nothing, as it does not name the request.
    """

    SINGLE = 'single'
    AMBIGUOUS = 'ambiguous'
    UNNAMED = 'unnamed'


class Sends:
    """Sends of one request, one under way at most.

    Args:
        repeatable: whether the request may run more than once; it may then
            go to an address again.
        elsewhere: ``(host, port)`` pairs to which other instances sent it.
    """

    def __init__(self, repeatable=False, elsewhere=()):
        self._repeatable = repeatable
        self._counts = dict.fromkeys(elsewhere, 1)
        self._address = None
        self._lost = False

    @property
    def may_have_run(self):
        """Whether no evidence excludes that the request ran or runs."""
        return self._lost or self._address is not None

    @property
    def addresses(self):
        """The ``(host, port)`` pairs to which it was sent."""
        return frozenset(self._counts)

    @property
    def closed(self):
        """The addresses to which it must not be sent again."""
        return frozenset() if self._repeatable else self.addresses

    def begin(self, address):
        """Note a send to an address."""
        self._address = address
        self._counts[address] = self._counts.get(address, 0) + 1

    def evidence(self, is_named):
        """Return the :class:`Evidence` of a rejection of the last send.

        Args:
            is_named: whether it names the request.
        """
        if not is_named:
            return Evidence.UNNAMED
        if self._counts[self._address] > 1:
            return Evidence.AMBIGUOUS
        return Evidence.SINGLE

    def shows_not_run(self, evidence):
        """Return whether a rejection excludes that the last send ran.

        A repeatable request may take the rejection of an earlier send for
        that of the last one; it runs once too often at worst.
        """
        return evidence is Evidence.SINGLE or self._repeatable

    def end(self, may_have_run):
        """Note the end of the send under way."""
        self._address = None
        self._lost = self._lost or may_have_run

    def add_elsewhere(self, addresses):
        """Note sends of other instances that did not run."""
        for address in addresses:
            self._counts.setdefault(address, 1)
