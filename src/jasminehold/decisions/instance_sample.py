"""Selection of the instances that a caller is sent to.

A caller gets a few instances, the same ones each time, so that it reuses its
connections. Each caller has others, chosen by weighted hashing, so that all
instances are used in proportion to their room. Most of them stand in the
caller's own availability zone, if that has enough, as bytes between zones
cost money and time; one stands elsewhere, for when the zone is lost.
"""

import math
import typing

from jasminehold.decisions import hashing

# Instances in a zone from which on its callers need no others.
OWN_PLACE_MIN = 8
# Instances that a caller of such a zone is told of, there and in other zones
# of the region.
OWN_PLACE_SAMPLE = 3
OTHER_PLACES_SAMPLE = 1
# Most instances that an answer can name.
ADDRESSES_MAX = 64
# Needs of a request at an instance, processor seconds and bytes on its link,
# both ways; see docs/CAPACITY.md.
REQUEST_CORE_S = 0.0016
REQUEST_LINK_BYTES = 6_000


class Instance(typing.NamedTuple):
    """An instance that callers may be sent to.

    Attributes:
        id: id of the instance.
        address: ``IP:port`` for callers.
        place: availability zone.
        region: region of the zone.
        room: requests a second that it can carry, see :func:`room`.
    """

    id: str
    address: str
    place: str
    region: str
    room: float


def room(cores, link_mbps):
    """Return the requests per second that an instance can carry.

    Args:
        cores: processor cores of speed 1, possibly a fraction.
        link_mbps: bandwidth of its link, Mbit/s.
    """
    link_bytes = link_mbps * 1e6 / 8
    return min(cores / REQUEST_CORE_S, link_bytes / REQUEST_LINK_BYTES)


def choose(instances, region, place, caller, cut_off=frozenset()):
    """Return the addresses for a caller, a list of at most 64.

    Args:
        instances: list of :class:`Instance`.
        region: the caller's region.
        place: the caller's availability zone.
        caller: what tells callers apart, such as an IP address.
        cut_off: ids of instances without a path to the upstreams, which are
            left out while others remain.
    """
    instances = [it for it in instances if it.id not in cut_off] or instances
    in_region = [item for item in instances if item.region == region]
    own = [item for item in in_region if item.place == place]
    if len(own) < OWN_PLACE_MIN:
        found = _sample(in_region or instances, ADDRESSES_MAX, caller)
    else:
        others = [item for item in in_region if item.place != place]
        found = _sample(own, OWN_PLACE_SAMPLE, caller)
        found += _sample(others, OTHER_PLACES_SAMPLE, caller)
    return [item.address for item in found]


def _sample(instances, count, caller):
    if len(instances) <= count:
        return list(instances)
    return sorted(instances, key=lambda item: _rank(item, caller))[:count]


def _rank(instance, caller):
    # Exponential with the rate of the room, so that the order is a weighted
    # sample, and one that hardly changes when an instance comes or goes.
    point = hashing.point('caller', caller, instance.id)
    return -math.log(max(point, 1e-18)) / max(instance.room, 1e-9)
