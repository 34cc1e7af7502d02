"""Selects a place and an upstream for each request and queues requests.

Provides the hooks of the request path. The rules are in ``decisions``; this
module calls them and applies their results.
"""

import collections

from jasminehold.decisions import admission
from jasminehold.decisions import crash_suspects
from jasminehold.decisions import demand
from jasminehold.decisions import health
from jasminehold.decisions import limit_table
from jasminehold.decisions import retry
from jasminehold.decisions import routing
from jasminehold import errors
from jasminehold.proxy import hooks as hooks_module
from jasminehold.steering import place_stats

Kind = errors.Kind

DISPATCH_INTERVAL_S = 0.02
# Crash notices are needed for as long as a quarantined request is remembered,
# see ``crash_suspects.CrashSuspectsConfig``.
NOTICE_TTL_S = 600.0
LEAVING_TTL_S = 30.0
# Time in which the own connections show that an upstream lives on of which
# another instance says that it crashed.
CRASH_REVIEW_S = 2.0
CRASH_REVIEW_EVERY_S = 0.1
CRASH_PREFIX = 'crash/'
LEAVING_PREFIX = 'leaving/'


class _ServiceState:
    """Queue, health and retry budget of one service at this instance."""

    def __init__(self, retry_cfg):
        self.admission = admission.Admission()
        self.health = health.Health()
        self.retry_cfg = retry_cfg
        self.budget = retry.RetryBudget(retry_cfg)
        self.waiting = {}
        self.in_flight = demand.AverageLevel()
        self.refused = demand.AverageRate()


