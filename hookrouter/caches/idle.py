"""Idle connections to caches, and which of them may take the next request.

A connection rests after each response: HTTP/1.1 does not tell which request a response is for, and a second
one may follow. A request that must not be repeated waits longer, until nothing can be held back any more.
"""

from bisect import bisect_right, insort
from operator import attrgetter

from .response_tail import SILENCE_DURATION, SILENT

REST_DURATION = 0.02  # seconds: a second response follows within milliseconds
MAX_COMPARED = 8  # idle connections that are looked at for a request


class IdleConnections:
    """Idle connections of all endpoints; close(connection) is called for one that is idle for too long."""

    def __init__(self, deadlines, timeout, close):
        """timeout: seconds after a response; 0: no connection is kept."""
        self.deadlines, self.timeout, self.close = deadlines, timeout, close
        self.connections = {}  # an ordered set, the longest idle first; with those that linger

    def __len__(self):
        return len(self.connections)

    def rest(self, connection):
        """Has a connection rest from now on; to be called at each response, before keep().

        It rests longer where the response may be the one before once more: that of the request may follow.
        """
        connection.idle_since = self.deadlines.clock.seconds()
        connection.silent_at = connection.idle_since + SILENCE_DURATION
        connection.rested_at = connection.idle_since + REST_DURATION
        if connection.may_repeat:
            connection.rested_at = connection.silent_at

    def skip_rest(self, connection):
        """In place of rest(), for a connection on which no request was written: nothing can come on it."""
        connection.idle_since = connection.rested_at = connection.silent_at = self.deadlines.clock.seconds()

    def keep(self, connection):
        """Adds a connection to those of its endpoint, which stand by rested_at."""
        insort(connection.endpoint.idle, connection, key=attrgetter("rested_at"))
        self.connections[connection] = True
        time_left = connection.idle_since + self.timeout - self.deadlines.clock.seconds()
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
        idle = endpoint.idle
        if not idle:
            return None
        if not not_repeatable:
            rested_count = bisect_right(idle, self.deadlines.clock.seconds(), key=attrgetter("rested_at"))
            if rested_count:
                return idle[rested_count - 1]
        first = idle[0]
        if not_repeatable:  # those that rested first are silent first, but for some that never had a request
            first = min(idle[:MAX_COMPARED], key=attrgetter("silent_at"))
        rest_left = self.rest_left(first, not_repeatable)
        return first if rest_left <= 0 or rest_left < start_within else None

    def rest_left(self, connection, not_repeatable):
        """Seconds until the connection has rested for such a request, 0 or less if it has."""
        rested_at = connection.silent_at if not_repeatable else connection.rested_at
        return rested_at - self.deadlines.clock.seconds()
