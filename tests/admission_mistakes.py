"""Seeded mistakes in the decisions of admission: the checks must find each of them."""

import msgspec

from hookrouter.decisions.admission import Gate, Reconnector, messages, tickets
from hookrouter.decisions.admission.gate import BUCKET_SIZE
from hookrouter.decisions.admission.overflow import Overflow
from hookrouter.decisions.admission.queue import FORMER, URGENT


class TwoForOneSlot(Gate):
    """Numbers a slot by its index: two followers get one number once one was admitted in between."""

    def _answer(self, now, row, over=False):
        row.number = self.queue.index(row.key)
        return super()._answer(now, row, over)


class FormerRefused(Gate):
    """Refuses each ticket of a former incarnation."""

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
    """Gives a ticket of a former incarnation no place."""

    def _read_ticket(self, arrival):
        super()._read_ticket(arrival)


class TailByArrival(Gate):
    """Settles the kind of transfer at arrival, though the log has advanced since."""

    trusts_arrival = True


class UrgentNotFirst(Gate):
    """Does not move followers with an expiring lease ahead."""

    def _order_key(self, now, arrival, key):
        return key


class UnsealedAccepted(Gate):
    """Accepts tickets without checking the seal."""

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
    """Takes each connection for a flow of its own."""

    def arrived(self, now, arrival):
        return super().arrived(now, arrival._replace(name=f"{arrival.name}/{arrival.conn}"))


class BegunInVain(Gate):
    """Starts an admission that ends after the follower's lease."""

    def _order_key(self, now, arrival, key):
        return key if arrival.lease_left <= 0 else (URGENT, now + arrival.lease_left, 0, key[3])

    def admit_next(self, now):
        for row in self.queue.rows.values():
            row.lease_end = 1 << 60
        return super().admit_next(now)


class LateUnsaid(Gate):
    """Never tells a follower that its lease will have expired."""

    def arrived(self, now, arrival):
        return [
            e._replace(late=False) if isinstance(e, messages.Defer) else e
            for e in super().arrived(now, arrival)
        ]

    def tick(self, now):
        return [e._replace(late=False) if isinstance(e, messages.Defer) else e for e in super().tick(now)]


class HorizonBySetCost(Gate):
    """Uses a fixed interval between slots."""

    def gap(self):
        return 250.0


class AllAtOnce(Gate):
    """Starts an admission while another is in progress."""

    def admit_next(self, now):
        self.current, self.free_at = None, now
        return super().admit_next(now)


class TicketUsedTwice(Gate):
    """Accepts a ticket more than once."""

    def _read_ticket(self, arrival):
        self.used_tickets.clear()
        return super()._read_ticket(arrival)


class FlowsUnbounded(Gate):
    """Does not limit the connections of a flow."""

    def _take_token(self, now, name):
        self._flow(now, name).tokens = BUCKET_SIZE
        return True


class FormerInAnyOrder(Gate):
    """Keeps the places of former tickets, but not their order."""

    def _enqueue(self, now, arrival):
        row = super()._enqueue(now, arrival)
        if row.key[0] == FORMER:
            row.base_key = FORMER, -row.key[1], -row.key[2], row.number
            self.queue.move(row, row.base_key, row.transfer)
        return row


class OnOneBeat(Reconnector):
    """Reconnects after the same pause as all others."""

    def _pause(self):
        return 500


class SentByOldNews(Overflow):
    """Does not count followers sent to a gateway since its report."""

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
