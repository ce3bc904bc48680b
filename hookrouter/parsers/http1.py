"""Client side of HTTP/1.1: parses responses incrementally, handing on bodies piece by piece.

A body ends by its length, by the last chunk or, where allowed, with the connection.
"""

from ..errors.wire import MalformedHttp as Malformed

LONGEST_HEAD = 16_384  # bytes; caches send some hundreds
MAX_HEAD_FIELDS = 128  # of a response; caches send about ten
HEAD_FIELD_BYTES = 200  # of a parsed field beside its text: two objects and their place in a table
LONGEST_LINE = 1_024  # bytes of a chunk-size line with its extensions, or of a trailer field
MAX_LENGTH_DIGITS = 15  # in a body or chunk length
BODILESS_STATUSES = frozenset((204, 304))  # status codes without a body

HEAD, COUNTED, SIZE, CHUNK, CHUNK_END, TRAILER, UNTIL_CLOSE = (
    "head",
    "counted",
    "size",
    "chunk",
    "chunk end",
    "trailer",
    "until close",
)


class ResponseHead:
    """Head of a response: status code, and header fields by lower-case name. size: bytes that it takes."""

    __slots__ = ("status", "fields", "keep_alive", "size")

    def __init__(self, status, fields, keep_alive, size=0):
        self.status, self.fields, self.keep_alive, self.size = status, fields, keep_alive, size


class ResponseParser:
    """Parses the responses of one connection; calls on_head, on_body for each piece, and on_end."""

    def __init__(self, on_head, on_body, on_end, max_body, until_close=False):
        self.on_head, self.on_body, self.on_end = on_head, on_body, on_end
        self.max_body, self.until_close = max_body, until_close
        self.buffer = bytearray()
        self.state, self.remaining, self.body_length = HEAD, 0, 0

    def feed(self, data):
        """Takes received bytes; after Malformed the connection is unusable.

        Data that lies within a body is passed on without copying.
        """
        if not self.buffer and (self.state == UNTIL_CLOSE or 0 < len(data) <= self.remaining):
            self._pass_on(data)
            self._after_piece()
            return
        self.buffer += data
        while self.buffer and HANDLERS[self.state](self):
            pass

    def _pass_on(self, piece):
        self.remaining -= len(piece)
        self.body_length += len(piece)
        if self.body_length > self.max_body:
            raise Malformed(f"body exceeds {self.max_body} bytes")
        self.on_body(piece)

    def _after_piece(self):
        """Chooses the next state after a piece of the body."""
        if self.remaining == 0 and self.state == COUNTED:
            self._finish()
        elif self.remaining == 0 and self.state == CHUNK:
            self.state = CHUNK_END
        return True

    def _consume(self, count):
        with memoryview(self.buffer) as view:
            piece = bytes(view[:count])
        del self.buffer[:count]
        return piece

    def _read_line(self, limit, what):
        """Returns the next line without its end, or None if it is incomplete."""
        end = self.buffer.find(b"\r\n", 0, limit + 2)
        if end < 0:
            if len(self.buffer) > limit:
                raise Malformed(f"{what} exceeds {limit} bytes")
            return None
        line = self._consume(end + 2)
        return line[:-2]

    def _read_head(self):
        end = self.buffer.find(b"\r\n\r\n", 0, LONGEST_HEAD + 4)
        if end < 0:
            if len(self.buffer) > LONGEST_HEAD:
                raise Malformed(f"response head exceeds {LONGEST_HEAD} bytes")
            return False
        head = read_head(self.buffer, end)
        del self.buffer[: end + 4]
        if head.status < 200:
            return True  # interim response: the final one follows
        self.body_length = 0
        self.state, self.remaining = self._framing(head)
        self.on_head(head)
        if self.state == COUNTED and self.remaining == 0:
            return self._finish()
        return True

    def _framing(self, head):
        if head.status in BODILESS_STATUSES:
            return COUNTED, 0
        coding, length = head.fields.get(b"transfer-encoding"), head.fields.get(b"content-length")
        if coding is not None:
            if coding.lower() != b"chunked" or length is not None:
                raise Malformed("unsupported transfer encoding, or one beside a content length")
            return SIZE, 0
        if length is not None:
            if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
                raise Malformed("content length is not a number")
            if int(length) > self.max_body:
                raise Malformed(f"body exceeds {self.max_body} bytes")
            return COUNTED, int(length)
        if self.until_close:
            return UNTIL_CLOSE, 0
        raise Malformed("body has no length")

    def _finish(self):
        self.state = HEAD
        self.on_end()
        return True

    def _read_body(self):
        self._pass_on(self._consume(min(self.remaining, len(self.buffer))))
        return self._after_piece()

    def _read_chunk_size(self):
        line = self._read_line(LONGEST_LINE, "chunk size line")
        if line is None:
            return False
        size = line.split(b";", 1)[0].strip()
        if not size or len(size) > MAX_LENGTH_DIGITS or size.strip(b"0123456789abcdefABCDEF"):
            raise Malformed("chunk size is not a hexadecimal number")
        self.remaining = int(size, 16)
        self.state = CHUNK if self.remaining else TRAILER
        return True

    def _read_chunk_end(self):
        if len(self.buffer) < 2:
            return False
        if self._consume(2) != b"\r\n":
            raise Malformed("chunk data is longer than the chunk size")
        self.state = SIZE
        return True

    def _read_trailer(self):
        line = self._read_line(LONGEST_LINE, "trailer field")
        if line is None:
            return False
        return True if line else self._finish()

    def _read_until_close(self):
        self._pass_on(self._consume(len(self.buffer)))
        return True


