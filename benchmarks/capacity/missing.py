"""The mechanisms that are missing, in the order of the ranking, with what each would cost or spare."""

from collections.abc import Callable
from typing import NamedTuple

from .days import fenced_origin_fills
from .figures import Figure, bound, given, shown, total
from .inputs import MEGA, Inputs
from .ranking import Missing, ranked
from .retention import (
    held_by_all_patterns,
    held_by_any_tag,
    held_by_shared_bounds,
    objects_of_tag,
    remembered_share,
)
from .roles_messages import configuration_bytes
from .roles_state import AT_SIZE
from .scale_file import BYTES
from .sealed_filters import LACKING_AN_HOUR, LIVE_SLICES, archive_bytes
from .size import BOUNDS, BUDGET, SHORT_LEASE_S, SIZE
from .tables import table


class Cost(NamedTuple):
    """what: in words; figure: by the slopes."""

    what: str
    figure: Callable[[Inputs], str]


def slice_bytes(slices: int) -> Figure:
    """Of so many slices of each kind."""
    return archive_bytes(BOUNDS.hold_s, slices)


def _renewals_saved(inputs: Inputs) -> Figure:
    message = inputs.each("wire.renewal_request") + inputs.each("wire.renewal_answer")
    return message * given((BOUNDS.news_in_lease - BOUNDS.renewals_in_lease) / SHORT_LEASE_S)


def _sessions(inputs: Inputs) -> Figure:
    directions = ("in", "out")
    return total(inputs.of_fleet("keeper_leader", "keeper_stream", way, BYTES) for way in directions)


def _tenth_of_tables(inputs: Inputs) -> Figure:
    names = inputs.each("purge_index.object") + inputs.each("purge_index.tag")
    whole = names * bound(BOUNDS.names) + inputs.each("object_tags") * bound(BOUNDS.tagged)
    return whole / given(10)


def _standby(inputs: Inputs) -> Figure:
    recent = bound(BOUNDS.recent)
    exact = inputs.table_bytes("tail", recent) + inputs.table_bytes("ledger_keys", recent)
    return exact + slice_bytes(LIVE_SLICES)


COSTS = {
    Missing.RETENTION: Cost(
        "slices of a whole hold at the desk and each relay, twice the size",
        lambda inputs: shown(slice_bytes(2 * LIVE_SLICES), "MB", MEGA),
    ),
    Missing.PATTERNS: Cost(
        "of one glob in a router; of one prefix there",
        lambda inputs: f"{shown(inputs.each('purge_index.glob'), 'bytes')}; "
        f"{shown(inputs.each('purge_index.prefix'), 'bytes')}",
    ),
    Missing.LARGER_SLICES: Cost(
        "slices of twice the size", lambda inputs: shown(AT_SIZE.slices_bytes() * given(2), "MB", MEGA)
    ),
    Missing.RELAYS: Cost(
        "routers more at each relay that is left, while two machines are down",
        lambda inputs: shown(
            given(SIZE.routers / (SIZE.machines - SIZE.machines_lost) - SIZE.routers / SIZE.machines)
        ),
    ),
    Missing.STALENESS: Cost(
        "fills a second that the origin is spared, for each region that is cut off",
        lambda inputs: shown(fenced_origin_fills(SIZE.routers / SIZE.regions)),
    ),
    Missing.CONFIGURATION: Cost(
        "bytes a second of a router, each change sent whole",
        lambda inputs: f"{shown(configuration_bytes())}, "
        f"{configuration_bytes().value / BUDGET.bytes_per_s:.2f} of the budget",
    ),
    Missing.SESSIONS: Cost(
        "bytes a second that the leader is spared", lambda inputs: shown(_sessions(inputs))
    ),
    Missing.STANDBY: Cost(
        "memory of each keeper that stands by", lambda inputs: shown(_standby(inputs), "MB", MEGA)
    ),
    Missing.CATCHING_UP: Cost(
        "of a whole restart; of one that lacks an hour",
        lambda inputs: f"{shown(slice_bytes(LIVE_SLICES), 'MB', MEGA)}; "
        f"{shown(slice_bytes(LACKING_AN_HOUR), 'MB', MEGA)}",
    ),
    Missing.SETTING: Cost(
        "renewals a lease, as before", lambda inputs: shown(bound(BOUNDS.renewals_in_lease))
    ),
    Missing.TABLES: Cost(
        "spared by a tenth fewer names one by one, of objects and tags, and tags of a tenth fewer objects",
        lambda inputs: shown(_tenth_of_tables(inputs), "MB", MEGA),
    ),
    Missing.BATCHING: Cost(
        "bytes a second that a router is spared by four renewals a second in place of ten",
        lambda inputs: shown(_renewals_saved(inputs)),
    ),
}


def in_order(inputs: Inputs) -> list[Missing]:
    """Each once, as the ranking first names it."""
    return list(dict.fromkeys(line.missing for line in ranked(inputs)))


def missing_table(inputs: Inputs) -> str:
    """One mechanism a row."""
    rows = []
    for place, mechanism in enumerate(in_order(inputs), 1):
        cost = COSTS[mechanism]
        answers = [str(n) for n, line in enumerate(ranked(inputs), 1) if line.missing is mechanism]
        rows.append((str(place), mechanism.value, ", ".join(answers), cost.what, cost.figure(inputs)))
    return table(
        ("order", "mechanism", "lines of the ranking", "cost, or what is spared", "by the slopes"), rows
    )


def retention_table() -> str:
    """What a router's purges cost lookups that they do not concern, before slices and with them."""
    rows = (
        (
            "names never purged that purges of names bind",
            shown(held_by_shared_bounds(AT_SIZE)),
            shown(AT_SIZE.held_by_slices()),
        ),
        (
            "names that patterns past their bound bind",
            shown(held_by_all_patterns(AT_SIZE)),
            shown(AT_SIZE.held_by_patterns()),
        ),
        (
            "lookups filled anew by tag purges that do not concern them",
            shown(held_by_any_tag()),
            "none on first sends (set in code)",
        ),
        ("memory of slices", "none", shown(AT_SIZE.slices_bytes(), "MB", MEGA)),
    )
    return table(("in a router", "before slices", "with slices"), rows)


def tags_text() -> str:
    """From where on tags of objects that are not remembered cost fills again."""
    return (
        f"A router remembers the tags of {remembered_share():.1%} of lookups (assumed). An answer of the "
        "others is judged by the tags that it names. A purged tag that concerns more than, on the mean, "
        f"{shown(objects_of_tag(), 'cached copies')} refuses more answers than one in "
        f"{BOUNDS.trial_cost + 1}; then any tag binds first sends again, until enough were good."
    )
