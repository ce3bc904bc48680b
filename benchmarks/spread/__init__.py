"""How evenly load is spread by what routers tell each other: made-up time, then real processes."""

import os
import time
from multiprocessing import get_context

from hookrouter import interface

from ..seeded import mistakes
from . import checks, shares_model, shares_world, world

WAYS = (
    "alone",
    "hash",
    "least",
    "two",
    "raw",
    "bounded loads",
    "bounded news",
    "aged",
    "split",
    "one lead",
    "lead by name",
    "ours",
    "ideal",
)
DELAYS = (0.0, 0.2, 1.0, 2.0, 5.0)
QUICK_WAYS, QUICK_DELAYS = ("alone", "hash", "least", "two", "ours"), (0.0, 2.0, 5.0)
JUDGED = ("ours", "ideal", "alone")
WORKERS = 4


def measured(job):
    plan, seconds = job
    return world.measured(plan, seconds)


def seeks(job):
    return world.found_again(*job)[0]


def schedules(job):
    first, last = job
    rows = [shares_world.broken(seed) for seed in range(first, last)]
    return sum(bool(wrong) for wrong, _ in rows), sum(lent for _, lent in rows)


def finds(name):
    return checks.found(next(one for one in mistakes("spread_mistakes") if one.__name__ == name)) is not None


def explored(bounds):
    return shares_model.explore(bounds)


def run(quick, full=False):
    """quick: within 150 s, 60 processes; full: more ways, delays, routers, schedules, 200 processes."""
    began, quick = time.time(), quick or not full
    ways, delays = (QUICK_WAYS, QUICK_DELAYS) if quick else (WAYS, DELAYS)
    base = world.Plan(routers=60) if quick else world.Plan(routers=200, rate=2_000.0, caches=20)
    seconds, count = (6, 400) if quick else (12, 10_000)
    plans = [
        (base._replace(way=way, delay=delay), seconds)
        for way in ways
        for delay in delays
        if delay == 0 or way not in ("alone", "hash")
    ]
    plans.append((base._replace(way="ideal"), seconds))
    # One seed's figure is off by a tenth: what is judged is the mean of three, after longer.
    judged = [
        (base._replace(way=way, delay=2.0, seed=seed, lead=8.0), 8) for way in JUDGED for seed in (1, 2, 3)
    ]
    names = [one.__name__ for one in mistakes("spread_mistakes")]
    with get_context("spawn").Pool(WORKERS) as pool:
        rows = pool.map_async(measured, plans + judged, 1)
        found = pool.map_async(finds, names, 1)
        models = pool.map_async(explored, checks.QUICK if quick else checks.FULL, 1)
        step = max(1, count // 40)
        broken = pool.map_async(schedules, [(n, n + step) for n in range(0, count, step)], 1)
        again = pool.map_async(
            seeks,
            [
                (world.Plan(way=way, delay=2.0), 4.0, fault)
                for fault in (interface.ERRED, interface.UNREACHED)
                for way in ("ours", "alone")
            ],
            1,
        )
        rows, found, models, broken, again = (part.get() for part in (rows, found, models, broken, again))
    rows, judged = rows[: len(plans)], rows[len(plans) :]
    table = {(row["way"], row["delay"]): row for row in rows}
    mean = {
        way: {
            key: sum(row[key] for row in judged[3 * n : 3 * n + 3]) / 3
            for key in ("peak_over_mean", "herd_99", "swing", "miss_share", "served")
        }
        for n, way in enumerate(JUDGED)
    }
    for row in rows:
        print(
            "  ".join(
                f"{key} {value:.3f}" if isinstance(value, float) else f"{value!s:>14}"
                for key, value in row.items()
            )
        )
    if not quick:
        from . import chart

        chart.draw(rows)
        print("\n".join(chart.table(rows)))
    ours, ideal, alone = (mean[way] for way in JUDGED)
    figures = {
        "routers": base.routers,
        "peak_over_mean": round(ours["peak_over_mean"], 3),
        "peak_over_mean_5s": round(table["ours", 5.0]["peak_over_mean"], 3),
        "peak_over_mean_alone": round(alone["peak_over_mean"], 3),
        "peak_over_mean_least": round(table["least", 2.0]["peak_over_mean"], 3),
        "peak_over_mean_two": round(table["two", 2.0]["peak_over_mean"], 3),
        "peak_over_mean_ideal": round(ideal["peak_over_mean"], 3),
        "over_ideal": round(ours["peak_over_mean"] / ideal["peak_over_mean"], 3),
        "herd_share": round(ours["herd_99"] / ideal["herd_99"], 3),
        "herd_99": round(ours["herd_99"], 3),
        "herd_99_ideal": round(ideal["herd_99"], 3),
        "herd_share_least": round(table["least", 2.0]["herd_99"] / ideal["herd_99"], 3),
        "swing": round(ours["swing"], 3),
        "swing_least": round(table["least", 2.0]["swing"], 3),
        "miss_share": round(ours["miss_share"], 3),
        "miss_share_alone": round(alone["miss_share"], 3),
        "made_up_served": round(ours["served"], 4),
        "made_up_served_alone": round(alone["served"], 4),
        "made_up_served_least": round(table["least", 2.0]["served"], 4),
        "found_again_s": again[0],
        "found_again_alone_s": again[1],
        "found_silent_s": again[2],
        "found_silent_alone_s": again[3],
        "schedules": count,
        "share_over_bound": sum(row[0] for row in broken),
        "lent_sends": sum(row[1] for row in broken),
        "model_states": sum(row[0] for row in models),
        "model_breaks": sum(row[1] is not None for row in models),
        "model_ended": all(r[2] for r in models),
        "liar_moved": round(checks.liar_moves(), 3),
        "liar_bound": checks.MOST_MOVE,
        "seeded_mistakes": len(names),
        "seeded_found": sum(found),
        "made_up_s": round(time.time() - began, 1),
    }
    if not os.environ.get("SPREAD_MADE_UP_ONLY"):
        figures.update(real(60 if quick else 200))
    return figures


def real(processes):
    from .processes import ON, crowd

    caches = 12 if processes <= 60 else 24
    alone, on = crowd(processes, caches, None), crowd(processes, caches, ON)
    return {
        "processes": processes,
        "spreading": on["spreads"],
        "rule_breaks": on["rule_breaks"],
        "rule_breaks_alone": alone["rule_breaks"],
        "processes_peak_over_mean": round(on["peak"], 3),
        "processes_peak_over_mean_alone": round(alone["peak"], 3),
        "idle_caches": on["idle"],
        "cold_falls": on["falls"],
        "served": round(on["served"], 4),
        "served_alone": round(alone["served"], 4),
        "served_faults": round(on["served_faults"], 4),
        "served_faults_alone": round(alone["served_faults"], 4),
        "broken": on["broken"],
    }
