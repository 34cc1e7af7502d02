"""Local replica of the store's keys, with its revision and age.

It is updated from this instance's reads and from those of its peers. A
value is replaced only by one of a higher revision.

The store may come back from a copy that is some seconds old. It then has a
higher era, and gives revisions out again. Facts are ordered by era and
revision; what the replica knew and the store lost is kept until its writers
had time to write it again.
"""

import typing

# Time for which keys without a lease that a new era lacks are kept: the
# operator writes them again, and does not say when it has.
LOST_KEEP_S = 5.0
# Time after which a leased key of a new era that nobody wrote again must have
# been renewed: entries lapse after three missed heartbeats, 4.5 s.
ACCEPT_AFTER_S = 5.0
# Time for which an instance that starts waits for a peer that confirms its
# first list: some round trips to another region and a read by that peer.
FIRST_LIST_WAIT_S = 0.6


class Item(typing.NamedTuple):
    """A key and its value; ``value`` is None when the key was deleted."""

    key: str
    value: bytes
    revision: int


class Kept(typing.NamedTuple):
    """What a replica knows beyond the store's list, for one that starts.

    Attributes:
        lost: ``(Item, seconds left)`` of keys without a lease that the era
            lacks or has with a former value.
        lapsed: items whose leases lapsed.
        lapsed_s: seconds left for these.
        unconfirmed: ``(key, revision)`` of the era's items that do not count.
        accept_s: seconds after which leased ones of these count.
        confirmed: whether the replica knows all that the store lost.
        denies_in_s: seconds until what the replica lacks does not exist.
    """

    lost: list
    lapsed: list
    lapsed_s: float
    unconfirmed: list
    accept_s: float
    confirmed: bool
    denies_in_s: float


def settled_value(era):
    """Return the value of the key that tells of a settled era."""
    return b'%d' % era


