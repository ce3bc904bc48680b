"""What a cold cache bears, in units, one for each stated router: who may spend a unit, by leases.

Control hands a cold cache's allowance out in turns, which go round the routers (tables/turn_order.py). So
a unit is a row of turns, and the allowance is kept as long as no turn is spent by two. A unit belongs to the
router of its number for good. It may cede it for a lease to one that asks: it stops before it tells, and
spends again once the lease is over by its own clock with the drift of both; the asker's lease began when it
asked, by the asker's clock, so it has ended by then whatever the network did (Gray and Cheriton, Leases,
1989). Turns that were open at a change of hands are spent by neither.
"""

from . import turns
from .messages import Post, UnitGrant, UnitRequest

HELD, ASKED, CEDED, LAPSED = "held", "asked", "ceded", "lapsed"
GIVE, ASK, GRANTED, EXPIRED = "give", "ask", "got", "over"
OWN, BORROWED = "own", "lent"

# whose it is, state, input -> next state
TABLE = {
    (OWN, HELD, GIVE): CEDED,
    (OWN, CEDED, EXPIRED): HELD,
    (OWN, LAPSED, EXPIRED): HELD,  # a former life of this router may have ceded it
    (BORROWED, LAPSED, ASK): ASKED,
    (BORROWED, ASKED, GRANTED): HELD,
    (BORROWED, ASKED, EXPIRED): LAPSED,
    (BORROWED, HELD, EXPIRED): LAPSED,
}

MAX_BORROWED = 16  # units of one cache at once, and asks that are open
IDLE_BEFORE_SPARE = 5_000  # 500 ms without a wish of its own: then a router has a unit to spare
MAX_LEASE_PART = 0.7  # of a lease: a turn that opens later would lapse before the asker could use it
REQUESTS_PER_ROUND = 2  # members in one go: most have no turn that opens soon


class Unit:
    """One that this router may spend, or has ceded, or has asked for."""

    __slots__ = ("ownership", "state", "expires_at", "number", "last_turn", "turn", "budget", "granted")

    def __init__(self, ownership, state, expires_at, number=None, last_turn=-1):
        self.ownership, self.state, self.expires_at, self.number, self.last_turn = (
            ownership,
            state,
            expires_at,
            number,
            last_turn,
        )
        self.turn, self.budget = -1, 0.0
        self.granted = None  # (asker, its life, its asking, after): a doubled asking gets the same answer


class ColdCache:
    """A cold cache."""

    __slots__ = ("born", "weight", "terms", "own_unit", "borrowed_units", "wanted_at", "refusals", "chosen")

    def __init__(self, born, weight, terms, own):
        self.born, self.weight, self.terms, self.own_unit = born, weight, terms, own
        self.borrowed_units = {}  # number of the asking -> Unit
        self.wanted_at, self.refusals, self.chosen = None, 0, None


