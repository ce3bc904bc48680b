"""One send on its way to a cache, and the place it goes to. What becomes of it is the pool's."""

from twisted.internet.defer import Deferred

from .. import interface
from ..terms import SECOND


class Endpoint:
    """Where a cache listens, and the idle connections to it, the last used last."""

    __slots__ = ("name", "host", "port", "host_field", "born", "idle")

    def __init__(self, name, address, born):
        self.name, self.born, self.idle = name, born, []
        self.host, self.port = address
        self.host_field = f"{self.host}:{self.port}".encode()  # of each request's head


def always_wanted():
    return True


class Send:
    """One request and its Deferred, which fires with Ended."""

    __slots__ = (
        "caches",
        "endpoint",
        "pieces",
        "client_revision",
        "target",
        "not_repeatable",
        "is_wanted",
        "timeout_timer",
        "start_timer",
        "deferred",
        "connection",
        "written",
        "result",
    )

    def __init__(
        self,
        caches,
        endpoint,
        pieces,
        client_revision=None,
        target=None,
        not_repeatable=False,
        is_wanted=always_wanted,
    ):
        self.caches, self.endpoint, self.pieces = caches, endpoint, pieces
        self.client_revision = client_revision  # the tag of the client's copy, which may be the one
        self.target = target  # kind, object, part
        self.not_repeatable = (
            not_repeatable  # what the cache says of it must be its own: it may not simply be repeated
        )
        self.is_wanted = (
            is_wanted  # whether anybody waits for it still: asked in the moment before it is written
        )
        self.deferred = Deferred()
        self.timeout_timer = self.start_timer = self.connection = self.result = None
        self.written = False

    def cancel(self):
        """Closes its connection; it ends as cancelled unless it has ended, or its time is over just now."""
        if self.caches.deadlines.due(self.timeout_timer, 1 / SECOND):
            self.caches.on_timeout(self)
        else:
            self.caches.abort(self, interface.CANCELLED)
