"""What a cold cache bears, in units, one for each stated router: who may spend a unit, by leases.

Control hands a cold cache's allowance out in turns, which go round the routers (tables/turn_order.py). So
a unit is a row of turns, and the allowance is kept as long as no turn is spent by two. A unit belongs to the
router of its number for good. It may cede it for a lease to one that asks: it stops before it tells, and
spends again once the lease is over by its own clock with the drift of both; the asker's lease began when it
asked, by the asker's clock, so it has ended by then whatever the network did (Gray and Cheriton, Leases,
1989). Turns that were open at a change of hands are spent by neither.
"""

from . import turns
from .words import Ask, Cede, Post

HELD, ASKED, CEDED, LAPSED = "held", "asked", "ceded", "lapsed"
GIVE, ASK, GOT, OVER = "give", "ask", "got", "over"
OWN, LENT = "own", "lent"

# whose it is, state, input -> next state
TABLE = {
    (OWN, HELD, GIVE): CEDED,
    (OWN, CEDED, OVER): HELD,
    (OWN, LAPSED, OVER): HELD,  # a former life of this router may have ceded it
    (LENT, LAPSED, ASK): ASKED,
    (LENT, ASKED, GOT): HELD,
    (LENT, ASKED, OVER): LAPSED,
    (LENT, HELD, OVER): LAPSED,
}

MOST_LENT = 16  # units of one cache at once, and asks that are open
SPARE_FOR = 5_000  # 500 ms without a wish of its own: then a router has a unit to spare
SOON = 0.7  # of a lease: a turn that opens later would lapse before the asker could use it
ASKS = 2  # members in one go: most have no turn that opens soon


class Unit:
    """One that this router may spend, or has ceded, or has asked for."""

    __slots__ = ("whose", "state", "until", "unit", "after", "turn", "purse", "given")

    def __init__(self, whose, state, until, unit=None, after=-1):
        self.whose, self.state, self.until, self.unit, self.after = whose, state, until, unit, after
        self.turn, self.purse = -1, 0.0
        self.given = None  # (asker, its life, its asking, after): a doubled asking gets the same answer


class Row:
    """A cold cache."""

    __slots__ = ("born", "weight", "terms", "own", "lent", "wished", "refused", "chosen")

    def __init__(self, born, weight, terms, own):
        self.born, self.weight, self.terms, self.own = born, weight, terms, own
        self.lent = {}  # number of the asking -> Unit
        self.wished, self.refused, self.chosen = None, 0, None


