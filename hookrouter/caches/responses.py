"""Responses that are complete or invalid: the end of their sends, and what becomes of their connections."""

from .. import interface
from . import requests
from .response_tail import ResponseTail


class Responses:
    """Ends sends by their responses, and keeps, lets linger or closes the connections."""

    def __init__(self, pool):
        """pool: the CachePool whose connections and sends these are."""
        self.pool = pool

    def on_complete(self, connection):
        """A response is complete: ends its send, keeps or closes the connection."""
        pool, send, head = self.pool, connection.send, connection.head
        # Where more lies behind it already it is passed on as its length says, but not stored.
        tail = None if connection.parser.buffer else ResponseTail(pool.deadlines)
        send.result = requests.read_result(
            head, connection.body(), connection.length, pool.report_fields, tail
        )
        connection.tail = send.result.tail
        connection.send = send.connection = None
        connection.discard_response()
        connection.acknowledge()
        if connection.parser.buffer:
            connection.close()
        elif head.keep_alive and self._may_keep(connection):
            pool.idle.rest(connection)
            pool.idle.keep(connection)
        else:
            self._close_later(connection)
        pool.finish(send)
        if connection.lingers and not (connection.tail is not None and connection.tail.is_watched()):
            pool.close_connection(connection)

    def on_malformed(self, connection):
        """Ends the send of a connection whose response is invalid as BROKEN."""
        if connection.send is not None:
            self.pool.abort(connection.send, interface.BROKEN)
        else:
            connection.close()

    def keep_idle(self, connection):
        """Makes a connection idle, unless its cache has moved or a send waits for a descriptor."""
        if self._may_keep(connection):
            self.pool.idle.keep(connection)
        else:
            connection.close()

    def _may_keep(self, connection):
        pool = self.pool
        if pool.waiting:
            return False  # the send that waits would have to let it rest
        return pool.endpoints.is_current(connection.endpoint) and pool.idle.timeout > 0

    def _close_later(self, connection):
        """Closes a connection; at once if nothing that follows its response matters, or a send waits."""
        if connection.tail is None or self.pool.waiting:
            connection.close()
        else:
            self.pool.idle.linger(connection)
