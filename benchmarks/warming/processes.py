"""Real routers, stand-in caches: five of eight caches replaced within seven seconds, warmed and not."""

import re
import tempfile
import time
from pathlib import Path

from standins.crowd import Crowd, objects

ROUTERS, CACHES, RATE, NAMES = 8, 8, 200, 300
BEFORE, WITHIN, AFTER, REPLACED = 6.0, 7.0, 6.0, 5
OVER = re.compile(r"warming is over: .* filled=(\d+)")


def crowd(warming):
    """{figure: value} of one run."""
    sections = {"fleet": {}, "sharing": {}, **({"warming": {}} if warming else {})}
    with (
        tempfile.TemporaryDirectory(prefix="warming-") as folder,
        Crowd(Path(folder), ROUTERS, CACHES, sections=sections, zones=1, parents=2, seed=1) as one,
    ):
        one.ready()
        one.caches.warm(
            [("clip", objects.name(rank), part) for rank in range(NAMES) for part in range(objects.PARTS)]
            + [("page", objects.name(rank), 0) for rank in range(NAMES)]
        )
        one.load.start(BEFORE + WITHIN + AFTER, RATE, names=NAMES, alpha=1.0)
        time.sleep(BEFORE)
        began, new = time.time(), []
        for n in range(REPLACED):
            new.append(one.caches.replace(f"c{n}"))
            time.sleep(WITHIN / REPLACED)
        one.load.wait()
        verdict, tables = one.verdict(), one.caches.tables()
        logs = "".join(one.processes.log(f"r{n}") for n in range(ROUTERS))
    ended = began + WITHIN + AFTER - 1
    calm = share(tables, verdict, began - 3, began)
    return {
        "hits": share(tables, verdict, began, ended) / calm,
        "calm": calm,
        "served": verdict.served,
        "broken": len(verdict.violations),
        "said": verdict.violations[:3],
        "falls": sum(len(one["falls"]) for one in tables),
        "fills": sum(map(int, OVER.findall(logs))),
        "p99": p99(verdict, began, ended),
        "origin": fills(tables, began, ended),
        "processes": ROUTERS + 3,
    }


def share(tables, verdict, began, ended):
    """Hits at edges for each lookup that clients sent in that time; fills count in neither."""
    asked = sum(1 for row in verdict.lookups if began <= row[0] < ended and row[2] in ("clip", "page"))
    return sum(
        slot["hits"]
        for one in tables
        if one["sort"] == "box"
        for slot in one["slots"]
        if began <= slot["at"] / 1_000 < ended
    ) / max(1, asked)


def fills(tables, began, ended):
    """That came to the origin."""
    return sum(
        sum(slot["by"].values())
        for one in tables
        if one["sort"] == "origin"
        for slot in one["slots"]
        if began <= slot["at"] / 1_000 < ended
    )


def p99(verdict, began, ended):
    took = sorted(row[4] for row in verdict.lookups if began <= row[0] < ended and row[4] is not None)
    return took[int(0.99 * (len(took) - 1))] if took else 0.0


def figures():
    alone, warmed = crowd(False), crowd(True)
    return {
        "processes": warmed["processes"],
        "real_hit_share_replacing": round(warmed["hits"], 3),
        "real_hit_share_replacing_without": round(alone["hits"], 3),
        "real_hit_share_calm": round(warmed["calm"], 3),
        "real_fills": warmed["fills"],
        "real_served_replacing": round(warmed["served"], 4),
        "real_served_replacing_without": round(alone["served"], 4),
        "real_cold_falls": warmed["falls"],
        "real_origin": warmed["origin"],
        "real_origin_without": alone["origin"],
        "real_p99_ratio": round(warmed["p99"] / max(1e-9, alone["p99"]), 3),
        "real_rule_breaks": warmed["broken"],
    }
