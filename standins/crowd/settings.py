"""The configuration of a router in a crowd, made from the example in docs/."""

import json
from copy import deepcopy

from . import objects
from .remote import ROOT

BYTES_PER_KB = objects.BYTES_PER_KB
LINK_TRANSFERS = 16  # transfers at full speed on a router's link
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 600}

# Times and shares of the caches, used in the settings of routers and by the simulated caches.
TIMES = {
    "share": 0.2,
    "cold_ms": 15_000,
    "multiple": 2.5,
    "fall_ms": 1_000,
    "parent_share": 0.3,
    "parent_cold_ms": 15_000,
    "parent_multiple": 2.5,
}


def kinds():
    """Returns the rows of the object kinds."""

    def row(name, effect):
        return {
            "name": name,
            "aim": 600.0,
            "aimStretch": 1.5,
            "deadline": 4_000.0,
            "worth": 1.0,
            "lateWorth": 0.1,
            "group": "all",
            "idempotency": effect,
            "memorySpan": 6_000.0 if effect == "guarded" else 0.0,
        }

    return [row(name, effect) for name, (effect, *_) in objects.KINDS.items()]


def settings(number, zone, zones, router_count_by_zone, platform, report, times):
    """Returns the settings of a router. The zone hub, which has no routers, is added to zones."""
    result = deepcopy(json.loads((ROOT / "docs" / "example.json").read_text())["settings"])
    all_zones = ["hub", *zones]
    rows = list(objects.KINDS.values())
    result.update(
        myNumber=number,
        balancers=sum(router_count_by_zone.values()),
        az=zone,
        zones=all_zones,
        classes=kinds(),
    )
    result["extra"].update(
        hubByZone=[0] * len(all_zones),
        crewByZone=[0, *(router_count_by_zone[zone] for zone in zones)],
        feedKbPerS=[0.0] * len(all_zones),
        oneFlowKbPerS=objects.FLOW_KB_PER_S,
        parentFloor=times["parent_share"],
        parentCold=float(times["parent_cold_ms"]),
        parentFallMultiple=times["parent_multiple"],
        freshFor=[float(row[3]) for row in rows],
        classGrace=[float(row[4]) for row in rows],
        classStaleWorth=[0.7] * len(rows),
        classParts=[row[2] for row in rows],
        passOn=[row[1] for row in rows],
    )
    result["limits"].update(peers=not platform, idleClose=6_000.0)
    result["report"].update(how=report)
    result["invariants"].update(
        coldFrom=times["share"],
        warmWithin=float(times["cold_ms"]),
        fallMultiple=times["multiple"],
        fall=float(times["fall_ms"]),
    )
    return result


def configuration(name, listen_port, feed_port, known, router_settings):
    """Returns the whole configuration of a router; known: the snapshot of the feed."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{listen_port}",
        "seed": name,
        "feed": f"127.0.0.1:{feed_port}",
        "settings": router_settings,
        "limits": LIMITS,
        "flow_bytes_per_s": int(objects.FLOW_KB_PER_S * BYTES_PER_KB),
        "link_bytes_per_s": int(objects.FLOW_KB_PER_S * BYTES_PER_KB * LINK_TRANSFERS),
        "known": known,
    }
