"""Inputs and effects of the router's decisions, and the settings and cache list that they work on.

Times and durations are whole tenths of a millisecond; ids are kept as they came. Nothing here decides.
"""

from typing import NamedTuple

# Outcomes of a send. Those in NEVER_RAN prove that the lookup did not run.
SATISFIED, ERRED, FULL, LATE, UNREACHED, BROKEN, CANCELLED, VOID, MISSING = (
    "satisfied",
    "erred",
    "full",
    "late",
    "unreached",
    "broken",
    "cancelled",
    "void",
    "missing",
)
NEVER_RAN = frozenset((FULL, UNREACHED, VOID, MISSING))

# What running a lookup again does, by object kind.
IDEMPOTENT, DEDUPLICATED, SIDE_EFFECTING = "idempotent", "deduplicated", "side-effecting"

# Within which caches repeats of a deduplicated lookup are recognised and dropped.
EVERYWHERE, SAME_ZONE, SAME_CELL = "everywhere", "same zone", "same cell"

# Phases of a cache in the list, and kinds of list.
READY, DRAINING, GONE = "ready", "draining", "gone"
CHANGES, WHOLE, REMEMBERED, UNANSWERED = "changes", "whole", "remembered", "unanswered"

# What an answer reports about the copy, where the deployment reports it (0: nothing).
FOUND, FILLED, FROM_ORIGIN, JOINED, AGED = 1, 2, 3, 4, 5

# Which caches may be the source of another cache's fill.
NO_SIBLINGS, OWN_LOCATION, ANY_SIBLING = "none", "own location", "any"


class ObjectKind(NamedTuple):
    """Settings of one object kind, fixed at start."""

    name: str
    latency_budget: int
    budget_stretch: float  # the budget grows by this multiple of the lookup's own sending time
    deadline: int  # total time that a client waits
    utility: float
    late_share: float  # share of the utility that is left when satisfied after the budget
    idempotency: str  # IDEMPOTENT, DEDUPLICATED or SIDE_EFFECTING
    dedup_scope: str  # deduplicated: where repeats are dropped; EVERYWHERE, SAME_ZONE or SAME_CELL
    dedup_duration: int  # deduplicated: how long repeats are dropped
    fresh_duration: int  # how long a copy is fresh; 0: until purged
    stale_grace: int  # how much older a copy may be where an older one is asked for
    stale_share: float  # share of the utility that is left when the copy is stale
    in_parts: bool  # fetched in parts, each placed on its own
    write: bool  # runs at the origin and leaves no copy in a cache


class Topology(NamedTuple):
    """Position of this router among routers, zones and machines."""

    number: int  # of this router
    routers: int  # in all zones
    zone: str
    zones: tuple  # names
    hub_by_zone: tuple  # by zone: index of its hub zone
    routers_by_zone: tuple  # by zone: number of routers that serve it
    link_rates: tuple  # by zone: KB a second into it, 0 if unknown
    parent_machine_type: str | None  # None: there are no parents
    origin_machine_type: str
    siblings: str  # NO_SIBLINGS, OWN_LOCATION or ANY_SIBLING
    answer_rate: float  # KB a second of one answer; the unit of the caches' weights

    @property
    def zone_routers(self):
        """Number of routers that serve this router's zone, itself included; at least 1."""
        return max(1, self.routers_by_zone[self.zones.index(self.zone)])


class Terms(NamedTuple):
    """A deployment's limits, rules and prices, fixed at start."""

    topology: Topology
    kinds: tuple
    must_subscribe: bool  # changes of the cache list are sent only to routers that subscribe
    max_sends: int  # per lookup
    may_duplicate: bool  # a lookup may have two sends in flight
    may_cancel: bool
    may_probe: bool
    may_message_peers: bool
    may_bypass_caches: bool  # sends may go to parents and the origin directly
    may_join_fills: bool  # a send may wait for a fill already under way
    max_retry_after: int
    connect_timeout: int  # connections not established within this time are abandoned
    idle_timeout: int  # connections idle for this long are closed
    max_pending_lookups: int
    sends_retry_after: bool  # nacked clients are told when to retry
    report_fields: tuple
    report_mode: str  # "answers", "probes" or "none"
    note_level: str  # "all", "hit" or "none"
    drain_grace: int  # how long sends to a draining cache are still allowed
    purge_grace: int  # how long after a purge older copies may still answer
    purge_duration: int  # a purge has been applied everywhere after this time
    cold_share: float  # share of its capacity that a cache has at its start
    cold_duration: int  # until it has all of it
    overload_multiple: float  # a cold cache fails under this multiple of its capacity
    overload_duration: int  # that lasts this long
    parent_cold_share: float
    parent_cold_duration: int
    parent_overload_multiple: float
    origin_overload_multiple: float
    origin_overload_duration: int
    tick: int
    own_copy_bytes: int = 0  # for the router's own copies; 0: it keeps none
    own_concurrent_answers: float = 0.0  # full-rate answers that the router's own link carries at once
    own_answer_rate: float = 0.0  # bytes per time unit of one answer from an own copy


