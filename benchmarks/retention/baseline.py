"""The shares held by the former bounds, beside the same sample as a guard's run has."""

from .copies import Lookups
from .former import FormerBounds
from .guard_run import GAP, START
from .sample import Held, Sample
from .stock import ALL_KINDS, OBJECTS_ONLY, Mix, Purges

SEED = 44
SAMPLE = 2_000
MIXED = 200_000  # live purges of the mix: more change nothing, all copies are held


def remembered_names(count: int) -> set[str]:
    """Objects of the answers that came last, so many answers."""
    return {one.name for one in Lookups(SEED + 2).sample(count)}


def share(mix: Mix, told: int, remembered: set[str]) -> float:
    """Of lookups by names never purged, those held after so many purges."""
    former, sample = FormerBounds(), Sample(Lookups(SEED + 1).sample(SAMPLE))
    purges, now = Purges(SEED, mix), START
    for _ in range(told):
        purge = purges.purge()
        former.told(now, purge)
        sample.told(purge)
        now += GAP
    rows = sample.never_purged()
    held = sum(former.holds(now, one, not mix.tag or one.name in remembered) for one in rows)
    return Held(len(rows), held).share()


def shares(counts: tuple[int, ...]) -> dict[str, float]:
    """By live purges of objects, and of the mix."""
    found = {f"held_share_before_{count}": round(share(OBJECTS_ONLY, count, set()), 4) for count in counts}
    remembered = remembered_names(MIXED // 4)
    return {**found, "held_share_mix_before": round(share(ALL_KINDS, MIXED, remembered), 4)}
