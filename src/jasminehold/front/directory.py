"""Lookup of instance addresses for callers, and the readiness check."""

import urllib.parse

from jasminehold.platform import wire

ADDRESSES_MAX = 64
_JSON = [(b'content-type', b'application/json')]


def answer(members, own, region, place):
    """Return the caller addresses for a caller, preferring its region.

    Args:
        members: ``{id: member document}``.
        own: this instance's document, used when no
            member is known.
        region: the caller's region.
        place: the caller's availability zone.

    Returns:
        List of at most 64 addresses.
    """
    docs = list(members.values()) or [own]
    near = [doc for doc in docs if doc['region'] == region]
    return [doc['callers'] for doc in (near or docs)][:ADDRESSES_MAX]


class Directory:
    """Serves the lookup and readiness endpoints.

    Args:
        members: ``() -> {id: member document}``.
        own: this instance's member document.
        ready: ``() -> bool``.
        ttl_s: seconds for which a lookup result is valid.
    """

    def __init__(self, members, own, ready, ttl_s):
        self._members = members
        self._own = own
        self._ready = ready
        self._ttl_s = ttl_s

    def on_request(self, inbound):
        """Answer a request."""
        path, _, text = inbound.target.decode('latin-1').partition('?')
        if path == wire.READY_PATH:
            status = 200 if self._ready() else 503
            inbound.answer(status, _JSON, b'{}')
        elif path == wire.RESOLVE_PATH:
            query = wire.decode_query(dict(urllib.parse.parse_qsl(text)))
            addresses = answer(
                self._members(), self._own, query.region, query.place
            )
            body = wire.encode_addresses(addresses, self._ttl_s)
            inbound.answer(200, _JSON, body)
        else:
            inbound.answer(404, _JSON, b'{}')
