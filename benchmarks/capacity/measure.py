"""Runs all measurements of tables, messages and work, and writes docs/results/state.json."""

import gc
import multiprocessing
import platform
import subprocess
import tempfile
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random
from statistics import fmean

from . import measure_costs as costs
from .fit import fit_line, largest_residual, relative_spread
from .measure_tables import TABLES, Table
from .measure_wire import MESSAGES, Sized
from .measurements import SCHEMA, Machine, Measurement, StateFile

REPEATS = 2  # of work that is timed: the spread is between them
NO_FORMULA = ("bound_by_slices", "longest_take_in")  # a share with a bend, and steps
COMMAND = "python -m benchmarks capacity --measure-state"
TABLES_AT_ONCE = 4  # processes in which tables are built and counted
SEEDS = (1, 2)  # a table is built once for each: the spread is between them
UNITS = {  # name, or its part before the dot -> unit, what a step of the size is, how it was measured
    "purge_index": ("bytes", "live purge", "resident memory"),
    "take_in": ("us", "purge", "processor time"),
    "longest_take_in": ("us", "purge", "processor time"),
    "lookup_by_patterns": ("us", "live pattern", "processor time"),
    "bound_by_slices": ("share", "live purge", "names asked for"),
    "store_read": ("us", "purge", "processor time"),
    "store_slices_read": ("us", "byte", "processor time"),
    "merge_slices": ("us", "byte", "processor time"),
    "served_lookups": ("us", "lookup", "processor time"),
}


def allocated(table: Table, size: int, seed: int) -> int:
    """Bytes that the table holds with so many entries, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    held = table.build(size, Random(seed))
    gc.collect()
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return current


def allocated_by_name(job: tuple[str, int, int]) -> int:
    """The same, in a process of its own: the table's name, the size and the seed."""
    name, size, seed = job
    return allocated(next(table for table in TABLES if table.name == name), size, seed)


def measured_tables() -> list[Measurement]:
    """All tables, some at a time: their memory does not depend on what runs beside them."""
    jobs = [(table.name, size, seed) for table in TABLES for seed in SEEDS for size in table.sizes]
    with multiprocessing.get_context("spawn").Pool(TABLES_AT_ONCE) as pool:
        values = dict(zip(jobs, pool.map(allocated_by_name, jobs, chunksize=1), strict=True))
    return [measured_table(table, values) for table in TABLES]


def measured_table(table: Table, allocations: Mapping[tuple[str, int, int], int]) -> Measurement:
    """Bytes of an entry: the mean over the seeds, and the spread of the slope between them."""
    runs = [[allocations[table.name, size, seed] for size in table.sizes] for seed in SEEDS]
    slopes = [fit_line(table.sizes, run).slope for run in runs]
    values = [fmean(points) for points in zip(*runs, strict=True)]
    return linear(table.name, "bytes", table.per, "tracemalloc", table.sizes, values, relative_spread(slopes))


def measured_message(message: Sized) -> Measurement:
    """Bytes of a message, or of an entry in it."""
    runs = [[message.size(count, Random(seed)) for count in message.counts] for seed in SEEDS]
    values = [fmean(points) for points in zip(*runs, strict=True)]
    method = "file size" if message.name.startswith("store.") else "encoded length"
    if len(message.counts) == 1:
        spread = relative_spread([run[0] for run in runs])
        return Measurement(
            message.name,
            "bytes",
            message.per,
            method,
            "constant",
            tuple(values),
            (),
            tuple(values),
            0.0,
            spread,
        )
    slopes = [fit_line(message.counts, run).slope for run in runs]
    return linear(message.name, "bytes", message.per, method, message.counts, values, relative_spread(slopes))