class Shares:
    def __init__(self, terms, incarnation, now):
        self.terms, self.incarnation, self.started_at = terms, incarnation, now
        self.requests_made, self.rows = 0, {}
        # By the ceder's clock: the asker's lease, stretched by both drifts, and what is lost to rounding.
        self.cede_duration = int(terms.lease * (1 + 3 * terms.drift)) + terms.slack

    # ---- caches

    def start(self, cache, born, weight, cold, now, wall):
        """It has started anew, or is met for the first time."""
        row = self.rows.get(cache)
        if row is not None and row.born == born:
            row.weight = weight
            return
        if wall >= born + cold.span:
            return
        expires_at = (
            self.started_at + self.cede_duration
        )  # one just started may have ceded its unit in the life before
        if row is not None and row.own_unit.state != HELD:
            expires_at = max(
                expires_at, row.own_unit.expires_at
            )  # whoever holds it may not have heard of the cache's start
        own = Unit(OWN, LAPSED if now < expires_at else HELD, expires_at, self.terms.number)
        row = self.rows[cache] = ColdCache(born, weight, cold, own)
        own.last_turn = turns.open_turn(row, own.number, wall, self.terms)[
            0
        ]  # Control may have used it alone

    def forget(self, cache):
        self.rows.pop(cache, None)

    # ---- time

    def step(self, unit, event):
        unit.state = TABLE[unit.ownership, unit.state, event]

    def expire(self, row, now, wall):
        """What is over by now. The first act after any wait."""
        own = row.own_unit
        if own.state != HELD and now >= own.expires_at:
            self.step(own, EXPIRED)
            own.granted, own.budget = None, 0.0
            own.last_turn = own.turn = turns.open_turn(row, own.number, wall, self.terms)[0]
        if row.borrowed_units:
            for number, unit in list(row.borrowed_units.items()):
                if now >= unit.expires_at:
                    self.step(unit, EXPIRED)
                    del row.borrowed_units[number]

    # ---- spending

    def allows(self, cache, now, wall, cost):
        """Whether a send of that cost may go there now; None: not a cold cache as far as is known here."""
        row = self.rows.get(cache)
        if row is None:
            return None
        if wall >= row.born + row.terms.span:
            del self.rows[cache]
            return None
        self.expire(row, now, wall)
        row.wanted_at = now
        for unit in (row.own_unit, *row.borrowed_units.values()):
            if unit.state == HELD and self.can_pay(row, unit, wall, cost):
                row.chosen = unit
                return True
        row.chosen = None
        row.refusals += 1
        return False

    def can_pay(self, row, unit, wall, cost):
        turn, fresh = turns.open_turn(row, unit.number, wall, self.terms)
        if turn <= unit.last_turn or not fresh:
            return False
        if unit.turn != turn:
            unit.turn, unit.budget = turn, min(self.terms.turn_work, unit.budget + self.terms.turn_work)
        return unit.budget >= min(cost, self.terms.turn_work)

    def sent(self, cache, cost):
        row = self.rows.get(cache)
        if row is not None and row.chosen is not None:
            row.chosen.budget -= cost

    # ---- moving

    def request_units(self, cache, now, wall, pick):
        """Asks of members by pick(n), where this router could not send what it had."""
        row, posts = self.rows[cache], []
        self.expire(row, now, wall)
        shortfall, row.refusals = row.refusals, 0
        for recipient in (
            pick(REQUESTS_PER_ROUND)
            if shortfall and len(row.borrowed_units) + REQUESTS_PER_ROUND <= MAX_BORROWED
            else ()
        ):
            self.requests_made += 1
            unit = row.borrowed_units[self.requests_made] = Unit(BORROWED, LAPSED, now + self.terms.lease)
            self.step(unit, ASK)
            posts.append(Post(recipient, UnitRequest(cache, row.born, self.incarnation, self.requests_made)))
        return posts

    def can_spare(self, row, now, wall):
        """Whether the own unit is better with another: no wish for it here, and its turn comes soon."""
        own = row.own_unit
        if own.state != HELD or own.budget < 0 or row.refusals:
            return False
        if row.wanted_at is not None and now - row.wanted_at < IDLE_BEFORE_SPARE:
            return False
        return turns.time_to_next_turn(row, own.number, wall, self.terms) < MAX_LEASE_PART * self.terms.lease

    def receive(self, now, wall, sender, message):
        row = self.rows.get(message.cache)
        if row is None or row.born != message.born:
            return []
        self.expire(row, now, wall)
        if isinstance(message, UnitRequest):
            return self._handle_request(row, now, wall, sender, message)
        return self._handle_grant(row, message)

    def _handle_request(self, row, now, wall, sender, request):
        own, request_id = row.own_unit, (sender, request.incarnation, request.number)
        if own.state == CEDED and own.granted[:3] == request_id:  # heard twice, or its answer was lost
            return [Post(sender, self._grant(row, request))]
        if not self.can_spare(row, now, wall):
            return []
        self._cede_unit(row, own, now, wall, request_id)
        return [Post(sender, self._grant(row, request))]

    def _cede_unit(self, row, own, now, wall, request_id):
        """Before it is told: from here on this router spends none of it."""
        self.step(own, GIVE)
        own.expires_at, own.budget = now + self.cede_duration, 0.0
        own.last_turn = turns.open_turn(row, own.number, wall, self.terms)[0]
        own.granted = (*request_id, own.last_turn)

    def _grant(self, row, request):
        own = row.own_unit
        return UnitGrant(
            request.cache, row.born, request.incarnation, request.number, own.number, own.granted[3]
        )

    def _handle_grant(self, row, grant):
        unit = row.borrowed_units.get(grant.number)
        if grant.incarnation != self.incarnation or unit is None or unit.state != ASKED:
            return []  # of a former life, too late, or told twice
        if grant.unit == self.terms.number or grant.unit >= self.terms.routers:
            return []
        if any(other.number == grant.unit and other.state == HELD for other in row.borrowed_units.values()):
            return []
        self.step(unit, GRANTED)
        unit.number, unit.last_turn = grant.unit, grant.last_turn
        return []
