"""The HTTP face of desk and relay: bounded bodies, one secret, JSON in and out, and the feed as an event
stream.

GET /v1/feed         X-Position: EPOCH.N, X-Epoch: the highest heard of, X-Slices: EPOCH.N up to which
                     all that is sealed is held -> server-sent events, each a wire.Event
GET /v1/slices/NAME  a sealed slice that a snapshot has listed, as bytes; 404 where that was long ago
POST /v1/renew       wire.Renew -> wire.Granted
POST /v1/purges      wire.Submit -> numbers; 400 what is wrong, 409 key used otherwise, 503 with Retry-After
GET /v1/purges/N.N   from when it is in effect, and who is behind; N, or an ending of N.N, will do
GET /v1/purges       the newest, ?last=N of them, and how many there are
GET /v1/status       members, positions, counters
"""

import hmac
from io import BytesIO

from twisted.web import resource, server

from ..purges import wire
from ..purges.submissions import Accepted, Refused
from ..site import Secret
from .publisher import FollowRequest, Publisher

IDLE = 30.0  # seconds that a connection without a request under way may last
MOST_SHOWN = 1_000  # purges in one list
UNKNOWN = "no purge of that number among the newest that the desk shows; purges list has them"
STATUS = {"form": 400, "key": 409, "busy": 503}


class Request(server.Request):
    """One whose body is neither endless nor large."""

    def gotLength(self, length: int | None) -> None:
        """Cuts the connection where the body would be larger than MOST_BODY, or says no length."""
        if length is None or length > wire.MOST_BODY:
            self.content = BytesIO()
            self.channel.forceAbortClient()
            return
        super().gotLength(length)


