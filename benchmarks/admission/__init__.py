"""Storms of returns: the made-up fleet of the gate, its seeded schedules and mistakes, and real processes."""

from ..seeded import mistakes
from . import processes, storms
from .model import Bounds, search
from .scenes import scenes_of
from .schedule import play

SCHEDULES, ALL_SCHEDULES = 60, 10_000


def run(quick):
    count, seeds = (100, (1, 2, 3)) if quick else (300, (1, 2, 3, 4, 5))
    found = storms.figures(count, seeds)
    schedules = SCHEDULES if quick else ALL_SCHEDULES
    broken = sum(bool(play(seed).judge.breaks) for seed in range(schedules))
    found["rule_breaks"] += broken
    bounds = Bounds(subscribers=2, steps=1) if quick else Bounds(steps=1, doubled=0)
    states, break_, whole = search(bounds=bounds)
    seeded = mistakes("admission_mistakes")
    found |= {
        "schedules": schedules,
        "schedules_broken": broken,
        "states": states,
        "states_broken": int(break_ is not None or not whole),
        "seeded_mistakes": len(seeded),
        "seeded_found": sum(any(broke for _, broke in scenes_of(mistake)) for mistake in seeded),
    }
    return found | processes.figures(count, 1 if quick else 3)
