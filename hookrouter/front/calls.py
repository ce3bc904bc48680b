"""Parses the fields of a client's call, and encodes each kind of reply."""

from typing import NamedTuple

from ..parsers import thrift
from ..parsers.thrift import Malformed
from ..terms import UNITS_PER_MS

MAX_FIELDS = 32  # in one call; regular calls have eleven at most
MAX_FIELD_BYTES = 256  # regular values have at most 32 bytes
MAX_TIME_ALLOWED_MS = 10**8  # over a day: no client waits longer
GROUP_COUNT = 256
PART_COUNT = 10**9  # of an object; regular objects have some dozens
MAX_SIZE_KB = 10**9  # of one part
HEX = frozenset("0123456789abcdefABCDEF")
DIGITS = frozenset("0123456789")
ID_DIGITS = 16  # hex digits in the id of a lookup or object
MAX_HEX_DIGITS = 64  # in a key or revision: twice the longest regular one


class LookupRequest(NamedTuple):
    """A lookup as the client sent it; ids are passed on unchanged."""

    trace: str
    kind: str
    time_allowed: int  # tenths of a millisecond that the client waits in total
    repeat: bool
    dedup_key: str | None  # the same for all repeats of one deduplicated lookup
    object: str
    part: int
    group: int
    size: float  # KB, 0 if unknown
    client_revision: str | None  # revision of the client's own copy, None without one
    body: bytes


def read_request(arguments):
    """Parses the arguments of execute; Malformed names the field that is missing or invalid."""
    raw_fields, body = arguments.get(1), arguments.get(2, b"")
    if not isinstance(raw_fields, dict) or not isinstance(body, bytes):
        raise Malformed("execute takes a map of fields and a body")
    if len(raw_fields) > MAX_FIELDS:
        raise Malformed(f"{len(raw_fields)} fields in a call")
    fields = {}
    for name, value in raw_fields.items():
        if not isinstance(name, bytes) or not isinstance(value, bytes) or len(value) > MAX_FIELD_BYTES:
            raise Malformed("a field that is no short text")
        try:
            fields[name.decode("ascii")] = value.decode("ascii")
        except UnicodeDecodeError:
            raise Malformed("a field that is no plain text") from None
    request = LookupRequest(
        trace=read_hex(fields, "ref", ID_DIGITS),
        kind=read_required(fields, "service"),
        time_allowed=int(read_amount(fields, "allow", MAX_TIME_ALLOWED_MS) * UNITS_PER_MS),
        repeat=fields.get("dup", "") not in ("", "0"),
        dedup_key=read_optional_hex(fields, "replay"),
        object=read_hex(fields, "lookup", ID_DIGITS),
        part=read_whole(fields, "part", PART_COUNT - 1),
        group=read_whole(fields, "group", GROUP_COUNT - 1),
        size=read_amount(fields, "room", MAX_SIZE_KB) if "room" in fields else 0.0,
        client_revision=read_optional_hex(fields, "have"),
        body=body,
    )
    if request.time_allowed <= 0:
        raise Malformed("allow leaves no time")
    return request


def read_required(fields, name):
    """A field that must be there and not empty."""
    value = fields.get(name, "")
    if not value:
        raise Malformed(f"{name} is missing")
    return value


def read_hex(fields, name, length):
    """A required field of exactly so many hex digits, unchanged."""
    value = read_required(fields, name)
    if len(value) != length or not HEX.issuperset(value):
        raise Malformed(f"{name} is not of {length} hex digits")
    return value


def read_optional_hex(fields, name):
    """Hex digits of up to MAX_HEX_DIGITS, or None if the field is missing or empty."""
    value = fields.get(name, "")
    if len(value) > MAX_HEX_DIGITS or not HEX.issuperset(value):
        raise Malformed(f"{name} is not of hex digits")
    return value or None


def read_whole(fields, name, maximum):
    """An integer from 0 to maximum, 0 if missing; in plain digits, without the other forms that int()
    accepts.
    """
    value = fields.get(name, "") or "0"
    plain = DIGITS.issuperset(value) and len(value) <= len(str(maximum)) and value == str(int(value))
    if not plain or int(value) > maximum:
        raise Malformed(f"{name} is no whole number from 0 to {maximum}")
    return int(value)


def read_amount(fields, name, maximum):
    """A required number in plain digits with at most one point; float() alone would accept more than the
    protocol.
    """
    value = read_required(fields, name)
    if not DIGITS.issuperset(value.replace(".", "", 1)) or value == "." or not float(value) <= maximum:
        raise Malformed(f"{name} is no number from 0 to {maximum}")
    return float(value)


# ---- replies, as pieces to be written one after another

END = bytes((thrift.STOP,))
RESULT_TRUE = thrift.field(thrift.BOOL, 3) + b"\x01"
RESULT_FALSE = thrift.field(thrift.BOOL, 3) + b"\x00"
BODY_HEADER = thrift.field(thrift.STRUCT, 0) + thrift.field(thrift.STRING, 1)
FIELDS_HEADER = thrift.field(thrift.MAP, 2)
NO_FIELDS = FIELDS_HEADER + thrift.string_map({})
EMPTY_BODY = BODY_HEADER + thrift.string(b"")


def satisfied(name, seqid, pieces, length):
    """Reply with a body."""
    return thrift.message(
        thrift.REPLY,
        name,
        seqid,
        BODY_HEADER + thrift.INT_AT.pack(length),
        *pieces,
        NO_FIELDS + RESULT_TRUE + END + END,
    )


def unchanged(name, seqid):
    """Reply that says that the client's copy is current."""
    return thrift.message(
        thrift.REPLY,
        name,
        seqid,
        EMPTY_BODY + FIELDS_HEADER + thrift.string_map({"same": "1"}) + RESULT_TRUE + END + END,
    )


def check_reply(name, seqid, ready):
    """Reply to check: whether lookups can be served."""
    return thrift.message(
        thrift.REPLY,
        name,
        seqid,
        EMPTY_BODY + NO_FIELDS + (RESULT_TRUE if ready else RESULT_FALSE) + END + END,
    )


def declared_exception(name, seqid, number, fields):
    """One of the exceptions that the service declares, by its field number in the reply."""
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


def nacked(name, seqid, retry_after):
    """Rejection of a call that may be retried; retry_after: tenths of a millisecond, left out below 1 ms."""
    fields = {"cooldown": str(retry_after // UNITS_PER_MS)} if retry_after >= UNITS_PER_MS else {}
    return declared_exception(name, seqid, 1, fields)


def failed(name, seqid, text):
    """Failure of a call that must not be retried, with a reason if there is one."""
    return declared_exception(name, seqid, 2, {"reason": text} if text else {})
