"""Messages between members about cold caches and those set aside, and the settings of this package.

Times are whole tenths of a millisecond of a steady clock; only durations go on the wire.
"""

from typing import Annotated, NamedTuple

import msgspec

MAX_WHOLE = 1 << 53
MAX_UNITS = 4_096  # of one cold cache: one for each configured router of the fleet

Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Unit = Annotated[int, msgspec.Meta(ge=0, lt=MAX_UNITS)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
TOPIC = "share"  # of the posts


class UnitRequest(msgspec.Struct, tag="Ask", array_like=True, frozen=True):
    """Requests a unit of this cold cache. number: counts the requests of the sender."""

    cache: Name
    born: Whole  # start of the cache: units of an earlier start are void
    incarnation: Whole  # of the requester
    number: Whole


class UnitGrant(msgspec.Struct, tag="Cede", array_like=True, frozen=True):
    """Grants the sender's unit for a lease that began with the request, by the requester's clock. last_turn:
    the last turn of the unit that the sender may have used.
    """

    cache: Name
    born: Whole
    incarnation: Whole  # of the requester
    number: Whole  # of the request
    unit: Unit
    last_turn: Annotated[int, msgspec.Meta(ge=-1, le=MAX_WHOLE)]


class ProbeResult(msgspec.Struct, tag="Word", array_like=True, frozen=True):
    """The result, with its age, of the sender's probe of a cache that was set aside. cold_age: age of the
    start that the sender takes the cache to have had, or -1.
    """

    cache: Name
    healthy: bool
    age: Whole
    cold_age: Annotated[int, msgspec.Meta(ge=-1, le=MAX_WHOLE)] = -1


Message = UnitRequest | UnitGrant | ProbeResult


class ColdTerms(NamedTuple):
    """The capacity of a kind of cold cache, as Control hands it out in turns."""

    share: float  # part of its full capacity at its start
    span: int  # until it is warm
    pace: float  # turns per tenth of a millisecond at full capacity
    burst: float  # in turns at full capacity: how long a turn stays open


class SpreadTerms(NamedTuple):
    """Settings of a router for this package, with its place in the fleet."""

    number: int  # this router's, below routers: its own unit of each cold cache
    routers: int
    zone: str = ""
    turn_work: float = 1.0  # work of a turn
    cold: ColdTerms | None = None  # of caches; None where the deployment has no such limit
    parent_cold: ColdTerms | None = None
    parent_machine_type: str | None = None
    origin_machine_type: str | None = None
    lease: int = 20_000  # 2 s: short against a cold start, long against a network delay
    drift: float = 0.01  # relative drift between two steady clocks
    slack: int = 500  # 50 ms: an upper bound on the difference of the wall clocks by which turns open
    period: int = 2_000  # 200 ms between reports of one member
    fresh_for: int = 30_000  # 3 s
    silent_after: int = 100_000  # 10 s: older reports say nothing of the load


class Started(NamedTuple):
    """An effect: the cache was silent and may have started this long ago, so it counts as cold here too."""

    cache: str
    age: int


class Post(NamedTuple):
    """An effect: sends this message to a member. It may be lost."""

    recipient: str
    message: Message
