"""What a client asks for, read from the fields of a call, and the pieces of each answer."""

from typing import NamedTuple

from ..parsers import thrift
from ..parsers.thrift import Malformed
from ..terms import UNITS_PER_MS

MOST_FIELDS = 32  # in one call: the service's own have eleven at most
LONGEST_FIELD = 256  # bytes; the longest of the service's own has 32
LONGEST_ALLOW = 10**8  # milliseconds, over a day: no client waits longer
MOST_GROUPS = 256
MOST_PARTS = 10**9  # of an object; the service's own have some dozens
LARGEST = 10**9  # KB of one part
HEX = frozenset("0123456789abcdefABCDEF")
DIGITS = frozenset("0123456789")
ID = 16  # digits of an id of a lookup or object
LONGEST_MARK = 64  # digits of a key or a tag: twice the longest of the service's own


class Asked(NamedTuple):
    """One lookup as the client put it; ids as given."""

    trace: str
    kind: str
    allow: int  # tenths of a millisecond that the client waits in all
    repeat: bool
    key: str | None  # the same for all tries of one deduplicated lookup
    object: str
    part: int
    group: int
    size: float  # KB, 0 where not told
    seen: str | None  # the tag of the client's own copy
    body: bytes


def read_asked(arguments):
    """The arguments of execute; Malformed names what is missing or makes no sense."""
    given, body = arguments.get(1), arguments.get(2, b"")
    if not isinstance(given, dict) or not isinstance(body, bytes):
        raise Malformed("execute takes a map of fields and a body")
    if len(given) > MOST_FIELDS:
        raise Malformed(f"{len(given)} fields in a call")
    fields = {}
    for name, value in given.items():
        if not isinstance(name, bytes) or not isinstance(value, bytes) or len(value) > LONGEST_FIELD:
            raise Malformed("a field that is no short text")
        try:
            fields[name.decode("ascii")] = value.decode("ascii")
        except UnicodeDecodeError:
            raise Malformed("a field that is no plain text") from None
    asked = Asked(
        trace=digits(fields, "ref", ID),
        kind=named(fields, "service"),
        allow=int(amount(fields, "allow", LONGEST_ALLOW) * UNITS_PER_MS),
        repeat=fields.get("dup", "") not in ("", "0"),
        key=mark(fields, "replay"),
        object=digits(fields, "lookup", ID),
        part=whole(fields, "part", MOST_PARTS - 1),
        group=whole(fields, "group", MOST_GROUPS - 1),
        size=amount(fields, "room", LARGEST) if "room" in fields else 0.0,
        seen=mark(fields, "have"),
        body=body,
    )
    if asked.allow <= 0:
        raise Malformed("allow leaves no time")
    return asked


def named(fields, name):
    value = fields.get(name, "")
    if not value:
        raise Malformed(f"{name} is missing")
    return value


def digits(fields, name, length):
    """So many hex digits, which are passed on as they came."""
    value = named(fields, name)
    if len(value) != length or not HEX.issuperset(value):
        raise Malformed(f"{name} is not of {length} hex digits")
    return value


def mark(fields, name):
    """Hex digits of any length within reason, or None where there are none."""
    value = fields.get(name, "")
    if len(value) > LONGEST_MARK or not HEX.issuperset(value):
        raise Malformed(f"{name} is not of hex digits")
    return value or None


def whole(fields, name, most):
    """A whole number, as passed on: in plain digits, without what int() reads besides."""
    value = fields.get(name, "") or "0"
    plain = DIGITS.issuperset(value) and len(value) <= len(str(most)) and value == str(int(value))
    if not plain or int(value) > most:
        raise Malformed(f"{name} is no whole number from 0 to {most}")
    return int(value)


def amount(fields, name, most):
    """A number in plain digits with at most one point: float() alone reads more than the protocol knows."""
    value = named(fields, name)
    if not DIGITS.issuperset(value.replace(".", "", 1)) or value == "." or not float(value) <= most:
        raise Malformed(f"{name} is no number from 0 to {most}")
    return float(value)


# ---- answers, as pieces to be written one after another

END = bytes((thrift.STOP,))
GOOD = thrift.field(thrift.BOOL, 3) + b"\x01"
NOT_GOOD = thrift.field(thrift.BOOL, 3) + b"\x00"
BODY = thrift.field(thrift.STRUCT, 0) + thrift.field(thrift.STRING, 1)
FIELDS = thrift.field(thrift.MAP, 2)
NO_FIELDS = FIELDS + thrift.string_map({})
EMPTY = BODY + thrift.string(b"")


def satisfied(name, seqid, pieces, length):
    return thrift.message(
        thrift.REPLY, name, seqid, BODY + thrift.INT_AT.pack(length), *pieces, NO_FIELDS + GOOD + END + END
    )


def unchanged(name, seqid):
    return thrift.message(
        thrift.REPLY, name, seqid, EMPTY + FIELDS + thrift.string_map({"same": "1"}) + GOOD + END + END
    )


def checked(name, seqid, good):
    return thrift.message(
        thrift.REPLY, name, seqid, EMPTY + NO_FIELDS + (GOOD if good else NOT_GOOD) + END + END
    )


def excepted(name, seqid, number, fields):
    """One of the exceptions that the service declares."""
    return thrift.message(
        thrift.REPLY,
        name,
        seqid,
        thrift.field(thrift.STRUCT, number)
        + thrift.field(thrift.MAP, 1)
        + thrift.string_map(fields)
        + END
        + END,
    )


def nacked(name, seqid, stay_away):
    fields = {"cooldown": str(stay_away // UNITS_PER_MS)} if stay_away >= UNITS_PER_MS else {}
    return excepted(name, seqid, 1, fields)


def failed(name, seqid, text):
    return excepted(name, seqid, 2, {"reason": text} if text else {})
