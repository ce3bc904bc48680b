"""Where the choice of the formula decides: processor time by the fitted formula, and by a straight line."""

from .figures import Figure, Standing, not_measured, shown
from .fit import fit_line
from .inputs import Inputs
from .scale_file import CPU, SlopeName
from .tables import table

ROLES = (("router", "router"), ("relay", "relay"), ("keeper that leads", "keeper_leader"), ("desk", "desk"))


def straight_line(inputs: Inputs, name: SlopeName, routers: float) -> Figure:
    """The value at so many routers by the line through the means of the run's windows."""
    points = [
        (run.hollow + run.real, one.value)
        for run in inputs.scale.runs
        for one in run.measurements
        if one.name == name
    ]
    if len({size for size, _ in points}) < 2:
        return not_measured(str(name))
    sizes, values = zip(*points, strict=True)
    line = fit_line(sizes, values)
    # As with the formulas, a cost that falls is not followed beyond the range.
    reached = routers if line.slope > 0 else max(sizes)
    return Figure(line.intercept + line.slope * reached, Standing.EXTRAPOLATED)


def formulas_table(inputs: Inputs) -> str:
    """One role a row."""
    rows = []
    for title, role in ROLES:
        name = SlopeName(role, "all", "none", CPU)
        routers = inputs.routers
        if role == "relay":
            routers = round(inputs.followers_of_relay * inputs.zones_in_run)
        slope = inputs.scale.find(name)
        rows.append(
            (
                title,
                f"{routers:,}",
                slope.formula if slope else "none",
                shown(inputs.scale.figure(name, routers)),
                shown(straight_line(inputs, name, routers)),
            )
        )
    heads = ("process", "routers of the run's layout", "formula", "cores by it", "cores by a straight line")
    return table(heads, rows)
