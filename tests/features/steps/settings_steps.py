"""Steps for the settings."""

import pathlib

import behave

from jasminehold import errors
from jasminehold.front import cfg as front_cfg
from jasminehold import settings

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'settings.md'
FRONT_PAGE = PAGE.parent / 'operations' / 'front-settings.md'


@behave.when('the settings are {count:d} opening brackets')
def when_brackets(context, count):
    when_settings(context, '[' * count)


@behave.when('the settings are {text}')
def when_settings(context, text):
    context.cfg = context.refusal = None
    try:
        context.cfg = settings.parse(text)
    except errors.SettingsError as exc:
        context.refusal = exc


@behave.then(
    'the settings are accepted with lookup_ttl {value:f} and a ' 'random id'
)
def then_accepted(context, value):
    assert context.refusal is None, context.refusal
    assert context.cfg.lookup_ttl == value
    assert context.cfg.peers == (settings.Address('::1', 7000),)
    other = settings.parse('{place: "a", region: "b"}')
    assert context.cfg.id != other.id


@behave.then('they are refused with "{message}"')
def then_refused(context, message):
    assert context.cfg is None
    assert message in str(context.refusal), context.refusal


@behave.then('docs/settings.md is what the table writes')
def then_page(context):
    page = settings.markdown(settings.KEYS, 'Settings', 'jasminehold.settings')
    assert PAGE.read_text() == page
    page = settings.markdown(
        front_cfg.KEYS, 'Settings on the platform', 'jasminehold.front.cfg'
    )
    assert FRONT_PAGE.read_text() == page
