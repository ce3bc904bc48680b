"""Retention of purges: a day and more at 32 a second told to the program's own guard, in made-up time."""

from concurrent.futures import ProcessPoolExecutor
from importlib import import_module
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from .. import seeded
from . import baseline, cost, desk, guard_run, unknown_tags, weighing
from .guard_run import HOLD, RATE, Run, Shape
from .stock import ALL_KINDS, OBJECTS_ONLY, SECOND

WORKERS = 5  # two runs of the same steps, one with more names, the mix, and a desk, beside each other
HOURS = 25.0  # one more than the hold, so that slices are dropped
TOLD_HOURS = (
    3.0  # of them told to the guard in the quick run, as many as fill its exact part; the rest is sealed
)
MORE_NAMES = 32_000  # kept one by one: a guard whose exact part is larger than by default
BEFORE_QUICK = (100_000, 200_000)
BEFORE_FULL = (100_000, 200_000, 800_000)
TESTS = Path(__file__).parents[2] / "tests"
MISTAKES, PLAYS = "retention_mistakes", "retention_play"
SCHEDULES = 40  # tried on each mistake, as in the tests

Figures = dict[str, Any]


def mistakes_found() -> Figures:
    """How many of the mistakes that tests seed are found by some schedule; nothing where there are none."""
    if not (TESTS / f"{MISTAKES}.py").exists():
        return {}
    mistakes, plays = seeded.mistakes(MISTAKES), import_module(PLAYS)
    found = [
        bool(plays.long_life(**parts)) or any(plays.Play(seed, **parts).run() for seed in range(SCHEDULES))
        for parts in mistakes.values()
    ]
    return {"seeded_mistakes": len(found), "seeded_found": sum(found)}


def run_figures(once: Run, again: Run, more: Run, mixed: Run) -> Figures:
    """What the runs of a guard gave."""
    runs = (once, again, more, mixed)
    return {
        "rate": RATE,
        "hold_h": HOLD // (3_600 * SECOND),
        "purges": once.steps,
        "told_to_guard": once.told,
        "live": once.live,
        "kept_with_others": sum(run.kept_with_others for run in runs),
        "memory_mb": round(max(run.memory_mb for run in (once, again)), 1),
        "memory_32000_names_mb": round(more.memory_mb, 1),
        "held_share_32000_names": round(more.held.share(), 5),
        "memory_mix_mb": round(mixed.memory_mb, 1),
        "held_share": round(once.held.share(), 5),
        "held_share_mix": round(mixed.held.share(), 5),
        "held_asked": once.held.asked,
        "held_asked_mix": mixed.held.asked,
        "old_copies_judged": sum(run.judged.judged for run in runs),
        "old_copies_answered": sum(run.judged.answered for run in runs),
        "longest_step_ms": round(guard_run.longest_step_ms(once, again), 2),
        "longest_step_once_ms": round(max(once.slow.values(), default=guard_run.SLOW) * 1e3, 2),
        "longest_step_mix_once_ms": round(max(mixed.slow.values(), default=guard_run.SLOW) * 1e3, 2),
        "told_us": round(min(once.told_us, again.told_us), 2),
        "told_mix_us": round(mixed.told_us, 2),
    }


def run(quick: bool, full: bool = False, hours: float = HOURS) -> Figures:
    """All figures. hours: of made-up time, fewer in the tests."""
    shape = Shape(hours, OBJECTS_ONLY, told_hours=None if full else TOLD_HOURS)
    shapes = (shape, shape, shape._replace(names=MORE_NAMES), shape._replace(mix=ALL_KINDS))
    with ProcessPoolExecutor(WORKERS, mp_context=get_context("spawn")) as pool:
        first, *others = (
            pool.submit(cost.run_and_lookups, shapes[0]),
            *(pool.submit(guard_run.run, shape) for shape in shapes[1:]),
        )
        taken = pool.submit(desk.figures, int(hours * 3_600 * RATE))
        once, lookups = first.result()
        again, more, mixed = (future.result() for future in others)
        tags = pool.submit(unknown_tags.compared)
        mistakes = pool.submit(mistakes_found)
        before = pool.submit(baseline.shares, BEFORE_FULL if full else BEFORE_QUICK)
        figures = {
            **run_figures(once, again, more, mixed),
            **taken.result(),
            **lookups,
            **tags.result(),
            **before.result(),
            **mistakes.result(),
        }
    if full:
        print(weighing.table(weighing.weighing()))
    return figures
