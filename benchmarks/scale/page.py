"""The page docs/results/scale.md: its tables are made from the data file, none of its figures is typed.

python -m benchmarks.scale.page writes the page and its chart; --check fails where the page is another one.
"""

import json
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

from standins.crowd.remote import ROOT

from .chart import chart
from .figures import Key, key_of
from .results import Results, Run, Slope, read
from .slopes import FORMULAS

FOLDER = ROOT / "docs" / "results"
DATA_FILE, FIGURES_FILE = FOLDER / "scale.json", FOLDER / "scale-figures.json"
PAGE, CHART = FOLDER / "scale.md", FOLDER / "scale.svg"
TEXT = Path(__file__).with_name(
    "page.md"
)  # prose around {runs}, {measurements}, {slopes}, {figures}, {machine}
UNITS = {"bytes_per_s": "B/s", "messages_per_s": "/s", "cpu_core_share": "core", "memory_mb": "MB"}


def page(results: Results, figures: dict[str, object]) -> str:
    """The whole page of those results. figures: the last line of the run that gave them."""
    machine = results.machine
    parts = {
        "machine": f"{machine.cores} cores, {machine.memory_mb:,} MB, Python {machine.python}, "
        f"{machine.system}; {results.measured_at}, commit {results.commit[:12]}",
        "runs": table(RUN_HEADS, (_run_row(run) for run in results.runs)),
        "measurements": table(_measurement_heads(results.runs), _measurement_rows(results.runs)),
        "figures": table(("figure", "value"), ((name, str(value)) for name, value in figures.items())),
        "slopes": table(SLOPE_HEADS, (_slope_row(slope) for slope in results.slopes)),
    }
    text = TEXT.read_text(encoding="utf-8")
    for name, part in parts.items():
        text = text.replace(f"{{{name}}}", part)
    return text


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """In Markdown."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines)


RUN_HEADS = ("hollow", "real", "keepers", "relays", "seconds", "purges a second", "worst lag, s")


def _run_row(run: Run) -> Sequence[str]:
    counts = (run.hollow, run.real, run.keepers, run.relays)
    return (*map(str, counts), f"{run.seconds:.1f}", f"{run.purges_per_s:.1f}", f"{run.lag_worst_s:.3f}")


def _measurement_heads(runs: Iterable[Run]) -> Sequence[str]:
    return ("role", "kind", "direction", "unit", *(f"{run.hollow + run.real} routers" for run in runs))


def _measurement_rows(runs: Sequence[Run]) -> Iterable[Sequence[str]]:
    by_run = [{key_of(row): row.value for row in run.measurements} for run in runs]
    keys: dict[Key, None] = {}
    for values in by_run:
        keys.update(dict.fromkeys(values))
    for key in sorted(keys):
        cells = (shown(values.get(key)) for values in by_run)
        yield (key.role, key.kind, key.direction, UNITS[key.quantity], *cells)


SLOPE_HEADS = ("role", "kind", "direction", "unit", "formula of n routers", "residual", "spread")


def _slope_row(slope: Slope) -> Sequence[str]:
    assert slope.formula in FORMULAS
    terms = {"constant": "", "linear": " n", "logarithmic": " ln n"}[slope.formula]
    first, *second = slope.coefficients
    formula = shown(first) + "".join(
        f" {'+' if each >= 0 else '-'} {shown(abs(each))}{terms}" for each in second
    )
    unit = UNITS[slope.quantity]
    spread = f"{100 * slope.spread:.0f} %"
    return (slope.role, slope.kind, slope.direction, unit, formula, shown(slope.residual), spread)


def shown(value: float | None) -> str:
    """With three significant digits, and no exponent; a dash where there is none."""
    if value is None:
        return "-"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    rounded = float(f"{value:.3g}")
    return f"{rounded:.5f}".rstrip("0").rstrip(".") if rounded else "0"


def main(words: Sequence[str]) -> int:
    """The exit code: 1 where --check finds another page."""
    results = read(DATA_FILE)
    figures = json.loads(FIGURES_FILE.read_text(encoding="utf-8"))
    made = {PAGE: page(results, figures), CHART: chart(results)}
    if "--check" in words:
        other = [path.name for path, text in made.items() if path.read_text(encoding="utf-8") != text]
        if other:
            print(f"{', '.join(other)} is not what scale.json gives; python -m benchmarks.scale.page")
        return 1 if other else 0
    for path, text in made.items():
        path.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
