"""Encodes what clients write: framed messages of the strict binary protocol, sound and unsound."""

import random
import struct
from functools import cache

CALL, ONEWAY = 1, 4
STOP, BOOL, I32, STRING, STRUCT, MAP, LIST = 0, 2, 8, 11, 12, 13, 15
LARGE_FRAME = 65_536  # bytes of the longest frame that a router reads
ARGUMENTS_ROOM = 64  # bytes of header and framing beside a value of a call
SHORT_VALUES = {  # type -> the shortest value of it that is not free
    STRUCT: bytes((STOP,)),
    MAP: struct.pack(">bbi", STRING, STRING, 0),
    LIST: struct.pack(">bi", BOOL, 0),
    STRING: struct.pack(">i", 2) + b"ab",
    I32: b"\x7f\x01\x02\x03",
}


def frame(payload: bytes) -> bytes:
    """A frame of the framed transport."""
    return struct.pack(">i", len(payload)) + payload


def header(name: bytes, seqid: int, kind: int = CALL) -> bytes:
    """The header of a strict binary message."""
    return struct.pack(">Ii", 0x80010000 | kind, len(name)) + name + struct.pack(">i", seqid)


def text(value: bytes) -> bytes:
    """A string of the binary protocol."""
    return struct.pack(">i", len(value)) + value


def call_of_nothing(name: bytes, seqid: int) -> bytes:
    """A call of a method without arguments, framed."""
    return frame(header(name, seqid) + bytes((STOP,)))


def execute(fields: dict[bytes, bytes], seqid: int, body: bytes = b"") -> bytes:
    """A whole execute call, framed."""
    pairs = b"".join(text(name) + text(value) for name, value in fields.items())
    fields_header = struct.pack(">bhbbi", MAP, 1, STRING, STRING, len(fields))
    body_field = struct.pack(">bh", STRING, 2) + text(body)
    return frame(header(b"execute", seqid) + fields_header + pairs + body_field + bytes((STOP,)))


def lookup_fields(dice: random.Random, part: int = 1, allow_ms: int = 1_000) -> dict[bytes, bytes]:
    """The fields of a sound lookup under an id and an object never used before."""
    return {
        b"service": b"clip",
        b"ref": b"%016x" % dice.getrandbits(64),
        b"lookup": b"%016x" % dice.getrandbits(64),
        b"part": b"%d" % part,
        b"group": b"17",
        b"room": b"4.5",
        b"allow": b"%d" % allow_ms,
    }


@cache
def many_fields(size: int) -> bytes:
    """A call whose map has as many fields of three bytes as fit into so many bytes."""
    fields = {b"%c%c%c" % (n & 255, n >> 8, 9): b"%c%c%c" % (n >> 8, n & 255, 7) for n in range(size // 14)}
    return execute(fields, 1)


@cache
def wide_value(element: int, size: int) -> bytes:
    """A call with a list of as many values of that type as fit into so many bytes."""
    value = SHORT_VALUES[element]
    count = (size - ARGUMENTS_ROOM) // len(value)
    list_header = struct.pack(">bh", LIST, 7) + struct.pack(">bi", element, count)
    return frame(header(b"execute", 1) + list_header + value * count + bytes((STOP,)))


def interrupt(seqid: int) -> bytes:
    """An interrupt of the call with that number, framed."""
    argument = struct.pack(">bhi", I32, 1, seqid) + bytes((STOP,))
    return frame(header(b"interrupt", 0, ONEWAY) + argument)
