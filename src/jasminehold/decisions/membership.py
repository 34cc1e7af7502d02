"""Members of the fleet, their states, and which of them to talk to.

A member is known by id. Only the member itself raises its incarnation; of two
entries with the same incarnation the later state in :data:`RANKS` wins. An
instance that reads a false suspicion of itself answers with a higher
incarnation. Each instance watches only its own peers, and peers are chosen on
rings of hashes so that every member is watched by others; the cost of watching
does not depend on the size of the fleet.
"""

import bisect
import typing

from jasminehold.decisions import digest

JOINING = 'joining'
LIVE = 'live'
SUSPECT = 'suspect'
LEAVING = 'leaving'
GONE = 'gone'
RANKS = {JOINING: 0, LIVE: 1, SUSPECT: 2, LEAVING: 3, GONE: 4}
ACTIVE = frozenset((JOINING, LIVE, SUSPECT, LEAVING))

# Entries of one message; an entry takes about 80 bytes.
MAX_ENTRIES = 400
# Changes kept for delta exchanges; a peer further behind uses the digest.
MAX_LOG = 4096
# An incarnation is a time in milliseconds. A larger one cannot be refuted.
MAX_INCARNATION = 2**53


class Member(typing.NamedTuple):
    """One member.

    Attributes:
        id: instance id.
        incarnation: raised by the member only.
        state: one of :data:`RANKS`.
        host: IP address of its peer port.
        port: its peer port.
        place: its place.
        region: its region.
        left: whether it announced its own end.
        caller_host: IP address of its callers' port.
        caller_port: its callers' port, 0 when unknown.
    """

    id: str
    incarnation: int
    state: str
    host: str
    port: int
    place: str
    region: str
    left: bool = False
    caller_host: str = ''
    caller_port: int = 0


class MembershipCfg(typing.NamedTuple):
    """Settings, in seconds and counts.

    Attributes:
        peer_limit: regular peers when the fleet exceeds ``full_mesh``.
        full_mesh: largest fleet in which everyone is a peer.
        suspect_after: silence of a peer until it is suspected.
        gone_after: suspicion until a member counts as gone.
        retention: how long gone entries are kept; longer than the hour for
            which regions may lose contact, so that both sides find each
            other again without the platform.
        probe_interval: how often one gone member is tried again.
    """

    peer_limit: int = 8
    full_mesh: int = 16
    suspect_after: float = 5.0
    gone_after: float = 10.0
    retention: float = 7200.0
    probe_interval: float = 5.0


