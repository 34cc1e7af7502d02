"""Steps for front instances over real sockets."""

import contextlib
import io
import json
import pathlib
import random
import tempfile
import time

import behave

from jasminehold import cli
from jasminehold.standin import caller
from tests.builders import front_rig


def _rig(context, **kwargs):
    rig = front_rig.FrontRig(**kwargs)
    context.rig = rig
    context.add_cleanup(rig.stop)
    return rig


@behave.given('two upstreams of one service behind an instance')
def given_instance(context):
    rig = _rig(context)
    rig.start()
    rig.wait_ready()


@behave.given('an instance without a configuration')
def given_unconfigured(context):
    rig = _rig(context, configured=False)
    rig.start()
    rig.wait(lambda: rig.apps['i1'].steering.view.upstreams, 'upstreams known')


def _ask(context, path, method='GET', **headers):
    context.request_id = 'q%d' % time.monotonic_ns()
    headers.setdefault('Cookie', 'X-Affinity-Key=7')
    begin = time.monotonic()
    context.reply = context.rig.ask(
        path, method, X_Request_Id=context.request_id, **headers
    )
    context.seconds = time.monotonic() - begin


@behave.when('a caller asks for "{path}"')
def when_ask(context, path):
    _ask(context, path)


@behave.when('a caller asks for "{path}" with fault "{fault}" at one upstream')
def when_ask_fault(context, path, fault):
    _ask(context, path, X_Fault=fault, X_Fault_At=_owner(context, 'browse'))


@behave.when('a caller orders with fault "{fault}" at one upstream')
def when_order_fault(context, fault):
    owner = _owner(context, 'order')
    _ask(context, '/order/a', 'POST', X_Fault=fault, X_Fault_At=owner)


def _owner(context, route):
    # The upstream that gets the requests of this test's object first.
    steering = context.rig.apps['i1'].steering
    ranked = steering.placement.ranked('loja', '%s/7' % route, {'u1', 'u2'})
    return ranked[0]


@behave.then('the status is {status:d}')
def then_status(context, status):
    assert context.reply.status == status, context.reply


@behave.then('the status is {status:d} within {seconds:g} s')
def then_status_within(context, status, seconds):
    assert context.reply.status == status, context.reply
    assert context.seconds < seconds, context.seconds


@behave.then('the status is 503 with a time to come back')
def then_come_back(context):
    assert context.reply.status == 503, context.reply
    assert float(context.reply.headers['retry-after']) > 0


@behave.then('the status is {status:d} and the answer names the request')
def then_named(context, status):
    then_status(context, status)
    doc = json.loads(context.reply.body)
    assert doc['id'] == context.request_id, doc
    assert 'x-server-seal' in context.reply.headers


@behave.then('the status is {status:d} and upstream "{name}" ran it')
def then_ran_at(context, status, name):
    then_status(context, status)
    assert context.rig.upstreams[name].runs[context.request_id] == 1


@behave.then('the upstream saw its own id and less time than the caller has')
def then_seen(context):
    for name, item in context.rig.upstreams.items():
        seen = item.headers_by_id.get(context.request_id)
        if seen is not None:
            assert seen[b'x-expect-instance'] == name.encode()
            assert 0 < int(seen[b'x-timeout-ms']) <= 2000
            return
    raise AssertionError('no upstream saw the request')


@behave.then('it ran {count:d} times')
def then_ran(context, count):
    assert context.rig.runs(context.request_id) == count


@behave.when(
    'a caller sends {count:d} requests one after the other with fault "extra"'
)
def when_extra(context, count):
    context.replies = []
    for index in range(count):
        request_id = 'e%d' % index
        reply = context.rig.ask(
            '/browse/a', X_Request_Id=request_id, X_Fault='extra'
        )
        context.replies.append((request_id, reply))


@behave.then('each answer names its own request')
def then_own(context):
    for request_id, reply in context.replies:
        assert reply.status == 200, reply
        assert json.loads(reply.body)['id'] == request_id