class Shares:
    def __init__(self, terms, life, now):
        self.terms, self.life, self.began = terms, life, now
        self.asked, self.rows = 0, {}
        # By the ceder's clock: the asker's lease, stretched by both drifts, and what is lost to rounding.
        self.away_for = int(terms.lease * (1 + 3 * terms.drift)) + terms.slack

    # ---- caches

    def start(self, cache, born, weight, cold, now, wall):
        """It has started anew, or is met for the first time."""
        row = self.rows.get(cache)
        if row is not None and row.born == born:
            row.weight = weight
            return
        if wall >= born + cold.span:
            return
        until = self.began + self.away_for  # one just started may have ceded its unit in the life before
        if row is not None and row.own.state != HELD:
            until = max(until, row.own.until)  # whoever holds it may not have heard of the cache's start
        own = Unit(OWN, LAPSED if now < until else HELD, until, self.terms.number)
        row = self.rows[cache] = Row(born, weight, cold, own)
        own.after = turns.open_at(row, own.unit, wall, self.terms)[0]  # Control may have used it alone

    def forget(self, cache):
        self.rows.pop(cache, None)

    # ---- time

    def step(self, unit, word):
        unit.state = TABLE[unit.whose, unit.state, word]

    def look(self, row, now, wall):
        """What is over by now. The first act after any wait."""
        own = row.own
        if own.state != HELD and now >= own.until:
            self.step(own, OVER)
            own.given, own.purse = None, 0.0
            own.after = own.turn = turns.open_at(row, own.unit, wall, self.terms)[0]
        if row.lent:
            for number, unit in list(row.lent.items()):
                if now >= unit.until:
                    self.step(unit, OVER)
                    del row.lent[number]

    # ---- spending

    def allows(self, cache, now, wall, cost):
        """Whether a send of that cost may go there now; None: not a cold cache as far as is known here."""
        row = self.rows.get(cache)
        if row is None:
            return None
        if wall >= row.born + row.terms.span:
            del self.rows[cache]
            return None
        self.look(row, now, wall)
        row.wished = now
        for unit in (row.own, *row.lent.values()):
            if unit.state == HELD and self.pays(row, unit, wall, cost):
                row.chosen = unit
                return True
        row.chosen = None
        row.refused += 1
        return False

    def pays(self, row, unit, wall, cost):
        turn, fresh = turns.open_at(row, unit.unit, wall, self.terms)
        if turn <= unit.after or not fresh:
            return False
        if unit.turn != turn:
            unit.turn, unit.purse = turn, min(self.terms.lump, unit.purse + self.terms.lump)
        return unit.purse >= min(cost, self.terms.lump)

    def sent(self, cache, cost):
        row = self.rows.get(cache)
        if row is not None and row.chosen is not None:
            row.chosen.purse -= cost

    # ---- moving

    def wants(self, cache, now, wall, pick):
        """Asks of members by pick(n), where this router could not send what it had."""
        row, posts = self.rows[cache], []
        self.look(row, now, wall)
        wanted, row.refused = row.refused, 0
        for to in pick(ASKS) if wanted and len(row.lent) + ASKS <= MOST_LENT else ():
            self.asked += 1
            unit = row.lent[self.asked] = Unit(LENT, LAPSED, now + self.terms.lease)
            self.step(unit, ASK)
            posts.append(Post(to, Ask(cache, row.born, self.life, self.asked)))
        return posts

    def spare(self, row, now, wall):
        """Whether the own unit is better with another: no wish for it here, and its turn comes soon."""
        own = row.own
        if own.state != HELD or own.purse < 0 or row.refused:
            return False
        if row.wished is not None and now - row.wished < SPARE_FOR:
            return False
        return turns.until_next(row, own.unit, wall, self.terms) < SOON * self.terms.lease

    def heard(self, now, wall, sender, message):
        row = self.rows.get(message.cache)
        if row is None or row.born != message.born:
            return []
        self.look(row, now, wall)
        if isinstance(message, Ask):
            return self._ask(row, now, wall, sender, message)
        return self._cede(row, message)

    def _ask(self, row, now, wall, sender, ask):
        own, asking = row.own, (sender, ask.life, ask.number)
        if own.state == CEDED and own.given[:3] == asking:  # heard twice, or its answer was lost
            return [Post(sender, self._told(row, ask))]
        if not self.spare(row, now, wall):
            return []
        self._reduce(row, own, now, wall, asking)
        return [Post(sender, self._told(row, ask))]

    def _reduce(self, row, own, now, wall, asking):
        """Before it is told: from here on this router spends none of it."""
        self.step(own, GIVE)
        own.until, own.purse = now + self.away_for, 0.0
        own.after = turns.open_at(row, own.unit, wall, self.terms)[0]
        own.given = (*asking, own.after)

    def _told(self, row, ask):
        own = row.own
        return Cede(ask.cache, row.born, ask.life, ask.number, own.unit, own.given[3])

    def _cede(self, row, cede):
        unit = row.lent.get(cede.number)
        if cede.life != self.life or unit is None or unit.state != ASKED:
            return []  # of a former life, too late, or told twice
        if cede.unit == self.terms.number or cede.unit >= self.terms.routers:
            return []
        if any(other.unit == cede.unit and other.state == HELD for other in row.lent.values()):
            return []
        self.step(unit, GOT)
        unit.unit, unit.after = cede.unit, cede.after
        return []
