"""Translates the wire's words and milliseconds to the interface's words and tenths, and back.

Spans round so that no rule is grazed: what the router may use up rounds down, what it must wait out, up.
"""

import json
import math

from .. import interface as i

ENDS = {"GOOD": i.SATISFIED, "BAD": i.ERRED, "FULL": i.FULL, "LATE": i.LATE, "NOCONN": i.UNREACHED,
        "RST": i.BROKEN, "CXL": i.CANCELLED, "NOP": i.VOID, "MISS": i.MISSING}
EFFECTS = {"free": i.IDEMPOTENT, "guarded": i.DEDUPLICATED, "single_shot": i.SIDE_EFFECTING}
DROPPED = {"all": i.EVERYWHERE, "zone": i.SAME_ZONE, "cell": i.SAME_CELL}
PHASES = {"on": i.READY, "fading": i.DRAINING, "off": i.GONE}
MODES = {"update": i.CHANGES, "replace": i.WHOLE, "restored": i.REMEMBERED, "unavailable": i.UNANSWERED}
REPORTS = {"inline": "answers", "on_probe": "probes", "off": "none"}
NOTES = {"all": "all", "hit": "hit", "off": "none"}
SIBLINGS = {"off": i.NO_SIBLINGS, "location": i.OWN_LOCATION, "any": i.ANY_SIBLING}
DISCOVERY = {"pushed": False, "on_request": True}
TENTHS = 10  # of a millisecond: the interface's unit in the wire's
MOST = 1e18  # beyond it no number of the wire makes sense


class Malformed(ValueError):
    """What came in cannot be read; the text says what was wrong."""


def number(value, what):
    # A whole number of hundreds of digits is no time or size, and no float holds it.
    if type(value) not in (int, float) or not -MOST <= value <= MOST:
        raise Malformed(f"{what}: a number is wanted, not {shown(value)}")
    return value


def reader(kind, wanted):
    """Reads values of just this type: true and false are no numbers."""

    def read(value, what):
        if type(value) is not kind:
            raise Malformed(f"{what}: {wanted} is wanted, not {shown(value)}")
        return value

    return read


whole = reader(int, "a whole number")
text = reader(str, "text")
flag = reader(bool, "true or false")
listed = reader(list, "an array")
named = reader(dict, "an object")


def word(value, words, what):
    if not isinstance(value, str) or value not in words:
        raise Malformed(f"{what}: {shown(value)} is none of {', '.join(words)}")
    return words[value]


def shown(value):
    return json.dumps(value)[:60]


def down(value, what):
    return math.floor(number(value, what) * TENTHS)


def up(value, what):
    return math.ceil(number(value, what) * TENTHS)


class Stated:
    """The settings as they came, read key by key; what is missing is named."""

    def __init__(self, values, at):
        self.values, self.at = named(values, at), at

    def get(self, key, read, *more):
        if key not in self.values:
            raise Malformed(f"{self.at}.{key} is missing")
        return read(self.values[key], *more, f"{self.at}.{key}")

    def list(self, key, read, *more):
        return tuple(read(v, *more, f"{self.at}.{key}") for v in self.get(key, listed))

    def part(self, key):
        return Stated(self.get(key, named), f"{self.at}.{key}")


