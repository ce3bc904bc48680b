"""Lines that do not fit, by harm and by how far from the size they break."""

import math
from enum import Enum, IntEnum
from typing import NamedTuple

from .days import catching_up, fenced_origin_fills, link_share, lookups_per_region
from .figures import Figure, bound, given, plain, shown
from .inputs import Inputs
from .retention import MOST_REFILLED, ORDINARY
from .roles_messages import both_ways, leader_cpu, relay_cpu, router, router_memory
from .roles_state import AT_SIZE
from .scale_file import CPU
from .size import BOUNDS, BUDGET, SECONDS_A_DAY, SHORT_LEASE_S, SIZE
from .tables import table
from .times import effect, effect_through_takeover

ONE_CORE = 1.0  # a process has one event loop


class Harm(IntEnum):
    """What a line that breaks does to the service, the worst first."""

    REFUSED = 0
    REFILLED = 1
    LATE = 2
    DEAR = 3

    @property
    def word(self) -> str:
        """As it stands on the page."""
        return HARMS[self]


HARMS = {
    Harm.REFUSED: "refused",
    Harm.REFILLED: "copies filled anew: load on the origin",
    Harm.LATE: "later than stated or wanted",
    Harm.DEAR: "dear",
}


class Missing(Enum):
    """The mechanism that a line lacks, by its standard name."""

    RETENTION = "none: set a higher `most live` and `sealed`"
    PATTERNS = "none: purge by prefix, tag or group; globs and regexes cannot be sealed"
    LARGER_SLICES = "none: set a higher `sealed`"
    RELAYS = "several relays in `follow` (failover)"
    STALENESS = "bounded staleness of a region that is cut off"
    CONFIGURATION = "versioned configuration over the tree of relays, canary first, last good one kept"
    SESSIONS = "members' sessions kept by proxies (Chubby) or observers (ZooKeeper), not by the leader"
    STANDBY = "hot standby of the desk: a follower of the order that is ready to own it"
    CATCHING_UP = (
        "slices from neighbours of the zone, so that a relay is not asked by all that return at once"
    )
    SETTING = "none: set `lease = 1 s`"
    TABLES = "fewer bytes an entry, and lower `names` and `tagged`: slices answer for the rest"
    BATCHING = "one event for several purges, and fewer renewals"


class Line(NamedTuple):
    """A line beside its bound. wanted: at the size; bears: what is borne, or wanted at most, in its unit."""

    name: str
    harm: Harm
    wanted: Figure
    bears: Figure
    unit: str
    missing: Missing

    @property
    def factor(self) -> float:
        """How far from the size it breaks: over one does not fit; infinite where nothing bears it."""
        return self.wanted.value / self.bears.value if self.bears.value else math.inf


def _purges(inputs: Inputs) -> list[Line]:
    return [
        Line(
            "live purges at the desk",
            Harm.REFUSED,
            AT_SIZE.live(),
            bound(BOUNDS.most_live),
            "purges",
            Missing.RETENTION,
        ),
        Line(
            "globs and regexes at the desk",
            Harm.REFUSED,
            AT_SIZE.live(ORDINARY.patterns),
            bound(BOUNDS.most_desk_patterns),
            "patterns",
            Missing.PATTERNS,
        ),
        Line(
            "names never purged that slices in a router bind",
            Harm.REFILLED,
            AT_SIZE.held_by_slices(),
            given(MOST_REFILLED),
            "of all",
            Missing.LARGER_SLICES,
        ),
        Line(
            "globs and regexes in a router",
            Harm.REFILLED,
            AT_SIZE.live(ORDINARY.patterns),
            bound(BOUNDS.router_patterns),
            "patterns",
            Missing.PATTERNS,
        ),
    ]


def _late(inputs: Inputs) -> list[Line]:
    effect_s = given(SIZE.effect_s)
    through_takeover = effect_through_takeover(inputs, SHORT_LEASE_S)
    return [
        Line("a whole hold read by a new owner", Harm.LATE, through_takeover, effect_s, "s", Missing.STANDBY),
        Line(
            "in effect, with the default lease",
            Harm.LATE,
            effect(BOUNDS.lease_s),
            effect_s,
            "s",
            Missing.SETTING,
        ),
        Line(
            "changes of configuration in force in time",
            Harm.LATE,
            given(SIZE.changes_per_day),
            given(0),
            "a day",
            Missing.CONFIGURATION,
        ),
    ]


def _cut_off(inputs: Inputs) -> list[Line]:
    zone = round(SIZE.routers / SIZE.zones)
    return [
        Line(
            "a zone that returns at once, fenced until it has a whole hold",
            Harm.REFILLED,
            catching_up(inputs, AT_SIZE, link_share(), zone),
            given(SECONDS_A_DAY / SIZE.restarts_per_day),
            "s",
            Missing.CATCHING_UP,
        ),
        Line(
            "a region that sees no machine: fills at the origin",
            Harm.REFILLED,
            fenced_origin_fills(SIZE.routers / SIZE.regions),
            given(lookups_per_region() * MOST_REFILLED),
            "a second",
            Missing.STALENESS,
        ),
        Line(
            "routers fenced while two machines are down",
            Harm.REFILLED,
            given(SIZE.routers * SIZE.machines_lost / SIZE.machines),
            given(0),
            "routers",
            Missing.RELAYS,
        ),
    ]


def _cores(inputs: Inputs) -> list[Line]:
    one = given(ONE_CORE)
    return [
        Line(
            "processor of the keeper that leads",
            Harm.REFUSED,
            leader_cpu(inputs),
            one,
            "of a core",
            Missing.SESSIONS,
        ),
        Line(
            "processor of a relay with its share of the routers",
            Harm.REFILLED,
            relay_cpu(inputs),
            one,
            "of a core",
            Missing.BATCHING,
        ),
    ]


def _budget(inputs: Inputs) -> list[Line]:
    cpu = inputs.of_fleet("router", "all", "none", CPU)
    traffic, memory = both_ways(router(inputs)), router_memory(inputs)
    return [
        Line(
            "bytes of a router", Harm.DEAR, traffic, given(BUDGET.bytes_per_s), "a second", Missing.BATCHING
        ),
        Line(
            "processor of a router", Harm.DEAR, cpu, given(BUDGET.core_share), "of a core", Missing.BATCHING
        ),
        Line("memory of a router", Harm.DEAR, memory, given(BUDGET.memory_mb), "MB", Missing.TABLES),
    ]


def ranked(inputs: Inputs) -> list[Line]:
    """What does not fit: worst harm first, then what breaks farthest from the size."""
    lines = [*_purges(inputs), *_cores(inputs), *_cut_off(inputs), *_late(inputs), *_budget(inputs)]
    broken = [line for line in lines if line.wanted.known and line.factor > 1.0]
    return sorted(broken, key=lambda line: (line.harm, -line.factor, line.name))


def ranking_table(inputs: Inputs) -> str:
    """The ranking, numbered."""
    rows = []
    for place, line in enumerate(ranked(inputs), 1):
        factor = "nothing bears it" if math.isinf(line.factor) else f"{plain(line.factor)} times"
        rows.append(
            (
                str(place),
                line.name,
                line.harm.word,
                shown(line.wanted, line.unit),
                shown(line.bears, line.unit),
                factor,
                line.missing.value,
            )
        )
    heads = ("", "line", "harm", "at the size", "borne, or wanted at most", "over it", "what is missing")
    return table(heads, rows)