@behave.when('a caller pipelines {count:d} requests that take {work:g} s each')
def when_pipeline(context, count, work):
    for item in context.rig.upstreams.values():
        item.work_s = work
    context.ids = ['p%d' % index for index in range(count)]
    client = context.rig.client()
    context.begin = time.monotonic()
    client.sock.sendall(front_rig.pipelined(context.ids))
    data = b''
    while data.count(b'"length"') < count:
        chunk = client.sock.recv(65536)
        assert chunk, data
        data += chunk
    context.seconds = time.monotonic() - context.begin
    context.data = data.decode()
    client.close()


@behave.then('the answers come in order within {seconds:g} s')
def then_order(context, seconds):
    places = [context.data.index('"id": "%s"' % name) for name in context.ids]
    assert places == sorted(places)
    assert context.seconds < seconds, context.seconds


@behave.given('the entry of upstream "{name}" names the address of "{other}"')
def given_reused(context, name, other):
    rig = context.rig
    entry = rig.upstreams[other].entry('loja', 'sul-a', Seq=9)
    rig.put('servers/' + name, entry)
    steering = rig.apps['i1'].steering
    rig.wait(
        lambda: steering.view.upstreams[name].entry.port
        == rig.upstreams[other].port,
        'new address',
    )


@behave.when('{count:d} callers order')
def when_orders(context, count):
    context.orders = ['o%d' % index for index in range(count)]
    context.replies = [
        context.rig.ask(
            '/order/a',
            'POST',
            X_Request_Id=name,
            Cookie='X-Affinity-Key=%d' % index,
        )
        for index, name in enumerate(context.orders)
    ]


@behave.then('all orders ran once')
def then_orders(context):
    assert [reply.status for reply in context.replies] == [200] * len(
        context.orders
    ), context.replies
    assert all(context.rig.runs(name) == 1 for name in context.orders)


@behave.then('all orders ran once and none at "{name}"')
def then_orders_not_at(context, name):
    then_orders(context)
    assert not context.rig.upstreams[name].runs


@behave.when(
    'a caller leaves {after:g} s after it asked for work of {work:g} s'
)
def when_leave(context, after, work):
    for item in context.rig.upstreams.values():
        item.work_s = work
    client = context.rig.client()
    headers = front_rig.request_headers({'X_Request_Id': 'gone'})
    client.send('GET', '/browse/a', headers)
    time.sleep(after)
    client.close()


@behave.then('the upstream notices within {seconds:g} s')
def then_cancelled(context, seconds):
    time.sleep(seconds)
    upstreams = context.rig.upstreams.values()
    assert sum(item.arrivals for item in upstreams)
    held = [name for item in upstreams for name in item.held]
    assert not held, held


@behave.when('a caller asks for work of {work:g} s on a route of 0.5 s')
def when_slow(context, work):
    rig = context.rig
    for item in rig.upstreams.values():
        item.work_s = work
    rule = front_rig.route('slow', '/slow/', 'loja', TimeoutMs=500)
    rig.put('op/config', front_rig.configuration(2, [rule]))
    rig.wait(lambda: rig.apps['i1'].steering.table.version == 2, 'version 2')
    _ask(context, '/slow/a')


@behave.given('upstream "{name}" stopped without a word')
def given_stopped(context, name):
    rig = context.rig
    rig.call(rig.upstreams[name].stop)


@behave.when(
    'the operator stores version {number:d} without the route "browse"'
)
def when_without(context, number):
    rules = [rule for rule in front_rig.RULES if rule['Name'] == 'order']
    context.rig.put('op/config', front_rig.configuration(number, rules))


@behave.when('the operator stores version {number:d} with all routes')
def when_all_routes(context, number):
    rig = context.rig
    rig.wait(lambda: rig.apps['i1'].steering.table.version > 1, 'a version')
    rules = list(front_rig.RULES)
    rig.put('op/config', front_rig.configuration(number, rules))


@behave.then('a request on "{path}" gets 404 from within 1 s on')
def then_gone_route(context, path):
    time.sleep(1.0)
    for _ in range(5):
        assert context.rig.ask(path).status == 404
        time.sleep(0.1)


@behave.given('the instance has held its copy of the store for {seconds:g} s')
def given_held(context, seconds):
    time.sleep(seconds)


@behave.when('upstream "{name}" reports that it is leaving')
def when_draining(context, name):
    rig = context.rig
    entry = rig.upstreams[name].entry('loja', 'sul-a', State='draining', Seq=2)
    rig.put('servers/' + name, entry)


