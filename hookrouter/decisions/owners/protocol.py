"""Messages between keepers and members, and the keeper core's settings, events and effects.

Times are integers in tenths of a millisecond of a monotonic clock. Clock readings are never compared across
machines; only durations cross the wire. msgspec checks each decoded message against the bounds in its types.
"""

from typing import Annotated, Any, NamedTuple

import msgspec

MAX_WHOLE = 1 << 53
MAX_ENTRIES_IN_APPEND = 256  # per message; at some hundred bytes each they fill only part of a frame
MAX_RECORD_BYTES = 500_000  # of records in one message; a frame holds twice that
MAX_SNAPSHOT_BYTES = 600_000  # 10,000 duties take some 500 kB, which fits into a frame

Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Name = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,64}$")]
Names = Annotated[list[Name], msgspec.Meta(max_length=64)]
WriteCounts = Annotated[dict[Name, Whole], msgspec.Meta(max_length=64)]

# Kinds of log entries: the empty entry that starts a leader's term, a change of the cluster membership, and a
# command for the duties' state machine.
NOOP, CONFIGURATION, COMMAND = "noop", "change", "command"

# Why a keeper neither votes nor counts towards a majority: too few keepers have confirmed since its start
# that its store is current, or its store is known to lack data that it once held.
UNVERIFIED, DATA_LOST = 1, 2


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A log entry. body: (voters, learners) for CONFIGURATION, (key, command, fields) for COMMAND."""

    term: Whole
    kind: str
    body: Any = None


# ---- messages between keepers (Ongaro's thesis, 2014, sections 3, 4 and 9.6)


class RequestVote(msgspec.Struct, tag="Ballot", array_like=True, frozen=True):
    """A candidate asks for a vote, or with pre_vote whether it would get one.

    leadership_transfer: the leader asked for this election, so voters need not wait for that leader to time
    out. write_count: how often the candidate's store has been written, this request's own write included.
    """

    term: Whole
    last_term: Whole
    last_index: Whole
    pre_vote: bool = False
    leadership_transfer: bool = False
    write_count: Whole = 0


class Vote(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The reply to RequestVote.

    since_ack: time since this voter last acknowledged a leader. No lease that needed this voter's
    acknowledgement was confirmed later than that.
    """

    term: Whole
    pre_vote: bool
    granted: bool
    since_ack: Whole = 0
    write_count: Whole = 0


