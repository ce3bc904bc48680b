"""One steady window at one size: what each role sends, receives, works and holds, by kind of message."""

from collections.abc import Iterable
from statistics import fmean
from typing import NamedTuple

from standins.crowd.hollow_routers import ReportFile
from standins.crowd.region_crowd import RegionCrowd
from standins.hollow.report import Report, RouterReport

from .results import Measurement, rounded
from .roles import Roles
from .snapshot import KEEPER_STREAM, LOG, PURGE_FEED, Snapshot, Traffic, carried

ROUTER_KINDS = ("view", "purge_feed", "keeper_stream", "sharing")
ALL, BOTH, NONE = "all", "both", "none"
BYTES, MESSAGES, CPU, MEMORY = "bytes_per_s", "messages_per_s", "cpu_core_share", "memory_mb"


class Rate(NamedTuple):
    """A second."""

    bytes: float
    messages: float


RatesByKind = dict[tuple[str, str], Rate]  # (kind, direction) -> rate


class RouterFigures(NamedTuple):
    """The mean router of a group."""

    rates: RatesByKind
    cpu: float  # share of a core

    def bytes_per_s(self) -> float:
        """Of all kinds, both ways."""
        return sum(rate.bytes for rate in self.rates.values())


class Window(NamedTuple):
    """Measurements between two snapshots. hollow, loaded, unloaded: the mean router of each group; alone: of
    hollow ones with a process each; plain: the core's share of a real router that is no part of a fleet.
    """

    measurements: tuple[Measurement, ...]
    hollow: RouterFigures | None
    alone: RouterFigures | None
    loaded: RouterFigures | None
    unloaded: RouterFigures | None
    plain: float | None

    def hollow_over_real_bytes(self) -> float | None:
        """Bytes of a hollow router, of those of a real one that gets no lookups."""
        if self.hollow is None or self.unloaded is None:
            return None
        return self.hollow.bytes_per_s() / self.unloaded.bytes_per_s()

    def over_real_cpu(self, hollow: RouterFigures | None) -> float | None:
        """Processor time of a hollow router, of what control costs a real one: without lookups both, what one
        that is no part of a fleet spends is taken off.
        """
        if hollow is None or self.unloaded is None or self.plain is None:
            return None
        return hollow.cpu / (self.unloaded.cpu - self.plain)


def window(crowd: RegionCrowd, before: Snapshot, after: Snapshot, roles: Roles) -> Window:
    """Of the time between the snapshots; crowd.read() has been called since."""
    span = before.at, after.at
    hollow, alone = (
        mean_router(
            (group.file for group in crowd.hollow.groups if (group in crowd.alone) == by_itself), *span
        )
        for by_itself in (False, True)
    )
    loaded, unloaded = (
        mean_router((crowd.report_files[name] for name in names), *span)
        for names in (crowd.loaded, crowd.unloaded)
    )
    plain = _cpu_of(crowd.plain, before, after)
    rows = [
        *_router_rows(crowd, before, after, hollow or loaded, unloaded or loaded),
        *_relay_rows(crowd, before, after),
        *_keeper_rows(crowd, before, after, roles),
    ]
    return Window(tuple(rows), hollow, alone, loaded, unloaded, plain)


# ---- routers


def mean_router(files: Iterable[ReportFile], start: float, end: float) -> RouterFigures | None:
    """Of all routers that report in those files, by their reports of that time; None without any."""
    rates: list[RatesByKind] = []
    shares = []
    for file in files:
        pair = file.between(start, end)
        if pair is None:
            continue
        first, last = pair
        rates += _rates(first, last)
        shares += [_cpu_share(first, last) / len(last.routers)] * len(last.routers)
    if not rates:
        return None
    mean = {
        key: Rate(fmean(row[key].bytes for row in rates), fmean(row[key].messages for row in rates))
        for key in rates[0]
    }
    return RouterFigures(mean, fmean(shares))


def _rates(first: Report, last: Report) -> list[RatesByKind]:
    earlier = {router.name: router for router in first.routers}
    span = last.time - first.time
    return [
        _router_rates(earlier[router.name], router, span) for router in last.routers if router.name in earlier
    ]


def _router_rates(earlier: RouterReport, later: RouterReport, span: float) -> RatesByKind:
    found = {}
    for kind in ROUTER_KINDS:
        then, now = getattr(earlier.traffic, kind), getattr(later.traffic, kind)
        for direction, a, b in (("out", then.out, now.out), ("in", then.received, now.received)):
            found[kind, direction] = Rate((b.bytes - a.bytes) / span, (b.messages - a.messages) / span)
    return found


