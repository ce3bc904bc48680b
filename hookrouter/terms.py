"""Reads a deployment's settings into interface.Terms, for the simulator's adapter and the network node alike.

Also holds the readers of single JSON values that both use. Durations are rounded so that no rule is violated:
a time that the router may use up is rounded down, one that it must wait out is rounded up.
"""

import json
import math

from . import interface
from .errors.platform import Malformed

IDEMPOTENCY = {
    "free": interface.IDEMPOTENT,
    "guarded": interface.DEDUPLICATED,
    "single_shot": interface.SIDE_EFFECTING,
}
DEDUP_SCOPES = {"all": interface.EVERYWHERE, "zone": interface.SAME_ZONE, "cell": interface.SAME_CELL}
REPORT_MODES = {"inline": "answers", "on_probe": "probes", "off": "none"}
NOTE_LEVELS = {"all": "all", "hit": "hit", "off": "none"}
SIBLINGS = {"off": interface.NO_SIBLINGS, "location": interface.OWN_LOCATION, "any": interface.ANY_SIBLING}
DISCOVERY = {"pushed": False, "on_request": True}
UNITS_PER_MS = 10  # the interface counts time in tenths of a millisecond
SECOND = 1_000 * UNITS_PER_MS
MAX_NUMBER = 1e18  # larger numbers on the wire are invalid


def read_number(value, what):
    """Returns an int or float, or raises Malformed; `what` names the value in the message."""
    # An integer of hundreds of digits is no time or size, and no float can represent it.
    if type(value) not in (int, float) or not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise Malformed(f"{what}: a number is wanted, not {excerpt(value)}")
    return value


def type_reader(kind, wanted):
    """Returns a reader that accepts exactly this type, so that true and false are not read as integers."""

    def read(value, what):
        if type(value) is not kind:
            raise Malformed(f"{what}: {wanted} is wanted, not {excerpt(value)}")
        return value

    return read


def read_integer(value, what):
    """Returns an int, or raises Malformed."""
    if type(value) is not int:
        raise Malformed(f"{what}: a whole number is wanted, not {excerpt(value)}")
    return read_number(value, what)


read_text = type_reader(str, "text")
read_flag = type_reader(bool, "true or false")
read_array = type_reader(list, "an array")
read_object = type_reader(dict, "an object")


def read_choice(value, choices, what):
    """Returns what `choices` maps this string to; Malformed lists the choices."""
    if not isinstance(value, str) or value not in choices:
        raise Malformed(f"{what}: {excerpt(value)} is none of {', '.join(choices)}")
    return choices[value]


def excerpt(value):
    """The value as JSON, cut to 60 characters, for error messages."""
    return json.dumps(value)[:60]


def floor_units(value, what):
    """Converts milliseconds to time units, rounded down."""
    return math.floor(read_number(value, what) * UNITS_PER_MS)


def ceil_units(value, what):
    """Converts milliseconds to time units, rounded up."""
    return math.ceil(read_number(value, what) * UNITS_PER_MS)


class SettingsReader:
    """Reads a JSON object key by key. `path` locates it in error messages; a missing key raises Malformed."""

    def __init__(self, values, path):
        self.values, self.path = read_object(values, path), path

    def get(self, key, read, *more):
        """Reads the value of this key with read(value, *more, path)."""
        if key not in self.values:
            raise Malformed(f"{self.path}.{key} is missing")
        return read(self.values[key], *more, f"{self.path}.{key}")

    def list(self, key, read, *more):
        """Reads each element of this key's array; returns a tuple."""
        return tuple(read(v, *more, f"{self.path}.{key}") for v in self.get(key, read_array))

    def section(self, key):
        """A reader of the object under this key."""
        return SettingsReader(self.get(key, read_object), f"{self.path}.{key}")


