"""The application of an instance in front of the upstreams.

Example:
    >>> run('instance.json')  # doctest: +SKIP
"""

import os
import random
import signal

import circuits

from jasminehold.decisions import held_bytes
from jasminehold.decisions import instance_sample
from jasminehold.decisions import planned_stop
from jasminehold.decisions import route_table
from jasminehold import errors
from jasminehold.front import account_check
from jasminehold.front import caller
from jasminehold.front import cfg as cfg_module
from jasminehold.front import crash_guard
from jasminehold.front import crash_inquiry
from jasminehold.front import demand_news
from jasminehold.front import departures
from jasminehold.front import directory
from jasminehold.front import exchange
from jasminehold.front import first_copy
from jasminehold.front import limit_news
from jasminehold.front import path_check
from jasminehold.front import peering
from jasminehold.front import quotas
from jasminehold.front import reader
from jasminehold.front import registration
from jasminehold.front import relay
from jasminehold.front import settled_era
from jasminehold.front import steering as steering_module
from jasminehold.front import upstream_conn
from jasminehold import logs
from jasminehold import loop as loop_module
from jasminehold import metrics as metrics_module
from jasminehold.platform import kv
from jasminehold.platform import wire

# Fractions of the file descriptors for caller and upstream connections.
CALLER_FILES_FRACTION = 0.6
UPSTREAM_FILES_FRACTION = 0.3
# File descriptors that are not for callers or upstreams.
FILES_RESERVED = 200
STOP_CHECK_EVERY_S = 0.05
# The platform may change the settings file without sending a signal.
SETTINGS_CHECK_EVERY_S = 2.0
# Ids of members that one log line names.
MEMBERS_LOGGED = 16

Phase = planned_stop.Phase
_log = logs.get('front')