class Append(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The leader's AppendEntries request, and its heartbeat where entries is empty.

    round: number of the heartbeat round, which acknowledgements repeat. generation: of the receiver's
    process, 0 if the leader does not know it. write_counts: of each keeper's store, as known to the leader.
    """

    term: Whole
    prev_index: Whole
    prev_term: Whole
    entries: Annotated[list[Entry], msgspec.Meta(max_length=MAX_ENTRIES_IN_APPEND)]
    commit: Whole
    round: Whole
    generation: Whole
    write_counts: WriteCounts = {}


class Appended(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The reply to Append and InstallSnapshot.

    last_index: the highest index up to which both logs match or, if not matched, where the leader should try
    next. exclusion: 0, UNVERIFIED or DATA_LOST; unless 0 the sender does not count towards a majority.
    generation: of the sender's process; what an earlier process acknowledged may have been lost.
    """

    term: Whole
    matched: bool
    last_index: Whole
    round: Whole
    exclusion: Whole
    write_count: Whole
    generation: Whole


class InstallSnapshot(msgspec.Struct, tag="Install", array_like=True, frozen=True):
    """A snapshot for a follower whose next entry the leader has compacted away."""

    term: Whole
    index: Whole
    index_term: Whole
    voters: Names
    learners: Names
    state: Annotated[bytes, msgspec.Meta(max_length=MAX_SNAPSHOT_BYTES)]
    round: Whole


class Hello(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Sent to all keepers after a start: how often the sender's store has been written."""

    write_count: Whole
    generation: Whole


class HelloReply(msgspec.Struct, tag="Known", array_like=True, frozen=True):
    """The highest write count of the asking keeper's store that the replying keeper knows of.

    generation: that of the Hello, so that replies to an earlier process are ignored.
    """

    write_count: Whole
    generation: Whole


class TimeoutNow(msgspec.Struct, tag="Hasten", array_like=True, frozen=True):
    """The leader asks the receiver to start an election at once (leadership transfer)."""

    term: Whole


# ---- between members and keepers


class Renew(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A member renews the leases of all its duties.

    seq: rising number of this member's renewals. generation: of the member's process. released: (duty,
    fencing token) pairs given up for good. duty_kinds: the kinds of duties that the member can work on, where
    a duty's kind is its name up to the first "/"; None means any.
    """

    seq: Whole
    generation: Whole
    released: Annotated[list[tuple[Name, Whole]], msgspec.Meta(max_length=4096)] = []
    leaving: bool = False
    duty_kinds: Names | None = None


class Renewed(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """All (duty, fencing token) pairs that a member holds, for one lease from when it sent renewal `seq`.

    release: duties that the member should give up at once.
    """

    seq: Whole
    generation: Whole
    held: Annotated[list[tuple[Name, Whole]], msgspec.Meta(max_length=4096)]
    release: Annotated[list[Name], msgspec.Meta(max_length=4096)] = []


class CommandRequest(msgspec.Struct, tag="Ask", array_like=True, frozen=True):
    """A command for the log. key: idempotency key of the request and its retries."""

    key: Name
    command: Name
    fields: Annotated[list[Any], msgspec.Meta(max_length=8)] = []


class Answer(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The reply to a request with that key. leader: the keeper to ask instead of the sender.

    With neither a result nor a leader, no leader is known.
    """

    key: Name
    result: Any = None
    leader: Name | None = None


class Fetch(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A keeper asks another keeper for the records of a duty that its own copy lacks.

    after: number of the last record that it has. chain_hash: the hash chain up to there. request_id: repeated
    in the reply. names: no records are wanted, only the names of followers.
    """

    duty: Name
    after: Whole
    chain_hash: bytes
    request_id: Whole
    names: bool = False


class Fetched(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Records after number `start`, whose hash chain up to `start` is start_hash.

    start: the number asked for, or the floor of the replying copy if that is higher or if the hashes differ.
    agrees: the hash of the request is also this copy's, or lies below its floor. index: the log entry up to
    which the replying copy has stored all records.
    """

    duty: Name
    request_id: Whole
    start: Whole
    start_hash: bytes
    bodies: Annotated[list[bytes], msgspec.Meta(max_length=100_000)]
    agrees: bool
    index: Whole = 0
    names: Annotated[list[tuple[Name, Whole]], msgspec.Meta(max_length=10_000)] | None = None


class RosterRequest(msgspec.Struct, tag="Roster", array_like=True, frozen=True):
    """Asks for the receiver's view of the fleet's members or, with a name, for its history of that member."""

    key: Name
    name: Name | None = None


class DrillRequest(msgspec.Struct, tag="Drill", array_like=True, frozen=True):
    """Asks the receiver to drop all its traffic for `span`, for rehearsals of a network cut.

    Only members with [fleet] drill set do so.
    """

    key: Name
    span: Annotated[int, msgspec.Meta(ge=0, le=600_000)]


class StatusRequest(msgspec.Struct, tag="Look", array_like=True, frozen=True):
    """Asks for the receiver's Keeper.status()."""

    key: Name


Message = (
    RequestVote
    | Vote
    | Append
    | Appended
    | InstallSnapshot
    | Hello
    | HelloReply
    | TimeoutNow
    | Renew
    | Renewed
    | CommandRequest
    | Answer
    | StatusRequest
    | Fetch
    | Fetched
    | RosterRequest
    | DrillRequest
)


# ---- what a keeper reads at start


class Settings(NamedTuple):
    """Identity and timing of a keeper or member."""

    name: str
    generation: int  # of this process, higher than earlier ones: wall time, which other keepers correct
    keepers: tuple  # names at the fleet's first start; from then on the log holds the membership
    lease: int = 10_000  # 1 s: duration of a duty's lease by its owner's clock
    clock_drift: float = 0.01  # maximum relative drift between two clocks
    heartbeat: int = (
        600  # 60 ms: a fifth of the minimum timeout, so four in a row must be lost for an election
    )
    min_election_timeout: int = 3_000  # 300 ms without a leader: fifty flushes of a common disk
    max_election_timeout: int = 5_000  # spread over 200 ms, so that mostly one candidate runs at a time
    slow_flush: int = 4_000  # 400 ms for one flush: above this a keeper with a faster disk should lead
    max_log_entries: int = 2_000  # entries kept before a snapshot is taken
    log_tail: int = 500  # entries kept before a snapshot's index, for followers that lag a little
    rebalance_interval: int = 20_000  # 2 s between moves of duties for balance


class Stored(NamedTuple):
    """A keeper's persistent state as read from disk at the start.

    integrity_error: why the store is known to lack data or cannot be trusted as a whole, or None.
    """

    term: int = 0
    voted_for: str | None = None
    write_count: int = 0
    no_vote_through: int = 0  # no vote up to this term: the keeper may have voted there and lost the record
    snapshot: tuple | None = None  # (index, term, voters, learners, state)
    base: int = 0  # index of the entry before the first that is kept, and its term
    base_term: int = 0
    entries: tuple = ()
    write_counts: tuple = ()
    integrity_error: str | None = None


# ---- events


class Received(NamedTuple):
    """A message arrived."""

    sender: str
    message: Any


class WriteFinished(NamedTuple):
    """The batch of that write_id is on disk as a whole, or, if not succeeded, none of it can be relied on."""

    write_id: int
    succeeded: bool


class Started(NamedTuple):
    """The process runs; messages can be sent from now on."""


class Tick(NamedTuple):
    """Time has passed; alarm() returns when the next one is due."""


class StoreReopened(NamedTuple):
    """The failed store can be written again; stored: what it holds now."""

    stored: Stored


class CopiesReopened(NamedTuple):
    """This keeper's record copies were opened anew and need all records again that they may lack."""


class RecordsStored(NamedTuple):
    """This keeper's copy has all records up to that entry on disk, so the log may drop them."""

    index: int


# ---- effects


class Send(NamedTuple):
    """Send a message."""

    receiver: str
    message: Any


class Persist(NamedTuple):
    """Write one batch to disk, atomically.

    Messages that must not leave before the batch is durable are returned as effects of WriteFinished.
    """

    write_id: int
    term: int
    voted_for: str | None
    write_count: int
    no_vote_through: int
    integrity_error: str | None
    write_counts: tuple
    truncate_after: int  # entries after this index are removed
    entries: tuple  # Entry objects, in order, to be stored after that index
    snapshot: tuple | None  # (index, term, voters, learners, state), or None if unchanged
    base: int  # entries up to this index are removed; base_term is the term of that entry
    base_term: int


class StoreRecords(NamedTuple):
    """Committed records for this keeper's copy, in order. Some are repeated after a restart."""

    index: int
    records: tuple  # RecordChange objects


class SyncCopies(NamedTuple):
    """What the copies must hold as of the snapshot; the records committed since are sent again after it.

    sequences: the duties that have records.
    """

    index: int
    sequences: tuple  # (duty, number of the newest record, chain hash)


class LogEvent(NamedTuple):
    """An event for the operator's log, with its fields."""

    event: str
    fields: tuple  # (name, value)
