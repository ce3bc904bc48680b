"""Reconnects of a follower with [admission]: the fields it sends, the deferral it receives, and its pause."""

from random import Random

from ..decisions.admission import reconnect
from ..terms import SECOND

REDIRECT_PAUSE = 500  # 50 ms: a follower redirected to a server with room connects there soon


def read_whole(fields, name, default=0):
    """An integer from a header field, or the default if it is missing or invalid."""
    value = fields.get(name, b"")
    return int(value) if value.isdigit() and len(value) <= 12 else default


class ReconnectPacing:
    """Pacing of one follower. lease_holder: lease_left() in tenths of a millisecond."""

    def __init__(self, lease_holder):
        self.lease_holder, self.reconnector = lease_holder, reconnect.Reconnector(Random())
        self.deferral = None

    def request_fields(self):
        """Header fields of a request: the remaining lease, and the ticket if there is one."""
        ticket = self.reconnector.ticket
        return [
            (b"X-Lease", b"%d" % self.lease_holder.lease_left()),
            *([(b"X-Ticket", ticket.encode())] if ticket else []),
        ]

    def on_connect(self):
        """A connection is being opened."""
        self.deferral = None
        self.reconnector.step(reconnect.CONNECT)

    def on_admitted(self):
        """The server has admitted the follower."""
        self.reconnector.step(reconnect.ADMITTED)

    def on_rejected(self, answer):
        """Keeps the fields of a response that asks to wait."""
        if b"x-wait" in answer.fields:
            self.deferral = answer.fields

    def pause(self, redirected):
        """(seconds until the next connection, whether to keep the address). redirected: the server named
        another address.
        """
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