def read_terms(conf):
    """Returns interface.Terms from the parsed settings; Malformed names the first key that is invalid."""
    conf = SettingsReader(conf, "conf")
    extra, limits, rules = conf.section("extra"), conf.section("limits"), conf.section("invariants")
    machine_types = conf.list("machineTypes", read_text)
    parents, origin = extra.get("upperKind", read_integer), extra.get("masterKind", read_integer)
    if not 0 <= origin < len(machine_types) or not -1 <= parents < len(machine_types):
        raise Malformed("conf.extra: upperKind or masterKind is outside machineTypes")
    topology = interface.Topology(
        number=conf.get("myNumber", read_integer),
        routers=conf.get("balancers", read_integer),
        zone=conf.get("az", read_text),
        zones=conf.list("zones", read_text),
        hub_by_zone=extra.list("hubByZone", read_integer),
        routers_by_zone=extra.list("crewByZone", read_integer),
        link_rates=extra.list("feedKbPerS", read_number),
        parent_machine_type=None if parents < 0 else machine_types[parents],
        origin_machine_type=machine_types[origin],
        siblings=extra.get("peersFill", read_choice, SIBLINGS),
        answer_rate=extra.get("oneFlowKbPerS", read_number),
    )
    if topology.zone not in topology.zones or len(topology.routers_by_zone) != len(topology.zones):
        raise Malformed("conf: az, zones and extra.crewByZone are inconsistent")
    return interface.Terms(
        topology=topology,
        kinds=read_kinds(conf, extra),
        must_subscribe=conf.get("discovery", read_choice, DISCOVERY),
        max_sends=limits.get("maxAttempts", read_integer),
        may_duplicate=limits.get("mayDuplicate", read_flag),
        may_cancel=limits.get("mayCancel", read_flag),
        may_probe=limits.get("probing", read_flag),
        may_message_peers=limits.get("peers", read_flag),
        may_bypass_caches=extra.get("mayPassBy", read_flag),
        may_join_fills=extra.get("joins", read_flag),
        max_retry_after=limits.get("maxRetryAfter", floor_units),
        connect_timeout=limits.get("connectTimeout", floor_units),
        idle_timeout=limits.get("idleClose", floor_units),
        max_pending_lookups=limits.get("mostHeld", read_integer),
        sends_retry_after=limits.get("retryAfter", read_flag),
        report_fields=conf.section("report").list("fields", read_text),
        report_mode=conf.section("report").get("how", read_choice, REPORT_MODES),
        note_level=extra.get("noteLevel", read_choice, NOTE_LEVELS),
        drain_grace=rules.get("drainGrace", floor_units),
        purge_grace=extra.get("purgeGrace", floor_units),
        purge_duration=extra.get("clearedWithin", ceil_units),
        cold_share=rules.get("coldFrom", read_number),
        cold_duration=rules.get("warmWithin", ceil_units),
        overload_multiple=rules.get("fallMultiple", read_number),
        overload_duration=rules.get("fall", ceil_units),
        parent_cold_share=extra.get("parentFloor", read_number),
        parent_cold_duration=extra.get("parentCold", ceil_units),
        parent_overload_multiple=extra.get("parentFallMultiple", read_number),
        origin_overload_multiple=extra.get("originFallMultiple", read_number),
        origin_overload_duration=extra.get("originFall", ceil_units),
        tick=conf.get("tick", ceil_units),
    )


def read_kinds(conf, extra):
    """Returns the ObjectKinds, in the order of conf.classes."""
    rows = conf.get("classes", read_array)
    by_kind = [
        extra.list("freshFor", floor_units),
        extra.list("classGrace", floor_units),
        extra.list("classStaleWorth", read_number),
        extra.list("classParts", read_flag),
        extra.list("passOn", read_flag),
    ]
    if any(len(column) != len(rows) for column in by_kind):
        raise Malformed("conf.extra: a list of values per class is not as long as conf.classes")
    kinds = []
    for index, (row, fresh_duration, stale_grace, stale_share, in_parts, write) in enumerate(
        zip(rows, *by_kind)
    ):
        row = SettingsReader(row, f"conf.classes[{index}]")
        idempotency = row.get("idempotency", read_choice, IDEMPOTENCY)
        keyed = idempotency == interface.DEDUPLICATED
        kinds.append(
            interface.ObjectKind(
                name=row.get("name", read_text),
                latency_budget=row.get("aim", floor_units),
                # The key is absent where the budget does not stretch.
                budget_stretch=row.get("aimStretch", read_number) if "aimStretch" in row.values else 0.0,
                deadline=row.get("deadline", floor_units),
                utility=row.get("worth", read_number),
                late_share=row.get("lateWorth", read_number),
                idempotency=idempotency,
                dedup_scope=row.get("group", read_choice, DEDUP_SCOPES) if keyed else interface.EVERYWHERE,
                dedup_duration=row.get("memorySpan", floor_units) if keyed else 0,
                fresh_duration=fresh_duration,
                stale_grace=stale_grace,
                stale_share=stale_share,
                in_parts=in_parts,
                write=write,
            )
        )
    return tuple(kinds)
