"""Encodes the requests to a cache, and interprets its responses."""

from typing import NamedTuple
from urllib.parse import quote

from .. import interface
from ..parsers import http1
from ..terms import UNITS_PER_MS
from .response_tail import ResponseTail

MAX_TIME_DIGITS = 15  # in a time in milliseconds: current times have 13
MAX_BODY_BYTES = 240_000  # of any part of an object
COPY_STATUS_BY_RESULT = {
    b"hit": interface.FOUND,
    b"filled": interface.FILLED,
    b"via_origin": interface.FROM_ORIGIN,
    b"joined": interface.JOINED,
    b"stale": interface.AGED,
}


class CacheRequest(NamedTuple):
    """One send. Ids are as given by the client; timeout and max_age in tenths of a millisecond, 0 for any
    age. source: where a fill comes from; None for what the cache holds, or the origin itself.
    """

    kind: str
    trace: str
    object: str
    part: int
    dedup_key: str | None
    client_revision: str | None
    body: bytes
    timeout: int
    source: str | None = None
    priority: int = 0
    max_age: int = 0
    join_fill: bool = False
    hits_only: bool = False
    no_store: bool = False
    revalidate: bool = False
    not_repeatable: bool = False  # running it twice would have an effect
    fencing_token: str = (
        ""  # "DUTY NUMBER" of an owner's send: the cache rejects a number lower than it has seen
    )


class SendResult(NamedTuple):
    """How a send or probe ended; the body is in pieces as received."""

    outcome: str
    copy_status: int = 0
    report: tuple | None = None
    pieces: tuple = ()
    length: int = 0
    not_modified: bool = False  # the client's own copy is current
    storable_issued_at: int | None = None  # issued_at, if the router may store this copy
    revision: str = ""
    issued_at: int | None = None  # when the origin issued the copy, storable or not
    tags: str | None = None  # surrogate tags of the copy, as in the response
    fence_rejected: bool = False  # the cache has seen a higher fencing token
    tail: ResponseTail | None = None  # where the copy may be stored: whether anything follows the response


def encode_ms(tenths):
    """Whole milliseconds, rounded down but at least 1, because 0 would mean no limit."""
    return b"%d" % max(1, tenths // UNITS_PER_MS)


def encode_request(request, host):
    """HTTP request of a send. host: value of the Host field."""
    target = f"/fetch/{quote(request.kind, safe='')}/{request.object}/{request.part}".encode()
    fields = [
        (b"Host", host),
        (b"X-Trace", request.trace.encode()),
        (b"X-Patience", encode_ms(request.timeout)),
    ]
    if request.dedup_key is not None:
        fields.append((b"X-Op-Key", request.dedup_key.encode()))
    if request.source is not None:
        fields.append((b"X-Origin-Pick", request.source.encode()))
    if request.priority:
        fields.append((b"X-Priority", b"%d" % request.priority))
    if request.max_age:
        fields.append((b"X-Stale-Limit", encode_ms(request.max_age)))
    directives = [
        word
        for word, wanted in (
            (b"join", request.join_fill),
            (b"held", request.hits_only),
            (b"nocopy", request.no_store),
            (b"renew", request.revalidate),
        )
        if wanted
    ]
    if directives:
        fields.append((b"X-Do", b"+".join(directives)))
    if request.client_revision is not None:
        fields.append((b"X-Seen", request.client_revision.encode()))
    if request.fencing_token:
        fields.append((b"X-Fence", request.fencing_token.encode()))
    if request.body:  # writes use GET as well, the only method of the protocol
        fields.append((b"Content-Length", b"%d" % len(request.body)))
    return http1.request(b"GET", target, fields, request.body)


def request_encoder(request, host):
    """A function that encodes the request when it is written; it takes the time left until its timeout, in
    tenths of a millisecond, since a request may have waited for a connection.
    """

    def encode(time_left):
        return encode_request(request._replace(timeout=min(request.timeout, time_left)), host)

    return encode


def probe_encoder(load_reports, host):
    """The same for a probe, which states no time."""
    return lambda time_left: encode_probe(load_reports, host)


def encode_probe(load_reports, host):
    """HTTP request of a probe, with a load report where the deployment has them."""
    return http1.request(b"GET", b"/busy" if load_reports else b"/ping", [(b"Host", host)])


def read_result(answer, pieces, length, report_fields, tail=None):
    """SendResult of a complete response. report_fields: names of the fields of load reports, () without
    reports. tail: tells whether anything follows the response; None: something does already.
    """
    declined = answer.fields.get(b"x-declined") == b"1"
    outcome = {200: interface.SATISFIED, 304: interface.SATISFIED, 404: interface.MISSING}.get(
        answer.status, interface.ERRED
    )
    if declined and answer.status == 503:
        outcome = interface.FULL
    elif declined and answer.status == 504:
        outcome = interface.VOID
    issued_at, tags = read_issued_at(answer), answer.fields.get(b"x-tags")
    is_storable = answer.status == 200 and issued_at is not None and tail is not None
    return SendResult(
        outcome,
        COPY_STATUS_BY_RESULT.get(answer.fields.get(b"x-result"), 0),
        read_report(answer.fields.get(b"x-stats"), report_fields),
        pieces,
        length,
        answer.status == 304,
        issued_at if is_storable else None,
        answer.fields.get(b"x-rev", b"").decode("latin-1"),
        issued_at,
        None if tags is None else tags.decode("latin-1"),
        answer.status == 409,
        tail if is_storable else None,
    )


def read_issued_at(answer):
    """X-Since-Ms (Unix milliseconds) in tenths of a millisecond; None if it is missing or invalid."""
    issued_at = answer.fields.get(b"x-since-ms", b"")
    return (
        int(issued_at) * UNITS_PER_MS if issued_at.isdigit() and len(issued_at) <= MAX_TIME_DIGITS else None
    )


def read_report(text, report_fields):
    """The values of the named fields, or None where one is not there."""
    if text is None or not report_fields:
        return None
    values = {}
    for pair in text.split(b";"):
        name, _, value = pair.partition(b":")
        try:
            values[name.strip().decode("latin-1")] = float(value)
        except ValueError:
            return None
    return (
        tuple(values[name] for name in report_fields)
        if all(name in values for name in report_fields)
        else None
    )
