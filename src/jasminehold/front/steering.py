"""What one instance believes of routes and upstreams, and its choices."""

import typing

from jasminehold.decisions import cold_start_limiter
from jasminehold.decisions import fleet_size
from jasminehold.decisions import object_placement
from jasminehold.decisions import retry_token_bucket
from jasminehold.decisions import run_times
from jasminehold.decisions import selection
from jasminehold.decisions import upstream_load
from jasminehold.decisions import upstream_view
from jasminehold.decisions import weighted_round_robin
from jasminehold import errors
from jasminehold.front import registration

Kind = errors.Kind

# The three below and PLANNED_USE were compared on the heaviest days of the
# users' bench: docs/design.md, section 7.
# Upstreams that an object is sent to: more would each have to learn it, and
# forget others.
OWNERS_PER_KEY = 2
# Queue that an upstream is given beyond its slots, in multiples of them.
QUEUE_FACTOR = 1.5
# The same at an upstream that would have to learn the object.
UNCACHED_QUEUE_FACTOR = 0.5
# A caller whose time is less than this part of the usual one came back.
CALLER_RETRY_FRACTION = 0.97
# Share of the fleet's capacity that demand is taken to use, the same in each
# region; what a region needs beyond its own room is placed in the others.
PLANNED_USE = 1.0
# Seconds a request takes to another region and back: 40 to 70 ms by the users'
# pages, and some for the bytes' price.
CROSS_REGION_S = 0.08
# Least time a rejected caller is asked to wait, seconds.
MIN_RETRY_AFTER_S = 0.3
OWNERS_CACHE_MAX = 20_000
# Age of the list of members up to which none of them can have lapsed, and for
# a window of the cold before.
MEMBERS_CERTAIN_AGE_S = (
    registration.LEASE_S
    - registration.RENEW_EVERY_S
    - cold_start_limiter.WINDOW_S
)


class Choice(typing.NamedTuple):
    """An upstream that was picked.

    Attributes:
        upstream: the :class:`~decisions.upstream_view.Upstream`.
        load: its :class:`~decisions.upstream_load.UpstreamLoad`.
        known: whether it should know the object.
        ahead: requests that it has to wait for there, about.
        finish_s: estimated seconds to the answer.
        why: inputs of the decision, for the log.
    """

    upstream: object
    load: object
    known: bool
    ahead: float
    finish_s: float
    why: dict


class Refusal(typing.NamedTuple):
    """Why no upstream was picked.

    Attributes:
        kind: the :class:`~errors.Kind` to answer.
        retry_after_s: seconds after which a repeat makes sense.
        reason: for the log.
        owners: ``(upstream, load, wait_s, finish_s)`` of those considered.
    """

    kind: errors.Kind
    retry_after_s: float
    reason: str
    owners: tuple = ()


