"""Reads a client connection to the end of what has arrived, and knows how long that may have lain unread."""

# In a row, 64 kB each: more than the system holds of a connection, so whoever is not read to the end by then
# has gone on writing meanwhile.
MAX_READS = 768
PRESENCE_DURATION = 0.02  # seconds for which a client that went on writing counts as there without a look
HEAVY_INPUT_BYTES = 65_536  # unread: a turn with so many and more takes milliseconds
MAX_HEAVY_DURATION = 0.02  # seconds for which the process serves heavy input before it looks for other


class Unwatched:
    """Stands for the PollWatch of a reactor that is not watched: all input is read as it arrives."""

    count = 0

    def age(self):
        """Seconds for which input that is read now may have lain unread."""
        return 0.0

    def busy(self):
        """Seconds since the last wait for input."""
        return 0.0


class InputReader:
    """Input of one connection that the reactor has not delivered yet; front: has the clock and the polls."""

    def __init__(self, front):
        self.front, self.clock = front, front.deadlines.clock
        self.is_reading = False  # whether the connection is being read to the end
        self.received = False  # whether the last read returned data
        self.present_until = 0.0  # until when it is not read to the end again, see PRESENCE_DURATION
        # Time since which what the next wait finds may have come: the connection lay in the listening queue.
        self.queued_since, self.accepted_poll = self._seen_before(), front.polls.count
        self.skipped_since = None  # time since which its input may lie unread because others went first

    def age(self):
        """Seconds for which input that is read now may have lain unread at most, beyond the last wait for it.

        In the listening queue, where the first wait after the connection was accepted finds it; or because
        others went first.
        """
        since = self.skipped_since
        if self.queued_since is not None and self.front.polls.count <= self.accepted_poll + 1:
            since = self.queued_since if since is None else min(since, self.queued_since)
        return 0.0 if since is None else self.clock.seconds() - since

    def _seen_before(self):
        """Time of the last wait that would have found what arrived before it."""
        return self.clock.seconds() - self.front.polls.age()

    def on_turn_end(self):
        """What had arrived has been processed."""
        self.queued_since = self.skipped_since = None

    def lets_others_first(self, unread_bytes):
        """Whether so much unread input waits until others have been served; the reactor reports it again."""
        if self.is_reading or unread_bytes < HEAVY_INPUT_BYTES:
            return False
        if self.skipped_since is None:
            self.skipped_since = self._seen_before()
        return True

    def is_late(self):
        """Whether the process has served input for a while without a look for other."""
        return not self.is_reading and self.front.polls.busy() > MAX_HEAVY_DURATION

    def read_to_the_end(self, transport, is_closing, on_end):
        """Reads until nothing is left or the connection has ended; on_end() is called then.

        is_closing(): whether nothing more is to be read. A client that went on writing all the time counts as
        there for a while.
        """
        if self.clock.seconds() < self.present_until:
            return
        was_reading, self.is_reading = self.is_reading, True
        try:
            for _ in range(MAX_READS):
                if is_closing():
                    return
                self.received = False
                if transport.doRead() is not None:
                    on_end()
                elif not self.received:
                    return
            self.present_until = self.clock.seconds() + PRESENCE_DURATION
        finally:
            self.is_reading = was_reading
