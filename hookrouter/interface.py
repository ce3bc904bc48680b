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
    effect: str
    dropped_at: str  # deduplicated: where repeats are dropped
    remembered: int  # deduplicated: for how long
    fresh: int  # how long a copy is fresh; 0: until purged
    grace: int  # how much older it may be when asked for
    stale_share: float
    in_parts: bool
    write: bool  # runs at the origin and leaves no copy


class Topology(NamedTuple):
    """Where this router stands and what surrounds it."""

    number: int
    routers: int
    zone: str
    zones: tuple  # names
    hubs: tuple  # by zone: index of the hub zone it hangs off
    crews: tuple  # by zone: routers that serve it
    links: tuple  # by zone: KB a second into it, 0 where not told
    parent_sort: str | None  # machine kind of the parents
    origin_sort: str
    siblings: str
    flow: float  # KB a second of one answer; the unit of the caches' weights

    @property
    def crew(self):
        """Routers that serve this one's zone, itself among them."""
        return max(1, self.crews[self.zones.index(self.zone)])


class Terms(NamedTuple):
    """What a deployment states of itself at start: limits, rules and prices."""

    topology: Topology
    kinds: tuple
    must_subscribe: bool  # changes of the list come only to those that ask for them
    most_sends: int
    second_copies: bool
    may_cancel: bool
    may_probe: bool
    may_whisper: bool
    pass_by: bool  # parents and the origin take sends too
    joins: bool
    longest_stay_away: int
    connect_for: int  # a connection not up by then is given up
    idle_for: int  # an idle connection is closed then
    most_held: int  # lookups at once
    advice: bool  # clients are told how long to stay away
    report_fields: tuple
    reports: str  # "answers", "probes" or "none"
    notes: str  # "all", "hit" or "none"
    drain_grace: int
    purge_grace: int
    purge_done: int
    cold_share: float
    cold_for: int
    fall_multiple: float
    fall_for: int
    parent_cold_share: float
    parent_cold_for: int
    parent_fall_multiple: float
    origin_fall_multiple: float
    origin_fall_for: int
    tick: int
    own_room: int = 0  # bytes for copies of its own; 0: it keeps none
    own_flows: float = 0.0  # answers at full pace that the router's own link carries at once
    own_flow: float = 0.0  # bytes of its own in a tenth of a millisecond, in one answer


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
    end: str
    note: int
    settled: bool  # the lookup has its final answer
    took: int
    cache: str
    report: tuple | None
    copy: tuple | None = None  # where the router may keep what came: (when the origin gave it out, bytes)


class ClientGone(NamedTuple):
    id: int


class Alarm(NamedTuple):
    token: int


class ProbeEnd(NamedTuple):
    end: str
    cache: str
    took: int
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
    wait: int
    leave: int = ANY_TIME  # not written within that long it never is


class Obtain(NamedTuple):
    """A send that says where a missing copy is filled from, what is kept and what age will do."""

    id: int
    cache: str
    source: str
    wait: int
    age: int
    rank: int
    join: bool
    held_only: bool
    unkept: bool
    renew: bool
    leave: int = ANY_TIME  # as above


class Nack(NamedTuple):
    id: int
    stay_away: int
    why: str = ""  # for counters and traces


class Fail(NamedTuple):
    id: int
    why: str = ""


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