@behave.then('after 1 s no request reaches "{name}"')
def then_nothing_reaches(context, name):
    time.sleep(1.0)
    before = context.rig.upstreams[name].arrivals
    for index in range(8):
        reply = context.rig.ask(
            '/browse/a', Cookie='X-Affinity-Key=%d' % index
        )
        assert reply.status == 200
    assert context.rig.upstreams[name].arrivals == before


@behave.given('an upstream "{name}" in place "{place}"')
def given_other_place(context, name, place):
    rig = context.rig
    rig.call(rig.add_upstream, name, 'loja', place)


@behave.when('the operator evacuates "{place}"')
def when_evacuate(context, place):
    context.rig.put('op/evacuate/' + place, {})


@behave.then('after 1 s all requests reach "{name}"')
def then_all_reach(context, name):
    time.sleep(1.0)
    before = context.rig.upstreams[name].arrivals
    for index in range(8):
        reply = context.rig.ask(
            '/browse/a', Cookie='X-Affinity-Key=%d' % index
        )
        assert reply.status == 200, reply
    assert context.rig.upstreams[name].arrivals == before + 8


@behave.when('the store holds the entry {value} under "{key}"')
def when_bad_entry(context, value, key):
    doc = b'\xff\x00\x9a' if value == 'bytes' else json.loads(value)
    context.rig.put(key, doc)


@behave.then('requests are served and no upstream "{name}" is known')
def then_bad_unknown(context, name):
    time.sleep(0.9)
    rig = context.rig
    assert rig.ask('/browse/a').status == 200
    assert set(rig.apps['i1'].steering.view.upstreams) == {'u1', 'u2', 'w1'}


@behave.when('the store is "{mode}" for {seconds:g} s')
def when_store_down(context, mode, seconds):
    rig = context.rig
    rig.call(rig.store.set_faults, mode=mode)
    context.statuses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.statuses.append(rig.ask('/browse/a').status)
        time.sleep(0.1)
    rig.call(rig.store.set_faults)


@behave.when(
    'the store has been silent for the {seconds:g} s in which a version takes'
    ' effect'
)
def when_store_silent(context, seconds):
    rig = context.rig
    rig.call(rig.store.set_faults, mode='silent')
    time.sleep(seconds)


@behave.when(
    'the store serves again with version {number:d} that has "{prefix}"'
)
def when_store_serves(context, number, prefix):
    rig = context.rig
    rules = [*front_rig.RULES, front_rig.route('added', prefix, 'loja')]
    rig.put('op/config', front_rig.configuration(number, rules))
    rig.call(rig.store.set_faults)


@behave.then('requests are served all the while')
def then_served(context):
    assert set(context.statuses) == {200}, context.statuses


@behave.when(
    'the store forgets its history while version {number:d} is stored'
)
def when_forget(context, number):
    rig = context.rig

    def change():
        rig.store.put(
            'op/config', front_rig.configuration(number, list(front_rig.RULES))
        )
        rig.store.compact_history()

    rig.call(change)


@behave.then('version {number:d} is in force within {seconds:g} s')
def then_in_force(context, number, seconds):
    end = time.monotonic() + seconds
    steering = context.rig.apps['i1'].steering
    while time.monotonic() < end and steering.table.version != number:
        time.sleep(0.02)
    assert steering.table.version == number


@behave.given(
    'a second instance that the store refuses, with the first as seed'
)
def given_refused(context):
    rig = context.rig
    rig.call(rig.store.set_faults, mode='busy')
    seed = rig.apps['i1'].cfg.peer_listen
    rig.start('i2', 'sul-b', [seed], 2)


