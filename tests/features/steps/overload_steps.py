"""Steps for overload, retries, blame and health."""

import behave
import hypothesis
from hypothesis import strategies as st

from bench import overload
from jasminehold.decisions import admission
from jasminehold.decisions import crash_suspects
from jasminehold.decisions import health

SEED = 1
SETTINGS = hypothesis.settings(
    database=None, derandomize=True, deadline=None, max_examples=200
)
NAMES = ['u%d' % index for index in range(12)]


@behave.then(
    'at twice the capacity goodput is at least {percent:d} percent of that '
    'at once'
)
def then_goodput(context, percent):
    base = overload.overload(1.0, SEED, True).goodput
    double = overload.overload(2.0, SEED, True).goodput
    assert double >= base * percent / 100, (base, double)


@behave.then('without the rules the same trace misses that target')
def then_naive_goodput(context):
    base = overload.overload(1.0, SEED, False).goodput
    assert overload.overload(2.0, SEED, False).goodput < 0.95 * base


@behave.then(
    'at twice the capacity at least {percent:d} percent of orders are answered'
)
def then_orders(context, percent):
    assert overload.overload(2.0, SEED, True).orders >= percent / 100


@behave.then(
    'with {some:d} and {all:d} percent failing attempts the load grows by '
    '{most:d} percent at most'
)
def then_brownout(context, some, all, most):
    for failing in (some, all):
        attempts, _ = overload.brownout(failing / 100, SEED, True)
        assert attempts <= 1 + most / 100 + 1e-3, attempts


@behave.then('without the rules the same failures miss that target')
def then_naive_brownout(context):
    assert overload.brownout(0.3, SEED, False)[0] > 1.1


@behave.then(
    'with seeds {first:d} to {last:d} a crashing request takes down at most '
    '{most:d} servers'
)
def then_poison(context, first, last, most):
    for seed in range(first, last + 1):
        result = overload.poison(seed, True)
        assert result.crashes <= most, (seed, result)
        assert result.innocent_lost == 0, (seed, result)


@behave.then('without the rules the same trace takes down more')
def then_naive_poison(context):
    assert overload.poison(SEED, False).crashes > 2


@behave.then('a request that succeeds between two crashes stays clear')
def then_popular(context):
    rule = crash_suspects.CrashSuspects()
    rule.record_crash('u1', [b'popular', b'bad'], 0.0)
    assert rule.verdict(b'popular', 0.1) is crash_suspects.Verdict.ISOLATE
    assert rule.record_success(b'popular', 0.1, 0.2)['cleared']
    rule.record_crash('u2', [b'popular', b'bad'], 0.5)
    assert rule.verdict(b'bad', 0.6) is crash_suspects.Verdict.QUARANTINED
    assert rule.verdict(b'popular', 0.6) is crash_suspects.Verdict.ISOLATE


@behave.then('repeated and reordered notices of one crash condemn nothing')
def then_merged(context):
    rule = crash_suspects.CrashSuspects()
    notices = crash_suspects.CrashSuspects().record_crash('u1', [b'a'], 0.0)
    for now in (0.1, 1.0, 2.0, 4.0):
        for notice in notices:
            rule.merge({**notice, 'age_s': now}, now)
    assert rule.verdict(b'a', 4.0) is crash_suspects.Verdict.ISOLATE


@behave.then('two crashes nine minutes apart condemn a request')
def then_slow_resend(context):
    rule = crash_suspects.CrashSuspects()
    rule.record_crash('u1', [b'a'], 0.0)
    assert rule.verdict(b'a', 100.0) is crash_suspects.Verdict.CLEAR
    rule.record_crash('u2', [b'a'], 540.0)
    assert rule.verdict(b'a', 541.0) is crash_suspects.Verdict.QUARANTINED
    # Each refused copy renews the period, so asking slowly gains nothing.
    assert rule.verdict(b'a', 1100.0) is crash_suspects.Verdict.QUARANTINED
    assert rule.verdict(b'a', 1650.0) is crash_suspects.Verdict.QUARANTINED


@behave.then('whatever fails at most a third of the upstreams are out')
def then_floor(context):
    event = st.tuples(
        st.sampled_from(NAMES), st.booleans(), st.floats(0, 3), st.booleans()
    )

    @SETTINGS
    @hypothesis.given(st.integers(1, 12), st.lists(event, max_size=120))
    def check(count, events):
        rule, now = health.Health(), 0.0
        names = NAMES[:count]
        rule.set_upstreams(names, now)
        for name, succeeded, wait, refused in events:
            now += wait
            if refused:
                rule.record_refused_connection(name, now)
            else:
                rule.record_result(name, succeeded, now)
            out = rule.ejected(now)
            assert len(out) <= max(count // 3, 1)
            assert len(out) < count
            in_service = [n for n in names if rule.weight(n, now) > 0]
            assert len(in_service) == count - len(out)

    check()


@behave.then('an ejected upstream returns with a weight that rises to 1')
def then_slow_start(context):
    rule = health.Health()
    rule.set_upstreams(NAMES, 0.0)
    for _ in range(3):
        rule.record_result('u1', False, 1.0)
    assert rule.weight('u1', 2.0) == 0
    weights = [rule.weight('u1', 6.0 + t) for t in range(0, 12, 2)]
    assert weights == sorted(weights), weights
    assert weights[0] < 0.2 and weights[-1] == 1.0, weights


@behave.then('reports never raise the weight above that without a report')
def then_reports(context):
    @SETTINGS
    @hypothesis.given(st.floats(0, 2), st.booleans(), st.floats(0, 30))
    def check(load, healthy, later):
        plain, told = health.Health(), health.Health()
        for rule in (plain, told):
            rule.set_upstreams(NAMES, 0.0)
            for _ in range(3):
                rule.record_result('u1', False, 1.0)
        told.report('u1', load, healthy, 1.0)
        for now in (1.5, 1.0 + later):
            assert told.weight('u1', now) <= plain.weight('u1', now)

    check()


@behave.then(
    'a waiting request is refused after its longest wait, not near its '
    'deadline'
)
def then_not_held(context):
    # An instance without contact once held requests for 9.96 s of 10 s.
    rule, cfg = admission.Admission(), admission.AdmissionConfig()
    for ident, priority in enumerate(admission.Priority):
        offer = rule.offer(ident, priority, 10.0, 4, 0.0)
        assert offer.accepted
    assert not rule.remove_expired(cfg.max_hold_s)
    refused = rule.remove_expired(cfg.max_hold_s + 0.01)
    assert [item.priority for item in refused] == [admission.Priority.NORMAL]
    refused = rule.remove_expired(cfg.max_order_hold_s + 0.01)
    assert [item.priority for item in refused] == [admission.Priority.ORDER]
    assert not rule.offer(9, admission.Priority.ORDER, 10.0, 0, 0.0).accepted
