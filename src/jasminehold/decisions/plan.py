"""Region plans: how each limit is split into shares, and rule R1.

Rule R1 (overlap): for each limit, take for each instance the largest share in
any plan version that it may still be applying; the sum over all instances is
at most the limit. The plan carries what the rule needs from older versions,
so a new planner needs only the stored plan.
"""

import heapq
import typing
import zlib

# Part of a limit that is split evenly, so a quiet instance can start at once.
EVEN_PART = 0.2
# A plan is kept while the shares to be moved are less than this part.
HYSTERESIS = 0.2
# Slots stay where they are while what instances hold beyond their entitlement
# and one whole slot is less than this part of the service's slots.
SLOT_SLACK = 1.0
SLOT_EXCESS = 0.1
# Weights of instances by distance from the upstream.
SAME_PLACE_WEIGHT = 1.0
SAME_REGION_WEIGHT = 0.6
OTHER_REGION_WEIGHT = 0.2
# Slots are few and a lender keeps one, so those of distant instances idle
# while near ones queue: with 0.2, ferromodelos refused 5.5% of look-ups at
# half load, with 0.05 it refused 2.7% (bench/deployment.py, seed 1).
OTHER_REGION_SLOTS_WEIGHT = 0.05
# Witnesses of one region.
WITNESSES = 3


class Member(typing.NamedTuple):
    """An instance that takes shares.

    In the hierarchical form a member stands for a place: its acknowledgement
    is that of the place's own planner.
    """

    name: str
    place: str
    region: str


class Inputs(typing.NamedTuple):
    """What a planner knows when it builds a plan.

    Attributes:
        limits: list of limits whose home is the region.
        members: instances that may hold shares (live, not leaving).
        demand: ``{limit id or group: {instance: amount}}``.
        acked: ``{instance: (version, {limit: older version})}`` as in
            :meth:`share_holder.ShareHolder.acked`.
        gone: ids that are confirmed gone.
        floor: function from limit id to the oldest version in use anywhere
            (:meth:`contact_quorum.Fence.floor`).
        term: fencing token of the planner's lease.
    """

    limits: list
    members: list
    demand: dict
    acked: dict
    gone: set
    floor: typing.Callable
    term: int


def empty_plan(region):
    """Return the plan before the first: version 0, no shares."""
    return {
        'region': region,
        'version': 0,
        'term': 0,
        'witnesses': [],
        'past_witnesses': [],
        'shares': {},
        'held': {},
        'movements': {},
        'drains': [],
    }


def still_held(history, floor):
    """Return the part of a share's history that may still be applied.

    Args:
        history: ``[[last version, share], ...]`` with falling shares; each
            entry is the largest share up to and including its version.
        floor: oldest version that may still be applied.
    """
    return [entry for entry in history if entry[0] >= floor]


def acked_version(inputs, name, limit_id):
    """Return the version that an instance acknowledged for a limit."""
    version, lagging = inputs.acked.get(name, (0, {}))
    return lagging.get(limit_id, version)


def extend_history(history, version, share):
    """Return a history with one more version, largest shares kept."""
    kept = [entry for entry in history if entry[1] > share]
    return kept + [[version, share]]


def pending(stored, inputs, limit_id):
    """Return the shares of a limit that may still be applied.

    Returns:
        ``{instance: history}`` with only the versions from the acknowledged
        or fenced one on, and without instances that are confirmed gone.
    """
    fence = inputs.floor(limit_id)
    result = {}
    for name, history in stored['held'].get(limit_id, {}).items():
        if name in inputs.gone:
            continue
        floor = max(acked_version(inputs, name, limit_id), fence)
        history = still_held(history, floor)
        if history:
            result[name] = history
    return result


def split_evenly(amount, weights):
    """Split a whole amount by weights with the largest remainders.

    Args:
        amount: whole number.
        weights: ``{name: weight >= 0}``.

    Returns:
        ``{name: whole share}``; the shares add up to the amount.
    """
    total = sum(weights.values())
    if not total or amount <= 0:
        return {name: 0 for name in weights}
    shares = {}
    rests = []
    for name, weight in weights.items():
        exact = amount * weight / total
        shares[name] = int(exact)
        rests.append((exact - int(exact), name))
    missing = amount - sum(shares.values())
    for _, name in heapq.nlargest(missing, rests):
        shares[name] += 1
    return shares


