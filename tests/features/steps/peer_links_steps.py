"""Steps for the streams between instances."""

import time
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies
import msgpack

from builders import peers as builder
from jasminehold import errors
from jasminehold.peers import frames
from jasminehold.peers import link as link_module
from jasminehold.peers import mesh as mesh_module

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=300, deadline=None
)


def _pair(context, keys_b=(builder.KEY,)):
    context.fleet = builder.Meshes()
    context.a = context.fleet.add('a')
    context.b = context.fleet.add('b', keys_b)
    context.got = []
    context.b.handle('n', lambda sender, m, reply: context.got.append(m['n']))
    for made in (context.a, context.b):
        made.handle(
            'double',
            lambda sender, m, reply: reply({'n': 2 * m['n'], 'to': sender}),
        )


def _links(made, name):
    peer = made._peers.get(name)
    return [] if peer is None else [x for x in peer.links if not x.closed]


def _connect(context):
    context.a.set_peers(['b'])

    def both():
        return context.a.is_connected('b') and context.b.is_connected('a')

    assert context.fleet.run_until(both) is not None


@behave.given('instances a and b')
def given_pair(context):
    _pair(context)


@behave.given('instances a and b whose secrets differ under the same key id')
def given_wrong(context):
    patch = mock.patch.object(mesh_module, '_log')
    context.log = patch.start()
    context.add_cleanup(patch.stop)
    _pair(context, [('k1', b'x' * 32)])


@behave.given('instances a and b with a relay that {fault} the third message')
def given_relay(context, fault):
    _pair(context)
    held = []

    def change(number, frame):
        # Frames 0 and 1 are the handshake.
        if number == 4 and fault == 'repeats':
            return [frame, frame]
        if number == 4 and fault == 'swaps':
            held.append(frame)
            return []
        if number == 5 and held:
            return [frame, held.pop()]
        if number == 4 and fault == 'drops':
            return []
        if number == 4 and fault == 'corrupts':
            return [frame[:-1] + bytes([frame[-1] ^ 1])]
        if number == 4 and fault == 'reflects':
            writer = _links(context.b, 'a')[0]._writer
            return [writer.encode(msgpack.packb({'m': {'type': 'n', 'n': 9}}))]
        return [frame]

    context.fleet.relay('b', change)


@behave.when('a asks b')
def when_asks(context):
    context.replies = []
    context.a.ask(
        'b',
        {'type': 'double', 'n': 21},
        3.0,
        lambda *args: context.replies.append(args),
    )
    assert not context.replies
    context.fleet.run_until(lambda: context.replies)


@behave.then('the reply is right')
def then_right(context):
    assert context.replies == [({'n': 42, 'to': 'a'}, None)], context.replies
    assert not context.fleet.faults, context.fleet.faults


@behave.then('both count the same bytes, before and after the link closes')
def then_bytes(context):
    def counted(name, way):
        return context.fleet.metrics[name].value('peer_bytes_' + way)

    def equal():
        there = counted('a', 'sent'), counted('a', 'received')
        back = counted('b', 'received'), counted('b', 'sent')
        # A handshake alone takes more than 200 bytes each way.
        return there == back and min(there) > 200

    assert context.fleet.run_until(equal) is not None
    before = counted('a', 'sent')
    for link in _links(context.a, 'b'):
        link.close()
    context.fleet.run_until(lambda: not _links(context.b, 'a'), 2.0)
    context.fleet.run_until(lambda: False, 2 * mesh_module.TICK_S)
    assert counted('a', 'sent') >= before
    assert equal()


@behave.then('the ask fails as not sent and a counts wrong key')
def then_wrong(context):
    assert [r for r, _ in context.replies] == [None]
    assert context.replies[0][1].details == {'sent': False}
    assert context.fleet.closed_for('a', 'wrong key') == 1
    assert not context.b.connected()


@behave.then(
    'an unknown type, a faulty handler, a silent handler and an unknown '
    'instance each end the request once'
)
def then_errors(context):
    context.b.handle('faulty', lambda sender, m, reply: reply(m['absent']))
    context.b.handle('silent', lambda sender, m, reply: None)
    ends = []
    for peer, kind in (
        ('b', 'nothing'),
        ('b', 'faulty'),
        ('b', 'silent'),
        ('z', 'double'),
    ):
        context.a.ask(
            peer,
            {'type': kind},
            0.5,
            lambda r, exc, kind=kind: ends.append((kind, str(exc))),
        )
    context.fleet.run_until(lambda: False, 1.0)
    assert sorted(ends) == [
        ('double', 'no link'),
        ('faulty', 'message failed'),
        ('nothing', 'unknown message type'),
        ('silent', 'timed out'),
    ], ends


