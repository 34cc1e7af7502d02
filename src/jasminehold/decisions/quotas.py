"""Quotas of client accounts, over all instances together.

Each instance owns an equal part of every quota. It gives the time for which
it owned its part, in share-seconds, to the first instance of its region in an
order by hash, and that one passes on what it got to the first region's. The
last in this chain, the root, turns share-seconds into tokens and grants them
back along the chain, to whoever asks, for a bounded time. Whoever hears no
instance before itself in the order is a root of what it gets, so the roots
of a divided fleet have parts that add up.

Messages are dicts. They may be lost, late or repeated: a gift that is lost is
not used, and each other message is accepted once and while it is young.
"""

import collections
import functools
import math
import operator
import typing

from jasminehold.decisions import fleet_size
from jasminehold.decisions import hashing

# Groups of accounts, each with an order of its own.
SHARDS = 4
# Interval between two looks at the time, and between two gifts, seconds.
TICK_S = 0.1
GIFT_EVERY_S = 0.2
# Time after which an instance that does not answer is passed over, seconds.
SILENT_S = 0.5
# Age of the stamp that a gift echoes, up to which it counts, seconds.
GIFT_AGE_MAX_S = 0.7
# Gifts of an instance that are remembered: those of all shards that are young
# enough to count.
GIFTS_SEEN = 4 * SHARDS
# Time for which an ask is waited for, seconds.
ASK_S = 0.4
# Asks of other instances that are remembered.
ANSWERS_KEPT = 1024
# Interval at which an ask is repeated, seconds.
REPEAT_S = 0.1
# Time after its start in which an instance grants nothing from what it gets:
# those that started with it may not know the same members yet, seconds.
YOUNG_S = 0.8
# Share-seconds that a node may get at once.
GIFT_BURST_S = 1.0
# Instances that are tried, of the own region and of another.
NEAR_CANDIDATES = 4
REMOTE_CANDIDATES = 2
# Instances of a region from which on some collect for others.
FAN_OUT = 32
# Places in an order that are remembered.
RANKS_KEPT = 65_536
# Chance that a silent instance is tried at a tick.
TRY_CHANCE = 0.5
# Parts of the room beyond the quota: tokens that are held after a step within
# a region, of which there are at most two, and after one between regions. A
# root may keep the rest, up to the whole that is used, on top of the burst.
NEAR_HELD_FRACTION = 0.1
FAR_HELD_FRACTION = 0.35
USED_FRACTION = 0.8
# Tokens of rejected requests that may come back from an instance at once.
RETURNS_MAX = 8
HOLD_MAX_S = 0.5
# Part of the room that a root has when it begins, once in its life: the former
# one's tokens are lost.
START_FRACTION = 0.1
# Part of the overage that is granted all the time, for tokens that are lost.
EXTRA_FRACTION = 0.15
# Part of the time for which tokens hold that one ask covers.
AHEAD_FRACTION = 0.6
# Remainder of a batch at which the next one is asked for, as a fraction.
REFILL_FRACTION = 0.7
# Time for which a refusal counts for later requests, seconds.
CLOSED_MIN_S = 0.01
CLOSED_MAX_S = 0.1
# Time in which the estimate of the demand follows it, seconds.
DEMAND_S = 1.0
# Requests of an account that wait for one answer.
WAITERS_MAX = 512
RETURN_MIN_S = 0.05
RETURN_MAX_S = 5.0
# Time after which an instance that stood still uses no token that it kept.
PAUSED_S = 1.0


class Quota(typing.NamedTuple):
    """An account's limit: requests a second, and requests on top."""

    rate: float
    burst: float


