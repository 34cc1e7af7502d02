"""Instances with a planted fault, to show that each check can fail.

Usage: ``python -m tests.soak.planted FAULT front --settings FILE``
"""

import os
import sys

from jasminehold.decisions import planned_stop
from jasminehold.decisions import retry_token_bucket
from jasminehold.decisions import sends
from jasminehold.decisions import stated_limits
from jasminehold.decisions import upstream_view
from jasminehold.front import app
from jasminehold.front import crash_guard
from jasminehold.front import departures
from jasminehold.front import exchange
from jasminehold.front import steering
from jasminehold.front import upstream_conn
from jasminehold.platform import wire


def repeats_orders():
    """Treats orders as requests that may run again."""
    route = steering.Steering.route

    def patched(self, host, path):
        found = route(self, host, path)
        if hasattr(found, '_replace'):
            return found._replace(idempotent=True)
        return found

    steering.Steering.route = patched


def false_promises():
    """Answers a lost order as not run."""

    def patched(self, reason):
        self._fail(steering.Kind.NOT_RUN, 0.1, reason)

    exchange.Exchange._end_failed = patched


def swaps_answers():
    """Passes on the answer to the request before."""
    deliver = exchange.Exchange._deliver
    kept = []

    def patched(self, answer):
        kept.append(answer)
        deliver(self, kept[-2] if len(kept) > 1 else answer)

    exchange.Exchange._deliver = patched


def ignores_drains():
    """Takes leaving upstreams for ready ones."""
    upstream_view.DRAINING = 'never'


def ignores_evacuations():
    """Takes evacuated places for any others."""
    steering.Steering.on_evacuated = lambda self, places: None


def goes_back():
    """Now and then finds a route in the configuration before."""
    on_config = steering.Steering.on_config
    route = steering.Steering.route
    older, count = [], []

    def patched_config(self, table):
        older.append(self.table)
        return on_config(self, table)

    def patched_route(self, host, path):
        count.append(1)
        if len(count) % 4 or not older or older[-1] is None:
            return route(self, host, path)
        found = older[-1].match(host, path)
        return found or route(self, host, path)

    steering.Steering.on_config = patched_config
    steering.Steering.route = patched_route


def repeats_without_end():
    """Repeats whatever failed, past any budget."""
    retry_token_bucket.RetryTokenBucket.take = lambda self, *args: True
    exchange.SAME_UPSTREAM_RETRIES_MAX = 30
    send = exchange.Exchange._on_answer

    def patched(self, answer, exc):
        if exc is None and len(self._attempts) < 3 and self._route.idempotent:
            self._release('planted')
            self._tried.clear()
            self._start_attempt()
            return
        send(self, answer, exc)

    exchange.Exchange._on_answer = patched


def ignores_limits():
    """Sends to limited upstreams as to any others."""
    stated_limits.StatedLimits.admits = lambda self, *args: True


def forgets_eras():
    """Takes a store that went back for one that did not."""
    wire.decode_era = lambda headers: None


def ignores_departures():
    """Takes upstreams that say that they leave for any others."""
    departures.Departures.on_response = lambda self, *args: None


def ignores_pauses():
    """Sends to upstreams that asked for a pause."""
    steering.Steering.on_pause = lambda self, *args: None


def reads_without_end():
    """Reads whatever an upstream sends."""
    upstream_conn.INTERIM_RESPONSES_MAX = 10**9
    upstream_conn.FOREIGN_RESPONSES_MAX = 10**9


def sends_crashing_requests_on():
    """Takes no request for one that crashes upstreams."""
    crash_guard.CrashGuard.on_end = lambda self, *args: None


def stops_at_once():
    """Ends at once when told to stop."""
    app.FrontApplication.leave = lambda self: os._exit(0)


def forgets_what_it_owes():
    """Ends with answers in its write buffers when told to stop."""
    planned_stop.Owed.plus = lambda self, unanswered, unsent_bytes: self


def keeps_connections_open():
    """Reads on from callers with requests under way when told to stop."""
    planned_stop.closes_connection = lambda leaving, unanswered: False
    planned_stop.may_read = lambda leaving, unanswered: True


def passes_late_requests_on():
    """Passes on what would not end before its planned stop does."""
    planned_stop.ends_in_time = lambda expected_s, left_s, until_end_s: True


def gives_up_without_a_path():
    """Rejects what an upstream could not be reached for."""

    def patched(self, exc):
        self._release('planted')
        self._fail(steering.Kind.NOT_RUN, 0.1, 'planted')

    exchange.Exchange._on_connect_failed = patched


def sends_orders_back():
    """Sends orders again to upstreams that rejected them."""
    exchange.Exchange._excluded_upstreams = lambda self: frozenset()
    sends.Sends.evidence = lambda self, is_named: sends.Evidence.SINGLE


def never_returns():
    """Refuses everything after some requests."""
    on_request = exchange.ExchangeContext.on_request
    count = []

    def patched(self, inbound):
        count.append(1)
        if len(count) > 200:
            inbound.fail(steering.Kind.NOT_RUN)
            return
        on_request(self, inbound)

    exchange.ExchangeContext.on_request = patched


# Fault to the check that has to notice it.
FAULTS = {
    'repeats_orders': 'runs_at_most_once',
    'false_promises': 'promise_is_true',
    'swaps_answers': 'answer_is_own_and_whole',
    'ignores_drains': 'drained_gets_nothing',
    'ignores_evacuations': 'evacuated_gets_nothing',
    'goes_back': 'newest_configuration_holds',
    'repeats_without_end': 'repeats_stay_in_budget',
    'ignores_limits': 'limits_hold',
    'forgets_eras': 'newest_configuration_holds',
    'ignores_departures': 'leaving_gets_nothing',
    'ignores_pauses': 'pauses_hold',
    'reads_without_end': 'endless_answers_end',
    'sends_crashing_requests_on': 'crashing_requests_are_stopped',
    'stops_at_once': 'planned_stop_cuts_nothing',
    'forgets_what_it_owes': 'planned_stop_cuts_nothing',
    'keeps_connections_open': 'planned_stop_cuts_nothing',
    'passes_late_requests_on': 'planned_stop_cuts_nothing',
    'gives_up_without_a_path': 'cut_off_is_served',
    'sends_orders_back': 'promise_is_true',
    'never_returns': 'service_returns',
}

if __name__ == '__main__':
    globals()[sys.argv[1]]()
    from jasminehold import cli

    sys.exit(cli.main(sys.argv[2:]))
