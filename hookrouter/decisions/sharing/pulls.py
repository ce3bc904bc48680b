"""Lists lent and pulled in pieces, at a bounded rate, resumed where they stopped.

A list keeps its version while it is lent, so that a lost piece is requested again by its offset. Where the
lender has another version meanwhile, the puller starts over. No I/O: the caller passes the time and carries
the pieces.
"""

from . import protocol

PIECE_BYTES = 16_384  # in one frame: a stream's other frames wait 10 ms for it on a slow link
MAX_LIST_BYTES = 1 << 20
MAX_TOPICS = 16
MAX_WAITING = 64  # requests held back by the rate limit; others are dropped, and sent again by the puller
REUSE_DURATION = 100_000  # 10 s in which a list is lent again as it is
PIECE_TIMEOUT = 3_000  # 300 ms without a piece, after which it is requested again

REQUESTED = "asked"  # state of a pull
NEXT, LAST, CHANGED, OVERDUE, EXPIRED = "next", "last", "another", "late", "over"  # its inputs


class Lender:
    """Lends lists under a token bucket that all pullers share."""

    def __init__(self, terms):
        self.rate = terms.pull_rate / 10_000  # bytes in a tenth of a millisecond
        self.lists, self.last_version, self.waiting = {}, 0, []  # topic -> (version, bytes, made at)
        self.tokens, self.refilled_at = float(2 * PIECE_BYTES), None  # bytes

    def request(self, now, name, pull, make_list):
        """Takes a Pull and returns the pieces that go out now: [(name, Piece)].

        `make_list` returns the list's current bytes, or None.
        """
        lent = self.lists.get(pull.topic)
        if lent is None or (not pull.version and now - lent[2] >= REUSE_DURATION):
            data = make_list()
            if data is None or len(data) > MAX_LIST_BYTES or (lent is None and len(self.lists) >= MAX_TOPICS):
                return []
            self.last_version += 1
            self.lists[pull.topic] = self.last_version, data, now
        row = name, pull
        if len(self.waiting) < MAX_WAITING and row not in self.waiting:
            self.waiting.append(row)
        return self.due_pieces(now)

    def due_pieces(self, now):
        """Returns the pieces of waiting requests that the rate allows now: [(name, Piece)]."""
        if self.refilled_at is not None:
            self.tokens = min(2.0 * PIECE_BYTES, self.tokens + self.rate * (now - self.refilled_at))
        self.refilled_at, out = now, []
        while self.waiting and self.tokens >= PIECE_BYTES:
            name, pull = self.waiting.pop(0)
            version, data, _ = self.lists[pull.topic]
            start = pull.offset if pull.version in (0, version) and pull.offset <= len(data) else 0
            part = data[start : start + PIECE_BYTES]
            self.tokens -= len(part)
            out.append(
                (name, protocol.Piece(pull.topic, version, start, len(data) - start - len(part), part))
            )
        return out

    def wait(self, now):
        """Returns the time until due_pieces() has a piece, or None where no request waits."""
        return max(1, int((PIECE_BYTES - self.tokens) / self.rate)) if self.waiting else None


class Puller:
    """A pull of one list from one member.

    `state` is None once it has ended; `result` is then the list's bytes, or None where it failed.
    """

    def __init__(self, topic, now, timeout):
        self.topic, self.deadline, self.state = topic, now + timeout, REQUESTED
        self.version, self.data, self.result, self.due = 0, bytearray(), None, now

    def tick(self, now):
        """Returns the Pull to send now, or None."""
        return (
            self._step(now, EXPIRED if now >= self.deadline else OVERDUE, None)
            if now >= self.alarm()
            else None
        )

    def alarm(self):
        """Time at which tick() is due."""
        return min(self.due, self.deadline)

    def receive(self, now, piece):
        """Takes a Piece and returns the Pull to send now, or None."""
        if self.state is None or piece.topic != self.topic:
            return None
        if now >= self.deadline or len(self.data) + len(piece.data) > MAX_LIST_BYTES:
            return self._step(now, EXPIRED, piece)
        if piece.version != self.version and self.version:
            return self._step(now, CHANGED, piece)
        if piece.offset != len(self.data):
            return None  # a piece that was requested twice
        return self._step(now, NEXT if piece.remaining else LAST, piece)

    def _step(self, now, event, piece):
        self.state, effect = TABLE[self.state, event]
        return effect(self, now, piece)

    def _append(self, now, piece):
        self.version = piece.version
        self.data += piece.data
        return self._request(now, piece)

    def _complete(self, now, piece):
        self.data += piece.data
        self.result = bytes(self.data)

    def _start_over(self, now, piece):
        self.version, self.data = 0, bytearray()
        return self._request(now, piece)

    def _request(self, now, piece):
        self.due = now + PIECE_TIMEOUT
        return protocol.Pull(self.topic, self.version, len(self.data))

    def _fail(self, now, piece):
        self.data = bytearray()


# (state, input) -> (next state or None where the pull ends, effect)
TABLE = {
    (REQUESTED, NEXT): (REQUESTED, Puller._append),
    (REQUESTED, LAST): (None, Puller._complete),
    (REQUESTED, CHANGED): (REQUESTED, Puller._start_over),
    (REQUESTED, OVERDUE): (REQUESTED, Puller._request),
    (REQUESTED, EXPIRED): (None, Puller._fail),
}