class Bounds(typing.NamedTuple):
    """How far the fleet may exceed quotas.

    Attributes:
        window_s: window in which requests are counted, seconds.
        overage: fraction of the quota allowed beyond it.
        slack: requests allowed beyond that.
    """

    window_s: float
    overage: float
    slack: float

    def most(self, quota):
        """Return the requests that may arrive in one window."""
        usual = quota.rate * self.window_s + quota.burst
        return usual * (1 + self.overage) + self.slack

    def room(self, quota):
        """Return the requests allowed in a window beyond the quota."""
        usual = quota.rate * self.window_s + quota.burst
        return usual * self.overage + self.slack

    def hold_s(self, quota, far=False):
        """Return the seconds for which a granted token may be used.

        Args:
            quota: the :class:`Quota`.
            far: whether an instance of another region granted it.
        """
        held = FAR_HELD_FRACTION if far else NEAR_HELD_FRACTION
        held *= self.room(quota)
        return min(held / quota.rate, HOLD_MAX_S, self.window_s / 10)

    def kept(self, quota):
        """Return the tokens that a root of all instances may keep."""
        held_s = 2 * self.hold_s(quota) + self.hold_s(quota, True)
        kept = USED_FRACTION * self.room(quota) - held_s * quota.rate
        return quota.burst + max(kept, 0.0)

    def granted_rate(self, quota):
        """Return the tokens a second that a root of all instances earns."""
        return quota.rate * (1 + EXTRA_FRACTION * self.overage)


def shard(account):
    """Return the group of an account, by its name."""
    return hashing.number('quota', account) % SHARDS


@functools.lru_cache(maxsize=RANKS_KEPT)
def _rank(number, name):
    # Place of an instance or a region in the order of a shard.
    return hashing.number('quota', str(number), name)


def _before(order, place):
    # Whom the instance at a place of its region's order may give to.
    heads = ()
    if place > FAN_OUT:
        heads = (order[1 + place % FAN_OUT],)
    return heads + tuple(order[: min(place, NEAR_CANDIDATES)])


class Granted(typing.NamedTuple):
    """Tokens that were granted at once.

    Attributes:
        number: how many.
        until: monotonic seconds until which one that was not used may be
            granted again, however often it was given back before.
    """

    number: int
    until: float


_NOTHING = Granted(0, -math.inf)


class _Pot:
    # Tokens of one account at one instance: what a root kept, and batches
    # of ``[number, monotonic seconds until which they may be used, whether a
    # request has held them]``.

    def __init__(self, quota, node):
        self.quota = quota
        self.node = node
        self.kept = 0.0
        self.has_begun = False
        self.seen = node.total
        self.batches = []
        # Tokens that lapsed, for the root.
        self.back = 0
        # Tokens of rejected requests that may still come back: one for each
        # request that ran.
        self.may_return = 0
        self.waiters = collections.deque()
        self.asked = None
        self.closed_until = 0.0
        self.return_at = 0.0
        self.demand = 0.0
        self.counted_at = 0.0

    def demand_at(self, now):
        passed = max(now - self.counted_at, 0.0)
        return self.demand * math.exp(-passed / DEMAND_S)

    def count(self, number, now):
        self.demand = self.demand_at(now) + number / DEMAND_S
        self.counted_at = now

    def held(self, now):
        if any(item[1] <= now for item in self.batches):
            self._lapse([item for item in self.batches if item[1] <= now])
            self.batches = [item for item in self.batches if item[1] > now]
        return sum(item[0] for item in self.batches)

    def _lapse(self, old):
        # While upstreams reject everything, the root goes on earning. If the
        # tokens of rejected requests all came back too, their number would
        # grow, and all would be used at the end. So one comes back for each
        # request that runs.
        taken = sum(number for number, _, was_taken in old if was_taken)
        again = min(taken, max(self.may_return, 0))
        self.may_return -= again
        self.back += again
        self.back += sum(number for number, _, was_taken in old) - taken

    def spend(self, number):
        # Returns until when the oldest of the tokens may be used.
        until = min(item[1] for item in self.batches)
        while number:
            used = min(number, self.batches[0][0])
            self.batches[0][0] -= used
            number -= used
            if not self.batches[0][0]:
                self.batches.pop(0)
        return until

    def add(self, number, until, was_taken):
        # The ones that lapse first are spent first.
        self.batches.append([number, until, was_taken])
        self.batches.sort(key=operator.itemgetter(1))


class _Ask(typing.NamedTuple):
    number: int
    account: str
    wanted: int
    at: float


class _Node:
    # One instance's place in one order.

    def __init__(self, now):
        # Share-seconds turned into tokens here, and those to be passed on.
        self.total = 0.0
        self.pending = 0.0
        self.own_at = now
        self.room = 0.0
        self.room_at = now
        self.weight = 0.0
        self.near = ()
        self.far = ()
        self.parent = None


