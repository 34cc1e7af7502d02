"""Steps for the wire formats of the platform."""

import json

import behave
from builders import front_rig

from jasminehold.platform import wire


@behave.then('the load report "{value}" says "{expected}"')
def then_report(context, value, expected):
    report = wire.decode_load(value.encode())
    found = 'nothing'
    if report is not None:
        found = '%d %d %d %s' % tuple(report)
    assert found == expected, found


@behave.then('a route of the kind "{kind}" is "{expected}"')
def then_kind(context, kind, expected):
    rules = [front_rig.route('r', '/r/', 'loja', kind)]
    doc = front_rig.configuration(1, rules)
    route = wire.decode_config(json.dumps(doc)).match('shop.example', '/r/')
    assert route.idempotent == (expected == 'idempotent'), route
