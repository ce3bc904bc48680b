"""Thrift with framed transport and the strict binary protocol: reads and writes frames, messages and structs.

A struct is a dict from field number to value, a map is a dict; strings stay bytes.
"""

from struct import Struct

from ..errors.wire import MalformedThrift as Malformed

VERSION = 0x80010000  # strict protocol; the last byte holds the message type
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64 = 0, 2, 3, 4, 6, 8, 10
STRING, STRUCT, MAP, SET, LIST = 11, 12, 13, 14, 15
UNKNOWN_METHOD, INTERNAL_ERROR, PROTOCOL_ERROR = 1, 6, 7  # types of TApplicationException

MAX_DEPTH = 8  # nesting of structs and containers; the service's own calls use two levels
MAX_VALUES = 1_024  # in all structs and containers of a message; regular calls have some two dozen
LONGEST_NAME = 64  # bytes of a method name; the service's longest has nine

BYTE_AT, SHORT_AT, INT_AT, LONG_AT, DOUBLE_AT = map(Struct, (">b", ">h", ">i", ">q", ">d"))
FIELD_AT, MAP_AT, LIST_AT, HEAD_AT = Struct(">bh"), Struct(">bbi"), Struct(">bi"), Struct(">Ii")
FIXED = {BOOL: BYTE_AT, BYTE: BYTE_AT, DOUBLE: DOUBLE_AT, I16: SHORT_AT, I32: INT_AT, I64: LONG_AT}
MIN_SIZES = {
    BOOL: 1,
    BYTE: 1,
    DOUBLE: 8,
    I16: 2,
    I32: 4,
    I64: 8,
    STRING: 4,
    STRUCT: 1,
    MAP: 6,
    SET: 5,
    LIST: 5,
}


class Frames:
    """Splits a stream into frames of bounded length."""

    def __init__(self, longest):
        self.longest = longest
        self.buffer = bytearray()

    def feed(self, data):
        """Takes received bytes and returns the completed frames.

        Raises Malformed at a bad length, once the frames before it have been returned; the stream is
        unusable then.
        """
        buffer, offset = self.buffer, 0
        buffer += data
        frames = []
        while len(buffer) - offset >= 4:
            length = INT_AT.unpack_from(buffer, offset)[0]
            if not 0 < length <= self.longest:
                if frames:
                    break
                raise Malformed(f"frame length {length} is not within 1 to {self.longest} bytes")
            if len(buffer) - offset - 4 < length:
                break
            frames.append(bytes(memoryview(buffer)[offset + 4 : offset + 4 + length]))
            offset += 4 + length
        if offset:
            del buffer[:offset]
        return frames


class Message:
    """A message: its header is parsed at once, its arguments on request."""

    __slots__ = ("kind", "name", "seqid", "frame", "offset")

    def __init__(self, frame):
        if len(frame) < 8:
            raise Malformed("truncated message")
        head, length = HEAD_AT.unpack_from(frame, 0)
        if head & 0xFFFF0000 != VERSION:
            raise Malformed(f"version {head >> 16:#06x}, not the strict binary protocol")
        if not 0 <= length <= LONGEST_NAME or len(frame) < 12 + length:
            raise Malformed(f"invalid method name length {length}")
        self.kind, self.name = head & 0xFF, frame[8 : 8 + length]
        self.seqid = INT_AT.unpack_from(frame, 8 + length)[0]
        self.frame, self.offset = frame, 12 + length

    def drop_arguments(self):
        """Frees the bytes of the arguments, which cannot be parsed any more."""
        self.frame, self.offset = b"", 0

    def arguments(self):
        """Parses the struct after the header, which must fill the frame."""
        values, offset = read_value(self.frame, self.offset, STRUCT, 0, ValueCount())
        if offset != len(self.frame):
            raise Malformed(f"{len(self.frame) - offset} extra bytes after the message")
        return values


class ValueCount:
    """Counts the values of a message against MAX_VALUES: parsed, each takes many times its bytes."""

    __slots__ = ("count",)

    def __init__(self):
        self.count = 0

    def add(self, count):
        """Adds the values of a container before they are read; raises Malformed beyond the bound."""
        self.count += count
        if self.count > MAX_VALUES:
            raise Malformed(f"more than {MAX_VALUES} values in a message")


