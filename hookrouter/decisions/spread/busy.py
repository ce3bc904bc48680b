"""How busy the others keep a cache: what was told, taken for what it is worth by its age.

After Dahlin (Interpreting stale load information, 2000) what is told is not the load but evidence of it. All
routers read the same old news, so each moves only as far as all of them together may before the next shows
what that did: the level follows the news in a span that grows with their age. A level that follows at once
sends everybody to the cache that was least busy some seconds ago, and then all back (Mitzenmacher, How useful
is old information?, 2000).
"""

from math import exp

from . import sources

SETTLE = 2.0  # ages of the news until a level has followed them for the most part: under 1 it swings
MOST_MOVE = 0.5  # of that scale (the mean), by one news: so much one that is wrong can move
MOST_TELLS = 4.0  # times the fleet's mean: a cache told to be busier is held for this busy
FADE = 80_000  # 8 s: of a surplus that was told; names stay popular for longer than sends stay out
LEAST_MEAN = 1.0  # sends for each that a link carries at full pace: below it load tells nothing, and from a
# mean of none no level would rise by parts of it


class Row:
    __slots__ = ("source", "level", "weight", "at")

    def __init__(self, weight):
        self.source, self.level, self.weight, self.at = sources.Source(), 0.0, weight, None


class Busy:
    """Sends that all others have out, by cache; of one weight unit where rows are compared."""

    def __init__(self, terms):
        self.terms, self.rows = terms, {}
        self.sum = self.weights = 0.0  # of the rows that were ever told: levels, and weights
        self.heard = None  # when the newest news of any cache were true

    def listed(self, cache, weight):
        row = self.rows.get(cache)
        if row is None:
            self.rows[cache] = Row(weight)
        elif row.weight != weight:
            self.weights += (weight - row.weight) * (row.at is not None)
            row.weight = weight

    def forget(self, cache):
        row = self.rows.pop(cache, None)
        if row is not None and row.at is not None:
            self.sum -= row.level
            self.weights -= row.weight

    def mean(self):
        """Of the others' sends out, for one unit of weight."""
        return self.sum / self.weights if self.weights else 0.0

    def news(self, now, summary):
        row = self.rows.get(summary.cache)
        if row is None or not row.source.news(now, summary, self.terms):
            return
        self.heard = max(row.source.made, self.heard if self.heard is not None else row.source.made)
        told = self.told(row, now)
        if row.at is None:
            level = told if not self.weights else min(told, MOST_TELLS * self.scale(row))
            self.weights += row.weight
        else:
            level = self.follow(row, told, now)
        self.sum += level - row.level
        row.level, row.at = level, now

    def told(self, row, now):
        """What the news say by now: near the mean the older they are, since sends come back."""
        age = max(0, now - row.source.made)
        mean = self.mean() * row.weight
        worth = sources.WEIGHT[row.source.state] if row.at is not None else 1.0
        return mean + (row.source.out - mean) * worth * self.fade(age)

    def fade(self, age):
        return 1.0 if age <= self.terms.period else exp(-(age - self.terms.period) / FADE)

    def follow(self, row, told, now):
        """The level moves toward what was told, the slower the older the news."""
        age, span = max(0, now - row.source.made), max(1, now - row.at)
        step = (told - row.level) * span / (span + SETTLE * age)
        scale = self.scale(row)
        most = MOST_MOVE * scale
        return min(MOST_TELLS * scale, max(0.0, row.level + min(most, max(-most, step))))

    def scale(self, row):
        """What moves are bounded by: the mean, or what a link carries at full pace where that is more."""
        return max(LEAST_MEAN, self.mean()) * row.weight

    def alone(self, now):
        """Whether nothing of any cache was heard lately: then each decides as if there were no fleet."""
        return self.heard is None or now - self.heard > self.terms.silent_after

    def others(self, cache, now):
        """Sends, or None where this router is alone; a cache of which nothing is known counts as average."""
        if self.heard is None or now - self.heard > self.terms.silent_after:
            return None
        row = self.rows.get(cache)
        if row is None:
            return self.mean()
        if row.at is None or now - row.at > self.terms.fresh_for:
            return self.faded(row, now)
        return row.level

    def faded(self, row, now):
        """No step where news end: from the level to the mean, and no sooner than the fleet is silent."""
        mean = self.mean() * row.weight
        if row.at is None:
            return mean
        part = (now - row.at - self.terms.fresh_for) / max(1, self.terms.silent_after - self.terms.fresh_for)
        return row.level + (mean - row.level) * min(1.0, part)
