"""HTTP endpoint of keepers that can run the purge desk: serves its own desk or forwards to the owner's."""

from twisted.web import resource, server

from ...desk import web
from ...feed.http_client import HttpClient
from ...tables.deadlines import Deadlines

FORWARD_TIMEOUT = 2.5  # seconds for the owner's answer; shorter than a submitter's own timeout
MAX_FORWARDED = 256  # requests waiting for the owner's answer
FOLLOWER_PATHS = b"/v1/feed", b"/v1/renew", b"/v1/slices"  # not forwarded: followers connect to the owner


class PurgeEndpoint(resource.Resource):
    """Root resource: the local desk while this keeper owns the duty, otherwise a forwarder to the owner."""

    def __init__(self, duty, reactor, owner_address):
        """owner_address(): "HOST:PORT" of the last owner known from the log, or ""."""
        super().__init__()
        self.duty, self.reactor, self.owner_address = duty, reactor, owner_address
        self.deadlines, self.forwarded = Deadlines(reactor), 0
        self.secret = duty.purges["secret"]

    def count(self, name):
        """Does nothing: unauthorized requests are counted at the desk."""

    def getChild(self, name, request):
        if self.duty.is_live():
            return self.duty.tree.getChildWithDefault(name, request)
        return OwnerForwarder(self, self.secret)


class OwnerForwarder(web.AuthenticatedResource):
    """Forwards submissions and queries to the owner; followers get its address in X-Desk."""

    isLeaf = True

    def render_GET(self, request):
        return self._forward(request)

    def render_POST(self, request):
        return self._forward(request)

    def _forward(self, request):
        endpoint = self.publisher
        owner_location = endpoint.owner_address()
        host, _, port = owner_location.rpartition(":")
        unavailable = (
            not port or owner_location == endpoint.duty.address or request.getHeader(b"x-passed") is not None
        )
        if unavailable or request.path.startswith(FOLLOWER_PATHS) or endpoint.forwarded >= MAX_FORWARDED:
            fields = {} if unavailable else {"X_Desk": owner_location}
            return web.json_response(
                request,
                503,
                {"error": "the desk is elsewhere" if not unavailable else "nobody owns the desk now"},
                Retry_After=1,
                **fields,
            )
        body = request.content.read()
        fields = [
            (b"Authorization", b"Bearer " + self.secret.value),
            (b"X-Passed", b"1"),
            (b"Content-Type", b"application/json"),
        ]
        client, disconnects = HttpClient(endpoint.reactor, endpoint.deadlines, (host, int(port))), []
        request.notifyFinish().addErrback(disconnects.append)
        endpoint.forwarded += 1
        client.start(request.method, request.uri, fields, body, FORWARD_TIMEOUT).addBoth(
            self._on_answer, request, client, disconnects
        )
        return server.NOT_DONE_YET

    def _on_answer(self, result, request, client, disconnects):
        self.publisher.forwarded -= 1
        client.stop()
        if disconnects:
            return
        if isinstance(result, tuple):
            status, body = result
            request.setResponseCode(status)
            request.setHeader(b"Content-Type", b"application/json")
            if status == 503:
                request.setHeader(b"Retry-After", b"1")
        else:
            body = web.json_response(
                request, 503, {"error": "the owner of the desk does not answer"}, Retry_After=1
            )
        request.write(body)
        request.finish()