class Membership:
    """Table of members at one instance.

    Args:
        own: this instance's :class:`Member`. The incarnation must be higher
            than in earlier runs under the same id; the start time in
            milliseconds serves.
        cfg: the :class:`MembershipCfg`.
        rng: ``random.Random``.
        now: current time.

    Attributes:
        version: raised when a member becomes active or ceases to be.
        listed: ids in the platform's list when it was last read.
        listed_at: when that was, or None.
    """

    def __init__(self, own, cfg, rng, now):
        self.cfg = cfg
        self.own_id = own.id
        self._rng = rng
        self._members = {}
        self._since = {}
        self._timed = {}
        self._log = []
        self._log_start = 0
        self._cursors = {}
        self._digest = digest.Digest()
        self._parts = [{} for _ in range(digest.PARTS)]
        self._ring = []
        self._regions = {}
        self._peers = None
        self.version = 0
        self._heard = {}
        self._probed_at = now
        self._claims = {}
        self._ticked_at = now
        self.listed = frozenset()
        self.listed_at = None
        self._changed = []
        self._put(own, now)

    @property
    def own(self):
        """This instance's entry."""
        return self._members[self.own_id]

    @property
    def total(self):
        """Digest of all entries that are not gone."""
        return self._digest.total

    def get(self, member_id):
        """Return a :class:`Member`, or None."""
        return self._members.get(member_id)

    def all(self):
        """Return all known members, including gone ones."""
        return list(self._members.values())

    def active(self, region=None):
        """Return the ids of members that are not gone, in order of id."""
        if region is not None:
            return sorted(key for _, key in self._regions.get(region, ()))
        return sorted(key for _, key in self._ring)

    def count(self):
        """Return the number of members that are not gone."""
        return len(self._ring)

    def take_changes(self):
        """Return the entries changed since the last call."""
        changed, self._changed = self._changed, []
        return changed

    def has_changes(self):
        """Return whether changes or claims wait to be taken."""
        return bool(self._changed or self._claims)

    def set_state(self, state, now):
        """Change this instance's own state.

        Args:
            state: ``LIVE``, ``LEAVING``, or ``GONE`` for the last message.
            now: current time.
        """
        own = self.own
        self._put(own._replace(state=state, left=state == GONE), now)

    def merge(self, entry, now):
        """Take one entry from another instance.

        Args:
            entry: a sequence with the fields of :class:`Member`.
            now: current time.

        Returns:
            True when it changed the table.

        Raises:
            ValueError: when the entry is malformed.
        """
        member = parse(entry)
        known = self._members.get(member.id)
        if member.id == self.own_id:
            if known.state == GONE:
                return False
            if _order(member) > _order(known) or (
                member.incarnation == known.incarnation
                and _address(member) != _address(known)
            ):
                raised = member.incarnation + 1
                self._put(known._replace(incarnation=raised), now)
                return True
            return False
        if known is None:
            if member.state == GONE:
                # A stranger that is already gone needs no entry, and taking
                # one would extend its retention for ever.
                return False
        elif _order(member) <= _order(known):
            return False
        elif self._contradicts(member, now):
            self._claims[member.id] = member
            return False
        self._put(member, now)
        return True

    def _contradicts(self, member, now):
        # Someone behind a cut that just ended may report a member as lost
        # that this instance hears. The member gets the claim and refutes it,
        # and meanwhile stays in use here.
        if member.state not in (SUSPECT, GONE) or member.left:
            return False
        heard = self._heard.get(member.id)
        return heard is not None and now - heard <= self.cfg.suspect_after

    def take_false_reports(self):
        """Return false claims as ``{member id: entry}`` to send to them."""
        claims, self._claims = self._claims, {}
        return {key: list(member) for key, member in claims.items()}

    def on_platform_list(self, entries, now):
        """Take the platform's lagging list.

        The list only adds members that are unknown, with incarnation 0, so
        that it never overrides what members say of themselves.

        Args:
            entries: ``[{"id", "host", "port", "place", "region", ...}]``.
            now: current time.
        """
        self.listed = frozenset(entry['id'] for entry in entries)
        self.listed_at = now
        for entry in entries:
            if (
                entry['id'] in self._members
                or entry.get('state', 'live') != 'live'
            ):
                continue
            self._put(
                Member(
                    entry['id'],
                    0,
                    JOINING,
                    entry['host'],
                    entry['port'],
                    entry['place'],
                    entry['region'],
                ),
                now,
            )

    def on_heard(self, member_id, now):
        """Note the time at which a peer was last heard."""
        if member_id in self._heard:
            self._heard[member_id] = max(self._heard[member_id], now)

    def tick(self, now):
        """Apply time-outs."""
        cfg = self.cfg
        if now - self._ticked_at > cfg.suspect_after / 2:
            # This instance was paused; what it missed says nothing about
            # the others.
            self._heard = dict.fromkeys(self._heard, now)
            for key in self._timed:
                if self._members[key].state == SUSPECT:
                    self._since[key] = now
        self._ticked_at = now
        # A peer counts as heard when it is first chosen.
        self._heard = {
            peer: self._heard.get(peer, now) for peer in self.peers()
        }
        for peer, heard in self._heard.items():
            member = self._members[peer]
            if now - heard > cfg.suspect_after and RANKS[member.state] < 2:
                self._put(member._replace(state=SUSPECT), now)
        for key in list(self._timed):
            member = self._members[key]
            age = now - self._since[key]
            if member.state == GONE:
                if age > cfg.retention and key != self.own_id:
                    self._forget(key)
            elif member.state == SUSPECT and age > cfg.gone_after:
                self._put(member._replace(state=GONE), now)
            elif member.state == LEAVING and key in self._heard:
                # A leaving member may finish requests for a long time; it
                # is gone when those who watch it hear nothing more.
                quiet = now - max(self._heard[key], self._since[key])
                if quiet > cfg.suspect_after + cfg.gone_after:
                    self._put(member._replace(state=GONE), now)

    def next_probe(self, now):
        """Return a member outside the peers to contact now, or None.

        Members that ended without leaving may be behind a cut; one of them
        is tried every ``probe_interval``.
        """
        if now - self._probed_at < self.cfg.probe_interval:
            return None
        self._probed_at = now
        lost = [
            key
            for key in sorted(self._timed)
            if self._members[key].state == GONE and not self._members[key].left
        ]
        return self._rng.choice(lost) if lost else None

    def peers(self):
        """Return the ids of this instance's regular peers.

        Up to ``full_mesh`` members everyone is a peer. Beyond that they are
        successors on rings of hashes: three on the region's ring, two on the
        fleet's, which keeps it connected, and the rest at points derived from
        the own id, which keeps paths short.
        """
        if self._peers is None:
            self._peers = self._choose()
        return self._peers

    def _choose(self):
        if len(self._ring) <= self.cfg.full_mesh:
            return [key for _, key in self._ring if key != self.own_id]
        own = digest.stable_hash(self.own_id)
        region = self._regions.get(self.own.region, [])
        chosen = {}
        for ring, start, number in (
            (region, own, 3),
            (self._ring, own, 2),
        ):
            for key in _successors(ring, start, number + 1):
                if key != self.own_id:
                    chosen[key] = True
        point = 0
        while len(chosen) < self.cfg.peer_limit and point < 64:
            start = digest.stable_hash(self.own_id, point)
            for key in _successors(self._ring, start, 1):
                outside = self._members[key].region != self.own.region
                if key != self.own_id and (outside or point >= 32):
                    chosen[key] = True
            point += 1
        return list(chosen)

    # Exchanges

    def changes_for(self, peer):
        """Return the entries changed since the last call for this peer."""
        end = self._log_start + len(self._log)
        begin = max(self._cursors.get(peer, end), self._log_start)
        stop = min(end, begin + MAX_ENTRIES)
        self._cursors[peer] = stop
        keys = self._log[begin - self._log_start : stop - self._log_start]
        return [
            list(self._members[key])
            for key in dict.fromkeys(keys)
            if key in self._members
        ]

    def reset_peer(self, peer):
        """Forget what was sent to a peer; the digest repairs the rest."""
        self._cursors.pop(peer, None)

    def exchange(self, peer):
        """Return the membership part of an exchange with a peer."""
        part = {'sum': self._digest.total}
        changes = self.changes_for(peer)
        if changes:
            part['changes'] = changes
        return part

    def on_exchange(self, peer, part, now):
        """Handle the membership part of an exchange and return the reply."""
        self._merge_all(part.get('changes', ()), now)
        reply = {}
        for index, entries in part.get('parts', {}).items():
            reply.setdefault('changes', []).extend(
                self._merge_part(int(index), entries, now)
            )
        if 'changes' in reply:
            reply['changes'] = reply['changes'][:MAX_ENTRIES]
        else:
            changes = self.changes_for(peer)
            if changes:
                reply['changes'] = changes
        if part.get('sum') != self._digest.total:
            reply['sums'] = list(self._digest.sums)
        return reply

    def on_reply(self, part, now):
        """Handle a reply.

        Returns:
            The part of a follow-up exchange, or None when nothing differs.
        """
        self._merge_all(part.get('changes', ()), now)
        if 'sums' not in part:
            return None
        return self._digest.follow_up(
            part['sums'],
            self._parts,
            MAX_ENTRIES,
            lambda keys: [list(self._members[key]) for key in keys],
            self._rng,
        )

    def _merge_all(self, entries, now):
        if len(entries) > 4 * MAX_ENTRIES:
            raise ValueError('%d member entries' % len(entries))
        for entry in entries:
            self.merge(entry, now)

    def _merge_part(self, index, entries, now):
        seen = {}
        self._merge_all(entries, now)
        for entry in entries:
            seen[entry[0]] = parse(entry)
        result = []
        for key in self._parts[index]:
            member = self._members[key]
            if member != seen.get(key):
                result.append(list(member))
        return result

    # Table

    def _put(self, member, now):
        key = member.id
        old = self._members.get(key)
        if old == member:
            return
        part = digest.part_of(key)
        if old is not None and old.state in ACTIVE:
            self._digest.toggle(part, _fingerprint(old))
        if member.state in ACTIVE:
            self._digest.toggle(part, _fingerprint(member))
        self._members[key] = member
        self._parts[part][key] = True
        if old is None or old.state != member.state:
            self._since[key] = now
        if member.state in (SUSPECT, LEAVING, GONE):
            self._timed[key] = True
        else:
            self._timed.pop(key, None)
        if old is not None and old.incarnation < member.incarnation:
            # The member has spoken since; its silence is counted anew.
            self.on_heard(key, now)
        self._place(old, member)
        self._log.append(key)
        if len(self._log) > MAX_LOG:
            drop = MAX_LOG // 4
            del self._log[:drop]
            self._log_start += drop
        self._changed.append(member)

    def _place(self, old, new):
        was = old is not None and old.state in ACTIVE
        now_active = new is not None and new.state in ACTIVE
        if was and now_active and old.region == new.region:
            return
        spot = (digest.stable_hash((old or new).id), (old or new).id)
        if was:
            _remove(self._ring, spot)
            _remove(self._regions[old.region], spot)
            if not self._regions[old.region]:
                del self._regions[old.region]
        if now_active:
            bisect.insort(self._ring, spot)
            bisect.insort(self._regions.setdefault(new.region, []), spot)
        self._peers = None
        self.version += 1

    def _forget(self, key):
        del self._members[key]
        del self._since[key]
        del self._timed[key]
        self._heard.pop(key, None)
        self._parts[digest.part_of(key)].pop(key, None)


