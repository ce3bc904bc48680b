"""Tables of the program, built at given sizes from messages as they come off the wire.

Each function builds its input itself, so that what is still held after it returned is the table's own.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

import msgspec

from hookrouter.decisions.owners import protocol as owner_protocol
from hookrouter.decisions.sharing import LoadTable
from hookrouter.decisions.sharing import protocol as sharing_protocol
from hookrouter.decisions.view import View
from hookrouter.decisions.view import protocol as view_protocol
from hookrouter.purges import Guard, Purge, PurgeTerms, wire
from hookrouter.purges.followers import Followers, Renewal
from hookrouter.purges.tail import Tail
from hookrouter.stores.purge_rows import pack

SECOND = 10_000  # tenths of a millisecond
DAY = 86_400 * SECOND
EPOCH = 1_700_000_000_000
TERMS = PurgeTerms(
    2 * SECOND, DAY, 5_000, 200, "young", 100_000, 50_000
)  # names for the largest size that is measured
TAGS_OF_AN_OBJECT = 3
ROWS_IN_A_MESSAGE = 64
TELLERS = 16


class Table(NamedTuple):
    """One table: build(size, dice) gives it with so many entries."""

    name: str
    per: str
    sizes: tuple[int, ...]
    build: Callable[[int, Random], object]


def purged_name(kind: str, number: int, dice: Random) -> str:
    """What a purge of that kind names; each number another one."""
    mark = f"{number:05x}{dice.getrandbits(16):04x}"
    return {
        "object": f"{dice.getrandbits(64):016x}",
        "group": str(number),
        "tag": f"section-{mark}",
        "prefix": f"clip/{mark}",
        "glob": f"*/{mark}*",
        "regex": f"clip/{mark}[0-9a-f]+",
    }[kind]


def purge_rows(kind: str, size: int, dice: Random) -> list[tuple]:
    """Distinct purges of one kind as rows of an event, numbered from one."""
    return [(EPOCH, n + 1, SECOND + n, kind, purged_name(kind, n, dice)) for n in range(size)]


def purges_off_the_wire(kind: str, size: int, dice: Random) -> Iterator[Purge]:
    """The same, read from events of the feed as a follower reads them."""
    rows = purge_rows(kind, size, dice)
    for first in range(0, size, wire.MOST_IN_EVENT):
        event = wire.Event("purges", EPOCH, purges=rows[first : first + wire.MOST_IN_EVENT])
        yield from wire.purges_of(wire.read_event(wire.write(event)))


def guard_told(kind: str, size: int, dice: Random, terms: PurgeTerms = TERMS) -> Guard:
    """A router's guard that holds a lease and was told so many purges of a kind."""
    guard = Guard(terms)
    guard.granted(0, 1 << 60)
    for purge in purges_off_the_wire(kind, size, dice):
        guard.told(purge.timestamp, purge)
    return guard


def remembered_tags(size: int, dice: Random) -> Guard:
    """A router's guard that learnt the tags of so many objects from answers."""
    guard = Guard(TERMS)
    for _ in range(size):
        tags = tuple(f"section-{dice.getrandbits(32):08x}" for _ in range(TAGS_OF_AN_OBJECT))
        guard.learn(f"{dice.getrandbits(64):016x}", SECOND, tags)
    return guard


def tail_of(size: int, dice: Random) -> Tail:
    """The order as desk and relay keep it."""
    tail = Tail(DAY, EPOCH)
    for purge in purges_off_the_wire("object", size, dice):
        tail.add(purge)
    return tail


def ledger_keys(size: int, dice: Random) -> dict:
    """The desk's idempotency keys, one submission a purge; the purges themselves are the tail's."""
    return {f"{dice.getrandbits(128):032x}": (None,) for _ in range(size)}


def desk_members(size: int, dice: Random) -> Followers:
    """Followers as a desk or relay knows them."""
    members = Followers(TERMS.lease, TERMS.skew, 20, 0)
    for number in range(size):
        members.renew(SECOND, Renewal(f"router-{number:05d}", EPOCH, True, 1, 1, 200, False), 1)
    return members


