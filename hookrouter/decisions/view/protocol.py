"""Membership messages in datagrams, the settings, and the events and effects of the membership decisions.

Times are whole tenths of a millisecond of a monotonic clock; none crosses the wire.
"""

from typing import Annotated, NamedTuple

import msgspec

MAX_INTEGER = 1 << 53
MAX_UPDATE_BYTES = 900  # bytes of updates in one datagram: with header and seal within one 1,280-byte packet
MAX_UPDATES = 64  # in one datagram
BUCKETS = 64  # digests by bucket of a view that are compared before members are sent

NonNegative = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,64}$")]
Text = Annotated[str, msgspec.Meta(max_length=64)]

# Of two records of one process with the same incarnation, the later state in this order supersedes the other.
ALIVE, LEAVING, SUSPECT, DEAD, LEFT = range(5)
STATES = ("alive", "leaving", "suspect", "dead", "left")


class Member(msgspec.Struct, array_like=True, frozen=True):
    """Record of one member process.

    `life` identifies the process among those of its name: two processes of one name are two members, and a
    later process has a higher life. `accuser` is the member that reports it as suspect or dead, else "".
    """

    name: Name
    life: NonNegative
    host: Text
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    zone: Text
    role: Text
    version: Text
    incarnation: NonNegative
    state: Annotated[int, msgspec.Meta(ge=ALIVE, le=LEFT)] = ALIVE
    accuser: Text = ""

    @property
    def key(self):
        """(name, life): the identity of the process."""
        return self.name, self.life

    @property
    def address(self):
        """(host, port) of its datagram socket."""
        return self.host, self.port

    def size(self):
        """Upper bound of its encoded size in a datagram, in bytes."""
        texts = (self.name, self.host, self.zone, self.role, self.version, self.accuser)
        return sum(len(text.encode()) for text in texts) + 36


Updates = Annotated[list[Member], msgspec.Meta(max_length=MAX_UPDATES)]


class Ping(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Probe of a member. `digest` is that of the sender's view; `updates` are piggybacked."""

    seq: NonNegative
    digest: int
    updates: Updates = []


class Ack(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Answer to a Ping.

    `name` and `life` are those of the member that was pinged. A helper relays the ack of an indirect probe
    under the sequence number of the member that requested it.
    """

    seq: NonNegative
    digest: int
    name: Name
    life: NonNegative
    updates: Updates = []


class PingFor(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Request for an indirect probe (ping-req in SWIM), answered by a relayed Ack or by a Nak."""

    seq: NonNegative
    name: Name
    life: NonNegative
    updates: Updates = []


class Nak(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Answer of a helper whose indirect probe was not acked in time (Lifeguard)."""

    seq: NonNegative


class Compare(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Digests of a view by bucket, for anti-entropy: the receiver sends its members of those that differ.

    `is_reply` is set where the receiver's own comparison is being answered.
    """

    bucket_digests: Annotated[list[NonNegative], msgspec.Meta(max_length=BUCKETS)]
    is_reply: bool
    updates: Updates = []


class MemberList(msgspec.Struct, tag="Rows", array_like=True, frozen=True):
    """Members sent in bulk: the result of a comparison, or the news of a planned leave."""

    updates: Updates = []


Message = Ping | Ack | PingFor | Nak | Compare | MemberList


# ---- settings


class Terms(NamedTuple):
    """Settings of the membership protocol."""

    seeds: tuple = ()  # (host, port) of members that are contacted at a join, and again after a partition
    probe_interval: int = 2_500  # 250 ms: with 1,000 members a death is known within five seconds
    min_timeout: int = 800  # 80 ms for an ack before an indirect probe, or the mean and four deviations
    max_timeout: int = 5_000  # 500 ms: a round trip of 200 ms and as much again of jitter
    helpers: int = 3  # of an indirect probe: at a loss of one in ten, one probe in a hundred then fails
    confirmations: int = 3  # after which a suspicion runs for its minimum time (Lifeguard, 2018)
    min_suspicion: int = 15_000  # 1.5 s: a pause of 0.5 s and the time that a refutation travels
    suspicion_factor: int = 6  # multiple of the minimum time where nobody else confirms the suspicion
    transmit_factor: int = 4  # times log10 of the members: how often an update is sent on
    settle_duration: int = 20_000  # 2 s in which all digests received were that of this view
    settle_members: int = 6  # that sent it, or all there are; at 6, agreement by chance is one in 64
    dead_retention: int = 6_000_000  # 10 min for which a dead member is retried before it is removed
    compare_interval: int = 10_000  # 1 s between comparisons with members whose digest differs
    reconnect_interval: int = 10_000  # 1 s between attempts to reach a dead member or a seed


# ---- events


class Received(NamedTuple):
    """A message from a member; `address` is the one that it came from."""

    name: str
    life: int
    address: tuple
    message: object


class Tick(NamedTuple):
    """Time has passed."""


class Leave(NamedTuple):
    """A planned leave, announced so that nobody suspects this member.

    `final` is false as the leave begins and true as the process ends.
    """

    final: bool


# ---- effects


class Send(NamedTuple):
    """Send a message in a datagram; `name` is "" where only an address is known."""

    name: str
    address: tuple
    message: object


class StateChanged(NamedTuple):
    """A member's state has changed, for the log.

    `previous` is the former state, None for a new member; `sources` are the members that reported it.
    """

    member: Member
    previous: int | None
    reason: str
    sources: tuple


class LogWarning(NamedTuple):
    """A warning for the log: the name of the event and its (name, value) fields."""

    event: str
    fields: tuple
