"""Translates messages of the simulator, in milliseconds, to inputs of interface.py, and effects to messages.

What cannot be read raises Malformed, which names the field.
"""

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

OUTCOMES = {
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
    """interface.Cache from a row of a list; missing values at its end are null."""
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
    """The caches of a list."""
    return tuple(
        read_cache(read_array(row, "defineList.records")) for row in read_array(rows, "defineList.records")
    )


def read_report(row, what):
    """The numbers of a report, None if there is none; `what` names the field in errors."""
    return None if row is None else tuple(read_number(number, what) for number in read_array(row, what))


def read_bytes(value, what):
    """Bytes from hexadecimal digits."""
    try:
        return bytes.fromhex(read_text(value, what))
    except ValueError:
        raise Malformed(f"{what}: hex digits are wanted, not {excerpt(value)}") from None


def read_peers(event, lists):
    """interface.CacheList; lists: number -> caches, as defined earlier."""
    mode = read_choice(event[1], MODES, "peersKnown.mode")
    if mode == interface.UNANSWERED:
        return interface.CacheList(mode, ())
    table = read_integer(event[2], "peersKnown.table")
    if table not in lists:
        raise Malformed(f"peersKnown.table: list {table} was never defined")
    return interface.CacheList(mode, lists[table])


def read_lookup(event, _lists):
    """interface.Lookup from a newRequest."""
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
    """interface.SendEnd from a result."""
    return interface.SendEnd(
        id=read_integer(event[1], "result.corr"),
        send=read_integer(event[4], "result.hop"),
        outcome=read_choice(event[2], OUTCOMES, "result.outcome"),
        copy_status=read_integer(event[3] or 0, "result.info"),
        settled=read_flag(event[5], "result.complete"),
        duration=ceil_units(event[6], "result.rtt"),
        cache=read_text(event[7], "result.cache"),
        report=read_report(event[9], "result.telemetry"),
    )


# Name of the message -> (number of values that follow it, their reader).
EVENTS = {
    "peersKnown": (3, read_peers),
    "newRequest": (9, read_lookup),
    "streaming": (
        4,
        lambda event, _: interface.Begun(
            read_integer(event[1], "streaming.corr"), read_integer(event[4], "streaming.hop")
        ),
    ),
    "result": (9, read_end),
    "hangup": (1, lambda event, _: interface.ClientGone(read_integer(event[1], "hangup.corr"))),
    "reminder": (1, lambda event, _: interface.Alarm(read_integer(event[1], "reminder.label"))),
    "probeResult": (
        4,
        lambda event, _: interface.ProbeEnd(
            read_choice(event[1], OUTCOMES, "probeResult.outcome"),
            read_text(event[2], "probeResult.cache"),
            ceil_units(event[3], "probeResult.rtt"),
            read_report(event[4], "probeResult.telemetry"),
        ),
    ),
    "whisper": (
        2,
        lambda event, _: interface.Whisper(
            read_integer(event[1], "whisper.neighbour"), read_bytes(event[2], "whisper.msg")
        ),
    ),
    "replaced": (
        3,
        lambda event, _: interface.Purged(
            floor_units(event[1], "replaced.howOld"),
            read_integer(event[2], "replaced.group"),
            None if event[3] is None else read_text(event[3], "replaced.contentId"),
        ),
    ),
}


def read_event(event, lists):
    """The input in this message; missing values at its end are null."""
    name = event[0] if event else None
    if not isinstance(name, str) or name not in EVENTS:
        raise Malformed(f"unknown event {excerpt(name)}")
    field_count, read = EVENTS[name]
    return read(event + [None] * (field_count + 1 - len(event)), lists)


def write_obtain(effect):
    """The message of an Obtain."""
    flags = effect.join_fill + 2 * effect.hits_only + 4 * effect.no_store + 8 * effect.revalidate
    return [
        "obtain",
        effect.id,
        effect.source,
        flags,
        effect.timeout / UNITS_PER_MS,
        effect.max_age / UNITS_PER_MS,
        effect.priority,
        effect.cache,
    ]


WRITERS = {
    interface.Ask: lambda effect: ["submitTo", effect.id, effect.timeout / UNITS_PER_MS, effect.cache],
    interface.Obtain: write_obtain,
    interface.Nack: lambda effect: ["pushBack", effect.id, effect.retry_after / UNITS_PER_MS],
    interface.Fail: lambda effect: ["endFailed", effect.id],
    interface.Cancel: lambda effect: ["stopAttempt", effect.id, effect.send],
    interface.SetAlarm: lambda effect: ["setAlarm", effect.delay / UNITS_PER_MS, effect.token],
    interface.Subscribe: lambda effect: ["keepInformed", effect.wanted],
    interface.Probe: lambda effect: ["inspect", effect.cache],
    interface.Tell: lambda effect: ["writePeer", effect.router, effect.text.hex()],
    interface.Log: lambda effect: ["log", effect.text],
}


def write_effect(effect):
    """The message that carries out this effect."""
    return WRITERS[type(effect)](effect)
