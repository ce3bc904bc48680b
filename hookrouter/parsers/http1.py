"""HTTP/1.1 as a client reads it: heads found in place, bodies handed on piece by piece.

A body ends by its length, by its last chunk, or, where allowed, with the connection.
"""

from ..errors.wire import MalformedHttp as Malformed

LONGEST_HEAD = 16_384  # bytes; what caches send has some hundreds
LONGEST_LINE = 1_024  # bytes of a chunk's size with its extensions, or of a trailer
MOST_DIGITS = 15  # of a length: no body has more
BARE = frozenset((204, 304))  # statuses without a body

HEAD, COUNTED, SIZE, CHUNK, CHUNK_END, TRAILER, UNTIL_CLOSE = (
    "head",
    "counted",
    "size",
    "chunk",
    "chunk end",
    "trailer",
    "until close",
)


class Answer:
    """The head of an answer: status and fields by lower-case name."""

    __slots__ = ("status", "fields", "keep")

    def __init__(self, status, fields, keep):
        self.status, self.fields, self.keep = status, fields, keep


class Answers:
    """Reads the answers of one connection. Three calls tell what comes: on_head, on_body, on_end."""

    def __init__(self, on_head, on_body, on_end, longest_body, until_close=False):
        self.on_head, self.on_body, self.on_end = on_head, on_body, on_end
        self.longest, self.until_close = longest_body, until_close
        self.buffer = bytearray()
        self.state, self.left, self.total = HEAD, 0, 0

    def feed(self, data):
        """After Malformed the connection is lost. A whole piece of a body is passed on as it came."""
        if not self.buffer and (self.state == UNTIL_CLOSE or 0 < len(data) <= self.left):
            self._pass_on(data)
            self._pieced()
            return
        self.buffer += data
        while self.buffer and STEPS[self.state](self):
            pass

    def _pass_on(self, piece):
        self.left -= len(piece)
        self.total += len(piece)
        if self.total > self.longest:
            raise Malformed(f"a body of more than {self.longest} bytes")
        self.on_body(piece)

    def _pieced(self):
        """What follows a piece of the body."""
        if self.left == 0 and self.state == COUNTED:
            self._finish()
        elif self.left == 0 and self.state == CHUNK:
            self.state = CHUNK_END
        return True

    def _take(self, count):
        with memoryview(self.buffer) as view:
            piece = bytes(view[:count])
        del self.buffer[:count]
        return piece

    def _line(self, longest, what):
        """The next line without its end, or None where it is not whole yet."""
        end = self.buffer.find(b"\r\n", 0, longest + 2)
        if end < 0:
            if len(self.buffer) > longest:
                raise Malformed(f"{what} of more than {longest} bytes")
            return None
        line = self._take(end + 2)
        return line[:-2]

    def _head(self):
        end = self.buffer.find(b"\r\n\r\n", 0, LONGEST_HEAD + 4)
        if end < 0:
            if len(self.buffer) > LONGEST_HEAD:
                raise Malformed(f"a head of more than {LONGEST_HEAD} bytes")
            return False
        answer = read_head(self.buffer, end)
        del self.buffer[: end + 4]
        if answer.status < 200:
            return True  # an interim answer: the real one follows
        self.total = 0
        self.state, self.left = self._framing(answer)
        self.on_head(answer)
        if self.state == COUNTED and self.left == 0:
            return self._finish()
        return True

    def _framing(self, answer):
        if answer.status in BARE:
            return COUNTED, 0
        coding, length = answer.fields.get(b"transfer-encoding"), answer.fields.get(b"content-length")
        if coding is not None:
            if coding.lower() != b"chunked" or length is not None:
                raise Malformed("a body framed in an unknown way")
            return SIZE, 0
        if length is not None:
            if not length.isdigit() or len(length) > MOST_DIGITS:
                raise Malformed("a length that is no number")
            if int(length) > self.longest:
                raise Malformed(f"a body of more than {self.longest} bytes")
            return COUNTED, int(length)
        if self.until_close:
            return UNTIL_CLOSE, 0
        raise Malformed("a body without a length")

    def _finish(self):
        self.state = HEAD
        self.on_end()
        return True

    def _counted(self):
        self._pass_on(self._take(min(self.left, len(self.buffer))))
        return self._pieced()

    def _size(self):
        line = self._line(LONGEST_LINE, "a chunk's size")
        if line is None:
            return False
        size = line.split(b";", 1)[0].strip()
        if not size or len(size) > MOST_DIGITS or size.strip(b"0123456789abcdefABCDEF"):
            raise Malformed("a chunk's size that is no number")
        self.left = int(size, 16)
        self.state = CHUNK if self.left else TRAILER
        return True

    def _chunk_end(self):
        if len(self.buffer) < 2:
            return False
        if self._take(2) != b"\r\n":
            raise Malformed("a chunk longer than it said")
        self.state = SIZE
        return True

    def _trailer(self):
        line = self._line(LONGEST_LINE, "a trailer")
        if line is None:
            return False
        return True if line else self._finish()

    def _rest(self):
        self._pass_on(self._take(len(self.buffer)))
        return True


STEPS = {
    HEAD: Answers._head,
    COUNTED: Answers._counted,
    SIZE: Answers._size,
    CHUNK: Answers._counted,
    CHUNK_END: Answers._chunk_end,
    TRAILER: Answers._trailer,
    UNTIL_CLOSE: Answers._rest,
}


def read_head(buffer, end):
    """The head in buffer[:end], read line by line in place."""
    line_end = buffer.find(b"\r\n", 0, end)
    first = bytes(buffer[: line_end if line_end >= 0 else end])
    if (
        first[:7] != b"HTTP/1."
        or first[7:9] not in (b"0 ", b"1 ")
        or not first[9:12].isdigit()
        or (len(first) > 12 and first[12:13] != b" ")
    ):
        raise Malformed("a status line that is none")
    status, fields = int(first[9:12]), {}
    if not 100 <= status <= 599:
        raise Malformed(f"status {status}")
    at = line_end + 2 if line_end >= 0 else end
    while at < end:
        line_end = buffer.find(b"\r\n", at, end)
        if line_end < 0:
            line_end = end
        colon = buffer.find(b":", at, line_end)
        if colon <= at:
            raise Malformed("a field without a name")
        name = bytes(buffer[at:colon]).lower()
        if name != name.strip():
            raise Malformed("a field's name with spaces")
        value = bytes(buffer[colon + 1 : line_end]).strip()
        if name in fields and name == b"content-length" and fields[name] != value:
            raise Malformed("two lengths")
        fields[name] = value
        at = line_end + 2
    asked = fields.get(b"connection", b"").lower()
    keep = b"close" not in asked and (first[7:8] == b"1" or b"keep-alive" in asked)
    return Answer(status, fields, keep)


def request(method, target, fields, body=b""):
    """The pieces of one request; the body is not copied."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    lines += [b"%s: %s\r\n" % field for field in fields]
    lines.append(b"\r\n")
    return [b"".join(lines), body] if body else [b"".join(lines)]
