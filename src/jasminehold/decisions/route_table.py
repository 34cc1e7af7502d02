"""Routes of a configuration and how a request finds its route."""

import typing


class Route(typing.NamedTuple):
    """One route.

    Attributes:
        name: name of the route.
        host: host name, lower case.
        prefix: path prefix; begins and ends with a slash.
        idempotent: whether a request may run more than once.
        targets: ``(service, weight)`` pairs; one pair without a split.
        timeout_s: longest time a caller is kept waiting, seconds.
        latency_target_s: seconds within which an answer earns full credit.
        max_attempts: upstreams that one request may be sent to.
        priority: rank, 0 is the highest.
        home_regions: regions that may serve it; empty means all.
        sticky: whether upstreams work faster on objects handled lately.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    targets: tuple
    timeout_s: float
    latency_target_s: float
    max_attempts: int
    priority: int
    home_regions: frozenset
    sticky: bool


class Service(typing.NamedTuple):
    """One service.

    Attributes:
        name: name of the service.
        max_conns: connections that one upstream takes from all instances.
        cold_per_s: requests a second that a cold upstream tolerates.
        cold_start_s: seconds for which an upstream is cold after a start.
    """

    name: str
    max_conns: int
    cold_per_s: float
    cold_start_s: float


class CallerLimits(typing.NamedTuple):
    """What callers may send.

    Attributes:
        head_bytes: request line and headers.
        body_bytes: one body.
        head_s: seconds from a request's first byte to the end of its head.
        idle_s: seconds between requests.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_s: float = 10.0
    idle_s: float = 60.0


class RouteTable:
    """One version of the routes and services.

    Args:
        version: number that only grows.
        routes: list of :class:`Route`.
        services: list of :class:`Service`.
        limits: the :class:`CallerLimits`.

    Attributes:
        highest_priority: rank of the most urgent routes.
    """

    def __init__(self, version, routes, services, limits):
        self.version = version
        self.limits = limits
        self.services = {service.name: service for service in services}
        self.highest_priority = min(
            (route.priority for route in routes), default=0
        )
        self._hosts = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def match(self, host, path):
        """Return the :class:`Route` with the longest prefix, or None.

        Args:
            host: host name without port, any case.
            path: path with or without a query.
        """
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            return None
        path = path.partition('?')[0]
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
