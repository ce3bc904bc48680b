"""What a client asks for, read from the fields of a call, and the pieces of each answer."""

from typing import NamedTuple

from ..parsers import thrift
from ..parsers.thrift import Malformed
from ..terms import TENTHS

MOST_FIELDS = 32  # in one call: the service's own have eleven at most
LONGEST_FIELD = 256  # bytes; the longest of the service's own has 32
LONGEST_ALLOW = 10 ** 8  # milliseconds, over a day: no client waits longer
HEX = frozenset("0123456789abcdefABCDEF")


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
    return Asked(
        trace=digits(fields, "ref"), kind=named(fields, "service"),
        allow=int(amount(fields, "allow", None, LONGEST_ALLOW) * TENTHS),
        repeat=fields.get("dup", "") not in ("", "0"), key=digits(fields, "replay", False),
        object=digits(fields, "lookup"), part=int(amount(fields, "part", 0, 10 ** 9)),
        group=int(amount(fields, "group", 0, 10 ** 9)), size=amount(fields, "room", 0.0, 10 ** 9),
        seen=digits(fields, "have", False), body=body)


def named(fields, name):
    value = fields.get(name, "")
    if not value:
        raise Malformed(f"{name} is missing")
    return value


def digits(fields, name, needed=True):
    """Hex digits, which are passed on as they came."""
    value = fields.get(name, "")
    if not value and not needed:
        return None
    if not named(fields, name) or not HEX.issuperset(value):
        raise Malformed(f"{name} is not of hex digits")
    return value


def amount(fields, name, otherwise, most):
    value = fields.get(name, "")
    if not value and otherwise is not None:
        return otherwise
    try:
        value = float(named(fields, name))
    except ValueError:
        raise Malformed(f"{name} is no number") from None
    if not 0 <= value <= most:
        raise Malformed(f"{name} is not between 0 and {most}")
    return value


# ---- answers, as pieces to be written one after another

END = bytes((thrift.STOP,))
GOOD = thrift.field(thrift.BOOL, 3) + b"\x01"
NOT_GOOD = thrift.field(thrift.BOOL, 3) + b"\x00"
BODY = thrift.field(thrift.STRUCT, 0) + thrift.field(thrift.STRING, 1)
FIELDS = thrift.field(thrift.MAP, 2)
NO_FIELDS = FIELDS + thrift.fields_of({})
EMPTY = BODY + thrift.string(b"")


def satisfied(name, seqid, pieces, length):
    return thrift.message(thrift.REPLY, name, seqid, BODY + thrift.INT_AT.pack(length), *pieces,
                          NO_FIELDS + GOOD + END + END)


def unchanged(name, seqid):
    return thrift.message(thrift.REPLY, name, seqid,
                          EMPTY + FIELDS + thrift.fields_of({"same": "1"}) + GOOD + END + END)


def checked(name, seqid, good):
    return thrift.message(thrift.REPLY, name, seqid,
                          EMPTY + NO_FIELDS + (GOOD if good else NOT_GOOD) + END + END)


def excepted(name, seqid, number, fields):
    """One of the exceptions that the service declares."""
    return thrift.message(thrift.REPLY, name, seqid, thrift.field(thrift.STRUCT, number)
                          + thrift.field(thrift.MAP, 1) + thrift.fields_of(fields) + END + END)


def nacked(name, seqid, stay_away):
    fields = {"cooldown": str(stay_away // TENTHS)} if stay_away >= TENTHS else {}
    return excepted(name, seqid, 1, fields)


def failed(name, seqid, text):
    return excepted(name, seqid, 2, {"reason": text} if text else {})
