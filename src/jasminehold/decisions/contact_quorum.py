"""Rule R2: a holder uses shares only in contact with a majority of witnesses.

Holders use :class:`WitnessContact`, planners :class:`Fence`.
"""

from jasminehold.decisions import limiters

CONTACT_TIMEOUT_S = 3.0
MAX_LOAN_S = 10.0
MAX_DEADLINE_S = 30.0
GONE_AFTER_S = 10.0
# A longer gap between two loop iterations counts as a pause of the process.
MAX_TICK_GAP_S = 1.0


def majority(witnesses):
    """Return the size of a majority of the witnesses."""
    return len(witnesses) // 2 + 1


def share_expiry_s(limit_id):
    """Return how long older shares may stay in use after their fencing.

    Args:
        limit_id: id of the limit.

    Returns:
        Seconds: the sum of the contact time-out, the longest loan granted
        before it and, for concurrent limits, the longest request in flight,
        each with its margin (reasons (b), (c)).
    """
    wait = CONTACT_TIMEOUT_S + limiters.safety_margin(CONTACT_TIMEOUT_S)
    wait += MAX_LOAN_S + limiters.safety_margin(MAX_LOAN_S)
    if not limiters.is_rate(limit_id):
        wait += MAX_DEADLINE_S + limiters.safety_margin(MAX_DEADLINE_S)
    return wait


class WitnessContact:
    """Last contact of one holder with each witness."""

    def __init__(self, name):
        self.name = name
        self._last_contact = {}
        self._newest_version = {}
        self._last_tick = None
        self._valid_from = None

    def record(self, witness, sent_at, versions, age=0.0):
        """Record a reply from a witness, received directly or relayed.

        Args:
            witness: id of the witness.
            sent_at: local time at which the request was sent.
            versions: ``{region: newest plan version}`` of the witness.
            age: age reported by the relaying peer, in seconds; the clock
                drift of both sides is added here.
        """
        at = sent_at - age * (1 + 2 * limiters.CLOCK_DRIFT)
        for region, version in versions.items():
            key = (witness, region)
            if at > self._last_contact.get(key, float('-inf')):
                self._last_contact[key] = at
            if version > self._newest_version.get(region, 0):
                self._newest_version[region] = version

    def tick(self, now):
        """Record a loop iteration; return True after a pause.

        After a pause, replies to earlier requests no longer count.
        """
        paused = (
            self._last_tick is not None
            and now - self._last_tick > MAX_TICK_GAP_S
        )
        self._last_tick = now
        if paused:
            self._valid_from = now
        return paused

    def age(self, witness, region, now):
        """Return the age of the last contact in seconds, infinite if none."""
        if witness == self.name:
            return 0.0
        at = self._last_contact.get((witness, region))
        if at is None:
            return float('inf')
        if self._valid_from is not None and at < self._valid_from:
            return float('inf')
        return now - at

    def newest(self, region):
        """Return the newest plan version that any witness reported."""
        return self._newest_version.get(region, 0)

    def may_use(self, plan, now):
        """Return whether shares of a region's plan may be used now.

        Args:
            plan: the applied plan of the region.
            now: local time.
        """
        if self.newest(plan['region']) > plan['version']:
            return False
        if (
            self._last_tick is not None
            and now - self._last_tick > MAX_TICK_GAP_S
        ):
            return False
        in_contact = 0
        for witness in plan['witnesses']:
            if self.age(witness, plan['region'], now) <= CONTACT_TIMEOUT_S:
                in_contact += 1
        return in_contact >= majority(plan['witnesses'])


class Fence:
    """Tracks the plan versions that no holder can be using any more.

    When, for every older plan, the witnesses that do not know version v are
    too few for a majority, each holder either receives v or loses contact.
    Witnesses that are confirmed gone send no replies and count as knowing v.
    The state is kept in the planner's memory only; a new planner starts
    waiting again, which is safe.
    """

    def __init__(self):
        self._levels = []

    def observe(self, plan, known, gone, now):
        """Record the plan versions that the witnesses know.

        Args:
            plan: newest stored plan.
            known: ``{instance: newest plan version that it reported}``.
            gone: ids that are confirmed gone.
            now: local time of the planner.
        """
        level = plan['version']
        witness_sets = [names for _, names in plan['past_witnesses']]
        for names in witness_sets + [plan['witnesses']]:
            if not names:
                continue
            versions = sorted(
                plan['version'] if name in gone else known.get(name, 0)
                for name in names
            )
            level = min(level, versions[majority(names) - 1])
        if level and (not self._levels or self._levels[-1][1] < level):
            self._levels.append((now, level))

    def floor(self, limit_id, now):
        """Return the oldest version whose share of a limit may be in use."""
        wait = share_expiry_s(limit_id)
        result = 0
        for at, version in self._levels:
            if at + wait <= now:
                result = version
        # An entry is obsolete when the longest wait after the next is over.
        longest = share_expiry_s('slots:')
        while len(self._levels) > 1 and self._levels[1][0] + longest <= now:
            self._levels.pop(0)
        return result


class GoneInstances:
    """Tracks the instances that are confirmed gone.

    An instance is gone when it sent ``leave`` and stopped, or when it has sent
    no message and been missing from the platform's list for ``GONE_AFTER_S``
    and for the longest loan that it may have granted.
    """

    def __init__(self):
        self._missing = {}
        self.gone = set()

    def on_leave(self, name):
        """Record a ``leave`` message."""
        self.gone.add(name)

    def on_platform_list(self, names, holders, last_heard, now):
        """Record a read of the platform's list.

        Args:
            names: ids in the list.
            holders: ids that appear in a plan.
            last_heard: ``{id: local time}`` of the last message.
            now: local time at which the list was requested.
        """
        wait = max(
            GONE_AFTER_S, MAX_LOAN_S + limiters.safety_margin(MAX_LOAN_S)
        )
        for name in holders:
            if name in names or last_heard.get(name, -1.0) >= now:
                self._missing.pop(name, None)
                continue
            since = self._missing.setdefault(name, now)
            if last_heard.get(name, -1.0) > since:
                self._missing[name] = since = now
            if now - since >= wait:
                self.gone.add(name)
