"""One send on its way to a cache, and the place it goes to. What becomes of it is the pool's."""

from twisted.internet.defer import Deferred

from .. import interface
from ..terms import SECOND


class Place:
    """Where a cache listens, and the idle connections to it, the last used last."""

    __slots__ = ("name", "host", "port", "field", "born", "idle")

    def __init__(self, name, address, born):
        self.name, self.born, self.idle = name, born, []
        self.host, self.port = address
        self.field = f"{self.host}:{self.port}".encode()  # of each request's head


def always():
    return True


class Send:
    """One request and its Deferred, which fires with Ended."""

    __slots__ = (
        "caches",
        "place",
        "pieces",
        "seen",
        "asked",
        "once",
        "wanted",
        "deadline",
        "leave_by",
        "deferred",
        "connection",
        "written",
        "ended",
    )

    def __init__(self, caches, place, pieces, seen=None, asked=None, once=False, wanted=always):
        self.caches, self.place, self.pieces = caches, place, pieces
        self.seen = seen  # the tag of the client's copy, which may be the one
        self.asked = asked  # kind, object, part
        self.once = once  # what the cache says of it must be its own: it may not simply be repeated
        self.wanted = wanted  # whether anybody waits for it still: asked in the moment before it is written
        self.deferred = Deferred()
        self.deadline = self.leave_by = self.connection = self.ended = None
        self.written = False

    def give_up(self):
        """Closes its connection; it ends as cancelled unless it has ended, or its time is over just now."""
        if self.caches.deadlines.due(self.deadline, 1 / SECOND):
            self.caches.overdue(self)
        else:
            self.caches.give_up(self, interface.CANCELLED)
