"""Membership table of the fleet and choice of gossip peers.

Members are identified by id. Only a member itself increments its incarnation;
between two entries with the same incarnation the state with the higher value
in :data:`RANKS` wins. An instance that receives a false suspicion of itself
refutes it with a higher incarnation. Each instance monitors only its own
peers. Peers are chosen on hash rings so that every member is monitored by
others, at a cost that does not depend on the size of the fleet.
"""

import bisect
import typing

from jasminehold.decisions import digest
from jasminehold import documents
from jasminehold import errors

JOINING = 'joining'
LIVE = 'live'
SUSPECT = 'suspect'
LEAVING = 'leaving'
GONE = 'gone'
RANKS = {JOINING: 0, LIVE: 1, SUSPECT: 2, LEAVING: 3, GONE: 4}
ACTIVE = frozenset((JOINING, LIVE, SUSPECT, LEAVING))

# An entry takes about 80 bytes on the wire.
MAX_MESSAGE_ENTRIES = 400
# Changes kept for delta exchanges; a peer that missed more is synchronized by
# digest.
MAX_LOG_ENTRIES = 4096
# Incarnations start as a time in milliseconds. Above this value there is no
# higher incarnation left to refute with.
MAX_INCARNATION = 2**53
# Fields of an entry of the platform's list that names a member.
_ENTRY_FIELDS = {
    'id': str,
    'host': str,
    'port': int,
    'place': str,
    'region': str,
}


