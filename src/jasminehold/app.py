"""Builds, starts, drains and stops one instance.

Example:
    >>> run(settings.parse(text))  # doctest: +SKIP
"""

import os
import random
import signal
import sys
import time

import circuits

from jasminehold import api
from jasminehold import claims as claims_module
from jasminehold import config as config_module
from jasminehold.control import claim_hooks
from jasminehold.control import isolation
from jasminehold.control import lending
from jasminehold.control import planner as planner_module
from jasminehold.control import relay as relay_module
from jasminehold.control import reports
from jasminehold.control import statuses
from jasminehold.control import temporary_drains
from jasminehold.decisions import claim_log
from jasminehold.decisions import config_freshness
from jasminehold.decisions import duty_lease
from jasminehold.decisions import instance_path
from jasminehold.decisions import limit_table
from jasminehold.decisions import lookup_order
from jasminehold.decisions import membership
from jasminehold.decisions import plan as plan_rules
from jasminehold.decisions import share_holder
from jasminehold import duties as duties_module
from jasminehold import effective
from jasminehold import errors
from jasminehold import logs
from jasminehold import loop as loop_module
from jasminehold import metrics as metrics_module
from jasminehold.peers import agent as agent_module
from jasminehold.peers import link
from jasminehold.peers import mesh as mesh_module
from jasminehold.platform import client as platform_client
from jasminehold.proxy import hooks as hooks_module
from jasminehold.proxy import server as proxy_server
from jasminehold.standin import registration
from jasminehold.steering import lookups
from jasminehold.steering import picker as picker_module
from jasminehold.steering import probes
from jasminehold.steering import tables as tables_module
from jasminehold import store

LIST_INTERVAL_S = 5.0
REBUILD_DELAY_S = 0.05
PURGE_INTERVAL_S = 3600.0
# Time for which callers can still reach the instance after the last look-up
# answer that names it has expired.
LEAVE_MARGIN_S = 0.5

_log = logs.get('app')


class _AgentHooks(agent_module.Hooks):
    """The application's callbacks for the agent; see ``peer_state.Hooks``."""

    def __init__(self, app):
        self._app = app

    def on_document(self, key, value, version):
        self._app.on_document(key, value, version)

    def on_notice(self, key, value, seconds_left):
        self._app.on_notice(key, value, seconds_left)

    def on_member(self, member):
        self._app.on_member(member)

    def on_contact(self, region, witness, sent_at, age_s, plan_version, now):
        self._app.holder.contact.record(
            witness, sent_at, {region: plan_version}, age_s
        )

    def witnesses(self):
        plans = self._app.holder.plans
        return {name: plan['witnesses'] for name, plan in plans.items()}

    def own_plan_versions(self):
        own_id = self._app.cfg.id
        return {
            name: plan['version']
            for name, plan in self._app.holder.plans.items()
            if own_id in plan['witnesses']
        }

    def planner(self):
        plan = self._app.holder.plans.get(self._app.cfg.region)
        return None if plan is None else plan.get('planner')