class QuotaShare:
    """One instance's part in the quotas of all accounts.

    Args:
        own: id of the instance.
        region: its region.
        bounds: the :class:`Bounds`.
        rng: random source.
        send: ``send(id, message)``, which may fail silently.
        now: monotonic seconds.
    """

    def __init__(self, own, region, bounds, rng, send, now):
        self.bounds = bounds
        self._own = own
        self._region = region
        self._rng = rng
        self._send = send
        self._boot = rng.getrandbits(48)
        self._size = fleet_size.FleetSize(bounds.window_s, 1)
        self._pots = {}
        self._nodes = [_Node(now) for _ in range(SHARDS)]
        self._used = set()
        self._heard = {}
        self._stamps = {}
        self._seen = {}
        self._asks = {}
        # Asks of others: None, or the answer, which a repeated one gets again.
        self._answers = collections.OrderedDict()
        # A process that restarts does not use the numbers of the former one.
        self._number = rng.getrandbits(40)
        self._ticked_at = now
        self._gifts_at = now
        self._young = set()
        self._granted = 0
        self._old_at = math.inf

    # What is known.

    def on_quotas(self, quotas, now):
        """Use the quotas in force: ``{account: Quota}``, limited ones only."""
        for name in [name for name in self._pots if name not in quotas]:
            pot = self._pots.pop(name)
            waiters, pot.waiters = list(pot.waiters), collections.deque()
            for _, wanted, done in waiters:
                done(wanted, 0.0, now)
        for name, quota in quotas.items():
            pot = self._pots.get(name)
            if pot is None:
                self._pots[name] = _Pot(quota, self._nodes[shard(name)])
            elif pot.quota != quota:
                self._accrue(pot, now)
                pot.quota = quota
                pot.closed_until = 0.0
                until = now + self.bounds.hold_s(quota)
                pot.batches = [
                    [number, min(end, until), was_taken]
                    for number, end, was_taken in pot.batches
                ]
                self._accrue(pot, now)
        self._used = {shard(name) for name in self._pots}

    def on_members(self, regions, now):
        """Use the members in force: ``{id: region}``."""
        self._size.on_members(regions, now)
        self._old_at = min(self._old_at, now + YOUNG_S)
        for number, node in enumerate(self._nodes):
            by_region = {}
            for name, region in regions.items():
                by_region.setdefault(region, []).append(name)

            def rank(name, number=number):
                return _rank(number, name)

            peers = {self._own, *by_region.get(self._region, ())}
            near = sorted(peers, key=rank)
            near = _before(near, near.index(self._own))
            order = sorted({self._region, *by_region}, key=rank)
            far = []
            for region in order[: order.index(self._region)]:
                names = sorted(by_region[region], key=rank)
                far += names[:REMOTE_CANDIDATES]
            node.near, node.far = near, tuple(far)
        for table in (self._heard, self._stamps, self._seen):
            for name in [name for name in table if name not in regions]:
                del table[name]

    def is_limited(self, account):
        """Return whether an account has a quota."""
        return account in self._pots

    def is_root(self, account):
        """Return whether this instance grants the account's tokens."""
        return self._pots[account].node.parent is None

    def state(self, account, now):
        """Return what a log says of an account's tokens here, as a dict."""
        pot = self._pots[account]
        return {
            'granted_by': pot.node.parent or self._own,
            'held': pot.held(now),
            'closed_s': round(max(pot.closed_until - now, 0.0), 3),
        }

    def totals(self):
        """Return ``{gauge name: value}`` over all accounts."""
        return {
            'quota_accounts_granted_here': sum(
                pot.node.parent is None for pot in self._pots.values()
            ),
            'quota_tokens_granted': self._granted,
            'quota_requests_waiting': sum(
                len(pot.waiters) for pot in self._pots.values()
            ),
        }

    def on_down(self, name, now):
        """Use another instance at once: the link to this one closed."""
        if self._heard.pop(name, None) is None:
            return
        self._stamps.pop(name, None)
        for number in self._used:
            node = self._nodes[number]
            if node.parent == name:
                self._find_parent(node, number, now)
        for ask in list(self._asks.values()):
            # A send may fail at once and close the next link.
            if ask.number not in self._asks:
                continue
            pot = self._pots.get(ask.account)
            if pot is not None and pot.node.parent is None:
                del self._asks[ask.number]
                pot.asked = None
                self._serve(pot, now, RETURN_MIN_S)
            elif pot is not None:
                self._send_ask(ask, pot.node.parent)

    # Time.

    def on_tick(self, now):
        """Give what was owned since the last tick, and find instances."""
        if now - self._ticked_at > PAUSED_S:
            self._on_pause(now)
        self._ticked_at = now
        if now >= self._gifts_at:
            # A tick may come a little early.
            self._gifts_at = now + GIFT_EVERY_S - TICK_S / 2
            self._give(now)
        self._repeat(now)

    def _give(self, now):
        for number in self._used:
            node = self._nodes[number]
            self._find_parent(node, number, now)
            self._own_part(node, now)
            if node.parent is None:
                self._turn(node)
            else:
                back = self._returned(node, now)
                self._gift(node.parent, number, node.pending, now, back)
                node.pending = 0.0

    def _repeat(self, now):
        for ask in list(self._asks.values()):
            if ask.number not in self._asks:
                continue
            pot = self._pots.get(ask.account)
            if pot is None or pot.asked != ask.number:
                del self._asks[ask.number]
            elif now - ask.at >= ASK_S:
                del self._asks[ask.number]
                pot.asked = None
                self._serve(pot, now, RETURN_MIN_S)
            elif now - ask.at >= REPEAT_S and pot.node.parent is not None:
                self._send_ask(ask, pot.node.parent)

    def _on_pause(self, now):
        # Others may have used its part meanwhile.
        for node in self._nodes:
            node.own_at = now
            node.pending = node.weight = 0.0
            node.room_at, node.room = now, 0.0
        for pot in self._pots.values():
            pot.kept = 0.0
        self._heard.clear()
        self._stamps.clear()

    def _find_parent(self, node, number, now):
        # One that has just started is taken only if this one has, too.
        node.parent = None
        young = now < self._old_at
        for name in node.near + node.far:
            if now - self._heard.get(name, -SILENT_S) < SILENT_S:
                if young or name not in self._young:
                    node.parent = name
                    return
            # It may be back.
            if self._rng.random() < TRY_CHANCE:
                self._gift(name, number, 0.0, now)

    def _own_part(self, node, now):
        part = self._size.instance_share(self._own, 0.0, now)
        passed = min(max(now - node.own_at, 0.0), 2 * GIFT_EVERY_S)
        node.own_at = now
        self._add(node, part * passed, now)

    def _add(self, node, gift, now):
        # No node gets more than the whole.
        passed = max(now - node.room_at, 0.0)
        node.room = min(node.room + passed, GIFT_BURST_S)
        node.room_at = now
        gift = min(gift, node.room)
        node.room -= gift
        fade = math.exp(-passed / DEMAND_S)
        node.weight = min(node.weight * fade + gift / DEMAND_S, 1.0)
        node.pending += gift
        if node.parent is None:
            self._turn(node)

    @staticmethod
    def _turn(node):
        node.total += node.pending
        node.pending = 0.0

    def _returned(self, node, now):
        back = {}
        for name, pot in self._pots.items():
            if pot.node is not node:
                continue
            pot.held(now)
            # What it kept as a root goes on to the next one.
            whole = int(pot.kept)
            pot.kept -= whole
            pot.back += whole
            if pot.back:
                back[name], pot.back = pot.back, 0
        return back

    def _gift(self, name, number, gift, now, back=None):
        message = {
            'type': 'quota_gift',
            'shard': number,
            'gift': round(gift, 6),
            'at': now,
            'boot': self._boot,
            'echo': self._stamps.get(name),
        }
        if back:
            message['back'] = back
        self._send(name, message)

    def _accrue(self, pot, now):
        total = pot.node.total
        if now >= self._old_at:
            rate = self.bounds.granted_rate(pot.quota)
            pot.kept += rate * (total - pot.seen)
            if not pot.has_begun:
                pot.has_begun = True
                room = self.bounds.room(pot.quota)
                pot.kept += START_FRACTION * room * pot.node.weight
        pot.seen = total
        pot.kept += pot.back
        pot.back = 0
        pot.kept = min(pot.kept, self._cap(pot))

    def _cap(self, pot):
        return self.bounds.kept(pot.quota) * pot.node.weight

    # Messages.

    def on_message(self, sender, message, now):
        """Apply a message of another instance.

        Raises:
            LookupError, TypeError, ValueError: it has another form.
        """
        kind = message['type']
        if kind == 'quota_gift':
            self._on_gift(sender, message, now)
        elif kind == 'quota_ack':
            if message['boot'] != self._boot:
                return
            if now - float(message['echo']) < SILENT_S:
                self._heard[sender] = now
                self._stamps[sender] = message['at']
                self._young.discard(sender)
                if message.get('young'):
                    self._young.add(sender)
        elif kind == 'quota_ask':
            self._on_ask(sender, message, now)
        elif kind == 'quota_grant':
            self._on_grant(sender, message, now)

    def _on_gift(self, sender, message, now):
        number, gift = int(message['shard']), float(message['gift'])
        back = message.get('back', {})
        if not math.isfinite(gift):
            raise ValueError('gift is not finite')
        if not all(
            type(count) is int and count >= 0 for count in back.values()
        ):
            raise ValueError('back holds something else than counts')
        sent_at, boot = float(message['at']), message['boot']
        node = self._nodes[number % SHARDS]
        stamp = (number, boot, sent_at)
        seen = self._seen.setdefault(
            sender, collections.deque(maxlen=GIFTS_SEEN)
        )
        if stamp in seen:
            return
        seen.append(stamp)
        echo = message.get('echo')
        if echo is not None and echo[0] == self._boot:
            if now - echo[1] < GIFT_AGE_MAX_S:
                self._add(node, min(max(gift, 0.0), 1.0), now)
                self._take_back(back, now)
        self._send(
            sender,
            {
                'type': 'quota_ack',
                'boot': boot,
                'echo': sent_at,
                'at': [self._boot, now],
                'young': now < self._old_at,
            },
        )

    def _take_back(self, back, now):
        for name, number in back.items():
            pot = self._pots.get(name)
            if pot is None:
                continue
            if pot.node.parent is None:
                self._accrue(pot, now)
                pot.kept = min(pot.kept + int(number), self._cap(pot))
            else:
                pot.back += int(number)

    def _on_ask(self, sender, message, now):
        number = message['number']
        key = (sender, number)
        if key in self._answers:
            if self._answers[key] is not None:
                self._send(sender, self._answers[key])
            return
        self._answers[key] = None
        while len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)

        def done(granted, wait_s, at):
            answer = {
                'type': 'quota_grant',
                'number': number,
                'granted': granted.number,
                'wait': round(wait_s, 3),
                'waited': max(at - now, 0.0),
            }
            if key in self._answers:
                self._answers[key] = answer
            self._send(sender, answer)

        wanted = max(int(message['wanted']), 1)
        self._request(str(message['account']), wanted, now, done)

    def _on_grant(self, sender, message, now):
        granted, wait_s = int(message['granted']), float(message['wait'])
        waited_s = float(message['waited'])
        ask = self._asks.pop(message['number'], None)
        pot = self._pots.get(ask.account) if ask else None
        if pot is None or pot.asked != ask.number:
            return
        pot.asked = None
        if granted > 0:
            far = sender in pot.node.far
            granted_at = min(ask.at + waited_s, now)
            until = granted_at + self.bounds.hold_s(pot.quota, far)
            pot.add(granted, until, False)
        if not granted:
            closed_s = min(max(wait_s, CLOSED_MIN_S), CLOSED_MAX_S)
            pot.closed_until = now + closed_s
            pot.return_at = now + min(wait_s, RETURN_MAX_S)
        # With a time to wait, the root has no more for those that asked.
        since = ask.at if wait_s else now - ASK_S
        self._serve(pot, now, wait_s, since if granted else now)
        if pot.node.parent is not None:
            self._ask(ask.account, pot, pot.node.parent, now)

    # Tokens.

    def take(self, account, now, done):
        """Ask for the token of one request.

        Args:
            account: name of a limited account.
            now: monotonic seconds.
            done: ``done(seconds, until)``, called once, maybe before this
                returns. The seconds are None if the request may go, else the
                time until its return; ``until`` is for :meth:`give_back`.
        """

        def taken(granted, wait_s, at):
            if granted.number:
                wait_s = None
                pot = self._pots[account]
                pot.may_return = min(pot.may_return + 1, RETURNS_MAX)
            else:
                wait_s = max(wait_s, RETURN_MIN_S)
            done(wait_s, granted.until)

        self._request(account, 1, now, taken)

    def give_back(self, account, until):
        """Take a token back whose request did not run.

        Args:
            account: name of the account.
            until: what :meth:`take` said of the token.
        """
        pot = self._pots.get(account)
        if pot is not None:
            pot.may_return -= 1
            pot.add(1, until, True)

    def _request(self, name, wanted, now, done):
        pot = self._pots.get(name)
        if pot is None:
            done(_NOTHING, RETURN_MIN_S, now)
            return
        granted = self._grant(pot, wanted, now)
        node = pot.node
        if granted.number:
            # A root that grants less than asked has none left.
            short = granted.number < wanted and node.parent is None
            done(granted, self._return_s(pot) if short else 0.0, now)
        elif node.parent is None:
            done(_NOTHING, self._return_s(pot), now)
        elif now < pot.closed_until or len(pot.waiters) >= WAITERS_MAX:
            done(_NOTHING, max(pot.return_at - now, 0.0), now)
        else:
            pot.waiters.append((now, wanted, done))
        if node.parent is not None:
            self._ask(name, pot, node.parent, now)

    def _grant(self, pot, wanted, now):
        granted = self._spend(pot, wanted, now)
        pot.count(granted.number, now)
        return granted

    def _spend(self, pot, wanted, now):
        number = min(wanted, pot.held(now))
        if number:
            return Granted(number, pot.spend(number))
        if pot.node.parent is not None or now - self._ticked_at > PAUSED_S:
            return _NOTHING
        self._accrue(pot, now)
        until = now + self.bounds.hold_s(pot.quota)
        number = min(wanted, int(pot.kept))
        if not number and self._cap(pot) < 1.0:
            # The part of a lone instance never makes a whole token.
            chance, pot.kept = pot.kept, 0.0
            return Granted(int(self._rng.random() < chance), until)
        pot.kept -= number
        self._granted += number
        return Granted(number, until)

    def _return_s(self, pot):
        rate = pot.quota.rate * max(pot.node.weight, 0.01)
        return min(max(1.0 - pot.kept, 0.0) / rate, RETURN_MAX_S)

    def _ask(self, name, pot, parent, now):
        if pot.asked is not None or now < pot.closed_until:
            return
        hold_s = self.bounds.hold_s(pot.quota, parent in pot.node.far)
        ahead = round(pot.demand_at(now) * hold_s * AHEAD_FRACTION)
        waiting = sum(wanted for _, wanted, _ in pot.waiters)
        if not waiting and pot.held(now) >= REFILL_FRACTION * ahead:
            return
        self._number += 1
        ask = _Ask(self._number, name, max(waiting, ahead, 1), now)
        pot.asked = ask.number
        self._asks[ask.number] = ask
        self._send_ask(ask, parent)

    def _send_ask(self, ask, parent):
        self._send(
            parent,
            {
                'type': 'quota_ask',
                'account': ask.account,
                'wanted': ask.wanted,
                'number': ask.number,
            },
        )

    def _serve(self, pot, now, wait_s, since=math.inf):
        # ``since``: those that came later wait on.
        while pot.waiters:
            _, wanted, done = pot.waiters[0]
            granted = self._grant(pot, wanted, now)
            if not granted.number:
                break
            pot.waiters.popleft()
            done(granted, 0.0, now)
        later = [item for item in pot.waiters if item[0] > since]
        early = [item for item in pot.waiters if item[0] <= since]
        pot.waiters = collections.deque(later)
        for _, _, done in early:
            done(_NOTHING, wait_s, now)
