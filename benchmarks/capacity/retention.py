"""Live purges at the size, by kind and hold, and what the tables and slices make of them."""

from dataclasses import dataclass

from hookrouter.purges import types as w

from .arithmetic import held_share, live_purges, refilled_share, seconds_until, snapshot_bytes, top_share
from .assumptions import assumed
from .figures import Figure, Standing, bound, given, least, total
from .inputs import Inputs
from .sealed_filters import LIVE_SLICES, archive_bytes, bank_bytes, bound_share, past
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
    """What a mix and a hold ask of the desk and of a router."""

    mix: Mix
    hold_s: int

    def live(self, share: float = 1.0) -> Figure:
        """Live purges of that share of the stream, all of different names."""
        distinct = assumed("distinct_purges")
        return Figure(live_purges(SIZE.purges_per_s * share, self.hold_s, distinct.value), distinct.standing)

    @property
    def desk_refuses_after_s(self) -> float:
        """Until the desk refuses; infinite where the hold ends first."""
        after = min(
            seconds_until(BOUNDS.most_live, SIZE.purges_per_s),
            seconds_until(BOUNDS.most_desk_patterns, SIZE.purges_per_s * self.mix.patterns),
        )
        return after if after < self.hold_s else float("inf")

    def sealed_objects(self) -> Figure:
        """Purges of objects that are past those that stand one by one."""
        return past(self.live(self.mix.objects), BOUNDS.names)

    def sealed_tags(self) -> Figure:
        """The same of tags."""
        return past(self.live(self.mix.tags), BOUNDS.names)

    def sealed_prefixes(self) -> Figure:
        """The same of prefixes."""
        return past(self.live(self.mix.prefixes), BOUNDS.router_prefixes)

    def held_by_slices(self) -> Figure:
        """Names never purged that a false positive of some slice binds, at most: older copies are few."""
        return either(
            bound_share(w.OBJECT, self.hold_s, self.sealed_objects()),
            bound_share(w.TAG, self.hold_s, self.sealed_tags()),
            bound_share(w.PREFIX, self.hold_s, self.sealed_prefixes()),
        )

    def held_by_patterns(self) -> Figure:
        """All names, once a router has more globs and regexes than it keeps; else none."""
        live = self.live(self.mix.patterns)
        return Figure(float(live.value > BOUNDS.router_patterns), live.standing)

    def held(self) -> Figure:
        """Lookups of what was never purged that one of both holds."""
        return either(self.held_by_slices(), self.held_by_patterns())

    def snapshot(self, inputs: Inputs, slices: int = LIVE_SLICES) -> Figure:
        """What a follower is sent that lost its place: so many slices of each kind, and purges one by one."""
        event = inputs.measured("wire.purge_event")
        told = self.told_one_by_one()
        size = snapshot_bytes(told.value, event.each, event.at(0), BOUNDS.purges_in_event)
        sealed = self.live().value > BOUNDS.order_names
        filters = archive_bytes(self.hold_s, slices if sealed else 0)
        return Figure(size + filters.value, max(told.standing, Standing.EXTRAPOLATED))

    def told_one_by_one(self) -> Figure:
        """Purges of a snapshot that are in no slice that it lists, patterns with them."""
        named = least((self.live(1.0 - self.mix.patterns), bound(BOUNDS.order_names + BOUNDS.unlisted)))
        return total((named, self.live(self.mix.patterns)))

    def slices_bytes(self) -> Figure:
        """Of the slices of all kinds in a router."""
        return total(
            (
                bank_bytes(w.OBJECT, self.hold_s, self.sealed_objects()),
                bank_bytes(w.TAG, self.hold_s, self.sealed_tags()),
                bank_bytes(w.PREFIX, self.hold_s, self.sealed_prefixes()),
            )
        )

    def router_bytes(self, inputs: Inputs) -> Figure:
        """A router's index: what stands one by one, each kind within its bound, and the slices."""
        exact = (
            ("purge_index.object", self.mix.objects, BOUNDS.names),
            ("purge_index.tag", self.mix.tags, BOUNDS.names),
            ("purge_index.prefix", self.mix.prefixes, BOUNDS.router_prefixes),
            ("purge_index.glob", self.mix.patterns, BOUNDS.router_patterns),
        )
        tables = (
            inputs.table_bytes(name, least((self.live(share), bound(most)))) for name, share, most in exact
        )
        return total((*tables, self.slices_bytes()))


def either(*shares: Figure) -> Figure:
    """The share of what meets at least one of these."""
    free = 1.0
    for share in shares:
        free *= 1.0 - share.value
    return Figure(1.0 - free, max(share.standing for share in shares))


def remembered_share() -> float:
    """Share of lookups whose object's tags are remembered: those of the most popular ones."""
    return top_share(BOUNDS.tagged, SIZE.objects, assumed("zipf_exponent").value)


def refused_before_any_tag() -> Figure:
    """Refused answers a second of the fleet from which on any tag binds first sends again.

    Each costs so many answers that named their tags and were good (TRIAL_COST).
    """
    return given(SIZE.lookups_per_s) / bound(BOUNDS.trial_cost + 1)


def objects_of_tag() -> Figure:
    """Cached copies that one purged tag may concern before that, each of them refused once."""
    return refused_before_any_tag() / assumed("tag_purges")


# ---- what it was before slices, with the same bounds


def held_by_shared_bounds(retained: Retained) -> Figure:
    """Names never purged that were held while all objects past `names` shared bounds."""
    live = retained.live(retained.mix.objects)
    return Figure(held_share(live.value, BOUNDS.names, BOUNDS.shared), live.standing)


def held_by_any_tag() -> Figure:
    """Lookups filled anew without need while the newest purge of any tag bound first sends."""
    young_s = 1.0 / assumed("tag_purges").value
    rate = SIZE.lookups_per_s / SIZE.regions
    share = refilled_share(rate, young_s, SIZE.objects, assumed("zipf_exponent").value)
    return Figure((1.0 - remembered_share()) * share, Standing.ASSUMED)


def held_by_all_patterns(retained: Retained) -> Figure:
    """All names while prefixes counted as patterns, and there were more than a router kept."""
    live = retained.live(retained.mix.matched)
    return Figure(float(live.value > BOUNDS.router_patterns), live.standing)
