"""The gate of a gateway: one admission at a time, in order; a table of states says how others are treated.

Slotted access with a known number of comers, earliest deadline first while that is feasible. One admission at
a time is the bound on the rate: the next begins when the last has ended, so what is borne is measured and not
set (what feeds a storm is work that is begun, given up and asked for again: Bronson and others, "Metastable
failures in distributed systems", 2021). Who is not admitted keeps no state here but one row.
"""

from ...errors.wire import InvalidTicket
from . import slots, tickets
from . import words as w
from .comer import CAP, EACH
from .costs import Costs
from .queue import FORMER, NEVER, NEW, URGENT, Queue, Row

HOLD = 10_000  # 1 s: one that comes early is answered that late; less than a follower's patience (1.8 s)
FORGET = 50_000  # 5 s after its slot one that did not come has no place any more
LAPSE, LEAST_LAPSE = 4, 5_000  # times its mean, at least 0.5 s: one that does not end is waited for no longer
MARGIN = 1_000  # 0.1 s: from an admission to the renewal that it makes possible
TOKENS, TOKEN_EVERY = 4, 5_000  # connections of one flow in a row, and one more each half second
MOST_KEPT = 20_000  # tickets of former lives remembered as used, and flows: two for each place

RECOVERING, PACING, OPEN, OVERRUN = "recovering", "pacing", "open", "overrun"
GATHERED, ALL_BACK, MANY, HOPELESS, IN_TIME = "gathered", "all back", "many", "hopeless", "in time"
TABLE = {
    (RECOVERING, GATHERED): PACING,
    (PACING, ALL_BACK): OPEN,
    (PACING, HOPELESS): OVERRUN,  # someone cannot be served before its lease is over
    (OVERRUN, IN_TIME): PACING,
    (OVERRUN, ALL_BACK): OPEN,
    (OPEN, MANY): PACING,
}


def nowhere(now, waiting, rate):
    return ""


class Flow:
    """What one name has cost: tokens for its connections, and how often it was admitted in this storm."""

    __slots__ = ("tokens", "at", "admitted")

    def __init__(self, now):
        self.tokens, self.at, self.admitted = TOKENS, now, 0


