"""What members tell each other of the fleet, in datagrams, and what goes in and out of the decisions.

Times are whole tenths of a millisecond of a clock that nobody sets; none crosses the wire.
"""

from typing import Annotated, NamedTuple

import msgspec

MOST = 1 << 53
MOST_NEWS = 900  # bytes of rows in one datagram: with its head and seal it stays within one packet of 1,280
MOST_ROWS = 64  # in one datagram
BUCKETS = 64  # sums of a view that are compared before rows are sent

Whole = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
Name = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,64}$")]
Text = Annotated[str, msgspec.Meta(max_length=64)]

ALIVE, LEAVING, SUSPECT, DEAD, LEFT = range(5)  # of two rows of one incarnation the later one here holds
STATES = ("alive", "leaving", "suspect", "dead", "left")


class Row(msgspec.Struct, array_like=True, frozen=True):
    """One process of one name. by: who says so, where it is suspected or dead; else none."""

    name: Name
    life: Whole  # of its process: two of one name are two rows
    host: Text
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    zone: Text
    role: Text
    version: Text
    incarnation: Whole
    state: Annotated[int, msgspec.Meta(ge=ALIVE, le=LEFT)] = ALIVE
    by: Text = ""

    @property
    def key(self):
        return self.name, self.life

    @property
    def address(self):
        return self.host, self.port

    def size(self):
        """Bytes in a datagram, at most."""
        texts = (self.name, self.host, self.zone, self.role, self.version, self.by)
        return sum(len(text.encode()) for text in texts) + 36


News = Annotated[list[Row], msgspec.Meta(max_length=MOST_ROWS)]


class Ping(msgspec.Struct, tag=True, array_like=True, frozen=True):
    seq: Whole
    digest: int  # of the sender's view
    news: News = []


class Ack(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Answers a Ping, also one that was sent for another: then seq is that other's."""

    seq: Whole
    digest: int
    name: Name  # who was pinged
    life: Whole
    news: News = []


class PingFor(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Ping that member for me, and send its answer on; or say that none came."""

    seq: Whole
    name: Name
    life: Whole
    news: News = []


class Nak(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The helper is there, the member that was asked about has not answered it."""

    seq: Whole


class Compare(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Sums of a view by buckets: rows come back of those that differ. answer: the other side's turn."""

    sums: Annotated[list[Whole], msgspec.Meta(max_length=BUCKETS)]
    answer: bool
    news: News = []


class Rows(msgspec.Struct, tag=True, array_like=True, frozen=True):
    news: News = []


Message = Ping | Ack | PingFor | Nak | Compare | Rows


# ---- what a member reads at start


class Terms(NamedTuple):
    seeds: tuple = ()  # (host, port) of members that are asked at a join, and again after a split
    period: int = 2_500  # 250 ms between probes: with 1,000 members a death is told within five seconds
    least_wait: int = 800  # 80 ms for an answer before others are asked, or four deviations beyond the mean
    most_wait: int = 5_000  # 500 ms: a way of 200 ms and as much again of jitter
    helpers: int = 3  # asked to probe: a loss of one in ten then fails one probe in a hundred
    witnesses: int = 3  # of a suspicion, and it runs for its least time (Lifeguard, 2018)
    least_suspicion: int = 15_000  # 1.5 s: a pause of 0.5 s and the way of a refutation
    stretch: int = 6  # times the least, where nobody else saw it
    spread: int = 4  # times log10 of the members: how often a row is sent on
    settled_for: int = 20_000  # 2 s in which all who spoke named the same view
    settled_by: int = 6  # members at least, or all there are: so many by chance of one mind are one in 64
    forget: int = 6_000_000  # 10 min: a dead one is tried again for that long, then its row goes
    compare_every: int = 10_000  # 1 s between comparisons with members whose digest differs
    again_every: int = 10_000  # 1 s between tries to reach a dead member or a seed


# ---- events


class Heard(NamedTuple):
    name: str
    life: int
    address: tuple  # where it came from
    message: object


class Tick(NamedTuple):
    """Time has passed."""


class Leave(NamedTuple):
    """A planned end: it is told, and nobody suspects this one. final: it is over; else it has begun."""

    final: bool


# ---- effects


class Send(NamedTuple):
    name: str  # "" where only an address is known
    address: tuple
    message: object


class Changed(NamedTuple):
    """A member's state is another. why: in words; witnesses: who said so."""

    row: Row
    before: int | None
    why: str
    witnesses: tuple


class Told(NamedTuple):
    what: str
    values: tuple
