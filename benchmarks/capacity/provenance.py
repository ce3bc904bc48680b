"""Where the figures come from: the slopes, the measurements, the assumptions, as tables of the page."""

from .assumptions import ASSUMPTIONS
from .figures import plain
from .inputs import Inputs
from .measurements import Measurement
from .scale_file import ScaleFile
from .tables import table


def _coefficients(values: tuple[float, ...]) -> str:
    return ", ".join(f"{value:.4g}" for value in values)


def _range(sizes: tuple[int, ...]) -> str:
    return f"{min(sizes):,} to {max(sizes):,}" if sizes else "one size"


def _each(found: Measurement) -> str:
    if found.formula == "points":
        return ", ".join(plain(value) for value in found.values) + f" {found.unit}"
    return f"{plain(found.each)} {found.unit} a {found.per}"


def slopes_table(inputs: Inputs) -> str:
    """All slopes of scale.json, in the order of the file."""
    rows = [
        (
            f"{slope.name}",
            slope.formula,
            _coefficients(slope.coefficients),
            str(len(set(slope.sizes))),
            _range(slope.sizes),
            f"{slope.residual:.3g}",
            f"{slope.spread:.1%}",
        )
        for slope in inputs.scale.slopes
    ]
    heads = (
        "role/kind/direction/quantity",
        "formula",
        "coefficients",
        "sizes",
        "routers",
        "residual",
        "spread",
    )
    return table(heads, rows)


def runs_table(scale: ScaleFile) -> str:
    """The windows of the scale run."""
    rows = [
        (
            f"{run.hollow:,}",
            str(run.real),
            str(run.keepers),
            str(run.relays),
            plain(round(run.seconds, 1)),
            f"{run.lag_worst_s * 1_000:.0f}",
            f"{run.purges_per_s:.1f}",
        )
        for run in scale.runs
    ]
    heads = ("hollow routers", "real", "keepers", "relays", "window, s", "worst lag, ms", "purges a second")
    return table(heads, rows)


def state_table(inputs: Inputs) -> str:
    """All measurements of state.json."""
    rows = [
        (
            f"`{found.name}`",
            _each(found),
            found.method,
            found.formula,
            str(len(found.sizes)) if found.sizes else "1",
            _range(found.sizes),
            f"{found.residual:.1%}",
            "not repeated" if found.spread is None else f"{found.spread:.1%}",
        )
        for found in inputs.state.measurements
    ]
    heads = ("what", "one more takes", "by", "formula", "sizes", "range", "residual", "spread")
    return table(heads, rows)


def assumptions_table() -> str:
    """All assumptions with their reasons."""
    rows = [
        (f"`{each.name}`", f"{plain(round(each.value, 4))} {each.unit}".strip(), each.reason)
        for each in ASSUMPTIONS
    ]
    return table(("assumed", "value", "reason"), rows)


def runs_text(inputs: Inputs) -> str:
    """Machines and commits of both files."""
    rows = [
        (
            name,
            f"{file.machine.cores} cores, {file.machine.memory_mb:,} MB",
            f"Python {file.machine.python}, {file.machine.system}",
            f"`{file.commit}`" if file.commit else "not stated",
            file.measured_at,
        )
        for name, file in (("`results/scale.json`", inputs.scale), ("`results/state.json`", inputs.state))
    ]
    return table(("file", "machine", "on", "commit", "measured at"), rows)
