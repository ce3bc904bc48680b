"""Which calls are rejected so that one client leaves others their part of lookups and of time."""

MAX_BUSY_DURATION = 0.1  # seconds without a look for input; beyond it a connection gets a few calls a turn
MIN_CALLS_OF_A_TURN = 2


class CallShares:
    """The calls that are open on all connections of a Front, and the time that the process spends on them."""

    def __init__(self, front, max_calls):
        """max_calls: open at a time."""
        self.front, self.max_calls, self.open_count = front, max_calls, 0

    def is_busy(self):
        """Whether nothing that arrived was looked at for long."""
        return self.front.polls.busy() > MAX_BUSY_DURATION

    def is_behind(self, connection):
        """Whether the others have waited for long, and calls of this connection were taken in its turn."""
        return connection.calls_taken >= MIN_CALLS_OF_A_TURN and self.is_busy()

    def is_used(self, connection):
        """Whether over half of the calls that may be open are, and this client has its share of the rest."""
        if self.open_count * 2 <= self.max_calls:
            return False
        return len(connection.open_calls) >= max(1, self.max_calls // (2 * len(self.front.connections)))
