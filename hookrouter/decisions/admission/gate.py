"""The admission gate of a gateway: one admission at a time, in the order of the queue.

This is slotted access with a known number of followers, served earliest deadline first while that is
feasible. Each admission starts when the one before has completed, so the rate follows the measured cost
instead of a configured one. Work that is started, abandoned and requested again would feed the overload
(Bronson and others, "Metastable failures in distributed systems", 2021). A follower that is not admitted
occupies one row.
"""

from ...errors.wire import InvalidTicket
from . import messages, slots, tickets
from .costs import Costs
from .queue import FORMER, NEVER, NEW, URGENT, Queue, Row
from .reconnect import CAP_PER_FOLLOWER, MIN_CAP

MAX_HOLD = 10_000  # 1 s: the longest that an early follower is held, below a follower's own timeout (1.8 s)
NO_SHOW_TIMEOUT = 50_000  # 5 s after its slot a follower that did not return loses its place
# An admission that takes 4 times its mean, and at least 0.5 s, is waited for no longer.
LAPSE_FACTOR, MIN_LAPSE = 4, 5_000
RENEWAL_MARGIN = 1_000  # 0.1 s: from an admission to the lease renewal that it makes possible
BUCKET_SIZE, TOKEN_INTERVAL = 4, 5_000  # a flow's burst of connections, and one more each half second
MAX_REMEMBERED = 20_000  # used tickets of former incarnations, and flows: two for each place in the queue

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
    (PACING, DEADLINE_MISSED): OVERRUN,  # some follower cannot be served before its lease expires
    (OVERRUN, DEADLINES_MET): PACING,
    (OVERRUN, ALL_BACK): OPEN,
    (OPEN, CROWDED): PACING,
}


def no_alternative(now, waiting, rate):
    """Offers no alternative gateway: the default of Gate's elsewhere."""
    return ""


class Flow:
    """The state of one named follower: its token bucket for connections, and its admissions in this storm."""

    __slots__ = ("tokens", "refilled_at", "admitted")

    def __init__(self, now):
        self.tokens, self.refilled_at, self.admitted = BUCKET_SIZE, now, 0


