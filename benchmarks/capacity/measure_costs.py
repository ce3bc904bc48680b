"""What work costs: a purge taken in, patterns, a lookup, a store read, and names held without need."""

import multiprocessing
import tempfile
import time
from pathlib import Path
from random import Random
from typing import NamedTuple

from benchmarks.purges.costs import lookup_cost
from hookrouter.desk.local_store import restore_order
from hookrouter.purges import Guard, Purge, PurgeTerms, slice_codec
from hookrouter.purges.retention.archive import Archive
from hookrouter.purges.types import MOST_SEALED
from hookrouter.stores import PurgeLog
from standins.crowd.clients import SERVED
from standins.crowd.crowd import Crowd
from standins.crowd.processes import cpu

from .lookups import SERVED_SECONDS
from .measure_tables import DAY, EPOCH, SECOND, TERMS, guard_told, purges_off_the_wire
from .purge_work import HELD_NAMES, HELD_SEALED

PATTERN_SIZES = (1_024, 2_048, 4_096)
TAKE_IN_SIZES = (25_000, 50_000, 100_000)
STORE_SIZES = (6_000, 12_000, 24_000)  # rows that are not sealed: some 21,000 in a store that runs
SLICE_SIZES = (4, 8, 16)  # slices of objects, each of the full size
SLICE_PURGES = 100_000  # in each of them, as in an hour at 32 a second
FEW_NAMES = 10_000  # fewer than any of these sizes, and more than come within the grace
HELD_SIZES = (50_000, 150_000, 200_000)
HELD_ASKED = 20_000
LOOKUP_PATTERNS = (250, 500, 1_000, 2_000)
ASKED = 2_000  # names never purged that are asked for
SERVED_RATES = (50, 100, 200, 300)  # lookups a second of one router's client
MICROSECONDS = 1e6


class Point(NamedTuple):
    """One value at one size."""

    name: str
    size: int
    value: float


def take_in_seconds(kind: str, size: int, terms: PurgeTerms = TERMS) -> float:
    """Processor time in which a new guard takes in so many purges of a kind."""
    purges = list(purges_off_the_wire(kind, size, Random(size)))
    guard = Guard(terms)
    guard.granted(0, 1 << 60)
    began = time.process_time()
    for purge in purges:
        guard.told(purge.timestamp, purge)
    return time.process_time() - began


