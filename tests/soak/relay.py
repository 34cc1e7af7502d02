"""Loopback relay between an instance and the world, with faults."""

# Modes of a relay. 'one way' drops what the far side sends; 'silent' drops
# both directions without closing anything.
MODES = ('', 'delay', 'reset', 'one way', 'silent')
DELAY_S = 0.15


class Relay:
    """Forwards TCP connections to a target.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        target: ``(host, port)``.

    Attributes:
        mode: one of :data:`MODES`.
        port: port to connect to.
    """

    def __init__(self, loop, target):
        self.mode = ''
        self.target = target
        self._loop = loop
        self._pairs = set()
        self._listener = loop.listen('127.0.0.1', 0, self._on_accept)
        self.port = self._listener.port

    def set_mode(self, mode):
        """Begin or end a fault; a reset hits the open connections once."""
        self.mode = mode
        if mode == 'reset':
            for pair in list(self._pairs):
                for conn in pair:
                    conn.reset()

    def _on_accept(self, near):
        if self.mode == 'reset':
            near.reset()
            return
        early = []
        near.on_data = early.append
        near.on_close = lambda exc: None

        def opened(far):
            if near.closed:
                far.abort()
                return
            pair = (near, far)
            self._pairs.add(pair)
            self._join(pair, near, far, True)
            self._join(pair, far, near, False)
            for data in early:
                near.on_data(data)

        self._loop.connect(*self.target, opened, lambda exc: near.reset())

    def _join(self, pair, source, sink, outward):
        def on_data(data):
            dropped = self.mode == 'silent' or (
                self.mode == 'one way' and not outward
            )
            if dropped:
                return
            if self.mode == 'delay':
                self._loop.call_later(DELAY_S, sink.write, data)
            else:
                sink.write(data)

        def on_close(exc):
            self._pairs.discard(pair)
            if self.mode not in ('silent', 'one way'):
                sink.close()

        source.on_data = on_data
        source.on_close = on_close