def answer(request: server.Request, status: int, body: object, **fields: object) -> bytes:
    """The body as JSON, for render to give back; sets the status and the header fields (_ stands for -)."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    for name, value in fields.items():
        request.setHeader(name.replace("_", "-").encode(), str(value).encode())
    return wire.write(body)


class Face(resource.Resource):
    """One path, for those who know the secret."""

    def __init__(self, desk: Publisher, secret: Secret) -> None:
        """desk: the Desk or Relay."""
        super().__init__()
        self.desk, self.secret = desk, secret

    def render(self, request: server.Request) -> bytes | int:
        """401 without the secret, 400 where what came is malformed, else as the method says."""
        given = request.getHeader(b"authorization") or b""
        if not hmac.compare_digest(given, b"Bearer " + self.secret.value):
            self.desk.count("requests_unauthorized")
            return answer(
                request, 401, {"error": "the secret is not the one of this desk"}, WWW_Authenticate="Bearer"
            )
        try:
            return super().render(request)
        except wire.Malformed as wrong:
            self.desk.count("requests_malformed")
            return answer(request, 400, {"error": str(wrong)})


class Feed(Face):
    """/v1/feed: the order from a place on."""

    isLeaf = True

    def render_GET(self, request: server.Request) -> bytes | int:
        """An endless stream of events, or an answer that says when to come again."""
        asked = follow_request(request)
        if not self.desk.ready():
            return answer(request, 503, {"error": "nothing has been heard from above yet"}, Retry_After=1)
        if self.desk.admission is not None:
            return self.desk.admission.comes(request, asked)
        request.setHeader(b"Content-Type", b"text/event-stream")
        request.setHeader(b"Cache-Control", b"no-store")
        if not self.desk.follow(request, asked):
            return answer(request, 409, {"error": "come again"}, Retry_After=1)
        return server.NOT_DONE_YET


def follow_request(request: server.Request) -> FollowRequest:
    """Who asks for the feed; Malformed where a field is not as it should be."""
    epoch = (request.getHeader(b"x-epoch") or b"").decode("latin-1")
    whole = request.getHeader(b"x-slices")
    return FollowRequest(
        wire.read_number((request.getHeader(b"x-position") or b"").decode("latin-1")),
        wire.read_whole(epoch, f"X-Epoch {epoch}"),
        None if whole is None else wire.read_number(whole.decode("latin-1")),
    )


class Slices(Face):
    """/v1/slices/DIGEST: sealed purges."""

    def getChild(self, path: bytes, request: server.Request) -> "OneSlice":
        """The slice of that digest."""
        return OneSlice(self.desk, self.secret, path)


class OneSlice(Face):
    """/v1/slices/DIGEST: one slice."""

    isLeaf = True

    def __init__(self, desk: Publisher, secret: Secret, digest: bytes) -> None:
        """digest: as a snapshot lists it."""
        super().__init__(desk, secret)
        self.digest = digest

    def render_GET(self, request: server.Request) -> bytes:
        """Its bytes; 404 where it is not listed any more: a new snapshot lists what took its place."""
        body = self.desk.slice(self.digest.decode("latin-1"))
        if body is None:
            return answer(request, 404, {"error": "no slice of that digest is listed"})
        self.desk.count("slices_given")
        request.setHeader(b"Content-Type", b"application/octet-stream")
        return body


class Renew(Face):
    """/v1/renew: the lease of a follower."""

    isLeaf = True

    def render_POST(self, request: server.Request) -> bytes:
        """wire.Granted; 409 to an earlier life of a follower."""
        if not self.desk.ready():
            return answer(request, 503, {"error": "nothing has been heard from above yet"}, Retry_After=1)
        granted = self.desk.renew(wire.read_renew(request.content.read()))
        if granted is None:
            return answer(
                request, 409, {"error": "a later life of this member is known, or there are too many"}
            )
        return answer(request, 200, granted)


class Purges(Face):
    """/v1/purges: submissions, and the newest purges. Only where desk is a Desk."""

    def getChild(self, path: bytes, request: server.Request) -> "OnePurge":
        """/v1/purges/NUMBER."""
        return OnePurge(self.desk, self.secret, path)

    def render_GET(self, request: server.Request) -> bytes:
        """The newest, and how many there are."""
        last = request.args.get(b"last", [str(MOST_SHOWN).encode()])[-1].decode("latin-1")
        most = wire.read_whole(last, f"last={last}")
        if not 1 <= most <= MOST_SHOWN:
            raise wire.Malformed(f"last={last}: 1 to {MOST_SHOWN} is wanted")
        rows, held = self.desk.newest(most)
        return answer(request, 200, {"purges": rows, "of": held})

    def render_POST(self, request: server.Request) -> int:
        """A submission; answered once it is durable, or refused."""
        asked = wire.read_submit(request.content.read())
        items = tuple((item.kind, item.what) for item in asked.purges)
        gone = []
        request.notifyFinish().addErrback(gone.append)
        self.desk.submit(asked.key, items, asked.everything).addCallback(self._answered, request, gone)
        return server.NOT_DONE_YET

    def _answered(self, ended: Accepted | Refused, request: server.Request, gone: list) -> None:
        if gone:
            return  # it asks again under the same key
        if isinstance(ended, Refused):
            fields = {"Retry_After": -(-ended.retry // 10_000)} if ended.retry else {}
            body = answer(request, STATUS[ended.why], {"error": ended.reason}, **fields)
        else:
            body = answer(
                request,
                200,
                {
                    "repeated": ended.repeated,
                    "purges": [
                        {
                            "number": wire.number(p),
                            "made_ms": p.timestamp // 10,
                            "sort": p.kind,
                            "what": p.what,
                        }
                        for p in ended.purges
                    ],
                },
            )
        request.write(body)
        request.finish()


class OnePurge(Face):
    """/v1/purges/NUMBER: one of the newest."""

    isLeaf = True

    def __init__(self, desk: Publisher, secret: Secret, number: bytes) -> None:
        """number: EPOCH.N, an ending of it, or N."""
        super().__init__(desk, secret)
        self.number = number

    def render_GET(self, request: server.Request) -> bytes:
        """From when it is in effect, and who is behind; 404 where it is none of the newest."""
        epoch, n = wire.read_ending(self.number.decode("latin-1"))
        facts = self.desk.purge_facts(n)
        if facts is None or not facts["number"].partition(".")[0].endswith(epoch):
            return answer(request, 404, {"error": UNKNOWN})
        return answer(request, 200, facts)


class Status(Face):
    """/v1/status: followers, positions, counters."""

    isLeaf = True

    def render_GET(self, request: server.Request) -> bytes:
        """See facts() of Desk and Relay."""
        return answer(request, 200, self.desk.facts())


def tree(desk: Publisher, secret: Secret, submits: bool) -> resource.Resource:
    """submits: whether purges are taken here."""
    root, v1 = resource.Resource(), resource.Resource()
    root.putChild(b"v1", v1)
    v1.putChild(b"feed", Feed(desk, secret))
    v1.putChild(b"renew", Renew(desk, secret))
    v1.putChild(b"slices", Slices(desk, secret))
    v1.putChild(b"status", Status(desk, secret))
    if submits:
        v1.putChild(b"purges", Purges(desk, secret))
    return root


def serving(root: resource.Resource) -> server.Site:
    """A factory of bounded requests and idle connections."""
    return server.Site(root, requestFactory=Request, timeout=IDLE)


def site(desk: Publisher, secret: Secret, submits: bool) -> server.Site:
    """tree(), served."""
    return serving(tree(desk, secret, submits))
