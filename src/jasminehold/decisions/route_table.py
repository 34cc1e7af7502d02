"""Routes and services of a configuration, and route matching."""

import typing


class Route(typing.NamedTuple):
    """A route from a host and path prefix to services.

    Attributes:
        name: name of the route.
        host: host name in lower case.
        prefix: path prefix; begins and ends with a slash.
        idempotent: whether requests are safe to run more than once.
        targets: ``(service, weight)`` pairs; one pair without a split.
        timeout_s: maximum time until a caller gets an answer, seconds.
        latency_target_s: seconds within which an answer earns full credit.
        max_attempts: maximum number of upstreams tried for one request.
        priority: 0 is the highest.
        home_regions: regions that may serve the route; empty means all.
        sticky: whether upstreams are faster for recently handled objects.
        public: whether requests need no key of an account.
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
    public: bool = False


class Service(typing.NamedTuple):
    """Limits of a service.

    Attributes:
        name: name of the service.
        max_conns: connections that one upstream accepts from all instances.
        cold_per_s: requests per second that a cold upstream can handle.
        cold_start_s: seconds after its start for which an upstream is cold.
    """

    name: str
    max_conns: int
    cold_per_s: float
    cold_start_s: float


class CallerLimits(typing.NamedTuple):
    """Limits on the requests and connections of callers.

    Attributes:
        head_bytes: maximum size of the request line and headers.
        body_bytes: maximum size of a request body.
        head_s: maximum seconds from a request's first byte to the end of its
            head.
        idle_s: maximum seconds between two requests of a connection.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_s: float = 10.0
    idle_s: float = 60.0


class RouteTable:
    """Routes and services of one configuration version.

    Args:
        version: increasing version number.
        routes: list of :class:`Route`.
        services: list of :class:`Service`.
        limits: the :class:`CallerLimits`.
        accounts: the :class:`~decisions.accounts.AccountTable`, None if
            requests need no key.

    Attributes:
        highest_priority: lowest priority number of all routes and accounts.
    """

    def __init__(self, version, routes, services, limits, accounts=None):
        self.version = version
        self.limits = limits
        self.accounts = accounts
        self.services = {service.name: service for service in services}
        priorities = [route.priority for route in routes]
        if accounts is not None:
            priorities += [
                account.priority
                for account in accounts.by_name.values()
                if account.priority is not None
            ]
        self.highest_priority = min(priorities, default=0)
        self._hosts = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def match(self, host, path):
        """Return the :class:`Route` with the longest matching prefix.

        Args:
            host: host name without port, any case.
            path: path with or without a query.

        Returns:
            A :class:`Route`, or None if none matches.
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
