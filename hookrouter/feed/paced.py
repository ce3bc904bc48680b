"""A follower's way back with [admission]: what it says of itself, what it is told, and how long it waits."""

from random import Random

from ..decisions.admission import reconnect
from ..terms import SECOND

ELSEWHERE = 500  # 50 ms: sent to where there is room, it goes there soon


def whole(fields, name, default=0):
    value = fields.get(name, b"")
    return int(value) if value.isdigit() and len(value) <= 12 else default


class Pacing:
    """desk: whose left() is what remains of the lease, tenths of a millisecond."""

    def __init__(self, desk):
        self.desk, self.comer = desk, reconnect.Reconnector(Random())
        self.answer = None

    def fields(self):
        """Of a request: the lease that is left, and the ticket."""
        ticket = self.comer.ticket
        return [(b"X-Lease", b"%d" % self.desk.left()), *([(b"X-Ticket", ticket.encode())] if ticket else [])]

    def go(self):
        self.answer = None
        self.comer.step(reconnect.CONNECT)

    def came(self):
        self.comer.step(reconnect.ADMITTED)

    def told(self, answer):
        if b"x-wait" in answer.fields:
            self.answer = answer.fields

    def pause(self, sent):
        """(seconds until the next connection, whether the gateway stays the same). sent: elsewhere."""
        fields, self.answer = self.answer, None
        if fields is None:
            pause = self.comer.step(
                reconnect.ENDED if self.comer.state == reconnect.UP else reconnect.NO_ANSWER
            )
            return (reconnect.MIN_PAUSE if pause is None else pause) / SECOND, False
        ticket = fields.get(b"x-ticket", b"").decode("latin-1")
        wait = self.comer.step(
            reconnect.DEFERRED,
            whole(fields, b"x-wait"),
            ticket,
            whole(fields, b"x-late") == 1,
            whole(fields, b"x-fleet", 1),
        )
        if sent:
            return min(wait, ELSEWHERE) / SECOND, False
        return wait / SECOND, True