def read_terms(conf):
    conf = Stated(conf, "conf")
    extra, limits, rules = conf.part("extra"), conf.part("limits"), conf.part("invariants")
    sorts = conf.list("machineTypes", text)
    parents, origin = extra.get("upperKind", whole), extra.get("masterKind", whole)
    if not 0 <= origin < len(sorts) or not -1 <= parents < len(sorts):
        raise Malformed("conf.extra: upperKind or masterKind is outside machineTypes")
    topology = i.Topology(
        number=conf.get("myNumber", whole), routers=conf.get("balancers", whole), zone=conf.get("az", text),
        zones=conf.list("zones", text), hubs=extra.list("hubByZone", whole),
        crews=extra.list("crewByZone", whole), links=extra.list("feedKbPerS", number),
        parent_sort=None if parents < 0 else sorts[parents], origin_sort=sorts[origin],
        siblings=extra.get("peersFill", word, SIBLINGS), flow=extra.get("oneFlowKbPerS", number))
    if topology.zone not in topology.zones or len(topology.crews) != len(topology.zones):
        raise Malformed("conf: az, zones and extra.crewByZone do not go together")
    return i.Terms(
        topology=topology, kinds=read_kinds(conf, extra),
        must_subscribe=conf.get("discovery", word, DISCOVERY), most_sends=limits.get("maxAttempts", whole),
        second_copies=limits.get("mayDuplicate", flag), may_cancel=limits.get("mayCancel", flag),
        may_probe=limits.get("probing", flag), may_whisper=limits.get("peers", flag),
        pass_by=extra.get("mayPassBy", flag), joins=extra.get("joins", flag),
        longest_stay_away=limits.get("maxRetryAfter", down), advice=limits.get("retryAfter", flag),
        report_fields=conf.part("report").list("fields", text),
        reports=conf.part("report").get("how", word, REPORTS), notes=extra.get("noteLevel", word, NOTES),
        drain_grace=rules.get("drainGrace", down), purge_grace=extra.get("purgeGrace", down),
        purge_done=extra.get("clearedWithin", up), cold_share=rules.get("coldFrom", number),
        cold_for=rules.get("warmWithin", up), fall_multiple=rules.get("fallMultiple", number),
        fall_for=rules.get("fall", up), parent_cold_share=extra.get("parentFloor", number),
        parent_cold_for=extra.get("parentCold", up),
        parent_fall_multiple=extra.get("parentFallMultiple", number),
        origin_fall_multiple=extra.get("originFallMultiple", number),
        origin_fall_for=extra.get("originFall", up), tick=conf.get("tick", up))


def read_kinds(conf, extra):
    rows = conf.get("classes", listed)
    by_kind = [extra.list("freshFor", down), extra.list("classGrace", down),
               extra.list("classStaleWorth", number), extra.list("classParts", flag),
               extra.list("passOn", flag)]
    if any(len(column) != len(rows) for column in by_kind):
        raise Malformed("conf.extra: a list by class is not as long as conf.classes")
    kinds = []
    for n, (row, fresh, grace, stale, parts, write) in enumerate(zip(rows, *by_kind)):
        row = Stated(row, f"conf.classes[{n}]")
        effect = row.get("idempotency", word, EFFECTS)
        keyed = effect == i.DEDUPLICATED
        kinds.append(i.ObjectKind(
            name=row.get("name", text), latency_budget=row.get("aim", down),
            # The wire leaves the key out where the budget does not stretch.
            budget_stretch=row.get("aimStretch", number) if "aimStretch" in row.values else 0.0,
            deadline=row.get("deadline", down), utility=row.get("worth", number),
            late_share=row.get("lateWorth", number), effect=effect,
            dropped_at=row.get("group", word, DROPPED) if keyed else i.EVERYWHERE,
            remembered=row.get("memorySpan", down) if keyed else 0,
            fresh=fresh, grace=grace, stale_share=stale, in_parts=parts, write=write))
    return tuple(kinds)


def read_cache(row):
    row = row + [None] * (7 - len(row))
    return i.Cache(id=text(row[4], "records.cache"), zone=text(row[1], "records.rackZone"),
                   cell=whole(row[2], "records.stripe"), weight=number(row[0], "records.units"),
                   born=up(row[3] or 0, "records.bootTime"), phase=word(row[5], PHASES, "records.phase"),
                   sort=text(row[6], "records.generationHw"))


def read_list(rows):
    return tuple(read_cache(listed(row, "defineList.records")) for row in listed(rows, "defineList.records"))


def read_report(row, what):
    return None if row is None else tuple(number(v, what) for v in listed(row, what))


def read_bytes(value, what):
    try:
        return bytes.fromhex(text(value, what))
    except ValueError:
        raise Malformed(f"{what}: hex digits are wanted, not {shown(value)}") from None


