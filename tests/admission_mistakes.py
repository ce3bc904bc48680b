"""Mistakes seeded on purpose into the decisions on admission: a check that finds none of them is no check."""

import msgspec

from hookrouter.decisions.admission import Gate, Reconnector, messages, tickets
from hookrouter.decisions.admission.gate import BUCKET_SIZE
from hookrouter.decisions.admission.overflow import Overflow
from hookrouter.decisions.admission.queue import FORMER, URGENT


class TwoForOneSlot(Gate):
    """A slot is numbered by how many wait: two are given one number once somebody was admitted between."""

    def _answer(self, now, row, over=False):
        row.number = self.queue.index(row.key)
        return super()._answer(now, row, over)


class FormerRefused(Gate):
    """A ticket of a former life is refused, each time."""

    def arrived(self, now, arrival):
        if arrival.ticket:
            try:
                if (
                    tickets.read(self.terms.seal_key, arrival.ticket, arrival.name).incarnation
                    != self.terms.incarnation
                ):
                    return [messages.Close(arrival.conn, "a former life")]
            except ValueError:
                pass
        return super().arrived(now, arrival)


class FormerAtEnd(Gate):
    """A ticket of a former life gives no place."""

    def _read_ticket(self, arrival):
        super()._read_ticket(arrival)


class TailByArrival(Gate):
    """What is given was settled when it came; the order has moved on since."""

    trusts_arrival = True


class UrgentNotFirst(Gate):
    def _order_key(self, now, arrival, key):
        return key


class UnsealedAccepted(Gate):
    def _read_ticket(self, arrival):
        try:
            return (
                tickets._decode(bytes.fromhex(arrival.ticket)[tickets.SEAL_BYTES :])
                if arrival.ticket
                else None
            )
        except (ValueError, msgspec.MsgspecError):
            return None


class SlotEachTime(Gate):
    """Each connection is a flow of its own."""

    def arrived(self, now, arrival):
        return super().arrived(now, arrival._replace(name=f"{arrival.name}/{arrival.conn}"))


class BegunInVain(Gate):
    """One whose lease is over before it has ended is begun all the same."""

    def _order_key(self, now, arrival, key):
        return key if arrival.lease_left <= 0 else (URGENT, now + arrival.lease_left, 0, key[3])

    def admit_next(self, now):
        for row in self.queue.rows.values():
            row.lease_end = 1 << 60
        return super().admit_next(now)


class LateUnsaid(Gate):
    def arrived(self, now, arrival):
        return [
            e._replace(late=False) if isinstance(e, messages.Defer) else e
            for e in super().arrived(now, arrival)
        ]

    def tick(self, now):
        return [e._replace(late=False) if isinstance(e, messages.Defer) else e for e in super().tick(now)]


class HorizonBySetCost(Gate):
    """The gap between slots is what somebody once set."""

    def gap(self):
        return 250.0


class AllAtOnce(Gate):
    """The next begins while the last is under way."""

    def admit_next(self, now):
        self.current, self.free_at = None, now
        return super().admit_next(now)


class TicketUsedTwice(Gate):
    def _read_ticket(self, arrival):
        self.used_tickets.clear()
        return super()._read_ticket(arrival)


class FlowsUnbounded(Gate):
    def _take_token(self, now, name):
        self._flow(now, name).tokens = BUCKET_SIZE
        return True


class FormerInAnyOrder(Gate):
    """Tickets of former lives keep a place, but not their order."""

    def _enqueue(self, now, arrival):
        row = super()._enqueue(now, arrival)
        if row.key[0] == FORMER:
            row.base_key = FORMER, -row.key[1], -row.key[2], row.number
            self.queue.move(row, row.base_key, row.transfer)
        return row


class OnOneBeat(Reconnector):
    """Told nothing, it comes back after the same pause as all."""

    def _pause(self):
        return 500


class SentByOldNews(Overflow):
    """What was sent since the news does not count."""

    def pick(self, now, waiting, rate):
        for row in self.reports.values():
            row[2] = 0
        return super().pick(now, waiting, rate)


MISTAKES = (
    TwoForOneSlot,
    FormerRefused,
    FormerAtEnd,
    TailByArrival,
    UrgentNotFirst,
    UnsealedAccepted,
    SlotEachTime,
    BegunInVain,
    LateUnsaid,
    HorizonBySetCost,
    AllAtOnce,
    TicketUsedTwice,
    FlowsUnbounded,
    FormerInAnyOrder,
    OnOneBeat,
    SentByOldNews,
)
