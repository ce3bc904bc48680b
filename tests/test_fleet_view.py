"""Decisions with reports of the fleet's other routers; without reports nothing changes."""

from fleet import FLEET, MS, SECOND, cache, lookup, router, send_end, sends, terms

from hookrouter import interface
from hookrouter.control import Control

NOW = 1_000_000
COST = 5_000.0  # expected sending time before any lookup was measured


class FakeFleetView:
    """Reports what a test sets; records what it was asked and what was charged."""

    def __init__(self, others=None, lead=2.0, allowance=None, tries=True):
        self.sends_by_cache, self.load_ratio, self.allowed, self.may_try, self.asked, self.charged = (
            others or {},
            lead,
            allowance,
            tries,
            [],
            [],
        )

    def others(self, cache, now):
        return self.sends_by_cache.get(cache)

    def lead(self, name):
        return self.load_ratio

    def allowance(self, cache, now, cost):
        self.asked.append((cache, now, cost))
        return self.allowed

    def sent(self, cache, now, cost):
        self.charged.append((cache, now, cost))

    def tries(self, cache, now):
        return self.may_try


def router_with(view, fleet=FLEET, **more):
    control = Control(1, terms(**more), fleet_view=view)
    control.decide(NOW, [interface.CacheList(interface.REMEMBERED, tuple(fleet))])
    return control


def first(control, number=1, now=NOW, **more):
    return sends(control.decide(now, [lookup(number, due=now + 4 * SECOND, **more)]))


def test_sends_of_other_routers_move_a_part_to_its_second_cache_before_this_router_has_any():
    top = first(router())[0].cache
    assert first(router_with(FakeFleetView()))[0].cache == top
    equal = {cache.id: 16.0 for cache in FLEET}
    assert first(router_with(FakeFleetView(equal)))[0].cache == top
    assert (
        first(router_with(FakeFleetView({**equal, top: 31.0})))[0].cache == top
    )  # not twice as busy, as the design requires
    assert first(router_with(FakeFleetView({**equal, top: 33.0})))[0].cache != top
    assert (
        first(router_with(FakeFleetView({**equal, top: 31.0}, lead=1.5)))[0].cache != top
    )  # a load ratio of this key


def test_a_cold_cache_gets_sends_by_the_fleets_share_and_by_own_turns_without_one():
    cold = [cache("c0", born=NOW), FLEET[-1]]
    second = terms().topology._replace(number=1)  # the first turn is another router's
    at_edge = lambda view: first(router_with(view, cold, may_bypass_caches=False, topology=second))  # noqa: E731
    assert not at_edge(FakeFleetView()) and not at_edge(FakeFleetView(allowance=False))
    view = FakeFleetView(allowance=True)
    assert at_edge(view) and view.asked == [("c0", NOW, COST)]
    assert sorted(view.charged) == [("c0", NOW, COST), ("o0", NOW, COST)]
    warm = FakeFleetView(allowance=False)  # not asked for a warm cache
    assert first(router_with(warm, [cache("c0"), FLEET[-1]])) and warm.asked == []


def test_only_routers_whose_turn_it_is_try_a_cache_that_was_set_aside():
    for tries in (True, False):
        control = router_with(FakeFleetView(tries=tries))
        n = control.row_by_id["c0"]
        assert control.health.usable(n)
        control.health.set_aside(n)
        control.now += 2 * SECOND
        assert control.health.usable(n) == tries


def test_a_router_without_useful_reports_decides_as_if_alone():
    one, other = router(), router_with(FakeFleetView())
    for n in range(300):
        now = NOW + n * 40 * MS
        effects = one.decide(now, [lookup(n, due=now + 4 * SECOND, key=f"k{n % 7}", size=50)])
        assert effects == other.decide(now, [lookup(n, due=now + 4 * SECOND, key=f"k{n % 7}", size=50)])
        for send in sends(effects) if n % 3 else ():
            end = send_end(send, interface.ERRED if n % 5 == 0 else interface.SATISFIED)
            assert one.decide(now + 9, [end]) == other.decide(now + 9, [end])
