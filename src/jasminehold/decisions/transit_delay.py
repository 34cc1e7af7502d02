"""Time that messages spend under way, beyond the usual.

The clocks of two instances differ by an unknown amount, but a message that
waits in a queue arrives later by the sender's clock than others do. The least
difference seen lately stands for a message that did not wait.

That is an estimate. What a round trip tells is proven: the other side has told
its clock after it was asked.
"""

# Clocks drift apart, so a difference counts for this long, seconds, and at
# least half as long.
WINDOW_S = 60.0
# The sender's clock goes back by more than this if its machine has started
# again. Messages of two links may overtake each other.
RESTART_S = 10.0
# Most that two clocks drift apart, seconds a second.
DRIFT = 0.0005
# Time after which the other side is asked again, seconds: usually, and if the
# round trip took longer than usual.
ASK_AGAIN_S = 120.0
ASK_AGAIN_SLOW_S = 5.0
SLOW_ROUND_TRIP_S = 0.1


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


class ClockBound:
    """Bound on how far this clock leads that of another process.

    Both clocks have to go on while their machines are suspended.
    """

    def __init__(self):
        self._process = None
        self._lead_s = 0.0
        self._at = 0.0
        self._slow = False
        self._ask_at = -float('inf')

    def ask(self, process, now):
        """Return whether to ask the process for its clock now.

        Args:
            process: number of the process that sent a message.
            now: seconds by this clock.
        """
        known = process == self._process
        if known and not self._slow and now - self._at < ASK_AGAIN_S:
            return False
        if now < self._ask_at:
            return False
        self._ask_at = now + ASK_AGAIN_SLOW_S
        return True

    def on_reply(self, process, told, asked_at, now):
        """Take what the process told.

        Args:
            process: its number.
            told: seconds by its clock.
            asked_at, now: seconds by this clock.
        """
        lead_s = asked_at - told
        if process == self._process and now - self._at < ASK_AGAIN_S:
            lead_s = max(lead_s, self._least_lead_s(now))
        self._process = process
        self._lead_s = lead_s
        self._at = now
        self._slow = now - asked_at > SLOW_ROUND_TRIP_S

    def _least_lead_s(self, now):
        return self._lead_s - DRIFT * (now - self._at)

    def not_before(self, process, sent_at, now):
        """Return when a message was sent at the earliest, by this clock.

        Args:
            process: number of the process that sent it.
            sent_at: seconds by that process's clock.
            now: seconds by this clock.

        Returns:
            None if nothing is proven.
        """
        if process is None or process != self._process:
            return None
        found = sent_at + self._least_lead_s(now)
        if found > now:
            # It has another clock than that which it told.
            self._process = None
            return None
        return found
