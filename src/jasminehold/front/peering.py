"""Replication of the store copy between instances.

Messages on the authenticated streams between instances:
``news``: changes that a reader of the region read from the store. With
``former``, the era and revision of the reader's copy before it read all items,
they are the differences to that copy.
``snapshot``: the full copy, requested when changes are missing.
``clock``: the reply tells the clock and the number of the sender's process.
News state both too, so that the receiver can prove when they were sent.

Items are told as ``items``, a list of rows, or, if they are large, as
``packed``, the same list compressed.
"""

import hashlib
import math

from jasminehold.decisions import fleet_size
from jasminehold.decisions import read_schedule
from jasminehold.decisions import store_replica
from jasminehold.decisions import transit_delay
from jasminehold import errors
from jasminehold.peers import link
from jasminehold.peers import mesh as mesh_module
from jasminehold.peers import packed

SNAPSHOT_TIMEOUT_S = 1.0
SNAPSHOT_INTERVAL_S = 0.5
CLOCK_TIMEOUT_S = 1.0
# Times are told in whole milliseconds.
ROUNDING_S = 0.001
# Interval at which an instance without a copy checks whether the store fails
# to answer it, so that a peer has to.
FIRST_READ_CHECK_S = 0.25
# Links to instances of other regions, so that a region that cannot reach the
# store still gets a copy.
REMOTE_REGION_PEERS = 1
# Size of the values from which on items are compressed, bytes.
PACK_MIN_BYTES = 4 * 1024
KEY_ID = 'k1'


def derive_key(cfg):
    """Return the key of the streams when the settings contain none.

    It is derived from settings that are not secret, as the platform provides
    no secret; it only separates instances of different deployments.
    """
    text = repr((cfg.store, sorted(cfg.places.items())))
    return hashlib.sha256(text.encode()).digest()


