"""Server-sent events: lines in, events out. A line may end by CR, LF or both."""

from ..errors.wire import MalformedEvents as Malformed

LONGEST_LINE = 4_194_304  # bytes: a whole list of some thousand caches has under one million
LONGEST_EVENT = 4_194_304  # bytes of data in one event


class Events:
    """Cuts a stream into events. What is passed on is (id or None, data), both bytes."""

    def __init__(self):
        self.buffer = bytearray()
        self.seen = 0  # bytes of the buffer known to hold no end of a line
        self.id, self.data, self.size = None, [], 0

    def feed(self, piece):
        self.buffer += piece
        events = []
        while (line := self._line()) is not None:
            event = self._read(line)
            if event is not None:
                events.append(event)
        return events

    def _line(self):
        buffer = self.buffer
        ends = [n for n in (buffer.find(b"\n", self.seen), buffer.find(b"\r", self.seen)) if n >= 0]
        if not ends:
            if len(buffer) > LONGEST_LINE:
                raise Malformed(f"a line of more than {LONGEST_LINE} bytes")
            self.seen = len(buffer)
            return None
        end = min(ends)
        after = end + 1
        if buffer[end] == 13:
            if after == len(buffer):  # a line feed may follow and belong to it
                self.seen = end
                return None
            after += buffer[after] == 10
        line = bytes(buffer[:end])
        del buffer[:after]
        self.seen = 0
        return line

    def _read(self, line):
        if not line:
            event = (self.id, b"\n".join(self.data)) if self.data else None
            self.id, self.data, self.size = None, [], 0
            return event
        name, _, value = line.partition(b":")
        value = value[1:] if value[:1] == b" " else value
        if name == b"data":
            self.size += len(value) + 1
            if self.size > LONGEST_EVENT:
                raise Malformed(f"an event of more than {LONGEST_EVENT} bytes")
            self.data.append(value)
        elif name == b"id":
            self.id = value
        return None  # comments and other fields say nothing here