def roster(size: int, dice: Random) -> View:
    """The view of a member that heard of so many others."""
    me = view_protocol.Member("me", 1, "10.0.0.1", 9_300, "zone-1", "router", "0.3.0", 1)
    view = View(view_protocol.Terms(), me, SECOND, 1)
    rows = [
        view_protocol.Member(
            f"r{n:04d}", EPOCH + n, f"10.1.{n >> 8}.{n & 255}", 9_300, "zone-1", "router", "0.3.0", 1
        )
        for n in range(size)
    ]
    for first in range(0, size, ROWS_IN_A_MESSAGE):
        data = msgspec.msgpack.encode(view_protocol.MemberList(rows[first : first + ROWS_IN_A_MESSAGE]))
        message = msgspec.msgpack.decode(data, type=view_protocol.MemberList)
        view.take(SECOND, view_protocol.Received(rows[0].name, rows[0].life, rows[0].address, message))
    return view


def board(size: int, dice: Random) -> LoadTable:
    """The merge table of loads with so many rows, a sixteenth of them each teller's, a cache a row."""
    made = LoadTable(sharing_protocol.Terms())
    for teller in range(TELLERS):
        loads = [
            sharing_protocol.Load(f"cache-{n:04d}", "", dice.randrange(1_000), dice.randrange(1_000))
            for n in range(size // TELLERS)
        ]
        for number, first in enumerate(range(0, len(loads), ROWS_IN_A_MESSAGE), 1):
            part = loads[first : first + ROWS_IN_A_MESSAGE]
            block = sharing_protocol.Report(f"r{teller:04d}", 1, number, 0, 1, number == 1, part)
            made.merge(
                SECOND, msgspec.msgpack.decode(msgspec.msgpack.encode(block), type=sharing_protocol.Report)
            )
    return made


def log_entry(purge: Purge) -> owner_protocol.Entry:
    """An entry of the keepers' log that appends one purge to the desk's order."""
    body = pack(purge, f"{purge.n:032x}")
    command = (f"k1#1/{purge.n}", "keep", ["desk", 7, purge.n, [body]])
    return owner_protocol.Entry(7, owner_protocol.COMMAND, command)


def keeper_log(size: int, dice: Random) -> list[owner_protocol.Entry]:
    """Entries that a keeper holds in memory, read as they come from the leader."""
    encoded = [
        msgspec.msgpack.encode(log_entry(purge)) for purge in purges_off_the_wire("object", size, dice)
    ]
    return [msgspec.msgpack.decode(data, type=owner_protocol.Entry) for data in encoded]


def remembered_bounds(size: int, dice: Random) -> Guard:
    """A router's guard that was asked for so many names, none of them purged."""
    guard = Guard(TERMS)
    guard.granted(0, 1 << 60)
    for _ in range(size):
        guard.oldest(SECOND, "clip", f"{dice.getrandbits(64):016x}", 1)
    return guard


def _guard_of(kind: str) -> Callable[[int, Random], Guard]:
    return lambda size, dice: guard_told(kind, size, dice)


OF_ORDER = (5_000, 10_000, 20_000)  # up to what desk and relay keep in its order
OF_MANY = (10_000, 40_000, 100_000)  # up to the bound of names that are kept one by one

TABLES = (
    Table("purge_index.object", "live purge", OF_MANY, _guard_of("object")),
    Table("purge_index.tag", "live purge", OF_MANY, _guard_of("tag")),
    Table("purge_index.group", "live purge", (64, 128, 256), _guard_of("group")),
    Table("purge_index.prefix", "live purge", (1_024, 2_048, 4_096), _guard_of("prefix")),
    Table("object_tags", "object", (12_500, 25_000, 50_000), remembered_tags),
    Table("remembered_bounds", "name", (1_024, 2_048, 4_096), remembered_bounds),
    Table("tail", "purge kept in order", OF_ORDER, tail_of),
    Table("ledger_keys", "purge kept in order", OF_ORDER, ledger_keys),
    Table("desk_members", "follower", (100, 400, 1_600), desk_members),
    Table("roster", "member", (150, 600, 1_200), roster),
    Table("board", "row", (800, 1_600, 3_200), board),
    Table("keeper_log", "entry", (500, 1_000, 2_500), keeper_log),
)
