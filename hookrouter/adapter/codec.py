"""Translates the wire's words and milliseconds to the interface's words and tenths, and back."""

from .. import interface
from ..terms import (
    UNITS_PER_MS,
    Malformed,
    ceil_units,
    excerpt,
    floor_units,
    read_array,
    read_choice,
    read_flag,
    read_integer,
    read_number,
    read_text,
)

ENDS = {
    "GOOD": interface.SATISFIED,
    "BAD": interface.ERRED,
    "FULL": interface.FULL,
    "LATE": interface.LATE,
    "NOCONN": interface.UNREACHED,
    "RST": interface.BROKEN,
    "CXL": interface.CANCELLED,
    "NOP": interface.VOID,
    "MISS": interface.MISSING,
}
PHASES = {"on": interface.READY, "fading": interface.DRAINING, "off": interface.GONE}
MODES = {
    "update": interface.CHANGES,
    "replace": interface.WHOLE,
    "restored": interface.REMEMBERED,
    "unavailable": interface.UNANSWERED,
}


def read_cache(row):
    row = row + [None] * (7 - len(row))
    return interface.Cache(
        id=read_text(row[4], "records.cache"),
        zone=read_text(row[1], "records.rackZone"),
        cell=read_integer(row[2], "records.stripe"),
        weight=read_number(row[0], "records.units"),
        born=ceil_units(row[3] or 0, "records.bootTime"),
        phase=read_choice(row[5], PHASES, "records.phase"),
        machine_type=read_text(row[6], "records.generationHw"),
    )


def read_list(rows):
    return tuple(
        read_cache(read_array(row, "defineList.records")) for row in read_array(rows, "defineList.records")
    )


def read_report(row, what):
    return None if row is None else tuple(read_number(v, what) for v in read_array(row, what))


def read_bytes(value, what):
    try:
        return bytes.fromhex(read_text(value, what))
    except ValueError:
        raise Malformed(f"{what}: hex digits are wanted, not {excerpt(value)}") from None


def read_peers(event, lists):
    mode = read_choice(event[1], MODES, "peersKnown.mode")
    if mode == interface.UNANSWERED:
        return interface.CacheList(mode, ())
    table = read_integer(event[2], "peersKnown.table")
    if table not in lists:
        raise Malformed(f"peersKnown.table: list {table} was never defined")
    return interface.CacheList(mode, lists[table])


def read_lookup(event, _lists):
    return interface.Lookup(
        id=read_integer(event[1], "newRequest.corr"),
        kind=read_text(event[4], "newRequest.qos"),
        object=read_text(event[9], "newRequest.contentId"),
        part=read_integer(event[6] or 0, "newRequest.slice"),
        group=read_integer(event[5] or 0, "newRequest.purgeGroup"),
        size=read_number(event[7] or 0, "newRequest.sizeKb"),
        due=floor_units(event[8], "newRequest.due"),
        repeat=bool(read_integer(event[2] or 0, "newRequest.flags") & 2),
    )


def read_end(event, _lists):
    return interface.SendEnd(
        id=read_integer(event[1], "result.corr"),
        send=read_integer(event[4], "result.hop"),
        outcome=read_choice(event[2], ENDS, "result.outcome"),
        copy_status=read_integer(event[3] or 0, "result.info"),
        settled=read_flag(event[5], "result.complete"),
        duration=ceil_units(event[6], "result.rtt"),
        cache=read_text(event[7], "result.cache"),
        report=read_report(event[9], "result.telemetry"),
    )


# By the wire's name: how many values follow it, and what reads them.
EVENTS = {
    "peersKnown": (3, read_peers),
    "newRequest": (9, read_lookup),
    "streaming": (
        4,
        lambda e, _: interface.Begun(
            read_integer(e[1], "streaming.corr"), read_integer(e[4], "streaming.hop")
        ),
    ),
    "result": (9, read_end),
    "hangup": (1, lambda e, _: interface.ClientGone(read_integer(e[1], "hangup.corr"))),
    "reminder": (1, lambda e, _: interface.Alarm(read_integer(e[1], "reminder.label"))),
    "probeResult": (
        4,
        lambda e, _: interface.ProbeEnd(
            read_choice(e[1], ENDS, "probeResult.outcome"),
            read_text(e[2], "probeResult.cache"),
            ceil_units(e[3], "probeResult.rtt"),
            read_report(e[4], "probeResult.telemetry"),
        ),
    ),
    "whisper": (
        2,
        lambda e, _: interface.Whisper(
            read_integer(e[1], "whisper.neighbour"), read_bytes(e[2], "whisper.msg")
        ),
    ),
    "replaced": (
        3,
        lambda e, _: interface.Purged(
            floor_units(e[1], "replaced.howOld"),
            read_integer(e[2], "replaced.group"),
            None if e[3] is None else read_text(e[3], "replaced.contentId"),
        ),
    ),
}


def read_event(event, lists):
    name = event[0] if event else None
    if not isinstance(name, str) or name not in EVENTS:
        raise Malformed(f"unknown event {excerpt(name)}")
    wanted, read = EVENTS[name]
    return read(event + [None] * (wanted + 1 - len(event)), lists)


def write_obtain(e):
    how = e.join_fill + 2 * e.hits_only + 4 * e.no_store + 8 * e.revalidate
    return [
        "obtain",
        e.id,
        e.source,
        how,
        e.timeout / UNITS_PER_MS,
        e.max_age / UNITS_PER_MS,
        e.priority,
        e.cache,
    ]


WRITERS = {
    interface.Ask: lambda e: ["submitTo", e.id, e.timeout / UNITS_PER_MS, e.cache],
    interface.Obtain: write_obtain,
    interface.Nack: lambda e: ["pushBack", e.id, e.retry_after / UNITS_PER_MS],
    interface.Fail: lambda e: ["endFailed", e.id],
    interface.Cancel: lambda e: ["stopAttempt", e.id, e.send],
    interface.SetAlarm: lambda e: ["setAlarm", e.delay / UNITS_PER_MS, e.token],
    interface.Subscribe: lambda e: ["keepInformed", e.wanted],
    interface.Probe: lambda e: ["inspect", e.cache],
    interface.Tell: lambda e: ["writePeer", e.router, e.text.hex()],
    interface.Log: lambda e: ["log", e.text],
}


def write_effect(effect):
    return WRITERS[type(effect)](effect)
