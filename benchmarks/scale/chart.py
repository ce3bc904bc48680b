"""A chart of scale results as SVG: what a router sends and receives by kind, and processor time by role."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from .figures import Key, key_of
from .results import Results, Slope
from .slopes import Fit

WIDE, HIGH, EDGE = 420, 300, 56
COLOURS = ("#1b6ca8", "#c98a1b", "#b3312c", "#4b8b3b", "#6b4c9a")
BYTE_KINDS = ("view", "purge_feed", "keeper_stream", "sharing")
CPU_ROLES = ("router", "relay", "keeper_leader", "keeper_follower", "desk")


class Line(NamedTuple):
    """Measured points of one quantity, and its slope where there is one."""

    label: str
    points: Sequence[tuple[int, float]]
    slope: Slope | None


def chart(results: Results) -> str:
    """The whole SVG."""
    kinds = [_line(results, kind, Key("router", kind, "out", "bytes_per_s")) for kind in BYTE_KINDS]
    roles = [_line(results, role, Key(role, "all", "none", "cpu_core_share")) for role in CPU_ROLES]
    panels = (
        _panel(0, "bytes a second that a router sends, by kind", kinds),
        _panel(WIDE, "share of a core, by role", roles),
    )
    head = (
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {2 * WIDE} {HIGH}" '
        f'font-family="sans-serif" font-size="11">'
    )
    background = f'<rect width="{2 * WIDE}" height="{HIGH}" fill="white"/>'
    return "\n".join((head, background, *panels, "</svg>")) + "\n"


def _line(results: Results, label: str, key: Key) -> Line:
    points = [
        (run.hollow + run.real, row.value)
        for run in results.runs
        for row in run.measurements
        if key_of(row) == key
    ]
    slopes = [each for each in results.slopes if Key(*_identity(each)) == key]
    return Line(label, points, slopes[0] if slopes else None)


def _identity(slope: Slope) -> tuple[str, str, str, str]:
    return slope.role, slope.kind, slope.direction, slope.quantity


def _panel(left: int, title: str, lines: Sequence[Line]) -> str:
    most_routers = max((routers for line in lines for routers, _ in line.points), default=1)
    most = max((value for line in lines for _, value in line.points), default=1.0) or 1.0

    def at(routers: float, value: float) -> str:
        across = left + EDGE + routers / most_routers * (WIDE - 1.5 * EDGE)
        return f"{across:.1f},{HIGH - EDGE - value / most * (HIGH - 2 * EDGE):.1f}"

    rows = [f'<text x="{left + EDGE}" y="20" font-weight="bold">{title}</text>']
    rows.append(
        f'<polyline fill="none" stroke="black" points="{at(0, most)} {at(0, 0)} {at(most_routers, 0)}"/>'
    )
    for share in (0.5, 1.0):
        x, y = at(0, share * most).split(",")
        rows.append(f'<text x="{float(x) - 4}" y="{y}" text-anchor="end">{share * most:.3g}</text>')
        x, y = at(share * most_routers, 0).split(",")
        rows.append(
            f'<text x="{x}" y="{float(y) + 16}" text-anchor="middle">{share * most_routers:.0f}</text>'
        )
    x, y = at(most_routers / 2, 0).split(",")
    rows.append(f'<text x="{x}" y="{float(y) + 34}" text-anchor="middle">routers</text>')
    for number, (line, colour) in enumerate(zip(lines, COLOURS, strict=False)):
        rows += _drawn(line, colour, at)
        rows.append(f'<text x="{left + EDGE + 8}" y="{38 + 14 * number}" fill="{colour}">{line.label}</text>')
    return "\n".join(rows)


def _drawn(line: Line, colour: str, at: Callable[[float, float], str]) -> list[str]:
    rows = []
    for routers, value in line.points:
        x, y = at(routers, value).split(",")
        rows.append(f'<circle cx="{x}" cy="{y}" r="3" fill="{colour}"/>')
    if line.slope is not None:
        slope = line.slope
        fitted = Fit(slope.formula, slope.coefficients, slope.sizes, 0.0, 0.0, 0.0)
        ends = " ".join(at(size, fitted.at(size)) for size in slope.sizes)
        rows.append(f'<polyline fill="none" stroke="{colour}" stroke-width="1.5" points="{ends}"/>')
    return rows
