"""The types of fleet-wide purges, shared by desk, relays and routers."""

from typing import NamedTuple

# What a purge names. A name is KIND/OBJECT; groups are whole numbers in digits.
OBJECT, GROUP, TAG, PREFIX, GLOB, REGEX = "object", "group", "tag", "prefix", "glob", "regex"
KINDS = (OBJECT, GROUP, TAG, PREFIX, GLOB, REGEX)
PATTERN_KINDS = frozenset((PREFIX, GLOB, REGEX))
MATCHED_KINDS = frozenset(
    (GLOB, REGEX)
)  # no name can be looked up by them: they are kept one by one for a hold
SEALABLE_KINDS = (OBJECT, TAG, PREFIX)  # past so many the oldest are sealed into slices; groups are few
MAX_PATTERN_MEMORY = 1 << 28  # bytes for compiled patterns, where the limits of the process do not say
MOST_SEALED = 3_000_000  # purges of objects in a hold, where the operator's file does not say

# What a router without a lease does: answers from copies younger than the lease, or nacks.
YOUNG, NACK = "young", "nack"
# Where the tags of an object come from.
ANSWERS, FILE = "answers", "file"


class Position(NamedTuple):
    """A place in the one total order. Epochs rise with each start of the desk; both compare from the left."""

    epoch: int
    n: int


START = Position(0, 0)


class Purge(NamedTuple):
    """One purge, as the desk numbered it."""

    epoch: int
    n: int
    timestamp: int  # when the desk took it, by its clock, which never goes back between purges
    kind: str
    what: str


class PurgeTerms(NamedTuple):
    """What the operator's file states of purges, for a router. Spans in tenths of a millisecond."""

    lease: int  # without word of the desk for that long, the router fences itself
    hold: int  # purges older than that are folded away; no copy older than that may answer
    grace: int  # from that long after a router heard of it, a purge binds answers of sends that were out, too
    skew: int  # between the desk's clock, the origin's and this router's, at most
    fenced: str  # YOUNG or NACK
    most_names: int  # objects and tags each that stand one by one; beyond it the oldest are sealed
    most_tagged: int  # objects whose tags are remembered
    most_sealed: int = (
        MOST_SEALED  # purges of objects in a hold for which the slices past most_names are sized
    )
    pattern_memory: int = MAX_PATTERN_MEMORY  # bytes for compiled globs and regexes
