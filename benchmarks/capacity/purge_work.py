"""What taking in a purge costs a router, by kind, and what that comes to at the size."""

from hookrouter.purges import types as w

from .figures import Figure, Standing, plain, shown, total
from .inputs import MICRO, Inputs
from .retention import ORDINARY
from .sealed_filters import geometries
from .size import BOUNDS, BUDGET, SIZE
from .tables import table, verdict

HELD_NAMES, HELD_SEALED = 5_000, 150_000  # `names` and `sealed` of the guard that was asked
LONGEST_STEP_US = 5_000.0  # that a router may stand still for a purge
# How a purge is taken in -> its part of the mix at the size, where nearly all objects are past `names`.
MEASURED_AS = {
    "object": None,
    "sealed": "objects",
    "tag": "tags",
    "prefix": "prefixes",
    "glob": "patterns",
    "regex": None,
}
NAMES = {"object": "object, kept one by one", "sealed": "object, an older one sealed for it"}
NOT_ONE_BY_ONE = ("object", "sealed", "tag")
PER_CENT = 100.0


def take_in_cores(inputs: Inputs) -> Figure:
    """Share of a core that the ordinary mix takes at the size; globs stand for regexes, too."""
    shares = {kind: getattr(ORDINARY, share) for kind, share in MEASURED_AS.items() if share}
    return total(
        inputs.each(f"take_in.{kind}") * Figure(SIZE.purges_per_s * share * MICRO, Standing.ASSUMED)
        for kind, share in shares.items()
    )


def longest_us(inputs: Inputs, kind: str) -> Figure:
    """The longest that one purge of that kind held the router, at any size that was measured."""
    return Figure(max(inputs.measured(f"longest_take_in.{kind}").values), Standing.MEASURED)


def work_table(inputs: Inputs) -> str:
    """One kind a row, and the mix."""
    rows = []
    for kind in MEASURED_AS:
        mean = shown(inputs.each(f"take_in.{kind}"), "us")
        if kind in NOT_ONE_BY_ONE:
            rows.append((NAMES.get(kind, kind), mean, "not measured one by one", ""))
            continue
        longest = longest_us(inputs, kind)
        rows.append((kind, mean, shown(longest, "us"), verdict(longest, LONGEST_STEP_US)))
    cores = take_in_cores(inputs)
    rows.append(
        ("the ordinary mix", shown(cores, "% of a core", PER_CENT), "", verdict(cores, BUDGET.core_share))
    )
    head = f"longest, {LONGEST_STEP_US:,.0f} us wanted"
    return table(("kind of purge", "taken in by a router, on the mean", head, ""), rows)


def held_table(inputs: Inputs) -> str:
    """The arithmetic of false positives beside what was measured, with slices of a smaller size."""
    measurement = inputs.measured("bound_by_slices")
    slices = geometries(BOUNDS.hold_s, HELD_SEALED)[w.OBJECT]
    rows = [
        (
            f"{size:,}",
            f"{size / slices.most:.2f}",
            shown(Figure(value, Standing.MEASURED)),
            plain(slices.false_positives(size - HELD_NAMES)),
        )
        for size, value in zip(measurement.sizes, measurement.values, strict=True)
    ]
    heads = (
        "live purges of objects",
        "of what the slices are sized for",
        "names never purged that are bound",
        "by the arithmetic",
    )
    return table(heads, rows)
