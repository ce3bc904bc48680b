"""What keepers and members tell each other and their host: messages, events, effects.

Times are whole tenths of a millisecond of a clock that nobody sets; they are never compared across machines,
and of what crosses the wire only spans are told. Messages are read by msgspec: bounds stand in the types.
"""

from typing import Annotated, Any, NamedTuple

import msgspec

MOST = 1 << 53
MOST_IN_APPEND = 256  # entries in one message: with bodies of some hundred bytes a part of one frame
MOST_BYTES = 500_000  # of records in one message: a frame takes twice that
MOST_STATE = 600_000  # bytes of a snapshot: ten thousand duties have some 500 kB, and a frame takes it

Whole = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
Name = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,64}$")]
Names = Annotated[list[Name], msgspec.Meta(max_length=64)]
Marks = Annotated[dict[Name, Whole], msgspec.Meta(max_length=64)]

# Sorts of entries: nothing (a new leader's first), who keeps, and a command to the duties.
NOOP, CHANGE, COMMAND = "noop", "change", "command"


UNSURE, FORGOT = 1, 2  # not yet heard from enough others since its start; its store has forgotten something


class Entry(msgspec.Struct, array_like=True, frozen=True):
    term: Whole
    sort: str
    body: Any = None  # CHANGE: (voters, learners); COMMAND: (key, command, its fields)


# ---- messages between keepers (Ongaro's thesis, 2014, sections 3, 4 and 9.6)


class Ballot(msgspec.Struct, tag=True, array_like=True, frozen=True):
    term: Whole
    last_term: Whole
    last: Whole
    pre: bool = False
    hastened: bool = False  # the leader asked for it: no one waits for that leader
    written: Whole = 0


class Vote(msgspec.Struct, tag=True, array_like=True, frozen=True):
    term: Whole
    pre: bool
    granted: bool
    age: Whole = 0  # since this voter last answered a leader: what leases that leader can have confirmed
    written: Whole = 0


class Append(msgspec.Struct, tag=True, array_like=True, frozen=True):
    term: Whole
    before: Whole
    before_term: Whole
    entries: Annotated[list[Entry], msgspec.Meta(max_length=MOST_IN_APPEND)]
    commit: Whole
    round: Whole
    life: Whole  # of the receiver's process, as far as is known
    marks: Marks = {}  # how often each keeper has written, as far as is known


class Appended(msgspec.Struct, tag=True, array_like=True, frozen=True):
    term: Whole
    matched: bool
    last: Whole  # matched: up to here they are the same; else where to try
    round: Whole
    aside: Whole  # UNSURE or FORGOT: it must not count
    written: Whole
    life: Whole  # of its process: what an earlier one said it holds may be forgotten


class Install(msgspec.Struct, tag=True, array_like=True, frozen=True):
    term: Whole
    index: Whole
    index_term: Whole
    voters: Names
    learners: Names
    state: Annotated[bytes, msgspec.Meta(max_length=MOST_STATE)]
    round: Whole


