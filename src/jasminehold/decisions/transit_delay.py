"""Time that messages spend under way, beyond the usual.

The clocks of two instances differ by an unknown amount, but a message that
waits in a queue arrives later by the sender's clock than others do. The least
difference seen lately stands for a message that did not wait.
"""

# Clocks drift apart, so a difference counts for this long, seconds, and at
# least half as long.
WINDOW_S = 60.0


class TransitDelay:
    """Delays of the messages from one sender.

    Both clocks have to go on while their machines are suspended.
    """

    def __init__(self):
        self._least = [float('inf'), float('inf')]
        self._turned_at = None

    def on_message(self, sent_at, now):
        """Return the seconds that a message spent under way beyond the usual.

        Args:
            sent_at: seconds by the sender's clock.
            now: seconds by the receiver's clock.
        """
        if self._turned_at is None or now - self._turned_at > WINDOW_S / 2:
            self._turned_at = now
            self._least = [float('inf'), self._least[0]]
        difference = now - sent_at
        self._least[0] = min(self._least[0], difference)
        return difference - min(self._least)
