"""Builds, stores and publishes the plans of the regions planned here.

Only the holder of a region's planner duty writes its plan, with a
compare-and-swap on the version that it read, so that a late write of a paused
planner fails.
"""

import json
import typing

from jasminehold.control import reports
from jasminehold.decisions import contact_quorum
from jasminehold.decisions import legacy
from jasminehold.decisions import limit_table
from jasminehold.decisions import plan as plan_rules
from jasminehold.decisions import progress
from jasminehold.decisions import region_steps
from jasminehold import documents
from jasminehold import errors
from jasminehold import logs

TICK_S = 0.5
LIST_INTERVAL_S = 2.0
PLAN_PREFIX = 'state/plan/'
PROGRESS_PREFIX = 'progress/'
PROGRESS_TTL_S = 15.0
# Under load the used rates change at every tick. Sending them at every tick
# took 9 KB/s at each of 6 instances; the budget for all control traffic is
# 4 KB/s. Other changes are sent at the next tick.
PROGRESS_INTERVAL_S = 6.0

_log = logs.get('planner')


class PlannerContext(typing.NamedTuple):
    """Functions and objects of the application that the planner uses.

    Attributes:
        client: the platform client.
        config: the :class:`config.ConfigSet`.
        members: function that returns the live instances as
            ``[plan.Member]``.
        publish: ``publish(key, value, version)`` sends a document to all
            instances.
        notify: ``notify(key, value, ttl)`` sends a notice to all instances.
        drained: function that returns the :class:`drain.DrainTargets`.
        duties: the :class:`duties.Duties`.
        instance_id: id of this instance.
    """

    client: object
    config: object
    members: typing.Callable
    publish: typing.Callable
    notify: typing.Callable
    drained: typing.Callable
    duties: object
    instance_id: str


class _RegionState:
    """State of one region that is planned here."""

    def __init__(self, name, token):
        self.name = name
        self.token = token
        self.plan = None
        self.stored_version = 0
        # Of the stored plan that could not be read.
        self.skipped_version = 0
        self.busy = False
        self.fence = contact_quorum.Fence()
        self.steps = None
        self.progress = progress.Progress(name)
        self.sent_progress = None
        self.progress_sent_at = 0.0


