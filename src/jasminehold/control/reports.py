"""What each instance reports to the planner of each region.

Reports go straight to the planner, whose id stands in the region's plan.
"""

import typing

PERIOD_S = 1.0
# Reports older than this show nothing about the present.
STALE_S = 5.0


class Report(typing.TypedDict):
    """One instance's report to one region's planner.

    Attributes:
        type: ``report``.
        region: the planner's region.
        acked: ``[version, {limit id: older version}]``.
        known: newest version of the region's plan that it has.
        demand: ``{limit id or service: amount}``.
        revision: configuration revision in force.
        in_flight: requests in flight by upstream of the region.
        stats: ``{service: {place: [sent a second, shed a second, latency in
            seconds, age in seconds]}}`` for places of the region.
        clients: ``{service: {client region: requests a second}}``.
        place: place of the instance.
    """

    type: str
    region: str
    acked: list
    known: int
    demand: dict
    revision: int
    in_flight: dict
    stats: dict
    clients: dict
    place: str


class Inbox:
    """Latest reports of all instances for one region."""

    def __init__(self):
        self._reports = {}

    def add(self, sender, report, now):
        """Keep a report."""
        self._reports[sender] = (now, report)

    def forget(self, names):
        """Drop the reports of instances other than these."""
        for name in set(self._reports) - set(names):
            del self._reports[name]

    def all(self):
        """Return ``{instance: report}``, old ones included."""
        return {name: item[1] for name, item in self._reports.items()}

    def fresh(self, now):
        """Return ``{instance: report}`` of the recent ones."""
        return {
            name: report
            for name, (at, report) in self._reports.items()
            if now - at <= STALE_S
        }


def build(region, picker, tables, holder, revision, place, now):
    """Build the report for one region's planner.

    Args:
        region: the planner's region.
        picker: the :class:`picker.Picker`.
        tables: the :class:`tables.Tables`.
        holder: the :class:`share_holder.ShareHolder`.
        revision: configuration revision in force.
        place: place of the instance.
        now: seconds, monotonic.
    """
    version, lagging = holder.acked(now).get(region, (0, {}))
    demand = picker.demand(holder.regions.get, now).get(region, {})
    places = {p for p, r in tables.place_region.items() if r == region}
    in_flight = {
        name: count
        for name, count in picker.in_flight.items()
        if count
        and name in tables.upstreams
        and tables.upstreams[name].place in places
    }
    stats = {}
    for (service, at_place), item in picker.place_stats.items():
        if at_place in places and item.at is not None:
            stats.setdefault(service, {})[at_place] = [
                round(item.sent.value(now), 2),
                round(item.shed.value(now), 3),
                round(item.latency_s, 4),
                round(now - item.at, 1),
            ]
    clients = {}
    for (service, client_region), rate in picker.client_demand.items():
        value = round(rate.value(now), 2)
        if value > 0:
            clients.setdefault(service, {})[client_region] = value
    return Report(
        type='report',
        region=region,
        acked=[version, lagging],
        known=version,
        demand=demand,
        revision=revision,
        in_flight=in_flight,
        stats=stats,
        clients=clients,
        place=place,
    )
