"""What goes into a decision and what comes out of it, in the words of the people who run it.

Times and spans are whole tenths of a millisecond; ids are kept as the wire gave them. Nothing here decides.
"""

from typing import NamedTuple

# How a send ended. NEVER_RAN holds those that prove that the lookup did not run.
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

# What a repeat of a lookup does, by object kind.
IDEMPOTENT, DEDUPLICATED, SIDE_EFFECTING = "idempotent", "deduplicated", "side-effecting"

# Where the repeats of a deduplicated lookup are dropped.
EVERYWHERE, SAME_ZONE, SAME_CELL = "everywhere", "same zone", "same cell"

# Phases of a cache in the list, and the kinds of list.
READY, DRAINING, GONE = "ready", "draining", "gone"
CHANGES, WHOLE, REMEMBERED, UNANSWERED = "changes", "whole", "remembered", "unanswered"

# What an answer tells of the copy, where the deployment tells it (0: nothing told).
FOUND, FILLED, FROM_ORIGIN, JOINED, AGED = 1, 2, 3, 4, 5

# Which caches may be a source for another.
NO_SIBLINGS, OWN_LOCATION, ANY_SIBLING = "none", "own location", "any"


class ObjectKind(NamedTuple):
    """One kind of object, as stated at start."""

    name: str
    latency_budget: int
    budget_stretch: float  # the budget grows by this many times the lookup's own sending time
    deadline: int  # what a client waits in all
    utility: float
    late_share: float  # of the utility, when satisfied after the budget
    idempotency: str
    dedup_scope: str  # deduplicated: where repeats are dropped
    dedup_duration: int  # deduplicated: for how long
    fresh_duration: int  # how long a copy is fresh; 0: until purged
    stale_grace: int  # how much older it may be when asked for
    stale_share: float
    in_parts: bool
    write: bool  # runs at the origin and leaves no copy


class Topology(NamedTuple):
    """Where this router stands and what surrounds it."""

    number: int
    routers: int
    zone: str
    zones: tuple  # names
    hub_by_zone: tuple  # by zone: index of the hub zone it hangs off
    routers_by_zone: tuple  # by zone: routers that serve it
    link_rates: tuple  # by zone: KB a second into it, 0 where not told
    parent_machine_type: str | None  # machine kind of the parents
    origin_machine_type: str
    siblings: str
    answer_rate: float  # KB a second of one answer; the unit of the caches' weights

    @property
    def zone_routers(self):
        """Routers that serve this one's zone, itself among them."""
        return max(1, self.routers_by_zone[self.zones.index(self.zone)])


class Terms(NamedTuple):
    """What a deployment states of itself at start: limits, rules and prices."""

    topology: Topology
    kinds: tuple
    must_subscribe: bool  # changes of the list come only to those that ask for them
    max_sends: int
    may_duplicate: bool
    may_cancel: bool
    may_probe: bool
    may_message_peers: bool
    may_bypass_caches: bool  # parents and the origin take sends too
    may_join_fills: bool
    max_retry_after: int
    connect_timeout: int  # a connection not up by then is given up
    idle_timeout: int  # an idle connection is closed then
    max_pending_lookups: int  # lookups at once
    sends_retry_after: bool  # clients are told how long to stay away
    report_fields: tuple
    report_mode: str  # "answers", "probes" or "none"
    note_level: str  # "all", "hit" or "none"
    drain_grace: int
    purge_grace: int
    purge_duration: int
    cold_share: float
    cold_duration: int
    overload_multiple: float
    overload_duration: int
    parent_cold_share: float
    parent_cold_duration: int
    parent_overload_multiple: float
    origin_overload_multiple: float
    origin_overload_duration: int
    tick: int
    own_copy_bytes: int = 0  # bytes for copies of its own; 0: it keeps none
    own_concurrent_answers: float = 0.0  # answers at full pace that the router's own link carries at once
    own_answer_rate: float = 0.0  # bytes of its own in a tenth of a millisecond, in one answer


class Cache(NamedTuple):
    """One line of the list of caches; parents and the origin stand in it too."""

    id: str
    zone: str
    cell: int
    weight: float
    born: int  # when it last started; 0: long ago
    phase: str
    sort: str


# ---- inputs


class CacheList(NamedTuple):
    mode: str
    caches: tuple


class Lookup(NamedTuple):
    id: int
    kind: str
    object: str
    part: int
    group: int
    size: float  # KB, 0 where not told
    due: int  # when the client gives this try up
    repeat: bool


class Begun(NamedTuple):
    id: int
    send: int


class SendEnd(NamedTuple):
    id: int
    send: int
    outcome: str
    copy_status: int
    settled: bool  # the lookup has its final answer
    duration: int
    cache: str
    report: tuple | None
    copy: tuple | None = None  # where the router may keep what came: (when the origin gave it out, bytes)


class ClientGone(NamedTuple):
    id: int


class Alarm(NamedTuple):
    token: int


class ProbeEnd(NamedTuple):
    outcome: str
    cache: str
    duration: int
    report: tuple | None


class Whisper(NamedTuple):
    sender: int
    text: bytes


class Purged(NamedTuple):
    age: int  # how long ago
    group: int
    object: str | None  # none: the whole group


# ---- effects

ANY_TIME = 1 << 40  # over three years: no bound of its own


class Ask(NamedTuple):
    """A send for what the target holds; it fills nothing."""

    id: int
    cache: str
    timeout: int
    start_within: int = ANY_TIME  # not written within that long it never is


class Obtain(NamedTuple):
    """A send that says where a missing copy is filled from, what is kept and what age will do."""

    id: int
    cache: str
    source: str
    timeout: int
    max_age: int
    priority: int
    join_fill: bool
    hits_only: bool
    no_store: bool
    revalidate: bool
    start_within: int = ANY_TIME  # as above


class Nack(NamedTuple):
    id: int
    retry_after: int
    reason: str = ""  # for counters and traces


class Fail(NamedTuple):
    id: int
    reason: str = ""


class Keep(NamedTuple):
    """What this send brought becomes a copy of the router's own."""

    id: int
    send: int


class Drop(NamedTuple):
    kind: str
    object: str
    part: int


class Give(NamedTuple):
    """The lookup is satisfied from the router's own copy."""

    id: int


class Cancel(NamedTuple):
    id: int
    send: int


class SetAlarm(NamedTuple):
    delay: int
    token: int


class Subscribe(NamedTuple):
    """Asks for the changes of the list from here on; a list, or word that it failed, answers."""

    wanted: bool


class Probe(NamedTuple):
    cache: str


class Tell(NamedTuple):
    router: int
    text: bytes


class Log(NamedTuple):
    text: str
