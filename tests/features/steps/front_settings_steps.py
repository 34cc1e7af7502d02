"""Steps for the settings that the platform renders."""

import json
import pathlib
import tempfile
import time

import behave

from jasminehold.decisions import instance_sample
from jasminehold import errors
from jasminehold.front import app as front_app
from jasminehold.front import cfg as cfg_module
from tests.builders import front_rig
from tests.builders import rendered_settings


@behave.when('the template is filled in with {field} of {value}')
def when_rendered(context, field, value):
    text = rendered_settings.render({field: value})
    context.cfg = context.refusal = None
    try:
        context.cfg = cfg_module.parse(text)
    except errors.SettingsError as exc:
        context.refusal = exc


@behave.when(
    'a machine of {share} of a core at {cpus} times the speed is rendered'
)
def when_machine(context, share, cpus):
    text = rendered_settings.render(
        {'Limits.CpuShare': share, 'Limits.Cpus': cpus}
    )
    context.cfg = cfg_module.parse(text)


@behave.then('its room is that of {cores:g} cores')
def then_room(context, cores):
    app = front_app.FrontApplication(context.cfg)
    expected = instance_sample.room(cores, context.cfg.link_mbps)
    assert abs(app._own_entry['room'] - expected) <= 0.1, app._own_entry


@behave.then('the settings are accepted')
def then_accepted(context):
    assert context.refusal is None, context.refusal
    assert isinstance(context.cfg.max_files, int)


@behave.then('the settings are refused with "{message}"')
def then_refused(context, message):
    assert message in str(context.refusal), context.refusal


@behave.given(
    'an instance whose settings file has a grace period of {seconds:g} s'
)
def given_grace(context, seconds):
    context.rig = front_rig.FrontRig()
    context.add_cleanup(context.rig.stop)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / 'instance.json'
    context.path.write_text('{}')
    context.rig.start(path=str(context.path))
    context.rig.wait_ready()


@behave.when(
    "the file's grace period changes to {seconds:g} s and the instance is"
    ' reloaded'
)
def when_grace(context, seconds):
    app = context.rig.apps['i1']
    doc = rendered_settings.as_document(app.cfg)
    doc['stop_grace'] = seconds
    context.path.write_text(json.dumps(doc))
    context.rig.on_loop(app.loop, app.reload)


@behave.then('a stop during work of {work:g} s ends within {seconds:g} s')
def then_stopped(context, work, seconds):
    rig = context.rig
    for item in rig.upstreams.values():
        item.work_s = work
    client = rig.client()
    client.send('GET', '/browse/a', front_rig.request_headers({}))
    time.sleep(0.1)
    begin = time.monotonic()
    rig.signal_stop('i1')
    rig._threads['i1'].join(2 * seconds + 3)
    assert time.monotonic() - begin <= seconds, time.monotonic() - begin
    client.close()