class Member(typing.NamedTuple):
    """Entry of the membership table.

    Attributes:
        id: instance id.
        incarnation: version of the entry, incremented by the member only.
        state: one of :data:`RANKS`.
        host: IP address of its peer port.
        port: its peer port.
        place: availability zone.
        region: region.
        left: whether the member announced that it stopped.
        caller_host: IP address of the port for callers.
        caller_port: port for callers, 0 when unknown.
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
    """Settings of the membership table; times are in seconds.

    Attributes:
        peer_limit: number of peers when the fleet exceeds ``full_mesh``.
        full_mesh: largest fleet in which every member is a peer.
        suspect_after: time without a message until a peer is suspected.
        gone_after: time for which a member is suspected until it is gone.
        retention: how long gone entries are kept. Regions may be
            partitioned for an hour; entries are kept longer so that both
            sides reconnect without the platform.
        probe_interval: interval between probes of gone members.
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
        own: this instance's :class:`Member`. Its incarnation must be higher
            than in earlier runs with the same id, for example the start time
            in milliseconds.
        cfg: the :class:`MembershipCfg`.
        rng: ``random.Random``.
        now: current time.

    Attributes:
        version: incremented when the set of active members or a member's
            region changes.
        listed: ids in the last list read from the platform.
        listed_at: when that list was read, or None.
    """

    def __init__(self, own, cfg, rng, now):
        self.cfg = cfg
        self.own_id = own.id
        self._rng = rng
        self._members = {}
        self._state_since = {}
        self._expiring = {}
        self._change_log = []
        self._change_log_start = 0
        self._cursors = {}
        self._digest = digest.Digest()
        self._buckets = [{} for _ in range(digest.BUCKET_COUNT)]
        self._ring = []
        self._regions = {}
        self._peers = None
        self.version = 0
        self._last_heard = {}
        self._last_probe = now
        self._false_reports = {}
        self._last_tick = now
        self.listed = frozenset()
        self.listed_at = None
        self._unreported = []
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
        """Return the sorted ids of members that are not gone."""
        if region is not None:
            return sorted(key for _, key in self._regions.get(region, ()))
        return sorted(key for _, key in self._ring)

    def count(self):
        """Return the number of members that are not gone."""
        return len(self._ring)

    def take_changes(self):
        """Return the entries changed since the last call."""
        changed, self._unreported = self._unreported, []
        return changed

    def has_changes(self):
        """Return whether there are changes or false reports to take."""
        return bool(self._unreported or self._false_reports)

    def set_state(self, state, now):
        """Change this instance's own state.

        Args:
            state: ``LIVE``, ``LEAVING``, or ``GONE`` when the instance stops.
            now: current time.
        """
        own = self.own
        self._put(own._replace(state=state, left=state == GONE), now)

    def merge(self, entry, now):
        """Merge an entry received from another instance.

        Args:
            entry: a sequence with the fields of :class:`Member`.
            now: current time.

        Returns:
            True when it changed the table.

        Raises:
            ValueError: when the entry is malformed.
        """
        member = parse_member(entry)
        known = self._members.get(member.id)
        if member.id == self.own_id:
            if known.state == GONE:
                return False
            if _precedence(member) > _precedence(known) or (
                member.incarnation == known.incarnation
                and _address(member) != _address(known)
            ):
                new_incarnation = member.incarnation + 1
                self._put(known._replace(incarnation=new_incarnation), now)
                return True
            return False
        if known is None:
            if member.state == GONE:
                # Adding an unknown member that is already gone would restart
                # its retention time, again and again across the fleet.
                return False
        elif _precedence(member) <= _precedence(known):
            return False
        elif self._is_false_report(member, now):
            self._false_reports[member.id] = member
            return False
        self._put(member, now)
        return True

    def _is_false_report(self, member, now):
        # After a network partition ends, instances of the other side may
        # report a member as lost that still sends messages to this one. The
        # report is forwarded to the member, which refutes it; until then the
        # member stays in use here.
        if member.state not in (SUSPECT, GONE) or member.left:
            return False
        heard = self._last_heard.get(member.id)
        return heard is not None and now - heard <= self.cfg.suspect_after

    def take_false_reports(self):
        """Return the false reports to send, as ``{member id: entry}``."""
        reports, self._false_reports = self._false_reports, {}
        return {key: list(member) for key, member in reports.items()}

    def on_platform_list(self, entries, now):
        """Add unknown members from the platform's list.

        The list lags behind. Its members get incarnation 0, so that it never
        overrides entries published by the members themselves. Entries that
        name no member are skipped.

        Args:
            entries: ``[{"id", "host", "port", "place", "region", ...}]``.
            now: current time.
        """
        entries = [entry for entry in entries if _names_member(entry)]
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
        """Record that a message from a peer was received."""
        if member_id in self._last_heard:
            self._last_heard[member_id] = max(self._last_heard[member_id], now)

    def tick(self, now):
        """Mark silent members as suspect or gone; drop old gone entries."""
        cfg = self.cfg
        if now - self._last_tick > cfg.suspect_after / 2:
            # This instance was paused, so missing messages are no sign that
            # other members failed.
            self._last_heard = dict.fromkeys(self._last_heard, now)
            for key in self._expiring:
                if self._members[key].state == SUSPECT:
                    self._state_since[key] = now
        self._last_tick = now
        # The time-out of a new peer starts when it is chosen.
        self._last_heard = {
            peer: self._last_heard.get(peer, now) for peer in self.peers()
        }
        for peer, heard in self._last_heard.items():
            member = self._members[peer]
            if now - heard > cfg.suspect_after and RANKS[member.state] < 2:
                self._put(member._replace(state=SUSPECT), now)
        for key in list(self._expiring):
            member = self._members[key]
            age = now - self._state_since[key]
            if member.state == GONE:
                if age > cfg.retention and key != self.own_id:
                    self._forget(key)
            elif member.state == SUSPECT and age > cfg.gone_after:
                self._put(member._replace(state=GONE), now)
            elif member.state == LEAVING and key in self._last_heard:
                # A leaving member may take long to finish its requests; it
                # is gone once it sends nothing more to its peers.
                silence_s = now - max(
                    self._last_heard[key], self._state_since[key]
                )
                if silence_s > cfg.suspect_after + cfg.gone_after:
                    self._put(member._replace(state=GONE), now)

    def next_probe(self, now):
        """Return a member outside the peers to contact now, or None.

        A member that is gone without having left may be on the other side of
        a network partition; one of them is probed every ``probe_interval``.
        """
        if now - self._last_probe < self.cfg.probe_interval:
            return None
        self._last_probe = now
        lost = [
            key
            for key in sorted(self._expiring)
            if self._members[key].state == GONE and not self._members[key].left
        ]
        return self._rng.choice(lost) if lost else None

    def peers(self):
        """Return the ids of this instance's regular peers.

        In a fleet of up to ``full_mesh`` members, every member is a peer. In
        a larger one, peers are successors on hash rings: three on the ring of
        the region, two on the ring of the fleet, which keep it connected, and
        the rest at points derived from the instance's id, which keep paths
        short.
        """
        if self._peers is None:
            self._peers = self._choose_peers()
        return self._peers

    def _choose_peers(self):
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
        end = self._change_log_start + len(self._change_log)
        begin = max(self._cursors.get(peer, end), self._change_log_start)
        stop = min(end, begin + MAX_MESSAGE_ENTRIES)
        self._cursors[peer] = stop
        keys = self._change_log[
            begin - self._change_log_start : stop - self._change_log_start
        ]
        return [
            list(self._members[key])
            for key in dict.fromkeys(keys)
            if key in self._members
        ]

    def reset_peer(self, peer):
        """Forget what was sent to a peer; digest exchanges repair the rest."""
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
            reply['changes'] = reply['changes'][:MAX_MESSAGE_ENTRIES]
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
            self._buckets,
            MAX_MESSAGE_ENTRIES,
            lambda keys: [list(self._members[key]) for key in keys],
            self._rng,
        )

    def _merge_all(self, entries, now):
        if len(entries) > 4 * MAX_MESSAGE_ENTRIES:
            raise ValueError('%d member entries' % len(entries))
        for entry in entries:
            self.merge(entry, now)

    def _merge_part(self, index, entries, now):
        seen = {}
        self._merge_all(entries, now)
        for entry in entries:
            seen[entry[0]] = parse_member(entry)
        result = []
        for key in self._buckets[index]:
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
        bucket = digest.bucket_of(key)
        if old is not None and old.state in ACTIVE:
            self._digest.toggle(bucket, _fingerprint(old))
        if member.state in ACTIVE:
            self._digest.toggle(bucket, _fingerprint(member))
        self._members[key] = member
        self._buckets[bucket][key] = True
        if old is None or old.state != member.state:
            self._state_since[key] = now
        if member.state in (SUSPECT, LEAVING, GONE):
            self._expiring[key] = True
        else:
            self._expiring.pop(key, None)
        if old is not None and old.incarnation < member.incarnation:
            # A new incarnation comes from the member itself, so its time-out
            # restarts.
            self.on_heard(key, now)
        self._update_rings(old, member)
        self._change_log.append(key)
        if len(self._change_log) > MAX_LOG_ENTRIES:
            drop = MAX_LOG_ENTRIES // 4
            del self._change_log[:drop]
            self._change_log_start += drop
        self._unreported.append(member)

    def _update_rings(self, old, new):
        was_active = old is not None and old.state in ACTIVE
        is_active = new is not None and new.state in ACTIVE
        if was_active and is_active and old.region == new.region:
            return
        position = (digest.stable_hash((old or new).id), (old or new).id)
        if was_active:
            _remove(self._ring, position)
            _remove(self._regions[old.region], position)
            if not self._regions[old.region]:
                del self._regions[old.region]
        if is_active:
            bisect.insort(self._ring, position)
            bisect.insort(self._regions.setdefault(new.region, []), position)
        self._peers = None
        self.version += 1

    def _forget(self, key):
        del self._members[key]
        del self._state_since[key]
        del self._expiring[key]
        self._last_heard.pop(key, None)
        self._buckets[digest.bucket_of(key)].pop(key, None)


def parse_member(entry):
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


def _precedence(member):
    return member.incarnation, RANKS[member.state], member.left


def _address(member):
    return member.host, member.port, member.place, member.region


def _fingerprint(member):
    return digest.stable_hash(member.id, member.incarnation, member.state)


def _successors(ring, start, number):
    begin = bisect.bisect_left(ring, (start, ''))
    for offset in range(min(number, len(ring))):
        yield ring[(begin + offset) % len(ring)][1]


def _remove(ring, position):
    index = bisect.bisect_left(ring, position)
    del ring[index]


def _names_member(entry):
    try:
        documents.check(entry, _ENTRY_FIELDS)
    except errors.UnreadableDocument:
        return False
    return 0 < entry['port'] < 65536