@behave.when(
    'the second has been told of news, and the next are {seconds:g} s under'
    ' way'
)
def when_news_wait(context, seconds):
    rig = context.rig
    app = rig.apps['i2']
    first = rig.apps['i1']._reader.replica
    rig.wait(
        lambda: app._reader.replica.revision == first.revision, 'same copies'
    )
    # It reads nothing itself from now on.
    app._reader._retry_at = float('inf')
    handlers = app._peering.mesh._handlers
    handle = handlers['news']
    told = []

    def keep(sender, message, reply):
        told.append(message)
        handle(sender, message, reply)

    handlers['news'] = keep
    rig.wait(lambda: len(told) >= 2, 'news', wait_s=15)
    waiting = []
    handlers['news'] = lambda *args: waiting.append(args)
    rig.wait(lambda: waiting, 'news that wait')
    begin = time.monotonic()
    time.sleep(seconds)
    revision = app._reader.replica.revision
    rig.on_loop(app.loop, handle, *waiting[0])
    assert waiting[0][1]['before'] <= revision, 'changes are missing'
    context.waited_s = time.monotonic() - begin


@behave.then('its copy is at least {seconds:g} s old')
def then_old(context, seconds):
    app = context.rig.apps['i2']
    assert app._reader.replica.age(app.loop.now()) >= seconds
    assert context.waited_s < seconds + 1.0


@behave.given('a second instance that knows neither the store nor a peer')
def given_alone(context):
    rig = context.rig
    rig.call(rig.store.set_faults, mode='busy')
    rig.start('i2', 'sul-b', (), 2)


@behave.then('the second instance answers no look-up and is not ready')
def then_no_answer(context):
    cfg = context.rig.apps['i2'].cfg
    look_up = '/api/resolve?Name=shop.example&Region=sul&Zone=x'
    end = time.monotonic() + 2.0
    while time.monotonic() < end:
        for listen, path in (
            (cfg.directory_listen, look_up),
            (cfg.ready_listen, '/api/ready'),
        ):
            client = caller.Client(listen.port)
            assert client.request('GET', path).status == 503, path
            client.close()
        time.sleep(0.1)


@behave.then('the second instance serves within {seconds:g} s')
def then_second(context, seconds):
    rig = context.rig
    end = time.monotonic() + seconds
    status = None
    while time.monotonic() < end and status != 200:
        status = rig.ask('/browse/a', name='i2').status
        time.sleep(0.1)
    assert status == 200, status


@behave.given('a second instance in place "{place}"')
def given_second(context, place):
    rig = context.rig
    rig.start('i2', place, (), 2)
    rig.wait_ready('i2')
    rig.wait(
        lambda: set(rig.apps['i1'].steering.instances) == {'i1', 'i2'},
        'both instances known',
    )


def _named(rig, region, name='i1'):
    port = rig.apps[name].cfg.directory_listen.port
    client = caller.Client(port)
    path = '/api/resolve?Name=shop.example&Region=%s&Zone=x' % region
    doc = json.loads(client.request('GET', path).body)
    client.close()
    assert 0 < doc['TtlS'] <= 5
    return set(doc['Addrs'])


def _address(rig, name):
    return '%s:%d' % rig.apps[name].cfg.caller_listen


@behave.then('a caller in region "{region}" is sent to the first one only')
def then_first_only(context, region):
    rig = context.rig
    assert _named(rig, region) == {_address(rig, 'i1')}


@behave.then(
    'after a kill of the second one callers of "{region}" are sent elsewhere'
)
def then_elsewhere(context, region):
    rig = context.rig
    assert _named(rig, region) == {_address(rig, 'i2')}
    rig.apps['i2'].stop()
    rig.wait(
        lambda: _named(rig, region) == {_address(rig, 'i1')},
        'the first instance named alone',
    )


@behave.when('the instance is told to stop during work of {work:g} s')
def when_stop(context, work):
    rig = context.rig
    for item in rig.upstreams.values():
        item.work_s = work
    context.client = rig.client()
    headers = front_rig.request_headers({'X_Request_Id': 'last'})
    context.client.send('GET', '/browse/a', headers)
    time.sleep(0.1)
    app = rig.apps['i1']
    rig.on_loop(app.loop, app.leave)


@behave.then('the work is answered and the connection is closed')
def then_answered(context):
    reply = context.client.read()
    assert reply.status == 200 and reply.complete, reply
    assert reply.headers.get('connection') == 'close'
    context.client.close()


@behave.then('the instance is neither ready nor named any more')
def then_not_ready(context):
    rig = context.rig
    client = caller.Client(rig.apps['i1'].cfg.ready_listen.port)
    assert client.request('GET', '/api/ready').status == 503
    client.close()
    assert not rig.call(rig.store.state.list, 'jasminehold/members/', '')[0]


