"""The tables that each role keeps: entries at the size, bytes, what they grow with, and their bounds."""

from dataclasses import dataclass

from hookrouter.purges import types as w

from .assumptions import assumed
from .figures import Figure, Standing, bound, given, least, standing_only, total, value_only
from .inputs import MEGA, Inputs
from .retention import ORDINARY, Retained
from .sealed_filters import LIVE_SLICES, archive_bytes, bank_bytes, of_kind
from .size import BOUNDS, SECONDS_A_DAY, SIZE
from .tables import BOUNDED_CACHE, DOES_NOT_FIT, FITS, UNBOUNDED, table

HEADS = ("table", "grows with", "entries wanted", "bound", "entries held", "bytes each", "MB", "standing", "")
AT_SIZE = Retained(ORDINARY, BOUNDS.hold_s)
GROUPS = 256


@dataclass(frozen=True)
class StateRow:
    """One table. most: its bound, None where it has none; disk: it takes no memory.

    whole: its bytes, where they do not grow with the entries; then there is no measurement of one.
    """

    name: str
    grows_with: str
    wanted: Figure
    most: Figure | None
    measurement: str
    disk: bool = False
    whole: Figure | None = None

    @property
    def held(self) -> Figure:
        """What is there at the size."""
        return self.wanted if self.most is None else least((self.wanted, self.most))

    @property
    def fits(self) -> bool:
        """Whether all that is wanted is within the bound."""
        return self.most is None or self.wanted.value <= self.most.value

    @property
    def verdict(self) -> str:
        """As it stands on the page."""
        if self.most is None:
            return UNBOUNDED
        if self.grows_with == ASKED_FOR:
            return BOUNDED_CACHE
        return FITS if self.fits else DOES_NOT_FIT

    def size(self, inputs: Inputs) -> Figure:
        """Bytes that it takes."""
        if self.whole is not None:
            return self.whole
        return inputs.table_bytes(self.measurement, self.held)

    def each(self, inputs: Inputs) -> Figure:
        """Bytes of an entry."""
        if self.whole is None:
            return inputs.each(self.measurement)
        return self.whole / self.held if self.held.value else self.whole

    def cells(self, inputs: Inputs) -> tuple[str, ...]:
        """As a row of the page."""
        size = self.size(inputs)
        return (
            self.name + (" (on disk)" if self.disk else ""),
            self.grows_with,
            value_only(self.wanted),
            "none" if self.most is None else value_only(self.most),
            value_only(self.held),
            value_only(self.each(inputs)),
            value_only(size, MEGA),
            standing_only(size),
            self.verdict,
        )


RATE_AND_HOLD, ASKED_FOR = "purges a second, hold", "objects asked for"
GROWS_WITH_A_HOLD = (RATE_AND_HOLD, ASKED_FOR)  # so that a run of minutes shows none of it
BURSTS = "purges within the grace"
MOST_ROSTER = 20_000  # rows of a view


def one_by_one(name: str, share: float, most: int, measurement: str) -> StateRow:
    """Purges of a kind that stand one by one; those past the bound are sealed, none is too many."""
    most_kept = bound(most)
    return StateRow(name, RATE_AND_HOLD, least((AT_SIZE.live(share), most_kept)), most_kept, measurement)


def slices(name: str, kind: str, sealed: Figure) -> StateRow:
    """The slices of one kind. Past their size they hold more, with more false positives."""
    hold_s = AT_SIZE.hold_s
    most, size = bound(of_kind(kind, hold_s).most), bank_bytes(kind, hold_s, sealed)
    return StateRow(name, RATE_AND_HOLD, sealed, most, "", whole=size)


def purge_tables() -> tuple[StateRow, ...]:
    """Live purges in a router: one by one, in slices, and what has to be matched."""
    burst = Figure(max(0.0, SIZE.purges_per_s * BOUNDS.grace_s - BOUNDS.names), Standing.BOUND)
    return (
        one_by_one("purged objects", ORDINARY.objects, BOUNDS.names, "purge_index.object"),
        slices("slices of objects", w.OBJECT, AT_SIZE.sealed_objects()),
        one_by_one("purged tags", ORDINARY.tags, BOUNDS.names, "purge_index.tag"),
        slices("slices of tags", w.TAG, AT_SIZE.sealed_tags()),
        one_by_one("purged prefixes", ORDINARY.prefixes, BOUNDS.router_prefixes, "purge_index.prefix"),
        slices("slices of prefixes", w.PREFIX, AT_SIZE.sealed_prefixes()),
        StateRow(
            "globs, regexes",
            RATE_AND_HOLD,
            AT_SIZE.live(ORDINARY.patterns),
            bound(BOUNDS.router_patterns),
            "purge_index.glob",
        ),
        StateRow("shared bounds", BURSTS, burst, bound(BOUNDS.shared), "purge_index.group"),
        StateRow("purged groups", "groups", bound(GROUPS), bound(GROUPS), "purge_index.group"),
    )


