"""Lookup of instance addresses for callers, and the readiness check."""

import urllib.parse

from jasminehold.decisions import instance_sample
from jasminehold.platform import wire

_JSON = [(b'content-type', b'application/json')]


class Directory:
    """Serves the lookup and readiness endpoints.

    Args:
        instances: ``() -> list`` of
            :class:`~decisions.instance_sample.Instance`; empty if this
            instance does not know the others yet.
        ready: ``() -> bool``.
        ttl_s: seconds for which a lookup result is valid.
        cut_off: ``() -> set`` of the ids of instances without a path to the
            upstreams.
    """

    def __init__(self, instances, ready, ttl_s, cut_off):
        self._instances = instances
        self._ready = ready
        self._ttl_s = ttl_s
        self._cut_off = cut_off

    def on_request(self, inbound):
        """Answer a request."""
        path, _, text = inbound.target.decode('latin-1').partition('?')
        if path == wire.READY_PATH:
            status = 200 if self._ready() else 503
            inbound.answer(status, _JSON, b'{}')
        elif path == wire.RESOLVE_PATH:
            instances = self._instances()
            if not instances:
                # The caller asks another instance.
                inbound.answer(503, _JSON, b'{}')
                return
            query = wire.decode_query(dict(urllib.parse.parse_qsl(text)))
            addresses = instance_sample.choose(
                instances,
                query.region,
                query.place,
                inbound.peer,
                self._cut_off(),
            )
            body = wire.encode_addresses(addresses, self._ttl_s)
            inbound.answer(200, _JSON, body)
        else:
            inbound.answer(404, _JSON, b'{}')
