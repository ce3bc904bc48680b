"""Lines of the size that say how large the service is: routers, caches, lookups, objects, purges, places."""

import math

from .figures import Figure, Standing, bound, given, shown
from .inputs import Inputs
from .lookups import lookup_cores, processes
from .published import detection_s
from .retention import objects_of_tag
from .roles_messages import configuration_bytes
from .roles_state import AT_SIZE
from .scale_file import BYTES
from .size import BOUNDS, BUDGET, SECONDS_A_DAY, SECONDS_AN_HOUR, SHORT_LEASE_S, SIZE
from .size_line import SizeLine, routers_it_breaks_at, same
from .tables import DOES_NOT_FIT, FITS, NOT_KNOWN, verdict
from .times import effect

BILLION, TERA, GIGA = 1e9, 1e12, 1e9
MILLION = 1e6


def view_bytes(inputs: Inputs) -> Figure:
    """Bytes a second of a router's view, both ways."""
    return inputs.of_fleet("router", "view", "in", BYTES) + inputs.of_fleet("router", "view", "out", BYTES)


def routers_of(places: int, name: str) -> str:
    """How many routers each of so many places has."""
    return shown(Figure(round(SIZE.routers / places), Standing.GIVEN), f"routers a {name}")


def _configuration(inputs: Inputs) -> str:
    share = configuration_bytes() / given(BUDGET.bytes_per_s)
    every = given(SECONDS_A_DAY / SIZE.changes_per_day)
    return f"one each {shown(every, 's')}; if sent whole {shown(share, 'of the bytes budget')}"


def _effect_fits(inputs: Inputs) -> str:
    short, default = effect(SHORT_LEASE_S), effect(BOUNDS.lease_s)
    return f"{verdict(short, SIZE.effect_s)}; {verdict(default, SIZE.effect_s)} with the default lease"


def _desk_refuses(inputs: Inputs) -> str:
    hours = AT_SIZE.desk_refuses_after_s / SECONDS_AN_HOUR
    rate = bound(BOUNDS.most_live) / given(BOUNDS.hold_s)
    mix = "never refused" if math.isinf(hours) else f"refused after {hours:.2f} h"
    return (
        f"{shown(bound(BOUNDS.most_live), 'live')}, {shown(rate, 'a second')} for a whole hold; "
        f"the ordinary mix is {mix} (assumed)"
    )


def _detection(inputs: Inputs) -> str:
    median, worst = detection_s()
    return f"known after {median:g} s, p99 {worst:g} s, at 1,000 members (measured: [view](results/view.md))"