class Gate:
    """Decides which follower is admitted when. Methods that handle an event return a list of effects.

    Times are tenths of a millisecond of the gateway's steady clock.
    """

    near = slots.HOLD_SLOTS

    def __init__(self, terms, now, expected, rng, elsewhere=None):
        """expected: followers of this gateway before it started. rng: a source of random numbers with
        random(). elsewhere(now, waiting, rate): returns a gateway to which one more follower should go, or
        "".
        """
        self.terms, self.rng, self.expected, self.started = terms, rng, expected, now
        self.elsewhere = elsewhere or no_alternative
        self.state = RECOVERING if expected else OPEN
        self.queue, self.costs = Queue(), Costs()
        # the last number given out; admissions begun, which is the current turn
        self.last_number, self.turns = 0, 0
        self.current, self.free_at = None, now  # (conn, name, transfer, start) of the admission in progress
        self.former_places = {}  # name -> place by a former ticket, of a follower that missed its slot
        self.used_tickets, self.returned, self.flows = {}, set(), {}  # flows: name -> Flow
        # Followers reconnect within this time after a start, so most are known before slots are assigned.
        self.gather_time = min(MAX_HOLD, max(MIN_CAP, CAP_PER_FOLLOWER * expected))
        self.counts, self.total_duration = {}, 0  # total_duration: of all completed admissions

    # ---- queries

    def gap(self):
        """Returns the interval between two slots."""
        return self.costs.gap(self.queue.counts, self.terms.share)

    def horizon(self):
        """Returns the time until all expected followers that have not returned are served."""
        return max(len(self.queue), self.expected - len(self.returned)) * self.gap()

    def facts(self):
        """Returns the state of the gate for status pages, as a dictionary."""
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
        """Returns (waiting, room, rate a second), which neighbours use to choose an alternative gateway."""
        room = self.terms.max_waiting - len(self.queue) if self.state in (OPEN, PACING) else 0
        return len(self.queue), room, 10_000 / self.gap()

    # ---- events

    def arrived(self, now, arrival):
        """Handles a connection of a follower: queues, holds, defers or closes it."""
        if not self._take_token(now, arrival.name):
            self._count("flows_over")
            return [messages.Close(arrival.conn, "too often")]
        row, effects = self.queue.rows.get(arrival.name), []
        if row is not None and row.conn == arrival.conn:
            return []  # duplicate event
        if row is None:
            if len(self.queue) >= self.terms.max_waiting:
                return [self._defer_without_place(arrival)]
            row = self._enqueue(now, arrival)
        else:
            # the newer connection counts: the follower may have lost the older one unnoticed
            if row.conn is not None:
                effects.append(messages.Close(row.conn, "came anew"))
                self.queue.detach(row)
            row.lease_end = now + arrival.lease_left if arrival.lease_left > 0 else NEVER
            # A follower that came without its ticket once may show one of another gateway or incarnation now.
            ticket = self._read_ticket(arrival)
            if ticket is not None:
                row.base_key = min(row.base_key, (FORMER, ticket.incarnation, ticket.turn, row.number))
            self.queue.move(row, self._order_key(now, arrival, row.base_key), arrival.transfer)
        row.early = row.due > now + self._hold_limit() * self.gap()
        if row.early:
            self._count("early")  # held, so that early connections are answered at most once per hold
        row.arrived_at = now
        self.queue.attach(row, arrival.conn)
        effects += self.admit_next(now)
        if self.state == OPEN and len(self.queue.present) > self.near:
            self._step(CROWDED)
        if row.conn is not None and not row.early:
            effects += self._answer(now, row)
        return effects

    def set_transfer(self, now, transfer):
        """Sets the transfer that the admitted follower really gets: the log has advanced since it arrived."""
        if self.current is not None:
            conn, name, _, since = self.current
            self.current = conn, name, transfer, since

    def completed(self, now, conn, duration=None):
        """Handles the end of an admission. duration: its cost, where that is not the time since it began."""
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
        """Handles the end of a connection, whether it waited or was being admitted."""
        if self.current is not None and self.current[0] == conn:
            self.current, self.free_at = None, now
            self._count("gone_in_mid_admission")
        row = self.queue.by_conn.get(conn)
        if row is not None:
            self.queue.detach(row)
            row.due = min(row.due, now)
        return self.admit_next(now)

    def tick(self, now):
        """Lets time pass: called every few slots while any follower waits."""
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
                # The hold is over. For an early follower this does not bring its turn forward.
                if now - row.arrived_at >= MAX_HOLD:
                    row.early = False
                    effects += self._answer(now, row, True)
        for row in [
            row for row in self.queue.rows.values() if row.conn is None and now > row.due + NO_SHOW_TIMEOUT
        ]:
            self.queue.remove(row)
            self._count("forgotten")
            if row.base_key[0] == FORMER and len(self.former_places) < MAX_REMEMBERED:
                self.former_places[row.name] = row.base_key  # its ticket need not be shown again
        self._update_state(now)
        return effects

    def next_wake(self, now):
        """Returns the time of the next admission where only time is missing, else None."""
        if self.current is None and self.queue.present:
            return max(now, self.free_at)
        return None

    def is_idle(self):
        """Returns whether nothing has to be done before the next event."""
        return self.state == OPEN and not self.queue.rows and self.current is None

    # ---- the order

    def _enqueue(self, now, arrival):
        ticket = self._read_ticket(arrival)
        self.last_number += 1
        lease_end = now + arrival.lease_left if arrival.lease_left > 0 else NEVER
        # A follower whose lease cannot be kept queues behind those with a live one, which will need theirs
        # sooner.
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
        """Returns the key of its place. A follower moves ahead, once a storm, where its lease would otherwise
        expire first and can still be kept.
        """
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
        """Returns the ticket where it gives a place in the order, else None. A ticket of this incarnation has
        a row already or is used up.
        """
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

    # ---- actions

    def admit_next(self, now):
        """Admits the next follower if it is time."""
        if self.current is not None or now < self.free_at:
            return []
        while (row := self.queue.first_present()) is not None:
            if row.key[0] == URGENT and now + self.costs.mean_of(row.transfer) > row.lease_end:
                # Its lease would expire during the admission: it returns to its place without a lease, so
                # that others can keep theirs.
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
        """Returns how many slots ahead a follower may wait on its connection."""
        return max(1, min(self.near, int(MAX_HOLD / self.gap())))

    def _answer(self, now, row, over=False):
        """Lets a follower near its slot wait on its connection; else, or once the hold is over, defers it."""
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
        """Defers a follower that finds the queue full; it gets no ticket."""
        self._count("no_place")
        wait = int((1 + self.rng.random()) * self.terms.max_waiting * self.gap())
        return messages.Defer(arrival.conn, wait, "", True, max(self.expected, len(self.returned)))

    def _take_token(self, now, name):
        """Takes a token of this follower's bucket; returns whether there was one."""
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

    # ---- states

    def _gathered(self, now):
        """Returns whether all expected followers and the costs of their transfers are known, or the time that
        a reconnection takes has passed.
        """
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