class Steering:
    """Routes, upstreams and the budgets of one instance.

    Args:
        cfg: the :class:`~jasminehold.front.cfg.Cfg`.
        rng: random source.
        log: structured log.

    Attributes:
        copy_age: ``now -> seconds``, the age of what is known of the store.
    """

    def __init__(self, cfg, rng, log):
        self.copy_age = lambda now: 0.0
        self.table = None
        self.view = upstream_view.UpstreamView()
        self.evacuated = frozenset()
        self.instances = ()
        self._cfg = cfg
        self._rng = rng
        self._log = log
        self._target_turns = weighted_round_robin.SmoothWeightedRoundRobin()
        self._loads = {}
        self._cold_gates = {}
        self._misdirected = {}
        self._retries = {}
        self._run_times = {}
        self._owner_cache = {}
        self._weight_cache = {}
        self._usual_timeout_s = {}
        self._fleet = fleet_size.FleetSize(cfg.retry_window)

    # What is learnt.

    def on_config(self, table):
        """Put a newer configuration in force; older ones are ignored."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._log('configuration in force', version=table.version)
        return True

    def on_evacuated(self, places):
        """Take the set of evacuated places."""
        if places != self.evacuated:
            self._log('evacuated places changed', places=sorted(places))
            self.evacuated = places
            self._clear_owner_cache()

    def on_entries(self, entries, as_of):
        """Take a whole list of upstream entries.

        Args:
            entries: list of :class:`~decisions.upstream_view.Entry`.
            as_of: monotonic seconds at which it was true.
        """
        before = self._usable_ids()
        joined, left = self.view.on_list(entries, as_of)
        for upstream in left:
            key = upstream.entry.id
            self._loads.pop(key, None)
            self._cold_gates.pop(key, None)
            self._misdirected.pop(key, None)
            for times in self._run_times.values():
                times.remove_upstream(key)
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
        if joined or left or self._usable_ids() != before:
            self._clear_owner_cache()

    def _usable_ids(self):
        return {
            key
            for key, item in self.view.upstreams.items()
            if not item.draining
        }

    def _clear_owner_cache(self):
        self._owner_cache.clear()
        self._weight_cache.clear()

    def on_members(self, ids, now):
        """Take the ids of the live instances, at monotonic seconds ``now``."""
        self.instances = tuple(sorted(ids))
        self._fleet.on_members(ids, now)

    def on_settings(self, cfg):
        """Take new settings."""
        if _retry_bounds(cfg) != _retry_bounds(self._cfg):
            self._retries.clear()
        self._cfg = cfg
        self._clear_owner_cache()

    def gauge_values(self, now):
        """Return what is believed now as ``{name of a gauge: value}``."""
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
            'upstreams_draining': sum(
                item.draining for item in upstreams.values()
            ),
            'upstreams_cold': sum(
                now < item.cold_until for item in upstreams.values()
            ),
        }

    # Requests.

    def route(self, host, path):
        """Return the request's route or a :class:`~errors.Kind`."""
        if self.table is None:
            return Kind.UNAVAILABLE
        return self.table.match(host, path) or Kind.UNKNOWN_SERVICE

    def service(self, route, now):
        """Return the service that this request of a route goes to."""
        name = self._target_turns.pick(route.name, route.targets)
        self._retry_share(name).on_request(now)
        return name

    def allow_retry(self, route, service, returned, now):
        """Take one repeat out of the budget; returns whether it is there.

        Args:
            route: the request's route.
            service: the service it goes to.
            returned: whether its caller was rejected before.
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
        """Return whether a caller that waits this long came back.

        Callers give a first request of a route the same time; one that was
        rejected has less left.

        Args:
            route: the request's route.
            stated_s: seconds that the caller will wait.
        """
        usual = max(stated_s, self._usual_timeout_s.get(route.name, 0.0))
        self._usual_timeout_s[route.name] = usual
        return stated_s < CALLER_RETRY_FRACTION * usual

    def _retry_share(self, service):
        if service not in self._retries:
            self._retries[service] = retry_token_bucket.RetryTokenBucket(
                *_retry_bounds(self._cfg), self._rng
            )
        return self._retries[service]

    def pick(self, route, service, key, request_id, tried, only, left_s, now):
        """Return a :class:`Choice` or a :class:`Refusal`.

        Args:
            route: the request's route.
            service: the service it goes to.
            key: the object's key, '' for none.
            request_id: the request's own id, text.
            tried: ids of upstreams that it must not be sent to.
            only: ids of the upstreams left to it, None for all.
            left_s: seconds until the request's deadline.
            now: monotonic seconds.
        """
        upstreams = self._usable(route, service, tried, only, now)
        if not upstreams:
            return Refusal(
                Kind.OVERLOADED, MIN_RETRY_AFTER_S, 'no usable upstream'
            )
        ranked = self._ranked(service, key or request_id, upstreams)
        candidates, full = [], []
        for rank, name in enumerate(ranked[: OWNERS_PER_KEY if key else None]):
            candidate, room = self._candidate(
                route, service, key, upstreams[name], rank, now
            )
            (candidates if room else full).append(candidate)
        best = selection.choose(candidates)
        # The estimate of the work alone turns nothing away: it may be wrong.
        late = best is not None and best.wait_s and best.finish_s >= left_s
        if best is None or late:
            pause = selection.retry_after_s(
                candidates + full, MIN_RETRY_AFTER_S, self._rng
            )
            reason = 'queues full' if best is None else 'too late'
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
        upstream = upstreams[best.id]
        load = self._load(upstream, route)
        why = {
            'rank': ranked.index(best.id),
            'of': len(ranked),
            'load': round(load.load(now), 1),
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
        )

    def _usable(self, route, service, tried, only, now):
        homes = route.home_regions
        usable, held = {}, {}
        for name, upstream in self.view.upstreams.items():
            entry = upstream.entry
            if (
                entry.service != service
                or upstream.draining
                or name in tried
                or (only is not None and name not in only)
                or entry.place in self.evacuated
                or self._misdirected.get(name) == _identity(entry)
                or (homes and self._region(entry.place) not in homes)
                or not self._admits_cold(upstream, service, now)
            ):
                continue
            load = self._loads.get(name)
            ejected = load is not None and now < load.ejected_until
            (held if ejected else usable)[name] = upstream
        return usable or held

    def _region(self, place):
        return self._cfg.places.get(place, '')

    def _admits_cold(self, upstream, service, now):
        if now >= upstream.cold_until:
            return True
        name = upstream.entry.id
        if self._cfg.id not in cold_start_limiter.senders(
            name, self.instances
        ):
            return False
        gate = self._cold_gates.setdefault(
            name, cold_start_limiter.ColdStartLimiter()
        )
        return gate.admits(self._cold_rate(service), self._cold_used(now), now)

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

    def _load(self, upstream, route):
        name = upstream.entry.id
        load = self._loads.get(name)
        if load is None:
            load = self._loads[name] = upstream_load.UpstreamLoad(
                upstream.entry.slots,
                run_times.CACHED_TARGET_RATIO * route.latency_target_s,
            )
        return load

    def _candidate(self, route, service, key, upstream, rank, now):
        entry = upstream.entry
        load = self._load(upstream, route)
        times = self._run_times.setdefault(service, run_times.RunTimes())
        known = route.sticky and (
            rank == 0 or times.has_cached(key, entry.id, now)
        )
        run = times.estimate(route, known)
        extra = 0.0
        if not known:
            extra = max(run - times.estimate(route, True), 0.0)
        own_region = self._cfg.places[self._cfg.place]
        travel = 0.0
        if self._region(entry.place) != own_region:
            travel = CROSS_REGION_S
        candidate = selection.Candidate(
            entry.id, load.wait_s(now), run, travel, extra
        )
        queue = QUEUE_FACTOR if known else UNCACHED_QUEUE_FACTOR
        room = load.load(now) + 1 <= load.slots * (1 + queue)
        return candidate, room

    def _ranked(self, service, key, upstreams):
        cache_key = (service, key)
        order = self._owner_cache.get(cache_key)
        if order is None:
            if len(self._owner_cache) > OWNERS_CACHE_MAX:
                self._owner_cache.clear()
            order = object_placement.owners(
                key, self._service_weights(service)
            )
            self._owner_cache[cache_key] = order
        return [name for name in order if name in upstreams]

    def _service_weights(self, service):
        if service in self._weight_cache:
            return self._weight_cache[service]
        slots, rooms = {}, {}
        for name, upstream in self.view.upstreams.items():
            entry = upstream.entry
            if entry.service != service or upstream.draining:
                continue
            if entry.place in self.evacuated:
                continue
            region = self._region(entry.place)
            slots[name] = (region, entry.slots)
            rooms[region] = rooms.get(region, 0) + entry.slots
        regions = set(self._cfg.places.values())
        need = PLANNED_USE * sum(rooms.values()) / len(regions)
        shares = object_placement.region_shares(
            {region: need for region in regions}, rooms
        )
        own = shares[self._cfg.places[self._cfg.place]]
        weights = {
            name: own.get(region, 0.0) * count / rooms[region]
            for name, (region, count) in slots.items()
        }
        self._weight_cache[service] = weights
        return weights

    # What answers tell.

    def on_sent(self, choice, now):
        """Count a request sent to an upstream."""
        choice.load.on_sent()
        name = choice.upstream.entry.id
        if now < choice.upstream.cold_until:
            self._cold_gates.setdefault(
                name, cold_start_limiter.ColdStartLimiter()
            ).on_sent(now)

    def on_completed(self, route, service, key, choice, seconds, now):
        """Take the time of a run that ended with an answer."""
        choice.load.on_success(seconds, choice.ahead)
        if choice.ahead:
            # The time of the run alone is not known.
            seconds = None
        if not route.sticky:
            key = ''
        self._run_times[service].on_run(
            route,
            key,
            choice.upstream.entry.id,
            seconds,
            choice.known,
            now,
        )

    def on_failed(self, choice, reason, now):
        """Take a failure of an upstream.

        Args:
            choice: the :class:`Choice`.
            reason: ``connect``, ``loss``, ``misdirected``, ``shed`` or
                ``error``.
            now: monotonic seconds.
        """
        entry = choice.upstream.entry
        if reason == 'misdirected':
            self._misdirected[entry.id] = _identity(entry)
            self._log('address reused', upstream=entry.id, host=entry.host)
            return
        if reason == 'shed':
            # The load that it told decides, not the rejection.
            return
        if choice.load.on_failure(now, at_once=reason == 'connect'):
            self._log(
                'upstream left out',
                upstream=entry.id,
                reason=reason,
                for_s=round(choice.load.ejected_until - now, 2),
            )


def _retry_bounds(cfg):
    return cfg.retry_ratio, cfg.retry_burst, cfg.retry_window


def _identity(entry):
    # What an upstream is known by while it runs.
    return entry.born_ms, entry.host, entry.port