@behave.when(
    'the store is "{mode}" for {seconds:g} s and loses the entry of "{name}"'
    ' meanwhile'
)
def when_lapse(context, mode, seconds, name):
    rig = context.rig
    context.known = []
    rig.call(rig.store.set_faults, mode=mode)
    rig.call(rig.store.delete, 'servers/' + name)
    time.sleep(seconds)
    rig.call(rig.store.set_faults)


@behave.when('the entry of "{name}" is back {seconds:g} s after the store')
def when_back(context, name, seconds):
    rig = context.rig
    view = rig.apps['i1'].steering.view
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.known.append(name in view.upstreams)
        time.sleep(0.02)
    rig.put('servers/' + name, rig.upstreams[name].entry('loja', 'sul-a'))
    end = time.monotonic() + 2.5
    while time.monotonic() < end:
        context.known.append(name in view.upstreams)
        time.sleep(0.02)


@behave.then('upstream "{name}" was known all the while')
def then_known(context, name):
    assert all(context.known), context.known.count(False)


def _settings_file(app, path, **changes):
    doc = {
        name: '%s:%d' % value if isinstance(value, tuple) else value
        for name, value in app.cfg._asdict().items()
        if name not in ('seeds', 'internal_ports', 'peer_key')
    }
    doc['internal_ports'] = list(app.cfg.internal_ports)
    doc.update(changes)
    path.write_text(json.dumps(doc))


@behave.given(
    'two upstreams of one service behind an instance with a settings file'
)
def given_file(context):
    rig = _rig(context)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / 'instance.json'
    context.path.write_text('{}')
    app = rig.start(path=str(context.path))
    rig.wait_ready()
    _settings_file(app, context.path)


@behave.when("the file's retry burst changes to {burst:d}")
def when_file_changes(context, burst):
    app = context.rig.apps['i1']
    _settings_file(app, context.path, retry_burst=burst)
    context.burst = burst


@behave.then('the instance uses it within {seconds:g} s')
def then_used(context, seconds):
    steering = context.rig.apps['i1'].steering
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if steering._cfg.retry_burst == context.burst:
            return
        time.sleep(0.05)
    raise AssertionError(steering._cfg.retry_burst)


@behave.then('a file with a fault changes nothing')
def then_fault(context):
    context.path.write_text('{"place": 7}')
    time.sleep(2.5)
    steering = context.rig.apps['i1'].steering
    assert steering._cfg.retry_burst == context.burst


def _readiness(rig):
    client = caller.Client(rig.apps['i1'].cfg.ready_listen.port)
    status = client.request('GET', '/api/ready').status
    client.close()
    return status


@behave.then('it is not ready')
def then_unready(context):
    assert _readiness(context.rig) == 503


@behave.then('it is ready soon after the operator stores version {number:d}')
def then_ready(context, number):
    rig = context.rig
    rules = list(front_rig.RULES)
    rig.put('op/config', front_rig.configuration(number, rules))
    rig.wait(lambda: _readiness(rig) == 200, 'readiness')


@behave.when('the boot clock runs ahead by {seconds:g} s')
def when_suspended(context, seconds):
    rig = context.rig
    context.reads = rig.store.counts.get('range', 0)
    reader = rig.apps['i1']._reader
    rig.on_loop(rig.apps['i1'].loop, _fall_behind, reader, seconds)


def _fall_behind(reader, seconds):
    # As if the lead had been measured before a suspension.
    reader._boot_clock_lead_s -= seconds
    reader._tick()


@behave.then('the instance reads the store at once')
def then_reads(context):
    rig = context.rig
    end = time.monotonic() + 0.3
    while time.monotonic() < end:
        if rig.store.counts.get('range', 0) > context.reads:
            return
        time.sleep(0.01)
    raise AssertionError('the store was not read')


@behave.when(
    'a caller leaves {after:g} s after an order that is rejected after'
    ' {work:g} s'
)
def when_leave_order(context, after, work):
    for item in context.rig.upstreams.values():
        item.work_s = work
    client = context.rig.client()
    headers = front_rig.request_headers({'X_Fault': 'late-shed'})
    client.send('POST', '/order/a', headers)
    time.sleep(after)
    client.close()


