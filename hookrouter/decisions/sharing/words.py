"""What members share: words of datagrams and of pulled lists, what goes in and out of the decisions.

Times are whole tenths of a millisecond. On the wire there are ages only, never readings of a clock: whose
clock is a day ahead says nothing wrong by it. Loads on the wire are whole hundredths of a send.
"""

from typing import Annotated, NamedTuple

import msgspec

MOST = 1 << 53
MOST_AGE = 600_000  # 60 s: older news is no news, whatever the terms say
MOST_LOAD = 10_000_000  # hundredths: no router has 100,000 sends out to one cache
MOST_ROWS = 64  # of loads in one block
MOST_BLOCKS = 16  # in one datagram
MOST_TOLD = 1_000  # bytes of blocks in one datagram: with head, envelope and seal under 1,280
BLOCK_HEAD = 94  # bytes of a block beside its loads, with the longest name
HUNDRED = 100  # hundredths of a send in one

Whole = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
Age = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
Name = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,64}$")]
Id = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Source = Annotated[str, msgspec.Meta(max_length=64)]
Hundredths = Annotated[int, msgspec.Meta(ge=0, le=MOST_LOAD)]
Topic = Annotated[str, msgspec.Meta(min_length=1, max_length=16)]


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Sends out there on average, and sends started there a second; of all for whom the block speaks.
    source: what fills them, "" for all of the cache's.
    """

    cache: Id
    source: Source
    out: Hundredths
    rate: Hundredths

    def size(self):
        return 11 + len(self.cache.encode()) + len(self.source.encode())


class Block(msgspec.Struct, array_like=True, frozen=True):
    """What one teller says. number: rises with each saying in its life. count: members it speaks for. whole:
    all its loads; else the rest comes with other numbers.
    """

    teller: Name
    life: Whole
    number: Whole
    age: Age
    count: Annotated[int, msgspec.Meta(ge=1, le=20_000)]
    whole: bool
    loads: Annotated[list[Load], msgspec.Meta(max_length=MOST_ROWS)]

    def size(self):
        """Bytes in a datagram, at most."""
        return BLOCK_HEAD + sum(load.size() for load in self.loads)


class Soft(msgspec.Struct, array_like=True, frozen=True):
    """What a router learnt of a cache. took: mean answer time beyond sending; refused: share of sends;
    cold_age: age of its start, -1 where that is long ago.
    """

    cache: Id
    strikes: Annotated[int, msgspec.Meta(ge=0, le=1_000)]
    silent: bool
    took: Annotated[float, msgspec.Meta(ge=0, le=MOST)]
    refused: Annotated[float, msgspec.Meta(ge=0, le=1)]
    cold_age: Annotated[int, msgspec.Meta(ge=-1, le=MOST)]
    age: Age


class Times(msgspec.Struct, array_like=True, frozen=True):
    """Average and deviation of answer times beyond sending, of one object kind."""

    kind: Id
    average: Annotated[float, msgspec.Meta(ge=0, le=MOST)]
    deviation: Annotated[float, msgspec.Meta(ge=0, le=MOST)]
    age: Age


# ---- in datagrams


class Sums(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """What its board has: (mark of the sender's process, its number). answer: the other's turn is over."""

    held: Annotated[list[tuple[Whole, Whole]], msgspec.Meta(max_length=64)]
    answer: bool


class Told(msgspec.Struct, tag=True, array_like=True, frozen=True):
    blocks: Annotated[list[Block], msgspec.Meta(max_length=MOST_BLOCKS)]


class Charge(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Speak for me: one that is no teller of its zone says its loads to one who is."""

    block: Block


Message = Sums | Told | Charge


# ---- over streams


class Pull(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A list from that byte on. mark: of the list that was begun, 0 at the start."""

    topic: Topic
    mark: Whole
    start: Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]


class Piece(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """more: bytes that follow; start 0 and another mark: the list is another, begin anew."""

    topic: Topic
    mark: Whole
    start: Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]
    more: Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]
    data: Annotated[bytes, msgspec.Meta(max_length=65_536)]


Streamed = Pull | Piece


# ---- what a member reads at start


class Terms(NamedTuple):
    tellers: int = 16  # of a zone: others are spoken for; so one counts for an eighth of the sum at most
    beat: int = 2_000  # 200 ms between comparisons with one neighbour: 500 have a block within some 2 s
    tell_every: int = 11_000  # 1.1 s between sayings of a full zone's teller; fewer tellers say more often
    news_every: int = 5_000  # 500 ms between summaries: half of what the news takes
    least_every: int = 2_000  # 200 ms: a beat
    silent_after: int = 80_000  # 8 s: the news is held for up to 5 s, and is told once a second
    share: float = 0.125  # of a sum that one teller may make
    floor_out: float = 1.0  # sends out, and sends a second below that one's claim is never cut: with three
    floor_rate: float = 4.0  # that send at all, each is a third of the sum
    most_scale: float = 4.0  # times what was told, for those who told nothing
    most_caches: int = 256  # rows of one teller
    pull_within: int = 10_000  # 1 s for what a starter pulls
    pull_rate: int = 256_000  # bytes a second that a member lends, to all together


# ---- what comes out


class Summary(NamedTuple):
    """What all other living routers of the zone have at a cache: an estimate of the sum."""

    cache: str
    others_out: float  # sends out
    others_rate: float  # sends started a second
    age: int  # mean of the news, now
    tellers: int  # routers that the news speaks for
    of: int  # other routers of the zone that live
    doubted: bool  # under half of them told, the news is in the last half of its time, or a claim was cut


# ---- events


class Tick(NamedTuple):
    """Time has passed."""


class Heard(NamedTuple):
    name: str
    life: int
    message: object


class Own(NamedTuple):
    """This router's loads: (cache, source or "", out, rate)."""

    loads: tuple


class Living(NamedTuple):
    """Routers of the zone that live by the view, this one too: {name: life}."""

    zone: dict


# ---- effects


class Send(NamedTuple):
    name: str
    message: object


class News(NamedTuple):
    summaries: tuple
