"""What goes between desk, relays, routers and submitters: JSON, read into types, whatever the bytes."""

from typing import Literal

import msgspec

from . import words as w

MOST_BODY = 1_000_000  # bytes of one request or event: a submission of the most purges has some 300,000
MOST_IN_EVENT = 500  # purges in one event

Row = tuple[int, int, int, str, str]


class Event(msgspec.Struct, omit_defaults=True):
    """One event of the feed. epoch: of the life of the desk that speaks; purges: rows of Purge."""

    t: Literal["purges", "begin", "end", "beat"]
    epoch: int
    purges: list[Row] = []
    n: int = 0  # beat, end: the newest number
    of: int = 0  # end: the epoch of the newest number
    count: int = 0  # end: purges in the snapshot


class Renew(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    generation: int
    epoch: int  # of the position
    n: int
    least: int  # a relay's: applied by all below that are live; else n
    all: int  # a relay's: applied by all below; else n
    seen: int  # the highest epoch heard of
    skew: int
    relay: bool = False
    leave: bool = False


class Granted(msgspec.Struct):
    span: int  # tenths of a millisecond from when it was asked for; 0: behind
    epoch: int
    at: int  # the desk's clock
    settling: int  # what the desk adds until it states a purge as in effect


class Item(msgspec.Struct, forbid_unknown_fields=True):
    sort: str
    what: str


class Submit(msgspec.Struct, forbid_unknown_fields=True):
    key: str
    purges: list[Item]
    everything: bool = False


class Malformed(ValueError):
    """These bytes are not what was asked for; the text says what is wrong."""


def reader(kind):
    decoder = msgspec.json.Decoder(kind)

    def read(data):
        if len(data) > MOST_BODY:
            raise Malformed(f"{len(data)} bytes, {MOST_BODY} at most")
        try:
            return decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
            raise Malformed(str(wrong)) from None

    return read


read_event, read_renew, read_granted, read_submit = map(reader, (Event, Renew, Granted, Submit))
write = msgspec.json.encode


def purges_of(event):
    return [w.Purge(*row) for row in event.purges]


def number(position):
    """How operators name a purge."""
    return f"{position.epoch}.{position.n}"


def read_number(text):
    epoch, _, n = text.partition(".")
    if not (epoch.isdecimal() and n.isdecimal() and len(text) < 40):
        raise Malformed(f"{text[:60]!r} is no number of a purge; wanted is EPOCH.N")
    return w.Position(int(epoch), int(n))
