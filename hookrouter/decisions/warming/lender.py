"""A neighbour's side: it lends its list now and then, and keeps the courses of those it lent to."""

from . import lists

MAX_PLANS = 64  # of caches warmed lately
REBUILD_INTERVAL = 10_000  # 1 s: a list is made anew no oftener, whoever asks
MAX_LENT_PER_SECOND = 8  # lists lent: some 100 kB each, a stated part of its time


class Lender:
    def __init__(self, sketch, position, now=0):
        """now: since when it is counted. position(): (epoch, number) of the newest purge told."""
        self.sketch, self.position, self.plans = sketch, position, {}
        self.cached_list, self.counted_since, self.second, self.lent_this_second = None, now, -1, 0

    def lend(self, now, cache):
        """(Lent or None where it has lent enough this second, the Course kept for that cache or None)."""
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
            # A list of before a purge says so by its number; one made anew is of more use.
            self.cached_list = now, self.position(), self.sketch.lower_bounds()
        built_at, position, summary = self.cached_list
        return lists.make_list(
            summary, now - built_at, position, max(1, now - self.counted_since)
        ), self.plans.get(cache)

    def store_plan(self, plan):
        """Kept for a successor; an old owner's does not take a newer one's place."""
        previous = self.plans.get(plan.cache)
        if previous is not None and previous.number > plan.number:
            return False
        self.plans.pop(plan.cache, None)
        self.plans[plan.cache] = plan
        if len(self.plans) > MAX_PLANS:
            del self.plans[next(iter(self.plans))]
        return True

    def halved(self, now):
        """The sketch has been halved: what is left is of half as long."""
        self.counted_since += (now - self.counted_since) // 2
