"""The gate of a gateway: one admission at a time, in order; a table of states says how others are treated.

Slotted access with a known number of comers, earliest deadline first while that is feasible. One admission at
a time is the bound on the rate: the next begins when the last has ended, so what is borne is measured and not
set (what feeds a storm is work that is begun, given up and asked for again: Bronson and others, "Metastable
failures in distributed systems", 2021). Who is not admitted keeps no state here but one row.
"""

from ...errors.wire import InvalidTicket
from . import messages, slots, tickets
from .costs import Costs
from .queue import FORMER, NEVER, NEW, URGENT, Queue, Row
from .reconnect import CAP_PER_FOLLOWER, MIN_CAP

MAX_HOLD = 10_000  # 1 s: one that comes early is answered that late; less than a follower's patience (1.8 s)
NO_SHOW_TIMEOUT = 50_000  # 5 s after its slot one that did not come has no place any more
LAPSE_FACTOR, MIN_LAPSE = (
    4,
    5_000,
)  # times its mean, at least 0.5 s: one that does not end is waited for no longer
RENEWAL_MARGIN = 1_000  # 0.1 s: from an admission to the renewal that it makes possible
BUCKET_SIZE, TOKEN_INTERVAL = 4, 5_000  # connections of one flow in a row, and one more each half second
MAX_REMEMBERED = 20_000  # tickets of former lives remembered as used, and flows: two for each place

RECOVERING, PACING, OPEN, OVERRUN = "recovering", "pacing", "open", "overrun"
GATHERED, ALL_BACK, CROWDED, DEADLINE_MISSED, DEADLINES_MET = (
    "gathered",
    "all back",
    "many",
    "hopeless",
    "in time",
)
TABLE = {
    (RECOVERING, GATHERED): PACING,
    (PACING, ALL_BACK): OPEN,
    (PACING, DEADLINE_MISSED): OVERRUN,  # someone cannot be served before its lease is over
    (OVERRUN, DEADLINES_MET): PACING,
    (OVERRUN, ALL_BACK): OPEN,
    (OPEN, CROWDED): PACING,
}


def no_alternative(now, waiting, rate):
    return ""


class Flow:
    """What one name has cost: tokens for its connections, and how often it was admitted in this storm."""

    __slots__ = ("tokens", "refilled_at", "admitted")

    def __init__(self, now):
        self.tokens, self.refilled_at, self.admitted = BUCKET_SIZE, now, 0


