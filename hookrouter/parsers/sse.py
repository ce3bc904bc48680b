"""Parser of server-sent events (WHATWG HTML, section 9.2). Lines end by CR, LF or both."""

from ..errors.wire import MalformedEvents as Malformed

LONGEST_LINE = 4_194_304  # bytes; a full list of some thousand caches takes less than one million
LONGEST_EVENT = 4_194_304  # bytes of data in one event


class Events:
    """Splits a stream into events: (id or None, data), both bytes."""

    def __init__(self):
        self.buffer = bytearray()
        self.scanned = 0  # leading bytes of the buffer known to contain no line end
        self.id, self.data, self.data_length = None, [], 0
        self.comments = 0  # lines so far that only keep the stream alive

    def feed(self, piece):
        """Takes received bytes and returns the events that they complete; raises Malformed."""
        self.buffer += piece
        events = []
        while (line := self._line()) is not None:
            event = self._read(line)
            if event is not None:
                events.append(event)
        return events

    def _line(self):
        buffer = self.buffer
        ends = [n for n in (buffer.find(b"\n", self.scanned), buffer.find(b"\r", self.scanned)) if n >= 0]
        if not ends:
            if len(buffer) > LONGEST_LINE:
                raise Malformed(f"line exceeds {LONGEST_LINE} bytes")
            self.scanned = len(buffer)
            return None
        end = min(ends)
        next_line = end + 1
        if buffer[end] == 13:
            if next_line == len(buffer):  # a line feed that belongs to it may follow
                self.scanned = end
                return None
            next_line += buffer[next_line] == 10
        line = bytes(buffer[:end])
        del buffer[:next_line]
        self.scanned = 0
        return line

    def _read(self, line):
        if not line:
            event = (self.id, b"\n".join(self.data)) if self.data else None
            self.id, self.data, self.data_length = None, [], 0
            return event
        name, _, value = line.partition(b":")
        value = value[1:] if value[:1] == b" " else value
        if name == b"data":
            self.data_length += len(value) + 1
            if self.data_length > LONGEST_EVENT:
                raise Malformed(f"event exceeds {LONGEST_EVENT} bytes")
            self.data.append(value)
        elif name == b"id":
            self.id = value
        elif not name:
            self.comments += 1
        return None  # comments are only counted, other fields are ignored
