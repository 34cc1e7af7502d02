"""Steps for the wire formats of the platform."""

import behave

from jasminehold.platform import wire


@behave.then('the load report "{value}" says "{expected}"')
def then_report(context, value, expected):
    report = wire.decode_load(value.encode())
    found = 'nothing'
    if report is not None:
        found = '%d %d %d %s' % tuple(report)
    assert found == expected, found
