"""The lending side: provides this router's popularity list and stores the plans of other owners."""

from . import lists

MAX_PLANS = 64  # of caches warmed lately
REBUILD_INTERVAL = 10_000  # 1 s: the least age at which a list is built again
MAX_LENT_PER_SECOND = 8  # lists of some 100 kB each, which bounds the time spent on them


class Lender:
    """Lends popularity lists, each built at most once a second, and stores plans for successors of their
    owners.
    """

    def __init__(self, sketch, position, now=0):
        """now: the start of counting. position(): returns (epoch, number) of the newest purge known here."""
        self.sketch, self.position, self.plans = sketch, position, {}
        self.cached_list, self.counted_since, self.second, self.lent_this_second = None, now, -1, 0

    def lend(self, now, cache):
        """Returns (a PopularityList, or None beyond the limit of this second; the WarmupPlan stored for that
        cache, or None).
        """
        if now // 10_000 != self.second:
            self.second, self.lent_this_second = now // 10_000, 0
        if self.lent_this_second >= MAX_LENT_PER_SECOND:
            return None, self.plans.get(cache)
        self.lent_this_second += 1
        if (
            self.cached_list is None
            or now - self.cached_list[0] >= REBUILD_INTERVAL
            or self.cached_list[1] != self.position()
        ):
            # A list from before a purge is marked by its position, but a new one is of more use.
            self.cached_list = now, self.position(), self.sketch.lower_bounds()
        built_at, position, summary = self.cached_list
        return lists.make_list(
            summary, now - built_at, position, max(1, now - self.counted_since)
        ), self.plans.get(cache)

    def store_plan(self, plan):
        """Stores a plan for a successor of its owner; returns False where a newer owner's plan is stored."""
        previous = self.plans.get(plan.cache)
        if previous is not None and previous.number > plan.number:
            return False
        self.plans.pop(plan.cache, None)
        self.plans[plan.cache] = plan
        if len(self.plans) > MAX_PLANS:
            del self.plans[next(iter(self.plans))]
        return True

    def halved(self, now):
        """Halves the time that counts are taken over, as the sketch was halved."""
        self.counted_since += (now - self.counted_since) // 2
