"""Lines of the size that say what control may take, and what it has to live through."""

from .assumptions import assumed
from .days import catching_up, fenced_origin_fills, link_share
from .figures import Figure, Standing, bound, given, shown
from .inputs import Inputs
from .placement import after_loss, place, quorum
from .ranking import ONE_CORE
from .roles_messages import both_ways, leader_cpu, relay_cpu, renewals_most, router, router_memory
from .roles_state import AT_SIZE
from .scale_file import CPU
from .size import BOUNDS, BUDGET, SECONDS_A_DAY, SIZE
from .size_line import SizeLine, routers_it_breaks_at, same
from .tables import DOES_NOT_FIT, verdict

PER_CENT = 100.0
MILLISECONDS = 1_000
RESTART_EACH_S = SECONDS_A_DAY / SIZE.restarts_per_day


def cpu(inputs: Inputs) -> Figure:
    """Of a router's control, as a share of a core."""
    return inputs.of_fleet("router", "all", "none", CPU)


def bytes_of_a_purge(inputs: Inputs) -> Figure:
    """A purge told alone in its event, and the renewal that answers it."""
    event = Figure(inputs.measured("wire.purge_event").at(1), Standing.MEASURED)
    return event + inputs.each("wire.renewal_request") + inputs.each("wire.renewal_answer")


def _survives(inputs: Inputs) -> str:
    machines = place(SIZE.machines, BOUNDS.keepers, SIZE.regions)
    left = after_loss(machines, SIZE.machines_lost, SIZE.regions, SIZE.routers)
    return (
        f"{left.keepers_left} of {BOUNDS.keepers} keepers left, {left.quorum} wanted; "
        f"{left.routers_without_relay} routers fenced (set in code)"
    )


_leader_breaks = routers_it_breaks_at(leader_cpu, ONE_CORE)
_relay_breaks = routers_it_breaks_at(relay_cpu, ONE_CORE)


def _bytes_break(inputs: Inputs) -> str:
    budget = given(BUDGET.bytes_per_s) / given(SIZE.purges_per_s)
    return (
        f"a single purge, with its renewal, is {shown(bytes_of_a_purge(inputs), 'bytes')}; "
        f"the whole budget is {shown(budget, 'for each')}"
    )


def _return(inputs: Inputs, routers: float) -> Figure:
    """Seconds in which routers of one relay that start together are fenced, for a whole hold."""
    return catching_up(inputs, AT_SIZE, link_share(), round(routers))


def _fenced(inputs: Inputs, routers: float) -> str:
    return f"{round(routers)} return at once, fenced for {shown(_return(inputs, routers), 's')}, a whole hold"


def _tail_lasts() -> str:
    seconds = bound(BOUNDS.recent) / given(SIZE.purges_per_s)
    purges = shown(bound(BOUNDS.recent), "purges")
    return f"{purges} behind, {shown(seconds, 's')}: a snapshot in place of the tail"


LINES = (
    SizeLine(
        f"{BUDGET.core_share * PER_CENT:g} % of a core",
        f"{BUDGET.core_share * MILLISECONDS:g} ms a second",
        lambda inputs: shown(cpu(inputs), "%", PER_CENT),
        "one event loop; work by changes, not by scans",
        ("hookrouter/node/service.py",),
        routers_it_breaks_at(cpu, BUDGET.core_share),
        lambda inputs: verdict(cpu(inputs), BUDGET.core_share),
    ),
    SizeLine(
        f"{BUDGET.memory_mb:g} MB",
        "view, purges, leases, sharing and configuration",
        lambda inputs: shown(router_memory(inputs), "MB"),
        "bounded tables",
        ("hookrouter/purges/guard.py", "hookrouter/node/start.py"),
        routers_it_breaks_at(router_memory, BUDGET.memory_mb),
        lambda inputs: verdict(router_memory(inputs), BUDGET.memory_mb),
    ),
    SizeLine(
        f"{BUDGET.bytes_per_s / MILLISECONDS:g} KB a second",
        f"{BUDGET.bytes_per_s / SIZE.purges_per_s:.0f} bytes a purge",
        lambda inputs: f"{shown(both_ways(router(inputs)), 'bytes/s')}; renewals of it at most "
        f"{shown(renewals_most(inputs))}",
        "fan-out of one encoded event; renewals of leases",
        ("hookrouter/desk/publisher.py", "hookrouter/feed/purges.py"),
        _bytes_break,
        lambda inputs: verdict(both_ways(router(inputs)), BUDGET.bytes_per_s),
    ),
    SizeLine(
        f"{SIZE.machines} machines for control",
        "one or two of them down",
        _survives,
        f"consensus by a replicated log (Raft), a quorum of {quorum(BOUNDS.keepers)}",
        ("hookrouter/decisions/owners/keeper",),
        lambda inputs: (
            f"{BOUNDS.keepers - quorum(BOUNDS.keepers) + 1} keepers lost (set in code); "
            f"for its routers one relay lost; one core of the leader: {_leader_breaks(inputs)}; "
            f"of a relay: {_relay_breaks(inputs)}"
        ),
        same(DOES_NOT_FIT),
    ),
    SizeLine(
        f"{SIZE.restarts_per_day} restarts or replacements a day",
        f"one each {RESTART_EACH_S:.0f} s",
        lambda inputs: f"fenced for {shown(_return(inputs, 1), 's')} each, a whole hold",
        "snapshot, then the tail of the log",
        ("hookrouter/purges/tail.py", "hookrouter/purges/place.py"),
        same(_tail_lasts()),
        lambda inputs: verdict(_return(inputs, 1), RESTART_EACH_S),
    ),
    SizeLine(
        "a rack or switch each month or two",
        f"back before the next restart, {RESTART_EACH_S:.0f} s",
        lambda inputs: _fenced(inputs, assumed("rack").value),
        "admission control: a queue with tickets",
        ("hookrouter/decisions/admission/gate.py",),
        same("the link of its relay; returns are paced ([admission](results/admission.md))"),
        lambda inputs: verdict(_return(inputs, assumed("rack").value), RESTART_EACH_S),
    ),
    SizeLine(
        "a zone once or twice a year",
        "the same",
        lambda inputs: _fenced(inputs, SIZE.routers / SIZE.zones),
        "the same",
        ("hookrouter/decisions/admission/queue.py",),
        same("the same"),
        lambda inputs: verdict(_return(inputs, SIZE.routers / SIZE.zones), RESTART_EACH_S),
    ),
    SizeLine(
        "regions apart for minutes several times a year",
        "fences itself, does not fall on the origin",
        same(f"{shown(fenced_origin_fills(SIZE.routers / SIZE.regions))} fills a second for a region"),
        "fencing by lease",
        ("hookrouter/purges/fence.py", "hookrouter/purges/guard.py"),
        same(f"once a lease has run out: {shown(bound(BOUNDS.lease_s), 's')}"),
        same(DOES_NOT_FIT),
    ),
)