class Cache(NamedTuple):
    """One entry of the cache list, which includes parents and the origin."""

    id: str
    zone: str
    cell: int
    weight: float
    born: int  # time of its last start; 0: long ago
    phase: str
    machine_type: str


# ---- inputs


class CacheList(NamedTuple):
    """The list of caches or changes of it; mode: CHANGES, WHOLE, REMEMBERED or UNANSWERED."""

    mode: str
    caches: tuple


class Lookup(NamedTuple):
    """A client's request."""

    id: int
    kind: str
    object: str
    part: int
    group: int
    size: float  # KB, 0 if unknown
    due: int  # when the client gives up on this attempt
    repeat: bool  # the client has sent it before


class Begun(NamedTuple):
    """The answer of a send has begun to arrive."""

    id: int
    send: int


class SendEnd(NamedTuple):
    """A send has ended."""

    id: int
    send: int
    outcome: str
    copy_status: int
    settled: bool  # the lookup has got its final answer
    duration: int
    cache: str
    report: tuple | None
    copy: tuple | None = None  # if the router may keep it: (when the origin gave it out, bytes)


class CopyVerified(NamedTuple):
    """It is known whether the response of a send whose copy is held was whole."""

    id: int
    send: int
    whole: bool  # nothing followed it on its connection


class CopyRevoked(NamedTuple):
    """Something followed the response of a stored copy after all: it may be cut off or another object's."""

    kind: str
    object: str
    part: int
    made: int  # when the origin issued it


class ClientGone(NamedTuple):
    """The client of a lookup has disconnected or given up."""

    id: int


class Alarm(NamedTuple):
    """An alarm that SetAlarm requested has gone off."""

    token: int


class ProbeEnd(NamedTuple):
    """A probe of a cache has ended."""

    outcome: str
    cache: str
    duration: int
    report: tuple | None


class Whisper(NamedTuple):
    """A message from another router."""

    sender: int
    text: bytes


class Purged(NamedTuple):
    """An object or a whole group was purged."""

    age: int  # how long ago
    group: int
    object: str | None  # none: the whole group


NEVER_HEARD = 1 << 50  # age of the last news of a feed that has told nothing yet


class FeedHeard(NamedTuple):
    """The feed of purges has told all that it had to tell. Without this input there is no feed."""

    age: int  # how long ago at most


class EventsMissed(NamedTuple):
    """The feed told what was not understood, or left something out: it may have been any purge."""


# ---- effects

ANY_TIME = 1 << 40  # over three years, that is no limit


class Ask(NamedTuple):
    """A send that is answered from what the target holds and starts no fill."""

    id: int
    cache: str
    timeout: int
    start_within: int = ANY_TIME  # if it is not written within this time, it is never written


class Obtain(NamedTuple):
    """A send that states the source of a fill, whether the copy is stored and which age is acceptable."""

    id: int
    cache: str
    source: str
    timeout: int
    max_age: int  # 0: a copy of any age
    priority: int
    join_fill: bool  # wait for a fill of the same object that is under way
    hits_only: bool  # do not fill
    no_store: bool  # do not keep what the fill brings
    revalidate: bool  # ask the source whether an old copy is still valid
    start_within: int = ANY_TIME  # as in Ask


class Nack(NamedTuple):
    """Rejects a lookup that the client may retry."""

    id: int
    retry_after: int
    reason: str = ""  # for counters and traces


class Fail(NamedTuple):
    """Fails a lookup that must not be retried."""

    id: int
    reason: str = ""


class HoldCopy(NamedTuple):
    """Holds the answer of this send until CopyVerified tells whether it was whole."""

    id: int
    send: int


class Keep(NamedTuple):
    """Stores the held answer of this send as a copy of the router's own."""

    id: int
    send: int


class Drop(NamedTuple):
    """Removes a copy of the router's own."""

    kind: str
    object: str
    part: int


class Give(NamedTuple):
    """Answers the lookup from the router's own copy."""

    id: int


class Cancel(NamedTuple):
    """Cancels a send in flight."""

    id: int
    send: int


class SetAlarm(NamedTuple):
    """Requests an Alarm with this token after `delay`."""

    delay: int
    token: int


class Subscribe(NamedTuple):
    """Subscribes to changes of the cache list; a CacheList answers, UNANSWERED if it failed."""

    wanted: bool


class Probe(NamedTuple):
    """Requests a report of a cache."""

    cache: str


class Tell(NamedTuple):
    """Sends a message to another router."""

    router: int
    text: bytes


class Log(NamedTuple):
    """Writes a line to the log."""

    text: str