def resident_bytes() -> int:
    """Of this process, as the system counts it."""
    with open("/proc/self/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1_024


def pattern_points(kind: str, size: int) -> list[Point]:
    """Bytes and processor time of so many patterns; run in a process of its own."""
    purges = list(purges_off_the_wire(kind, size, Random(size)))
    guard = Guard(TERMS)
    guard.granted(0, 1 << 60)
    before, began, longest = resident_bytes(), time.process_time(), 0.0
    for purge in purges:
        step = time.process_time()
        guard.told(purge.timestamp, purge)
        longest = max(longest, time.process_time() - step)
    took = time.process_time() - began
    # A set of RE2 is not memory of Python's; prefixes stand in tables and are measured as such.
    memory = [] if kind == "prefix" else [Point(f"purge_index.{kind}", size, resident_bytes() - before)]
    return [
        *memory,
        Point(f"take_in.{kind}", size, took * MICROSECONDS),
        Point(f"longest_take_in.{kind}", size, longest * MICROSECONDS),
    ]


def all_pattern_points() -> list[Point]:
    """The patterns of each kind and size, each in a fresh process so that its memory is its own."""
    jobs = [(kind, size) for kind in ("prefix", "glob", "regex") for size in PATTERN_SIZES]
    context = multiprocessing.get_context("spawn")
    points = []
    for job in jobs:
        with context.Pool(1) as pool:
            points += pool.apply(pattern_points, job)
    return points


def pattern_lookup_points() -> list[Point]:
    """Processor time in which a name not seen lately is held against so many globs."""
    dice, points = Random(3), []
    for size in LOOKUP_PATTERNS:
        guard = guard_told("glob", size, dice)
        began = time.process_time()
        for _ in range(ASKED):
            guard.oldest(SECOND, "clip", f"{dice.getrandbits(64):016x}", 1)
        took = time.process_time() - began
        points.append(Point("lookup_by_patterns", size, took * MICROSECONDS / ASKED))
    return points


def held_points() -> list[Point]:
    """Share of names never purged that a slice binds all the same, their tags known to be none."""
    return [Point("bound_by_slices", size, held_share(size, Random(size))) for size in HELD_SIZES]


def held_share(size: int, dice: Random) -> float:
    """By a guard that was told so many purges of objects, spread evenly over a hold."""
    guard = Guard(TERMS._replace(most_names=HELD_NAMES, most_sealed=HELD_SEALED))
    guard.granted(0, 1 << 60)
    for number in range(size):
        now = SECOND + number * (DAY // size)
        guard.told(now, Purge(EPOCH, number + 1, now, "object", f"{dice.getrandbits(64):016x}"))
    newest = (
        guard.index.newest("clip", f"never-{dice.getrandbits(64):x}", "1", ()) for _ in range(HELD_ASKED)
    )
    return sum(bound > 0 for bound in newest) / HELD_ASKED


def take_in_points() -> list[Point]:
    """Processor time of purges that are looked up by name, and of those that have older ones sealed."""
    few_names = TERMS._replace(most_names=FEW_NAMES)
    ways = {"object": ("object", TERMS), "tag": ("tag", TERMS), "sealed": ("object", few_names)}
    return [
        Point(f"take_in.{name}", size, take_in_seconds(kind, size, terms) * MICROSECONDS)
        for name, (kind, terms) in ways.items()
        for size in TAKE_IN_SIZES
    ]


def store_points() -> list[Point]:
    """Processor time in which a desk reads its store anew, by the purges in it."""
    points = []
    for size in STORE_SIZES:
        with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
            path = str(Path(folder) / "purges.db")
            log = PurgeLog(path)
            log.load()
            purges = list(purges_off_the_wire("object", size, Random(size)))
            log.append([(purge, f"{purge.n:032x}") for purge in purges])
            log.close()
            began = time.process_time()
            log = PurgeLog(path, must_exist=True)
            restore_order(log.load(), DAY, EPOCH)
            points.append(Point("store_read", size, (time.process_time() - began) * MICROSECONDS))
            log.close()
    return points


def slice_points() -> list[Point]:
    """Processor time in which a start reads slices of a store, and a router merges them, by their bytes."""
    points = []
    for count in SLICE_SIZES:
        archive = Archive(DAY, MOST_SEALED)
        for span in range(count):
            for number in range(SLICE_PURGES):
                archive.add(
                    Purge(EPOCH, number, span * archive.length + number, "object", f"{span}-{number}")
                )
        encoded = [slice_codec.encode(one.state()) for one in archive.live()]
        size, began = archive.bytes(), time.process_time()
        read = Archive(DAY, MOST_SEALED)
        for row, body in encoded:
            read.merge(slice_codec.decode_row(row, body))
        points.append(Point("store_slices_read", size, (time.process_time() - began) * MICROSECONDS))
        guard, began = Guard(TERMS), time.process_time()
        for row, body in encoded:
            for _ in guard.adopt(DAY, slice_codec.decode_row(row, body)):
                pass
        points.append(Point("merge_slices", size, (time.process_time() - began) * MICROSECONDS))
    return points


def served_points(folder: Path) -> list[Point]:
    """Processor time of one real router for so many lookups, between a stand-in client and caches."""
    points, seen = [], 0
    with Crowd(folder, 1, 8) as crowd:
        crowd.ready()
        process = crowd.processes.by_name[crowd.routers[0]].pid
        for rate in SERVED_RATES:
            before = cpu(process)
            rows = crowd.load.run(SERVED_SECONDS, float(rate))["lookups"]
            used = cpu(process) - before
            answered = sum(row[3] == SERVED for row in rows) - seen
            seen += answered
            points.append(Point("served_lookups", answered, used * MICROSECONDS))
    return points


def lookup_figures(rounds: int = 1) -> dict[str, float]:
    """What a lookup's decisions cost, by benchmarks/purges/costs.py: ratios, and microseconds."""
    return lookup_cost(rounds)