class FrontApplication(circuits.BaseComponent):
    """One instance: starts up, serves requests, drains and stops.

    Args:
        cfg: the :class:`~jasminehold.front.cfg.Cfg`.
        path: settings file, reloaded on SIGHUP and on change; None for no
            reloading.
        rng: random source, for tests.
    """

    channel = 'front'

    def __init__(self, cfg, path=None, rng=None):
        super().__init__(channel=self.channel)
        self.cfg = cfg
        self.leaving = False
        self.rng = rng or random.SystemRandom()
        self.loop = loop_module.Loop().register(self)
        self.metrics = metrics_module.Metrics()
        self.steering = steering_module.Steering(cfg, self.rng, _log)
        self.held = held_bytes.HeldBytes(lambda: self.cfg.memory_mb)
        self._path = path
        self._members = {}
        self._planned_stop = None
        self._own_entry = {
            'callers': '%s:%d' % cfg.caller_listen,
            'place': cfg.place,
            'region': cfg.places[cfg.place],
            'peers': '%s:%d' % cfg.peer_listen,
            'room': round(
                instance_sample.room(
                    cfg.cores * cfg.core_speed, cfg.link_mbps
                ),
                1,
            ),
        }
        self._listed_instances = _instances({cfg.id: self._own_entry})
        self._build_store()
        self._build_path()

    def _files(self):
        return max(self.cfg.max_files - FILES_RESERVED, FILES_RESERVED)

    def _build_store(self):
        self._pool = upstream_conn.UpstreamPool(
            self.loop,
            self.metrics,
            int(self._files() * UPSTREAM_FILES_FRACTION),
            self.held,
        )
        self._pool.log = _log
        self.store = kv.connect(
            self.loop, *self.cfg.store, self.rng, self.metrics
        )
        self._registration = registration.Registration(
            self.loop,
            self.store,
            wire.MEMBER_PREFIX + self.cfg.id,
            self._own_entry,
            self.rng,
            _log,
        )
        self._peering = peering.Peering(
            self.loop, self.cfg, self.rng, self.metrics, _log
        )
        self._reader = reader.StoreReader(
            self.loop,
            self.store,
            self._peering.rank,
            self._on_change,
            self._peering.send_changes,
            self._peering.send_list,
            self.rng,
            _log,
        )
        self._peering.reader = self._reader
        self._settled_era = settled_era.SettledEra(
            self.loop,
            self.store,
            self._reader.replica,
            self._peering.rank,
            _log,
        )
        self.crash_guard = crash_guard.CrashGuard(
            self.loop,
            self._peering.mesh,
            self.cfg.id,
            self.store,
            self._pool,
            self.metrics,
            _log,
        )
        self.limit_news = limit_news.LimitNews(
            self.loop, self._peering.mesh, self.steering, self.metrics, _log
        )
        self.departures = departures.Departures(
            self.loop, self._peering.mesh, self.steering, self.metrics
        )
        self._demand_news = demand_news.DemandNews(
            self.loop,
            self._peering.mesh,
            self.cfg,
            self.steering,
            self.metrics,
        )
        self._first_copy = first_copy.FirstCopy(
            self.loop,
            self._peering.mesh,
            self._reader,
            self._on_change,
            self._put_in_force,
            self._tell,
            self.metrics,
            _log,
        )
        self._build_relay()
        self._peering.on_link_up = self._on_link_up
        self.store.on_era = self._on_era
        self.steering.copy_age = self._reader.replica.age
        self.steering.copy_may_deny = self._reader.replica.may_deny
        self._decoder = reader.Decoder(self.metrics, _log)
        self.accounts = account_check.AccountCheck(
            lambda: self.cfg,
            self._reader.proven_age,
            self.steering.may_deny,
            self.metrics,
            _log,
        )
        self._reader.needs_proof = self.accounts.needs_proof

        self.quotas = quotas.Quotas(
            self.loop,
            self._peering.mesh,
            lambda: self.cfg,
            self.rng,
            self.metrics,
            _log,
        )

    def _build_relay(self):
        self.path = path_check.PathCheck(
            self.loop,
            self._pool,
            self.steering.view,
            self.rng,
            self.metrics,
            _log,
        )
        self.path.on_lost = self._on_path_lost
        self.path.on_still_lost = lambda: self.exchanges.on_path_lost()
        self.crash_guard.path = self.path
        self.crash_guard.inquiries = crash_inquiry.CrashInquiries(
            self.loop,
            self.cfg,
            self._peering.mesh,
            self._pool,
            self.steering.view,
            self.path,
            self.rng,
            self.metrics,
            _log,
        )
        self.relay = relay.Relay(
            self.loop,
            self.cfg,
            self._peering.key,
            self._peering.mesh,
            self._pool,
            self.path,
            self.rng,
            self.metrics,
            _log,
        )
        self.path.on_regained = self.relay.tell
        self.relay.account_headers = lambda: self.accounts.headers
        relay_on_down = self._peering.mesh.on_down

        def on_down(name):
            relay_on_down(name)
            self.quotas.on_down(name)

        self._peering.mesh.on_down = on_down

    def _on_path_lost(self, since):
        self.steering.forget_failures(since)
        self.relay.tell()
        self.exchanges.on_path_lost()

    def _on_era(self, era):
        # What this instance wrote to the store may be lost.
        self._registration.on_era(era)
        self.crash_guard.on_era()

    def _on_link_up(self, name):
        self._tell(name)
        self._first_copy.on_link_up(name)

    def _tell(self, name):
        # What an instance that starts cannot read from the store.
        self.crash_guard.on_link_up(name)
        self.limit_news.on_link_up(name)
        self.departures.on_link_up(name)
        self.relay.on_link_up(name)

    def _build_path(self):
        files = self._files()
        self.exchanges = exchange.ExchangeContext(
            self.loop,
            self.steering,
            self._pool,
            self.crash_guard,
            self.limit_news,
            self.departures,
            self.path,
            self.relay,
            self.accounts,
            self.quotas,
            self.metrics,
            self.rng,
            _log,
        )
        answers = directory.Directory(
            self._instances_to_name,
            lambda: not self.leaving and self.steering.table is not None,
            self.cfg.lookup_ttl,
            self.relay.cut_off,
        )
        callers = int(files * CALLER_FILES_FRACTION)
        self.callers = self._port(
            self.exchanges.on_request, callers, self.held
        )
        self._ready = self._port(answers.on_request, FILES_RESERVED)
        self._directory = self._port(answers.on_request, FILES_RESERVED)
        self._metrics = self._port(self._on_scrape, FILES_RESERVED)

    def _instances_to_name(self):
        return self._listed_instances if self._first_copy.in_force else ()

    def _port(self, on_request, conns, held=None):
        # Answers about the instance itself are small, and are given always.
        held = held or held_bytes.HeldBytes(lambda: self.cfg.memory_mb)
        return caller.CallerPort(
            self.loop,
            self.metrics,
            self._caller_limits,
            lambda: self.steering.may_deny(self.loop.now()),
            on_request,
            conns,
            held,
        )

    def _caller_limits(self):
        table = self.steering.table
        return table.limits if table else route_table.CallerLimits()

    def _on_scrape(self, inbound):
        headers = [(b'content-type', b'text/plain; version=0.0.4')]
        now = self.loop.now()
        gauges = self.steering.gauge_values(now)
        gauges.update(self.crash_guard.gauge_values())
        gauges.update(self.relay.gauge_values())
        gauges.update(self.accounts.gauge_values())
        gauges.update(self.quotas.gauge_values())
        gauges['held_bytes'] = self.held.total
        gauges['held_bytes_peak'] = self.held.peak
        gauges['held_bytes_allowed'] = self.held.limit
        gauges['requests_in_flight'] = len(self.exchanges.exchanges)
        gauges['instance_leaving'] = int(self.leaving)
        replica = self._reader.replica
        gauges['store_copy_confirmed'] = int(replica.may_deny(now))
        if replica.as_of is not None:
            gauges['store_copy_age_seconds'] = replica.age(now)
        for name, value in gauges.items():
            self.metrics.set(name, value)
        for service, use in self.steering.retry_uses(now).items():
            for name, value in use._asdict().items():
                self.metrics.set('retry_%s' % name, value, service=service)
        for account, per_s in self.quotas.label_values().items():
            self.metrics.set('quota_allowed', per_s, account=account)
        self.metrics.set(
            'instance_info', 1, instance=self.cfg.id, place=self.cfg.place
        )
        inbound.answer(200, headers, self.metrics.render())

    # Startup, reload and shutdown.

    def start(self):
        """Open the listeners and start reading the store."""
        cfg = self.cfg
        self.callers.listen(*cfg.caller_listen)
        self._ready.listen(*cfg.ready_listen)
        self._directory.listen(*cfg.directory_listen)
        self._metrics.listen(*cfg.metrics_listen)
        self._peering.start()
        self._reader.start()
        self._settled_era.start()
        self._registration.start()
        self._demand_news.start()
        self._loaded_file = self._stat_settings()
        self.loop.call_later(SETTINGS_CHECK_EVERY_S, self._watch_settings)
        _log('instance started', instance=cfg.id, place=cfg.place)

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

    def _stat_settings(self):
        # Returns values that differ when the file has changed.
        if self._path is None:
            return None
        try:
            found = os.stat(self._path)
        except OSError as exc:
            _log('settings not found', level='warning', error=exc)
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    def _watch_settings(self):
        self.loop.call_later(SETTINGS_CHECK_EVERY_S, self._watch_settings)
        if (
            self._path is not None
            and self._stat_settings() != self._loaded_file
        ):
            self.reload()

    def reload(self):
        """Reload the settings, except for the listening addresses."""
        if self._path is None:
            return
        self._loaded_file = self._stat_settings()
        try:
            cfg = cfg_module.load(self._path)
        except errors.SettingsError as exc:
            _log('settings not reloaded', level='error', error=exc)
            return
        # The listeners stay at their addresses.
        kept = {
            name: value
            for name, value in self.cfg._asdict().items()
            if name == 'id' or name.endswith('_listen')
        }
        self.cfg = cfg._replace(**kept)
        self.steering.on_settings(self.cfg)
        _log('settings reloaded', instance=cfg.id)

    def leave(self):
        """Shut down gracefully: deregister, finish requests, then exit."""
        if self.leaving:
            return
        self.leaving = True
        self.callers.leaving = True
        self._registration.leave()
        self._peering.leave()
        grace = self.cfg.stop_grace
        self._planned_stop = planned_stop.PlannedStop(self.loop.now(), grace)
        self.exchanges.planned_stop = self._planned_stop
        _log('instance leaving', instance=self.cfg.id, grace_s=grace)
        self._step_stop()

    def _step_stop(self):
        stop, now = self._planned_stop, self.loop.now()
        before = stop.phase
        owed = self.callers.owed()
        phase = stop.step(owed, now)
        if phase is Phase.FINISHING and before is not phase:
            self.callers.stop_accepting()
            _log(
                'instance finishing',
                instance=self.cfg.id,
                owed=owed._asdict(),
            )
        elif phase is Phase.FINISHING:
            self.callers.close_idle()
        self.callers.refuse_unfinished(self.exchanges.may_end_in_time)
        if phase is not Phase.ENDED:
            wait_s = min(STOP_CHECK_EVERY_S, stop.left_s(now))
            self.loop.call_later(wait_s, self._step_stop)
            return
        _log(
            'instance stopped',
            instance=self.cfg.id,
            in_flight=len(self.exchanges.exchanges),
            cut_off=owed._asdict(),
            accepting_s=round(stop.seconds(Phase.ACCEPTING, now), 2),
            finishing_s=round(stop.seconds(Phase.FINISHING, now), 2),
        )
        self.stop()

    # Changes in the store.

    def _on_change(self, keys):
        copy = self._reader.replica
        # The members lead to the peers that confirm the rest.
        if any(key.startswith(wire.MEMBER_PREFIX) for key in keys):
            self._on_members(copy.with_prefix(wire.MEMBER_PREFIX))
        self._first_copy.on_copy()
        if self._first_copy.in_force:
            self._put_in_force(keys)

    def _put_in_force(self, keys):
        copy = self._reader.replica
        if any(key.startswith(wire.OPERATOR_PREFIX) for key in keys):
            former = copy.superseded(wire.CONFIG_KEY)
            table = former and self._decoder.config(former)
            if table is not None:
                self._apply_config(table)
            table, places = self._decoder.operator(
                copy.with_prefix(wire.OPERATOR_PREFIX)
            )
            if table is not None:
                self._apply_config(table)
            self.steering.on_evacuated(places)
        if any(key.startswith(wire.UPSTREAM_PREFIX) for key in keys):
            entries = self._decoder.upstreams(
                copy.with_prefix(wire.UPSTREAM_PREFIX)
            )
            self.steering.on_entries(entries, copy.as_of)
        if any(key.startswith(wire.QUARANTINE_PREFIX) for key in keys):
            self.crash_guard.on_stored(
                copy.with_prefix(wire.QUARANTINE_PREFIX)
            )

    def _apply_config(self, table):
        if self.steering.on_config(table):
            self.accounts.on_config(table.accounts)
            self.exchanges.on_config()
            self.quotas.on_config(table.accounts, self.loop.now())

    def _on_members(self, items):
        members = self._decoder.members(items)
        joined = sorted(set(members) - set(self._members))
        left = sorted(set(self._members) - set(members))
        if joined or left:
            _log(
                'members changed',
                count=len(members),
                joined=joined[:MEMBERS_LOGGED],
                left=left[:MEMBERS_LOGGED],
            )
        self._members = members
        self._listed_instances = _instances(
            members or {self.cfg.id: self._own_entry}
        )
        self.relay.on_members(self._listed_instances)
        regions = {name: doc['region'] for name, doc in members.items()}
        self.steering.on_members(regions, self.loop.now())
        self.quotas.on_members(regions, self.loop.now())
        self._peering.on_members(members)
        self._demand_news.on_members(regions)
        self.crash_guard.on_members(
            {name: doc['place'] for name, doc in members.items()}
        )
        self._registration.on_members(items)


def _instances(members):
    # What the directory chooses from.
    return [
        instance_sample.Instance(
            name, doc['callers'], doc['place'], doc['region'], doc['room']
        )
        for name, doc in members.items()
    ]


def run(path):
    """Run an instance until it receives SIGTERM or SIGINT.

    Args:
        path: settings file.
    """
    logs.configure_bounded()
    app = FrontApplication(cfg_module.load(path), path)
    signal.signal(signal.SIGHUP, lambda *args: app.loop.call_soon(app.reload))
    app.start()
    app.run()
