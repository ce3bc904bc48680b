"""The words of warming: what is lent on the wire, what the owner of a warming is told, what it wants done.

Times are whole tenths of a millisecond; on the wire stand ages only. Sizes are bytes, weights whole
thousandths of a lookup. Bounds stand in the types.
"""

from typing import Annotated, NamedTuple

import msgspec

MAX_ROWS = 4_096  # names in one list: some 200 kB, pulled in pieces
MAX_STEPS = 256  # of one plan
MAX_NAMES_IN_STEP = 64
MAX_SIZE = 1 << 32  # bytes of one object's part
MAX_WHOLE = 1 << 53
WEIGHT_SCALE = 1_000  # of a lookup, the unit of weights on the wire

Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Name = tuple[Text, Text, Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]]  # object kind, object, part


class Row(msgspec.Struct, array_like=True, frozen=True):
    """One name that was asked for, and how much for certain: never more than it was."""

    kind: Text
    object: Text
    part: Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
    group: Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
    size: Annotated[int, msgspec.Meta(ge=0, le=MAX_SIZE)]
    weight: Whole

    @property
    def name(self):
        return self.kind, self.object, self.part


class PopularityList(msgspec.Struct, array_like=True, frozen=True):
    """A list as its lender has it now. epoch, purge: the newest purge it had been told when this was made."""

    age: Whole
    epoch: Whole
    purge: Whole
    total: Whole  # all that was asked for, named here or not
    span: Whole  # over so much time, what was forgotten by halves counted for what is left of it
    rows: Annotated[list[Row], msgspec.Meta(max_length=MAX_ROWS)]


class WarmupPlan(msgspec.Struct, array_like=True, frozen=True):
    """What the owner of that number is about to do, step by step, for whoever comes after it."""

    cache: Text
    number: Whole
    steps: Annotated[
        list[Annotated[list[Name], msgspec.Meta(max_length=MAX_NAMES_IN_STEP)]],
        msgspec.Meta(max_length=MAX_STEPS),
    ]


# ---- what a warming is told


class Owned(NamedTuple):
    """The duty is this router's. done: steps known to be done; lenders: whom to ask, zone first."""

    number: int
    done: int
    lenders: tuple


class ListReceived(NamedTuple):
    lender: str
    popularity: PopularityList | None  # None: it did not answer in time
    plan: WarmupPlan | None = None


class PlanStored(NamedTuple):
    """That lender keeps the course now."""

    lender: str


class Tick(NamedTuple):
    """Time has passed, or room came up."""


class FillEnded(NamedTuple):
    """A fill's end: one of the words below."""

    name: tuple
    end: str


class Reported(NamedTuple):
    """The keepers have that step as done."""

    step: int


class OverloadChanged(NamedTuple):
    """Whether lookups or a source suffer."""

    overloaded: bool


class Aborted(NamedTuple):
    """No use going on: cause is one of CAUSES."""

    cause: str


FILLED, HELD_ALREADY, FAILED, OLD_NUMBER = "filled", "held already", "failed", "old number"
CACHE_LEFT, DRAINED, CACHE_FAILED, PURGED_ALL, LEASE_OVER, HELD_TOO_LONG = (
    "left",
    "drained",
    "fell",
    "all purged",
    "lease over",
    "held back too long",
)
CAUSES = (CACHE_LEFT, DRAINED, CACHE_FAILED, PURGED_ALL, LEASE_OVER, HELD_TOO_LONG, OLD_NUMBER)


# ---- what it wants done


class Borrow(NamedTuple):
    lender: str


class Fill(NamedTuple):
    """One fill. number: the fence at the cache; source None: the cache's own way, to the origin."""

    name: tuple
    group: int
    size: int
    source: str | None
    number: int


class Report(NamedTuple):
    """That step is done, to be told to the keepers under that number."""

    number: int
    step: int


class Store(NamedTuple):
    """The course, to be kept by those who lent."""

    plan: WarmupPlan
    lenders: tuple


class Closed(NamedTuple):
    """It has ended: done, or given up for that cause."""

    state: str
    cause: str
