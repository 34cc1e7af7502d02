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
from jasminehold import loop as loop_module
from jasminehold import metrics
from jasminehold import settings
from jasminehold import store

TOKEN = 'token-of-ana'


def digest(token):
    """Return the digest that the settings hold for a token."""
    return hashlib.sha256(token.encode()).hexdigest()


class ApiServer:
    """A running API; ``platform`` takes faults, ``status`` is given out."""

    def __init__(self, **overrides):
        raw = {'place': 'sul-1', 'region': 'sul', 'api_listen': '127.0.0.1:0'}
        raw['operators'] = {'ana': digest(TOKEN), 'bo': digest('b')}
        self.cfg = settings.from_dict({**raw, **overrides})
        self.metrics = metrics.Metrics()
        self.config = config.ConfigSet()
        self.reasons = []
        self.pushed = []
        self.root = circuits.Component()
        self.loop = loop_module.Loop().register(self.root)
        self.platform = fake_platform.FakePlatform(self.loop.call_later)
        ids = itertools.count()
        writes = store.Port(
            self.platform,
            self.loop.call_later,
            time.time,
            lambda: 'w%d' % next(ids),
            self.config,
            self.metrics,
        )
        port = api.Port(
            writes,
            lambda kind, name: {'observed_generation': 1, 'conditions': []},
            lambda: self.reasons,
            self.pushed.append,
        )
        self.api = api.Api(self.cfg, self.loop, port).register(self.root)
        self.port = self.api.port
        self._thread = threading.Thread(target=self.root.run, daemon=True)
        self._thread.start()

    def stop(self):
        """Stop the loop and wait for the thread."""
        self.loop.call_soon(self.root.stop)
        # Wakes the poller, which does not notice calls of other threads.
        self.loop.poller.resume()
        self._thread.join(10)

    def call(self, method, path, body=None, token=TOKEN, headers=()):
        """Make one request: ``(status, headers, parsed or raw body)``."""
        conn = http.client.HTTPConnection('127.0.0.1', self.port, timeout=10)
        sent = dict(headers)
        if token is not None:
            sent['Authorization'] = 'Bearer ' + token
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        conn.request(method, path, body, sent)
        answer = conn.getresponse()
        data = answer.read()
        conn.close()
        if answer.getheader('Content-Type') == 'application/json' and data:
            data = json.loads(data)
        return answer.status, dict(answer.getheaders()), data

    def put(self, kind, name, spec, version=0, **more):
        """Put a resource."""
        doc = {'metadata': {'resource_version': version}, 'spec': spec}
        path = '/v1/resources/%s/%s' % (kind, name)
        return self.call('PUT', path, doc, **more)
