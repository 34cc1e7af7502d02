"""Rule R2: shares are used only in contact with a majority of witnesses.

The holder's side is :class:`WitnessContact`, the planner's side :class:`Fence`.
"""

from jasminehold.decisions import limiters

CONTACT_TIMEOUT_S = 3.0
MAX_LOAN_S = 10.0
MAX_DEADLINE_S = 30.0
GONE_AFTER_S = 10.0
# Longest gap between two loop iterations that does not count as a pause.
PAUSE_S = 1.0


def majority(witnesses):
    """Return how many of the witnesses make a majority."""
    return len(witnesses) // 2 + 1


def share_expiry_s(limit_id):
    """Return how long after a fence older shares may still be in use.

    Args:
        limit_id: id of the limit.

    Returns:
        Seconds: contact, then loans granted in contact, then, for concurrent
        limits, requests in flight, each with its margin (reasons (b), (c)).
    """
    wait = CONTACT_TIMEOUT_S + limiters.safety_margin(CONTACT_TIMEOUT_S)
    wait += MAX_LOAN_S + limiters.safety_margin(MAX_LOAN_S)
    if not limiters.is_rate(limit_id):
        wait += MAX_DEADLINE_S + limiters.safety_margin(MAX_DEADLINE_S)
    return wait


class WitnessContact:
    """Ages of the contact with witnesses, as one holder knows them."""

    def __init__(self, name):
        self.name = name
        self._heard = {}
        self._newest = {}
        self._last_tick = None
        self._valid_from = None

    def record(self, witness, sent_at, versions, age=0.0):
        """Record an answer that comes from a witness.

        Args:
            witness: id of the witness.
            sent_at: local time at which the question was sent.
            versions: ``{region: newest plan version}`` of the witness.
            age: age that the answering peer reported, for relayed contact;
                lengthened here by the drift of both clocks.
        """
        at = sent_at - age * (1 + 2 * limiters.CLOCK_DRIFT)
        for region, version in versions.items():
            key = (witness, region)
            if at > self._heard.get(key, float('-inf')):
                self._heard[key] = at
            if version > self._newest.get(region, 0):
                self._newest[region] = version

    def tick(self, now):
        """Record a loop iteration; return True after a pause.

        After a pause only answers to questions sent since then count.
        """
        paused = (
            self._last_tick is not None and now - self._last_tick > PAUSE_S
        )
        self._last_tick = now
        if paused:
            self._valid_from = now
        return paused

    def age(self, witness, region, now):
        """Return the contact's age in seconds, infinite when unknown."""
        if witness == self.name:
            return 0.0
        at = self._heard.get((witness, region))
        if at is None:
            return float('inf')
        if self._valid_from is not None and at < self._valid_from:
            return float('inf')
        return now - at

    def newest(self, region):
        """Return the newest plan version that any witness reported."""
        return self._newest.get(region, 0)

    def may_use(self, plan, now):
        """Return whether shares of a region's plan may be used now.

        Args:
            plan: the applied plan of the region.
            now: local time.
        """
        if self.newest(plan['region']) > plan['version']:
            return False
        if self._last_tick is not None and now - self._last_tick > PAUSE_S:
            return False
        fresh = 0
        for witness in plan['witnesses']:
            if self.age(witness, plan['region'], now) <= CONTACT_TIMEOUT_S:
                fresh += 1
        return fresh >= majority(plan['witnesses'])


class Fence:
    """Plan versions that no holder can be using any more.

    Once so many witnesses of every older plan know version v that the others
    are no majority, each holder hears of v or loses contact. Witnesses that
    are confirmed gone answer nobody and count as knowing it. The state is
    memory of one planner; a new planner waits again, which is safe.
    """

    def __init__(self):
        self._reached = []

    def observe(self, plan, known, gone, now):
        """Record which versions the witnesses know.

        Args:
            plan: newest stored plan.
            known: ``{instance: newest plan version it reported}``.
            gone: ids that are confirmed gone.
            now: local time of the planner.
        """
        level = plan['version']
        sets = [names for _, names in plan['past_witnesses']]
        for names in sets + [plan['witnesses']]:
            if not names:
                continue
            versions = sorted(
                plan['version'] if name in gone else known.get(name, 0)
                for name in names
            )
            level = min(level, versions[majority(names) - 1])
        if level and (not self._reached or self._reached[-1][1] < level):
            self._reached.append((now, level))

    def floor(self, limit_id, now):
        """Return the oldest version whose share of a limit may be in use."""
        wait = share_expiry_s(limit_id)
        result = 0
        for at, version in self._reached:
            if at + wait <= now:
                result = version
        # Older entries serve no limit once the longest wait has passed.
        longest = share_expiry_s('slots:')
        while len(self._reached) > 1 and self._reached[1][0] + longest <= now:
            self._reached.pop(0)
        return result


class GoneInstances:
    """Instances that are confirmed gone.

    An instance is gone when it sent ``leave`` and ended, or when the
    platform's list, read after it was last heard, has lacked it for
    ``GONE_AFTER_S`` and for the longest loan that it may have granted.
    """

    def __init__(self):
        self._missing = {}
        self.gone = set()

    def on_leave(self, name):
        """Record a ``leave``."""
        self.gone.add(name)

    def on_platform_list(self, names, holders, last_heard, now):
        """Record one reading of the platform's list.

        Args:
            names: ids on the list.
            holders: ids that a plan mentions.
            last_heard: ``{id: local time}`` of the last message.
            now: local time at which the list was asked for.
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