class StoreReplica:
    """Local replica of the store's keys.

    Leases can lapse during an outage of the store although the owners of
    their keys are alive. Leased keys that are missing after an outage are
    kept for a grace period in which the owners can write them again.

    Args:
        leased: tuple of prefixes of the keys that are attached to leases.
        return_s: grace period for lapsed keys after an outage, in seconds.
        outage_s: age of the replica, in seconds, that counts as an outage.
        rewritten: tuple of prefixes of the other keys that their writers write
            again after a new era began.
        settled_key: key whose value is the era, in decimal digits, that is old
            enough for all writers to have written again.

    Attributes:
        items: ``{key: Item}`` of the keys that exist.
        era: era of the store that the replica corresponds to.
        revision: revision of the store that the replica corresponds to.
        as_of: monotonic seconds at which the replica was current, None
            before the first read.
        proven_as_of: monotonic seconds of a moment up to which the replica
            certainly has all that was acknowledged, None if there is none.
            In a new era it stays until all was written again.
        steady_since: monotonic seconds since which there was no outage.
    """

    def __init__(
        self, leased, return_s, outage_s, rewritten=(), settled_key=''
    ):
        self.items = {}
        self.era = 0
        self.revision = 0
        self.as_of = None
        self.steady_since = 0.0
        self._leased_prefixes = leased
        self.proven_as_of = None
        self._return_s = return_s
        self._outage_s = outage_s
        self._lapsed_drop_at = None
        self._lapsed = set()
        self._rewritten_prefixes = rewritten
        self._settled_key = settled_key
        # Keys without a lease that a new era lacks, and until when they are
        # kept.
        self._lost_until = {}
        # Items without a lease that a new era has with another value, and
        # until when they are kept.
        self._superseded = {}
        # Items that a new era has and the replica had not: they may have been
        # deleted before. They count once they are written again.
        self._unconfirmed = {}
        self._accept_at = None
        self._in_force_at = None
        self._confirmed_at = None
        self._may_deny_at = None
        self._was_behind = False

    def age(self, now):
        """Return the age of the replica in seconds, infinite before a read."""
        return float('inf') if self.as_of is None else now - self.as_of

    def proven_age(self, now):
        """Return the seconds since :attr:`proven_as_of`, or infinite."""
        if self.proven_as_of is None:
            return float('inf')
        return now - self.proven_as_of

    def would_prove(self, now):
        """Return whether a read that is sent now proves its moment."""
        return self.may_deny(now) or self._knows_settled()

    def forget_age(self):
        """Treat the age as unknown until the next read."""
        self.as_of = self.proven_as_of = None

    def add_age(self, seconds):
        """Count time for which the monotonic clock stood still."""
        if self.as_of is not None:
            self.as_of -= seconds
        if self.proven_as_of is not None:
            self.proven_as_of -= seconds

    def may_deny(self, now):
        """Return whether what the replica lacks does not exist.

        Until the writers have written again, the store may lack what was
        written last before it went back, and no replica need have read it.
        """
        return self._may_deny_at is not None and now >= self._may_deny_at

    def is_confirmed(self, now):
        """Return whether the replica tells others what the store lost.

        The store may have gone back shortly before the first list was read.
        What it lost is then known to peers, or written again in time.
        """
        return self._confirmed_at is not None and now >= self._confirmed_at

    def in_force_in_s(self, now):
        """Return the seconds until a first list is in force at the latest.

        It is in force earlier if a peer confirms it.
        """
        return max(self._in_force_at - now, 0.0)

    def needs_settling(self, now):
        """Return whether the store lacks the news that its era is settled."""
        if not self.may_deny(now) or self.age(now) > self._outage_s:
            return False
        return not self._is_settled(self.items.values(), self.era)

    def superseded(self, key):
        """Return the item of a former era that a key had, or None."""
        found = self._superseded.get(key)
        return found and found[0]

    def lapsed_drop_in_s(self, now):
        """Return the seconds until lapsed keys are dropped, or None."""
        if self._lapsed_drop_at is None:
            return None
        return max(self._lapsed_drop_at - now, 0.0)

    def replace(self, items, revision, as_of, now, era=0, proven=None):
        """Replace the content by a complete list of the store's items.

        Args:
            items: list of :class:`Item`.
            revision: the store's revision before the list was read.
            as_of: monotonic seconds at which the read was sent.
            now: monotonic seconds.
            era: the store's era when the list was read.
            proven: monotonic seconds before which the read was certainly not
                sent, None for ``as_of``.

        Returns:
            Set of the keys that changed.
        """
        if (era, revision) < (self.era, self.revision):
            return set()
        proven = as_of if proven is None else proven
        if era > self.era and self.revision:
            changed = self._begin_era(items, revision, as_of, now, era)
            self._prove(proven)
            return changed
        self.era = era
        if self._in_force_at is None:
            settled = self._is_settled(items, era)
            wait_s = 0.0 if settled else FIRST_LIST_WAIT_S
            self._in_force_at = now + wait_s
            self._confirmed_at = self._may_deny_at = now + LOST_KEEP_S
        self._refresh(as_of, now)
        changed = set()
        seen = set()
        reached = self.revision
        for item in items:
            seen.add(item.key)
            # An older item that is not in the replica was deleted since.
            if item.key in self.items or item.revision > reached:
                changed |= self._put(item)
        for key in [key for key in self.items if key not in seen]:
            if key in self._lost_until:
                continue
            if self.items[key].revision <= revision:
                changed |= self._drop(key, now)
        for key in [key for key in self._unconfirmed if key not in seen]:
            del self._unconfirmed[key]
        self.revision = revision
        self._prove(proven)
        return changed

    def _prove(self, proven):
        # What the store lost is in a read only after all was written again.
        if not self._knows_settled() and (
            self._may_deny_at is None or proven < self._may_deny_at
        ):
            return
        known = self.proven_as_of
        if proven > (float('-inf') if known is None else known):
            self.proven_as_of = proven

    def _knows_settled(self):
        found = self.items.get(self._settled_key)
        return self._is_settled((found,) if found else (), self.era)

    def _is_settled(self, items, era):
        # A store that states no era never goes back.
        if not era:
            return True
        return any(
            item.key == self._settled_key and item.value == settled_value(era)
            for item in items
        )

    def _begin_era(self, items, revision, as_of, now, era):
        # A replica that was behind may not know what the store lost.
        self._was_behind = self.age(now) > self._outage_s
        if self._was_behind or not self.is_confirmed(now):
            self._confirmed_at = now + LOST_KEEP_S
        self._may_deny_at = now + LOST_KEEP_S
        self._refresh(as_of, now)
        self.era, self.revision = era, revision
        self.steady_since = as_of
        self._lapsed_drop_at = now + self._return_s
        self._accept_at = now + ACCEPT_AFTER_S
        known, self.items = self.items, {}
        former = {key: item for key, (item, _) in self._superseded.items()}
        self._superseded = {}
        self._lapsed, self._lost_until, self._unconfirmed = set(), {}, {}
        changed = set()
        written_again = self._leased_prefixes + self._rewritten_prefixes
        for item in items:
            key = item.key
            if key not in known and key.startswith(written_again):
                self._unconfirmed[key] = item
                continue
            self.items[key] = item
            if key not in known or known[key].value != item.value:
                changed.add(key)
            before = former.get(key) or known.get(key)
            if before is not None and before.value != item.value:
                self._supersede(before, revision, now + LOST_KEEP_S)
        for key, item in known.items():
            if key in self.items:
                continue
            # Any write of the new era replaces it.
            self.items[key] = item._replace(
                revision=min(item.revision, revision)
            )
            if key.startswith(self._leased_prefixes):
                self._lapsed.add(key)
            else:
                self._lost_until[key] = now + LOST_KEEP_S
        return changed

    def _supersede(self, item, revision, until):
        if not item.key.startswith(self._leased_prefixes):
            item = item._replace(revision=min(item.revision, revision))
            self._superseded[item.key] = (item, until)

    def kept(self, now):
        """Return the :class:`Kept` for a replica that starts."""
        lost = [
            (self.items[key], max(until - now, 0.0))
            for key, until in self._lost_until.items()
        ]
        lost += [
            (item, max(until - now, 0.0))
            for item, until in self._superseded.values()
        ]
        return Kept(
            lost,
            [self.items[key] for key in self._lapsed],
            self.lapsed_drop_in_s(now) or 0.0,
            self._doubted(),
            max((self._accept_at or now) - now, 0.0),
            self.is_confirmed(now) and self.age(now) <= self._outage_s,
            max(self._may_deny_at - now, 0.0),
        )

    def _doubted(self):
        # A replica that was behind doubts whatever it had not heard of.
        if self._was_behind:
            return []
        return [
            (key, item.revision) for key, item in self._unconfirmed.items()
        ]

    def merge_kept(self, kept, now):
        """Apply what a replica of the same era knows beyond the list.

        What this replica read counts more, and nothing is kept for longer
        than there.

        Args:
            kept: the :class:`Kept` of the other one.
            now: monotonic seconds.

        Returns:
            Set of the keys that changed.
        """
        changed = set()
        for item, left_s in kept.lost:
            until = now + min(left_s, LOST_KEEP_S)
            own = self.items.get(item.key)
            if own is None:
                self._lost_until[item.key] = until
                self._keep(item, changed)
            elif own.revision <= item.revision and until > now:
                self._supersede(item, self.revision, until)
                changed.add(item.key)
        for item in kept.lapsed:
            if item.key not in self.items:
                self._lapsed.add(item.key)
                self._keep(item, changed)
        if kept.lapsed:
            at = now + min(kept.lapsed_s, self._return_s)
            if self._lapsed_drop_at is not None:
                at = min(at, self._lapsed_drop_at)
            self._lapsed_drop_at = at
        for key, revision in kept.unconfirmed:
            own = self.items.get(key)
            if own is not None and own.revision <= revision:
                self._unconfirmed[key] = self.items.pop(key)
                self._lapsed.discard(key)
                self._lost_until.pop(key, None)
                self._accept_at = now + min(kept.accept_s, ACCEPT_AFTER_S)
                changed.add(key)
        if kept.confirmed:
            self._confirmed_at = min(self._confirmed_at, now)
            at = now + kept.denies_in_s
            self._may_deny_at = min(self._may_deny_at, at)
        return changed

    def _keep(self, item, changed):
        # Any later write of this era replaces it.
        self.items[item.key] = item._replace(
            revision=min(item.revision, self.revision)
        )
        changed.add(item.key)

    def apply_differences(
        self, before, events, start, as_of, now, proven=None
    ):
        """Apply the differences between two complete lists of the items.

        Args:
            before: ``(era, revision)`` of the first list.
            events: list of :class:`Item`.
            start: ``(era, revision)`` of the second list.
            as_of: monotonic seconds at which the second list was read.
            now: monotonic seconds.
            proven: as for :meth:`replace`.

        Returns:
            Set of the keys that changed, or None if the replica does not
            correspond to exactly ``before``.
        """
        current = (self.era, self.revision)
        if start < current:
            return set()
        if start != current and current != before:
            return None
        if start == current:
            self._refresh(as_of, now)
            self._prove(as_of if proven is None else proven)
            return set()
        era, revision = start
        listed = {item.key: item for item in self.without_lapsed()}
        for item in events:
            listed[item.key] = item
            if item.value is None:
                del listed[item.key]
        if era > self.era:
            listed = {
                key: item._replace(revision=min(item.revision, revision))
                for key, item in listed.items()
            }
        items = list(listed.values())
        return self.replace(items, revision, as_of, now, era, proven)

    def apply(self, events, before, revision, as_of, now, era=0, proven=None):
        """Apply a sequence of changes.

        Args:
            events: list of :class:`Item`, oldest first.
            before: revision after which the changes begin.
            revision: revision after the changes.
            as_of: monotonic seconds at which the store reported them.
            now: monotonic seconds.
            era: the store's era when it reported them.
            proven: as for :meth:`replace`.

        Returns:
            Set of the keys that changed, or None when changes between the
            replica and ``before`` are missing.
        """
        if era < self.era:
            return set()
        if era > self.era or before > self.revision:
            return None
        self._refresh(as_of, now)
        changed = set()
        reached = self.revision
        for item in events:
            # The replica has all changes up to its revision. Applying one
            # of them again could restore a key that was deleted since.
            if item.revision <= reached:
                continue
            if item.value is not None:
                changed |= self._put(item)
                continue
            self._unconfirmed.pop(item.key, None)
            if item.key in self.items:
                changed |= self._drop(item.key, now)
        self.revision = max(reached, revision)
        self._prove(as_of if proven is None else proven)
        return changed

    def news(self, events, before, is_same):
        """Return the events that other replicas have to be told.

        Those are left out that say nothing new to a replica at ``before``.
        Call this before the events are applied.

        Args:
            events: list of :class:`Item`, oldest first.
            before: revision after which they begin.
            is_same: ``(item, known item) -> bool``.
        """
        told = []
        latest = {}
        for item in events:
            known = latest.get(item.key) or self._known_at(item.key, before)
            if (
                known is None
                or known.value is None
                or item.value is None
                or not is_same(item, known)
            ):
                told.append(item)
                latest[item.key] = item
        return told

    def _known_at(self, key, revision):
        # The item that every replica of a revision has, or None if some may
        # have another: this one may have heard of later changes since.
        known = self.items.get(key)
        if known is None or known.revision > revision:
            return None
        doubtful = (self._lapsed, self._lost_until, self._unconfirmed)
        return None if any(key in keys for keys in doubtful) else known

    def on_fresh_peer(self, since):
        """Record the time since which a peer's replica had no outage.

        The store has been available since then, so the grace period for
        lapsed keys started at that time.
        """
        if self._lapsed_drop_at is not None:
            self._lapsed_drop_at = min(
                self._lapsed_drop_at, since + self._return_s
            )

    def drop_lapsed(self, now):
        """Drop lapsed keys that were not written again, and return them."""
        gone = {key for key, at in self._lost_until.items() if now >= at}
        for key in gone:
            del self._lost_until[key]
        for key, (_, until) in list(self._superseded.items()):
            if now >= until:
                del self._superseded[key]
        if self._lapsed_drop_at is not None and now >= self._lapsed_drop_at:
            self._lapsed_drop_at = None
            gone |= self._lapsed
            self._lapsed = set()
        for key in gone:
            self.items.pop(key, None)
        return gone

    def accept_leased(self, now):
        """Accept the leased keys that outlasted their leases unconfirmed.

        Their owners must have renewed them. Returns the set of the keys.
        """
        if self._accept_at is None or now < self._accept_at:
            return set()
        self._accept_at = None
        found = {
            key: item
            for key, item in self._unconfirmed.items()
            if key.startswith(self._leased_prefixes)
        }
        for key in found:
            del self._unconfirmed[key]
        self.items.update(found)
        return set(found)

    def without_lapsed(self):
        """Return the items that are in the store, without lapsed ones."""
        return [
            item
            for key, item in self.items.items()
            if key not in self._lapsed and key not in self._lost_until
        ]

    def with_prefix(self, prefix):
        """Return ``{key: Item}`` of the keys with a prefix."""
        return {
            key: item
            for key, item in self.items.items()
            if key.startswith(prefix)
        }

    def _refresh(self, as_of, now):
        lost = self.as_of is not None and now - self.as_of > self._outage_s
        if lost and as_of > self.as_of:
            self._lapsed_drop_at = now + self._return_s
        if lost or self.as_of is None:
            self.steady_since = as_of
        if self.as_of is None or as_of > self.as_of:
            self.as_of = as_of

    def _put(self, item):
        known = self.items.get(item.key)
        self._lapsed.discard(item.key)
        self._lost_until.pop(item.key, None)
        self._unconfirmed.pop(item.key, None)
        if known is not None and known.revision >= item.revision:
            return set()
        self._superseded.pop(item.key, None)
        self.items[item.key] = item
        if known is not None and known.value == item.value:
            return set()
        return {item.key}

    def _drop(self, key, now):
        in_grace = (
            self._lapsed_drop_at is not None and now < self._lapsed_drop_at
        )
        if in_grace and key.startswith(self._leased_prefixes):
            self._lapsed.add(key)
            return set()
        self._lapsed.discard(key)
        self._lost_until.pop(key, None)
        self._superseded.pop(key, None)
        del self.items[key]
        return {key}