@behave.then('one request reached the upstreams within {seconds:g} s')
def then_one(context, seconds):
    time.sleep(seconds)
    upstreams = context.rig.upstreams.values()
    assert sum(item.arrivals for item in upstreams) == 1


@behave.when('a caller reads "{path}" with fault "{fault}" at "{name}"')
def when_read_fault_at(context, path, fault, name):
    _ask(context, path, X_Fault=fault, X_Fault_At=name)


@behave.when(
    'the instance is told to stop while {count:d} pipelined requests take'
    ' {work:g} s'
)
def when_stop_pipelined(context, count, work):
    rig = context.rig
    for item in rig.upstreams.values():
        item.work_s = work
    client = rig.client()
    client.sock.sendall(
        front_rig.pipelined(['p%d' % index for index in range(count)])
    )
    time.sleep(work / 2)
    app = rig.apps['i1']
    rig.on_loop(app.loop, app.leave)
    context.count, context.data = count, b''
    while True:
        chunk = client.sock.recv(65536)
        if not chunk:
            break
        context.data += chunk
    client.close()


@behave.then(
    'all of them are answered and the last answer closes the connection'
)
def then_all_answered(context):
    text = context.data.decode()
    assert text.count('"length"') == context.count, text
    last = text.rindex('HTTP/1.1')
    assert 'connection: close' not in text[:last].lower(), text
    assert 'connection: close' in text[last:].lower(), text


@behave.when(
    '{count:d} changes and version 9 come within {seconds:g} s without the'
    ' store'
)
def when_many_changes(context, count, seconds):
    rig = context.rig
    rig.call(rig.store.set_faults, mode='busy')

    def change():
        item = rig.upstreams['u1']
        for number in range(count):
            entry = item.entry('loja', 'sul-a', Seq=number + 2)
            rig.store.put('servers/u1', entry)
        rules = list(front_rig.RULES)
        rig.store.put('op/config', front_rig.configuration(9, rules))

    rig.call(change)
    time.sleep(seconds)
    rig.call(rig.store.set_faults)


@behave.given(
    'a second instance that keeps version {old:d} while the first has version'
    ' {new:d}'
)
def given_behind(context, old, new):
    rig = context.rig
    rig.start('i2', 'sul-b', (), 2)
    rig.wait_ready('i2')
    # It takes no newer configuration from now on.
    rig.apps['i2'].steering.on_config = lambda table: False
    document = front_rig.configuration(new, list(front_rig.RULES))
    rig.put('op/config', document)
    first, second = (rig.apps[name].steering for name in ('i1', 'i2'))
    rig.wait(lambda: first.table.version == new, 'the new configuration')
    assert second.table.version == old


@behave.when(
    'an operator asks for the status of both and of an unused address'
)
def when_status(context):
    addresses = [
        '%s:%d' % context.rig.apps[name].cfg.metrics_listen
        for name in ('i1', 'i2')
    ]
    addresses.append('127.0.0.1:%d' % front_rig.free_port())
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.status = cli.main(['status', *addresses, '--output', 'json'])
    context.found = json.loads(out.getvalue())
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        assert cli.main(['status', *addresses]) == context.status
    assert 'behind' in out.getvalue()


@behave.then('the first is serving, the second behind and the last silent')
def then_states(context):
    states = [item['state'] for item in context.found]
    assert states == ['serving', 'behind', 'silent'], context.found
    first = context.found[0]
    assert (first['instance'], first['config']) == ('i1', 9), first
    assert first['upstreams'] == 3 and first['copy_age_s'] < 2, first


@behave.given('{count:d} instances of one region that start together')
def given_region(context, count):
    rig = _rig(context)
    names = ['i%d' % number for number in range(count)]
    for number, name in enumerate(names):
        seeds = [app.cfg.peer_listen for app in rig.apps.values()][:2]
        rig.start(name, 'sul-a', seeds, number)
    for name in names:
        rig.wait_ready(name)
        steering = rig.apps[name].steering
        rig.wait(lambda: set(steering.instances) == set(names), 'members')
    rig.wait(
        lambda: all(
            len(app._peering.mesh.connected()) == count - 1
            for app in rig.apps.values()
        ),
        'links',
    )


