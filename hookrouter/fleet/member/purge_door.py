"""The HTTP face of every keeper that may bear the desk of purges: its own desk, or the way to the owner's."""

from twisted.web import resource, server

from ...desk import web
from ...feed.http_client import HttpClient
from ...tables.deadlines import Deadlines

PASS_WITHIN = 2.5  # seconds for the owner's answer: less than a submitter waits for this one
MOST_PASSED = 256  # requests that wait for the owner's answer
OF_FOLLOWERS = b"/v1/feed", b"/v1/renew", b"/v1/slices"  # paths that are not passed on to the owner


class Door(resource.Resource):
    """The owner's own desk, or the way to it."""

    def __init__(self, duty, reactor, owner):
        """owner(): "HOST:PORT" of the owner that the log knows last, or ""."""
        super().__init__()
        self.duty, self.reactor, self.owner = duty, reactor, owner
        self.deadlines, self.passed = Deadlines(reactor), 0
        self.secret = duty.purges["secret"]

    def count(self, name):
        """Strangers are counted where the desk is."""

    def getChild(self, name, request):
        if self.duty.live():
            return self.duty.tree.getChildWithDefault(name, request)
        return Passed(self, self.secret)


class Passed(web.Face):
    """Submissions and questions go on to the owner; followers are told where it is."""

    isLeaf = True

    def render_GET(self, request):
        return self._pass(request)

    def render_POST(self, request):
        return self._pass(request)

    def _pass(self, request):
        door = self.desk
        where = door.owner()
        host, _, port = where.rpartition(":")
        off = not port or where == door.duty.where or request.getHeader(b"x-passed") is not None
        if off or request.path.startswith(OF_FOLLOWERS) or door.passed >= MOST_PASSED:
            fields = {} if off else {"X_Desk": where}
            return web.answer(
                request,
                503,
                {"error": "the desk is elsewhere" if not off else "nobody owns the desk now"},
                Retry_After=1,
                **fields,
            )
        body = request.content.read()
        fields = [
            (b"Authorization", b"Bearer " + self.secret.value),
            (b"X-Passed", b"1"),
            (b"Content-Type", b"application/json"),
        ]
        caller, gone = HttpClient(door.reactor, door.deadlines, (host, int(port))), []
        request.notifyFinish().addErrback(gone.append)
        door.passed += 1
        caller.start(request.method, request.uri, fields, body, PASS_WITHIN).addBoth(
            self._came, request, caller, gone
        )
        return server.NOT_DONE_YET

    def _came(self, came, request, caller, gone):
        self.desk.passed -= 1
        caller.stop()
        if gone:
            return
        if isinstance(came, tuple):
            status, body = came
            request.setResponseCode(status)
            request.setHeader(b"Content-Type", b"application/json")
            if status == 503:
                request.setHeader(b"Retry-After", b"1")
        else:
            body = web.answer(request, 503, {"error": "the owner of the desk does not answer"}, Retry_After=1)
        request.write(body)
        request.finish()
