"""Ready filters and hashes from the registry, beside those of filters.py.

The project does not install them: run with `python -m benchmarks.retention.libraries` where pyfusefilter,
rbloom and xxhash are.
"""

from collections.abc import Callable
from time import perf_counter

from .filter_types import LOW_64, digest
from .weighing import CAPACITY, REPEATS, SLICES, STRANGERS, TIMED, names


def least_ms(job: Callable[[], object]) -> tuple[object, float]:
    """What it gives, and the least time of the repeats; none of these can be interrupted."""
    best, made = float("inf"), None
    for _ in range(REPEATS):
        began = perf_counter()
        made = job()
        best = min(best, perf_counter() - began)
    return made, best * 1e3


def show(name: str, build: Callable[[list[int]], object], size: Callable[[object], int]) -> None:
    """One row: bytes an entry, build as one step, a lookup over a day's slices, false positives."""
    keys = [key & LOW_64 for key in names("purged/", CAPACITY)]
    strangers = [key & LOW_64 for key in names("stranger/", STRANGERS)]
    made, build_ms = least_ms(lambda: build(keys))
    slices = [made] * SLICES
    _, lookups_ms = least_ms(lambda: [[one for one in slices if key in one] for key in strangers[:TIMED]])
    wrong = sum(key in made for key in strangers)
    lookup_us, a_key = lookups_ms * 1e3 / TIMED, size(made) / CAPACITY
    measured = f"{STRANGERS / wrong:,.0f}" if wrong else f"none in {STRANGERS:,}"
    print(f"| {name} | {a_key:.2f} | {build_ms:.1f} | {lookup_us:.2f} | {measured} |")


def hashes() -> None:
    """The time of one name's hash."""
    import xxhash

    asked = [f"{n:016x}" for n in range(TIMED)]
    for name, job in (
        ("blake2b, 128 bits", lambda: [digest(one) for one in asked]),
        ("xxh3, 128 bits", lambda: [xxhash.xxh3_128_intdigest(one) for one in asked]),
    ):
        print(f"| {name} | {least_ms(job)[1] * 1e3 / TIMED:.2f} us |")


def main() -> None:
    """The rows of all that are installed."""
    import pyfusefilter
    import rbloom

    show("pyfusefilter Fuse8", pyfusefilter.Fuse8, lambda one: len(one.serialize()))
    show("pyfusefilter Fuse16", pyfusefilter.Fuse16, lambda one: len(one.serialize()))

    def bloom(keys: list[int]) -> rbloom.Bloom:
        made = rbloom.Bloom(CAPACITY, 1 / 4_096, lambda key: key)
        made.update(keys)
        return made

    show("rbloom 1 in 4,096", bloom, lambda one: one.size_in_bits // 8)
    hashes()


if __name__ == "__main__":
    main()