def linear(
    name: str,
    unit: str,
    per: str,
    method: str,
    sizes: tuple[int, ...],
    values: list[float],
    spread: float | None,
) -> Measurement:
    """A measurement with its line of least squares."""
    line = fit_line(sizes, values)
    coefficients = round(line.intercept, 3), round(line.slope, 6)
    residual = largest_residual(sizes, values, *coefficients)
    return Measurement(
        name,
        unit,
        per,
        method,
        "linear",
        coefficients,
        tuple(sizes),
        tuple(round(value, 4) for value in values),
        round(residual, 4),
        None if spread is None else round(spread, 4),
    )


def repeated(points: Callable[[], list[costs.Point]]) -> list[costs.Point]:
    """The same measurement again and again."""
    return [point for _ in range(REPEATS) for point in points()]


def measured_points(points: list[costs.Point]) -> list[Measurement]:
    """Points of one name as one measurement; where a size comes more than once, their spread is kept."""
    by_name = defaultdict(lambda: defaultdict(list))
    for point in points:
        by_name[point.name][point.size].append(point.value)
    found = []
    for name, by_size in by_name.items():
        unit, per, method = UNITS[name if name in UNITS else name.partition(".")[0]]
        sizes = tuple(sorted(by_size))
        repeated = all(len(by_size[size]) > 1 for size in sizes)
        spread = round(max(relative_spread(by_size[size]) for size in sizes), 4) if repeated else None
        values = [fmean(by_size[size]) for size in sizes]
        if name.partition(".")[0] in NO_FORMULA:
            points = tuple(round(value, 4) for value in values)
            found.append(Measurement(name, unit, per, method, "points", (), sizes, points, 0.0, spread))
        else:
            found.append(linear(name, unit, per, method, sizes, values, spread))
    return found


def measured_lookup() -> list[Measurement]:
    """What a lookup's decisions cost, as constants."""
    figures = costs.lookup_figures()
    kinds = {
        "lookup_us_off": ("us", "lookup", "elapsed time, median of 6 rounds"),
        "lookup_cost_ratio": ("ratio", "lookup", "elapsed time, median of 6 rounds"),
        "lookup_cost_ratio_to_off": ("ratio", "lookup", "elapsed time, median of 6 rounds"),
    }
    return [
        Measurement(name, *kind, "constant", (figures[name],), (), (figures[name],), 0.0, None)
        for name, kind in kinds.items()
    ]


def this_machine() -> Machine:
    """Processor count, memory, interpreter and system."""
    with open("/proc/meminfo") as lines:
        kilobytes = int(next(lines).split()[1])
    with open("/proc/cpuinfo") as lines:
        cores = sum(line.startswith("processor") for line in lines)
    return Machine(cores, kilobytes // 1_024, platform.python_version(), platform.system())


def this_commit() -> str:
    """The commit that is checked out, shortened."""
    found = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=True
    )
    return found.stdout.strip()


def measure(say: Callable[[str], None] = print) -> StateFile:
    """All measurements in turn, each group's time said."""
    measurements: list[Measurement] = []
    commit = this_commit()
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        groups = {
            "served lookups": lambda: measured_points(costs.served_points(Path(folder))),
            "lookups": measured_lookup,
            "tables": measured_tables,
            "messages": lambda: [measured_message(message) for message in MESSAGES],
            "patterns": lambda: measured_points(repeated(costs.all_pattern_points)),
            "lookups by patterns": lambda: measured_points(repeated(costs.pattern_lookup_points)),
            "names bound by slices": lambda: measured_points(repeated(costs.held_points)),
            "purges taken in": lambda: measured_points(repeated(costs.take_in_points)),
            "store": lambda: measured_points(repeated(costs.store_points)),
            "slices": lambda: measured_points(repeated(costs.slice_points)),
        }
        for name, group in groups.items():
            began = time.monotonic()
            measurements += group()
            say(f"{name}: {time.monotonic() - began:.1f} s")
    now = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
    measurements.sort(key=lambda measurement: measurement.name)
    return StateFile(SCHEMA, this_machine(), commit, now, COMMAND, tuple(measurements))
