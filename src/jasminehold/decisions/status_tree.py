"""Tree in which the instances of a region report summaries upwards.

The planner is the root and the others follow in order of id; the parent of
number ``i`` is number ``(i - 1) // fan_in``. A node whose parent is silent
reports to the next ancestor. Replies carry the witnesses' ages downwards.
"""

import math

FAN_IN = 16
MAX_STRAGGLERS = 8
SUMMARY_INTERVAL_S = 1.0
# In fleets above LARGE_FLEET the replies carry the ages of 24 witnesses each
# second. With fan-in 16 an inner node then moves 14.4 KB a second in both
# directions, with 4 at most 8.2 KB (bench/gossip.py's model, 400 instances).
# A summary every 2.5 s costs 2% more than one every 5 s and makes up for the
# deeper tree.
LARGE_FLEET = 64
LARGE_FAN_IN = 4
LARGE_SUMMARY_INTERVAL_S = 2.5
# Time without a message from a child until its summary is dropped. Children
# ask about once a second, also between summaries. A child that moved to
# another parent counts twice for that long.
CHILD_SILENT_S = 4.0
# A parent that did not reply is passed over for this time.
RETRY_S = 10.0


class StatusTree:
    """One instance's view of its region's tree.

    Args:
        own_id: this instance's id.
        fan_in: children per node up to ``LARGE_FLEET`` instances.
    """

    def __init__(self, own_id, fan_in=FAN_IN):
        self.own_id = own_id
        self.fan_in = self._small_fan_in = fan_in
        self.summary_interval_s = SUMMARY_INTERVAL_S
        self._order = [own_id]
        self._index = {own_id: 0}
        self._children = {}
        self._avoid = {}

    def set_members(self, ids, planner, fleet):
        """Set the members.

        Args:
            ids: instances of the region that are not gone.
            planner: id of the region's planner, or None.
            fleet: number of instances in all regions.
        """
        order = sorted(set(ids) | {self.own_id})
        if planner in order:
            order.remove(planner)
            order.insert(0, planner)
        large = fleet > LARGE_FLEET
        self.summary_interval_s = (
            LARGE_SUMMARY_INTERVAL_S if large else SUMMARY_INTERVAL_S
        )
        self.fan_in = LARGE_FAN_IN if large else self._small_fan_in
        if order == self._order:
            return
        self._order = order
        self._index = {key: index for index, key in enumerate(order)}
        for table in (self._children, self._avoid):
            for key in [key for key in table if key not in self._index]:
                del table[key]

    def ancestors(self):
        """Return the ids from the parent up to the root."""
        index = self._index[self.own_id]
        result = []
        while index > 0:
            index = (index - 1) // self.fan_in
            result.append(self._order[index])
        return result

    def parent(self, now):
        """Return whom to report to, or None at the root.

        When every ancestor is silent the direct parent is tried again.
        """
        above = self.ancestors()
        for key in above:
            if self._avoid.get(key, now) <= now:
                return key
        return above[0] if above else None

    def is_root(self):
        """Return whether this instance is the root."""
        return self._index[self.own_id] == 0

    def on_reply(self, parent):
        """Note that a parent replied."""
        self._avoid.pop(parent, None)

    def on_failed(self, parent, now):
        """Note that a parent did not reply in time."""
        if parent in self._index:
            self._avoid[parent] = now + RETRY_S

    def on_summary(self, child, summary, now):
        """Take a child's summary.

        Raises:
            ValueError: when it is malformed.
        """
        validate(summary)
        if child in self._index:
            self._children[child] = (now, summary)

    def on_poll(self, child, now):
        """Note that a child asked without a new summary."""
        if child in self._children:
            self._children[child] = (now, self._children[child][1])

    def summary(self, own, now):
        """Return the summary of this instance's subtree.

        Args:
            own: this instance's own summary, see :func:`own_summary`.
            now: current time.
        """
        result = own
        for child, (at, summary) in list(self._children.items()):
            if now - at > CHILD_SILENT_S:
                del self._children[child]
            else:
                result = merge_summaries(result, summary)
        return result


def own_summary(instance_id, place, revision, plans, demand, in_flight):
    """Return one instance's own summary.

    Args:
        instance_id: its id.
        place: its place.
        revision: its applied configuration revision.
        plans: ``{region: applied plan version}``.
        demand: ``{service: {region: requests a second}}``.
        in_flight: requests in flight.
    """
    return {
        'places': {place: [1, revision]},
        'plans': dict(plans),
        'demand': {name: dict(part) for name, part in demand.items()},
        'in_flight': in_flight,
        'stragglers': [[revision, instance_id]],
    }


def merge_summaries(first, second):
    """Return the sum of two summaries.

    ``places`` holds ``[count, lowest applied revision]``, ``plans`` the
    lowest plan version by region, and ``stragglers`` up to eight of
    ``[applied revision, instance id]``, lowest first.
    """
    places = {key: list(value) for key, value in first['places'].items()}
    for key, (count, revision) in second['places'].items():
        if key in places:
            cell = places[key]
            places[key] = [cell[0] + count, min(cell[1], revision)]
        else:
            places[key] = [count, revision]
    plans = dict(first['plans'])
    for key, version in second['plans'].items():
        plans[key] = min(plans.get(key, version), version)
    demand = {key: dict(value) for key, value in first['demand'].items()}
    for service, regions in second['demand'].items():
        cell = demand.setdefault(service, {})
        for region, rate in regions.items():
            cell[region] = cell.get(region, 0) + rate
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
                and len(cell) == 2
                and all(map(_is_count, cell))
                for key, cell in summary['places'].items()
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
