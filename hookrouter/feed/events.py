"""One numbered event, read: a list of caches with their addresses, or a purge."""

import json
from typing import NamedTuple

from .. import interface
from .. import terms
from ..terms import Malformed

PHASES = {"active": interface.READY, "leaving": interface.DRAINING, "left": interface.GONE}


class Listed(NamedTuple):
    n: int
    whole: bool
    caches: tuple
    addresses: tuple  # (host, port) of each


class Purge(NamedTuple):
    n: int
    made: int  # Unix time in tenths of a millisecond
    group: int
    object: str | None  # none: the whole group


def read_address(value, what):
    host, _, port = terms.text(value, what).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise Malformed(f"{what}: an address and a port are wanted, not {terms.shown(value)}")
    return host, int(port)


def read_cache(row):
    row = terms.Stated(row, "endpoints")
    cache = interface.Cache(
        id=row.get("name", terms.text),
        zone=row.get("zone", terms.text),
        cell=row.get("group", terms.whole),
        weight=row.get("weight", terms.number),
        born=row.get("since_ms", terms.up),
        phase=row.get("status", terms.word, PHASES),
        machine_type=row.get("type", terms.text),
    )
    return cache, row.get("address", read_address)


def read_event(event):
    event = terms.Stated(event, "event")
    n = event.get("n", terms.whole)
    if "members" in event.values:
        members = event.part("members")
        rows = [read_cache(row) for row in members.get("endpoints", terms.listed)]
        return Listed(
            n,
            members.get("snapshot", terms.flag),
            tuple(cache for cache, _ in rows),
            tuple(address for _, address in rows),
        )
    if "purge" not in event.values:
        raise Malformed("event: neither members nor a purge")
    purge = event.part("purge")
    by_key = "key" in purge.values
    return Purge(
        n,
        purge.get("at", terms.down),
        0 if by_key else purge.get("group", terms.whole),
        purge.get("key", terms.text) if by_key else None,
    )


def parse_event(data):
    """From the bytes of one event; Malformed, whatever they are."""
    try:
        return read_event(json.loads(data))
    except (ValueError, RecursionError) as wrong:
        raise Malformed(str(wrong)) from None


def read_known(known):
    """The events as of the start: the last number, and each event in order."""
    known = terms.Stated(known, "known")
    return known.get("n", terms.whole), [read_event(event) for event in known.get("events", terms.listed)]
