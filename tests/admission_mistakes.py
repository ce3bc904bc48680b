"""Mistakes seeded on purpose into the decisions on admission: a check that finds none of them is no check."""

import msgspec

from hookrouter.decisions.admission import Comer, Gate, tickets
from hookrouter.decisions.admission import words as w
from hookrouter.decisions.admission.gate import TOKENS
from hookrouter.decisions.admission.overflow import Overflow
from hookrouter.decisions.admission.queue import FORMER, URGENT


class TwoForOneSlot(Gate):
    """A slot is numbered by how many wait: two are given one number once somebody was admitted between."""

    def _answer(self, now, row, over=False):
        row.number = self.queue.index(row.key)
        return super()._answer(now, row, over)


class FormerRefused(Gate):
    """A ticket of a former life is refused, each time."""

    def comes(self, now, come):
        if come.ticket:
            try:
                if tickets.read(self.terms.key, come.ticket, come.name).life != self.terms.life:
                    return [w.Shut(come.conn, "a former life")]
            except ValueError:
                pass
        return super().comes(now, come)


class FormerAtEnd(Gate):
    """A ticket of a former life gives no place."""

    def _ticket(self, come):
        super()._ticket(come)


class TailByArrival(Gate):
    """What is given was settled when it came; the order has moved on since."""

    trusts_arrival = True


class UrgentNotFirst(Gate):
    def _key(self, now, come, key):
        return key


class UnsealedAccepted(Gate):
    def _ticket(self, come):
        try:
            return tickets._decode(bytes.fromhex(come.ticket)[tickets.SEAL :]) if come.ticket else None
        except (ValueError, msgspec.MsgspecError):
            return None


class SlotEachTime(Gate):
    """Each connection is a flow of its own."""

    def comes(self, now, come):
        return super().comes(now, come._replace(name=f"{come.name}/{come.conn}"))


class BegunInVain(Gate):
    """One whose lease is over before it has ended is begun all the same."""

    def _key(self, now, come, key):
        return key if come.left <= 0 else (URGENT, now + come.left, 0, key[3])

    def pump(self, now):
        for row in self.queue.rows.values():
            row.until = 1 << 60
        return super().pump(now)


class LateUnsaid(Gate):
    def comes(self, now, come):
        return [e._replace(late=False) if isinstance(e, w.Tell) else e for e in super().comes(now, come)]

    def tick(self, now):
        return [e._replace(late=False) if isinstance(e, w.Tell) else e for e in super().tick(now)]


class HorizonBySetCost(Gate):
    """The gap between slots is what somebody once set."""

    def gap(self):
        return 250.0


class AllAtOnce(Gate):
    """The next begins while the last is under way."""

    def pump(self, now):
        self.busy, self.free_at = None, now
        return super().pump(now)


class TicketUsedTwice(Gate):
    def _ticket(self, come):
        self.spent.clear()
        return super()._ticket(come)


class FlowsUnbounded(Gate):
    def _has_token(self, now, name):
        self._flow(now, name).tokens = TOKENS
        return True


class FormerInAnyOrder(Gate):
    """Tickets of former lives keep a place, but not their order."""

    def _enter(self, now, come):
        row = super()._enter(now, come)
        if row.key[0] == FORMER:
            row.base = FORMER, -row.key[1], -row.key[2], row.number
            self.queue.again(row, row.base, row.how)
        return row


class OnOneBeat(Comer):
    """Told nothing, it comes back after the same pause as all."""

    def _pause(self):
        return 500


class SentByOldNews(Overflow):
    """What was sent since the news does not count."""

    def pick(self, now, waiting, rate):
        for row in self.news.values():
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
