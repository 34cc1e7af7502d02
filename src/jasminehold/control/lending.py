"""Carries loans of shares over the mesh; the rules are ``decisions.loans``.

An instance that is short asks a few peers for their spare amounts and then
one of them for a loan, so an instance that has enough sends nothing.
"""

from jasminehold.decisions import loans as loan_rules

STEP_S = 0.25
ASK_TIMEOUT_S = 0.5
PEERS_ASKED = 3
# At most one search for the same shortage at a time, and this often.
SEARCH_EVERY_S = 0.05
# A search that found nothing is not repeated for this long.
SEARCH_FAILED_S = 0.25


class Lending:
    """Both sides of loans at one instance.

    Args:
        loop: the event loop.
        mesh: the :class:`mesh.Mesh`.
        holder: the :class:`share_holder.ShareHolder`.
        peers: function that returns ids of live instances, near ones first.
        rng: random source.
        metrics: counters.
    """

    def __init__(self, loop, mesh, holder, peers, rng, metrics):
        self._loop = loop
        self._mesh = mesh
        self._holder = holder
        self._peers = peers
        self._rng = rng
        self._metrics = metrics
        self._searches = {}
        mesh.handle('spare_ask', self._on_spare_ask)
        mesh.handle('loan_ask', self._on_loan_ask)
        mesh.handle('loan_return', self._on_loan_return)
        loop.call_later(STEP_S, self._step)

    def request_loan(self, group, limit_ids, count):
        """Look for a loan of some limit of a group, unless one is under way.

        Args:
            group: service or limit id, for which one search runs at a time.
            limit_ids: limits of which any helps.
            count: amount wanted.
        """
        now = self._loop.now()
        if self._searches.get(group, 0.0) > now:
            return
        near = self._peers()
        if not near or not limit_ids:
            return
        self._searches[group] = now + ASK_TIMEOUT_S
        asked = near[:PEERS_ASKED]
        if len(near) > PEERS_ASKED:
            asked = self._rng.sample(near[: 4 * PEERS_ASKED], PEERS_ASKED)
        spares, left = {}, [len(asked)]

        def collect(peer, asked_at):
            def done(reply, exc):
                left[0] -= 1
                if exc is None:
                    spares[peer] = (asked_at, dict(reply['spare']))
                if left[0] == 0:
                    self._choose(group, limit_ids, count, spares)

            return done

        message = {'type': 'spare_ask', 'limits': list(limit_ids)}
        for peer in asked:
            self._metrics.inc('loan_spare_asks_total')
            self._mesh.ask(peer, message, ASK_TIMEOUT_S, collect(peer, now))

    def _choose(self, group, limit_ids, count, spares):
        now = self._loop.now()
        found = None
        for limit_id in self._rng.sample(limit_ids, len(limit_ids)):
            if self._holder.usable(limit_id, now):
                found = loan_rules.choose_lender(
                    spares, limit_id, now, self._rng
                )
            if found is not None:
                break
        if found is None:
            self._searches[group] = now + SEARCH_FAILED_S
            return
        lender, spare = found
        amount = loan_rules.loan_amount(count, spare)
        self._searches[group] = now + SEARCH_EVERY_S
        ask = self._holder.loans.request_loan(limit_id, amount, lender, now)
        self._send_ask(lender, ask)

    def _send_ask(self, lender, ask):
        def done(reply, exc):
            if exc is not None:
                return
            now = self._loop.now()
            surplus = self._holder.loans.receive(reply['grant'], now)
            if surplus is not None:
                self._return(lender, surplus)
            elif reply['grant']['amount']:
                self._metrics.inc('loans_received_total')

        self._metrics.inc('loan_asks_total')
        message = {'type': 'loan_ask', 'ask': dict(ask)}
        self._mesh.ask(lender, message, ASK_TIMEOUT_S, done)

    def _return(self, lender, loan_id):
        self._mesh.send(lender, {'type': 'loan_return', 'id': loan_id})

    def _step(self):
        self._loop.call_later(STEP_S, self._step)
        asks, returns = self._holder.step(self._loop.now())
        for lender, ask in asks:
            self._send_ask(lender, ask)
        for lender, loan_id in returns:
            self._return(lender, loan_id)

    def _on_spare_ask(self, sender, message, reply):
        now = self._loop.now()
        spare = {}
        for limit_id in message['limits'][:1000]:
            amount = self._holder.spare(limit_id, now)
            if amount > 0:
                spare[limit_id] = amount
        reply({'type': 'spare', 'spare': spare})

    def _on_loan_ask(self, sender, message, reply):
        grant = self._holder.lend(message['ask'], self._loop.now())
        if grant['amount']:
            self._metrics.inc('loans_granted_total')
        reply({'type': 'loan_grant', 'grant': dict(grant)})

    def _on_loan_return(self, sender, message, reply):
        self._holder.take_back(message['id'])
