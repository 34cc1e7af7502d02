"""Stops requests that crash upstreams, on all instances.

Each send of a request ends in one of the ways of ``decisions.send_end``. What
the end says of a crash stands there; what the connections to the upstream say
is found out here. They may also end because this instance loses its path, so
other instances, or the upstream's entry, have to confirm a crash. It is then
reported to the request's arbiters, which count the crashes. The arbiters tell
all instances which requests to watch and which to reject. A quarantine is also
written to the store, so that it outlives the processes; while the store is
down, instances tell it to those that start.

Messages on the streams between instances:
``crash_notice``: a loss or a success of a request, to its arbiters.
``crash_unconfirmed``: a loss that nobody else can confirm, to its arbiters.
``crash_verdicts``: states of requests, to all instances.
"""

import collections
import functools
import json
import math
import time

from jasminehold.decisions import crash_doubts
from jasminehold.decisions import crash_evidence
from jasminehold.decisions import crash_suspects
from jasminehold.decisions import path_monitor
from jasminehold.decisions import quarantine
from jasminehold.decisions import send_end
from jasminehold import errors
from jasminehold.front import crash_inquiry
from jasminehold.front import quarantine_probe
from jasminehold.platform import wire

Finding = crash_doubts.Finding
Meaning = send_end.Meaning
State = quarantine.State

# Two copies in flight at one upstream are lost in one crash. Their instances
# notice it within a round trip; copies of one caller follow one another more
# slowly.
SAME_CRASH_S = 0.3
RULES = crash_suspects.CrashSuspectsConfig(
    crashes_to_quarantine=3, same_crash_s=SAME_CRASH_S
)
# Crashes from which on all instances report a success of the request.
CRASHES_TO_SUSPECT = 2
# Time in which all connections to a crashed upstream are closed.
CRASH_EVIDENCE_S = 0.05
# Time for which a request that has left its upstream may still crash it, and
# how many such requests are remembered.
DOUBT_S = 2.0
MAX_DOUBTS = 2000
# Time for which an upstream that crashed and has shown no life since is down.
# Something before it may accept connections, which end at once then.
DOWN_S = 2.0
# Connections that an upstream needs to show by their end that it crashed.
WITNESSES = 2
# Requests in flight at one crash are lost within this time.
ONE_CRASH_S = 2 * CRASH_EVIDENCE_S
# Time to wait for an answer of any upstream before the path is checked.
PATH_EVIDENCE_S = 0.08
# Time after which a loss without proof of a path counts as no crash.
PATH_EVIDENCE_MAX_S = 3.0
# Requests whose last success is remembered.
MAX_ANSWERED = 2000
EXPIRE_EVERY_S = 10.0
# Interval at which entries are compared with the crashes that count.
REVIEW_EVERY_S = 1.0
# Silence on the stream to an arbiter from which on others count for it; an
# idle one is asked for a sign of life every 2 s.
ARBITER_SILENCE_S = 3.5
# Time in which instances that are told of a suspect report its successes.
REPORT_S = crash_inquiry.ANSWER_TIMEOUT_S
STORE_RETRY_S = 1.0
RELEASED = 'released'
_SIGNS_OF_LIFE = (send_end.End.ANSWERED, send_end.End.REJECTED)
_TOLD = (State.SUSPECT, State.QUARANTINED)