def _news_bytes(app):
    return app.metrics.value('peer_bytes_sent_by_type', type='news')


@behave.then('none told news in its first {seconds:g} s')
def then_no_news(context, seconds):
    # Each started within the last seconds, or told nothing but afterwards.
    for name, app in context.rig.apps.items():
        now = app.loop.now()
        if now - app._peering._started_at < seconds:
            assert not _news_bytes(app), (name, _news_bytes(app))
    youngest = max(
        context.rig.apps.values(), key=lambda app: app._peering._started_at
    )
    fields = {'before': 1, 'revision': 1}
    youngest._peering._started_at = youngest.loop.now()
    before = _news_bytes(youngest)
    context.rig.on_loop(
        youngest.loop, youngest._peering._tell_region, (), 0.0, fields
    )
    assert _news_bytes(youngest) == before


@behave.then('one of them alone tells news {seconds:g} s later')
def then_one_tells(context, seconds):
    time.sleep(seconds)
    apps = context.rig.apps.values()
    before = {app.cfg.id: _news_bytes(app) for app in apps}
    time.sleep(2.0)
    telling = [
        app.cfg.id for app in apps if _news_bytes(app) > before[app.cfg.id]
    ]
    assert len(telling) == 1, telling


def _lists_asked(rig):
    # Requests for lists that the instances have sent.
    return sum(
        app.metrics.value('peer_bytes_sent_by_type', type='snapshot')
        for app in rig.apps.values()
    )


@behave.then('none asked another one for a list')
def then_no_lists(context):
    assert not _lists_asked(context.rig), _lists_asked(context.rig)


@behave.when(
    'the store is silent for {seconds:g} s while version {number:d} and'
    ' {count:d} entries are written'
)
def when_written_silently(context, seconds, number, count):
    rig = context.rig
    rig.call(rig.store.set_faults, mode='silent')
    rules = list(front_rig.RULES)
    rig.put('op/config', front_rig.configuration(number, rules))
    entry = rig.upstreams['u1'].entry('loja', 'sul-b')
    context.entries = {'x%d' % index for index in range(count)}
    for name in context.entries:
        rig.put('servers/' + name, entry)
    time.sleep(seconds)
    rig.call(rig.store.set_faults)


@behave.then(
    'all instances have version {number:d} and the entries within'
    ' {seconds:g} s'
)
def then_have_entries(context, number, seconds):
    left = dict(context.rig.apps)
    end = time.monotonic() + seconds
    while left and time.monotonic() < end:
        time.sleep(0.05)
        left = {
            name: app
            for name, app in left.items()
            if app.steering.table.version != number
            or not context.entries <= set(app.steering.view.upstreams)
        }
    assert not left, sorted(left)


@behave.when('an instance is told of changes after ones that it missed')
def when_missed(context):
    rig = context.rig
    app = rig.apps['i0']
    revision = app._reader.replica.revision
    context.calls = app.metrics.value(
        'store_calls_total', call='kv-watch', result='ok'
    )
    message = {
        'type': 'news',
        'items': [],
        'era': app._reader.replica.era,
        'before': revision + 5,
        'revision': revision + 6,
        'age': 0,
        'steady': 1000,
    }
    rig.on_loop(app.loop, app._peering._on_news, 'i1', message, None)


@behave.when(
    'an instance is told the differences to another copy than its own'
)
def when_other_copy(context):
    app = context.rig.apps['i0']
    reader = app._reader
    context.rig.wait(
        lambda: reader.replica.age(app.loop.now()) < 0.3, 'a fresh copy'
    )
    revision = reader.replica.revision
    message = {
        'type': 'news',
        'items': [],
        'era': reader.replica.era,
        'former': [reader.replica.era, revision - 3],
        'before': revision + 6,
        'revision': revision + 6,
        'age': 0,
        'steady': 1000,
    }
    context.rig.on_loop(app.loop, app._peering._on_news, 'i1', message, None)
    context.planned = reader._catch_up_at


@behave.then('it neither reads the store for it nor asks for a list')
def then_waits(context):
    assert context.planned is None
    assert not _lists_asked(context.rig)


