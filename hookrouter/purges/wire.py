"""What goes between desk, relays, routers and submitters: JSON, read into types, whatever the bytes."""

from collections.abc import Callable
from typing import Annotated, Literal, TypeVar

import msgspec

from ..errors.wire import MalformedPurges as Malformed
from . import types
from .retention.archive import MOST_SLICES
from .slice_codec import Row as SliceRow

MOST_BODY = 1_000_000  # bytes of one request or event: a submission of the most purges has some 300,000
MOST_IN_EVENT = 500  # purges in one event

MOST = 1 << 53  # of any number here: beyond it stores and other languages' readers go wrong

Whole = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
Name = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,64}$")]  # of a follower: it stands in logs
Row = tuple[Whole, Whole, Whole, str, str]


class Event(msgspec.Struct, omit_defaults=True):
    """One event of the feed. epoch: of the life of the desk that speaks; purges: rows of Purge."""

    t: Literal["purges", "begin", "end", "beat"]
    epoch: Whole
    purges: list[Row] = []
    slices: Annotated[list[SliceRow], msgspec.Meta(max_length=MOST_SLICES)] = []  # begin: beside its purges
    n: Whole = 0  # beat, end: the newest number
    of: Whole = 0  # end: the epoch of the newest number
    count: Whole = 0  # end: purges in the snapshot


class Renew(msgspec.Struct, forbid_unknown_fields=True):
    """What a follower asks of its upstream: its lease renewed, with what it has applied."""

    name: Name
    generation: Whole
    epoch: Whole  # of the position
    n: Whole
    # A relay's: applied by all below that are live; else n.
    least: Annotated[int, msgspec.Meta(ge=-1, le=MOST)]
    all: Annotated[int, msgspec.Meta(ge=-1, le=MOST)]  # a relay's: applied by all below; else n
    seen: Whole  # the highest epoch heard of
    skew: Annotated[int, msgspec.Meta(ge=0, le=10_000)]
    relay: bool = False
    leave: bool = False


class Granted(msgspec.Struct):
    """The answer to a Renew."""

    span: Whole  # tenths of a millisecond from when it was asked for; 0: behind
    epoch: Whole
    at: Whole  # the desk's clock
    settling: Whole  # what the desk adds until it states a purge as in effect


class Item(msgspec.Struct, forbid_unknown_fields=True):
    """One purge of a submission."""

    kind: str = msgspec.field(name="sort")  # the key that submitters and stores know
    what: str


class Submit(msgspec.Struct, forbid_unknown_fields=True):
    """A submission: all of it is accepted, or none. key: the same for all tries. everything: a pattern may
    match every name.
    """

    key: str
    purges: list[Item]
    everything: bool = False


Message = TypeVar("Message", bound=msgspec.Struct)


def reader(message: type[Message]) -> Callable[[bytes], Message]:
    """A function from bytes to that message; it raises Malformed with what is wrong."""
    decoder = msgspec.json.Decoder(message)

    def read(data: bytes) -> Message:
        if len(data) > MOST_BODY:
            raise Malformed(f"{len(data)} bytes, {MOST_BODY} at most")
        try:
            return decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
            raise Malformed(str(wrong)) from None

    return read


read_event, read_renew, read_granted, read_submit = map(reader, (Event, Renew, Granted, Submit))
write = msgspec.json.encode


def purges_of(event: Event) -> list[types.Purge]:
    """The rows of an event, typed."""
    return [types.Purge(*row) for row in event.purges]


def number(position: types.Position | types.Purge) -> str:
    """How operators name a purge: EPOCH.N."""
    return f"{position.epoch}.{position.n}"


def read_number(text: str) -> types.Position:
    """The position that EPOCH.N names; Malformed where it names none."""
    epoch, _, n = text.partition(".")
    return types.Position(read_whole(epoch, text), read_whole(n, text))


def read_ending(text: str) -> tuple[str, int]:
    """(ending of an epoch, n) of a number that may lack its beginning, as "42" and "123.42"."""
    epoch, _, n = text.rpartition(".")
    if epoch:
        read_whole(epoch, text)
    return epoch, read_whole(n, text)


def read_whole(digits: str, text: str) -> int:
    """A whole number of up to 16 digits; Malformed quotes text where it is none."""
    if not (digits.isascii() and digits.isdecimal() and len(digits) <= 16 and int(digits) <= MOST):
        raise Malformed(f"{text[:60]!r} is no number of a purge; wanted is EPOCH.N")
    return int(digits)
