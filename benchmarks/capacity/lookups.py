"""1,000 lookups a second of a router: what one costs, and what control costs by process and by machine."""

from math import ceil

from .assumptions import assumed
from .figures import Figure, Standing, given, shown
from .inputs import MICRO, Inputs
from .roles_messages import both_ways, router, router_memory
from .scale_file import CPU
from .size import BOUNDS, BUDGET, SIZE
from .tables import DOES_NOT_FIT, FITS, table

PER_CENT = 100.0
SERVED_SECONDS = 4.0  # of each step of that measurement


def served_rates(inputs: Inputs) -> float:
    """The highest rate at which a served lookup was measured, a second."""
    return max(inputs.measured("served_lookups").sizes) / SERVED_SECONDS


def lookup_cores(inputs: Inputs) -> Figure:
    """Cores of all lookups of one router at the peak."""
    rate = SIZE.lookups_per_s / SIZE.routers
    standing = Standing.MEASURED if rate <= served_rates(inputs) else Standing.EXTRAPOLATED
    return Figure(inputs.measured("served_lookups").each * MICRO * rate, standing)


def purge_cores(inputs: Inputs) -> Figure:
    """More of that with purges on: the decisions' ratio, on the decisions' share of a lookup."""
    off = inputs.measured("lookup_us_off").at(0)
    ratio = inputs.measured("lookup_cost_ratio_to_off").at(0)
    rate = SIZE.lookups_per_s / SIZE.routers
    return Figure(off * (ratio - 1.0) * MICRO * rate, Standing.EXTRAPOLATED)


def processes(inputs: Inputs) -> int:
    """Of one router's machine, one core each, so that none is busier than is assumed to be well."""
    control = inputs.of_fleet("router", "all", "none", CPU)
    per_process = assumed("busy_core").value - control.value
    return max(1, ceil((lookup_cores(inputs) + purge_cores(inputs)).value / per_process))


def lookups_table(inputs: Inputs) -> str:
    """What a lookup costs and what follows."""
    served = inputs.each("served_lookups")
    rows = (
        ("one lookup, sockets and all", shown(served, "us")),
        (
            "its decisions, purges off",
            shown(Figure(inputs.measured("lookup_us_off").at(0), Standing.MEASURED), "us"),
        ),
        (
            "its decisions, 10,000 live purges over purges off",
            shown(Figure(inputs.measured("lookup_cost_ratio_to_off").at(0), Standing.MEASURED)),
        ),
        (
            "a name's bounds anew, with as many globs as the desk takes",
            shown(
                Figure(
                    inputs.measured("lookup_by_patterns").at(BOUNDS.most_desk_patterns), Standing.MEASURED
                ),
                "us",
            ),
        ),
        ("lookups a second that were measured, at most", f"{served_rates(inputs):.0f} (measured)"),
        ("cores for 1,000 lookups a second", shown(lookup_cores(inputs))),
        ("more of them for purges", shown(purge_cores(inputs))),
        (
            f"processes of a machine, none busier than {assumed('busy_core').value:g} of a core",
            f"{processes(inputs)} (assumed)",
        ),
    )
    return table(("what", "value"), rows)


def by_machine_table(inputs: Inputs) -> str:
    """Control of one machine: each process is a router of its own, so all of it is by process today."""
    count = given(processes(inputs))
    lines = (
        (
            "processor, % of a core",
            inputs.of_fleet("router", "all", "none", CPU),
            BUDGET.core_share,
            PER_CENT,
        ),
        ("memory, MB", router_memory(inputs), BUDGET.memory_mb, 1.0),
        ("bytes a second", both_ways(router(inputs)), BUDGET.bytes_per_s, 1.0),
    )
    rows = []
    for name, figure, most, scale in lines:
        machine = figure * count
        fits = FITS if machine.value <= most else DOES_NOT_FIT
        rows.append((name, f"{most * scale:g}", shown(figure, "", scale), shown(machine, "", scale), fits))
    return table(("control", "budget", "of a process", "of a machine", ""), rows)
