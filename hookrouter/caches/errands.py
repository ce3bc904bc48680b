"""What a send carries to a cache, as the head of a request, and what its answer says."""

from typing import NamedTuple
from urllib.parse import quote

from .. import interface
from ..parsers import http1
from ..terms import UNITS_PER_MS

MOST_DIGITS = 15  # of a time in milliseconds: years have 13
LONGEST_BODY = 240_000  # bytes, of any object's part
NOTES = {
    b"hit": interface.FOUND,
    b"filled": interface.FILLED,
    b"via_origin": interface.FROM_ORIGIN,
    b"joined": interface.JOINED,
    b"stale": interface.AGED,
}


class Errand(NamedTuple):
    """One send; ids as the client gave them. source None: what the cache holds, or what the origin does."""

    kind: str
    trace: str
    object: str
    part: int
    key: str | None
    seen: str | None
    body: bytes
    wait: int
    source: str | None = None
    rank: int = 0
    age: int = 0
    join: bool = False
    held_only: bool = False
    unkept: bool = False
    renew: bool = False
    once: bool = False  # it may not simply be repeated
    fence: str = ""  # "DUTY NUMBER" of an owner's send: the cache refuses a lower number than it has seen


class Ended(NamedTuple):
    """How a send or probe ended; the body in pieces, as they came."""

    end: str
    note: int = 0
    report: tuple | None = None
    pieces: tuple = ()
    length: int = 0
    unchanged: bool = False  # the client's own copy is the one
    made: int | None = None  # when the origin gave this copy out, where it may be kept
    tag: str = ""
    since: int | None = None  # when the origin gave out the copy that answered, kept or not
    tags: str | None = None  # of that copy, as it says
    refused: bool = False  # the cache has seen a higher number of that duty


def millis(tenths):
    """Whole milliseconds, down; what is left of one is one, for none means without limit."""
    return b"%d" % max(1, tenths // UNITS_PER_MS)


def request(errand, host):
    target = f"/fetch/{quote(errand.kind, safe='')}/{errand.object}/{errand.part}".encode()
    fields = [(b"Host", host), (b"X-Trace", errand.trace.encode()), (b"X-Patience", millis(errand.wait))]
    if errand.key is not None:
        fields.append((b"X-Op-Key", errand.key.encode()))
    if errand.source is not None:
        fields.append((b"X-Origin-Pick", errand.source.encode()))
    if errand.rank:
        fields.append((b"X-Priority", b"%d" % errand.rank))
    if errand.age:
        fields.append((b"X-Stale-Limit", millis(errand.age)))
    ways = [
        word
        for word, wanted in (
            (b"join", errand.join),
            (b"held", errand.held_only),
            (b"nocopy", errand.unkept),
            (b"renew", errand.renew),
        )
        if wanted
    ]
    if ways:
        fields.append((b"X-Do", b"+".join(ways)))
    if errand.seen is not None:
        fields.append((b"X-Seen", errand.seen.encode()))
    if errand.fence:
        fields.append((b"X-Fence", errand.fence.encode()))
    if errand.body:  # a write's goes with the one method that there is
        fields.append((b"Content-Length", b"%d" % len(errand.body)))
    return http1.request(b"GET", target, fields, errand.body)


def probe(reports, host):
    return http1.request(b"GET", b"/busy" if reports else b"/ping", [(b"Host", host)])


def read_ended(answer, pieces, length, names):
    """What a whole answer says; names: the fields of load reports, where these come at all."""
    declined = answer.fields.get(b"x-declined") == b"1"
    end = {200: interface.SATISFIED, 304: interface.SATISFIED, 404: interface.MISSING}.get(
        answer.status, interface.ERRED
    )
    if declined and answer.status == 503:
        end = interface.FULL
    elif declined and answer.status == 504:
        end = interface.VOID
    since, tags = read_since(answer), answer.fields.get(b"x-tags")
    return Ended(
        end,
        NOTES.get(answer.fields.get(b"x-result"), 0),
        read_report(answer.fields.get(b"x-stats"), names),
        pieces,
        length,
        answer.status == 304,
        since if answer.status == 200 else None,
        answer.fields.get(b"x-rev", b"").decode("latin-1"),
        since,
        None if tags is None else tags.decode("latin-1"),
        answer.status == 409,
    )


def read_since(answer):
    """X-Since-Ms, Unix milliseconds, in tenths; None where it is not told."""
    since = answer.fields.get(b"x-since-ms", b"")
    return int(since) * UNITS_PER_MS if since.isdigit() and len(since) <= MOST_DIGITS else None


def read_report(text, names):
    """The values of the named fields, or None where one is not there."""
    if text is None or not names:
        return None
    values = {}
    for pair in text.split(b";"):
        name, _, value = pair.partition(b":")
        try:
            values[name.strip().decode("latin-1")] = float(value)
        except ValueError:
            return None
    return tuple(values[name] for name in names) if all(name in values for name in names) else None
