"""Time that messages spend under way, beyond the usual.

The clocks of two instances differ by an unknown amount, but a message that
waits in a queue arrives later by the sender's clock than others do. The least
difference seen lately stands for a message that did not wait.
"""

# Clocks drift apart, so a difference counts for this long, seconds, and at
# least half as long.
WINDOW_S = 60.0
# The sender's clock goes back by more than this if its machine has started
# again. Messages of two links may overtake each other.
RESTART_S = 10.0


class TransitDelay:
    """Delays of the messages from one sender.

    Both clocks have to go on while their machines are suspended.
    """

    def __init__(self):
        self._least = [float('inf'), float('inf')]
        self._turned_at = None
        self._sent_at = 0.0

    def on_message(self, sent_at, now):
        """Return the seconds that a message spent under way beyond the usual.

        Args:
            sent_at: seconds by the sender's clock.
            now: seconds by the receiver's clock.
        """
        if sent_at < self._sent_at - RESTART_S:
            self._turned_at = None
            self._least = [float('inf'), float('inf')]
        self._sent_at = sent_at
        if self._turned_at is None or now - self._turned_at > WINDOW_S / 2:
            self._turned_at = now
            self._least = [float('inf'), self._least[0]]
        difference = now - sent_at
        self._least[0] = min(self._least[0], difference)
        return difference - min(self._least)
