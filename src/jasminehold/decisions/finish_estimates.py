"""When an upstream would finish a request, from what an instance has seen.

Where upstreams share their machines, requests that look alike take very
different times. There, what an upstream still has to do counts in seconds of
its slots, and a request that would not end in time is not sent to it; see
docs/design/cost.md. Elsewhere each request counts as one.
"""

import math

from jasminehold.decisions import run_times
from jasminehold.decisions import selection
from jasminehold.decisions import upstream_load

# Cost of learning an object at an upstream that has slots free, relative to
# its time: the requests for the object that follow share it.
LEARNING_WEIGHT = 1.0
# The same at a further owner that has the object cached: it stays cached there
# instead of another one.
KEEPING_WEIGHT = 0.25
# Part of the slots in use from which on the work to learn an object delays
# other requests.
BUSY_FRACTION = 0.7
# A request whose chance to end in time is below this is not sent.
MIN_CHANCE = 0.3


# Estimates below this are taken for it: a route may state times of nothing.
MIN_RUN_S = 0.001


class FinishEstimates:
    """Loads and run times of the upstreams, as one instance sees them.

    Attributes:
        loads: ``{upstream id: UpstreamLoad}``.
        sharing: services of which an upstream has reported a slowdown.
    """

    def __init__(self):
        self.loads = {}
        self._run_times = {}
        self.sharing = set()

    def load(self, entry, route):
        """Return the :class:`~decisions.upstream_load.UpstreamLoad`.

        Args:
            entry: the upstream's :class:`~decisions.upstream_view.Entry`.
            route: route of the request, for a first estimate.
        """
        load = self.loads.get(entry.id)
        if load is None:
            load = self.loads[entry.id] = upstream_load.UpstreamLoad(
                entry.slots,
                run_times.CACHED_TARGET_RATIO * route.latency_target_s,
            )
        return load

    def shares_machines(self, service):
        """Return whether upstreams of a service share their machines.

        It is known once one has reported a slowdown other than 1.0.
        """
        return service in self.sharing

    def is_cached(self, service, route, key, upstream_id, rank, now):
        """Return whether an upstream is expected to have an object cached.

        Args:
            service: the target service.
            route: the request's route.
            key: the object's key.
            upstream_id: id of the upstream.
            rank: its rank among the owners, from 0.
            now: monotonic seconds.
        """
        times = self._times(service)
        return route.sticky and (
            rank == 0 or times.has_cached(key, upstream_id, now)
        )

    def candidate(
        self, service, route, key, entry, rank, network_s, left_s, now
    ):
        """Return the :class:`~decisions.selection.Candidate` of an upstream.

        Args:
            service: the target service.
            route: the request's route.
            key: the object's key.
            entry: the upstream's :class:`~decisions.upstream_view.Entry`.
            rank: its rank among the owners, from 0.
            network_s: round trip time in seconds.
            left_s: seconds until the request's deadline.
            now: monotonic seconds.
        """
        times = self._times(service)
        load = self.load(entry, route)
        known = self.is_cached(service, route, key, entry.id, rank, now)
        run = times.estimate(route, known)
        unknown_s = times.estimate(route, False)
        learning = max(unknown_s - times.estimate(route, True), 0.0)
        extra = 0.0 if known else learning
        if not self.shares_machines(service):
            return selection.Candidate(
                entry.id, load.wait_s(now), run, network_s, extra
            )
        if known and not times.has_cached(key, entry.id, now):
            run = times.assumed(route)
        run = max(run * load.speed(now), MIN_RUN_S)
        count, work_s = load.backlog(times.ratios, now)
        wait = load.backlog_wait_s(work_s)
        age_s = load.report_age_s(now)
        doubt = wait * (1.0 - math.exp(-age_s / upstream_load.REPORT_DECAY_S))
        busy = min(count / load.slots, 1.0) - BUSY_FRACTION
        weight = LEARNING_WEIGHT + max(busy, 0.0) / (1.0 - BUSY_FRACTION) * (
            selection.SPILL_WEIGHT - LEARNING_WEIGHT
        )
        slowed = load.slowed_s(run, now)
        chance = 1.0
        # An idle upstream is always tried: the estimate may be wrong.
        if wait:
            chance = times.ratios.chance_within(
                (left_s - wait - network_s - slowed) / run
            )
        return selection.Candidate(
            entry.id,
            wait,
            run + slowed,
            network_s,
            extra,
            0.0 if known else weight,
            chance,
            doubt,
            KEEPING_WEIGHT * learning if rank and route.sticky else 0.0,
        )

    def count(self, service, load, now):
        """Return the estimated number of requests at an upstream.

        Args:
            service: the target service.
            load: the upstream's load.
            now: monotonic seconds.
        """
        if not self.shares_machines(service):
            return load.load(now)
        return load.backlog(self._times(service).ratios, now)[0]

    def on_report(self, service, load, report, now):
        """Record the load reported by an answer; call before its end.

        Args:
            service: the upstream's service.
            load: the upstream's load.
            report: the :class:`~platform.wire.LoadReport`.
            now: monotonic seconds.

        Returns:
            Whether this is the first report of a slowdown of the service.
        """
        load.on_report(report, now)
        if report.slowdown == 1.0 or service in self.sharing:
            return False
        self.sharing.add(service)
        return True

    def on_completed(self, service, route, key, choice, seconds, now):
        """Record a successful request and its duration.

        Args:
            service: the target service.
            route: the request's route.
            key: the object's key, '' if there is none.
            choice: the :class:`~front.steering.Choice`.
            seconds: time from sending the request to its answer.
            now: monotonic seconds.
        """
        load = choice.load
        load.on_success(seconds, choice.ahead)
        # Such a duration includes the wait in the queue.
        queued = bool(choice.ahead)
        times = self._times(service)
        if self.shares_machines(service):
            queued = queued or load.had_queue
            if not queued:
                if choice.known and not times.has_cached(
                    key, choice.upstream.entry.id, now
                ):
                    times.on_assumed(route, seconds)
                ratio = seconds / choice.run.run_s
                times.ratios.on_run(ratio)
                load.on_speed(ratio * load.speed(now), now)
        times.on_run(
            route,
            key,
            choice.upstream.entry.id,
            None if queued else seconds,
            choice.known,
            now,
        )

    def on_given_up(self, service, run, now):
        """Record a run without an answer, which would have lasted longer.

        Args:
            service: the target service.
            run: the :class:`~decisions.upstream_load.Run`.
            now: monotonic seconds.
        """
        if self.shares_machines(service) and run.sent_at is not None:
            self._times(service).ratios.on_run(run.ran_s(now) / run.run_s)

    def remove_upstream(self, upstream_id):
        """Drop what is known of an upstream that left or restarted."""
        self.loads.pop(upstream_id, None)
        for times in self._run_times.values():
            times.remove_upstream(upstream_id)

    def _times(self, service):
        times = self._run_times.get(service)
        if times is None:
            times = self._run_times[service] = run_times.RunTimes()
        return times
