"""What routers tell each other of the load of caches, as the Control of one router asks for it.

The executor feeds it. Control asks it at each send, which costs one table lookup.
"""

from hashlib import blake2b
from random import Random

import msgspec

from ...control.cold import COLD_BURST, COLD_PACE
from .load_estimates import LoadEstimates
from .messages import ColdTerms, Message, Post, ProbeResult, SpreadTerms, Started
from .shares import Shares
from .trickle import Trickle

# In multiples of the load. Each name has a fixed lead of its own between these bounds at each router, so a
# cache that is somewhat busy loses some of its lookups, always the same ones, instead of all at one moment.
MIN_LEAD, MAX_LEAD = 1.0, 2.0
LEAD_RANGE = 1 << 16  # resolution of a drawn lead

DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()
DECODE_ERRORS = msgspec.ValidationError, msgspec.DecodeError


def spread_terms(terms, **more):
    """Builds SpreadTerms from a router's Terms."""
    topology = terms.topology
    zone_routers, routers = (
        max(1, topology.routers_by_zone[topology.zones.index(topology.zone)]),
        max(1, topology.routers),
    )
    turn_work = max([1.0, *(kind.latency_budget for kind in terms.kinds if not kind.write)])

    def cold(share, span, multiple, users):
        turn_rate = routers / (users * turn_work)
        pace = multiple * COLD_PACE
        return ColdTerms(
            share,
            max(1, span),
            pace * turn_rate,
            (multiple - pace) * COLD_BURST * terms.overload_duration * turn_rate,
        )

    return SpreadTerms(
        number=topology.number,
        routers=routers,
        zone=topology.zone,
        turn_work=turn_work,
        cold=cold(terms.cold_share, terms.cold_duration, terms.overload_multiple, zone_routers),
        parent_cold=cold(
            terms.parent_cold_share, terms.parent_cold_duration, terms.parent_overload_multiple, routers
        ),
        parent_machine_type=topology.parent_machine_type,
        origin_machine_type=topology.origin_machine_type,
    )._replace(**more)


class Spread:
    """Decides by the state that members of the fleet exchange. terms: SpreadTerms; member_id: (name,
    incarnation) of this member; now: its steady clock. Times are tenths of a millisecond.
    """

    # Hashed with a name for its lead; by default the router's name, since a single name may be the whole load
    # of a cache.
    lead_salt = None

    def __init__(self, terms, member_id, seed, now=0):
        self.terms, self.member_id, self.rng = terms, member_id, Random(seed)
        self.loads, self.trickle = LoadEstimates(terms), Trickle(member_id[0])
        self.shares = Shares(terms, member_id[1], now)
        if self.lead_salt is None:
            self.lead_salt = member_id[0]
        self.members = ()  # other members that may be asked
        self.machine_types = {}  # cache -> its machine type

    # ---- from the executor

    def listed(self, now, caches, wall=None, whole=False):
        """Updates the list of caches, in whole or by its changes. Starts of caches are given by the wall
        clock.
        """
        wall = now if wall is None else wall
        if whole:
            for cache_id in set(self.machine_types) - {cache.id for cache in caches}:
                self._remove(cache_id)
        for cache in caches:
            if cache.phase == "gone":
                self._remove(cache.id)
                continue
            self.machine_types[cache.id] = cache.machine_type
            if cache.machine_type == self.terms.origin_machine_type:
                continue
            if cache.machine_type != self.terms.parent_machine_type:
                self.loads.listed(cache.id, max(cache.weight, 0.01))
            cold = (
                self.terms.parent_cold
                if cache.machine_type == self.terms.parent_machine_type
                else self.terms.cold
            )
            if cache.born and cold is not None:
                self.shares.start(cache.id, cache.born, max(cache.weight, 0.01), cold, now, wall)

    def _remove(self, cache):
        self.machine_types.pop(cache, None)
        self.loads.forget(cache)
        self.shares.forget(cache)
        self.trickle.rows.pop(cache, None)

    def set_members(self, names):
        """Sets the names of the live members, this one included, in an order that all share."""
        self.trickle.set_members(tuple(names))
        self.members = tuple(name for name in names if name != self.member_id[0])

    def news(self, now, summary):
        """Records sharing's Summary of one cache."""
        self.loads.record(now, summary)

    def observe(self, now, cache, aside, attempt, cold_age=-1):
        """Records whether this router has set the cache aside, and returns messages with the result of its
        own probe. attempt: changes each time that the cache is set aside again; cold_age: age of the start
        that the cache is taken to have had, or -1.
        """
        found = self.trickle.observe(now, cache, aside, attempt)
        return (
            []
            if found is None
            else [Post(recipient, ProbeResult(cache, found, 0, cold_age)) for recipient in self.members]
        )

    def tick(self, now, wall):
        """Returns the messages that are due: requests for units."""
        posts = []
        for cache in list(self.shares.rows):
            posts += self.shares.request_units(cache, now, wall, self._pick_members)
        return posts

    def receive(self, now, wall, sender, data):
        """Handles the bytes that a member posted; returns messages to post, or Started. Invalid ones are
        ignored.
        """
        try:
            message = DECODER.decode(data)
        except DECODE_ERRORS:
            return []
        if isinstance(message, ProbeResult):
            return self._receive_probe_result(now, message)
        return self.shares.receive(now, wall, sender, message)

    def _receive_probe_result(self, now, result):
        """Where the prober takes the cache for cold, members that did not probe do so too, so as not to
        overload it all at once.
        """
        is_sought = self.trickle.rows.get(result.cache) is not None
        self.trickle.receive(now, result.cache, result.healthy, result.age)
        return (
            [Started(result.cache, result.cold_age + result.age)]
            if is_sought and result.healthy and result.cold_age >= 0
            else []
        )

    def _pick_members(self, count):
        return self.rng.sample(self.members, min(count, len(self.members)))

    # ---- from Control

    def others(self, cache, now):
        """Returns the others' sends in flight at the cache, or None where nothing was reported lately."""
        return self.loads.others(cache, now)

    def lead(self, name):
        """Returns how many times more loaded its top cache must be before this name moves to the next at this
        router.
        """
        drawn = blake2b((name + self.lead_salt).encode(), digest_size=2, person=b"lead").digest()
        return MIN_LEAD + (MAX_LEAD - MIN_LEAD) * int.from_bytes(drawn, "big") / LEAD_RANGE

    def allowance(self, cache, now, cost, wall=None):
        """Returns whether a cold cache may get a send of this cost now, or None where it is not cold."""
        return self.shares.allows(cache, now, now if wall is None else wall, cost)

    def sent(self, cache, now, cost):
        """Charges a send to a cold cache."""
        self.shares.sent(cache, cost)

    def tries(self, cache, now):
        """Returns whether this router may send to the cache; False while another member probes it."""
        return self.trickle.tries(cache, now)
