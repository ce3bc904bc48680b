"""The settings as a deployment states them, read into Terms: one object for the simulator and for sockets.

Also the plain readers of single values that both use. Spans round so that no rule is grazed: what the router
may use up rounds down, what it must wait out, up.
"""

import json
import math

from . import interface
from .errors.platform import Malformed

EFFECTS = {
    "free": interface.IDEMPOTENT,
    "guarded": interface.DEDUPLICATED,
    "single_shot": interface.SIDE_EFFECTING,
}
DROPPED = {"all": interface.EVERYWHERE, "zone": interface.SAME_ZONE, "cell": interface.SAME_CELL}
REPORTS = {"inline": "answers", "on_probe": "probes", "off": "none"}
NOTES = {"all": "all", "hit": "hit", "off": "none"}
SIBLINGS = {"off": interface.NO_SIBLINGS, "location": interface.OWN_LOCATION, "any": interface.ANY_SIBLING}
DISCOVERY = {"pushed": False, "on_request": True}
TENTHS = 10  # of a millisecond, the interface's unit, in one
SECOND = 1_000 * TENTHS
MOST = 1e18  # beyond it no number of the wire makes sense


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


def whole(value, what):
    if type(value) is not int:
        raise Malformed(f"{what}: a whole number is wanted, not {shown(value)}")
    return number(value, what)


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
    topology = interface.Topology(
        number=conf.get("myNumber", whole),
        routers=conf.get("balancers", whole),
        zone=conf.get("az", text),
        zones=conf.list("zones", text),
        hub_by_zone=extra.list("hubByZone", whole),
        routers_by_zone=extra.list("crewByZone", whole),
        link_rates=extra.list("feedKbPerS", number),
        parent_machine_type=None if parents < 0 else sorts[parents],
        origin_machine_type=sorts[origin],
        siblings=extra.get("peersFill", word, SIBLINGS),
        answer_rate=extra.get("oneFlowKbPerS", number),
    )
    if topology.zone not in topology.zones or len(topology.routers_by_zone) != len(topology.zones):
        raise Malformed("conf: az, zones and extra.crewByZone do not go together")
    return interface.Terms(
        topology=topology,
        kinds=read_kinds(conf, extra),
        must_subscribe=conf.get("discovery", word, DISCOVERY),
        max_sends=limits.get("maxAttempts", whole),
        may_duplicate=limits.get("mayDuplicate", flag),
        may_cancel=limits.get("mayCancel", flag),
        may_probe=limits.get("probing", flag),
        may_message_peers=limits.get("peers", flag),
        may_bypass_caches=extra.get("mayPassBy", flag),
        may_join_fills=extra.get("joins", flag),
        max_retry_after=limits.get("maxRetryAfter", down),
        connect_timeout=limits.get("connectTimeout", down),
        idle_timeout=limits.get("idleClose", down),
        max_pending_lookups=limits.get("mostHeld", whole),
        sends_retry_after=limits.get("retryAfter", flag),
        report_fields=conf.part("report").list("fields", text),
        report_mode=conf.part("report").get("how", word, REPORTS),
        note_level=extra.get("noteLevel", word, NOTES),
        drain_grace=rules.get("drainGrace", down),
        purge_grace=extra.get("purgeGrace", down),
        purge_duration=extra.get("clearedWithin", up),
        cold_share=rules.get("coldFrom", number),
        cold_duration=rules.get("warmWithin", up),
        overload_multiple=rules.get("fallMultiple", number),
        overload_duration=rules.get("fall", up),
        parent_cold_share=extra.get("parentFloor", number),
        parent_cold_duration=extra.get("parentCold", up),
        parent_overload_multiple=extra.get("parentFallMultiple", number),
        origin_overload_multiple=extra.get("originFallMultiple", number),
        origin_overload_duration=extra.get("originFall", up),
        tick=conf.get("tick", up),
    )


def read_kinds(conf, extra):
    rows = conf.get("classes", listed)
    by_kind = [
        extra.list("freshFor", down),
        extra.list("classGrace", down),
        extra.list("classStaleWorth", number),
        extra.list("classParts", flag),
        extra.list("passOn", flag),
    ]
    if any(len(column) != len(rows) for column in by_kind):
        raise Malformed("conf.extra: a list by class is not as long as conf.classes")
    kinds = []
    for n, (row, fresh, grace, stale, parts, write) in enumerate(zip(rows, *by_kind)):
        row = Stated(row, f"conf.classes[{n}]")
        effect = row.get("idempotency", word, EFFECTS)
        keyed = effect == interface.DEDUPLICATED
        kinds.append(
            interface.ObjectKind(
                name=row.get("name", text),
                latency_budget=row.get("aim", down),
                # The wire leaves the key out where the budget does not stretch.
                budget_stretch=row.get("aimStretch", number) if "aimStretch" in row.values else 0.0,
                deadline=row.get("deadline", down),
                utility=row.get("worth", number),
                late_share=row.get("lateWorth", number),
                idempotency=effect,
                dedup_scope=row.get("group", word, DROPPED) if keyed else interface.EVERYWHERE,
                dedup_duration=row.get("memorySpan", down) if keyed else 0,
                fresh_duration=fresh,
                stale_grace=grace,
                stale_share=stale,
                in_parts=parts,
                write=write,
            )
        )
    return tuple(kinds)