def read_peers(event, lists):
    mode = word(event[1], MODES, "peersKnown.mode")
    if mode == i.UNANSWERED:
        return i.CacheList(mode, ())
    table = whole(event[2], "peersKnown.table")
    if table not in lists:
        raise Malformed(f"peersKnown.table: list {table} was never defined")
    return i.CacheList(mode, lists[table])


def read_lookup(event, _lists):
    return i.Lookup(id=whole(event[1], "newRequest.corr"), kind=text(event[4], "newRequest.qos"),
                    object=text(event[9], "newRequest.contentId"),
                    part=whole(event[6] or 0, "newRequest.slice"),
                    group=whole(event[5] or 0, "newRequest.purgeGroup"),
                    size=number(event[7] or 0, "newRequest.sizeKb"), due=down(event[8], "newRequest.due"),
                    repeat=bool(whole(event[2] or 0, "newRequest.flags") & 2))


def read_end(event, _lists):
    return i.SendEnd(id=whole(event[1], "result.corr"), send=whole(event[4], "result.hop"),
                     end=word(event[2], ENDS, "result.outcome"), note=whole(event[3] or 0, "result.info"),
                     settled=flag(event[5], "result.complete"), took=up(event[6], "result.rtt"),
                     cache=text(event[7], "result.cache"), report=read_report(event[9], "result.telemetry"))


# By the wire's name: how many values follow it, and what reads them.
EVENTS = {
    "peersKnown": (3, read_peers),
    "newRequest": (9, read_lookup),
    "streaming": (4, lambda e, _: i.Begun(whole(e[1], "streaming.corr"), whole(e[4], "streaming.hop"))),
    "result": (9, read_end),
    "hangup": (1, lambda e, _: i.ClientGone(whole(e[1], "hangup.corr"))),
    "reminder": (1, lambda e, _: i.Alarm(whole(e[1], "reminder.label"))),
    "probeResult": (4, lambda e, _: i.ProbeEnd(
        word(e[1], ENDS, "probeResult.outcome"), text(e[2], "probeResult.cache"),
        up(e[3], "probeResult.rtt"), read_report(e[4], "probeResult.telemetry"))),
    "whisper": (2, lambda e, _: i.Whisper(whole(e[1], "whisper.neighbour"), read_bytes(e[2], "whisper.msg"))),
    "replaced": (3, lambda e, _: i.Purged(
        down(e[1], "replaced.howOld"), whole(e[2], "replaced.group"),
        None if e[3] is None else text(e[3], "replaced.contentId"))),
}


def read_event(event, lists):
    name = event[0] if event else None
    if not isinstance(name, str) or name not in EVENTS:
        raise Malformed(f"unknown event {shown(name)}")
    wanted, read = EVENTS[name]
    return read(event + [None] * (wanted + 1 - len(event)), lists)


def write_obtain(e):
    how = e.join + 2 * e.held_only + 4 * e.unkept + 8 * e.renew
    return ["obtain", e.id, e.source, how, e.wait / TENTHS, e.age / TENTHS, e.rank, e.cache]


WRITERS = {
    i.Ask: lambda e: ["submitTo", e.id, e.wait / TENTHS, e.cache],
    i.Obtain: write_obtain,
    i.Nack: lambda e: ["pushBack", e.id, e.stay_away / TENTHS],
    i.Fail: lambda e: ["endFailed", e.id],
    i.Cancel: lambda e: ["stopAttempt", e.id, e.send],
    i.SetAlarm: lambda e: ["setAlarm", e.delay / TENTHS, e.token],
    i.Subscribe: lambda e: ["keepInformed", e.wanted],
    i.Probe: lambda e: ["inspect", e.cache],
    i.Tell: lambda e: ["writePeer", e.router, e.text.hex()],
    i.Log: lambda e: ["log", e.text],
}


def write_effect(effect):
    return WRITERS[type(effect)](effect)