class Picker:
    """Selects targets for the requests of one instance.

    Args:
        loop: the event loop.
        cfg: the settings.
        tables: the :class:`tables.Tables`.
        holder: this instance's :class:`share_holder.ShareHolder`.
        metrics: counters.
        rng: random source.
        notify: ``notify(key, value, ttl)`` sends a notice to all instances.
        request_loan: ``request_loan(group, limit ids, count)``, called when
            the free slots or rates do not suffice.
        isolation: the :class:`~control.isolation.Isolation`, which keeps
            suspects away from upstreams with suspects of other instances.

    Attributes:
        has_idle: ``has_idle(name, host, port)`` returns whether an upstream
            has an idle open connection.
        has_lived_through: ``has_lived_through(name, at)`` returns whether an
            upstream has certainly not crashed at a time.
        may_deny: ``may_deny()`` returns whether a service that this instance
            does not know is certainly not declared.
    """

    def __init__(
        self,
        loop,
        cfg,
        tables,
        holder,
        metrics,
        rng,
        notify,
        request_loan,
        isolation=None,
    ):
        self._loop = loop
        self._cfg = cfg
        self._tables = tables
        self._holder = holder
        self._metrics = metrics
        self._rng = rng
        self._notify = notify
        self._request_loan = request_loan
        self._isolation = isolation
        self._service_states = {}
        self._last_id = 0
        self._reported_loads = {}
        self.has_idle = lambda name, host, port: False
        self.has_lived_through = lambda name, at: False
        self.may_deny = lambda: False
        self.suspects = crash_suspects.CrashSuspects()
        self.leaving = {}
        self.in_flight = collections.Counter()
        self.limit_demand = {}
        self.client_demand = {}
        self.place_stats = {}
        self._dispatch_scheduled = False

    def apply_tables(self):
        """Update the service states after a rebuild of the tables."""
        now = self._loop.now()
        names = {}
        for upstream in self._tables.upstreams.values():
            names.setdefault(upstream.service, []).append(upstream.name)
        for service, declared in self._tables.services.items():
            state = self._service_state(service)
            state.health.set_upstreams(names.get(service, []), now)
            if state.retry_cfg.share != declared.retry_budget:
                state.retry_cfg = state.retry_cfg._replace(
                    share=declared.retry_budget
                )
                state.budget = retry.RetryBudget(state.retry_cfg)
        for service in set(self._service_states) - set(self._tables.services):
            if not self._service_states[service].waiting:
                del self._service_states[service]

    # Hooks of the request path.

    def route(self, req):
        """Return a :class:`hooks.RequestPlan`, or the kind of refusal."""
        service = self._tables.services.get(req.service)
        if service is None:
            return (
                Kind.UNKNOWN_SERVICE if self.may_deny() else Kind.UNAVAILABLE
            )
        path = req.path
        idempotent = req.method in service.methods or any(
            path.startswith(prefix) for prefix in service.paths
        )
        priority = admission.Priority.NORMAL
        for prefix, class_priority in service.classes:
            if path.startswith(prefix):
                priority = class_priority
                break
        else:
            if not idempotent:
                priority = admission.Priority.ORDER
        self._service_state(req.service).budget.earn()
        self._count_client_demand(req)
        return hooks_module.RequestPlan(
            req.service, idempotent, service.timeout_s, priority
        )

    def pick(self, req, tried, now):
        """Return a target with its limits acquired, or a refusal."""
        return self._pick(req, tried, now, True)

    def _pick(self, req, tried, now, is_first_pick):
        state = self._service_state(req.service)
        verdict = self.suspects.verdict(self._fingerprint(req), now)
        if verdict is crash_suspects.Verdict.QUARANTINED:
            self._metrics.inc('requests_condemned_total', service=req.service)
            return hooks_module.Refusal(Kind.POISON)
        isolate = verdict is crash_suspects.Verdict.ISOLATE
        for index, option in enumerate(self._options(req)):
            # A request counts once at its first option, and at the option to
            # which it overflows. When each try of a queued request counted, a
            # place with 125 requests per second appeared to use 563 of 250.
            if is_first_pick and index == 0:
                self._count_limit_demand(option.limits, now)
            target = self._acquire_target(req, option, tried, isolate, now)
            if target is not None:
                if index:
                    self._count_limit_demand(option.limits, now)
                return target
        if isolate:
            self._request_permit(req, tried, now)
        state.refused.add(now)
        return hooks_module.Refusal(
            Kind.OVERLOADED, state.admission.service_time_s
        )

    def wait_for_target(self, req, tried, deadline, done):
        """Queue a request until it gets a target or is refused.

        Args:
            req: the request.
            tried: names of upstreams to exclude.
            deadline: seconds, monotonic.
            done: ``done(target or refusal)``, called once.
        """
        now = self._loop.now()
        state = self._service_state(req.service)
        slots = self._queue_slots(req.service, now)
        self._borrow_slots(req.service, tried, now)
        self._last_id += 1
        ident = self._last_id
        offer = state.admission.offer(
            ident, req.plan.priority, deadline, slots, now
        )
        for evicted in offer.evicted:
            self._refuse(state, evicted, state.admission.service_time_s)
        if not offer.accepted:
            self._metrics.inc('requests_shed_total', service=req.service)
            done(hooks_module.Refusal(Kind.OVERLOADED, offer.retry_after_s))
            return
        state.waiting[ident] = (req, tried, done)
        if not self._dispatch_scheduled:
            self._dispatch_scheduled = True
            self._loop.call_later(DISPATCH_INTERVAL_S, self._dispatch_all)
        state.in_flight.change(1, now)

    def may_retry(self, req, attempt, now):
        """Return the delay before a retry in seconds, None for no retry."""
        state = self._service_state(req.service)
        failed_attempt = retry.Attempt(
            number=len(attempt.tried),
            repeatable=True,
            overloaded=attempt.result == 'refused' and len(state.waiting) > 0,
            caller_attempt=req.attempt,
            deadline=attempt.deadline,
            service_time_s=state.admission.service_time_s,
            crashed=attempt.result == 'crash',
            sent=attempt.result != 'connect',
        )
        return retry.decide(
            failed_attempt, state.budget, now, self._rng, state.retry_cfg
        )

    def note_result(self, upstream, result, latency_s, now):
        """Record the result of an attempt at an upstream."""
        declared = self._tables.upstreams.get(upstream)
        if declared is None:
            return
        state = self._service_state(declared.service)
        self._stats_of(declared.service, declared.place).record(
            result, latency_s, now
        )
        if result == 'leaving':
            self._record_leaving(upstream, now)
        elif result == 'ok':
            state.admission.observe(latency_s)
            state.health.record_result(upstream, True, now)
        elif result == 'connect':
            if state.health.record_refused_connection(upstream, now):
                self._metrics.inc('upstream_ejections_total', reason='refused')
        elif result in ('loss', 'error', 'deadline'):
            if state.health.record_result(upstream, False, now):
                self._metrics.inc('upstream_ejections_total', reason=result)
        self._metrics.observe(
            'upstream_seconds', latency_s, service=declared.service
        )

    def forgive_failures(self, since):
        """Take back the failures of upstreams from a time on."""
        for state in self._service_states.values():
            state.health.forgive(since)

    def note_crash(self, upstream, fingerprints):
        """Record a crash and notify the other instances."""
        now = self._loop.now()
        declared = self._tables.upstreams.get(upstream)
        if declared is None:
            return
        self._service_state(declared.service).health.record_refused_connection(
            upstream, now
        )
        prefix = declared.service.encode() + b'/'
        fingerprints = [prefix + item for item in fingerprints]
        for notice in self.suspects.record_crash(upstream, fingerprints, now):
            self._publish_crash_notice(notice, now)

    def on_notice(self, key, value, seconds_left, now):
        """Apply a notice of another instance."""
        if key.startswith(CRASH_PREFIX):
            age = value['age_s'] + max(NOTICE_TTL_S - seconds_left, 0.0)
            self.suspects.merge({**value, 'age_s': age}, now)
            if not value['cleared']:
                at = now - max(age, 0.0)
                self._review_crash(value['fingerprint'], value['upstream'], at)
        elif key.startswith(LEAVING_PREFIX):
            self.leaving[key[len(LEAVING_PREFIX) :]] = now + LEAVING_TTL_S

    def _review_crash(self, fingerprint, upstream, at):
        # An instance that loses its path takes its upstreams for crashed.
        now = self._loop.now()
        if self.has_lived_through(upstream, at):
            self._metrics.inc('crash_notices_withdrawn_total')
            self.suspects.withdraw(fingerprint, upstream, at)
            notice = crash_suspects.CrashNotice(
                fingerprint=fingerprint,
                upstream='',
                age_s=now - at,
                cleared=True,
            )
            self._publish_crash_notice(notice, now)
        elif now - at < CRASH_REVIEW_S:
            self._loop.call_later(
                CRASH_REVIEW_EVERY_S,
                self._review_crash,
                fingerprint,
                upstream,
                at,
            )

    def on_probe_result(self, name, load, healthy, leaving):
        """Apply a probe response of an upstream; see :mod:`probes`."""
        now = self._loop.now()
        upstream = self._tables.upstreams.get(name)
        if upstream is None:
            return
        if leaving:
            self._record_leaving(name, now)
        health = self._service_state(upstream.service).health
        health.report(name, load or 0.0, healthy, now)
        if load is not None:
            self._reported_loads[name] = (load, now)

    def demand(self, region_of, now):
        """Return the demand for the limits of each region.

        Args:
            region_of: function from a limit id to its home region.
            now: seconds, monotonic.

        Returns:
            ``{region: {limit id or service: amount}}``.
        """
        amounts = {}
        for limit_id, rate in self.limit_demand.items():
            value = rate.value(now)
            region = region_of(limit_id)
            if value > 0.01 and region is not None:
                amounts.setdefault(region, {})[limit_id] = round(value, 2)
        for service, state in self._service_states.items():
            value = state.in_flight.value(now)
            if value > 0.01:
                for region in set(self._tables.place_region.values()):
                    part = amounts.setdefault(region, {})
                    part[service] = round(value, 2)
        return amounts

    # Internals.

    def _service_state(self, service):
        state = self._service_states.get(service)
        if state is None:
            state = _ServiceState(retry.RetryConfig())
            self._service_states[service] = state
        return state

    def _stats_of(self, service, place):
        key = (service, place)
        if key not in self.place_stats:
            self.place_stats[key] = place_stats.PlaceStats()
        return self.place_stats[key]

    def _fingerprint(self, req):
        return req.service.encode() + b'/' + req.fingerprint

    def _options(self, req):
        region = self._region(req)
        routes = self._tables.routes(req.service, region)
        point = routing.block_point(req.service, _client_block(req.peer))
        return routing.options(
            routes,
            point,
            self._tables.limits_of(self._cfg.place),
            self._tables.drained.places,
        )

    def _region(self, req):
        try:
            region, _ = self._tables.locate(req.peer)
        except ValueError:
            region = None
        return region or self._cfg.region

    def _count_client_demand(self, req):
        key = (req.service, self._region(req))
        rate = self.client_demand.get(key)
        if rate is None:
            rate = self.client_demand[key] = demand.AverageRate()
        rate.add(self._loop.now())

    def _count_limit_demand(self, limit_ids, now):
        for limit_id in limit_ids:
            rate = self.limit_demand.get(limit_id)
            if rate is None:
                rate = self.limit_demand[limit_id] = demand.AverageRate()
            rate.add(now)

    def _acquire_target(self, req, option, tried, isolate, now):
        holder = self._holder
        for limit_id in option.limits:
            if not holder.has_free(limit_id, now):
                self._request_loan(limit_id, [limit_id], 1)
                return None
        candidates = self._candidates(req, option, tried, now)
        chosen = routing.choose_upstream(
            candidates, self._rng, isolate, self._accepts_suspect
        )
        if chosen is None:
            return None
        deadline = now + req.plan.timeout_s
        slot = holder.start(
            limit_table.upstream_slots(chosen.name), deadline, now
        )
        if slot is None:
            return None
        for limit_id in option.limits:
            holder.start(limit_id, now, now)
        if option.move is not None:
            self._metrics.inc('requests_moved_total', movement=option.move)
        return self._target(req, chosen.name, slot, isolate, now)

    def _candidates(self, req, option, tried, now):
        return [
            self._candidate(upstream, now)
            for upstream in self._tables.by_place.get(
                (req.service, option.place), ()
            )
            if upstream.name not in tried
            and upstream.name not in self._tables.drained.upstreams
            and self.leaving.get(upstream.name, 0.0) <= now
        ]

    def _accepts_suspect(self, upstream):
        return self._isolation.has_permit(
            upstream
        ) and self.suspects.has_no_suspect(upstream)

    def _request_permit(self, req, tried, now):
        found = [
            item
            for option in self._options(req)
            for item in self._candidates(req, option, tried, now)
            if item.weight > 0 and self.suspects.has_no_suspect(item.name)
        ]
        free = [item.name for item in found if item.free > 0]
        # Without a free slot the permit is requested in advance, so that the
        # suspect can take the next slot that becomes free. If it had to wait
        # for a permit then, a new request would take the slot.
        used = [item.name for item in found if item.share > 0]
        self._isolation.request_permit(free or used, req.plan.timeout_s)

    def _candidate(self, upstream, now):
        holder = self._holder
        limit_id = limit_table.upstream_slots(upstream.name)
        reported, reported_at = self._reported_loads.get(
            upstream.name, (None, now)
        )
        free, share = holder.free(limit_id, now)
        weight = self._service_state(upstream.service).health.weight(
            upstream.name, now
        )
        idle = self.has_idle(upstream.name, upstream.host, upstream.port)
        return routing.Candidate(
            upstream.name,
            free,
            share,
            weight,
            idle,
            reported,
            now - reported_at,
        )

    def _target(self, req, name, slot, isolate, now):
        upstream = self._tables.upstreams[name]
        state = self._service_state(req.service)
        fingerprint = self._fingerprint(req)
        if isolate:
            self.suspects.suspect_sent(name)
            self._isolation.use_permit(name)
        self.in_flight[name] += 1
        state.in_flight.change(1, now)

        def release(result):
            ended_at = self._loop.now()
            self._holder.finish(slot)
            self.in_flight[name] -= 1
            state.in_flight.change(-1, ended_at)
            if isolate:
                self.suspects.suspect_ended(name)
                self._isolation.return_permit(name)
            if result == 'ok':
                notice = self.suspects.record_success(
                    fingerprint, now, ended_at
                )
                if notice is not None:
                    self._publish_crash_notice(notice, ended_at)
            if state.waiting:
                self._loop.call_soon(self._dispatch, req.service)

        connections, _ = self._holder.free(
            limit_table.upstream_connections(name), now
        )
        return hooks_module.Target(
            name, upstream.host, upstream.port, release, max(connections, 1)
        )

    def _queue_slots(self, service, now):
        """Return the slots that serve a service's queue, at least 1.

        The slots of an ejected upstream do not count. An instance without a
        share can still get a loan, hence the minimum. An instance without
        contact to the witnesses can use neither, so 0 is returned.
        """
        total, usable = 0, False
        health = self._service_state(service).health
        for upstream in self._tables.upstreams.values():
            if upstream.service != service:
                continue
            limit_id = limit_table.upstream_slots(upstream.name)
            usable = usable or self._holder.usable(limit_id, now)
            if health.weight(upstream.name, now):
                total += self._holder.free(limit_id, now)[1]
        return max(total, 1) if usable else 0

    def _borrow_slots(self, service, tried, now):
        # All instances report the slots of a lost upstream as spare, but these
        # do not help a request that it refused.
        health = self._service_state(service).health
        ids = [
            limit_table.upstream_slots(name)
            for name, upstream in self._tables.upstreams.items()
            if upstream.service == service
            and name not in self._tables.drained.upstreams
            and name not in tried
            and health.weight(name, now)
        ]
        wanted = 1 + len(self._service_state(service).waiting)
        self._request_loan(service, ids, wanted)

    def _dispatch_all(self):
        """Dispatch queued requests and refuse expired ones, while any wait."""
        now = self._loop.now()
        self._dispatch_scheduled = False
        for service, state in list(self._service_states.items()):
            if not state.waiting:
                continue
            for waiting in state.admission.remove_expired(now):
                self._refuse(
                    state, waiting.ident, state.admission.service_time_s
                )
            self._dispatch(service)
            if state.waiting and not self._dispatch_scheduled:
                self._dispatch_scheduled = True
                self._loop.call_later(DISPATCH_INTERVAL_S, self._dispatch_all)

    def _dispatch(self, service):
        state = self._service_states.get(service)
        if state is None:
            return
        while state.waiting:
            now = self._loop.now()
            waiting, expired = state.admission.next(now)
            for item in expired:
                self._refuse(state, item.ident, state.admission.service_time_s)
            if waiting is None:
                return
            req, tried, done = state.waiting[waiting.ident]
            found = self._pick(req, tried, now, False)
            if _is_overloaded(found):
                state.admission.restore(waiting)
                self._borrow_slots(service, tried, now)
                return
            del state.waiting[waiting.ident]
            state.in_flight.change(-1, now)
            self._metrics.observe(
                'queue_seconds', now - waiting.since, service=service
            )
            done(found)

    def _refuse(self, state, ident, retry_after_s):
        req, _, done = state.waiting.pop(ident)
        state.in_flight.change(-1, self._loop.now())
        self._metrics.inc('requests_shed_total', service=req.service)
        done(hooks_module.Refusal(Kind.OVERLOADED, retry_after_s))

    def _record_leaving(self, upstream, now):
        if self.leaving.get(upstream, 0.0) <= now:
            self._notify(LEAVING_PREFIX + upstream, {}, LEAVING_TTL_S)
        self.leaving[upstream] = now + LEAVING_TTL_S

    def _publish_crash_notice(self, notice, now):
        key = '%s%s/%s' % (
            CRASH_PREFIX,
            notice['fingerprint'].hex(),
            notice['upstream'] or 'cleared',
        )
        self._notify(key, dict(notice), NOTICE_TTL_S)


def _is_overloaded(found):
    refused = isinstance(found, hooks_module.Refusal)
    return refused and found.kind is Kind.OVERLOADED


def _client_block(peer):
    """Return the client block of a caller's address: its /24 or /48."""
    if ':' in peer:
        return ':'.join(peer.split(':')[:3])
    return peer.rpartition('.')[0]
