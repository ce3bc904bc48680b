"""Bytes of messages as the program's own encoders write them, and of a purge in the desk's store."""

import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec
from twisted.web import server
from twisted.web.http import datetimeToString

from hookrouter.decisions.owners import protocol as owner_protocol
from hookrouter.parsers import http1
from hookrouter.purges import wire
from hookrouter.stores import PurgeLog

from .measure_tables import EPOCH, log_entry, purge_rows, purges_off_the_wire

TIME_NOW = 17_000_000_000_000  # tenths of a millisecond: as many digits as the desk's clock has
SECRET = b"s" * 32
BATCH = 4_000


class Sized(NamedTuple):
    """One kind of message: size(count, dice) gives its bytes with so many entries."""

    name: str
    per: str
    counts: tuple[int, ...]
    size: Callable[[int, Random], int]


def purge_event(count: int, dice: Random) -> int:
    """An event of the feed with so many object purges, its frame and its chunk included."""
    rows = [
        (epoch, n + 50_000_000, TIME_NOW, kind, what)
        for epoch, n, _, kind, what in purge_rows("object", count, dice)
    ]
    return chunked(b"data: " + wire.write(wire.Event("purges", EPOCH, purges=rows)) + b"\n\n")


def heartbeat(count: int, dice: Random) -> int:
    """A heartbeat of the feed."""
    return chunked(b"data: " + wire.write(wire.Event("beat", EPOCH, n=50_000_000)) + b"\n\n")


def chunked(text: bytes) -> int:
    """Bytes of a chunk of HTTP/1.1 around that text."""
    return len(b"%x\r\n" % len(text)) + len(text) + len(b"\r\n")


def renewal_request(count: int, dice: Random) -> int:
    """The request with which a follower renews its lease."""
    body = wire.write(
        wire.Renew("router-00001", EPOCH, EPOCH, 50_000_000, 50_000_000, 50_000_000, EPOCH, 200)
    )
    fields = [
        (b"Host", b"10.0.0.1:9101"),
        (b"Content-Length", b"%d" % len(body)),
        (b"Authorization", b"Bearer " + SECRET),
    ]
    return sum(map(len, http1.request(b"POST", b"/v1/renew", fields, body)))


def renewal_answer(count: int, dice: Random) -> int:
    """The answer that grants the lease, with the fields that the web server adds."""
    body = wire.write(wire.Granted(20_000, EPOCH, TIME_NOW, 420))
    head = (
        b"HTTP/1.1 200 OK\r\nServer: %s\r\nDate: %s\r\n"
        b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        % (server.version, datetimeToString(), len(body))
    )
    return len(head) + len(body)


def append_message(count: int, dice: Random) -> int:
    """A message with which the leader has so many purges appended, one entry each."""
    entries = [log_entry(purge) for purge in purges_off_the_wire("object", count, dice)]
    return len(msgspec.msgpack.encode(owner_protocol.Append(7, 1_000_000, 7, entries, 1_000_000, 1, EPOCH)))


def store_file(count: int, dice: Random) -> int:
    """The desk's store with so many purges, its log folded into it."""
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        path = Path(folder) / "purges.db"
        log = PurgeLog(str(path))
        log.load()
        purges = list(purges_off_the_wire("object", count, dice))
        for first in range(0, count, BATCH):
            log.append([(purge, f"{purge.n:032x}") for purge in purges[first : first + BATCH]])
        log.close()
        return path.stat().st_size


MESSAGES = (
    Sized("wire.purge_event", "purge", (1, 10, 100, 500), purge_event),
    Sized("wire.heartbeat", "message", (1,), heartbeat),
    Sized("wire.renewal_request", "message", (1,), renewal_request),
    Sized("wire.renewal_answer", "message", (1,), renewal_answer),
    Sized("wire.append", "purge", (1, 8, 32), append_message),
    Sized("store.purge", "purge", (20_000, 40_000, 80_000), store_file),
)