class Peering:
    """Streams to all instances of the region and a few of other regions.

    Args:
        loop: the :class:`~jasminehold.loop.Loop`.
        cfg: the :class:`~jasminehold.front.cfg.Cfg`.
        rng: random source.
        metrics: counters.
        log: structured log.

    Attributes:
        reader: the :class:`~jasminehold.front.reader.StoreReader`.
        on_link_up: called with the id of an instance after its first link
            is ready.
        key: the secret that the instances share, bytes.
    """

    def __init__(self, loop, cfg, rng, metrics, log):
        self.reader = None
        self.on_link_up = lambda name: None
        self._loop = loop
        self._cfg = cfg
        self._region = cfg.places[cfg.place]
        self._log = log
        self._members = {}
        self._region_peers = ()
        self._rank = 0
        self._leaving = False
        self._started_at = loop.now()
        self._snapshot_requested_at = 0.0
        self._delays = {}
        self._clocks = {}
        self._process = rng.getrandbits(32)
        self.key = (
            bytes.fromhex(cfg.peer_key) if cfg.peer_key else derive_key(cfg)
        )
        ring = link.KeyRing([(KEY_ID, self.key)])
        self.mesh = mesh_module.Mesh(
            loop, cfg.id, ring, self._address_of, rng, metrics
        )
        self.mesh.on_up = self._on_up
        self.mesh.handle('news', self._on_news)
        self.mesh.handle('snapshot', self._on_snapshot)
        self.mesh.handle('clock', self._on_clock)

    def start(self):
        """Start listening, and connect to the seeds."""
        self.mesh.listen(*self._cfg.peer_listen)
        for address in self._cfg.seeds:
            if address != self._cfg.peer_listen:
                self.mesh.add_seed(*address)

    def leave(self):
        """Let the other instances of the region read the store."""
        self._leaving = True

    def rank(self):
        """Return this instance's rank as a reader of its region."""
        return read_schedule.LAST_RANK if self._leaving else self._rank

    def on_members(self, members):
        """Update the peers; ``members`` is ``{id: member document}``."""
        self._members = members
        own = self._cfg.id
        rooms = {
            name: doc['room']
            for name, doc in members.items()
            if doc['region'] == self._region
        }
        near = [name for name in rooms if name != own]
        far = sorted(set(members) - set(near) - {own})
        self._rank = read_schedule.rank(own, rooms)
        chosen = [
            far[(self._rank + step) % len(far)]
            for step in range(min(REMOTE_REGION_PEERS, len(far)))
        ]
        self._region_peers = tuple(near)
        self.mesh.set_peers(near + chosen)

    def _address_of(self, name):
        doc = self._members.get(name)
        if doc is None:
            return None
        host, _, port = doc['peers'].rpartition(':')
        return host, int(port)

    # Replication of the store copy.

    def send_changes(self, events, before, revision, as_of):
        """Send changes read from the store to the region.

        Args:
            events: list of items.
            before: revision that the changes follow.
            revision: revision after the changes.
            as_of: monotonic seconds at which the read was sent.
        """
        fields = {'before': before, 'revision': revision}
        self._tell_region(events, as_of, fields)

    def send_list(self, differences, former, as_of):
        """Send what a read of all items changed to the region.

        Args:
            differences: list of items that differ from the former copy.
            former: ``(era, revision)`` of that copy.
            as_of: monotonic seconds at which the read was sent.
        """
        # An instance of an older version takes it for a gap by ``before``.
        fields = {
            'before': self.reader.replica.revision,
            'former': list(former),
        }
        self._tell_region(differences, as_of, fields)

    def _tell_region(self, items, as_of, fields):
        # Instances that start together know too few of the others to agree on
        # a reader, and each would tell all that it reads to all.
        known_s = self._loop.now() - self._started_at
        if known_s < fleet_size.DISCOVERY_S:
            return
        # First: if the process is stopped in between, the age counts that.
        sent = int(self._loop.boot_now() * 1000)
        message = {
            'type': 'news',
            **_item_fields(items),
            **self._position(),
            'age': int((self._loop.now() - as_of) * 1000),
            'sent': sent,
            'process': self._process,
            **fields,
        }
        for name in self._region_peers:
            if self.mesh.is_connected(name):
                self.mesh.send(name, message)

    def _position(self):
        # What this instance's copy corresponds to, as messages state it.
        copy = self.reader.replica
        now = self._loop.now()
        position = {
            'era': copy.era,
            'revision': copy.revision,
            'age': int(copy.age(now) * 1000),
            'steady': int((now - copy.steady_since) * 1000),
        }
        if copy.proven_as_of is not None:
            position['proven'] = int(copy.proven_age(now) * 1000)
        return position

    def _on_news(self, sender, message, reply):
        now = self._loop.now()
        items = _items(message)
        era, revision = message.get('era', 0), message['revision']
        as_of = now - message['age'] / 1000 - self._delay_s(sender, message)
        steady_since = now - message['steady'] / 1000
        proven = self._proven(sender, message, now)
        if 'former' in message:
            taken = self.reader.apply_peer_list(
                items,
                tuple(message['former']),
                (era, revision),
                as_of,
                steady_since,
                proven,
            )
        else:
            taken = self.reader.apply_peer_changes(
                items,
                message['before'],
                revision,
                as_of,
                steady_since,
                era,
                proven,
            )
        if not taken and not self._is_obsolete(message, now):
            if not self.reader.catch_up(era):
                self._request_snapshot(sender)

    def _delay_s(self, sender, message):
        # A message that waited on a full link is older than it says.
        if 'sent' not in message:
            return 0.0
        delay = self._delays.setdefault(sender, transit_delay.TransitDelay())
        return delay.on_message(message['sent'] / 1000, self._loop.boot_now())

    def _proven(self, sender, message, now):
        # The monotonic seconds before which the read that a message tells of
        # was certainly not sent.
        process, boot = message.get('process'), self._loop.boot_now()
        if process is None:
            return -math.inf
        clock = self._clocks.setdefault(sender, transit_delay.ClockBound())
        if clock.ask(process, boot):
            self._ask_clock(sender, clock)
        sent = clock.not_before(process, message['sent'] / 1000, boot)
        if sent is None:
            return -math.inf
        return now - (boot - sent) - message['age'] / 1000 - ROUNDING_S

    def _ask_clock(self, name, clock):
        asked_at = self._loop.boot_now()

        def done(answer, exc):
            if exc is not None:
                return
            try:
                process, told = int(answer['process']), answer['clock'] / 1000
            except errors.MALFORMED_MESSAGE_ERRORS as fault:
                self._log('bad clock from peer', peer=name, error=fault)
                return
            clock.on_reply(process, told, asked_at, self._loop.boot_now())

        self.mesh.ask(name, {'type': 'clock'}, CLOCK_TIMEOUT_S, done)

    def _on_clock(self, sender, message, reply):
        # Rounded up, as it tells how late it is at least.
        clock = math.ceil(self._loop.boot_now() * 1000)
        reply({'process': self._process, 'clock': clock})

    def _is_obsolete(self, message, now):
        # The list of an instance that had fallen behind, as after a
        # suspension, says nothing to the others, which are not behind.
        copy = self.reader.replica
        return (
            'former' in message
            and message.get('era', 0) == copy.era
            and copy.age(now) < read_schedule.MIN_TAKEOVER_AGE_S
        )

    def _on_up(self, name):
        self._request_first(name)
        self.on_link_up(name)

    def _request_first(self, name):
        if self.reader.replica.revision:
            return
        if self.reader.failing:
            self._request_snapshot(name)
            return
        self._loop.call_later(FIRST_READ_CHECK_S, self._request_first, name)

    def _request_snapshot(self, name):
        now = self._loop.now()
        if now - self._snapshot_requested_at < SNAPSHOT_INTERVAL_S:
            return
        self._snapshot_requested_at = now
        sent_at = self.reader.sent_stamp(now)

        def done(answer, exc):
            if exc is not None:
                self._log('no copy from peer', peer=name, error=exc)
                return
            asked_at = sent_at()
            proven_s = answer.get('proven', math.inf) / 1000 + ROUNDING_S
            try:
                self.reader.apply_peer_snapshot(
                    _items(answer),
                    answer['revision'],
                    asked_at - answer['age'] / 1000,
                    asked_at - answer['steady'] / 1000,
                    answer.get('era', 0),
                    asked_at - proven_s,
                )
            except errors.MALFORMED_MESSAGE_ERRORS as fault:
                self._log('bad copy from peer', peer=name, error=fault)

        self.mesh.ask(name, {'type': 'snapshot'}, SNAPSHOT_TIMEOUT_S, done)

    def _on_snapshot(self, sender, message, reply):
        copy = self.reader.replica
        self.reader.proven_age(self._loop.now())
        if copy.as_of is None:
            reply(None, 'no copy yet')
            return
        reply({**_item_fields(copy.without_lapsed()), **self._position()})


def _item_fields(items):
    # The fields of a message that tell items.
    rows = [list(item) for item in items]
    if sum(len(item.value or b'') for item in items) < PACK_MIN_BYTES:
        return {'items': rows}
    return {'packed': packed.pack(rows)}


def _items(message):
    rows = message.get('items')
    if rows is None:
        rows = packed.unpack(message['packed'])
    return [
        store_replica.Item(str(key), value, int(revision))
        for key, value, revision in rows
    ]
