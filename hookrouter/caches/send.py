"""One send to a cache, and the endpoint it goes to; CachePool controls both."""

from twisted.internet.defer import Deferred

from .. import interface
from ..terms import SECOND


class Endpoint:
    """Address of a cache and the idle connections to it, the last used last."""

    __slots__ = ("name", "host", "port", "address", "host_field", "born", "idle")

    def __init__(self, name, address, born):
        self.name, self.born, self.idle = name, born, []
        self.address = self.host, self.port = address
        self.host_field = f"{self.host}:{self.port}".encode()  # value of the Host field


def always_wanted():
    """is_wanted of sends that no client can withdraw."""
    return True


class Send:
    """One request and its Deferred, which fires with SendResult."""

    __slots__ = (
        "caches",
        "endpoint",
        "encode",
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
        encode,
        client_revision=None,
        target=None,
        not_repeatable=False,
        is_wanted=always_wanted,
    ):
        self.caches, self.endpoint = caches, endpoint
        self.encode = encode  # encodes the request, given the time left; None: it is never written
        self.client_revision = client_revision  # revision of the client's copy, which may be current
        self.target = target  # kind, object, part
        self.not_repeatable = not_repeatable  # needs a connection on which no stale response can arrive
        self.is_wanted = is_wanted  # checked just before the request is written
        self.deferred = Deferred()
        self.timeout_timer = self.start_timer = self.connection = self.result = None
        self.written = False

    def cancel(self):
        """Closes its connection; the outcome is CANCELLED unless it has ended or its timeout is due now."""
        if self.caches.deadlines.due(self.timeout_timer, 1 / SECOND):
            self.caches.on_timeout(self)
        else:
            self.caches.abort(self, interface.CANCELLED)


def is_reserved(send):
    """Whether the send waits for a connection that rests."""
    return send.connection is not None and send.connection.reserved_for is send


def unwritten_outcome(send):
    """Outcome of a send that was not written in time: it got no connection, or one that did not come up."""
    return interface.VOID if send.connection is None or is_reserved(send) else interface.UNREACHED
