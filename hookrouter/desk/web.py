"""The HTTP interface of desk and relay: a shared secret, JSON bodies of bounded size, and the event stream.

GET /v1/feed         X-Position: EPOCH.N, X-Epoch: the highest epoch seen, X-Slices: EPOCH.N up to which all
                     slices are held -> server-sent events, each a wire.Event
GET /v1/slices/NAME  the bytes of a sealed slice that a snapshot has listed; 404 if it is no longer kept
POST /v1/renew       wire.Renew -> wire.Granted
POST /v1/purges      wire.Submit -> numbers; 400 malformed, 409 key used for another submission, 503 with
                     Retry-After
GET /v1/purges/N.N   when it takes effect, and which followers are behind; N, or a suffix of N.N, is accepted
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

IDLE_TIMEOUT = 30.0  # seconds that a connection may stay without a request
MAX_LISTED = 1_000  # purges in one listing
UNKNOWN_PURGE = "no purge of that number among the newest that the desk shows; purges list has them"
STATUS_CODES = {"form": 400, "key": 409, "busy": 503}


class BoundedRequest(server.Request):
    """A request whose body has a length of at most MOST_BODY."""

    def gotLength(self, length: int | None) -> None:
        """Aborts the connection if the body has no length or is larger than MOST_BODY."""
        if length is None or length > wire.MOST_BODY:
            self.content = BytesIO()
            self.channel.forceAbortClient()
            return
        super().gotLength(length)


def json_response(request: server.Request, status: int, body: object, **fields: object) -> bytes:
    """Returns the body as JSON for render; sets the status and the header fields (_ becomes -)."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    for name, value in fields.items():
        request.setHeader(name.replace("_", "-").encode(), str(value).encode())
    return wire.write(body)


class AuthenticatedResource(resource.Resource):
    """A resource for clients that know the shared secret."""

    def __init__(self, publisher: Publisher, secret: Secret) -> None:
        """publisher: the Desk or Relay, or the Door of fleet/member/purge_door.py."""
        super().__init__()
        self.publisher, self.secret = publisher, secret

    def render(self, request: server.Request) -> bytes | int:
        """Answers 401 without the secret and 400 to malformed requests; otherwise calls the method."""
        authorization = request.getHeader(b"authorization") or b""
        if not hmac.compare_digest(authorization, b"Bearer " + self.secret.value):
            self.publisher.count("requests_unauthorized")
            return json_response(
                request, 401, {"error": "the secret is not the one of this desk"}, WWW_Authenticate="Bearer"
            )
        try:
            return super().render(request)
        except wire.Malformed as error:
            self.publisher.count("requests_malformed")
            return json_response(request, 400, {"error": str(error)})


class Feed(AuthenticatedResource):
    """/v1/feed: the order from a position on."""

    isLeaf = True

    def render_GET(self, request: server.Request) -> bytes | int:
        """Starts an endless stream of events, or answers when to retry."""
        follow_request = read_follow_request(request)
        if not self.publisher.ready():
            return json_response(
                request, 503, {"error": "nothing has been heard from above yet"}, Retry_After=1
            )
        if self.publisher.admission is not None:
            return self.publisher.admission.add_request(request, follow_request)
        request.setHeader(b"Content-Type", b"text/event-stream")
        request.setHeader(b"Cache-Control", b"no-store")
        if not self.publisher.follow(request, follow_request):
            return json_response(request, 409, {"error": "come again"}, Retry_After=1)
        return server.NOT_DONE_YET


def read_follow_request(request: server.Request) -> FollowRequest:
    """Reads the header fields of a feed request; raises wire.Malformed."""
    epoch = (request.getHeader(b"x-epoch") or b"").decode("latin-1")
    sealed_through = request.getHeader(b"x-slices")
    return FollowRequest(
        wire.read_number((request.getHeader(b"x-position") or b"").decode("latin-1")),
        wire.read_whole(epoch, f"X-Epoch {epoch}"),
        None if sealed_through is None else wire.read_number(sealed_through.decode("latin-1")),
    )


class Slices(AuthenticatedResource):
    """/v1/slices/: sealed slices by digest."""

    def getChild(self, path: bytes, request: server.Request) -> "OneSlice":
        """Returns the resource of that digest."""
        return OneSlice(self.publisher, self.secret, path)


class OneSlice(AuthenticatedResource):
    """/v1/slices/DIGEST: one slice."""

    isLeaf = True

    def __init__(self, publisher: Publisher, secret: Secret, digest: bytes) -> None:
        """digest: as listed by a snapshot."""
        super().__init__(publisher, secret)
        self.digest = digest

    def render_GET(self, request: server.Request) -> bytes:
        """Returns its bytes; 404 if it is no longer listed: a new snapshot lists its replacement."""
        body = self.publisher.slice(self.digest.decode("latin-1"))
        if body is None:
            return json_response(request, 404, {"error": "no slice of that digest is listed"})
        self.publisher.count("slices_given")
        request.setHeader(b"Content-Type", b"application/octet-stream")
        return body


