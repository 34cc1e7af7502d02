"""Routes, upstream state and upstream selection of one instance."""

import itertools
import typing

from jasminehold.decisions import cold_start_limiter
from jasminehold.decisions import finish_estimates
from jasminehold.decisions import fleet_size
from jasminehold.decisions import region_demand
from jasminehold.decisions import retry_token_bucket
from jasminehold.decisions import run_times
from jasminehold.decisions import selection
from jasminehold.decisions import stated_limits
from jasminehold.decisions import upstream_load
from jasminehold.decisions import upstream_pauses
from jasminehold.decisions import upstream_view
from jasminehold.decisions import urgency
from jasminehold.decisions import weighted_round_robin
from jasminehold import errors
from jasminehold.front import placement
from jasminehold.front import registration

Kind = errors.Kind

# For the three below see docs/design.md, section 7.
# Upstreams that requests for one object key go to: each further one would
# have to load the object into its cache and evict others.
OWNERS_PER_KEY = 2
# Allowed queue at an upstream, in multiples of its slots.
QUEUE_FACTOR = 1.5
# The same at an upstream that does not have the object cached.
UNCACHED_QUEUE_FACTOR = 0.5
# Owners asked where upstreams share their machines; those after the first
# OWNERS_PER_KEY only while these have no room, and only if slots are free.
SHARED_OWNERS_PER_KEY = 4
# A timeout below this fraction of the route's usual one marks a caller's
# retry.
CALLER_RETRY_FRACTION = 0.97
# Cost of sending a request to another region: a round trip of 40 to 70 ms,
# and some for the price of the traffic.
CROSS_REGION_S = 0.08
# Minimum ``Retry-After`` for rejected callers, before jitter.
MIN_RETRY_AFTER_S = 0.3
# Maximum ``Retry-After`` where the limits of all upstreams are used up.
MAX_LIMIT_RETRY_AFTER_S = 5.0
# Callers that wait for the end of a pause return within this fraction of it
# afterwards, not all at once.
PAUSE_SPREAD_FRACTION = 0.5
# Fraction of the time in which a configuration has to take effect, up to which
# a copy of the store shows that there is no route.
ROUTES_CERTAIN_FRACTION = 0.8
# Maximum age of the member list at which no member's lease can have expired,
# also not during the preceding window of the cold start limiter.
MEMBERS_CERTAIN_AGE_S = (
    registration.LEASE_S
    - registration.RENEW_EVERY_S
    - cold_start_limiter.WINDOW_S
)


class Choice(typing.NamedTuple):
    """The upstream selected for a request.

    Attributes:
        upstream: the :class:`~decisions.upstream_view.Upstream`.
        load: its :class:`~decisions.upstream_load.UpstreamLoad`.
        known: whether it is expected to have the object cached.
        ahead: estimated requests queued there before this one.
        finish_s: estimated seconds until the response.
        why: inputs of the selection, for the log.
        run: the :class:`~decisions.upstream_load.Run` of the request.
    """

    upstream: object
    load: object
    known: bool
    ahead: float
    finish_s: float
    why: dict
    run: object


class Refusal(typing.NamedTuple):
    """Reason why no upstream was selected.

    Attributes:
        kind: the :class:`~errors.Kind` of the error response.
        retry_after_s: seconds after which the caller should retry.
        reason: for the log.
        owners: ``(upstream, load, wait_s, finish_s)`` of those considered.
    """

    kind: errors.Kind
    retry_after_s: float
    reason: str
    owners: tuple = ()