class Hello(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """After a start: how often this store was written."""

    written: Whole
    life: Whole


class Known(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The highest count that the answering keeper has heard of the asking one's store."""

    written: Whole
    life: Whole  # the asking one's


class Hasten(msgspec.Struct, tag=True, array_like=True, frozen=True):
    term: Whole


# ---- between members and keepers


class Renew(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """seq: of this member's renewals, rising; life: of its process; released: (duty, number) given up for
    good.
    """

    seq: Whole
    life: Whole
    released: Annotated[list[tuple[Name, Whole]], msgspec.Meta(max_length=4096)] = []
    leaving: bool = False
    bears: Names | None = None  # sorts of duties that it can bear now, by their names up to "/"; none: any


class Renewed(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """What this member holds, from when it sent renewal seq on for a lease; release: to be given up at
    once.
    """

    seq: Whole
    life: Whole
    held: Annotated[list[tuple[Name, Whole]], msgspec.Meta(max_length=4096)]
    release: Annotated[list[Name], msgspec.Meta(max_length=4096)] = []


class Ask(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A command for the log. key: of this try and its repeats; the same key has one effect and one answer."""

    key: Name
    command: Name
    fields: Annotated[list[Any], msgspec.Meta(max_length=8)] = []


class Answer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    key: Name
    result: Any = None
    elsewhere: Name | None = None  # ask that keeper; with no result and none named: there is no leader


class Fetch(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A keeper's copy of a duty's records lacks those behind that one."""

    duty: Name
    after: Whole
    seal: bytes  # of the record there, as this copy has it
    turn: Whole  # given back with the answer
    names: bool = False  # it has all records that it wants: the names of members are asked for


class Fetched(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Records behind start, sealed on start_seal. start: what was asked for, or the answering copy's floor
    where that is higher, or where the seals differ.
    """

    duty: Name
    turn: Whole
    start: Whole
    start_seal: bytes
    bodies: Annotated[list[bytes], msgspec.Meta(max_length=100_000)]
    agrees: bool  # the seal told is this copy's, too, or lies below its floor
    index: Whole = 0  # the entry up to which that copy has taken in all
    names: Annotated[list[tuple[Name, Whole]], msgspec.Meta(max_length=10_000)] | None = None


class Roster(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Who is in the fleet, as the asked member sees it; with a name: what it thought of that one, and why."""

    key: Name
    name: Name | None = None


class Drill(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """For people who rehearse: hear and say nothing for that long. Only members with [fleet] drill do."""

    key: Name
    span: Annotated[int, msgspec.Meta(ge=0, le=600_000)]


class Look(msgspec.Struct, tag=True, array_like=True, frozen=True):
    key: Name


Message = (
    Ballot
    | Vote
    | Append
    | Appended
    | Install
    | Hello
    | Known
    | Hasten
    | Renew
    | Renewed
    | Ask
    | Answer
    | Look
    | Fetch
    | Fetched
    | Roster
    | Drill
)


# ---- what a keeper reads at start


class Terms(NamedTuple):
    name: str
    life: int  # of this process, higher than those before: wall time will do, others correct it
    keepers: tuple  # names at the fleet's first start; the log says who keeps from then on
    lease: int = 10_000  # 1 s: of a duty, as its owner counts it
    drift: float = 0.01  # between two clocks, at most
    beat: int = 600  # 60 ms: a fifth of the least wait, so four lost ones in a row cost an election
    least_wait: int = 3_000  # 300 ms without a leader: fifty flushes of a common disk
    most_wait: int = 5_000  # spread over 200 ms, so mostly one stands at a time
    slow_disk: int = 4_000  # 400 ms for one flush: a quicker keeper leads better
    most_log: int = 2_000  # entries kept before a snapshot
    lag: int = 500  # entries kept behind a snapshot for those a little behind
    spread_every: int = 20_000  # 2 s between moves for balance


class Stored(NamedTuple):
    """What the disk held at the start. doubt: why it cannot be trusted whole, or none."""

    term: int = 0
    voted: str | None = None
    written: int = 0
    abstain: int = 0  # no vote up to that term: it may have voted there and forgotten
    snapshot: tuple | None = None  # (index, term, voters, learners, state)
    base: int = 0  # the entry before the first that is kept, and its term
    base_term: int = 0
    entries: tuple = ()
    marks: tuple = ()
    doubt: str | None = None


# ---- events


class Heard(NamedTuple):
    sender: str
    message: Any


class Wrote(NamedTuple):
    """The batch of that token is on disk, all of it; or none of it can be believed."""

    token: int
    good: bool


class Begin(NamedTuple):
    """The process runs; all that it sends from now on can go out."""


class Tick(NamedTuple):
    """Time has passed; alarm() says when it is next of use."""


class Reopened(NamedTuple):
    stored: Stored


class Recall(NamedTuple):
    """This keeper's copies were opened anew: they are told again what they may lack."""


class Filed(NamedTuple):
    """All records up to that entry are in this keeper's copy, on disk: the log need not hold them for it."""

    index: int


# ---- effects


class Send(NamedTuple):
    to: str
    message: Any


class Persist(NamedTuple):
    """One batch for the disk. What may only go out once it is there is not in the host's hands yet: it comes
    as
    effects of Wrote.
    """

    token: int
    term: int
    voted: str | None
    written: int
    abstain: int
    doubt: str | None
    marks: tuple
    cut: int  # entries after this index go
    entries: tuple  # of Entry, in order, after the cut
    snapshot: tuple | None  # (index, term, voters, learners, state), where there is a new one
    base: int  # entries up to here go, and the term of that one
    base_term: int


class File(NamedTuple):
    """Agreed records for this keeper's copy, in order. After a start some come again."""

    index: int
    records: tuple  # of duties.Record


class Caught(NamedTuple):
    """Copies begin here: what they hold by the snapshot; entries since come again behind it. orders: those
    that have any.
    """

    index: int
    orders: tuple  # of (duty, newest, seal)


class Told(NamedTuple):
    """For the log and for people: what happened, and its cause."""

    what: str
    values: tuple  # of (name, value)
