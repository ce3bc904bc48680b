"""What the routers tell each other of caches' load, as one router's Control asks for it.

Fed by its executor; asked by Control at each send, a look-up in a table each time.
"""

from hashlib import blake2b
from random import Random

import msgspec

from ...control.cold import COLD_BURST, COLD_PACE
from .busy import Busy
from .shares import Shares
from .trickle import Trickle
from .words import ColdTerms, Post, Share, SpreadTerms, Started, Word

# Times busier. Between them a name at a router has a lead of its own, for good: a cache that is somewhat busy
# loses some of its lookups, not all at one moment, and the same ones each time.
LEAD_LEAST, LEAD_MOST = 1.0, 2.0
WIDTH = 1 << 16  # of a drawn lead

DECODER = msgspec.msgpack.Decoder(Share)
ENCODER = msgspec.msgpack.Encoder()
WRONG = msgspec.ValidationError, msgspec.DecodeError


def spread_terms(terms, **more):
    """SpreadTerms from a router's Terms."""
    top = terms.topology
    crew, routers = max(1, top.routers_by_zone[top.zones.index(top.zone)]), max(1, top.routers)
    lump = max([1.0, *(kind.latency_budget for kind in terms.kinds if not kind.write)])

    def cold(share, span, multiple, users):
        per = routers / (users * lump)
        pace = multiple * COLD_PACE
        return ColdTerms(
            share, max(1, span), pace * per, (multiple - pace) * COLD_BURST * terms.overload_duration * per
        )

    return SpreadTerms(
        number=top.number,
        routers=routers,
        zone=top.zone,
        lump=lump,
        cold=cold(terms.cold_share, terms.cold_duration, terms.overload_multiple, crew),
        parent_cold=cold(
            terms.parent_cold_share, terms.parent_cold_duration, terms.parent_overload_multiple, routers
        ),
        parent_sort=top.parent_machine_type,
        origin_sort=top.origin_machine_type,
    )._replace(**more)


class Spread:
    """terms: SpreadTerms; me: (name, life) of this member; now: its clock that nobody sets."""

    lead_of = None  # hashed with a name for its lead: the router's, since one name may be a cache's whole due

    def __init__(self, terms, me, seed, now=0):
        self.terms, self.me, self.dice = terms, me, Random(seed)
        self.busy, self.trickle = Busy(terms), Trickle(me[0])
        self.shares = Shares(terms, me[1], now)
        if self.lead_of is None:
            self.lead_of = me[0]
        self.members = ()  # others that may be asked
        self.sort = {}  # cache -> its machine kind

    # ---- from the executor

    def listed(self, now, caches, wall=None, whole=False):
        """Lines of the list of caches, all of them or those that changed; starts are told by the wall."""
        wall = now if wall is None else wall
        if whole:
            for gone in set(self.sort) - {cache.id for cache in caches}:
                self._gone(gone)
        for cache in caches:
            if cache.phase == "gone":
                self._gone(cache.id)
                continue
            self.sort[cache.id] = cache.machine_type
            if cache.machine_type == self.terms.origin_sort:
                continue
            if cache.machine_type != self.terms.parent_sort:
                self.busy.listed(cache.id, max(cache.weight, 0.01))
            cold = self.terms.parent_cold if cache.machine_type == self.terms.parent_sort else self.terms.cold
            if cache.born and cold is not None:
                self.shares.start(cache.id, cache.born, max(cache.weight, 0.01), cold, now, wall)

    def _gone(self, cache):
        self.sort.pop(cache, None)
        self.busy.forget(cache)
        self.shares.forget(cache)
        self.trickle.rows.pop(cache, None)

    def stands(self, names):
        """Who is alive, this member too, in an order that all have."""
        self.trickle.stands(tuple(names))
        self.members = tuple(name for name in names if name != self.me[0])

    def news(self, now, summary):
        """sharing's Summary of one cache."""
        self.busy.news(now, summary)

    def own(self, now, cache, aside, mark, cold=-1):
        """Whether it is set aside here; mark: another one each time that it is so anew; cold: age of a start
        that it is taken to have had. Posts that tell what this router found.
        """
        found = self.trickle.own(now, cache, aside, mark)
        return [] if found is None else [Post(to, Word(cache, found, 0, cold)) for to in self.members]

    def tick(self, now, wall):
        """Posts that are due: asks for shares."""
        posts = []
        for cache in list(self.shares.rows):
            posts += self.shares.wants(cache, now, wall, self._some)
        return posts

    def take(self, now, wall, sender, data):
        """Bytes posted by that member; Posts that answer, or Started. What cannot be read changes nothing."""
        try:
            message = DECODER.decode(data)
        except WRONG:
            return []
        if isinstance(message, Word):
            return self._word(now, message)
        return self.shares.heard(now, wall, sender, message)

    def _word(self, now, word):
        """What a finder takes for cold is so for all who did not try, or they would push it over at once."""
        sought = self.trickle.rows.get(word.cache) is not None
        self.trickle.told(now, word.cache, word.well, word.age)
        return [Started(word.cache, word.cold + word.age)] if sought and word.well and word.cold >= 0 else []

    def _some(self, count):
        return self.dice.sample(self.members, min(count, len(self.members)))

    # ---- from Control

    def others(self, cache, now):
        return self.busy.others(cache, now)

    def lead(self, name):
        """How many times busier its top cache must be before this name goes to the next, at this router."""
        drawn = blake2b((name + self.lead_of).encode(), digest_size=2, person=b"lead").digest()
        return LEAD_LEAST + (LEAD_MOST - LEAD_LEAST) * int.from_bytes(drawn, "big") / WIDTH

    def allowance(self, cache, now, cost, wall=None):
        return self.shares.allows(cache, now, now if wall is None else wall, cost)

    def sent(self, cache, now, cost):
        self.shares.sent(cache, cost)

    def tries(self, cache, now):
        return self.trickle.tries(cache, now)
