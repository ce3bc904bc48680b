"""Where the machines for control stand, as tables of the page."""

from .inputs import Inputs
from .placement import after_loss, place
from .size import BOUNDS, SIZE
from .tables import DOES_NOT_FIT, FITS, table


def placement_table() -> str:
    """One line a machine."""
    rows = [
        (machine.name, str(machine.region + 1), ", ".join(process.value for process in machine.processes))
        for machine in place(SIZE.machines, BOUNDS.keepers, SIZE.regions)
    ]
    return table(("machine", "region", "processes"), rows)


def survival_table(inputs: Inputs) -> str:
    """None, one and two machines lost, at the worst choice, with three and with five keepers."""
    rows = []
    for keepers in (3, BOUNDS.keepers):
        machines = place(SIZE.machines, keepers, SIZE.regions)
        for lost in range(SIZE.machines_lost + 1):
            left = after_loss(machines, lost, SIZE.regions, SIZE.routers)
            rows.append(
                (
                    str(keepers),
                    str(lost),
                    f"{left.keepers_left} of {left.quorum} wanted",
                    "yes" if left.owner else "no: no purge is taken",
                    str(left.routers_per_relay),
                    str(left.routers_without_relay),
                    str(left.regions_without_machine),
                    FITS if left.owner and not left.routers_without_relay else DOES_NOT_FIT,
                )
            )
    heads = (
        "keepers",
        "machines lost",
        "keepers left",
        "duties find an owner",
        "routers a relay, if they moved",
        "routers fenced, since they do not",
        "regions without a machine",
        "",
    )
    return table(heads, rows)
