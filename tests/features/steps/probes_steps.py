"""Steps for the probes of upstreams."""

import json
import random

import behave
import circuits
import hypothesis
from hypothesis import strategies as st

from jasminehold import loop as loop_module
from jasminehold import metrics
from jasminehold.standin import upstream as standin
from jasminehold.steering import probes
from jasminehold.steering import tables

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, deadline=None, max_examples=200
)


@behave.given('{count:d} upstreams that are probed at {path}')
def given_probed(context, count, path):
    context.root = circuits.Component()
    loop = context.loop = loop_module.Loop().register(context.root)
    context.servers = [
        standin.Upstream(loop, 'u%d' % n, '127.0.0.1', 0, standin.Options())
        for n in range(count)
    ]
    table = tables.Tables()
    table.services['loja'] = tables.Service(
        'loja', frozenset(), (), 1.0, (), 0.1, None, path
    )
    for server in context.servers:
        table.upstreams[server.name] = tables.Upstream(
            server.name, 'loja', 'sul-a', server.host, server.port
        )
    context.heard = {}

    def on_report(name, load, healthy, leaving):
        context.heard[name] = (load, healthy, leaving)
        done = len(context.heard) == count
        if done and context.heard['u0'][2]:
            context.root.stop()

    probes.Probes(
        loop,
        table,
        lambda: list(table.upstreams),
        on_report,
        random.Random(1),
        metrics.Metrics(),
    )


@behave.when('the first one is drained')
def when_drained(context):
    context.servers[0].drain()


@behave.then(
    'its leaving and the load of all are heard within {seconds:d} seconds'
)
def then_heard(context, seconds):
    context.loop.call_later(seconds, context.root.stop)
    context.root.run()
    assert context.heard['u0'][2] is True, context.heard
    assert {name: load for name, (load, _, _) in context.heard.items()} == {
        'u0': 0.0,
        'u1': 0.0,
        'u2': 0.0,
    }, context.heard


@behave.then('any bytes give a report or a ValueError')
def then_malformed(context):
    documents = st.dictionaries(
        st.sampled_from(['load', 'healthy', 'leaving']),
        st.none() | st.booleans() | st.floats() | st.text() | st.integers(),
    ).map(lambda doc: json.dumps(doc).encode())

    @SETTINGS
    @hypothesis.given(st.binary() | documents)
    def check(body):
        try:
            load, healthy, leaving = probes.parse(body)
        except ValueError:
            return
        assert load is None or 0 <= load <= 1e6
        assert isinstance(healthy, bool) and isinstance(leaving, bool)

    check()
    for body in (b'[' * 100000, b'[]', b'{"load": NaN}', b'{"load": true}'):
        try:
            probes.parse(body)
        except ValueError:
            continue
        raise AssertionError(body[:20])