class CrashGuard:
    """Reports lost requests and knows which ones to reject.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        mesh: the :class:`~jasminehold.peers.mesh.Mesh`.
        own_id: id of this instance.
        store: the :class:`~jasminehold.platform.kv.Store`.
        pool: the :class:`~jasminehold.front.upstream_conn.UpstreamPool`.
        metrics: counters.
        log: structured log.

    Attributes:
        path: the :class:`~jasminehold.front.path_check.PathCheck`, or None.
        inquiries: the :class:`~jasminehold.front.crash_inquiry.CrashInquiries`
            by which crashes are confirmed, or None.
    """

    def __init__(self, loop, mesh, own_id, store, pool, metrics, log):
        self.path = None
        self.inquiries = None
        self._loop = loop
        self._mesh = mesh
        self._own_id = own_id
        self._store = store
        self._pool = pool
        self._metrics = metrics
        self._log = log
        self._members = ()
        # Quarantines in the store, by key.
        self._stored = {}
        # Crashes that this instance counts as an arbiter, and the states that
        # it announced.
        self._crashes = crash_suspects.CrashSuspects(RULES)
        self._announced = {}
        # When those that became suspects late may be quarantined.
        self._not_before = {}
        # Digests that are no longer quarantined and whose key may still come
        # into the store.
        self._withdrawn = set()
        # When requests succeeded last, by digest, and those of the
        # quarantined ones that had succeeded before.
        self._answered = collections.OrderedDict()
        self._answered_before = set()
        self._known = quarantine.Quarantine(RULES.keep_s, RULES.max_records)
        self._probe = quarantine_probe.QuarantineProbe(
            loop, mesh, own_id, metrics, log
        )
        self._doubts = crash_doubts.Doubts(DOUBT_S, MAX_DOUBTS)
        # When upstreams crashed last, and when they showed life, by address.
        self._crashed_at = {}
        self._alive_at = {}
        # Addresses to which a witness is being connected.
        self._asking = set()
        # Crashes that may be some, at this instance and as an arbiter.
        self._open_cases = crash_evidence.OpenCases(SAME_CRASH_S)
        self._unconfirmed = crash_evidence.UnconfirmedCrashes(
            crash_inquiry.ENTRY_TIMEOUT_S
        )
        pool.on_closed = self._on_closed
        pool.on_refused = self._on_refused
        mesh.handle('crash_notice', self._on_notice)
        mesh.handle('crash_unconfirmed', self._on_unconfirmed)
        mesh.handle('crash_verdicts', self._on_verdicts)
        loop.call_later(EXPIRE_EVERY_S, self._expire)
        loop.call_later(REVIEW_EVERY_S, self._review)

    # Requests.

    @property
    def active(self):
        """Whether any request is known, so that digests are needed."""
        return bool(self._known)

    def quarantine_s(self, digests):
        """Return for how many seconds a request is quarantined, else 0."""
        return self._known.seconds_left(digests, self._loop.now())

    def ask_probe(self, digests, done):
        """Ask whether a quarantined request may be sent once.

        Args:
            digests: of the request.
            done: called with whether it may, not before this returns.

        Returns:
            Whether ``done`` will be called. It is not if the request never
            succeeded here: then it may be the one that crashes upstreams.
        """
        now = self._loop.now()
        found = [
            digest
            for digest in digests
            if self._known.state(digest, now) is State.QUARANTINED
        ]
        if not self._answered_before.issuperset(found):
            return False
        return self._probe.ask(
            found, lambda digest: self._arbiters(digest)[0], done
        )

    def is_known(self, digests):
        """Return whether a request was lost here lately, or is suspect."""
        now = self._loop.now()
        return any(self._known.state(it, now) is not None for it in digests)

    def is_suspect(self, digests):
        """Return whether a request must not be sent again after a loss."""
        now = self._loop.now()
        return any(
            self._known.state(digest, now)
            in (State.SUSPECT, State.QUARANTINED)
            for digest in digests
        )

    @property
    def has_open_cases(self):
        """Whether any request may be held, so that digests are needed."""
        return bool(self._open_cases)

    def is_held(self, digests):
        """Return whether this instance must not send a request for now.

        It may have crashed as many upstreams as quarantine it, or the path to
        them is lost one by one; another instance can tell by sending it.
        """
        now = self._loop.now()
        for digest in digests:
            answered_at = self._answered.get(digest, -math.inf)
            count = self._open_cases.count(digest, answered_at)
            if count and self._known.state(digest, now) is State.SUSPECT:
                count += CRASHES_TO_SUSPECT
            if count >= RULES.crashes_to_quarantine:
                return True
        return False

    def on_end(self, digests_of, upstream, end, is_trial=False):
        """Note how a send of a request ended.

        Args:
            digests_of: ``() -> digests of the request``, called only if the
                end tells something: hashing a large body takes time.
            upstream: the :class:`~decisions.upstream_view.Upstream`.
            end: the :class:`~decisions.send_end.End`.
            is_trial: whether it was sent to find out if the path is back.
        """
        if end in _SIGNS_OF_LIFE:
            self._alive_at[_address(upstream.entry)] = self._loop.now()
        meaning = send_end.MEANINGS[end]
        if meaning is Meaning.CLEARS:
            self._on_answered(digests_of())
        elif self.path is not None and self.path.lost and not is_trial:
            return
        elif meaning is Meaning.LOST:
            self._on_lost(digests_of(), upstream, is_trial)
        elif meaning is Meaning.DOUBTED:
            self._doubt(digests_of(), upstream, self._loop.now())

    def _on_lost(self, digests, upstream, is_trial):
        lost_at = self._loop.now()
        for digest in digests:
            self._known.watch(digest, lost_at)

        def look():
            conns = self._closed_around(upstream, lost_at)
            if quarantine.is_crash(*conns):
                self._ask(_address(upstream.entry))
                self._judge(digests, upstream.entry, lost_at, conns, is_trial)
            else:
                self._tell_loss(digests, upstream.entry, conns, 'connection')
                self._doubt(digests, upstream, lost_at)

        self._loop.call_later(CRASH_EVIDENCE_S, look)

    def _closed_around(self, upstream, at):
        return self._pool.closed_around(
            _address(upstream.entry), at, CRASH_EVIDENCE_S
        )

    def _judge(self, digests, entry, crashed_at, conns, is_trial=False):
        cause = 'crash'
        if self._is_down(entry, crashed_at):
            cause = 'down'
        elif self.path is not None:
            # Connections end also when the path to all upstreams is lost.
            if self.path.lost and not is_trial:
                cause = 'path'
            elif not self.path.is_proven_since(crashed_at):
                if self._loop.now() - crashed_at < PATH_EVIDENCE_MAX_S:
                    self._await_path(
                        digests, entry, crashed_at, conns, is_trial
                    )
                    return
                cause = 'connection'
        if cause != 'crash':
            self._tell_loss(digests, entry, conns, cause)
            return
        self._note_crash(_address(entry), crashed_at)
        if self.inquiries is None or set(self._members) <= {self._own_id}:
            self._decide(digests, entry, crashed_at, conns, True)
            return
        self._open_cases.begin(digests, entry.id, crashed_at)
        self.inquiries.ask(
            entry,
            crashed_at,
            functools.partial(
                self._on_finding, digests, entry, crashed_at, conns
            ),
        )

    def _on_finding(self, digests, entry, crashed_at, conns, finding):
        decide = functools.partial(
            self._close_case, digests, entry, crashed_at, conns
        )
        if finding is crash_evidence.Finding.UNCONFIRMED:
            self._tell_unconfirmed(digests, entry.id, crashed_at)
            self.inquiries.await_entry(entry, crashed_at, decide)
        else:
            # What is counted alone is withdrawn if the entry disproves it.
            decide(finding is not crash_evidence.Finding.ALIVE)

    def _close_case(self, digests, entry, crashed_at, conns, crashed):
        self._open_cases.end(digests, entry.id, crashed_at)
        self._decide(digests, entry, crashed_at, conns, crashed)

    def _decide(self, digests, entry, crashed_at, conns, crashed):
        self._tell_loss(digests, entry, conns, 'crash' if crashed else 'alive')
        if not crashed:
            self._alive_at[_address(entry)] = self._loop.now()
            return
        age_s = self._loop.now() - crashed_at
        for digest in digests:
            # It may have succeeded while the crash was being confirmed.
            if self._answered.get(digest, -math.inf) < crashed_at:
                self._report(digest, entry.id, age_s, False)

    def _is_down(self, entry, at):
        address = _address(entry)
        crashed_at = self._crashed_at.get(address, -math.inf)
        if self._alive_at.get(address, -math.inf) >= crashed_at:
            return False
        return ONE_CRASH_S < at - crashed_at < DOWN_S

    def _note_crash(self, address, at):
        if at - self._crashed_at.get(address, -math.inf) > ONE_CRASH_S:
            self._crashed_at[address] = at

    def _await_path(self, *case):
        # ``case``: the arguments of ``_judge``.
        _, _, crashed_at, _, _ = case
        # Usually an answer of another upstream proves it soon.
        if self._loop.now() - crashed_at > PATH_EVIDENCE_S:
            self.path.request()
        self._loop.call_later(CRASH_EVIDENCE_S, self._judge, *case)

    def _tell_loss(self, digests, entry, conns, cause):
        closed, still_open = conns
        self._log(
            'request lost',
            content=digests[0].hex(),
            upstream=entry.id,
            connections_closed=closed,
            connections_open=still_open,
            crash=cause == 'crash',
        )
        self._metrics.inc('requests_lost_total', cause=cause)

    # Requests whose upstream tells by what it does next.

    def _doubt(self, digests, upstream, at):
        address = _address(upstream.entry)
        self._doubts.add(address, (digests, upstream), self._loop.now())
        # The request's own connection is about to be closed.
        self._loop.call_soon(self._add_witness, address)
        self._loop.call_later(CRASH_EVIDENCE_S, self._look, address, at)

    def _add_witness(self, address):
        if self._pool.open_count(address) < WITNESSES:
            self._ask(address)

    def _on_closed(self, address):
        if address in self._doubts:
            at = self._loop.now()
            self._loop.call_later(CRASH_EVIDENCE_S, self._look, address, at)

    def _look(self, address, at):
        if address not in self._doubts:
            return
        conns = self._pool.closed_around(address, at, CRASH_EVIDENCE_S)
        finding = crash_doubts.finding(*conns)
        if finding is Finding.CRASHED:
            self._on_doubts_proved(address, at, conns)
        elif finding is Finding.UNKNOWN and not self._pool.open_count(address):
            self._ask(address)

    def _ask(self, address):
        # The connection stays for the next request.
        if address in self._asking:
            return
        self._asking.add(address)

        def ready(conn, reused):
            self._loop.call_later(path_monitor.SETTLE_S, settled, conn)

        def settled(conn):
            self._asking.discard(address)
            if not conn.closed:
                self._alive_at[address] = self._loop.now()
                self._pool.put_back(conn)

        def failed(exc):
            self._asking.discard(address)

        self._pool.open(address, ready, failed)

    def _on_refused(self, address):
        if address in self._doubts:
            self._on_doubts_proved(address, self._loop.now(), (0, 0))

    def _on_doubts_proved(self, address, crashed_at, conns):
        for digests, upstream in self._doubts.take(address, self._loop.now()):
            # An upstream that leaves ends without a crash.
            if not upstream.draining:
                for digest in digests:
                    self._known.watch(digest, crashed_at)
                self._judge(digests, upstream.entry, crashed_at, conns)

    def _on_answered(self, digests):
        # Remembers a success, and reports it if the request is known.
        now = self._loop.now()
        for digest in digests:
            self._answered[digest] = now
            self._answered.move_to_end(digest)
            state = self._known.state(digest, now)
            if state is State.WATCHED:
                self._known.release(digest)
            if state is not None:
                self._report(digest, '', 0.0, True)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def _report(self, digest, upstream, age_s, cleared):
        notice = _notice(digest, upstream, age_s, cleared)
        message = {'type': 'crash_notice', 'notice': notice}
        for name in self._arbiters(digest):
            if name == self._own_id:
                self._count(notice)
            else:
                self._mesh.send(name, message)

    def _tell_unconfirmed(self, digests, upstream, crashed_at):
        age_s = self._loop.now() - crashed_at
        for digest in digests:
            notice = _notice(digest, upstream, age_s, False)
            message = {'type': 'crash_unconfirmed', 'notice': notice}
            for name in self._arbiters(digest):
                if name == self._own_id:
                    self._on_unconfirmed(name, message, None)
                else:
                    self._mesh.send(name, message)

    def _arbiters(self, digest):
        return quarantine.arbiters(digest, self._members, self._own_id)

    # Counting as an arbiter.

    def _on_notice(self, sender, message, reply):
        notice = message['notice']
        digest, now = notice['fingerprint'], self._loop.now()
        before = self._known.state(digest, now)
        self._count(notice)
        state = self._known.state(digest, now)
        just_told = state is not before and sender in self._members
        if notice['cleared'] or just_told or state not in _TOLD:
            return
        # It sent the request, so the verdict did not reach it.
        seconds = self._known.seconds_left([digest], now) or RULES.keep_s
        verdict = [digest, state.value, seconds]
        self._mesh.send(
            sender, {'type': 'crash_verdicts', 'verdicts': [verdict]}
        )

    def _on_unconfirmed(self, sender, message, reply):
        notice, now = message['notice'], self._loop.now()
        digest, at = notice['fingerprint'], now - max(notice['age_s'], 0.0)
        place = self.inquiries.place_of(sender)
        report = crash_evidence.Unconfirmed(notice['upstream'], at, place)
        counted = self._unconfirmed.add(
            digest, report, now, self._crashes.cleared_at(digest)
        )
        for item in counted:
            age_s = now - item.at
            self._count(_notice(digest, item.upstream, age_s, False), False)

    def _count(self, notice, is_confirmed=True):
        now = self._loop.now()
        digest = notice['fingerprint']
        self._crashes.merge(notice, now)
        if digest in self._answered:
            self._crashes.record_success(digest, self._answered[digest], now)
        self._withdraw_disproved(digest)
        if self._counts_for_all(digest):
            self._announce(digest, is_confirmed)

    def _withdraw_disproved(self, digest):
        # An upstream whose entry shows that it lived on has not crashed,
        # whoever said so.
        if self.inquiries is None:
            return False
        found = [
            crash
            for crash in self._crashes.crashes(digest, self._loop.now())
            if self.inquiries.is_disproved(*crash)
        ]
        for upstream, at in found:
            self._crashes.withdraw(digest, upstream, at)
        return bool(found)

    def _review(self):
        self._loop.call_later(REVIEW_EVERY_S, self._review)
        for digest in list(self._announced):
            if self._withdraw_disproved(digest):
                self._announce(digest)

    def _counts_for_all(self, digest):
        # One that was not chosen hears of no success at the others.
        names = self._arbiters(digest)[: quarantine.ARBITERS_PER_REQUEST]
        return self._own_id in names or not any(map(self._is_heard, names))

    def _is_heard(self, name):
        heard_at = self._mesh.last_heard(name)
        now = self._loop.now()
        return heard_at is not None and now - heard_at < ARBITER_SILENCE_S

    def _announce(self, digest, is_confirmed=True):
        now = self._loop.now()
        crashes = self._crashes.crashes(digest, now)
        before = self._announced.get(digest, RELEASED)
        if before == RELEASED and _is_late(crashes, now, is_confirmed):
            self._not_before[digest] = now + REPORT_S
            self._loop.call_later(REPORT_S, self._announce, digest)
        state = RELEASED
        if len(crashes) >= CRASHES_TO_SUSPECT:
            state = State.SUSPECT.value
        if len(crashes) >= RULES.crashes_to_quarantine:
            if now >= self._not_before.get(digest, now):
                state = State.QUARANTINED.value
        if before == state:
            return
        if before == State.QUARANTINED.value:
            # It succeeded since, or an upstream has not crashed.
            state = RELEASED
            self._withdrawn.add(digest)
        self._announced[digest] = state
        if state == State.QUARANTINED.value:
            self._probe.grants.begin(digest, self._loop.now())
        else:
            self._probe.grants.end(digest)
        if state == RELEASED:
            del self._announced[digest]
            self._not_before.pop(digest, None)
        self._log(
            'crashing request ' + state,
            content=digest.hex(),
            upstreams=[upstream for upstream, _ in crashes],
        )
        self._tell(digest, state)
        self._delete_withdrawn()
        if state == State.QUARANTINED.value:
            self._withdrawn.discard(digest)
            self._write_in_turn(digest)

    def _tell(self, digest, state):
        verdict = [digest, state, RULES.keep_s]
        self._apply(*verdict)
        message = {'type': 'crash_verdicts', 'verdicts': [verdict]}
        for name in self._members:
            if name != self._own_id:
                self._mesh.send(name, message)

    # States, from arbiters, from peers at their start and from the store.

    def on_members(self, places):
        """Set the availability zones of the live instances, by id."""
        self._members = tuple(places)
        if self.inquiries is not None:
            self.inquiries.on_members(places)

    def on_link_up(self, name):
        """Tell an instance that may have just started what is known."""
        verdicts = [
            [digest, state.value, left]
            for digest, state, left in self._known.shared(self._loop.now())
        ]
        if verdicts:
            self._mesh.send(
                name, {'type': 'crash_verdicts', 'verdicts': verdicts}
            )

    def _on_verdicts(self, sender, message, reply):
        for digest, state, seconds in message['verdicts']:
            self._apply(digest, state, float(seconds))
            if state != RELEASED:
                self._report_success(digest, sender)

    def _report_success(self, digest, sender=None):
        # To whoever says that the request crashes upstreams, chosen or not.
        answered_at = self._answered.get(digest)
        if answered_at is None:
            return
        # Clears the crashes before that time only.
        age_s = self._loop.now() - answered_at
        self._report(digest, '', age_s, True)
        if sender not in (None, self._own_id, *self._arbiters(digest)):
            notice = _notice(digest, '', age_s, True)
            self._mesh.send(sender, {'type': 'crash_notice', 'notice': notice})

    def _apply(self, digest, state, seconds):
        if state == RELEASED:
            self._known.release(digest)
            self._answered_before.discard(digest)
        else:
            if digest in self._answered:
                self._answered_before.add(digest)
            self._known.raise_to(
                digest, State(state), seconds, self._loop.now()
            )

    def on_stored(self, items):
        """Apply the quarantines in the store.

        A key that is missing releases nothing: it may have been removed with
        its lease during an outage.

        Args:
            items: ``{key: Item}`` under :data:`wire.QUARANTINE_PREFIX`.
        """
        before, self._stored = self._stored, dict(items)
        self._delete_withdrawn()
        for key, item in items.items():
            # A revision alone may have been given out again.
            if before.get(key) == item:
                continue
            try:
                digest = bytes.fromhex(key[len(wire.QUARANTINE_PREFIX) :])
                left = _decode_left_s(item.value)
            except errors.MALFORMED_MESSAGE_ERRORS as exc:
                self._log(
                    'quarantine skipped', level='warning', key=key, error=exc
                )
                continue
            if left > 0 and digest not in self._withdrawn:
                self._apply(digest, State.QUARANTINED.value, left)
                self._report_success(digest)

    def on_era(self):
        """Write the own quarantines again after the store went back."""
        for digest, state in self._announced.items():
            if state == State.QUARANTINED.value:
                self._write_in_turn(digest, True)

    def gauge_values(self):
        """Return the current ``{gauge name: value}``."""
        return {
            'requests_suspect': self._known.count(State.SUSPECT),
            'requests_quarantined': self._known.count(State.QUARANTINED),
        }

    @staticmethod
    def _key(digest):
        return wire.QUARANTINE_PREFIX + digest.hex()

    def _write_in_turn(self, digest, again=False):
        # The arbiters write one after the other, if the key is missing.
        names = self._arbiters(digest)
        before = names[: names.index(self._own_id)]
        delay_s = sum(map(self._is_heard, before)) * STORE_RETRY_S
        self._loop.call_later(delay_s, self._write, digest, again)

    def _write(self, digest, again=False):
        now = self._loop.now()
        left = self._known.seconds_left([digest], now)
        stored = self._key(digest) in self._stored and not again
        if not left or stored or digest in self._withdrawn:
            return
        # Who reads it later quarantines the request for as long, unless a
        # peer tells what is left. Older versions read a time of day.
        doc = {'left_s': round(left, 1), 'until': round(time.time() + left, 1)}
        value = json.dumps(doc).encode()

        def on_lease(lease, exc):
            if exc is not None:
                on_failed(exc)
                return
            self._store.put(self._key(digest), value, None, on_written, lease)

        def on_written(revision, exc):
            if exc is not None:
                on_failed(exc)

        def on_failed(exc):
            self._log('quarantine not stored', level='warning', error=exc)
            self._loop.call_later(STORE_RETRY_S, self._write, digest, again)

        self._store.grant(left, on_lease)

    def _delete_withdrawn(self):
        for digest in self._withdrawn:
            key = self._key(digest)
            if key in self._stored:
                self._store.delete(
                    key, None, functools.partial(self._on_deleted, digest)
                )

    def _on_deleted(self, digest, revision, exc):
        if exc is not None:
            self._log('quarantine not deleted', level='warning', error=exc)
        elif digest in self._withdrawn:
            # Other instances may have read the key.
            self._tell(digest, self._announced.get(digest, RELEASED))

    def _expire(self):
        self._loop.call_later(EXPIRE_EVERY_S, self._expire)
        now = self._loop.now()
        self._known.expire(now)
        self._crashes.expire(now)
        self._unconfirmed.expire(now)
        self._answered_before = {
            digest
            for digest in self._answered_before
            if self._known.state(digest, now) is not None
        }
        if self.inquiries is not None:
            self.inquiries.expire(now)
        for times in (self._crashed_at, self._alive_at):
            for address in [key for key in times if now - times[key] > DOWN_S]:
                del times[address]
        for digest in list(self._announced):
            if not self._crashes.crashes(digest, now):
                del self._announced[digest]
                self._not_before.pop(digest, None)
                self._probe.grants.end(digest)
        if not self._announced:
            self._withdrawn.clear()


def _address(entry):
    return entry.host, entry.port


def _notice(digest, upstream, age_s, cleared):
    return crash_suspects.CrashNotice(
        fingerprint=digest, upstream=upstream, age_s=age_s, cleared=cleared
    )


def _is_late(crashes, now, is_confirmed):
    # Whether nobody was asked for successes when the crashes happened.
    if len(crashes) < CRASHES_TO_SUSPECT:
        return False
    suspect_at = sorted(at for _, at in crashes)[CRASHES_TO_SUSPECT - 1]
    return not is_confirmed or now - suspect_at > REPORT_S


def _decode_left_s(value):
    # Older versions wrote a time of day, which may jump. The key ends with its
    # lease, so what stands there is in force.
    doc = json.loads(value)
    if 'left_s' in doc:
        return float(doc['left_s'])
    float(doc['until'])
    return RULES.keep_s
