"""The incident's soak: seeded runs of real routers under crowds, faults of caches and series of signals."""

import time
from collections import Counter

from .judge import MEGABYTE, Breach, judge
from .plan import draw
from .records import History
from .report import lines
from .world import as_text, play

QUICK_SEEDS, QUICK_SECONDS = 3, 8.0
SECONDS = 15.0


def run(quick: bool, seed: int = 1, seconds: float = 0.0, seeds: int = 0) -> dict[str, object]:
    """Plays so many seeds from `seed` on and prints the report of each that breaks a rule; the figures."""
    count = seeds or (QUICK_SEEDS if quick else 1)
    seconds = seconds or (QUICK_SECONDS if quick else SECONDS)
    rules, totals, worst_share, failed = Counter(), Counter(), 0.0, []
    for number in range(seed, seed + count):
        plan = draw(number, seconds)
        world, history = play(plan)
        breaches = judge(plan, history)
        share = max(life.peak_bytes for life in history.lives) / (plan.memory_mb * MEGABYTE)
        worst_share = max(worst_share, share)
        rules.update(breach.rule for breach in breaches)
        totals.update(requests=len(history.calls), answered=_answered(history))
        _print_result(number, history, breaches, share)
        if breaches:
            failed.append(number)
            print("\n".join(lines(world, history, breaches)), flush=True)
    return {
        "date": time.strftime("%Y-%m-%d", time.gmtime()),
        "seeds": count,
        "requests": totals["requests"],
        "answered": totals["answered"],
        "lost": rules["lost"] + rules["late answer"],
        "rule_breaks": sum(rules.values()),
        "late_attempts": rules["late attempt"],
        "over_memory": rules["over memory"],
        "worst_memory_share": round(worst_share, 3),
        "slow_runs": rules["slow"],
        "failed_seeds": failed,
    }


def _answered(history: History) -> int:
    return sum(call.outcome is not None for call in history.calls)


def _print_result(number: int, history: History, breaches: list[Breach], share: float) -> None:
    verdict = "FAILED" if breaches else "held"
    print(
        f"seed {number}: {verdict}, {len(history.calls)} calls, {_answered(history)} answered, "
        f"{len(history.arrivals)} requests at caches, peak {share:.2f} of the limit, "
        f"lag {history.worst_lag:.3f} s",
        flush=True,
    )


__all__ = ["as_text", "draw", "judge", "play", "run"]