HANDLERS = {
    HEAD: ResponseParser._read_head,
    COUNTED: ResponseParser._read_body,
    SIZE: ResponseParser._read_chunk_size,
    CHUNK: ResponseParser._read_body,
    CHUNK_END: ResponseParser._read_chunk_end,
    TRAILER: ResponseParser._read_trailer,
    UNTIL_CLOSE: ResponseParser._read_until_close,
}


def read_head(buffer, end):
    """Parses the head in buffer[:end]; raises Malformed."""
    line_end = buffer.find(b"\r\n", 0, end)
    status_line = bytes(buffer[: line_end if line_end >= 0 else end])
    if (
        status_line[:7] != b"HTTP/1."
        or status_line[7:9] not in (b"0 ", b"1 ")
        or not status_line[9:12].isdigit()
        or (len(status_line) > 12 and status_line[12:13] != b" ")
    ):
        raise Malformed("invalid status line")
    status, fields = int(status_line[9:12]), {}
    if not 100 <= status <= 599:
        raise Malformed(f"invalid status code {status}")
    position = line_end + 2 if line_end >= 0 else end
    while position < end:
        line_end = buffer.find(b"\r\n", position, end)
        if line_end < 0:
            line_end = end
        colon = buffer.find(b":", position, line_end)
        if colon <= position:
            raise Malformed("header field has no name")
        name = bytes(buffer[position:colon]).lower()
        if name != name.strip():
            raise Malformed("spaces in a header field name")
        value = bytes(buffer[colon + 1 : line_end]).strip()
        if name in fields and name == b"content-length" and fields[name] != value:
            raise Malformed("contradictory content lengths")
        fields[name] = value
        if len(fields) > MAX_HEAD_FIELDS:
            raise Malformed(f"more than {MAX_HEAD_FIELDS} header fields")
        position = line_end + 2
    connection = fields.get(b"connection", b"").lower()
    keep_alive = b"close" not in connection and (status_line[7:8] == b"1" or b"keep-alive" in connection)
    return ResponseHead(status, fields, keep_alive, end + HEAD_FIELD_BYTES * len(fields))


def request(method, target, fields, body=b""):
    """Returns the pieces of a request to be sent in order; the body is not copied."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    lines += [b"%s: %s\r\n" % field for field in fields]
    lines.append(b"\r\n")
    return [b"".join(lines), body] if body else [b"".join(lines)]