def read_value(frame, offset, kind, depth, values):
    """Returns the value at the offset, and the offset behind it. values: the ValueCount of the message."""
    fixed = FIXED.get(kind)
    if fixed is not None:
        if offset + fixed.size > len(frame):
            raise Malformed("truncated number")
        value = fixed.unpack_from(frame, offset)[0]
        return (value != 0 if kind == BOOL else value), offset + fixed.size
    if kind == STRING:
        length, offset = read_size(frame, offset, 1)
        return frame[offset : offset + length], offset + length
    if depth >= MAX_DEPTH:
        raise Malformed(f"nested more than {MAX_DEPTH} levels deep")
    if kind == STRUCT:
        return read_struct(frame, offset, depth + 1, values)
    if kind == MAP:
        return read_map(frame, offset, depth + 1, values)
    if kind in (SET, LIST):
        return read_list(frame, offset, depth + 1, values)
    raise Malformed(f"unknown value type {kind}")


def read_size(frame, offset, min_size):
    """Reads a count of elements of at least min_size bytes; raises Malformed if they exceed the frame."""
    if offset + 4 > len(frame):
        raise Malformed("truncated length")
    count = INT_AT.unpack_from(frame, offset)[0]
    if not 0 <= count <= (len(frame) - offset - 4) // min_size:
        raise Malformed(f"count {count} exceeds the frame")
    return count, offset + 4


def read_struct(frame, offset, depth, values):
    """Reads a struct as a dict by field number."""
    fields = {}
    while True:
        if offset >= len(frame):
            raise Malformed("struct has no end")
        if frame[offset] == STOP:
            return fields, offset + 1
        if offset + 3 > len(frame):
            raise Malformed("truncated field")
        kind, number = FIELD_AT.unpack_from(frame, offset)
        values.add(1)
        fields[number], offset = read_value(frame, offset + 3, kind, depth, values)


def read_map(frame, offset, depth, values):
    """Reads a map as a dict."""
    if offset + 6 > len(frame):
        raise Malformed("truncated map")
    key_kind, value_kind, _ = MAP_AT.unpack_from(frame, offset)
    count, offset = read_size(frame, offset + 2, MIN_SIZES.get(key_kind, 1) + MIN_SIZES.get(value_kind, 1))
    values.add(2 * count)
    if key_kind == value_kind == STRING:
        return read_string_map(frame, offset, count)
    pairs = {}
    for _ in range(count):
        key, offset = read_value(frame, offset, key_kind, depth, values)
        value, offset = read_value(frame, offset, value_kind, depth, values)
        if isinstance(key, (dict, list)):
            raise Malformed("map keys are containers")
        pairs[key] = value
    return pairs, offset


def read_string_map(frame, offset, count):
    """Reads a map of strings to strings, which each call has; a special loop takes a third of the time."""
    strings, last_start, unpack = [], len(frame) - 4, INT_AT.unpack_from
    for _ in range(2 * count):
        if offset > last_start:
            raise Malformed("truncated length")
        length = unpack(frame, offset)[0]
        if not 0 <= length <= last_start - offset:
            raise Malformed(f"length {length} exceeds the frame")
        offset += 4 + length
        strings.append(frame[offset - length : offset])
    return dict(zip(strings[::2], strings[1::2])), offset


def read_list(frame, offset, depth, values):
    """Reads a list or set as a list."""
    if offset + 5 > len(frame):
        raise Malformed("truncated list")
    kind = LIST_AT.unpack_from(frame, offset)[0]
    count, offset = read_size(frame, offset + 1, MIN_SIZES.get(kind, 1))
    values.add(count)
    elements = []
    for _ in range(count):
        element, offset = read_value(frame, offset, kind, depth, values)
        elements.append(element)
    return elements, offset


# ---- writing: returns pieces to be sent in order, so that bodies are not copied


def field(kind, number):
    """Encodes a field header."""
    return FIELD_AT.pack(kind, number)


def string(value):
    """Encodes bytes with their length."""
    return INT_AT.pack(len(value)) + value


def string_map(values):
    """Encodes a map of strings to strings."""
    pieces = [MAP_AT.pack(STRING, STRING, len(values))]
    for key, value in values.items():
        pieces += (string(key.encode()), string(value.encode()))
    return b"".join(pieces)


def message(kind, name, seqid, *pieces):
    """Returns the pieces of a framed message; pieces: its encoded struct."""
    head = HEAD_AT.pack(VERSION | kind, len(name)) + name + INT_AT.pack(seqid)
    length = len(head) + sum(map(len, pieces))
    return [INT_AT.pack(length) + head, *pieces]


def application_exception(name, seqid, code, text):
    """Returns the pieces of an exception reply; code: its TApplicationException type."""
    return message(
        EXCEPTION,
        name,
        seqid,
        field(STRING, 1) + string(text.encode()) + field(I32, 2) + INT_AT.pack(code) + bytes((STOP,)),
    )
