"""An operators' API over a fake platform, on a thread of its own."""

import hashlib
import http.client
import itertools
import json
import threading
import time

import circuits

from builders import fake_platform
from jasminehold import api
from jasminehold import config
from jasminehold.control import temporary_drains
from jasminehold import loop as loop_module
from jasminehold import metrics
from jasminehold import settings
from jasminehold import store

TOKENS = {'ana': 'token-of-ana', 'bo': 'b'}
STATUS = {'observed_generation': 1, 'conditions': []}


class ApiServer:
    """A running API; ``platform`` takes faults, ``reasons`` unreadiness."""

    def __init__(self, **overrides):
        raw = {'place': 'sul-1', 'region': 'sul', **overrides}
        raw['operators'] = {
            name: hashlib.sha256(token.encode()).hexdigest()
            for name, token in TOKENS.items()
        }
        self.metrics = metrics.Metrics()
        self.config = config.ConfigSet()
        self.reasons, self.pushed = [], []
        self.root = circuits.Component()
        self.loop = loop_module.Loop().register(self.root)
        later = self.loop.call_later
        self.platform = fake_platform.FakePlatform(later)
        ids = map('w%d'.__mod__, itertools.count())
        writes = store.WriteContext(
            self.platform,
            later,
            time.time,
            lambda: next(ids),
            self.config,
            self.metrics,
        )
        self.drains = temporary_drains.TemporaryDrains(
            self.loop, self.notify, lambda: None
        )
        context = api.ApiContext(
            writes,
            lambda *_: STATUS,
            lambda: self.reasons,
            self.pushed.append,
            self.drains,
        )
        cfg = settings.from_dict(raw)
        self.api = api.Api(cfg, self.loop, context).register(self.root)
        self.port = self.api.port
        self.address = '127.0.0.1:%d' % self.port
        self._thread = threading.Thread(target=self.root.run, daemon=True)
        self._thread.start()

    def notify(self, key, value, ttl):
        """Stand for the spreading of notices."""
        self.drains.on_notice(key, value, ttl)

    def stop(self):
        """Stop the loop and wait for the thread."""
        self.loop.call_soon(self.root.stop)
        # Wakes the poller, which does not notice calls of other threads.
        self.loop.poller.resume()
        self._thread.join(10)

    def call(self, method, path, body=None, token=TOKENS['ana']):
        """Make one request: ``(status, headers, parsed or raw body)``."""
        conn = http.client.HTTPConnection('127.0.0.1', self.port, timeout=10)
        headers = {'Authorization': 'Bearer ' + token} if token else {}
        data = None if body is None else json.dumps(body)
        conn.request(method, path, data, headers)
        answer = conn.getresponse()
        data = answer.read()
        conn.close()
        if answer.getheader('Content-Type') == 'application/json':
            data = json.loads(data)
        return answer.status, dict(answer.getheaders()), data

    def put(self, kind, name, spec, version=0, **more):
        """Put a resource."""
        doc = {'metadata': {'resource_version': version}, 'spec': spec}
        path = '/v1/resources/%s/%s' % (kind, name)
        return self.call('PUT', path, doc, **more)
