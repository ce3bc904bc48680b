"""Three tag purges a second, and objects whose tags a router does not remember: before and after."""

from hookrouter.purges import Purge

from .copies import Lookups
from .former import FormerBounds
from .guard_run import REMEMBERED_TAGS, START, guard
from .sample import Held, Sample, learn
from .stock import SECOND, Mix, Purges

RATE = 3
SPAN_S = 3_600
SAMPLE = 5_000
SEED = 45
TAGS_ONLY = Mix("tag", 0.0, 1.0)


def compared() -> dict[str, float]:
    """Shares of lookups that find a copy no tag of which was purged, and that are filled all the same."""
    keeper, former = guard(), FormerBounds()
    purges, now = Purges(SEED, TAGS_ONLY), START
    sample = Sample(Lookups(SEED + 1).sample(SAMPLE))
    for number in range(1, RATE * SPAN_S + 1):
        now += SECOND // RATE
        purge = purges.purge()
        keeper.told(now, Purge(1, number, now, purge.kind, purge.what))
        former.told(now, purge)
        sample.told(purge)
    learn(keeper, now, Lookups(SEED + 2), REMEMBERED_TAGS + REMEMBERED_TAGS // 5)
    rows = sample.never_purged()
    known = [keeper.tags.known(one.name) is not None for one in rows]
    before = sum(former.holds(now, one, is_known) for one, is_known in zip(rows, known))
    return {
        "unknown_tags_before": round(Held(len(rows), before).share(), 4),
        "unknown_tags_after": round(sample.held(keeper, now).share(), 4),
        "tags_known_share": round(sum(known) / len(rows), 4),
    }