@behave.then('it has read the store and asked no one for a list')
def then_caught_up(context):
    rig = context.rig
    app = rig.apps['i0']
    rig.wait(
        lambda: app.metrics.value(
            'store_calls_total', call='kv-watch', result='ok'
        )
        > context.calls,
        'a read of its own',
    )
    assert not _lists_asked(rig)


@behave.when(
    'the entry of an upstream is removed during its work on a {method}'
)
def when_lapses_in_work(context, method):
    rig = context.rig
    for item in rig.upstreams.values():
        item.work_s = 1.2
    client = rig.client()
    path = '/browse/a' if method == 'GET' else '/order/a'
    headers = front_rig.request_headers({'X_Request_Id': 'work'})
    client.send(method, path, headers)
    rig.wait(lambda: rig.runs('work'), 'the work')
    name = next(n for n, i in rig.upstreams.items() if i.runs['work'])
    view = rig.apps['i1'].steering.view
    rig.call(rig.store.delete, 'servers/' + name)
    rig.wait(lambda: name not in view.upstreams, 'the entry gone')
    context.reply = client.read()
    client.close()


@behave.then('the work is answered and was done once')
def then_done_once(context):
    assert context.reply.status == 200, context.reply
    assert context.rig.runs('work') == 1


def _large_configuration(number, count):
    # A configuration with many routes more, and names as various as theirs.
    rng = random.Random(number)
    rules = list(front_rig.RULES)
    for _ in range(count):
        name = '%08x' % rng.getrandbits(32)
        rules.append(front_rig.route('r-' + name, '/%s/' % name, 'loja'))
    return front_rig.configuration(number, rules)


def _has_version(rig, number):
    return all(
        app.steering.table.version >= number for app in rig.apps.values()
    )


@behave.when(
    'versions {first:d} and {second:d} with {count:d} routes more come'
    ' {seconds:g} s apart'
)
def when_grown(context, first, second, count, seconds):
    rig = context.rig
    # News begin when the instances have been running for a while.
    rig.wait(
        lambda: sum(map(_news_bytes, rig.apps.values())), 'news', wait_s=15
    )
    context.told = {app: _news_bytes(app) for app in rig.apps.values()}
    rig.put('op/config', _large_configuration(first, count))
    time.sleep(seconds)
    rig.put('op/config', _large_configuration(second, count))


@behave.then('all instances have version {number:d} within {seconds:g} s')
def then_all_have(context, number, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end and not _has_version(context.rig, number):
        time.sleep(0.02)
    assert _has_version(context.rig, number)


# Twenty peers on a link of 10 Mbit/s within half a second.
@behave.then(
    'an instance has told each of the others at most {limit:d} kB a version'
)
def then_told(context, limit):
    others = len(context.told) - 1
    for app, before in context.told.items():
        sent = _news_bytes(app) - before
        assert sent <= 2 * others * limit * 1000, (app.cfg.id, sent)


@behave.when(
    'an instance misses version {number:d} with {count:d} routes more and'
    ' catches up'
)
def when_catches_up(context, number, count):
    rig = context.rig
    app = max(rig.apps.values(), key=lambda item: item._peering.rank())
    context.behind = app
    rig.wait(
        lambda: sum(map(_news_bytes, rig.apps.values())), 'news', wait_s=15
    )
    handlers = app._peering.mesh._handlers
    handle = handlers['news']
    lost = []

    def lose_one(sender, message, reply):
        large = len(message.get('packed') or str(message)) > 10_000
        if large and not lost:
            lost.append(message)
        else:
            handle(sender, message, reply)

    handlers['news'] = lose_one
    context.told_before = _news_bytes(app)
    rig.put('op/config', _large_configuration(number, count))
    rig.wait(lambda: app.steering.table.version == number, 'the version')
    assert lost


@behave.then('it has told nobody of that version')
def then_told_nobody(context):
    time.sleep(0.2)
    sent = _news_bytes(context.behind) - context.told_before
    # Less than the version has to one peer, also when it is compressed.
    assert sent < 10_000, sent


@behave.when(
    'the store sends {rate:d} kB a second and version {number:d} has'
    ' {count:d} routes more'
)
def when_slow_link(context, rate, number, count):
    rig = context.rig
    rig.call(rig.store.set_faults, bytes_per_s=rate * 1000)
    rig.put('op/config', _large_configuration(number, count))
