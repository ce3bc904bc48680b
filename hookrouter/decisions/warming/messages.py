"""Popularity lists and plans as they go on the wire, and the events and effects of a warming.

Times are whole tenths of a millisecond; only ages go on the wire. Sizes are bytes, weights are whole
thousandths of a lookup. The types state the bounds.
"""

from typing import Annotated, NamedTuple

import msgspec

MAX_ROWS = 4_096  # names in one list: some 200 kB, pulled in pieces
MAX_STEPS = 256  # of one plan
MAX_NAMES_IN_STEP = 64
MAX_SIZE = 1 << 32  # bytes of one part of an object
MAX_WHOLE = 1 << 53
WEIGHT_SCALE = 1_000  # units of weight per lookup, on the wire

Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Name = tuple[Text, Text, Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]]  # object kind, object, part


class Row(msgspec.Struct, array_like=True, frozen=True):
    """One name with a lower bound on its lookups."""

    kind: Text
    object: Text
    part: Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
    group: Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
    size: Annotated[int, msgspec.Meta(ge=0, le=MAX_SIZE)]
    weight: Whole

    @property
    def name(self):
        """The name as a tuple of kind, object and part."""
        return self.kind, self.object, self.part


class PopularityList(msgspec.Struct, array_like=True, frozen=True):
    """A lender's list. epoch, purge: the newest purge that the lender knew when the list was made."""

    age: Whole
    epoch: Whole
    purge: Whole
    total: Whole  # all lookups, of names listed here or not
    span: Whole  # the time of the lookups; halved together with the counts
    rows: Annotated[list[Row], msgspec.Meta(max_length=MAX_ROWS)]


class WarmupPlan(msgspec.Struct, array_like=True, frozen=True):
    """The steps of names that the owner with this number is going to fill, for its successors."""

    cache: Text
    number: Whole
    steps: Annotated[
        list[Annotated[list[Name], msgspec.Meta(max_length=MAX_NAMES_IN_STEP)]],
        msgspec.Meta(max_length=MAX_STEPS),
    ]


# ---- events


class Owned(NamedTuple):
    """This router owns the duty. done: steps known to be done; lenders: whom to ask, those of
    the zone first.
    """

    number: int
    done: int
    lenders: tuple


class ListReceived(NamedTuple):
    """A lender has answered, or did not in time."""

    lender: str
    popularity: PopularityList | None  # None: no answer in time
    plan: WarmupPlan | None = None


class PlanStored(NamedTuple):
    """The lender has stored the plan."""

    lender: str


class Tick(NamedTuple):
    """Time has passed, or a fill may have become possible."""


class FillEnded(NamedTuple):
    """A fill has ended, with one of the results below."""

    name: tuple
    end: str


class Reported(NamedTuple):
    """The replicas of the duty log have recorded this step as done."""

    step: int


class OverloadChanged(NamedTuple):
    """Lookups or a source have become overloaded, or have recovered."""

    overloaded: bool


class Aborted(NamedTuple):
    """The warming cannot go on; cause is one of CAUSES."""

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


# ---- effects


class Borrow(NamedTuple):
    """Asks a lender for its list."""

    lender: str


class Fill(NamedTuple):
    """Sends one fill. number: the fencing token at the cache; source None: the cache's own way, to the
    origin.
    """

    name: tuple
    group: int
    size: int
    source: str | None
    number: int


class Report(NamedTuple):
    """Reports a step as done, under the owner's number."""

    number: int
    step: int


class Store(NamedTuple):
    """Sends the plan to the lenders, which store it."""

    plan: WarmupPlan
    lenders: tuple


class Closed(NamedTuple):
    """The warming has ended: done, or given up for this cause."""

    state: str
    cause: str
