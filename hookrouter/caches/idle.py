"""Idle connections to caches, and which of them may take the next request.

A connection rests after each response: HTTP/1.1 does not tell which request a response is for, and a second
one may follow.
"""

from bisect import bisect_right, insort
from operator import attrgetter

from .response_tail import SILENCE_DURATION, SILENT

REST_DURATION = 0.02  # seconds: a second response follows within milliseconds


class IdleConnections:
    """Idle connections of all endpoints; close(connection) is called for one that is idle for too long."""

    def __init__(self, deadlines, timeout, close):
        """timeout: seconds after a response; 0: no connection is kept."""
        self.deadlines, self.timeout, self.close = deadlines, timeout, close
        self.connections = {}  # an ordered set, the longest idle first; with those that linger

    def __len__(self):
        return len(self.connections)

    def rest(self, connection):
        """Has a connection rest from now on; to be called at each response, before keep()."""
        connection.rested_at = self.deadlines.clock.seconds() + REST_DURATION

    def keep(self, connection):
        """Adds a connection to those of its endpoint, which stand by rested_at."""
        insort(connection.endpoint.idle, connection, key=attrgetter("rested_at"))
        self.connections[connection] = True
        idle_since = connection.rested_at - REST_DURATION
        time_left = idle_since + self.timeout - self.deadlines.clock.seconds()
        connection.idle_timer = self.deadlines.after(time_left, self.close, connection)

    def linger(self, connection):
        """Keeps a connection that takes no request any more until it is clear what follows its response."""
        connection.lingers = True
        self.connections[connection] = True
        connection.idle_timer = self.deadlines.after(SILENCE_DURATION, self._end_lingering, connection)

    def _end_lingering(self, connection):
        connection.end_tail(SILENT)
        self.close(connection)

    def take(self, connection):
        """Removes a connection; does nothing for one that is not idle."""
        if self.connections.pop(connection, None):
            if not connection.lingers:
                connection.endpoint.idle.remove(connection)
            self.deadlines.drop(connection.idle_timer)

    def longest(self):
        """The connection that is idle for longest."""
        return next(iter(self.connections))

    def select(self, endpoint, not_repeatable, start_within):
        """The connection for a request to this endpoint, or None.

        One that has rested: the longest idle one for a request that must not be repeated, else the last used.
        Without one, the next that will have rested in less than start_within seconds.
        """
        idle, now = endpoint.idle, self.deadlines.clock.seconds()
        rested_count = bisect_right(idle, now, key=attrgetter("rested_at"))
        if rested_count:
            return idle[0 if not_repeatable else rested_count - 1]
        return idle[0] if idle and idle[0].rested_at - now < start_within else None

    def rest_left(self, connection):
        """Seconds until the connection has rested, 0 or less if it has."""
        return connection.rested_at - self.deadlines.clock.seconds()
