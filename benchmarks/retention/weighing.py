"""The weighing of filters: size, build, longest step, lookups over a day, false positives, frozen format."""

import sys
from collections.abc import Callable, Generator
from hashlib import sha256
from os import environ
from subprocess import run
from time import perf_counter
from typing import NamedTuple

from .bloom_filters import Bits
from .filter_types import Slice, Way, digest
from .filters import ways

CAPACITY = 115_200  # one hour at 32 a second
SLICES = 24
REPEATS = 5
STRANGERS = 200_000  # names that a slice does not hold, for its false positives
TIMED = 4_000  # lookups timed over all slices


class Weighed(NamedTuple):
    """What one way measured."""

    name: str
    one_in: int
    bytes_an_entry: float
    build_ms: float
    longest_step_ms: float
    lookup_us: float
    false_positive_one_in: float | None
    format_digest: str


def steps(make: Callable[[], Generator], repeats: int = REPEATS) -> tuple[object, list[float]]:
    """What a build gives, and the least time of each of its steps over the repeats, in seconds.

    The steps are the same each time, so a pause of the scheduler, which strikes another step in each repeat,
    falls out by the least, and a step that is long by itself stays.
    """
    least: list[float] = []
    made = None
    for _ in range(repeats):
        times, build = [], make()
        while True:
            began = perf_counter()
            try:
                next(build)
            except StopIteration as end:
                made = end.value
                times.append(perf_counter() - began)
                break
            times.append(perf_counter() - began)
        least = [min(pair) for pair in zip(least, times)] if least else times
    return made, least


def names(prefix: str, count: int) -> list[int]:
    """Digests of so many names of one family."""
    return [digest(f"{prefix}{n:x}") for n in range(count)]


def a_day_of(made: Slice) -> list[Slice]:
    """So many slices, of which Bloom filters differ: how soon a lookup is through depends on them all."""
    if isinstance(made, Bits):
        return [made.rotated(number * 1_009) for number in range(SLICES)]
    return [made] * SLICES


def lookup_us(way: Way, made: Slice, strangers: list[int]) -> float:
    """The least time of a lookup by a name that no slice holds, over a day's slices."""
    slices, probe, best = way.gather(a_day_of(made)), way.prober, float("inf")
    for _ in range(REPEATS):
        began = perf_counter()
        for key in strangers[:TIMED]:
            probe(slices, key)
        best = min(best, perf_counter() - began)
    return best / TIMED * 1e6


def weigh(way: Way, keys: list[int], strangers: list[int], repeats: int = REPEATS) -> Weighed:
    """Builds, asks and counts. AssertionError where a member is missed."""
    made, times = steps(lambda: way.build(keys), repeats)
    asked = way.gather([made])
    assert all(way.prober(asked, key) for key in keys[:: max(1, len(keys) // 2_000)])
    wrong = sum(bool(way.prober(asked, key)) for key in strangers)
    return Weighed(
        way.name,
        way.one_in,
        round(way.gather([made] * SLICES).size() / SLICES / len(keys), 2),
        round(sum(times) * 1e3, 1),
        round(max(times) * 1e3, 2),
        round(lookup_us(way, made, strangers), 2),
        round(len(strangers) / wrong) if wrong else None,
        sha256(made.frozen()).hexdigest()[:16],
    )


def elsewhere(capacity: int) -> list[str]:
    """The digests of all frozen forms as another process makes them, whose string hash is another."""
    text = (
        "from benchmarks.retention.weighing import frozen_digests\n"
        f"print(*frozen_digests({capacity}), sep='\\n')"
    )
    out = run(
        [sys.executable, "-c", text],
        env={**environ, "PYTHONHASHSEED": "4242"},
        capture_output=True,
        text=True,
        check=True,
    )
    return out.stdout.split()


def frozen_digests(capacity: int) -> list[str]:
    """A digest of the frozen form of each way."""
    keys, found = names("purged/", capacity), []
    for way in ways(capacity):
        made, _ = steps(lambda way=way: way.build(keys), 1)
        found.append(sha256(made.frozen()).hexdigest()[:16])
    return found


def table(rows: list[Weighed]) -> str:
    """As the page shows it."""
    lines = [
        "| way | 1 in | bytes an entry | build, ms | longest step, ms | lookup over 24, us | measured 1 in |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        measured = f"{row.false_positive_one_in:,}" if row.false_positive_one_in else f"none in {STRANGERS:,}"
        rate = f"{row.one_in:,}" if row.one_in <= 1 << 20 else f"2^{row.one_in.bit_length() - 1}"
        lines.append(
            f"| {row.name} | {rate} | {row.bytes_an_entry} | {row.build_ms} | {row.longest_step_ms} "
            f"| {row.lookup_us} | {measured} |"
        )
    return "\n".join(lines)


def weighing() -> list[Weighed]:
    """All ways at a slice's full size."""
    keys, strangers = names("purged/", CAPACITY), names("stranger/", STRANGERS)
    return [weigh(way, keys, strangers) for way in ways(CAPACITY)]