def parse(entry):
    """Return the :class:`Member` of a received entry.

    Raises:
        ValueError: when a field is missing or of another type.
    """
    if len(entry) != len(Member._fields):
        raise ValueError('member entry has %d fields' % len(entry))
    member = Member(*entry)
    texts = (member.id, member.host, member.place, member.region)
    if (
        not all(isinstance(t, str) and 0 < len(t) <= 128 for t in texts)
        or not isinstance(member.incarnation, int)
        or not 0 <= member.incarnation < MAX_INCARNATION
        or not isinstance(member.port, int)
        or not isinstance(member.caller_host, str)
        or not isinstance(member.caller_port, int)
        or member.state not in RANKS
        or not isinstance(member.left, bool)
    ):
        raise ValueError('malformed member entry')
    return member


def _order(member):
    return member.incarnation, RANKS[member.state], member.left


def _address(member):
    return member.host, member.port, member.place, member.region


def _fingerprint(member):
    return digest.stable_hash(member.id, member.incarnation, member.state)


def _successors(ring, start, number):
    begin = bisect.bisect_left(ring, (start, ''))
    for offset in range(min(number, len(ring))):
        yield ring[(begin + offset) % len(ring)][1]


def _remove(ring, spot):
    index = bisect.bisect_left(ring, spot)
    del ring[index]