class Application(circuits.BaseComponent):
    """The parts of one instance and its life cycle.

    Args:
        cfg: the checked settings.
        rng: random source, for tests.
    """

    channel = 'app'

    def __init__(self, cfg, rng=None):
        super().__init__(channel=self.channel)
        self.cfg = cfg
        self.rng = rng or random.SystemRandom()
        self.exit_status = 0
        self.leaving = False
        self.loop = loop_module.Loop().register(self)
        self.metrics = metrics_module.Metrics()
        self.config = config_module.ConfigSet()
        self.effective = effective.EffectiveConfig(self.config)
        self.tables = tables_module.Tables()
        self.holder = share_holder.ShareHolder(cfg.id)
        self.freshness = config_freshness.ConfigFreshness()
        self.instance_paths = instance_path.InstancePaths()
        self._path_told_at = None
        self._head_document = None
        # Digest of the configuration from which the tables were built.
        self._tables_digest = None
        # Version, and {instance id: (candidate, caller host, caller port)}.
        self._view = (0, {})
        self._rebuild_timer = None
        self._view_timer = None
        self._build_platform()
        self._build_peers()
        self._build_control()
        self._build_proxy()
        self._build_api()
        self.config.add_listener(self._on_config)

    def _build_platform(self):
        cfg = self.cfg
        if not cfg.platform:
            raise errors.SettingsError('platform: needs at least one address')
        if not cfg.peer_keys:
            raise errors.SettingsError('peer_keys: needs at least one key')
        self.client = platform_client.PlatformClient(
            self.loop,
            [tuple(address) for address in cfg.platform],
            cfg.platform_timeout,
            self.rng,
            self.metrics,
        )

    def _build_peers(self):
        cfg = self.cfg
        ids = sorted(cfg.peer_keys, key=lambda key: key != cfg.peer_key_id)
        key_ring = link.KeyRing(
            [(key, bytes.fromhex(cfg.peer_keys[key])) for key in ids]
        )
        self.mesh = mesh_module.Mesh(
            self.loop, cfg.id, key_ring, None, self.rng, self.metrics
        )
        peer_listener = self.mesh.listen(*cfg.peer_listen)
        self._caller_socket = None
        self.proxy = None
        self._peer_port = peer_listener.port

    def _build_control(self):
        cfg = self.cfg
        self.duties = duties_module.Duties(
            self.loop,
            self.client,
            duties_module.DutiesConfig(
                cfg.id,
                self._duty_names(),
                duty_lease.LeaseConfig(
                    ttl=cfg.lease_ttl, renew_interval_s=cfg.lease_renew
                ),
                frozenset(self._own_region_duties()),
            ),
            self.rng,
            self._on_duty_change,
        )
        self.lending = lending.Lending(
            self.loop,
            self.mesh,
            self.holder,
            self._peers_own_region_first,
            self.rng,
            self.metrics,
        )
        self.isolation = isolation.Isolation(
            self.loop,
            self.mesh,
            cfg.id,
            self._peers_own_region_first,
            self.rng,
            self.metrics,
        )
        self.relay = relay_module.Relay(
            self.loop,
            self.client,
            self.publish,
            self.rng,
            self.metrics,
            self._on_config_read,
        )
        self.planner = planner_module.Planner(
            self.loop,
            planner_module.PlannerContext(
                client=self.client,
                config=self.effective,
                members=self._plan_members,
                publish=self.publish,
                notify=self.notify,
                drained=self._drained_targets,
                duties=self.duties,
                instance_id=cfg.id,
            ),
            self.metrics,
        )
        self.statuses = statuses.Statuses(self.config, self.loop.now)
        self.claim_hooks = claim_hooks.ClaimHooks(
            self.loop, self.mesh, cfg.id, self._is_gone, cfg.answer_keep
        )
        self.claims = claims_module.Claims(
            self.loop,
            self.client,
            self.duties,
            claims_module.ClaimsConfig(
                cfg.id,
                cfg.claim_shards,
                claim_log.Config(
                    keep_s=cfg.claim_keep,
                    write_interval_s=1 / cfg.claim_writes_per_second,
                    max_claims=cfg.claim_limit,
                    orphan_scan_interval_s=cfg.claim_keep,
                ),
            ),
            self.metrics,
            self.claim_hooks.send_claim,
        )
        self.claim_hooks.claims = self.claims
        self.mesh.handle('report', self._on_report)
        self.drains = temporary_drains.TemporaryDrains(
            self.loop, self.notify, self._rebuild_soon
        )

    def _build_proxy(self):
        cfg = self.cfg
        self.picker = picker_module.Picker(
            self.loop,
            cfg,
            self.tables,
            self.holder,
            self.metrics,
            self.rng,
            self.notify,
            self.lending.request_loan,
            self.isolation,
        )
        self.probes = probes.Probes(
            self.loop,
            self.tables,
            self._upstreams_in_use,
            self.picker.on_probe_result,
            self.rng,
            self.metrics,
        )
        hooks = hooks_module.Hooks(
            route=self.picker.route,
            pick=self.picker.pick,
            wait_for_target=self.picker.wait_for_target,
            claim=self.claim_hooks.claim,
            release_claim=self.claim_hooks.release,
            keep_answer=self.claim_hooks.keep,
            find_answer=self.claim_hooks.find,
            may_retry=self.picker.may_retry,
            record_result=self.picker.note_result,
            record_crash=self.picker.note_crash,
            upstreams=self._upstream_addresses,
            path_checked=self._on_path_checked,
        )
        limits = proxy_server.Limits(
            callers=cfg.max_connections,
            head_bytes=cfg.max_header_bytes,
            body_bytes=cfg.max_body_bytes,
            head_s=cfg.header_timeout,
            idle_s=cfg.idle_timeout,
        )
        answer_lookup = lookups.make_lookup(
            self.tables,
            lambda: self._view,
            cfg.lookup_ttl,
            self._may_deny_service,
        )
        self.proxy = proxy_server.ProxyServer(
            self.loop, hooks, self.metrics, answer_lookup, limits, cfg.id
        )
        self.picker.has_idle = self.proxy.pool.has_idle
        self.picker.has_lived_through = self.proxy.pool.lived_through
        self.picker.may_deny = self._may_deny_service
        listener = self.proxy.listen(*cfg.caller_listen)
        self.caller_port = listener.port
        peer_address = cfg.peer_advertise or (
            cfg.peer_listen.host,
            self._peer_port,
        )
        own = membership.Member(
            id=cfg.id,
            incarnation=int(time.time() * 1000),
            state=membership.JOINING,
            host=peer_address[0],
            port=peer_address[1],
            place=cfg.place,
            region=cfg.region,
            caller_host=cfg.caller_listen.host,
            caller_port=self.caller_port,
        )
        self.agent = agent_module.Agent(
            self.loop,
            self.mesh,
            agent_module.AgentCfg(
                own=own,
                members=membership.MembershipCfg(
                    peer_limit=cfg.peer_limit, full_mesh=cfg.full_mesh_limit
                ),
                exchange_period_s=cfg.gossip_period,
            ),
            self.rng,
            self.metrics,
            _AgentHooks(self),
        )
        entry = {
            'id': cfg.id,
            'host': own.host,
            'port': own.port,
            'caller_host': own.caller_host,
            'caller_port': own.caller_port,
            'place': own.place,
            'region': own.region,
            'role': 'entry',
            'state': 'live',
        }
        self.registrations = [
            registration.Registration(
                self.loop, tuple(address), entry, self.rng
            )
            for address in cfg.platform[:1]
            if cfg.register
        ]

    def _build_api(self):
        store_port = store.WriteContext(
            client=self.client,
            call_later=self.loop.call_later,
            clock=time.time,
            new_id=lambda: os.urandom(12).hex(),
            config=self.config,
            metrics=self.metrics,
        )
        context = api.ApiContext(
            writes=store_port,
            status_of=self.statuses.status_of,
            not_ready=self.not_ready,
            accepted=self._publish_write,
            drains=self.drains,
        )
        self.api = api.Api(self.cfg, self.loop, context, self.rng).register(
            self
        )

    # Life cycle.

    def start(self):
        """Join the fleet and start the periodic work."""
        for address in self.cfg.peers:
            self.mesh.add_seed(*address)
        self.agent.set_state(membership.LIVE)
        self._read_platform_list()
        self.loop.call_later(reports.PERIOD_S, self._send_reports)
        self.loop.call_later(PURGE_INTERVAL_S, self._purge)
        _log(
            'instance started',
            instance=self.cfg.id,
            place=self.cfg.place,
            caller_port=self.caller_port,
            api_port=self.api.port,
            peer_port=self._peer_port,
        )

    @circuits.handler('signal', channel='*')
    def _on_signal(self, event, signo, stack):
        if signo in (signal.SIGTERM, signal.SIGINT):
            self.leave()

    @circuits.handler('exception', channel='*')
    def _on_exception(self, etype, value, trace, handler=None, fevent=None):
        self.metrics.inc('internal_errors_total', type=etype.__name__)
        _log(
            'internal error',
            level='error',
            error=repr(value),
            trace=''.join(trace)[-2000:],
        )

    def leave(self):
        """Announce that this instance leaves, finish its requests, exit."""
        if self.leaving:
            return
        self.leaving = True
        _log('instance leaving', instance=self.cfg.id)
        self.agent.set_state(membership.LEAVING)
        for entry in self.registrations:
            entry.set_state('leaving')
        self._update_view()
        self.loop.call_later(self.cfg.drain_bound, self._stop_overdue)
        self.proxy.stops_at = self.loop.now() + self.cfg.drain_bound
        # Callers may use a look-up answer until its TTL has expired.
        delay = self.cfg.lookup_ttl + LEAVE_MARGIN_S
        self.loop.call_later(delay, self._drain)

    def _drain(self):
        self.api.stop_accepting()
        self.proxy.drain(self._release_duties)

    def _release_duties(self):
        self.duties.release_all(lambda result, exc: self._await_idle())

    def _await_idle(self):
        if self.holder.may_leave(self.loop.now()) and not self.api.in_flight:
            self.agent.leave(lambda: self._finish('instance left'))
        else:
            self.loop.call_later(0.1, self._await_idle)

    def _stop_overdue(self):
        self.exit_status = 1
        self.proxy.stop()
        self._finish('instance stopped before its drain ended')

    def _finish(self, event):
        _log(event, instance=self.cfg.id, status=self.exit_status)
        for entry in self.registrations:
            entry.close()
        self.mesh.stop()
        self.stop()

    def not_ready(self):
        """Return the reasons why callers should not use this instance."""
        reasons = []
        if self.leaving:
            reasons.append('leaving')
        if self.proxy.path.lost:
            reasons.append('no path to the upstreams')
        if not self.tables.services:
            reasons.append('no configuration yet')
        elif self.cfg.region not in self.holder.plans:
            reasons.append('no plan of the own region yet')
        else:
            plan = self.holder.plans[self.cfg.region]
            if not self.holder.contact.may_use(plan, self.loop.now()):
                reasons.append('no contact with the witnesses of the region')
        return reasons

    # Documents, notices and members.

    def publish(self, key, value, version):
        """Apply a document and send it to the other instances."""
        if self.agent.publish(key, value, version):
            self.on_document(key, value, version)

    def notify(self, key, value, ttl):
        """Apply a notice and send it to the other instances."""
        self.agent.notify(key, value, ttl)
        self.on_notice(key, value, ttl)

    def on_document(self, key, value, version):
        """Apply a document that is newer than the known version."""
        if key.startswith(config_module.PREFIX):
            entry = {'key': key, 'value': value, 'version': version}
            self.config.apply([entry], 0)
            self._update_config_revision()
        elif key.startswith(planner_module.PLAN_PREFIX):
            self._on_plan(value)
        elif key == relay_module.HEAD_KEY:
            self._head_document = value
            self.freshness.on_head(value['digest'])
            self._update_config_revision()

    def on_notice(self, key, value, seconds_left):
        """Pass a notice to the component that handles its key."""
        if key.startswith(planner_module.PROGRESS_PREFIX):
            self.statuses.on_notice(key, value, seconds_left)
            return
        if key.startswith(temporary_drains.PREFIX):
            self.drains.on_notice(key, value, seconds_left)
            return
        if key.startswith(instance_path.NOTICE_PREFIX):
            self._on_path_notice(key, value, seconds_left)
            return
        if key == config_freshness.NOTICE_KEY:
            sent_at = config_freshness.sent_at(
                value['age_s'], seconds_left, self.loop.now()
            )
            self.freshness.on_read(value['digest'], sent_at)
            return
        self.picker.on_notice(key, value, seconds_left, self.loop.now())
        if key.startswith(picker_module.LEAVING_PREFIX):
            self._rebuild_soon()

    def on_member(self, member):
        """Handle a changed member; the view is updated after a delay."""
        if member.state == membership.GONE and member.left:
            self.planner.on_member_left(member.id)
        self._update_view_soon()

    def _update_view_soon(self):
        # Building the view takes 5 to 9 ms with 5,800 members. Doing it for
        # each of the 300 members of a failed availability zone would block
        # the loop for seconds.
        if self._view_timer is None:
            self._view_timer = self.loop.call_later(
                REBUILD_DELAY_S, self._update_view
            )

    def _publish_write(self, entry):
        self.agent.publish(entry['key'], entry['value'], entry['version'])

    def _on_plan(self, plan):
        now = self.loop.now()
        if self.holder.apply(plan, now):
            self.planner.on_plan(plan['region'], plan)
            self._rebuild_soon()

    def _on_config(self, changed):
        for entry in changed:
            kind, name = config_module.split_key(entry['key'])
            if kind == 'client_blocks':
                self.tables.set_blocks(name, self.config.get(kind, name))
        self._rebuild_soon()

    def _on_path_checked(self, lost, since):
        now = self.loop.now()
        told_at = self._path_told_at
        if lost and told_at is None:
            self.picker.forgive_failures(since)
        elif lost and now - told_at < instance_path.RENEW_INTERVAL_S:
            return
        self._path_told_at = now if lost else None
        self.notify(
            instance_path.NOTICE_PREFIX + self.cfg.id,
            {'lost': lost},
            instance_path.NOTICE_TTL_S,
        )

    def _on_path_notice(self, key, value, seconds_left):
        ident = key[len(instance_path.NOTICE_PREFIX) :]
        now = self.loop.now()
        if self.instance_paths.on_notice(
            ident, value['lost'], seconds_left, now
        ):
            self._update_view_soon()
        self.loop.call_later(seconds_left, self._expire_path_notices)

    def _expire_path_notices(self):
        if self.instance_paths.remove_expired(self.loop.now()):
            self._update_view_soon()

    def _on_config_read(self, digest, sent_at):
        now = self.loop.now()
        if self.freshness.is_news(digest, sent_at, now):
            self.notify(
                config_freshness.NOTICE_KEY,
                {'digest': digest, 'age_s': now - sent_at},
                config_freshness.NOTICE_TTL_S,
            )

    def _may_deny_service(self):
        return self.freshness.may_deny(self._tables_digest, self.loop.now())

    def _update_config_revision(self):
        head = self._head_document
        if head is not None and head['digest'] == self.config.digest():
            self.config.revision = max(self.config.revision, head['revision'])

    def _rebuild_soon(self):
        if self._rebuild_timer is None:
            self._rebuild_timer = self.loop.call_later(
                REBUILD_DELAY_S, self._rebuild
            )

    def _rebuild(self):
        self._rebuild_timer = None
        self._tables_digest = self.config.digest()
        steps = {'movements': {}, 'legacy': {}}
        for plan in self.holder.plans.values():
            for part, values in plan.get('steps', {}).items():
                steps[part].update(values)
        self.tables.rebuild(
            self.effective, steps, self.picker.leaving, self.drains.targets()
        )
        limits = []
        for region in set(self.tables.place_region.values()):
            limits += limit_table.region_limits(
                region, self.effective, self.tables.drained, {}
            )
        self.holder.set_groups(limits)
        self.picker.apply_tables()
        self.duties.set_names(self._duty_names())
        self._update_view()

    def _update_view(self):
        if self._view_timer is not None:
            self._view_timer.cancel()
            self._view_timer = None
        instances = {}
        now = self.loop.now()
        members = self.agent.state.members
        for member in members.all():
            if member.state in (membership.LIVE, membership.SUSPECT):
                if member.caller_port:
                    candidate = lookup_order.Candidate(
                        member.id,
                        member.place,
                        member.region,
                        member.state == membership.SUSPECT,
                        self.instance_paths.is_lost(member.id, now),
                    )
                    instances[member.id] = (
                        candidate,
                        member.caller_host,
                        member.caller_port,
                    )
        if self.leaving:
            instances.pop(self.cfg.id, None)
        self._view = (self._view[0] + 1, instances)
        own_region = self.cfg.region
        own_region_ids = [
            name
            for name, item in instances.items()
            if item[0].region == own_region
        ]
        self.duties.set_candidates(instances, own_region_ids)

    def _own_region_duties(self):
        region = self.cfg.region
        relays = ['relay/%s/%d' % (region, n) for n in (0, 1)]
        return relays + ['planner/' + region]

    def _duty_names(self):
        names = ['claims/%d' % n for n in range(self.cfg.claim_shards)]
        names += self._own_region_duties()
        # Instances of other regions plan a region without live instances.
        if self.proxy is not None:
            live = {item[0].region for item in self._view[1].values()}
            for region in sorted(set(self.tables.place_region.values())):
                if region not in live and region != self.cfg.region:
                    names.append('planner/' + region)
        return tuple(names)

    def _plan_members(self):
        return [
            plan_rules.Member(entry.ident, entry.place, entry.region)
            for entry, _, _ in self._view[1].values()
        ]

    def _peers_own_region_first(self):
        instances = self._view[1]
        own_region = self.cfg.region
        return sorted(
            (name for name in instances if name != self.cfg.id),
            key=lambda name: (instances[name][0].region != own_region, name),
        )

    def _upstream_addresses(self):
        return [
            (item.name, item.place, item.host, item.port)
            for item in self.tables.upstreams.values()
        ]

    def _upstreams_in_use(self):
        now = self.loop.now()
        return [
            name
            for name in self.tables.upstreams
            if self.holder.free(limit_table.upstream_slots(name), now)[1]
        ]

    def _drained_targets(self):
        return tables_module.drained_targets(
            self.effective,
            self.tables.place_region,
            self.picker.leaving,
            self.drains.targets(),
        )

    def _is_gone(self, instance_id):
        member = self.agent.state.members.get(instance_id)
        return None if member is None else member.state == membership.GONE

    def _on_duty_change(self, name, token):
        self.metrics.inc(
            'duty_changes_total',
            duty=name.partition('/')[0],
            change='lost' if token is None else 'gained',
        )
        self.relay.on_duty_change(name, token)
        self.planner.on_duty_change(name, token)
        self.claims.on_duty_change(name, token)

    # Periodic work.

    def _read_platform_list(self):
        # Instances with peers receive membership changes from them, so only
        # the planners among these read the platform's list often.
        no_peers = len(self.mesh.connected()) == 0
        planning = bool(self.planner.planned_regions())
        interval_s = (
            LIST_INTERVAL_S if no_peers or planning else 12 * LIST_INTERVAL_S
        )
        if no_peers:
            interval_s = 1.0
        self.loop.call_later(
            interval_s * self.rng.uniform(0.8, 1.2), self._read_platform_list
        )

        def done(entries, exc):
            if exc is None:
                self.agent.on_platform_list(
                    [e for e in entries if e.get('role') == 'entry']
                )

        self.client.instances(done=done)

    def _send_reports(self):
        self.loop.call_later(reports.PERIOD_S, self._send_reports)
        now = self.loop.now()
        for region, plan in self.holder.plans.items():
            planner = plan.get('planner')
            report = reports.build(
                region,
                self.picker,
                self.tables,
                self.holder,
                self.config.revision,
                self.cfg.place,
                now,
            )
            if planner == self.cfg.id:
                self.planner.on_report(planner, report)
            elif planner is not None:
                self.mesh.send(planner, report)

    def _purge(self):
        """Remove old tombstones from the platform if this is a relay."""
        self.loop.call_later(PURGE_INTERVAL_S, self._purge)
        if self.relay.active:
            store.purge_tombstones(
                self.client,
                self.config.snapshot(),
                time.time(),
                self.cfg.tombstone_keep,
                self._on_purged,
            )

    def _on_purged(self, removed, exc):
        self.metrics.inc('tombstones_purged_total', removed)

    def _on_report(self, sender, message, reply):
        self.planner.on_report(sender, message)


def run(cfg):
    """Run one instance until it stops, then exit the process.

    Args:
        cfg: the checked :class:`settings.Settings`.
    """
    logs.configure(cfg.log_level)
    app = Application(cfg)
    app.start()
    app.run()
    sys.exit(app.exit_status)