class Gate:
    """Events give lists of effects."""

    near = slots.HOLD_SLOTS

    def __init__(self, terms, now, expected, rng, elsewhere=None):
        """known: how many hung on this gateway before it started. dice: random(). elsewhere(now, waiting,
        rate): a gateway that one more should go to, or "".
        """
        self.terms, self.rng, self.expected, self.started = terms, rng, expected, now
        self.elsewhere = elsewhere or no_alternative
        self.state = RECOVERING if expected else OPEN
        self.queue, self.costs = Queue(), Costs()
        self.last_number, self.turns = 0, 0  # numbers given; admissions begun: turns that are over
        self.current, self.free_at = None, now  # (conn, name, how, began) of the admission under way
        self.former_places = {}  # name -> place by a former ticket, of one that did not come in time
        self.used_tickets, self.returned, self.flows = {}, set(), {}  # flows: name -> its Flow
        # Comers knock within that after a start: most are known before slots are dealt.
        self.gather_time = min(MAX_HOLD, max(MIN_CAP, CAP_PER_FOLLOWER * expected))
        self.counts, self.total_duration = {}, 0  # took: what all that ended have cost

    # ---- asked

    def gap(self):
        return self.costs.gap(self.queue.counts, self.terms.share)

    def horizon(self):
        """Until all that are known and not back are served, from now."""
        return max(len(self.queue), self.expected - len(self.returned)) * self.gap()

    def facts(self):
        return {
            "state": self.state,
            "waiting": len(self.queue),
            "here": len(self.queue.present),
            "known": self.expected,
            "back": len(self.returned),
            "rate": round(10_000 / self.gap(), 1),
            "took_ms": self.total_duration // 10,
            "counts": dict(sorted(self.counts.items())),
        }

    def load(self):
        """(waiting, room, rate a second) for the neighbours' queues."""
        room = self.terms.max_waiting - len(self.queue) if self.state in (OPEN, PACING) else 0
        return len(self.queue), room, 10_000 / self.gap()

    # ---- told

    def arrived(self, now, arrival):
        if not self._take_token(now, arrival.name):
            self._count("flows_over")
            return [messages.Close(arrival.conn, "too often")]
        row, effects = self.queue.rows.get(arrival.name), []
        if row is not None and row.conn == arrival.conn:
            return []  # told twice
        if row is None:
            if len(self.queue) >= self.terms.max_waiting:
                return [self._defer_without_place(arrival)]
            row = self._enqueue(now, arrival)
        else:
            if row.conn is not None:  # the newer one counts: the older may be dead and not know it
                effects.append(messages.Close(row.conn, "came anew"))
                self.queue.detach(row)
            row.lease_end = now + arrival.lease_left if arrival.lease_left > 0 else NEVER
            ticket = self._read_ticket(
                arrival
            )  # of another gateway, or of before: it came here without, once
            if ticket is not None:
                row.base_key = min(row.base_key, (FORMER, ticket.incarnation, ticket.turn, row.number))
            self.queue.move(row, self._order_key(now, arrival, row.base_key), arrival.transfer)
        row.early = row.due > now + self._hold_limit() * self.gap()
        if row.early:
            self._count("early")  # held, so that coming early and often is answered once a hold
        row.arrived_at = now
        self.queue.attach(row, arrival.conn)
        effects += self.admit_next(now)
        if self.state == OPEN and len(self.queue.present) > self.near:
            self._step(CROWDED)
        if row.conn is not None and not row.early:
            effects += self._answer(now, row)
        return effects

    def set_transfer(self, now, transfer):
        """What the one that was admitted is given in truth: the order has moved since it came."""
        if self.current is not None:
            conn, name, _, since = self.current
            self.current = conn, name, transfer, since

    def completed(self, now, conn, duration=None):
        """The one that was admitted is up to date; took: where it is not from then to now."""
        if self.current is None or self.current[0] != conn:
            return []
        _, _, transfer, began = self.current
        duration = now - began if duration is None else duration
        self.costs.add(transfer, duration)
        self.total_duration += duration
        self._count(f"given_{transfer}")
        self.current, self.free_at = None, began + int(duration / self.terms.share)
        return self.admit_next(now)

    def disconnected(self, now, conn):
        """A connection is over, whatever it waited for."""
        if self.current is not None and self.current[0] == conn:
            self.current, self.free_at = None, now
            self._count("gone_in_mid_admission")
        row = self.queue.by_conn.get(conn)
        if row is not None:
            self.queue.detach(row)
            row.due = min(row.due, now)
        return self.admit_next(now)

    def tick(self, now):
        """Called while anybody waits, each few slots."""
        if self.current is not None:
            _, _, transfer, began = self.current
            lapse = max(MIN_LAPSE, LAPSE_FACTOR * self.costs.mean_of(transfer))
            if now - began > lapse:
                self._count("lapsed")
                self.current, self.free_at = None, now
        effects = self.admit_next(now)
        if self.state == RECOVERING and self._gathered(now):
            self._step(GATHERED)
            for key in list(self.queue.present):
                effects += self._answer(now, self.queue.by_key[key])
        elif self.state != RECOVERING:
            for key in list(self.queue.present):
                row = self.queue.by_key[key]
                if (
                    now - row.arrived_at >= MAX_HOLD
                ):  # its patience ends; the early one's turn is not sooner for it
                    row.early = False
                    effects += self._answer(now, row, True)
        for row in [
            row for row in self.queue.rows.values() if row.conn is None and now > row.due + NO_SHOW_TIMEOUT
        ]:
            self.queue.remove(row)
            self._count("forgotten")
            if row.base_key[0] == FORMER and len(self.former_places) < MAX_REMEMBERED:
                self.former_places[row.name] = row.base_key  # it need not show that ticket anew
        self._update_state(now)
        return effects

    def next_wake(self, now):
        """When the next may be admitted, if only time is waited for; else None."""
        if self.current is None and self.queue.present:
            return max(now, self.free_at)
        return None

    def is_idle(self):
        """Nothing to look at before somebody comes."""
        return self.state == OPEN and not self.queue.rows and self.current is None

    # ---- the order

    def _enqueue(self, now, arrival):
        ticket = self._read_ticket(arrival)
        self.last_number += 1
        lease_end = now + arrival.lease_left if arrival.lease_left > 0 else NEVER
        # One whose lease cannot be kept is behind those that hold theirs: they will need it sooner.
        kept = (
            len(self.queue.present) * self.gap() + self.costs.mean_of(arrival.transfer) <= arrival.lease_left
        )
        key = (NEW, self._flow(now, arrival.name).admitted, lease_end if kept else NEVER, self.last_number)
        if ticket is not None:
            key = (FORMER, ticket.incarnation, ticket.turn, self.last_number)
        key = min(key, self.former_places.pop(arrival.name, key))
        row = Row(arrival.name, key, self.last_number, arrival.transfer, lease_end, now)
        row.key = self._order_key(now, arrival, key)
        self.queue.add(row)
        return row

    def _order_key(self, now, arrival, key):
        """Its place; ahead where its lease would be over by then, and can still be kept. Once a storm."""
        if arrival.lease_left <= 0 or self._flow(now, arrival.name).admitted:
            return key
        gap, own_cost = self.gap(), self.costs.mean_of(arrival.transfer) + RENEWAL_MARGIN
        missing = (
            max(0, self.expected - len(self.returned) - len(self.queue)) if self.state == RECOVERING else 0
        )
        urgent = (URGENT, now + arrival.lease_left, 0, key[3])
        if (self.queue.index(key) + missing) * gap + own_cost > arrival.lease_left and self.queue.index(
            urgent
        ) * gap + own_cost <= arrival.lease_left:
            return urgent
        return key

    def _flow(self, now, name):
        flow = self.flows.get(name)
        if flow is None:
            flow = self.flows[name] = Flow(now)
            if len(self.flows) > MAX_REMEMBERED:
                del self.flows[next(iter(self.flows))]
        return flow

    def _read_ticket(self, arrival):
        """The ticket, where it gives a place in the order; one of this life has its row, or is used up."""
        if not arrival.ticket:
            return None
        try:
            ticket = tickets.read(self.terms.seal_key, arrival.ticket, arrival.name)
        except InvalidTicket:
            self._count("unsealed")
            return None
        if (ticket.gateway, ticket.incarnation) == (self.terms.name, self.terms.incarnation):
            return None
        ticket_id = ticket.gateway, ticket.incarnation, ticket.number
        if ticket_id in self.used_tickets:
            self._count("used_tickets")
            return None
        self.used_tickets[ticket_id] = True
        if len(self.used_tickets) > MAX_REMEMBERED:
            del self.used_tickets[next(iter(self.used_tickets))]
        return ticket

    # ---- the acts

    def admit_next(self, now):
        """The next one, if it is time."""
        if self.current is not None or now < self.free_at:
            return []
        while (row := self.queue.first_present()) is not None:
            if row.key[0] == URGENT and now + self.costs.mean_of(row.transfer) > row.lease_end:
                # Not begun in vain while others can be kept: to where it stood without a lease.
                self._count("not_in_time")
                row.late, row.lease_end = True, NEVER
                self.queue.move(row, row.base_key, row.transfer)
                continue
            conn = row.conn
            self.queue.remove(row)
            self.current = conn, row.name, row.transfer, now
            self.turns += 1
            self.returned.add(row.name)
            self._flow(now, row.name).admitted += 1
            self._count("admitted")
            return [messages.Admit(conn, row.name, row.transfer)]
        return []

    def _hold_limit(self):
        """Slots that one may wait where it is."""
        return max(1, min(self.near, int(MAX_HOLD / self.gap())))

    def _answer(self, now, row, over=False):
        """Near its slot it waits where it is; else, or where that is over, it is told when to come."""
        index, gap = self.queue.index(row.key), self.gap()
        if not over and (self.state in (RECOVERING, OPEN) or index < self._hold_limit()):
            return []
        wait = slots.wait_for_slot(index, gap, self.rng, self._hold_limit() // 2)
        row.late = row.lease_end == NEVER or row.lease_end < now + index * gap
        row.due = now + wait
        ticket = tickets.Ticket(
            self.terms.name, self.terms.incarnation, row.number, self.turns + index, row.name
        )
        self._count("told")
        conn = row.conn
        self.queue.detach(row)
        alternative = self.elsewhere(now, index, 10_000 / gap)
        text = tickets.write(self.terms.seal_key, ticket)
        return [
            messages.Defer(conn, wait, text, row.late, max(self.expected, len(self.returned)), alternative)
        ]

    def _defer_without_place(self, arrival):
        self._count("no_place")
        wait = int((1 + self.rng.random()) * self.terms.max_waiting * self.gap())
        return messages.Defer(arrival.conn, wait, "", True, max(self.expected, len(self.returned)))

    def _take_token(self, now, name):
        flow = self._flow(now, name)
        gained = (now - flow.refilled_at) // TOKEN_INTERVAL
        flow.tokens, flow.refilled_at = (
            min(BUCKET_SIZE, flow.tokens + gained),
            flow.refilled_at + gained * TOKEN_INTERVAL,
        )
        if flow.tokens < 1:
            return False
        flow.tokens -= 1
        return True

    # ---- the state

    def _gathered(self, now):
        """All that are known are there and what they cost too, or they had the time that a return takes."""
        all_here = len(self.returned) + len(self.queue) >= self.expected
        measured = all(self.costs.samples[transfer] for transfer, count in self.queue.counts.items() if count)
        return (all_here and measured) or now >= self.started + self.gather_time

    def _update_state(self, now):
        if self.state in (PACING, OVERRUN):
            late = any(row.late for row in self.queue.rows.values())
            self._step(DEADLINE_MISSED if late else DEADLINES_MET)
            if not self.queue.rows and (
                len(self.returned) >= self.expected
                or now > self.started + self.gather_time + self.horizon() + NO_SHOW_TIMEOUT
            ):
                self._step(ALL_BACK)

    def _step(self, event):
        state = TABLE.get((self.state, event))
        if state is not None:
            self.state = state
            self._count(f"state_{state}")
            if state == OPEN:
                self.flows.clear()  # the storm is over

    def _count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1