LINES = (
    SizeLine(
        f"{SIZE.routers:,} routers",
        f"{BUDGET.bytes_per_s:,.0f} bytes a second each, for all",
        lambda inputs: f"view {shown(view_bytes(inputs), 'bytes/s')}",
        "gossip membership (SWIM with Lifeguard)",
        ("hookrouter/decisions/view/members",),
        routers_it_breaks_at(view_bytes, BUDGET.bytes_per_s),
        lambda inputs: verdict(view_bytes(inputs), BUDGET.bytes_per_s),
    ),
    SizeLine(
        f"{SIZE.sites} sites",
        "none stated",
        same(routers_of(SIZE.sites, "site")),
        "none of its own: the program knows zones",
        ("hookrouter/site",),
        same("no bound"),
        same(FITS),
    ),
    SizeLine(
        f"{SIZE.caches} caches",
        "none stated",
        same(routers_of(SIZE.caches, "cache")),
        "rendezvous hashing; loads told among routers",
        ("hookrouter/control/placing.py", "hookrouter/decisions/sharing/load_table.py"),
        same(shown(bound(BOUNDS.teller_rows), "caches in a teller's loads")),
        same(FITS),
    ),
    SizeLine(
        f"{SIZE.lookups_per_s / MILLION:g} million lookups a second",
        f"{SIZE.lookups_per_s / SIZE.routers:,.0f} a second for each router",
        lambda inputs: shown(lookup_cores(inputs), "cores a router"),
        "one process a core",
        ("hookrouter/front", "hookrouter/node/router.py"),
        lambda inputs: shown(
            given(SIZE.lookups_per_s / SIZE.routers) / lookup_cores(inputs), "a second for a process"
        ),
        lambda inputs: f"{verdict(lookup_cores(inputs), 1.0)}, processes of a router: {processes(inputs)}",
    ),
    SizeLine(
        f"{SIZE.traffic_bits_per_s / TERA:g} Tbit/s",
        f"{SIZE.traffic_bits_per_s / SIZE.routers / GIGA:.2g} Gbit/s for each router",
        same("not measured: no run has carried that much"),
        "bodies pass through the router, in a bounded room",
        ("hookrouter/tables/body_memory.py",),
        same("not measured"),
        same(NOT_KNOWN),
    ),
    SizeLine(
        f"{SIZE.objects / BILLION:g} billion objects",
        "nothing in a router grows with them",
        same(
            f"{shown(bound(BOUNDS.tagged), 'objects with tags')}, "
            f"{shown(bound(BOUNDS.remembered), 'bounds of names')}"
        ),
        "bounded tables, the oldest entry is dropped; answers judged by the tags that they name",
        ("hookrouter/purges/tags.py", "hookrouter/purges/guard.py"),
        same(f"a purged tag that concerns {shown(objects_of_tag(), 'cached copies')}"),
        same(FITS),
    ),
    SizeLine(
        f"{SIZE.purges_per_s:g} purges a second",
        f"{SIZE.purges_per_s * SECONDS_A_DAY / MILLION:.3g} million a day",
        same(f"{shown(AT_SIZE.live(), 'live')} in a hold of {BOUNDS.hold_s // SECONDS_AN_HOUR} h"),
        "replicated log, multicast over a tree of relays; Bloom filters by time, bit-sliced in a router",
        ("hookrouter/purges/ledger.py", "hookrouter/desk/relay.py", "hookrouter/purges/retention"),
        _desk_refuses,
        lambda inputs: verdict(AT_SIZE.live(), BOUNDS.most_live),
    ),
    SizeLine(
        f"each in effect in {SIZE.effect_s:g} s",
        f"{SIZE.effect_s:g} s",
        same(f"{shown(effect(SHORT_LEASE_S), 's')} with a lease of {SHORT_LEASE_S:g} s"),
        "leases, counted from the renewal on",
        ("hookrouter/purges/followers.py", "hookrouter/purges/fence.py"),
        same(f"{shown(effect(BOUNDS.lease_s), 's')} with the default lease of {BOUNDS.lease_s:g} s"),
        _effect_fits,
    ),
    SizeLine(
        f"{SIZE.regions} regions",
        "none stated",
        same(routers_of(SIZE.regions, "region")),
        "relays of purges; probes and gossip across regions as within",
        ("hookrouter/desk/relay.py",),
        same(f"{SIZE.machines} machines (given): a region more has none of its own"),
        same(DOES_NOT_FIT),
    ),
    SizeLine(
        f"{SIZE.zones} zones",
        "none stated",
        same(routers_of(SIZE.zones, "zone")),
        "anti-entropy of loads within a zone, a stated number of tellers",
        ("hookrouter/decisions/sharing/exchange.py", "hookrouter/decisions/sharing/reporters.py"),
        same("no bound: bytes a router do not grow with the zone"),
        same(FITS),
    ),
    SizeLine(
        f"{SIZE.changes_per_day:,} changes of configuration a day",
        f"in force everywhere in {SIZE.change_s:g} s",
        _configuration,
        "**none**: one file a router, read again on SIGHUP",
        ("hookrouter/node/service.py",),
        same("the first change that is not carried to each router by hand"),
        same(DOES_NOT_FIT),
    ),
    SizeLine(
        f"{SIZE.machine_failures_per_day} machines a day fail",
        "none stated",
        _detection,
        "failure detector: probes, suspicion, refutation",
        ("hookrouter/decisions/view/members/probing.py",),
        same("not measured beyond 1,000 members"),
        same(FITS),
    ),
)