class Renew(AuthenticatedResource):
    """/v1/renew: renews the lease of a follower."""

    isLeaf = True

    def render_POST(self, request: server.Request) -> bytes:
        """Answers wire.Granted; 409 if the follower is of an earlier generation or one too many."""
        if not self.publisher.ready():
            return json_response(
                request, 503, {"error": "nothing has been heard from above yet"}, Retry_After=1
            )
        granted = self.publisher.renew(wire.read_renew(request.content.read()))
        if granted is None:
            return json_response(
                request,
                409,
                {"error": "a later life of this member is known, or there are too many"},
            )
        return json_response(request, 200, granted)


class Purges(AuthenticatedResource):
    """/v1/purges: submissions, and the newest purges. Only at a Desk."""

    def getChild(self, path: bytes, request: server.Request) -> "OnePurge":
        """Returns the resource of one purge."""
        return OnePurge(self.publisher, self.secret, path)

    def render_GET(self, request: server.Request) -> bytes:
        """Lists the newest purges, with the total count."""
        last = request.args.get(b"last", [str(MAX_LISTED).encode()])[-1].decode("latin-1")
        limit = wire.read_whole(last, f"last={last}")
        if not 1 <= limit <= MAX_LISTED:
            raise wire.Malformed(f"last={last}: 1 to {MAX_LISTED} is wanted")
        rows, total = self.publisher.newest(limit)
        return json_response(request, 200, {"purges": rows, "of": total})

    def render_POST(self, request: server.Request) -> int:
        """Submits purges; answers once they are durable, or refused."""
        submission = wire.read_submit(request.content.read())
        items = tuple((item.kind, item.what) for item in submission.purges)
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        self.publisher.submit(submission.key, items, submission.everything).addCallback(
            self._send_outcome, request, disconnects
        )
        return server.NOT_DONE_YET

    def _send_outcome(self, outcome: Accepted | Refused, request: server.Request, disconnects: list) -> None:
        if disconnects:
            return  # the client retries under the same key
        if isinstance(outcome, Refused):
            fields = {"Retry_After": -(-outcome.retry // 10_000)} if outcome.retry else {}
            body = json_response(request, STATUS_CODES[outcome.why], {"error": outcome.reason}, **fields)
        else:
            body = json_response(
                request,
                200,
                {
                    "repeated": outcome.repeated,
                    "purges": [
                        {
                            "number": wire.number(purge),
                            "made_ms": purge.timestamp // 10,
                            "sort": purge.kind,
                            "what": purge.what,
                        }
                        for purge in outcome.purges
                    ],
                },
            )
        request.write(body)
        request.finish()


class OnePurge(AuthenticatedResource):
    """/v1/purges/NUMBER: one of the newest."""

    isLeaf = True

    def __init__(self, publisher: Publisher, secret: Secret, number: bytes) -> None:
        """number: EPOCH.N, a suffix of it, or N."""
        super().__init__(publisher, secret)
        self.number = number

    def render_GET(self, request: server.Request) -> bytes:
        """Answers when it takes effect and which followers are behind; 404 if not among the newest."""
        epoch, purge_number = wire.read_ending(self.number.decode("latin-1"))
        facts = self.publisher.purge_facts(purge_number)
        if facts is None or not facts["number"].partition(".")[0].endswith(epoch):
            return json_response(request, 404, {"error": UNKNOWN_PURGE})
        return json_response(request, 200, facts)


class Status(AuthenticatedResource):
    """/v1/status: followers, positions, counters."""

    isLeaf = True

    def render_GET(self, request: server.Request) -> bytes:
        """Answers facts() of the Desk or Relay."""
        return json_response(request, 200, self.publisher.facts())


def resource_tree(publisher: Publisher, secret: Secret, accepts_submissions: bool) -> resource.Resource:
    """Builds the resources under /v1. accepts_submissions: whether purges can be submitted here."""
    root, v1 = resource.Resource(), resource.Resource()
    root.putChild(b"v1", v1)
    v1.putChild(b"feed", Feed(publisher, secret))
    v1.putChild(b"renew", Renew(publisher, secret))
    v1.putChild(b"slices", Slices(publisher, secret))
    v1.putChild(b"status", Status(publisher, secret))
    if accepts_submissions:
        v1.putChild(b"purges", Purges(publisher, secret))
    return root


def bounded_site(root: resource.Resource) -> server.Site:
    """Returns a site with bounded request bodies and an idle timeout."""
    return server.Site(root, requestFactory=BoundedRequest, timeout=IDLE_TIMEOUT)


def publisher_site(publisher: Publisher, secret: Secret, accepts_submissions: bool) -> server.Site:
    """Returns a site that serves resource_tree()."""
    return bounded_site(resource_tree(publisher, secret, accepts_submissions))
