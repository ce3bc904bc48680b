"""The mechanisms that are missing, in the order of the ranking, with what each would cost or spare."""

from collections.abc import Callable
from typing import NamedTuple

from .assumptions import assumed
from .days import fenced_origin_fills
from .figures import Figure, bound, given, shown, total
from .inputs import MEGA, Inputs
from .ranking import Missing, ranked
from .retention import remembered_share, tag_refill_share
from .roles_messages import configuration_bytes
from .roles_state import AT_SIZE
from .scale_file import BYTES
from .size import BOUNDS, BUDGET, SIZE
from .tables import table

BITS_IN_A_BYTE = 8


class Cost(NamedTuple):
    """what: in words; figure: by the slopes."""

    what: str
    figure: Callable[[Inputs], str]


def filter_bytes() -> Figure:
    """Of the filters of a whole hold."""
    return AT_SIZE.live() * assumed("filter_bits") / given(BITS_IN_A_BYTE)


def _renewals_saved(inputs: Inputs) -> Figure:
    message = inputs.each("wire.renewal_request") + inputs.each("wire.renewal_answer")
    return message * given(SIZE.purges_per_s - BOUNDS.renewals_in_lease)


def _sessions(inputs: Inputs) -> Figure:
    directions = ("in", "out")
    return total(inputs.of_fleet("keeper_leader", "keeper_stream", way, BYTES) for way in directions)


def _standby(inputs: Inputs) -> Figure:
    live = AT_SIZE.live()
    return inputs.table_bytes("tail", live) + inputs.table_bytes("ledger_keys", live)


COSTS = {
    Missing.RETENTION: Cost(
        "filters of a whole hold in each router and relay", lambda inputs: shown(filter_bytes(), "MB", MEGA)
    ),
    Missing.PATTERNS: Cost(
        "of one glob in a router; of one prefix as an object's name",
        lambda inputs: f"{shown(inputs.each('purge_index.glob'), 'bytes')}; "
        f"{shown(inputs.each('purge_index.object'), 'bytes')}",
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
    Missing.TAGS: Cost("share of lookups spared", lambda inputs: shown(tag_refill_share())),
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
        lambda inputs: f"{shown(filter_bytes(), 'MB', MEGA)}; "
        f"{shown(filter_bytes() / assumed('slices_a_day'), 'MB', MEGA)}",
    ),
    Missing.SETTING: Cost(
        "renewals a lease, as before", lambda inputs: shown(bound(BOUNDS.renewals_in_lease))
    ),
    Missing.BATCHING: Cost(
        "bytes a second that a router is spared, at most: four renewals a second in place of one a purge",
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


def tags_table() -> str:
    """What the bounds of names and of tags do at the size."""
    rows = (
        ("names never purged that a shared bound holds", shown(AT_SIZE.held_by_objects())),
        ("a shared bound is raised each", shown(bound(BOUNDS.shared) / given(SIZE.purges_per_s), "s")),
        ("lookups whose object's tags a router remembers", f"{remembered_share():.3f} (assumed)"),
        ("lookups filled anew by tag purges that do not concern them", shown(tag_refill_share())),
    )
    return table(("what", "value"), rows)
