"""Live purges at the size, by kind and hold, and what the present tables make of them."""

from dataclasses import dataclass

from .arithmetic import held_share, live_purges, refilled_share, seconds_until, snapshot_bytes, top_share
from .assumptions import assumed
from .figures import Figure, Standing, bound, given, least
from .inputs import Inputs
from .size import BOUNDS, SECONDS_A_DAY, SECONDS_AN_HOUR, SIZE


@dataclass(frozen=True)
class Mix:
    """Shares of a stream of purges by kind; object counts for groups, too: both are looked up by name."""

    name: str
    objects: float
    tags: float
    prefixes: float
    patterns: float

    @property
    def matched(self) -> float:
        """What is matched against names in place of being looked up."""
        return self.prefixes + self.patterns


ORDINARY = Mix(
    "ordinary",
    assumed("object_purges").value,
    assumed("tag_share").value,
    assumed("prefix_share").value,
    assumed("pattern_share").value,
)
MIXES = (
    Mix("objects alone", 1.0, 0.0, 0.0, 0.0),
    Mix(
        "objects and tags",
        1 - assumed("tag_purges").value / SIZE.purges_per_s,
        assumed("tag_purges").value / SIZE.purges_per_s,
        0.0,
        0.0,
    ),
    ORDINARY,
    Mix("many prefixes", 0.70, 0.10, 0.19, 0.01),
)
MOST_REFILLED = 0.01  # share of lookups that may be filled anew without need
HOLDS = (("1 h", SECONDS_AN_HOUR), ("24 h", SECONDS_A_DAY), ("7 days", 7 * SECONDS_A_DAY))


@dataclass(frozen=True)
class Retained:
    """What a mix and a hold ask of the tables as they are."""

    mix: Mix
    hold_s: int

    def live(self, share: float = 1.0) -> Figure:
        """Live purges of that share of the stream, all of different names."""
        distinct = assumed("distinct_purges")
        return Figure(live_purges(SIZE.purges_per_s * share, self.hold_s, distinct.value), distinct.standing)

    @property
    def desk_refuses_after_s(self) -> float:
        """Until the desk refuses; infinite where the hold ends first."""
        named, matched = self.mix.objects + self.mix.tags, self.mix.matched
        after = min(
            seconds_until(BOUNDS.most_live, SIZE.purges_per_s * named),
            seconds_until(BOUNDS.most_desk_patterns, SIZE.purges_per_s * matched),
        )
        return after if after < self.hold_s else float("inf")

    def held_by_objects(self) -> Figure:
        """Names never purged that a shared bound holds."""
        live = self.live(self.mix.objects)
        return Figure(held_share(live.value, BOUNDS.names, BOUNDS.shared), live.standing)

    def held_by_patterns(self) -> Figure:
        """All names, once a router has more patterns than it keeps; else none."""
        live = self.live(self.mix.matched)
        return Figure(float(live.value > BOUNDS.router_patterns), live.standing)

    def held_by_tags(self) -> Figure:
        """Lookups of objects whose tags are not remembered, which any purge of a tag holds."""
        if not self.mix.tags:
            return given(0.0)
        return Figure(1.0 - remembered_share(), Standing.ASSUMED)

    def held(self) -> Figure:
        """Lookups of what was never purged that one of the three holds."""
        free = 1.0
        parts = (self.held_by_objects(), self.held_by_patterns(), self.held_by_tags())
        for part in parts:
            free *= 1.0 - part.value
        return Figure(1.0 - free, max(part.standing for part in parts))

    def snapshot(self, inputs: Inputs, refused: bool = False) -> Figure:
        """What a follower is sent that lost its place. refused: no more than the desk takes."""
        event = inputs.measured("wire.purge_event")
        live = self.live()
        if refused:
            live = least((live, bound(BOUNDS.most_live)))
        size = snapshot_bytes(live.value, event.each, event.at(0), BOUNDS.purges_in_event)
        return Figure(size, max(live.standing, Standing.EXTRAPOLATED))

    def router_bytes(self, inputs: Inputs) -> Figure:
        """A router's index: what it keeps one by one, and the bounds that the rest shares."""
        return sum_of_index(inputs, self)


def remembered_share() -> float:
    """Share of lookups whose object's tags are remembered: those of the most popular ones."""
    return top_share(BOUNDS.tagged, SIZE.objects, assumed("zipf_exponent").value)


def tag_refill_share() -> Figure:
    """Lookups that the tag purges make a fill of without need: no copy is younger than the newest of them."""
    young_s = 1.0 / assumed("tag_purges").value
    rate = SIZE.lookups_per_s / SIZE.regions
    share = refilled_share(rate, young_s, SIZE.objects, assumed("zipf_exponent").value)
    return Figure((1.0 - remembered_share()) * share, Standing.ASSUMED)


def kept_and_shared(live: Figure, most: int) -> tuple[Figure, Figure]:
    """Names that are kept one by one, and bounds that the others share."""
    kept = least((live, bound(most)))
    beyond = max(0.0, live.value - most)
    shared = least((Figure(beyond, live.standing), bound(BOUNDS.shared)))
    return kept, shared


def sum_of_index(inputs: Inputs, retained: Retained) -> Figure:
    """Bytes of a router's purge index by kinds, each within its bound."""
    found = Figure(0.0, Standing.BOUND)
    for name, share in (("purge_index.object", retained.mix.objects), ("purge_index.tag", retained.mix.tags)):
        kept, shared = kept_and_shared(retained.live(share), BOUNDS.names)
        found += inputs.table_bytes(name, kept) + inputs.table_bytes("purge_index.group", shared)
    for name, share in (
        ("purge_index.prefix", retained.mix.prefixes),
        ("purge_index.glob", retained.mix.patterns),
    ):
        live = least((retained.live(share), bound(BOUNDS.router_patterns)))
        found += inputs.table_bytes(name, live)
    return found
