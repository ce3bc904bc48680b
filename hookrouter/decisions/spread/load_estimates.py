"""How busy the others keep a cache: what was told, taken for what it is worth by its age.

After Dahlin (Interpreting stale load information, 2000) what is told is not the load but evidence of it. All
routers read the same old news, so each moves only as far as all of them together may before the next shows
what that did: the level follows the news in a span that grows with their age. A level that follows at once
sends everybody to the cache that was least busy some seconds ago, and then all back (Mitzenmacher, How useful
is old information?, 2000).
"""

from math import exp

from . import reported_load

SETTLING_AGES = 2.0  # ages of the news until a level has followed them for the most part: under 1 it swings
MAX_MOVE = 0.5  # of that scale (the mean), by one news: so much one that is wrong can move
MAX_LEVEL = 4.0  # times the fleet's mean: a cache told to be busier is held for this busy
SURPLUS_DECAY = 80_000  # 8 s: of a surplus that was told; names stay popular for longer than sends stay out
MIN_SCALE = 1.0  # sends for each that a link carries at full pace: below it load tells nothing, and from a
# mean of none no level would rise by parts of it


class Estimate:
    __slots__ = ("report", "level", "weight", "updated_at")

    def __init__(self, weight):
        self.report, self.level, self.weight, self.updated_at = (
            reported_load.ReportedLoad(),
            0.0,
            weight,
            None,
        )


class LoadEstimates:
    """Sends that all others have out, by cache; of one weight unit where rows are compared."""

    def __init__(self, terms):
        self.terms, self.rows = terms, {}
        self.level_sum = self.weight_sum = 0.0  # of the rows that were ever told: levels, and weights
        self.newest = None  # when the newest news of any cache were true

    def listed(self, cache, weight):
        row = self.rows.get(cache)
        if row is None:
            self.rows[cache] = Estimate(weight)
        elif row.weight != weight:
            self.weight_sum += (weight - row.weight) * (row.updated_at is not None)
            row.weight = weight

    def forget(self, cache):
        row = self.rows.pop(cache, None)
        if row is not None and row.updated_at is not None:
            self.level_sum -= row.level
            self.weight_sum -= row.weight

    def mean(self):
        """Of the others' sends out, for one unit of weight."""
        return self.level_sum / self.weight_sum if self.weight_sum else 0.0

    def record(self, now, summary):
        row = self.rows.get(summary.cache)
        if row is None or not row.report.record(now, summary, self.terms):
            return
        self.newest = max(
            row.report.measured_at, self.newest if self.newest is not None else row.report.measured_at
        )
        target = self.discounted(row, now)
        if row.updated_at is None:
            level = target if not self.weight_sum else min(target, MAX_LEVEL * self.scale(row))
            self.weight_sum += row.weight
        else:
            level = self.follow(row, target, now)
        self.level_sum += level - row.level
        row.level, row.updated_at = level, now

    def discounted(self, row, now):
        """What the news say by now: near the mean the older they are, since sends come back."""
        age = max(0, now - row.report.measured_at)
        mean = self.mean() * row.weight
        worth = reported_load.STATE_WEIGHT[row.report.state] if row.updated_at is not None else 1.0
        return mean + (row.report.in_flight - mean) * worth * self.age_weight(age)

    def age_weight(self, age):
        return 1.0 if age <= self.terms.period else exp(-(age - self.terms.period) / SURPLUS_DECAY)

    def follow(self, row, target, now):
        """The level moves toward what was told, the slower the older the news."""
        age, span = max(0, now - row.report.measured_at), max(1, now - row.updated_at)
        step = (target - row.level) * span / (span + SETTLING_AGES * age)
        scale = self.scale(row)
        max_step = MAX_MOVE * scale
        return min(MAX_LEVEL * scale, max(0.0, row.level + min(max_step, max(-max_step, step))))

    def scale(self, row):
        """What moves are bounded by: the mean, or what a link carries at full pace where that is more."""
        return max(MIN_SCALE, self.mean()) * row.weight

    def alone(self, now):
        """Whether nothing of any cache was heard lately: then each decides as if there were no fleet."""
        return self.newest is None or now - self.newest > self.terms.silent_after

    def others(self, cache, now):
        """Sends, or None where this router is alone; a cache of which nothing is known counts as average."""
        if self.newest is None or now - self.newest > self.terms.silent_after:
            return None
        row = self.rows.get(cache)
        if row is None:
            return self.mean()
        if row.updated_at is None or now - row.updated_at > self.terms.fresh_for:
            return self.fading(row, now)
        return row.level

    def fading(self, row, now):
        """No step where news end: from the level to the mean, and no sooner than the fleet is silent."""
        mean = self.mean() * row.weight
        if row.updated_at is None:
            return mean
        part = (now - row.updated_at - self.terms.fresh_for) / max(
            1, self.terms.silent_after - self.terms.fresh_for
        )
        return row.level + (mean - row.level) * min(1.0, part)
