"""The days of the size: restarts with catching up, machines, a rack, a zone, regions apart."""

from hookrouter.feed.slices import LINK_SHARE

from .arithmetic import catch_up_s, origin_fills_per_s
from .assumptions import assumed
from .figures import Figure, Standing, given, plain, shown
from .inputs import MEGA, MICRO, Inputs
from .retention import HOLDS, MIXES, MOST_REFILLED, ORDINARY, Retained
from .sealed_filters import LACKING_AN_HOUR, LIVE_SLICES, archive_bytes
from .size import BOUNDS, BUDGET, SECONDS_A_DAY, SECONDS_AN_HOUR, SHORT_LEASE_S, SIZE
from .tables import DOES_NOT_FIT, FITS, table
from .times import effect

HOURS = 1 / SECONDS_AN_HOUR
PER_CENT = 100.0


def lookups_per_region() -> float:
    """A second, at the peak of all."""
    return SIZE.lookups_per_s / SIZE.regions


def link_share() -> float:
    """Bytes a second that a relay may give to those that catch up."""
    return assumed("link").value * assumed("catching_up_share").value


# ---- restarts


def catching_up(
    inputs: Inputs, retained: Retained, rate: float, together: int = 1, slices: int = LIVE_SLICES
) -> Figure:
    """Seconds until routers that start together are caught up, and so long fenced."""
    size = retained.snapshot(inputs, slices).value * together
    told = retained.told_one_by_one().value * inputs.measured("take_in.object").each * MICRO
    merged = archive_bytes(retained.hold_s, slices).value * inputs.measured("merge_slices").each * MICRO
    return Figure(catch_up_s(size, rate, LINK_SHARE, merged + told), Standing.ASSUMED)


def restarts_table(inputs: Inputs) -> str:
    """350 restarts a day, each given a hold; and what one is given that only lacks an hour."""
    rows = []
    ordinary = Retained(ORDINARY, BOUNDS.hold_s)
    for name, slices in (
        ("a whole hold of 24 h", LIVE_SLICES),
        ("of one that lacks an hour", LACKING_AN_HOUR),
    ):
        size = ordinary.snapshot(inputs, slices)
        day = size * given(SIZE.restarts_per_day)
        rows.append(
            (
                name,
                shown(size, "MB", MEGA),
                shown(catching_up(inputs, ordinary, link_share(), slices=slices), "s"),
                shown(catching_up(inputs, ordinary, BUDGET.bytes_per_s, slices=slices), "h", HOURS),
                shown(day, "GB", MEGA / 1_000),
                shown(day / given(SECONDS_A_DAY), "KB/s", 1e-3),
                shown(day / given(SECONDS_A_DAY * SIZE.routers * BUDGET.bytes_per_s), "%", PER_CENT),
            )
        )
    heads = (
        "order of purges",
        "snapshot",
        "fenced for, at the relay's share of its link",
        "at 5 KB/s",
        "all restarts of a day",
        "mean at the relays together",
        "of the routers' bytes",
    )
    return table(heads, rows)


# ---- failures


def fenced_origin_fills(routers: float) -> Figure:
    """Fills a second that fenced routers of one place ask of the origin: copies no older than a lease."""
    requests = SIZE.lookups_per_s / SIZE.routers * routers
    exponent = assumed("zipf_exponent").value
    return Figure(origin_fills_per_s(requests, BOUNDS.lease_s, SIZE.objects, exponent), Standing.ASSUMED)


def failures_table(inputs: Inputs) -> str:
    """Who is fenced by each failure, what they ask of the origin, and when a purge is in effect then."""
    region, zone = SIZE.routers / SIZE.regions, SIZE.routers / SIZE.zones
    relay = inputs.followers_of_relay
    ordinary = Retained(ORDINARY, BOUNDS.hold_s)
    latest = shown(effect(SHORT_LEASE_S), "s")

    def back(routers: int) -> str:
        tail = SIZE.purges_per_s * assumed("region_apart").value
        if tail <= BOUNDS.recent:
            size = tail * inputs.measured("wire.purge_event").each * routers
            return f"the tail of {tail:,.0f} purges, {size * MEGA:,.0f} MB in all (assumed)"
        return shown(catching_up(inputs, ordinary, link_share(), routers), "s")

    rows = (
        (
            f"{SIZE.machine_failures_per_day} machines a day",
            "a router: none but itself; a machine for control: the routers of its relay, "
            f"{relay}, since `follow` names one address",
            shown(fenced_origin_fills(relay), "a second"),
            latest,
            "when the relay is back: its members are in its store",
        ),
        (
            "a rack or switch",
            f"{assumed('rack').value:g} routers, dead (assumed)",
            "none: they serve nobody",
            latest,
            "each as a restart: "
            + shown(catching_up(inputs, ordinary, link_share(), int(assumed("rack").value)), "s"),
        ),
        (
            "a zone",
            f"{zone:.0f} routers, dead",
            "none: they serve nobody",
            latest,
            "each as a restart: " + shown(catching_up(inputs, ordinary, link_share(), round(zone)), "s"),
        ),
        (
            "two regions apart",
            f"{region:.0f} routers of the one that does not see the owner",
            shown(fenced_origin_fills(region), "a second"),
            latest,
            f"at once, as by {assumed('region_apart').value:g} s (assumed): {back(round(region))}",
        ),
    )
    heads = ("failure", "fenced", "asked of the origin", "a purge in effect after", "back")
    return table(heads, rows)


def region_table() -> str:
    """A region that sees no machine for control, by `fenced`."""
    region = SIZE.routers / SIZE.regions
    fills = fenced_origin_fills(region)
    share = fills / given(lookups_per_region())
    rows = (
        (
            "`fenced = young`",
            "answers from copies younger than the lease",
            shown(fills, "fills a second"),
            shown(share, "% of its lookups", PER_CENT),
            DOES_NOT_FIT,
        ),
        ("`fenced = nack`", "answers no lookup", "0 (set in code)", "all lookups refused", DOES_NOT_FIT),
    )
    return table(("setting", "what it does", "asked of the origin", "share", ""), rows)


# ---- mixes


def mixes_table(inputs: Inputs) -> str:
    """Mixes of kinds and holds beside the desk's bounds, and a router's tables and slices."""
    rows = []
    for mix in MIXES:
        for hold_name, hold_s in HOLDS:
            retained = Retained(mix, hold_s)
            refuses = retained.desk_refuses_after_s
            held = retained.held()
            fits = refuses == float("inf") and held.value <= MOST_REFILLED
            rows.append(
                (
                    f"{mix.name}: {mix.objects:.1%}, {mix.tags:.1%}, {mix.prefixes:.1%}, {mix.patterns:.1%}",
                    hold_name,
                    f"{retained.live().value:,.0f}",
                    f"{retained.live(mix.patterns).value:,.0f}",
                    "no" if refuses == float("inf") else f"after {refuses * HOURS:.2f} h",
                    plain(held.value),
                    f"{retained.router_bytes(inputs).value * MEGA:,.0f}",
                    f"{retained.snapshot(inputs).value * MEGA:,.0f}",
                    FITS if fits else DOES_NOT_FIT,
                )
            )
    heads = (
        "mix: object, tag, prefix, glob or regex",
        "hold",
        "live purges",
        "of them globs and regexes",
        "desk refuses",
        "share of names never purged that is bound, at most",
        "router's index, MB",
        "snapshot, MB",
        "",
    )
    return table(heads, rows)