@behave.when('a sends 6 numbered messages')
def when_numbered(context):
    _connect(context)
    for number in range(6):
        context.a.send('b', {'type': 'n', 'n': number})
    context.fleet.run_until(lambda: len(context.got) > 5, 0.5)


@behave.then('b received a prefix of them in order and counts {reason}')
def then_prefix(context, reason):
    assert context.got in ([0, 1], [0, 1, 2]), context.got
    assert context.fleet.closed_for('b', reason) == 1


@behave.given('instances a and b with a relay that records')
def given_recorder(context):
    _pair(context)
    context.direct = context.fleet.addresses['b']
    context.recorded = []

    def change(number, frame):
        context.recorded.append(frame)
        return [frame]

    context.fleet.relay('b', change)
    _connect(context)
    context.a.send('b', {'type': 'n', 'n': 1})
    assert context.fleet.run_until(lambda: context.got) is not None


def _raw(context, data):
    closed = []

    def on_open(conn):
        conn.on_close = closed.append
        conn.write(data)

    context.fleet.loop.connect(*context.direct, on_open, closed.append)
    return closed


@behave.when('the recorded stream is sent to b again')
def when_replayed(context):
    closed = _raw(context, b''.join(context.recorded))
    assert context.fleet.run_until(lambda: closed, 1.0) is not None


@behave.then('{name} logs one failed handshake for {reason}')
def then_logged(context, name, reason):
    lines = [
        call.kwargs
        for call in context.log.call_args_list
        if call.args[0] == 'peer handshake failed'
        and call.kwargs['reason'] == reason
    ]
    assert len(lines) == 1, context.log.call_args_list
    assert lines[0]['links'] == 0


@behave.then('b counts wrong key and received nothing twice')
def then_refused(context):
    assert context.fleet.closed_for('b', 'wrong key') == 1
    assert context.got == [1]


@behave.then('each kind of garbage closes its own connection within a second')
def then_garbage(context):
    _connect(context)
    context.direct = context.fleet.addresses['b']
    nested = frames.Writer(b'').encode(b'\x91' * 1000)
    for data in (
        b'\xff' * 64,
        b'\0\0\0\0',
        (2000).to_bytes(4, 'big'),
        b'GET / HTTP/1.1\r\n\r\n',
        nested,
        frames.Writer(b'').encode(frames.pack([1])),
        frames.Writer(b'').encode(frames.pack({'type': 'hello'})),
        frames.Writer(b'').encode(frames.pack({'type': 'auth', 'proof': b''})),
    ):
        closed = _raw(context, data)
        assert context.fleet.run_until(lambda: closed, 1.0) is not None, data
    failed = context.fleet.metrics['b'].total('peer_handshakes_failed')
    assert failed == 8, failed
    assert context.b.connected() == ['a'], context.b.connected()


@behave.then(
    'a connection that sends nothing is closed by the handshake time-out'
)
def then_timeout(context):
    closed = _raw(context, b'')
    seconds = context.fleet.run_until(lambda: closed, 4.0)
    assert seconds is not None and seconds > 2.5, seconds
    timed_out = context.fleet.closed_for('b', 'handshake timed out')
    assert timed_out == 1, timed_out


def _refused(payload):
    begin = time.perf_counter()
    try:
        frames.unpack(payload)
    except errors.PeerError:
        return time.perf_counter() - begin
    raise AssertionError('accepted %r...' % payload[:8])


@behave.then(
    'deep and wide payloads are refused in less time than a plain one of the '
    'largest size takes, times 20'
)
def then_bounded(context):
    size = frames.MAX_PAYLOAD_BYTES
    plain = msgpack.packb([1.5] * (size // 9))
    begin = time.perf_counter()
    frames.unpack(plain)
    baseline = time.perf_counter() - begin
    deep = b'\x91' * (frames.MAX_DEPTH + 1) + b'\xc0'
    assert frames.unpack(deep[1:]) is not None
    wide = b'\xdd' + (size - 5).to_bytes(4, 'big') + b'\x90' * (size - 5)
    for payload in (deep, b'\x91' * size, wide, b'\xdd\xff\xff\xff\xff'):
        taken = _refused(payload)
        assert taken < 20 * baseline, (payload[:8], taken, baseline)


@behave.then('arbitrary bytes and arbitrary chunks are handled')
def then_arbitrary(context):
    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=400))
    def check_unpack(data):
        try:
            frames.unpack(data)
        except errors.PeerError:
            pass

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=50), max_size=8),
        strategies.integers(1, 60),
        strategies.none() | strategies.integers(0, 500),
    )
    def check_chunks(payloads, chunk, flip):
        writer, reader = frames.Writer(b'k'), frames.Reader(b'k')
        data = bytearray(b''.join(map(writer.encode, payloads)))
        if flip is not None and flip < len(data):
            data[flip] ^= 0x40
        got = []
        try:
            for start in range(0, len(data), chunk):
                reader.feed(data[start : start + chunk])
                while (payload := reader.next()) is not None:
                    got.append(payload)
        except errors.PeerError:
            assert flip is not None
        assert got == payloads[: len(got)]
        assert flip is not None or got == payloads

    check_unpack()
    check_chunks()


