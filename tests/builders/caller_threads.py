"""Threads that send requests over and over."""

import threading
import time


class CallerThreads:
    """Calls :meth:`call` in several threads; use as a context manager.

    Args:
        count: number of threads.
        pause_s: pause of each between two calls.
    """

    def __init__(self, count, pause_s):
        self._pause_s = pause_s
        self._stopped = False
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]

    def call(self, number, turn):
        """Send one request; subclasses do so.

        Args:
            number: of the thread.
            turn: number of the call in this thread, from 1.
        """
        raise NotImplementedError

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped = True
        for thread in self._threads:
            thread.join(10)

    def _run(self, number):
        turn = 0
        while not self._stopped:
            turn += 1
            self.call(number, turn)
            time.sleep(self._pause_s)
