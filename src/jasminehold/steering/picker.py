"""Picks a place and an upstream for each request and keeps the waiting ones.

Holds no rule: it asks the rules in ``decisions`` and carries out what they
say. Its methods are the hooks of the request path.
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

DISPATCH_S = 0.02
# Crash notices matter as long as a quarantined request is remembered.
NOTICE_TTL_S = 600.0
LEAVING_TTL_S = 30.0
CRASH_PREFIX = 'crash/'
LEAVING_PREFIX = 'leaving/'


class _ServiceState:
    """Queue, health and budget of one service at this instance."""

    def __init__(self, retry_cfg):
        self.admission = admission.Admission()
        self.health = health.Health()
        self.retry_cfg = retry_cfg
        self.budget = retry.RetryBudget(retry_cfg)
        self.waiting = {}
        self.in_flight = demand.AverageLevel()
        self.refused = demand.AverageRate()


class Picker:
    """Chooses targets for the requests of one instance.

    Args:
        loop: the event loop.
        cfg: the settings.
        tables: the :class:`tables.Tables`.
        holder: the :class:`share_holder.ShareHolder` of shares.
        metrics: counters.
        rng: random source.
        notify: ``notify(key, value, ttl)`` spreads a notice.
        want_loan: ``want_loan(group, limit ids, count)`` when short.
        isolation: the :class:`~control.isolation.Isolation`, which keeps
            suspects apart from those of other instances.

    Attributes:
        has_idle: ``has_idle(name, host, port)`` tells whether an open
            connection to an upstream is idle.
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
        want_loan,
        isolation=None,
    ):
        self._loop = loop
        self._cfg = cfg
        self._tables = tables
        self._holder = holder
        self._metrics = metrics
        self._rng = rng
        self._notify = notify
        self._want_loan = want_loan
        self._isolation = isolation
        self._states = {}
        self._numbers = 0
        self._reported = {}
        self.has_idle = lambda name, host, port: False
        self.blame = crash_suspects.CrashSuspects()
        self.leaving = {}
        self.in_flight = collections.Counter()
        self.limit_demand = {}
        self.client_demand = {}
        self.place_stats = {}
        self._ticking = False

    def apply_tables(self):
        """Take note of new tables."""
        now = self._loop.now()
        names = {}
        for upstream in self._tables.upstreams.values():
            names.setdefault(upstream.service, []).append(upstream.name)
        for service, declared in self._tables.services.items():
            state = self._state(service)
            state.health.set_upstreams(names.get(service, []), now)
            if state.retry_cfg.share != declared.retry_budget:
                state.retry_cfg = state.retry_cfg._replace(
                    share=declared.retry_budget
                )
                state.budget = retry.RetryBudget(state.retry_cfg)
        for service in set(self._states) - set(self._tables.services):
            if not self._states[service].waiting:
                del self._states[service]

    # Hooks of the request path.

    def route(self, req):
        """Return the plan for a request, or the kind of its refusal."""
        service = self._tables.services.get(req.service)
        if service is None:
            # A new instance may be asked before it has the configuration.
            known = self._tables.services
            return Kind.UNKNOWN_SERVICE if known else Kind.NOT_RUN
        path = req.path
        idempotent = req.method in service.methods or any(
            path.startswith(prefix) for prefix in service.paths
        )
        priority = admission.Priority.NORMAL
        for prefix, declared in service.classes:
            if path.startswith(prefix):
                priority = declared
                break
        else:
            if not idempotent:
                priority = admission.Priority.ORDER
        self._state(req.service).budget.earn()
        self._count_client(req)
        return hooks_module.RequestPlan(
            req.service, idempotent, service.timeout_s, priority
        )

    def pick(self, req, tried, now):
        """Return a target with all its limits taken, or a refusal."""
        return self._pick(req, tried, now, True)

    def _pick(self, req, tried, now, first):
        state = self._state(req.service)
        verdict = self.blame.verdict(self._fingerprint(req), now)
        if verdict is crash_suspects.Verdict.QUARANTINED:
            self._metrics.inc('requests_condemned_total', service=req.service)
            return hooks_module.Refusal(Kind.POISON)
        isolate = verdict is crash_suspects.Verdict.ISOLATE
        for index, option in enumerate(self._options(req)):
            # A request counts once where it belongs, and where it overflows
            # to. Counting each try of a waiting request showed a place with
            # 125 requests a second as using 563 of 250.
            if first and index == 0:
                self._count_demand(option.limits, now)
            target = self._try(req, option, tried, isolate, now)
            if target is not None:
                if index:
                    self._count_demand(option.limits, now)
                return target
        if isolate:
            self._want_permit(req, tried, now)
        state.refused.add(now)
        return hooks_module.Refusal(
            Kind.OVERLOADED, state.admission.service_time_s
        )

    def wait_for_target(self, req, tried, deadline, done):
        """Queue a request until it gets a target or is refused.

        Args:
            req: the request.
            tried: names of the upstreams that it must not be sent to.
            deadline: seconds, monotonic.
            done: called once with the target or the refusal.
        """
        now = self._loop.now()
        state = self._state(req.service)
        slots = self._slots(req.service, now)
        self._borrow(req.service, tried, now)
        self._numbers += 1
        ident = self._numbers
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
        if not self._ticking:
            self._ticking = True
            self._loop.call_later(DISPATCH_S, self._tick)
        state.in_flight.change(1, now)

    def may_retry(self, req, attempt, now):
        """Return seconds until another attempt, None for none."""
        state = self._state(req.service)
        described = retry.Attempt(
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
            described, state.budget, now, self._rng, state.retry_cfg
        )

    def note_result(self, upstream, result, latency_s, now):
        """Record the end of an attempt at an upstream."""
        declared = self._tables.upstreams.get(upstream)
        if declared is None:
            return
        state = self._state(declared.service)
        self._stats(declared.service, declared.place).note(
            result, latency_s, now
        )
        if result == 'leaving':
            self._on_leaving(upstream, now)
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

    def note_crash(self, upstream, fingerprints):
        """Record a crash and tell the other instances."""
        now = self._loop.now()
        declared = self._tables.upstreams.get(upstream)
        if declared is None:
            return
        self._state(declared.service).health.record_refused_connection(
            upstream, now
        )
        prefix = declared.service.encode() + b'/'
        fingerprints = [prefix + item for item in fingerprints]
        for notice in self.blame.record_crash(upstream, fingerprints, now):
            self._spread(notice, now)

    def on_notice(self, key, value, seconds_left, now):
        """Take another instance's notice."""
        if key.startswith(CRASH_PREFIX):
            age = value['age_s'] + max(NOTICE_TTL_S - seconds_left, 0.0)
            self.blame.merge({**value, 'age_s': age}, now)
        elif key.startswith(LEAVING_PREFIX):
            self.leaving[key[len(LEAVING_PREFIX) :]] = now + LEAVING_TTL_S

    def on_probe_result(self, name, load, healthy, leaving):
        """Take what an upstream's endpoint says; see ``probes``."""
        now = self._loop.now()
        upstream = self._tables.upstreams.get(name)
        if upstream is None:
            return
        if leaving:
            self._on_leaving(name, now)
        health = self._state(upstream.service).health
        health.report(name, load or 0.0, healthy, now)
        if load is not None:
            self._reported[name] = (load, now)

    def demand(self, region_of, now):
        """Return the demand for the limits of each region.

        Args:
            region_of: function from a limit id to its home region.
            now: seconds, monotonic.

        Returns:
            ``{region: {limit id or service: amount}}``.
        """
        found = {}
        for limit_id, rate in self.limit_demand.items():
            value = rate.value(now)
            region = region_of(limit_id)
            if value > 0.01 and region is not None:
                found.setdefault(region, {})[limit_id] = round(value, 2)
        for service, state in self._states.items():
            value = state.in_flight.value(now)
            if value > 0.01:
                for region in set(self._tables.place_region.values()):
                    part = found.setdefault(region, {})
                    part[service] = round(value, 2)
        return found

    # Internals.

    def _state(self, service):
        state = self._states.get(service)
        if state is None:
            state = _ServiceState(retry.RetryConfig())
            self._states[service] = state
        return state

    def _stats(self, service, place):
        key = (service, place)
        if key not in self.place_stats:
            self.place_stats[key] = place_stats.PlaceStats()
        return self.place_stats[key]

    def _fingerprint(self, req):
        return req.service.encode() + b'/' + req.fingerprint

    def _options(self, req):
        region = self._region(req)
        routes = self._tables.routes(req.service, region)
        point = routing.block_point(req.service, _block(req.peer))
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

    def _count_client(self, req):
        key = (req.service, self._region(req))
        rate = self.client_demand.get(key)
        if rate is None:
            rate = self.client_demand[key] = demand.AverageRate()
        rate.add(self._loop.now())

    def _count_demand(self, limit_ids, now):
        for limit_id in limit_ids:
            rate = self.limit_demand.get(limit_id)
            if rate is None:
                rate = self.limit_demand[limit_id] = demand.AverageRate()
            rate.add(now)

    def _try(self, req, option, tried, isolate, now):
        holder = self._holder
        for limit_id in option.limits:
            if not holder.has_free(limit_id, now):
                self._want_loan(limit_id, [limit_id], 1)
                return None
        candidates = self._candidates(req, option, tried, now)
        chosen = routing.choose_upstream(
            candidates, self._rng, isolate, self._may_share
        )
        if chosen is None:
            return None
        timeout = now + req.plan.timeout_s
        slot = holder.start(
            limit_table.upstream_slots(chosen.name), timeout, now
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

    def _may_share(self, upstream):
        return self._isolation.has_permit(
            upstream
        ) and self.blame.has_no_suspect(upstream)

    def _want_permit(self, req, tried, now):
        found = [
            item
            for option in self._options(req)
            for item in self._candidates(req, option, tried, now)
            if item.weight > 0 and self.blame.has_no_suspect(item.name)
        ]
        free = [item.name for item in found if item.free > 0]
        # With the permit at hand, a suspect takes the next slot that becomes
        # free; asking then, it would lose the slot to a new request.
        used = [item.name for item in found if item.share > 0]
        self._isolation.request_permit(free or used, req.plan.timeout_s)

    def _candidate(self, upstream, now):
        holder = self._holder
        limit_id = limit_table.upstream_slots(upstream.name)
        reported, at = self._reported.get(upstream.name, (None, now))
        free, share = holder.free(limit_id, now)
        weight = self._state(upstream.service).health.weight(
            upstream.name, now
        )
        idle = self.has_idle(upstream.name, upstream.host, upstream.port)
        return routing.Candidate(
            upstream.name, free, share, weight, idle, reported, now - at
        )

    def _target(self, req, name, slot, isolate, now):
        upstream = self._tables.upstreams[name]
        state = self._state(req.service)
        fingerprint = self._fingerprint(req)
        if isolate:
            self.blame.suspect_sent(name)
            self._isolation.use_permit(name)
        self.in_flight[name] += 1
        state.in_flight.change(1, now)

        def release(result):
            ended = self._loop.now()
            self._holder.finish(slot)
            self.in_flight[name] -= 1
            state.in_flight.change(-1, ended)
            if isolate:
                self.blame.suspect_ended(name)
                self._isolation.return_permit(name)
            if result == 'ok':
                notice = self.blame.record_success(fingerprint, now, ended)
                if notice is not None:
                    self._spread(notice, ended)
            if state.waiting:
                self._loop.call_soon(self._dispatch, req.service)

        connections, _ = self._holder.free(
            limit_table.upstream_connections(name), now
        )
        return hooks_module.Target(
            name, upstream.host, upstream.port, release, max(connections, 1)
        )

    def _slots(self, service, now):
        """Return the slots that serve a service's queue, at least 1.

        The slots of an ejected upstream serve nobody in the queue. Without a
        share of its own an instance can still hope for a loan, but without
        contact it can use neither and 0 is returned.
        """
        total, usable = 0, False
        health = self._state(service).health
        for upstream in self._tables.upstreams.values():
            if upstream.service != service:
                continue
            limit_id = limit_table.upstream_slots(upstream.name)
            usable = usable or self._holder.usable(limit_id, now)
            if health.weight(upstream.name, now):
                total += self._holder.free(limit_id, now)[1]
        return max(total, 1) if usable else 0

    def _borrow(self, service, tried, now):
        # The slots of a lost upstream are spare everywhere, and of no use to
        # a request that it refused.
        health = self._state(service).health
        ids = [
            limit_table.upstream_slots(name)
            for name, upstream in self._tables.upstreams.items()
            if upstream.service == service
            and name not in self._tables.drained.upstreams
            and name not in tried
            and health.weight(name, now)
        ]
        short = 1 + len(self._state(service).waiting)
        self._want_loan(service, ids, short)

    def _tick(self):
        """Serve and refuse waiting requests; runs only while some wait."""
        now = self._loop.now()
        self._ticking = False
        for service, state in list(self._states.items()):
            if not state.waiting:
                continue
            for waiting in state.admission.remove_expired(now):
                self._refuse(
                    state, waiting.ident, state.admission.service_time_s
                )
            self._dispatch(service)
            if state.waiting and not self._ticking:
                self._ticking = True
                self._loop.call_later(DISPATCH_S, self._tick)

    def _dispatch(self, service):
        state = self._states.get(service)
        if state is None:
            return
        while state.waiting:
            now = self._loop.now()
            waiting, hopeless = state.admission.next(now)
            for item in hopeless:
                self._refuse(state, item.ident, state.admission.service_time_s)
            if waiting is None:
                return
            req, tried, done = state.waiting[waiting.ident]
            found = self._pick(req, tried, now, False)
            if _overloaded(found):
                state.admission.restore(waiting)
                self._borrow(service, tried, now)
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

    def _on_leaving(self, upstream, now):
        if self.leaving.get(upstream, 0.0) <= now:
            self._notify(LEAVING_PREFIX + upstream, {}, LEAVING_TTL_S)
        self.leaving[upstream] = now + LEAVING_TTL_S

    def _spread(self, notice, now):
        key = '%s%s/%s' % (
            CRASH_PREFIX,
            notice['fingerprint'].hex(),
            notice['upstream'] or 'cleared',
        )
        self._notify(key, dict(notice), NOTICE_TTL_S)


def _overloaded(found):
    refused = isinstance(found, hooks_module.Refusal)
    return refused and found.kind is Kind.OVERLOADED


def _block(peer):
    """Return the block that a caller's address counts with: /24 or /48."""
    if ':' in peer:
        return ':'.join(peer.split(':')[:3])
    return peer.rpartition('.')[0]
