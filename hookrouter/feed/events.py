"""Parses numbered events of the platform's feed: cache lists with addresses, and purges."""

import json
from typing import NamedTuple

from .. import interface, terms
from ..terms import Malformed

PHASES = {"active": interface.READY, "leaving": interface.DRAINING, "left": interface.GONE}


class CacheListEvent(NamedTuple):
    """The complete list of caches (snapshot), or changes of it."""

    number: int
    snapshot: bool
    caches: tuple
    addresses: tuple  # (host, port) of each


class PurgeEvent(NamedTuple):
    """A purge of one object or of a whole group."""

    number: int
    purged_at: int  # Unix time in tenths of a millisecond
    group: int
    object: str | None  # None: the whole group


def read_address(value, key):
    """(host, port) of "HOST:PORT"; Malformed names the key."""
    host, _, port = terms.read_text(value, key).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise Malformed(f"{key}: an address and a port are wanted, not {terms.excerpt(value)}")
    return host, int(port)


def read_cache(row):
    """(interface.Cache, address) of one row of a cache list."""
    row = terms.SettingsReader(row, "endpoints")
    cache = interface.Cache(
        id=row.get("name", terms.read_text),
        zone=row.get("zone", terms.read_text),
        cell=row.get("group", terms.read_integer),
        weight=row.get("weight", terms.read_number),
        born=row.get("since_ms", terms.ceil_units),
        phase=row.get("status", terms.read_choice, PHASES),
        machine_type=row.get("type", terms.read_text),
    )
    return cache, row.get("address", read_address)


def read_event(event):
    """An event from its parsed JSON; Malformed names what is missing or invalid."""
    event = terms.SettingsReader(event, "event")
    number = event.get("n", terms.read_integer)
    if "members" in event.values:
        members = event.section("members")
        rows = [read_cache(row) for row in members.get("endpoints", terms.read_array)]
        return CacheListEvent(
            number,
            members.get("snapshot", terms.read_flag),
            tuple(cache for cache, _ in rows),
            tuple(address for _, address in rows),
        )
    if "purge" not in event.values:
        raise Malformed("event: neither members nor a purge")
    purge = event.section("purge")
    by_key = "key" in purge.values
    return PurgeEvent(
        number,
        purge.get("at", terms.floor_units),
        0 if by_key else purge.get("group", terms.read_integer),
        purge.get("key", terms.read_text) if by_key else None,
    )


def parse_event(data):
    """An event from its bytes; Malformed for any invalid input."""
    try:
        return read_event(json.loads(data))
    except (ValueError, RecursionError) as error:
        raise Malformed(str(error)) from None


def read_known(known):
    """(number of the last event, events in order) known at the start of a router."""
    known = terms.SettingsReader(known, "known")
    return known.get("n", terms.read_integer), [
        read_event(event) for event in known.get("events", terms.read_array)
    ]