@behave.when('b stops reading while a sends 40 messages of 500000 bytes')
def when_stuck(context):
    _connect(context)
    _links(context.b, 'a')[0]._conn.pause()
    context.most = 0
    link = _links(context.a, 'b')[0]
    for number in range(40):
        if context.a.send('b', {'type': 'n', 'n': b'x' * 500000}):
            context.most = max(context.most, link.buffered)
        if link.closed:
            break


@behave.then(
    'a closed the link for peer does not read and buffered no more than the '
    'bound'
)
def then_stuck(context):
    assert context.fleet.closed_for('a', 'peer does not read') == 1
    assert 1e6 < context.most <= link_module.MAX_BUFFERED_BYTES, context.most


@behave.when('b is stopped for 1 second and started on the same port')
def when_restarted(context):
    _connect(context)
    port = context.fleet.addresses['b'][1]
    context.b.stop()
    context.fleet.run_until(lambda: False, 1.0)
    assert not context.a.connected()
    context.b = context.fleet.add('b', port=port)


@behave.then('a is connected to b again within 6 seconds')
def then_again(context):
    taken = context.fleet.run_until(lambda: context.b.connected(), 6.0)
    assert taken is not None
    assert context.fleet.metrics['a'].total('peer_connects') < 12


@behave.given('instances a and b with a relay that can be cut')
def given_cut(context):
    _pair(context)
    context.cut = False
    context.fleet.relay('b', lambda n, frame: [] if context.cut else [frame])
    _connect(context)


@behave.when('the relay passes nothing for {seconds:d} seconds')
def when_cut(context, seconds):
    context.cut = True
    context.fleet.run_until(lambda: False, seconds)
    context.cut = False


@behave.then(
    'b counted silent and an ask works again within {limit:d} seconds'
)
def then_healed(context, limit):
    assert context.fleet.closed_for('b', 'silent') >= 1
    assert not context.a.is_connected('b')
    context.replies = []
    connected = context.fleet.run_until(
        lambda: context.a.is_connected('b'), limit
    )
    assert connected is not None
    when_asks(context)
    then_right(context)


@behave.when('both connect at once')
def when_both(context):
    context.b.set_peers(['a'])
    _connect(context)


@behave.then('one link remains after the retirement time')
def then_one(context):
    context.fleet.run_until(lambda: False, mesh_module.RETIRE_AFTER_S + 1.0)
    assert len(_links(context.a, 'b')) == len(_links(context.b, 'a')) == 1
    assert context.fleet.metrics['a'].total('peer_connects') == 1


@behave.when(
    'the key is rotated in three steps while each asks the other {n:d} times'
)
def when_rotated(context, n):
    _connect(context)
    context.replies = []
    old, new = builder.KEY, builder.OTHER
    later = context.fleet.loop.call_later
    both = (context.a, context.b)
    for step, keys in enumerate([(old, new), (new, old), (new,)]):
        for index, made in enumerate(both):
            # The instances change at different times.
            later(1.0 + step + 0.4 * index, made.set_keys, keys)
    context.expected = []
    for number in range(n):
        for made, other in (both, both[::-1]):
            context.expected.append(2 * number)
            later(
                5.0 * number / n,
                made.ask,
                other.own_id,
                {'type': 'double', 'n': number},
                2.0,
                lambda reply, exc: context.replies.append((reply, exc)),
            )
    assert (
        context.fleet.run_until(lambda: len(context.replies) == 2 * n, 12.0)
        is not None
    )
    context.fleet.run_until(lambda: False, mesh_module.RETIRE_AFTER_S + 0.5)


@behave.then('every ask got its reply and both links use the new key')
def then_rotated(context):
    bad = [exc for _, exc in context.replies if exc is not None]
    assert not bad, bad
    assert sorted(r['n'] for r, _ in context.replies) == sorted(
        context.expected
    )
    for made, name in ((context.a, 'b'), (context.b, 'a')):
        assert [x.key_id for x in _links(made, name)] == ['k2']