def _cpu_share(first: Report, last: Report) -> float:
    worked = last.cpu_user_s + last.cpu_system_s - first.cpu_user_s - first.cpu_system_s
    return worked / (last.time - first.time)


def _router_rows(
    crowd: RegionCrowd,
    before: Snapshot,
    after: Snapshot,
    traffic: RouterFigures | None,
    process: RouterFigures | None,
) -> Iterable[Measurement]:
    """Traffic of hollow routers, which are many; processor time and memory of real ones without lookups."""
    if traffic is not None:
        yield from _rate_rows("router", traffic.rates)
    if process is not None:
        yield Measurement("router", ALL, NONE, CPU, rounded(process.cpu))
    names = [name for name in crowd.unloaded or crowd.loaded if name in after.memory_mb]
    if names:
        yield Measurement(
            "router", ALL, NONE, MEMORY, rounded(fmean(after.memory_mb[name] for name in names))
        )


# ---- relays and keepers


def _relay_rows(crowd: RegionCrowd, before: Snapshot, after: Snapshot) -> Iterable[Measurement]:
    """The mean relay of a zone: those that tell routers."""
    names = list(crowd.layout.zone_relays)
    moved = carried(before, after)
    traffic = [moved.get((name, PURGE_FEED), Traffic()) for name in names]
    yield from _rate_rows("relay", _mean_rates(PURGE_FEED, traffic, after.at - before.at))
    yield from _process_rows("relay", names, before, after)


def _keeper_rows(
    crowd: RegionCrowd, before: Snapshot, after: Snapshot, roles: Roles
) -> Iterable[Measurement]:
    """desk: the purge feed of the keeper that owns the desk, and that whole process; it does not lead."""
    span, moved = after.at - before.at, carried(before, after)
    followers = [name for name in crowd.keepers if name not in roles]
    for role, names in (("keeper_leader", [roles.leader]), ("keeper_follower", followers)):
        for kind in (KEEPER_STREAM, LOG):
            traffic = [moved.get((name, kind), Traffic()) for name in names]
            yield from _rate_rows(role, _mean_rates(kind, traffic, span))
        view = mean_router((crowd.report_files[name] for name in names), before.at, after.at)
        if view is not None:
            rates = {key: rate for key, rate in view.rates.items() if key[0] == "view"}
            yield from _rate_rows(role, rates, whole=False)
        if roles.desk not in names:
            yield from _process_rows(role, names, before, after)
    desk = [moved.get((roles.desk, PURGE_FEED), Traffic())]
    yield from _rate_rows("desk", _mean_rates(PURGE_FEED, desk, span), whole=False)
    yield from _process_rows("desk", [roles.desk], before, after)


def _mean_rates(kind: str, traffic: list[Traffic], span: float) -> RatesByKind:
    def rate(counts: Iterable[tuple[int, int]]) -> Rate:
        rows = list(counts)
        return Rate(fmean(row[0] for row in rows) / span, fmean(row[1] for row in rows) / span)

    return {
        (kind, "out"): rate(each.sent for each in traffic),
        (kind, "in"): rate(each.received for each in traffic),
    }


def _process_rows(role: str, names: list[str], before: Snapshot, after: Snapshot) -> Iterable[Measurement]:
    names = [name for name in names if name in before.cpu and name in after.cpu]
    if names:
        yield Measurement(role, ALL, NONE, CPU, rounded(_cpu_of(names, before, after)))
        memory = fmean(after.memory_mb[name] for name in names)
        yield Measurement(role, ALL, NONE, MEMORY, rounded(memory))


def _cpu_of(names: list[str], before: Snapshot, after: Snapshot) -> float | None:
    """The mean core's share of those processes."""
    shares = [after.cpu[name] - before.cpu[name] for name in names if name in before.cpu]
    return fmean(shares) / (after.at - before.at) if shares else None


def _rate_rows(role: str, rates: RatesByKind, whole: bool = True) -> Iterable[Measurement]:
    """whole: what is there is all that the role sends and receives, so a sum is told, too."""
    for (kind, direction), rate in rates.items():
        yield Measurement(role, kind, direction, BYTES, rounded(rate.bytes))
        yield Measurement(role, kind, direction, MESSAGES, rounded(rate.messages))
    if whole and role in ("router", "relay"):
        total = sum(rate.bytes for rate in rates.values())
        messages = sum(rate.messages for rate in rates.values())
        yield Measurement(role, ALL, BOTH, BYTES, rounded(total))
        yield Measurement(role, ALL, BOTH, MESSAGES, rounded(messages))
