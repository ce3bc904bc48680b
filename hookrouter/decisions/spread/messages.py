"""What members tell each other of shares of cold caches, and what spread goes by.

Times are whole tenths of a millisecond of a clock that nobody sets; none crosses the wire, only spans.
"""

from typing import Annotated, NamedTuple

import msgspec

MAX_WHOLE = 1 << 53
MAX_UNITS = 4_096  # of a cold cache's allowance: one for each stated router of the fleet

Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Unit = Annotated[int, msgspec.Meta(ge=0, lt=MAX_UNITS)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
TOPIC = "share"  # of the exchange's posts


class UnitRequest(msgspec.Struct, tag="Ask", array_like=True, frozen=True):
    """Wants a share of what this cold cache bears. number: the asker's own, one for each asking."""

    cache: Name
    born: Whole  # its start: what was ceded of another life of it is worth nothing
    incarnation: Whole  # the asker's process
    number: Whole


class UnitGrant(msgspec.Struct, tag="Cede", array_like=True, frozen=True):
    """The sender's unit is the asker's, for a lease from the moment of its asking by the asker's clock.
    after: the last turn of the unit that the sender may have used.
    """

    cache: Name
    born: Whole
    incarnation: Whole  # the asker's
    number: Whole  # the asking that this answers
    unit: Unit
    last_turn: Annotated[int, msgspec.Meta(ge=-1, le=MAX_WHOLE)]


class ProbeResult(msgspec.Struct, tag="Word", array_like=True, frozen=True):
    """What the sender found, so long ago, when it tried a cache that was set aside. cold: since when it takes
    it for cold, as an age; -1: it does not.
    """

    cache: Name
    healthy: bool
    age: Whole
    cold_age: Annotated[int, msgspec.Meta(ge=-1, le=MAX_WHOLE)] = -1


Message = UnitRequest | UnitGrant | ProbeResult


class ColdTerms(NamedTuple):
    """What a cold cache of one sort bears, as Control hands it out in turns."""

    share: float  # of its full capacity, at its start
    span: int  # until it is warm
    pace: float  # turns in a tenth of a millisecond of full capacity
    burst: float  # turns, times what it is able to: for so long a turn stays open


class SpreadTerms(NamedTuple):
    number: int  # this router's, of `routers` stated: its own unit of each cold cache
    routers: int
    zone: str = ""
    turn_work: float = 1.0  # work of a turn
    cold: ColdTerms | None = None  # of caches; None: the deployment states none
    parent_cold: ColdTerms | None = None
    parent_machine_type: str | None = None
    origin_machine_type: str | None = None
    lease: int = 20_000  # 2 s: short beside a cold start, long beside a delay of the network
    drift: float = 0.01  # between two clocks that nobody sets
    slack: int = 500  # 50 ms: clocks by which turns open differ by less
    period: int = 2_000  # 200 ms between news of one teller
    fresh_for: int = 30_000  # 3 s
    silent_after: int = 100_000  # 10 s: older news say nothing of load


class Started(NamedTuple):
    """An effect: this cache was silent and may have started so long ago, so it counts as cold here, too."""

    cache: str
    age: int


class Post(NamedTuple):
    """An effect: this message to that member; it may be lost."""

    recipient: str
    message: Message