class Steering:
    """Route table, upstream state and retry budgets of one instance.

    Args:
        cfg: the :class:`~jasminehold.front.cfg.Cfg`.
        rng: random source.
        log: structured log.

    Attributes:
        copy_age: ``now -> seconds``, the age of the store copy.
        copy_may_deny: ``now -> bool``, whether a route that the table
            lacks does not exist.
        instances: ids of the live instances.
        placement: the :class:`~jasminehold.front.placement.Placement`.
        limits: the :class:`~decisions.stated_limits.StatedLimits`.
        own_demand: the :class:`~decisions.region_demand.OwnDemand`.
    """

    def __init__(self, cfg, rng, log):
        self.copy_age = lambda now: 0.0
        self.copy_may_deny = lambda now: True
        self.table = None
        self.view = upstream_view.UpstreamView()
        self.placement = placement.Placement(cfg, self.view)
        self.instances = ()
        self.limits = stated_limits.StatedLimits(rng)
        self._pauses = upstream_pauses.UpstreamPauses()
        self._instance_regions = {}
        self._limit_senders = {}
        self._cfg = cfg
        self._rng = rng
        self._log = log
        self._target_turns = weighted_round_robin.SmoothWeightedRoundRobin()
        self._estimates = finish_estimates.FinishEstimates()
        self._loads = self._estimates.loads
        self._cold_limiters = {}
        self._misdirected = {}
        self._retries = {}
        self.own_demand = region_demand.OwnDemand()
        self._usual_timeout_s = {}
        self._urgency = {}
        self._fleet = fleet_size.FleetSize(cfg.retry_window)

    # Updates from the store and the settings.

    def on_config(self, table):
        """Apply a configuration if it is newer than the current one."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._log('configuration in force', version=table.version)
        return True

    def on_evacuated(self, places):
        """Update the set of evacuated places."""
        if self.placement.on_evacuated(places):
            self._log('evacuated places changed', places=sorted(places))

    def on_entries(self, entries, as_of):
        """Update the upstreams from a complete list of entries.

        Args:
            entries: list of :class:`~decisions.upstream_view.Entry`.
            as_of: monotonic seconds at which the list was current.
        """
        before = self._usable_services()
        joined, left = self.view.on_list(entries, as_of)
        for upstream in left:
            key = upstream.entry.id
            self._estimates.remove_upstream(key)
            self._cold_limiters.pop(key, None)
            self._misdirected.pop(key, None)
            self.limits.remove(upstream.entry.incarnation)
            self._limit_senders.pop(key, None)
            self._log('upstream left', upstream=key, as_of=round(as_of, 3))
        for upstream in joined:
            entry = upstream.entry
            self._log(
                'upstream joined',
                upstream=entry.id,
                service=entry.service,
                place=entry.place,
                born=entry.born_ms,
                cold_s=entry.cold_s,
            )
        if self.limits.items():
            known = {entry.incarnation for entry in entries}
            self.limits.keep(known, as_of)
        if joined or left or self._usable_services() != before:
            self.placement.clear()

    def on_leaving(self, incarnation, said_at):
        """Take an upstream out of use that said that it leaves.

        Args:
            incarnation: its :class:`~decisions.upstream_view.Incarnation`.
            said_at: monotonic seconds.

        Returns:
            Whether this was not known.
        """
        if not self.view.on_leaving(incarnation, said_at):
            return False
        self._log('upstream leaving', upstream=incarnation.id)
        self.placement.clear()
        return True

    @property
    def evacuated(self):
        """The set of evacuated places."""
        return self.placement.evacuated

    def _usable_services(self):
        return {
            key: item.entry.service
            for key, item in self.view.upstreams.items()
            if not item.draining
        }

    def on_members(self, regions, now):
        """Update the live instances.

        Args:
            regions: ``{id: region}``.
            now: monotonic seconds.
        """
        self.instances = tuple(sorted(regions))
        self._instance_regions = dict(regions)
        self._limit_senders.clear()
        self._fleet.on_members(regions, now)

    def on_settings(self, cfg):
        """Apply new settings."""
        if _retry_bounds(cfg) != _retry_bounds(self._cfg):
            self._retries.clear()
        self._cfg = cfg
        self.placement.on_settings(cfg)

    def gauge_values(self, now):
        """Return the current ``{gauge name: value}``."""
        upstreams = self.view.upstreams
        left_out = [
            name
            for name, load in self._loads.items()
            if name in upstreams and now < load.ejected_until
        ]
        return {
            'configuration_version': self.table.version if self.table else 0,
            'places_evacuated': len(self.evacuated),
            'instances_known': len(self.instances),
            'upstreams_known': len(upstreams),
            'upstreams_left_out': len(left_out),
            'upstreams_limited': len(self.limits.limited()),
            'upstreams_paused': self._pauses.count(now),
            'upstreams_draining': sum(
                item.draining for item in upstreams.values()
            ),
            'upstreams_cold': sum(
                now < item.cold_until for item in upstreams.values()
            ),
        }

    # Requests.

    def route(self, host, path, now):
        """Return the matching route, or the :class:`~errors.Kind` of error.

        Args:
            host: host name without port.
            path: path with or without a query.
            now: monotonic seconds.
        """
        if self.table is None:
            return Kind.UNAVAILABLE
        found = self.table.match(host, path)
        if found is None and not self.may_deny(now):
            return Kind.UNAVAILABLE
        return found or Kind.UNKNOWN_SERVICE

    def may_deny(self, now):
        """Return whether what the configuration does not allow is denied.

        A configuration that must be in force may be missing in a copy that is
        old, or that was read just after the store went back.
        """
        bound_s = ROUTES_CERTAIN_FRACTION * self._cfg.apply_within_ms / 1000
        return self.copy_age(now) <= bound_s and self.copy_may_deny(now)

    def service(self, route, now, returned=False):
        """Choose the target service of a request and count the request.

        The count is the base of the service's retry budget, and of the
        demand here, without callers' retries.

        Args:
            route: the request's route.
            now: monotonic seconds.
            returned: whether the request is a caller's retry.
        """
        name = self._target_turns.pick(route.name, route.targets)
        self._retry_share(name).on_request(now)
        if not returned:
            # Measured run times differ between instances, as few requests
            # take many times longer than the rest.
            run_s = run_times.CACHED_TARGET_RATIO * route.latency_target_s
            self.own_demand.on_request(name, run_s, now)
        return name

    def relayed_service(self, route, stated):
        """Return the target service of a request that another one counted.

        Args:
            route: the request's route.
            stated: the service that the other instance chose.
        """
        if stated in dict(route.targets):
            return stated
        return self._target_turns.pick(route.name, route.targets)

    def allow_retry(self, route, service, returned, now):
        """Take one retry from the budget; returns whether it was granted.

        Args:
            route: the request's route.
            service: its target service.
            returned: whether the request is a caller's retry.
            now: monotonic seconds.
        """
        part = self._burst_part(now)
        urgent = returned or route.priority <= self.table.highest_priority
        return self._retry_share(service).take(part, now, urgent)

    def _burst_part(self, now):
        return self._fleet.instance_share(
            self._cfg.id, self.copy_age(now), now
        )

    def retry_uses(self, now):
        """Return ``{service: decisions.retry_token_bucket.Use}``."""
        return {name: self.retry_use(name, now) for name in self._retries}

    def retry_use(self, service, now):
        """Return a service's :class:`~decisions.retry_token_bucket.Use`."""
        return self._retry_share(service).use(self._burst_part(now), now)

    def is_caller_retry(self, route, stated_s):
        """Return whether a request is a caller's retry, judged by its timeout.

        First requests of a route carry the same timeout; a retry after a
        rejection has less time left.

        Args:
            route: the request's route.
            stated_s: the timeout stated by the caller, seconds.
        """
        usual = max(stated_s, self._usual_timeout_s.get(route.name, 0.0))
        self._usual_timeout_s[route.name] = usual
        return stated_s < CALLER_RETRY_FRACTION * usual

    def waited_s(self, route, left_s):
        """Return how long a caller has waited since its first attempt.

        Args:
            route: the request's route.
            left_s: seconds until the caller's own deadline.
        """
        return max(self._usual_timeout_s.get(route.name, 0.0) - left_s, 0.0)

    def _retry_share(self, service):
        if service not in self._retries:
            self._retries[service] = retry_token_bucket.RetryTokenBucket(
                *_retry_bounds(self._cfg), self._rng
            )
        return self._retries[service]

    def _queue_part(self, route, service, caller, now):
        if caller is None or service not in self._urgency:
            return 1.0
        room = self._urgency[service]
        return room.queue_part(route.priority, caller, now)

    def _gives_way_s(self, route, service, caller, best, now):
        # None if the request need not give way to others.
        if caller is None or best is None:
            return None
        room = self._urgency.setdefault(service, urgency.Urgency())
        run_s = best.run_s + best.network_s
        need = urgency.Need(route.priority, run_s, route.latency_target_s)
        return room.pause_s(need, caller, self._rng.random(), now)

    def pick(
        self,
        route,
        service,
        key,
        request_id,
        tried,
        only,
        left_s,
        now,
        caller=None,
    ):
        """Select an upstream: a :class:`Choice` or a :class:`Refusal`.

        Args:
            route: the request's route.
            service: its target service.
            key: the object's key, '' for none.
            request_id: the request's own id, text.
            tried: ids of upstreams to exclude.
            only: ids of the allowed upstreams, None for all.
            left_s: seconds until the request's deadline.
            now: monotonic seconds.
            caller: the :class:`~decisions.urgency.Caller` of a request that
                has to give way to more urgent ones, else None.
        """
        sharing = self.shares_machines(service)
        most = SHARED_OWNERS_PER_KEY if sharing else OWNERS_PER_KEY
        order = self.placement.order(service, key or request_id)
        held, limited, paused = [], [], []
        usable = self._usable(
            route, order, (tried, only), (held, limited, paused), now
        )
        ranked = list(itertools.islice(usable, most if key else None))
        ranked = ranked or held[: most if key else None]
        if not ranked and (limited or paused):
            pause = self._held_back_retry_after_s(limited, paused, now)
            reason = 'limits reached' if limited else 'upstreams pause'
            return Refusal(Kind.OVERLOADED, pause, reason)
        if not ranked:
            return Refusal(
                Kind.OVERLOADED, MIN_RETRY_AFTER_S, 'no usable upstream'
            )
        if not self._cfg.urgent_first:
            caller = None
        part = self._queue_part(route, service, caller, now)
        candidates, full = [], []
        for rank, upstream in enumerate(ranked):
            if key and rank >= OWNERS_PER_KEY and candidates:
                break
            candidate, room = self._candidate(
                route, service, key, upstream, rank, part, left_s, now
            )
            (candidates if room else full).append(candidate)
        best = selection.choose(candidates, self._rng)
        # Reject only if there is a wait: the estimated run time alone may be
        # wrong.
        late = best is not None and best.wait_s and best.finish_s >= left_s
        way_s = self._gives_way_s(route, service, caller, best, now)
        if best is None or late or way_s is not None:
            pause = way_s or selection.retry_after_s(
                candidates + full, MIN_RETRY_AFTER_S, self._rng
            )
            if caller is not None:
                pause = min(pause, urgency.RETURN_FRACTION * caller.left_s)
            reason = 'queues full' if best is None else 'too late'
            if best is not None and not late:
                reason = 'gives way'
            owners = tuple(
                (
                    item.id,
                    round(self._loads[item.id].load(now), 1),
                    round(item.wait_s, 3),
                    round(item.finish_s, 3),
                )
                for item in candidates + full
            )
            return Refusal(Kind.OVERLOADED, pause, reason, owners)
        names = [upstream.entry.id for upstream in ranked]
        upstream = self.view.upstreams[best.id]
        load = self._loads[best.id]
        why = {
            'rank': names.index(best.id),
            'of': len(order),
            'load': round(self._estimates.count(service, load, now), 1),
            'finish_s': round(best.finish_s, 3),
            'entry_age_s': round(now - upstream.changed_at, 2),
        }
        return Choice(
            upstream,
            load,
            best.extra_s == 0.0,
            load.ahead(now),
            best.finish_s,
            why,
            upstream_load.Run(best.run_s, best.wait_s),
        )

    def _usable(self, route, order, bounds, rest, now):
        # Generates usable upstreams in order, so that a choice does not look
        # at all of them. Appends those that only an ejection, their own limit
        # or a pause that they asked for excludes to the lists of ``rest``.
        (tried, only), (held, limited, paused) = bounds, rest
        homes = route.home_regions
        any_paused = self._pauses.any_in_force(now)
        for name in order:
            upstream = self.view.upstreams[name]
            entry = upstream.entry
            if (
                upstream.draining
                or name in tried
                or (only is not None and name not in only)
                or entry.place in self.evacuated
                or self._misdirected.get(name) == _identity(entry)
                or (homes and self.placement.region(entry.place) not in homes)
                or not self._admits_cold(upstream, entry.service, now)
            ):
                continue
            if any_paused and self._pauses.seconds_left(
                entry.incarnation, now
            ):
                paused.append(upstream)
                continue
            if not self._admits_limited(upstream, now):
                limited.append(upstream)
                continue
            load = self._loads.get(name)
            if load is not None and now < load.ejected_until:
                held.append(upstream)
            else:
                yield upstream

    def upstreams_at(self, addresses):
        """Return the ids of the upstreams with one of these addresses.

        Args:
            addresses: set of ``(host, port)`` pairs.
        """
        return {
            name
            for name, item in self.view.upstreams.items()
            if (item.entry.host, item.entry.port) in addresses
        }

    def is_usable(self, choice, now):
        """Return whether a chosen upstream may still be sent to.

        It may have said that it leaves, or asked for a pause, while the
        connection was being opened.
        """
        upstream = choice.upstream
        return not (
            upstream.draining
            or self._pauses.seconds_left(upstream.entry.incarnation, now)
        )

    def _admits_limited(self, upstream, now):
        if not self.limits.limited():
            return True
        key = upstream.entry.incarnation
        if self.limits.limit(key) is None:
            return True
        rate = self._limit_rate(upstream, now)
        return self.limits.admits(key, rate, now)

    def _limit_rate(self, upstream, now):
        if not self._fleet.startup_peers_known(now):
            return 0.0
        return stated_limits.instance_rate(
            self._cfg.id,
            self._senders_of(upstream.entry),
            self.limits.statement(upstream.entry.incarnation),
            self.copy_age(now) > MEMBERS_CERTAIN_AGE_S,
            now,
        )

    def _senders_of(self, entry):
        found = self._limit_senders.get(entry.id)
        if found is None:
            # Callers of its own region use an upstream most.
            region = self.placement.region(entry.place)
            near, others = [], []
            for name, place in self._instance_regions.items():
                (near if place == region else others).append(name)
            found = stated_limits.senders(entry.id, near, others)
            self._limit_senders[entry.id] = found
        return found

    def limit_sender(self, key):
        """Return the first sender of a limited upstream, None if unknown.

        Args:
            key: its :class:`~decisions.upstream_view.Incarnation`.
        """
        upstream = self.view.upstreams.get(key.id)
        order = self._senders_of(upstream.entry).order if upstream else ()
        return order[0] if order and order[0] != self._cfg.id else None

    def _held_back_retry_after_s(self, limited, paused, now):
        # Until the first of the upstreams takes requests from here again.
        waits = []
        if limited:
            waits.append(self._limit_retry_after_s(limited, now))
        if paused:
            wait = min(
                self._pauses.seconds_left(upstream.entry.incarnation, now)
                for upstream in paused
            )
            spread = 1.0 + PAUSE_SPREAD_FRACTION * self._rng.random()
            waits.append(max(wait, MIN_RETRY_AFTER_S) * spread)
        return min(waits)

    def _limit_retry_after_s(self, limited, now):
        # When one of the upstreams takes a request from this instance again,
        # or, where it does not send to them, from the fleet.
        waits = []
        total = 0.0
        for upstream in limited:
            key = upstream.entry.incarnation
            total += self.limits.limit(key)
            waits.append(
                self.limits.wait_s(key, self._limit_rate(upstream, now), now)
            )
        own = [wait for wait in waits if wait is not None]
        wait = min(own) if own else 1.0 / max(total, stated_limits.PROBE_PER_S)
        wait = min(max(wait, MIN_RETRY_AFTER_S), MAX_LIMIT_RETRY_AFTER_S)
        return wait * (0.75 + 0.5 * self._rng.random())

    def _admits_cold(self, upstream, service, now):
        if now >= upstream.cold_until:
            return True
        name = upstream.entry.id
        if self._cfg.id not in cold_start_limiter.senders(
            name, self.instances
        ):
            return False
        limiter = self._cold_limiters.setdefault(
            name, cold_start_limiter.ColdStartLimiter()
        )
        return limiter.admits(
            self._cold_rate(service), self._cold_used(now), now
        )

    def _cold_used(self, now):
        if not self._fleet.startup_peers_known(now):
            return cold_start_limiter.NEW_PROCESS_BUDGET_FRACTION
        if self.copy_age(now) > MEMBERS_CERTAIN_AGE_S:
            return cold_start_limiter.STALE_MEMBERS_BUDGET_FRACTION
        return cold_start_limiter.BUDGET_FRACTION

    def _cold_rate(self, service):
        declared = self.table.services.get(service)
        rate = declared.cold_per_s if declared else 0.0
        return rate * self._cfg.cold_over + self._cfg.cold_slack

    def _candidate(
        self, route, service, key, upstream, rank, part, left_s, now
    ):
        entry = upstream.entry
        estimates = self._estimates
        load = estimates.load(entry, route)
        known = estimates.is_cached(service, route, key, entry.id, rank, now)
        travel = 0.0
        if self.placement.region(entry.place) != self.placement.own_region:
            travel = CROSS_REGION_S
        candidate = estimates.candidate(
            service, route, key, entry, rank, travel, left_s, now
        )
        queue = QUEUE_FACTOR if known else UNCACHED_QUEUE_FACTOR
        if key and rank >= OWNERS_PER_KEY:
            queue = 0.0
        count = estimates.count(service, load, now)
        room = count + 1 <= load.slots * (1 + queue * part)
        return (
            candidate,
            room and candidate.chance >= finish_estimates.MIN_CHANCE,
        )

    def load_of(self, entry, route):
        """Return the :class:`~decisions.upstream_load.UpstreamLoad`.

        Args:
            entry: the upstream's :class:`~decisions.upstream_view.Entry`.
            route: route of a request, for a first estimate.
        """
        return self._estimates.load(entry, route)

    def shares_machines(self, service):
        """Return whether upstreams of a service share their machines.

        It is known once one has reported a slowdown other than 1.0.
        """
        return self._estimates.shares_machines(service)

    def on_demand(self, found, now):
        """Let the parts of the regions follow their demand, one step.

        Args:
            found: ``{region: decisions.region_demand.Rates}``, without those
                regions that are not known now.
            now: monotonic seconds.
        """
        for service in self._estimates.sharing:
            rates = {
                region: told.rates.get(service, 0.0)
                for region, told in found.items()
            }
            parts = self.placement.on_demand(service, rates, now)
            if parts is not None:
                self._log(
                    'parts of regions moved',
                    service=service,
                    parts={name: round(v, 3) for name, v in parts.items()},
                    demand={name: round(v, 2) for name, v in rates.items()},
                )

    def shares_any(self):
        """Return whether upstreams of any service share their machines."""
        return bool(self._estimates.sharing)

    # Results of attempts.

    def on_sent(self, choice, now):
        """Record that a request was sent to an upstream."""
        choice.load.on_sent(choice.run, now)
        name = choice.upstream.entry.id
        self.limits.on_sent(choice.upstream.entry.incarnation, now)
        if now < choice.upstream.cold_until:
            self._cold_limiters.setdefault(
                name, cold_start_limiter.ColdStartLimiter()
            ).on_sent(now)

    def on_report(self, choice, report, now):
        """Record the load reported by an answer; call before its end.

        Args:
            choice: the :class:`Choice` that got the request.
            report: the :class:`~platform.wire.LoadReport`.
            now: monotonic seconds.
        """
        service = choice.upstream.entry.service
        if self._estimates.on_report(service, choice.load, report, now):
            self._log('upstreams share machines', service=service)
        room = self._urgency.setdefault(service, urgency.Urgency())
        room.on_report(report.waiting, report.slots, now)

    def on_completed(self, route, service, key, choice, seconds, now):
        """Record a successful request and its duration."""
        if not route.sticky:
            key = ''
        self._estimates.on_completed(service, route, key, choice, seconds, now)

    def on_end(self, choice, answered, now):
        """Record the end of an attempt.

        Args:
            choice: the :class:`Choice`.
            answered: whether the upstream answered.
            now: monotonic seconds.
        """
        choice.load.on_end(choice.run)
        if not answered:
            service = choice.upstream.entry.service
            self._estimates.on_given_up(service, choice.run, now)

    def forget_failures(self, since):
        """Take back the ejections of a time without a path to the upstreams.

        Args:
            since: monotonic seconds at which it began.
        """
        for load in self._loads.values():
            load.forget_failures(since)

    def on_pause(self, upstream, seconds, now):
        """Send nothing more to an upstream for a number of seconds.

        Args:
            upstream: the :class:`~decisions.upstream_view.Upstream`.
            seconds: pause that it asked for.
            now: monotonic seconds.
        """
        incarnation = upstream.entry.incarnation
        if not self._pauses.seconds_left(incarnation, now):
            self._log(
                'upstream pauses', upstream=incarnation.id, for_s=seconds
            )
        self._pauses.pause(incarnation, seconds, now)

    def on_failed(self, choice, reason, now):
        """Record a failed attempt at an upstream.

        Args:
            choice: the :class:`Choice`.
            reason: ``connect``, ``endless``, ``loss``, ``misdirected``,
                ``shed`` or ``error``.
            now: monotonic seconds.
        """
        entry = choice.upstream.entry
        if reason == 'misdirected':
            self._misdirected[entry.id] = _identity(entry)
            self._log('address reused', upstream=entry.id, host=entry.host)
            return
        if reason == 'shed':
            # A rejection is no failure; the reported load is what counts.
            return
        at_once = reason in ('connect', 'endless')
        if choice.load.on_failure(now, at_once):
            self._log(
                'upstream left out',
                upstream=entry.id,
                reason=reason,
                for_s=round(choice.load.ejected_until - now, 2),
            )


def _retry_bounds(cfg):
    return cfg.retry_ratio, cfg.retry_burst, cfg.retry_window


def _identity(entry):
    # Identifies one run of an upstream process.
    return entry.born_ms, entry.host, entry.port
