"""Sections and keys of the operator's file, and checks for contradictory values."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from ..purges import types
from ..terms import SECOND
from .values import (
    SIZE_UNITS,
    Reader,
    address,
    addresses,
    amount,
    choice,
    count,
    directory,
    duration,
    file,
    keepers,
    name,
    path,
    secret,
)

REQUIRED = object()  # marks keys without a default


class Key(NamedTuple):
    """A key: the reader of its value, its default, and its description for operators."""

    read: Reader
    default: Any
    about: str


SECTIONS = {
    "purges": {
        "desk": Key(
            addresses, REQUIRED, "where purges are submitted; the keepers' where a fleet has the desk"
        ),
        "follow": Key(address, None, "where routers follow: a relay, or else the desk"),
        "secret": Key(secret, REQUIRED, "file with the secret that submitters and followers share"),
        "lease": Key(
            duration(5_000, 60 * SECOND, "2 s"),
            2 * SECOND,
            "without word of the desk for that long a router fences itself",
        ),
        "hold": Key(
            duration(60 * SECOND, 30 * 86_400 * SECOND, "24 h"),
            24 * 3_600 * SECOND,
            "no copy older than that answers; purges are folded away then",
        ),
        "grace": Key(
            duration(0, SECOND), 5_000, "from that long after it was told a purge binds sends that were out"
        ),
        "skew": Key(
            duration(0, 4_000, "20 ms"), 200, "between the clocks of desk, origin and routers, at most"
        ),
        "fenced": Key(
            choice(types.YOUNG, types.NACK),
            types.YOUNG,
            "a router without a lease answers from copies younger than the lease, or nacks",
        ),
        "tags": Key(choice(types.ANSWERS, types.FILE), types.ANSWERS, "where the tags of objects come from"),
        "tag file": Key(file, None, "a line an object: its id, then its tags"),
        "names": Key(count(100, 10_000_000), 16_000, "objects and tags that a router keeps one by one"),
        "sealed": Key(
            count(0, 100_000_000), types.MOST_SEALED, "purges in a hold that a router's slices are sized for"
        ),
        "tagged": Key(count(0, 10_000_000), 50_000, "objects whose tags a router remembers"),
    },
    "desk": {
        "listen": Key(address, REQUIRED, "address and port of the desk"),
        "store": Key(path, REQUIRED, "file of the store, on a disk that lasts"),
        "most live": Key(count(100, 100_000_000), 4_000_000, "purges that are live in a hold"),
        "most patterns": Key(count(0, 4_000), 4_000, "distinct globs and regexes that followers must keep"),
    },
    "relay": {
        "name": Key(name, REQUIRED, "its name among the members"),
        "listen": Key(address, REQUIRED, "address and port of the relay"),
        "above": Key(address, None, "the desk, or the relay above"),
        "store": Key(path, REQUIRED, "file with the names of its members, on a disk that lasts"),
    },
    "admission": {
        "share": Key(
            amount({"%": 1}, 10, 99, "95 %"),
            95,
            "of a desk's or relay's time that returns may take; what each takes is measured",
        ),
        "secret": Key(secret, None, "file with the secret of tickets; without it they bear that of [purges]"),
    },
    "trace": {
        "folder": Key(directory, REQUIRED, "where each router keeps its trace of decisions, under its name"),
        "size": Key(amount(SIZE_UNITS, 1_000_000, 1 << 40, "64 MB"), 64_000_000, "on disk for each, at most"),
    },
    "fleet": {
        "name": Key(name, REQUIRED, "this member's name, its own in the fleet"),
        "listen": Key(address, REQUIRED, "address and port for other members"),
        "address": Key(address, None, "where other members reach it, if that is not where it listens"),
        "seeds": Key(addresses, None, "members that are asked who is there; without it the keepers"),
        "zone": Key(name, "-", "where it stands: members of a zone that vanish together are one event"),
        "keepers": Key(keepers, REQUIRED, "the three or five that decide: NAME ADDRESS:PORT, ..."),
        "secret": Key(secret, REQUIRED, "file with the secret that all members share"),
        "store": Key(path, None, "a keeper's file, on a disk that lasts"),
        "lease": Key(
            duration(2_000, 60 * SECOND, "1 s"), SECOND, "of a duty: without word for that long it is lost"
        ),
        "drill": Key(address, None, "a register at which duties named drill/... are worked"),
    },
    "sharing": {
        "silent after": Key(
            duration(2 * SECOND, 60 * SECOND, "8 s"),
            8 * SECOND,
            "who hears nothing of its zone for that long decides alone",
        ),
        "pull within": Key(
            duration(0, 10 * SECOND, "1 s"),
            SECOND,
            "a router that starts waits for what neighbours learnt, at most",
        ),
        "lend": Key(
            amount(SIZE_UNITS, 20_000, 100_000_000, "256 kB"),
            256_000,
            "of lists a second that this router lends, to all together",
        ),
    },
    "spread": {
        "lease": Key(
            duration(SECOND, 10 * SECOND, "2 s"),
            2 * SECOND,
            "of a share of a cold cache that one router cedes to another",
        ),
    },
    "warming": {
        "lenders": Key(count(1, 16), 5, "routers of the zone whose lists the owner of a warming borrows"),
        "slots": Key(count(1, 64), 4, "fills out at one source, for all warmings together"),
        "room": Key(
            amount(SIZE_UNITS, 1_000_000, 1 << 50, "200 GB"),
            None,
            "what a cache keeps; without it names count as asked for half a minute ahead",
        ),
    },
    "log": {
        "format": Key(choice("text", "json"), "text", "lines for people, or a JSON object each"),
    },
}


class Contradiction(NamedTuple):
    """A contradiction between values; key is None if it concerns the whole section."""

    section: str
    key: str | None
    what: str


def contradictions(sections: dict[str, dict[str, Any]]) -> Iterator[Contradiction]:
    """Yields all contradictions among the sections."""
    if (fleet := sections.get("fleet")) is not None and (fleet["name"] in fleet["keepers"]) != (
        fleet["store"] is not None
    ):
        yield Contradiction(
            "fleet", "store", "wanted where this member is one of the keepers, and only there"
        )
    if "admission" in sections and "purges" not in sections:
        yield Contradiction(
            "admission", None, "[purges] is missing; what is paced are returns to its desk and relays"
        )
    if "sharing" in sections and "fleet" not in sections:
        yield Contradiction("sharing", None, "[fleet] is missing; routers share with members of their fleet")
    if "spread" in sections and "sharing" not in sections:
        yield Contradiction(
            "spread", None, "[sharing] is missing; load is spread by what routers tell each other"
        )
    if "warming" in sections and not {"fleet", "sharing"} <= set(sections):
        yield Contradiction(
            "warming", None, "[fleet] and [sharing] are missing; lists are borrowed from members"
        )
    if (purges := sections.get("purges")) is None:
        for section in ("desk", "relay"):
            if section in sections:
                yield Contradiction(section, None, "[purges] is missing; it has the secret, lease and hold")
        return
    if purges["grace"] < 2 * purges["skew"]:
        yield Contradiction(
            "purges", "grace", "shorter than twice the skew, so what the origin gives out anew is refused"
        )
    if purges["hold"] < 10 * purges["lease"]:
        yield Contradiction("purges", "hold", "ten leases at least are wanted")
    if (purges["tags"] == types.FILE) != (purges["tag file"] is not None):
        yield Contradiction("purges", "tag file", "wanted where tags = file, and only there")
