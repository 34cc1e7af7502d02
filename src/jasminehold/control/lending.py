"""Exchange of loans between instances; the rules are in ``decisions.loans``.

An instance that needs more than its share requests the spare amounts of a few
peers and then a loan from one of them. An instance with a sufficient share
sends nothing.
"""

from jasminehold.decisions import loans as loan_rules

STEP_INTERVAL_S = 0.25
REQUEST_TIMEOUT_S = 0.5
PEERS_PER_SEARCH = 3
# Minimum delay before the next search of a group; one runs at a time.
MIN_SEARCH_INTERVAL_S = 0.05
# Delay after a search that found no lender.
FAILED_SEARCH_DELAY_S = 0.25


class Lending:
    """Requests and grants loans for one instance.

    Args:
        loop: the event loop.
        mesh: the :class:`mesh.Mesh`.
        holder: the :class:`share_holder.ShareHolder`.
        peers: function that returns ids of live instances, nearest first.
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
        self._next_search_at = {}
        mesh.handle('spare_ask', self._on_spare_ask)
        mesh.handle('loan_ask', self._on_loan_ask)
        mesh.handle('loan_return', self._on_loan_return)
        loop.call_later(STEP_INTERVAL_S, self._step)

    def request_loan(self, group, limit_ids, count):
        """Search a lender for one of several limits, unless already searching.

        Args:
            group: service or limit id; one search per group runs at a time.
            limit_ids: limits, any of which may be borrowed.
            count: amount to borrow.
        """
        now = self._loop.now()
        if self._next_search_at.get(group, 0.0) > now:
            return
        peers = self._peers()
        if not peers or not limit_ids:
            return
        self._next_search_at[group] = now + REQUEST_TIMEOUT_S
        chosen_peers = peers[:PEERS_PER_SEARCH]
        if len(peers) > PEERS_PER_SEARCH:
            chosen_peers = self._rng.sample(
                peers[: 4 * PEERS_PER_SEARCH], PEERS_PER_SEARCH
            )
        spares, unanswered = {}, [len(chosen_peers)]

        def collect(peer, requested_at):
            def done(reply, exc):
                unanswered[0] -= 1
                if exc is None:
                    spares[peer] = (requested_at, dict(reply['spare']))
                if unanswered[0] == 0:
                    self._choose_lender(group, limit_ids, count, spares)

            return done

        message = {'type': 'spare_ask', 'limits': list(limit_ids)}
        for peer in chosen_peers:
            self._metrics.inc('loan_spare_asks_total')
            self._mesh.ask(
                peer, message, REQUEST_TIMEOUT_S, collect(peer, now)
            )

    def _choose_lender(self, group, limit_ids, count, spares):
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
            self._next_search_at[group] = now + FAILED_SEARCH_DELAY_S
            return
        lender, spare = found
        amount = loan_rules.loan_amount(count, spare)
        self._next_search_at[group] = now + MIN_SEARCH_INTERVAL_S
        loan_request = self._holder.loans.request_loan(
            limit_id, amount, lender, now
        )
        self._send_loan_request(lender, loan_request)

    def _send_loan_request(self, lender, loan_request):
        def done(reply, exc):
            if exc is not None:
                return
            now = self._loop.now()
            surplus_loan_id = self._holder.loans.receive(reply['grant'], now)
            if surplus_loan_id is not None:
                self._return_loan(lender, surplus_loan_id)
            elif reply['grant']['amount']:
                self._metrics.inc('loans_received_total')

        self._metrics.inc('loan_asks_total')
        message = {'type': 'loan_ask', 'ask': dict(loan_request)}
        self._mesh.ask(lender, message, REQUEST_TIMEOUT_S, done)

    def _return_loan(self, lender, loan_id):
        self._mesh.send(lender, {'type': 'loan_return', 'id': loan_id})

    def _step(self):
        self._loop.call_later(STEP_INTERVAL_S, self._step)
        asks, returns = self._holder.step(self._loop.now())
        for lender, loan_request in asks:
            self._send_loan_request(lender, loan_request)
        for lender, loan_id in returns:
            self._return_loan(lender, loan_id)

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
