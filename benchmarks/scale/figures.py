"""What a scale run comes to: slopes, how well they predict the largest size, the data file, the figures."""

import os
import platform
import subprocess
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import NamedTuple

from standins.crowd.remote import ROOT

from . import room
from .judge import Acknowledged, Verdict, effect_spans, percentile
from .results import SCHEMA, Machine, Measurement, Results, Slope, rounded
from .session import Measured, Session
from .slopes import LEAST_SIZES, Point, fit, predict_largest
from .window import ALL, BOTH, BYTES, CPU, MEMORY, NONE

EFFECT_BUDGET_S = 1.4  # from the submission, dead routers included
DIGITS = 3  # significant ones in the last line


class Key(NamedTuple):
    """Which quantity of which role."""

    role: str
    kind: str
    direction: str
    quantity: str


def key_of(measurement: Measurement) -> Key:
    """Of one measured value."""
    return Key(measurement.role, measurement.kind, measurement.direction, measurement.quantity)


def points(measured: Iterable[Measured]) -> dict[Key, list[Point]]:
    """Both halves of each window, against the number of routers."""
    found: dict[Key, list[Point]] = {}
    for each in measured:
        routers = each.run.hollow + each.run.real
        for half in each.halves:
            for row in half.measurements:
                found.setdefault(key_of(row), []).append(Point(routers, row.value))
    return found


def sizes(rows: Iterable[Point]) -> int:
    """How many different ones."""
    return len({point.routers for point in rows})


def slopes(measured: Iterable[Measured]) -> tuple[Slope, ...]:
    """Of each quantity that was measured at three sizes or more."""
    return tuple(
        _slope(key, rows) for key, rows in sorted(points(measured).items()) if sizes(rows) >= LEAST_SIZES
    )


def _slope(key: Key, rows: list[Point]) -> Slope:
    found = fit(rows)
    coefficients = tuple(rounded(each) for each in found.coefficients)
    return Slope(
        *key, found.formula, coefficients, found.sizes, rounded(found.residual), rounded(found.spread)
    )


def prediction_error(measured: Iterable[Measured], quantity: str) -> float | None:
    """All that fits to the smaller sizes miss at the largest, of all roles together, as a share of what was
    measured there; None below four sizes. Sums of other rows count as rows of their own.
    """
    missed = total = 0.0
    for key, rows in points(measured).items():
        if key.quantity == quantity and sizes(rows) > LEAST_SIZES:
            prediction = predict_largest(rows)
            missed += abs(prediction.predicted - prediction.measured)
            total += abs(prediction.measured)
    return missed / total if total else None


def results_of(session: Session) -> Results:
    """The data file of this run."""
    commit = subprocess.run(["git", "rev-parse", "HEAD"], cwd=ROOT, capture_output=True, text=True)
    memory = round(room.machine().memory_mb)
    machine = Machine(os.cpu_count() or 0, memory, platform.python_version(), platform.system())
    measured_at = datetime.now(UTC).isoformat(timespec="seconds")
    runs = tuple(each.run for each in (*session.measured, *session.beyond))
    slopes_found = slopes(session.measured)
    return Results(SCHEMA, machine, commit.stdout.strip(), measured_at, runs, slopes_found)


def summary(session: Session, verdict: Verdict) -> dict[str, object]:
    """The named figures of the last line; None is what was not measured."""
    measured = session.measured
    largest = measured[-1] if measured else None  # of those with slopes
    widest = session.beyond[-1] if session.beyond else largest
    purges = session.purges()
    spans = effect_spans(purges)
    steady = effect_spans(purge for purge in purges if _in_a_window(purge.submitted, measured))
    return {
        "hollow": widest.run.hollow if widest else 0,
        "hollow_at_full_rate": largest.run.hollow if largest else 0,
        "real": widest.run.real if widest else 0,
        "sizes": len(measured),
        "rule_breaks": verdict.breaks() + len(session.crowd_breaks) + session.unfenced,
        "purges": len(purges),
        "purges_lost": len(verdict.lost),
        "routers_never_up": len(verdict.never_up),
        "said_too_early": len(verdict.said_too_early) + len(verdict.old_copies),
        "prediction_error_bytes": _short(prediction_error(measured, BYTES)),
        "prediction_error_cpu": _short(prediction_error(measured, CPU)),
        "prediction_error_memory": _short(prediction_error(measured, MEMORY)),
        "hollow_over_real_bytes": _short(largest.whole.hollow_over_real_bytes() if largest else None),
        "hollow_over_real_cpu": _short(_over_real_cpu(largest, "hollow")),
        "hollow_alone_over_real_cpu": _short(_over_real_cpu(largest, "alone")),
        "hollow_core_share": _short(_cpu(largest, "hollow")),
        "hollow_alone_core_share": _short(_cpu(largest, "alone")),
        "plain_router_core_share": _short(largest.whole.plain if largest else None),
        "effect_steady_p50_s": _short(percentile(steady, 0.5)),
        "effect_steady_p99_s": _short(percentile(steady, 0.99)),
        "acknowledged_worst_s": _short(_acknowledged_worst(session)),
        "effect_p99_s": _short(percentile(spans, 0.99)),
        "effect_worst_s": _short(spans[-1] if spans else None),
        **{
            f"effect_worst_{scene}_s": _short(_worst(purges, *span)) for scene, span in session.scenes.items()
        },
        "effect_over_budget": sum(span > EFFECT_BUDGET_S for span in spans),
        "back_after_region_s": _short(session.back.get("region")),
        "back_after_kill_s": _short(session.back.get("kill")),
        "back_after_restarts_s": _short(session.back.get("restarts")),
        "router_bytes_per_s": _short(_of(largest, Key("router", ALL, BOTH, BYTES))),
        "router_core_share": _short(_of(largest, Key("router", ALL, NONE, CPU))),
        "router_memory_mb": _short(_of(largest, Key("router", ALL, NONE, MEMORY))),
        "purges_per_s": _short(largest.run.purges_per_s if largest else None),
        "purges_per_s_beyond": _short(widest.run.purges_per_s if session.beyond else None),
        "lag_worst_s": _short(largest.run.lag_worst_s if largest else None),
        "starved_runs_thrown_out": len(session.starved),
        "ended_by": session.ended_by,
    }


def _worst(purges: Iterable[Acknowledged], start: float, end: float) -> float | None:
    """The longest span to effect of the purges submitted in that time."""
    spans = effect_spans(purge for purge in purges if start <= purge.submitted <= end)
    return spans[-1] if spans else None


def _acknowledged_worst(session: Session) -> float | None:
    """The longest that a submitter waited for the desk's answer."""
    spans = (each.acknowledged - each.submitted for each in session.submitter.acknowledged())
    return max(spans, default=None)


def _in_a_window(at: float, measured: Iterable[Measured]) -> bool:
    """Whether nothing was struck, started or ended then."""
    return any(each.start <= at <= each.end for each in measured)


def _over_real_cpu(measured: Measured | None, group: str) -> float | None:
    return None if measured is None else measured.whole.over_real_cpu(getattr(measured.whole, group))


def _cpu(measured: Measured | None, group: str) -> float | None:
    figures = None if measured is None else getattr(measured.whole, group)
    return None if figures is None else figures.cpu


def _of(measured: Measured | None, key: Key) -> float | None:
    if measured is None:
        return None
    return next((row.value for row in measured.run.measurements if key_of(row) == key), None)


def _short(value: float | None) -> float | None:
    return None if value is None else float(f"{value:.{DIGITS}g}")
