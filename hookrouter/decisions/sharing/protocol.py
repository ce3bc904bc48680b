"""Messages in datagrams and streams, the settings, and the events and effects of the sharing decisions.

Times are whole tenths of a millisecond. Only ages are sent, never clock readings, so a member whose clock is
a day ahead reports nothing wrong by it. Loads are sent in whole hundredths of a send.
"""

from typing import Annotated, NamedTuple

import msgspec

MAX_INTEGER = 1 << 53
MAX_AGE = 600_000  # 60 s: older reports are ignored, whatever the settings say
MAX_LOAD = 10_000_000  # hundredths: no router has 100,000 sends in flight to one cache
MAX_LOADS = 64  # in one report
MAX_REPORTS = 16  # in one datagram
MAX_REPORT_BYTES = 1_000  # of reports in one datagram: with header, envelope and seal under 1,280
REPORT_OVERHEAD = 94  # bytes of a report beside its loads, with the longest name
LOAD_SCALE = 100  # hundredths of a send in one

NonNegative = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Age = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,64}$")]
Id = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Source = Annotated[str, msgspec.Meta(max_length=64)]
Hundredths = Annotated[int, msgspec.Meta(ge=0, le=MAX_LOAD)]
Topic = Annotated[str, msgspec.Meta(min_length=1, max_length=16)]


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of one cache by all routers that a report covers.

    `in_flight` is the average number of sends under way there and `rate` the sends started there a second,
    both in hundredths. `source` is what fills them, "" for all sends to the cache.
    """

    cache: Id
    source: Source
    in_flight: Hundredths
    rate: Hundredths

    def size(self):
        """Upper bound of its encoded size, in bytes."""
        return 11 + len(self.cache.encode()) + len(self.source.encode())


class Report(msgspec.Struct, array_like=True, frozen=True):
    """Loads that a reporter sends for itself and the members it reports for.

    `number` rises with each report of the reporter's process, which `life` identifies. `member_count` is the
    number of members covered. `complete` says that these are all loads; else others follow under other
    numbers.
    """

    reporter: Name
    life: NonNegative
    number: NonNegative
    age: Age
    member_count: Annotated[int, msgspec.Meta(ge=1, le=20_000)]
    complete: bool
    loads: Annotated[list[Load], msgspec.Meta(max_length=MAX_LOADS)]

    def size(self):
        """Upper bound of its encoded size in a datagram, in bytes."""
        return REPORT_OVERHEAD + sum(load.size() for load in self.loads)


class CacheState(msgspec.Struct, array_like=True, frozen=True):
    """What a router has learnt about a cache.

    `failures` counts the failures in a row, `answer_time` is the mean answer time beyond sending,
    `refused_share` the share of sends refused, and `cold_age` the time since the cache started, -1 where that
    is long ago.
    """

    cache: Id
    failures: Annotated[int, msgspec.Meta(ge=0, le=1_000)]
    silent: bool
    answer_time: Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    refused_share: Annotated[float, msgspec.Meta(ge=0, le=1)]
    cold_age: Annotated[int, msgspec.Meta(ge=-1, le=MAX_INTEGER)]
    age: Age


class KindTimes(msgspec.Struct, array_like=True, frozen=True):
    """Average and deviation of answer times beyond sending, of one object kind."""

    kind: Id
    average: Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    deviation: Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    age: Age


# ---- in datagrams


class TableDigest(msgspec.Struct, tag="Sums", array_like=True, frozen=True):
    """Versions of the sender's load table, for anti-entropy: (hash of a reporter's process, report number).

    `is_reply` is set where the receiver's own digest is being answered.
    """

    versions: Annotated[list[tuple[NonNegative, NonNegative]], msgspec.Meta(max_length=64)]
    is_reply: bool


class ReportList(msgspec.Struct, tag="Told", array_like=True, frozen=True):
    """Reports that the receiver lacks, as its digest shows."""

    reports: Annotated[list[Report], msgspec.Meta(max_length=MAX_REPORTS)]


class Delegation(msgspec.Struct, tag="Charge", array_like=True, frozen=True):
    """The loads of a member that is no reporter, sent to the reporter that covers it."""

    report: Report


Message = TableDigest | ReportList | Delegation


# ---- over streams


class Pull(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Request for a list from a byte offset on; `version` is that of the list begun, 0 at the start."""

    topic: Topic
    version: NonNegative
    offset: Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]


class Piece(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Part of a list; `remaining` is the number of bytes that follow.

    Offset 0 and another version mean that the list has changed and the pull starts over.
    """

    topic: Topic
    version: NonNegative
    offset: Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]
    remaining: Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]
    data: Annotated[bytes, msgspec.Meta(max_length=65_536)]


Streamed = Pull | Piece


# ---- settings


class Terms(NamedTuple):
    """Settings of sharing."""

    reporters: int = 16  # of a zone; each covers others, so one counts for an eighth of the sum at most
    compare_interval: int = 2_000  # 200 ms between comparisons: 500 members have a report in some 2 s
    report_interval: int = 11_000  # 1.1 s between reports of a full zone's reporter; fewer report more often
    summary_interval: int = 5_000  # 500 ms between summaries: half of the time that reports take to spread
    min_report_interval: int = 2_000  # 200 ms: one comparison interval
    silent_after: int = 80_000  # 8 s until a report expires: it may be delayed by 5 s, and comes every second
    max_share: float = 0.125  # of a sum that one reporter may make up
    floor_in_flight: float = 1.0  # claims below these, in flight and a second, are never capped: where only
    floor_rate: float = 4.0  # three routers send at all, each is a third of the sum
    max_scale: float = 4.0  # multiple of the reported sum, for routers that reported nothing
    max_caches: int = 256  # loads kept of one reporter
    pull_within: int = 10_000  # 1 s for what a starting router pulls
    pull_rate: int = 256_000  # bytes a second that a member lends, to all together


# ---- output


class Summary(NamedTuple):
    """Estimated sum of the loads of all other living routers of the zone at one cache."""

    cache: str
    others_in_flight: float  # sends under way
    others_rate: float  # sends started a second
    age: int  # mean age of the reports
    covered_routers: int  # whose loads are in the reports
    other_routers: int  # of the zone that are alive
    uncertain: bool  # under half of them covered, reports in the last half of their time, or a claim capped


# ---- events


class Tick(NamedTuple):
    """Time has passed."""


class Received(NamedTuple):
    """A message from a member."""

    name: str
    life: int
    message: object


class OwnLoads(NamedTuple):
    """This router's loads: (cache, source or "", sends in flight, sends started a second)."""

    loads: tuple


class LivingRouters(NamedTuple):
    """Routers of the zone that are alive in the membership view, this one included: {name: life}."""

    zone: dict


# ---- effects


class Send(NamedTuple):
    """Send a message to a member in a datagram."""

    name: str
    message: object


class Summaries(NamedTuple):
    """A Summary of each cache that reports are known of."""

    summaries: tuple
