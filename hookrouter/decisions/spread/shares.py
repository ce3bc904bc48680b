"""Leases on the capacity of a cold cache: one unit for each configured router, spent by one router at a time.

Control hands out a cold cache's allowance in turns, which go round the routers (tables/turn_order.py). A unit
is the sequence of turns of one router number, and the allowance holds as long as no turn is spent twice. A
unit belongs to the router with its number, which may cede it for the time of a lease to a router that
requests one. The owner stops before it sends the grant, and resumes once the lease is over by its own clock
plus the drift of both. The lease of the requester began with its request, by its own clock, so it has ended
by then whatever the network did (Gray and Cheriton, Leases, 1989). Turns that were open when a unit changed
hands are spent by neither.
"""

from . import turns
from .messages import Post, UnitGrant, UnitRequest

HELD, ASKED, CEDED, LAPSED = "held", "asked", "ceded", "lapsed"
GIVE, ASK, GRANTED, EXPIRED = "give", "ask", "got", "over"
OWN, BORROWED = "own", "lent"

# (ownership, state, event) -> next state
TABLE = {
    (OWN, HELD, GIVE): CEDED,
    (OWN, CEDED, EXPIRED): HELD,
    (OWN, LAPSED, EXPIRED): HELD,  # a former incarnation of this router may have ceded it
    (BORROWED, LAPSED, ASK): ASKED,
    (BORROWED, ASKED, GRANTED): HELD,
    (BORROWED, ASKED, EXPIRED): LAPSED,
    (BORROWED, HELD, EXPIRED): LAPSED,
}

MAX_BORROWED = 16  # units of one cache at a time, open requests included
IDLE_BEFORE_SPARE = 5_000  # 500 ms without demand: then a router can spare its unit
MAX_LEASE_PART = 0.7  # part of a lease: a turn that opens later might come after its end
REQUESTS_PER_ROUND = 2  # members asked at a time: most have no turn that opens soon


class Unit:
    """A unit that this router may spend, has ceded or has requested. Its budget is work of the turn that is
    open.
    """

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
        # (requester, its incarnation, request number, last turn): a duplicate request gets the same answer
        self.granted = None


class ColdCache:
    """A cold cache with the units of it that concern this router."""

    __slots__ = ("born", "weight", "terms", "own_unit", "borrowed_units", "wanted_at", "refusals", "chosen")

    def __init__(self, born, weight, terms, own):
        self.born, self.weight, self.terms, self.own_unit = born, weight, terms, own
        self.borrowed_units = {}  # number of the request -> Unit
        self.wanted_at, self.refusals, self.chosen = None, 0, None


class Shares:
    """The units of all cold caches, as one router sees them. now: the router's steady clock; wall: the wall
    clock, by which turns open. Times are tenths of a millisecond.
    """

    def __init__(self, terms, incarnation, now):
        self.terms, self.incarnation, self.started_at = terms, incarnation, now
        self.requests_made, self.rows = 0, {}
        # By the owner's clock: the requester's lease, stretched by the drift of both clocks, and rounding.
        self.cede_duration = int(terms.lease * (1 + 3 * terms.drift)) + terms.slack

    # ---- caches

    def start(self, cache, born, weight, cold, now, wall):
        """Adds a cold cache that has started or is seen for the first time."""
        row = self.rows.get(cache)
        if row is not None and row.born == born:
            row.weight = weight
            return
        if wall >= born + cold.span:
            return
        # A former incarnation of this router may have ceded the unit.
        expires_at = self.started_at + self.cede_duration
        if row is not None and row.own_unit.state != HELD:
            # Its holder may not have heard that the cache started again.
            expires_at = max(expires_at, row.own_unit.expires_at)
        own = Unit(OWN, LAPSED if now < expires_at else HELD, expires_at, self.terms.number)
        row = self.rows[cache] = ColdCache(born, weight, cold, own)
        # Control may have spent the open turn without this table
        own.last_turn = turns.open_turn(row, own.number, wall, self.terms)[0]

    def forget(self, cache):
        """Removes a cache."""
        self.rows.pop(cache, None)

    # ---- time

    def step(self, unit, event):
        """Moves a unit to its next state; raises KeyError where TABLE has none."""
        unit.state = TABLE[unit.ownership, unit.state, event]

    def expire(self, row, now, wall):
        """Ends the leases that are over. Called first after any wait."""
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
        """Returns whether a send of this cost may go to the cache now, or None where the cache is not known
        as cold.
        """
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
        """Returns whether the unit's open turn has the budget for this cost."""
        turn, fresh = turns.open_turn(row, unit.number, wall, self.terms)
        if turn <= unit.last_turn or not fresh:
            return False
        if unit.turn != turn:
            unit.turn, unit.budget = turn, min(self.terms.turn_work, unit.budget + self.terms.turn_work)
        return unit.budget >= min(cost, self.terms.turn_work)

    def sent(self, cache, cost):
        """Charges a send to the unit that allowed it."""
        row = self.rows.get(cache)
        if row is not None and row.chosen is not None:
            row.chosen.budget -= cost

    # ---- moving

    def request_units(self, cache, now, wall, pick):
        """Returns requests to the members that pick(n) chooses, where sends were refused since
        the last call.
        """
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
        """Returns whether the own unit is of more use elsewhere: no demand here, and its next turn opens
        soon.
        """
        own = row.own_unit
        if own.state != HELD or own.budget < 0 or row.refusals:
            return False
        if row.wanted_at is not None and now - row.wanted_at < IDLE_BEFORE_SPARE:
            return False
        return turns.time_to_next_turn(row, own.number, wall, self.terms) < MAX_LEASE_PART * self.terms.lease

    def receive(self, now, wall, sender, message):
        """Handles a request or a grant of another member; returns the messages to post."""
        row = self.rows.get(message.cache)
        if row is None or row.born != message.born:
            return []
        self.expire(row, now, wall)
        if isinstance(message, UnitRequest):
            return self._handle_request(row, now, wall, sender, message)
        return self._handle_grant(row, message)

    def _handle_request(self, row, now, wall, sender, request):
        own, request_id = row.own_unit, (sender, request.incarnation, request.number)
        # a duplicate request, or the answer was lost
        if own.state == CEDED and own.granted[:3] == request_id:
            return [Post(sender, self._grant(row, request))]
        if not self.can_spare(row, now, wall):
            return []
        self._cede_unit(row, own, now, wall, request_id)
        return [Post(sender, self._grant(row, request))]

    def _cede_unit(self, row, own, now, wall, request_id):
        """Stops spending the own unit; called before the grant is sent."""
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
            return []  # of a former incarnation, too late, or a duplicate
        if grant.unit == self.terms.number or grant.unit >= self.terms.routers:
            return []
        if any(other.number == grant.unit and other.state == HELD for other in row.borrowed_units.values()):
            return []
        self.step(unit, GRANTED)
        unit.number, unit.last_turn = grant.unit, grant.last_turn
        return []
