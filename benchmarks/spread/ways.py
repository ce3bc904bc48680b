"""Ways to place by what others told, weighed side by side: what Control is told, and how it picks."""

from math import exp

from hookrouter.control.placing import MOVE_LOAD_RATIO, Placing
from hookrouter.decisions.spread import Spread
from hookrouter.decisions.spread.load_estimates import MAX_MOVE, LoadEstimates

IDEAL_LEAD = 1.1  # times busier: it levels better than with 1.0, 1.5 or the design's 2.0
TURNOVER = 10_000  # 1 s: what was out then has come back
EQUAL = 1e9  # sends: where all caches are told to be as busy as that, the hash alone decides


class Anywhere(Placing):
    """Candidates are all caches, by what was told: least of all, or the better of two drawn at random."""

    drawn = None

    def rank(self, name, caches):
        if caches is not self.control.edges:
            return super().rank(name, caches)
        among = (
            caches if self.drawn is None else self.control.rng.sample(caches, min(self.drawn, len(caches)))
        )
        return sorted(among, key=self.load)


class Two(Anywhere):
    drawn = 2


class Told:
    """The base: nothing of cold caches or of those set aside."""

    def lead(self, name):
        return MOVE_LOAD_RATIO

    def allowance(self, cache, now, cost):
        return None

    def sent(self, cache, now, cost):
        pass

    def tries(self, cache, now):
        return True

    def news(self, now, summary):
        pass

    def listed(self, now, caches):
        pass


class Hash(Told):
    def others(self, cache, now):
        return EQUAL


class Raw(Told):
    """As told, however old."""

    def __init__(self):
        self.rows = {}

    def news(self, now, summary):
        self.rows[summary.cache] = summary.others_in_flight

    def others(self, cache, now):
        return self.rows.get(cache, 0.0)


class Least(Raw):
    def lead(self, name):
        return 1.0


class Sees(Told):
    """Ideal: the truth, now."""

    def __init__(self, stations, control_of):
        self.stations, self.control_of = stations, control_of

    def others(self, cache, now):
        control = self.control_of()
        return max(0, self.stations[cache].out - control.in_flight[control.row_by_id[cache]])

    def lead(self, name):
        return IDEAL_LEAD


class Bounded(Raw):
    """Consistent hashing with bounded loads (Mirrokni and others, 2018): a cache above c times the mean is
    left for the next, any other keeps its names.
    """

    c = 1.25

    def __init__(self):
        super().__init__()
        self.weights = {}

    def listed(self, now, caches):
        self.weights = {cache.id: cache.weight for cache in caches}

    def others(self, cache, now):
        mean = sum(self.rows.values()) / max(1e-9, sum(self.weights.get(c, 0) for c in self.rows) or 1)
        over = self.rows.get(cache, 0.0) > self.c * mean * self.weights.get(cache, 1)
        return EQUAL * 4 if over else EQUAL


class OneLead(Spread):
    """Levels as ours, the design's one lead for all names."""

    def lead(self, name):
        return MOVE_LOAD_RATIO


class ByName(Spread):
    """Levels as ours, a lead for each name that all routers share."""

    lead_salt = ""


class AtOnce(LoadEstimates):
    """Levels follow the news at once, faded by their age toward the mean (Dahlin)."""

    def follow(self, row, told, now):
        return told

    def age_weight(self, age):
        return exp(-age / TURNOVER)


class AtMost(LoadEstimates):
    """Levels follow the news at once, by a bounded part of the mean."""

    def follow(self, row, told, now):
        most = MAX_MOVE * self.scale(row)
        return row.level + min(most, max(-most, told - row.level))


def levels(kind):
    """Ours with another way from news to levels."""

    def make(terms, me, seed, now):
        spread = Spread(terms, me, seed, now)
        spread.loads = kind(terms)
        return spread

    return make


class Split(Spread):
    """Each send is drawn between the two candidates, by how busy the other is."""

    def lead(self, name):
        drawn = self.rng.random()
        return drawn / (1 - drawn)


TOLD = {"hash": Hash, "least": Least, "two": Least, "raw": Raw, "bounded loads": Bounded}
SPREADS = {
    "ours": Spread,
    "one lead": OneLead,
    "lead by name": ByName,
    "aged": levels(AtOnce),
    "bounded news": levels(AtMost),
    "split": Split,
}
