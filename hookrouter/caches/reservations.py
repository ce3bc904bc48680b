"""Connections that rest and are reserved for a send, and the spare ones dialled beside them."""

from .connection import Connection
from .send import is_reserved


class Reservations:
    """Sends without a rested connection: each waits for one that rests, or a spare one if that is sooner."""

    def __init__(self, pool):
        """pool: the CachePool whose connections and sends these are."""
        self.pool = pool

    def reserve(self, send, connection):
        """Has the send wait until the connection has rested, or until a spare one is up if that is sooner."""
        pool = self.pool
        connection.reserved_for, send.connection = send, connection
        rest_left = pool.idle.rest_left(connection, send.not_repeatable)
        connection.idle_timer = pool.deadlines.after(rest_left, self._on_rested, connection)
        spare = Connection(pool, send.endpoint)
        spare.slot = pool.connections.take(spare)
        if spare.slot is not None:
            spare.spare_for = send
            spare.idle_timer = pool.deadlines.after(pool.connect_timeout, pool.close_connection, spare)
            pool.dial(spare)

    def _on_rested(self, connection):
        """A reserved connection has rested: writes the request that waits for it."""
        if not connection.closing and connection.ready_for_request():
            send, connection.reserved_for = connection.reserved_for, None
            self.pool.write_request(send, connection)

    def give_up(self, connection):
        """Makes a reserved connection an idle one again."""
        connection.reserved_for.connection = connection.reserved_for = None
        self.pool.deadlines.drop(connection.idle_timer)
        if not connection.closing:
            self.pool.responses.keep_idle(connection)

    def on_spare_connected(self, connection):
        """A spare connection is up: takes the request of its send, or becomes idle if that has gone out."""
        pool = self.pool
        send, connection.spare_for = connection.spare_for, None
        pool.deadlines.drop(connection.idle_timer)
        if is_reserved(send):
            self.give_up(send.connection)
            pool.write_request(send, connection)
        else:
            pool.idle.skip_rest(connection)
            pool.responses.keep_idle(connection)
