"""INVENTED figures for tests of the capacity page alone: nothing here was measured, no page may be made of it."""

from benchmarks.capacity.inputs import Inputs
from benchmarks.capacity.measurements import Machine, Measurement, StateFile
from benchmarks.capacity.scale_file import BYTES, CPU, MEMORY, MESSAGES, Run, ScaleFile, Slope

MACHINE = Machine(8, 1_000, "3.11", "fixture")
SIZES = (60, 140, 300)

STATE = {  # name -> what one more entry takes
    "purge_index.object": 400.0,
    "purge_index.tag": 400.0,
    "purge_index.group": 300.0,
    "purge_index.prefix": 2_000.0,
    "purge_index.glob": 3_000.0,
    "object_tags": 400.0,
    "remembered_bounds": 500.0,
    "roster": 900.0,
    "board": 300.0,
    "tail": 400.0,
    "desk_members": 200.0,
    "ledger_keys": 100.0,
    "keeper_log": 700.0,
    "store.purge": 100.0,
    "store_read": 10.0,
    "store_slices_read": 0.05,
    "merge_slices": 0.2,
    "take_in.object": 4.0,
    "take_in.sealed": 10.0,
    "take_in.tag": 5.0,
    "take_in.prefix": 300.0,
    "take_in.glob": 500.0,
    "take_in.regex": 200.0,
    "longest_take_in.prefix": 0.01,
    "longest_take_in.glob": 0.01,
    "longest_take_in.regex": 0.01,
    "bound_by_slices": 0.00001,
    "served_lookups": 500.0,
    "lookup_us_off": 70.0,
    "lookup_cost_ratio_to_off": 1.2,
    "lookup_by_patterns": 0.01,
    "wire.purge_event": 70.0,
    "wire.renewal_request": 300.0,
    "wire.renewal_answer": 200.0,
}

TRAFFIC = (
    ("router", "view"),
    ("router", "purge_feed"),
    ("router", "sharing"),
    ("router", "keeper_stream"),
    ("relay", "purge_feed"),
    ("keeper_leader", "view"),
    ("keeper_leader", "keeper_stream"),
    ("keeper_leader", "log"),
    ("keeper_follower", "view"),
    ("keeper_follower", "keeper_stream"),
    ("keeper_follower", "log"),
    ("desk", "purge_feed"),
)


def measurement(name: str, each: float) -> Measurement:
    """A line through the origin, or a constant for names that are one."""
    if name in ("lookup_us_off", "lookup_cost_ratio_to_off", "wire.renewal_request", "wire.renewal_answer"):
        return Measurement(name, "us", "lookup", "invented", "constant", (each,), (), (each,), 0.0, 0.0)
    sizes = (1_000, 2_000, 100_000)
    values = tuple(each * size for size in sizes)
    return Measurement(name, "bytes", "entry", "invented", "linear", (0.0, each), sizes, values, 0.0, 0.0)


def slope(role: str, kind: str, direction: str, quantity: str, *coefficients: float) -> Slope:
    """Linear with two coefficients, constant with one."""
    formula = "linear" if len(coefficients) == 2 else "constant"
    return Slope(role, kind, direction, quantity, formula, coefficients, SIZES, 1.0, 0.01)


def slopes() -> list[Slope]:
    """Of all roles and kinds."""
    found = []
    for role, kind in TRAFFIC:
        for direction in ("in", "out"):
            found.append(slope(role, kind, direction, BYTES, 1_000.0, 1.0))
            found.append(slope(role, kind, direction, MESSAGES, 10.0))
    for role in ("router", "relay", "keeper_leader", "keeper_follower", "desk"):
        found.append(slope(role, "all", "none", CPU, 0.01, 0.00001))
        found.append(slope(role, "all", "none", MEMORY, 40.0, 0.001))
    return found


def inputs(changed: dict[str, Slope] | None = None, without: tuple[str, ...] = ()) -> Inputs:
    """All of it; changed: slopes by name in place of those here; without: names that are left out."""
    changed = changed or {}
    kept = [changed.get(str(one.name), one) for one in slopes() if str(one.name) not in without]
    runs = tuple(Run(size - 12, 12, 3, 9, 10.0, 0.01, 32.0) for size in SIZES)
    scale = ScaleFile(1, MACHINE, "fixture", "never", runs, tuple(kept))
    state = StateFile(
        1, MACHINE, "fixture", "never", "none", tuple(measurement(name, each) for name, each in STATE.items())
    )
    return Inputs(scale, state)
