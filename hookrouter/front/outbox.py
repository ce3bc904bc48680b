"""Replies to one client: passed to its transport, or queued while the client does not read, within bounds."""

DRAIN_TIMEOUT = 10.0  # seconds a client may take to read pending replies: none waits longer for one
# Shares of the body memory that one client may leave unread. Beyond the first its further calls are nacked,
# as their replies would add to it; beyond the second its calls are failed in place of a body; beyond the
# third, which only replies without a body can reach, its connection ends.
NACK_UNREAD_SHARE = 1 / 16
MAX_UNREAD_SHARE = 1 / 8
DISCONNECT_UNREAD_SHARE = 3 / 16
TOTAL_UNREAD_SHARE = 3 / 4  # of all clients together; beyond it those end that have not read for longest
MAX_JOINED_BYTES = 4_096  # pieces of a shorter reply are joined in the queue
QUEUED_OBJECT_BYTES = 48  # of a piece in the queue, beside its content


class UnreadAnswers:
    """The replies that clients have not read, of all connections together."""

    def __init__(self, memory):
        """memory: for the bytes that wait."""
        self.memory, self.bytes = memory, 0
        self.waiting = {}  # outbox -> True: of clients that have left something unread, for longest first

    def add(self, count):
        """Counts further bytes as unread; a negative count: as read."""
        self.bytes += count
        if count > 0:
            self.memory.take(count)
        else:
            self.memory.give_back(-count)

    def shed(self):
        """Ends the connections that have waited for longest while all together exceed their share."""
        while self.waiting and self.bytes > self.memory.size * TOTAL_UNREAD_SHARE:
            next(iter(self.waiting)).on_stuck("unread answers of all clients fill their room")


class Outbox:
    """The replies of one connection that wait to be read.

    unread: UnreadAnswers of all connections; on_stuck(reason): called when the client has read nothing for
    DRAIN_TIMEOUT or too much is unread; it must stop() the outbox.
    """

    def __init__(self, deadlines, unread, on_stuck):
        self.deadlines, self.unread, self.on_stuck = deadlines, unread, on_stuck
        self.transport = self.timer = None
        self.queue = []  # pieces of replies that wait until the client has read earlier ones
        self.unread_bytes = 0  # bytes of these, and of what the transport holds of the ones before

    def write(self, pieces):
        """Writes a reply, or queues it while the client does not read."""
        if self.timer is None:
            self.transport.writeSequence(pieces)
            if self.timer is None:
                return
            self._write_now()
        else:
            self._enqueue(pieces)
        if self.unread_bytes > self.unread.memory.size * DISCONNECT_UNREAD_SHARE and self.queue:
            self.on_stuck("too much is unread")
        else:
            self.unread.shed()

    def _write_now(self):
        """Has the transport write what the client's window takes: only the rest is unread."""
        before = None
        while self.timer is not None and before != (before := self.transport.unsent_bytes()):
            self.transport.doWrite()
        if self.timer is not None:
            self._add_unread(before - self.unread_bytes)

    def _enqueue(self, pieces):
        size = sum(map(len, pieces))
        if size <= MAX_JOINED_BYTES:
            pieces = (b"".join(pieces),)
        self.queue.extend(pieces)
        self._add_unread(size + QUEUED_OBJECT_BYTES * len(pieces))

    def nacks_calls(self):
        """Whether so much is unread that further calls are nacked."""
        return self.unread_bytes > self.unread.memory.size * NACK_UNREAD_SHARE

    def has_room(self, length):
        """Whether a body of so many bytes can be written or queued."""
        if self.timer is None:
            return True
        memory = self.unread.memory
        return self.unread_bytes + length <= memory.size * MAX_UNREAD_SHARE and not memory.full()

    def pause(self):
        """The transport's buffer is full; called at each write beyond it."""
        if self.timer is None:
            self.timer = self.deadlines.after(DRAIN_TIMEOUT, self._on_timeout)
            self.unread.waiting[self] = True
            self._add_unread(self.transport.unsent_bytes())

    def _on_timeout(self):
        self.on_stuck(f"nothing was read for {DRAIN_TIMEOUT:g} s")

    def resume(self):
        """The client has read all that was passed on: the queue is next, with a deadline of its own."""
        waiting_bytes = sum(map(len, self.queue))
        self.stop()
        self.flush()
        if self.timer is not None:
            self._add_unread(max(0, waiting_bytes - self.unread_bytes))

    def flush(self):
        """Passes the whole queue to the transport."""
        queue, self.queue = self.queue, []
        if queue:
            self.transport.writeSequence(queue)

    def stop(self):
        """Stops the deadline and gives back the memory of what is unread."""
        self.deadlines.drop(self.timer)
        self.timer = None
        self.unread.waiting.pop(self, None)
        self._add_unread(-self.unread_bytes)

    def close(self):
        """The connection is gone. Without transport and callback the outbox is in no reference cycle, so what
        the connection held is freed at once and not at some later collection.
        """
        self.stop()
        self.transport = self.on_stuck = None

    def _add_unread(self, size):
        self.unread_bytes += size
        self.unread.add(size)
