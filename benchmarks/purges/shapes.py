"""What a schedule of a made-up fleet under purges is made of, its objects, and what a purge concerns.

Times are whole tenths of a millisecond of true time.
"""

import fnmatch
import re
from typing import NamedTuple

from hookrouter.purges import types

SECOND = 10_000
LEASE, HOLD, GRACE, SKEW, ROUNDING = 2 * SECOND, 60 * SECOND, 5_000, 200, 20
SEALED = 2_000  # purges in a hold that slices are sized for
KINDS = ("clip", "page")
OBJECTS = tuple(f"{n:02x}" for n in range(24))
TAGS = {name: (f"t{n % 3}", f"u{n % 5}") for n, name in enumerate(OBJECTS)}
GROUPS = {name: n % 4 for n, name in enumerate(OBJECTS)}


class Shape(NamedTuple):
    """What a schedule is made of."""

    routers: int
    relays: int
    span: int
    fenced: str
    kills: float  # of the desk, a second
    cuts: float  # of each connection, a second
    pauses: float  # of each router, a second
    restarts: float
    loss: float  # of renewals and their answers
    restore: bool  # the desk's store may come back as it was earlier
    liars: float  # caches that pass the bound over
    desk_off: int  # the desk's clock, beside the others'
    purges: float  # a second
    recent: int  # purges that desk and relays keep one by one; the others are sealed
    ends: float = 0  # planned ends of each relay and router, a second


def shape_of(dice):
    pick = dice.choice
    return Shape(
        routers=dice.randint(1, 4),
        relays=pick((0, 0, 1, 2)),
        span=dice.randint(8, 16) * SECOND,
        fenced=pick((types.YOUNG, types.YOUNG, types.NACK)),
        kills=pick((0, 0.1, 0.4)),
        cuts=pick((0, 0.2, 1.0)),
        pauses=pick((0, 0.1, 0.3)),
        restarts=pick((0, 0.1)),
        loss=pick((0, 0.05, 0.4)),
        restore=dice.random() < 0.2,
        liars=pick((0, 0.2, 1.0)),
        desk_off=pick((0, 0, 2 * SECOND)),
        purges=pick((0.5, 3, 20)),
        recent=pick((3, 8, 20_000)),
    )


class Told(NamedTuple):
    """One purge as the model knows it."""

    kind: str
    what: str
    at: int  # true time at which the desk took it


def concerns(purge, object_kind, name):
    """In plain words: is this copy's object what was purged?"""
    kind, what = purge.kind, purge.what
    full = f"{object_kind}/{name}"
    return {
        types.OBJECT: what == name,
        types.GROUP: what == str(GROUPS[name]),
        types.TAG: what in TAGS[name],
        types.PREFIX: full.startswith(what),
        types.GLOB: kind == types.GLOB and fnmatch.fnmatchcase(full, what),
        types.REGEX: kind == types.REGEX and re.fullmatch(what, full) is not None,
    }[kind]
