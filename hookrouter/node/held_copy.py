"""The body of a response that is stored as an own copy once the response is known to be whole."""

from .. import interface


class HeldCopy:
    """Tells Control what the connection of the response shows; a caches.response_tail.TailWatcher."""

    __slots__ = ("router", "send", "key", "issued_at", "copy")

    def __init__(self, router, send, request, result):
        """send: the HoldCopy of it; request: of the client; result: SendResult of the response."""
        self.router, self.send = router, send
        self.key = request.kind, request.object, request.part
        self.issued_at = result.storable_issued_at
        self.copy = result.revision, result.pieces, result.length  # None once Control has decided

    def on_verified(self, whole):
        """The response was whole or not: Control decides whether its copy is stored."""
        if not whole:
            self.router.count("copies_not_verified")
        self.router.handle_event(interface.CopyVerified(self.send.id, self.send.send, whole))

    def on_revoked(self):
        """Data followed the response of a copy that is stored already."""
        self.router.count("copies_revoked")
        kind, name, _ = self.key
        self.router.log("cache sent more than its answer, own copy dropped", f"{kind}/{name}")
        self.router.handle_event(interface.CopyRevoked(*self.key, self.issued_at))
