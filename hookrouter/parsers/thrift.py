"""Thrift in the framed transport and the strict binary protocol: frames, messages, structs, both ways.

Values come as Python's own: a struct is a dict from field number to value, a map a dict, text stays bytes.
"""

from struct import Struct

from ..errors.wire import MalformedThrift as Malformed

VERSION = 0x80010000  # of the strict protocol, with the kind of message in the last byte
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64 = 0, 2, 3, 4, 6, 8, 10
STRING, STRUCT, MAP, SET, LIST = 11, 12, 13, 14, 15
UNKNOWN_METHOD, INTERNAL_ERROR, PROTOCOL_ERROR = 1, 6, 7  # of an application exception

DEEPEST = 8  # structs and containers in each other: the service's own calls nest two
LONGEST_NAME = 64  # bytes of a method's name: the service's longest has nine

BYTE_AT, SHORT_AT, INT_AT, LONG_AT, DOUBLE_AT = map(Struct, (">b", ">h", ">i", ">q", ">d"))
FIELD_AT, MAP_AT, LIST_AT, HEAD_AT = Struct(">bh"), Struct(">bbi"), Struct(">bi"), Struct(">Ii")
FIXED = {BOOL: BYTE_AT, BYTE: BYTE_AT, DOUBLE: DOUBLE_AT, I16: SHORT_AT, I32: INT_AT, I64: LONG_AT}
LEAST = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8, STRING: 4, STRUCT: 1, MAP: 6, SET: 5, LIST: 5}


class Frames:
    """Cuts a stream into frames, none longer than told."""

    def __init__(self, longest):
        self.longest = longest
        self.buffer = bytearray()

    def feed(self, data):
        """The frames that are whole now, in order. After Malformed the stream is lost."""
        buffer, at = self.buffer, 0
        buffer += data
        frames = []
        while len(buffer) - at >= 4:
            length = INT_AT.unpack_from(buffer, at)[0]
            if not 0 < length <= self.longest:
                raise Malformed(f"a frame of {length} bytes, not of 1 to {self.longest}")
            if len(buffer) - at - 4 < length:
                break
            frames.append(bytes(memoryview(buffer)[at + 4 : at + 4 + length]))
            at += 4 + length
        if at:
            del buffer[:at]
        return frames


class Message:
    """One message of a frame: what is read of it first names it, the arguments come when asked for."""

    __slots__ = ("kind", "name", "seqid", "frame", "at")

    def __init__(self, frame):
        if len(frame) < 8:
            raise Malformed("a message cut short")
        head, length = HEAD_AT.unpack_from(frame, 0)
        if head & 0xFFFF0000 != VERSION:
            raise Malformed(f"version {head >> 16:#06x}, not strict binary")
        if not 0 <= length <= LONGEST_NAME or len(frame) < 12 + length:
            raise Malformed(f"a method's name of {length} bytes")
        self.kind, self.name = head & 0xFF, frame[8 : 8 + length]
        self.seqid = INT_AT.unpack_from(frame, 8 + length)[0]
        self.frame, self.at = frame, 12 + length

    def arguments(self):
        """The struct after the head, which must fill the frame."""
        values, at = read_value(self.frame, self.at, STRUCT, 0)
        if at != len(self.frame):
            raise Malformed(f"{len(self.frame) - at} bytes after the message")
        return values


def read_value(frame, at, kind, depth):
    """One value at this place, and where the next begins."""
    fixed = FIXED.get(kind)
    if fixed is not None:
        if at + fixed.size > len(frame):
            raise Malformed("a number cut short")
        value = fixed.unpack_from(frame, at)[0]
        return (value != 0 if kind == BOOL else value), at + fixed.size
    if kind == STRING:
        length, at = read_size(frame, at, 1)
        return frame[at : at + length], at + length
    if depth >= DEEPEST:
        raise Malformed(f"nested more than {DEEPEST} deep")
    if kind == STRUCT:
        return read_struct(frame, at, depth + 1)
    if kind == MAP:
        return read_map(frame, at, depth + 1)
    if kind in (SET, LIST):
        return read_list(frame, at, depth + 1)
    raise Malformed(f"a value of unknown type {kind}")


def read_size(frame, at, least):
    """A count of what follows, each of so many bytes at least; none beyond the frame passes."""
    if at + 4 > len(frame):
        raise Malformed("a length cut short")
    count = INT_AT.unpack_from(frame, at)[0]
    if not 0 <= count <= (len(frame) - at - 4) // least:
        raise Malformed(f"a length of {count} beyond the frame")
    return count, at + 4


def read_struct(frame, at, depth):
    values = {}
    while True:
        if at >= len(frame):
            raise Malformed("a struct without an end")
        if frame[at] == STOP:
            return values, at + 1
        if at + 3 > len(frame):
            raise Malformed("a field cut short")
        kind, number = FIELD_AT.unpack_from(frame, at)
        values[number], at = read_value(frame, at + 3, kind, depth)


def read_map(frame, at, depth):
    if at + 6 > len(frame):
        raise Malformed("a map cut short")
    key_kind, value_kind, _ = MAP_AT.unpack_from(frame, at)
    count, at = read_size(frame, at + 2, LEAST.get(key_kind, 1) + LEAST.get(value_kind, 1))
    if key_kind == value_kind == STRING:
        return read_texts(frame, at, count)
    values = {}
    for _ in range(count):
        key, at = read_value(frame, at, key_kind, depth)
        value, at = read_value(frame, at, value_kind, depth)
        if isinstance(key, (dict, list)):
            raise Malformed("a map by containers")
        values[key] = value
    return values, at


def read_texts(frame, at, count):
    """A map of text to text, as each call has one: in a loop of its own, in a third of the time."""
    texts, size, unpack = [], len(frame) - 4, INT_AT.unpack_from
    for _ in range(2 * count):
        if at > size:
            raise Malformed("a length cut short")
        length = unpack(frame, at)[0]
        if not 0 <= length <= size - at:
            raise Malformed(f"a length of {length} beyond the frame")
        at += 4 + length
        texts.append(frame[at - length : at])
    return dict(zip(texts[::2], texts[1::2])), at


def read_list(frame, at, depth):
    if at + 5 > len(frame):
        raise Malformed("a list cut short")
    kind = LIST_AT.unpack_from(frame, at)[0]
    count, at = read_size(frame, at + 1, LEAST.get(kind, 1))
    values = []
    for _ in range(count):
        value, at = read_value(frame, at, kind, depth)
        values.append(value)
    return values, at


# ---- writing: pieces to be sent one after another, so that a body is never copied into them


def field(kind, number):
    return FIELD_AT.pack(kind, number)


def string(value):
    return INT_AT.pack(len(value)) + value


def fields_of(values):
    """A map of text to text, as a value."""
    pieces = [MAP_AT.pack(STRING, STRING, len(values))]
    for key, value in values.items():
        pieces += (string(key.encode()), string(value.encode()))
    return b"".join(pieces)


def message(kind, name, seqid, *pieces):
    """The pieces of one framed message whose struct is in pieces."""
    head = HEAD_AT.pack(VERSION | kind, len(name)) + name + INT_AT.pack(seqid)
    length = len(head) + sum(map(len, pieces))
    return [INT_AT.pack(length) + head, *pieces]


def application_exception(name, seqid, code, text):
    return message(
        EXCEPTION,
        name,
        seqid,
        field(STRING, 1) + string(text.encode()) + field(I32, 2) + INT_AT.pack(code) + bytes((STOP,)),
    )
