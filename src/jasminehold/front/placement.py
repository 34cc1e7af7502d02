"""Owners of objects, as one instance sees the upstreams."""

from jasminehold.decisions import object_placement
from jasminehold.decisions import region_demand

# Fraction of the fleet's capacity that demand is assumed to use, spread over
# the regions by their parts, which are equal unless measured; demand beyond a
# region's own capacity goes to the others.
# See docs/design.md, section 7.
PLANNED_USE = 1.0
OWNERS_CACHE_MAX = 20_000


class Placement:
    """Weights of the upstreams for this region, and owners of objects.

    Args:
        cfg: the :class:`~jasminehold.front.cfg.Cfg`.
        view: the :class:`~decisions.upstream_view.UpstreamView`.

    Attributes:
        evacuated: set of evacuated places.
    """

    def __init__(self, cfg, view):
        self.evacuated = frozenset()
        self._cfg = cfg
        self._view = view
        self._owner_cache = {}
        self._weight_cache = {}
        # Parts by service, of those whose demand is followed.
        self._parts = {}

    def on_settings(self, cfg):
        """Apply new settings."""
        if cfg.places != self._cfg.places or cfg.place != self._cfg.place:
            self._parts.clear()
        self._cfg = cfg
        self.clear()

    def on_evacuated(self, places):
        """Update the evacuated places; returns whether they changed."""
        if places == self.evacuated:
            return False
        self.evacuated = places
        self.clear()
        return True

    def clear(self):
        """Forget the owners, after a change of the usable upstreams."""
        self._owner_cache.clear()
        self._weight_cache.clear()

    def region(self, place):
        """Return the region of a place, '' if it is unknown."""
        return self._cfg.places.get(place, '')

    @property
    def own_region(self):
        """The region of this instance."""
        return self._cfg.places[self._cfg.place]

    def regions(self):
        """Return the set of all regions."""
        return set(self._cfg.places.values())

    def on_demand(self, service, rates, now):
        """Follow the demand of a service, one step.

        Args:
            service: name of the service.
            rates: ``{region: slot-seconds a second}``, without those regions
                that are not known now.
            now: monotonic seconds.

        Returns:
            The regions' new parts, None if they did not move.
        """
        parts = self._parts.get(service)
        if parts is None:
            parts = region_demand.Parts(self.regions(), self.own_region)
            self._parts[service] = parts
        if not parts.step(rates, self._rooms(service)[1], now):
            return None
        self.clear()
        return parts.parts

    def ranked(self, service, key, upstreams):
        """Return usable upstreams in order of ownership of an object.

        Args:
            service: name of the service.
            key: the object's key.
            upstreams: ids of the usable upstreams, a container.
        """
        order = self.order(service, key)
        return [name for name in order if name in upstreams]

    def order(self, service, key):
        """Return the ids of upstreams in order of ownership of an object.

        Args:
            service: name of the service.
            key: the object's key.
        """
        cache_key = (service, key)
        order = self._owner_cache.get(cache_key)
        if order is None:
            if len(self._owner_cache) > OWNERS_CACHE_MAX:
                self._owner_cache.clear()
            order = object_placement.owners(key, self.weights(service))
            self._owner_cache[cache_key] = order
        return order

    def weights(self, service):
        """Return ``{upstream id: weight}`` for this instance's region."""
        if service in self._weight_cache:
            return self._weight_cache[service]
        slots, rooms = self._rooms(service)
        followed = self._parts.get(service)
        regions = self.regions()
        parts = (
            followed.parts
            if followed
            else dict.fromkeys(regions, 1.0 / len(regions))
        )
        shares = region_demand.shares(parts, rooms, PLANNED_USE)
        own = shares[self.own_region]
        weights = {
            name: own.get(region, 0.0) * count / rooms[region]
            for name, (region, count) in slots.items()
        }
        self._weight_cache[service] = weights
        return weights

    def _rooms(self, service):
        # Returns the region and slots of each upstream, and slots by region.
        slots, rooms = {}, {}
        for name, upstream in self._view.upstreams.items():
            entry = upstream.entry
            if entry.service != service or upstream.draining:
                continue
            if entry.place in self.evacuated:
                continue
            region = self.region(entry.place)
            slots[name] = (region, entry.slots)
            rooms[region] = rooms.get(region, 0) + entry.slots
        return slots, rooms