class Planner:
    """Plans the regions whose duty this instance holds.

    Args:
        loop: the event loop.
        context: the :class:`PlannerContext`.
        metrics: counters.
    """

    def __init__(self, loop, context, metrics):
        self._loop = loop
        self._context = context
        self._metrics = metrics
        self._regions = {}
        self._inboxes = {}
        self._gone_instances = contact_quorum.GoneInstances()
        self._peak_legacy_shares = legacy.PeakShares()
        self._legacy_shares = {}
        self._last_report_at = {}
        self._listed_at = None
        loop.call_later(TICK_S, self._tick)

    def on_duty_change(self, name, token):
        """Start or stop planning a region; see ``Duties.on_change``."""
        kind, _, region = name.partition('/')
        if kind != 'planner':
            return
        if token is None:
            self._regions.pop(region, None)
        else:
            self._regions[region] = _RegionState(region, token)

    def on_report(self, sender, report):
        """Store the report of an instance."""
        now = self._loop.now()
        self._last_report_at[sender] = now
        inbox = self._inboxes.setdefault(report['region'], reports.Inbox())
        inbox.add(sender, report, now)

    def on_member_left(self, instance_id):
        """Record that an instance announced that it leaves."""
        self._gone_instances.on_leave(instance_id)

    def on_plan(self, region, plan):
        """Record the legacy shares in a region's plan."""
        for service, share in plan.get('steps', {}).get('legacy', {}).items():
            self._legacy_shares[service] = share

    def planned_regions(self):
        """Return the names of the regions planned here."""
        return list(self._regions)

    def _tick(self):
        self._loop.call_later(TICK_S, self._tick)
        now = self._loop.now()
        if self._regions:
            self._list_instances(now)
        for region in list(self._regions.values()):
            if region.busy:
                continue
            if region.plan is None:
                self._load_plan(region)
            else:
                self._update_plan(region, now)

    def _list_instances(self, now):
        if self._listed_at is not None and now - self._listed_at < (
            LIST_INTERVAL_S
        ):
            return
        self._listed_at = now

        def done(entries, exc):
            if exc is None:
                names = {entry['id'] for entry in entries}
                holders = set()
                for region in self._regions.values():
                    if region.plan is not None:
                        for held in region.plan['held'].values():
                            holders.update(held)
                self._gone_instances.on_platform_list(
                    names, holders, self._last_report_at, now
                )

        self._context.client.instances(done=done)

    def _load_plan(self, region):
        region.busy = True

        def done(item, exc):
            region.busy = False
            if isinstance(exc, errors.KeyNotFound):
                region.plan = plan_rules.empty_plan(region.name)
                region.stored_version = 0
            elif exc is None:
                if not self._use_stored_plan(region, item):
                    return
            else:
                return
            steps = region.plan.get('steps', {})
            region.steps = region_steps.RegionSteps(
                region.name,
                steps.get('movements', {}),
                steps.get('legacy', {}),
                self._loop.now(),
            )

        self._context.client.get(PLAN_PREFIX + region.name, done=done)

    def _use_stored_plan(self, region, item):
        # Returns whether the region has a plan now.
        try:
            plan = documents.decode(item.value)
            self._context.publish(
                PLAN_PREFIX + region.name, plan, item.version
            )
        except (
            errors.UnreadableDocument,
            errors.PeerError,
            ValueError,
        ) as exc:
            # The plan in force goes on until its time is over.
            if item.version != region.skipped_version:
                _log('plan skipped', level='error', key=item.key, error=exc)
            region.skipped_version = item.version
            return False
        region.plan = plan
        region.stored_version = item.version
        return True

    def _update_plan(self, region, now):
        members = self._context.members()
        names = {member.name for member in members}
        inbox = self._inboxes.setdefault(region.name, reports.Inbox())
        fresh = {
            name: report
            for name, report in inbox.fresh(now).items()
            if name in names
        }
        known = {name: r['known'] for name, r in inbox.all().items()}
        region.fence.observe(
            region.plan, known, self._gone_instances.gone, now
        )
        drained = self._context.drained()
        limits = limit_table.region_limits(
            region.name, self._context.config, drained, self._legacy_load(now)
        )
        in_force = region_steps.in_force(region.plan, names, fresh)
        region.progress.update(
            region.plan, limits, fresh, names, self._context.config, now
        )
        steps = region.steps.advance(
            self._context.config,
            list(fresh.values()),
            in_force,
            region.progress.free_rps,
            now,
            self._advances_legacy(region.name),
        )
        self._legacy_shares.update(steps['legacy'])
        inputs = plan_rules.Inputs(
            limits=limits,
            members=members,
            demand=_demand_by_key(fresh),
            acked={
                name: (report['acked'][0], report['acked'][1])
                for name, report in inbox.all().items()
            },
            gone=self._gone_instances.gone,
            floor=lambda limit_id: region.fence.floor(limit_id, now),
            term=region.token,
        )
        extra = {'steps': steps, 'planner': self._context.instance_id}
        changed = any(region.plan.get(k) != v for k, v in extra.items())
        following = plan_rules.next_plan(region.plan, inputs, force=changed)
        self._send_progress(region)
        if following is not region.plan:
            following.update(extra)
            following['steps_version'] = region_steps.steps_version(
                region.plan, following
            )
            self._store_plan(region, following)

    def _send_progress(self, region):
        now = self._loop.now()
        value = region.progress.document(region.steps)
        state = {**value, 'rates': None}
        if (
            state == region.sent_progress
            and now - region.progress_sent_at < PROGRESS_INTERVAL_S
        ):
            return
        region.sent_progress, region.progress_sent_at = state, now
        self._context.notify(
            PROGRESS_PREFIX + region.name, value, PROGRESS_TTL_S
        )

    def _store_plan(self, region, following):
        now = self._loop.now()
        if (
            self._context.duties.fencing_token('planner/' + region.name, now)
            is None
        ):
            return
        region.busy = True
        key = PLAN_PREFIX + region.name
        data = json.dumps(following, separators=(',', ':')).encode()

        def done(version, exc):
            region.busy = False
            if exc is not None:
                # Another planner wrote the plan, or the outcome is unknown:
                # read the stored plan again.
                self._metrics.inc(
                    'plan_writes_failed_total', kind=exc.kind.value
                )
                region.plan = None
                return
            self._metrics.inc('plan_writes_total', region=region.name)
            region.plan, region.stored_version = following, version
            self._context.publish(key, following, version)

        self._context.client.put(key, data, region.stored_version, done=done)

    def _legacy_load(self, now):
        specs = [
            doc['spec'] for doc in self._context.config.all('legacy_share')
        ]
        shares = {
            spec['service']: self._legacy_shares.get(
                spec['service'], spec['share']
            )
            for spec in specs
        }
        peak_shares = self._peak_legacy_shares.update(shares, now)
        return legacy.region_loads(specs, peak_shares)

    def _advances_legacy(self, name):
        regions = [
            doc['metadata']['name']
            for doc in self._context.config.all('region')
        ]
        return bool(regions) and name == min(regions)


def _demand_by_key(fresh):
    found = {}
    for name, report in fresh.items():
        for key, amount in report['demand'].items():
            found.setdefault(key, {})[name] = amount
    return found