class Gate:
    """Events give lists of effects."""

    near = slots.NEAR

    def __init__(self, terms, now, known, dice, elsewhere=None):
        """known: how many hung on this gateway before it started. dice: random(). elsewhere(now, waiting,
        rate): a gateway that one more should go to, or "".
        """
        self.terms, self.dice, self.known, self.started = terms, dice, known, now
        self.elsewhere = elsewhere or nowhere
        self.state = RECOVERING if known else OPEN
        self.queue, self.costs = Queue(), Costs()
        self.number, self.turns = 0, 0  # numbers given; admissions begun: turns that are over
        self.busy, self.free_at = None, now  # (conn, name, how, began) of the admission under way
        self.places = {}  # name -> place by a former ticket, of one that did not come in time
        self.spent, self.back, self.flows = {}, set(), {}  # flows: name -> its Flow
        # Comers knock within that after a start: most are known before slots are dealt.
        self.gather = min(HOLD, max(CAP, EACH * known))
        self.counts, self.took = {}, 0  # took: what all that ended have cost

    # ---- asked

    def gap(self):
        return self.costs.gap(self.queue.counts, self.terms.share)

    def horizon(self):
        """Until all that are known and not back are served, from now."""
        return max(len(self.queue), self.known - len(self.back)) * self.gap()

    def facts(self):
        return {
            "state": self.state,
            "waiting": len(self.queue),
            "here": len(self.queue.present),
            "known": self.known,
            "back": len(self.back),
            "rate": round(10_000 / self.gap(), 1),
            "took_ms": self.took // 10,
            "counts": dict(sorted(self.counts.items())),
        }

    def load(self):
        """(waiting, room, rate a second) for the neighbours' queues."""
        room = self.terms.most - len(self.queue) if self.state in (OPEN, PACING) else 0
        return len(self.queue), room, 10_000 / self.gap()

    # ---- told

    def comes(self, now, come):
        if not self._has_token(now, come.name):
            self._count("flows_over")
            return [w.Shut(come.conn, "too often")]
        row, effects = self.queue.rows.get(come.name), []
        if row is not None and row.conn == come.conn:
            return []  # told twice
        if row is None:
            if len(self.queue) >= self.terms.most:
                return [self._tell_stranger(come)]
            row = self._enter(now, come)
        else:
            if row.conn is not None:  # the newer one counts: the older may be dead and not know it
                effects.append(w.Shut(row.conn, "came anew"))
                self.queue.leaves(row)
            row.until = now + come.left if come.left > 0 else NEVER
            ticket = self._ticket(come)  # of another gateway, or of before: it came here without, once
            if ticket is not None:
                row.base = min(row.base, (FORMER, ticket.life, ticket.turn, row.number))
            self.queue.again(row, self._key(now, come, row.base), come.how)
        row.early = row.due > now + self._near() * self.gap()
        if row.early:
            self._count("early")  # held, so that coming early and often is answered once a hold
        row.since = now
        self.queue.comes(row, come.conn)
        effects += self.pump(now)
        if self.state == OPEN and len(self.queue.present) > self.near:
            self._step(MANY)
        if row.conn is not None and not row.early:
            effects += self._answer(now, row)
        return effects

    def began(self, now, how):
        """What the one that was admitted is given in truth: the order has moved since it came."""
        if self.busy is not None:
            conn, name, _, since = self.busy
            self.busy = conn, name, how, since

    def ended(self, now, conn, took=None):
        """The one that was admitted is up to date; took: where it is not from then to now."""
        if self.busy is None or self.busy[0] != conn:
            return []
        _, _, how, began = self.busy
        took = now - began if took is None else took
        self.costs.add(how, took)
        self.took += took
        self._count(f"given_{how}")
        self.busy, self.free_at = None, began + int(took / self.terms.share)
        return self.pump(now)

    def gone(self, now, conn):
        """A connection is over, whatever it waited for."""
        if self.busy is not None and self.busy[0] == conn:
            self.busy, self.free_at = None, now
            self._count("gone_in_mid_admission")
        row = self.queue.by_conn.get(conn)
        if row is not None:
            self.queue.leaves(row)
            row.due = min(row.due, now)
        return self.pump(now)

    def tick(self, now):
        """Called while anybody waits, each few slots."""
        if self.busy is not None:
            _, _, how, began = self.busy
            lapse = max(LEAST_LAPSE, LAPSE * self.costs.of(how))
            if now - began > lapse:
                self._count("lapsed")
                self.busy, self.free_at = None, now
        effects = self.pump(now)
        if self.state == RECOVERING and self._gathered(now):
            self._step(GATHERED)
            for key in list(self.queue.present):
                effects += self._answer(now, self.queue.by_key[key])
        elif self.state != RECOVERING:
            for key in list(self.queue.present):
                row = self.queue.by_key[key]
                if now - row.since >= HOLD:  # its patience ends; the early one's turn is not sooner for it
                    row.early = False
                    effects += self._answer(now, row, True)
        for row in [row for row in self.queue.rows.values() if row.conn is None and now > row.due + FORGET]:
            self.queue.drop(row)
            self._count("forgotten")
            if row.base[0] == FORMER and len(self.places) < MOST_KEPT:
                self.places[row.name] = row.base  # it need not show that ticket anew
        self._judge(now)
        return effects

    def wake(self, now):
        """When the next may be admitted, if only time is waited for; else None."""
        if self.busy is None and self.queue.present:
            return max(now, self.free_at)
        return None

    def settled(self):
        """Nothing to look at before somebody comes."""
        return self.state == OPEN and not self.queue.rows and self.busy is None

    # ---- the order

    def _enter(self, now, come):
        ticket = self._ticket(come)
        self.number += 1
        until = now + come.left if come.left > 0 else NEVER
        # One whose lease cannot be kept is behind those that hold theirs: they will need it sooner.
        kept = len(self.queue.present) * self.gap() + self.costs.of(come.how) <= come.left
        key = (NEW, self._flow(now, come.name).admitted, until if kept else NEVER, self.number)
        if ticket is not None:
            key = (FORMER, ticket.life, ticket.turn, self.number)
        key = min(key, self.places.pop(come.name, key))
        row = Row(come.name, key, self.number, come.how, until, now)
        row.key = self._key(now, come, key)
        self.queue.add(row)
        return row

    def _key(self, now, come, key):
        """Its place; ahead where its lease would be over by then, and can still be kept. Once a storm."""
        if come.left <= 0 or self._flow(now, come.name).admitted:
            return key
        gap, own = self.gap(), self.costs.of(come.how) + MARGIN
        missing = max(0, self.known - len(self.back) - len(self.queue)) if self.state == RECOVERING else 0
        urgent = (URGENT, now + come.left, 0, key[3])
        if (self.queue.index(key) + missing) * gap + own > come.left and self.queue.index(
            urgent
        ) * gap + own <= come.left:
            return urgent
        return key

    def _flow(self, now, name):
        flow = self.flows.get(name)
        if flow is None:
            flow = self.flows[name] = Flow(now)
            if len(self.flows) > MOST_KEPT:
                del self.flows[next(iter(self.flows))]
        return flow

    def _ticket(self, come):
        """The ticket, where it gives a place in the order; one of this life has its row, or is used up."""
        if not come.ticket:
            return None
        try:
            ticket = tickets.read(self.terms.key, come.ticket, come.name)
        except InvalidTicket:
            self._count("unsealed")
            return None
        if (ticket.gateway, ticket.life) == (self.terms.name, self.terms.life):
            return None
        mark = ticket.gateway, ticket.life, ticket.number
        if mark in self.spent:
            self._count("used_tickets")
            return None
        self.spent[mark] = True
        if len(self.spent) > MOST_KEPT:
            del self.spent[next(iter(self.spent))]
        return ticket

    # ---- the acts

    def pump(self, now):
        """The next one, if it is time."""
        if self.busy is not None or now < self.free_at:
            return []
        while (row := self.queue.first()) is not None:
            if row.key[0] == URGENT and now + self.costs.of(row.how) > row.until:
                # Not begun in vain while others can be kept: to where it stood without a lease.
                self._count("not_in_time")
                row.late, row.until = True, NEVER
                self.queue.again(row, row.base, row.how)
                continue
            conn = row.conn
            self.queue.drop(row)
            self.busy = conn, row.name, row.how, now
            self.turns += 1
            self.back.add(row.name)
            self._flow(now, row.name).admitted += 1
            self._count("admitted")
            return [w.Admit(conn, row.name, row.how)]
        return []

    def _near(self):
        """Slots that one may wait where it is."""
        return max(1, min(self.near, int(HOLD / self.gap())))

    def _answer(self, now, row, over=False):
        """Near its slot it waits where it is; else, or where that is over, it is told when to come."""
        index, gap = self.queue.index(row.key), self.gap()
        if not over and (self.state in (RECOVERING, OPEN) or index < self._near()):
            return []
        wait = slots.told(index, gap, self.dice, self._near() // 2)
        row.late = row.until == NEVER or row.until < now + index * gap
        row.due = now + wait
        ticket = tickets.Ticket(self.terms.name, self.terms.life, row.number, self.turns + index, row.name)
        self._count("told")
        conn = row.conn
        self.queue.leaves(row)
        there = self.elsewhere(now, index, 10_000 / gap)
        text = tickets.write(self.terms.key, ticket)
        return [w.Tell(conn, wait, text, row.late, max(self.known, len(self.back)), there)]

    def _tell_stranger(self, come):
        self._count("no_place")
        wait = int((1 + self.dice.random()) * self.terms.most * self.gap())
        return w.Tell(come.conn, wait, "", True, max(self.known, len(self.back)))

    def _has_token(self, now, name):
        flow = self._flow(now, name)
        gained = (now - flow.at) // TOKEN_EVERY
        flow.tokens, flow.at = min(TOKENS, flow.tokens + gained), flow.at + gained * TOKEN_EVERY
        if flow.tokens < 1:
            return False
        flow.tokens -= 1
        return True

    # ---- the state

    def _gathered(self, now):
        """All that are known are there and what they cost too, or they had the time that a return takes."""
        all_here = len(self.back) + len(self.queue) >= self.known
        measured = all(self.costs.measured[how] for how, count in self.queue.counts.items() if count)
        return (all_here and measured) or now >= self.started + self.gather

    def _judge(self, now):
        if self.state in (PACING, OVERRUN):
            late = any(row.late for row in self.queue.rows.values())
            self._step(HOPELESS if late else IN_TIME)
            if not self.queue.rows and (
                len(self.back) >= self.known or now > self.started + self.gather + self.horizon() + FORGET
            ):
                self._step(ALL_BACK)

    def _step(self, word):
        state = TABLE.get((self.state, word))
        if state is not None:
            self.state = state
            self._count(f"state_{state}")
            if state == OPEN:
                self.flows.clear()  # the storm is over

    def _count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1
