"""Asks other instances, and an upstream's entry, whether it crashed.

Message on the streams between instances: ``crash_query``, the upstream's id,
start time and address, and how long ago it seems to have crashed. The answer
is what the receiver has seen of it, a ``decisions.crash_evidence.Seen``.
"""

import functools

from jasminehold.decisions import crash_evidence
from jasminehold import errors

Finding = crash_evidence.Finding
Seen = crash_evidence.Seen

# Instances that are asked about one crash.
ASKED_MAX = 8
# Time for their answers: a round trip between regions, or a loop that is busy.
ANSWER_TIMEOUT_S = 0.3
# Where connections are still open, all are asked again until this time after
# the crash: an end that was lost on the way is sent again by then.
ASK_AGAIN_S = 0.2
OPEN_MAX_S = 1.0
# Instances notice one crash within this time.
SAME_CRASH_S = 0.3
# Time in which the entry of an upstream that lives is renewed, if it is the
# only evidence: a heartbeat interval, and the way of the news.
ENTRY_TIMEOUT_S = 2.5
ENTRY_CHECK_S = 0.1


class _Inquiry:
    def __init__(self, entry, crashed_at):
        self.entry = entry
        self.crashed_at = crashed_at
        self.waiting = []
        self.answers = {}
        self.left = set()
        self.timer = None
        self.finding = None


