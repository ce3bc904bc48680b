"""What a lookup costs beside the feature off, with a guard that keeps a day of purges."""

import statistics
from random import Random

from hookrouter.purges import Guard

from ..purges import costs
from .guard_run import Run, Shape, play
from .stock import SECOND

ROUNDS = 20
LOOKUPS = 1_000  # in one round
NAMES = 50_000
SKEWNESS = 0.5  # of the Pareto law of benchmarks/purges/costs.py


def lookup_cost(full: Guard, now: int) -> dict[str, float]:
    """The same lookups in turns, as benchmarks/purges/costs.py has them: off, an empty guard, a full one."""
    dice, at, times = Random(5), now - 100 * SECOND, []
    guards = [None, costs.guard_of(0), full]
    controls = [costs.control(guard) for guard in guards]
    for _ in range(ROUNDS):
        names = [f"{int(dice.paretovariate(SKEWNESS)) % NAMES:016x}" for _ in range(LOOKUPS)]
        times.append([costs.lookups(made, guard, names, at) for made, guard in zip(controls, guards)])
        at += LOOKUPS
    return {
        "lookup_cost_ratio": round(statistics.median(row[2] / row[0] for row in times), 3),
        "lookup_cost_ratio_to_empty": round(statistics.median(row[2] / row[1] for row in times), 3),
        "lookup_us_off": round(statistics.median(row[0] for row in times) / LOOKUPS * 1e6, 1),
    }


def run_and_lookups(shape: Shape) -> tuple[Run, dict[str, float]]:
    """A run, and what lookups cost with the guard as it ends."""
    run, guard = play(shape)
    return run, lookup_cost(guard, run.now)
