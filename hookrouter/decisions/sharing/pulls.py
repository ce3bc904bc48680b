"""Lists lent and pulled in pieces: at a bounded pace, taken up again where they stopped.

A list keeps its mark while it is lent, so a piece that was lost is asked for again by its place. Where the
lender has another list meanwhile the puller begins anew. No I/O: the caller says the time and carries pieces.
"""

from . import words as w

PIECE = 16_384  # bytes in one frame: a stream's other frames wait 10 ms for it on a narrow link
MOST_LIST = 1 << 20  # bytes of one list
MOST_TOPICS = 16
MOST_WAITING = 64  # asked for and not given for the pace's sake; whoever is beyond them asks again
KEPT = 100_000  # 10 s: a list that is younger is lent again as it is
OVERDUE = 3_000  # 300 ms without a piece, and it is asked for again

ASKED = "asked"
NEXT, LAST, ANOTHER, LATE, OVER = "next", "last", "another", "late", "over"


class Lender:
    def __init__(self, terms):
        self.rate = terms.pull_rate / 10_000  # bytes in a tenth of a millisecond
        self.lists, self.marks, self.waiting = {}, 0, []  # topic -> (mark, bytes, made)
        self.room, self.at = float(2 * PIECE), None

    def asked(self, now, name, pull, make):
        """Pieces that go out now: [(name, Piece)]. make: gives the list's bytes as they are now, or None."""
        held = self.lists.get(pull.topic)
        if held is None or (not pull.mark and now - held[2] >= KEPT):
            data = make()
            if data is None or len(data) > MOST_LIST or (held is None and len(self.lists) >= MOST_TOPICS):
                return []
            self.marks += 1
            self.lists[pull.topic] = self.marks, data, now
        row = name, pull
        if len(self.waiting) < MOST_WAITING and row not in self.waiting:
            self.waiting.append(row)
        return self.due(now)

    def due(self, now):
        if self.at is not None:
            self.room = min(2.0 * PIECE, self.room + self.rate * (now - self.at))
        self.at, out = now, []
        while self.waiting and self.room >= PIECE:
            name, pull = self.waiting.pop(0)
            mark, data, _ = self.lists[pull.topic]
            start = pull.start if pull.mark in (0, mark) and pull.start <= len(data) else 0
            part = data[start : start + PIECE]
            self.room -= len(part)
            out.append((name, w.Piece(pull.topic, mark, start, len(data) - start - len(part), part)))
        return out

    def wait(self, now):
        """Until due() has something, or None."""
        return max(1, int((PIECE - self.room) / self.rate)) if self.waiting else None


class Puller:
    """One list of one member. result: its bytes once it is whole; state None: it is over."""

    def __init__(self, topic, now, within):
        self.topic, self.end, self.state = topic, now + within, ASKED
        self.mark, self.data, self.result, self.due = 0, bytearray(), None, now

    def tick(self, now):
        """The Pull that is to go out now, or None."""
        return self._step(now, OVER if now >= self.end else LATE, None) if now >= self.alarm() else None

    def alarm(self):
        return min(self.due, self.end)

    def piece(self, now, piece):
        if self.state is None or piece.topic != self.topic:
            return None
        if now >= self.end or len(self.data) + len(piece.data) > MOST_LIST:
            return self._step(now, OVER, piece)
        if piece.mark != self.mark and self.mark:
            return self._step(now, ANOTHER, piece)
        if piece.start != len(self.data):
            return None  # one that was asked for twice
        return self._step(now, NEXT if piece.more else LAST, piece)

    def _step(self, now, word, piece):
        self.state, effect = TABLE[self.state, word]
        return effect(self, now, piece)

    def _more(self, now, piece):
        self.mark = piece.mark
        self.data += piece.data
        return self._ask(now, piece)

    def _whole(self, now, piece):
        self.data += piece.data
        self.result = bytes(self.data)

    def _anew(self, now, piece):
        self.mark, self.data = 0, bytearray()
        return self._ask(now, piece)

    def _ask(self, now, piece):
        self.due = now + OVERDUE
        return w.Pull(self.topic, self.mark, len(self.data))

    def _lost(self, now, piece):
        self.data = bytearray()


# state, input -> next state (none: it is over), effect
TABLE = {
    (ASKED, NEXT): (ASKED, Puller._more),
    (ASKED, LAST): (None, Puller._whole),
    (ASKED, ANOTHER): (ASKED, Puller._anew),
    (ASKED, LATE): (ASKED, Puller._ask),
    (ASKED, OVER): (None, Puller._lost),
}
