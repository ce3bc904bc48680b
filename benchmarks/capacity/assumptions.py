"""What was neither given nor measured, each with its reason. The page lists all of them."""

from typing import NamedTuple

from .figures import Figure, Standing


class Assumption(NamedTuple):
    """A figure that the arithmetic needs. unit and reason stand on the page as they are here."""

    name: str
    value: float
    unit: str
    reason: str


ASSUMPTIONS = (
    Assumption(
        "zipf_exponent",
        0.8,
        "",
        "popularity of objects; traces of web caches show 0.64 to 0.83 (Breslau and others, 1999)",
    ),
    Assumption("distinct_purges", 1.0, "share", "each purge names something else: the worst case for tables"),
    Assumption("tag_purges", 3.0, "a second", "of 32 purges a second; the operators state no mix"),
    Assumption("object_purges", 0.90, "share", "mix of kinds, beside tags, prefixes and patterns"),
    Assumption("tag_share", 0.08, "share", "mix of kinds"),
    Assumption("prefix_share", 0.019, "share", "mix of kinds"),
    Assumption("pattern_share", 0.001, "share", "mix of kinds: globs and regular expressions"),
    Assumption("tags_of_object", 3.0, "tags", "an object's own tags, each asked for by a lookup"),
    Assumption("configuration_change", 24_000.0, "bytes", "the size that the operators reckon with"),
    Assumption("link", 125_000_000.0, "bytes a second", "1 Gbit/s of a control machine"),
    Assumption("catching_up_share", 0.1, "share", "of that link, so that those that run are not disturbed"),
    Assumption(
        "busy_core",
        0.6,
        "of a core",
        "of one process at the peak: from there on each tenth more about doubles what waits (M/D/1)",
    ),
    Assumption("rack", 20.0, "routers", "a whole site: 1,200 routers at 59 sites"),
    Assumption("region_apart", 300.0, "s", "five minutes, for the operators' word minutes"),
    Assumption(
        "sharing_caches", 200.0, "caches", "a zone's routers use all caches: the worst case for the board"
    ),
    Assumption(
        "zone_relays_in_run",
        2 / 3,
        "share",
        "of the scale run's relays: one of a region to two of its zones, as benchmarks/scale has it",
    ),
    Assumption("keepers_in_run", 3.0, "keepers", "of the scale run, where its file does not say"),
    Assumption("desk_write", 0.05, "s", "a batch written and told: a flush of a common disk, and the way"),
)

_BY_NAME = {assumption.name: assumption for assumption in ASSUMPTIONS}


def assumed(name: str) -> Figure:
    """The assumption as a figure; KeyError where it is not listed."""
    return Figure(_BY_NAME[name].value, Standing.ASSUMED)
