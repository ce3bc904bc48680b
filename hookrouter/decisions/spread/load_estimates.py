"""Estimates of the load that all other routers put on each cache, from reports discounted by their age.

A report is taken as evidence of the load rather than the load itself (Dahlin, Interpreting stale load
information, 2000). All routers read the same stale reports, so each moves only as far as all of them together
may before the next reports show the effect: an estimate follows in a time that grows with the age of the
reports. An estimate that follows at once sends everybody to the cache that was least loaded some seconds ago,
and then all back (Mitzenmacher, How useful is old information?, 2000).
"""

from math import exp

from . import reported_load

# in ages of the reports, the time in which an estimate mostly follows them; below 1 it oscillates
SETTLING_AGES = 2.0
# part of the scale that one report moves an estimate at most, which bounds the effect of a wrong one
MAX_MOVE = 0.5
MAX_LEVEL = 4.0  # in multiples of the fleet's mean: a higher reported load is cut to it
# 8 s: decay time of a reported surplus; names stay popular for longer than a send is in flight
SURPLUS_DECAY = 80_000
# Sends in flight per link at full rate. Below it load says nothing, and from a mean of 0 no estimate could
# rise in proportion to the mean.
MIN_SCALE = 1.0


class Estimate:
    """The estimate for one cache, with the report it is based on."""

    __slots__ = ("report", "level", "weight", "updated_at")

    def __init__(self, weight):
        self.report, self.level, self.weight, self.updated_at = (
            reported_load.ReportedLoad(),
            0.0,
            weight,
            None,
        )


class LoadEstimates:
    """The sends that all others have in flight, by cache, per unit of weight where caches are compared."""

    def __init__(self, terms):
        self.terms, self.rows = terms, {}
        self.level_sum = self.weight_sum = 0.0  # over the caches that were ever reported
        self.newest = None  # time of the newest report of any cache

    def listed(self, cache, weight):
        """Adds a cache, or changes its weight."""
        row = self.rows.get(cache)
        if row is None:
            self.rows[cache] = Estimate(weight)
        elif row.weight != weight:
            self.weight_sum += (weight - row.weight) * (row.updated_at is not None)
            row.weight = weight

    def forget(self, cache):
        """Removes a cache."""
        row = self.rows.pop(cache, None)
        if row is not None and row.updated_at is not None:
            self.level_sum -= row.level
            self.weight_sum -= row.weight

    def mean(self):
        """Returns the mean of the others' sends in flight per unit of weight."""
        return self.level_sum / self.weight_sum if self.weight_sum else 0.0

    def record(self, now, summary):
        """Records sharing's Summary of one cache, unless a newer one is known."""
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
        """Returns the reported load drawn toward the mean, the more the older the report, since sends
        complete.
        """
        age = max(0, now - row.report.measured_at)
        mean = self.mean() * row.weight
        worth = reported_load.STATE_WEIGHT[row.report.state] if row.updated_at is not None else 1.0
        return mean + (row.report.in_flight - mean) * worth * self.age_weight(age)

    def age_weight(self, age):
        """Returns the weight of a report of this age, in tenths of a millisecond."""
        return 1.0 if age <= self.terms.period else exp(-(age - self.terms.period) / SURPLUS_DECAY)

    def follow(self, row, target, now):
        """Returns the level moved toward the target, the slower the older the report."""
        age, span = max(0, now - row.report.measured_at), max(1, now - row.updated_at)
        step = (target - row.level) * span / (span + SETTLING_AGES * age)
        scale = self.scale(row)
        max_step = MAX_MOVE * scale
        return min(MAX_LEVEL * scale, max(0.0, row.level + min(max_step, max(-max_step, step))))

    def scale(self, row):
        """Returns what bounds a move: the mean, or the load of a link at full rate where that is more."""
        return max(MIN_SCALE, self.mean()) * row.weight

    def alone(self, now):
        """Returns whether no cache was reported lately; the router then decides on its own."""
        return self.newest is None or now - self.newest > self.terms.silent_after

    def others(self, cache, now):
        """Returns the others' sends in flight, or None without recent reports; a cache without any counts as
        average.
        """
        if self.newest is None or now - self.newest > self.terms.silent_after:
            return None
        row = self.rows.get(cache)
        if row is None:
            return self.mean()
        if row.updated_at is None or now - row.updated_at > self.terms.fresh_for:
            return self.fading(row, now)
        return row.level

    def fading(self, row, now):
        """Returns the level on its way to the mean after the reports have ended, without a jump; it gets
        there no sooner than the fleet counts as silent.
        """
        mean = self.mean() * row.weight
        if row.updated_at is None:
            return mean
        part = (now - row.updated_at - self.terms.fresh_for) / max(
            1, self.terms.silent_after - self.terms.fresh_for
        )
        return row.level + (mean - row.level) * min(1.0, part)
