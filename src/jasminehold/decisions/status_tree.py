"""Aggregation tree through which a region's instances report their status.

The planner is the root and has index 0; the other instances follow in order of
their ids. The parent of index ``i`` is ``(i - 1) // fan_in``. A node whose
parent does not reply reports to the next ancestor. Replies carry the ages of
the witnesses back down.
"""

import math

FAN_IN = 16
MAX_STRAGGLERS = 8
SUMMARY_INTERVAL_S = 1.0
# Above this fleet size, replies carry the ages of 24 witnesses every second.
# In a model of 400 instances an inner node then transfers 14.4 KB/s in both
# directions with a fan-in of 16, and at most 8.2 KB/s with 4. A summary every
# 2.5 s costs 2% more than one every 5 s and makes up for the deeper tree.
LARGE_FLEET_INSTANCES = 64
LARGE_FAN_IN = 4
LARGE_SUMMARY_INTERVAL_S = 2.5
# Time without a message from a child after which its summary is dropped.
# Children send a message about once a second, also between summaries. A child
# that moved to another parent is counted twice for this time.
CHILD_TIMEOUT_S = 4.0
# Time for which a parent that did not reply is skipped.
PARENT_RETRY_S = 10.0


class StatusTree:
    """One instance's node in the status tree of its region.

    Args:
        own_id: id of this instance.
        fan_in: maximum children per node in fleets of up to
            ``LARGE_FLEET_INSTANCES`` instances.
    """

    def __init__(self, own_id, fan_in=FAN_IN):
        self.own_id = own_id
        self.fan_in = self._small_fleet_fan_in = fan_in
        self.summary_interval_s = SUMMARY_INTERVAL_S
        self._order = [own_id]
        self._index = {own_id: 0}
        self._children = {}
        self._skip_until = {}

    def set_members(self, ids, planner, fleet):
        """Set the members of the tree.

        Args:
            ids: ids of the instances of the region that are not gone.
            planner: id of the region's planner, or None.
            fleet: number of instances in all regions.
        """
        order = sorted(set(ids) | {self.own_id})
        if planner in order:
            order.remove(planner)
            order.insert(0, planner)
        large = fleet > LARGE_FLEET_INSTANCES
        self.summary_interval_s = (
            LARGE_SUMMARY_INTERVAL_S if large else SUMMARY_INTERVAL_S
        )
        self.fan_in = LARGE_FAN_IN if large else self._small_fleet_fan_in
        if order == self._order:
            return
        self._order = order
        self._index = {key: index for index, key in enumerate(order)}
        for table in (self._children, self._skip_until):
            for key in [key for key in table if key not in self._index]:
                del table[key]

    def ancestors(self):
        """Return the ids of the ancestors, from the parent to the root."""
        index = self._index[self.own_id]
        result = []
        while index > 0:
            index = (index - 1) // self.fan_in
            result.append(self._order[index])
        return result

    def parent(self, now):
        """Return the id to report to, or None at the root.

        The direct parent is used when every ancestor is skipped.
        """
        ancestors = self.ancestors()
        for key in ancestors:
            if self._skip_until.get(key, now) <= now:
                return key
        return ancestors[0] if ancestors else None

    def is_root(self):
        """Return whether this instance is the root."""
        return self._index[self.own_id] == 0

    def on_reply(self, parent):
        """Stop skipping a parent that replied."""
        self._skip_until.pop(parent, None)

    def on_failed(self, parent, now):
        """Skip a parent that did not reply in time."""
        if parent in self._index:
            self._skip_until[parent] = now + PARENT_RETRY_S

    def on_summary(self, child, summary, now):
        """Store the summary of a child.

        Raises:
            ValueError: The summary is malformed.
        """
        validate(summary)
        if child in self._index:
            self._children[child] = (now, summary)

    def on_poll(self, child, now):
        """Record a message of a child that has no new summary."""
        if child in self._children:
            self._children[child] = (now, self._children[child][1])

    def summary(self, own, now):
        """Return the summary of this instance's subtree.

        Args:
            own: summary of this instance alone, see :func:`own_summary`.
            now: current time.
        """
        result = own
        for child, (at, summary) in list(self._children.items()):
            if now - at > CHILD_TIMEOUT_S:
                del self._children[child]
            else:
                result = merge_summaries(result, summary)
        return result


def own_summary(instance_id, place, revision, plans, demand, in_flight):
    """Return the summary of one instance.

    Args:
        instance_id: id of the instance.
        place: its availability zone.
        revision: revision of the configuration that it applied.
        plans: ``{region: applied plan version}``.
        demand: ``{service: {region: requests per second}}``.
        in_flight: number of requests in flight.
    """
    return {
        'places': {place: [1, revision]},
        'plans': dict(plans),
        'demand': {name: dict(part) for name, part in demand.items()},
        'in_flight': in_flight,
        'stragglers': [[revision, instance_id]],
    }


def merge_summaries(first, second):
    """Merge two summaries.

    ``places`` has ``[instance count, lowest applied revision]`` by place,
    ``plans`` the lowest plan version by region, and ``stragglers`` up to eight
    ``[applied revision, instance id]``, lowest revision first.
    """
    places = {key: list(value) for key, value in first['places'].items()}
    for key, (count, revision) in second['places'].items():
        if key in places:
            known = places[key]
            places[key] = [known[0] + count, min(known[1], revision)]
        else:
            places[key] = [count, revision]
    plans = dict(first['plans'])
    for key, version in second['plans'].items():
        plans[key] = min(plans.get(key, version), version)
    demand = {key: dict(value) for key, value in first['demand'].items()}
    for service, regions in second['demand'].items():
        rates = demand.setdefault(service, {})
        for region, rate in regions.items():
            rates[region] = rates.get(region, 0) + rate
    stragglers = sorted(first['stragglers'] + second['stragglers'])
    return {
        'places': places,
        'plans': plans,
        'demand': demand,
        'in_flight': first['in_flight'] + second['in_flight'],
        'stragglers': stragglers[:MAX_STRAGGLERS],
    }


def validate(summary):
    """Raise ValueError when a received summary is malformed."""
    try:
        valid = (
            all(
                isinstance(key, str)
                and len(place) == 2
                and all(map(_is_count, place))
                for key, place in summary['places'].items()
            )
            and all(map(_is_count, summary['plans'].values()))
            and all(
                _is_rate(rate)
                for regions in summary['demand'].values()
                for rate in regions.values()
            )
            and _is_count(summary['in_flight'])
            and len(summary['stragglers']) <= MAX_STRAGGLERS
            and all(
                _is_count(revision) and isinstance(key, str)
                for revision, key in summary['stragglers']
            )
        )
    except (LookupError, TypeError, AttributeError) as exc:
        raise ValueError('malformed summary: %r' % exc) from exc
    if not valid:
        raise ValueError('malformed summary')


def _is_count(value):
    return isinstance(value, int) and value >= 0


def _is_rate(value):
    return isinstance(value, (int, float)) and 0 <= value < math.inf