def _nearness(limit, member):
    if not limit.place:
        return 1.0
    if member.place == limit.place:
        return SAME_PLACE_WEIGHT
    if member.region == limit.region:
        return SAME_REGION_WEIGHT
    return (
        OTHER_REGION_SLOTS_WEIGHT
        if limit.kind == 'slots'
        else OTHER_REGION_WEIGHT
    )


def _weights(limit, members, demand):
    if limit.kind == 'link' and limit.place:
        # Only the instances at the start of a link send over it.
        members = [m for m in members if m.place == limit.place]
    wanted = demand.get(limit.id) or demand.get(limit.group) or {}
    total = sum(wanted.get(member.name, 0) for member in members)
    weights = {}
    for member in members:
        part = 1 / len(members)
        if total:
            part *= EVEN_PART
            part += (1 - EVEN_PART) * wanted.get(member.name, 0) / total
        weights[member.name] = part * _nearness(limit, member)
    return weights


def _target(limit, previous, weights):
    """Return the wished shares of one limit.

    While the previous shares are close to the wished ones they are kept, and
    only what nobody holds is handed out.
    """
    target = split_evenly(limit.usable, weights)
    kept = {name: previous.get(name, 0) for name in target}
    gap = limit.usable - sum(kept.values())
    # A difference of one is rounding and moves nothing.
    excess = sum(
        max(0, share - target[name] - 1) for name, share in kept.items()
    )
    need = sum(
        max(0, target[name] - share - 1) for name, share in kept.items()
    )
    moved = max(excess, need - gap)
    starved = any(
        share > 1 and not kept[name] for name, share in target.items()
    )
    if gap < 0 or starved or moved > HYSTERESIS * limit.usable:
        return target
    lacking = {
        name: max(0, share - kept[name]) for name, share in target.items()
    }
    for name, share in split_evenly(gap, lacking).items():
        kept[name] += share
    return kept


def _slot_targets(group, previous, inputs):
    """Return the wished shares of all slots of one service.

    An upstream has fewer slots than there are instances, so the entitlement
    is counted over the service: what an instance does not get at one upstream
    it gets at a later one.
    """
    entitled = {member.name: 0.0 for member in inputs.members}
    weights = {}
    for limit in group:
        weights[limit.id] = _weights(limit, inputs.members, inputs.demand)
        total = sum(weights[limit.id].values()) or 1
        for name, weight in weights[limit.id].items():
            entitled[name] += limit.usable * weight / total
    held = {}
    for limit in group:
        for name, share in previous.get(limit.id, {}).items():
            held[name] = held.get(name, 0) + share
    excess = sum(
        max(0, total - entitled.get(name, 0) - SLOT_SLACK)
        for name, total in held.items()
    )
    settled = excess <= SLOT_EXCESS * sum(limit.usable for limit in group)
    credit = dict(entitled)
    targets = {}
    for limit in group:
        kept = {}
        left = limit.usable
        for name, share in previous.get(limit.id, {}).items():
            if name not in entitled:
                continue
            room = share if settled else int(credit[name] + 0.5)
            keep = max(0, min(share, left, room))
            if keep:
                kept[name] = keep
                credit[name] -= keep
                left -= keep
        targets[limit.id] = kept
    for limit in group:
        shares = targets[limit.id]
        left = limit.usable - sum(shares.values())
        if left <= 0 or not inputs.members:
            continue
        # Spreading an instance's slots over upstreams counts more than half
        # a slot of entitlement.
        order = [
            (
                -(
                    credit[name]
                    + weight * len(inputs.members)
                    - shares.get(name, 0)
                ),
                zlib.crc32((limit.id + name).encode()),
                name,
            )
            for name, weight in weights[limit.id].items()
        ]
        heapq.heapify(order)
        for _ in range(left):
            score, tie, name = order[0]
            shares[name] = shares.get(name, 0) + 1
            credit[name] -= 1
            heapq.heapreplace(order, (score + 2, tie, name))
    return targets


