"""Routing tables, built from resources and region plans."""

import typing

from jasminehold.decisions import admission
from jasminehold.decisions import blocks
from jasminehold.decisions import drain
from jasminehold.decisions import limit_table
from jasminehold.decisions import routing

ANY_REGION = '*'
REGION_SITE_SEPARATOR = '|'


class Upstream(typing.NamedTuple):
    """One declared upstream."""

    name: str
    service: str
    place: str
    host: str
    port: int


class Service(typing.NamedTuple):
    """One declared service.

    Attributes:
        name: the service.
        methods: idempotent methods, bytes.
        paths: prefixes of idempotent paths, bytes.
        timeout_s: time-out of its requests, seconds.
        classes: ``(path prefix, priority)`` in declared order.
        retry_budget: retries per first attempt, 0 to 1.
        legacy: ``(share, host, port)`` of the legacy system, or None.
        probe_path: path of the upstreams' load and health endpoint, or None.
    """

    name: str
    methods: frozenset
    paths: tuple
    timeout_s: float
    classes: tuple
    retry_budget: float
    legacy: tuple | None
    probe_path: str | None = None


class Tables:
    """Routing tables of one instance.

    Attributes:
        services: :class:`Service` by name.
        upstreams: :class:`Upstream` by name.
        by_place: lists of :class:`Upstream` by ``(service, place)``.
        place_region: region of each place.
        latencies: latency in seconds by ``(place, place)``.
        region_latencies: lowest latency in seconds by ``(region, region)``.
        drained: a :class:`drain.DrainTargets`.
    """

    def __init__(self):
        self.services = {}
        self.upstreams = {}
        self.by_place = {}
        self.place_region = {}
        self.latencies = {}
        self.region_latencies = {}
        self.drained = drain.DrainTargets(frozenset(), frozenset())
        self._blocks = blocks.BlockMap()
        self._block_docs = {}
        self._splits = {}
        self._moves = {}
        self._links = set()
        self._routes = {}

    def rebuild(self, config, steps, leaving, temporary=()):
        """Rebuild the tables, except for the client blocks.

        Args:
            config: the :class:`config.ConfigSet`.
            steps: movement and legacy shares from the plans, as
                ``{"movements": {name: share}, "legacy": {service: share}}``.
            leaving: upstreams that reported that they are leaving.
            temporary: ``(kind, name)`` of temporary drains.
        """
        self._routes = {}
        self._build_places(config)
        self._build_services(config, steps)
        self._build_upstreams(config)
        self._build_splits(config, steps)
        self._links = {
            (doc['spec']['from_place'], doc['spec']['to_place'])
            for doc in config.all('link')
        }
        self.drained = drained_targets(
            config, self.place_region, leaving, temporary
        )

    def set_blocks(self, name, doc):
        """Set a document of client blocks, or remove it if None."""
        if doc is None:
            self._blocks.remove_document(name)
            return
        spec = doc['spec']
        self._blocks.set_document(
            name,
            [
                (
                    block['cidr'],
                    spec['region'] + REGION_SITE_SEPARATOR + block['site'],
                )
                for block in spec['blocks']
            ],
        )

    def locate(self, address):
        """Return ``(region, place)`` of an address, None if unknown.

        Raises:
            ValueError: when the address is malformed.
        """
        found = self._blocks.find(address)
        if found is None:
            return None, None
        region, _, place = found.partition(REGION_SITE_SEPARATOR)
        return region, place

    def routes(self, service, region):
        """Return the :class:`routing.Routes` for a client region."""
        key = (service, region)
        found = self._routes.get(key)
        if found is None:
            found = self._routes[key] = self._build_routes(service, region)
        return found

    def limits_of(self, from_place):
        """Return a function from a place to the ids of its rate limits."""

        def limit_ids(place):
            ids = (
                limit_table.place_rate(place),
                limit_table.region_rate(self.place_region.get(place, '')),
            )
            if (from_place, place) in self._links:
                ids += (limit_table.link_rate(from_place, place),)
            return ids

        return limit_ids

    def _build_places(self, config):
        self.place_region = {
            doc['metadata']['name']: doc['spec']['region']
            for doc in config.all('place')
        }
        self.latencies, self.region_latencies = {}, {}
        for doc in config.all('place'):
            place = doc['metadata']['name']
            for other, value in doc['spec'].get('latency_ms', {}).items():
                self.latencies[place, other] = value / 1000
                self.latencies.setdefault((other, place), value / 1000)
        for (place, other), value in self.latencies.items():
            regions = (
                self.place_region.get(place),
                self.place_region.get(other),
            )
            known = self.region_latencies.get(regions, value)
            self.region_latencies[regions] = min(known, value)

    def _build_services(self, config, steps):
        legacy = {
            doc['spec']['service']: doc['spec']
            for doc in config.all('legacy_share')
        }
        self.services = {}
        for doc in config.all('service'):
            name, spec = doc['metadata']['name'], doc['spec']
            legacy_target = None
            if name in legacy:
                share = steps['legacy'].get(name, legacy[name]['share'])
                legacy_target = (
                    share,
                    legacy[name]['host'],
                    legacy[name]['port'],
                )
            self.services[name] = _service(name, spec, legacy_target)

    def _build_upstreams(self, config):
        self.upstreams, self.by_place = {}, {}
        for doc in config.all('upstream'):
            spec = doc['spec']
            upstream = Upstream(
                doc['metadata']['name'],
                spec['service'],
                spec['place'],
                spec['host'],
                spec['port'],
            )
            self.upstreams[upstream.name] = upstream
            key = (upstream.service, upstream.place)
            self.by_place.setdefault(key, []).append(upstream)

    def _build_splits(self, config, steps):
        self._splits = {
            (doc['spec']['service'], doc['spec']['client_region']): doc['spec']
            for doc in config.all('traffic_split')
        }
        self._moves = {}
        for doc in config.all('movement'):
            name, spec = doc['metadata']['name'], doc['spec']
            share = steps['movements'].get(name, 0.0)
            if share > 0:
                move = routing.Move(
                    name, spec['from_place'], spec['to_place'], share
                )
                key = (spec['service'], spec.get('client_region', ANY_REGION))
                self._moves.setdefault(key, []).append(move)

    def _build_routes(self, service, region):
        split = self._splits.get((service, region))
        if split is None:
            split = self._splits.get((service, ANY_REGION))
        if split is not None:
            shares = split['shares']
        else:
            shares = self._nearest_shares(service, region)
        moves = self._moves.get((service, region), [])
        if region != ANY_REGION:
            moves = moves + self._moves.get((service, ANY_REGION), [])
        return routing.build(service, shares, moves, self.latencies)

    def _nearest_shares(self, service, region):
        """Return equal shares of the places of the nearest region."""
        places = sorted(
            place for name, place in self.by_place if name == service
        )
        if not places:
            return {}

        def distance(place):
            other = self.place_region.get(place)
            if other == region:
                return 0.0
            pair = (region, other)
            return self.region_latencies.get(pair, float('inf'))

        nearest = min(distance(place) for place in places)
        # Places of other regions get no share of their own, only overflow.
        return {
            place: 1.0 if distance(place) == nearest else 0.0
            for place in places
        }


def drained_targets(config, place_region, leaving, temporary=()):
    """Return the :class:`drain.DrainTargets` that the resources declare."""

    def places_of(region):
        return [p for p, other in place_region.items() if other == region]

    drains = [
        (doc['spec']['target_kind'], doc['spec']['target_name'])
        for doc in config.all('drain')
    ]
    drains += temporary
    return drain.targets(drains, places_of, leaving)


def _service(name, spec, legacy_target):
    classes = tuple(
        (
            item['path'].encode(),
            (
                admission.Priority.ORDER
                if item['class'] == 'order'
                else admission.Priority.NORMAL
            ),
        )
        for item in spec.get('priority_paths', [])
    )
    return Service(
        name,
        frozenset(m.encode() for m in spec['idempotent_methods']),
        tuple(p.encode() for p in spec.get('idempotent_paths', [])),
        spec['request_timeout_ms'] / 1000,
        classes,
        spec['retry_budget'],
        legacy_target,
        spec.get('probe_path'),
    )
