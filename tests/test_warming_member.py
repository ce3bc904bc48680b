"""Execution of a warming: no fill without a live lease, what the router records, ends of fills."""

from types import SimpleNamespace

import pytest
from fleet import FLEET, KINDS, SECOND, cache, router, terms
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hookrouter import interface
from hookrouter.caches.requests import SendResult, encode_request
from hookrouter.decisions.owners.holder import Lease
from hookrouter.decisions.warming import messages
from hookrouter.fleet.member.warming_run import WarmingRun
from hookrouter.node.warming_observer import WarmingObserver

NOW = 1_000_000


@pytest.fixture
def host():
    """A router as WarmingObserver and WarmingRun use it, with the sends it made."""
    sent = []
    node = SimpleNamespace(
        terms=terms(),
        kinds={kind.name: kind for kind in KINDS},
        guard=None,
        now=lambda: NOW,
        control=router(),
        sent=sent,
        caches=SimpleNamespace(
            send=lambda cache, request, timeout, start_within: sent.append((cache, request, Deferred()))
            or SimpleNamespace(deferred=sent[-1][2])
        ),
    )
    node.warming_observer = WarmingObserver(node)
    return node


def begun(host, until):
    events = []
    warmer = SimpleNamespace(
        warming_observer=host.warming_observer,
        router=host,
        reactor=Clock(),
        now=lambda: NOW,
        clock=lambda: 500,
        count=lambda name: None,
        section={"slots": 4, "lenders": 5, "room": None},
        sharing=SimpleNamespace(neighbours=lambda: []),
        cold_position=lambda cache: (1, 0),
        on_closed=lambda run, state, cause: events.append((state, cause)),
    )
    host.warming_observer.on_cache_list(
        SimpleNamespace(snapshot=False, caches=(cache("c9", born=NOW - SECOND),)), False
    )
    return WarmingRun(warmer, "c9", Lease("warm.edge/c9", 7, until)), events


FILL = messages.Fill(("clip", "k1", 2), 1, 1_000, "c1", 7)


def test_no_fill_is_sent_once_the_lease_is_over(host):
    run, events = begun(host, until=500)
    run._fill(FILL)
    run.warmer.reactor.advance(0)
    assert host.sent == [] and events == [("given up", messages.LEASE_OVER)]


def test_a_fill_carries_its_fencing_token_and_a_refusal_ends_the_warming(host):
    run, events = begun(host, until=501)
    run.table.state, run.table.in_flight = "warming", {FILL.name: object()}
    run._fill(FILL)
    ((target, request, deferred),) = host.sent
    assert (
        target == "c9"
        and request.source == "c1"
        and b"X-Fence: warm.edge/c9 7\r\n" in b"".join(encode_request(request, b"h"))
    )
    deferred.callback(SendResult(interface.ERRED, fence_rejected=True))
    assert events == [("given up", messages.OLD_NUMBER)]


def test_a_warming_ends_when_its_cache_drains_or_leaves(host):
    for phase, cause in ((interface.DRAINING, messages.DRAINED), (interface.GONE, messages.CACHE_LEFT)):
        run, events = begun(host, until=501)
        host.warming_observer.on_cache_list(
            SimpleNamespace(snapshot=False, caches=(cache("c9", phase=phase, born=NOW - SECOND),)), False
        )
        run.on_list_changed()
        assert events == [("given up", cause)]


def test_the_router_records_its_initial_list_and_purges(host):
    assert set(host.warming_observer.caches) == {one.id for one in FLEET}
    assert host.warming_observer.ready_caches("edge", NOW, settled=True) == (
        "c0",
        "c1",
        "c2",
        "c3",
    ) and host.warming_observer.warm_parents(NOW) == ("p0", "p1")
    host.warming_observer.on_platform_purge(SimpleNamespace(object="k1", group=1), NOW - 50)
    assert (
        0 < host.warming_observer.max_copy_age(host.kinds["clip"], "k1", 1, NOW) <= 50
        and host.warming_observer.max_copy_age(host.kinds["clip"], "k2", 2, NOW) == 0
    )
    host.warming_observer.on_lookup(SimpleNamespace(kind="order", object="k", part=0, size=1, group=0), NOW)
    assert not host.warming_observer.sketch.rows  # not repeatable, so nobody fills it