class CrashInquiries:
    """Inquiries of this instance, and its answers to those of others.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        cfg: the :class:`~jasminehold.front.cfg.Cfg`.
        mesh: the :class:`~jasminehold.peers.mesh.Mesh`.
        pool: the :class:`~jasminehold.front.upstream_conn.UpstreamPool`.
        view: the :class:`~decisions.upstream_view.UpstreamView`.
        path: the :class:`~jasminehold.front.path_check.PathCheck`.
        rng: random source.
        metrics: counters.
        log: structured log.
    """

    def __init__(self, loop, cfg, mesh, pool, view, path, rng, metrics, log):
        self._loop = loop
        self._cfg = cfg
        self._mesh = mesh
        self._pool = pool
        self._view = view
        self._path = path
        self._rng = rng
        self._metrics = metrics
        self._log = log
        # Availability zones of the other instances, by id.
        self._places = {}
        # The latest inquiry by address.
        self._inquiries = {}
        mesh.handle('crash_query', self._on_query)

    def on_members(self, places):
        """Set the availability zones of the live instances, by id."""
        self._places = dict(places)
        self._places.pop(self._cfg.id, None)

    def place_of(self, name):
        """Return the availability zone of an instance, '' if unknown."""
        if name == self._cfg.id:
            return self._cfg.place
        return self._places.get(name, '')

    def is_disproved(self, upstream, crashed_at):
        """Return whether an upstream's entry shows that it lived on.

        Args:
            upstream: its id.
            crashed_at: monotonic seconds of the suspected crash.
        """
        return self._view.lived_through(upstream, crashed_at)

    # Asking.

    def ask(self, entry, crashed_at, done):
        """Find out whether an upstream crashed.

        Args:
            entry: its :class:`~decisions.upstream_view.Entry`.
            crashed_at: monotonic seconds of the suspected crash.
            done: called once, never before this returns, with the
                :class:`Finding`, which is not ``OPEN``.
        """
        key = (entry.host, entry.port)
        inquiry = self._inquiries.get(key)
        same = (
            inquiry is not None
            and abs(crashed_at - inquiry.crashed_at) < SAME_CRASH_S
        )
        if same and inquiry.finding is None:
            inquiry.waiting.append(done)
            return
        if same:
            self._loop.call_soon(done, inquiry.finding)
            return
        inquiry = self._inquiries[key] = _Inquiry(entry, crashed_at)
        inquiry.waiting.append(done)
        self._ask_all(inquiry)

    def _ask_all(self, inquiry):
        if inquiry.answers:
            names = list(inquiry.answers)
        else:
            linked = set(self._mesh.connected()) & set(self._places)
            if not linked:
                self._loop.call_soon(self._finish, inquiry, Finding.ALONE)
                return
            names = crash_evidence.instances_to_ask(
                self._places, self._cfg.place, linked, ASKED_MAX, self._rng
            )
        inquiry.left = set(names)
        entry = inquiry.entry
        message = {
            'type': 'crash_query',
            'upstream': entry.id,
            'born': entry.born_ms,
            'host': entry.host,
            'port': entry.port,
            'age': self._loop.now() - inquiry.crashed_at,
        }
        for name in names:
            self._mesh.ask(
                name,
                message,
                ANSWER_TIMEOUT_S,
                functools.partial(self._on_answer, inquiry, name),
            )

    def _on_answer(self, inquiry, name, answer, exc):
        if inquiry.finding is not None:
            return
        inquiry.left.discard(name)
        found = Seen.NOTHING
        if exc is None:
            try:
                found = Seen(answer['seen'])
            except errors.MALFORMED_MESSAGE_ERRORS as fault:
                self._log('bad answer from peer', peer=name, error=fault)
        inquiry.answers[name] = found
        if found is Seen.ALIVE:
            self._finish(inquiry, Finding.ALIVE)
        elif not inquiry.left:
            self._look(inquiry)

    def _look(self, inquiry):
        age_s = self._loop.now() - inquiry.crashed_at
        if self.is_disproved(inquiry.entry.id, inquiry.crashed_at):
            self._finish(inquiry, Finding.ALIVE)
            return
        places = set(self._places.values()) | {self._cfg.place}
        finding = crash_evidence.judge(
            [
                (self._places.get(name), found)
                for name, found in inquiry.answers.items()
            ],
            self._cfg.place if len(places) > 1 else None,
            is_last=age_s >= OPEN_MAX_S,
        )
        if finding is Finding.OPEN:
            self._loop.call_later(ASK_AGAIN_S, self._ask_all, inquiry)
        else:
            self._finish(inquiry, finding)

    def _finish(self, inquiry, finding):
        inquiry.finding = finding
        self._metrics.inc('crash_inquiries_total', finding=finding.value)
        self._log(
            'crash inquiry ended',
            upstream=inquiry.entry.id,
            finding=finding.value,
            age_s=round(self._loop.now() - inquiry.crashed_at, 3),
            seen={
                name: found.value for name, found in inquiry.answers.items()
            },
        )
        waiting, inquiry.waiting = inquiry.waiting, []
        for done in waiting:
            done(finding)

    def await_entry(self, entry, crashed_at, done):
        """Find out from an upstream's entry alone whether it crashed.

        Args:
            entry: its :class:`~decisions.upstream_view.Entry`.
            crashed_at: monotonic seconds of the suspected crash.
            done: called with whether it crashed.
        """
        if self.is_disproved(entry.id, crashed_at):
            done(False)
        elif (
            self._loop.now() - crashed_at >= ENTRY_TIMEOUT_S
            or self._is_replaced(entry.id, entry.born_ms)
        ):
            done(True)
        else:
            self._loop.call_later(
                ENTRY_CHECK_S, self.await_entry, entry, crashed_at, done
            )

    def _is_replaced(self, name, born_ms):
        known = self._view.upstreams.get(name)
        return known is not None and known.entry.born_ms > born_ms

    # Answering.

    def _on_query(self, sender, message, reply):
        crashed_at = self._loop.now() - max(float(message['age']), 0.0)
        name, born_ms = str(message['upstream']), int(message['born'])
        key = (str(message['host']), int(message['port']))
        found = Seen.NOTHING
        if not self._path.lost:
            found = crash_evidence.seen(
                crash_evidence.Conns(
                    *self._pool.closed_around(key, crashed_at, SAME_CRASH_S),
                    self._pool.answered_across(key, crashed_at, SAME_CRASH_S),
                ),
                self.is_disproved(name, crashed_at),
                self._is_replaced(name, born_ms),
            )
        reply({'seen': found.value})

    def expire(self, now):
        """Forget the inquiries that have ended."""
        for key, inquiry in list(self._inquiries.items()):
            done = inquiry.finding is not None
            if done and now - inquiry.crashed_at > ENTRY_TIMEOUT_S:
                del self._inquiries[key]