def router() -> tuple[StateRow, ...]:
    """Tables of one router."""
    gone = SIZE.restarts_per_day * BOUNDS.forget_s / SECONDS_A_DAY
    rows = assumed("sharing_caches") * BOUNDS.tellers
    return (
        *purge_tables(),
        StateRow("tags of objects", ASKED_FOR, given(SIZE.objects), bound(BOUNDS.tagged), "object_tags"),
        StateRow(
            "remembered bounds",
            ASKED_FOR,
            given(SIZE.objects),
            bound(BOUNDS.remembered),
            "remembered_bounds",
        ),
        StateRow("roster", "routers, restarts", given(SIZE.routers + gone), bound(MOST_ROSTER), "roster"),
        StateRow("board of loads", "caches", rows, bound(BOUNDS.tellers * BOUNDS.teller_rows), "board"),
    )


def order_of_purges() -> tuple[StateRow, ...]:
    """Of desk and relay: the newest in their order, patterns, and slices of the rest as they are sent."""
    recent, filters = bound(BOUNDS.recent), archive_bytes(BOUNDS.hold_s, LIVE_SLICES)
    patterns, sealed = AT_SIZE.live(ORDINARY.patterns), AT_SIZE.live(1.0 - ORDINARY.patterns)
    most = bound(BOUNDS.most_live)
    return (
        StateRow("purges in their order", RATE_AND_HOLD, recent, recent, "tail"),
        StateRow("live globs, regexes", RATE_AND_HOLD, patterns, bound(BOUNDS.most_desk_patterns), "tail"),
        StateRow("slices", RATE_AND_HOLD, sealed, most, "", whole=filters),
        StateRow("slices as they are sent", RATE_AND_HOLD, sealed, most, "", whole=filters),
    )


def relay(inputs: Inputs) -> tuple[StateRow, ...]:
    """Tables of one relay."""
    return (
        *order_of_purges(),
        StateRow(
            "followers",
            "routers of the relay",
            given(inputs.followers_of_relay),
            bound(BOUNDS.desk_members),
            "desk_members",
        ),
    )


def desk() -> tuple[StateRow, ...]:
    """Tables of the owner of the desk's duty."""
    recent = bound(BOUNDS.recent)
    return (
        *order_of_purges(),
        StateRow("idempotency keys", "purges kept in order", recent, recent, "ledger_keys"),
        StateRow("followers", "relays", given(SIZE.machines), bound(BOUNDS.desk_members), "desk_members"),
    )


def keeper() -> tuple[StateRow, ...]:
    """Tables of one keeper, leading or following."""
    return (
        StateRow(
            "log in memory", "batches", bound(BOUNDS.log_entries), bound(BOUNDS.log_entries), "keeper_log"
        ),
        StateRow(
            "copy of the order", RATE_AND_HOLD, AT_SIZE.live(), bound(BOUNDS.most_live), "store.purge", True
        ),
        StateRow("roster", "routers, restarts", given(SIZE.routers), bound(MOST_ROSTER), "roster"),
    )


def memory_of(rows: tuple[StateRow, ...], inputs: Inputs) -> Figure:
    """Bytes of all tables that are in memory."""
    return total(row.size(inputs) for row in rows if not row.disk)


def state_table(rows: tuple[StateRow, ...], inputs: Inputs) -> str:
    """The table of one role, with its sum."""
    whole = memory_of(rows, inputs)
    sum_row = ("all in memory", "", "", "", "", "", value_only(whole, MEGA), standing_only(whole), "")
    return table(HEADS, [*(row.cells(inputs) for row in rows), sum_row])


def live_index_bytes(inputs: Inputs) -> Figure:
    """Of a router's memory, what the live purges of the size add to that of the scale run."""
    rows = tuple(row for row in router() if row.grows_with in GROWS_WITH_A_HOLD)
    return Figure(memory_of(rows, inputs).value, Standing.ASSUMED)
