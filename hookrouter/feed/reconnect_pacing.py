"""A follower's way back with [admission]: what it says of itself, what it is told, and how long it waits."""

from random import Random

from ..decisions.admission import reconnect
from ..terms import SECOND

REDIRECT_PAUSE = 500  # 50 ms: sent to where there is room, it goes there soon


def read_whole(fields, name, default=0):
    value = fields.get(name, b"")
    return int(value) if value.isdigit() and len(value) <= 12 else default


class ReconnectPacing:
    """desk: whose left() is what remains of the lease, tenths of a millisecond."""

    def __init__(self, lease_holder):
        self.lease_holder, self.reconnector = lease_holder, reconnect.Reconnector(Random())
        self.deferral = None

    def request_fields(self):
        """Of a request: the lease that is left, and the ticket."""
        ticket = self.reconnector.ticket
        return [
            (b"X-Lease", b"%d" % self.lease_holder.lease_left()),
            *([(b"X-Ticket", ticket.encode())] if ticket else []),
        ]

    def on_connect(self):
        self.deferral = None
        self.reconnector.step(reconnect.CONNECT)

    def on_admitted(self):
        self.reconnector.step(reconnect.ADMITTED)

    def on_rejected(self, answer):
        if b"x-wait" in answer.fields:
            self.deferral = answer.fields

    def pause(self, redirected):
        """(seconds until the next connection, whether the gateway stays the same). sent: elsewhere."""
        fields, self.deferral = self.deferral, None
        if fields is None:
            pause = self.reconnector.step(
                reconnect.ENDED if self.reconnector.state == reconnect.UP else reconnect.NO_ANSWER
            )
            return (reconnect.MIN_PAUSE if pause is None else pause) / SECOND, False
        ticket = fields.get(b"x-ticket", b"").decode("latin-1")
        wait = self.reconnector.step(
            reconnect.DEFERRED,
            read_whole(fields, b"x-wait"),
            ticket,
            read_whole(fields, b"x-late") == 1,
            read_whole(fields, b"x-fleet", 1),
        )
        if redirected:
            return min(wait, REDIRECT_PAUSE) / SECOND, False
        return wait / SECOND, True
