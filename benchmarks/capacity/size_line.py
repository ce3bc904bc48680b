"""One line of the size on the page, and its table."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .figures import Figure, shown
from .inputs import Inputs, breaks_at
from .tables import table

Cell = Callable[[Inputs], str]


class SizeLine(NamedTuple):
    """mechanism: by its standard name; paths: of the modules that hold it; value: at the size."""

    figure: str
    budget: str
    value: Cell
    mechanism: str
    paths: tuple[str, ...]
    breaks_at: Cell
    fits: Cell


def same(text: str) -> Cell:
    """A cell that depends on no data."""
    return lambda inputs: text


def routers_it_breaks_at(value: Callable[[Inputs], Figure], most: float) -> Cell:
    """The size at which a budget is used up, by the slopes."""

    def cell(inputs: Inputs) -> str:
        if not value(inputs).known:
            return shown(value(inputs))
        routers = breaks_at(inputs, value, most)
        if routers is None:
            return "at no number of routers, by its slope (extrapolated)"
        if routers == 1:
            return "at any number of routers (extrapolated)"
        return f"{routers:,} routers (extrapolated)"

    return cell


def lines_table(lines: Iterable[SizeLine], inputs: Inputs) -> str:
    """One line a row."""
    rows = [
        (
            line.figure,
            line.budget,
            line.value(inputs),
            line.mechanism,
            ", ".join(f"`{path}`" for path in line.paths),
            line.breaks_at(inputs),
            line.fits(inputs),
        )
        for line in lines
    ]
    return table(("of the size", "budget", "value", "mechanism", "in", "breaks at", ""), rows)