def _apply_overlap(limit, previous, target, held):
    """Return shares that obey rule R1.

    Args:
        limit: the limit.
        previous: ``{instance: share}`` of the previous plan.
        target: ``{instance: share}`` wished.
        held: ``{instance: largest share that may still be applied}``.
    """
    budget = limit.usable - sum(held.values())
    shares = {}
    for name, wish in target.items():
        now = previous.get(name, 0)
        share = wish
        if wish > now:
            top = held.get(name, 0)
            if budget < 0:
                share = now
            elif wish > top:
                extra = min(wish - top, budget)
                budget -= extra
                share = top + extra
        if share:
            shares[name] = share
    return shares


def choose_witnesses(region, previous, members, gone):
    """Return up to three witnesses, in different places where possible.

    A witness is replaced only when it is confirmed gone or no longer a
    member; one that is merely silent stays.
    """
    local = sorted(
        (member for member in members if member.region == region),
        key=lambda member: (
            zlib.crc32((region + member.name).encode()),
            member.name,
        ),
    )
    by_name = {member.name: member for member in local}
    chosen = [
        name for name in previous if name not in gone and name in by_name
    ]
    while len(chosen) < WITNESSES:
        rest = [member for member in local if member.name not in chosen]
        if not rest:
            break
        places = {by_name[name].place for name in chosen}
        rest.sort(key=lambda member: member.place in places)
        chosen.append(rest[0].name)
    return chosen


def next_plan(previous, inputs, force=False):
    """Build the next plan of a region.

    Args:
        previous: the newest stored plan.
        inputs: :class:`Inputs`.
        force: whether a new version is needed although the shares stay.

    Returns:
        The next plan, or ``previous`` itself when nothing has to change. The
        cost is linear in limits times members.
    """
    region = previous['region']
    version = previous['version'] + 1
    limits = {limit.id: limit for limit in inputs.limits}
    targets = {}
    groups = {}
    for limit in inputs.limits:
        before = previous['shares'].get(limit.id, {})
        if limit.kind == 'slots':
            groups.setdefault(limit.group, []).append(limit)
        else:
            weights = _weights(limit, inputs.members, inputs.demand)
            targets[limit.id] = _target(limit, before, weights)
    for group in groups.values():
        targets.update(_slot_targets(group, previous['shares'], inputs))
    shares, held = {}, {}
    for limit_id in limits.keys() | previous['held'].keys():
        before = previous['shares'].get(limit_id, {})
        histories = pending(previous, inputs, limit_id)
        tops = {name: history[0][1] for name, history in histories.items()}
        new = {}
        if limit_id in limits:
            new = _apply_overlap(
                limits[limit_id], before, targets[limit_id], tops
            )
            shares[limit_id] = new
        entries = {}
        for name in histories.keys() | new.keys():
            history = extend_history(
                histories.get(name, []), version, new.get(name, 0)
            )
            if history[0][1]:
                entries[name] = history
        if entries:
            held[limit_id] = entries
    witnesses = choose_witnesses(
        region, previous['witnesses'], inputs.members, inputs.gone
    )
    drains = sorted(limit.id for limit in inputs.limits if limit.drained)
    if (
        not force
        and shares == previous['shares']
        and witnesses == previous['witnesses']
        and drains == previous['drains']
    ):
        return previous
    # The fence of concurrent limits is the slowest, so older witnesses are
    # kept until it has passed them.
    floor = inputs.floor('slots:')
    past = [entry for entry in previous['past_witnesses'] if entry[0] >= floor]
    if witnesses != previous['witnesses'] and previous['witnesses']:
        past.append([previous['version'], previous['witnesses']])
    movements = {
        limit_id: sum(parts.values())
        for limit_id, parts in shares.items()
        if limit_id.startswith('move:')
    }
    return {
        'region': region,
        'version': version,
        'term': inputs.term,
        'witnesses': witnesses,
        'past_witnesses': past,
        'shares': shares,
        'held': held,
        'movements': movements,
        'drains': drains,
    }
